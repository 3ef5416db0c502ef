//! Connections whose path drops all packets without a word.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::time::{Duration, Instant};

use socket2::{SockFilter, SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time within which a silent path ends its connection.
const BOUND: Duration = Duration::from_millis(3_500);

/// Number of probes that the system sends unless a connection has its own.
const SYSTEM_PROBES: u32 = 9;

/// Instruction of a socket filter that returns a constant.
const RETURN_CONSTANT: u16 = 0x06;

/// Opens a connection whose other end no longer receives any packets.
async fn connect_silent() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = briarbank_net::connect(address, BOUND).await.unwrap();
    let (other_end, _) = listener.accept().await.unwrap();
    // A filter program that returns 0 drops each packet before the system acknowledges it.
    let drop_all = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    SockRef::from(&other_end)
        .attach_filter(&[drop_all])
        .unwrap();
    (stream, other_end)
}

/// Returns the time until a connection on which nothing is received ends.
async fn time_until_end(stream: &mut TcpStream) -> Duration {
    let began_at = Instant::now();
    let read = timeout(BOUND * 4, stream.read_u8()).await;
    assert!(!matches!(read, Ok(Ok(_))), "{read:?}");
    began_at.elapsed()
}

/// Guards against idle connections that stay silent for long after their path is gone.
#[tokio::test]
async fn an_idle_connection_ends_soon_after_its_path() {
    let (mut stream, _other_end) = connect_silent().await;
    let time = time_until_end(&mut stream).await;
    assert!(time <= BOUND, "ended after {time:?}");
}

/// Guards against a system that ends probing by their number only.
#[tokio::test]
async fn the_number_of_probes_alone_ends_an_idle_connection() {
    let (mut stream, _other_end) = connect_silent().await;
    SockRef::from(&stream).set_tcp_user_timeout(None).unwrap();
    let time = time_until_end(&mut stream).await;
    assert!(time <= BOUND, "ended after {time:?}");
}

/// Guards against a system that ends probing by the user timeout only.
#[tokio::test]
async fn the_user_timeout_alone_ends_an_idle_connection() {
    let (mut stream, _other_end) = connect_silent().await;
    let probes = TcpKeepalive::new().with_retries(SYSTEM_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&probes).unwrap();
    let time = time_until_end(&mut stream).await;
    assert!(time <= BOUND, "ended after {time:?}");
}

/// Guards against bytes that stay unacknowledged for long.
#[tokio::test]
async fn a_connection_with_sent_bytes_ends_soon_after_its_path() {
    let (mut stream, _other_end) = connect_silent().await;
    stream.write_all(b"call").await.unwrap();
    let time = time_until_end(&mut stream).await;
    assert!(time <= BOUND, "ended after {time:?}");
}

/// Guards against connections that end although their path only loses a probe.
#[tokio::test]
async fn a_lost_probe_ends_no_connection() {
    let (mut stream, other_end) = connect_silent().await;
    // The first probe is lost, the second is not.
    let lossy = Duration::from_millis(1_500);
    assert!(timeout(lossy, stream.read_u8()).await.is_err());
    SockRef::from(&other_end).detach_filter().unwrap();
    assert!(timeout(BOUND, stream.read_u8()).await.is_err());
}
