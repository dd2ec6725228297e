//! Assigns relays to the availability zones other than a hub's own, and keeps what an instance was
//! assigned.
//!
//! Load pattern: an ordinary instance knows its own zone, but it hears digests only of the hubs and
//! of about two other instances a second, so it cannot tell which of its zone are live. The hubs hear all
//! instances. Each hub names the two highest-ranked live instances of every other zone its relays
//! about once a second, and these name themselves to the other members of their zone. Every plan expires,
//! so a relay that dies or hangs is replaced without an agreement, and an instance without a plan works as
//! in a fleet without zones.

use std::net::SocketAddr;
use std::time::Duration;

use super::peers::PeerTable;
use super::zone::ZoneKey;
use crate::time::Timestamp;

use indexmap::IndexMap;

value_type! {
    /// Relays of one zone: from a hub to the relays, and from a relay to the members.
    pub struct ZonePlan {
        /// The relays, the highest-ranked first.
        pub relays: Vec<SocketAddr>,
        /// The other instances of the zone, including silent ones; empty in a plan for a member.
        pub members: Vec<SocketAddr>,
    }
}

/// Parameters of the plans.
#[derive(Clone, Copy, Debug)]
pub struct ZonePlanParams {
    /// Relays of each zone. With two, one may hang unnoticed without delaying a change.
    pub relay_count: usize,
    /// One in so many digests of a hub is followed by the plans; they are also sent when they change.
    pub period: u64,
    /// One in so many digests of a hub is sent to all instances directly, as are those that tell of
    /// a newer configuration; the others reach the members of a planned zone through one of its relays,
    /// in turn. At most `live_timeout` passes between two direct ones, so that hubs stay live for the
    /// members although both relays hang.
    pub direct_period: u64,
    /// Number of digest intervals for which a plan holds: two plans may be lost.
    pub lifetime_intervals: u32,
    /// Most members of a zone with a plan, so that it fits into a datagram of 4,096 bytes with addresses of 8
    /// (IPv4) or 20 bytes (IPv6). The instances of a larger zone are sent everything directly.
    pub member_limit: usize,
    /// Most plans of different hubs that are kept; there are three hubs, and another one while one is
    /// replaced.
    pub plan_limit: usize,
}

impl Default for ZonePlanParams {
    fn default() -> Self {
        Self {
            relay_count: 2,
            period: 4,
            direct_period: 4,
            lifetime_intervals: 13,
            member_limit: 180,
            plan_limit: 6,
        }
    }
}

impl ZonePlanParams {
    /// Returns the plans that this instance, a hub, makes for the other zones. A zone in which every live
    /// instance would be a relay gets none, and neither does one that is too large.
    pub fn plans(&self, now: Timestamp, peers: &PeerTable) -> Vec<ZonePlan> {
        let own = peers.own_zone();
        let mut plans: IndexMap<ZoneKey, ZonePlan> = IndexMap::new();
        if !own.is_known() {
            return Vec::new();
        }
        let is_other = |zone: ZoneKey| zone.is_apart(own);
        for (address, zone) in peers.live_by_rank(now).filter(|(_, zone)| is_other(*zone)) {
            let plan = plans.entry(zone).or_insert_with(ZonePlan::empty);
            if plan.relays.len() < self.relay_count {
                plan.relays.push(address);
            }
        }
        for (address, zone) in peers.zones().filter(|(_, zone)| is_other(*zone)) {
            if let Some(plan) = plans.get_mut(&zone)
                && !plan.relays.contains(&address)
            {
                plan.members.push(address);
            }
        }
        let is_useful = |plan: &ZonePlan| (1..=self.member_limit).contains(&plan.members.len());
        plans.into_values().filter(is_useful).collect()
    }
}

impl ZonePlan {
    fn empty() -> Self {
        Self { relays: Vec::new(), members: Vec::new() }
    }

    /// Returns the plan that a relay sends to the members.
    pub fn for_members(&self) -> Self {
        Self { relays: self.relays.clone(), members: Vec::new() }
    }
}

/// Plans that a hub sends.
#[derive(Debug, Default)]
pub struct ZonePlanner {
    params: ZonePlanParams,
    /// Plans that were last made; sent again without delay when they change.
    made: Vec<ZonePlan>,
    /// Version of the configuration in the last digest.
    told_version: u64,
}

/// Receivers of one digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestRoute {
    /// Peers that are sent it directly, each with whether it is sent the loads too.
    pub direct: Vec<(SocketAddr, bool)>,
    /// Relays that are sent it to pass it on to the members of their zones.
    pub relays: Vec<SocketAddr>,
}

/// Remainder of the number of direct digests by `direct_period`. Digests with addresses of peers, which have
/// numbers without remainder, are the longest.
const DIRECT_REMAINDER: u64 = 2;

impl ZonePlanner {
    /// Returns the plans that are due with the digest with the number `sequence`, each for its relays; none
    /// if this instance is no hub.
    pub fn due(&mut self, now: Timestamp, sequence: u64, peers: &PeerTable) -> Vec<ZonePlan> {
        if !peers.is_hub(now) {
            self.made.clear();
            return Vec::new();
        }
        let is_periodic = sequence.is_multiple_of(self.params.period);
        let mut plans = self.params.plans(now, peers);
        let previous = std::mem::replace(&mut self.made, plans.clone());
        plans.retain(|plan| is_periodic || !previous.contains(plan));
        plans
    }

