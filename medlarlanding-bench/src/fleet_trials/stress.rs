//! Random faults in a simulated fleet, with invariants checked throughout.

use std::collections::HashSet;
use std::sync::Arc;

use super::measure::config_text;
use super::node::NodeParams;
use super::sim::{FleetSim, SECOND};
use medlarlanding_core::distribution::Subject;
use medlarlanding_core::ids::ServerId;
use medlarlanding_core::views::{InstanceList, InstanceState, ListVersion};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Settings of a run with random faults.
#[derive(Clone, Debug)]
pub struct StressOptions {
    /// Number of instances.
    pub size: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of random actions.
    pub steps: usize,
    /// Settings of the instances.
    pub node: NodeParams,
}

impl Default for StressOptions {
    fn default() -> Self {
        Self { size: 8, seed: 1, steps: 60, node: NodeParams::default() }
    }
}

/// Result of a run with random faults.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StressReport {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Random actions in order, for debugging.
    pub actions: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Time from the end of all faults until versions, views and marks agreed, s; `None` if they
    /// did not within 60 s.
    pub settled_s: Option<f64>,
    /// Time from the end of all faults until the last configuration was in effect everywhere, s;
    /// `None` if it was not within 60 s.
    pub change_s: Option<f64>,
    /// Number of restarts.
    pub restarts: usize,
    /// Number of pauses that instances detected.
    pub pauses: usize,
    /// Number of handled events.
    pub events: u64,
}

struct StressRun {
    sim: FleetSim,
    rng: SmallRng,
    /// Highest published configuration revision.
    config_revision: u64,
    /// Last published list version.
    list_version: u64,
    paused: Vec<usize>,
    crashed: Vec<usize>,
    report: StressReport,
}

/// Applies random faults, ends them, and checks that versions, views and marks agree afterwards.
pub fn stress(options: &StressOptions) -> StressReport {
    let mut run = StressRun {
        sim: FleetSim::new(options.size, options.node.clone(), options.seed, config_text(512, 1)),
        rng: SmallRng::seed_from_u64(options.seed.wrapping_mul(0x9e37_79b9)),
        config_revision: 1,
        list_version: 1,
        paused: Vec::new(),
        crashed: Vec::new(),
        report: StressReport { seed: options.seed, ..StressReport::default() },
    };
    for node in 0..options.size {
        run.sim.start(node, 0);
    }
    run.run_for(3_000);
    for _ in 0..options.steps {
        run.apply_random_action();
        // Most actions follow the previous one within the time of a probe cycle.
        let limit = if run.rng.random_bool(0.2) { 8_000 } else { 800 };
        let millis = run.rng.random_range(1..limit);
        run.run_for(millis);
    }
    run.end_faults();
    let StressRun { sim, mut report, .. } = run;
    report.pauses = sim.log.pauses;
    report.events = sim.log.events;
    report.violations.extend(sim.log.violations);
    report
}

impl StressRun {
    fn run_for(&mut self, millis: u64) {
        let until = self.sim.now + millis * 1000;
        self.sim.run_until(until);
    }

    /// Adds an action to the report.
    fn record_action(&mut self, action: String) {
        let now = self.sim.now;
        self.report.actions.push(format!("{now} µs: {action}"));
    }

    fn apply_random_action(&mut self) {
        let size = self.sim.len();
        let node = self.rng.random_range(0..size);
        match self.rng.random_range(0..100) {
            0..14 => self.publish_config(),
            14..20 => self.publish_list(),
            20..30 => self.crash(node),
            30..44 => self.restart(),
            44..50 => self.pause(node),
            50..58 => self.resume(),
            58..62 => {
                let first = self.rng.random_range(1..size);
                self.sim.partition(|node| node < first);
                self.record_action(format!("partition nodes below {first} from the others"));
            },
            62..68 => {
                let other = (node + self.rng.random_range(1..size)) % size;
                self.sim.block(node, other);
                self.record_action(format!("block the link from {node} to {other}"));
            },
            68..76 => {
                self.sim.unblock_all();
                self.record_action("unblock all links".to_owned());
            },
            76..82 => {
                let loss = *[0.0, 0.05, 0.1, 0.2].choose(&mut self.rng).unwrap_or(&0.0);
                self.sim.set_faults(loss, loss / 2.0, loss);
                self.record_action(format!(
                    "set loss {loss}, duplication {}, reordering {loss}",
                    loss / 2.0
                ));
            },
            82..86 => {
                self.sim.set_platform_down(true);
                self.record_action("take the platform down".to_owned());
            },
            86..92 => {
                self.sim.set_platform_down(false);
                self.sim.limit_platform(None);
                self.record_action("make the platform available to all nodes".to_owned());
            },
            92..95 => {
                let reachable = (0..size).filter(|_| self.rng.random_bool(0.3)).collect();
                self.record_action(format!("limit the platform to nodes {reachable:?}"));
                self.sim.limit_platform(Some(reachable));
            },
            95..98 => {
                // An old revision is published with the same text as before.
                let revision = self.rng.random_range(1..=self.config_revision);
                self.sim.publish(revision, Self::revision_text(revision));
                self.record_action(format!("roll the platform back to revision {revision}"));
            },
            _ => {
                let server =
                    ServerId::from_name(&format!("engine-{}", self.rng.random_range(0..4)));
                let leaving = self.rng.random_bool(0.7);
                if self.sim.is_running(node) {
                    self.sim.mark_server(node, server, leaving);
                }
            },
        }
    }

