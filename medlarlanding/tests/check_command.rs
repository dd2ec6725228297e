//! `medlarlanding check` on files of the platform.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use medlarlanding_core::cases;

/// Tests of one process run side by side and need files of their own.
static FILES: AtomicU32 = AtomicU32::new(0);

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../platform/tests/fixtures").join(name)
}

/// Runs the command on a file with the text given. Returns its success and what it printed.
fn check(name: &str, text: &str) -> (bool, String) {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
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

/// Guards against faulty files of the platform that are reported as sound, or taken for a tree.
fn checks((name, spoil, expected): (&str, &str, Option<&str>)) {
    let text = std::fs::read_to_string(fixture(name)).expect("a fixture");
    let (is_sound, printed) = check(name, &text.replacen(spoil, "spoilt", 1));
    assert_eq!(is_sound, expected.is_none(), "{printed}");
    assert!(printed.contains(expected.unwrap_or(": ok")), "{printed}");
}

cases! { checks;
    sound_settings => ("settings.toml", "no such text", None),
    settings_without_a_name => ("settings.toml", "nodeName", Some("nodeName")),
    sound_configuration => ("config.json", "no such text", None),
    configuration_without_routes => ("config.json", "routes", Some("routes")),
    configuration_that_is_no_json => ("config.json", "{", Some("configuration")),
}
