//! Harmful parts of prompts in whole fleets, and what must not be taken for one.

use std::time::{Duration, Instant};

use briarbank_core::flow::{Dispatcher, Fault, Placement, Refusal};

use crate::crashes::{Fleet, SYSTEM, Scene, call};
use crate::fleet::{MODELS, dispatcher, instance};

const GUILTY: u64 = 1;

/// Time within which nodes in touch learn what one of them knows.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes after which a part must be known to all nodes in touch.
const CRASHES_KNOWN: usize = 5;

/// Harmful calls that may still reach servers after that.
const LATE_SENDS_MAX: usize = 3;

/// Duration of a simulated day.
const END: Duration = Duration::from_secs(30);

/// Runs a day with a harmful part and asserts that all nodes in touch refuse it in time.
fn assert_contained(name: &str, scene: Scene) -> Fleet {
    let harmful: Vec<u64> = scene.harmful.iter().map(|(part, _)| *part).collect();
    let (nodes, seed) = (scene.nodes, scene.seed);
    // Until then, the node that is cut off causes crashes that the others cannot explain.
    let joined_at = scene.cut_off.map_or(Duration::ZERO, |(_, until)| until);
    let mut fleet = Fleet::new(scene);
    let refused_at = fleet.run_until_refused(&[SYSTEM, harmful[0], 210], END);
    fleet.run_until(END);
    let name = format!("{name}, {nodes} nodes, seed {seed}");
    let refused_at = refused_at.unwrap_or_else(|| panic!("{name}: never refused"));
    let crashes = &fleet.crashes;
    let last = crashes[crashes.len().min(CRASHES_KNOWN * harmful.len()) - 1];
    let delay = refused_at.saturating_sub(last);
    let late = fleet
        .harmful_sends
        .iter()
        .filter(|at| **at > last + CONTACT_TIME);
    let late = late.count();
    let settled_at = refused_at.max(joined_at) + CONTACT_TIME;
    let refusals = &fleet.sound_refusals;
    let unjust = refusals.iter().filter(|at| **at > settled_at).count();
    println!(
        "{name}: {} crashes, refused {delay:?} after the fifth or last, {late} late sends, \
         {} sound calls refused before, {unjust} after, {} at the node cut off, {:.0} B/s in the first 10 s, {:.0} B/s later",
        crashes.len(),
        refusals.len() - unjust,
        fleet.cut_off_refusals,
        fleet.bytes_per_s(Duration::ZERO, Duration::from_secs(10)),
        fleet.bytes_per_s(Duration::from_secs(20), END),
    );
    assert!(delay <= CONTACT_TIME, "{name}: {delay:?}");
    assert!(late <= LATE_SENDS_MAX * harmful.len(), "{name}: {late}");
    assert_eq!(unjust, 0, "{name}: sound calls refused");
    assert!(
        refusals.len() <= 5,
        "{name}: {} sound calls refused",
        refusals.len()
    );
    fleet
}

/// Runs a day without a harmful part and asserts that no call is refused as harmful.
fn assert_none_blamed(name: &str, scene: Scene) {
    let (nodes, seed) = (scene.nodes, scene.seed);
    let mut fleet = Fleet::new(scene);
    fleet.run_until(END / 2);
    let refused = fleet.sound_refusals.len();
    println!(
        "{name}, {nodes} nodes, seed {seed}: {refused} refused, {} served",
        fleet.sound_served
    );
    assert!(fleet.sound_served > 500);
    assert_eq!(refused, 0, "{name}, {nodes} nodes, seed {seed}");
}

/// Guards against one part that crashes one server after the other, found by no node.
#[test]
fn all_nodes_refuse_a_part_soon_after_its_first_crashes() {
    for nodes in [8, 86, 195] {
        for seed in 0..4 {
            assert_contained(
                "calm",
                Scene {
                    seed,
                    ..Scene::new(nodes, &[GUILTY])
                },
            );
        }
    }
}

/// Guards against the same where few sound calls show which parts are innocent.
#[test]
fn a_part_is_found_beside_few_sound_calls() {
    for nodes in [8, 86] {
        for seed in 0..4 {
            let scene = Scene::new(nodes, &[GUILTY]);
            assert_contained(
                "few sound calls",
                Scene {
                    seed,
                    sound_per_s: 8.0,
                    ..scene
                },
            );
        }
    }
}

/// Guards against knowledge that ends with the nodes that have it.
#[test]
fn a_part_is_refused_though_a_third_of_the_nodes_was_killed() {
    for nodes in [8, 86, 195] {
        for seed in 0..2 {
            let killed = Some((0..nodes / 3, 3));
            assert_contained(
                "a third killed",
                Scene {
                    seed,
                    killed,
                    ..Scene::new(nodes, &[GUILTY])
                },
            );
        }
    }
}

