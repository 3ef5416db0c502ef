//! Choice of servers, one test for each pattern of load.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use briarbank_core::flow::{AttemptId, Dispatcher, Fault, Load, Refusal};

use crate::fleet::{
    chat, dispatcher, instance, learn_prompt_sizes, loads_at_peer, long_call, plain_call,
    server_name,
};

/// Dispatches calls that stay in flight; returns the attempts and their servers.
fn dispatch_all(
    dispatcher: &mut Dispatcher,
    now: Instant,
    calls: impl Iterator<Item = briarbank_core::flow::Call>,
) -> Vec<(AttemptId, String)> {
    calls
        .filter_map(|call| dispatcher.dispatch(now, &call, &[]).ok())
        .map(|p| (p.attempt, p.instance.id.to_string()))
        .collect()
}

/// Dispatches calls one after the other, each with a first event before the next.
fn dispatch_in_turn(
    dispatcher: &mut Dispatcher,
    now: Instant,
    calls: impl Iterator<Item = briarbank_core::flow::Call>,
) -> Vec<(AttemptId, String)> {
    let mut now = now;
    let mut placed = Vec::new();
    for call in calls {
        placed.extend(dispatch_all(dispatcher, now, std::iter::once(call)));
        now += Duration::from_millis(10);
        if let Some((attempt, _)) = placed.last() {
            dispatcher.record_first_event(now, *attempt);
        }
    }
    placed
}

fn server_names(placed: &[(AttemptId, String)]) -> BTreeSet<String> {
    placed.iter().map(|(_, name)| name.clone()).collect()
}

/// Guards against late chats on servers that prefill long prompts in every step.
///
/// A burst of long prompts goes to servers without chats.
#[test]
fn long_prompts_avoid_servers_with_chats() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let chats = dispatch_in_turn(
        &mut dispatcher,
        now,
        (0..60).map(|index| chat(index % 20, 10_000 + index)),
    );
    let long_calls = dispatch_all(
        &mut dispatcher,
        now,
        (0..40).map(|index| long_call(index, 20_000 + index)),
    );
    assert_eq!(chats.len(), 60);
    assert!(
        server_names(&chats).is_disjoint(&server_names(&long_calls)),
        "{chats:?} {long_calls:?}"
    );
}

/// Guards against chats that spread over the servers that long prompts need.
///
/// With many long prompts, chats fill one server after the other up to its share.
#[test]
fn chats_are_packed_while_there_are_long_prompts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut prefilling = VecDeque::new();
    let mut now = now;
    for index in 0..110 {
        // About 60 long prompts arrive per second and take 80 ms each.
        prefilling.extend(dispatch_all(
            &mut dispatcher,
            now,
            std::iter::once(long_call(index, 20_000 + index)),
        ));
        if prefilling.len() > 5
            && let Some((attempt, _)) = prefilling.pop_front()
        {
            dispatcher.record_success(now, attempt);
        }
        let chats = dispatch_in_turn(
            &mut dispatcher,
            now,
            std::iter::once(chat(index, 10_000 + index)),
        );
        for (_, name) in chats {
            *counts.entry(name).or_default() += 1;
        }
        now += Duration::from_millis(16);
    }
    assert!(counts.len() <= 3, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 65), "{counts:?}");
}

/// Without long prompts, chats spread over more servers and finish sooner.
///
/// They take a fifth of the slots of each server, and only as many servers as needed.
#[test]
fn chats_spread_while_there_are_no_long_prompts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let counts = chats_by_server(&mut dispatcher, now, 110);
    assert!(counts.len() <= 6, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 25), "{counts:?}");
}

fn chats_by_server(
    dispatcher: &mut Dispatcher,
    now: Instant,
    count: u64,
) -> BTreeMap<String, usize> {
    let chats = dispatch_in_turn(
        dispatcher,
        now,
        (0..count).map(|index| chat(index, 10_000 + index)),
    );
    let mut counts = BTreeMap::new();
    for (_, name) in chats {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// All nodes send chats to the same servers without coordination.
#[test]
fn nodes_agree_on_the_servers_for_chats() {
    let now = Instant::now();
    let (mut one, mut other) = (dispatcher(12, 0), dispatcher(12, 0));
    learn_prompt_sizes(&mut one, now);
    learn_prompt_sizes(&mut other, now);
    let first = dispatch_in_turn(
        &mut one,
        now,
        (0..20).map(|index| chat(index, 10_000 + index)),
    );
    let second = dispatch_in_turn(
        &mut other,
        now,
        (0..20).map(|index| chat(index + 50, 20_000 + index)),
    );
    assert_eq!(server_names(&first), server_names(&second));
}

/// Calls of a prefix go to the server that holds it while that is in time.
#[test]
fn a_prefix_stays_at_its_server_while_it_is_in_time() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let mut used = BTreeSet::new();
    for index in 0..30 {
        let placed = dispatcher
            .dispatch(now, &long_call(7, 1_000 + index), &[])
            .unwrap();
        used.insert(placed.instance.id.to_string());
        now += Duration::from_millis(60);
        dispatcher.record_first_event(now, placed.attempt);
        dispatcher.record_success(now, placed.attempt);
    }
    assert_eq!(used.len(), 1, "{used:?}");
}

/// A burst of one prefix spills to other servers when its server would be late.
#[test]
fn a_hot_prefix_spills_when_its_server_is_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let long_calls = dispatch_all(
        &mut dispatcher,
        now,
        (0..24).map(|index| long_call(7, 1_000 + index)),
    );
    assert!(server_names(&long_calls).len() >= 2, "{long_calls:?}");
}

