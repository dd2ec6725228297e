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

/// Directory of a test's files, removed at its end.
struct TestDir(PathBuf);

impl TestDir {
    fn new() -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("check-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).expect("a temporary directory");
        Self(path)
    }

    /// Writes the fixture with some text replaced.
    fn write(&self, name: &str, replacements: &[(&str, &str)]) {
        let mut text = std::fs::read_to_string(fixture("config.json")).expect("a fixture");
        for (from, to) in replacements {
            assert!(text.contains(from), "{from}");
            text = text.replacen(from, to, 1);
        }
        std::fs::write(self.0.join(name), text).expect("a temporary file");
    }

    /// Runs the command in the directory. Returns the exit status and the standard output.
    fn check(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_medlarlanding"))
            .arg("check")
            .args(arguments)
            .current_dir(&self.0)
            .output()
            .expect("the command runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            eprintln!("cannot remove {}: {error}", self.0.display());
        }
    }
}

type Replacement = (&'static str, &'static str);

/// Guards against a wrong exit status, and against findings without line, path or severity.
fn reports((replacement, status, expected): (Replacement, i32, &str)) {
    let dir = TestDir::new();
    dir.write("new.json", &[replacement]);
    let (code, printed) = dir.check(&["new.json"]);
    assert_eq!((code, printed.trim_end()), (Some(status), expected));
}

cases! { reports;
    nothing => (("\"version\":7", "\"version\":8"), 0, "new.json: ok"),
    warning => (
        ("\"goalMs\":1500", "\"goalMs\":6500"),
        1,
        "new.json:2: warning: routes[0].goalMs: 6500 is above timeoutMs 6000",
    ),
    split_of_zeros => (
        ("\"weight\":90},{\"service\":\"wuno96b\",\"weight\":10}", "\"weight\":0},{\"service\":\"wuno96b\",\"weight\":0}"),
        2,
        "new.json:3: warning: routes[1].split: no weight is large enough to get requests\n\
         new.json:3: error: routes[1].service: the route has no service that gets requests",
    ),
    error => (
        ("\"slots\":24", "\"slots\":0"),
        2,
        "new.json:4: error: services[0].engine.slots: a limit of 0 lets nothing pass",
    ),
    invalid_value => (
        ("\"maxConnections\":110", "\"coldPerS\":-1"),
        2,
        "new.json:4: error: services[1].coldPerS: coldPerS: -1 is not a number from 0 to 1000000; \
         the last valid value stays in effect",
    ),
    wrong_type => (
        ("\"timeoutMs\":1200.5", "\"timeoutMs\":\"x\""),
        2,
        "new.json:3: error: routes[1].timeoutMs: column 92: invalid type: string \"x\", expected f64",
    ),
    /// A field that the text lacks is reported where its object ends.
    missing_field => (
        ("\"prefix\":\"/lohu930/\",", ""),
        2,
        "new.json:3: error: routes[1]: column 239: missing field `prefix`",
    ),
}

/// Guards against customer keys in messages about faulty customers.
fn hides_keys(replacement: Replacement) {
    let dir = TestDir::new();
    dir.write("new.json", &[replacement]);
    let (code, printed) = dir.check(&["new.json"]);
    assert_eq!(code, Some(2));
    assert!(printed.contains("new.json:6: error: tenants"), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
}

cases! { hides_keys;
    text_in_place_of_a_list => ("[\"k1\",\"k2\"]", "\"secret, expected secret\""),
    text_in_place_of_a_customer => ("[{\"name\":\"huka270\"", "[\"secret\",{\"name\":\"huka270\""),
    key_of_two_customers => (
        "[\"k1\",\"k2\"],\"priority\":1}",
        "[\"secret\"]},{\"name\":\"other\",\"apiKeys\":[\"secret\"]}",
    ),
}

/// Guards against customer keys in the output, and against changes that are not shown.
#[test]
fn prints_changes_without_keys() {
    let dir = TestDir::new();
    dir.write("current.json", &[]);
    let changes = [
        ("\"version\":7", "\"version\":8"),
        ("\"k1\",\"k2\"", "\"secret3\",\"k2\",\"secret4\""),
        ("\"timeoutMs\":6000", "\"timeoutMs\":7000"),
        ("\"weight\":90", "\"weight\":80.5"),
    ];
    dir.write("new.json", &changes);
    let (code, printed) = dir.check(&["--current", "current.json", "new.json"]);
    let expected = "new.json: route r1: timeoutMs: 6000 -> 7000\n\
        new.json: route r2: service: huvo11a 90, wuno96b 10 -> huvo11a 80.5, wuno96b 10\n\
        new.json: tenant huka270: apiKeys: 2 added, 1 removed\n\
        new.json: ok\n";
    assert_eq!((code, &*printed), (Some(0), expected));
}

/// Guards against an old version that is sent because only its content was checked.
#[test]
fn refuses_a_version_that_is_not_higher() {
    let dir = TestDir::new();
    dir.write("new.json", &[]);
    let (code, printed) = dir.check(&["--current", "new.json", "new.json"]);
    let expected =
        "new.json:1: error: version: 7 is not above 7, the version in effect\n".to_owned();
    assert_eq!((code, printed), (Some(2), expected));
}

/// Guards against JSON output that programs cannot read or that differs from the text.
#[test]
fn prints_json() {
    let dir = TestDir::new();
    dir.write("current.json", &[]);
    dir.write("new.json", &[("\"slots\":24", "\"slots\":0")]);
    let (code, printed) = dir.check(&["--json", "--current", "current.json", "new.json"]);
    let report: serde_json::Value = serde_json::from_str(&printed).expect("JSON");
    assert_eq!(code, Some(2));
    assert_eq!(report[0]["findings"][1]["path"], "services[0].engine.slots");
    assert_eq!(report[0]["findings"][1]["line"], 4);
    assert_eq!(report[0]["findings"][1]["severity"], "error");
    assert_eq!(report[0]["changes"][0]["name"], "huvo11a");
    assert_eq!(report[0]["changes"][0]["change"], "slots: 24 -> 0");
}

/// Guards against a check that was not made but looks like one that found nothing or an error.
fn cannot_check(arguments: &[&str]) {
    let dir = TestDir::new();
    dir.write("new.json", &[]);
    dir.write("broken.json", &[("{", "")]);
    assert_eq!(dir.check(arguments).0, Some(3));
}

cases! { cannot_check;
    no_file => &[],
    file_that_does_not_exist => &["none.json"],
    current_that_does_not_exist => &["--current", "none.json", "new.json"],
    current_that_is_broken => &["--current", "broken.json", "new.json"],
    current_with_two_files => &["--current", "new.json", "new.json", "new.json"],
    current_with_a_tree => &["--current", "new.json", "tree.yaml"],
}

/// Guards against a changed exit status of the check of trees and settings.
#[test]
fn faulty_tree_has_status_1() {
    let dir = TestDir::new();
    std::fs::write(dir.0.join("tree.yaml"), "servers: 3\n").expect("a temporary file");
    assert_eq!(dir.check(&["tree.yaml"]).0, Some(1));
}
