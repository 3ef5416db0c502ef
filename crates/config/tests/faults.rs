//! All faults of settings and documents are reported, each with its line and path.

use briarbank_config::{
    ConfigDocument, Error, Fault, HostsDocument, NodeSettings, PlatformSettings, SIZE_LIMIT_BYTES,
    ServersDocument, check_node, check_servers, parse, parse_config,
};
use briarbank_core::ids::Revision;

const NODE: &str = r#"{
  "host": "recife-1",
  "zone": "recife",
  "caller_address": "127.0.0.1:7110",
  "peer_address": "127.0.0.1:7111",
  "operator_address": "127.0.0.1:7112",
  "platform_addresses": ["127.0.0.1:7100"],
  "shared_key": "0123456789abcdef"
}"#;

fn fault_lines(error: &Error) -> Vec<String> {
    error.faults().iter().map(Fault::to_string).collect()
}

fn node_fault_lines(text: &str) -> Vec<String> {
    fault_lines(&parse::<NodeSettings>(text).expect_err("settings with faults"))
}

#[test]
fn valid_settings_get_defaults() {
    let settings: NodeSettings = parse(NODE).expect("valid settings");
    assert_eq!(settings.drain_timeout_ms, 60_000);
    assert_eq!(settings.limits.calls, 8_000);
}

#[test]
fn all_faults_of_a_text_are_reported_at_once() {
    let text = r#"{
  "host": "",
  "zone": 7,
  "caller_address": "localhost:80",
  "peer_address": "127.0.0.1:7111",
  "operator_address": "127.0.0.1:7111",
  "platform_addresses": [],
  "colour": "blue",
  "limits": {
    "calls": 0,
    "body_bytes": -1
  }
}"#;
    let expected = [
        "line 1: field shared_key: found nothing; allowed: a value, since the field is required",
        "line 2: field host: found \"\"; allowed: 1 to 128 visible ASCII characters without quotes",
        "line 3: field zone: found 7; allowed: a text in quotes",
        "line 4: field caller_address: found \"localhost:80\"; allowed: an IP address and a port, such as \"127.0.0.1:7000\"",
        "line 6: field operator_address: found 127.0.0.1:7111; allowed: an address and port apart from those of peer_address",
        "line 7: field platform_addresses: found 0 addresses; allowed: 1 to 16 addresses",
        "line 8: field colour: found an unknown field; allowed: only host, zone, caller_address, peer_address, operator_address, platform_addresses, shared_key, drain_timeout_ms, limits",
        "line 10: field limits.calls: found 0; allowed: 1 to 1000000",
        "line 11: field limits.body_bytes: found -1; allowed: a whole number from 0 to 18446744073709551615",
    ];
    let found = node_fault_lines(text);
    assert_eq!(found, expected);
}

#[test]
fn faults_never_contain_the_shared_key() {
    for text in [
        NODE.replace("\"0123456789abcdef\"", "\"s3cr3t\""),
        NODE.replace("\"0123456789abcdef\"", "53531207"),
        NODE.replace("0123456789abcdef", "s3cr3t s3cr3t s3cr3t"),
    ] {
        let lines = node_fault_lines(&text);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(
            !lines[0].contains("s3cr3t") && !lines[0].contains("53531207"),
            "{lines:?}"
        );
    }
}

#[test]
fn debug_output_omits_the_shared_key() {
    let settings: NodeSettings = parse(NODE).expect("valid settings");
    let text = format!("{settings:?}");
    assert!(
        text.contains("recife-1") && !text.contains("0123456789abcdef"),
        "{text}"
    );
}

#[test]
fn duplicate_fields_are_faults() {
    let error = parse::<PlatformSettings>(
        "{\"address\": \"127.0.0.1:1\", \"rate_per_s\": 1,\n\"rate_per_s\": 2}",
    )
    .expect_err("a duplicate field");
    let expected =
        "line 2: field rate_per_s: found the field for a second time; allowed: each field once";
    assert_eq!(fault_lines(&error), [expected]);
}

#[test]
fn syntax_errors_have_a_line() {
    let error = parse::<PlatformSettings>("{\n  \"address\": }").expect_err("not JSON");
    assert!(matches!(error, Error::Syntax(2, ..)), "{error}");
    let error = parse::<PlatformSettings>("").expect_err("no text");
    assert_eq!(
        fault_lines(&error),
        ["line 1: field (whole text): found null; allowed: an object"]
    );
}

#[test]
fn texts_above_the_size_limit_are_rejected() {
    let text = " ".repeat(SIZE_LIMIT_BYTES + 1);
    let error = parse::<PlatformSettings>(&text).expect_err("too large");
    assert_eq!(error, Error::Size(SIZE_LIMIT_BYTES));
}

#[test]
fn deep_nesting_is_rejected() {
    let text = "[".repeat(100_000);
    let error = parse::<PlatformSettings>(&text).expect_err("too deep");
    assert!(matches!(error, Error::Syntax(..)), "{error}");
}

