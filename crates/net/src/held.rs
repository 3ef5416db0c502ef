//! Bytes of a request or an answer while a node holds them.

use std::sync::Arc;

use briarbank_core::occupancy::{Full, Purpose};
use bytes::Bytes;

use crate::admission::{Place, Reservation};

/// Sizes of the first and of the largest piece.
///
/// A body grows piece by piece, as one that is copied to a larger buffer exists twice.
const PIECE_BYTES: (usize, usize) = (1 << 10, 64 << 10);

/// Collects bytes in pieces that are reserved before they are filled.
#[derive(Debug)]
pub struct Collector {
    pieces: Vec<Vec<u8>>,
    length: usize,
    /// Length by the sender's word, if it gave one.
    expected: Option<usize>,
    reservation: Reservation,
}

impl Collector {
    /// Creates a collector of `expected` bytes, if that is known.
    #[must_use]
    pub fn new(place: &Arc<Place>, purpose: Purpose, expected: Option<usize>) -> Self {
        Self {
            pieces: Vec::new(),
            length: 0,
            expected,
            reservation: Reservation::new(place, purpose),
        }
    }

    /// Returns the number of collected bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length
    }

    /// Copies bytes, so that the buffer in which they were received is free again.
    ///
    /// # Errors
    ///
    /// There is no room for them.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), Full> {
        while !bytes.is_empty() {
            let room = self.pieces.last().map_or(0, |p| p.capacity() - p.len());
            if room == 0 {
                self.add_piece(bytes.len())?;
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(piece) = self.pieces.last_mut() {
                piece.extend_from_slice(now);
            }
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    fn add_piece(&mut self, needed: usize) -> Result<(), Full> {
        let (min, max) = PIECE_BYTES;
        let usual = self.length.clamp(min, max).max(needed.min(max));
        let capacity = match self.expected {
            Some(expected) if expected > self.length => usual.min(expected - self.length),
            _ => usual,
        };
        self.reservation.grow(capacity)?;
        self.pieces.push(Vec::with_capacity(capacity));
        Ok(())
    }

    /// Returns the collected bytes.
    #[must_use]
    pub fn finish(self) -> HeldBytes {
        HeldBytes {
            pieces: self.pieces.into_iter().map(Bytes::from).collect(),
            length: self.length,
            reservation: Some(self.reservation),
        }
    }
}

/// Bytes in pieces, which count as held until dropped.
#[derive(Debug, Default)]
pub struct HeldBytes {
    pieces: Vec<Bytes>,
    length: usize,
    reservation: Option<Reservation>,
}

/// Joined bytes, and what counts them.
struct Joined(
    Bytes,
    #[expect(dead_code, reason = "released when dropped")] HeldBytes,
);

impl AsRef<[u8]> for Joined {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Bytes> for HeldBytes {
    /// Takes bytes that nobody counts.
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            pieces: vec![bytes],
            reservation: None,
        }
    }
}

impl HeldBytes {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Joins the pieces; what is returned counts as held until the last copy is dropped.
    ///
    /// # Errors
    ///
    /// There is no room for the bytes twice, which they take while they are copied.
    pub fn into_bytes(mut self) -> Result<Bytes, Full> {
        if let [piece] = self.pieces.as_slice() {
            let piece = piece.clone();
            return Ok(Bytes::from_owner(Joined(piece, self)));
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.grow(self.length)?;
        }
        let joined = Bytes::from(self.pieces.concat());
        self.pieces.clear();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.length);
        }
        Ok(Bytes::from_owner(Joined(joined, self)))
    }

    /// Returns the pieces in order.
    #[must_use]
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }
}
