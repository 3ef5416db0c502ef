//! A caller that retries its call until it has an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::Outcome;
use briarbank_core::catalog::TargetKind;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use super::arrivals::Arrival;
use super::check::AnswerCheck;
use super::content::CallContent;
use super::events::{ErrorBody, EventBuffer, ModelAnswer, ServiceAnswer};
use super::outcome::{CallOutcome, CallRecord};
use super::plan::{LoadClass, LoadPlan};
use crate::http::{Answer, Client, ClientError};

/// Delay before the next try when the answer names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// End of one try.
enum TryEnd {
    Completed,
    Refused {
        outcome: Outcome,
        pause: Duration,
    },
    /// A refusal that a retry can't change.
    Final(Outcome),
    Broken,
    Wrong,
}

/// Caller of one call, from its first try to its outcome.
pub(crate) struct Caller<'p> {
    client: &'p Client,
    plan: &'p LoadPlan,
    class: &'p LoadClass,
    content: CallContent,
    intended: Instant,
    record: CallRecord,
    last_token: Option<Instant>,
}

impl<'p> Caller<'p> {
    pub(crate) fn new(
        client: &'p Client,
        plan: &'p LoadPlan,
        arrival: Arrival,
        intended: Instant,
    ) -> Self {
        let content = CallContent::new(plan, arrival);
        let record = CallRecord {
            class: arrival.class,
            workspace: content.workspace,
            request_id: Arc::clone(&content.request_id),
            outcome: CallOutcome::Unknown,
            tries: 0,
            first_token: None,
            gaps_us: Vec::new(),
            whole: Duration::ZERO,
            intended_start: arrival.intended_start,
            tokens: 0,
            lost_tokens: 0,
        };
        Self {
            client,
            plan,
            class: &plan.classes[arrival.class],
            content,
            intended,
            record,
            last_token: None,
        }
    }

    /// Makes the call, with retries, and returns its record.
    pub(crate) async fn run(mut self, first_entry: usize) -> CallRecord {
        let give_up = self.intended + Duration::from_millis(self.class.give_up_ms);
        // After a timeout, the caller can't know whether the last try ran.
        if let Ok(outcome) = tokio::time::timeout_at(give_up, self.run_tries(first_entry)).await {
            self.record.outcome = outcome;
        } else {
            self.record.outcome = CallOutcome::Unknown;
        }
        self.record.whole = self.intended.elapsed();
        self.record
    }

