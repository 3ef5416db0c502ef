//! Bounds of the admission queue.

use std::time::{Duration, Instant};

use briarbank_core::ids::CallId;
use briarbank_core::queue::{AdmissionQueue, ClassOptions, QueuedCall};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const COST_MAX: u64 = 50;
const SERVED: usize = 300;
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

fn item(id: u64, workspace: &str, weight: f64, cost: u64) -> QueuedCall {
    QueuedCall {
        call: CallId(id),
        workspace: workspace.into(),
        weight,
        deadline: Instant::now() + Duration::from_millis(id % 7),
        cost,
    }
}

/// The most that a class was behind its share in any window.
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
fn every_class_that_waits_gets_its_share() {
    let classes = prop::collection::vec((0..6_u8, 0.0..1.0_f64), 2..7);
    let costs = prop::collection::vec(1..=COST_MAX, SERVED);
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
            queue.push(&options[index], item(id, &index.to_string(), 1.0, cost));
        };
        for index in 0..options.len() {
            push(&mut queue, index, COST_MAX);
            push(&mut queue, index, 1);
        }
        let mut history = Vec::new();
        for cost in costs {
            let served = queue.pop().expect("all classes wait");
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
    let strategy = (1.0..8.0_f64, prop::collection::vec(1..=COST_MAX, SERVED));
    let result = runner(200).run(&strategy, |(weight, costs)| {
        let options = class("c", 0, 0.0);
        let mut queue = AdmissionQueue::default();
        for (id, cost) in costs.iter().enumerate() {
            let id = id as u64;
            queue.push(&options, item(2 * id, "light", 1.0, *cost));
            queue.push(&options, item(2 * id + 1, "heavy", weight, *cost));
        }
        let (mut light, mut heavy) = (0.0, 0.0);
        for _ in 0..SERVED {
            let served = queue.pop().expect("waits");
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
fn a_workspace_that_asks_one_by_one_gains_nothing() {
    let options = class("c", 0, 0.0);
    let mut queue = AdmissionQueue::default();
    for id in 0..200 {
        queue.push(&options, item(id, "steady", 1.0, 1));
    }
    let (mut single, mut waits) = (0, false);
    for id in 1_000..1_100 {
        if !waits {
            queue.push(&options, item(id, "single", 0.25, 1));
        }
        let served = queue.pop().expect("waits");
        waits = served.workspace != "single".into();
        single += u32::from(!waits);
    }
    assert!(single <= 25, "{single}");
}

#[test]
fn a_full_class_gives_up_the_heaviest_workspace() {
    let mut options = class("c", 0, 0.0);
    options.limit = 3;
    let mut queue = AdmissionQueue::default();
    for id in 0..3 {
        queue.push(&options, item(id, "many", 1.0, 1));
        assert_eq!(queue.trim(&options.name), None);
    }
    queue.push(&options, item(3, "one", 1.0, 1));
    let given_up = queue.trim(&options.name).expect("over the limit");
    assert_eq!(given_up.workspace, "many".into());
    assert_eq!(queue.len(), 3);
}

#[test]
fn the_lowest_tier_is_shed_first() {
    let mut queue = AdmissionQueue::default();
    queue.push(&class("slips", 0, 0.1), item(1, "w", 1.0, 1));
    queue.push(&class("drafts", 5, 0.1), item(2, "w", 1.0, 1));
    queue.push(&class("lists", 1, 0.1), item(3, "w", 1.0, 1));
    let order: Vec<_> = std::iter::from_fn(|| queue.shed_lowest())
        .map(|item| item.call.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn classes_without_a_name_are_forgotten_when_idle() {
    let mut queue = AdmissionQueue::default();
    queue.push(&class("old", 0, 0.1), item(1, "w", 1.0, 1));
    queue.retain(|_| false);
    assert_eq!(queue.class_len(&"old".into()), 1);
    assert!(queue.pop().is_some());
    queue.retain(|_| false);
    assert!(queue.is_empty());
}
