//! Servers that pause: a call leaves one only when another has taken it.

use std::time::Duration;

use briarbank_core::call::{Dispatch, Failure, Outcome};
use briarbank_core::router::{Action, AttemptEvent, Event, Options};

use crate::harness::{Harness, catalog, dispatches, only_dispatch, refusals, server};

const MS: Duration = Duration::from_millis(1);
/// Longer than the pause after which a stream counts as stalled.
const PAUSE: Duration = Duration::from_millis(900);

fn servers(count: usize) -> Vec<briarbank_core::catalog::Server> {
    let names = (0..count).map(|index| format!("s{index}"));
    names.map(|name| server(&name, &["model"], 32)).collect()
}

/// Returns a router that knows the speed of its servers.
fn harness(count: usize) -> Harness {
    harness_with(Options::default(), count)
}

fn harness_with(options: Options, count: usize) -> Harness {
    let mut harness = Harness::with_options(options, catalog(), servers(count));
    for _ in 0..20 {
        harness.run_stream("mid", 20 * MS, 5 * MS, 33);
    }
    harness
}

/// Starts a stream that has delivered tokens.
fn start_stream(harness: &mut Harness) -> Dispatch {
    let (_, actions) = harness.arrive("mid", "model");
    let dispatch = only_dispatch(&actions);
    harness.now += 20 * MS;
    harness.send_attempt(dispatch.attempt, AttemptEvent::Progress { tokens: 3 });
    dispatch
}

fn assert_completes(harness: &mut Harness, dispatch: &Dispatch) {
    harness.send_attempt(dispatch.attempt, AttemptEvent::Progress { tokens: 40 });
    let actions = harness.send_attempt(dispatch.attempt, AttemptEvent::Done);
    let end = Action::End {
        call: dispatch.call,
        outcome: Outcome::Completed,
    };
    assert!(actions.contains(&end), "{actions:?}");
}

fn cancels(actions: &[Action], dispatch: &Dispatch) -> bool {
    let is_cancel =
        |a: &Action| matches!(a, Action::Cancel { attempt, .. } if *attempt == dispatch.attempt);
    actions.iter().any(is_cancel)
}

/// Guards against the loss of a paused stream when the next server refuses or fails.
#[test]
fn paused_stream_goes_on_when_the_next_server_fails() {
    let failures = [
        Failure::Full,
        Failure::Leaving,
        Failure::NotSent,
        Failure::Broken,
        Failure::Malformed,
        Failure::ServerError,
    ];
    for failure in failures {
        let mut harness = harness(2);
        let first = start_stream(&mut harness);
        let actions = harness.advance(PAUSE);
        let second = only_dispatch(&actions);
        assert!(!cancels(&actions, &first), "{failure:?}: {actions:?}");
        let actions = harness.send_attempt(second.attempt, AttemptEvent::Failed(failure));
        assert_eq!(refusals(&actions), [], "{failure:?}");
        assert_eq!(dispatches(&actions).len(), 0, "{failure:?}");
        assert_completes(&mut harness, &first);
    }
}

/// Guards against two servers that both work on one call after a pause.
#[test]
fn paused_stream_that_goes_on_cancels_the_other_attempt() {
    let mut harness = harness(2);
    let first = start_stream(&mut harness);
    let second = only_dispatch(&harness.advance(PAUSE));
    let progress = AttemptEvent::Progress { tokens: 9 };
    let actions = harness.send_attempt(first.attempt, progress);
    assert!(cancels(&actions, &second), "{actions:?}");
    let late = harness.send_attempt(second.attempt, AttemptEvent::Accepted);
    assert_eq!(late, []);
    assert_completes(&mut harness, &first);
}

#[test]
fn paused_stream_moves_when_the_next_server_accepts_it() {
    let mut harness = harness(2);
    let first = start_stream(&mut harness);
    let second = only_dispatch(&harness.advance(PAUSE));
    assert!(second.trial && second.resume);
    let actions = harness.send_attempt(second.attempt, AttemptEvent::Accepted);
    assert!(cancels(&actions, &first), "{actions:?}");
    let late = harness.send_attempt(first.attempt, AttemptEvent::Done);
    assert_eq!(late, []);
    assert_completes(&mut harness, &second);
    assert_eq!(harness.router.counters().migrated, 1);
}

/// Guards against a retry beside the attempt that is already under way.
#[test]
fn trial_takes_the_place_of_a_stalled_attempt_that_fails() {
    let mut harness = harness(2);
    let first = start_stream(&mut harness);
    let second = only_dispatch(&harness.advance(PAUSE));
    let failed = AttemptEvent::Failed(Failure::Broken);
    assert_eq!(harness.send_attempt(first.attempt, failed), []);
    assert_completes(&mut harness, &second);
}

