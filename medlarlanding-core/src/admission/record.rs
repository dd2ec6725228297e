//! Record of the decision about one request, for the dump.

use crate::ids::{RequestId, ServerId};

value_type! { copy
    /// Reason for the choice of a server or for a refusal.
    #[serde(rename_all = "snake_case")]
    pub enum DecisionReason {
        /// Not decided yet.
        Pending,
        /// The server had the least load in this instance's view.
        LeastLoaded,
        /// The server most likely holds the prompt's prefix and was not much more loaded.
        PrefixAffinity,
        /// The first server to have room after waiting in queues.
        FirstRoom,
        /// The manager could not be reached; the instance used its own share.
        LocalShare,
        /// The generation was already running and was taken over.
        Adopted,
        /// Every manager expects a wait beyond the deadline or has a full queue.
        Overloaded,
        /// The deadline came before a permit.
        DeadlineReached,
        /// The customer has reached its limit of open requests.
        CustomerLimit,
        /// No candidate takes new work.
        NoServer,
    }
}

value_type! { copy
    /// A candidate as the instance saw it when it ranked the servers.
    pub struct CandidateView {
        /// The server.
        pub server: ServerId,
        /// Planned use in thousandths.
        pub load_permille: u32,
        /// Expected wait, ms.
        pub wait_ms: u32,
    }
}

value_type! {
    /// The decision about one request.
    pub struct DecisionRecord {
        /// The request.
        pub request: RequestId,
        /// Candidates in the order in which they were preferred.
        pub candidates: Vec<CandidateView>,
        /// Servers whose managers were asked, in order.
        pub asked: Vec<ServerId>,
        /// The server that was chosen.
        pub chosen: Option<ServerId>,
        /// Why.
        pub reason: DecisionReason,
        /// Time from the request to the decision, ms.
        pub waited_ms: u64,
    }
}