#[test]
fn encoding_errors_have_a_line() {
    let error = parse_config(Revision(1), b"{\n\n\"profiles\": \"\xff\"}").expect_err("not UTF-8");
    assert_eq!(error, Error::Encoding(3));
}

#[test]
fn number_of_faults_is_bounded() {
    let many = vec!["{}"; 10_000].join(",");
    let error = parse::<HostsDocument>(&format!("{{\"hosts\": [{many}]}}")).expect_err("faults");
    assert_eq!(error.faults().len(), 64);
}

const PROFILE_FIELDS: &str = r#""idempotent": true, "between_tokens_ms": 79, "queue_limit": 10"#;

#[test]
fn rules_of_the_configuration_are_checked() {
    let text = format!(
        r#"{{
  "profiles": [
    {{"name": "chat", "tier": 6, "share_ratio": 0.7, "first_token_ms": 2000, "whole_ms": 1000, {PROFILE_FIELDS}}},
    {{"name": "chat", "tier": 0, "share_ratio": 0.7, "first_token_ms": 1000, "whole_ms": 1000, {PROFILE_FIELDS}}}
  ],
  "workspaces": [{{"name": "a b", "weight": 0, "in_flight_limit": 0}}],
  "targets": [{{"name": "x/y", "kind": "service"}}, {{"name": "x/y", "kind": "engine"}}],
  "revision": 3
}}"#
    );
    let error = parse::<ConfigDocument>(&text).expect_err("faults");
    let expected = [
        "line 2: field profiles: found shares with the sum 1.4; allowed: shares with a sum of at most 1",
        "line 3: field profiles[0].tier: found 6; allowed: 0 to 5",
        "line 3: field profiles[0].first_token_ms: found 2000; allowed: 1 to 1000, the value of whole_ms",
        "line 4: field profiles[1].name: found \"chat\" for a second time; allowed: each value once",
        "line 6: field workspaces[0].name: found \"a b\"; allowed: 1 to 128 visible ASCII characters without quotes",
        "line 6: field workspaces[0].weight: found 0; allowed: 0.001 to 1000",
        "line 6: field workspaces[0].in_flight_limit: found 0; allowed: 1 to 10000000",
        "line 7: field targets[1].kind: found \"engine\"; allowed: one of model, service",
        "line 7: field targets[0].name: found \"x/y\"; allowed: a name without / for a service, since it stands in a path",
        "line 7: field targets[1].name: found \"x/y\" for a second time; allowed: each value once",
        "line 8: field revision: found 3; allowed: no such field, since the platform gives the revision",
    ];
    assert_eq!(fault_lines(&error), expected);
}

/// A profile without a share would starve while higher tiers have work.
#[test]
fn profiles_without_a_share_are_rejected() {
    let text = format!(
        r#"{{"profiles": [{{"name": "drafts", "tier": 5, "share_ratio": 0, "first_token_ms": 1, "whole_ms": 1000, {PROFILE_FIELDS}}}],
        "workspaces": [], "targets": []}}"#
    );
    let error = parse::<ConfigDocument>(&text).expect_err("a profile without a share");
    let expected = "line 1: field profiles[0].share_ratio: found 0; allowed: 0.001 to 1";
    assert_eq!(fault_lines(&error), [expected]);
}

#[test]
fn rules_across_files_are_checked() {
    let servers: ServersDocument = parse(
        r#"{"servers": [{"name": "e", "zone": "z", "address": "127.0.0.1:1", "slots": 1, "state": "live", "targets": ["m", "s", "none"]}]}"#,
    )
    .expect("valid servers");
    let config: ConfigDocument = parse(
        r#"{"profiles": [], "workspaces": [], "targets": [{"name": "m", "kind": "model"}, {"name": "s", "kind": "service"}]}"#,
    )
    .expect("valid configuration");
    let found: Vec<_> = check_servers(&servers, &config)
        .iter()
        .map(Fault::to_string)
        .collect();
    assert_eq!(
        found,
        [
            "field servers[0].targets[2]: found \"none\"; allowed: a target that the configuration declares",
            "field servers[0].targets: found models and plain services; allowed: models or plain services on one server",
        ]
    );
    let hosts: HostsDocument = parse(
        r#"{"hosts": [{"name": "recife-1", "zone": "salvador", "peer_address": "127.0.0.1:9", "state": "live"}]}"#,
    )
    .expect("valid hosts");
    let node: NodeSettings = parse(NODE).expect("valid settings");
    let found: Vec<_> = check_node(&node, &hosts)
        .iter()
        .map(|f| f.path.to_string())
        .collect();
    assert_eq!(found, ["zone", "peer_address"]);
    let found = check_node(&node, &HostsDocument::default());
    assert_eq!(found[0].path.to_string(), "host");
}
