//! Messages between the distribution subsystems of two instances.

use std::sync::Arc;

use super::delta::TextDelta;
use super::versions::Subject;
use crate::ids::InstanceId;
use crate::views::InstanceList;

value_type! { copy
    /// Number and content digest of a version. The digest tells apart two contents that were
    /// published under the same number.
    pub struct VersionMark {
        /// Revision number assigned by the platform.
        pub version: u64,
        /// First 8 bytes of the content's BLAKE3 digest.
        pub digest: u64,
    }
}

value_type! {
    /// Content of a version.
    pub enum Payload {
        /// Configuration text.
        Config(Arc<str>),
        /// Instance list.
        List(Arc<InstanceList>),
    }
}

impl Payload {
    /// Returns the published value that this is a version of.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Config(_) => Subject::Config,
            Self::List(_) => Subject::List,
        }
    }

    /// Returns the digest for [`VersionMark::digest`].
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
    /// Form in which the content of a version is transferred.
    pub enum ValueBody {
        /// The whole content.
        Full(Payload),
        /// Difference from a configuration text that the receiver has.
        Delta {
            /// Version that the difference is applied to.
            base: VersionMark,
            /// Difference between the two texts.
            delta: TextDelta,
        },
    }
}

value_type! {
    /// Messages between the distribution subsystems of two instances.
    pub enum DistributionMessage {
        /// Asks which versions are in effect at the receiver.
        Query {
            /// Number chosen by the sender, returned in the reply.
            query: u32,
        },
        /// Answers a `Query`. A version is 0 if none is in effect.
        QueryReply {
            /// Number in the query.
            query: u32,
            /// Configuration version in effect at the sender.
            config: u64,
            /// List version in effect at the sender.
            list: u64,
        },
        /// Announces a version that came into effect at the sender.
        Announce {
            /// Published value that changed.
            subject: Subject,
            /// New version.
            mark: VersionMark,
        },
        /// Requests the version in effect at the receiver with its content. Sent on a stream.
        Fetch {
            /// Published value to transfer.
            subject: Subject,
            /// Number chosen by the sender, returned in the answer.
            number: u32,
            /// Version in effect at the sender, which the answer may be a difference from.
            base: Option<VersionMark>,
        },
        /// Answers a `Fetch`. Sent on a stream.
        Value {
            /// Number in the fetch.
            number: u32,
            /// Version in effect at the sender.
            mark: VersionMark,
            /// Time in ms since the platform was last known to publish the version; `None` if
            /// unknown.
            age_ms: Option<u64>,
            /// Content of the version.
            body: ValueBody,
        },
        /// Answers a `Fetch` if no version is in effect. Sent on a stream.
        Missing {
            /// Number in the fetch.
            number: u32,
        },
        /// Reports that a watcher reads the platform successfully. Each receiver forwards it at
        /// most once.
        #[serde(rename = "Confirm")]
        Heartbeat {
            /// Instance that watches the platform.
            watcher: InstanceId,
            /// Start time of the watcher's process, in ms of its wall clock.
            started: u64,
            /// Number of the heartbeat; increases with each one that the process sends.
            number: u32,
            /// Configuration version in effect at the watcher.
            config: u64,
            /// List version in effect at the watcher.
            list: u64,
        },
    }
}
