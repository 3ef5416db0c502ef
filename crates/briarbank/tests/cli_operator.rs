//! `dump` and `drain` against running processes.

mod fleet;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use fleet::{Fleet, KEY, Size};
use serde_json::{Value, json};

const EXIT_UNREACHABLE: i32 = 4;
const WRONG_KEY: &str = "not-the-key-of-the-tests";

fn briarbank(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarbank"));
    command.args(arguments).output().expect("the binary runs")
}

fn output_text(output: &Output) -> String {
    let [out, err] = [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes));
    format!("{out}{err}")
}

/// Writes settings with a key; the commands use none of the addresses.
fn write_settings(name: &str, key: &str) -> String {
    let settings = json!({
        "host": "node-0", "zone": "zone-a", "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "operator_address": "127.0.0.1:3",
        "platform_addresses": ["127.0.0.1:4"], "shared_key": key,
    });
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, settings.to_string()).expect("a scratch file");
    path.to_str().expect("a path in UTF-8").to_owned()
}

fn assert_key_required(command: &str, address: SocketAddr) {
    let wrong = write_settings("wrong-key.json", WRONG_KEY);
    let address = address.to_string();
    for arguments in [
        &[command, &address][..],
        &[command, &address, "--settings", &wrong],
    ] {
        let output = briarbank(arguments);
        let text = output_text(&output);
        assert_eq!(output.status.code(), Some(EXIT_UNREACHABLE), "{text}");
        assert!(
            text.contains("401") && text.contains("--settings"),
            "{text}"
        );
        assert!(!text.contains(WRONG_KEY), "{text}");
    }
}

#[tokio::test]
async fn dump_and_drain_require_the_shared_key() {
    let size = Size {
        services: 0,
        ..Size::default()
    };
    let mut fleet = Fleet::start(size).await;
    let key = write_settings("right-key.json", KEY);
    let address = fleet.nodes[0].address;
    assert_key_required("dump", address);
    assert_key_required("drain", address);
    let address = address.to_string();

    let tables = briarbank(&["dump", &address, "--settings", &key]);
    assert!(tables.status.success(), "{}", output_text(&tables));
    assert!(
        output_text(&tables).contains("[owner]"),
        "{}",
        output_text(&tables)
    );

    let raw = briarbank(&["dump", &address, "--settings", &key, "--json"]);
    let dump: Value = serde_json::from_slice(&raw.stdout).expect("JSON");
    assert_eq!(dump["host"], "node-0");

    let drained = briarbank(&["drain", &address, "--settings", &key]);
    assert!(drained.status.success(), "{}", output_text(&drained));
    assert!(fleet.nodes[0].wait_exit().await.success());
}

#[tokio::test]
async fn dump_of_a_standin_runs_no_call() {
    let fleet = Fleet::start(Size::default()).await;
    let address = fleet.services[0].address.to_string();
    let before = fleet.services[0].get("/control/state").await;
    let tables = briarbank(&["dump", &address, "--standin"]);
    assert!(tables.status.success(), "{}", output_text(&tables));
    assert!(
        output_text(&tables).contains("total"),
        "{}",
        output_text(&tables)
    );
    let after = fleet.services[0].get("/control/state").await;
    assert_eq!(before, after);
}
