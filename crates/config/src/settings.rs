//! Settings of each program, read from JSON with comments.

use std::net::SocketAddr;
use std::sync::Arc;

use briarbank_core::ids::{HostName, ServerName, TargetName, ZoneName};
use jsonc_parser::ParseOptions;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why settings or a document can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not JSON with comments.
        Syntax(error: Arc<str>) {
            display("not valid JSON with comments: {error}")
        }
        /// A field is unknown, missing or of the wrong kind.
        Field(path: Arc<str>, error: Arc<str>) {
            display("field {path}: {error}")
        }
    }
}

/// Bounds of the caller port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body_bytes: usize,
    /// Largest request head.
    pub header_bytes: usize,
    /// Most connections from callers.
    pub connections: usize,
    /// Most calls in flight or waiting.
    pub calls: usize,
    /// Time for a request's head to arrive.
    pub header_timeout_ms: u64,
    /// Time for a request's body to arrive.
    pub body_timeout_ms: u64,
    /// Largest answer of a plain service, and largest event of a stream.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            connections: 10_000,
            calls: 8_000,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            answer_bytes: 1 << 20,
        }
    }
}

/// Settings of `briarbank node`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name in the published host list.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the port for callers.
    pub caller_address: SocketAddr,
    /// Address of the port for other nodes.
    pub peer_address: SocketAddr,
    /// Address of the port for operators.
    pub operator_address: SocketAddr,
    /// Addresses of the platform's replicas.
    pub platform_addresses: Vec<SocketAddr>,
    /// Key that other nodes and operators must show.
    pub shared_key: Arc<str>,
    /// Longest time for a planned stop.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Bounds of the caller port.
    #[serde(default)]
    pub limits: Limits,
}

fn default_drain_timeout_ms() -> u64 {
    60_000
}

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

/// Parses settings from JSON with comments.
///
/// # Errors
///
/// [`Error::Syntax`] or [`Error::Field`].
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let value =
        jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default())
            .map_err(|e| Error::Syntax(Arc::from(e.to_string())))?;
    serde_path_to_error::deserialize(value).map_err(|e| {
        Error::Field(
            Arc::from(e.path().to_string()),
            Arc::from(e.inner().to_string()),
        )
    })
}
