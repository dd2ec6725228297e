//! Inputs, effects and dumps of the distributor.

use std::sync::Arc;
use std::time::Duration;

use super::message::DistributionMessage;
use super::versions::{LocalVersions, Subject, VersionStatus};
use crate::events::EventKind;
use crate::ids::InstanceId;
use crate::time::Timestamp;
use crate::views::InstanceList;
use crate::wire::PeerTransport;

use serde::Serialize;

/// Result of one call to the platform.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// The configuration text at a revision.
    Config {
        /// Revision of the text on the platform.
        revision: u64,
        /// Configuration text.
        text: Arc<str>,
    },
    /// The instance list; its version is the revision.
    List(Arc<InstanceList>),
    /// The call failed, was refused by a rate limit or timed out.
    Unreachable {
        /// Reason, written to the log.
        reason: String,
    },
}

/// Inputs of a [`ConfigDistributor`](super::ConfigDistributor).
#[derive(Clone, Debug)]
pub enum DistributionInput {
    /// The time returned by [`next_wakeup`](super::ConfigDistributor::next_wakeup) was reached.
    Tick,
    /// A message arrived in a frame with a valid authentication tag.
    Message {
        /// Sender of the frame.
        from: InstanceId,
        /// Content of the frame.
        message: DistributionMessage,
    },
    /// The set of known or of live instances changed.
    Peers {
        /// All other instances with known addresses.
        known: Vec<InstanceId>,
        /// Other instances that are live.
        live: Vec<InstanceId>,
    },
    /// A peer reported its versions; see `MembershipEffect::PeerVersions`.
    PeerVersions {
        /// The reporting peer.
        from: InstanceId,
        /// Versions in effect at the peer.
        versions: VersionStatus,
        /// Time at which the probe that this report answers was sent; `None` if the report came
        /// unsolicited.
        probe_sent: Option<Timestamp>,
    },
    /// Result of the call that an effect `Watch` started.
    Platform {
        /// Value that was read.
        subject: Subject,
        /// Number from the effect. Results of cancelled calls are ignored.
        call: u32,
        /// Result of the call.
        answer: PlatformAnswer,
    },
    /// The validation that an effect `Validate` started ended.
    Validated {
        /// Configuration version.
        version: u64,
        /// Whether the text is valid and now in effect.
        accepted: bool,
    },
    /// A message to a peer could not be delivered.
    DeliveryFailed {
        /// Receiver of the message.
        peer: InstanceId,
    },
    /// This process was paused and runs again.
    Paused,
}

/// Effects that the caller of a [`ConfigDistributor`](super::ConfigDistributor) performs.
#[derive(Clone, Debug)]
pub enum DistributionEffect {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: InstanceId,
        /// Datagram, or stream for contents of versions.
        transport: PeerTransport,
        /// Content of the frame.
        message: DistributionMessage,
    },
    /// Start a call to the platform that waits for a new revision; its result is passed as
    /// `DistributionInput::Platform`. At most one call per subject is pending.
    Watch {
        /// Value to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// The call waits for a revision above this one; with 0 it returns at once.
        after: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    CancelWatch {
        /// Value that the call reads.
        subject: Subject,
    },
    /// Validate a configuration text and, if it is valid, put it into effect. The result is
    /// passed as `DistributionInput::Validated`.
    Validate {
        /// Configuration version.
        version: u64,
        /// Configuration text.
        text: Arc<str>,
    },
    /// A new instance list is in effect.
    ListInEffect(Arc<InstanceList>),
    /// The versions in effect or the times of their confirmation changed. The membership table
    /// reports them to peers.
    VersionsChanged(LocalVersions),
    /// Whether the versions in effect are the newest that peers know of. False at the start and
    /// after a pause, until peers were queried and the versions that they reported were fetched.
    CurrentChanged(bool),
    /// Write a log event.
    Event {
        /// Kind of the event; its descriptor names the fields.
        kind: EventKind,
        /// Values of the fields, in the order of the descriptor.
        fields: Vec<String>,
    },
}

/// State of one subject in a [`DistributionDump`].
#[derive(Clone, Debug, Serialize)]
pub struct SubjectDump {
    /// Published value that this state is about.
    pub subject: Subject,
    /// Version in effect, 0 for none.
    pub version: u64,
    /// Time in ms since the platform was last known to publish the version; `None` if unknown.
    pub age_ms: Option<u64>,
    /// Last versions that failed validation.
    pub rejected: Vec<u64>,
    /// Number of received versions that were below the version in effect.
    pub older_offers: u64,
    /// Whether a call to the platform is pending.
    pub watching: bool,
    /// Number of calls that failed since the last answer of the platform.
    pub failures: u32,
}

/// State of a [`ConfigDistributor`](super::ConfigDistributor) for operators.
#[derive(Clone, Debug, Serialize)]
pub struct DistributionDump {
    /// `querying`, `fetching` or `current`.
    pub phase: &'static str,
    /// Whether this instance ranks among the regular watchers of the platform, judged by the
    /// instances that it knows to be live.
    pub ranked: bool,
    /// Whether this instance watches the platform because it received no heartbeats.
    pub fallback: bool,
    /// State per subject.
    pub subjects: Vec<SubjectDump>,
}
