//! How old a node's values may be, by answers of the store and by peers.

use std::time::{Duration, Instant};

use briarbank_core::flow::{Staleness, StalenessStatement};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against values that count as new at a node whose peers know no better.
#[test]
fn a_statement_of_unknown_age_proves_nothing() {
    let now = Instant::now();
    let mut staleness = Staleness::default();
    let unknown = Staleness::default().statement(now);
    staleness.receive(now, &unknown, true);
    assert_eq!(staleness.age(now), None);
    assert!(staleness.is_beyond(now, 60 * SECOND));
}

/// Guards against values that count as new since a peer has newer ones.
#[test]
fn a_peer_with_other_values_proves_nothing() {
    let now = Instant::now();
    let mut peer = Staleness::default();
    peer.record_complete(now);
    let mut staleness = Staleness::default();
    staleness.receive(now, &peer.statement(now), false);
    assert_eq!(staleness.age(now), None);
    staleness.receive(now, &peer.statement(now), true);
    assert_eq!(staleness.age(now), Some(Duration::ZERO));
}

/// Guards against an age that shrinks on its way through the fleet.
#[test]
fn stated_ages_are_never_too_small() {
    let start = Instant::now();
    let mut first = Staleness::default();
    first.record_complete(start);
    for age_ms in [0, 1, 9, 10, 11, 994, 1_495, 2_540, 2_541, 9_000] {
        let now = start + Duration::from_millis(age_ms);
        let mut second = Staleness::default();
        second.receive(now, &first.statement(now), true);
        let age = second.age(now);
        assert!(age.is_none_or(|age| age >= now - start), "{age_ms} {age:?}");
        assert_eq!(age.is_some(), age_ms <= 2_540, "{age_ms}");
    }
}

/// Guards against a whole fleet that reads the store at once while a large configuration is
/// on its way to the first nodes, and against a wait for a transfer that never ends.
#[test]
fn a_transfer_takes_the_place_of_its_result_for_a_bounded_time() {
    let start = Instant::now();
    let mut staleness = Staleness::default();
    staleness.record_complete(start);
    let stated = StalenessStatement {
        age_cs: u8::MAX,
        transfer_age_cs: 0,
    };
    let mut now = start;
    while now < start + 20 * SECOND {
        staleness.receive(now, &stated, false);
        let is_beyond = staleness.is_beyond(now, 2 * SECOND);
        assert_eq!(is_beyond, now >= start + 12 * SECOND, "{:?}", now - start);
        now += SECOND / 10;
    }
}
