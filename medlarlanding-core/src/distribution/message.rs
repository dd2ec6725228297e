//! Messages between the distribution subsystems of two instances.

use std::sync::Arc;

use super::delta::TextDelta;
use super::versions::Subject;
use crate::ids::InstanceId;
use crate::views::InstanceList;

value_type! { copy
    /// A version and the digest of its content.
    pub struct VersionMark {
        /// Revision number of the platform.
        pub version: u64,
        /// First 8 bytes of the content's BLAKE3 digest.
        pub digest: u64,
    }
}

value_type! {
    /// Content of a version.
    pub enum Payload {
        /// The configuration text.
        Config(Arc<str>),
        /// The instance list.
        List(Arc<InstanceList>),
    }
}

impl Payload {
    /// Returns the subject of the content.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Config(_) => Subject::Config,
            Self::List(_) => Subject::List,
        }
    }

    /// Returns the digest that peers compare.
    pub fn digest(&self) -> u64 {
        let hash = match self {
            Self::Config(text) => blake3::hash(text.as_bytes()),
            // Encoding to a vector cannot fail for these types.
            Self::List(list) => blake3::hash(&postcard::to_stdvec(list).unwrap_or_default()),
        };
        let mut bytes = [0u8; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }
}

value_type! {
    /// How the content of a version is transferred.
    pub enum ValueBody {
        /// The whole content.
        Full(Payload),
        /// The difference of a configuration text from one that the receiver reported to hold.
        Delta {
            /// The version that the difference starts from.
            base: VersionMark,
            /// The difference.
            delta: TextDelta,
        },
    }
}

value_type! {
    /// Messages between the distribution subsystems of two instances.
    pub enum DistributionMessage {
        /// Asks which versions the receiver holds.
        Query {
            /// Number chosen by the sender.
            query: u32,
        },
        /// Answers a `Query`. Versions are 0 if nothing is held.
        QueryReply {
            /// Number from the query.
            query: u32,
            /// Configuration version in effect.
            config: u64,
            /// List version in effect.
            list: u64,
        },
        /// Announces a version that came into effect at the sender.
        Announce {
            /// What the version is of.
            subject: Subject,
            /// The version.
            mark: VersionMark,
        },
        /// Asks for the content of the receiver's version. Sent on a stream.
        Fetch {
            /// What is asked for.
            subject: Subject,
            /// Number chosen by the sender.
            number: u32,
            /// Version that the sender holds and that a difference may start from.
            base: Option<VersionMark>,
        },
        /// Answers a `Fetch`. Sent on a stream.
        Value {
            /// Number from the fetch.
            number: u32,
            /// The version.
            mark: VersionMark,
            /// Age of its confirmation in ms.
            age_ms: Option<u64>,
            /// The content.
            body: ValueBody,
        },
        /// Answers a `Fetch` if nothing is held. Sent on a stream.
        Missing {
            /// Number from the fetch.
            number: u32,
        },
        /// Reports that a watcher reads the platform without faults. Passed on once by each
        /// receiver.
        Confirm {
            /// The watcher.
            watcher: InstanceId,
            /// Start time of the watcher's process.
            started: u64,
            /// Number of the confirmation, rising.
            number: u32,
            /// Configuration version in effect at the watcher.
            config: u64,
            /// List version in effect at the watcher.
            list: u64,
        },
    }
}
