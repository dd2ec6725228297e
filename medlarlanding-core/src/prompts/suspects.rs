//! Finds the part of prompts that explains the most ends of engines, from the suspected parts of the runs
//! that each end broke off.

use super::crash_ledger::LedgerParams;
use super::ledger_news::CrashKey;
use super::parts::PartId;

use indexmap::{IndexMap, IndexSet};

/// Suspected parts of one broken run.
#[derive(Debug)]
pub(super) struct SuspectRun {
    pub key: CrashKey,
    /// Parts that the prompt shares with others, in ascending order.
    pub shared: Vec<PartId>,
    /// The request's own part, if a further engine ended on it. It is judged by itself: repeated requests
    /// of sound prompts have one when several engines end together.
    pub own: Option<PartId>,
    /// Blame of its own part if the end has no other suspect.
    pub blame: f64,
    /// Blame of the shared parts in the same case.
    pub shared_blame: f64,
    /// Weight of the shared parts among the suspects of the end.
    pub shared_weight: f64,
    /// Runs survived all of the shared parts before the end.
    pub is_familiar: bool,
    /// The run had not been writing for a while, and some of its parts were survived.
    pub survived: Option<PartSurvival>,
}

/// When other parts of a run's prompt were last survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PartSurvival {
    BeforeEnd,
    SinceEnd,
}

impl SuspectRun {
    /// Returns whether the part is suspected in this run.
    pub fn contains(&self, part: PartId) -> bool {
        self.own == Some(part) || self.shared.binary_search(&part).is_ok()
    }

    /// Returns the suspected parts.
    pub fn parts(&self) -> impl Iterator<Item = PartId> {
        self.shared.iter().copied().chain(self.own)
    }

    /// Returns whether a part of this run was survived before the end.
    pub fn is_familiar_with(&self, part: PartId) -> bool {
        self.is_familiar && self.own != Some(part)
    }
}

/// Returns the part to block next, and whether it may well be sound; `None` if there is none.
pub(super) fn next_part(
    params: &LedgerParams,
    ends: &[Vec<SuspectRun>],
    recurring: &IndexSet<PartId>,
) -> Option<(PartId, bool)> {
    if recurring.is_empty() {
        return None;
    }
    let part = most_blamed(params, ends, recurring)
        .or_else(|| most_recurring(params, ends, recurring, PartSurvival::SinceEnd));
    if let Some(part) = part {
        return Some((part, false));
    }
    // When all engines end again as soon as they are back, no run survives the other parts in between.
    let part = most_recurring(params, ends, recurring, PartSurvival::BeforeEnd)?;
    is_only_explanation(part, ends).then_some((part, true))
}

/// Returns the suspected parts of enough ends to be blocked.
pub(super) fn recurring_parts(params: &LedgerParams, ends: &[Vec<SuspectRun>]) -> IndexSet<PartId> {
    // An end gives a part a blame of 1 at most.
    let fewest = (params.blame_limit.ceil() as usize).min(params.recurrence_limit);
    if ends.len() < fewest {
        return IndexSet::new();
    }
    let counts = count_ends(ends, |_, _| true);
    counts.into_iter().filter(|(_, ends)| *ends >= fewest).map(|(part, _)| part).collect()
}

/// Returns the part to block next because it recurs, though the ends have many other suspects;
/// `None` if there is none. Counts runs with other parts that were survived at `survived` or later.
fn most_recurring(
    params: &LedgerParams,
    ends: &[Vec<SuspectRun>],
    recurring: &IndexSet<PartId>,
    survived: PartSurvival,
) -> Option<PartId> {
    let is_telling = |run: &SuspectRun, part| {
        let is_survived = run.survived.is_some_and(|it| it >= survived);
        is_survived && !run.is_familiar_with(part) && recurring.contains(&part)
    };
    let counts = count_ends(ends, is_telling);
    let reached = counts.into_iter().filter(|(_, ends)| *ends >= params.recurrence_limit);
    let runs_with = |part: PartId| ends.iter().flatten().filter(|run| run.contains(part)).count();
    let highest = reached.max_by(|(part, ends), (other, other_ends)| {
        let fewer_runs = runs_with(*other).cmp(&runs_with(*part));
        ends.cmp(other_ends).then(fewer_runs).then(part.cmp(other))
    });
    highest.map(|(part, _)| part)
}

