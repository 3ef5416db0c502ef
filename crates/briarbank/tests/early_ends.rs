//! Answers of servers that end before they have the request, or have no final status.

mod fleet;

use std::time::Duration;

use fleet::{Answer, Call, Fleet, POLL, Size};
use http::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
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

/// Receive buffer of the server.
const RECEIVE_BYTES: u32 = 16 << 10;

/// Time after which a connection that was closed in order is reset.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Longest time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers the head of each request with this text, in which `{own}` stands for the header
/// that names the attempt, and closes the connection.
async fn serve(listener: TcpListener, text: String) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(answer(stream, text.clone()));
    }
}

async fn answer(mut stream: TcpStream, text: String) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => request.push(byte),
            Err(_) => return,
        }
    }
    let request = String::from_utf8_lossy(&request);
    let own = request.lines().find(|l| l.starts_with("briarbank-attempt"));
    let text = text.replace("{own}", own.unwrap_or_default());
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.shutdown().await;
    sleep(RESET_DELAY).await;
}

/// Returns the answer to a call with a body of that many bytes and more.
async fn call_server(text: &str, body_bytes: usize) -> Answer {
    let mut fleet = Fleet::start(SIZE).await;
    fleet.wait_ids_owned().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("the buffer is set");
    let any = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any).expect("a port");
    let listener = socket.listen(64).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(serve(listener, text.to_owned()));
    fleet.publish_server(address, "slips").await;
    let caller = fleet.caller(0);
    let mut call = Call::slip();
    call.body["note"] = json!("x".repeat(body_bytes));
    let served = async {
        loop {
            let answer = caller.send(&call).await.expect("an answer");
            // Until the server list is known.
            if answer.outcome.as_deref() != Some("not-run") {
                return answer;
            }
            call.id = Some(Uuid::now_v7().to_string());
            sleep(POLL).await;
        }
    };
    let answer = timeout(ANSWER_TIMEOUT, served).await.expect("in time");
    serving.abort();
    answer
}

/// Guards against taking part of an answer for the whole, when its server crashes while the
/// request is still on its way.
#[tokio::test]
async fn an_answer_that_ends_before_its_request_has_arrived_is_no_success() {
    let part = "x".repeat(1_000);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n{{own}}\r\n\r\n{part}");
    let answer = call_server(&text, 900_000).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
}

/// Guards against forwarding an answer whose status is none, or announces a switch of the
/// protocol that nobody asked for.
#[tokio::test]
async fn answers_without_a_final_status_are_not_forwarded() {
    for status in ["000 X", "101 X", "600 X"] {
        let text = format!("HTTP/1.1 {status}\r\n{{own}}\r\ncontent-length: 5\r\n\r\nhello");
        let answer = call_server(&text, 10).await;
        assert_eq!(
            answer.status,
            StatusCode::BAD_GATEWAY,
            "{status}: {}",
            answer.text
        );
    }
}
