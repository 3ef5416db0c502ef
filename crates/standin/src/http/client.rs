//! HTTP/1.1 client that keeps connections for further calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::backend::locked;

/// Largest answer that is read whole.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;
/// Most idle connections to one address.
const IDLE_LIMIT: usize = 4_096;

quick_error! {
    /// Why a call got no answer.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum ClientError {
        /// No connection could be made, so nothing was sent.
        Connect(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("can't connect to {address}: {source}")
        }
        /// The connection broke.
        Broken(source: hyper::Error) {
            source(source)
            from()
            display("connection broke: {source}")
        }
        /// The answer is too large or broke off.
        Answer(reason: Arc<str>) {
            display("answer can't be read: {reason}")
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Client with a pool of idle connections.
#[derive(Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
    connections: Mutex<JoinSet<()>>,
}

/// An answer whose body is read piece by piece.
///
/// Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Lease {
    address: SocketAddr,
    sender: Sender,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Lease {
    fn give_back(self) {
        let mut idle = locked(&self.idle);
        let senders = idle.entry(self.address).or_default();
        if senders.len() < IDLE_LIMIT {
            senders.push(self.sender);
        }
    }
}

impl Client {
    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if nothing was sent, else [`ClientError::Broken`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, ClientError> {
        let mut sender = match self.idle_sender(address).await {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let response: Response<Incoming> = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let lease = Lease {
            address,
            sender,
            idle: Arc::clone(&self.idle),
        };
        Ok(Answer {
            head,
            body,
            lease: Some(lease),
        })
    }

    async fn idle_sender(&self, address: SocketAddr) -> Option<Sender> {
        loop {
            let mut sender = locked(&self.idle).get_mut(&address)?.pop()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, ClientError> {
        let connecting = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let stream = connecting
            .await
            .map_err(|e| ClientError::Connect(address, e))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let mut connections = locked(&self.connections);
        // Ended connections leave the set here, so it stays as large as the pool.
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "client: connection ended");
            }
        });
        Ok(sender)
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(self) {
        locked(&self.idle).clear();
        let mut connections = std::mem::take(&mut *locked(&self.connections));
        connections.shutdown().await;
    }
}

impl Answer {
    /// The next piece of the body, `None` at its end.
    ///
    /// # Errors
    ///
    /// [`ClientError::Broken`] if the connection breaks.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        self.finish();
        Ok(None)
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// [`ClientError::Answer`] if it breaks off or is too large.
    pub async fn bytes(mut self) -> Result<Bytes, ClientError> {
        let collected = Limited::new(&mut self.body, ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|e| ClientError::Answer(Arc::from(e.to_string())))?;
        self.finish();
        Ok(collected.to_bytes())
    }

    /// A header's value as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    fn finish(&mut self) {
        if self.body.is_end_stream()
            && let Some(lease) = self.lease.take()
        {
            lease.give_back();
        }
    }
}
