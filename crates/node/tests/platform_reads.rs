//! Reads of published documents over slow links.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_core::conf::Key;
use briarbank_core::ids::Revision;
use briarbank_node::{HttpPlatform, Platform, PublishedValue, ValueQuery};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Number of parts that the platform sends a document in.
const PARTS: usize = 10;

/// Length of each part.
const PART_BYTES: usize = 1_000;

/// Longest time in which a read of a document that no longer arrives may fail.
const FAILURE_BOUND: Duration = Duration::from_secs(5);

/// Starts a platform that sends `parts` of a document's [`PARTS`], one each `pause`.
async fn start_platform(parts: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await;
        let length = PARTS * PART_BYTES;
        let head = format!("HTTP/1.1 200 OK\r\nrevision: 9\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..parts {
            sleep(pause).await;
            stream.write_all(&[b'x'; PART_BYTES]).await.unwrap();
        }
        // Keeps the connection open until the reader closes it.
        let _ = stream.read_u8().await;
    });
    address
}

async fn read(
    address: SocketAddr,
) -> Result<Option<PublishedValue>, briarbank_node::PlatformError> {
    let platform = HttpPlatform::new("host-1".into(), vec![address]);
    let query = ValueQuery {
        key: Key::Config,
        after: Revision(0),
        wait: Duration::ZERO,
    };
    platform.read(0, query).await
}

/// Guards against a document that never arrives: a transfer that made progress was broken
/// off after a fixed time.
#[tokio::test]
async fn a_slow_transfer_of_a_document_is_completed() {
    let address = start_platform(PARTS, Duration::from_millis(300)).await;
    let value = read(address).await.unwrap().expect("a document");
    assert_eq!(value.bytes.len(), PARTS * PART_BYTES);
}

/// Guards against a read that never ends when the connection dies within a document.
#[tokio::test]
async fn a_transfer_without_progress_is_broken_off() {
    let address = start_platform(1, Duration::ZERO).await;
    let began_at = Instant::now();
    let result = timeout(FAILURE_BOUND * 2, read(address)).await;
    assert!(result.is_ok_and(|result| result.is_err()));
    assert!(began_at.elapsed() < FAILURE_BOUND);
}
