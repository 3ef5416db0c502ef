//! Where work goes, by the pattern of load that each rule answers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use briarbank_core::flow::{AttemptId, Dispatcher, Fault, Load, Refusal};

use crate::fleet::{chat, dispatcher, instance, learn, server, sheet, slip, told};

/// Places calls without finishing them; gives the servers.
fn fill(
    dispatcher: &mut Dispatcher,
    now: Instant,
    calls: impl Iterator<Item = briarbank_core::flow::Call>,
) -> Vec<(AttemptId, String)> {
    calls
        .filter_map(|call| dispatcher.dispatch(now, &call, &[]).ok())
        .map(|p| (p.attempt, p.instance.id.to_string()))
        .collect()
}

/// Places chats that come one after the other, each begun before the next comes.
fn stream_in(
    dispatcher: &mut Dispatcher,
    now: Instant,
    calls: impl Iterator<Item = briarbank_core::flow::Call>,
) -> Vec<(AttemptId, String)> {
    let mut now = now;
    let mut placed = Vec::new();
    for call in calls {
        placed.extend(fill(dispatcher, now, std::iter::once(call)));
        now += Duration::from_millis(10);
        if let Some((attempt, _)) = placed.last() {
            dispatcher.record_first_event(now, *attempt);
        }
    }
    placed
}

fn names(placed: &[(AttemptId, String)]) -> BTreeSet<String> {
    placed.iter().map(|(_, name)| name.clone()).collect()
}

/// Burst of long prompts beside chats: a server that reads on every step
/// makes each chat beside it late, so the two are kept apart.
#[test]
fn long_prompts_keep_off_servers_with_chats() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let chats = stream_in(
        &mut dispatcher,
        now,
        (0..60).map(|own| chat(own % 20, 10_000 + own)),
    );
    let sheets = fill(
        &mut dispatcher,
        now,
        (0..40).map(|own| sheet(own, 20_000 + own)),
    );
    assert_eq!(chats.len(), 60);
    assert!(
        names(&chats).is_disjoint(&names(&sheets)),
        "{chats:?} {sheets:?}"
    );
}

/// Chats beside many long prompts: they fill one server after the other, so
/// that the rest stays free for long prompts, and none takes more than its part.
#[test]
fn chats_are_packed_while_there_are_long_prompts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut reading = VecDeque::new();
    let mut now = now;
    for own in 0..110 {
        // Long prompts keep coming, some 60 a second, and take 80 ms each.
        reading.extend(fill(
            &mut dispatcher,
            now,
            std::iter::once(sheet(own, 20_000 + own)),
        ));
        if reading.len() > 5
            && let Some((attempt, _)) = reading.pop_front()
        {
            dispatcher.record_success(now, attempt);
        }
        let chats = stream_in(
            &mut dispatcher,
            now,
            std::iter::once(chat(own, 10_000 + own)),
        );
        for (_, name) in chats {
            *counts.entry(name).or_default() += 1;
        }
        now += Duration::from_millis(16);
    }
    assert!(counts.len() <= 3, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 65), "{counts:?}");
}

/// Calm chats: with no long prompts to read they get more servers, and are
/// over sooner; a fifth of the slots each, and no more servers than that takes.
#[test]
fn chats_spread_while_there_are_no_long_prompts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let counts = chats_by_server(&mut dispatcher, now, 110);
    assert!(counts.len() <= 6, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 25), "{counts:?}");
}

