//! Messages between the order subsystems of two instances.

use super::group::GroupView;
use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId, QueryId};

value_type! {
    /// What is recorded about an order that was sent to its plain service.
    pub enum OrderOutcome {
        /// The service answered.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
        },
        /// The service answered with a body that only the proposer stores.
        Large {
            /// HTTP status of the answer.
            status: u16,
        },
        /// The order may have reached the service; no answer was received.
        Unknown,
    }
}

impl OrderOutcome {
    /// Returns the bytes that the outcome occupies beyond its fixed size.
    pub fn size(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.len(),
            Self::Large { .. } | Self::Unknown => 0,
        }
    }
}

value_type! {
    /// A replica's response to a claim.
    pub enum ClaimVerdict {
        /// The replica recorded the claim.
        Granted {
            /// The replica's view.
            view: GroupView,
            /// Age of the partition's doubt in ms, or `None` if it never was in doubt.
            doubt_age_ms: Option<u64>,
        },
        /// Another attempt is recorded for the key.
        Taken {
            /// The recorded attempt.
            attempt: AttemptId,
            /// Digest of the body that it was made for.
            body: BodyDigest,
            /// Its outcome, if known.
            outcome: Option<OrderOutcome>,
        },
        /// The replica is in another view, which the proposer must join.
        Stale {
            /// The replica's view.
            view: GroupView,
        },
        /// The replica is not synchronised, or its list is too old to grant.
        NotReady,
        /// The minted key belongs to another epoch of the partition.
        OtherEpoch,
        /// The replica's store is full.
        Full,
    }
}

value_type! {
    /// What a proposer knows about one of its attempts.
    pub enum AttemptState {
        /// The attempt is being claimed or run.
        Running,
        /// The attempt was never run and never will be.
        Withdrawn,
        /// The order was sent; this is its outcome.
        Done(OrderOutcome),
        /// The attempt was made by another process.
        Foreign,
    }
}

value_type! {
    /// Asks for one page of a partition's records and fences the provider.
    pub struct PartitionPull {
        /// The partition.
        pub partition: PartitionId,
        /// The view that the requester wants to synchronise in.
        pub target: GroupView,
        /// Digest of the requester's records; an equal copy is not sent.
        pub digest: u64,
        /// Last key of the previous page.
        pub after: Option<OrderKey>,
    }
}

value_type! {
    /// The last view in which a replica was synchronised.
    pub struct SyncedState {
        /// The view.
        pub view: GroupView,
        /// Epoch of the partition's memory.
        pub epoch: u64,
        /// Age of the doubt in ms, or `None` if the memory never was in doubt.
        pub doubt_age_ms: Option<u64>,
        /// Time in ms since the replica stopped granting in `view`.
        pub idle_ms: u64,
    }
}

value_type! {
    /// One attempt of a copied record.
    pub struct CopiedAttempt {
        /// The attempt.
        pub attempt: AttemptId,
        /// Digest of the body.
        pub body: BodyDigest,
        /// Outcome, if known.
        pub outcome: Option<OrderOutcome>,
    }
}

value_type! {
    /// One copied record.
    pub struct CopiedRecord {
        /// The key.
        pub key: OrderKey,
        /// Time in ms since the record's last change.
        pub age_ms: u64,
        /// Attempts on the key.
        pub attempts: Vec<CopiedAttempt>,
    }
}

value_type! {
    /// One page of a copy of a partition.
    pub struct PartitionCopy {
        /// The partition.
        pub partition: PartitionId,
        /// The provider's view.
        pub view: GroupView,
        /// Whether `view` is the target of the pull. Otherwise the provider is in a higher view
        /// and gives no copy. Without this mark the refusal of an earlier pull would pass for
        /// an empty copy once the requester has moved up to the same view.
        pub fenced: bool,
        /// The provider's last synchronised view.
        pub synced: Option<SyncedState>,
        /// Views above `synced` for which the provider gave copies.
        pub supplied: Vec<GroupView>,
        /// The cursor of the pull that this page responds to.
        pub after: Option<OrderKey>,
        /// Records with keys above `after`.
        pub records: Vec<CopiedRecord>,
        /// Whether another page follows.
        pub more: bool,
    }
}

value_type! {
    /// Origin of a replica's memory of one partition.
    pub struct PartitionLineage {
        /// The partition.
        pub partition: PartitionId,
        /// The view in which the sender is synchronised.
        pub view: GroupView,
        /// Epoch of the memory.
        pub epoch: u64,
        /// Age of the doubt in ms, or `None` if the memory never was in doubt.
        pub doubt_age_ms: Option<u64>,
    }
}

value_type! {
    /// Messages between the `orders` subsystems of two instances.
    pub enum OrderMessage {
        /// A proposer claims a key.
        Claim {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
            /// Digest of the body.
            body: BodyDigest,
            /// Epoch that a minted key names.
            epoch: Option<u64>,
            /// The proposer's view of the partition.
            view: GroupView,
        },
        /// A replica responds to a claim.
        ClaimReply {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
            /// The response.
            verdict: ClaimVerdict,
        },
        /// The attempt was not run and never will be.
        Withdraw {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
        },
        /// The attempt's outcome, for the replicas to store.
        Outcome {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
            /// Digest of the body.
            body: BodyDigest,
            /// The outcome.
            outcome: OrderOutcome,
        },
        /// A replica stored the outcome.
        OutcomeAck {
            /// The attempt.
            attempt: AttemptId,
        },
        /// Asks a proposer about one of its attempts.
        Status {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
        },
        /// A proposer's response to `Status`.
        StatusReply {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
            /// What the proposer knows.
            state: AttemptState,
        },
        /// Asks a replica for the record of a key.
        Read {
            /// The asking query.
            query: QueryId,
            /// Start time of the asking process; query numbers repeat after a restart.
            started: u64,
            /// The key.
            key: OrderKey,
        },
        /// A replica's response to `Read`.
        ReadReply {
            /// The asking query.
            query: QueryId,
            /// Start time of the asking process; query numbers repeat after a restart.
            started: u64,
            /// The state in which the replica is synchronised, or `None` if it is not.
            synced: Option<SyncedState>,
            /// Recorded attempts.
            attempts: Vec<CopiedAttempt>,
        },
        /// Asks for copies of partitions.
        Pull(Vec<PartitionPull>),
        /// Pages of copies.
        Copies(Vec<PartitionCopy>),
        /// Tells another member from which empty starts the sender's memory descends, so that
        /// the members of a view agree on one.
        Lineages(Vec<PartitionLineage>),
    }
}
