//! Documents without the parts that their receiver has.
//!
//! A document is cut into chunks where its content says so, so that a change moves only
//! the cuts next to it. The receiver names the chunks of the version that it has by their
//! hashes, and the sender leaves those out. No sender keeps earlier versions.
//!
//! Source: Muthitacharoen, Chen and Mazières, "A low-bandwidth network file system", 2001;
//! cuts by Xia et al., "`FastCDC`", 2016.

use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::sync::Arc;

use fastcdc::v2020::FastCDC;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::flow::mirror::{Change, Delta, Mirror, Removal};

/// Least, mean and largest length of a chunk, in bytes.
const CHUNK_BYTES: (usize, usize, usize) = (512, 2_048, 8_192);

/// Chunks that a receiver may name.
pub const KNOWN_CHUNKS_MAX: usize = 16_384;

/// A document, with references to chunks that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedDocument {
    key: Arc<str>,
    revision: u64,
    pieces: Vec<Piece>,
    /// Hash of the whole document.
    hash: u128,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// A chunk that the receiver has, by its hash.
    Known(u64),
    Bytes(Vec<u8>),
}

/// Changes of documents, without the parts that their receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDelta {
    revision: u64,
    is_whole: bool,
    documents: Vec<PackedDocument>,
    removals: Vec<Removal>,
}

impl PackedDelta {
    /// Packs changes for a receiver that has the chunks in `known`.
    #[must_use]
    pub fn pack(delta: &Delta, known: &HashSet<u64>) -> Self {
        let documents = delta.changes.iter().map(|c| pack(c, known));
        Self {
            revision: delta.revision,
            is_whole: delta.is_whole,
            documents: documents.collect(),
            removals: delta.removals.clone(),
        }
    }

    /// Restores the changes; `None` if a chunk is missing or a document is damaged.
    #[must_use]
    pub fn unpack(self, known: &KnownChunks) -> Option<Delta> {
        let documents = self.documents.into_iter();
        let changes = documents.map(|document| unpack(document, known));
        Some(Delta {
            revision: self.revision,
            is_whole: self.is_whole,
            changes: changes.collect::<Option<_>>()?,
            removals: self.removals,
        })
    }
}

/// The chunks of the documents that a node has.
#[derive(Clone, Debug, Default)]
pub struct KnownChunks {
    documents: Vec<Arc<[u8]>>,
    /// Index of the document and place in it, by the hash of the chunk.
    places: HashMap<u64, (usize, Range<usize>)>,
}

impl KnownChunks {
    /// Cuts all values of a mirror.
    #[must_use]
    pub fn of(mirror: &Mirror) -> Self {
        let documents: Vec<Arc<[u8]>> = mirror.items().map(|c| Arc::clone(&c.value)).collect();
        let mut places = HashMap::new();
        for (index, document) in documents.iter().enumerate() {
            for range in cut(document) {
                if places.len() < KNOWN_CHUNKS_MAX {
                    places.insert(xxh3_64(&document[range.clone()]), (index, range));
                }
            }
        }
        Self { documents, places }
    }

    /// Returns the hashes of the chunks, sorted.
    #[must_use]
    pub fn hashes(&self) -> Vec<u64> {
        let mut hashes: Vec<u64> = self.places.keys().copied().collect();
        hashes.sort_unstable();
        hashes
    }

    fn get(&self, hash: u64) -> Option<&[u8]> {
        let (index, range) = self.places.get(&hash)?;
        self.documents.get(*index)?.get(range.clone())
    }
}

/// Returns the chunks of a document in order.
fn cut(document: &[u8]) -> impl Iterator<Item = Range<usize>> {
    let (least, mean, largest) = CHUNK_BYTES;
    let chunks = FastCDC::new(document, least, mean, largest);
    chunks.map(|chunk| chunk.offset..chunk.offset + chunk.length)
}

fn pack(change: &Change, known: &HashSet<u64>) -> PackedDocument {
    let document = &change.value;
    let mut pieces = Vec::new();
    if known.is_empty() {
        pieces.push(Piece::Bytes(document.to_vec()));
    } else {
        for range in cut(document) {
            let chunk = &document[range];
            let hash = xxh3_64(chunk);
            match pieces.last_mut() {
                _ if known.contains(&hash) => pieces.push(Piece::Known(hash)),
                Some(Piece::Bytes(bytes)) => bytes.extend_from_slice(chunk),
                _ => pieces.push(Piece::Bytes(chunk.to_vec())),
            }
        }
    }
    PackedDocument {
        key: Arc::clone(&change.key),
        revision: change.revision,
        pieces,
        hash: xxh3_128(document),
    }
}

fn unpack(document: PackedDocument, known: &KnownChunks) -> Option<Change> {
    let mut value = Vec::new();
    for piece in &document.pieces {
        match piece {
            Piece::Known(hash) => value.extend_from_slice(known.get(*hash)?),
            Piece::Bytes(bytes) => value.extend_from_slice(bytes),
        }
    }
    let is_sound = xxh3_128(&value) == document.hash;
    is_sound.then(|| Change {
        key: document.key,
        revision: document.revision,
        value: value.into(),
    })
}
