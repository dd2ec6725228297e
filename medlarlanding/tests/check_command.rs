//! `medlarlanding check` on the platform's settings and configuration files.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use medlarlanding_core::cases;

/// Number of the next temporary file. The tests run in parallel and each needs its own file.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../platform/tests/fixtures").join(name)
}

/// Writes `text` to a temporary file and runs the command on it. Returns whether the command
/// succeeded and what it printed.
fn run_check(name: &str, text: &str) -> (bool, String) {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("check-{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    let output = Command::new(env!("CARGO_BIN_EXE_medlarlanding"))
        .arg("check")
        .arg(&path)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the temporary file");
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Guards against faulty files that are reported as valid, and against files that are checked as a
/// configuration tree because their kind was not recognised.
fn checks((name, replaced, expected): (&str, &str, Option<&str>)) {
    let text = std::fs::read_to_string(fixture(name)).expect("a fixture");
    let (is_valid, printed) = run_check(name, &text.replacen(replaced, "spoilt", 1));
    assert_eq!(is_valid, expected.is_none(), "{printed}");
    assert!(printed.contains(expected.unwrap_or(": ok")), "{printed}");
}

cases! { checks;
    valid_settings => ("settings.toml", "no such text", None),
    settings_without_a_name => ("settings.toml", "nodeName", Some("nodeName")),
    valid_configuration => ("config.json", "no such text", None),
    configuration_without_routes => ("config.json", "routes", Some("routes")),
    configuration_that_is_not_json => ("config.json", "{", Some("configuration")),
}
