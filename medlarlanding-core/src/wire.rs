//! Frames between instances: postcard with a version byte and a keyed tag.

use std::fmt;

use crate::admission::AdmissionMessage;
use crate::distribution::DistributionMessage;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::membership::MembershipMessage;
use crate::orders::OrderMessage;

use serde::{Deserialize, Serialize};

/// Version of the frame format. Frames of another version are dropped.
pub const FRAME_VERSION: u8 = 1;
/// Largest datagram in bytes; fits an Ethernet frame without fragmentation.
pub const DATAGRAM_LIMIT: usize = 1200;
/// Largest TCP frame in bytes: a configuration value of 1 MiB and its envelope.
pub const STREAM_FRAME_LIMIT: usize = (1 << 20) + (64 << 10);

const TAG_LEN: usize = 16;
const KEY_CONTEXT: &str = "medlarlanding 2026-12 peer frames";

value_type! { copy
    /// How a message travels between instances.
    pub enum PeerTransport {
        /// One UDP datagram: small, may be lost, repeated or reordered.
        Datagram,
        /// A TCP connection: large, or must arrive.
        Stream,
    }
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and dissemination.
    Membership(MembershipMessage),
    /// Configuration and instance list.
    Distribution(DistributionMessage),
    /// Claims on orders.
    Order(OrderMessage),
    /// Permits of backend servers.
    Admission(AdmissionMessage),
}

/// A message with its sender and its receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The process that sent the frame.
    pub from: InstanceIdentity,
    /// The instance that the frame is for.
    pub to: InstanceId,
    /// Start time of the process that the frame is for, if the sender knows it.
    pub to_started: Option<u64>,
    /// The message.
    pub message: PeerMessage,
}

value_type! { copy
    /// Reason for which a frame is dropped.
    pub enum FrameFault {
        /// The frame exceeds the limit of its transport.
        TooLarge,
        /// The frame is shorter than its fixed parts.
        TooShort,
        /// The frame's format version is not known.
        Version,
        /// The tag does not match: another secret or a damaged frame.
        Tag,
        /// The payload does not parse.
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

    /// Encodes a frame.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the frame exceeds the limit of the transport.
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

    /// Checks and decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns why the frame must be dropped.
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

    /// Returns the largest frame of a transport in bytes.
    pub fn limit(transport: PeerTransport) -> usize {
        match transport {
            PeerTransport::Datagram => DATAGRAM_LIMIT,
            PeerTransport::Stream => STREAM_FRAME_LIMIT,
        }
    }
}

/// Compares two byte strings in time that does not depend on where they differ.
pub(crate) fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0u8, |acc, (left, right)| acc | (left ^ right)) == 0
}
