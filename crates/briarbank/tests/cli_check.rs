//! Output and exit codes of the check of a configuration.

use std::process::{Command, Output};

const EXIT_USAGE: i32 = 2;
const EXIT_INVALID: i32 = 3;
/// Documents in the platform's form.
const FOLDER: &str = "platform/tests/check";

fn check(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_briarbank"))
        .arg("check")
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .output()
        .expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn path(file: &str) -> String {
    format!("{FOLDER}/{file}")
}

fn check_files(new: &str, old: &str, others: &[&str]) -> Output {
    let (new, old) = (path(new), path(old));
    let arguments = ["--platform-config", &new, "--against", &old];
    check(&[&arguments, others].concat())
}

/// Differences and warnings are printed, but don't fail the command.
#[test]
fn differences_are_printed_and_end_with_success() {
    let (settings, servers) = (path("local.toml"), path("servers.json"));
    let others = [
        "--gateway",
        &settings,
        "--platform-servers",
        &servers,
        "--hedge-ratio",
        "0.2",
    ];
    let output = check_files("new.json", "in_force.json", &others);
    let expected = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../platform/tests/check/new.txt"
    );
    let expected = std::fs::read_to_string(expected).expect("the expected output");
    assert_eq!(stdout(&output), expected);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn errors_end_with_the_code_of_invalid_documents() {
    let output = check_files("faulty.json", "in_force.json", &[]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(EXIT_INVALID), "{text}");
    assert_eq!(text.matches(": differs: ").count(), 16, "{text}");
    let errors: Vec<_> = text
        .lines()
        .filter(|line| line.contains(": line "))
        .collect();
    assert_eq!(errors.len(), 5, "{text}");
    assert!(errors[0].contains("faulty.json: line 2: field version: found 40"));
    assert!(errors[3].contains("line 32: field routes[2].prefix: found \"/chat/\""));
    assert!(!text.contains("faulty.json: valid"), "{text}");
    assert!(!text.contains("58c0"), "{text}");
}

#[test]
fn json_has_the_findings_and_the_differences() {
    let output = check_files("faulty.json", "in_force.json", &["--json"]);
    assert_eq!(output.status.code(), Some(EXIT_INVALID));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let file = &report["files"][0];
    assert_eq!(file["file"], "platform/tests/check/faulty.json");
    assert_eq!(file["is_valid"], false);
    let finding = serde_json::json!({"severity": "error", "line": 2, "field": "version",
        "message": "found 40; allowed: above 41, the version in force; nodes ignore the document otherwise"});
    assert_eq!(file["findings"][0], finding);
    let changes = report["comparison"]["changes"].as_array().expect("changes");
    assert_eq!(changes.len(), 16);
    let last = serde_json::json!({"subject": "key", "name": "lr-9…",
        "change": "removed from workspace lentes-recife", "cuts_off": true});
    assert_eq!(changes[15], last);
}

#[test]
fn a_version_does_not_differ_from_itself() {
    let output = check_files("new.json", "new.json", &[]);
    assert_eq!(
        stdout(&output),
        "platform/tests/check/new.json: valid\nplatform/tests/check/new.json: no differences\n"
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn the_own_form_is_compared_too() {
    let (new, old) = (
        "settings/nordeste/config.json",
        "settings/south-wales/config.json",
    );
    let output = check(&["--config", new, "--against", old]);
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("config.json: differs: route lists: removed (cuts callers off)"));
    assert!(text.contains("config.json: differs: route chat: share 0.3 -> 0.4"));
}

/// A file that can't be read or parsed is named, whichever side it is on.
#[test]
fn unusable_files_are_named() {
    let valid = path("new.json");
    for (new, old) in [
        ("none.json", &*valid),
        (&*valid, "none.json"),
        ("Cargo.toml", &*valid),
        (&*valid, "Cargo.toml"),
    ] {
        let output = check(&["--platform-config", new, "--against", old]);
        let bad = if new == valid { old } else { new };
        assert_eq!(output.status.code(), Some(EXIT_INVALID), "{new} {old}");
        assert!(
            stdout(&output).contains(&format!("{bad}: ")),
            "{}",
            stdout(&output)
        );
    }
}

#[test]
fn files_that_need_another_one_are_wrong_usage() {
    let config = "settings/nordeste/config.json";
    let valid = path("new.json");
    let arguments: [&[&str]; 5] = [
        &["--against", config],
        &[
            "--config",
            config,
            "--platform-config",
            &valid,
            "--against",
            config,
        ],
        &["--config", config, "--hedge-ratio", "0.1"],
        &["--config", config, "--platform-servers", &valid],
        &["--platform-config", &valid, "--hedge-ratio", "much"],
    ];
    for arguments in arguments {
        let output = check(arguments);
        assert_eq!(output.status.code(), Some(EXIT_USAGE), "{arguments:?}");
    }
}
