//! Frames between instances: a version byte, a postcard payload and an authentication tag.

use std::fmt;

use crate::admission::AdmissionMessage;
use crate::distribution::DistributionMessage;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::membership::MembershipMessage;
use crate::orders::OrderMessage;
use crate::prompts::LedgerNews;

use serde::{Deserialize, Serialize};

/// Version of the frame format. Frames with another version are dropped.
pub const FRAME_VERSION: u8 = 2;
/// Maximum size of a datagram in bytes. It fits into an Ethernet frame without fragmentation.
pub const DATAGRAM_LIMIT: usize = 1200;
/// Maximum size of a frame on a TCP connection in bytes: a configuration text of 1 MiB, and 64 KiB
/// for the rest of the frame.
pub const STREAM_FRAME_LIMIT: usize = (1 << 20) + (64 << 10);

const TAG_LEN: usize = 16;
const KEY_CONTEXT: &str = "medlarlanding 2026-12 peer frames";

value_type! { copy
    /// Transport of a message between instances.
    pub enum PeerTransport {
        /// UDP datagram, for small messages that may be lost, duplicated or reordered.
        Datagram,
        /// TCP connection, for messages that are large or must arrive.
        Stream,
    }
}

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and dissemination of leaving servers.
    Membership(MembershipMessage),
    /// Distribution of the configuration and the instance list.
    Distribution(DistributionMessage),
    /// At-most-once orders.
    Order(OrderMessage),
    /// Admission of work to backend servers.
    Admission(AdmissionMessage),
    /// Entries of the ledger of runs that the ends of engines broke off.
    Prompts(LedgerNews),
}

/// Message with its sender and its receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Process that sent the frame.
    pub from: InstanceIdentity,
    /// Instance that the frame is addressed to.
    pub to: InstanceId,
    /// Start time of the process that the frame is addressed to, in ms of its wall clock. `None`
    /// addresses any process of the instance.
    pub to_started: Option<u64>,
    /// Content of the frame.
    pub message: PeerMessage,
}

value_type! { copy
    /// Reason for which a frame cannot be encoded or decoded.
    pub enum FrameFault {
        /// The frame exceeds the maximum size of its transport.
        TooLarge,
        /// The frame is too short to contain a version byte, a payload and a tag.
        TooShort,
        /// The version of the frame format is not supported.
        Version,
        /// The tag does not match: the sender has another cluster secret, or the frame is damaged.
        Tag,
        /// The payload cannot be serialized or deserialized.
        Payload,
    }
}

impl fmt::Display for FrameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "too_large",
            Self::TooShort => "too_short",
            Self::Version => "version",
            Self::Tag => "tag",
            Self::Payload => "payload",
        })
    }
}

/// Encodes and authenticates frames with the cluster secret.
#[derive(Clone)]
pub struct PeerCodec {
    key: [u8; 32],
}

impl PeerCodec {
    /// Derives the frame key from the cluster secret.
    pub fn new(cluster_secret: &str) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, cluster_secret.as_bytes()) }
    }

    /// Encodes a frame and adds its authentication tag.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if the frame exceeds the maximum size of the transport, and `Payload` if
    /// the frame cannot be serialized.
    pub fn encode(
        &self,
        frame: &PeerFrame,
        transport: PeerTransport,
    ) -> Result<Vec<u8>, FrameFault> {
        let mut bytes = vec![FRAME_VERSION];
        bytes = postcard::to_extend(frame, bytes).map_err(|_| FrameFault::Payload)?;
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
        if bytes.len() > Self::limit(transport) {
            return Err(FrameFault::TooLarge);
        }
        Ok(bytes)
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the frame must be dropped.
    pub fn decode(&self, bytes: &[u8], transport: PeerTransport) -> Result<PeerFrame, FrameFault> {
        if bytes.len() > Self::limit(transport) {
            return Err(FrameFault::TooLarge);
        }
        if bytes.len() <= 1 + TAG_LEN {
            return Err(FrameFault::TooShort);
        }
        if bytes[0] != FRAME_VERSION {
            return Err(FrameFault::Version);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_LEN);
        let mut expected = [0u8; TAG_LEN];
        expected.copy_from_slice(&blake3::keyed_hash(&self.key, signed).as_bytes()[..TAG_LEN]);
        if !constant_time_eq(&expected, tag) {
            return Err(FrameFault::Tag);
        }
        postcard::from_bytes(&signed[1..]).map_err(|_| FrameFault::Payload)
    }

    /// Returns the maximum size of a frame in bytes.
    pub fn limit(transport: PeerTransport) -> usize {
        match transport {
            PeerTransport::Datagram => DATAGRAM_LIMIT,
            PeerTransport::Stream => STREAM_FRAME_LIMIT,
        }
    }
}

/// Compares two byte strings in a time that does not depend on their content.
pub(crate) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0u8, |acc, (left, right)| acc | (left ^ right)) == 0
}
