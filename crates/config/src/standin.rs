//! Settings of the stand-ins for the platform, engines and plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use briarbank_core::ids::{ServerName, TargetName};
use serde::{Deserialize, Serialize};

use crate::checker::{Checker, Validate};
use crate::field::FieldPath;

const CACHED_PREFIXES_MAX: usize = 1_000_000;
const LOAD_LAG_MAX_MS: u64 = 600_000;
const DURATION_MAX_US: u64 = 600_000_000;

/// Settings of `briarbank standin platform`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of calls per second; further calls are refused.
    pub rate_per_s: u32,
}

/// Settings of `briarbank standin engine`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the server in the published server list.
    pub server: ServerName,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time per token with a batch of one request.
    pub token_us: u64,
    /// Additional time per token for each further request in the batch.
    pub batch_token_us: u64,
    /// Time to prefill 1,000 prompt tokens that are not in the prefix cache.
    pub prompt_us: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: usize,
    /// Age of the load in load reports.
    pub load_lag_ms: u64,
    /// Seed of the pseudorandom output lengths.
    pub seed: u64,
    /// Version of the software; answers of two versions do not fit together.
    #[serde(default)]
    pub version: Arc<str>,
}

/// Settings of `briarbank standin service`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the server in the published server list.
    pub server: ServerName,
    /// Name of the plain service.
    pub service: TargetName,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Duration of one call.
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
            checker.check_range(&root.field(field), value, 0..=DURATION_MAX_US);
        }
        checker.check_range(
            &root.field("cached_prefixes"),
            self.cached_prefixes,
            0..=CACHED_PREFIXES_MAX,
        );
        checker.check_range(
            &root.field("load_lag_ms"),
            self.load_lag_ms,
            0..=LOAD_LAG_MAX_MS,
        );
    }
}

impl Validate for ServiceSettings {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        checker.check_name(&root.field("server"), self.server.as_str());
        checker.check_name(&root.field("service"), self.service.as_str());
        checker.check_range(&root.field("call_us"), self.call_us, 0..=DURATION_MAX_US);
    }
}