/// Guards against a node that was cut off and goes on sending after it has joined again.
#[test]
fn a_node_that_was_cut_off_refuses_the_part_once_it_is_back() {
    for nodes in [8, 86, 195] {
        let until = Duration::from_secs(15);
        let scene = Scene {
            cut_off: Some((2, until)),
            ..Scene::new(nodes, &[GUILTY])
        };
        let mut fleet = assert_contained("one cut off", scene);
        assert_eq!(fleet.count_sending(&[SYSTEM, GUILTY, 210]), 0);
    }
}

/// Guards against statements that are sent only once.
#[test]
fn lost_datagrams_do_not_hide_a_part() {
    for nodes in [8, 86, 195] {
        let scene = Scene {
            lost_ratio: 0.05,
            ..Scene::new(nodes, &[GUILTY])
        };
        assert_contained("5 % lost", scene);
    }
}

/// Guards against two parts whose crashes hide each other.
#[test]
fn two_harmful_parts_at_once_are_both_refused() {
    for nodes in [8, 86] {
        for seed in 0..3 {
            let scene = Scene::new(nodes, &[GUILTY, 2]);
            let mut fleet = assert_contained("two parts", Scene { seed, ..scene });
            for part in [GUILTY, 2] {
                assert_eq!(fleet.count_sending(&[SYSTEM, part, 210]), 0);
            }
        }
    }
}

/// Guards against a part that was sound for long and is protected by its past.
#[test]
fn a_popular_part_that_turns_harmful_is_refused() {
    for nodes in [8, 86] {
        let harmful = vec![(GUILTY, Duration::from_secs(5))];
        let scene = Scene {
            harmful,
            harmful_per_s: 6.0,
            ..Scene::new(nodes, &[])
        };
        assert_contained("turns harmful", scene);
    }
}

/// Guards against refusals of parts in use when many servers fail for another reason.
#[test]
fn a_failure_of_a_third_of_the_servers_blames_no_part() {
    for nodes in [8, 86, 195] {
        for seed in 0..4 {
            let scene = Scene {
                seed,
                sound_per_s: 80.0,
                ..Scene::new(nodes, &[])
            };
            let failing = Some((0..scene.servers / 3, Duration::from_secs(5)));
            assert_none_blamed("a third of the servers fail", Scene { failing, ..scene });
        }
    }
}

/// Guards against refusals of the parts of calls that defective servers reset.
#[test]
fn servers_that_reset_calls_and_go_on_blame_no_part() {
    for nodes in [8, 86, 195] {
        for seed in 0..4 {
            let scene = Scene {
                seed,
                ..Scene::new(nodes, &[])
            };
            let servers = scene.servers;
            let grey = Some((0..servers.div_ceil(7), 0.4));
            assert_none_blamed("defective servers", Scene { grey, ..scene });
        }
    }
}

/// Guards against a first part that is refused for good with the harmful one: crashes that
/// only a killed node attributed to the harmful part seemed to be due to the other.
#[test]
fn a_shared_first_part_is_served_in_a_fleet_in_trouble() {
    let runs = [20.0, 60.0].map(|rate| (0..30).map(move |seed| (rate, seed)));
    for (sound_per_s, seed) in runs.into_iter().flatten() {
        let scene = Scene::new(8, &[GUILTY]);
        let servers = scene.servers;
        let mut fleet = Fleet::new(Scene {
            seed,
            sound_per_s,
            systems: 10,
            lost_ratio: 0.02,
            killed: Some((0..2, 2)),
            failing: Some((0..servers / 3, Duration::from_millis(6_500))),
            grey: Some((servers / 3..servers / 3 + servers.div_ceil(7), 0.4)),
            ..scene
        });
        let refused_at = fleet.run_until_refused(&[SYSTEM, GUILTY, 210], END);
        fleet.run_until(END);
        let refused_at = refused_at.expect("the harmful part is refused");
        let settled_at = refused_at + CONTACT_TIME;
        let refusals = fleet.sound_refusals.iter();
        let unjust = refusals.filter(|at| **at > settled_at).count();
        assert_eq!(unjust, 0, "{sound_per_s} sound calls a second, seed {seed}");
        let crashes = &fleet.crashes;
        let known_at = crashes[crashes.len().min(CRASHES_KNOWN) - 1];
        let sends = fleet.harmful_sends.iter();
        let late = sends.filter(|at| **at > known_at + CONTACT_TIME).count();
        assert!(late <= LATE_SENDS_MAX, "{late} late sends, seed {seed}");
    }
}

/// Returns a dispatcher with servers that crash one after the other.
fn dispatcher_of_models() -> Dispatcher {
    let mut dispatcher = dispatcher(0, 0);
    for index in 0..8 {
        let instance = instance(&format!("m{index}"), MODELS, 100);
        dispatcher.add_server(Instant::now(), instance);
    }
    dispatcher
}

