//! Arguments, exit codes and error messages of the binary.

use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;

const EXIT_USAGE: i32 = 2;
const EXIT_INVALID: i32 = 3;
const EXIT_UNREACHABLE: i32 = 4;

fn briarbank(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_briarbank"))
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .output()
        .expect("the binary runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Checks that invalid input is named in the output and causes no panic.
fn assert_refused(arguments: &[&str], code: i32, named: &str) {
    let output = briarbank(arguments);
    let text = stdout(&output) + &stderr(&output);
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
    assert!(text.contains(named), "{arguments:?}: {text}");
    assert!(
        !text.contains("panicked") && !text.contains("backtrace"),
        "{text}"
    );
}

fn write_scratch_file(name: &str, content: &[u8]) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli");
    fs::create_dir_all(&folder).expect("a scratch folder");
    let path = folder.join(name);
    fs::write(&path, content).expect("a scratch file");
    path
}

#[test]
fn help_and_version_are_printed() {
    let output = briarbank(&["--help"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("EXAMPLES:"));
    assert!(stdout(&output).contains("EXIT CODES:"));
    let output = briarbank(&["--version"]);
    assert!(output.status.success());
    assert_eq!(
        stdout(&output),
        concat!("briarbank ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

#[test]
fn wrong_arguments_are_refused() {
    assert_refused(&[], EXIT_USAGE, "subcommand");
    assert_refused(&["route"], EXIT_USAGE, "route");
    assert_refused(&["node"], EXIT_USAGE, "settings");
    assert_refused(&["node", "a", "b"], EXIT_USAGE, "b");
    assert_refused(&["dump", "localhost"], EXIT_USAGE, "address");
    assert_refused(&["check"], EXIT_USAGE, "check");
    for ratio in ["0.51", "NaN", "often"] {
        let arguments = ["gateway", "--hedge-ratio", ratio];
        assert_refused(&arguments, EXIT_USAGE, "ratio");
    }
    assert_refused(&["standin"], EXIT_USAGE, "subcommand");
    assert_refused(&["--log", "briarbank=loud", "demo"], EXIT_USAGE, "--log");
}

#[test]
fn examples_pass_the_check() {
    for (fleet, zone) in [("nordeste", "recife"), ("south-wales", "cardiff")] {
        let path = |file: &str| format!("settings/{fleet}/{file}");
        let output = briarbank(&[
            "check",
            "--node",
            &path(&format!("node-{zone}-1.json")),
            "--platform",
            &path("platform.json"),
            "--engine",
            &path("engine.json"),
            "--service",
            &path("service.json"),
            "--load",
            &path("load.json"),
            "--hosts",
            &path("hosts.json"),
            "--servers",
            &path("servers.json"),
            "--config",
            &path("config.json"),
        ]);
        assert!(
            output.status.success(),
            "{}{}",
            stdout(&output),
            stderr(&output)
        );
        assert_eq!(stdout(&output).matches(": valid").count(), 8);
    }
}

#[test]
fn files_of_different_fleets_are_refused() {
    assert_refused(
        &[
            "check",
            "--node",
            "settings/nordeste/node-recife-1.json",
            "--hosts",
            "settings/south-wales/hosts.json",
        ],
        EXIT_INVALID,
        "field host: found \"recife-1\"",
    );
    assert_refused(
        &[
            "check",
            "--servers",
            "settings/nordeste/servers.json",
            "--config",
            "settings/south-wales/config.json",
        ],
        EXIT_INVALID,
        "servers[0].targets[0]",
    );
}

#[test]
fn bad_settings_are_refused_by_every_program() {
    let large = vec![b' '; (1 << 20) + 1];
    let files: [(&str, &[u8], &str); 6] = [
        ("empty.json", b"", "whole text"),
        ("cut.json", b"{\n\"host\": \"a", "line 2"),
        ("bytes.json", b"{\"host\": \"\xff\xfe\"}", "UTF-8"),
        ("fields.json", b"{\"colour\": 1}", "colour"),
        ("deep.json", &[b'['; 4096], "line 1"),
        ("large.json", &large, "1048576"),
    ];
    let programs: [&[&str]; 7] = [
        &["node"],
        &["standin", "platform"],
        &["standin", "engine"],
        &["standin", "service"],
        &["load"],
        &["check", "--node"],
        &["check", "--config"],
    ];
    for (name, content, named) in files {
        let path = write_scratch_file(name, content);
        let path = path.to_str().expect("a path in UTF-8");
        for program in programs {
            let arguments = [program, &[path]].concat();
            assert_refused(&arguments, EXIT_INVALID, named);
            assert_refused(&arguments, EXIT_INVALID, name);
        }
    }
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    assert_refused(&["node", "none.json"], EXIT_INVALID, "none.json");
    assert_refused(&["node", "settings"], EXIT_INVALID, "settings");
    assert_refused(
        &["check", "--hosts", "none.json"],
        EXIT_INVALID,
        "none.json",
    );
}

#[test]
fn results_that_cannot_be_compared_are_named() {
    let empty = write_scratch_file("result.json", b"{}");
    let empty = empty.to_str().expect("a path in UTF-8");
    assert_refused(&["load", "compare", empty], EXIT_USAGE, "after");
    assert_refused(
        &["load", "compare", empty, empty],
        EXIT_INVALID,
        "result.json",
    );
    assert_refused(
        &["load", "compare", "none.json", empty],
        EXIT_INVALID,
        "none.json",
    );
}

#[test]
fn load_to_other_than_loopback_is_refused() {
    let plan = fs::read_to_string("../../settings/nordeste/load.json").expect("the example");
    let remote_plan = plan.replace("127.0.0.1:7120", "192.0.2.1:7120");
    let path = write_scratch_file("far.json", remote_plan.as_bytes());
    let path = path.to_str().expect("a path in UTF-8");
    assert_refused(&["load", path], EXIT_INVALID, "entries[1]");
    assert_refused(&["check", "--load", path], EXIT_INVALID, "loopback");
}

#[test]
fn a_process_that_cannot_be_reached_is_named() {
    // A port that accepts and closes at once.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let closing_thread = thread::spawn(move || listener.incoming().take(2).for_each(drop));
    assert_refused(&["dump", &address], EXIT_UNREACHABLE, &address);
    assert_refused(&["drain", &address], EXIT_UNREACHABLE, &address);
    closing_thread.join().expect("the port closes");
}
