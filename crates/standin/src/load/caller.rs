//! A caller who repeats its call until it has an answer.

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

/// Pause before the next try when the answer names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// How one try ends.
enum TryEnd {
    Completed,
    Refused {
        outcome: Outcome,
        pause: Duration,
    },
    /// A refusal that no repeat can change.
    Final(Outcome),
    Broken,
    Wrong,
}

/// One call from its first try to its end.
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

    /// Makes the call, with repeats.
    pub(crate) async fn run(mut self, first_entry: usize) -> CallRecord {
        let give_up = self.intended + Duration::from_millis(self.class.give_up_ms);
        // A caller that gives up in the middle of a try knows nothing of it.
        if let Ok(outcome) = tokio::time::timeout_at(give_up, self.tries(first_entry)).await {
            self.record.outcome = outcome;
        } else {
            self.record.outcome = CallOutcome::Unknown;
        }
        self.record.whole = self.intended.elapsed();
        self.record
    }

    async fn tries(&mut self, first_entry: usize) -> CallOutcome {
        // Once a try may have run, a later refusal speaks only of its own try.
        let mut may_have_run = false;
        loop {
            let tries = self.record.tries as usize;
            let entry = self.plan.entries[(first_entry + tries) % self.plan.entries.len()];
            self.record.tries += 1;
            let pause = match self.attempt(entry).await {
                TryEnd::Completed => return CallOutcome::Completed,
                TryEnd::Wrong => return CallOutcome::Wrong,
                TryEnd::Final(outcome) => return refused(outcome, may_have_run),
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
                return refused(Outcome::NotRun, may_have_run);
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(&mut self, entry: SocketAddr) -> TryEnd {
        self.record.lost_tokens += self.record.tokens;
        self.record.tokens = 0;
        self.record.first_token = None;
        self.record.gaps_us.clear();
        self.last_token = None;
        let Some(request) = self.request() else {
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
            return refusal(answer).await;
        }
        let ended = match (self.class.kind, self.class.stream) {
            (TargetKind::Model, true) => self.read_stream(answer).await,
            (TargetKind::Model, false) => self.read_plain(answer).await,
            (TargetKind::Service, _) => self.read_service(answer).await,
        };
        ended.unwrap_or(TryEnd::Broken)
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
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

    async fn read_plain(&mut self, answer: Answer) -> Result<TryEnd, ClientError> {
        let body = answer.bytes().await?;
        let Ok(parsed) = serde_json::from_slice::<ModelAnswer<'_>>(&body) else {
            return Ok(TryEnd::Wrong);
        };
        let mut check = AnswerCheck::new(self.content.hash);
        let whole = check.push(parsed.text()).and_then(|_| check.finish());
        let Ok(tokens) = whole else {
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
        let own_id = parsed
            .request_id
            .is_none_or(|id| id == &*self.content.request_id);
        let own_body = parsed.body_hash == format!("{:016x}", self.content.hash);
        Ok(if own_id && own_body {
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
            while let Some((name, data)) = events.next() {
                if name == "error" {
                    return Ok(stream_error(data));
                }
                if data == "[DONE]" {
                    let whole = check.finish().is_ok();
                    // The rest of the body is read so that the connection can be used again.
                    while answer.chunk().await?.is_some() {}
                    return Ok(if whole {
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
                self.note_tokens(tokens, now);
            }
        }
        Ok(TryEnd::Broken)
    }

    fn note_tokens(&mut self, tokens: u32, now: Instant) {
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

fn refused(outcome: Outcome, may_have_run: bool) -> CallOutcome {
    if outcome == Outcome::NotRun && !may_have_run {
        CallOutcome::NotRun
    } else {
        CallOutcome::Unknown
    }
}

async fn refusal(answer: Answer) -> TryEnd {
    let status = answer.head.status;
    let Ok(body) = answer.bytes().await else {
        return TryEnd::Broken;
    };
    let Ok(ErrorBody { error }) = serde_json::from_slice(&body) else {
        return TryEnd::Broken;
    };
    // Errors of the request itself stay the same in each try.
    if matches!(status.as_u16(), 400 | 404 | 413 | 422) || error.kind == "done" {
        return TryEnd::Final(error.outcome);
    }
    TryEnd::Refused {
        outcome: error.outcome,
        pause: error.retry_after(),
    }
}

fn stream_error(data: &str) -> TryEnd {
    let Ok(ErrorBody { error }) = serde_json::from_str(data) else {
        return TryEnd::Broken;
    };
    TryEnd::Refused {
        outcome: error.outcome,
        pause: error.retry_after(),
    }
}