/// Sends a call to a server that none was sent to before.
fn send(dispatcher: &mut Dispatcher, now: Instant, tried: &[Placement]) -> Placement {
    let avoid: Vec<_> = tried.iter().map(|p| p.instance.id.clone()).collect();
    let call = call(&[SYSTEM, GUILTY]);
    let placed = dispatcher.dispatch(now, &call, &avoid);
    placed.expect("the call is dispatched")
}

/// Sends calls that end with a fault; returns the answer of the dispatcher to a new one.
fn refusal_after(fault: Fault, is_paused: bool) -> Option<Refusal> {
    let mut dispatcher = dispatcher_of_models();
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let mut sent = Vec::new();
    for _ in 0..4 {
        let placement = send(&mut dispatcher, now, &sent);
        sent.push(placement);
    }
    if is_paused {
        dispatcher.record_pause(after(100));
    }
    for (index, placement) in sent.iter().enumerate() {
        let at = after(200 * (index as u64 + 1));
        dispatcher.record_failure(at, placement.attempt, fault);
    }
    let call = call(&[SYSTEM, GUILTY]);
    dispatcher.dispatch(after(2_000), &call, &[]).err()
}

/// Guards against nodes that blame parts because they cannot reach the servers.
#[test]
fn only_broken_connections_are_evidence() {
    assert_eq!(
        refusal_after(Fault::Broken, false),
        Some(Refusal::HarmfulPrompt)
    );
    for fault in [
        Fault::Silent,
        Fault::Unreachable,
        Fault::Failed,
        Fault::Cancelled,
    ] {
        assert_eq!(refusal_after(fault, false), None, "{fault:?}");
    }
    assert_eq!(refusal_after(Fault::Broken, true), None);
}

/// Guards against a call that goes on crashing servers by its own repeats.
#[test]
fn a_call_is_not_repeated_after_two_crashes_of_its_parts() {
    let mut dispatcher = dispatcher_of_models();
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let call = call(&[SYSTEM, GUILTY]);
    let first = send(&mut dispatcher, now, &[]);
    dispatcher.record_failure(after(100), first.attempt, Fault::Broken);
    let avoid = [first.instance.id.clone()];
    assert!(dispatcher.can_move(after(100), &call, &avoid));
    let second = send(&mut dispatcher, after(100), &[first]);
    dispatcher.record_failure(after(200), second.attempt, Fault::Broken);
    let avoid = [second.instance.id.clone()];
    assert!(!dispatcher.can_move(after(200), &call, &avoid));
    let refusal = dispatcher.dispatch(after(200), &call, &avoid).unwrap_err();
    assert_eq!(refusal, Refusal::HarmfulPrompt);
    assert!(dispatcher.dispatch(after(200), &call, &[]).is_ok());
}

/// Returns the parts blamed after answers that break off that long after their first event.
fn blamed_after_breaks(answer_time: Duration) -> usize {
    let mut dispatcher = dispatcher_of_models();
    let now = Instant::now();
    let mut sent = Vec::new();
    for _ in 0..4 {
        let placement = send(&mut dispatcher, now, &sent);
        sent.push(placement);
    }
    let mut at = now;
    for placement in &sent {
        at += Duration::from_secs(3);
        dispatcher.record_first_event(at, placement.attempt);
        at += answer_time;
        dispatcher.record_failure(at, placement.attempt, Fault::Broken);
    }
    dispatcher.blamed_parts(at).len()
}

/// Guards against a harmful part that is acquitted by the answers that its crashes cut: one
/// without a length ends like that.
#[test]
fn an_end_that_may_be_a_crash_is_no_proof() {
    let mut dispatcher = dispatcher_of_models();
    let now = Instant::now();
    let after = |ms| now + Duration::from_millis(ms);
    let call = call(&[SYSTEM, GUILTY]);
    let mut sent = Vec::new();
    for _ in 0..5 {
        let placement = send(&mut dispatcher, now, &sent);
        sent.push(placement);
    }
    for (index, placement) in sent.iter().take(3).enumerate() {
        let at = after(100 * (index as u64 + 1));
        dispatcher.record_failure(at, placement.attempt, Fault::Broken);
    }
    dispatcher.record_end(after(400), sent[3].attempt);
    assert!(dispatcher.dispatch(after(400), &call, &[]).is_err());
    dispatcher.record_success(after(500), sent[4].attempt);
    assert!(dispatcher.dispatch(after(500), &call, &[]).is_ok());
}

/// Guards against sound parts that are taken for harmful with a server that ends later.
#[test]
fn an_answer_that_goes_on_is_no_evidence_when_it_breaks_off() {
    assert_eq!(blamed_after_breaks(Duration::from_millis(110)), 0);
    assert_eq!(blamed_after_breaks(Duration::from_millis(10)), 2);
}
