//! Requests to the stand-in of a plain service.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarbank_config::ServiceSettings;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::runs::Runs;
use crate::backend::{Gate, Identity, header, locked};
use crate::error::Error;
use crate::http::{Endpoint, Line, Reply, full, json as json_answer, read, status};

/// The service's port.
pub(crate) struct ServiceEndpoint {
    service: Arc<str>,
    call: Duration,
    gate: Gate,
    runs: Mutex<Runs>,
    running: AtomicU32,
}

/// Counts a call as running for as long as it lives.
struct RunningCall<'a>(&'a AtomicU32);

impl<'a> RunningCall<'a> {
    fn new(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceEndpoint {
    pub(crate) fn new(settings: &ServiceSettings, gate: Gate) -> Self {
        Self {
            service: Arc::from(settings.service.as_str()),
            call: Duration::from_micros(settings.call_us),
            gate,
            runs: Mutex::new(Runs::default()),
            running: AtomicU32::new(0),
        }
    }

    async fn call(&self, request: Request<Incoming>) -> Reply {
        let attempt = header(&request, "briarbank-attempt")
            .unwrap_or("")
            .to_owned();
        let mut response = match self.gate.refusal(&request).await {
            Some(refusal) => refusal,
            None => self.run(request).await?,
        };
        self.gate.late().await;
        self.gate.thawed().await;
        let running = self.running.load(Ordering::Relaxed);
        self.gate.stamp(&mut response, &attempt, running, 0);
        Ok(response)
    }

    async fn run(&self, request: Request<Incoming>) -> Reply {
        let attempt: Arc<str> = Arc::from(header(&request, "briarbank-attempt").unwrap_or(""));
        // Callers without a router in between name the request in the other header.
        let id = header(&request, "briarbank-request-id")
            .or_else(|| header(&request, "idempotency-key"))
            .map(str::to_owned);
        let path = request.uri().path().to_owned();
        let body = read(request.into_body()).await?;
        let _running = RunningCall::new(&self.running);
        let run = locked(&self.runs).count(id.as_deref());
        self.work().await;
        let own = Identity {
            attempt,
            hash: xxh3_64(&body),
        };
        let identity = self.gate.identity(own).await;
        if self.gate.breaks_at(1) {
            return Err(Error::Cut);
        }
        if self.gate.takes_malformed() {
            return Ok(Response::new(full("{\"service\": ")));
        }
        let answer = json!({
            "service": &*self.service,
            "path": path,
            "request_id": id,
            "run": run,
            "body_hash": format!("{:016x}", identity.hash),
        });
        let mut response = json_answer(StatusCode::OK, &answer)?;
        if let Ok(attempt) = HeaderValue::from_str(&identity.attempt) {
            response.headers_mut().insert("briarbank-attempt", attempt);
        }
        Ok(response)
    }

    async fn work(&self) {
        let factor = self.gate.switches().straggle_factor.max(0.0);
        let time = self.call.mul_f64(factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }
}

impl Endpoint for ServiceEndpoint {
    async fn answer(self: Arc<Self>, request: Request<Incoming>, line: Arc<Line>) -> Reply {
        let path = request.uri().path().to_owned();
        if path != "/control" && !path.starts_with("/control/") {
            return self.call(request).await;
        }
        match (request.method(), &*path) {
            (&Method::GET, "/control/runs") => {
                let list = locked(&self.runs).list();
                json_answer(StatusCode::OK, &list)
            }
            (&Method::GET, "/control/state") => {
                let summary = locked(&self.runs).summary();
                json_answer(StatusCode::OK, &summary)
            }
            _ => match self.gate.control(request, &line).await {
                Some(reply) => reply,
                None => Ok(status(StatusCode::NOT_FOUND)),
            },
        }
    }
}
