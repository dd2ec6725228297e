//! Datagrams between instances of the forwarding role.

use super::directory::DirectoryChange;
use super::peers::PeerDigest;

value_type! {
    /// A message in one datagram.
    pub enum PeerMessage {
        /// State and load of the sender.
        Digest(PeerDigest),
        /// Changes of server entries.
        Servers(ServerChanges),
        /// Hashes of the ids of servers that said they leave while the store was away.
        Leaving(Vec<u64>),
        /// Hash of the id of an engine that failed a request, for the instance that places
        /// generations.
        Fault(u64),
        /// Asks where to run a generation.
        Question(PlaceQuestion),
        /// Tells where to run a generation.
        Answer(PlaceAnswer),
    }
}

value_type! {
    /// Changes of server entries between two revisions of the store.
    pub struct ServerChanges {
        /// Revision that a receiver must know to apply the changes.
        pub after: u64,
        /// Revision that a receiver knows when it has applied them.
        pub revision: u64,
        /// The changes.
        pub changes: Vec<DirectoryChange>,
    }
}

value_type! { copy
    /// What a generation is placed for.
    pub enum PlacePurpose {
        /// A new run whose first event can still come in time.
        Start,
        /// A new run that is late already; it takes what runs that can be in time leave.
        StartLate,
        /// A run that leaves an engine.
        Move,
        /// A run that leaves an engine and whose first destination refused it.
        MoveAgain,
    }
}

value_type! {
    /// Asks the instance that places generations for a server.
    pub struct PlaceQuestion {
        /// Number that the answer repeats.
        pub number: u64,
        /// Hash of the request's id; the same each time the request asks.
        pub run: u64,
        /// What the server is for.
        pub purpose: PlacePurpose,
        /// Service that the request goes to.
        pub service: String,
        /// Tokens in memory at the start.
        pub prompt: u32,
        /// Output tokens that are expected.
        pub output: u32,
        /// Time until the first event is due in milliseconds; 0 if it is late.
        pub due_ms: u32,
        /// Rank, 0 first.
        pub priority: u8,
        /// Hashes of servers that must not be chosen.
        pub excluded: Vec<u64>,
        /// Availability zone that is preferred.
        pub zone: String,
    }
}

value_type! { copy
    /// Where a run may go.
    pub enum PlaceVerdict {
        /// To the server with this hash of its id.
        Server(u64),
        /// Every engine is full, and this many waiting runs are served before this one.
        Full(u16),
        /// No server takes work.
        Nowhere,
    }
}

value_type! { copy
    /// Answers a `PlaceQuestion`.
    pub struct PlaceAnswer {
        /// Number of the question.
        pub number: u64,
        /// Where the run may go.
        pub verdict: PlaceVerdict,
        /// Number of the grant; the receiver reports it with its load.
        pub grant: u64,
    }
}