/// Returns the part to block next; `None` if no blame reaches the limit.
fn most_blamed(
    params: &LedgerParams,
    ends: &[Vec<SuspectRun>],
    recurring: &IndexSet<PartId>,
) -> Option<PartId> {
    let mut blames: IndexMap<PartId, (f64, usize)> = IndexMap::new();
    for runs in ends {
        let of_end = blames_of_end(runs, recurring);
        let all_parts = runs.iter().flat_map(SuspectRun::parts);
        for part in all_parts.filter(|part| recurring.contains(part)) {
            blames.entry(part).or_default().1 += 1;
        }
        for (part, blame) in of_end {
            blames.entry(part).or_default().0 += blame;
        }
    }
    let reached = blames.into_iter().filter(|(_, (blame, _))| *blame >= params.blame_limit);
    let highest = reached.max_by(|(part, (blame, runs)), (other, (other_blame, other_runs))| {
        // The last comparison makes all instances choose the same part.
        blame.total_cmp(other_blame).then(other_runs.cmp(runs)).then(part.cmp(other))
    });
    highest.map(|(part, _)| part)
}

/// Runs of one end with the same suspected parts. They are one suspect, which fatal requests that reach
/// an engine together would otherwise weaken.
#[derive(Default)]
struct Suspect {
    blame: f64,
    weight: f64,
    /// Weight without the runs whose own parts are suspected.
    weight_of_others: f64,
}

/// Returns the blame that one end gives to the parts of its runs that `recurring` contains.
fn blames_of_end(runs: &[SuspectRun], recurring: &IndexSet<PartId>) -> IndexMap<PartId, f64> {
    let mut suspects: IndexMap<&[PartId], Suspect> = IndexMap::new();
    for run in runs {
        let suspect = suspects.entry(&run.shared).or_default();
        suspect.blame = suspect.blame.max(run.shared_blame);
        suspect.weight = suspect.weight.max(run.shared_weight);
        if run.own.is_none() {
            suspect.weight_of_others = suspect.weight_of_others.max(run.shared_weight);
        }
    }
    // Runs without suspected shared parts say nothing of those of the others.
    suspects.shift_remove(&[][..]);
    let total: f64 = suspects.values().map(|suspect| suspect.weight).sum();
    let own_total: f64 = suspects.values().map(|suspect| suspect.weight_of_others).sum::<f64>()
        + runs.iter().filter(|run| run.own.is_some()).map(|run| run.blame).sum::<f64>();
    let of_shared = suspects.iter().flat_map(|(parts, suspect)| {
        parts.iter().map(|part| (*part, suspect.blame * suspect.weight / total))
    });
    let of_own = runs.iter().filter_map(|run| Some((run.own?, run.blame * run.blame / own_total)));
    let mut blames: IndexMap<PartId, f64> = IndexMap::new();
    for (part, blame) in of_shared.chain(of_own).filter(|(part, _)| recurring.contains(part)) {
        let highest = blames.entry(part).or_default();
        *highest = highest.max(blame);
    }
    blames
}

/// Returns whether no other part is in runs of as many ends, unless it is in all runs with this one.
fn is_only_explanation(part: PartId, ends: &[Vec<SuspectRun>]) -> bool {
    let counts = count_ends(ends, |_, _| true);
    let most = counts.get(&part).copied().unwrap_or_default();
    let mut with_part = ends.iter().flatten().filter(|run| run.contains(part));
    let rivals = counts.into_iter().filter(|(other, ends)| *other != part && *ends >= most);
    let rivals: Vec<PartId> = rivals.map(|(other, _)| other).collect();
    with_part.all(|run| rivals.iter().all(|rival| run.contains(*rival)))
}

/// Counts for each part the ends with a suspected run that contains it and for which it `fits`.
fn count_ends(
    ends: &[Vec<SuspectRun>],
    fits: impl Fn(&SuspectRun, PartId) -> bool,
) -> IndexMap<PartId, usize> {
    /// Ends that contain a part, and the last one that was counted.
    #[derive(Clone, Copy)]
    struct EndCount {
        ends: usize,
        last: usize,
    }
    let mut counts: IndexMap<PartId, EndCount> = IndexMap::new();
    for (number, runs) in ends.iter().enumerate() {
        let parts = runs.iter().flat_map(|run| run.parts().map(move |part| (run, part)));
        for (_, part) in parts.filter(|(run, part)| fits(run, *part)) {
            let count = counts.entry(part).or_insert(EndCount { ends: 0, last: usize::MAX });
            if count.last != number {
                *count = EndCount { ends: count.ends + 1, last: number };
            }
        }
    }
    counts.into_iter().map(|(part, count)| (part, count.ends)).collect()
}
