//! Compares the tables of events and errors with the pages that document them.

use medlarlanding_core::cases;
use medlarlanding_core::errors::ERROR_TABLE;
use medlarlanding_core::events::EVENT_TABLE;

const EVENTS_PAGE: &str = include_str!("../../docs/events.md");
const API_PAGE: &str = include_str!("../../docs/api.md");

/// Returns the rows of the table that begins with `header`, without its first two lines, as trimmed
/// cells.
fn table_rows(page: &str, header: &str) -> Vec<Vec<String>> {
    page.lines()
        .skip_while(|line| !line.starts_with(header))
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .map(|line| line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

fn event_rows() -> Vec<Vec<String>> {
    EVENT_TABLE
        .iter()
        .map(|row| {
            let level = format!("{:?}", row.level).to_lowercase();
            let fields =
                row.fields.iter().map(|field| format!("`{field}`")).collect::<Vec<_>>().join(", ");
            vec![format!("E{:03}", row.number), format!("`{}`", row.name), level, fields]
        })
        .collect()
}

fn error_rows() -> Vec<Vec<String>> {
    ERROR_TABLE
        .iter()
        .map(|row| {
            let retry =
                row.retry_after.map_or("-".to_owned(), |delay| format!("{} s", delay.as_secs()));
            vec![
                format!("`{}`", row.code),
                row.status.to_string(),
                format!("`{}`", row.run.as_str()),
                retry,
                row.message.to_owned(),
            ]
        })
        .collect()
}

/// Guards against a page whose rows differ from those in the code. The first cells of each row must
/// be equal; further cells of the page are free text.
fn page_matches_table((page, header, expected): (&str, &str, Vec<Vec<String>>)) {
    let rows = table_rows(page, header);
    let documented: Vec<_> =
        rows.iter().map(|row| &row[..expected[0].len().min(row.len())]).collect();
    assert_eq!(documented, expected.iter().map(Vec::as_slice).collect::<Vec<_>>());
}

cases! { page_matches_table;
    events_page_lists_every_event => (EVENTS_PAGE, "| Number", event_rows()),
    api_page_lists_every_error => (API_PAGE, "| Kind", error_rows()),
}

/// Guards against two events with the same number, which operators could not tell apart.
#[test]
fn event_numbers_rise() {
    assert!(EVENT_TABLE.windows(2).all(|pair| pair[0].number < pair[1].number));
}
