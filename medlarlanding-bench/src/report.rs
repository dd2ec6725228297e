//! Results of experiments as JSON, Markdown report and plots.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use crate::experiment::RunKey;
use crate::experiment::measures::{GroupFigures, RunFigures};
use crate::experiment::plan::{DeploymentKind, ExperimentPlan, FaultKind, PolicyKind};

use anyhow::Context;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings and figures of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// Deployment.
    pub deployment: DeploymentKind,
    /// Policy by which requests were distributed.
    pub policy: PolicyKind,
    /// Fault that was injected.
    pub fault: FaultKind,
    /// Offered load as a fraction of the capacity; 0 in the sweep.
    pub load: f64,
    /// Offered requests per second.
    pub rate: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Figures of the run.
    pub figures: RunFigures,
}

impl RunResult {
    /// Creates the result of a run.
    pub fn new(key: RunKey, figures: RunFigures) -> Self {
        let RunKey { deployment, policy, fault, load, rate, seed } = key;
        Self { deployment, policy, fault, load, rate, seed, figures }
    }
}

/// Results of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExperimentResults {
    /// Content of the experiment file.
    pub plan: ExperimentPlan,
    /// Complete answers per second that count as load 1.
    pub capacities: BTreeMap<DeploymentKind, f64>,
    /// Runs that determined the capacity.
    pub sweep: Vec<RunResult>,
    /// All other runs.
    pub runs: Vec<RunResult>,
}

/// Measure with a column in the tables and a plot of its own.
struct PlottedMeasure {
    /// Column name, also in the title of the plot.
    name: &'static str,
    /// Last part of the plot's file name.
    file: &'static str,
    get: fn(&RunFigures) -> f64,
}

const MEASURES: [PlottedMeasure; 13] = [
    PlottedMeasure {
        name: "preemptions",
        file: "preemptions",
        get: |figures| figures.preemptions as f64,
    },
    PlottedMeasure { name: "stall s", file: "stall", get: |figures| figures.total.stall_s },
    PlottedMeasure { name: "gap p50 ms", file: "gap_p50", get: |figures| figures.total.gap_ms.p50 },
    PlottedMeasure { name: "gap p95 ms", file: "gap_p95", get: |figures| figures.total.gap_ms.p95 },
    PlottedMeasure { name: "gap p99 ms", file: "gap_p99", get: |figures| figures.total.gap_ms.p99 },
    PlottedMeasure {
        name: "first p50 ms",
        file: "first_p50",
        get: |figures| figures.total.first_ms.p50,
    },
    PlottedMeasure {
        name: "first p95 ms",
        file: "first_p95",
        get: |figures| figures.total.first_ms.p95,
    },
    PlottedMeasure {
        name: "complete/s",
        file: "complete",
        get: |figures| figures.total.complete_per_s,
    },
    PlottedMeasure {
        name: "complete/s in mix",
        file: "complete_mix",
        get: |figures| figures.mix_complete_per_s,
    },
    PlottedMeasure {
        name: "rejected",
        file: "rejected",
        get: |figures| figures.total.ends.rejected as f64,
    },
    PlottedMeasure {
        name: "of these over limit",
        file: "over_limit",
        get: |figures| figures.total.ends.over_limit as f64,
    },
    PlottedMeasure {
        name: "deadline or lost",
        file: "unfinished",
        get: |figures| (figures.total.ends.deadline + figures.total.ends.lost) as f64,
    },
    PlottedMeasure {
        name: "memory %",
        file: "memory",
        get: |figures| figures.memory_fraction * 100.0,
    },
];

/// Returns the mean of a measure over runs.
fn mean(runs: &[&RunResult], get: fn(&RunFigures) -> f64) -> f64 {
    runs.iter().map(|run| get(&run.figures)).sum::<f64>() / runs.len().max(1) as f64
}

/// Returns the runs of one combination, one per seed.
fn select_runs(
    results: &ExperimentResults,
    deployment: DeploymentKind,
    fault: FaultKind,
    load: f64,
    policy: PolicyKind,
) -> Vec<&RunResult> {
    results
        .runs
        .iter()
        .filter(|run| {
            run.deployment == deployment
                && run.fault == fault
                && run.load == load
                && run.policy == policy
        })
        .collect()
}

fn deployment_name(kind: DeploymentKind) -> &'static str {
    match kind {
        DeploymentKind::Nile => "nile",
        DeploymentKind::Consortium => "consortium",
    }
}

/// Writes `results.json`, `report.md` and one SVG per measure into a directory.
///
/// # Errors
///
/// Fails if a file cannot be written.
pub fn write(results: &ExperimentResults, directory: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let json = serde_json::to_string_pretty(results)?;
    std::fs::write(directory.join("results.json"), json)?;
    std::fs::write(directory.join("report.md"), markdown(results))?;
    for &deployment in &results.plan.deployments {
        for measure in &MEASURES {
            let name = format!("{}_{}.svg", deployment_name(deployment), measure.file);
            plot(results, deployment, measure, &directory.join(name))?;
        }
    }
    Ok(())
}

