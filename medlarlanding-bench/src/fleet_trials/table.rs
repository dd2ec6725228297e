//! Results as a Markdown table, one column per measurement.

use std::fmt::Write;

use super::measure::FleetMeasurement;

type Row = (&'static str, &'static str, fn(&FleetMeasurement) -> String);

/// Formats a time; `None` means that the limit of 60 s was reached.
fn seconds(value: Option<f64>) -> String {
    value.map_or("> 60".to_owned(), |value| format!("{value:.2}"))
}

static ROWS: &[Row] = &[
    ("start of all instances until all are current, s", "", |m| seconds(m.cold_start_s)),
    ("start of all instances until all views agree, s", "", |m| seconds(m.cold_views_s)),
    ("change in effect everywhere, s", "4", |m| seconds(m.change_s)),
    ("change with 10% loss, s", "4", |m| seconds(m.change_loss_s)),
    ("change, platform down after one watcher read it, s", "4", |m| seconds(m.change_down_s)),
    ("change, first watcher paused, s", "4", |m| seconds(m.change_paused_s)),
    ("resumption until the paused watcher has it, s", "4", |m| seconds(m.resumed_s)),
    ("restart until current, s", "", |m| seconds(m.restart_s)),
    ("bytes/s sent, mean (max) node", "12,000", |m| {
        format!("{:.0} ({:.0})", m.sent_mean, m.sent_max)
    }),
    ("bytes/s received, mean (max) node", "12,000", |m| {
        format!("{:.0} ({:.0})", m.received_mean, m.received_max)
    }),
    ("bytes sent + received by one change, mean (max) node", "", |m| {
        format!("{:.0} ({:.0})", m.change_bytes_mean, m.change_bytes_max)
    }),
    ("bytes/s sent + received with 10% loss, mean (max) node", "12,000", |m| {
        format!("{:.0} ({:.0})", m.loss_mean, m.loss_max)
    }),
    ("age of the list's confirmation, mean (max) node, s", "", |m| {
        format!("{:.1} ({:.1})", m.list_age_mean_s, m.list_age_max_s)
    }),
    ("datagrams/s sent per node", "", |m| format!("{:.1}", m.datagrams)),
    ("CPU per node and second, µs (with simulation)", "24,000", |m| format!("{:.0}", m.cpu_us)),
    ("platform calls/s, busiest second, steady", "2,000", |m| m.calls_steady.to_string()),
    ("platform calls/s, busiest second, outage and return", "2,000", |m| {
        m.calls_outage.to_string()
    }),
    ("platform calls refused in the whole run", "", |m| m.calls_refused.to_string()),
    ("false evictions, one link blocked both ways", "0", |m| m.false_bad_link.to_string()),
    ("false evictions, one link blocked one way", "0", |m| m.false_one_way.to_string()),
    ("false evictions, 10% loss", "0", |m| m.false_loss.to_string()),
    ("crash until known by the first instance, s", "", |m| seconds(m.death_first_s)),
    ("crash until known everywhere, s", "", |m| seconds(m.death_all_s)),
    ("leaving mark known everywhere, s", "5", |m| seconds(m.mark_s)),
    ("leaving mark with 10% loss, s", "5", |m| seconds(m.mark_loss_s)),
    ("announced end of a process until known everywhere, s", "", |m| seconds(m.departure_s)),
    ("change during a partition, in effect on the side with the platform, s", "4", |m| {
        seconds(m.change_side_s)
    }),
    ("end of the partition until the change is in effect everywhere, s", "4", |m| {
        seconds(m.change_heal_s)
    }),
    ("end of the partition in halves until views agree, s", "", |m| seconds(m.heal_s)),
    ("violated invariants", "0", |m| m.violations.len().to_string()),
];

/// Formats measurements as a Markdown table.
pub fn markdown(measurements: &[FleetMeasurement]) -> String {
    let mut text = String::from("| measure | limit |");
    for measurement in measurements {
        // Writing to a string cannot fail.
        let _ = write!(text, " {} |", measurement.label);
    }
    text.push_str("\n|---|---|");
    text.push_str(&"---|".repeat(measurements.len()));
    for (name, limit, value) in ROWS {
        let _ = write!(text, "\n| {name} | {limit} |");
        for measurement in measurements {
            let _ = write!(text, " {} |", value(measurement));
        }
    }
    text
}
