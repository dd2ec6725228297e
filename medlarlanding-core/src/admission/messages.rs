//! Messages between the admission controllers of two instances.

use serde::Serialize;

use crate::config::DeskObjective;
use crate::ids::{CustomerId, RouteId, ServerId};
use crate::wire::DATAGRAM_LIMIT;

/// Bytes of a datagram reserved for the frame's envelope, its tag and the fields around a batch.
const ENVELOPE_BYTES: usize = 128;

value_type! { copy
    /// Stage of a reported request.
    pub enum WorkStage {
        /// Waits for a permit.
        Waiting {
            /// Time until the caller's deadline, ms.
            #[serde(rename = "patience_ms")]
            time_left_ms: u32,
            /// Number of servers for which a permit was requested, at most 255.
            #[serde(rename = "asks")]
            servers_asked: u8,
        },
        /// Runs on the server.
        Running,
    }
}

value_type! { copy
    /// One request in a report. Holds all that a manager needs to know, so that a new manager can
    /// start without earlier reports.
    pub struct WorkItem {
        /// Number of the request within the reporting process.
        pub number: u64,
        /// The server that it waits for or runs on.
        pub server: ServerId,
        /// Route, which selects the length distribution.
        pub route: RouteId,
        /// Customer, whose requests share one place in the round robin of the queue.
        pub customer: CustomerId,
        /// Weight of the customer in the round robin.
        pub share: u32,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Tokens decoded so far.
        pub decoded: u32,
        /// Upper limit of output tokens.
        pub max_tokens: u32,
        /// Priority from 0 to 9; 9 is the most urgent.
        pub priority: u8,
        /// Objective of the desk, which selects the memory reserve and the batch limit.
        pub objective: DeskObjective,
        /// Whether the customer has more requests open than its soft limit; other customers'
        /// requests of the same priority then come first.
        #[serde(rename = "surplus")]
        pub over_soft_limit: bool,
        /// Whether the request waits or runs.
        pub stage: WorkStage,
    }
}

value_type! { copy
    /// A request that no longer waits for or runs on a server.
    pub struct ReleasedWork {
        /// The server that it waited for or ran on.
        pub server: ServerId,
        /// Number of the request within the reporting process.
        pub number: u64,
        /// Sequence number of the first message that carried the release; repetitions keep it.
        pub seq: u64,
        /// Tokens decoded; 0 if the request did not run.
        pub decoded: u32,
    }
}

value_type! { copy
    /// Load and expected wait of a server, computed by its manager.
    pub struct ServerStatus {
        /// The server.
        pub server: ServerId,
        /// Forecast memory use or batch use, whichever is higher, in thousandths of the capacity.
        pub load_permille: u32,
        /// Number of queued requests.
        pub queued: u32,
        /// Expected wait of a new request of priority 5, ms.
        pub wait_ms: u32,
        /// Whether new permits are granted.
        #[serde(rename = "open")]
        pub accepting: bool,
    }
}

value_type! { copy
    /// Reason for which a manager grants no permit.
    pub enum DeclineReason {
        /// The receiver does not manage the server according to its own list of live instances.
        NotManager,
        /// The server is leaving or suspected.
        ServerClosed,
        /// The queue has reached `queue_limit`.
        QueueFull,
        /// The request is not expected to complete before the caller's deadline.
        WaitTooLong,
        /// The prompt does not fit into the server's memory, whatever else runs.
        TooLarge,
    }
}

value_type! { copy
    /// Open requests of one customer at one instance.
    pub struct CustomerCount {
        /// The customer.
        pub customer: CustomerId,
        /// Limit of open requests over all instances.
        pub limit: u32,
        /// Open requests at the reporting instance.
        pub open: u32,
        /// Number of further requests that wait there for a larger allotment.
        pub wanted: u32,
    }
}

value_type! { copy
    /// Number of requests of one customer that one instance may have open.
    pub struct CustomerAllotment {
        /// The customer.
        pub customer: CustomerId,
        /// Number of requests, including those that are already open.
        pub allotment: u32,
        /// Whether the customer has more requests open, over all instances, than its soft limit.
        #[serde(rename = "surplus")]
        pub over_soft_limit: bool,
    }
}

