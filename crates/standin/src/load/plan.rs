//! Plan of a load: classes of calls, rates and bounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarbank_config::{Checker, FieldPath, Validate};
use briarbank_core::catalog::TargetKind;
use briarbank_core::ids::{ProfileName, TargetName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::error::LoadError;

/// Longest duration of a load.
const DURATION_LIMIT_MS: u64 = 600_000;
/// Maximum number of calls of a load.
const CALL_LIMIT: u64 = 5_000_000;
/// Maximum number of calls in flight.
const IN_FLIGHT_LIMIT: usize = 20_000;
/// Maximum number of tries of one call.
const TRIES_LIMIT: u32 = 10;
/// Largest rate factor of a burst.
const RATE_FACTOR_LIMIT: f64 = 1e6;
/// Largest size of a prompt.
const PROMPT_LIMIT_BYTES: usize = 1 << 20;

/// A period in which a class sends at a different rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the period, from the start of the load.
    pub start_ms: u64,
    /// Length of the period.
    pub length_ms: u64,
    /// Factor that the rate of the class is multiplied by.
    pub factor: f64,
}

/// A class of similar calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Unique name in the result.
    pub name: Arc<str>,
    /// Profile of the calls.
    pub profile: ProfileName,
    /// Workspaces of the calls; each call picks one at random.
    pub workspaces: Vec<WorkspaceName>,
    /// Model or plain service that is called.
    pub target: TargetName,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Share of the total rate, relative to the shares of the other classes.
    pub share: f64,
    /// Whether a model streams its answers.
    #[serde(default)]
    pub stream: bool,
    /// Size of a prompt or of a service call's body.
    #[serde(default = "default_prompt_bytes")]
    pub prompt_bytes: usize,
    /// Number of distinct prompt prefixes that calls share; 0 for no sharing.
    #[serde(default)]
    pub shared_prefixes: u64,
    /// Maximum number of tokens in an answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Objective for the time to the first token.
    pub first_token_ms: u64,
    /// Objective for the mean time between tokens of an answer.
    pub between_tokens_ms: u64,
    /// Objective for the time to the end of the answer.
    pub whole_ms: u64,
    /// Time after which the caller abandons the call.
    pub give_up_ms: u64,
    /// Maximum number of tries of one call, the first included.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// Periods with a different rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

fn default_prompt_bytes() -> usize {
    400
}

fn default_max_tokens() -> u32 {
    256
}

fn default_tries() -> u32 {
    3
}

/// Plan of a load: classes of calls, their rate and their bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of the arrivals and of the contents of calls.
    pub seed: u64,
    /// Duration of the period in which calls arrive.
    pub duration_ms: u64,
    /// Total rate of all classes outside bursts.
    pub rate_per_s: f64,
    /// Maximum number of calls.
    pub max_calls: u64,
    /// Maximum number of calls in flight; further arrivals count as overrun.
    #[serde(default = "default_in_flight")]
    pub in_flight_limit: usize,
    /// Caller addresses of the entry hosts.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins whose token counters show wasted work.
    #[serde(default)]
    pub engines: Vec<SocketAddr>,
    /// Service stand-ins whose runs are compared with the callers' outcomes.
    #[serde(default)]
    pub services: Vec<SocketAddr>,
    /// Classes of the calls.
    pub classes: Vec<LoadClass>,
}

fn default_in_flight() -> usize {
    8_000
}

impl LoadPlan {
    /// Parses a plan from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Plan`] with all faults of syntax and values.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        Ok(briarbank_config::parse(text)?)
    }

    /// Checks that every value is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Plan`] with all faults.
    pub fn check(&self) -> Result<(), LoadError> {
        Ok(briarbank_config::validate(self)?)
    }

    /// Returns the duration of the period in which calls arrive.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl Validate for LoadPlan {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        let field = |name| root.field(name);
        let duration = 1..=DURATION_LIMIT_MS;
        checker.check_range(&field("duration_ms"), self.duration_ms, duration);
        check_positive(checker, &field("rate_per_s"), self.rate_per_s);
        checker.check_range(&field("max_calls"), self.max_calls, 1..=CALL_LIMIT);
        let in_flight = 1..=IN_FLIGHT_LIMIT;
        checker.check_range(&field("in_flight_limit"), self.in_flight_limit, in_flight);
        if self.entries.is_empty() {
            checker.add_fault(&field("entries"), "no addresses", "one address or more");
        }
        if self.classes.is_empty() {
            checker.add_fault(&field("classes"), "no classes", "one class or more");
        }
        let lists = [
            ("entries", &self.entries),
            ("engines", &self.engines),
            ("services", &self.services),
        ];
        for (name, addresses) in lists {
            check_loopback(checker, &field(name), addresses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(checker, &field("classes").index(index));
        }
        checker.check_unique(self.classes.iter().map(|c| &c.name), |index| {
            field("classes").index(index).field("name")
        });
    }
}

impl LoadClass {
    fn check(&self, checker: &mut Checker, path: &FieldPath) {
        let field = |name| path.field(name);
        check_positive(checker, &field("share"), self.share);
        if self.workspaces.is_empty() {
            checker.add_fault(&field("workspaces"), "no names", "one name or more");
        }
        let prompt = 0..=PROMPT_LIMIT_BYTES;
        checker.check_range(&field("prompt_bytes"), self.prompt_bytes, prompt);
        checker.check_range(&field("tries"), self.tries, 1..=TRIES_LIMIT);
        let give_up = 1..=DURATION_LIMIT_MS;
        checker.check_range(&field("give_up_ms"), self.give_up_ms, give_up);
        for (index, burst) in self.bursts.iter().enumerate() {
            let path = field("bursts").index(index).field("factor");
            checker.check_range(&path, burst.factor, 0.0..=RATE_FACTOR_LIMIT);
        }
    }

    /// Returns the product of the factors of all bursts active at a time.
    #[must_use]
    pub fn rate_factor(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis();
        let active = self.bursts.iter().filter(|b| {
            let start = u128::from(b.start_ms);
            (start..start + u128::from(b.length_ms)).contains(&at_ms)
        });
        active.map(|b| b.factor).product()
    }

    /// Returns an upper bound of [`rate_factor`](Self::rate_factor).
    pub(crate) fn rate_factor_max(&self) -> f64 {
        // Bursts may overlap, so the bound is the product of all factors above 1.
        self.bursts.iter().map(|b| b.factor.max(1.0)).product()
    }
}

fn check_positive(checker: &mut Checker, path: &FieldPath, number: f64) {
    if !(number.is_finite() && number > 0.0) {
        checker.add_fault(path, number, "a number above 0");
    }
}

fn check_loopback(checker: &mut Checker, path: &FieldPath, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        if !address.ip().is_loopback() {
            let allowed = "a loopback address, since the load tool calls no other";
            checker.add_fault(&path.index(index), address, allowed);
        }
    }
}