    /// Divides the receivers of the digest with the number `sequence` into those that are sent it
    /// directly and relays. `due` must have been called for this digest.
    pub fn route(
        &mut self,
        sequence: u64,
        config_version: u64,
        targets: &[(SocketAddr, bool)],
    ) -> DigestRoute {
        let is_news = std::mem::replace(&mut self.told_version, config_version) != config_version;
        if is_news || sequence % self.params.direct_period == DIRECT_REMAINDER {
            return DigestRoute { direct: targets.to_vec(), relays: Vec::new() };
        }
        let is_direct = |(target, gets_loads): &&(SocketAddr, bool)| {
            let is_planned =
                |plan: &ZonePlan| plan.relays.contains(target) || plan.members.contains(target);
            *gets_loads || !self.made.iter().any(is_planned)
        };
        let relay = |plan: &ZonePlan| plan.relays[sequence as usize % plan.relays.len()];
        DigestRoute {
            direct: targets.iter().filter(is_direct).copied().collect(),
            relays: self.made.iter().map(relay).collect(),
        }
    }
}

/// Part of an instance in the distribution within its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneDuty {
    /// No plan is known: the instance fetches from any peer.
    Unassigned,
    /// Fetches across the border of the zone and passes on to the members.
    Relay,
    /// Waits a bounded time for the relays before it fetches across the border.
    Member,
}

/// Plans that an instance has received.
#[derive(Debug, Default)]
pub struct ZoneDuties {
    params: ZonePlanParams,
    /// Plans that name this instance a relay, by the hub that sent them; at most `plan_limit`.
    assigned: IndexMap<SocketAddr, (Timestamp, ZonePlan)>,
    /// When this instance last told the members that it is a relay.
    told_at: Option<Timestamp>,
    /// When a relay of the own zone last named itself.
    relayed_at: Option<Timestamp>,
    /// Version of the configuration that this instance, as a relay, last told the members.
    announced: u64,
}

impl ZoneDuties {
    /// Applies a plan. Returns the plan to be sent to the members if this instance is a relay and has
    /// not sent them one for a while; which hub made it makes no difference to them.
    pub fn receive(
        &mut self,
        now: Timestamp,
        interval: Duration,
        own: SocketAddr,
        sender: SocketAddr,
        plan: ZonePlan,
    ) -> Option<ZonePlan> {
        if plan.relays.contains(&own) {
            let members = plan.for_members();
            if self.assigned.len() >= self.params.plan_limit && !self.assigned.contains_key(&sender)
            {
                // The oldest plan is of a hub that was replaced.
                let oldest = self.assigned.iter().min_by_key(|(_, (at, _))| *at);
                let oldest = oldest.map(|(hub, _)| *hub);
                oldest.map(|hub| self.assigned.swap_remove(&hub));
            }
            self.assigned.insert(sender, (now, plan));
            let pause = interval * (self.params.period as u32 - 1);
            if self.told_at.is_some_and(|at| now.since(at) < pause) {
                return None;
            }
            self.told_at = Some(now);
            return Some(members);
        }
        if plan.relays.contains(&sender) {
            self.relayed_at = Some(now);
        }
        None
    }

    /// Returns the part of this instance. `interval` is the interval of digests.
    pub fn duty(&self, now: Timestamp, interval: Duration) -> ZoneDuty {
        let lifetime = interval * self.params.lifetime_intervals;
        let is_fresh = |at: Timestamp| now.since(at) < lifetime;
        if self.assigned.values().any(|(at, _)| is_fresh(*at)) {
            ZoneDuty::Relay
        } else if self.relayed_at.is_some_and(is_fresh) {
            ZoneDuty::Member
        } else {
            ZoneDuty::Unassigned
        }
    }

    /// Returns whether a relay sends its digest with the number `sequence` to the members: periodically, and
    /// without delay when another configuration is in force.
    pub fn announces(&mut self, sequence: u64, config_version: u64) -> bool {
        let is_news = std::mem::replace(&mut self.announced, config_version) != config_version;
        is_news || sequence.is_multiple_of(self.params.period)
    }

    /// Returns the instances to which this one passes on a digest of a hub: the members of the zone and the
    /// other relays; none if the hub has not named it a relay.
    pub fn receivers(
        &self,
        now: Timestamp,
        interval: Duration,
        own: SocketAddr,
        hub: SocketAddr,
    ) -> Vec<SocketAddr> {
        let plan = self.fresh_plan(now, interval, hub);
        let all = plan.into_iter().flat_map(|plan| plan.members.iter().chain(&plan.relays));
        all.copied().filter(|address| *address != own).collect()
    }

    /// Returns the members of the own zone if this instance is a relay, from the latest plan.
    pub fn members(&self, now: Timestamp, interval: Duration) -> &[SocketAddr] {
        let latest = self.assigned.iter().max_by_key(|(_, (at, _))| *at);
        let plan = latest.and_then(|(hub, _)| self.fresh_plan(now, interval, *hub));
        plan.map_or(&[], |plan| &plan.members)
    }

    fn fresh_plan(&self, now: Timestamp, interval: Duration, hub: SocketAddr) -> Option<&ZonePlan> {
        let lifetime = interval * self.params.lifetime_intervals;
        let (at, plan) = self.assigned.get(&hub)?;
        (now.since(*at) < lifetime).then_some(plan)
    }
}
