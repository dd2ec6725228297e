//! Experiment files, and the deployments that they refer to.

use std::time::Duration;

use medlarlanding_core::admission::AdmissionParams;
use medlarlanding_core::config::DeskObjective;

use serde::{Deserialize, Serialize};

use crate::engine_model::EngineParams;

/// How requests are distributed over the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Each instance sends its requests to the servers in turn.
    RoundRobin,
    /// Each request is sent to the server with the fewest open requests of all instances, counted
    /// without delay.
    LeastOutstanding,
    /// Each request is sent to the less loaded of two random servers, by their delayed load
    /// reports.
    TwoChoices,
    /// Requests wait in a single queue and start once the prompt and the maximum output fit into
    /// the memory of a server.
    Reservation,
    /// The admission subsystem decides.
    Admission,
}

impl PolicyKind {
    /// Policies to which the admission subsystem is compared.
    pub const BASELINES: [Self; 4] =
        [Self::RoundRobin, Self::LeastOutstanding, Self::TwoChoices, Self::Reservation];

    /// Gets the name in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastOutstanding => "least_outstanding",
            Self::TwoChoices => "two_choices",
            Self::Reservation => "reservation",
            Self::Admission => "admission",
        }
    }
}

/// Fault injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing fails.
    None,
    /// One server is killed after one third of the measurement window, and one instance is paused
    /// for 10 s after two thirds.
    KillAndPause,
    /// One customer sends ten times as many requests as its limit of open requests admits.
    NoisyCustomer,
}

impl FaultKind {
    /// Gets the name in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::KillAndPause => "kill_and_pause",
            Self::NoisyCustomer => "noisy_customer",
        }
    }
}

/// Deployment with its mix of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Overnight drafts and fitment checks.
    Nile,
    /// Narratives and assessments.
    Consortium,
}

/// Class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Name in results.
    pub name: &'static str,
    /// Fraction of the arrivals that belong to this class.
    pub fraction: f64,
    /// Median of the prompt's length in tokens, and standard deviation of its logarithm.
    pub prompt: (f64, f64),
    /// Median of the output's length in tokens, and standard deviation of its logarithm.
    pub output: (f64, f64),
    /// Limit of the output in tokens.
    pub max_tokens: u32,
    /// Priority from 0 to 9; 9 is the most urgent.
    pub priority: u8,
    /// Time from the arrival within which the complete answer is due.
    pub deadline: Duration,
    /// Objective of the desk.
    pub objective: DeskObjective,
    /// Whether the answer is delivered only when it is complete, so that the request can be
    /// retried after tokens were received.
    pub whole: bool,
}

/// Size of a deployment and its mix of requests.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in results.
    pub name: &'static str,
    /// Number of model engines.
    pub servers: usize,
    /// Classes of requests. Their fractions add up to 1.
    pub classes: Vec<RequestClass>,
    /// Fraction of the arrivals of each customer. The customers' shares and limits are proportional
    /// to it.
    pub customers: Vec<f64>,
    /// Sum of all customers' limits of open requests.
    pub open_limit_total: f64,
    /// Capacity and speed of each engine.
    pub engine: EngineParams,
}

impl Deployment {
    /// Creates the deployment of a kind.
    pub fn new(kind: DeploymentKind) -> Self {
        // Three large customers and seven small ones.
        let customers = vec![0.28, 0.22, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05];
        // The size of the servers in the design's configuration example. The memory holds about 20
        // drafts, so it is exhausted before the batch is full.
        let engine = EngineParams {
            kv_tokens: 65_536,
            max_batch: 32,
            prefix_cache_tokens: 32_768,
            ..EngineParams::default()
        };
        match kind {
            DeploymentKind::Nile => Self {
                name: "nile",
                servers: 12,
                classes: vec![
                    RequestClass {
                        name: "overnight",
                        fraction: 0.4,
                        prompt: (700.0, 0.5),
                        output: (1200.0, 1.0),
                        max_tokens: 32_768,
                        priority: 2,
                        deadline: Duration::from_secs(3600),
                        objective: DeskObjective::FewestPreemptions,
                        whole: true,
                    },
                    RequestClass {
                        name: "fitment",
                        fraction: 0.6,
                        prompt: (300.0, 0.4),
                        output: (40.0, 0.8),
                        max_tokens: 1024,
                        priority: 7,
                        deadline: Duration::from_secs(60),
                        objective: DeskObjective::FewestPreemptions,
                        whole: false,
                    },
                ],
                customers,
                open_limit_total: 1200.0,
                engine,
            },
            DeploymentKind::Consortium => Self {
                name: "consortium",
                servers: 9,
                classes: vec![
                    RequestClass {
                        name: "narrative",
                        fraction: 0.5,
                        prompt: (1500.0, 0.4),
                        output: (500.0, 0.9),
                        max_tokens: 8192,
                        priority: 5,
                        deadline: Duration::from_secs(300),
                        objective: DeskObjective::LeastStall,
                        whole: false,
                    },
                    RequestClass {
                        name: "assessment",
                        fraction: 0.5,
                        prompt: (2500.0, 0.4),
                        output: (150.0, 0.7),
                        max_tokens: 2048,
                        priority: 5,
                        deadline: Duration::from_secs(120),
                        objective: DeskObjective::LeastStall,
                        whole: false,
                    },
                ],
                customers,
                open_limit_total: 900.0,
                engine,
            },
        }
    }
}

