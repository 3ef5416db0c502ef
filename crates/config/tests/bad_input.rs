//! Decoders of settings and documents return a value or a typed error for any input,
//! without panics and in bounded memory.

use std::fmt::Debug;

use briarbank_config::{
    ConfigDocument, EngineSettings, Error, HostsDocument, NodeSettings, PlatformSettings,
    ServersDocument, ServiceSettings, Validate, parse, parse_config, parse_hosts, parse_servers,
};
use briarbank_core::ids::Revision;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngSeed, TestCaseResult, TestRunner};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

const CASES: u32 = 10_000;
const SEED: u64 = 0x0005_B1A2;
const FAULTS_MAX: usize = 64;
/// Limit of an error message; each fault has two shortened texts and a list of fields.
const ERROR_MAX_BYTES: usize = FAULTS_MAX * 4_096;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

fn run_cases<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> TestCaseResult) {
    let result = runner().run(strategy, test);
    result.unwrap_or_else(|e| panic!("seed {SEED:#x}: {e}"));
}

fn assert_bounded(error: &Error) -> TestCaseResult {
    prop_assert!(error.faults().len() <= FAULTS_MAX);
    prop_assert!(error.to_string().len() <= ERROR_MAX_BYTES);
    prop_assert!(!error.to_string().is_empty());
    Ok(())
}

/// Checks that valid values survive a round trip and invalid ones give bounded errors.
fn check_round_trip<T: DeserializeOwned + Serialize + Validate + Debug>(
    text: &str,
) -> TestCaseResult {
    let value = match parse::<T>(text) {
        Ok(value) => value,
        Err(error) => return assert_bounded(&error),
    };
    let serialized = serde_json::to_string(&value).expect("a value as JSON");
    let parsed = parse::<T>(&serialized);
    prop_assert_eq!(format!("{:?}", parsed.ok()), format!("{:?}", Some(value)));
    Ok(())
}

fn node() -> Value {
    json!({
        "host": "recife-1", "zone": "recife",
        "caller_address": "127.0.0.1:7110", "peer_address": "127.0.0.1:7111",
        "operator_address": "127.0.0.1:7112", "platform_addresses": ["127.0.0.1:7100"],
        "shared_key": "0123456789abcdef", "drain_timeout_ms": 1000,
        "limits": {"body_bytes": 1, "calls": 2, "header_timeout_ms": 3}
    })
}

fn platform() -> Value {
    json!({"address": "127.0.0.1:7100", "rate_per_s": 2000})
}

fn engine() -> Value {
    json!({
        "server": "engine-1", "address": "127.0.0.1:7101", "slots": 16, "token_us": 1,
        "batch_token_us": 2, "prompt_us": 3, "cached_prefixes": 4, "load_lag_ms": 5, "seed": 6
    })
}

fn service() -> Value {
    json!({"server": "desk-1", "service": "booking", "address": "127.0.0.1:7102", "call_us": 5})
}

fn hosts() -> Value {
    json!({"hosts": [
        {"name": "recife-1", "zone": "recife", "peer_address": "127.0.0.1:1", "state": "live"},
        {"name": "recife-2", "zone": "recife", "peer_address": "127.0.0.1:2", "state": "leaving"}
    ]})
}

fn servers() -> Value {
    json!({"servers": [{
        "name": "engine-1", "zone": "recife", "address": "127.0.0.1:1", "targets": ["a", "b"],
        "slots": 16, "checks_fencing": true, "state": "live"
    }]})
}

fn config() -> Value {
    json!({
        "profiles": [
            {"name": "slips", "tier": 0, "idempotent": false, "first_token_ms": 5,
             "between_tokens_ms": 0, "whole_ms": 20, "share_ratio": 0.5, "queue_limit": 5},
            {"name": "drafts", "tier": 5, "idempotent": true, "first_token_ms": 5,
             "between_tokens_ms": 7, "whole_ms": 20, "share_ratio": 0.25, "queue_limit": 5}
        ],
        "workspaces": [{"name": "law", "weight": 1.5, "in_flight_limit": 20}],
        "targets": [{"name": "a", "kind": "model"}, {"name": "b", "kind": "service"}],
        "retired_hosts_revision": 3
    })
}

/// Generates a byte, usually one that is common in JSON with comments.
fn byte() -> impl Strategy<Value = u8> {
    prop_oneof![
        4 => select(&b"{}[]\",:/*\\\n 0123456789.eE+-truefalsn"[..]),
        1 => any::<u8>(),
    ]
}

/// Generates arbitrary bytes.
fn arbitrary_bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(byte(), 0..400)
}

/// Generates arbitrary JSON, with field names of settings and documents.
fn any_json() -> impl Strategy<Value = Value> {
    let name = || select(&["name", "tier", "hosts", "zone", "state", "limits", "none"][..]);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,200}".prop_map(Value::from),
        select(&["live", "127.0.0.1:1", "0.0.0.0:0", "[::1]:9", "model", ""][..])
            .prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::vec((name(), inner), 0..6).prop_map(|fields| {
                let fields = fields.into_iter().map(|(n, v)| (String::from(n), v));
                Value::Object(fields.collect())
            }),
        ]
    })
}

