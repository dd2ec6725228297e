//! News that waits to be sent on other messages.

use super::message::MembershipUpdate;
use crate::ids::{InstanceId, ServerId};

use postcard::ser_flavors::Size;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Member(InstanceId),
    Server(ServerId),
}

fn topic(update: &MembershipUpdate) -> Topic {
    match update {
        MembershipUpdate::Member { id, .. } => Topic::Member(*id),
        MembershipUpdate::Server(mark) => Topic::Server(mark.server),
    }
}

/// Returns the encoded size of an update in bytes.
pub(super) fn encoded_len(update: &MembershipUpdate) -> usize {
    // The size flavour only counts and cannot fail.
    postcard::serialize_with_flavor(update, Size::default()).unwrap_or(usize::MAX / 2)
}

#[derive(Debug)]
struct Waiting {
    update: MembershipUpdate,
    sent: u32,
    len: usize,
}

/// Queue of updates, each of which is sent a limited number of times, newest first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    /// At most one update per member or server. Ordered by `sent`, ascending.
    waiting: Vec<Waiting>,
}

impl UpdateQueue {
    /// Adds an update; replaces the one on the same member or server.
    pub fn push(&mut self, update: MembershipUpdate) {
        let topic_of = topic(&update);
        self.waiting.retain(|waiting| topic(&waiting.update) != topic_of);
        let len = encoded_len(&update);
        self.waiting.insert(0, Waiting { update, sent: 0, len });
    }

    /// Takes the updates for one message of at most `room` bytes.
    ///
    /// Updates that were sent `limit` times are dropped.
    pub fn take(&mut self, mut room: usize, limit: u32) -> Vec<MembershipUpdate> {
        let mut taken = Vec::new();
        for waiting in &mut self.waiting {
            if waiting.len > room {
                break;
            }
            room -= waiting.len;
            waiting.sent += 1;
            taken.push(waiting.update);
        }
        if !taken.is_empty() {
            self.waiting.retain(|waiting| waiting.sent < limit);
            self.waiting.sort_by_key(|waiting| waiting.sent);
        }
        taken
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }
}
