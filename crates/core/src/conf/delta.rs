//! Differences between two documents.
//!
//! A document is split after each line and after each object in a list
//! (`},`). Pieces that the older document contains are copied from it, the
//! others are sent. Neither side parses the document.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a document built from a delta.
pub const DOCUMENT_BYTES_MAX: usize = 4 << 20;

/// One step in building the newer document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Copies a range of the older document.
    Copy {
        /// Start of the range.
        offset_bytes: u32,
        /// Length of the range.
        length_bytes: u32,
    },
    /// Inserts new bytes.
    Insert(Vec<u8>),
}

/// Difference between two documents, with a checksum of the result.
///
/// # Examples
///
/// ```
/// use briarbank_core::conf::Delta;
///
/// let old = br#"[{"name":"a"},{"name":"b"},{"name":"c"}]"#;
/// let new = br#"[{"name":"a"},{"name":"x"},{"name":"c"}]"#;
/// let delta = Delta::between(old, new);
/// assert_eq!(delta.apply(old).as_deref(), Some(&new[..]));
/// assert_eq!(delta.apply(b"[]"), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    edits: Vec<Edit>,
    checksum: u64,
}

impl Delta {
    /// Computes the delta that builds `new` from `old`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let mut known = HashMap::new();
        let mut offset = 0;
        for piece in pieces(old) {
            known.entry(piece).or_insert(offset);
            offset += piece.len();
        }
        let mut edits = Vec::new();
        for piece in pieces(new) {
            let next = continuation(&edits).filter(|at| old[*at..].starts_with(piece));
            match next.or_else(|| known.get(piece).copied()) {
                Some(at) => copy(&mut edits, at, piece.len()),
                None => insert(&mut edits, piece),
            }
        }
        Self {
            edits,
            checksum: xxh3_64(new),
        }
    }

    /// Builds the newer document, or returns `None` if `old` is not its base.
    #[must_use]
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::with_capacity(old.len().min(DOCUMENT_BYTES_MAX));
        for edit in &self.edits {
            let bytes = match edit {
                Edit::Insert(bytes) => bytes,
                Edit::Copy {
                    offset_bytes,
                    length_bytes,
                } => {
                    let start = *offset_bytes as usize;
                    old.get(start..start.checked_add(*length_bytes as usize)?)?
                }
            };
            if new.len() + bytes.len() > DOCUMENT_BYTES_MAX {
                return None;
            }
            new.extend_from_slice(bytes);
        }
        (xxh3_64(&new) == self.checksum).then_some(new)
    }

    /// Returns the approximate size of the encoded delta.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let edits = self.edits.iter().map(|edit| match edit {
            Edit::Copy { .. } => 11,
            Edit::Insert(bytes) => 4 + bytes.len(),
        });
        9 + edits.sum::<usize>()
    }
}

/// Splits a document after lines and after objects in lists.
fn pieces(document: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = document;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let end = rest
            .iter()
            .enumerate()
            .position(|(i, byte)| *byte == b'\n' || (*byte == b',' && i > 0 && rest[i - 1] == b'}'))
            .map_or(rest.len(), |i| i + 1);
        let (piece, tail) = rest.split_at(end);
        rest = tail;
        Some(piece)
    })
}

/// Returns the offset in the older document after the last copied range.
fn continuation(edits: &[Edit]) -> Option<usize> {
    edits.iter().rev().find_map(|edit| match edit {
        Edit::Copy {
            offset_bytes,
            length_bytes,
        } => Some((*offset_bytes + *length_bytes) as usize),
        Edit::Insert(_) => None,
    })
}

fn copy(edits: &mut Vec<Edit>, at: usize, length: usize) {
    if let Some(Edit::Copy {
        offset_bytes,
        length_bytes,
    }) = edits.last_mut()
        && (*offset_bytes + *length_bytes) as usize == at
    {
        *length_bytes += length as u32;
        return;
    }
    edits.push(Edit::Copy {
        offset_bytes: at as u32,
        length_bytes: length as u32,
    });
}

fn insert(edits: &mut Vec<Edit>, piece: &[u8]) {
    if let Some(Edit::Insert(bytes)) = edits.last_mut() {
        bytes.extend_from_slice(piece);
    } else {
        edits.push(Edit::Insert(piece.to_vec()));
    }
}