    /// Returns the text of a revision, which is invalid for one revision in 7.
    fn revision_text(revision: u64) -> Arc<str> {
        if revision % 7 == 3 {
            format!("invalid {revision}").into()
        } else {
            config_text(512, revision)
        }
    }

    fn publish_config(&mut self) {
        self.config_revision += 1;
        self.sim.publish(self.config_revision, Self::revision_text(self.config_revision));
        self.record_action(format!("publish configuration revision {}", self.config_revision));
    }

    fn publish_list(&mut self) {
        self.list_version += 1;
        let mut list = InstanceList::clone(&self.sim.platform.list);
        list.version = ListVersion(self.list_version);
        let last = list.entries.len() - 1;
        let entry = &mut list.entries[self.rng.random_range(0..=last)];
        entry.state = match entry.state {
            InstanceState::Live => InstanceState::Leaving,
            InstanceState::Leaving => InstanceState::Live,
        };
        self.sim.publish_list(list);
        self.record_action(format!("publish list version {}", self.list_version));
    }

    fn crash(&mut self, node: usize) {
        if self.sim.is_running(node) && self.sim.running().len() > 2 {
            self.sim.crash(node);
            self.crashed.push(node);
            self.record_action(format!("crash {node}"));
        }
    }

    fn restart(&mut self) {
        if let Some(node) = self.crashed.pop() {
            // In 30% of the restarts the wall clock has gone back by up to an hour.
            let skew =
                if self.rng.random_bool(0.3) { -self.rng.random_range(0..3_600_000) } else { 0 };
            self.sim.start(node, skew);
            self.report.restarts += 1;
            self.record_action(format!("restart {node} with wall clock off by {skew} ms"));
        }
    }

    fn pause(&mut self, node: usize) {
        if self.sim.is_running(node) && self.sim.running().len() > 2 {
            self.sim.pause(node);
            self.paused.push(node);
            self.record_action(format!("pause {node}"));
        }
    }

    fn resume(&mut self) {
        if let Some(node) = self.paused.pop() {
            self.sim.resume(node);
            self.record_action(format!("resume {node}"));
        }
    }

    /// Ends all faults, publishes valid versions and waits until versions, views and marks agree.
    fn end_faults(&mut self) {
        self.sim.unblock_all();
        self.sim.set_faults(0.0, 0.0, 0.0);
        while !self.paused.is_empty() {
            self.resume();
        }
        while !self.crashed.is_empty() {
            self.restart();
        }
        self.sim.set_platform_down(false);
        self.sim.limit_platform(None);
        self.publish_config();
        if self.config_revision % 7 == 3 {
            self.publish_config();
        }
        self.publish_list();
        let (config, list) = (self.config_revision, self.list_version);
        let start = self.sim.now;
        let seconds = |end: u64| (end - start) as f64 / SECOND as f64;
        let limit = start + 60 * SECOND;
        let end = self.sim.wait_until(limit, |sim| sim.all_in_effect(Subject::Config, config));
        self.report.change_s = end.map(seconds);
        let end = self.sim.wait_until(limit, |sim| {
            sim.all_in_effect(Subject::Config, config)
                && sim.all_in_effect(Subject::List, list)
                && sim.log.current.len() == sim.len()
                && sim.views_agree()
                && marks_agree(sim)
        });
        self.report.settled_s = end.map(seconds);
        if end.is_none() {
            let differences = describe_differences(&self.sim, config, list);
            self.report
                .violations
                .push(format!("no agreement within 60 s after the faults: {differences}"));
        }
    }
}

fn marks_of(sim: &FleetSim, node: usize) -> HashSet<ServerId> {
    sim.process(node).map(|process| process.table.leaving_servers().collect()).unwrap_or_default()
}

fn marks_agree(sim: &FleetSim) -> bool {
    let first = marks_of(sim, 0);
    (1..sim.len()).all(|node| marks_of(sim, node) == first)
}

fn describe_differences(sim: &FleetSim, config: u64, list: u64) -> String {
    let nodes_without = |subject, version| {
        sim.running().into_iter().filter(|&node| sim.version(node, subject) != version).collect()
    };
    let configs: Vec<_> = nodes_without(Subject::Config, config);
    let lists: Vec<_> = nodes_without(Subject::List, list);
    let not_current: Vec<_> =
        (0..sim.len()).filter(|node| !sim.log.current.contains_key(node)).collect();
    format!(
        "nodes without configuration {config}: {configs:?}, without list {list}: {lists:?}, not \
         current: {not_current:?}, views agree: {}, marks agree: {}",
        sim.views_agree(),
        marks_agree(sim)
    )
}
