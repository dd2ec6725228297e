//! Messages between the admission subsystems of two instances.

use serde::Serialize;

use crate::config::DeskObjective;
use crate::ids::{CustomerId, RouteId, ServerId};
use crate::wire::DATAGRAM_LIMIT;

/// Bytes of a datagram kept for the frame's envelope, its tag and the fields around a batch.
const ENVELOPE_BYTES: usize = 128;

value_type! { copy
    /// Stage of a reported request.
    pub enum WorkStage {
        /// Waits for a permit.
        Waiting {
            /// Time until the caller's deadline, ms.
            patience_ms: u32,
            /// Number of managers that the request waits at.
            asks: u8,
        },
        /// Runs on the server.
        Running,
    }
}

value_type! { copy
    /// One request in a report. Complete in itself, so that a new manager needs no history.
    pub struct WorkItem {
        /// Number of the request within the reporting process.
        pub number: u64,
        /// The server it waits for or runs on.
        pub server: ServerId,
        /// Route, which selects the length distribution.
        pub route: RouteId,
        /// Customer, which selects the queue.
        pub customer: CustomerId,
        /// Share of the customer.
        pub share: u32,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Tokens decoded so far.
        pub decoded: u32,
        /// Largest number of output tokens.
        pub max_tokens: u32,
        /// 0 to 9, 9 most urgent.
        pub priority: u8,
        /// DeskObjective of the desk.
        pub objective: DeskObjective,
        /// Whether the customer uses so much of its limit that others come first.
        pub surplus: bool,
        /// Whether it waits or runs.
        pub stage: WorkStage,
    }
}

value_type! { copy
    /// A request that no longer waits for or runs on a server.
    pub struct ReleasedWork {
        /// The server.
        pub server: ServerId,
        /// Number of the request within the reporting process.
        pub number: u64,
        /// Number of the first message that carried the release; repetitions keep it.
        pub seq: u64,
        /// Tokens decoded.
        pub decoded: u32,
    }
}

value_type! { copy
    /// State of a server as its manager sees it.
    pub struct ServerStatus {
        /// The server.
        pub server: ServerId,
        /// Planned memory or batch use, whichever is higher, in thousandths.
        pub load_permille: u32,
        /// Number of queued requests.
        pub queued: u32,
        /// Expected wait of a new request of middle priority, ms.
        pub wait_ms: u32,
        /// Whether new permits are given.
        pub open: bool,
    }
}

value_type! { copy
    /// Reason for which a manager gives no permit.
    pub enum DeclineReason {
        /// The receiver does not manage the server in its own view.
        NotManager,
        /// The server is leaving, suspected or unknown.
        ServerClosed,
        /// The queue is full.
        QueueFull,
        /// The expected wait exceeds the caller's deadline.
        WaitTooLong,
        /// The request can never fit into the server's memory.
        TooLarge,
    }
}

value_type! { copy
    /// Open requests of one customer at one instance.
    pub struct CustomerCount {
        /// The customer.
        pub customer: CustomerId,
        /// Limit over the fleet.
        pub limit: u32,
        /// Open requests at the reporting instance.
        pub open: u32,
        /// Requests that wait for a larger allotment.
        pub wanted: u32,
    }
}

value_type! { copy
    /// Number of requests of one customer that one instance may have open.
    pub struct CustomerAllotment {
        /// The customer.
        pub customer: CustomerId,
        /// The number of requests.
        pub allotment: u32,
        /// Whether the customer uses so much of its limit that others come first.
        pub surplus: bool,
    }
}

value_type! { copy
    /// One bin of a length summary; counts are in sixteenths.
    pub struct LengthBin {
        /// Index of the bin.
        pub bin: u8,
        /// Generations that decoded past the bin.
        pub passed: u32,
        /// Generations that ended in the bin.
        pub ended: u32,
    }
}

value_type! {
    /// Messages between the `admission` subsystems of two instances.
    ///
    /// `seq` rises with every message of a process, so that late copies can be recognised.
    pub enum AdmissionMessage {
        /// Instance to manager: the work at the manager's servers; replied to with `Status`.
        Report {
            /// Number of the message.
            seq: u64,
            /// Requests that wait or run.
            items: Vec<WorkItem>,
            /// Servers whose status is wanted besides.
            polls: Vec<ServerId>,
            /// Whether these are all requests of the sender at the manager's servers.
            complete: bool,
        },
        /// Instance to manager: requests that no longer wait or run. Sent more than once,
        /// because a lost one keeps memory charged until the permit lapses.
        Release {
            /// Number of the message.
            seq: u64,
            /// The requests.
            items: Vec<ReleasedWork>,
        },
        /// Instance to manager: the server does not respond.
        Suspect {
            /// Number of the message.
            seq: u64,
            /// The server.
            server: ServerId,
        },
        /// Manager to instance: the request may start.
        Grant {
            /// Latest message about the request that the manager had received.
            heard: u64,
            /// Number of the request.
            number: u64,
            /// State of the server.
            status: ServerStatus,
        },
        /// Manager to instance: no permit.
        Decline {
            /// Latest message about the request that the manager had received.
            heard: u64,
            /// Number of the request.
            number: u64,
            /// The server.
            server: ServerId,
            /// Why.
            reason: DeclineReason,
        },
        /// Manager to instance: reply to `Report`. Items that were neither granted nor declined
        /// are queued.
        Status {
            /// Number of the report.
            seq: u64,
            /// State of the servers that the report named.
            servers: Vec<ServerStatus>,
        },
        /// Instance to the customer's account manager: open requests.
        Counts {
            /// Number of the message.
            seq: u64,
            /// One entry per customer.
            counts: Vec<CustomerCount>,
        },
        /// The customer's account manager to instance: reply to `Counts`.
        Allot {
            /// Number of the message replied to.
            seq: u64,
            /// One entry per customer.
            allotments: Vec<CustomerAllotment>,
        },
        /// Instance to instance: lengths that the sender itself observed on one route.
        Lengths {
            /// Number of the message.
            seq: u64,
            /// The route.
            route: RouteId,
            /// Bins with observations.
            bins: Vec<LengthBin>,
        },
    }
}

/// Splits a batch so that each part fits into one datagram with its envelope.
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
