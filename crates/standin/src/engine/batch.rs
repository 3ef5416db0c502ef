//! Continuous batching with a priority queue.

use std::collections::BTreeMap;
use std::time::Duration;

use briarbank_config::EngineSettings;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::prefix::PrefixCache;

/// Queue capacity for each batch slot, in requests.
const WAITING_PER_SLOT_MAX: usize = 16;

/// Token of an answer, by its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Position in the answer, also when the answer resumes in the middle.
    pub(crate) index: u32,
    /// Whether the token ends the answer.
    pub(crate) last: bool,
}

/// Request to the engine, as the batch needs it.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) tier: u8,
    pub(crate) prefix_key: u64,
    pub(crate) prompt_tokens: usize,
    /// Position of the next token.
    pub(crate) next_index: u32,
    /// Length of the whole answer, in tokens.
    pub(crate) length: u32,
    /// Receives the tokens; its capacity covers all of them.
    pub(crate) sender: mpsc::Sender<Token>,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    ready_at: Instant,
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct BatchCounters {
    /// Requests that were queued.
    pub(crate) queued: u64,
    /// Requests that were refused because the queue was full.
    pub(crate) refused: u64,
    /// Requests whose answers were generated in full.
    pub(crate) finished: u64,
    /// Requests whose caller disconnected before the answer was complete.
    pub(crate) cancelled: u64,
    /// Generated tokens.
    pub(crate) tokens: u64,
    /// Tokens of cancelled requests, including those before a resumed position.
    pub(crate) cancelled_tokens: u64,
    /// Requests whose prefix was in the cache.
    pub(crate) prefix_hits: u64,
    /// Requests in the batch, including those in prefill.
    pub(crate) running: u32,
    /// Requests in the queue.
    pub(crate) waiting: u32,
    /// Prefixes in the cache.
    pub(crate) cached_prefixes: usize,
}

/// Queue and batch of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    token_time: Duration,
    time_per_other_request: Duration,
    prefill_time: Duration,
    prefix_cache: PrefixCache,
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<RunningJob>,
    last_sequence: u64,
    counters: BatchCounters,
}

impl Batch {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            slots: settings.slots as usize,
            token_time: Duration::from_micros(settings.token_us),
            time_per_other_request: Duration::from_micros(settings.batch_token_us),
            prefill_time: Duration::from_micros(settings.prompt_us),
            prefix_cache: PrefixCache::new(settings.cached_prefixes),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            last_sequence: 0,
            counters: BatchCounters::default(),
        }
    }

    /// Queues a job; returns `false` if the queue is full.
    pub(crate) fn enqueue(&mut self, job: Job) -> bool {
        if self.waiting.len() >= self.slots.saturating_mul(WAITING_PER_SLOT_MAX) {
            self.counters.refused += 1;
            return false;
        }
        self.last_sequence += 1;
        self.counters.queued += 1;
        self.waiting.insert((job.tier, self.last_sequence), job);
        true
    }

    /// Generates one token for each ready job and returns the duration of the step.
    ///
    /// Returns `None` if the batch is empty.
    pub(crate) fn step(&mut self, now: Instant, straggle_factor: f64) -> Option<Duration> {
        self.start_waiting(now, straggle_factor);
        let counters = &mut self.counters;
        self.running
            .retain_mut(|running| running.ready_at > now || emit_token(&mut running.job, counters));
        self.start_waiting(now, straggle_factor);
        let others = u32::try_from(self.running.len().checked_sub(1)?).unwrap_or(u32::MAX);
        Some(
            (self.token_time + self.time_per_other_request * others)
                .mul_f64(straggle_factor.max(0.0)),
        )
    }

    /// Drops all jobs and cached prefixes, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.prefix_cache = PrefixCache::new(self.prefix_cache.limit());
    }

    pub(crate) fn counters(&self) -> BatchCounters {
        BatchCounters {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cached_prefixes: self.prefix_cache.len(),
            ..self.counters
        }
    }

    fn start_waiting(&mut self, now: Instant, straggle_factor: f64) {
        while self.running.len() < self.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            if job.sender.is_closed() {
                self.counters.cancelled += 1;
                continue;
            }
            let ready_at = now
                + self
                    .prefill_duration(&job)
                    .mul_f64(straggle_factor.max(0.0));
            self.running.push(RunningJob { job, ready_at });
        }
    }

    fn prefill_duration(&mut self, job: &Job) -> Duration {
        if self.prefix_cache.record_use(job.prefix_key) {
            self.counters.prefix_hits += 1;
            return Duration::ZERO;
        }
        self.prefill_time
            .mul_f64(job.prompt_tokens as f64 / 1_000.0)
    }
}

/// Generates one token and returns whether the job continues.
fn emit_token(job: &mut Job, counters: &mut BatchCounters) -> bool {
    let token = Token {
        index: job.next_index,
        last: job.next_index + 1 >= job.length,
    };
    if job.sender.try_send(token).is_err() {
        counters.cancelled += 1;
        counters.cancelled_tokens += u64::from(job.next_index);
        return false;
    }
    counters.tokens += 1;
    job.next_index += 1;
    if token.last {
        counters.finished += 1;
    }
    !token.last
}
