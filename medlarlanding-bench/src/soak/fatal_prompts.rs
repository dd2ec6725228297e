//! Generations with a part in their prompts on which engines end, and the check of how many of them
//! reach engines.

use std::time::Instant;

use super::{CallKind, CallRecord};
use crate::site::{AnswerFraming, CONTACT, CRASH_LIMIT, LATE_LIMIT, SiteCall, SiteState};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Part of sound prompts in its place.
pub(super) const SOUND_PART: &str = "50a1d";
/// Number of variants of each other part.
const PART_VARIANTS: u64 = 3;

/// How prompts are composed and engines delimit their answers with one seed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptPlan {
    /// Number of parts before the one that is fatal or sound.
    position: usize,
    /// How engines delimit their answers.
    pub framing: AnswerFraming,
}

impl PromptPlan {
    /// Draws a plan.
    pub(super) fn new(seed: u64) -> Self {
        let framings =
            [AnswerFraming::Delimited, AnswerFraming::CutWithinEvent, AnswerFraming::CutAfterEvent];
        let mut random = SmallRng::seed_from_u64(seed);
        Self {
            position: random.random_range(0..3),
            framing: *framings.choose(&mut random).expect("a framing"),
        }
    }

    /// Adds a prompt with `part` to a request. Prompts share their parts except for the last one.
    pub(super) fn with_prompt(self, call: SiteCall, number: u64, part: &str) -> SiteCall {
        let mut parts = vec![
            format!("f{}", number % PART_VARIANTS),
            format!("b{}", number / PART_VARIANTS % PART_VARIANTS),
        ];
        parts.insert(self.position, part.to_owned());
        let parts: Vec<String> = parts.iter().map(|part| format!("{part}:300")).collect();
        call.header("x-prefix-hash", &format!("{},1{number:08x}:100", parts.join(",")))
    }
}

/// Time in which an instance was paused or not running.
#[derive(Debug)]
struct ServiceGap {
    instance: usize,
    from: Instant,
    until: Instant,
}

/// Times in which instances were paused or not running.
#[derive(Debug, Default)]
pub(super) struct ServiceGaps(Vec<ServiceGap>);

impl ServiceGaps {
    /// Adds the time from `started` to now.
    pub(super) fn add(&mut self, instance: usize, started: Instant) {
        self.0.push(ServiceGap { instance, from: started, until: Instant::now() });
    }

    /// Returns whether any instance was paused or not running between two times.
    pub(super) fn overlap(&self, from: Instant, until: Instant) -> bool {
        self.0.iter().any(|gap| gap.from < until && from < gap.until)
    }

    /// Returns whether an instance has been running for `CONTACT`.
    fn is_connected(&self, instance: usize, at: Instant) -> bool {
        let is_inside = |gap: &ServiceGap| {
            gap.instance == instance && (gap.from..gap.until + CONTACT).contains(&at)
        };
        !self.0.iter().any(is_inside)
    }
}

/// Finds generations with the fatal part that connected instances sent to engines although enough
/// engines had ended on it.
pub(super) fn find_late_runs(
    state: &SiteState,
    records: &[CallRecord],
    gaps: &ServiceGaps,
) -> Option<String> {
    let crashes = state.crashes();
    let known_at = crashes.get(CRASH_LIMIT - 1)?.at + CONTACT;
    let fatal = records.iter().filter(|record| record.kind == CallKind::FatalDraft);
    let late: Vec<&str> = fatal
        .filter(|record| {
            let runs = state.runs(&record.id);
            runs.iter().any(|run| run.at > known_at && gaps.is_connected(record.instance, run.at))
        })
        .map(|record| record.id.as_str())
        .collect();
    (late.len() > LATE_LIMIT).then(|| {
        format!("{} engines ended, and {late:?} reached engines {CONTACT:?} later", crashes.len())
    })
}
