//! When calls are hedged, and that hedges stay within their limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Call, CallKind, Dispatcher, Fault, HedgeOffer, HedgeRefusal, Hedging, RetryOptions,
    SlidingRetryBudget, WaitingCall,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{DESK, chat, dispatcher, plain_call};
use crate::hedged_fleet::{Outcome, Scenario, run};

const WINDOW: Duration = Duration::from_secs(10);

const OBJECTIVE: Duration = Duration::from_millis(400);

const FREE: HedgeOffer = HedgeOffer {
    expected: None,
    is_free: true,
};

const USUAL_LOAD: Scenario = Scenario {
    seed: 7,
    servers: 10,
    seconds: 20,
    load: 0.5,
    hedge_ratio: 0.05,
    retry_ratio: 0.1,
    slow_servers: 0,
    slowness: 1.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs a scenario without hedges and with them.
fn run_both(scenario: Scenario) -> (Outcome, Outcome) {
    let without = run(Scenario {
        hedge_ratio: 0.0,
        ..scenario
    });
    let with = run(scenario);
    assert_eq!(without.hedges, 0);
    let max = scenario.hedge_ratio * f64::from(with.calls);
    assert!(f64::from(with.hedges) <= max, "{} of {max}", with.hedges);
    (without, with)
}

/// Returns a policy that knows the times 1 to 100 ms of a kind of calls.
fn learned(now: Instant, ratio: f64) -> (Hedging, CallKind) {
    let mut hedging = Hedging::new(ratio, WINDOW);
    let kind = CallKind::new(&DESK.into(), 300);
    for time in 1..=100 {
        hedging.record_time(now, &kind, ms(time));
        hedging.record_call(now);
    }
    (hedging, kind)
}

fn waiting(elapsed: Duration) -> WaitingCall {
    WaitingCall {
        elapsed,
        age: elapsed,
        objective: OBJECTIVE,
    }
}

/// Guards against hedges that make an overload worse, with the largest ratio and budget.
#[test]
fn hedges_cost_no_goodput_under_overload() {
    for load in [1.5, 2.0] {
        for slow_servers in [0, 1] {
            let (without, with) = run_both(Scenario {
                load,
                slow_servers,
                slowness: 8.0,
                hedge_ratio: 0.5,
                retry_ratio: 1.0,
                ..USUAL_LOAD
            });
            let ratio = f64::from(with.in_time) / f64::from(without.in_time);
            println!(
                "load {load}, slow {slow_servers}: hedges {} of {}, won {}, goodput ratio {ratio:.4}",
                with.hedges, with.calls, with.won
            );
            assert!(ratio >= 0.99, "load {load}, slow {slow_servers}: {ratio}");
            // Servers are full, so that a hedge only takes the place of a call.
            assert!(with.hedges * 200 <= with.calls, "{} hedges", with.hedges);
        }
    }
}

/// Guards against hedges between servers that are all slow.
#[test]
fn there_are_few_hedges_when_all_servers_are_slow() {
    let (without, with) = run_both(Scenario {
        load: 0.3,
        slow_servers: 10,
        slowness: 2.0,
        ..USUAL_LOAD
    });
    println!("hedges {} of {}, won {}", with.hedges, with.calls, with.won);
    assert!(with.hedges * 200 <= with.calls, "{}", with.hedges);
    assert!(f64::from(with.in_time) >= 0.99 * f64::from(without.in_time));
}

/// Guards against a slow server that spoils the figures of its fleet.
#[test]
fn one_slow_server_in_ten_is_hedged_around() {
    let (without, with) = run_both(Scenario {
        slow_servers: 1,
        slowness: 8.0,
        ..USUAL_LOAD
    });
    let (before, after) = (without.quantile(0.99), with.quantile(0.99));
    println!(
        "p99 {before:?} without, {after:?} with; hedges {} of {}, won {}",
        with.hedges, with.calls, with.won
    );
    assert!(after < before.mul_f64(0.75), "{before:?}, {after:?}");
    assert!(with.in_time >= without.in_time);
}

/// Guards against hedges before a call is slow, by its kind or by its objective.
#[test]
fn a_call_is_hedged_after_a_quantile_and_a_quarter_of_the_objective() {
    let now = Instant::now();
    let (hedging, kind) = learned(now, 0.05);
    let trigger = |age, objective| hedging.trigger(now, &kind, age, objective);
    let quantile = trigger(Duration::ZERO, OBJECTIVE).unwrap();
    assert!((ms(85)..ms(115)).contains(&quantile), "{quantile:?}");
    assert_eq!(trigger(Duration::ZERO, ms(2_000)), Some(ms(500)));
    assert_eq!(
        trigger(ms(300), ms(2_000)),
        Some(ms(200)),
        "of its whole time"
    );
    assert_eq!(
        trigger(Duration::ZERO, ms(120)),
        None,
        "no time for a second"
    );
    assert_eq!(trigger(ms(300), OBJECTIVE), None, "no time for a second");
    let other = CallKind::new(&DESK.into(), 5_000);
    let of_other = hedging.trigger(now, &other, Duration::ZERO, OBJECTIVE);
    assert_eq!(of_other, None, "another size is unknown");
    let off = learned(now, 0.0).0;
    assert!(!off.is_on());
    assert_eq!(off.trigger(now, &kind, Duration::ZERO, OBJECTIVE), None);
    let late = now + Duration::from_mins(5);
    assert_eq!(hedging.trigger(late, &kind, ms(0), OBJECTIVE), None);
}

/// Guards against hedges that end no sooner than the first attempt.
#[test]
fn a_hedge_has_to_be_much_faster_than_the_rest_of_the_first_attempt() {
    let now = Instant::now();
    let (hedging, kind) = learned(now, 0.05);
    let decide = |elapsed, offer: HedgeOffer| hedging.decide(now, &kind, &waiting(elapsed), &offer);
    // Slower than all others: as long again is expected, and half of the calls take 50 ms.
    assert!(decide(ms(130), FREE).is_ok());
    let no_benefit = |decided| matches!(decided, Err(HedgeRefusal::NoBenefit { .. }));
    assert!(no_benefit(decide(ms(60), FREE)), "20 ms are left");
    let busy = HedgeOffer {
        is_free: false,
        ..FREE
    };
    assert!(
        no_benefit(decide(ms(130), busy)),
        "it would wait for others"
    );
    let slow = HedgeOffer {
        expected: Some(ms(100)),
        ..FREE
    };
    assert!(no_benefit(decide(ms(130), slow)));
    assert_eq!(decide(ms(360), FREE), Err(HedgeRefusal::TooLate));
    let unknown = CallKind::new(&"other".into(), 300);
    let decided = hedging.decide(now, &unknown, &waiting(ms(130)), &FREE);
    assert_eq!(decided, Err(HedgeRefusal::Unknown));
}

/// Lets a server crash under the call.
fn crash(dispatcher: &mut Dispatcher, now: Instant, call: &Call) {
    let placed = dispatcher.dispatch(now, call, &[]);
    let attempt = placed.expect("servers are idle").attempt;
    dispatcher.record_failure(now, attempt, Fault::Broken);
}

/// Guards against a second server that a harmful call crashes.
#[test]
fn a_suspect_call_is_not_hedged() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, 4);
    let harmful = Call {
        identity: Some(5),
        ..plain_call()
    };
    let other = Call {
        identity: Some(6),
        ..plain_call()
    };
    assert!(dispatcher.hedge_offer(now, &harmful, &[]).is_ok());
    crash(&mut dispatcher, now, &harmful);
    let offer = dispatcher.hedge_offer(now, &harmful, &[]);
    assert_eq!(offer, Err(HedgeRefusal::Suspect));
    assert!(dispatcher.hedge_offer(now, &other, &[]).is_ok());
    crash(&mut dispatcher, now, &chat(1, 10));
    let offer = dispatcher.hedge_offer(now, &chat(1, 11), &[]);
    assert_eq!(offer, Err(HedgeRefusal::Suspect), "it shares the part");
}

