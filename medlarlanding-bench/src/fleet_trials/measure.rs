//! Propagation times, traffic and false evictions, measured at one fleet size.

use std::collections::HashSet;
use std::sync::Arc;

use super::node::NodeParams;
use super::sim::{FleetSim, SECOND};
use crate::usage::thread_cpu_ns;
use medlarlanding_core::distribution::Subject;
use medlarlanding_core::ids::ServerId;
use medlarlanding_core::membership::MembershipInput;
use medlarlanding_core::rendezvous;

use serde::Serialize;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct MeasureOptions {
    /// Column name in the table; derived from the number of instances if empty.
    pub label: String,
    /// Number of instances.
    pub size: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Bytes of the configuration text.
    pub text_bytes: usize,
    /// Virtual seconds in the steady state over which traffic is counted.
    pub steady_s: u64,
    /// Virtual seconds for which a link is blocked, first in both directions, then in one.
    pub bad_link_s: u64,
    /// Virtual seconds of the network partition.
    pub partition_s: u64,
    /// Settings of the instances.
    pub node: NodeParams,
}

impl Default for MeasureOptions {
    fn default() -> Self {
        Self {
            label: String::new(),
            size: 8,
            seed: 1,
            text_bytes: 256 << 10,
            steady_s: 60,
            bad_link_s: 120,
            partition_s: 60,
            node: NodeParams::default(),
        }
    }
}

/// Results at one fleet size. Propagation times are virtual seconds; `None` if the end was not
/// reached within 60 s.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetMeasurement {
    /// Column name in the table.
    pub label: String,
    /// Number of instances.
    pub size: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Bytes of the configuration text.
    pub text_bytes: usize,
    /// Time from the simultaneous start of all instances until all are current.
    pub cold_start_s: Option<f64>,
    /// Time from the simultaneous start of all instances until all views agree.
    pub cold_views_s: Option<f64>,
    /// Time from the publication of a configuration until it is in effect everywhere.
    pub change_s: Option<f64>,
    /// Like `change_s`, with 10% datagram loss.
    pub change_loss_s: Option<f64>,
    /// Time from the first read of a new configuration until it is in effect everywhere. Only one
    /// watcher can read it; then the platform goes down.
    pub change_down_s: Option<f64>,
    /// Like `change_s`, with the first watcher paused, until the configuration is in effect on all
    /// other instances.
    pub change_paused_s: Option<f64>,
    /// Time from the resumption of the paused watcher until it is current with that configuration.
    pub resumed_s: Option<f64>,
    /// Time from the restart of one instance until it is current.
    pub restart_s: Option<f64>,
    /// Mean encoded bytes sent per node and second in the steady state.
    pub sent_mean: f64,
    /// Maximum encoded bytes per second sent by a node in the steady state.
    pub sent_max: f64,
    /// Mean encoded bytes received per node and second in the steady state.
    pub received_mean: f64,
    /// Maximum encoded bytes per second received by a node in the steady state.
    pub received_max: f64,
    /// Datagrams sent per node and second in the steady state.
    pub datagrams: f64,
    /// Mean time since the instance list is known to have been published, at the end of the steady
    /// state.
    pub list_age_mean_s: f64,
    /// Maximum of this time over the nodes.
    pub list_age_max_s: f64,
    /// Mean bytes sent and received per node because of one configuration change: the total less
    /// the mean traffic of the steady state.
    pub change_bytes_mean: f64,
    /// Maximum of these bytes over the nodes.
    pub change_bytes_max: f64,
    /// Mean bytes sent and received per node and second with 10% datagram loss and no
    /// configuration change.
    pub loss_mean: f64,
    /// Maximum of these bytes over the nodes.
    pub loss_max: f64,
    /// Calls to the platform in the busiest second of the steady state, pending ones included.
    pub calls_steady: u64,
    /// Calls to the platform in the busiest second of the outage and its end, pending ones
    /// included.
    pub calls_outage: u64,
    /// Calls that the platform refused because of the rate limit in the whole run.
    pub calls_refused: u64,
    /// CPU time per node and virtual second in the steady state, including the simulation, µs.
    pub cpu_us: f64,
    /// Evictions of running instances with one link blocked in both directions.
    pub false_bad_link: usize,
    /// Evictions of running instances with one link blocked in one direction.
    pub false_one_way: usize,
    /// Evictions of running instances with 10% datagram loss.
    pub false_loss: usize,
    /// Time from a crash until the first other instance considers the instance dead.
    pub death_first_s: Option<f64>,
    /// Time from a crash until all other instances consider the instance dead; also set if that
    /// took longer than the limit.
    pub death_all_s: Option<f64>,
    /// Time from the leaving mark of a server at one instance until all instances know it.
    pub mark_s: Option<f64>,
    /// Like `mark_s`, with 10% datagram loss.
    pub mark_loss_s: Option<f64>,
    /// Time from the announced end of a process until all other instances consider it dead.
    pub departure_s: Option<f64>,
    /// Time from a publication during a network partition until the configuration is in effect on
    /// the half that can reach the platform.
    pub change_side_s: Option<f64>,
    /// Time from the end of the partition until that configuration is in effect everywhere.
    pub change_heal_s: Option<f64>,
    /// Time from the end of the partition until all views agree.
    pub heal_s: Option<f64>,
    /// CPU time of the whole run, s.
    pub cpu_s: f64,
    /// Violated invariants.
    pub violations: Vec<String>,
}

