//! Model of an engine with slots, a queue by tier and a speed.

use std::collections::{BTreeSet, HashSet};

use briarbank_core::call::ServerLoad;
use briarbank_core::ids::AttemptId;

use crate::workload::SLOTS;

/// One engine.
pub(crate) struct Engine {
    pub(crate) is_down: bool,
    /// Factor by which service times are longer than normal.
    pub(crate) slowness: u64,
    running: HashSet<AttemptId>,
    waiting: BTreeSet<(u8, u64, AttemptId)>,
    next_number: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            is_down: false,
            slowness: 1,
            running: HashSet::new(),
            waiting: BTreeSet::new(),
            next_number: 0,
        }
    }
}

impl Engine {
    pub(crate) fn enqueue(&mut self, tier: u8, attempt: AttemptId) {
        self.next_number += 1;
        self.waiting.insert((tier, self.next_number, attempt));
    }

    /// Starts the next attempt if a slot is free.
    pub(crate) fn start_next(&mut self) -> Option<AttemptId> {
        if self.is_down || self.running.len() >= SLOTS as usize {
            return None;
        }
        let (_, _, attempt) = self.waiting.pop_first()?;
        self.running.insert(attempt);
        Some(attempt)
    }

    pub(crate) fn is_running(&self, attempt: AttemptId) -> bool {
        self.running.contains(&attempt)
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.iter().copied()
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
        self.waiting.retain(|(_, _, a)| *a != attempt);
    }

    /// Drops all attempts and returns them in a fixed order.
    pub(crate) fn crash(&mut self) -> Vec<AttemptId> {
        self.is_down = true;
        let waiting = std::mem::take(&mut self.waiting);
        let mut lost: Vec<_> = self.running.drain().collect();
        lost.extend(waiting.into_iter().map(|(_, _, attempt)| attempt));
        lost.sort();
        lost
    }

    pub(crate) fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            age_ms: 0,
        }
    }
}