/// Under overload, late long prompts are refused at once with a time to retry.
///
/// Chats are still accepted.
#[test]
fn overload_sheds_long_prompts_but_not_chats() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let placed = dispatch_all(
        &mut dispatcher,
        now,
        (0..10).map(|index| chat(index, 10_000 + index)),
    );
    assert_eq!(placed.len(), 10);
    let refused = (0..400)
        .filter_map(|index| {
            dispatcher
                .dispatch(now, &long_call(index, 20_000 + index), &[])
                .err()
        })
        .collect::<Vec<_>>();
    assert!(!refused.is_empty());
    for refusal in refused {
        let Refusal::Busy {
            retry_after: pause, ..
        } = refusal
        else {
            panic!("{refusal:?}");
        };
        assert!(pause >= Duration::from_millis(100) && pause <= Duration::from_secs(2));
    }
    let more = dispatch_all(
        &mut dispatcher,
        now,
        (0..10).map(|index| chat(index, 30_000 + index)),
    );
    assert_eq!(more.len(), 10);
}

/// Guards against refusing chats while less urgent prompts of twice their size start.
///
/// All servers are full of long prompts when the chats arrive.
#[test]
fn the_most_urgent_calls_are_accepted_while_others_start() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let long_calls = dispatch_all(
        &mut dispatcher,
        now,
        (0..400).map(|index| long_call(index, 20_000 + index)),
    );
    assert!(long_calls.len() < 400);
    let chats = dispatch_all(
        &mut dispatcher,
        now,
        (0..30).map(|index| chat(index, 30_000 + index)),
    );
    assert_eq!(chats.len(), 30);
}

/// One of four servers crashes and gets no calls while the others answer.
#[test]
fn failing_servers_get_no_calls() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(0, 4);
    for _ in 0..40 {
        now += Duration::from_millis(20);
        let placed = dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
        if placed.instance.id.as_str() == "d0" {
            dispatcher.record_failure(now, placed.attempt, Fault::Unreachable);
        } else {
            dispatcher.record_success(now, placed.attempt);
        }
    }
    let mut to_failed = 0;
    for _ in 0..40 {
        now += Duration::from_millis(2);
        let placed = dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
        to_failed += usize::from(placed.instance.id.as_str() == "d0");
        dispatcher.record_success(now, placed.attempt);
    }
    assert!(to_failed <= 1, "{to_failed}");
}

/// A server that was tried already is used when there is no other.
#[test]
fn tried_servers_are_used_when_there_is_no_other() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let placed = dispatcher
        .dispatch(now, &plain_call(), &[server_name("d0")])
        .unwrap();
    assert_eq!(placed.instance.id, server_name("d0"));
}

/// The load of peers counts like the node's own.
#[test]
fn load_of_peers_moves_calls_to_other_servers() {
    let now = Instant::now();
    let (mut one, mut other) = (dispatcher(0, 3), dispatcher(0, 3));
    let first = dispatch_all(&mut one, now, (0..12).map(|_| plain_call()));
    let loads: BTreeMap<u32, Load> = loads_at_peer(&one, now);
    other.set_peer_loads(&loads, 2);
    let second = dispatch_all(&mut other, now, (0..12).map(|_| plain_call()));
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, name) in first.iter().chain(&second) {
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 8), "{counts:?}");
}

#[test]
fn draining_servers_get_no_calls() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let mut leaving = instance("d0", crate::fleet::DESK, 6);
    leaving.is_draining = true;
    dispatcher.add_server(Instant::now(), leaving);
    let placed = dispatch_all(&mut dispatcher, now, (0..10).map(|_| plain_call()));
    assert_eq!(
        server_names(&placed).into_iter().collect::<Vec<_>>(),
        ["d1"]
    );
}