/// Admission parameters that an experiment changes; `None` keeps the default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionTuning {
    /// See `AdmissionParams::z_fewest_preemptions`.
    pub z_fewest_preemptions: Option<f64>,
    /// See `AdmissionParams::z_least_stall`.
    pub z_least_stall: Option<f64>,
    /// See `AdmissionParams::queues_per_request`.
    #[serde(rename = "ask_width")]
    pub queues_per_request: Option<usize>,
    /// See `AdmissionParams::affinity_bound`.
    pub affinity_bound: Option<f64>,
    /// See `AdmissionParams::soft_limit_fraction`.
    #[serde(rename = "surplus_part")]
    pub soft_limit_fraction: Option<f64>,
    /// See `AdmissionParams::soft_limit_headroom`.
    #[serde(rename = "surplus_headroom")]
    pub soft_limit_headroom: Option<f64>,
    /// See `AdmissionParams::affinity_bound_least_stall`.
    pub affinity_bound_least_stall: Option<f64>,
    /// See `AdmissionParams::affinity_wait`, in milliseconds.
    pub affinity_wait_ms: Option<u64>,
    /// See `AdmissionParams::target_gap`, in milliseconds.
    pub target_gap_ms: Option<u64>,
}

impl AdmissionTuning {
    /// Returns the default parameters with the changes.
    pub fn params(&self) -> AdmissionParams {
        let defaults = AdmissionParams::default();
        AdmissionParams {
            z_fewest_preemptions: self
                .z_fewest_preemptions
                .unwrap_or(defaults.z_fewest_preemptions),
            z_least_stall: self.z_least_stall.unwrap_or(defaults.z_least_stall),
            queues_per_request: self.queues_per_request.unwrap_or(defaults.queues_per_request),
            affinity_bound: self.affinity_bound.unwrap_or(defaults.affinity_bound),
            affinity_bound_least_stall: self
                .affinity_bound_least_stall
                .unwrap_or(defaults.affinity_bound_least_stall),
            soft_limit_fraction: self.soft_limit_fraction.unwrap_or(defaults.soft_limit_fraction),
            soft_limit_headroom: self.soft_limit_headroom.unwrap_or(defaults.soft_limit_headroom),
            affinity_wait: self
                .affinity_wait_ms
                .map_or(defaults.affinity_wait, Duration::from_millis),
            target_gap: self.target_gap_ms.map_or(defaults.target_gap, Duration::from_millis),
            ..defaults
        }
    }
}

/// Content of an experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Title of the report.
    pub name: String,
    /// Deployments to run.
    pub deployments: Vec<DeploymentKind>,
    /// Policies to run.
    pub policies: Vec<PolicyKind>,
    /// Offered loads to run, as fractions of the capacity.
    pub loads: Vec<f64>,
    /// Seeds to run. With the same seed, all policies and faults are run with the same arrivals,
    /// to which a noisy customer adds its own.
    pub seeds: Vec<u64>,
    /// Faults to run.
    pub faults: Vec<FaultKind>,
    /// Number of instances.
    pub instances: usize,
    /// Time before the measurement window, s.
    pub warmup_s: f64,
    /// Length of the measurement window, s.
    pub window_s: f64,
    /// Maximum time after the window for which the run continues until open requests have ended,
    /// s.
    pub drain_s: f64,
    /// Complete answers per second that count as load 1. Determined by a sweep of the baselines if
    /// absent.
    pub capacity: Option<f64>,
    /// Rates of the sweep, in requests per second and server.
    pub sweep: Vec<f64>,
    /// Changed admission parameters.
    pub tuning: AdmissionTuning,
}

impl Default for ExperimentPlan {
    fn default() -> Self {
        Self {
            name: "admission".to_owned(),
            deployments: vec![DeploymentKind::Nile, DeploymentKind::Consortium],
            policies: [&PolicyKind::BASELINES[..], &[PolicyKind::Admission]].concat(),
            loads: vec![0.7, 0.9, 1.0, 1.2],
            seeds: vec![1, 2, 3],
            faults: vec![FaultKind::None],
            instances: 8,
            warmup_s: 300.0,
            window_s: 600.0,
            drain_s: 1200.0,
            capacity: None,
            sweep: vec![0.5, 0.7, 0.9, 1.1, 1.3, 1.6, 2.0],
            tuning: AdmissionTuning::default(),
        }
    }
}