    async fn run_tries(&mut self, first_entry: usize) -> CallOutcome {
        // A refusal covers only its own try: an earlier try may have run.
        let mut may_have_run = false;
        loop {
            let tries = self.record.tries as usize;
            let entry = self.plan.entries[(first_entry + tries) % self.plan.entries.len()];
            self.record.tries += 1;
            let pause = match self.run_try(entry).await {
                TryEnd::Completed => return CallOutcome::Completed,
                TryEnd::Wrong => return CallOutcome::Wrong,
                TryEnd::Final(outcome) => return outcome_of_refusal(outcome, may_have_run),
                TryEnd::Refused { outcome, pause } => {
                    may_have_run |= outcome != Outcome::NotRun;
                    pause
                }
                TryEnd::Broken => {
                    may_have_run = true;
                    DEFAULT_PAUSE
                }
            };
            if self.record.tries >= self.class.tries {
                return outcome_of_refusal(Outcome::NotRun, may_have_run);
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn run_try(&mut self, entry: SocketAddr) -> TryEnd {
        self.record.lost_tokens += self.record.tokens;
        self.record.tokens = 0;
        self.record.first_token = None;
        self.record.gaps_us.clear();
        self.last_token = None;
        let Some(request) = self.build_request() else {
            return TryEnd::Final(Outcome::NotRun);
        };
        let answer = match self.client.send(entry, request).await {
            Ok(answer) => answer,
            Err(ClientError::Connect(..)) => {
                return TryEnd::Refused {
                    outcome: Outcome::NotRun,
                    pause: DEFAULT_PAUSE,
                };
            }
            Err(_) => return TryEnd::Broken,
        };
        if !answer.head.status.is_success() {
            return read_refusal(answer).await;
        }
        let ended = match (self.class.kind, self.class.stream) {
            (TargetKind::Model, true) => self.read_stream(answer).await,
            (TargetKind::Model, false) => self.read_complete(answer).await,
            (TargetKind::Service, _) => self.read_service(answer).await,
        };
        ended.unwrap_or(TryEnd::Broken)
    }

    fn build_request(&self) -> Option<Request<Full<Bytes>>> {
        let workspace = self.content.workspace(self.class).as_str();
        Request::builder()
            .method("POST")
            .uri(&self.content.path)
            .header("host", "localhost")
            .header("content-type", "application/json")
            .header("briarbank-workspace", workspace)
            .header("briarbank-profile", self.class.profile.as_str())
            .header("idempotency-key", &*self.content.request_id)
            .header("briarbank-try", self.record.tries)
            .body(Full::new(self.content.body.clone()))
            .ok()
    }

    async fn read_complete(&mut self, answer: Answer) -> Result<TryEnd, ClientError> {
        let body = answer.bytes().await?;
        let Ok(parsed) = serde_json::from_slice::<ModelAnswer<'_>>(&body) else {
            return Ok(TryEnd::Wrong);
        };
        let mut check = AnswerCheck::new(self.content.hash);
        let checked = check.push(parsed.text()).and_then(|_| check.finish());
        let Ok(tokens) = checked else {
            return Ok(TryEnd::Wrong);
        };
        self.record.tokens = tokens;
        self.record.first_token = Some(self.intended.elapsed());
        Ok(TryEnd::Completed)
    }

    async fn read_service(&mut self, answer: Answer) -> Result<TryEnd, ClientError> {
        let body = answer.bytes().await?;
        self.record.first_token = Some(self.intended.elapsed());
        let Ok(parsed) = serde_json::from_slice::<ServiceAnswer<'_>>(&body) else {
            return Ok(TryEnd::Wrong);
        };
        let id_matches = parsed
            .request_id
            .is_none_or(|id| id == &*self.content.request_id);
        let body_matches = parsed.body_hash == format!("{:016x}", self.content.hash);
        Ok(if id_matches && body_matches {
            TryEnd::Completed
        } else {
            TryEnd::Wrong
        })
    }

    async fn read_stream(&mut self, mut answer: Answer) -> Result<TryEnd, ClientError> {
        let mut check = AnswerCheck::new(self.content.hash);
        let mut events = EventBuffer::default();
        while let Some(bytes) = answer.chunk().await? {
            if !events.push(&bytes) {
                return Ok(TryEnd::Wrong);
            }
            let now = Instant::now();
            while let Some((name, data)) = events.next_event() {
                if name == "error" {
                    return Ok(parse_stream_error(data));
                }
                if data == "[DONE]" {
                    let is_complete = check.finish().is_ok();
                    // Reads the rest of the body so that the connection can be reused.
                    while answer.chunk().await?.is_some() {}
                    return Ok(if is_complete {
                        TryEnd::Completed
                    } else {
                        TryEnd::Wrong
                    });
                }
                let Ok(event) = serde_json::from_str::<ModelAnswer<'_>>(data) else {
                    return Ok(TryEnd::Wrong);
                };
                let Ok(tokens) = check.push(event.text()) else {
                    return Ok(TryEnd::Wrong);
                };
                self.record_tokens(tokens, now);
            }
        }
        Ok(TryEnd::Broken)
    }

    fn record_tokens(&mut self, tokens: u32, now: Instant) {
        if tokens == 0 {
            return;
        }
        self.record.tokens += tokens;
        match self.last_token.replace(now) {
            None => self.record.first_token = Some(now.duration_since(self.intended)),
            Some(before) => {
                let gap_us = now.duration_since(before).as_micros();
                let gap_us = u64::try_from(gap_us).unwrap_or(u64::MAX);
                self.record.gaps_us.push(gap_us);
            }
        }
    }
}

fn outcome_of_refusal(outcome: Outcome, may_have_run: bool) -> CallOutcome {
    if outcome == Outcome::NotRun && !may_have_run {
        CallOutcome::NotRun
    } else {
        CallOutcome::Unknown
    }
}

async fn read_refusal(answer: Answer) -> TryEnd {
    let status = answer.head.status;
    let Ok(body) = answer.bytes().await else {
        return TryEnd::Broken;
    };
    let Ok(ErrorBody { error }) = serde_json::from_slice(&body) else {
        return TryEnd::Broken;
    };
    // An error of the request itself recurs in each try.
    if matches!(status.as_u16(), 400 | 404 | 413 | 422) || error.kind == "done" {
        return TryEnd::Final(error.outcome);
    }
    TryEnd::Refused {
        outcome: error.outcome,
        pause: error.retry_after(),
    }
}

fn parse_stream_error(data: &str) -> TryEnd {
    let Ok(ErrorBody { error }) = serde_json::from_str(data) else {
        return TryEnd::Broken;
    };
    TryEnd::Refused {
        outcome: error.outcome,
        pause: error.retry_after(),
    }
}
