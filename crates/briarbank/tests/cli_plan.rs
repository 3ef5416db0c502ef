//! Decoding of load plans from arbitrary input.

use briarbank_config::{Error, parse};
use briarbank_standin::LoadPlan;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngSeed, TestCaseError};

const EXAMPLE: &str = include_str!("../../../settings/nordeste/load.json");
const FAULTS_MAX: usize = 64;
const ERROR_MAX_BYTES: usize = FAULTS_MAX * 4_096;

fn check(text: &str) -> Result<(), TestCaseError> {
    let plan: Result<LoadPlan, Error> = parse(text);
    match plan {
        Ok(plan) => prop_assert!(plan.check().is_ok()),
        Err(error) => {
            prop_assert!(error.faults().len() <= FAULTS_MAX);
            prop_assert!((1..=ERROR_MAX_BYTES).contains(&error.to_string().len()));
        }
    }
    Ok(())
}

/// Truncates, replaces, inserts or repeats text at any position.
fn mutate(text: &mut Vec<char>, at: Index, action: Index, new: char) {
    if text.is_empty() {
        return;
    }
    let at = at.index(text.len());
    match action.index(4) {
        0 => text[at] = new,
        1 => text.insert(at, new),
        2 => text.truncate(at),
        _ => text.extend_from_within(at..),
    }
    text.truncate(16_384);
}

fn character() -> impl Strategy<Value = char> {
    let common: Vec<char> = "{}[]\",:/-. 0123456789eE\n".chars().collect();
    prop_oneof![3 => select(common), 1 => any::<char>()]
}

proptest! {
    #![proptest_config(Config {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(0x0010_AD01),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn mutated_plans_are_refused_or_valid(
        edits in prop::collection::vec((any::<Index>(), any::<Index>(), character()), 1..4)
    ) {
        let mut text: Vec<char> = EXAMPLE.chars().collect();
        for (at, action, new) in edits {
            mutate(&mut text, at, action, new);
        }
        check(&text.into_iter().collect::<String>())?;
    }

    #[test]
    fn arbitrary_text_is_refused_or_valid(text in prop::collection::vec(character(), 0..400)) {
        check(&text.into_iter().collect::<String>())?;
    }
}

#[test]
fn the_example_is_valid() {
    let plan: LoadPlan = parse(EXAMPLE).expect("a valid plan");
    assert_eq!(plan.classes.len(), 3);
}
