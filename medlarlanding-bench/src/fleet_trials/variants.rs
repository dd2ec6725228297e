//! Variants of the settings that `fleet --variants` compares.

use std::time::Duration;

use super::node::NodeParams;

/// Interval longer than any trial.
const NEVER: Duration = Duration::from_secs(1_000_000);

type Variant = (&'static str, fn(&mut NodeParams));

static VARIANTS: &[Variant] = &[
    ("as shipped", |_| {}),
    ("no indirect probes", |node| {
        node.membership.indirect_peers = 0;
        node.membership.second_probe = false;
    }),
    ("no second direct probe", |node| node.membership.second_probe = false),
    ("no suspicion time", |node| node.membership.suspicion_base = Duration::ZERO),
    ("no suspicion time, no indirect probes", |node| {
        node.membership.suspicion_base = Duration::ZERO;
        node.membership.indirect_peers = 0;
        node.membership.second_probe = false;
    }),
    ("updates on probes only", |node| node.membership.gossip_interval = NEVER),
    ("no announcements", |node| node.distribution.announce_fanout = 0),
    ("announced once", |node| node.distribution.announce_repeat = NEVER),
    ("no confirmations", |node| node.distribution.heartbeat_fanout = 0),
    ("whole texts", |node| node.distribution.delta_history = 0),
    ("1 watcher", |node| node.distribution.watchers = 1),
    ("every instance watches", |node| node.distribution.watchers = usize::MAX),
];

/// Returns the names and settings of all variants, the default settings first.
pub fn variants() -> impl Iterator<Item = (&'static str, NodeParams)> {
    VARIANTS.iter().map(|(name, change)| {
        let mut node = NodeParams::default();
        change(&mut node);
        (*name, node)
    })
}
