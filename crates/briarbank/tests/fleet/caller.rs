//! Caller that checks its answers.

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_standin::{
    Client, ClientError, answer_hash, answer_length, answer_token, prompt_hash,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

use super::published::NodeAddresses;
use super::{KEY, POLL};

/// Seed of the engines' answer lengths.
pub const ENGINE_SEED: u64 = 7;

/// Maximum time for an answer, above the time limit of all profiles.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum time for the state of a node.
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a prompt whose unlimited answer has at least `tokens` tokens.
pub fn long_prompt(tokens: u32) -> String {
    let prompts = (0..).map(|number| format!("long list {number}"));
    let is_long = |prompt: &String| {
        let length = answer_length(prompt_hash(prompt), ENGINE_SEED, u32::MAX);
        length >= tokens
    };
    prompts.into_iter().find(is_long).expect("lengths vary")
}

/// Caller of one node.
#[derive(Debug)]
pub struct Caller {
    node: SocketAddr,
    operator: SocketAddr,
    client: Client,
}

/// Call to a node, with its headers and body.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub profile: &'static str,
    pub id: Option<String>,
    pub attempt: Option<u32>,
    pub body: Value,
}

impl Call {
    /// Returns a streamed completion call for the prompt.
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

    /// Returns a new booking slip, which may run only once.
    pub fn slip() -> Self {
        Self {
            path: "/services/slips/book".to_owned(),
            profile: "slips",
            id: Some(Uuid::now_v7().to_string()),
            attempt: Some(1),
            body: json!({"lens": "35mm"}),
        }
    }

    /// Returns the same call as the next attempt.
    pub fn retry(&self) -> Self {
        Self {
            attempt: Some(self.attempt.unwrap_or(1) + 1),
            ..self.clone()
        }
    }

    /// Returns the request id.
    pub fn id(&self) -> &str {
        self.id.as_deref().expect("an id")
    }
}

/// Answer with its body, as far as it was received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub outcome: Option<String>,
    pub retry_after_ms: Option<u64>,
    pub text: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Caller {
    /// Returns the caller address of the node.
    pub fn node(&self) -> SocketAddr {
        self.node
    }

    pub(super) fn new(node: NodeAddresses) -> Self {
        Self {
            node: node.caller,
            operator: node.operator,
            client: Client::default(),
        }
    }

    /// Sends a call on a new connection; returns `None` if it was refused.
    ///
    /// # Panics
    ///
    /// Panics if the call fails on an open connection before the answer's head is received.
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

    /// Sends a call and reads its answer; returns `None` if no head was received.
    pub async fn send(&self, call: &Call) -> Option<Answer> {
        let answer = self.exchange(&self.client, call).await;
        if let Err(error) = &answer {
            println!("{} got no answer: {error:?}", call.path);
        }
        answer.ok()
    }

    /// Sends new slips until one is served; a refused one did not run.
    ///
    /// # Panics
    ///
    /// Panics if a slip is refused with another outcome than `not-run`.
    pub async fn send_slip_until_served(&self) -> (Call, Answer) {
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

    /// Retries a call with its id until it is served.
    pub async fn retry_until_served(&self, call: &Call) -> Answer {
        loop {
            let answer = self.send(&call.retry()).await.expect("an answer");
            if answer.status == StatusCode::OK {
                return answer;
            }
            sleep(POLL).await;
        }
    }

    async fn exchange(&self, client: &Client, call: &Call) -> Result<Answer, ClientError> {
        let Ok(answer) = timeout(ANSWER_TIMEOUT, self.send_and_read(client, call)).await else {
            panic!("{} is not answered: {}", call.path, self.dump().await);
        };
        answer
    }

    /// Returns the state of the node.
    async fn dump(&self) -> String {
        let request = Request::builder()
            .uri("/dump")
            .header("host", self.operator.to_string())
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::default())
            .expect("a request");
        let client = Client::default();
        let answer = timeout(DUMP_TIMEOUT, async {
            client.send(self.operator, request).await?.bytes().await
        });
        format!("{:?}", answer.await)
    }

    async fn send_and_read(&self, client: &Client, call: &Call) -> Result<Answer, ClientError> {
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
            is_complete: false,
        };
        loop {
            match answer.chunk().await {
                Ok(Some(chunk)) => read.text.push_str(&String::from_utf8_lossy(&chunk)),
                Ok(None) => {
                    read.is_complete = true;
                    return Ok(read);
                }
                Err(_) => return Ok(read),
            }
        }
    }
}

impl Answer {
    /// Returns the token count of a complete stream for the prompt.
    ///
    /// # Panics
    ///
    /// Panics if the stream is incomplete or belongs to another prompt.
    pub fn assert_stream_of(&self, prompt: &str) -> u32 {
        self.assert_stream_of_hash(prompt_hash(prompt))
    }

    /// Checks that the answer is a complete stream of one of the versions of an engine.
    ///
    /// # Panics
    ///
    /// Panics if the stream is incomplete or holds tokens of two versions.
    pub fn assert_stream_of_one(&self, prompt: &str, versions: &[&str]) {
        let mut hashes = versions.iter().map(|v| answer_hash(prompt_hash(prompt), v));
        let begins = |hash: &u64| self.text.contains(&answer_token(*hash, 0, false));
        let hash = hashes.find(begins).expect(&self.text);
        self.assert_stream_of_hash(hash);
    }

    fn assert_stream_of_hash(&self, hash: u64) -> u32 {
        assert_eq!(self.status, StatusCode::OK, "{}", self.text);
        assert!(self.is_complete, "cut: {}", self.text);
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

    /// Decodes the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }
}
