//! Request handling of the service stand-in.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarbank_config::ServiceSettings;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::run_counts::RunCounts;
use crate::backend::{Gate, Identity, header, locked};
use crate::error::Error;
use crate::http::{Connection, Endpoint, Reply, full, json as json_answer, read_body, status};

/// Endpoint of the service stand-in.
pub(crate) struct ServiceEndpoint {
    service: Arc<str>,
    call_time: Duration,
    gate: Gate,
    runs: Mutex<RunCounts>,
    running: AtomicU32,
}

/// Guard that counts a call as running until it is dropped.
struct RunningCallGuard<'a>(&'a AtomicU32);

impl<'a> RunningCallGuard<'a> {
    fn new(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for RunningCallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceEndpoint {
    pub(crate) fn new(settings: &ServiceSettings, gate: Gate) -> Self {
        Self {
            service: Arc::from(settings.service.as_str()),
            call_time: Duration::from_micros(settings.call_us),
            gate,
            runs: Mutex::new(RunCounts::default()),
            running: AtomicU32::new(0),
        }
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Reply {
        let attempt = header(&request, "briarbank-attempt")
            .unwrap_or("")
            .to_owned();
        let mut response = match self.gate.refusal(&request).await {
            Some(refusal) => refusal,
            None => self.run_call(request).await?,
        };
        self.gate.delay_answer().await;
        self.gate.wait_while_frozen().await;
        let running = self.running.load(Ordering::Relaxed);
        self.gate.add_headers(&mut response, &attempt, running, 0);
        Ok(response)
    }

    async fn run_call(&self, request: Request<Incoming>) -> Reply {
        let attempt: Arc<str> = Arc::from(header(&request, "briarbank-attempt").unwrap_or(""));
        // Callers that bypass the router send the id as the idempotency key.
        let id = header(&request, "briarbank-request-id")
            .or_else(|| header(&request, "idempotency-key"))
            .map(str::to_owned);
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body()).await?;
        let _running = RunningCallGuard::new(&self.running);
        let run = locked(&self.runs).record_run(id.as_deref());
        self.simulate_work().await;
        let own = Identity {
            attempt,
            hash: xxh3_64(&body),
        };
        let identity = self.gate.answer_identity(own).await;
        if self.gate.breaks_at(1) {
            return Err(Error::Cut);
        }
        if self.gate.take_malformed_event() {
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

    async fn simulate_work(&self) {
        let factor = self.gate.switches().straggle_factor.max(0.0);
        let time = self.call_time.mul_f64(factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }
}

impl Endpoint for ServiceEndpoint {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> Reply {
        let path = request.uri().path().to_owned();
        if path != "/control" && !path.starts_with("/control/") {
            return self.handle_call(request).await;
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
            _ => match self.gate.handle_control(request, &connection).await {
                Some(reply) => reply,
                None => Ok(status(StatusCode::NOT_FOUND)),
            },
        }
    }
}
