//! Guards against faulty documents of the product's form that pass the offline check.

use briarbank_check::{
    Finding, ServerView, Severity, Surroundings, add_lines, check_config, compare, findings_of,
    view_of_product,
};
use briarbank_config::parse_config;
use briarbank_core::catalog::Catalog;
use briarbank_core::ids::Revision;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;

const DOCUMENT: &str = r#"{
  // Classes of calls.
  "profiles": [
    {"name": "slips", "tier": 0, "idempotent": false, "share_ratio": 0.4, "queue_limit": 500,
     "first_token_ms": 500, "between_tokens_ms": 0, "whole_ms": 2000},
    {"name": "chat", "tier": 1, "idempotent": true, "share_ratio": 0.5, "queue_limit": 400,
     "first_token_ms": 1400, "between_tokens_ms": 79, "whole_ms": 20000}
  ],
  "workspaces": [{"name": "lentes-recife", "weight": 2, "in_flight_limit": 200}],
  "targets": [{"name": "catalogue-8b", "kind": "model"}, {"name": "booking", "kind": "service"}]
}"#;

fn catalog(text: &str) -> Catalog {
    parse_config(Revision::default(), text.as_bytes()).expect("a valid document")
}

fn lines_of_check(text: &str, surroundings: &Surroundings) -> Vec<String> {
    let findings = match parse_config(Revision::default(), text.as_bytes()) {
        Ok(catalog) => {
            let mut findings = check_config(&view_of_product(&catalog), surroundings);
            add_lines(text, &mut findings);
            findings
        }
        Err(error) => findings_of(&error),
    };
    findings.iter().map(Finding::to_string).collect()
}

#[test]
fn the_valid_document_has_no_findings() {
    assert_eq!(lines_of_check(DOCUMENT, &Surroundings::default()), [""; 0]);
}

/// Each document has one fault: the text replaced, its replacement and the finding.
#[test]
fn each_fault_is_found_with_line_and_field() {
    let cases = [
        (
            "\"chat\"",
            "\"slips\"",
            "line 6: field profiles[1].name: found \"slips\" for a second time",
        ),
        (
            "\"booking\"",
            "\"catalogue-8b\"",
            "line 10: field targets[1].name: found \"catalogue-8b\" for a second time",
        ),
        (
            "0.5",
            "0.7",
            "line 3: field profiles: found shares with the sum 1.1",
        ),
        (
            "\"whole_ms\": 2000}",
            "\"whole_ms\": 400}",
            "line 5: field profiles[0].first_token_ms: found 500; allowed: 1 to 400",
        ),
        (
            "\"between_tokens_ms\": 79",
            "\"between_tokens_ms\": 20001",
            "line 7: field profiles[1].between_tokens_ms: found 20001",
        ),
        (
            "\"tier\": 1",
            "\"tier\": 9",
            "line 6: field profiles[1].tier: found 9",
        ),
        (
            "\"weight\": 2",
            "\"weight\": 0",
            "line 9: field workspaces[0].weight: found 0",
        ),
        (
            "\"tier\": 1,",
            "\"tier\": 1, \"colour\": 1,",
            "line 6: field profiles[1].colour: found an unknown field",
        ),
        ("\"tier\": 1,", "\"tier\": 1,,", "line 6: column"),
    ];
    for (old, new, expected) in cases {
        assert!(DOCUMENT.contains(old), "{old}");
        let lines = lines_of_check(&DOCUMENT.replacen(old, new, 1), &Surroundings::default());
        assert_eq!(lines.len(), 1, "{new}: {lines:?}");
        assert!(lines[0].starts_with(expected), "{new}: {lines:?}");
    }
}

/// The checks need not rely on the validation of the document.
#[test]
fn values_that_were_built_in_code_are_checked() {
    let mut built = catalog(DOCUMENT);
    built.profiles[0].share_ratio = 0.6;
    built.profiles[0].whole_ms = 100;
    built.profiles[1].between_tokens_ms = 20_001;
    let findings = check_config(&view_of_product(&built), &Surroundings::default());
    let paths: Vec<_> = findings
        .iter()
        .filter_map(|f| f.path.as_ref())
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        paths,
        [
            "profiles[0].first_token_ms",
            "profiles[1].between_tokens_ms",
            "profiles"
        ]
    );
    assert!(findings.iter().all(|f| f.severity == Severity::Error));
}

