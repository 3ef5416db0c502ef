//! Tests of the load tool: arrivals, retries, checks of answers and counters.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_standin::{
    AnswerCheck, AnswerFault, Arrivals, Client, Comparison, LoadError, LoadPlan, LoadResult,
    answer_token, prompt_hash, run_load,
};
use common::{set_switches, start_engine, start_service};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

/// Returns a plan of 40 calls in 100 ms with one class.
fn plan(entry: SocketAddr, class: &Value) -> LoadPlan {
    let mut whole = json!({
        "name": "desk", "profile": "desk", "workspaces": ["recife", "natal"],
        "target": "catalogue", "kind": "model", "share": 1, "max_tokens": 60,
        "first_token_ms": 60_000, "between_tokens_ms": 60_000, "whole_ms": 60_000,
        "give_up_ms": 60_000,
    });
    let fields = whole.as_object_mut().expect("object");
    fields.extend(class.as_object().expect("object").clone());
    let plan = json!({
        "seed": 3, "duration_ms": 100, "rate_per_s": 1_000, "max_calls": 40,
        "entries": [entry], "classes": [whole],
    });
    LoadPlan::parse(&plan.to_string()).expect("plan")
}

async fn run(plan: LoadPlan) -> LoadResult {
    run_load(plan, |_| ()).await.expect("load")
}

fn any_entry() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn fixed_seed() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

#[tokio::test]
async fn streamed_answers_are_complete_and_counted() {
    let engine = start_engine(64, 0).await;
    let mut plan = plan(engine.address, &json!({"stream": true}));
    plan.engines = vec![engine.address];
    let result = run(plan).await;
    let class = &result.classes[0];
    assert_eq!(
        (class.offered, class.completed, class.attained),
        (40, 40, 40)
    );
    assert_eq!(
        (class.wrong, class.refused_unknown, class.retries),
        (0, 0, 0)
    );
    let audit = result.audit.expect("audit");
    assert_eq!(audit.generated_tokens, class.tokens);
    assert_eq!(audit.wasted_tokens, 0);
    engine.stop().await;
}

#[tokio::test]
async fn late_answers_count_as_wasted() {
    let engine = start_engine(64, 0).await;
    let mut plan = plan(engine.address, &json!({"whole_ms": 0}));
    plan.engines = vec![engine.address];
    let result = run(plan).await;
    let class = &result.classes[0];
    assert_eq!((class.completed, class.attained), (40, 0));
    assert_eq!(
        (class.wasted_calls, class.wasted_tokens),
        (40, class.tokens)
    );
    assert_eq!(result.audit.expect("audit").wasted_tokens, class.tokens);
    engine.stop().await;
}

#[tokio::test]
async fn answers_to_other_calls_count_as_wrong() {
    let engine = start_engine(64, 0).await;
    set_switches(
        &Client::default(),
        engine.address,
        &json!({"cross_answers": true}),
    )
    .await;
    let result = run(plan(engine.address, &json!({"stream": true}))).await;
    let class = &result.classes[0];
    assert_eq!((class.wrong, class.completed), (2, 38));
    engine.stop().await;
}

#[tokio::test]
async fn malformed_answers_count_as_wrong() {
    let engine = start_engine(64, 0).await;
    set_switches(
        &Client::default(),
        engine.address,
        &json!({"malformed_events": 1}),
    )
    .await;
    let result = run(plan(engine.address, &json!({}))).await;
    assert_eq!(result.classes[0].wrong, 1);
    engine.stop().await;
}

#[tokio::test]
async fn broken_answers_are_repeated_and_doubled_runs_are_seen() {
    let service = start_service().await;
    set_switches(
        &Client::default(),
        service.address,
        &json!({"cut_after_tokens": 1}),
    )
    .await;
    let mut plan = plan(service.address, &json!({"kind": "service"}));
    plan.services = vec![service.address];
    let result = run(plan).await;
    let class = &result.classes[0];
    assert_eq!((class.completed, class.retries), (40, 1));
    let audit = result.audit.expect("audit");
    assert_eq!((audit.service_runs, audit.duplicate_runs), (41, 1));
    assert_eq!((audit.false_not_run, audit.completed_without_run), (0, 0));
    service.stop().await;
}

#[tokio::test]
async fn calls_to_unreachable_entries_end_as_not_run() {
    let engine = start_engine(1, 0).await;
    let unreachable = engine.address;
    engine.stop().await;
    let result = run(plan(unreachable, &json!({"tries": 2}))).await;
    let class = &result.classes[0];
    assert_eq!((class.refused_not_run, class.retries), (40, 40));
}