/// Creates a configuration text. The texts of two versions differ in their first line.
pub fn config_text(bytes: usize, version: u64) -> Arc<str> {
    let head = format!("# version {version}\n");
    let line = "customer-0000: { share: 4, open_limit: 64 }\n";
    head.chars().chain(line.chars().cycle()).take(bytes.max(head.len())).collect::<String>().into()
}

struct FleetTrial {
    sim: FleetSim,
    text_bytes: usize,
    /// Configuration version that was published last.
    version: u64,
}

impl FleetTrial {
    fn seconds_since(&self, start: u64, end: Option<u64>) -> Option<f64> {
        end.map(|end| (end - start) as f64 / SECOND as f64)
    }

    /// Runs until `condition` holds and returns the time that it took in s; `None` if it does not
    /// hold within 60 s.
    fn wait_until(&mut self, condition: impl FnMut(&FleetSim) -> bool) -> Option<f64> {
        let start = self.sim.now;
        let end = self.sim.wait_until(start + 60 * SECOND, condition);
        self.seconds_since(start, end)
    }

    fn run_for(&mut self, seconds: u64) {
        let until = self.sim.now + seconds * SECOND;
        self.sim.run_until(until);
    }

    /// Publishes the next configuration version and returns it.
    fn publish(&mut self) -> u64 {
        self.version += 1;
        let text = config_text(self.text_bytes, self.version);
        self.sim.publish(self.version, text);
        self.version
    }

    /// Publishes the next configuration and returns the time until it is in effect everywhere.
    fn time_change(&mut self) -> Option<f64> {
        let version = self.publish();
        self.wait_until(|sim| sim.all_in_effect(Subject::Config, version))
    }

    /// Returns the node at position `rank`, from 0, in the order in which nodes are chosen as
    /// watchers.
    fn watcher(&self, rank: usize) -> usize {
        let key = medlarlanding_core::ids::stable_hash(b"watch");
        let mut nodes = self.sim.running();
        nodes.sort_by_key(|&node| std::cmp::Reverse(rendezvous::weight(key, self.sim.id(node))));
        nodes[rank]
    }

    /// Marks a server as leaving at one node and returns the time until all nodes know it.
    fn time_leaving_mark(&mut self, name: &str) -> Option<f64> {
        let server = ServerId::from_name(name);
        let node = self.sim.running()[0];
        self.sim.mark_server(node, server, true);
        self.wait_until(|sim| {
            let known = sim.log.marks.get(&server);
            sim.running().iter().all(|node| known.is_some_and(|known| known.contains_key(node)))
        })
    }

    /// Returns the mean and the maximum over the nodes of the bytes sent and received.
    fn traffic_bytes(&self) -> (f64, f64) {
        let bytes = self.sim.traffic.iter().map(|node| (node.sent + node.received) as f64);
        let mean = bytes.clone().sum::<f64>() / self.sim.len() as f64;
        (mean, bytes.fold(0.0, f64::max))
    }

    /// Counts the evictions of running instances, beginning with the eviction number `from`.
    fn false_evictions(&self, from: usize) -> usize {
        self.sim.log.evictions[from..].iter().filter(|&&(_, _, _, running)| running).count()
    }

    /// Returns the maximum number of calls per second to the platform between two times, pending
    /// ones included.
    fn peak_calls(&self, from: u64, until: u64) -> u64 {
        let seconds = from / SECOND..=until / SECOND;
        let load = self.sim.platform.load.range(seconds);
        load.map(|(_, load)| load.started + load.pending).max().unwrap_or(0)
    }
}