/// Guards against hedges to the server that has the call, or to none.
#[test]
fn a_hedge_needs_another_server() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let call = plain_call();
    let first = dispatcher.dispatch(now, &call, &[]).unwrap().instance;
    let avoid = [first.id.clone()];
    let offer = dispatcher.hedge_offer(now, &call, &avoid).unwrap();
    assert!(offer.is_free);
    let second = dispatcher.dispatch(now, &call, &avoid).unwrap().instance;
    assert_ne!(first.id, second.id);
    let both = [first.id.clone(), second.id.clone()];
    let offer = dispatcher.hedge_offer(now, &call, &both);
    assert_eq!(offer, Err(HedgeRefusal::NoServer));
    // Its slots are full with other calls.
    for _ in 0..5 {
        dispatcher.dispatch(now, &call, &avoid).unwrap();
    }
    assert!(!dispatcher.hedge_offer(now, &call, &avoid).unwrap().is_free);
}

/// Guards against a slow server that stays unknown since its answers are not awaited.
#[test]
fn a_server_that_is_overtaken_counts_as_slow_and_not_as_faulty() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let mut call = plain_call();
    call.objective = ms(150);
    let mut firsts = Vec::new();
    for _ in 0..20 {
        let first = dispatcher.dispatch(now, &call, &[]).unwrap();
        dispatcher.record_overtaken(now + ms(400), first.attempt);
        firsts.push(first.instance.id.clone());
    }
    assert!(
        dispatcher
            .servers(now)
            .all(|(_, load, sound)| sound && load.running == 0.0)
    );
    // With a call at each, the one that was overtaken costs more.
    let slow = firsts[0].clone();
    let one = dispatcher.dispatch(now, &call, &[]).unwrap().instance;
    dispatcher
        .dispatch(now, &call, std::slice::from_ref(&one.id))
        .unwrap();
    let next = dispatcher.dispatch(now, &call, &[]).unwrap().instance;
    assert_ne!(next.id, slow, "{firsts:?}");
}

