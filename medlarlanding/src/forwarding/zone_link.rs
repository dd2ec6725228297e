//! What an instance sends within its availability zone, and what it knows of the relays there.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use super::peer_link::PeerLink;
use super::shared::ForwardState;
use medlarlanding_core::forwarding::{
    ConfigFetch, ConfigHistory, PeerDigest, PeerMessage, ZoneDuties, ZoneDuty, ZonePlan,
    ZonePlanner,
};

use tokio::sync::Notify;

/// State of the distribution within the zone of this instance.
#[derive(Default)]
pub struct ZoneState {
    /// Plans that this instance has received.
    pub duties: RefCell<ZoneDuties>,
    /// Fetch of a newer configuration.
    pub config_fetch: RefCell<ConfigFetch>,
    /// Earlier texts of the configuration.
    pub config_history: RefCell<ConfigHistory>,
    /// A difference did not fit, so that the whole text is to be fetched.
    pub whole_config_wanted: Cell<bool>,
    /// Notifies the task that fetches from peers.
    pub fetch_wanted: Notify,
    /// Plans that this instance sends as a hub.
    pub planner: RefCell<ZonePlanner>,
}

impl ForwardState {
    /// Returns the part of this instance in the distribution within its zone.
    pub fn zone_duty(&self) -> ZoneDuty {
        let interval = self.peers.borrow().digest_interval();
        self.zone.duties.borrow().duty(self.now(), interval)
    }

    /// Applies a plan of a hub or of a relay.
    pub fn receive_plan(&self, link: &PeerLink, sender: SocketAddr, plan: ZonePlan) {
        let (now, own) = (self.now(), self.settings.peers);
        let interval = self.peers.borrow().digest_interval();
        let for_members = self.zone.duties.borrow_mut().receive(now, interval, own, sender, plan);
        if let Some(plan) = for_members {
            link.send(self, &PeerMessage::ZonePlan(plan), &self.zone_members());
        }
    }

    /// Counts the bytes of a message to those of the targets that are in other zones.
    pub fn count_zone_bytes(&self, kind: &'static str, length: usize, targets: &[SocketAddr]) {
        let peers = self.peers.borrow();
        let is_apart = |target: &&SocketAddr| peers.zone(**target).is_apart(peers.own_zone());
        let count = targets.iter().filter(is_apart).count();
        self.telemetry.zone_bytes.with_label_values(&[kind]).inc_by((count * length) as u64);
    }

    /// Returns the instances to which this one passes on a digest of a hub.
    pub fn digest_receivers(&self, hub: SocketAddr) -> Vec<SocketAddr> {
        let interval = self.peers.borrow().digest_interval();
        self.zone.duties.borrow().receivers(self.now(), interval, self.settings.peers, hub)
    }

    /// Returns the members to whom this instance passes on as a relay.
    fn zone_members(&self) -> Vec<SocketAddr> {
        let interval = self.peers.borrow().digest_interval();
        self.zone.duties.borrow().members(self.now(), interval).to_vec()
    }
}

/// Sends the plans of a hub to the relays of the other zones, and the digest of a relay to the members of
/// its own zone.
pub fn send_zone_messages(link: &PeerLink, state: &ForwardState, digest: &PeerDigest) {
    let now = state.now();
    let plans = {
        let peers = state.peers.borrow();
        state.zone.planner.borrow_mut().due(now, digest.sequence, &peers)
    };
    for plan in plans {
        let relays = plan.relays.clone();
        link.send(state, &PeerMessage::ZonePlan(plan), &relays);
    }
    let is_relay = state.zone_duty() == ZoneDuty::Relay;
    state.telemetry.zone_relay.set(is_relay.into());
    if is_relay {
        let (sequence, version) = (digest.sequence, digest.config_version);
        if state.zone.duties.borrow_mut().announces(sequence, version) {
            // Members fetch the configuration and missed server entries from the relay.
            link.send(state, &PeerMessage::Digest(digest.clone()), &state.zone_members());
        }
    }
}