/// Formats the results as a Markdown report.
pub fn markdown(results: &ExperimentResults) -> String {
    let mut text = format!("# Experiment {}\n\n", results.plan.name);
    let plan = &results.plan;
    let _ = writeln!(
        text,
        "Seeds {:?}, {} instances, warm-up {} s, window {} s; figures are means over the seeds.\n",
        plan.seeds, plan.instances, plan.warmup_s, plan.window_s
    );
    for (&deployment, capacity) in &results.capacities {
        let _ = writeln!(
            text,
            "Capacity of {}: {capacity:.2} complete answers/s in the proportions of the mix.\n",
            deployment_name(deployment)
        );
    }
    for &deployment in &plan.deployments {
        for &fault in &plan.faults {
            let _ = writeln!(text, "## {}, {}\n", deployment_name(deployment), fault.as_str());
            write_policy_table(&mut text, results, deployment, fault);
            write_class_table(&mut text, results, deployment, fault);
        }
    }
    text
}

/// Appends the table of all requests by load and policy.
fn write_policy_table(
    text: &mut String,
    results: &ExperimentResults,
    deployment: DeploymentKind,
    fault: FaultKind,
) {
    text.push_str("| load | policy |");
    for measure in &MEASURES {
        let _ = write!(text, " {} |", measure.name);
    }
    text.push_str("\n|---|---|");
    text.push_str(&"---:|".repeat(MEASURES.len()));
    text.push('\n');
    for &load in &results.plan.loads {
        for &policy in &results.plan.policies {
            let runs = select_runs(results, deployment, fault, load, policy);
            if runs.is_empty() {
                continue;
            }
            let _ = write!(text, "| {load} | {} |", policy.as_str());
            for measure in &MEASURES {
                let value = mean(&runs, measure.get);
                if value >= 100.0 {
                    let _ = write!(text, " {value:.0} |");
                } else {
                    let _ = write!(text, " {value:.2} |");
                }
            }
            text.push('\n');
        }
    }
    text.push('\n');
}

/// Appends the table of the requests of each class by load and policy.
fn write_class_table(
    text: &mut String,
    results: &ExperimentResults,
    deployment: DeploymentKind,
    fault: FaultKind,
) {
    text.push_str(
        "| load | policy | class | first p50 ms | first p95 ms | gap p99 ms | stall s | \
         answer p95 s | complete/s | rejected |\n|---|---|---|---:|---:|---:|---:|---:|---:|---:|\n",
    );
    for &load in &results.plan.loads {
        for &policy in &results.plan.policies {
            let runs = select_runs(results, deployment, fault, load, policy);
            let Some(first) = runs.first() else { continue };
            for (index, (class, _)) in first.figures.classes.iter().enumerate() {
                let mean = |get: fn(&GroupFigures) -> f64| {
                    let sum: f64 = runs.iter().map(|run| get(&run.figures.classes[index].1)).sum();
                    sum / runs.len() as f64
                };
                let _ = writeln!(
                    text,
                    "| {load} | {} | {class} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {:.0} |",
                    policy.as_str(),
                    mean(|group| group.first_ms.p50),
                    mean(|group| group.first_ms.p95),
                    mean(|group| group.gap_ms.p99),
                    mean(|group| group.stall_s),
                    mean(|group| group.whole_ms.p95 / 1000.0),
                    mean(|group| group.complete_per_s),
                    mean(|group| group.ends.rejected as f64),
                );
            }
        }
    }
    text.push('\n');
}

/// Plots a measure over the load under the first fault of the plan, with one line per policy.
fn plot(
    results: &ExperimentResults,
    deployment: DeploymentKind,
    measure: &PlottedMeasure,
    path: &Path,
) -> anyhow::Result<()> {
    let fault = results.plan.faults.first().copied().unwrap_or(FaultKind::None);
    let mut lines = Vec::new();
    for &policy in &results.plan.policies {
        let points: Vec<_> = results
            .plan
            .loads
            .iter()
            .filter_map(|&load| {
                let runs = select_runs(results, deployment, fault, load, policy);
                (!runs.is_empty()).then(|| (load, mean(&runs, measure.get)))
            })
            .collect();
        lines.push((policy, points));
    }
    let highest = lines.iter().flat_map(|line| &line.1).map(|point| point.1).fold(1e-9, f64::max);
    let loads = || results.plan.loads.iter().copied();
    let (low, high) = (loads().fold(f64::MAX, f64::min), loads().fold(0.0, f64::max));
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{}: {}", deployment_name(deployment), measure.name);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(low - 0.02..high + 0.02, 0.0..highest * 1.05)?;
    chart.configure_mesh().x_desc("offered load as a fraction of the capacity").draw()?;
    for (index, (policy, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        chart.draw_series(points.iter().map(|&point| Circle::new(point, 3, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
