//! Random faults in a fleet, with invariants checked throughout.

use std::collections::HashSet;
use std::sync::Arc;

use super::measure::text;
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
    /// Seed of the random numbers.
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
    /// Seed of the random numbers.
    pub seed: u64,
    /// Actions in order, for fault finding.
    pub actions: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Time from the end of all faults until everything agreed, s; `None` for more than 60 s.
    pub settled_s: Option<f64>,
    /// Time from the end of all faults until the last configuration was in effect everywhere, s.
    pub change_s: Option<f64>,
    /// Number of restarts.
    pub restarts: usize,
    /// Number of pauses that were detected.
    pub pauses: usize,
    /// Number of handled events.
    pub events: u64,
}

struct Stress {
    sim: FleetSim,
    rng: SmallRng,
    /// Highest published revision.
    config: u64,
    list: u64,
    paused: Vec<usize>,
    down: Vec<usize>,
    report: StressReport,
}

/// Runs random faults, ends them, and checks that everything agrees afterwards.
pub fn stress(options: &StressOptions) -> StressReport {
    let mut stress = Stress {
        sim: FleetSim::new(options.size, options.node.clone(), options.seed, text(512, 1)),
        rng: SmallRng::seed_from_u64(options.seed.wrapping_mul(0x9e37_79b9)),
        config: 1,
        list: 1,
        paused: Vec::new(),
        down: Vec::new(),
        report: StressReport { seed: options.seed, ..StressReport::default() },
    };
    for node in 0..options.size {
        stress.sim.start(node, 0);
    }
    stress.pass(3_000);
    for _ in 0..options.steps {
        stress.act();
        // Most actions follow each other at once or within the time of a probe cycle.
        let millis = if stress.rng.random_bool(0.2) { 8_000 } else { 800 };
        let millis = stress.rng.random_range(1..millis);
        stress.pass(millis);
    }
    stress.settle();
    let Stress { sim, mut report, .. } = stress;
    report.pauses = sim.log.pauses;
    report.events = sim.log.events;
    report.violations.extend(sim.log.violations);
    report
}

impl Stress {
    fn pass(&mut self, millis: u64) {
        let until = self.sim.now + millis * 1000;
        self.sim.run_until(until);
    }

    fn note(&mut self, action: String) {
        let now = self.sim.now;
        self.report.actions.push(format!("{now} µs: {action}"));
    }

