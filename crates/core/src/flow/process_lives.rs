//! The times through which server processes are known to have lived.

use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Time after its end for which a life is remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// Largest number of lives.
const LIVES_MAX: usize = 4_096;

/// Least time from the crash of a process until another one accepts connections.
const RESTART_TIME_MIN: Duration = Duration::from_millis(500);

/// The latest known life of each process, by the hash of its name and start.
///
/// A process may start again under the name and start that are known of it, as while the
/// store is silent. Only a connection that was open before and after a moment, or opened
/// too soon after it for a restart, shows that the process did not crash then.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProcessLives {
    lives: HashMap<u32, Range<Instant>>,
}

impl ProcessLives {
    /// Records an answer to a call that was sent at the end of `life`, over a connection
    /// that was opened at its start.
    pub(crate) fn record(&mut self, now: Instant, process_key: u32, life: Range<Instant>) {
        let start = life.start.checked_sub(RESTART_TIME_MIN);
        let life = start.unwrap_or(life.start)..life.end;
        if let Some(known) = self.lives.get_mut(&process_key) {
            if life.start > known.end {
                // Another process may have started between the two.
                *known = life;
            } else if life.end >= known.start {
                *known = known.start.min(life.start)..known.end.max(life.end);
            }
            return;
        }
        if self.lives.len() >= LIVES_MAX {
            let age = |life: &Range<Instant>| now.saturating_duration_since(life.end);
            self.lives.retain(|_, life| age(life) < RETENTION);
        }
        if self.lives.len() < LIVES_MAX {
            self.lives.insert(process_key, life);
        }
    }

    /// Returns whether the process is known to have lived before and after a time.
    pub(crate) fn covers(&self, now: Instant, process_key: u32, at: Instant) -> bool {
        let life = self.lives.get(&process_key);
        life.is_some_and(|life| {
            let is_recent = now.saturating_duration_since(life.end) < RETENTION;
            is_recent && life.start <= at && at < life.end
        })
    }
}
