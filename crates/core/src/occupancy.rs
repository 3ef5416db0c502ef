//! What the connections of callers hold of a node, and which of them give way when it is full.
//!
//! Each connection holds a place, and bytes of requests and of answers. While it waits for
//! its caller, it may have to give way to others; while it waits for the node, it may not.
//! Of those that may, the one that has waited longest goes first: a caller that sends or
//! reads on, however slowly, is not the first to go.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use quick_error::quick_error;

/// Bytes that a connection may hold of the part that is kept from larger ones.
const SMALL_BYTES_MAX: usize = 64 << 10;

/// Part of the bytes that connections with more than [`SMALL_BYTES_MAX`] may fill.
const LARGE_RATIO: (usize, usize) = (3, 4);

quick_error! {
    /// Nobody gives way to a connection that needs more.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Full {
        /// All places are taken.
        Places { display("all connections are in use") }
        /// All bytes are taken.
        Bytes { display("calls in flight take all memory for them") }
        /// The connection itself has had to give way.
        GaveWay { display("connection gave way to others") }
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Heads and bodies of requests.
    Request,
    /// Answers that are buffered.
    Answer,
}

/// Amount of bytes for each purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Bytes of heads and bodies of requests.
    pub requests: usize,
    /// Bytes of answers.
    pub answers: usize,
}

impl Bytes {
    fn of(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Request => &mut self.requests,
            Purpose::Answer => &mut self.answers,
        }
    }

    fn get(mut self, purpose: Purpose) -> usize {
        *self.of(purpose)
    }

    fn take(&mut self, other: Self) {
        self.requests -= other.requests;
        self.answers -= other.answers;
    }
}

/// Number of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Bounds on what all connections hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of connections.
    pub connections_max: usize,
    /// Bytes that they hold.
    pub bytes_max: Bytes,
}

#[derive(Debug, Default)]
struct Entry {
    held: Bytes,
    /// Since when the connection may have to give way, `None` while it is at work.
    yields_from: Option<Instant>,
}

/// Connections and what they hold.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use briarbank_core::occupancy::{Bounds, Bytes, Full, Occupancy};
///
/// let bounds = Bounds { connections_max: 1, bytes_max: Bytes::default() };
/// let mut occupancy = Occupancy::new(bounds);
/// let now = Instant::now();
/// let (first, _) = occupancy.enter(now).unwrap();
/// let (_second, gave_way) = occupancy.enter(now).unwrap();
/// assert_eq!(gave_way, Some(first));
/// ```
#[derive(Debug)]
pub struct Occupancy {
    bounds: Bounds,
    entries: HashMap<ConnectionId, Entry>,
    /// Connections that may have to give way, in the order in which they do.
    yielding: BTreeSet<(Instant, ConnectionId)>,
    held: Bytes,
    next: u64,
}

impl Occupancy {
    /// Creates an occupancy without connections.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            yielding: BTreeSet::new(),
            held: Bytes::default(),
            next: 0,
        }
    }

    /// Replaces the bounds; what is held beyond lower ones stays until it is released.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns what all connections hold.
    #[must_use]
    pub fn held(&self) -> Bytes {
        self.held
    }

    /// Adds a connection that waits for its caller, and returns which one gives way to it.
    ///
    /// # Errors
    ///
    /// All connections are at work.
    pub fn enter(&mut self, now: Instant) -> Result<(ConnectionId, Option<ConnectionId>), Full> {
        let gives_way = if self.entries.len() >= self.bounds.connections_max {
            let first = self.yielding.first().copied();
            let first = first.filter(|(yields_from, _)| *yields_from <= now);
            let (_, first) = first.ok_or(Full::Places)?;
            self.leave(first);
            Some(first)
        } else {
            None
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        self.entries.insert(id, Entry::default());
        self.set_yield(id, Some(now));
        Ok((id, gives_way))
    }

    /// Removes a connection and what it holds.
    pub fn leave(&mut self, id: ConnectionId) {
        self.set_yield(id, None);
        if let Some(entry) = self.entries.remove(&id) {
            self.held.take(entry.held);
        }
    }

    /// Sets from when on a connection may have to give way, `None` while it is at work.
    pub fn set_yield(&mut self, id: ConnectionId, from: Option<Instant>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut entry.yields_from, from);
        if let Some(before) = before {
            self.yielding.remove(&(before, id));
        }
        if let Some(from) = from {
            self.yielding.insert((from, id));
        }
    }

    /// Adds bytes to what a connection holds, and returns which ones give way to it.
    ///
    /// A connection that alone holds bytes for that purpose gets all that it asks for: what a
    /// single caller may send is bounded by the limits on a request.
    ///
    /// # Errors
    ///
    /// Not enough would be free if all gave way that may have to; none does.
    pub fn grow(
        &mut self,
        now: Instant,
        id: ConnectionId,
        purpose: Purpose,
        bytes: usize,
    ) -> Result<Vec<ConnectionId>, Full> {
        let entry = self.entries.get(&id).ok_or(Full::GaveWay)?;
        let mut bytes_max = self.bounds.bytes_max.get(purpose);
        if entry.held.get(purpose) + bytes > SMALL_BYTES_MAX {
            bytes_max = bytes_max / LARGE_RATIO.1 * LARGE_RATIO.0;
        }
        let mut held = self.held.get(purpose) + bytes;
        let mut give_way = Vec::new();
        let yielding = self.yielding.iter().filter(|(_, other)| *other != id);
        for (_, other) in yielding.take_while(|(from, _)| *from <= now) {
            if held <= bytes_max {
                break;
            }
            let freed = self.entries.get(other).map_or(0, |e| e.held.get(purpose));
            if freed > 0 {
                held -= freed;
                give_way.push(*other);
            }
        }
        let others = held - bytes - entry.held.get(purpose);
        if held > bytes_max && others > 0 {
            return Err(Full::Bytes);
        }
        for other in &give_way {
            self.leave(*other);
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            *entry.held.of(purpose) += bytes;
            *self.held.of(purpose) += bytes;
        }
        Ok(give_way)
    }

    /// Removes the connection that waits longest of those that hold bytes for a purpose and may
    /// have to give way; returns it.
    pub fn relieve(&mut self, now: Instant, purpose: Purpose) -> Option<ConnectionId> {
        if self.held.get(purpose) == 0 {
            return None;
        }
        let mut yielding = self.yielding.iter().take_while(|(from, _)| *from <= now);
        let holds = |id| {
            self.entries
                .get(id)
                .is_some_and(|e| e.held.get(purpose) > 0)
        };
        let (_, id) = yielding.find(|(_, id)| holds(id)).copied()?;
        self.leave(id);
        Some(id)
    }

    /// Releases bytes that a connection holds.
    pub fn shrink(&mut self, id: ConnectionId, purpose: Purpose, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&id) {
            *entry.held.of(purpose) -= bytes;
            *self.held.of(purpose) -= bytes;
        }
    }
}