fn chats_by_server(
    dispatcher: &mut Dispatcher,
    now: Instant,
    count: u64,
) -> BTreeMap<String, usize> {
    let chats = stream_in(
        dispatcher,
        now,
        (0..count).map(|own| chat(own, 10_000 + own)),
    );
    let mut counts = BTreeMap::new();
    for (_, name) in chats {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// All nodes put chats on the same servers without asking each other.
#[test]
fn nodes_agree_on_the_servers_for_chats() {
    let now = Instant::now();
    let (mut one, mut other) = (dispatcher(12, 0), dispatcher(12, 0));
    learn(&mut one, now);
    learn(&mut other, now);
    let first = stream_in(&mut one, now, (0..20).map(|own| chat(own, 10_000 + own)));
    let second = stream_in(
        &mut other,
        now,
        (0..20).map(|own| chat(own + 50, 20_000 + own)),
    );
    assert_eq!(names(&first), names(&second));
}

/// Hot subject, calm: all calls about it go to the server that holds it.
#[test]
fn a_subject_stays_at_its_server_while_it_is_in_time() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let mut used = BTreeSet::new();
    for own in 0..30 {
        let placed = dispatcher
            .dispatch(now, &sheet(7, 1_000 + own), &[])
            .unwrap();
        used.insert(placed.instance.id.to_string());
        now += Duration::from_millis(60);
        dispatcher.record_first_event(now, placed.attempt);
        dispatcher.record_success(now, placed.attempt);
    }
    assert_eq!(used.len(), 1, "{used:?}");
}

/// Hot subject in a burst: once its server can't answer in time, others help.
#[test]
fn a_hot_subject_spills_when_its_server_is_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let sheets = fill(
        &mut dispatcher,
        now,
        (0..24).map(|own| sheet(7, 1_000 + own)),
    );
    assert!(names(&sheets).len() >= 2, "{sheets:?}");
}

/// Twice the capacity: what can't be answered in time is refused at once,
/// with a time to come back, and chats are still taken.
#[test]
fn an_overload_of_long_prompts_is_refused_and_chats_are_not() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, 0);
    learn(&mut dispatcher, now);
    let placed = fill(
        &mut dispatcher,
        now,
        (0..10).map(|own| chat(own, 10_000 + own)),
    );
    assert_eq!(placed.len(), 10);
    let refused = (0..400)
        .filter_map(|own| {
            dispatcher
                .dispatch(now, &sheet(own, 20_000 + own), &[])
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
    let more = fill(
        &mut dispatcher,
        now,
        (0..10).map(|own| chat(own, 30_000 + own)),
    );
    assert_eq!(more.len(), 10);
}

/// grown desk trouble-3: chats were refused while less urgent prompts of twice
/// their size began. All servers are full of long prompts when chats come.
#[test]
fn the_most_urgent_calls_are_taken_while_others_begin() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4, 0);
    learn(&mut dispatcher, now);
    let sheets = fill(
        &mut dispatcher,
        now,
        (0..400).map(|own| sheet(own, 20_000 + own)),
    );
    assert!(sheets.len() < 400);
    let chats = fill(
        &mut dispatcher,
        now,
        (0..30).map(|own| chat(own, 30_000 + own)),
    );
    assert_eq!(chats.len(), 30);
}

/// A quarter of the servers crashes: they get nothing while others answer.
#[test]
fn servers_that_fail_are_left_alone() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(0, 4);
    for _ in 0..40 {
        now += Duration::from_millis(20);
        let placed = dispatcher.dispatch(now, &slip(), &[]).unwrap();
        if placed.instance.id.as_str() == "d0" {
            dispatcher.record_failure(now, placed.attempt, Fault::Unreachable);
        } else {
            dispatcher.record_success(now, placed.attempt);
        }
    }
    let mut to_failed = 0;
    for _ in 0..40 {
        now += Duration::from_millis(2);
        let placed = dispatcher.dispatch(now, &slip(), &[]).unwrap();
        to_failed += usize::from(placed.instance.id.as_str() == "d0");
        dispatcher.record_success(now, placed.attempt);
    }
    assert!(to_failed <= 1, "{to_failed}");
}

/// When all are set aside or were tried, one of them is better than none.
#[test]
fn tried_servers_are_used_when_there_is_no_other() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let placed = dispatcher.dispatch(now, &slip(), &[server("d0")]).unwrap();
    assert_eq!(placed.instance.id, server("d0"));
}

/// Peers' load counts like the node's own.
#[test]
fn load_of_peers_moves_calls_to_other_servers() {
    let now = Instant::now();
    let (mut one, mut other) = (dispatcher(0, 3), dispatcher(0, 3));
    let first = fill(&mut one, now, (0..12).map(|_| slip()));
    let loads: BTreeMap<u32, Load> = told(&one, now);
    other.set_peer_loads(&loads, 2);
    let second = fill(&mut other, now, (0..12).map(|_| slip()));
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, name) in first.iter().chain(&second) {
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 8), "{counts:?}");
}