value_type! { copy
    /// One bin of a length summary; the counts are in sixteenths of a generation.
    pub struct LengthBin {
        /// Index of the bin.
        pub bin: u8,
        /// Generations that decoded past the bin, whether or not they have ended.
        pub passed: u32,
        /// Generations that ended in the bin.
        pub ended: u32,
    }
}

value_type! {
    /// Messages between the admission controllers of two instances.
    ///
    /// `seq` rises with each message that a process sends unasked, so that receivers can drop
    /// delayed and repeated copies. A reply carries the `seq` of the message that it answers.
    pub enum AdmissionMessage {
        /// Instance to manager: requests at the manager's servers. Answered with `Status`.
        Report {
            /// Sequence number of the message.
            seq: u64,
            /// Requests that wait or run.
            items: Vec<WorkItem>,
            /// Further servers whose status is requested.
            polls: Vec<ServerId>,
            /// Whether `items` holds all requests of the sender at the manager's servers.
            complete: bool,
        },
        /// Instance to manager: requests that no longer wait or run. Sent more than once,
        /// because the memory stays charged until the permit lapses if the message is lost.
        Release {
            /// Sequence number of the message; a repetition gets a new one.
            seq: u64,
            /// The released requests.
            items: Vec<ReleasedWork>,
        },
        /// Instance to manager: a server does not respond.
        Suspect {
            /// Sequence number of the message.
            seq: u64,
            /// The unresponsive server.
            server: ServerId,
        },
        /// Manager to instance: a request may start.
        Grant {
            /// Sequence number of the latest message about the request that the manager received.
            /// The permit's lease does not end earlier than one lease after that message was sent.
            #[serde(rename = "heard")]
            acked_seq: u64,
            /// Number of the request within the receiving process.
            number: u64,
            /// Status of the server that the permit is for.
            status: ServerStatus,
        },
        /// Manager to instance: a request gets no permit.
        Decline {
            /// Sequence number of the latest message about the request that the manager received.
            #[serde(rename = "heard")]
            acked_seq: u64,
            /// Number of the request within the receiving process.
            number: u64,
            /// The server for which the permit was requested.
            server: ServerId,
            /// Reason for the refusal.
            reason: DeclineReason,
        },
        /// Manager to instance: reply to `Report`. Requests that were neither granted nor
        /// declined are queued.
        Status {
            /// Sequence number of the report.
            seq: u64,
            /// Status of the reported and polled servers that the sender manages.
            servers: Vec<ServerStatus>,
        },
        /// Instance to the manager of customers: open requests. Answered with `Allot`.
        Counts {
            /// Sequence number of the message.
            seq: u64,
            /// One entry per customer.
            counts: Vec<CustomerCount>,
        },
        /// Manager of customers to instance: reply to `Counts`.
        Allot {
            /// Sequence number of the `Counts` message.
            seq: u64,
            /// One entry per customer.
            allotments: Vec<CustomerAllotment>,
        },
        /// Instance to instance: answer lengths that the sender itself observed on one route.
        Lengths {
            /// Sequence number of the message.
            seq: u64,
            /// The observed route.
            route: RouteId,
            /// Bins with observations.
            bins: Vec<LengthBin>,
        },
    }
}

/// Splits a batch so that each part fits into one datagram with its envelope. Keeps the order.
pub fn split_for_datagrams<T: Serialize + Clone>(items: &[T]) -> Vec<Vec<T>> {
    let limit = DATAGRAM_LIMIT - ENVELOPE_BYTES;
    let mut parts = Vec::new();
    let mut part: Vec<T> = Vec::new();
    let mut size = 0;
    for item in items {
        let bytes = postcard::to_stdvec(item).map_or(limit, |bytes| bytes.len());
        if size + bytes > limit && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 0;
        }
        size += bytes;
        part.push(item.clone());
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
