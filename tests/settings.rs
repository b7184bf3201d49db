//! How the programs check settings files and the files in `examples/`.

use std::path::Path;
use std::process::{Command, Output};

/// Exit code for invalid input.
const BAD_INPUT: Option<i32> = Some(2);

fn check_settings(text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("router.yaml");
    std::fs::write(&file, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ferry-router"))
        .arg("--settings")
        .arg(&file)
        .arg("--check-settings")
        .output()
        .unwrap()
}

fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

#[test]
fn the_example_settings_are_valid() {
    assert_eq!(
        check_settings(&example("router.yaml")).status.code(),
        Some(0)
    );
}

#[test]
fn the_example_configuration_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let output = Command::new(env!("CARGO_BIN_EXE_ferryctl"))
        .arg("check")
        .arg(folder.join("clinic.yaml"))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn invalid_settings_get_a_diagnostic_that_points_at_the_line() {
    let valid = example("router.yaml");
    let cases = [
        ("host: entry-1", "hots: entry-1", "unknown field `hots`"),
        (
            "timeout_ms: 1000",
            "timeout_s: 1",
            "unknown field `timeout_s`",
        ),
        ("timeout_ms: 1000", "timeout_ms: 1s", "timeout_ms"),
        ("timeout_ms: 1000", "timeout_ms: 0", "timeout_ms is 0"),
        ("127.0.0.1:8081", "127.0.0.1:8080", "used for two ports"),
        (
            "  admin_token: replace-this-admin-token\n",
            "",
            "missing field `admin_token`",
        ),
        ("replace-this-peer-secret", "short", "missing or too short"),
        (
            "http://127.0.0.1:7100",
            "ftp://127.0.0.1",
            "not an http address",
        ),
    ];
    for (found, replacement, message) in cases {
        let output = check_settings(&valid.replace(found, replacement));
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), BAD_INPUT, "{replacement}: {errors}");
        assert!(errors.contains(message), "{replacement}: {errors}");
        assert!(errors.contains("router.yaml:"), "{replacement}: {errors}");
        assert!(errors.contains("help:"), "{replacement}: {errors}");
    }
}

#[test]
fn a_missing_settings_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_ferry-router"))
        .args(["--settings", "no-such-file.yaml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), BAD_INPUT);
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.yaml"));
}

#[test]
fn the_operators_page_names_every_settings_key() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/OPERATORS.md")).unwrap();
    let text = example("router.yaml");
    let keys = text.lines().filter_map(|line| {
        let key = line.split('#').next()?.split(':').next()?;
        let key = key.trim().trim_start_matches("- ");
        (!key.is_empty()).then_some(key)
    });
    for key in keys {
        let named = [format!("`{key}`"), format!(".{key}`"), format!("`{key}.")];
        assert!(named.iter().any(|name| page.contains(name)), "{key}");
    }
}
