//! Generations with a part in their prompts on which engines end, and the check of how many of them
//! reach engines.

use std::time::{Duration, Instant};

use super::{CallKind, CallRecord};
use crate::site::{SiteCall, SiteState};

/// Part of prompts on which engines end.
pub(super) const FATAL_PART: &str = "fa7a1";
/// Part of sound prompts in its place.
pub(super) const SOUND_PART: &str = "b2";
/// Part with which all prompts begin.
const FIRST_PART: &str = "f1";
/// Time within which instances that are connected to the others learn of a change.
const CONTACT: Duration = Duration::from_secs(3);
/// Ends of engines after which the part must be known.
const CRASH_LIMIT: usize = 5;
/// Generations with the part that may still reach engines `CONTACT` after the last of these ends.
const LATE_LIMIT: usize = 3;

/// Adds a prompt of three parts; the last one is the request's own.
pub(super) fn with_prompt(call: SiteCall, id: &str, part: &str) -> SiteCall {
    let number: u64 = id.bytes().fold(1, |hash, byte| hash * 31 % 0xffff_ffff + u64::from(byte));
    call.header("x-prefix-hash", &format!("{FIRST_PART}:300,{part}:300,{number:x}:100"))
}

/// Times in which instances were paused or not running.
#[derive(Debug, Default)]
pub(super) struct ServiceGaps(Vec<(usize, Instant, Instant)>);

impl ServiceGaps {
    /// Adds the time from `started` to now.
    pub(super) fn add(&mut self, instance: usize, started: Instant) {
        self.0.push((instance, started, Instant::now()));
    }

    /// Returns whether an instance has been running for `CONTACT`.
    fn is_connected(&self, instance: usize, at: Instant) -> bool {
        let is_inside = |gap: &&(usize, Instant, Instant)| {
            gap.0 == instance && (gap.1..gap.2 + CONTACT).contains(&at)
        };
        !self.0.iter().any(|gap| is_inside(&gap))
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
