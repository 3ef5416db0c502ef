//! Connections of callers, which give way to others when the node is full.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use briarbank_core::occupancy::{Bounds, Bytes, ConnectionId, Full, Occupancy, Purpose};
use tokio_util::sync::CancellationToken;

/// Numbers of an [`Admission`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Connections that are open.
    pub connections: usize,
    /// Bytes that they hold.
    pub held: Bytes,
    /// Connections that had to give way since the start.
    pub gave_way: u64,
    /// Connections, and parts of requests and answers, for which there was no room.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    occupancy: Occupancy,
    /// Tells connections that they have to give way.
    tokens: HashMap<ConnectionId, CancellationToken>,
    gave_way: u64,
    refused: u64,
}

impl State {
    fn give_way(&mut self, ids: impl IntoIterator<Item = ConnectionId>) {
        for id in ids {
            self.gave_way += 1;
            if let Some(token) = self.tokens.remove(&id) {
                token.cancel();
            }
        }
    }
}

/// Bounds what all connections of a port hold together.
#[derive(Clone, Debug)]
pub struct Admission {
    state: Arc<Mutex<State>>,
}

impl Admission {
    /// Creates an admission without connections.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        let state = State {
            occupancy: Occupancy::new(bounds),
            tokens: HashMap::new(),
            gave_way: 0,
            refused: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Creates an admission of connections that hold no bytes beyond their buffers.
    #[must_use]
    pub fn of_connections(connections_max: usize) -> Self {
        Self::new(Bounds {
            connections_max,
            bytes_max: Bytes::default(),
        })
    }

    /// Replaces the bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.lock().occupancy.set_bounds(bounds);
    }

    /// Admits a connection that waits for its caller; another one may have to give way.
    ///
    /// # Errors
    ///
    /// All connections are at work.
    pub fn enter(&self) -> Result<Arc<Place>, Full> {
        let mut state = self.lock();
        let entered = state.occupancy.enter(Instant::now());
        let (id, gives_way) = entered.inspect_err(|_full| state.refused += 1)?;
        state.give_way(gives_way);
        let token = CancellationToken::new();
        state.tokens.insert(id, token.clone());
        drop(state);
        Ok(Arc::new(Place {
            admission: self.clone(),
            id,
            token,
        }))
    }

    /// Makes the connection give way that has gone longest without reading its answer, if any
    /// may have to.
    pub fn relieve(&self) {
        let mut state = self.lock();
        let relieved = state.occupancy.relieve(Instant::now(), Purpose::Answer);
        state.give_way(relieved);
    }

    /// Returns the present numbers.
    #[must_use]
    pub fn counts(&self) -> AdmissionCounts {
        let state = self.lock();
        AdmissionCounts {
            connections: state.occupancy.connections(),
            held: state.occupancy.held(),
            gave_way: state.gave_way,
            refused: state.refused,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent between any two calls.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of a connection, free again when dropped.
#[derive(Debug)]
pub struct Place {
    admission: Admission,
    id: ConnectionId,
    token: CancellationToken,
}

impl Place {
    /// Lets the connection give way to others from that time on.
    pub fn yield_from(&self, from: Instant) {
        self.set_yield(Some(from));
    }

    /// Keeps the connection from having to give way.
    pub fn work(&self) {
        self.set_yield(None);
    }

    fn set_yield(&self, from: Option<Instant>) {
        self.admission.lock().occupancy.set_yield(self.id, from);
    }

    /// Completes when the connection has to give way.
    pub async fn gave_way(&self) {
        self.token.cancelled().await;
    }

    /// Returns whether the connection has had to give way.
    #[must_use]
    pub fn has_given_way(&self) -> bool {
        self.token.is_cancelled()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.occupancy.leave(self.id);
        state.tokens.remove(&self.id);
    }
}

/// Least number of bytes that are reserved for a buffer that grows.
const BUFFER_BYTES_MIN: usize = 1 << 10;

/// Bytes that a connection holds, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    place: Arc<Place>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    #[must_use]
    pub fn new(place: &Arc<Place>, purpose: Purpose) -> Self {
        Self {
            place: Arc::clone(place),
            purpose,
            bytes: 0,
        }
    }

    /// Adds bytes; other connections may have to give way.
    ///
    /// # Errors
    ///
    /// There is no room, or the connection itself has had to give way.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let (id, now) = (self.place.id, Instant::now());
        let mut state = self.place.admission.lock();
        let grown = state.occupancy.grow(now, id, self.purpose, bytes);
        let give_way = grown.inspect_err(|_full| state.refused += 1)?;
        state.give_way(give_way);
        self.bytes += bytes;
        Ok(())
    }

    /// Grows to a buffer of that length, whose capacity doubles.
    ///
    /// # Errors
    ///
    /// As [`Self::grow`].
    pub fn grow_to(&mut self, length: usize) -> Result<(), Full> {
        if length <= self.bytes {
            return Ok(());
        }
        let capacity = length.next_power_of_two().max(BUFFER_BYTES_MIN);
        self.grow(capacity - self.bytes)
    }

    /// Returns whether nothing is reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Releases bytes beyond these.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        let mut state = self.place.admission.lock();
        state
            .occupancy
            .shrink(self.place.id, self.purpose, released);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
