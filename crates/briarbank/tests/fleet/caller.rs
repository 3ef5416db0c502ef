//! A caller that checks its answers.

use std::net::SocketAddr;

use briarbank_standin::{Client, ClientError, answer_length, answer_token, prompt_hash};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::sleep;
use uuid::Uuid;

use super::POLL;

/// Seed of the engines' answer lengths.
pub const ENGINE_SEED: u64 = 7;

/// A prompt whose answer has at least that many tokens, when they are allowed.
pub fn long_prompt(tokens: u32) -> String {
    let prompts = (0..).map(|number| format!("long list {number}"));
    let is_long = |prompt: &String| {
        let length = answer_length(prompt_hash(prompt), ENGINE_SEED, u32::MAX);
        length >= tokens
    };
    prompts.into_iter().find(is_long).expect("lengths vary")
}

/// Calls one node.
#[derive(Debug)]
pub struct Caller {
    node: SocketAddr,
    client: Client,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub profile: &'static str,
    pub id: Option<String>,
    pub attempt: Option<u32>,
    pub body: Value,
}

impl Call {
    /// A streamed completion.
    pub fn stream(prompt: &str, max_tokens: u32) -> Self {
        Self {
            path: "/v1/completions".to_owned(),
            profile: "lists",
            id: None,
            attempt: None,
            body: json!({
                "model": "lens-model", "prompt": prompt, "stream": true,
                "max_tokens": max_tokens,
            }),
        }
    }

    /// A new booking slip, which may not be repeated.
    pub fn slip() -> Self {
        Self {
            path: "/services/slips/book".to_owned(),
            profile: "slips",
            id: Some(Uuid::now_v7().to_string()),
            attempt: Some(1),
            body: json!({"lens": "35mm"}),
        }
    }

    /// The same call again.
    pub fn again(&self) -> Self {
        Self {
            attempt: Some(self.attempt.unwrap_or(1) + 1),
            ..self.clone()
        }
    }

    /// Id that the caller chose.
    pub fn id(&self) -> &str {
        self.id.as_deref().expect("an id")
    }
}

/// An answer, read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub outcome: Option<String>,
    pub retry_after_ms: Option<u64>,
    pub text: String,
    /// Whether the connection held until the end.
    pub whole: bool,
}

impl Caller {
    /// Port of the node that it calls.
    pub fn node(&self) -> SocketAddr {
        self.node
    }

    pub(super) fn new(node: SocketAddr) -> Self {
        Self {
            node,
            client: Client::default(),
        }
    }

    /// Sends a call on a connection of its own; `None` when it was refused.
    ///
    /// # Panics
    ///
    /// The connection broke after the call was sent.
    pub async fn send_on_fresh_connection(&self, call: &Call) -> Option<Answer> {
        let client = Client::default();
        let answer = match self.exchange(&client, call).await {
            Ok(answer) => Some(answer),
            Err(ClientError::Connect(..)) => None,
            Err(error) => panic!("{} got no answer: {error}", call.path),
        };
        client.close().await;
        answer
    }

    /// Sends a call and reads its answer; `None` when no head came back.
    pub async fn send(&self, call: &Call) -> Option<Answer> {
        let answer = self.exchange(&self.client, call).await;
        if let Err(error) = &answer {
            println!("{} got no answer: {error:?}", call.path);
        }
        answer.ok()
    }

    /// Sends a new slip until one is answered; a refused one was not run.
    ///
    /// # Panics
    ///
    /// A slip is refused without the proof that it was not run.
    pub async fn insist_on_slip(&self) -> (Call, Answer) {
        loop {
            let call = Call::slip();
            let answer = self.send(&call).await.expect("an answer");
            if answer.status == StatusCode::OK {
                return (call, answer);
            }
            assert_eq!(
                answer.outcome.as_deref(),
                Some("not-run"),
                "{}",
                answer.text
            );
            sleep(POLL).await;
        }
    }

    /// Repeats a call with its id until it is answered.
    pub async fn insist_on_repeat(&self, call: &Call) -> Answer {
        loop {
            let answer = self.send(&call.again()).await.expect("an answer");
            if answer.status == StatusCode::OK {
                return answer;
            }
            sleep(POLL).await;
        }
    }

    async fn exchange(&self, client: &Client, call: &Call) -> Result<Answer, ClientError> {
        let mut request = Request::builder()
            .method("POST")
            .uri(&call.path)
            .header("host", self.node.to_string())
            .header("briarbank-workspace", "w")
            .header("briarbank-profile", call.profile)
            .header("content-type", "application/json");
        if let Some(id) = &call.id {
            request = request.header("idempotency-key", id);
        }
        if let Some(attempt) = call.attempt {
            request = request.header("briarbank-try", attempt);
        }
        let body = Full::new(Bytes::from(call.body.to_string()));
        let request = request.body(body).expect("a request");
        let mut answer = client.send(self.node, request).await?;
        let header = |name: &str| answer.header(name).map(str::to_owned);
        let mut read = Answer {
            status: answer.head.status,
            outcome: header("briarbank-outcome"),
            retry_after_ms: header("retry-after-ms").and_then(|v| v.parse().ok()),
            text: String::new(),
            whole: false,
        };
        loop {
            match answer.chunk().await {
                Ok(Some(chunk)) => read.text.push_str(&String::from_utf8_lossy(&chunk)),
                Ok(None) => {
                    read.whole = true;
                    return Ok(read);
                }
                Err(_) => return Ok(read),
            }
        }
    }
}

impl Answer {
    /// Number of tokens of a whole stream for the prompt.
    ///
    /// # Panics
    ///
    /// The stream is not whole, or not the one of the prompt.
    pub fn assert_stream_of(&self, prompt: &str) -> u32 {
        assert_eq!(self.status, StatusCode::OK, "{}", self.text);
        assert!(self.whole, "cut: {}", self.text);
        let hash = prompt_hash(prompt);
        let mut events = self.text.split("\n\n").filter(|e| !e.is_empty());
        let mut index = 0;
        loop {
            let event = events.next().expect("an event before the stream's end");
            let data = event.strip_prefix("data: ").expect(event);
            if data == "[DONE]" {
                break;
            }
            let token: Value = serde_json::from_str(data).expect("a token");
            let choice = &token["choices"][0];
            let last = choice["finish_reason"] == "stop";
            assert_eq!(token["index"], index, "{event}");
            assert_eq!(choice["text"], answer_token(hash, index, last), "{event}");
            index += 1;
        }
        assert!(events.next().is_none(), "events after the end");
        index
    }

    /// The JSON body.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }
}
