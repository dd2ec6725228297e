//! Messages that instances of the forwarding role send one another in datagrams.

use std::net::SocketAddr;

use super::cold_share::ColdReport;
use super::directory::DirectoryChange;
use super::evacuation::EvacuationTable;
use super::load::LatencyClass;
use super::peers::PeerDigest;
use super::regions::RegionLimit;
use super::speed_samples::EngineQueue;
use super::store_position::StoreEra;
use super::zone_plan::ZonePlan;
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
        /// The sender's table of evacuated zones: from the instance that reads a change to all others,
        /// and between instances whose digests show that their tables differ.
        Evacuations(EvacuationSync),
        /// Servers that said themselves that they are cold: from an instance to the coordinator, and
        /// from it to all others.
        Cold(Vec<ColdReport>),
        /// Asks the coordinator whether a run may be resumed at a cold server.
        ColdQuestion(ColdQuestion),
        /// Relays of the receiver's zone: from a hub to the relays, and from them to the members.
        ZonePlan(ZonePlan),
        /// A message for the receiver, which passes it on to a group and to the relays of others.
        ZoneRelayed(ZoneRelayedMessage),
        /// Digest of a hub for a relay, which passes it on within its zone.
        ZoneDigest(PeerDigest),
        /// Digest of a hub from a relay.
        PassedDigest(PeerDigest),
        /// Plain servers that are not of average speed now: from the coordinator to all others.
        Speeds(Vec<PlainSpeed>),
        /// How an engine in slow start answers; sent to the coordinator.
        Answered(AnswerReport),
    }
}

/// Bytes that stand for the fields that messages of earlier versions lack.
const MISSING_FIELDS: [u8; 8] = [0; 8];
/// First bytes of the messages that have gained fields: digests, `Servers`, `Evacuations`, `ZoneDigest` and
/// `PassedDigest`.
const EXTENDED_KINDS: [u8; 5] = [0, 1, 12, 17, 18];

impl PeerMessage {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        // The last fields of a message of an earlier version are missing and count as 0, so that
        // instances hear one another while they are upgraded one after the other.
        let is_extended = bytes.first().is_some_and(|kind| EXTENDED_KINDS.contains(kind));
        postcard::from_bytes(bytes).or_else(|error| match error {
            postcard::Error::DeserializeUnexpectedEnd if is_extended => {
                postcard::from_bytes(&[bytes, &MISSING_FIELDS].concat())
            },
            _ => Err(error),
        })
    }

    /// Returns whether an instance passes the message on for another one.
    pub fn may_be_relayed(&self) -> bool {
        matches!(
            self,
            Self::Servers(_)
                | Self::Leaving(_)
                | Self::LedgerNews(_)
                | Self::Evacuations(_)
                | Self::Cold(_)
                | Self::Speeds(_)
        )
    }

    /// Returns the kind of the message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) | Self::ZoneDigest(_) => "digest",
            Self::PassedDigest(_) => "passed_digest",
            Self::Servers(_) => "servers",
            Self::Leaving(_) => "leaving",
            Self::Fault(_) | Self::Unresponsive(_) | Self::Ended(_) => "fault",
            Self::Question(_) | Self::ColdQuestion(_) => "question",
            Self::Cold(_) => "cold",
            Self::Answer(_) => "answer",
            Self::Evacuations(_) => "evacuations",
            Self::Relayed(_) | Self::ZoneRelayed(_) => "relayed",
            Self::Speeds(_) => "speeds",
            Self::Answered(_) => "answered",
            Self::LedgerNews(_) | Self::LedgerState(_) | Self::LedgerSync(_) => "ledger",
            Self::ZonePlan(_) => "zone_plan",
        }
    }
}

