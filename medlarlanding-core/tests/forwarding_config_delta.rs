//! Tests of differences between versions of a configuration.

mod random_runs;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{ConfigDelta, ConfigHistory};

/// Random cases for each seed in CI; `MEDLARLANDING_TEST_FACTOR` multiplies them.
const CASES: u64 = 2_000;

/// Returns a configuration with the version at its beginning, as operators write it.
fn config(version: u64, customers: &[&str]) -> String {
    let customers: Vec<String> = (0..400)
        .map(|number| {
            let name = customers.get(number).copied().unwrap_or("museum");
            format!(
                "{{\"name\":\"{name}-{number}\",\"apiKeys\":[\"key-{number}\"],\"priority\":1}}"
            )
        })
        .collect();
    format!("{{\"version\":{version},\"tenants\":[{}]}}", customers.join(","))
}

struct ChangeCase {
    base: String,
    text: String,
    /// Most bytes that replace others.
    changed: usize,
}

/// Guards against differences that do not lead to the new text, and against ones that contain all between
/// the version at the beginning and a change further on.
fn difference_is_short_and_exact(case: ChangeCase) {
    let delta = ConfigDelta::between(&case.base, &case.text);
    assert_eq!(delta.apply(&case.base).as_deref(), Some(case.text.as_str()));
    let changed = delta.changed_length();
    assert!(changed <= case.changed, "{changed} of {} bytes", case.text.len());
}

cases! { difference_is_short_and_exact;
    equal_texts => ChangeCase { base: config(3, &[]), text: config(3, &[]), changed: 0 },
    version_only => ChangeCase { base: config(3, &[]), text: config(4, &[]), changed: 1 },
    longer_version => ChangeCase { base: config(999, &[]), text: config(1_000, &[]), changed: 4 },
    version_and_two_customers => ChangeCase {
        base: config(3, &["a", "b", "c", "d", "e"]),
        text: config(4, &["a", "b", "longer name", "d", "\u{e9}\u{4e2d}"]),
        changed: 40,
    },
    removed_customer => ChangeCase {
        base: config(3, &[]),
        text: config(4, &[]).replace("{\"name\":\"museum-7\",\"apiKeys\":[\"key-7\"],\"priority\":1},", ""),
        changed: 130,
    },
    many_changes => ChangeCase {
        base: config(3, &[]),
        text: config(4, &["x"; 40]),
        changed: 2_600,
    },
    other_text => ChangeCase { base: config(3, &[]), text: "{}".to_owned(), changed: 2 },
    from_an_empty_text => ChangeCase { base: String::new(), text: "{}".to_owned(), changed: 2 },
    characters_with_common_bytes => ChangeCase {
        base: format!("\u{e9}{}", "a".repeat(100)),
        text: format!("\u{e8}{}", "a".repeat(100)),
        changed: 2,
    },
}

/// Guards against a difference that is applied to another text: the store may change the text of a version.
#[test]
fn difference_does_not_fit_another_text() {
    let delta = ConfigDelta::between(&config(3, &[]), &config(4, &["a"]));
    assert_eq!(delta.apply(&config(3, &["b"])), None);
    assert_eq!(delta.apply(""), None);
    assert_eq!(delta.apply(&config(3, &[]).repeat(2)), None);
}

/// Position, length and replacement of a part of a text.
type RandomEdit = (usize, usize, String);

/// Guards against texts that a sequence of edits turns into others.
#[test]
fn random_edits_are_exact() {
    fn property(words: Vec<String>, edits: Vec<RandomEdit>) -> bool {
        let base: String = words.concat().repeat(20);
        let mut text: Vec<char> = base.chars().collect();
        for (position, length, replacement) in edits {
            let start = position % (text.len() + 1);
            let end = (start + length % 40).min(text.len());
            text.splice(start..end, replacement.chars());
        }
        let text: String = text.into_iter().collect();
        ConfigDelta::between(&base, &text).apply(&base) == Some(text)
    }
    let property: fn(Vec<String>, Vec<RandomEdit>) -> bool = property;
    random_runs::check("edits", &[91, 92], CASES, 12, property);
}

/// Guards against a history that grows without bound, and against differences that are as long as the
/// text.
#[test]
fn history_is_bounded() {
    let mut history = ConfigHistory::default();
    for version in 1..=6 {
        history.push(version, config(version, &[]).into_bytes());
    }
    let text = config(7, &[]).into_bytes();
    assert!(history.delta_from(2, &text).is_none(), "an old version");
    assert!((3..=6).all(|version| history.delta_from(version, &text).is_some()));
    assert!(history.delta_from(6, &[b'y'; 1_000]).is_none(), "another text");
    let large = "x".repeat(1 << 20).into_bytes();
    (7..=9).for_each(|version| history.push(version, large.clone()));
    assert!(history.delta_from(7, &large).is_none() && history.delta_from(8, &large).is_some());
}
