//! Queue of membership updates for piggybacking.

use super::message::MembershipUpdate;
use crate::ids::{InstanceId, ServerId};

use postcard::ser_flavors::Size;

/// Member or server that an update describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateSubject {
    Member(InstanceId),
    Server(ServerId),
}

fn update_subject(update: &MembershipUpdate) -> UpdateSubject {
    match update {
        MembershipUpdate::Member { id, .. } => UpdateSubject::Member(*id),
        MembershipUpdate::Server(mark) => UpdateSubject::Server(mark.server),
    }
}

/// Returns the encoded size of an update in bytes.
pub(super) fn encoded_len(update: &MembershipUpdate) -> usize {
    // The `Size` flavor of postcard only counts bytes and cannot fail.
    postcard::serialize_with_flavor(update, Size::default()).unwrap_or(usize::MAX / 2)
}

#[derive(Debug)]
struct QueuedUpdate {
    update: MembershipUpdate,
    /// Number of messages that have carried the update.
    sends: u32,
    /// Encoded size in bytes.
    len: usize,
}

/// Queue of updates, each of which is sent a limited number of times. Those sent least often
/// come first, and among them the newest.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    /// At most one update per member or server, in ascending order of `sends`.
    queued: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an update and removes an older one of the same member or server.
    pub fn push(&mut self, update: MembershipUpdate) {
        let subject = update_subject(&update);
        self.queued.retain(|queued| update_subject(&queued.update) != subject);
        let len = encoded_len(&update);
        self.queued.insert(0, QueuedUpdate { update, sends: 0, len });
    }

    /// Returns the next updates for one message, at most `room` bytes in total.
    ///
    /// Updates that have then been sent `max_sends` times are removed from the queue.
    pub fn take(&mut self, mut room: usize, max_sends: u32) -> Vec<MembershipUpdate> {
        let mut taken = Vec::new();
        for queued in &mut self.queued {
            if queued.len > room {
                break;
            }
            room -= queued.len;
            queued.sends += 1;
            taken.push(queued.update);
        }
        if !taken.is_empty() {
            self.queued.retain(|queued| queued.sends < max_sends);
            self.queued.sort_by_key(|queued| queued.sends);
        }
        taken
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub fn len(&self) -> usize {
        self.queued.len()
    }
}
