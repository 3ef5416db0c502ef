//! What the dispatcher offers for a hedge, and how it records attempts that are overtaken.

use std::time::{Duration, Instant};

use crate::flow::call::{AttemptId, Call, Fault};
use crate::flow::dispatch::Dispatcher;
use crate::flow::hedging::HedgeRefusal;
use crate::flow::server::ServerEntry;
use crate::ids::ServerName;

/// What a second server would do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeOffer {
    /// Expected time to the first event, `None` for plain calls: their size is unknown.
    pub expected: Option<Duration>,
    /// Whether the server has a free slot, so that no other call waits for the hedge.
    pub is_free: bool,
}

impl Dispatcher {
    /// Returns what the best server not in `avoid` would do with a hedge of the call.
    ///
    /// # Errors
    ///
    /// There is no such server, the retry budget has no part left for hedges, or the call or
    /// a part of its prompt is suspected to crash servers.
    pub fn hedge_offer(
        &mut self,
        now: Instant,
        call: &Call,
        avoid: &[ServerName],
    ) -> Result<HedgeOffer, HedgeRefusal> {
        if self.is_suspect(call) {
            return Err(HedgeRefusal::Suspect);
        }
        if !self.allows_hedge(now, &call.service) {
            return Err(HedgeRefusal::Limit);
        }
        let pool = self.pool(now, call).ok_or(HedgeRefusal::NoServer)?;
        let choice = pool.choose_by_key(now, call, avoid);
        let choice = choice.map_err(|_refusal| HedgeRefusal::NoServer)?;
        let engine_slots = pool.engine.map(|engine| engine.slots);
        let server = &choice.instance.id;
        let entry = self.servers.get(server);
        let is_usable = |e: &&ServerEntry| e.is_healthy(now) && !avoid.contains(server);
        let entry = entry.filter(is_usable).ok_or(HedgeRefusal::NoServer)?;
        let slots = engine_slots.unwrap_or(entry.instance.slots).max(1);
        let expected = Duration::from_secs_f64(choice.expected_ms / 1_000.0);
        Ok(HedgeOffer {
            expected: call.prompt.is_some().then_some(expected),
            is_free: entry.load(now).running < f64::from(slots),
        })
    }

    /// Returns whether the call, or a shared part of its prompt, may have crashed a server.
    #[must_use]
    pub fn is_suspect(&self, call: &Call) -> bool {
        call.suspects()
            .any(|part| self.part_records.is_suspected(part))
    }

    /// Records that an attempt was cancelled, as another one of its call was answered first.
    ///
    /// This is no fault. The time so far counts as the response time if it is longer than
    /// usual at the server, so that a slow server is known though its answers are not awaited.
    pub fn record_overtaken(&mut self, now: Instant, id: AttemptId) {
        if let Some(attempt) = self.attempts.get(&id)
            && attempt.first_event_at.is_none()
            && let Some(entry) = attempt.entry(&mut self.servers)
        {
            let time_ms = now.saturating_duration_since(attempt.sent).as_secs_f64() * 1_000.0;
            let ratio =
                time_ms / attempt.expected_ms.max(1.0) * attempt.slowness.unwrap_or(entry.slowness);
            record_slower(entry, ratio);
        }
        self.record_failure(now, id, Fault::Cancelled);
    }
}

/// Records a response time of which only a lower bound is known.
fn record_slower(entry: &mut ServerEntry, ratio: f64) {
    if ratio > entry.slowness {
        entry.record_response_time(ratio);
    }
}
