//! Request rates that servers in need have named, spread by gossip.
//!
//! A server names one rate for all nodes together. Its statement reaches a node in an
//! answer and travels on in heartbeats, so that nodes obey it before they are told, and
//! learn that it was lifted without sending anything. Few nodes share a low rate: an
//! equal part for each node of a large fleet would be less than one request in many
//! seconds, and all parts together could be sent at once.
//!
//! Nothing is agreed upon. Two nodes that know of different peers may use the parts of
//! different nodes for a moment.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Bounds of the age at which a statement expires, so that an idle server is asked again.
const STATEMENT_TTL_RANGE_S: (f64, f64) = (10.0, 60.0);

/// Requests that a server is sent within the lifetime of a statement.
const STATEMENT_REQUESTS: f64 = 3.0;

/// Statements that are kept, more than a large fleet has servers.
const STATEMENTS_MAX: usize = 4_096;

/// Statements that are passed on in one heartbeat.
const PASSED_ON_MAX: usize = 64;

/// Processes that are known by the start of the latest one of each server.
///
/// The server that was listed first is forgotten first.
const PROCESSES_MAX: usize = 8_192;

/// Age of a statement up to which it comes from the process that has just been listed.
///
/// Other nodes learn of the process and pass on its statements a few heartbeats earlier. A
/// process takes longer than that to replace the one before.
const LISTING_DELAY: Duration = Duration::from_millis(250);

/// Smallest rate of one node that uses a limited server, in requests per second.
const SHARE_PER_S_MIN: f64 = 1.0;

/// What a server last said of its limit, as it is passed on to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Hash of the server's name.
    pub server_key: u32,
    /// Requests per 1,000 seconds that it takes from all nodes; `None` if unlimited.
    pub per_1000_s: Option<u32>,
    /// Time since the server said so.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    per_1000_s: Option<u32>,
    at: Instant,
}

impl Statement {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns whether the server is likely to say the same still.
    ///
    /// Under a low limit, answers that repeat it are rare.
    fn is_current(&self, now: Instant) -> bool {
        let (ttl_min_s, ttl_max_s) = STATEMENT_TTL_RANGE_S;
        let per_s = self.per_1000_s.map_or(f64::INFINITY, per_s);
        let ttl_s = (STATEMENT_REQUESTS / per_s).clamp(ttl_min_s, ttl_max_s);
        self.age(now).as_secs_f64() < ttl_s
    }
}

fn per_s(per_1000_s: u32) -> f64 {
    f64::from(per_1000_s) / 1_000.0
}

/// The latest process of a server.
#[derive(Clone, Copy, Debug)]
struct Process {
    born_ms: u64,
    /// Time before which statements are those of another process, `None` for the first one.
    since: Option<Instant>,
}

/// The newest statements of servers about their limits.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use briarbank_core::flow::ServerLimits;
///
/// let now = Instant::now();
/// let mut limits = ServerLimits::default();
/// limits.record(now, 7, Some(2.0));
/// assert_eq!(limits.rate_per_s(now, 7), Some(2.0));
/// limits.record(now + Duration::from_millis(1), 7, None);
/// assert_eq!(limits.rate_per_s(now, 7), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    statements: BTreeMap<u32, Statement>,
    processes: BTreeMap<u32, Process>,
    /// Servers in the order in which they were first listed.
    listed: VecDeque<u32>,
}

impl ServerLimits {
    /// Records the limit in an answer, in requests per second; `None` if it names none.
    ///
    /// Returns whether the limit changed.
    pub fn record(&mut self, now: Instant, server_key: u32, limit_per_s: Option<f64>) -> bool {
        let per_1000_s = limit_per_s.map(|per_s| (per_s * 1_000.0) as u32);
        // Most servers never name a limit.
        if per_1000_s.is_none() && !self.statements.contains_key(&server_key) {
            return false;
        }
        let at = now;
        self.update(server_key, Statement { per_1000_s, at })
    }