/// Guards against calls to a server long after it left.
///
/// A lapsed entry is used for no longer than servers may get calls after they left.
#[test]
fn a_lapsed_entry_is_used_for_a_bounded_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let ttl = Duration::from_millis(1_700);
    dispatcher.remove_server(now, &server_name("d0"), Some(ttl));
    assert!(dispatcher.dispatch(now, &plain_call(), &[]).is_ok());
    let later = now + ttl;
    assert_eq!(
        dispatcher.dispatch(later, &plain_call(), &[]).err(),
        Some(Refusal::NoServer)
    );
    dispatcher.remove_lapsed(later);
    assert!(!dispatcher.has_servers());
}

#[test]
fn a_restored_entry_stays_in_use() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    dispatcher.remove_server(now, &server_name("d0"), Some(Duration::from_secs(1)));
    dispatcher.add_server(Instant::now(), instance("d0", crate::fleet::DESK, 6));
    let later = now + Duration::from_mins(1);
    dispatcher.remove_lapsed(later);
    assert!(dispatcher.dispatch(later, &plain_call(), &[]).is_ok());
}

/// A process that restarts under the same name has lost its prefix cache.
#[test]
fn a_restarted_server_has_a_cold_cache() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let first = dispatcher.dispatch(now, &long_call(7, 1), &[]).unwrap();
    dispatcher.record_success(now, first.attempt);
    let warm = dispatcher.dispatch(now, &long_call(7, 1), &[]).unwrap();
    dispatcher.record_success(now, warm.attempt);
    let mut restarted = instance("m0", crate::fleet::MODELS, 100);
    restarted.born_ms = 5;
    dispatcher.add_server(Instant::now(), restarted);
    let cold = dispatcher.dispatch(now, &long_call(7, 1), &[]).unwrap();
    assert!(
        cold.expected_latency > warm.expected_latency,
        "{cold:?} {warm:?}"
    );
}

/// A server that has just started, as in a rolling update, gets fewer calls.
#[test]
fn a_cold_server_gets_fewer_calls() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let cold = briarbank_core::flow::Instance {
        cold_ms: 3_000,
        ..instance("d9", crate::fleet::DESK, 6)
    };
    dispatcher.add_server(Instant::now(), cold);
    let placed = dispatch_all(&mut dispatcher, now, (0..15).map(|_| plain_call()));
    let calls_at = |name: &str| placed.iter().filter(|(_, n)| n == name).count();
    assert!(
        calls_at("d9") < calls_at("d0") && calls_at("d9") < calls_at("d1"),
        "{placed:?}"
    );
}

/// Prompts of a prefix go to the next servers when those that hold it crash.
#[test]
fn a_prefix_moves_to_the_next_servers_when_its_servers_fail() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let mut tried = Vec::new();
    for index in 0..6 {
        let placed = dispatcher.dispatch(now, &long_call(7, 1_000 + index), &tried);
        let placed = placed.unwrap_or_else(|refusal| panic!("after {tried:?}: {refusal:?}"));
        assert!(!tried.contains(&placed.instance.id), "{tried:?}");
        tried.push(placed.instance.id.clone());
        dispatcher.record_failure(now, placed.attempt, Fault::Unreachable);
    }
    assert!(dispatcher.dispatch(now, &long_call(7, 9_000), &[]).is_ok());
}

/// Long prompts without shared parts are not limited to a few servers.
#[test]
fn long_prompts_without_shared_parts_use_all_servers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let unshared_only = |index: u64| {
        let mut call = long_call(index, 20_000 + index);
        if let Some(prompt) = &mut call.prompt {
            prompt.parts = vec![(20_000 + index, prompt.tokens)];
        }
        call
    };
    let without_parts = |index: u64| {
        let mut call = unshared_only(index);
        if let Some(prompt) = &mut call.prompt {
            prompt.parts.clear();
        }
        call
    };
    let calls = (0..8).map(unshared_only).chain((8..16).map(without_parts));
    let placed = dispatch_all(&mut dispatcher, now, calls);
    assert_eq!(placed.len(), 16);
    assert_eq!(server_names(&placed).len(), 8, "{placed:?}");
}

/// Guards against a panic in the search for exact loads when every server refuses calls.
#[test]
fn a_call_without_a_usable_server_has_no_preferred_servers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2, 0);
    for id in ["m0", "m1"] {
        dispatcher.record_refusal(now, &server_name(id), Duration::from_secs(1));
    }
    assert!(
        dispatcher
            .preferred_servers(now, &long_call(1, 1), &[])
            .is_empty()
    );
    assert!(
        dispatcher
            .preferred_servers(now, &chat(1, 1), &[])
            .is_empty()
    );
}