/// Runs all measurements at one fleet size.
pub fn measure(options: &MeasureOptions) -> FleetMeasurement {
    let cpu_start = thread_cpu_ns();
    let size = options.size;
    let first_text = config_text(options.text_bytes, 1);
    let sim = FleetSim::new(size, options.node.clone(), options.seed, first_text);
    let mut trial = FleetTrial { sim, text_bytes: options.text_bytes, version: 1 };
    let mut result = FleetMeasurement {
        label: match options.label.as_str() {
            "" => format!("{size} instances"),
            label => label.to_owned(),
        },
        size,
        seed: options.seed,
        text_bytes: options.text_bytes,
        ..FleetMeasurement::default()
    };

    for node in 0..size {
        trial.sim.start(node, 0);
    }
    result.cold_start_s = trial.wait_until(|sim| sim.log.current.len() == size);
    let start = result.cold_start_s.unwrap_or(60.0);
    result.cold_views_s = trial.wait_until(FleetSim::views_agree).map(|seconds| start + seconds);
    trial.run_for(30);

    measure_steady(&mut trial, options, &mut result);
    measure_change(&mut trial, &mut result);
    result.mark_s = trial.time_leaving_mark("engine-1");
    trial.run_for(5);
    measure_paused(&mut trial, &mut result);
    trial.run_for(10);
    measure_restart(&mut trial, &mut result);
    trial.run_for(10);
    measure_bad_links(&mut trial, options, &mut result);
    trial.run_for(10);
    measure_outage(&mut trial, &mut result);
    trial.run_for(10);
    measure_loss(&mut trial, &mut result);
    trial.run_for(20);
    measure_crash(&mut trial, &mut result);
    trial.run_for(10);
    measure_partition(&mut trial, options, &mut result);

    result.calls_refused = trial.sim.platform.load.values().map(|load| load.refused).sum();
    result.cpu_s = (thread_cpu_ns() - cpu_start) as f64 / 1e9;
    result.violations = trial.sim.log.violations;
    result
}

fn measure_steady(trial: &mut FleetTrial, options: &MeasureOptions, result: &mut FleetMeasurement) {
    trial.sim.reset_traffic();
    let (start, cpu_start) = (trial.sim.now, thread_cpu_ns());
    trial.run_for(options.steady_s);
    let node_seconds = (options.size as u64 * options.steady_s) as f64;
    let seconds = options.steady_s as f64;
    let traffic = &trial.sim.traffic;
    let total =
        |of: fn(&super::sim::NodeTraffic) -> u64| traffic.iter().map(of).sum::<u64>() as f64;
    let maximum =
        |of: fn(&super::sim::NodeTraffic) -> u64| traffic.iter().map(of).max().unwrap_or(0) as f64;
    result.sent_mean = total(|node| node.sent) / node_seconds;
    result.sent_max = maximum(|node| node.sent) / seconds;
    result.received_mean = total(|node| node.received) / node_seconds;
    result.received_max = maximum(|node| node.received) / seconds;
    result.datagrams = total(|node| node.datagrams) / node_seconds;
    let ages = trial.sim.list_ages();
    result.list_age_mean_s = ages.iter().sum::<f64>() / ages.len() as f64;
    result.list_age_max_s = ages.into_iter().fold(0.0, f64::max);
    result.calls_steady = trial.peak_calls(start, trial.sim.now);
    result.cpu_us = (thread_cpu_ns() - cpu_start) as f64 / 1000.0 / node_seconds;
}

fn measure_change(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    trial.sim.reset_traffic();
    let start = trial.sim.now;
    result.change_s = trial.time_change();
    trial.run_for(5);
    let seconds = (trial.sim.now - start) as f64 / SECOND as f64;
    let steady = (result.sent_mean + result.received_mean) * seconds;
    let (mean, max) = trial.traffic_bytes();
    result.change_bytes_mean = mean - steady;
    result.change_bytes_max = max - steady;
}

fn measure_paused(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    let paused = trial.watcher(0);
    trial.sim.pause(paused);
    trial.run_for(1);
    result.change_paused_s = trial.time_change();
    let version = trial.version;
    trial.run_for(3);
    trial.sim.resume(paused);
    result.resumed_s = trial.wait_until(|sim| {
        sim.version(paused, Subject::Config) == version && sim.log.current.contains_key(&paused)
    });
}

