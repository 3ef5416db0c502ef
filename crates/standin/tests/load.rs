//! The load tool offers what its plan says and checks what it gets.

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

/// A plan of 40 calls in 100 ms with one class.
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
async fn late_answers_are_wasted() {
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
async fn crossed_answers_are_wrong() {
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
async fn malformed_answers_are_wrong() {
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
async fn unreachable_entries_mean_not_run() {
    let engine = start_engine(1, 0).await;
    let gone = engine.address;
    engine.stop().await;
    let result = run(plan(gone, &json!({"tries": 2}))).await;
    let class = &result.classes[0];
    assert_eq!((class.refused_not_run, class.retries), (40, 40));
}

#[tokio::test]
async fn arrivals_beyond_the_bound_in_flight_are_overrun() {
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

/// Paths of the fields at fault.
fn faults(result: Result<(), LoadError>) -> Vec<String> {
    let Err(LoadError::Plan(error)) = result else {
        panic!("a plan with faults: {result:?}");
    };
    error.faults().iter().map(|f| f.path.to_string()).collect()
}

#[test]
fn plans_outside_the_bounds_are_refused() {
    let far = json!({"seed": 1, "duration_ms": 1, "rate_per_s": 1, "max_calls": 1,
        "entries": ["192.0.2.1:80"], "classes": []});
    let refused = LoadPlan::parse(&far.to_string()).map(drop);
    assert_eq!(faults(refused), ["classes", "entries[0]"]);
    let mut endless = plan(any_entry(), &json!({}));
    endless.duration_ms = u64::MAX;
    endless.entries = vec![SocketAddr::from(([192, 0, 2, 1], 80))];
    endless.classes[0].tries = 0;
    let fields = ["duration_ms", "entries[0]", "classes[0].tries"];
    assert_eq!(faults(endless.check()), fields);
    let misspelt = LoadPlan::parse("{\"sead\": 1}").map(drop);
    assert!(faults(misspelt).contains(&String::from("sead")));
}

#[test]
fn bursts_change_only_their_own_time() {
    let burst = json!({"bursts": [{"start_ms": 20_000, "length_ms": 20_000, "factor": 3}]});
    let mut plan = plan(any_entry(), &burst);
    plan.duration_ms = 60_000;
    plan.max_calls = 1_000_000;
    let mut thirds = [0.0; 3];
    for arrival in Arrivals::new(&plan) {
        thirds[(arrival.intended_start.as_millis() / 20_000) as usize] += 1.0;
    }
    // Six standard deviations of a Poisson count of 20,000.
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
fn comparison_tells_the_change() {
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
    fn arrivals_follow_from_the_seed(seed in any::<u64>(), max_calls in 1_u64..500) {
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
    fn only_the_whole_answer_in_order_passes(
        length in 2_usize..40,
        at in any::<prop::sample::Index>(),
        change in 0..4,
    ) {
        let hash = prompt_hash("right");
        let word = |i: usize| answer_token(hash, i as u32, i + 1 == length);
        let mut words: Vec<String> = (0..length).map(word).collect();
        prop_assert_eq!(verdict(hash, &words), Ok(length as u32));
        let at = at.index(length - 1);
        match change {
            0 => drop(words.remove(at)),
            1 => words.insert(at, words[at].clone()),
            2 => words.swap(at, at + 1),
            _ => words[at] = answer_token(prompt_hash("other"), at as u32, false),
        }
        prop_assert!(verdict(hash, &words).is_err());
        words.truncate(at);
        prop_assert!(verdict(hash, &words).is_err());
    }
}

fn verdict(hash: u64, words: &[String]) -> Result<u32, AnswerFault> {
    let mut check = AnswerCheck::new(hash);
    for word in words {
        check.push(word)?;
    }
    check.finish()
}
