//! Revisions of a store that may lose its last changes.
//!
//! A store that comes back from an earlier copy counts its revisions from there again.
//! It tells how often this has happened. With that number, its era, in front of the
//! revision, later changes have higher revisions throughout.

/// Bits of the store's own revision.
const REVISION_BITS: u32 = 48;

/// Highest era that can be represented; higher ones are clamped.
const ERA_MAX: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;
/// Highest revision that can be represented; higher ones are clamped.
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

/// Returns a revision that orders a store's own revisions by era first.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{era_of, revision_in_era, stored_revision};
///
/// let (before, after) = (revision_in_era(1, 90), revision_in_era(2, 70));
/// assert!(before < after);
/// assert_eq!((era_of(after), stored_revision(after)), (2, 70));
/// ```
#[must_use]
pub fn revision_in_era(era: u64, stored_revision: u64) -> u64 {
    (era.min(ERA_MAX) << REVISION_BITS) | stored_revision.min(REVISION_MAX)
}

/// Returns the era of a revision.
#[must_use]
pub fn era_of(revision: u64) -> u64 {
    revision >> REVISION_BITS
}

/// Returns the store's own revision.
#[must_use]
pub fn stored_revision(revision: u64) -> u64 {
    revision & REVISION_MAX
}