fn measure_restart(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    let node = trial.sim.running()[1];
    trial.sim.crash(node);
    trial.run_for(1);
    trial.sim.start(node, 0);
    result.restart_s = trial.wait_until(|sim| sim.log.current.contains_key(&node));
}

fn measure_bad_links(
    trial: &mut FleetTrial,
    options: &MeasureOptions,
    result: &mut FleetMeasurement,
) {
    let from = trial.sim.log.evictions.len();
    let last = trial.sim.len() - 1;
    trial.sim.block(0, last);
    trial.sim.block(last, 0);
    trial.run_for(options.bad_link_s);
    trial.sim.unblock_all();
    result.false_bad_link = trial.false_evictions(from);
    let from = trial.sim.log.evictions.len();
    trial.sim.block(0, last);
    trial.run_for(options.bad_link_s);
    trial.sim.unblock_all();
    result.false_one_way = trial.false_evictions(from);
}

fn measure_outage(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    let start = trial.sim.now;
    let reader = trial.watcher(1);
    trial.sim.limit_platform(Some(HashSet::from([reader])));
    trial.run_for(1);
    let version = trial.publish();
    let read = trial.wait_until(|sim| sim.platform.readers.contains(&reader));
    trial.sim.set_platform_down(true);
    trial.sim.limit_platform(None);
    result.change_down_s =
        read.and_then(|_| trial.wait_until(|sim| sim.all_in_effect(Subject::Config, version)));
    trial.run_for(30);
    trial.sim.set_platform_down(false);
    trial.run_for(15);
    result.calls_outage = trial.peak_calls(start, trial.sim.now);
}

fn measure_loss(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    trial.sim.set_faults(0.1, 0.01, 0.01);
    let from = trial.sim.log.evictions.len();
    result.change_loss_s = trial.time_change();
    trial.run_for(5);
    trial.sim.reset_traffic();
    let start = trial.sim.now;
    result.mark_loss_s = trial.time_leaving_mark("engine-2");
    trial.run_for(60);
    let seconds = (trial.sim.now - start) as f64 / SECOND as f64;
    let (mean, max) = trial.traffic_bytes();
    result.loss_mean = mean / seconds;
    result.loss_max = max / seconds;
    result.false_loss = trial.false_evictions(from);
    trial.sim.set_faults(0.0, 0.0, 0.0);
}

fn measure_crash(trial: &mut FleetTrial, result: &mut FleetMeasurement) {
    let node = trial.sim.len() / 2;
    let start = trial.sim.now;
    trial.sim.crash(node);
    result.death_first_s = trial.wait_until(|sim| sim.nodes_without(node).next().is_some());
    trial.wait_until(|sim| sim.nodes_without(node).count() == sim.running().len());
    result.death_all_s = trial.seconds_since(start, Some(trial.sim.now));
    trial.sim.start(node, 0);
    trial.wait_until(FleetSim::views_agree);
    trial.run_for(5);
    trial.sim.handle_membership(node, MembershipInput::Leave);
    trial.run_for(2);
    trial.sim.handle_membership(node, MembershipInput::Depart);
    trial.sim.crash(node);
    result.departure_s =
        trial.wait_until(|sim| sim.nodes_without(node).count() == sim.running().len());
    trial.sim.start(node, 0);
    trial.wait_until(FleetSim::views_agree);
}

fn measure_partition(
    trial: &mut FleetTrial,
    options: &MeasureOptions,
    result: &mut FleetMeasurement,
) {
    let half = trial.sim.len() / 2;
    trial.sim.partition(|node| node < half);
    trial.sim.limit_platform(Some((0..half).collect()));
    trial.run_for(options.partition_s.saturating_sub(10));
    let version = trial.publish();
    let is_in_effect_at = |sim: &FleetSim, mut nodes: std::ops::Range<usize>| {
        nodes.all(|node| sim.version(node, Subject::Config) == version)
    };
    result.change_side_s = trial.wait_until(|sim| is_in_effect_at(sim, 0..half));
    trial.run_for(10);
    trial.sim.unblock_all();
    let start = trial.sim.now;
    result.change_heal_s = trial.wait_until(|sim| sim.all_in_effect(Subject::Config, version));
    let end = trial.sim.wait_until(start + 60 * SECOND, FleetSim::views_agree);
    result.heal_s = trial.seconds_since(start, end);
    trial.sim.limit_platform(None);
}
