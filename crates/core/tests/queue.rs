//! Properties of the admission queue.

use std::time::{Duration, Instant};

use briarbank_core::ids::CallId;
use briarbank_core::queue::{AdmissionQueue, ClassOptions, QueuedCall};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const COST_MAX: u64 = 50;
const SERVED_COUNT: usize = 300;
const SEED: [u8; 32] = *b"briarbank queue properties 00001";

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
}

fn class(name: &str, tier: u8, share_ratio: f64) -> ClassOptions {
    ClassOptions {
        name: name.into(),
        tier,
        share_ratio,
        limit: 10_000,
    }
}

fn queued_call(id: u64, workspace: &str, weight: f64, cost: u64) -> QueuedCall {
    QueuedCall {
        id: CallId(id),
        workspace: workspace.into(),
        weight,
        deadline: Instant::now() + Duration::from_millis(id % 7),
        cost,
    }
}

/// Largest lag of a class behind its share in any window.
fn largest_lag(history: &[(usize, u64)], class: usize, share_ratio: f64) -> f64 {
    let mut lag: f64 = 0.0;
    let mut largest: f64 = 0.0;
    for (served, cost) in history {
        lag += share_ratio * *cost as f64;
        if *served == class {
            lag -= *cost as f64;
        }
        lag = lag.max(0.0);
        largest = largest.max(lag);
    }
    largest
}

#[test]
fn every_class_with_queued_calls_gets_its_share() {
    let classes = prop::collection::vec((0..6_u8, 0.0..1.0_f64), 2..7);
    let costs = prop::collection::vec(1..=COST_MAX, SERVED_COUNT);
    let result = runner(300).run(&(classes, costs), |(classes, costs)| {
        let total: f64 = classes.iter().map(|(_, share)| share).sum();
        let scale = total.max(1.0);
        let options: Vec<_> = classes
            .iter()
            .enumerate()
            .map(|(i, (tier, share))| class(&format!("c{i}"), *tier, share / scale))
            .collect();
        let mut queue = AdmissionQueue::default();
        let mut id = 0;
        let mut push = |queue: &mut AdmissionQueue, index: usize, cost| {
            id += 1;
            queue.push(
                &options[index],
                queued_call(id, &index.to_string(), 1.0, cost),
            );
        };
        for index in 0..options.len() {
            push(&mut queue, index, COST_MAX);
            push(&mut queue, index, 1);
        }
        let mut history = Vec::new();
        for cost in costs {
            let served = queue.pop().expect("all classes have queued calls");
            let index = served.workspace.as_str().parse().expect("a number");
            push(&mut queue, index, cost);
            history.push((index, served.cost));
        }
        let bound = ((options.len() + 1) as u64 * COST_MAX) as f64;
        for (index, options) in options.iter().enumerate() {
            let lag = largest_lag(&history, index, options.share_ratio);
            prop_assert!(lag <= bound, "class {index}: {lag} > {bound}");
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn workspaces_are_served_by_weight() {
    let strategy = (
        1.0..8.0_f64,
        prop::collection::vec(1..=COST_MAX, SERVED_COUNT),
    );
    let result = runner(200).run(&strategy, |(weight, costs)| {
        let options = class("c", 0, 0.0);
        let mut queue = AdmissionQueue::default();
        for (id, cost) in costs.iter().enumerate() {
            let id = id as u64;
            queue.push(&options, queued_call(2 * id, "light", 1.0, *cost));
            queue.push(&options, queued_call(2 * id + 1, "heavy", weight, *cost));
        }
        let (mut light, mut heavy) = (0.0, 0.0);
        for _ in 0..SERVED_COUNT {
            let served = queue.pop().expect("queue is not empty");
            let work = served.cost as f64 / served.weight;
            if served.workspace == "light".into() {
                light += work;
            } else {
                heavy += work;
            }
            let gap: f64 = light - heavy;
            prop_assert!(gap.abs() <= 2.0 * COST_MAX as f64, "{gap}");
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn workspace_with_one_call_at_a_time_gains_no_advantage() {
    let options = class("c", 0, 0.0);
    let mut queue = AdmissionQueue::default();
    for id in 0..200 {
        queue.push(&options, queued_call(id, "steady", 1.0, 1));
    }
    let (mut single, mut is_queued) = (0, false);
    for id in 1_000..1_100 {
        if !is_queued {
            queue.push(&options, queued_call(id, "single", 0.25, 1));
        }
        let served = queue.pop().expect("queue is not empty");
        is_queued = served.workspace != "single".into();
        single += u32::from(!is_queued);
    }
    assert!(single <= 25, "{single}");
}

#[test]
fn full_class_sheds_from_the_largest_backlog() {
    let mut options = class("c", 0, 0.0);
    options.limit = 3;
    let mut queue = AdmissionQueue::default();
    for id in 0..3 {
        queue.push(&options, queued_call(id, "many", 1.0, 1));
        assert_eq!(queue.trim(&options.name), None);
    }
    queue.push(&options, queued_call(3, "one", 1.0, 1));
    let shed_call = queue.trim(&options.name).expect("over the limit");
    assert_eq!(shed_call.workspace, "many".into());
    assert_eq!(queue.len(), 3);
}

#[test]
fn lowest_tier_is_shed_first() {
    let mut queue = AdmissionQueue::default();
    queue.push(&class("slips", 0, 0.1), queued_call(1, "w", 1.0, 1));
    queue.push(&class("drafts", 5, 0.1), queued_call(2, "w", 1.0, 1));
    queue.push(&class("lists", 1, 0.1), queued_call(3, "w", 1.0, 1));
    let order: Vec<_> = std::iter::from_fn(|| queue.shed_lowest())
        .map(|call| call.id.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn unconfigured_classes_are_removed_when_idle() {
    let mut queue = AdmissionQueue::default();
    queue.push(&class("old", 0, 0.1), queued_call(1, "w", 1.0, 1));
    queue.retain(|_| false);
    assert_eq!(queue.class_len(&"old".into()), 1);
    assert!(queue.pop().is_some());
    queue.retain(|_| false);
    assert!(queue.is_empty());
}
