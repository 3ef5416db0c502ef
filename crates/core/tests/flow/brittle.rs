//! Servers that fall over when they have to reject too many calls.

use std::time::{Duration, Instant};

use briarbank_core::flow::{BrittleServers, Refusal};

use crate::fleet::{dispatcher, plain_call, server_name};
use crate::limits::views;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against nodes that together send a server more than it runs, and against slots that
/// no node may use.
#[test]
fn parts_of_the_slots_add_up_to_them() {
    let now = Instant::now();
    for nodes in [1, 5, 8, 86, 390] {
        let views = views(now, nodes);
        for (server_key, slots) in [(7, 1), (8, 6), (9, 64), (10, 128), (11, 1_000)] {
            let parts = views.iter().map(|v| v.slot_share(now, server_key, slots));
            assert_eq!(parts.sum::<u32>(), slots, "{nodes} nodes, {slots} slots");
        }
    }
}

/// Guards against nodes that go on sending calls to a server that has just rejected another
/// node's call.
#[test]
fn a_rejection_pauses_a_brittle_server_at_all_nodes() {
    let now = Instant::now();
    let (mut first, mut second) = (BrittleServers::default(), BrittleServers::default());
    first.record(now, 7, Some(4));
    assert_eq!(first.record_rejection(now, 7), Some(SECOND));
    second.receive(now, &first.statements(now));
    assert_eq!(second.pauses(now), [(7, now + SECOND)].into());
    // What is passed on later does not make the pause longer.
    let later = now + SECOND / 2;
    second.receive(later, &first.statements(later));
    assert_eq!(second.pauses(later), [(7, now + SECOND)].into());
}

/// Guards against a server that is taken for brittle for good, and against statements of old
/// that peers pass on among themselves.
#[test]
fn a_statement_expires_at_all_nodes() {
    let start = Instant::now();
    let mut nodes = [BrittleServers::default(), BrittleServers::default()];
    nodes[0].record(start, 7, Some(4));
    let mut now = start;
    while now < start + 30 * SECOND {
        let statements = nodes[0].statements(now);
        nodes[1].receive(now, &statements);
        let statements = nodes[1].statements(now);
        nodes[0].receive(now, &statements);
        now += SECOND / 10;
    }
    assert!(nodes.iter().all(|node| node.pauses(now).is_empty()));
}

/// Guards against heartbeats that grow with the number of brittle servers.
#[test]
fn a_bounded_number_of_statements_is_passed_on() {
    let now = Instant::now();
    let mut brittle = BrittleServers::default();
    for server_key in 0..10_000 {
        brittle.record(now, server_key, Some(4));
    }
    brittle.record_rejection(now, 4_000);
    let statements = brittle.statements(now);
    assert_eq!(statements.len(), 16);
    assert_eq!(statements[0].server_key, 4_000);
    assert_eq!(brittle.pauses(now).len(), 4_096);
}

/// Guards against calls beyond a node's part of the slots, and against parts that stay when
/// the server is no longer brittle.
#[test]
fn a_node_keeps_to_its_part_of_the_slots() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(0, 1);
    let key = dispatcher.server_key(&server_name("d0")).unwrap();
    let pauses = [(key, now)].into();
    dispatcher.set_brittle(&pauses, |_, _| 2);
    for _ in 0..2 {
        dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
    }
    let refusal = dispatcher.dispatch(now, &plain_call(), &[]).unwrap_err();
    assert!(matches!(refusal, Refusal::Busy { .. }), "{refusal:?}");
    dispatcher.set_brittle(&[].into(), |_, _| 2);
    dispatcher.dispatch(now, &plain_call(), &[]).unwrap();
}
