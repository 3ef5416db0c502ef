//! Metrics of one call.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Outcome, Reason};
use briarbank_core::ids::ProfileName;
use metrics::{Histogram, counter, histogram};

use crate::command::Objectives;

/// Label of calls whose profile is not in the current configuration.
const UNKNOWN_PROFILE: &str = "-";

/// Mark that bytes of a call may have reached a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentMark(Arc<AtomicBool>);

impl SentMark {
    /// Sets the mark.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Durations and counts of one call.
pub(crate) struct Meter {
    profile: ProfileName,
    /// Whether the call is to a plain service.
    ///
    /// Its whole answer must meet the objective for the first token.
    is_service: bool,
    received: Instant,
    objectives: Option<Objectives>,
    attempts: u32,
    sent: SentMark,
    completed: bool,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    tokens: u32,
    /// Cached handle, because a value is recorded for each read of a stream.
    between_tokens: Option<Histogram>,
}

impl Meter {
    /// Creates a meter; profiles that are not `known` share one label.
    ///
    /// This keeps callers from creating arbitrary labels.
    pub(super) fn new(call: &Call, known: bool) -> Self {
        let profile = if known {
            call.profile.clone()
        } else {
            ProfileName::new(UNKNOWN_PROFILE)
        };
        Self {
            profile,
            is_service: call.max_tokens == 0,
            received: call.received,
            objectives: None,
            attempts: 0,
            sent: SentMark::default(),
            completed: false,
            first_token: None,
            last_token: None,
            tokens: 0,
            between_tokens: None,
        }
    }

    /// Records the start of an attempt.
    pub(super) fn record_attempt(&mut self, objectives: Option<Objectives>) {
        self.attempts += 1;
        self.objectives = objectives.or(self.objectives);
        let profile = self.profile_label();
        if self.attempts > 1 {
            counter!("briarbank_retries_total", "profile" => profile).increment(1);
            return;
        }
        histogram!("briarbank_queue_seconds", "profile" => profile).record(self.received.elapsed());
    }

    /// Returns the mark that bytes of an attempt may have reached a server.
    pub(super) fn sent_mark(&self) -> SentMark {
        self.sent.clone()
    }

    /// Records that `total` tokens were sent to the caller so far.
    pub(crate) fn record_tokens(&mut self, total: u32) {
        let now = Instant::now();
        let new = total.saturating_sub(self.tokens);
        if new == 0 {
            return;
        }
        match self.last_token {
            None => {
                self.first_token = Some(now);
                histogram!("briarbank_first_token_seconds", "profile" => self.profile_label())
                    .record(now.duration_since(self.received));
            }
            Some(last) => {
                let between = self.between_tokens.get_or_insert_with(|| {
                    let profile = self.profile.as_str().to_owned();
                    histogram!("briarbank_between_tokens_seconds", "profile" => profile)
                });
                between.record(now.duration_since(last) / new);
            }
        }
        self.last_token = Some(now);
        self.tokens = total;
    }

    /// Records that the whole answer was sent to the caller; counts once.
    pub(super) fn record_completion(&mut self) {
        if std::mem::replace(&mut self.completed, true) {
            return;
        }
        let whole = self.received.elapsed();
        let profile = self.profile_label();
        histogram!("briarbank_whole_seconds", "profile" => profile.clone()).record(whole);
        let name = if self.met_objectives(whole) {
            "briarbank_answers_in_time_total"
        } else {
            self.count_wasted();
            "briarbank_answers_late_total"
        };
        counter!(name, "profile" => profile).increment(1);
        self.count_outcome(Outcome::Completed);
    }

    /// Records the refusal of the call.
    pub(super) fn record_refusal(&self, reason: Reason, outcome: Outcome) {
        let profile = self.profile_label();
        counter!(
            "briarbank_refusals_total",
            "profile" => profile, "reason" => reason.as_str()
        )
        .increment(1);
        self.count_outcome(outcome);
        self.count_wasted();
    }

    /// Records that the caller left before its answer was complete.
    pub(super) fn record_abandonment(&self) {
        counter!("briarbank_abandoned_total", "profile" => self.profile_label()).increment(1);
        self.count_wasted();
    }

    fn count_outcome(&self, outcome: Outcome) {
        counter!(
            "briarbank_calls_total",
            "profile" => self.profile_label(), "outcome" => outcome.as_str()
        )
        .increment(1);
    }

    /// Counts work whose result was late or was not delivered.
    fn count_wasted(&self) {
        if !self.sent.is_set() {
            return;
        }
        counter!("briarbank_wasted_calls_total", "profile" => self.profile_label()).increment(1);
        counter!("briarbank_wasted_tokens_total", "profile" => self.profile_label())
            .increment(u64::from(self.tokens));
    }

    /// Returns whether all latency objectives of the profile were met.
    fn met_objectives(&self, whole: Duration) -> bool {
        let Some(objectives) = self.objectives else {
            return false;
        };
        let first = match self.first_token {
            Some(first) => first.duration_since(self.received),
            None if self.is_service => whole,
            None => Duration::ZERO,
        };
        first <= objectives.first
            && whole <= objectives.whole
            && self.mean_token_interval() <= objectives.between
    }

    /// Returns the mean time between tokens.
    fn mean_token_interval(&self) -> Duration {
        match (self.first_token, self.last_token) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                last.duration_since(first) / (self.tokens - 1)
            }
            _ => Duration::ZERO,
        }
    }

    fn profile_label(&self) -> String {
        self.profile.as_str().to_owned()
    }
}
