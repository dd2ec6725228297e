//! Identifiers; those derived from a name are the same in every process that knows the name.

use std::fmt;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns a hash that is the same in every process and every build.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6d65_646c_6172, 0x006c_616e_6469_6e67);
    hasher.write(bytes);
    hasher.finish()
}

macro_rules! stable_id {
    ($(#[$meta:meta])* $name:ident) => {
        value_type! { copy
            $(#[$meta])*
            pub struct $name(pub u64);
        }

        impl $name {
            /// Derives the id from the name in the configuration or the instance list.
            pub fn from_name(name: &str) -> Self {
                Self(stable_hash(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

stable_id! {
    /// Identifies an instance by its name in the instance list.
    InstanceId
}
stable_id! {
    /// Identifies an availability zone.
    ZoneId
}
stable_id! {
    /// Identifies a customer.
    CustomerId
}
stable_id! {
    /// Identifies a desk.
    DeskId
}
stable_id! {
    /// Identifies a backend server, either a model engine or a service.
    ServerId
}
stable_id! {
    /// Identifies a route of the configuration tree.
    RouteId
}

value_type! { copy
    /// Distinguishes the processes that an instance runs one after another.
    ///
    /// Ordered by `started` first, so the incarnation of a restarted process is higher than any of
    /// the process before it.
    #[derive(Default)]
    pub struct Incarnation {
        /// Start time of the process in milliseconds of its wall clock.
        pub started: u64,
        /// Number of times the process refuted a suspicion. Incarnations with the same `started`
        /// belong to one process, which keeps its state across refutations.
        pub refutations: u32,
    }
}

impl Incarnation {
    /// Creates the first incarnation of a process that started at `started`, in milliseconds of
    /// its wall clock.
    pub fn new(started: u64) -> Self {
        Self { started, refutations: 0 }
    }

    /// Returns whether both values belong to the same process.
    pub fn same_process(self, other: Self) -> bool {
        self.started == other.started
    }
}

value_type! { copy
    /// An instance together with the incarnation of its process.
    pub struct InstanceIdentity {
        /// Id of the instance.
        pub id: InstanceId,
        /// Incarnation of its process.
        pub incarnation: Incarnation,
    }
}

value_type! { copy
    /// Identifies a caller's request; unique over all processes.
    pub struct RequestId {
        /// Instance that accepted the request.
        pub instance: InstanceId,
        /// Start time of the process that accepted it, in milliseconds of its wall clock.
        pub started: u64,
        /// Number of the request within that process, starting at 1.
        pub number: u64,
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}-{:x}", self.instance.0, self.started, self.number)
    }
}

impl RequestId {
    /// Parses a request id in the format of its `Display` implementation.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        let id = Self {
            instance: InstanceId(parts.next()?.ok()?),
            started: parts.next()?.ok()?,
            number: parts.next()?.ok()?,
        };
        parts.next().is_none().then_some(id)
    }
}
