//! What is known about one member, and which of two claims is newer.

use crate::ids::Incarnation;

value_type! { copy
    /// Liveness of a member. The order is the precedence within one incarnation.
    pub enum MemberStatus {
        /// Answers probes.
        Alive,
        /// Missed a probe; dead after the suspicion timeout unless it refutes.
        Suspect,
        /// Did not refute the suspicion, or ended by itself.
        Dead,
    }
}

value_type! { copy
    /// Claim about a member.
    pub struct MemberRecord {
        /// Process that the claim is about.
        pub incarnation: Incarnation,
        /// Liveness of that process.
        pub status: MemberStatus,
        /// Whether the process takes no new work. Never returns to false within a process.
        pub leaving: bool,
    }
}

impl MemberRecord {
    /// Creates the claim that a process is alive.
    pub fn alive(incarnation: Incarnation) -> Self {
        Self { incarnation, status: MemberStatus::Alive, leaving: false }
    }

    /// Returns the join of two claims about one member.
    ///
    /// A later process replaces an earlier one. Within a process the higher refutation counter
    /// wins, then the worse status. The operation is commutative, associative and idempotent,
    /// so the order in which claims arrive doesn't matter.
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

    /// Returns whether the process takes part in the fleet; suspects do until they are dead.
    pub fn is_present(self) -> bool {
        self.status != MemberStatus::Dead
    }
}
