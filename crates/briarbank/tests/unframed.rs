//! Streams without a length or chunks, which end with their connection.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use briarbank_standin::{answer_token, prompt_hash};
use fleet::{Answer, Call, Fleet, POLL, Size};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

const SIZE: Size = Size {
    nodes: 1,
    engines: 0,
    services: 0,
    token_us: 0,
    call_us: 0,
};
const PROMPT: &str = "unframed";
/// Tokens of the whole answer.
const TOKENS: u32 = 8;
/// Longest time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How the first answer ends; later ones are whole.
#[derive(Clone, Copy)]
enum FirstEnd {
    Whole,
    /// Inside the event of a token.
    InEvent,
    /// Inside the closing event, after the last token.
    InClosingEvent,
}

async fn serve(listener: TcpListener, first: FirstEnd, requests: Arc<AtomicU32>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let requests = Arc::clone(&requests);
        connections.spawn(async move { answer(stream, first, &requests).await });
    }
}

/// Answers one request; the connection is closed after that.
async fn answer(mut stream: TcpStream, first: FirstEnd, requests: &AtomicU32) {
    let mut request = String::new();
    let mut buffer = [0; 4096];
    while !request.contains(PROMPT) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => request.push_str(&String::from_utf8_lossy(&buffer[..read])),
        }
    }
    let header = |name: &str| {
        let mut lines = request.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    };
    let attempt = header("briarbank-attempt");
    let resume = header("briarbank-resume-tokens").parse().unwrap_or(0);
    let mut text = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nbriarbank-attempt: {attempt}\r\n\r\n"
    );
    for index in resume..TOKENS {
        text.push_str(&event(attempt, index));
    }
    text.push_str("data: [DONE]\n\n");
    let is_first = requests.fetch_add(1, Ordering::Relaxed) == 0;
    let size = match first {
        FirstEnd::InEvent if is_first => text.find("\"index\":5").unwrap_or(text.len()),
        FirstEnd::InClosingEvent if is_first => text.len() - 4,
        _ => text.len(),
    };
    let _ = stream.write_all(&text.as_bytes()[..size]).await;
    let _ = stream.shutdown().await;
}

fn event(attempt: &str, index: u32) -> String {
    let last = index + 1 == TOKENS;
    let word = answer_token(prompt_hash(PROMPT), index, last);
    let finish = if last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"attempt\":\"{attempt}\",\"index\":{index},\"choices\":[{{\"index\":0,\"text\":\"{word}\",\"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// Returns the answer to a call and the number of requests that reached the server.
async fn call_server(first: FirstEnd, mut call: Call) -> (Answer, u32) {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.wait_ids_owned().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicU32::new(0));
    let serving = tokio::spawn(serve(listener, first, Arc::clone(&requests)));
    fleet.publish_server(address, "lens-model").await;
    let caller = fleet.caller(0);
    let served = async {
        loop {
            let answer = caller.send(&call).await.expect("an answer");
            // Until the server list is known.
            if answer.outcome.as_deref() != Some("not-run") {
                return answer;
            }
            call.id = call.id.as_ref().map(|_| Uuid::now_v7().to_string());
            sleep(POLL).await;
        }
    };
    let answer = timeout(ANSWER_TIMEOUT, served).await.expect("in time");
    serving.abort();
    (answer, requests.load(Ordering::Relaxed))
}

#[tokio::test]
async fn stream_that_ends_with_its_connection_is_whole() {
    let (answer, requests) = call_server(FirstEnd::Whole, Call::stream(PROMPT, TOKENS)).await;
    assert_eq!(answer.assert_stream_of(PROMPT), TOKENS);
    assert_eq!(requests, 1);
}

#[tokio::test]
async fn stream_that_ends_inside_an_event_is_resumed() {
    let (answer, requests) = call_server(FirstEnd::InEvent, Call::stream(PROMPT, TOKENS)).await;
    assert_eq!(answer.assert_stream_of(PROMPT), TOKENS);
    assert_eq!(requests, 2);
}

/// Guards against a broken stream that passes for a whole one.
#[tokio::test]
async fn stream_that_ends_inside_an_event_and_may_run_once_is_no_answer() {
    let call = Call {
        profile: "orders",
        id: Some(Uuid::now_v7().to_string()),
        attempt: Some(1),
        ..Call::stream(PROMPT, TOKENS)
    };
    let (answer, requests) = call_server(FirstEnd::InEvent, call).await;
    assert!(answer.text.contains("event: error"), "{}", answer.text);
    assert!(!answer.text.contains("[DONE]"), "{}", answer.text);
    assert_eq!(requests, 1);
}

/// Guards against an error after the last token, when only the closing event is cut.
#[tokio::test]
async fn stream_that_ends_inside_its_closing_event_is_whole() {
    let (answer, requests) =
        call_server(FirstEnd::InClosingEvent, Call::stream(PROMPT, TOKENS)).await;
    assert_eq!(answer.assert_stream_of(PROMPT), TOKENS);
    assert_eq!(requests, 1);
}
