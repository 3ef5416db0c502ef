//! What a connection of a caller makes a node hold, and when it gives way.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briarbank_core::occupancy::Purpose;
use tokio::time::sleep_until;

use crate::admission::{Place, Reservation};
use crate::buffers::SERVER_BUFFER_BYTES;
use crate::head_limit::HEAD_BUFFER_BYTES;
use crate::head_scanner::HeadScanner;

/// Most bytes of one read.
///
/// The HTTP library doubles its buffer when a read fills it, and keeps it while the
/// connection is open.
pub(crate) const READ_BYTES: usize = 8 << 10;

/// Buffer that needs no reservation, as each connection may have one of that size.
const FREE_BYTES: usize = 2 * READ_BYTES;

/// Time for which an answer must be stuck before its connection has to give way.
///
/// Paths to callers may be cut for a moment.
const STUCK_GRACE: Duration = Duration::from_secs(2);

/// Memory that an answer takes beyond what is counted while its caller does not read.
///
/// What the connection has queued, what was read of the server's, and what the socket to the
/// server has received, [`SERVER_BUFFER_BYTES`] at most twice.
const STUCK_BYTES: usize = (64 << 10) + HEAD_BUFFER_BYTES + 2 * SERVER_BUFFER_BYTES;

/// Time for which a connection that was served may be idle before it has to give way.
const KEPT_GRACE: Duration = Duration::from_secs(1);

/// Time for which a body must stand still before its connection has to give way.
const STILL_GRACE: Duration = Duration::from_millis(250);

/// Content by which a body counts as going on.
const GAIN_BYTES: usize = 4 << 10;

/// Why a node closed a connection whose caller did not get an answer for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// A request's head took too long.
    SlowHead,
    /// There was no room for what was received.
    NoRoom,
    /// A body has too many bytes without content.
    Framing,
    /// Nothing of an answer was read.
    Unread,
}

impl Closed {
    fn as_str(self) -> &'static str {
        match self {
            Self::SlowHead => "slow head",
            Self::NoRoom => "no room",
            Self::Framing => "framing",
            Self::Unread => "unread answer",
        }
    }
}

impl From<Closed> for io::Error {
    fn from(closed: Closed) -> Self {
        let kind = match closed {
            Closed::SlowHead | Closed::Unread => io::ErrorKind::TimedOut,
            Closed::NoRoom => io::ErrorKind::OutOfMemory,
            Closed::Framing => io::ErrorKind::InvalidData,
        };
        Self::new(kind, closed.as_str())
    }
}

/// What a connection receives next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Expected {
    #[default]
    Head,
    /// The body, or nothing if the request has none.
    Body,
    /// Nothing until the request is answered.
    Nothing,
}

#[derive(Debug)]
struct State {
    expected: Expected,
    scanner: HeadScanner,
    /// Bytes of the body received since the last content, and their limit.
    framing_bytes: usize,
    framing_bytes_max: usize,
    /// Content since the body was last seen to go on.
    gained_bytes: usize,
    /// What the read buffer takes beyond [`FREE_BYTES`]; it is kept while the connection is.
    buffer: Reservation,
    buffer_bytes: usize,
    /// Since when nothing of an answer could be written, and what it holds meanwhile.
    stuck: Option<(Instant, Reservation)>,
    /// Whether a call is in flight whose answer was not handed to the connection.
    is_at_work: bool,
    closed: Option<Closed>,
}

/// What is received on a connection and sent on it, shared with the one who serves its calls.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    place: Arc<Place>,
    state: Arc<Mutex<State>>,
}

