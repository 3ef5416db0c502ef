//! Tables of state dumps, for any JSON that a process returns.

use briarbank::render_tables;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 40, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::hash_map(any::<String>(), inner, 0..6)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// Collects the strings in a value, without the field names.
fn collect_strings(value: &Value, found: &mut Vec<String>) {
    match value {
        Value::String(text) => found.push(text.clone()),
        Value::Array(elements) => elements.iter().for_each(|e| collect_strings(e, found)),
        Value::Object(fields) => fields.values().for_each(|f| collect_strings(f, found)),
        _ => {}
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(0x0007_AB1E),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Control characters from a peer never reach the terminal.
    #[test]
    fn tables_hold_no_control_characters(value in any_json()) {
        let text = render_tables(&value);
        prop_assert!(text.chars().all(|c| c == '\n' || !c.is_control()));
    }

    /// Every string of a flat dump is shown.
    #[test]
    fn tables_show_every_text(rows in prop::collection::vec("[a-z]{1,12}", 1..6)) {
        let elements: Vec<_> = rows.iter().map(|r| json!({"name": r, "note": [r]})).collect();
        let value = json!({"one": &rows[0], "many": elements});
        let text = render_tables(&value);
        let mut found = Vec::new();
        collect_strings(&value, &mut found);
        prop_assert!(found.iter().all(|t| text.contains(t.as_str())));
    }
}

#[test]
fn a_dump_becomes_sections_and_tables() {
    let value = json!({
        "host": "recife-1",
        "ready": true,
        "refused": null,
        "values": [{"key": "hosts", "revision": 2}, {"key": "config", "error": "line 1"}],
        "owner": {"slots": 3, "views": []},
        "servers": [],
    });
    let expected = "\
host     recife-1
ready    true
refused  -
servers  -

[owner]
slots  3
views  -

[values]
error   key     revision
        hosts   2
line 1  config
";
    assert_eq!(render_tables(&value), expected);
}
