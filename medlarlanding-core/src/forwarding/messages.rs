//! Messages that instances of the forwarding role send one another in datagrams.

use std::net::SocketAddr;

use super::directory::DirectoryChange;
use super::peers::PeerDigest;
use crate::pacing::AnswerPart;
use crate::prompts::LedgerNews;

value_type! {
    /// Content of one datagram.
    pub enum PeerMessage {
        /// State and load of the sender.
        Digest(PeerDigest),
        /// Changes of server entries.
        Servers(ServerChanges),
        /// Hashes of the starts of servers that said themselves that they are leaving: from an instance
        /// to the coordinator, and from it to all others.
        Leaving(Vec<u64>),
        /// Hash of the id of an engine that failed a request; sent to the coordinator, which
        /// places generations for all instances.
        Fault(u64),
        /// Asks the coordinator on which engine to run a generation.
        Question(PlaceQuestion),
        /// The coordinator's answer to a question.
        Answer(PlaceAnswer),
        /// A message for the receiver, which also passes it on.
        Relayed(RelayedMessage),
        /// Hash of the id of an engine that does not admit a moved run; sent to the coordinator.
        Unresponsive(u64),
        /// New entries of the ledger of broken runs: from an instance to the coordinator, and from it to
        /// all others.
        LedgerNews(LedgerNews),
        /// Fingerprint of the sender's ledger, sent with digests unless the ledger is empty.
        LedgerState(u64),
        /// Entries of the sender's ledger, sent to a peer with another fingerprint.
        LedgerSync(LedgerSync),
        /// Hash of the id of an engine that has ended; sent to the coordinator.
        Ended(u64),
        /// How an engine in slow start answers; sent to the coordinator.
        Answered(AnswerReport),
    }
}

impl PeerMessage {
    /// Returns whether an instance passes the message on for another one.
    pub fn may_be_relayed(&self) -> bool {
        matches!(self, Self::Servers(_) | Self::Leaving(_) | Self::LedgerNews(_))
    }

    /// Returns the kind of the message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Servers(_) => "servers",
            Self::Leaving(_) => "leaving",
            Self::Fault(_) | Self::Unresponsive(_) | Self::Ended(_) => "fault",
            Self::Question(_) => "question",
            Self::Answer(_) => "answer",
            Self::Relayed(_) => "relayed",
            Self::Answered(_) => "answered",
            Self::LedgerNews(_) | Self::LedgerState(_) | Self::LedgerSync(_) => "ledger",
        }
    }
}

value_type! {
    /// Part of all entries of the sender's ledger.
    pub struct LedgerSync {
        /// Some of the entries.
        pub news: LedgerNews,
        /// Fingerprint of the sender's ledger if the receiver is to send its own entries in turn; `None`
        /// in all but the last part, and in answers.
        pub answer_unless: Option<u64>,
    }
}

value_type! {
    /// A message that the receiver applies and passes on to others.
    pub struct RelayedMessage {
        /// Peers to which the receiver sends the message.
        pub targets: Vec<SocketAddr>,
        /// An encoded `PeerMessage::Servers`, `PeerMessage::Leaving` or `PeerMessage::LedgerNews`;
        /// others are dropped.
        pub message: Vec<u8>,
    }
}

value_type! {
    /// Changes of server entries between two revisions of the store.
    pub struct ServerChanges {
        /// Revision that a receiver must have reached to apply the changes.
        pub after: u64,
        /// Revision that a receiver has reached once it has applied them.
        pub revision: u64,
        /// Entries that were written or removed between the two revisions.
        pub changes: Vec<DirectoryChange>,
    }
}

value_type! { copy
    /// Reason for placing a generation.
    pub enum PlacePurpose {
        /// A new run whose first event can still arrive in time.
        Start,
        /// A new run whose first event will be late; it gets only room that runs which can still be
        /// in time leave free.
        StartLate,
        /// A run that moves off a leaving engine.
        Move,
        /// The same run after a destination has refused it.
        MoveAgain,
    }
}

value_type! {
    /// Question to the coordinator on which engine to run a generation.
    pub struct PlaceQuestion {
        /// Number that the answer repeats, for matching the two.
        pub number: u64,
        /// Hash of the request's id; the same each time the request asks.
        pub run: u64,
        /// Reason for placing the generation.
        pub purpose: PlacePurpose,
        /// Service that the request goes to.
        pub service: String,
        /// Tokens that the run occupies in memory at the start.
        pub prompt: u32,
        /// Expected number of output tokens.
        pub output: u32,
        /// Milliseconds until the first event is due; 0 if it is late.
        pub due_ms: u32,
        /// Priority; 0 is the most urgent.
        pub priority: u8,
        /// Hashes of the ids of servers that must not be chosen.
        pub excluded: Vec<u64>,
        /// Preferred availability zone.
        pub zone: String,
    }
}

value_type! { copy
    /// Where a run is placed.
    pub enum PlaceVerdict {
        /// On the server whose id has this hash.
        Server(u64),
        /// Not placed: no engine has room for it. The number of waiting runs that are served before
        /// this one, or 0 while it must not be refused for its position.
        Full(u16),
        /// Not placed: no server accepts it, or the budget for moves is used up.
        Nowhere,
        /// On the server whose id has this hash and which is in slow start: the receiver reports how it
        /// answers.
        Ramping(u64),
    }
}

value_type! { copy
    /// How an engine in slow start answered a request, as the instance that sent the request saw it.
    pub struct AnswerReport {
        /// Hash of the engine's id.
        pub server: u64,
        /// Milliseconds since the request was sent.
        pub age_ms: u32,
        /// What the engine did.
        pub outcome: AnswerOutcome,
    }
}

value_type! { copy
    /// What an engine in slow start did with a request.
    pub enum AnswerOutcome {
        /// It sent a part of its answer. The time in percent of that of its peers; 0 if that is unknown.
        Answered(AnswerPart, u16),
        /// It refused the request.
        Refused,
    }
}

value_type! { copy
    /// Answer to a `PlaceQuestion`.
    pub struct PlaceAnswer {
        /// Number of the question.
        pub number: u64,
        /// Where the run is placed.
        pub verdict: PlaceVerdict,
        /// Number of the grant, which the receiver reports in its digests; 0 if the run was not
        /// placed.
        pub grant: u64,
    }
}
