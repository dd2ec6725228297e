//! Defects injected into the majority design, to show that the trials detect them.
//!
//! The simulation applies them to messages and to the start of processes, so that the shipped
//! code has no switch that weakens it.

use medlarlanding_core::ids::InstanceIdentity;
use medlarlanding_core::orders::{ClaimVerdict, OrderMessage};

use super::machine::TrialMessage;

/// A defect injected into the majority design.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrialDefect {
    /// The unchanged design.
    #[default]
    None,
    /// A grant arrives once from each member of the group, so that a proposer runs an order after
    /// a single grant.
    OneGrant,
    /// Replicas that send copies keep no fence, so that they go on granting claims in the older
    /// view.
    NoFence,
    /// Copies arrive without records, so that a new view starts without the earlier claims.
    EmptyCopies,
    /// A restarted process has the incarnation of the previous process of its node.
    SameIncarnation,
    /// Grants arrive without the age of the doubt, so that claims in doubt are treated as certain.
    NoDoubt,
}

impl TrialDefect {
    /// All defects, including `None`.
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

    /// Returns the messages that arrive in place of the given one, with their senders.
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

    /// Returns whether the receiver answers the message without keeping the change of its state.
    pub fn discards_state(self, message: &TrialMessage) -> bool {
        self == Self::NoFence && matches!(message, TrialMessage::Majority(OrderMessage::Pull(_)))
    }
}