#[tokio::test]
async fn arrivals_beyond_the_in_flight_limit_count_as_overrun() {
    let engine = start_engine(64, 0).await;
    let client = Client::default();
    set_switches(&client, engine.address, &json!({"frozen": true})).await;
    let mut plan = plan(engine.address, &json!({}));
    plan.in_flight_limit = 5;
    let (all_offered, thaw) = tokio::sync::oneshot::channel();
    let mut all_offered = Some(all_offered);
    let loading = run_load(plan, |progress| {
        if progress.offered == 40
            && let Some(all_offered) = all_offered.take()
        {
            all_offered.send(()).expect("the test waits");
        }
    });
    let thawing = async {
        thaw.await.expect("progress");
        set_switches(&client, engine.address, &json!({"frozen": false})).await;
    };
    let (result, ()) = tokio::join!(loading, thawing);
    let class = &result.expect("load").classes[0];
    assert_eq!((class.offered, class.overrun, class.completed), (40, 35, 5));
    engine.stop().await;
}

/// Returns the paths of the invalid fields.
fn faulty_paths(result: Result<(), LoadError>) -> Vec<String> {
    let Err(LoadError::Plan(error)) = result else {
        panic!("a plan with faults: {result:?}");
    };
    error.faults().iter().map(|f| f.path.to_string()).collect()
}

#[test]
fn invalid_plans_are_rejected() {
    let non_loopback = json!({"seed": 1, "duration_ms": 1, "rate_per_s": 1, "max_calls": 1,
        "entries": ["192.0.2.1:80"], "classes": []});
    let rejected = LoadPlan::parse(&non_loopback.to_string()).map(drop);
    assert_eq!(faulty_paths(rejected), ["classes", "entries[0]"]);
    let mut out_of_range = plan(any_entry(), &json!({}));
    out_of_range.duration_ms = u64::MAX;
    out_of_range.entries = vec![SocketAddr::from(([192, 0, 2, 1], 80))];
    out_of_range.classes[0].tries = 0;
    let fields = ["duration_ms", "entries[0]", "classes[0].tries"];
    assert_eq!(faulty_paths(out_of_range.check()), fields);
    let unknown_field = LoadPlan::parse("{\"sead\": 1}").map(drop);
    assert!(faulty_paths(unknown_field).contains(&String::from("sead")));
}

#[test]
fn bursts_change_the_rate_only_while_they_last() {
    let burst = json!({"bursts": [{"start_ms": 20_000, "length_ms": 20_000, "factor": 3}]});
    let mut plan = plan(any_entry(), &burst);
    plan.duration_ms = 60_000;
    plan.max_calls = 1_000_000;
    let mut thirds = [0.0; 3];
    for arrival in Arrivals::new(&plan) {
        thirds[(arrival.intended_start.as_millis() / 20_000) as usize] += 1.0;
    }
    // Allows six standard deviations of the Poisson count in each third.
    let expected = [20_000.0, 60_000.0, 20_000.0_f64];
    for (count, expected) in thirds.iter().zip(expected) {
        let deviation: f64 = count - expected;
        assert!(
            deviation.abs() < 6.0 * expected.sqrt(),
            "{count} for {expected}"
        );
    }
}

#[test]
fn comparison_names_differing_seeds() {
    let result = |seed| LoadResult {
        seed,
        ..LoadResult::default()
    };
    let (before, after) = (result(1), result(2));
    let text = Comparison {
        before: &before,
        after: &after,
    }
    .to_string();
    assert!(text.contains("seeds differ: 1 and 2"));
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn equal_seeds_give_equal_arrivals(seed in any::<u64>(), max_calls in 1_u64..500) {
        let mut plan = plan(any_entry(), &json!({}));
        plan.seed = seed;
        plan.max_calls = max_calls;
        let once: Vec<_> = Arrivals::new(&plan).collect();
        let again: Vec<_> = Arrivals::new(&plan).collect();
        prop_assert_eq!(&once, &again);
        prop_assert!(once.len() as u64 <= max_calls);
        prop_assert!(once.is_sorted_by_key(|a| a.intended_start));
        prop_assert!(once.iter().all(|a| a.intended_start < Duration::from_millis(plan.duration_ms)));
    }

    #[test]
    fn only_a_complete_answer_in_order_passes(
        length in 2_usize..40,
        at in any::<prop::sample::Index>(),
        change in 0..4,
    ) {
        let hash = prompt_hash("right");
        let token = |i: usize| answer_token(hash, i as u32, i + 1 == length);
        let mut tokens: Vec<String> = (0..length).map(token).collect();
        prop_assert_eq!(check_answer(hash, &tokens), Ok(length as u32));
        let at = at.index(length - 1);
        match change {
            0 => drop(tokens.remove(at)),
            1 => tokens.insert(at, tokens[at].clone()),
            2 => tokens.swap(at, at + 1),
            _ => tokens[at] = answer_token(prompt_hash("other"), at as u32, false),
        }
        prop_assert!(check_answer(hash, &tokens).is_err());
        tokens.truncate(at);
        prop_assert!(check_answer(hash, &tokens).is_err());
    }
}

fn check_answer(hash: u64, tokens: &[String]) -> Result<u32, AnswerFault> {
    let mut check = AnswerCheck::new(hash);
    for token in tokens {
        check.push(token)?;
    }
    check.finish()
}
