//! Copies of the published values agree, whatever way changes come.

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

/// A history: at each revision a key is written or removed.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0_u8..6, prop::bool::weighted(0.7)), 1..60)
}

/// What the store holds after the first `at` steps.
fn store(history: &[(u8, bool)], at: usize) -> BTreeMap<u8, u64> {
    let mut held = BTreeMap::new();
    for (index, (key, is_write)) in history.iter().take(at).enumerate() {
        if *is_write {
            held.insert(*key, index as u64 + 1);
        } else {
            held.remove(key);
        }
    }
    held
}

fn step(history: &[(u8, bool)], index: usize) -> Delta {
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

fn whole(history: &[(u8, bool)], at: usize) -> Delta {
    let held = store(history, at);
    Delta {
        revision: at as u64,
        is_whole: true,
        changes: held.iter().map(|(k, r)| change(*k, *r)).collect(),
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

    /// Watching, reading anew at any point, and asking peers all end alike.
    #[test]
    fn all_ways_agree(history in history(), reads in prop::collection::vec(any::<prop::sample::Index>(), 0..4)) {
        let mut watcher = Mirror::default();
        let mut lagging = Mirror::default();
        let reads: Vec<usize> = reads.iter().map(|r| r.index(history.len())).collect();
        for index in 0..history.len() {
            watcher.apply(&step(&history, index));
            if reads.contains(&index) {
                lagging.apply(&whole(&history, index + 1));
                prop_assert_eq!(contents(&lagging), contents(&watcher));
            }
        }
        lagging.apply(&watcher.changes_since(lagging.revision()));
        prop_assert_eq!(contents(&lagging), contents(&watcher));
        prop_assert_eq!(lagging.revision(), watcher.revision());
    }

    /// A stale read or an old delta changes nothing.
    #[test]
    fn never_goes_back(history in history(), old in any::<prop::sample::Index>()) {
        let mut mirror = Mirror::default();
        for index in 0..history.len() {
            mirror.apply(&step(&history, index));
        }
        let before = contents(&mirror);
        let old = old.index(history.len());
        let changed = mirror.apply(&step(&history, old));
        prop_assert!(changed.is_empty());
        let stale = Mirror::default();
        mirror.apply(&stale.changes_since(0));
        mirror.apply(&Delta { is_whole: false, ..whole(&history, old) });
        prop_assert_eq!(contents(&mirror), before);
    }
}
