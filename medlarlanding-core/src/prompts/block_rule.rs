//! Decides when requests with a suspected part are refused, and when one of them is tried.
//!
//! Load pattern: engines end together for a reason of their own while each has just begun a run. A part
//! that all prompts share is in these runs as well, and nothing else in them is suspected. Runs survived
//! it before, and whether it has become fatal since shows only in runs that begin after the ends. So such
//! a part is refused only after a while in which these can survive it, and runs in progress go on.
//!
//! A part that no run survived is refused at once. If it only recurs, and nothing survived beside it that
//! would set it apart from the other parts of its prompts, it is in doubt like a part that was survived.
//!
//! Once it is refused no run begins that could survive it, so now and then a single request is tried.
//! Each trial of a fatal part ends an engine; three requests may reach engines after the fifth end.

use std::time::Duration;

use super::parts::PartId;
use crate::errors::ErrorKind;
use crate::time::Timestamp;

/// Parameters of the blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockParams {
    /// Time since the last end for which a part stays blocked. Afterwards one more end blocks it
    /// again, as long as the earlier ones are retained.
    pub hold: Duration,
    /// Time since the first end after which a doubtful part is blocked. Runs that begin after that end
    /// survive it within this time, and requests with a fatal part must be known 3 s after the fifth
    /// end.
    pub evidence_time: Duration,
    /// Longest time between two ends that count as one incident.
    pub incident_gap: Duration,
    /// Time from the last end to the trial of a doubtful part, by the number of incidents, from 1;
    /// there is none after more incidents.
    pub doubtful_trials: &'static [Duration],
    /// The same for other parts.
    pub trials: &'static [Duration],
    /// Shortest time between two trials of a part. The end of an engine is known sooner.
    pub trial_pause: Duration,
}

impl BlockParams {
    const DOUBTFUL_TRIALS: [Duration; 3] =
        [Duration::ZERO, Duration::from_secs(10), Duration::from_secs(60)];
    const TRIALS: [Duration; 2] = [Duration::from_secs(30), Duration::from_secs(120)];
}

impl Default for BlockParams {
    fn default() -> Self {
        Self {
            hold: BLOCK_TIME,
            evidence_time: Duration::from_secs(2),
            incident_gap: Duration::from_secs(1),
            doubtful_trials: &Self::DOUBTFUL_TRIALS,
            trials: &Self::TRIALS,
            trial_pause: Duration::from_secs(3),
        }
    }
}

/// Time since the last end for which a part stays blocked.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);

/// Requests that are blocked because of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BlockRule {
    /// Parts that all suspect runs with the part have in common; a request must contain all of them
    /// to be blocked. Always includes the part itself.
    pub common: Vec<PartId>,
    /// The part may well be sound: runs survived it before the ends, or nothing survived beside it since.
    pub is_doubtful: bool,
    /// When the block begins.
    pub from: Timestamp,
    /// When it ends.
    pub until: Timestamp,
    /// From when on a request is tried; `None` for no trial.
    pub trial_at: Option<Timestamp>,
}

impl BlockRule {
    /// Creates the rule for a part that is suspected of the ends at these times.
    pub fn new(
        params: &BlockParams,
        common: Vec<PartId>,
        is_doubtful: bool,
        mut ends: Vec<Timestamp>,
    ) -> Self {
        ends.sort_unstable();
        let (first, last) = match (ends.first(), ends.last()) {
            (Some(first), Some(last)) => (*first, *last),
            _ => Default::default(),
        };
        let gaps = ends.windows(2).filter(|pair| pair[1].since(pair[0]) > params.incident_gap);
        let incidents = gaps.count() + 1;
        let (trials, from) = if is_doubtful {
            (params.doubtful_trials, first + params.evidence_time)
        } else {
            (params.trials, Timestamp::default())
        };
        let trial_at = trials.get(incidents - 1).map(|delay| (last + *delay).max(from));
        Self { common, is_doubtful, from, until: last + params.hold, trial_at }
    }

    /// Returns whether the block is in force.
    pub fn is_in_force(&self, now: Timestamp) -> bool {
        self.from <= now && now < self.until
    }
}

/// Part of prompts for which requests are blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// The part.
    pub part: PartId,
    /// Ends with a broken run whose prompt contains the part.
    pub ends: usize,
    /// Time until requests with it are tried again.
    pub remaining: Duration,
    /// The part may well be sound. Runs in progress go on.
    pub is_doubtful: bool,
}

/// What becomes of a request with a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptVerdict {
    /// No part is blocked.
    Free,
    /// The request is tried although a part is blocked.
    Trial(BlockedPart),
    /// The request is refused.
    Refused(BlockedPart),
}

impl BlockedPart {
    /// Returns the refusal of a request on the product's own interface.
    pub fn error_kind(&self) -> ErrorKind {
        match self.is_doubtful {
            true => ErrorKind::SuspectPrompt,
            false => ErrorKind::FatalPrompt,
        }
    }
}
