//! When a node reads the store itself, and when it gives a read up.
//!
//! A few nodes have the store confirm every second that they have missed nothing, and
//! pass that on with their heartbeats. A node whose values have not been confirmed for
//! longer suspects its own connection first: it opens a new one and reads, whether it is
//! one of those that watch the store or not. So no node depends on others to notice that
//! its source has fallen silent.

use std::time::{Duration, Instant};

use crate::flow::peers::Peers;
use crate::flow::staleness::Staleness;

/// Requested wait of a watch whose node learns from others that it has missed nothing.
///
/// Long because every request has a cost.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time between two answers of the store that confirm the values of a node.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest requested wait.
const WAIT_MIN: Duration = Duration::from_millis(50);

/// Age of the values beyond which a node that watches the store gives its read up.
///
/// Half a second more than [`CONFIRM_INTERVAL`], as a slow store answers after 0.3 s.
const AGE_MAX: Duration = Duration::from_millis(1_500);

/// Time in which a confirmation reaches all nodes of a fleet that is not fully meshed.
const GOSSIP_TIME: Duration = Duration::from_millis(500);

/// Further age after which a node that does not watch the store reads it, at least.
const OTHERS_DELAY_MIN: Duration = Duration::from_millis(100);

/// Range of that age; nodes differ, so that a few of them find out for all.
const OTHERS_DELAY_RANGE: Duration = Duration::from_millis(400);

/// Time for an answer beyond the requested wait, at first and after further silences.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_500));

/// Reads of which one asks for all values, while the store stays silent.
///
/// The answer to a watch holds all changes since the last one, however many, and may take
/// longer each time; a page of values is of bounded size.
const SILENCES_PER_FULL_READ: u32 = 4;

/// How a node reads the store next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRead {
    /// Not at all before then, as others do.
    Idle(Instant),
    /// It waits for changes for this long.
    Watch(Duration),
}

/// Decides on the reads of a node.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use briarbank_core::flow::{NextRead, PeerOptions, Peers, Staleness, StoreReads};
///
/// let address = "10.1.0.19:7200".parse().unwrap();
/// let peers = Peers::new(address, 1, Vec::new(), PeerOptions::default());
/// let (now, mut staleness) = (Instant::now(), Staleness::default());
/// let reads = StoreReads::default();
/// // Values of unknown age are read at once, those that are new after a second.
/// let NextRead::Watch(wait) = reads.next(now, &peers, &staleness) else { panic!() };
/// assert_eq!(wait.as_millis(), 50);
/// staleness.record_complete(now);
/// let NextRead::Watch(wait) = reads.next(now, &peers, &staleness) else { panic!() };
/// assert_eq!(wait.as_secs(), 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReads {
    /// Reads in a row that were given up.
    silences: u32,
}

impl StoreReads {
    /// Returns how a node reads the store next.
    #[must_use]
    pub fn next(&self, now: Instant, peers: &Peers, staleness: &Staleness) -> NextRead {
        let beyond_at = staleness.beyond_at(now, peers.age_max(now));
        if beyond_at > now && !peers.should_watch(now) {
            return NextRead::Idle(beyond_at);
        }
        if beyond_at > now && !peers.should_confirm(now) {
            return NextRead::Watch(WATCH_WAIT);
        }
        let due_at = staleness.beyond_at(now, CONFIRM_INTERVAL);
        let wait = due_at.saturating_duration_since(now);
        NextRead::Watch(wait.clamp(WAIT_MIN, CONFIRM_INTERVAL))
    }

    /// Returns when a read that was sent at `sent_at` is given up as things are now.
    ///
    /// The values may be confirmed meanwhile, so that the caller has to ask again then.
    #[must_use]
    pub fn give_up_at(
        &self,
        now: Instant,
        sent_at: Instant,
        peers: &Peers,
        staleness: &Staleness,
    ) -> Instant {
        let beyond_at = staleness.beyond_at(now, peers.age_max(now));
        beyond_at.max(sent_at + self.patience())
    }

    /// Returns the time that an answer may take beyond the requested wait.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let factor = 1 << self.silences.min(4);
        (PATIENCE.0 * factor).min(PATIENCE.1)
    }

    /// Records that a read was given up; returns whether the one before was as well.
    ///
    /// After the first, only the connection is known to be silent, and not the store.
    pub fn record_silence(&mut self) -> bool {
        self.silences = self.silences.saturating_add(1);
        self.silences > 1
    }

    /// Returns whether to read all values page by page instead of waiting for changes.
    #[must_use]
    pub fn should_read_all(&self) -> bool {
        self.silences % SILENCES_PER_FULL_READ == SILENCES_PER_FULL_READ - 1
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.silences = 0;
    }
}

impl Peers {
    /// Returns the age of its values up to which this node relies on others.
    #[must_use]
    pub fn age_max(&self, now: Instant) -> Duration {
        let is_meshed = self.others.len() <= self.options.mesh_peers_max;
        let spread = if is_meshed {
            Duration::ZERO
        } else {
            GOSSIP_TIME
        };
        let delay = if self.should_watch(now) {
            Duration::ZERO
        } else {
            OTHERS_DELAY_MIN + OTHERS_DELAY_RANGE.mul_f64(self.delay_ratio())
        };
        AGE_MAX + spread + delay
    }
}
