//! Messages between the order subsystems of two instances.

use super::group::GroupView;
use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId, QueryId};

value_type! {
    /// Recorded outcome of an order that was sent to its backend server.
    pub enum OrderOutcome {
        /// The backend server answered.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
        },
        /// The backend server answered with a body that is too large to include here. At most the
        /// proposer stores it.
        Large {
            /// HTTP status of the answer.
            status: u16,
        },
        /// The order may have reached the backend server; no complete answer was received.
        Unknown,
    }
}

impl OrderOutcome {
    /// Returns the size in bytes of the outcome's body.
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
            /// Time in ms since the partition came into doubt, or `None` if it never was.
            doubt_age_ms: Option<u64>,
        },
        /// Another attempt holds the key.
        Taken {
            /// The recorded attempt.
            attempt: AttemptId,
            /// Digest of its request body.
            body: BodyDigest,
            /// Its outcome, if known.
            outcome: Option<OrderOutcome>,
        },
        /// The replica is in another view than the claim. The proposer must claim again in a view
        /// that covers both.
        Stale {
            /// The replica's view.
            view: GroupView,
        },
        /// The replica is not synchronised, or the confirmation of its list is too old.
        NotReady,
        /// The minted key belongs to another epoch of the partition.
        OtherEpoch,
        /// The replica's store is full.
        Full,
    }
}

value_type! {
    /// State of an attempt according to its proposer.
    pub enum AttemptState {
        /// The attempt collects grants, or its order is being run.
        Running,
        /// The attempt was not run and never will be.
        Withdrawn,
        /// The order was sent and has this outcome.
        Done(OrderOutcome),
        /// The attempt was made by another process.
        Foreign,
    }
}

value_type! {
    /// Requests one page of a partition's records and fences the provider at the target view.
    pub struct PartitionPull {
        /// The partition.
        pub partition: PartitionId,
        /// The view in which the requester wants to synchronise.
        pub target: GroupView,
        /// Digest of the requester's records; the provider sends no records if its own are equal.
        pub digest: u64,
        /// Last key of the previous page, or `None` for the first page.
        pub after: Option<OrderKey>,
    }
}

value_type! { copy
    /// What a replica knows of the epochs of the other members of its view, in ascending order.
    ///
    /// Members that start empty at the same time have different epochs until they agree on one. Two
    /// of three members pledge to keep an epoch before keys are minted in it, so at most one epoch of
    /// a view is `Shared`, and its keys stay valid in the view.
    pub enum EpochAgreement {
        /// No other member is known to have the epoch.
        Alone,
        /// Another member had the epoch. The replica gives it up only for an epoch that is `Shared`.
        Pledged,
        /// Another member has pledged to keep the epoch, or the records are not in doubt. The replica
        /// keeps the epoch.
        Shared,
    }
}

value_type! {
    /// The last view in which a replica was synchronised.
    pub struct SyncedState {
        /// The view.
        pub view: GroupView,
        /// Epoch of the records.
        pub epoch: u64,
        /// What the replica knows of the other members' epochs.
        pub agreement: EpochAgreement,
        /// Time in ms since the records came into doubt, or `None` if they never were.
        pub doubt_age_ms: Option<u64>,
        /// Time in ms since the replica stopped granting in `view`; 0 while it grants.
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
        /// Time in ms since the last change of the record.
        pub age_ms: u64,
        /// Attempts recorded for the key.
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
        /// and sends no copy. Without this flag, the refusal of an earlier pull would be taken for
        /// an empty copy once the requester has reached the same view.
        pub fenced: bool,
        /// The provider's last synchronised view.
        pub synced: Option<SyncedState>,
        /// Views above `synced` for which the provider has sent copies.
        pub supplied: Vec<GroupView>,
        /// The `after` of the pull that this page answers.
        pub after: Option<OrderKey>,
        /// Records with keys above `after`.
        pub records: Vec<CopiedRecord>,
        /// Whether another page follows.
        pub more: bool,
    }
}

value_type! {
    /// Origin of a replica's records of one partition.
    pub struct PartitionLineage {
        /// The partition.
        pub partition: PartitionId,
        /// The view in which the sender is synchronised.
        pub view: GroupView,
        /// Epoch of the records.
        pub epoch: u64,
        /// What the replica knows of the other members' epochs.
        pub agreement: EpochAgreement,
        /// Time in ms since the records came into doubt, or `None` if they never were.
        pub doubt_age_ms: Option<u64>,
    }
}

value_type! {
    /// Message between the order subsystems of two instances.
    pub enum OrderMessage {
        /// A proposer claims a key.
        Claim {
            /// The key.
            key: OrderKey,
            /// The attempt.
            attempt: AttemptId,
            /// Digest of the body.
            body: BodyDigest,
            /// The epoch in a minted key; `None` for other keys.
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
        /// A proposer reports the outcome of an attempt, for the replicas to store.
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
        /// Asks a proposer for the state of one of its attempts.
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
            /// State of the attempt.
            state: AttemptState,
        },
        /// Asks a replica for the record of a key.
        Read {
            /// The asking query.
            query: QueryId,
            /// Start time of the asking process. Query numbers repeat after a restart.
            started: u64,
            /// The key.
            key: OrderKey,
        },
        /// A replica's response to `Read`.
        ReadReply {
            /// The asking query.
            query: QueryId,
            /// Start time of the asking process. Query numbers repeat after a restart.
            started: u64,
            /// The state in which the replica is synchronised, or `None` if it is not.
            synced: Option<SyncedState>,
            /// Attempts recorded for the key.
            attempts: Vec<CopiedAttempt>,
        },
        /// Requests pages of copies.
        Pull(Vec<PartitionPull>),
        /// Pages of copies.
        Copies(Vec<PartitionCopy>),
        /// Tells another member the epochs of the sender's records, so that the members of a view
        /// agree on one epoch.
        Lineages(Vec<PartitionLineage>),
    }
}
