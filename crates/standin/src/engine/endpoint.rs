//! Request handling of the engine stand-in.

use std::sync::Arc;

use briarbank_config::EngineSettings;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;

use super::answer::{answer_hash, answer_length, answer_token};
use super::batch::{Job, Token};
use super::prompt::{ModelApi, Prompt};
use super::stepper::Stepper;
use super::stream::EventStream;
use crate::backend::{Gate, Identity, header, not_run};
use crate::error::Error;
use crate::http::{
    Body, Connection, Endpoint, Reply, full, json as json_answer, read_body, status,
};

/// Tier of calls without a tier header, the lowest.
const DEFAULT_TIER: u8 = 5;

/// Endpoint of the engine stand-in.
pub(crate) struct EngineEndpoint {
    settings: EngineSettings,
    gate: Arc<Gate>,
    stepper: Arc<Stepper>,
}

/// Request headers that the engine evaluates.
struct CallHeaders {
    attempt: Arc<str>,
    tier: u8,
    resume_tokens: u32,
}

impl CallHeaders {
    fn from_request(request: &Request<Incoming>) -> Self {
        let tier = header(request, "briarbank-tier").and_then(|t| t.parse().ok());
        let resume = header(request, "briarbank-resume-tokens").and_then(|t| t.parse().ok());
        Self {
            attempt: Arc::from(header(request, "briarbank-attempt").unwrap_or("")),
            tier: tier.unwrap_or(DEFAULT_TIER),
            resume_tokens: resume.unwrap_or(0),
        }
    }
}

impl EngineEndpoint {
    pub(crate) fn new(settings: EngineSettings, gate: Arc<Gate>, stepper: Arc<Stepper>) -> Self {
        Self {
            settings,
            gate,
            stepper,
        }
    }

    async fn handle_call(&self, api: ModelApi, request: Request<Incoming>) -> Reply {
        let attempt = header(&request, "briarbank-attempt")
            .unwrap_or("")
            .to_owned();
        let mut response = match self.gate.refusal(&request).await {
            Some(refusal) => refusal,
            None => self.run_call(api, request).await?,
        };
        self.gate.delay_answer().await;
        self.gate.wait_while_frozen().await;
        let counters = self.stepper.counters();
        self.gate
            .add_headers(&mut response, &attempt, counters.running, counters.waiting);
        Ok(response)
    }

    async fn run_call(&self, api: ModelApi, request: Request<Incoming>) -> Reply {
        let headers = CallHeaders::from_request(&request);
        let body = read_body(request.into_body()).await?;
        let prompt = Prompt::parse(api, &body)?;
        let Some(tokens) = self.enqueue(&headers, &prompt) else {
            return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, "full"));
        };
        let own = Identity {
            attempt: headers.attempt,
            hash: answer_hash(prompt.hash, &self.settings.version),
        };
        let identity = self.gate.answer_identity(own).await;
        if prompt.stream {
            Ok(self.stream_answer(api, identity, tokens))
        } else {
            self.whole_answer(&prompt, identity, tokens).await
        }
    }

    fn enqueue(&self, headers: &CallHeaders, prompt: &Prompt) -> Option<mpsc::Receiver<Token>> {
        let full_length = answer_length(prompt.hash, self.settings.seed, prompt.max_tokens);
        // A resumed answer has at least one more token, its last.
        let length = full_length.max(headers.resume_tokens.saturating_add(1));
        let remaining_tokens = length.saturating_sub(headers.resume_tokens).max(1);
        let (sender, receiver) = mpsc::channel(remaining_tokens as usize);
        let job = Job {
            tier: headers.tier,
            prefix_key: prompt.prefix_key,
            prompt_tokens: prompt.size_tokens,
            next_index: headers.resume_tokens,
            length,
            sender,
        };
        self.stepper.enqueue(job).then_some(receiver)
    }

    fn stream_answer(
        &self,
        api: ModelApi,
        identity: Identity,
        tokens: mpsc::Receiver<Token>,
    ) -> Response<Body> {
        let attempt = Arc::clone(&identity.attempt);
        let events = EventStream {
            identity,
            api,
            tokens,
            gate: Arc::clone(&self.gate),
            ended: false,
            broken: false,
        };
        let mut response = Response::new(events.boxed_unsync());
        set_answer_headers(&mut response, "text/event-stream", &attempt);
        response
    }

    async fn whole_answer(
        &self,
        prompt: &Prompt,
        identity: Identity,
        mut tokens: mpsc::Receiver<Token>,
    ) -> Reply {
        let mut text = String::new();
        let mut count = 0_u32;
        loop {
            let token = tokens.recv().await.ok_or(Error::Cut)?;
            if self.gate.breaks_at(token.index) {
                return Err(Error::Cut);
            }
            text.push_str(&answer_token(identity.hash, token.index, token.last));
            count += 1;
            if token.last {
                break;
            }
        }
        if self.gate.take_malformed_event() {
            return Ok(Response::new(full("{\"choices\": [")));
        }
        let mut response = json_answer(
            StatusCode::OK,
            &answer_body(prompt, &identity, &text, count),
        )?;
        set_answer_headers(&mut response, "application/json", &identity.attempt);
        Ok(response)
    }
}

fn answer_body(prompt: &Prompt, identity: &Identity, text: &str, tokens: u32) -> serde_json::Value {
    let (object, choice) = match prompt.api {
        ModelApi::Chat => (
            "chat.completion",
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}),
        ),
        ModelApi::Completion => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "stop"}),
        ),
    };
    json!({
        "id": format!("answer-{:016x}", identity.hash),
        "object": object,
        "model": &*prompt.model,
        "attempt": &*identity.attempt,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt.size_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt.size_tokens.saturating_add(tokens as usize),
        },
    })
}

/// Sets the content type and echoes the attempt id.
fn set_answer_headers(response: &mut Response<Body>, content_type: &'static str, attempt: &str) {
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static(content_type),
    );
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        headers.insert("briarbank-attempt", attempt);
    }
}

impl Endpoint for EngineEndpoint {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<Connection>,
    ) -> Reply {
        let path = request.uri().path().to_owned();
        if request.method() == Method::POST
            && let Some(api) = ModelApi::from_path(&path)
        {
            return self.handle_call(api, request).await;
        }
        if request.method() == Method::GET && path == "/control/state" {
            connection.exempt_from_silence();
            return json_answer(StatusCode::OK, &self.stepper.counters());
        }
        if path == "/control/crash" {
            self.stepper.clear();
        }
        match self.gate.handle_control(request, &connection).await {
            Some(reply) => reply,
            None => Ok(status(StatusCode::NOT_FOUND)),
        }
    }
}
