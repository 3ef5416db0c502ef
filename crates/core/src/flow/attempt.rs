//! One attempt of a call in flight.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::call::Call;
use crate::flow::choice::Choice;
use crate::flow::part_records::CALL_SUSPECTS_MAX;
use crate::flow::server::ServerEntry;
use crate::ids::ServerName;

/// Time after its first event for which an answer goes on if its prompt is sound.
///
/// A harmful part crashes a server that begins to write.
const SOUND_ANSWER_TIME: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerName,
    /// Start of the server's process.
    pub(crate) born_ms: u64,
    /// Hash of the server's name and of the start of its process.
    pub(crate) process_key: u32,
    pub(crate) sent: Instant,
    /// When the connection that brings the answer was opened, once it is known.
    pub(crate) connected: Option<Instant>,
    /// Prompt tokens to prefill.
    pub(crate) tokens: f64,
    /// Prompt tokens waiting at the server before them when the attempt was sent.
    pub(crate) queued_tokens: f64,
    pub(crate) memory_tokens: f64,
    pub(crate) expected_ms: f64,
    /// Response time as a multiple of the mean that was expected, if homes told it.
    pub(crate) slowness: Option<f64>,
    pub(crate) is_model: bool,
    pub(crate) is_short: bool,
    /// What may crash the server: the call itself and its prompt's shared parts.
    pub(crate) suspects: Box<[u64]>,
    pub(crate) first_event_at: Option<Instant>,
    /// Whether the answer has shown that the prompt crashes no server.
    pub(crate) is_sound: bool,
}

impl Attempt {
    pub(crate) fn new(now: Instant, call: &Call, choice: &Choice, process_key: u32) -> Self {
        Self {
            server: choice.instance.id.clone(),
            born_ms: choice.instance.born_ms,
            process_key,
            sent: now,
            connected: None,
            tokens: choice.tokens,
            queued_tokens: choice.queued_tokens,
            memory_tokens: choice.memory_tokens,
            expected_ms: choice.expected_ms,
            slowness: choice.slowness,
            is_model: call.prompt.is_some(),
            is_short: choice.is_short,
            suspects: call.suspects().take(CALL_SUSPECTS_MAX).collect(),
            first_event_at: None,
            is_sound: false,
        }
    }

    /// Returns the entry of the server, `None` if another process has its name by now.
    pub(crate) fn entry<'a>(
        &self,
        servers: &'a mut BTreeMap<ServerName, ServerEntry>,
    ) -> Option<&'a mut ServerEntry> {
        let entry = servers.get_mut(&self.server);
        entry.filter(|entry| entry.instance.born_ms == self.born_ms)
    }

    /// Returns whether the answer has gone on for long enough after its first event.
    pub(crate) fn has_gone_on(&self, now: Instant) -> bool {
        let has_gone_on = |at| now.saturating_duration_since(at) >= SOUND_ANSWER_TIME;
        self.first_event_at.is_some_and(has_gone_on)
    }
}
