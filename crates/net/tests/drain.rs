//! Closing a listener while callers connect.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Callers of each listener, each a thread of its own.
const CALLERS: usize = 4;

/// Listeners that are closed at the same time.
const LISTENERS: usize = 40;

/// Time for which callers connect before the listeners are closed.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// Calls of one caller.
#[derive(Debug, Default)]
struct Counts {
    answered: usize,
    lost: usize,
}

/// Answers one byte with the same byte.
async fn answer(mut stream: tokio::net::TcpStream) -> io::Result<()> {
    let mut byte = [0];
    stream.read_exact(&mut byte).await?;
    stream.write_all(&byte).await
}

fn call(mut stream: TcpStream) -> io::Result<()> {
    let mut byte = [7];
    stream.write_all(&byte)?;
    stream.read_exact(&mut byte)
}

/// Connects and calls until the listener refuses connections.
fn call_repeatedly(address: SocketAddr) -> Counts {
    let mut counts = Counts::default();
    while let Ok(stream) = TcpStream::connect(address) {
        match call(stream) {
            Ok(()) => counts.answered += 1,
            Err(_) => counts.lost += 1,
        }
    }
    counts
}

async fn serve_and_drain(listener: TcpListener) {
    let mut answers = JoinSet::new();
    let serve = async {
        loop {
            let (stream, _) = briarbank_net::accept(&listener).await;
            answers.spawn(answer(stream));
        }
    };
    tokio::select! {
        () = serve => {}
        () = sleep(LOAD_TIME) => {}
    }
    briarbank_net::drain(&listener, |stream| {
        answers.spawn(answer(stream));
    })
    .await;
    drop(listener);
    while answers.join_next().await.is_some() {}
}

/// Guards against requests lost in the accept queue of a listener that is closed.
#[tokio::test]
async fn a_connection_is_refused_or_answered() {
    let mut servers = JoinSet::new();
    let mut callers = Vec::new();
    for _ in 0..LISTENERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        callers.extend((0..CALLERS).map(|_| thread::spawn(move || call_repeatedly(address))));
        servers.spawn(serve_and_drain(listener));
    }
    servers.join_all().await;
    let counts = callers
        .into_iter()
        .map(|caller| caller.join().expect("its counts"));
    let (answered, lost) = counts.fold((0, 0), |(answered, lost), counts| {
        (answered + counts.answered, lost + counts.lost)
    });
    assert!(answered > 0);
    assert_eq!(lost, 0, "{answered} were answered");
}
