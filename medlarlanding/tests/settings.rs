//! Parsing and validation of settings files, and the positions reported for faults.

use medlarlanding::settings::InstanceSettings;
use medlarlanding_core::cases;

const VALID: &str = "\
instance: cairo-entry-1
zone: cairo-a
callers: 127.0.0.1:7000
admin: 127.0.0.1:7001
udp: 127.0.0.1:7002
tcp: 127.0.0.1:7002
cluster_secret: 0123456789abcdef
";

/// Guards against unusable settings that are accepted, and against messages that do not name the
/// position or key of the fault.
fn refused((change, expected): (fn(&str) -> String, &str)) {
    let fault = InstanceSettings::parse(&change(VALID)).expect_err("the settings are faulty");
    assert!(fault.contains(expected), "{fault:?} does not contain {expected:?}");
}

cases! { refused;
    unknown_key_is_refused_with_its_line =>
        (|text: &str| format!("{text}retries: 3\n"), "8:1: "),
    wrong_type_is_refused_with_its_line =>
        (|text: &str| text.replace("127.0.0.1:7001", "[1, 2]"), "4:"),
    missing_key_is_named => (|text: &str| text.replace("zone: cairo-a\n", ""), "zone"),
    short_secret_is_refused =>
        (|text: &str| text.replace("0123456789abcdef", "short"), "cluster_secret"),
    unknown_level_is_refused =>
        (|text: &str| format!("{text}log: {{ level: loud }}\n"), "log.level"),
    zero_limit_is_refused =>
        (|text: &str| format!("{text}limits: {{ open_requests: 0 }}\n"), "limits"),
    empty_file_is_refused => (|_: &str| String::new(), "1:1"),
}

/// Guards against a section that loses the defaults of its other keys when one key is given.
#[test]
fn sections_keep_their_defaults() {
    let text = format!("{VALID}limits: {{ body_bytes: 1000 }}\n");
    let settings = InstanceSettings::parse(&text).expect("valid");
    assert_eq!(settings.limits.body_bytes, 1000);
    assert_eq!(settings.limits.header_s, 5);
    assert_eq!(settings.orders.retention_ms, 3_600_000);
}