/// Generates changes of a valid value: values replaced or fields removed at any path.
fn changes() -> impl Strategy<Value = Vec<(Index, Option<Value>)>> {
    prop::collection::vec((any::<Index>(), prop::option::of(any_json())), 0..4)
}

/// Collects the JSON pointers of a value and of all values in it.
fn collect_pointers(value: &Value, pointer: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                collect_pointers(inner, format!("{pointer}/{name}"), pointers);
            }
        }
        Value::Array(elements) => {
            for (index, inner) in elements.iter().enumerate() {
                collect_pointers(inner, format!("{pointer}/{index}"), pointers);
            }
        }
        _ => {}
    }
    pointers.push(pointer);
}

fn apply_changes(mut value: Value, changes: Vec<(Index, Option<Value>)>) -> Value {
    for (index, new) in changes {
        let mut pointers = Vec::new();
        collect_pointers(&value, String::new(), &mut pointers);
        let pointer = index.get(&pointers).clone();
        if let Some(new) = new {
            if let Some(slot) = value.pointer_mut(&pointer) {
                *slot = new;
            }
            continue;
        }
        let Some((parent, field)) = pointer.rsplit_once('/') else {
            continue;
        };
        if let Some(Value::Object(fields)) = value.pointer_mut(parent) {
            fields.remove(field);
        }
    }
    value
}

/// Overwrites, inserts, truncates and repeats bytes of a text.
fn corrupt_bytes(text: &str, edits: Vec<(Index, u8, Index)>) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (offset, byte, action) in edits {
        if bytes.is_empty() {
            break;
        }
        let offset = offset.index(bytes.len());
        match action.index(4) {
            0 => bytes[offset] = byte,
            1 => bytes.insert(offset, byte),
            2 => bytes.truncate(offset),
            _ => bytes.extend_from_within(offset..),
        }
        bytes.truncate(16_384);
    }
    bytes
}

fn check_decoder<T: DeserializeOwned + Serialize + Validate + Debug>(valid: &Value) {
    assert!(parse::<T>(&valid.to_string()).is_ok(), "{valid}");
    run_cases(&arbitrary_bytes(), |bytes| {
        check_round_trip::<T>(&String::from_utf8_lossy(&bytes))
    });
    run_cases(&any_json(), |value| {
        check_round_trip::<T>(&value.to_string())
    });
    run_cases(&changes(), |list| {
        check_round_trip::<T>(&apply_changes(valid.clone(), list).to_string())
    });
    let edits = prop::collection::vec((any::<Index>(), byte(), any::<Index>()), 1..4);
    run_cases(&edits, |list| {
        let bytes = corrupt_bytes(&valid.to_string(), list);
        check_round_trip::<T>(&String::from_utf8_lossy(&bytes))
    });
}

#[test]
fn node_settings_handle_any_input() {
    check_decoder::<NodeSettings>(&node());
}

#[test]
fn platform_settings_handle_any_input() {
    check_decoder::<PlatformSettings>(&platform());
}

#[test]
fn engine_settings_handle_any_input() {
    check_decoder::<EngineSettings>(&engine());
}

#[test]
fn service_settings_handle_any_input() {
    check_decoder::<ServiceSettings>(&service());
}

#[test]
fn host_lists_handle_any_input() {
    check_decoder::<HostsDocument>(&hosts());
}

#[test]
fn server_lists_handle_any_input() {
    check_decoder::<ServersDocument>(&servers());
}

#[test]
fn configurations_handle_any_input() {
    check_decoder::<ConfigDocument>(&config());
}

#[test]
fn published_documents_handle_any_bytes() {
    run_cases(&prop::collection::vec(any::<u8>(), 0..400), |bytes| {
        let errors = [
            parse_hosts(Revision(1), &bytes).err(),
            parse_servers(Revision(1), &bytes).err(),
            parse_config(Revision(1), &bytes).err(),
        ];
        errors.iter().flatten().try_for_each(assert_bounded)
    });
}

/// Every invalid field of a text is reported, however many there are.
#[test]
fn every_invalid_field_is_reported() {
    let fields: Vec<String> = engine()
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect();
    let subsets = prop::sample::subsequence(fields.clone(), 1..=fields.len());
    run_cases(&subsets, |invalid| {
        let mut value = engine();
        for field in &invalid {
            value[field] = json!([]);
        }
        let error = parse::<EngineSettings>(&value.to_string()).expect_err("invalid fields");
        let mut reported: Vec<_> = error.faults().iter().map(|f| f.path.to_string()).collect();
        reported.sort();
        prop_assert_eq!(reported, invalid);
        Ok(())
    });
}

/// A long field name must not be copied in full into each of the many faults below it.
#[test]
fn long_names_keep_errors_bounded() {
    let name = "n".repeat(500_000);
    let duplicates = "\"a\":1,".repeat(50_000);
    let text = format!("{{\"{name}\":{{{duplicates}\"a\":1}}}}");
    let error = parse::<PlatformSettings>(&text).expect_err("faults");
    assert_bounded(&error).expect("a bounded error");
}
