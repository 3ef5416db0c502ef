//! Servers that fall over when they have to reject too many calls, spread by gossip.
//!
//! A brittle server names the rejections per second that it survives, from all nodes
//! together. Nodes send it no more than it can run at once, so that it seldom rejects a
//! call, and when it does, all of them leave it alone for a while: the node that was
//! rejected at once, the others by its next heartbeat.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Age at which a statement expires, so that a server that is no longer brittle is used.
const STATEMENT_TTL: Duration = Duration::from_secs(10);

/// Calls that nodes may have on the way to a server when the first of them is rejected.
const CALLS_ON_THE_WAY: f64 = 4.0;

/// Bounds of the time for which a server that rejected a call is left alone.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));

/// Statements that are kept, more than a large fleet has servers.
const STATEMENTS_MAX: usize = 4_096;

/// Statements that are passed on in one heartbeat.
const PASSED_ON_MAX: usize = 16;

/// What a server said of its brittleness, as it is passed on to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleStatement {
    /// Hash of the server's name.
    pub server_key: u32,
    /// Rejections per second that it survives.
    pub rejections_per_s: u16,
    /// Time since the server said so.
    pub age_ms: u16,
    /// Time for which it gets no more calls, as it rejected one.
    pub pause_ms: u16,
}

#[derive(Clone, Copy, Debug)]
struct Brittle {
    rejections_per_s: u16,
    at: Instant,
    paused_until: Instant,
}

/// The servers that are brittle now.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use briarbank_core::flow::BrittleServers;
///
/// let (mut brittle, now) = (BrittleServers::default(), Instant::now());
/// // Servers that are not brittle may reject any number of calls.
/// assert_eq!(brittle.record_rejection(now, 7), None);
/// brittle.record(now, 7, Some(8));
/// assert_eq!(brittle.record_rejection(now, 7), Some(Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    servers: BTreeMap<u32, Brittle>,
}

impl BrittleServers {
    /// Records what a server says in an answer; `None` if it is not brittle.
    ///
    /// Returns whether that changed.
    pub fn record(&mut self, now: Instant, server_key: u32, rejections_per_s: Option<u16>) -> bool {
        let Some(rejections_per_s) = rejections_per_s else {
            return self.servers.remove(&server_key).is_some();
        };
        let is_full = self.servers.len() >= STATEMENTS_MAX;
        if is_full && !self.servers.contains_key(&server_key) {
            return false;
        }
        let is_known = self
            .servers
            .get(&server_key)
            .is_some_and(|s| s.is_current(now));
        let server = self.servers.entry(server_key).or_insert(Brittle {
            rejections_per_s,
            at: now,
            paused_until: now,
        });
        (server.rejections_per_s, server.at) = (rejections_per_s, now);
        !is_known
    }

    /// Records that a server rejected a call for want of room.
    ///
    /// Returns the time for which it gets no calls if it is brittle.
    pub fn record_rejection(&mut self, now: Instant, server_key: u32) -> Option<Duration> {
        let server = self.servers.get_mut(&server_key)?;
        let per_s = f64::from(server.rejections_per_s.max(1));
        let pause = Duration::from_secs_f64(CALLS_ON_THE_WAY / per_s);
        let pause = pause.clamp(PAUSE_RANGE.0, PAUSE_RANGE.1);
        server.paused_until = server.paused_until.max(now + pause);
        Some(pause)
    }

    /// Records the statements that a peer passes on.
    pub fn receive(&mut self, now: Instant, statements: &[BrittleStatement]) {
        for statement in statements {
            let age = Duration::from_millis(u64::from(statement.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let pause = Duration::from_millis(u64::from(statement.pause_ms)).min(PAUSE_RANGE.1);
            let received = Brittle {
                rejections_per_s: statement.rejections_per_s,
                at,
                paused_until: now + pause,
            };
            if !received.is_current(now) {
                continue;
            }
            let is_full = self.servers.len() >= STATEMENTS_MAX;
            let Some(known) = self.servers.get_mut(&statement.server_key) else {
                if !is_full {
                    self.servers.insert(statement.server_key, received);
                }
                continue;
            };
            known.paused_until = known.paused_until.max(received.paused_until);
            if received.at > known.at {
                (known.rejections_per_s, known.at) = (received.rejections_per_s, received.at);
            }
        }
    }

    /// Returns the newest statements, to be passed on, and drops those that have expired.
    pub fn statements(&mut self, now: Instant) -> Vec<BrittleStatement> {
        self.servers.retain(|_, server| server.is_current(now));
        let to_ms = |time: Duration| u16::try_from(time.as_millis()).unwrap_or(u16::MAX);
        let statements = self.servers.iter().map(|(key, server)| BrittleStatement {
            server_key: *key,
            rejections_per_s: server.rejections_per_s,
            age_ms: to_ms(now.saturating_duration_since(server.at)),
            pause_ms: to_ms(server.paused_until.saturating_duration_since(now)),
        });
        let mut statements: Vec<BrittleStatement> = statements.collect();
        // Pauses are the more urgent news.
        statements.sort_by_key(|s| (s.pause_ms == 0, s.age_ms));
        statements.truncate(PASSED_ON_MAX);
        statements
    }

    /// Returns the servers that are brittle now, and until when they get no calls.
    #[must_use]
    pub fn pauses(&self, now: Instant) -> BTreeMap<u32, Instant> {
        let current = self.servers.iter().filter(|(_, s)| s.is_current(now));
        current.map(|(key, s)| (*key, s.paused_until)).collect()
    }
}

impl Brittle {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STATEMENT_TTL
    }
}
