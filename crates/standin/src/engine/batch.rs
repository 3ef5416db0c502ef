//! Continuous batch with a queue by priority.

use std::collections::BTreeMap;
use std::time::Duration;

use briarbank_config::EngineSettings;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::prefix::PrefixCache;

/// Requests that may wait for each slot.
const WAITING_PER_SLOT: usize = 16;

/// One token of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// Position in the whole answer.
    pub(crate) index: u32,
    /// Whether it ends the answer.
    pub(crate) last: bool,
}

/// A request that is to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) tier: u8,
    pub(crate) prefix_key: u64,
    pub(crate) prompt_tokens: usize,
    /// Position of the next token.
    pub(crate) next: u32,
    /// Tokens of the whole answer.
    pub(crate) length: u32,
    /// Takes the tokens; has room for all of them.
    pub(crate) sender: mpsc::Sender<Token>,
}

#[derive(Debug)]
struct Active {
    job: Job,
    ready_at: Instant,
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct BatchCounters {
    /// Requests that were put into the queue.
    pub(crate) queued: u64,
    /// Requests refused since the queue was full.
    pub(crate) refused: u64,
    /// Requests that came to their end.
    pub(crate) finished: u64,
    /// Requests whose caller went away before.
    pub(crate) cancelled: u64,
    /// Tokens generated.
    pub(crate) tokens: u64,
    /// Tokens generated for requests that were cancelled.
    pub(crate) cancelled_tokens: u64,
    /// Requests whose prefix was cached.
    pub(crate) prefix_hits: u64,
    /// Requests in the batch.
    pub(crate) running: u32,
    /// Requests in the queue.
    pub(crate) waiting: u32,
    /// Prefixes in the cache.
    pub(crate) cached_prefixes: usize,
}

/// The queue and the batch of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    token_time: Duration,
    extra_time: Duration,
    prefill_time: Duration,
    prefixes: PrefixCache,
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Active>,
    sequence: u64,
    counters: BatchCounters,
}

impl Batch {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            slots: settings.slots as usize,
            token_time: Duration::from_micros(settings.token_us),
            extra_time: Duration::from_micros(settings.batch_token_us),
            prefill_time: Duration::from_micros(settings.prompt_us),
            prefixes: PrefixCache::new(settings.cached_prefixes),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            sequence: 0,
            counters: BatchCounters::default(),
        }
    }

    /// Puts a job into the queue, or `false` if the queue is full.
    pub(crate) fn push(&mut self, job: Job) -> bool {
        if self.waiting.len() >= self.slots.saturating_mul(WAITING_PER_SLOT) {
            self.counters.refused += 1;
            return false;
        }
        self.sequence += 1;
        self.counters.queued += 1;
        self.waiting.insert((job.tier, self.sequence), job);
        true
    }

    /// Makes one token for each ready job, and tells the time that it takes.
    ///
    /// `None` if there is nothing to do.
    pub(crate) fn step(&mut self, now: Instant, factor: f64) -> Option<Duration> {
        self.admit(now, factor);
        let counters = &mut self.counters;
        self.running
            .retain_mut(|active| active.ready_at > now || advance(&mut active.job, counters));
        self.admit(now, factor);
        let others = u32::try_from(self.running.len().checked_sub(1)?).unwrap_or(u32::MAX);
        Some((self.token_time + self.extra_time * others).mul_f64(factor.max(0.0)))
    }

    /// Drops all jobs, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.prefixes = PrefixCache::new(self.prefixes.limit());
    }

    pub(crate) fn counters(&self) -> BatchCounters {
        BatchCounters {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cached_prefixes: self.prefixes.len(),
            ..self.counters
        }
    }

    fn admit(&mut self, now: Instant, factor: f64) {
        while self.running.len() < self.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            if job.sender.is_closed() {
                self.counters.cancelled += 1;
                continue;
            }
            let ready_at = now + self.prefill(&job).mul_f64(factor.max(0.0));
            self.running.push(Active { job, ready_at });
        }
    }

    fn prefill(&mut self, job: &Job) -> Duration {
        if self.prefixes.touch(job.prefix_key) {
            self.counters.prefix_hits += 1;
            return Duration::ZERO;
        }
        self.prefill_time
            .mul_f64(job.prompt_tokens as f64 / 1_000.0)
    }
}

/// Makes one token, and whether the job goes on.
fn advance(job: &mut Job, counters: &mut BatchCounters) -> bool {
    let token = Token {
        index: job.next,
        last: job.next + 1 >= job.length,
    };
    if job.sender.try_send(token).is_err() {
        counters.cancelled += 1;
        counters.cancelled_tokens += u64::from(job.next);
        return false;
    }
    counters.tokens += 1;
    job.next += 1;
    if token.last {
        counters.finished += 1;
    }
    !token.last
}
