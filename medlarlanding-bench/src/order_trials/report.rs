//! Results of trials and their table.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use medlarlanding_core::ErrorKind;
use medlarlanding_core::errors::RunState;
use medlarlanding_core::orders::OrderAnswer;

use super::plan::TrialTime;

/// Results of one or several trials of one design.
#[derive(Clone, Debug)]
pub struct TrialReport {
    /// Number of trials.
    pub trials: usize,
    /// Orders with different keys.
    pub orders: usize,
    /// Requests, with repetitions.
    pub submissions: usize,
    /// Orders that were executed.
    pub executed: usize,
    /// Orders whose callers got the service's answer in the end, after retries.
    pub answered: usize,
    /// Executions of an order after another one within the retention.
    pub double_executions: usize,
    /// Requests that were run although their callers were told otherwise.
    pub false_not_run: usize,
    /// Answers that differ from the first one.
    pub differing_answers: usize,
    /// Queries that were answered.
    pub queries: usize,
    /// Queries that were answered wrongly.
    pub wrong_queries: usize,
    /// Replicas of partitions that were not synchronised at the end.
    pub unsettled: usize,
    /// Requests without an answer, because their process ended or the trial did.
    pub unanswered: usize,
    /// First requests that were answered with the service's answer.
    pub first_ran: usize,
    /// First requests that were refused with `not_run`.
    pub first_rejected: usize,
    /// First requests that were answered with `outcome_unknown`.
    pub first_unknown: usize,
    /// Those of `first_unknown` that were refused as in doubt.
    pub first_in_doubt: usize,
    /// Kinds of the refusals of first requests.
    pub refusals: BTreeMap<&'static str, usize>,
    /// Keys or tickets that callers fetched first.
    pub fetches: usize,
    /// Messages about orders between instances.
    pub order_messages: u64,
    /// Messages with or for copies of partitions.
    pub copy_messages: u64,
    /// Time from the request to the permission to send the order, us.
    pub latency: Histogram<u64>,
    /// Violations as text.
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
            unsettled: 0,
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
    /// Notes the time until an order could be sent.
    pub(super) fn note_latency(&mut self, time: TrialTime) {
        self.latency.saturating_record(time);
    }

    /// Notes the answer to the first request with a key.
    pub(super) fn note_answer(&mut self, answer: &OrderAnswer) {
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
        self.unsettled += other.unsettled;
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

    fn share(&self, count: usize) -> f64 {
        100.0 * count as f64 / self.orders.max(1) as f64
    }
}

/// Writes one line per design with the kinds of its refusals of first requests.
pub fn refusals(rows: &[(String, TrialReport)]) -> String {
    let mut text = String::new();
    for (name, report) in rows {
        let kinds = report
            .refusals
            .iter()
            .map(|(kind, &count)| format!("{kind} {:.2} %", report.share(count)));
        let _ = writeln!(text, "refused by {name}: {}", kinds.collect::<Vec<_>>().join(", "));
    }
    text
}

/// Writes a Markdown table with one row per design.
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
            report.share(report.first_rejected),
            report.share(report.first_unknown),
            report.share(report.first_in_doubt),
            report.share(report.answered),
            millis(0.5),
            millis(0.99),
            report.fetches as f64 / report.orders.max(1) as f64,
            report.order_messages as f64 / report.submissions.max(1) as f64,
            report.copy_messages as f64 / report.trials.max(1) as f64,
        );
    }
    text
}
