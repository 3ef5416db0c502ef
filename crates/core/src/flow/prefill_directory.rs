//! Prefill speed and cached prefix parts of servers, kept by their home nodes.
//!
//! A node of a large fleet sends few calls to each server, so that it learns neither its
//! speed nor what its prefix cache holds. Nodes report both to the server's home, which
//! tells them to any node that asks before it places a prompt. Loads addressed: a fleet
//! whose caches are empty, and servers of unequal or changing speed.
//!
//! This is soft state, as in [`crate::flow::LoadDirectory`]: a home that has just taken
//! over knows nothing, and nodes without an answer decide by the rendezvous order alone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::flow::decaying_sum::decay_factor;
use crate::flow::message::{PrefillSample, ServerEstimate, ServerObservation};

/// Time for which a part counts as cached after its last use.
///
/// Caches under load evict parts that have not been used for longer.
const PART_TTL: Duration = Duration::from_secs(30);

/// Time after which a home that took over has heard of most cached parts.
const COMPLETE_AFTER: Duration = Duration::from_secs(20);

/// Time over which samples of the prefill time lose weight.
pub(crate) const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which a stated momentary slowness no longer counts.
pub(crate) const SLOWNESS_TTL: Duration = Duration::from_millis(600);

/// Time without reports and queries after which a server is forgotten.
const SERVER_TTL: Duration = Duration::from_mins(1);

/// Servers that a node keeps; further ones are ignored.
const SERVERS_MAX: usize = 8_192;

/// Parts kept for one server; expired ones are dropped first.
const PARTS_MAX: usize = 2_048;

/// Bounds of a stated momentary slowness, in percent of the usual time of work.
pub(crate) const SLOWNESS_PERCENT_RANGE: (u16, u16) = (25, 1_000);

/// Speed and cached parts of the servers that this node is the home of.
#[derive(Debug, Default)]
pub struct PrefillDirectory {
    servers: HashMap<u32, Entry>,
}

#[derive(Debug)]
struct Entry {
    process_key: u32,
    since: Instant,
    used_at: Instant,
    /// Whether the server's cache was empty when this node began to keep the entry.
    was_empty: bool,
    parts: HashMap<u32, Instant>,
    samples: PrefillSample,
    sampled_at: Instant,
    momentary_slowness: Option<(u16, Instant)>,
}

impl Entry {
    fn new(now: Instant, process_key: u32, was_empty: bool) -> Self {
        Self {
            process_key,
            since: now,
            used_at: now,
            was_empty,
            parts: HashMap::new(),
            samples: PrefillSample::default(),
            sampled_at: now,
            momentary_slowness: None,
        }
    }

    fn is_cached(&self, now: Instant, part: u32) -> bool {
        let used_at = self.parts.get(&part);
        used_at.is_some_and(|at| now.saturating_duration_since(*at) < PART_TTL)
    }

    /// Returns whether a part that is not known is not cached either.
    fn is_complete(&self, now: Instant) -> bool {
        self.was_empty || now.saturating_duration_since(self.since) >= COMPLETE_AFTER
    }

    fn samples(&self, now: Instant) -> PrefillSample {
        let age = now.saturating_duration_since(self.sampled_at);
        self.samples.scaled(decay_factor(age, SAMPLE_LIFETIME))
    }
}

impl PrefillDirectory {
    /// Records what a node has seen of a server's present process.
    ///
    /// `was_empty` tells whether the cache of a server that is not known yet is empty.
    pub fn record(&mut self, now: Instant, observation: &ServerObservation, was_empty: bool) {
        let key = observation.server_key;
        let Some(entry) = self.entry(now, key, observation.process_key, was_empty) else {
            return;
        };
        for part in &observation.parts {
            if entry.parts.len() >= PARTS_MAX && !entry.parts.contains_key(part) {
                let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < PART_TTL;
                entry.parts.retain(|_, at| is_fresh(at));
            }
            if entry.parts.len() < PARTS_MAX {
                entry.parts.insert(*part, now);
            }
        }
        if let Some(sample) = observation.sample {
            entry.samples = entry.samples(now).sum(&sample.clamped());
            entry.sampled_at = now;
        }
        if let Some(percent) = observation.slowness_percent {
            let (least, most) = SLOWNESS_PERCENT_RANGE;
            entry.momentary_slowness = Some((percent.clamp(least, most), now));
        }
    }

    /// Returns what is known of a server's present process, for a prompt with these parts.
    ///
    /// `None` if nothing is known.
    pub fn estimate(
        &mut self,
        now: Instant,
        server_key: u32,
        process_key: u32,
        parts: &[u32],
        was_empty: bool,
    ) -> Option<ServerEstimate> {
        let entry = self.entry(now, server_key, process_key, was_empty)?;
        let held = parts.iter().take_while(|part| entry.is_cached(now, **part));
        let held = u8::try_from(held.count()).unwrap_or(u8::MAX);
        let is_known = held > 0 || entry.is_complete(now);
        let momentary = entry.momentary_slowness.map(|(percent, at)| {
            let age = now.saturating_duration_since(at);
            (percent, age)
        });
        Some(ServerEstimate {
            server_key,
            samples: entry.samples(now),
            held_parts: is_known.then_some(held),
            momentary_slowness: momentary
                .filter(|(_, age)| *age < SLOWNESS_TTL)
                .map(|(percent, age)| (percent, age.as_millis() as u16)),
        })
    }

    /// Drops servers that are no longer used.
    pub fn expire(&mut self, now: Instant) {
        let is_used = |at: Instant| now.saturating_duration_since(at) < SERVER_TTL;
        self.servers.retain(|_, entry| is_used(entry.used_at));
    }

    /// Returns the number of servers that are kept.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Forgets everything, which is out of date after a pause of the process.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    fn entry(
        &mut self,
        now: Instant,
        server_key: u32,
        process_key: u32,
        was_empty: bool,
    ) -> Option<&mut Entry> {
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(&server_key) {
            return None;
        }
        let new = || Entry::new(now, process_key, was_empty);
        let entry = self.servers.entry(server_key).or_insert_with(new);
        if entry.process_key != process_key {
            // A new process starts with an empty cache.
            *entry = Entry::new(now, process_key, true);
        }
        entry.used_at = now;
        Some(entry)
    }
}
