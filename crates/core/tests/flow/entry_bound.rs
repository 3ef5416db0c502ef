//! Which entries nodes keep when others write more than there is room for.

use std::collections::BTreeSet;
use std::sync::Arc;

use briarbank_core::flow::{
    Change, Delta, ENTRIES_BYTES_MAX, ENTRY_BYTES_MAX, EntryBound, Mirror, ValueKind, Values,
};
use proptest::prelude::*;

/// Entries of which about two thirds fit.
const ENTRIES: u64 = 8_000;

fn entry(index: u64) -> Change {
    Change {
        key: Arc::from(format!("entry-{index:05}")),
        revision: index + 1,
        value: vec![0; ENTRY_BYTES_MAX].into(),
    }
}

fn index_of(key: &str) -> u64 {
    let index = key.trim_start_matches("entry-").parse();
    index.expect("keys end with the index")
}

/// Inserts entries in that order; returns the keys of those that are kept.
fn kept(order: &[u64], is_needed: impl Fn(u64) -> bool) -> BTreeSet<u64> {
    let (mut bound, mut kept) = (EntryBound::default(), BTreeSet::new());
    for &index in order {
        bound.insert(&entry(index), is_needed(index));
        kept.insert(index);
        for key in bound.evict() {
            kept.remove(&index_of(&key));
        }
        assert!(bound.bytes() <= ENTRIES_BYTES_MAX);
    }
    assert_eq!(bound.len(), kept.len());
    kept
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Guards against nodes that keep different entries by the order in which they read them,
    /// and against entries that calls need giving way to others.
    #[test]
    fn nodes_keep_the_same_entries_in_any_order(
        order in Just((0..ENTRIES).collect::<Vec<u64>>()).prop_shuffle(),
        needed_first in 0..ENTRIES,
        needed_count in 0_u64..4_000,
    ) {
        let needed = needed_first..(needed_first + needed_count).min(ENTRIES);
        let in_order: Vec<u64> = (0..ENTRIES).collect();
        let expected = kept(&in_order, |index| needed.contains(&index));
        prop_assert!(needed.clone().all(|index| expected.contains(&index)));
        prop_assert_eq!(kept(&order, |index| needed.contains(&index)), expected);
    }
}

/// Guards against servers of a long flood that take the places of those that serve calls.
#[test]
fn an_entry_that_changes_keeps_its_place() {
    let mut bound = EntryBound::default();
    for index in 0..ENTRIES {
        bound.insert(&entry(index), true);
    }
    assert!(!bound.evict().is_empty());
    let changed = Change {
        revision: ENTRIES + 1,
        ..entry(0)
    };
    bound.insert(&changed, true);
    bound.insert(&entry(ENTRIES + 2), true);
    assert!(bound.evict().iter().all(|key| *key != changed.key));
}

/// Guards against a fleet that counts as complete although it lacks servers.
#[test]
fn a_bound_tells_whether_needed_entries_may_be_missing() {
    let mut bound = EntryBound::default();
    for index in 0..ENTRIES {
        bound.insert(&entry(index), index % 2 == 0);
    }
    bound.evict();
    assert!(!bound.is_complete() && !bound.may_lack_needed());
    bound.set_needed(|_| true);
    assert!(bound.may_lack_needed());
    for index in 0..ENTRIES {
        bound.forget(&entry(index).key);
    }
    assert!(bound.has_room_again());
    bound.record_whole();
    assert!(bound.is_complete() && !bound.has_room_again());
}

fn whole(revision: u64, changes: Vec<Change>) -> Delta {
    Delta {
        revision,
        is_whole: true,
        changes,
        removals: Vec::new(),
    }
}

/// Guards against entries that stay unknown at peers after one node has read them again: they
/// are older than what the peers have.
#[test]
fn an_entry_that_was_left_out_reaches_peers_again() {
    let all = || whole(9, vec![entry(1), entry(2)]);
    let (mut reader, mut peer) = (Values::default(), Values::default());
    for values in [&mut reader, &mut peer] {
        values.apply_kind(ValueKind::Entry, &all());
        values.leave_out(&entry(2).key);
    }
    reader.apply_kind(ValueKind::Entry, &whole(12, vec![entry(1), entry(2)]));
    let known = peer.mirror(ValueKind::Entry).revision();
    assert!(reader.mirror(ValueKind::Entry).changed_revision() > known);
    let delta = reader.changes_since(ValueKind::Entry, known);
    let changed = peer.apply_kind(ValueKind::Entry, &delta);
    assert!(changed.contains(&entry(2).key));
}

/// Guards against servers that have left and come back with an older list.
#[test]
fn an_older_list_brings_no_entry_back() {
    let mut mirror = Mirror::default();
    mirror.apply(&whole(9, vec![entry(1), entry(2)]));
    mirror.apply(&whole(12, vec![entry(1)]));
    mirror.apply(&whole(11, vec![entry(1), entry(2)]));
    assert!(mirror.get(&entry(2).key).is_none());
}
