//! Records of admission decisions for the dump.

use crate::ids::{RequestId, ServerId};

value_type! { copy
    /// Reason for the choice of a server or for a refusal.
    #[serde(rename_all = "snake_case")]
    pub enum DecisionReason {
        /// Not decided yet.
        Pending,
        /// The server had the shortest wait, then the least load, that this instance knew of.
        LeastLoaded,
        /// The server likely holds the prompt's prefix in its cache, and its load and wait were
        /// within the bounds for a preferred server.
        PrefixAffinity,
        /// The request waited in one or more queues, and this server was the first to grant a
        /// permit.
        #[serde(rename = "first_room")]
        FirstAvailable,
        /// The server's manager could not be reached, and the instance used its local share of
        /// the capacity.
        LocalShare,
        /// The generation was already running when this instance took it over.
        Adopted,
        /// No manager granted a permit, and at least one declined because of a full queue, a
        /// wait beyond the deadline or a request too large; or too little time was left to
        /// request one.
        Overloaded,
        /// No permit was granted in time for the deadline.
        DeadlineReached,
        /// The customer has reached its limit of open requests.
        CustomerLimit,
        /// No candidate accepts new requests.
        NoServer,
    }
}

value_type! { copy
    /// Load and expected wait of a candidate when the instance ranked the servers.
    pub struct CandidateView {
        /// The server.
        pub server: ServerId,
        /// Fraction of the capacity in use, in thousandths.
        pub load_permille: u32,
        /// Expected wait, ms; 4294967295 if the server's manager cannot be reached.
        pub wait_ms: u32,
    }
}

value_type! {
    /// The decision about one request.
    pub struct DecisionRecord {
        /// The request.
        pub request: RequestId,
        /// Candidates, best first.
        pub candidates: Vec<CandidateView>,
        /// Servers for which a permit was requested, in order.
        pub asked: Vec<ServerId>,
        /// The chosen server; absent while undecided and after a refusal.
        pub chosen: Option<ServerId>,
        /// Reason for the choice or the refusal.
        pub reason: DecisionReason,
        /// Time from the request's arrival to the decision, ms.
        pub waited_ms: u64,
    }
}