#[test]
fn disconnected_caller_cancels_both_attempts() {
    let mut harness = harness(2);
    let first = start_stream(&mut harness);
    let second = only_dispatch(&harness.advance(PAUSE));
    let actions = harness.send(Event::CallerGone(first.call));
    assert!(cancels(&actions, &first) && cancels(&actions, &second));
    assert_eq!(harness.router.calls(), 0);
}

/// Guards against the ejection of a sound server after one pause with several streams.
#[test]
fn pause_of_a_server_with_many_streams_is_no_failure() {
    let mut harness = harness(4);
    let mut streams: Vec<Dispatch> = (0..24).map(|_| start_stream(&mut harness)).collect();
    let paused = streams[0].server.clone();
    for stream in &streams {
        let progress = AttemptEvent::Progress { tokens: 4 };
        harness.send_attempt(stream.attempt, progress);
    }
    streams.retain(|stream| stream.server == paused);
    assert!(streams.len() > 3, "{}", streams.len());
    let moved = harness.advance(PAUSE);
    for dispatch in dispatches(&moved) {
        harness.send_attempt(dispatch.attempt, AttemptEvent::Accepted);
    }
    // A refusal that says nothing against the server must not complete a run of failures.
    let calls: Vec<Dispatch> = (0..12)
        .map(|_| only_dispatch(&harness.arrive("mid", "model").1))
        .collect();
    let refused = calls.iter().find(|d| d.server == paused).expect("a call");
    harness.send_attempt(refused.attempt, AttemptEvent::Failed(Failure::Full));
    harness.now += 200 * MS;
    let next: Vec<_> = (0..12)
        .map(|_| only_dispatch(&harness.arrive("mid", "model").1).server)
        .collect();
    assert!(next.contains(&paused), "{paused:?} is ejected: {next:?}");
}

/// Guards against an answer that ends because its server was silent and no other was left.
#[test]
fn silent_call_without_another_server_goes_on() {
    let mut harness = harness(1);
    let stream = start_stream(&mut harness);
    let spent = Options {
        attempts_max: 1,
        ..Options::default()
    };
    let mut without_attempts = harness_with(spent, 2);
    let last = start_stream(&mut without_attempts);
    let (_, actions) = harness.arrive("top", "model");
    let once = only_dispatch(&actions);
    harness.now += Duration::from_secs(2);
    without_attempts.now += Duration::from_secs(2);
    for dispatch in [&stream, &once] {
        let actions = harness.send_attempt(dispatch.attempt, AttemptEvent::Silent);
        assert_eq!(refusals(&actions), []);
        assert!(!cancels(&actions, dispatch), "{actions:?}");
    }
    let actions = without_attempts.send_attempt(last.attempt, AttemptEvent::Silent);
    assert_eq!(actions, []);
    assert_completes(&mut harness, &stream);
    assert_completes(&mut harness, &once);
    assert_completes(&mut without_attempts, &last);
}

/// Guards against the loss of silent streams when the retry budget is used up.
#[test]
fn silent_call_without_retry_budget_goes_on() {
    let mut harness = harness(4);
    let streams: Vec<Dispatch> = (0..30).map(|_| start_stream(&mut harness)).collect();
    harness.now += Duration::from_secs(2);
    let mut kept = Vec::new();
    for stream in &streams {
        let actions = harness.send_attempt(stream.attempt, AttemptEvent::Silent);
        assert_eq!(refusals(&actions), []);
        if dispatches(&actions).is_empty() {
            kept.push(stream);
        }
    }
    assert!(kept.len() >= 8, "the budget is not used up: {}", kept.len());
    for stream in kept {
        assert_completes(&mut harness, stream);
    }
}

/// Guards against servers that are silent for good and get calls for ever.
#[test]
fn server_that_stays_silent_is_ejected() {
    let mut harness = harness(4);
    let first = start_stream(&mut harness);
    let silent = first.server.clone();
    let mut hits = Vec::new();
    for _ in 0..120 {
        harness.now += 50 * MS;
        let (_, mut actions) = harness.arrive("mid", "model");
        actions.extend(harness.send(Event::Tick));
        for dispatch in dispatches(&actions) {
            if dispatch.server == silent {
                hits.push(harness.now);
                continue;
            }
            harness.send_attempt(dispatch.attempt, AttemptEvent::Accepted);
            let progress = AttemptEvent::Progress { tokens: 40 };
            harness.send_attempt(dispatch.attempt, progress);
            harness.send_attempt(dispatch.attempt, AttemptEvent::Done);
        }
    }
    let last = *hits.last().expect("hits");
    let time_without = harness.now.saturating_duration_since(last);
    assert!(hits.len() > 3, "{hits:?}");
    assert!(time_without > Duration::from_secs(2), "{time_without:?}");
}
