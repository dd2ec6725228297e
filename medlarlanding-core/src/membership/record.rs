//! State of a member, and the rule by which records from different instances are merged.

use crate::ids::Incarnation;

value_type! { copy
    /// Liveness of a member. Within one incarnation, later variants take precedence.
    pub enum MemberStatus {
        /// Answers probes.
        Alive,
        /// Missed a probe; becomes dead after the suspicion timeout unless it refutes.
        Suspect,
        /// Did not refute the suspicion in time, or announced its exit.
        Dead,
    }
}

value_type! { copy
    /// State of a member as recorded by one instance.
    pub struct MemberRecord {
        /// Incarnation that the record describes.
        pub incarnation: Incarnation,
        /// Liveness of that process.
        pub status: MemberStatus,
        /// Whether the process takes no new work. Once true, it stays true for the process.
        pub leaving: bool,
    }
}

impl MemberRecord {
    /// Creates the record of a process that is alive and takes work.
    pub fn alive(incarnation: Incarnation) -> Self {
        Self { incarnation, status: MemberStatus::Alive, leaving: false }
    }

    /// Merges two records of the same member.
    ///
    /// A later process replaces an earlier one. Within a process the higher refutation counter
    /// wins, then the higher status. The operation is commutative, associative and idempotent,
    /// so the result doesn't depend on the order in which records arrive.
    pub fn join(self, other: Self) -> Self {
        if !self.incarnation.same_process(other.incarnation) {
            return if self.incarnation > other.incarnation { self } else { other };
        }
        let leaving = self.leaving || other.leaving;
        let newer = if (self.incarnation.refutations, self.status)
            >= (other.incarnation.refutations, other.status)
        {
            self
        } else {
            other
        };
        Self { leaving, ..newer }
    }

    /// Returns whether the process is alive or suspected.
    pub fn is_present(self) -> bool {
        self.status != MemberStatus::Dead
    }
}