impl CallerConnection {
    /// Creates the state of a connection that expects its first head.
    ///
    /// A body may have `framing_bytes_max` bytes without content in between: what describes
    /// chunks, and trailers.
    #[must_use]
    pub fn new(place: Arc<Place>, framing_bytes_max: usize) -> Self {
        let state = State {
            expected: Expected::Head,
            scanner: HeadScanner::default(),
            framing_bytes: 0,
            framing_bytes_max,
            gained_bytes: 0,
            buffer: Reservation::new(&place, Purpose::Request),
            buffer_bytes: FREE_BYTES,
            stuck: None,
            is_at_work: false,
            closed: None,
        };
        Self {
            place,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the connection's place.
    #[must_use]
    pub fn place(&self) -> &Arc<Place> {
        &self.place
    }

    /// Records that a head has arrived.
    pub fn begin_call(&self) {
        let mut state = self.lock();
        state.is_at_work = true;
        // A head that came together with the request before it was not seen.
        state.expected = Expected::Body;
        state.framing_bytes = 0;
        self.place.work();
    }

    /// Returns whether the last head gave the length of the body in two ways.
    #[must_use]
    pub fn is_ambiguous(&self) -> bool {
        self.lock().scanner.is_ambiguous()
    }

    /// Records that the body of the call is waited for.
    pub fn expect_body(&self) {
        self.lock().gained_bytes = 0;
        self.place.yield_from(Instant::now() + STILL_GRACE);
    }

    /// Records content of a body.
    pub fn record_content(&self, bytes: usize) {
        let mut state = self.lock();
        state.framing_bytes = 0;
        state.gained_bytes += bytes;
        if state.gained_bytes >= GAIN_BYTES {
            state.gained_bytes = 0;
            self.place.yield_from(Instant::now() + STILL_GRACE);
        }
    }

    /// Records that the whole request has arrived.
    pub fn end_body(&self) {
        self.lock().expected = Expected::Nothing;
        self.place.work();
    }

    /// Treats the next bytes as the start of a new head.
    ///
    /// Bytes of a body that was not read are still part of it.
    pub fn expect_head(&self) {
        let mut state = self.lock();
        if state.expected == Expected::Nothing {
            state.expected = Expected::Head;
            state.scanner = HeadScanner::default();
        }
    }

    /// Records that the answer was handed to the connection or dropped.
    pub fn end_call(&self) {
        let mut state = self.lock();
        state.is_at_work = false;
        if state.stuck.is_none() {
            self.place.yield_from(Instant::now() + KEPT_GRACE);
        }
    }

    /// Returns whether a head is incomplete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        let state = self.lock();
        state.expected == Expected::Head && state.scanner.bytes() > 0
    }

    /// Completes when nothing of an answer could be written for as long as `stuck_max` says.
    pub async fn wait_until_stuck(&self, stuck_max: impl Fn() -> Duration) {
        loop {
            let since = self.lock().stuck.as_ref().map(|(since, _)| *since);
            let until = since.unwrap_or_else(Instant::now) + stuck_max();
            if since.is_some() && until <= Instant::now() {
                self.close(Closed::Unread);
                return;
            }
            sleep_until(until.into()).await;
        }
    }

    /// Returns whether the body of a call is being waited for.
    #[must_use]
    pub fn is_in_body(&self) -> bool {
        let state = self.lock();
        state.expected == Expected::Body && state.is_at_work
    }

    /// Returns why the node closed the connection as a word for metrics, `None` if it did not.
    #[must_use]
    pub fn end_reason(&self) -> Option<&'static str> {
        let gave_way = self.place.has_given_way().then_some("gave way");
        self.lock().closed.map(Closed::as_str).or(gave_way)
    }

    pub(crate) fn close(&self, closed: Closed) -> io::Error {
        self.lock().closed = Some(closed);
        closed.into()
    }

    /// Returns whether the caller may go on sending what is not read.
    pub(crate) fn is_sending(&self) -> bool {
        let state = self.lock();
        state.expected == Expected::Body || state.scanner.bytes() > 0
    }

    /// Counts received bytes; an error means that they may not be kept.
    pub(crate) fn receive(&self, bytes: &[u8]) -> Result<(), Closed> {
        let mut state = self.lock();
        let buffered = match state.expected {
            Expected::Head => {
                if state.scanner.take(bytes) {
                    state.expected = Expected::Body;
                    state.framing_bytes = 0;
                }
                state.scanner.bytes()
            }
            Expected::Body => {
                state.framing_bytes += bytes.len();
                state.framing_bytes
            }
            Expected::Nothing => 0,
        };
        if state.expected == Expected::Body && state.framing_bytes > state.framing_bytes_max {
            return Err(Closed::Framing);
        }
        // The buffer doubles until the next read fits.
        let needed = (buffered + READ_BYTES).next_power_of_two();
        if let Some(more) = needed.checked_sub(state.buffer_bytes) {
            state.buffer.grow(more).map_err(|_full| Closed::NoRoom)?;
            state.buffer_bytes = needed;
        }
        Ok(())
    }

    /// Records whether a write had to wait; an error means that there is no room to.
    pub(crate) fn record_write(&self, is_stuck: bool) -> io::Result<()> {
        let mut state = self.lock();
        if is_stuck == state.stuck.is_some() {
            return Ok(());
        }
        let now = Instant::now();
        if is_stuck {
            let mut reservation = Reservation::new(&self.place, Purpose::Answer);
            if reservation.grow(STUCK_BYTES).is_err() {
                state.closed = Some(Closed::NoRoom);
                return Err(Closed::NoRoom.into());
            }
            state.stuck = Some((now, reservation));
            self.place.yield_from(now + STUCK_GRACE);
            return Ok(());
        }
        state.stuck = None;
        if state.is_at_work {
            self.place.work();
        } else {
            self.place.yield_from(now + KEPT_GRACE);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
