//! Rendezvous (highest random weight) hashing.
//!
//! Every process that knows the same names computes the same order, and a name that
//! is added or removed moves only the keys that it gains or loses.
//! Source: Thaler and Ravishankar, "Using name-based mappings to increase
//! hit rates", 1998.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Returns the weight of `name` for `key`; the highest weight wins.
#[must_use]
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the weight for `key` of the name whose [`key`] is `name_key`.
///
/// The order differs from that of [`weight`], but is the same in all processes.
#[must_use]
pub fn weight_of(key: u64, name_key: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (key ^ name_key.rotate_left(32)).wrapping_mul(MULTIPLIER);
    let mixed = (mixed ^ (mixed >> 29) ^ name_key).wrapping_mul(MULTIPLIER);
    mixed ^ (mixed >> 32)
}

/// Hashes bytes to a key.
#[must_use]
pub fn key(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Hashes bytes in several parts to the [`key`] of all of them together.
#[must_use]
pub fn key_of_parts(parts: &[impl AsRef<[u8]>]) -> u64 {
    if let [part] = parts {
        return key(part.as_ref());
    }
    let mut hasher = Xxh3::with_seed(0);
    for part in parts {
        hasher.update(part.as_ref());
    }
    hasher.digest()
}

/// Returns the item with the highest weight for `key`, or `None` without items.
///
/// # Examples
///
/// ```
/// use briarbank_core::rendezvous;
///
/// let names = ["a", "b", "c"];
/// let all = rendezvous::first(7, names.iter(), |n| n).unwrap();
/// let rest = names.iter().filter(|n| *n != all);
/// assert_ne!(rendezvous::first(7, rest, |n| n), Some(all));
/// ```
pub fn first<T>(key: u64, items: impl Iterator<Item = T>, name: impl Fn(&T) -> &str) -> Option<T> {
    items.max_by_key(|item| weight(key, name(item)))
}

/// Returns the `count` items with the highest weights for `key`, highest first.
pub fn top<T>(
    key: u64,
    items: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<T> {
    let mut weighted: Vec<(u64, T)> = items.map(|item| (weight(key, name(&item)), item)).collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted
        .into_iter()
        .take(count)
        .map(|(_, item)| item)
        .collect()
}