/// Guards against hedges that leave nothing of the budget to retries.
#[test]
fn half_of_the_retry_budget_is_left_to_retries() {
    let now = Instant::now();
    let options = RetryOptions {
        ratio: 0.0,
        extra: 20.0,
        used_ratio: 1.0,
        ..RetryOptions::default()
    };
    let mut budget = SlidingRetryBudget::new(options);
    let hedges = (0..30).filter(|_| budget.withdraw_hedge(now, 1)).count();
    assert_eq!(hedges, 10);
    let retries = (0..30).filter(|_| budget.withdraw(now, 1)).count();
    assert_eq!(retries, 10);
    let mut budget = SlidingRetryBudget::new(options);
    let retries = (0..15).filter(|_| budget.withdraw(now, 1)).count();
    let hedges = (0..30).filter(|_| budget.withdraw_hedge(now, 1)).count();
    assert_eq!((retries, hedges), (15, 5), "retries come first");
}

/// Times of a fleet's calls and hedges within the last window.
#[derive(Default)]
struct Recent {
    calls: VecDeque<Instant>,
    hedges: VecDeque<Instant>,
}

impl Recent {
    fn trim(&mut self, now: Instant) {
        for times in [&mut self.calls, &mut self.hedges] {
            while times.front().is_some_and(|at| now - *at > WINDOW) {
                times.pop_front();
            }
        }
    }
}

/// Guards against a fleet whose nodes exceed the ratio together.
///
/// Each node wants a hedge for each call; half of them get ten times the calls of others.
#[test]
fn all_nodes_together_keep_the_ratio() {
    let ratio = 0.1;
    for nodes in [1_usize, 61, 195] {
        let mut rng = SmallRng::seed_from_u64(nodes as u64);
        let mut now = Instant::now();
        let mut policies = vec![Hedging::new(ratio, WINDOW); nodes];
        let (mut recent, mut all) = (Recent::default(), (0, 0));
        for _ in 0..nodes.max(20) * 1_000 {
            now += Duration::from_micros(rng.random_range(0..40_000) / nodes as u64);
            let mut node = rng.random_range(0..nodes);
            if node % 2 == 1 && rng.random_bool(0.9) {
                node -= 1;
            }
            policies[node].record_call(now);
            recent.calls.push_back(now);
            all.0 += 1;
            if !policies[node].withdraw(now) {
                continue;
            }
            recent.hedges.push_back(now);
            all.1 += 1;
            recent.trim(now);
            let max = ratio * recent.calls.len() as f64;
            assert!(recent.hedges.len() as f64 <= max, "{nodes} nodes");
        }
        println!("{nodes} nodes: {} hedges of {} calls", all.1, all.0);
        assert!(
            f64::from(all.1) >= 0.5 * ratio * f64::from(all.0),
            "{all:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::with_cases(500) })]

    /// No window of a node that ends with a hedge has too many, whatever bursts and pauses
    /// there are.
    #[test]
    fn a_node_keeps_the_ratio_in_each_window(
        ratio in 0.0_f64..0.5,
        steps in prop::collection::vec((0_u64..3_000, 0_u32..60, 0_u32..20), 20..200),
    ) {
        let mut now = Instant::now();
        let mut hedging = Hedging::new(ratio, WINDOW);
        let mut recent = Recent::default();
        for (pause_ms, calls, wanted) in steps {
            now += ms(pause_ms);
            for _ in 0..calls {
                hedging.record_call(now);
                recent.calls.push_back(now);
            }
            for _ in 0..wanted {
                if hedging.withdraw(now) {
                    recent.hedges.push_back(now);
                    recent.trim(now);
                    let max = ratio * recent.calls.len() as f64;
                    prop_assert!(recent.hedges.len() as f64 <= max);
                }
            }
        }
    }
}
