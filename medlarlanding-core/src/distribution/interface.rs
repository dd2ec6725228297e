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

/// Result of one call on the platform.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// The configuration text at a revision.
    Config {
        /// Revision of the value.
        revision: u64,
        /// The value.
        text: Arc<str>,
    },
    /// The instance list; its version is the revision.
    List(Arc<InstanceList>),
    /// The call failed, was refused for its rate or timed out.
    Unreachable {
        /// Reason for the log.
        reason: String,
    },
}

/// Inputs of a [`ConfigDistributor`](super::ConfigDistributor).
#[derive(Clone, Debug)]
pub enum DistributionInput {
    /// The time of [`next_wakeup`](super::ConfigDistributor::next_wakeup) has come.
    Tick,
    /// A message arrived in a frame with a valid tag.
    Message {
        /// Sender of the frame.
        from: InstanceId,
        /// The message.
        message: DistributionMessage,
    },
    /// The membership view changed.
    Peers {
        /// Every other instance with a known address.
        known: Vec<InstanceId>,
        /// Those that are live.
        live: Vec<InstanceId>,
    },
    /// A peer reported its versions; see `MembershipEffect::PeerVersions`.
    PeerVersions {
        /// The peer.
        from: InstanceId,
        /// Its versions.
        versions: VersionStatus,
        /// Time at which the answered probe was sent.
        asked: Option<Timestamp>,
    },
    /// Result of the call that an effect `Watch` started.
    Platform {
        /// What was read.
        subject: Subject,
        /// Number from the effect. Results of cancelled calls are ignored.
        call: u32,
        /// The result.
        answer: PlatformAnswer,
    },
    /// Result of an effect `Validate`. If accepted, the version is in effect.
    Verdict {
        /// The version.
        version: u64,
        /// Whether it is in effect.
        accepted: bool,
    },
    /// A message on a stream could not be delivered.
    Unreached {
        /// The receiver.
        peer: InstanceId,
    },
    /// The own process was paused.
    Woke,
}

/// Effects that the caller of a [`ConfigDistributor`](super::ConfigDistributor) performs.
#[derive(Clone, Debug)]
pub enum DistributionEffect {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Transport.
        transport: PeerTransport,
        /// The message.
        message: DistributionMessage,
    },
    /// Start a call on the platform; its result comes as `DistributionInput::Platform`. At most
    /// one call per subject is pending.
    Watch {
        /// What to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// The call waits for a revision above this one. 0 returns at once.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    StopWatch {
        /// What the call reads.
        subject: Subject,
    },
    /// Validate a configuration text and, if it is valid, put it into effect. The result comes
    /// as `DistributionInput::Verdict`.
    Validate {
        /// The version.
        version: u64,
        /// The text.
        text: Arc<str>,
    },
    /// An instance list is in effect.
    ListInEffect(Arc<InstanceList>),
    /// The versions or their confirmation changed; pass them to the membership table.
    VersionsChanged(LocalVersions),
    /// Whether the held versions are current as far as peers know. False at the start and
    /// after a pause, until peers were asked.
    Current(bool),
    /// Write a log event with the fields of its descriptor.
    Event {
        /// The event.
        kind: EventKind,
        /// Values of the fields.
        fields: Vec<String>,
    },
}

/// State of one subject in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct SubjectDump {
    /// The subject.
    pub subject: Subject,
    /// Version in effect, 0 for none.
    pub version: u64,
    /// Age of its confirmation in ms.
    pub age_ms: Option<u64>,
    /// Versions that were rejected lately.
    pub rejected: Vec<u64>,
    /// Number of offers below the version in effect.
    pub older_offers: u64,
    /// Whether a call on the platform is pending.
    pub watching: bool,
    /// Number of calls that failed since the last answer.
    pub failures: u32,
}

/// State of a [`ConfigDistributor`](super::ConfigDistributor) for operators.
#[derive(Clone, Debug, Serialize)]
pub struct DistributionDump {
    /// Stage: `querying`, `fetching` or `current`.
    pub phase: &'static str,
    /// Whether this instance is among the ranked watchers of its own view.
    pub ranked: bool,
    /// Whether it watches for lack of confirmations.
    pub fallback: bool,
    /// State per subject.
    pub subjects: Vec<SubjectDump>,
}