value_type! { copy
    /// Speed of a plain server.
    pub struct PlainSpeed {
        /// Hash of the server's id.
        pub server: u64,
        /// Part of the hash of the server's start, as in `SpeedReport`.
        pub start: u16,
        /// Time until an answer in percent of the median of the service.
        pub percent: u16,
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
    /// A table of evacuated zones.
    pub struct EvacuationSync {
        /// The sender's table.
        pub table: EvacuationTable,
        /// Purpose of the message.
        pub purpose: SyncPurpose,
        /// History of the store to which the table belongs; unstated in messages of earlier versions.
        pub era: StoreEra,
    }
}

value_type! { copy
    /// Purpose of sending a table.
    pub enum SyncPurpose {
        /// The table has changed, or differs from the receiver's. A receiver whose table differs after
        /// the merge sends its own.
        Share,
        /// The sender asks for the receiver's table, with a number for the answer.
        Ask(u64),
        /// Answer to the question with this number, or 0 if there was none.
        Answer(u64),
    }
}

value_type! {
    /// A message that the receiver applies and passes on to others.
    pub struct RelayedMessage {
        /// Peers to which the receiver sends the message.
        pub targets: Vec<SocketAddr>,
        /// An encoded `PeerMessage` for which `may_be_relayed` holds; others are dropped.
        pub message: Vec<u8>,
    }
}

value_type! {
    /// A message that the receiver applies and passes on within its zone.
    pub struct ZoneRelayedMessage {
        /// Peers to which the receiver sends the message itself.
        pub targets: Vec<SocketAddr>,
        /// Other groups of the zone.
        pub onward: Vec<OnwardGroup>,
        /// As in `RelayedMessage`.
        pub message: Vec<u8>,
    }
}

value_type! {
    /// A group to whose relays a message is passed on.
    pub struct OnwardGroup {
        /// Relays to which the receiver sends the message; if there is none, it sends the message to the
        /// members itself.
        pub relays: Vec<SocketAddr>,
        /// Peers to which the relays send it.
        pub members: Vec<SocketAddr>,
    }
}

impl ZoneRelayedMessage {
    /// Returns what the receiver sends to whom: `None` stands for the message itself.
    pub fn sends(self) -> Vec<(Vec<SocketAddr>, Option<PeerMessage>)> {
        let mut sends = vec![(self.targets, None)];
        for group in self.onward {
            sends.push(if group.relays.is_empty() {
                (group.members, None)
            } else {
                let message = self.message.clone();
                let relayed = RelayedMessage { targets: group.members, message };
                (group.relays, Some(PeerMessage::Relayed(relayed)))
            });
        }
        sends
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
        /// Remaining cold times of the servers among them.
        pub cold: Vec<ColdReport>,
        /// History of the store to which the revisions belong; unstated in messages of earlier versions.
        pub era: StoreEra,
    }
}

value_type! { copy
    /// Question to the coordinator whether a run may be resumed at a cold server. A `PlaceAnswer` with
    /// the server's hash permits it.
    pub struct ColdQuestion {
        /// Number that the answer repeats, for matching the two.
        pub number: u64,
        /// Hash of the server's start.
        pub server: u64,
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
        /// How the objective compares with those of other requests to the service.
        pub latency: LatencyClass,
        /// Hashes of the ids of servers that must not be chosen.
        pub excluded: Vec<u64>,
        /// Preferred availability zone.
        pub zone: String,
        /// Regions whose servers may be chosen.
        pub regions: RegionLimit,
    }
}

value_type! { copy
    /// What a run that is not placed waits for.
    #[derive(Default)]
    pub struct RunBacklog {
        /// Number of waiting runs that are served before this one, or 0 while it must not be refused for
        /// its position.
        pub ahead: u16,
        /// Expected milliseconds until the run is placed; 0 if there is no forecast.
        pub wait_ms: u32,
    }
}

value_type! { copy
    /// Where a run is placed.
    pub enum PlaceVerdict {
        /// On the server whose id has this hash.
        Server(u64),
        /// Not placed: no engine has room for it.
        Full(RunBacklog),
        /// Not placed: no server accepts it, or the budget for moves is used up.
        Nowhere,
        /// Not placed: only cold engines have room for it, and the coordinator's share of their rate
        /// limits is used up. The asking instance may use its own share.
        Limited,
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
        /// Work at the engine that the run was placed on; `None` unless speeds are compared.
        pub queue: Option<EngineQueue>,
    }
}
