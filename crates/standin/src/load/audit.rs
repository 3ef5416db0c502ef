//! Comparison of the callers' outcomes with the stand-ins' counters.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use briarbank_core::catalog::TargetKind;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::error::LoadError;
use super::outcome::{CallOutcome, CallRecord};
use super::plan::LoadPlan;
use super::result::AuditResult;
use crate::http::{Client, ClientError};

#[derive(Debug, Deserialize)]
struct EngineState {
    tokens: u64,
}

#[derive(Debug, Deserialize)]
struct ServiceRuns {
    runs: HashMap<Arc<str>, u32>,
}

/// Callers' outcomes, compared with the stand-ins' counters after the load.
#[derive(Debug)]
pub(crate) struct Audit {
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    tokens_before: u64,
    attained_tokens: u64,
    completed: Vec<Arc<str>>,
    not_run: Vec<Arc<str>>,
}

impl Audit {
    /// Reads the engines' counters before the load.
    pub(crate) async fn start(client: &Client, plan: &LoadPlan) -> Result<Self, LoadError> {
        Ok(Self {
            engines: plan.engines.clone(),
            services: plan.services.clone(),
            tokens_before: fetch_generated_tokens(client, &plan.engines).await?,
            attained_tokens: 0,
            completed: Vec::new(),
            not_run: Vec::new(),
        })
    }

    /// Records the outcome of a call.
    pub(crate) fn record_call(&mut self, kind: TargetKind, record: &CallRecord, attained: bool) {
        if attained {
            self.attained_tokens += u64::from(record.tokens);
        }
        if kind != TargetKind::Service {
            return;
        }
        let id = Arc::clone(&record.request_id);
        match record.outcome {
            CallOutcome::Completed => self.completed.push(id),
            CallOutcome::NotRun => self.not_run.push(id),
            CallOutcome::Unknown | CallOutcome::Wrong => {}
        }
    }

    /// Reads the counters after the load and compares them with the outcomes.
    pub(crate) async fn finish(self, client: &Client) -> Result<Option<AuditResult>, LoadError> {
        if self.engines.is_empty() && self.services.is_empty() {
            return Ok(None);
        }
        let tokens_after = fetch_generated_tokens(client, &self.engines).await?;
        let generated_tokens = tokens_after.saturating_sub(self.tokens_before);
        let runs = fetch_runs(client, &self.services).await?;
        let has_run = |id: &&Arc<str>| runs.contains_key(*id);
        let has_services = !self.services.is_empty();
        let with_run = self.completed.iter().filter(has_run).count();
        let completed_without_run = if has_services {
            self.completed.len() - with_run
        } else {
            0
        };
        Ok(Some(AuditResult {
            generated_tokens,
            wasted_tokens: generated_tokens.saturating_sub(self.attained_tokens),
            service_runs: runs.values().map(|n| u64::from(*n)).sum(),
            duplicate_runs: runs.values().filter(|n| **n > 1).count() as u64,
            false_not_run: self.not_run.iter().filter(has_run).count() as u64,
            completed_without_run: completed_without_run as u64,
        }))
    }
}

/// Returns the number of tokens that all engines generated.
async fn fetch_generated_tokens(client: &Client, engines: &[SocketAddr]) -> Result<u64, LoadError> {
    let mut tokens = 0;
    for engine in engines {
        let state: EngineState = fetch_json(client, *engine, "/control/state").await?;
        tokens += state.tokens;
    }
    Ok(tokens)
}

/// Returns the number of runs of each request id over all services.
async fn fetch_runs(
    client: &Client,
    services: &[SocketAddr],
) -> Result<HashMap<Arc<str>, u32>, LoadError> {
    let mut all: HashMap<Arc<str>, u32> = HashMap::new();
    for service in services {
        let state: ServiceRuns = fetch_json(client, *service, "/control/runs").await?;
        for (id, count) in state.runs {
            *all.entry(id).or_default() += count;
        }
    }
    Ok(all)
}

async fn fetch_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, LoadError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let body = async { client.send(address, request).await?.bytes().await };
    let body = body
        .await
        .map_err(|e: ClientError| LoadError::Counters(address, e))?;
    Ok(serde_json::from_slice(&body)?)
}
