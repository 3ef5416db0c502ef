//! Measures of one call.

use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Outcome, Reason};
use briarbank_core::ids::ProfileName;
use metrics::{Histogram, counter, histogram};

use crate::order::Targets;

/// Label of calls whose profile is not in the configuration in force.
const UNKNOWN_PROFILE: &str = "-";

/// Times and counts of one call, recorded at its end.
pub(crate) struct Meter {
    profile: ProfileName,
    /// Whether the whole answer of a plain service is due like a first token.
    is_service: bool,
    received: Instant,
    targets: Option<Targets>,
    attempts: u32,
    sent: bool,
    completed: bool,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    tokens: u32,
    /// Found once: it is recorded for each read of a stream.
    between_tokens: Option<Histogram>,
}

impl Meter {
    /// Profiles that are not `known` share a label, so that callers can't make up labels.
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
            targets: None,
            attempts: 0,
            sent: false,
            completed: false,
            first_token: None,
            last_token: None,
            tokens: 0,
            between_tokens: None,
        }
    }

    /// An attempt begins.
    pub(super) fn attempt(&mut self, targets: Option<Targets>) {
        self.attempts += 1;
        self.targets = targets.or(self.targets);
        let profile = self.label();
        if self.attempts > 1 {
            counter!("briarbank_retries_total", "profile" => profile).increment(1);
            return;
        }
        histogram!("briarbank_queue_seconds", "profile" => profile).record(self.received.elapsed());
    }

    /// Bytes of an attempt may have reached its server.
    pub(crate) fn sent(&mut self) {
        self.sent = true;
    }

    /// The caller was given tokens, `total` of them so far.
    pub(crate) fn tokens(&mut self, total: u32) {
        let now = Instant::now();
        let new = total.saturating_sub(self.tokens);
        if new == 0 {
            return;
        }
        match self.last_token {
            None => {
                self.first_token = Some(now);
                histogram!("briarbank_first_token_seconds", "profile" => self.label())
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

    /// The whole answer was given to the caller; counts once.
    pub(super) fn completed(&mut self) {
        if std::mem::replace(&mut self.completed, true) {
            return;
        }
        let whole = self.received.elapsed();
        let profile = self.label();
        histogram!("briarbank_whole_seconds", "profile" => profile.clone()).record(whole);
        let name = if self.in_time(whole) {
            "briarbank_answers_in_time_total"
        } else {
            self.wasted();
            "briarbank_answers_late_total"
        };
        counter!(name, "profile" => profile).increment(1);
        self.ended(Outcome::Completed);
    }

    /// The call was given up on.
    pub(super) fn refused(&self, reason: Reason, outcome: Outcome) {
        let profile = self.label();
        counter!(
            "briarbank_refusals_total",
            "profile" => profile, "reason" => reason.as_str()
        )
        .increment(1);
        self.ended(outcome);
        self.wasted();
    }

    /// The caller went away before its answer was whole.
    pub(super) fn abandoned(&self) {
        counter!("briarbank_abandoned_total", "profile" => self.label()).increment(1);
        self.wasted();
    }

    fn ended(&self, outcome: Outcome) {
        counter!(
            "briarbank_calls_total",
            "profile" => self.label(), "outcome" => outcome.as_str()
        )
        .increment(1);
    }

    /// Counts work whose result came late or not at all.
    fn wasted(&self) {
        if !self.sent {
            return;
        }
        counter!("briarbank_wasted_calls_total", "profile" => self.label()).increment(1);
        counter!("briarbank_wasted_tokens_total", "profile" => self.label())
            .increment(u64::from(self.tokens));
    }

    /// Whether all targets of the profile were met.
    fn in_time(&self, whole: Duration) -> bool {
        let Some(targets) = self.targets else {
            return false;
        };
        let first = match self.first_token {
            Some(first) => first.duration_since(self.received),
            None if self.is_service => whole,
            None => Duration::ZERO,
        };
        first <= targets.first && whole <= targets.whole && self.between() <= targets.between
    }

    /// Mean time between tokens.
    fn between(&self) -> Duration {
        match (self.first_token, self.last_token) {
            (Some(first), Some(last)) if self.tokens > 1 => {
                last.duration_since(first) / (self.tokens - 1)
            }
            _ => Duration::ZERO,
        }
    }

    fn label(&self) -> String {
        self.profile.as_str().to_owned()
    }
}
