//! Mirrors converge, whatever the source and order of changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarbank_core::flow::{Change, Delta, Mirror, Removal};
use proptest::prelude::*;

fn change(key: u8, revision: u64) -> Change {
    Change {
        key: Arc::from(format!("k{key}")),
        revision,
        value: revision.to_le_bytes().as_slice().into(),
    }
}

/// Guards against needless work: a long list of changes had each value decoded once for
/// every change of it.
#[test]
fn a_key_that_changed_twice_is_reported_once() {
    let mut mirror = Mirror::default();
    let delta = Delta {
        revision: 3,
        changes: vec![change(1, 1), change(2, 2), change(1, 3)],
        ..Delta::default()
    };
    let changed: Vec<Arc<str>> = mirror.apply(&delta).into_iter().collect();
    assert_eq!(changed, ["k1".into(), "k2".into()]);
    assert_eq!(mirror.get("k1"), Some(&change(1, 3)));
}

/// Guards against calls to servers that have left: a node that had just started knew of no
/// removals from before, and told a peer that lagged of none.
#[test]
fn a_node_that_has_just_started_passes_on_earlier_removals() {
    let whole = |revision, changes| Delta {
        revision,
        is_whole: true,
        changes,
        removals: Vec::new(),
    };
    let (mut lagging, mut started) = (Mirror::default(), Mirror::default());
    lagging.apply(&whole(2, vec![change(1, 1), change(2, 2)]));
    started.apply(&whole(5, vec![change(2, 2)]));
    lagging.apply(&started.changes_since(lagging.revision()));
    assert_eq!(lagging.get("k1"), None);
    assert_eq!(lagging.get("k2"), Some(&change(2, 2)));
    // An answer of the store from before the removal arrives late.
    started.apply(&whole(2, vec![change(1, 1), change(2, 2)]));
    assert_eq!(started.get("k1"), None);
}

/// Guards against a node that counts its view as incomplete since its start: at the start of a
/// fleet a peer sends what the store has sent already.
#[test]
fn a_list_that_is_no_newer_leaves_no_gap() {
    let whole = |revision, changes| Delta {
        revision,
        is_whole: true,
        changes,
        removals: Vec::new(),
    };
    let mut mirror = Mirror::default();
    let first = whole(5, vec![change(1, 1), change(2, 2)]);
    assert!(!first.leaves_gap(mirror.revision(), true, true));
    mirror.apply(&first);
    let again = mirror.clone().apply(&first);
    assert!(!first.leaves_gap(mirror.revision(), false, !again.is_empty()));
    assert!(whole(6, Vec::new()).leaves_gap(mirror.revision(), true, true));
    // An entry that was left out before.
    assert!(whole(5, vec![change(3, 3)]).leaves_gap(mirror.revision(), true, true));
    let step = Delta {
        revision: 6,
        changes: vec![change(1, 6)],
        ..Delta::default()
    };
    assert!(!step.leaves_gap(mirror.revision(), true, true));
    assert!(step.leaves_gap(mirror.revision(), false, true));
}

/// Generates a history that writes or removes a key at each revision.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0_u8..6, prop::bool::weighted(0.7)), 1..60)
}

/// Returns what the store holds after the first `steps` steps.
fn store_after(history: &[(u8, bool)], steps: usize) -> BTreeMap<u8, u64> {
    let mut values = BTreeMap::new();
    for (index, (key, is_write)) in history.iter().take(steps).enumerate() {
        if *is_write {
            values.insert(*key, index as u64 + 1);
        } else {
            values.remove(key);
        }
    }
    values
}

fn step_delta(history: &[(u8, bool)], index: usize) -> Delta {
    let (key, is_write) = history[index];
    let revision = index as u64 + 1;
    let mut delta = Delta {
        revision,
        ..Delta::default()
    };
    if is_write {
        delta.changes.push(change(key, revision));
    } else {
        let key = Arc::from(format!("k{key}"));
        delta.removals.push(Removal { key, revision });
    }
    delta
}

fn whole_delta(history: &[(u8, bool)], steps: usize) -> Delta {
    let values = store_after(history, steps);
    Delta {
        revision: steps as u64,
        is_whole: true,
        changes: values.iter().map(|(k, r)| change(*k, *r)).collect(),
        removals: Vec::new(),
    }
}

fn contents(mirror: &Mirror) -> Vec<(String, u64)> {
    mirror
        .items()
        .map(|c| (c.key.to_string(), c.revision))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::with_cases(2_000) })]

    /// Watching the store, reading it at any point and fetching from peers converge.
    #[test]
    fn all_sources_converge(history in history(), reads in prop::collection::vec(any::<prop::sample::Index>(), 0..4)) {
        let mut watcher = Mirror::default();
        let mut lagging = Mirror::default();
        let reads: Vec<usize> = reads.iter().map(|r| r.index(history.len())).collect();
        for index in 0..history.len() {
            watcher.apply(&step_delta(&history, index));
            if reads.contains(&index) {
                lagging.apply(&whole_delta(&history, index + 1));
                prop_assert_eq!(contents(&lagging), contents(&watcher));
            }
        }
        lagging.apply(&watcher.changes_since(lagging.revision()));
        prop_assert_eq!(contents(&lagging), contents(&watcher));
        prop_assert_eq!(lagging.revision(), watcher.revision());
    }

    /// A stale read or an old delta changes nothing.
    #[test]
    fn stale_deltas_are_ignored(history in history(), old in any::<prop::sample::Index>()) {
        let mut mirror = Mirror::default();
        for index in 0..history.len() {
            mirror.apply(&step_delta(&history, index));
        }
        let before = contents(&mirror);
        let old = old.index(history.len());
        let changed = mirror.apply(&step_delta(&history, old));
        prop_assert!(changed.is_empty());
        let stale = Mirror::default();
        mirror.apply(&stale.changes_since(0));
        mirror.apply(&Delta { is_whole: false, ..whole_delta(&history, old) });
        prop_assert_eq!(contents(&mirror), before);
    }
}
