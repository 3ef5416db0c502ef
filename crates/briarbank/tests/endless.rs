//! Answers of servers without an end, in a head or a body.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Call, Fleet, Size};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const SIZE: Size = Size {
    nodes: 1,
    engines: 0,
    services: 0,
    token_us: 0,
    call_us: 0,
};

/// Latency objective of the profile for the first token.
const FIRST_TOKEN: Duration = Duration::from_secs(2);

/// Serves every connection with the start of an answer and then filler without an end.
async fn serve(listener: TcpListener, start: &'static str, filler: String) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let filler = filler.clone();
        connections.spawn(send_endless(stream, start, filler));
    }
}

async fn send_endless(mut stream: TcpStream, start: &str, filler: String) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    let _ = stream.write_all(start.as_bytes()).await;
    while stream.write_all(filler.as_bytes()).await.is_ok() {}
}

/// Sends a call to a server with an endless answer, and returns the time until it ended.
async fn time_to_end(start: &'static str, filler: String) -> Duration {
    let mut fleet = Fleet::start(SIZE).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = tokio::spawn(serve(listener, start, filler));
    fleet.publish_server(address, "lens-model").await;
    let caller = fleet.caller(0);
    let call = Call::stream("endless", 5);
    // Until the server list is known.
    while caller
        .send(&call)
        .await
        .expect("an answer")
        .text
        .contains("no-server")
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let began_at = Instant::now();
    let answer = caller.send(&call).await.expect("an answer");
    assert_ne!(answer.status, StatusCode::OK, "{}", answer.text);
    serving.abort();
    began_at.elapsed()
}

/// Guards against calls that wait for a head which never ends.
#[tokio::test]
async fn interim_heads_without_an_end_do_not_hold_a_call() {
    let time = time_to_end("", "HTTP/1.1 102 x\r\n\r\n".repeat(64)).await;
    assert!(time < FIRST_TOKEN, "{time:?}");
}

#[tokio::test]
async fn a_head_without_an_end_does_not_hold_a_call() {
    let time = time_to_end("HTTP/1.1 200 x\r\nX-Line: ", "x".repeat(4096)).await;
    assert!(time < FIRST_TOKEN, "{time:?}");
}
