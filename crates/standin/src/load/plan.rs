//! What a load consists of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarbank_config::{Checker, FieldPath, Validate};
use briarbank_core::catalog::TargetKind;
use briarbank_core::ids::{ProfileName, TargetName, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::error::LoadError;

/// Longest load.
const DURATION_LIMIT_MS: u64 = 600_000;
/// Most calls of a load.
const CALL_LIMIT: u64 = 5_000_000;
/// Most calls in flight at once.
const IN_FLIGHT_LIMIT: usize = 20_000;
/// Most tries of one call.
const TRIES_LIMIT: u32 = 10;
/// Largest factor of a burst.
const FACTOR_LIMIT: f64 = 1e6;
/// Largest prompt.
const PROMPT_LIMIT_BYTES: usize = 1 << 20;

/// A stretch of time in which a class sends more or less than its share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Begin, from the begin of the load.
    pub start_ms: u64,
    /// Length.
    pub length_ms: u64,
    /// Factor on the class's rate.
    pub factor: f64,
}

/// Calls of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Unique name in the result.
    pub name: Arc<str>,
    /// Profile that the calls name.
    pub profile: ProfileName,
    /// Workspaces that the calls name, one after another at random.
    pub workspaces: Vec<WorkspaceName>,
    /// Model or plain service.
    pub target: TargetName,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Part of the whole rate, in relation to the other classes' shares.
    pub share: f64,
    /// Whether answers of a model are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Size of a prompt or of a service call's body.
    #[serde(default = "default_prompt_bytes")]
    pub prompt_bytes: usize,
    /// Number of prompt beginnings that the calls share; 0 for none.
    #[serde(default)]
    pub shared_prefixes: u64,
    /// Most tokens of an answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Target for the first token.
    pub first_token_ms: u64,
    /// Target for the mean time between tokens of an answer.
    pub between_tokens_ms: u64,
    /// Target for the whole answer.
    pub whole_ms: u64,
    /// Time after which a caller gives up.
    pub give_up_ms: u64,
    /// Most tries of one call.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// Stretches with another rate.
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

/// A load: who calls whom, how often, for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of arrivals and contents.
    pub seed: u64,
    /// Length of the time in which calls arrive.
    pub duration_ms: u64,
    /// Rate of all classes together, without bursts.
    pub rate_per_s: f64,
    /// Most calls.
    pub max_calls: u64,
    /// Most calls in flight; arrivals beyond are counted as overrun.
    #[serde(default = "default_in_flight")]
    pub in_flight_limit: usize,
    /// Caller ports of the entry hosts.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins whose counters tell the wasted work.
    #[serde(default)]
    pub engines: Vec<SocketAddr>,
    /// Service stand-ins whose runs are checked against the outcomes.
    #[serde(default)]
    pub services: Vec<SocketAddr>,
    /// Classes of calls.
    pub classes: Vec<LoadClass>,
}

fn default_in_flight() -> usize {
    8_000
}

impl LoadPlan {
    /// Reads a plan from JSON with comments.
    ///
    /// # Errors
    ///
    /// [`LoadError::Plan`] with all faults of its form and its values.
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        Ok(briarbank_config::parse(text)?)
    }

    /// Checks that every value is within its bounds.
    ///
    /// # Errors
    ///
    /// [`LoadError::Plan`] with all faults.
    pub fn check(&self) -> Result<(), LoadError> {
        Ok(briarbank_config::validate(self)?)
    }

    /// Time in which calls arrive.
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
        positive(checker, &field("rate_per_s"), self.rate_per_s);
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
            loopback(checker, &field(name), addresses);
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
        positive(checker, &field("share"), self.share);
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
            checker.check_range(&path, burst.factor, 0.0..=FACTOR_LIMIT);
        }
    }

    /// Factor on the rate at a time.
    #[must_use]
    pub fn rate_factor(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis();
        let active = self.bursts.iter().filter(|b| {
            let start = u128::from(b.start_ms);
            (start..start + u128::from(b.length_ms)).contains(&at_ms)
        });
        active.map(|b| b.factor).product()
    }

    /// Largest factor on the rate.
    pub(crate) fn rate_factor_max(&self) -> f64 {
        // Bursts may overlap, so the bound is the product of those above 1.
        self.bursts.iter().map(|b| b.factor.max(1.0)).product()
    }
}

fn positive(checker: &mut Checker, path: &FieldPath, number: f64) {
    if !(number.is_finite() && number > 0.0) {
        checker.add_fault(path, number, "a number above 0");
    }
}

fn loopback(checker: &mut Checker, path: &FieldPath, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        if !address.ip().is_loopback() {
            let allowed = "a loopback address, since load goes nowhere else";
            checker.add_fault(&path.index(index), address, allowed);
        }
    }
}