#[test]
fn targets_without_servers_are_warnings() {
    let server = ServerView {
        service: "booking".into(),
        zone: "recife".into(),
    };
    let known = Surroundings {
        servers: Some(vec![server]),
        ..Surroundings::default()
    };
    let expected = "warning: line 10: field targets[0].name: found \"catalogue-8b\", which no listed server runs; allowed: a service with servers";
    assert_eq!(lines_of_check(DOCUMENT, &known), [expected]);
}

/// Each document has one difference: the text replaced, its replacement and the change.
#[test]
fn differences_tell_whether_they_cut_callers_off() {
    let cases = [
        (
            "\"whole_ms\": 2000}",
            "\"whole_ms\": 1000}",
            "route slips: time limit 2000 ms -> 1000 ms (cuts callers off)",
        ),
        (
            "\"first_token_ms\": 500",
            "\"first_token_ms\": 400",
            "route slips: objective in ms 500 -> 400",
        ),
        ("\"tier\": 1", "\"tier\": 2", "route chat: tier 1 -> 2"),
        ("0.5", "0.4", "route chat: share 0.5 -> 0.4"),
        (
            "\"idempotent\": true",
            "\"idempotent\": false",
            "route chat: kind repeatable -> runs once",
        ),
        (
            ", {\"name\": \"booking\", \"kind\": \"service\"}",
            "",
            "service booking: removed (cuts callers off)",
        ),
        (
            "{\"name\": \"lentes-recife\", \"weight\": 2, \"in_flight_limit\": 200}",
            "",
            "workspace lentes-recife: removed (cuts callers off)",
        ),
        (
            "\"in_flight_limit\": 200",
            "\"in_flight_limit\": 100",
            "workspace lentes-recife: calls in flight 200 -> 100",
        ),
    ];
    let old = view_of_product(&catalog(DOCUMENT));
    for (text, replacement, expected) in cases {
        assert!(DOCUMENT.contains(text), "{text}");
        let new = catalog(&DOCUMENT.replacen(text, replacement, 1));
        let changes = compare(&old, &view_of_product(&new));
        let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
        assert_eq!(lines, [expected]);
    }
}

/// A name with a line break must not look like a finding or change of its own.
#[test]
fn names_do_not_break_lines() {
    let mut renamed = catalog(DOCUMENT);
    renamed.profiles[0].name = "a\nroute chat: removed".into();
    let old = view_of_product(&catalog(DOCUMENT));
    for change in compare(&old, &view_of_product(&renamed)) {
        assert!(!change.to_string().contains('\n'), "{change:?}");
    }
}

fn profile() -> impl Strategy<Value = String> {
    let name = select(vec!["a", "b", "c", "a b"]);
    let (share, whole) = (select(vec!["0.3", "0.5", "0"]), select(vec![400, 2_000]));
    (name, share, whole, select(vec![0_u8, 5, 6]), select(vec![1, 500])).prop_map(|(name, share, whole, tier, first)| {
        format!(
            r#"{{"name":"{name}","tier":{tier},"idempotent":true,"share_ratio":{share},"queue_limit":1,
            "first_token_ms":{first},"between_tokens_ms":0,"whole_ms":{whole}}}"#
        )
    })
}

fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::with_cases(count)
    }
}

proptest! {
    #![proptest_config(cases(5_000))]

    /// A node takes what passes without errors, and finds each profile and target.
    #[test]
    fn nodes_take_what_passes(profiles in prop::collection::vec(profile(), 0..3), targets in prop::collection::vec("[ab]", 0..3)) {
        let targets: Vec<_> = targets.iter().map(|name| format!(r#"{{"name":"{name}","kind":"model"}}"#)).collect();
        let text = format!(r#"{{"profiles":[{}],"workspaces":[],"targets":[{}]}}"#, profiles.join(","), targets.join(","));
        if lines_of_check(&text, &Surroundings::default()).is_empty() {
            let catalog = catalog(&text);
            for profile in &catalog.profiles {
                prop_assert_eq!(catalog.profile(&profile.name), Some(profile));
            }
            for target in &catalog.targets {
                prop_assert_eq!(catalog.target(&target.name), Some(target));
            }
        }
    }
}