#[test]
fn draining_servers_get_nothing() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let mut leaving = instance("d0", crate::fleet::DESK, 6);
    leaving.is_draining = true;
    dispatcher.add_server(leaving);
    let placed = fill(&mut dispatcher, now, (0..10).map(|_| slip()));
    assert_eq!(names(&placed).into_iter().collect::<Vec<_>>(), ["d1"]);
}

/// desk hunt-a9ac-7: an entry that ended was used for longer than servers may
/// be sent calls after they left.
#[test]
fn a_lapsed_entry_is_used_for_a_bounded_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let ttl = Duration::from_millis(1_700);
    dispatcher.remove_server(now, &server("d0"), Some(ttl));
    assert!(dispatcher.dispatch(now, &slip(), &[]).is_ok());
    let later = now + ttl;
    assert_eq!(
        dispatcher.dispatch(later, &slip(), &[]).err(),
        Some(Refusal::NoServer)
    );
    dispatcher.remove_lapsed(later);
    assert!(!dispatcher.has_servers());
}

#[test]
fn an_entry_that_came_back_is_used_on() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    dispatcher.remove_server(now, &server("d0"), Some(Duration::from_secs(1)));
    dispatcher.add_server(instance("d0", crate::fleet::DESK, 6));
    let later = now + Duration::from_mins(1);
    dispatcher.remove_lapsed(later);
    assert!(dispatcher.dispatch(later, &slip(), &[]).is_ok());
}

/// A process that starts anew under the same name holds nothing of before.
#[test]
fn a_server_that_was_born_again_is_cold() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, 0);
    learn(&mut dispatcher, now);
    let first = dispatcher.dispatch(now, &sheet(7, 1), &[]).unwrap();
    dispatcher.record_success(now, first.attempt);
    let warm = dispatcher.dispatch(now, &sheet(7, 1), &[]).unwrap();
    dispatcher.record_success(now, warm.attempt);
    let mut reborn = instance("m0", crate::fleet::MODELS, 100);
    reborn.born_ms = 5;
    dispatcher.add_server(reborn);
    let cold = dispatcher.dispatch(now, &sheet(7, 1), &[]).unwrap();
    assert!(
        cold.expected_latency > warm.expected_latency,
        "{cold:?} {warm:?}"
    );
}

/// A release: servers that have just started are slow at first and get fewer calls.
#[test]
fn a_server_that_says_it_is_cold_gets_fewer_calls() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 2);
    let cold = briarbank_core::flow::Instance {
        cold_ms: 3_000,
        ..instance("d9", crate::fleet::DESK, 6)
    };
    dispatcher.add_server(cold);
    let placed = fill(&mut dispatcher, now, (0..15).map(|_| slip()));
    let of = |name: &str| placed.iter().filter(|(_, n)| n == name).count();
    assert!(of("d9") < of("d0") && of("d9") < of("d1"), "{placed:?}");
}

/// The servers that hold a subject crash: its prompts go to the next ones in order.
#[test]
fn a_subject_moves_on_when_its_servers_fail() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let mut tried = Vec::new();
    for own in 0..6 {
        let placed = dispatcher.dispatch(now, &sheet(7, 1_000 + own), &tried);
        let placed = placed.unwrap_or_else(|refusal| panic!("after {tried:?}: {refusal:?}"));
        assert!(!tried.contains(&placed.instance.id), "{tried:?}");
        tried.push(placed.instance.id.clone());
        dispatcher.record_failure(now, placed.attempt, Fault::Unreachable);
    }
    assert!(dispatcher.dispatch(now, &sheet(7, 9_000), &[]).is_ok());
}

/// Long prompts that share nothing: no order binds them to few servers.
#[test]
fn long_prompts_without_shared_parts_use_all_servers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(8, 0);
    learn(&mut dispatcher, now);
    let alone = |own: u64| {
        let mut call = sheet(own, 20_000 + own);
        if let Some(prompt) = &mut call.prompt {
            prompt.parts = vec![(20_000 + own, prompt.tokens)];
        }
        call
    };
    let without_parts = |own: u64| {
        let mut call = alone(own);
        if let Some(prompt) = &mut call.prompt {
            prompt.parts.clear();
        }
        call
    };
    let calls = (0..8).map(alone).chain((8..16).map(without_parts));
    let placed = fill(&mut dispatcher, now, calls);
    assert_eq!(placed.len(), 16);
    assert_eq!(names(&placed).len(), 8, "{placed:?}");
}