    fn act(&mut self) {
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
                let cut = self.rng.random_range(1..size);
                self.sim.partition(|node| node < cut);
                self.note(format!("partition before node {cut}"));
            },
            62..68 => {
                let other = (node + self.rng.random_range(1..size)) % size;
                self.sim.block(node, other);
                self.note(format!("block {node} to {other}"));
            },
            68..76 => {
                self.sim.heal();
                self.note("heal links".to_owned());
            },
            76..82 => {
                let loss = *[0.0, 0.05, 0.1, 0.2].choose(&mut self.rng).unwrap_or(&0.0);
                self.sim.set_faults(loss, loss / 2.0, loss);
                self.note(format!("loss {loss}"));
            },
            82..86 => {
                self.sim.set_platform_down(true);
                self.note("platform down".to_owned());
            },
            86..92 => {
                self.sim.set_platform_down(false);
                self.sim.limit_platform(None);
                self.note("platform up".to_owned());
            },
            92..95 => {
                let reachable = (0..size).filter(|_| self.rng.random_bool(0.3)).collect();
                self.note(format!("platform reachable by {reachable:?}"));
                self.sim.limit_platform(Some(reachable));
            },
            95..98 => {
                // The texts of old revisions stay the same.
                let revision = self.rng.random_range(1..=self.config);
                self.sim.publish(revision, Self::config_text(revision));
                self.note(format!("platform back at revision {revision}"));
            },
            _ => {
                let server =
                    ServerId::from_name(&format!("engine-{}", self.rng.random_range(0..4)));
                let leaving = self.rng.random_bool(0.7);
                if self.sim.is_running(node) {
                    self.sim.mark_leaving(node, server, leaving);
                }
            },
        }
    }

    fn config_text(revision: u64) -> Arc<str> {
        if revision % 7 == 3 { format!("invalid {revision}").into() } else { text(512, revision) }
    }

    fn publish_config(&mut self) {
        self.config += 1;
        self.sim.publish(self.config, Self::config_text(self.config));
        self.note(format!("publish configuration {}", self.config));
    }

    fn publish_list(&mut self) {
        self.list += 1;
        let mut list = InstanceList::clone(&self.sim.platform.list);
        list.version = ListVersion(self.list);
        let last = list.entries.len() - 1;
        let entry = &mut list.entries[self.rng.random_range(0..=last)];
        entry.state = match entry.state {
            InstanceState::Live => InstanceState::Leaving,
            InstanceState::Leaving => InstanceState::Live,
        };
        self.sim.publish_list(list);
        self.note(format!("publish list {}", self.list));
    }

    fn crash(&mut self, node: usize) {
        if self.sim.is_running(node) && self.sim.running().len() > 2 {
            self.sim.crash(node);
            self.down.push(node);
            self.note(format!("crash {node}"));
        }
    }

    fn restart(&mut self) {
        if let Some(node) = self.down.pop() {
            // A wall clock that went back by up to an hour.
            let skew =
                if self.rng.random_bool(0.3) { -self.rng.random_range(0..3_600_000) } else { 0 };
            self.sim.start(node, skew);
            self.report.restarts += 1;
            self.note(format!("restart {node} with wall clock off by {skew} ms"));
        }
    }

    fn pause(&mut self, node: usize) {
        if self.sim.is_running(node) && self.sim.running().len() > 2 {
            self.sim.pause(node);
            self.paused.push(node);
            self.note(format!("pause {node}"));
        }
    }

    fn resume(&mut self) {
        if let Some(node) = self.paused.pop() {
            self.sim.resume(node);
            self.note(format!("resume {node}"));
        }
    }

    /// Ends all faults, publishes valid versions and waits until everything agrees.
    fn settle(&mut self) {
        self.sim.heal();
        self.sim.set_faults(0.0, 0.0, 0.0);
        while !self.paused.is_empty() {
            self.resume();
        }
        while !self.down.is_empty() {
            self.restart();
        }
        self.sim.set_platform_down(false);
        self.sim.limit_platform(None);
        self.publish_config();
        if self.config % 7 == 3 {
            self.publish_config();
        }
        self.publish_list();
        let (config, list) = (self.config, self.list);
        let start = self.sim.now;
        let seconds = |end: u64| (end - start) as f64 / SECOND as f64;
        let limit = start + 60 * SECOND;
        let end = self.sim.run_while(limit, |sim| sim.all_hold(Subject::Config, config));
        self.report.change_s = end.map(seconds);
        let end = self.sim.run_while(limit, |sim| {
            sim.all_hold(Subject::Config, config)
                && sim.all_hold(Subject::List, list)
                && sim.log.current.len() == sim.len()
                && sim.views_agree()
                && marks_agree(sim)
        });
        self.report.settled_s = end.map(seconds);
        if end.is_none() {
            let text = describe(&self.sim, config, list);
            self.report.violations.push(format!("no agreement within 60 s: {text}"));
        }
    }
}

fn marks_of(sim: &FleetSim, node: usize) -> HashSet<ServerId> {
    sim.node(node).map(|process| process.table.leaving_servers().collect()).unwrap_or_default()
}

fn marks_agree(sim: &FleetSim) -> bool {
    let first = marks_of(sim, 0);
    (1..sim.len()).all(|node| marks_of(sim, node) == first)
}

fn describe(sim: &FleetSim, config: u64, list: u64) -> String {
    let behind = |subject, version| {
        sim.running().into_iter().filter(|&node| sim.version(node, subject) != version).collect()
    };
    let configs: Vec<_> = behind(Subject::Config, config);
    let lists: Vec<_> = behind(Subject::List, list);
    let pending: Vec<_> =
        (0..sim.len()).filter(|node| !sim.log.current.contains_key(node)).collect();
    format!(
        "configuration missing at {configs:?}, list missing at {lists:?}, not current {pending:?}, \
         views agree: {}, marks agree: {}",
        sim.views_agree(),
        marks_agree(sim)
    )
}
