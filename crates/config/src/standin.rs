//! Settings of the stand-ins.

use std::net::SocketAddr;

use briarbank_core::ids::{ServerName, TargetName};
use serde::{Deserialize, Serialize};

use crate::checker::{Checker, Validate};
use crate::field::FieldPath;

const PREFIXES_MAX: usize = 1_000_000;
const LAG_MAX_MS: u64 = 600_000;
const CALL_MAX_US: u64 = 600_000_000;

/// Settings of `briarbank standin platform`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Most calls a second; more are refused.
    pub rate_per_s: u32,
}

/// Settings of `briarbank standin engine`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name in the published server list.
    pub server: ServerName,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Requests in the batch at once.
    pub slots: u32,
    /// Time for one token with a batch of one.
    pub token_us: u64,
    /// Added time for each further request in the batch.
    pub batch_token_us: u64,
    /// Time to read 1,000 prompt tokens that are not in the prefix cache.
    pub prompt_us: u64,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Age of the load reports.
    pub load_lag_ms: u64,
    /// Seed of the output lengths.
    pub seed: u64,
}

/// Settings of `briarbank standin service`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name in the published server list.
    pub server: ServerName,
    /// Name of the plain service.
    pub service: TargetName,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Time for one call.
    pub call_us: u64,
}

impl Validate for PlatformSettings {
    fn validate(&self, checker: &mut Checker) {
        let path = FieldPath::default().field("rate_per_s");
        checker.check_range(&path, self.rate_per_s, 1..=u32::MAX);
    }
}

impl Validate for EngineSettings {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        checker.check_name(&root.field("server"), self.server.as_str());
        checker.check_range(&root.field("slots"), self.slots, 1..=u32::MAX);
        let times = [
            ("token_us", self.token_us),
            ("batch_token_us", self.batch_token_us),
            ("prompt_us", self.prompt_us),
        ];
        for (field, value) in times {
            checker.check_range(&root.field(field), value, 0..=CALL_MAX_US);
        }
        checker.check_range(
            &root.field("cached_prefixes"),
            self.cached_prefixes,
            0..=PREFIXES_MAX,
        );
        checker.check_range(&root.field("load_lag_ms"), self.load_lag_ms, 0..=LAG_MAX_MS);
    }
}

impl Validate for ServiceSettings {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        checker.check_name(&root.field("server"), self.server.as_str());
        checker.check_name(&root.field("service"), self.service.as_str());
        checker.check_range(&root.field("call_us"), self.call_us, 0..=CALL_MAX_US);
    }
}
