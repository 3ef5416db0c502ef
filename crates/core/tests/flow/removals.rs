//! Ages of removals that nodes pass on to each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{RemovalLog, RemovalRecord};

fn key() -> Arc<str> {
    "entries/a".into()
}

/// Guards against use of a server beyond its bound at nodes that hear of its end late.
///
/// The news passes through two nodes, which take 400 and 300 ms.
#[test]
fn a_removal_keeps_its_age_through_peers() {
    let read_at = Instant::now();
    let record = RemovalRecord {
        read_at,
        may_have_lapsed: true,
    };
    let (mut first, mut second) = (RemovalLog::default(), RemovalLog::default());
    first.record(&key(), record);
    let passed_at = read_at + Duration::from_millis(400);
    for note in first.notes(passed_at) {
        second.record(&note.key, note.to_record(passed_at));
    }
    let arrived_at = read_at + Duration::from_millis(700);
    let notes = second.notes(arrived_at);
    let record = notes.first().map(|note| note.to_record(arrived_at));
    assert_eq!(record.map(|r| r.may_have_lapsed), Some(true));
    assert_eq!(record.map(|r| r.read_at), Some(read_at));
}

#[test]
fn a_key_that_has_a_value_again_is_forgotten() {
    let mut log = RemovalLog::default();
    let record = RemovalRecord {
        read_at: Instant::now(),
        may_have_lapsed: false,
    };
    log.record(&key(), record);
    assert_eq!(log.get("entries/a"), Some(record));
    log.forget("entries/a");
    assert_eq!(log.get("entries/a"), None);
}

/// Any number of removals takes bounded memory, and old ones are dropped.
#[test]
fn old_and_excess_removals_are_dropped() {
    let now = Instant::now();
    let mut log = RemovalLog::default();
    for index in 0..10_000 {
        let record = RemovalRecord {
            read_at: now,
            may_have_lapsed: false,
        };
        log.record(&format!("entries/{index}").into(), record);
    }
    assert!(log.notes(now).len() <= 4_096);
    assert!(log.notes(now + Duration::from_mins(2)).is_empty());
}
