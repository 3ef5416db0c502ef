//! What the dispatcher knows of one server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::backlog::Load;
use crate::flow::call::Fault;
use crate::flow::instance::Instance;
use crate::flow::message::ServerLoad;
use crate::flow::options::Options;
use crate::flow::prefix_cache::PrefixCache;
use crate::flow::recent::RecentSum;
use crate::outlier::Health;
use crate::rendezvous;

/// Time over which the rate of prompt tokens is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Weight of one answer in the running part of faults.
const FAULT_WEIGHT: f64 = 0.15;

/// Answers needed before the part of faults counts.
const FAULT_SAMPLES_MIN: u32 = 5;

/// Weight of one answer in the running speed.
const SPEED_WEIGHT: f64 = 0.05;

/// Time of answers of a server that has just started, as a multiple of the usual, until
/// its answers tell better.
const COLD_SLOWNESS: f64 = 1.5;

/// Bounds of the speed of a server against the usual of its service.
const SPEED: (f64, f64) = (0.5, 4.0);

#[derive(Debug)]
pub(crate) struct ServerEntry {
    pub(crate) instance: Arc<Instance>,
    /// Hash of the name, alike on all nodes, as it is sent to peers.
    pub(crate) key: u32,
    pub(crate) name_key: u64,
    pub(crate) own: Load,
    pub(crate) peers: Load,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) health: Health,
    /// Time of answers as a multiple of the usual.
    pub(crate) slowness: f64,
    /// Tokens held in memory by calls of this node.
    pub(crate) memory_tokens: f64,
    /// Entry that went while the store was away; the server may live.
    pub(crate) lapsed_until: Option<Instant>,
    /// Tokens of long prompts to read that this node sent of late.
    read_tokens: Option<RecentSum>,
    fault_ratio: f64,
    fault_samples: u32,
    held_until: Option<Instant>,
}

impl ServerEntry {
    pub(crate) fn new(instance: Instance) -> Self {
        let name_key = rendezvous::key(instance.id.as_str().as_bytes());
        Self {
            key: (name_key >> 32) as u32,
            name_key,
            own: Load::default(),
            peers: Load::default(),
            prefix_cache: PrefixCache::default(),
            health: Health::default(),
            slowness: if instance.cold_ms > 0 {
                COLD_SLOWNESS
            } else {
                1.0
            },
            instance: Arc::new(instance),
            memory_tokens: 0.0,
            lapsed_until: None,
            read_tokens: None,
            fault_ratio: 0.0,
            fault_samples: 0,
            held_until: None,
        }
    }

    /// Takes over a newer entry of the same name.
    pub(crate) fn relist(&mut self, instance: Instance) {
        self.lapsed_until = None;
        if instance.born_ms != self.instance.born_ms {
            // A new process: nothing that was known of the former one holds.
            *self = Self {
                own: self.own,
                ..Self::new(instance)
            };
        } else if *self.instance != instance {
            self.instance = Arc::new(instance);
        }
    }

    /// Whether the server may be sent calls at all.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        let lapsed = self.lapsed_until.is_some_and(|until| now >= until);
        !self.instance.is_draining && !lapsed
    }

    /// Whether nothing speaks against the server.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        self.health.is_available(now) && self.held_until.is_none_or(|until| now >= until)
    }

    /// Load of all nodes.
    pub(crate) fn load(&self, now: Instant) -> Load {
        let mut own = self.own;
        own.tokens_per_s = self.rate(now);
        own.sum(&self.peers)
    }

    fn rate(&self, now: Instant) -> f64 {
        let tokens = self.read_tokens.map_or(0.0, |sum| sum.get(now));
        tokens / RATE_WINDOW.as_secs_f64()
    }

    /// Counts a call that is sent with so many prompt tokens to read.
    pub(crate) fn send(&mut self, now: Instant, tokens: f64, memory_tokens: f64, is_short: bool) {
        if is_short {
            self.own.short_prompts += 1.0;
        } else {
            let none = RecentSum::new(now, RATE_WINDOW, 0.0);
            self.read_tokens.get_or_insert(none).add(now, tokens);
        }
        self.own.running += 1.0;
        self.own.pending_tokens += tokens;
        self.memory_tokens += memory_tokens;
    }

    /// What peers are told, `None` when there is nothing in flight.
    pub(crate) fn reported_load(&self, now: Instant) -> Option<ServerLoad> {
        let tokens_per_s = self.rate(now) as u32;
        (self.own.running > 0.0 || tokens_per_s > 0).then_some(ServerLoad {
            server_key: self.key,
            running: self.own.running as u16,
            short_prompts: self.own.short_prompts as u16,
            pending_tokens: self.own.pending_tokens as u32,
            tokens_per_s,
        })
    }

    /// Takes the time of an answer as a multiple of the expected one.
    pub(crate) fn timed(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SPEED.0, SPEED.1);
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness);
    }

    /// Takes an answer without a fault.
    pub(crate) fn succeeded(&mut self) {
        self.health.record_success();
        self.fault_samples = self.fault_samples.saturating_add(1);
        self.fault_ratio -= FAULT_WEIGHT * self.fault_ratio;
    }

    /// Takes a fault; true when the server should be set aside.
    pub(crate) fn faulted(&mut self, now: Instant, fault: Fault, options: &Options) -> bool {
        match fault {
            Fault::Cancelled => return false,
            Fault::Full => {
                self.hold(now + options.full_pause);
                return false;
            }
            Fault::Unreachable => self.hold(now + options.unreachable_pause),
            Fault::OtherInstance => self.hold(now + options.other_instance_pause),
            Fault::Broken | Fault::Silent | Fault::Malformed | Fault::Failed => {}
        }
        if fault != Fault::Failed {
            // Answers of a server's own are common; they only count by their part.
            self.health.record_failure();
        }
        self.fault_samples = self.fault_samples.saturating_add(1);
        self.fault_ratio += FAULT_WEIGHT * (1.0 - self.fault_ratio);
        let often =
            self.fault_samples >= FAULT_SAMPLES_MIN && self.fault_ratio > options.fault_ratio_max;
        often || self.health.is_outlier(&options.outlier)
    }

    fn hold(&mut self, until: Instant) {
        self.held_until = Some(self.held_until.map_or(until, |held| held.max(until)));
    }

    /// Gives the server no calls for a while.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        self.health.eject(now, &options.outlier);
        self.fault_ratio = 0.0;
        self.fault_samples = 0;
    }
}
