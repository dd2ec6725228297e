//! What slow start learns of an engine from its account, and the limit that it sets.

use crate::admission::messages::{ReleasedWork, WorkItem};
use crate::ids::InstanceIdentity;
use crate::pacing::{AnswerKind, AnswerPart, AnswerSample};
use crate::time::Timestamp;

use super::{BackendAccount, MIN_GAP_SAMPLE};

impl BackendAccount {
    /// Returns whether no permits are granted because the engine does not respond.
    pub fn is_suspected(&self, now: Timestamp) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }

    /// Limits the number of permits while the engine is in slow start.
    pub fn set_pace_limit(&mut self, limit: Option<u32>) {
        self.pace_limit = limit;
    }

    /// Returns the number of permits that are held.
    pub fn permit_count(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Compares a report of a running request with the one before, for slow start.
    pub fn answer_sample(
        &self,
        now: Timestamp,
        from: InstanceIdentity,
        item: &WorkItem,
    ) -> Option<AnswerSample> {
        let permit = self.permits.get(&(from.id, from.incarnation.started, item.number))?;
        let tokens = item.decoded.checked_sub(permit.item.decoded).filter(|tokens| *tokens > 0)?;
        let elapsed = now.since(permit.reported_at);
        let (part, sent_at, time) = match permit.item.decoded {
            0 => (AnswerPart::First, permit.granted_at, now.since(permit.granted_at)),
            _ if elapsed >= MIN_GAP_SAMPLE => {
                (AnswerPart::Pause, permit.reported_at, elapsed / tokens)
            },
            _ => return None,
        };
        let kind = AnswerKind(item.route.0);
        Some(AnswerSample { kind, part, sent_at, time })
    }

    /// Returns the time of a request that ends before a report showed tokens of it: otherwise answers that
    /// are shorter than the interval of reports would not count.
    pub fn short_answer_sample(
        &self,
        now: Timestamp,
        from: InstanceIdentity,
        released: &ReleasedWork,
    ) -> Option<AnswerSample> {
        let permit = self.permits.get(&(from.id, from.incarnation.started, released.number))?;
        (permit.item.decoded == 0 && released.decoded > 0).then(|| AnswerSample {
            kind: AnswerKind(permit.item.route.0),
            part: AnswerPart::First,
            sent_at: permit.granted_at,
            time: now.since(permit.granted_at),
        })
    }
}
