//! Results of trials, and their Markdown table.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use medlarlanding_core::ErrorKind;
use medlarlanding_core::errors::RunState;
use medlarlanding_core::orders::OrderAnswer;

use super::plan::TrialTime;

/// Results of one or more trials of one design.
#[derive(Clone, Debug)]
pub struct TrialReport {
    /// Number of trials.
    pub trials: usize,
    /// Orders, each with its own key.
    pub orders: usize,
    /// Requests, including repetitions.
    pub submissions: usize,
    /// Orders that were executed.
    pub executed: usize,
    /// Orders for which at least one request, retries included, got the service's answer.
    pub answered: usize,
    /// Executions that followed another execution of the same order within the retention.
    pub double_executions: usize,
    /// Requests that were run but answered with the run state `not_run`.
    pub false_not_run: usize,
    /// Answers that are not those of the order's first execution within the retention.
    pub differing_answers: usize,
    /// Queries that were answered.
    pub queries: usize,
    /// Query answers that contradict the executions.
    pub wrong_queries: usize,
    /// Replicas of partitions that were not synchronised at the end.
    pub unsynchronised: usize,
    /// Requests without an answer because their process or the trial ended first.
    pub unanswered: usize,
    /// First requests of an order that were answered with the run state `ran`.
    pub first_ran: usize,
    /// First requests that were answered with the run state `not_run`.
    pub first_rejected: usize,
    /// First requests that were answered with the run state `outcome_unknown`.
    pub first_unknown: usize,
    /// The part of `first_unknown` that was refused with `order_in_doubt`.
    pub first_in_doubt: usize,
    /// Number of refused first requests by error code.
    pub refusals: BTreeMap<&'static str, usize>,
    /// Requests of callers for a minted key or a ticket, before the order.
    pub fetches: usize,
    /// Messages between instances after the warm-up, without `copy_messages`.
    pub order_messages: u64,
    /// Messages after the warm-up that request or carry copies or lineages of partitions.
    pub copy_messages: u64,
    /// Time in microseconds from the request until the order may be sent.
    pub latency: Histogram<u64>,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

impl Default for TrialReport {
    fn default() -> Self {
        Self {
            trials: 0,
            orders: 0,
            submissions: 0,
            executed: 0,
            answered: 0,
            double_executions: 0,
            false_not_run: 0,
            differing_answers: 0,
            queries: 0,
            wrong_queries: 0,
            unsynchronised: 0,
            unanswered: 0,
            first_ran: 0,
            first_rejected: 0,
            first_unknown: 0,
            first_in_doubt: 0,
            refusals: BTreeMap::new(),
            fetches: 0,
            order_messages: 0,
            copy_messages: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid"),
            violations: Vec::new(),
        }
    }
}

impl TrialReport {
    /// Records the time from a request until its order may be sent.
    pub(super) fn record_latency(&mut self, time: TrialTime) {
        self.latency.saturating_record(time);
    }

    /// Records the answer to the first request of an order.
    pub(super) fn record_answer(&mut self, answer: &OrderAnswer) {
        if let OrderAnswer::Refused(kind) = answer {
            *self.refusals.entry(kind.descriptor().code).or_default() += 1;
        }
        match answer.run_state() {
            RunState::Ran => self.first_ran += 1,
            RunState::NotRun => self.first_rejected += 1,
            RunState::OutcomeUnknown => {
                self.first_unknown += 1;
                let in_doubt = *answer == OrderAnswer::Refused(ErrorKind::OrderInDoubt);
                self.first_in_doubt += usize::from(in_doubt);
            },
        }
    }

    /// Adds the results of other trials.
    pub fn add(&mut self, other: &Self) {
        self.trials += other.trials;
        self.orders += other.orders;
        self.submissions += other.submissions;
        self.executed += other.executed;
        self.answered += other.answered;
        self.double_executions += other.double_executions;
        self.false_not_run += other.false_not_run;
        self.differing_answers += other.differing_answers;
        self.queries += other.queries;
        self.wrong_queries += other.wrong_queries;
        self.unsynchronised += other.unsynchronised;
        self.unanswered += other.unanswered;
        self.first_ran += other.first_ran;
        self.first_rejected += other.first_rejected;
        self.first_unknown += other.first_unknown;
        self.first_in_doubt += other.first_in_doubt;
        self.fetches += other.fetches;
        self.order_messages += other.order_messages;
        self.copy_messages += other.copy_messages;
        for (kind, count) in &other.refusals {
            *self.refusals.entry(kind).or_default() += count;
        }
        self.latency.add(&other.latency).expect("the histograms have the same limits");
        self.violations.extend(other.violations.iter().cloned());
    }

    fn percent(&self, count: usize) -> f64 {
        100.0 * count as f64 / self.orders.max(1) as f64
    }
}

/// Returns one line per row with the share of first requests refused with each error code.
pub fn refusals(rows: &[(String, TrialReport)]) -> String {
    let mut text = String::new();
    for (name, report) in rows {
        let kinds = report
            .refusals
            .iter()
            .map(|(kind, &count)| format!("{kind} {:.2} %", report.percent(count)));
        let _ = writeln!(text, "refused by {name}: {}", kinds.collect::<Vec<_>>().join(", "));
    }
    text
}

/// Returns a Markdown table of the reports.
pub fn table(rows: &[(String, TrialReport)]) -> String {
    let mut text = String::from(
        "| variant | trials | orders | requests | double executions | run but told not_run | \
         other answer | wrong query | rejected % | unknown % | of these in doubt % | \
         answered in the end % | \
         added p50 ms | added p99 ms | fetches per order | messages per request | \
         copy messages per trial |\n\
         |---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n",
    );
    for (name, report) in rows {
        let millis = |quantile| report.latency.value_at_quantile(quantile) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.2} | {:.1} | {:.0} |",
            report.trials,
            report.orders,
            report.submissions,
            report.double_executions,
            report.false_not_run,
            report.differing_answers,
            report.wrong_queries,
            report.percent(report.first_rejected),
            report.percent(report.first_unknown),
            report.percent(report.first_in_doubt),
            report.percent(report.answered),
            millis(0.5),
            millis(0.99),
            report.fetches as f64 / report.orders.max(1) as f64,
            report.order_messages as f64 / report.submissions.max(1) as f64,
            report.copy_messages as f64 / report.trials.max(1) as f64,
        );
    }
    text
}
