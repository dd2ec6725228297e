//! Deliberate faults in the protocol, to show that the trials detect them.
//!
//! They are made between the coordinators, on messages, so that the shipped code has no
//! switch that weakens it.

use medlarlanding_core::ids::InstanceIdentity;
use medlarlanding_core::orders::{ClaimVerdict, OrderMessage};

use super::machine::TrialMessage;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrialTamper {
    /// The protocol as it is.
    #[default]
    None,
    /// One grant counts for all members: a proposer runs an order with a single grant.
    OneGrant,
    /// Providers forget that they gave copies: they go on granting in the older view.
    NoFence,
    /// Copies arrive without records: a new view starts without the earlier claims.
    EmptyCopies,
    /// A restarted process has the incarnation of the process before it.
    SameIncarnation,
    /// Claims in doubt are treated as certain.
    NoDoubt,
}

impl TrialTamper {
    /// All deliberate faults, and none.
    pub const ALL: [Self; 6] = [
        Self::None,
        Self::OneGrant,
        Self::NoFence,
        Self::EmptyCopies,
        Self::SameIncarnation,
        Self::NoDoubt,
    ];

    /// Returns the name used on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::OneGrant => "one-grant",
            Self::NoFence => "no-fence",
            Self::EmptyCopies => "empty-copies",
            Self::SameIncarnation => "same-incarnation",
            Self::NoDoubt => "no-doubt",
        }
    }

    /// Changes a message on its way. Returns the messages that arrive instead, with senders.
    pub fn apply(
        self,
        from: InstanceIdentity,
        message: TrialMessage,
    ) -> Vec<(InstanceIdentity, TrialMessage)> {
        let TrialMessage::Majority(message) = message else { return vec![(from, message)] };
        let messages = match (self, message) {
            (
                Self::OneGrant,
                OrderMessage::ClaimReply {
                    key,
                    attempt,
                    verdict: ClaimVerdict::Granted { view, doubt_age_ms },
                },
            ) => view
                .members
                .iter()
                .map(|member| {
                    let mut sender = from;
                    sender.id = member.id;
                    sender.incarnation.started = member.started;
                    let verdict = ClaimVerdict::Granted { view: view.clone(), doubt_age_ms };
                    (sender, OrderMessage::ClaimReply { key, attempt, verdict })
                })
                .collect(),
            (
                Self::NoDoubt,
                OrderMessage::ClaimReply {
                    key,
                    attempt,
                    verdict: ClaimVerdict::Granted { view, .. },
                },
            ) => {
                let verdict = ClaimVerdict::Granted { view, doubt_age_ms: None };
                vec![(from, OrderMessage::ClaimReply { key, attempt, verdict })]
            },
            (Self::EmptyCopies, OrderMessage::Copies(mut copies)) => {
                for copy in &mut copies {
                    copy.records.clear();
                    copy.more = false;
                }
                vec![(from, OrderMessage::Copies(copies))]
            },
            (_, message) => vec![(from, message)],
        };
        messages
            .into_iter()
            .map(|(from, message)| (from, TrialMessage::Majority(message)))
            .collect()
    }

    /// Returns whether the receiver's state after the message must be forgotten.
    pub fn forgets(self, message: &TrialMessage) -> bool {
        self == Self::NoFence && matches!(message, TrialMessage::Majority(OrderMessage::Pull(_)))
    }
}