    /// Records the process that a server is listed with; returns whether a limit ended.
    ///
    /// Statements of another process before it are dropped, also those that peers pass on.
    pub fn record_process(&mut self, now: Instant, server_key: u32, born_ms: u64) -> bool {
        let Some(known) = self.processes.get_mut(&server_key) else {
            self.insert_process(server_key, born_ms);
            return false;
        };
        if known.born_ms == born_ms {
            return false;
        }
        let since = now.checked_sub(LISTING_DELAY);
        *known = Process { born_ms, since };
        let is_former = |s: &Statement| since.is_some_and(|since| s.at < since);
        let has_limit = self.statements.get(&server_key).is_some_and(is_former);
        has_limit && self.statements.remove(&server_key).is_some()
    }

    fn insert_process(&mut self, server_key: u32, born_ms: u64) {
        let since = None;
        self.processes
            .insert(server_key, Process { born_ms, since });
        self.listed.push_back(server_key);
        if self.listed.len() > PROCESSES_MAX
            && let Some(first) = self.listed.pop_front()
        {
            self.processes.remove(&first);
        }
    }

    /// Records the statements that a peer passes on; returns whether a limit changed.
    pub fn receive(&mut self, now: Instant, statements: &[LimitStatement]) -> bool {
        let mut is_changed = false;
        for statement in statements {
            let age = Duration::from_millis(u64::from(statement.age_ms));
            let received = Statement {
                per_1000_s: statement.per_1000_s,
                at: now.checked_sub(age).unwrap_or(now),
            };
            if received.is_current(now) {
                is_changed |= self.update(statement.server_key, received);
            }
        }
        is_changed
    }

    fn update(&mut self, server_key: u32, statement: Statement) -> bool {
        let process = self.processes.get(&server_key);
        let since = process.and_then(|process| process.since);
        if since.is_some_and(|since| statement.at < since) {
            return false;
        }
        let is_full = self.statements.len() >= STATEMENTS_MAX;
        let Some(known) = self.statements.get_mut(&server_key) else {
            if is_full {
                return false;
            }
            self.statements.insert(server_key, statement);
            return statement.per_1000_s.is_some();
        };
        if statement.at <= known.at {
            return false;
        }
        let is_changed = known.per_1000_s != statement.per_1000_s;
        *known = statement;
        is_changed
    }

    /// Returns the newest statements, to be passed on, and drops those that have expired.
    pub fn statements(&mut self, now: Instant) -> Vec<LimitStatement> {
        self.statements.retain(|_, s| s.is_current(now));
        let statements = self.statements.iter().map(|(key, s)| LimitStatement {
            server_key: *key,
            per_1000_s: s.per_1000_s,
            age_ms: s.age(now).as_millis() as u32,
        });
        let mut statements: Vec<LimitStatement> = statements.collect();
        statements.sort_by_key(|s| s.age_ms);
        statements.truncate(PASSED_ON_MAX);
        statements
    }

    /// Returns the requests per second that a server takes from all nodes.
    #[must_use]
    pub fn rate_per_s(&self, now: Instant, server_key: u32) -> Option<f64> {
        let statement = self.statements.get(&server_key)?;
        statement
            .per_1000_s
            .filter(|_| statement.is_current(now))
            .map(per_s)
    }

    /// Returns the servers with a limit and their rates, in requests per second.
    #[must_use]
    pub fn rates_per_s(&self, now: Instant) -> Vec<(u32, f64)> {
        let keys = self.statements.keys();
        let rates = keys.filter_map(|key| Some((*key, self.rate_per_s(now, *key)?)));
        rates.collect()
    }
}

/// Returns how many of `nodes` nodes use a server of that rate.
pub(crate) fn limit_users(per_s: f64, nodes: usize) -> usize {
    ((per_s / SHARE_PER_S_MIN) as usize).clamp(1, nodes.max(1))
}
