//! Servers that return under their name as another process.

use std::time::{Duration, Instant};

use briarbank_core::flow::{Dispatcher, Fault, Instance, ServerLimits};
use briarbank_core::ids::ServerName;

use crate::fleet::{DESK, MODELS, dispatcher, instance, long_call, plain_call, server_name};

fn restarted(id: &str, service: &str) -> Instance {
    Instance {
        born_ms: 5,
        ..instance(id, service, 100)
    }
}

/// Returns the number of calls in flight at a server.
fn running(dispatcher: &Dispatcher, now: Instant, id: &str) -> u32 {
    let mut servers = dispatcher.servers(now);
    let found = servers.find(|(instance, _, _)| instance.id == server_name(id));
    found.map_or(0, |(_, load, _)| load.running as u32)
}

/// Guards against a load of the process before, which kept calls off the new one until the
/// last of its connections had timed out.
#[test]
fn a_new_process_has_none_of_the_load_of_the_one_before() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, 0);
    let before = dispatcher.dispatch(now, &long_call(1, 1), &[]).unwrap();
    dispatcher.take_changed_loads(now);
    dispatcher.add_server(now, restarted("m0", MODELS));
    assert_eq!(running(&dispatcher, now, "m0"), 0);
    // The home hears that the load has ended.
    let changed = dispatcher.take_changed_loads(now);
    assert_eq!(changed.len(), 1);
    assert_eq!((changed[0].running, changed[0].pending_tokens), (0, 0));
    // The end of the former call takes nothing from the load of the new process.
    let after = dispatcher.dispatch(now, &long_call(1, 2), &[]).unwrap();
    dispatcher.record_first_event(now, before.attempt);
    dispatcher.record_failure(now, before.attempt, Fault::Broken);
    assert_eq!(running(&dispatcher, now, "m0"), 1);
    let changed = dispatcher.take_changed_loads(now);
    assert!(changed[0].pending_tokens > 0, "{changed:?}");
    dispatcher.record_success(now, after.attempt);
    assert_eq!(running(&dispatcher, now, "m0"), 0);
}

/// Guards against a load that the home keeps of a process whose entry was removed first.
#[test]
fn a_load_of_a_removed_process_is_reported_as_ended() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, 0);
    dispatcher.dispatch(now, &long_call(1, 1), &[]).unwrap();
    dispatcher.take_changed_loads(now);
    dispatcher.remove_server(now, &server_name("m0"), None);
    assert!(dispatcher.take_changed_loads(now).is_empty());
    dispatcher.add_server(now, restarted("m0", MODELS));
    let changed = dispatcher.take_changed_loads(now);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].running, 0);
}

/// Guards against an ejection or pause of the new process for faults of the one before,
/// whose connections break after the new one is listed.
#[test]
fn a_new_process_has_none_of_the_faults_of_the_one_before() {
    for fault in [
        Fault::Broken,
        Fault::Unreachable,
        Fault::Silent,
        Fault::Full,
    ] {
        let now = Instant::now();
        let mut dispatcher = dispatcher(0, 1);
        let place = |_| dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
        let before: Vec<_> = (0..6).map(place).collect();
        dispatcher.add_server(now, restarted("d0", DESK));
        for placement in before {
            assert!(!dispatcher.record_failure(now, placement.attempt, fault));
        }
        let is_healthy = dispatcher.servers(now).all(|(_, _, is_healthy)| is_healthy);
        assert!(is_healthy, "{fault:?}");
    }
}

/// Guards against response times of the process before, which made the new one seem slow.
#[test]
fn a_new_process_has_none_of_the_response_times_of_the_one_before() {
    let expected_after = |ends_late: bool| {
        let now = Instant::now();
        let mut dispatcher = dispatcher(1, 0);
        let place = |index| dispatcher.dispatch(now, &long_call(1, index), &[]).unwrap();
        let before: Vec<_> = (0..3).map(place).collect();
        dispatcher.add_server(now, restarted("m0", MODELS));
        let late = now + Duration::from_secs(4);
        if ends_late {
            for placement in before {
                dispatcher.record_success(late, placement.attempt);
            }
        }
        let next = dispatcher.dispatch(late, &long_call(1, 9), &[]).unwrap();
        next.expected_latency
    };
    assert_eq!(expected_after(true), expected_after(false));
}

/// Guards against statements of the process before that are taken for the new one's, such as
/// that it leaves, after which the new one would get no calls for good.
#[test]
fn only_the_listed_process_speaks_for_its_server() {
    let mut dispatcher = dispatcher(0, 1);
    let before = instance("d0", DESK, 6);
    assert!(dispatcher.is_listed(&before));
    dispatcher.add_server(Instant::now(), restarted("d0", DESK));
    assert!(!dispatcher.is_listed(&before));
    assert!(dispatcher.is_listed(&restarted("d0", DESK)));
    let unknown = Instance {
        id: ServerName::new("unknown"),
        ..before
    };
    assert!(!dispatcher.is_listed(&unknown));
}

/// Guards against a limit that outlives the process that named it, at this node or through
/// peers that pass it on for up to a minute.
#[test]
fn a_limit_ends_with_the_process_that_named_it() {
    let now = Instant::now();
    let (mut limits, mut peer) = (ServerLimits::default(), ServerLimits::default());
    assert!(!limits.record_process(now, 7, 1));
    limits.record(now, 7, Some(0.1));
    let before = limits.statements(now);
    assert!(!limits.record_process(now, 7, 1), "same process");
    assert_eq!(limits.rate_per_s(now, 7), Some(0.1));

    let later = now + Duration::from_secs(2);
    assert!(limits.record_process(later, 7, 2));
    assert_eq!(limits.rate_per_s(later, 7), None);
    // A peer that has not read the new entry yet passes the former limit on.
    peer.receive(now, &before);
    assert!(!limits.receive(later, &peer.statements(later)));
    assert_eq!(limits.rate_per_s(later, 7), None);
}

/// Guards against the loss of a new process's limit: other nodes may have read its entry, and
/// have been told its limit, a few heartbeats before this node reads the entry.
#[test]
fn a_limit_of_the_new_process_is_kept_though_peers_hear_it_first() {
    let now = Instant::now();
    let (mut limits, mut peer) = (ServerLimits::default(), ServerLimits::default());
    limits.record_process(now, 7, 1);
    let later = now + Duration::from_secs(2);
    peer.record(later, 7, Some(3.0));
    let read_at = later + Duration::from_millis(200);
    assert!(limits.receive(read_at, &peer.statements(read_at)));
    limits.record_process(read_at, 7, 2);
    assert_eq!(limits.rate_per_s(read_at, 7), Some(3.0));
    // A node that starts takes over what its peers know.
    let mut started = ServerLimits::default();
    let much_later = later + Duration::from_secs(5);
    started.record_process(much_later, 7, 2);
    assert!(started.receive(much_later, &peer.statements(much_later)));
}
