//! Decides when a started instance reports that it is ready.
//!
//! Load pattern: an instance restarts while others serve, and callers arrive as soon as it reports
//! that it is ready. Without the list of servers it could only refuse them. While the store is
//! unreachable, a peer that was paused may offer an older configuration than the other peers have.

use std::time::Duration;

use crate::time::Timestamp;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessParams {
    /// How long an instance that knows something only from peers collects their digests, so that
    /// the newest state among them is found. Each peer sends two digests in this time.
    pub settle: Duration,
}

impl Default for ReadinessParams {
    fn default() -> Self {
        Self { settle: Duration::from_millis(500) }
    }
}

value_type! { copy
    /// Part of the state that an instance needs before it can serve.
    pub enum RequiredPart {
        /// The configuration.
        Config,
        /// The list of servers, which may be empty.
        Servers,
    }
}

value_type! { copy
    /// Where a change came from.
    pub enum ChangeSource {
        /// The platform's store.
        Store,
        /// Another instance.
        Peer,
    }
}

impl ChangeSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Tracks from where an instance knows the parts of its state since its start.
#[derive(Debug, Default)]
pub struct Readiness {
    params: ReadinessParams,
    /// `None` until a configuration is in force.
    config: Option<ChangeSource>,
    /// `None` until the list of servers was received once.
    servers: Option<ChangeSource>,
    /// When the first part was received from a peer.
    first_from_peer: Option<Timestamp>,
    /// The instance has been ready before; it then stays ready.
    is_reached: bool,
}

impl Readiness {
    /// Records that a part was received completely. What the store has confirmed stays confirmed.
    pub fn record(&mut self, now: Timestamp, part: RequiredPart, source: ChangeSource) {
        let known = match part {
            RequiredPart::Config => &mut self.config,
            RequiredPart::Servers => &mut self.servers,
        };
        match source {
            ChangeSource::Store => *known = Some(source),
            ChangeSource::Peer => {
                known.get_or_insert(source);
                self.first_from_peer.get_or_insert(now);
            },
        }
    }

    /// Returns whether the instance can serve. `is_behind` tells whether a live peer has a newer
    /// configuration or newer server entries.
    pub fn is_ready(&mut self, now: Timestamp, is_behind: bool) -> bool {
        let (Some(config), Some(servers)) = (self.config, self.servers) else { return false };
        let is_confirmed = [config, servers] == [ChangeSource::Store; 2];
        let is_settled = self.first_from_peer.is_some_and(|at| now.since(at) >= self.params.settle);
        self.is_reached |= is_confirmed || is_settled && !is_behind;
        self.is_reached
    }
}
