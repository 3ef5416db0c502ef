//! Model of an engine with chunked prefill.

use std::collections::{HashMap, VecDeque};

use briarbank_core::flow::Prompt;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineTiming {
    /// Duration of a step without prefill, in microseconds.
    pub(crate) step_us: u64,
    /// Additional duration for each running call, in microseconds.
    pub(crate) step_us_per_call: u64,
    /// Prompt tokens prefilled per millisecond.
    pub(crate) tokens_per_ms: u64,
    /// Largest number of prompt tokens prefilled in one step.
    pub(crate) chunk_tokens: u64,
    /// Number of calls that run concurrently.
    pub(crate) slots: usize,
    /// Capacity of the prefix cache in tokens; evicts the least recently used parts.
    pub(crate) cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub(crate) event_tokens: u64,
}

impl EngineTiming {
    /// Returns the timing of an engine that works `speed` times as fast.
    pub(crate) fn scaled(mut self, speed: f64) -> Self {
        self.step_us = (self.step_us as f64 / speed) as u64;
        self.step_us_per_call = (self.step_us_per_call as f64 / speed) as u64;
        self.tokens_per_ms = (self.tokens_per_ms as f64 * speed).max(1.0) as u64;
        self
    }
}

/// A call at an engine.
#[derive(Clone, Debug)]
struct Job {
    id: usize,
    urgency: u8,
    /// Prompt tokens that are not prefilled yet.
    prefill_tokens: u64,
    /// Tokens of the whole answer, and those generated so far.
    output: u64,
    generated: u64,
}

/// Output of a step for one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// An event of the call's stream.
    Event(usize),
    /// The last event.
    End(usize),
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    timing: EngineTiming,
    /// Calls whose prompt is not prefilled, the more urgent first.
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// Last use and number of tokens of each cached part.
    cache: HashMap<u64, (u64, u64)>,
    clock: u64,
    /// Shared tokens of all calls, and those that any engine had prefilled before.
    pub(crate) shared_tokens: u64,
    pub(crate) repeated_tokens: u64,
    /// Prompt tokens that the current step prefills.
    chunk: u64,
    pub(crate) is_busy: bool,
}

impl Engine {
    pub(crate) fn new(timing: EngineTiming) -> Self {
        Self {
            timing,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            clock: 0,
            shared_tokens: 0,
            repeated_tokens: 0,
            chunk: 0,
            is_busy: false,
        }
    }

    /// Queues a call; `was_prefilled` returns whether any engine prefilled a part before.
    pub(crate) fn enqueue(
        &mut self,
        id: usize,
        urgency: u8,
        prompt: &Prompt,
        output: u64,
        was_prefilled: &mut dyn FnMut(u64) -> bool,
    ) {
        self.clock += 1;
        let shared = prompt.parts.len().saturating_sub(1);
        let (mut uncached, mut is_cached) = (0, true);
        for (index, (part, tokens)) in prompt.parts.iter().enumerate() {
            let tokens = u64::from(*tokens);
            is_cached &= self.cache.contains_key(part);
            if !is_cached {
                uncached += tokens;
            }
            if index < shared {
                let is_repeated = was_prefilled(*part);
                self.shared_tokens += tokens;
                self.repeated_tokens += if !is_cached && is_repeated { tokens } else { 0 };
                self.cache.insert(*part, (self.clock, tokens));
            }
        }
        self.evict();
        let job = Job {
            id,
            urgency,
            prefill_tokens: uncached.max(1),
            output,
            generated: 0,
        };
        let index = self.waiting.iter().position(|j| j.urgency > urgency);
        self.waiting
            .insert(index.unwrap_or(self.waiting.len()), job);
    }

    fn evict(&mut self) {
        while self.cache.values().map(|(_, tokens)| tokens).sum::<u64>() > self.timing.cache_tokens
        {
            let oldest = self.cache.iter().min_by_key(|(_, (used, _))| *used);
            let Some(oldest) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.cache.remove(&oldest);
        }
    }

    /// Starts a step and returns its duration in microseconds, `None` without work.
    pub(crate) fn start_step(&mut self) -> Option<u64> {
        let free_slots = self.timing.slots.saturating_sub(self.running.len());
        let waiting_tokens: u64 = self
            .waiting
            .iter()
            .take(free_slots)
            .map(|j| j.prefill_tokens)
            .sum();
        self.chunk = waiting_tokens.min(self.timing.chunk_tokens);
        self.is_busy = self.chunk > 0 || !self.running.is_empty();
        let calls = self.running.len() as u64;
        let prefill_us = self.chunk * 1_000 / self.timing.tokens_per_ms;
        let step_us = self.timing.step_us + calls * self.timing.step_us_per_call + prefill_us;
        self.is_busy.then_some(step_us)
    }

    /// Ends the step and returns its output.
    pub(crate) fn end_step(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let event_tokens = self.timing.event_tokens;
        for job in &mut self.running {
            job.generated += 1;
            if job.generated >= job.output {
                progress.push(Progress::End(job.id));
            } else if job.generated % event_tokens == 0 {
                progress.push(Progress::Event(job.id));
            }
        }
        self.running.retain(|job| job.generated < job.output);
        let mut chunk = std::mem::take(&mut self.chunk);
        while chunk > 0 {
            let Some(job) = self.waiting.front_mut() else {
                break;
            };
            let tokens = job.prefill_tokens.min(chunk);
            job.prefill_tokens -= tokens;
            chunk -= tokens;
            if job.prefill_tokens == 0 {
                self.running.extend(self.waiting.pop_front());
            }
        }
        progress
    }
}
