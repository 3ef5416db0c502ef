//! Timing of a model engine that reads prompts in chunks between the tokens of others.

use std::collections::{HashMap, VecDeque};

use briarbank_core::flow::Prompt;

/// Fixed figures of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineTiming {
    /// Time of a step in which nothing is read, in microseconds.
    pub(crate) step_us: u64,
    /// Further time for each call that runs, in microseconds.
    pub(crate) step_us_per_call: u64,
    /// Prompt tokens read in a millisecond.
    pub(crate) tokens_per_ms: u64,
    /// Most prompt tokens read in one step.
    pub(crate) chunk_tokens: u64,
    /// Calls that run at once.
    pub(crate) slots: usize,
    /// Tokens of shared parts that are kept; the least recently used go first.
    pub(crate) cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub(crate) event_tokens: u64,
}

/// A call at an engine.
#[derive(Clone, Debug)]
struct Job {
    id: usize,
    rank: u8,
    unread: u64,
    /// Tokens to make in all, and made so far.
    output: u64,
    made: u64,
}

/// What a step brought.
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
    /// Calls whose prompt is not read yet, the more urgent first.
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// When each part was last used, and its tokens.
    cache: HashMap<u64, (u64, u64)>,
    clock: u64,
    /// Shared tokens asked for, and those that were read though held before.
    pub(crate) shared_tokens: u64,
    pub(crate) again_tokens: u64,
    /// Tokens that the present step reads.
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
            again_tokens: 0,
            chunk: 0,
            is_busy: false,
        }
    }

    /// Takes a call; `is_known` tells whether any engine has read a part before.
    pub(crate) fn push(
        &mut self,
        id: usize,
        rank: u8,
        prompt: &Prompt,
        output: u64,
        is_known: &mut dyn FnMut(u64) -> bool,
    ) {
        self.clock += 1;
        let shared = prompt.parts.len().saturating_sub(1);
        let (mut unread, mut is_chain) = (0, true);
        for (index, (part, tokens)) in prompt.parts.iter().enumerate() {
            let tokens = u64::from(*tokens);
            is_chain &= self.cache.contains_key(part);
            if !is_chain {
                unread += tokens;
            }
            if index < shared {
                let was_known = is_known(*part);
                self.shared_tokens += tokens;
                self.again_tokens += if !is_chain && was_known { tokens } else { 0 };
                self.cache.insert(*part, (self.clock, tokens));
            }
        }
        self.evict();
        let job = Job {
            id,
            rank,
            unread: unread.max(1),
            output,
            made: 0,
        };
        let place = self.waiting.iter().position(|j| j.rank > rank);
        self.waiting
            .insert(place.unwrap_or(self.waiting.len()), job);
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

    /// Begins a step and gives its time in microseconds, `None` without work.
    pub(crate) fn begin(&mut self) -> Option<u64> {
        let room = self.timing.slots.saturating_sub(self.running.len());
        let unread: u64 = self.waiting.iter().take(room).map(|j| j.unread).sum();
        self.chunk = unread.min(self.timing.chunk_tokens);
        self.is_busy = self.chunk > 0 || !self.running.is_empty();
        let calls = self.running.len() as u64;
        let read_us = self.chunk * 1_000 / self.timing.tokens_per_ms;
        let step_us = self.timing.step_us + calls * self.timing.step_us_per_call + read_us;
        self.is_busy.then_some(step_us)
    }

    /// Ends the step.
    pub(crate) fn end(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let event_tokens = self.timing.event_tokens;
        for job in &mut self.running {
            job.made += 1;
            if job.made >= job.output {
                progress.push(Progress::End(job.id));
            } else if job.made % event_tokens == 0 {
                progress.push(Progress::Event(job.id));
            }
        }
        self.running.retain(|job| job.made < job.output);
        let mut chunk = std::mem::take(&mut self.chunk);
        while chunk > 0 {
            let Some(job) = self.waiting.front_mut() else {
                break;
            };
            let read = job.unread.min(chunk);
            job.unread -= read;
            chunk -= read;
            if job.unread == 0 {
                self.running.extend(self.waiting.pop_front());
            }
        }
        progress
    }
}
