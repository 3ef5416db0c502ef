//! HTTP/1.1 client with a connection pool.

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

/// Maximum size of an answer that is read as a whole.
const ANSWER_BYTES_MAX: usize = 64 << 20;
/// Maximum number of idle connections to one address.
const IDLE_CONNECTIONS_MAX: usize = 4_096;

quick_error! {
    /// Error of a call that received no complete answer.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum ClientError {
        /// Connecting failed, so nothing was sent.
        Connect(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot connect to {address}: {source}")
        }
        /// The connection failed.
        Broken(source: hyper::Error) {
            source(source)
            from()
            display("connection failed: {source}")
        }
        /// The answer is too large or incomplete.
        Answer(reason: Arc<str>) {
            display("reading the answer failed: {reason}")
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// HTTP client that reuses idle connections.
#[derive(Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
    connections: Mutex<JoinSet<()>>,
}

/// Answer whose body is read in chunks.
///
/// Dropping it before the end of the body closes the connection.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    pooled: Option<PooledConnection>,
}

#[derive(Debug)]
struct PooledConnection {
    address: SocketAddr,
    sender: Sender,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl PooledConnection {
    fn return_to_pool(self) {
        let mut idle = locked(&self.idle);
        let senders = idle.entry(self.address).or_default();
        if senders.len() < IDLE_CONNECTIONS_MAX {
            senders.push(self.sender);
        }
    }
}

impl Client {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if nothing was sent, otherwise [`ClientError::Broken`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, ClientError> {
        let mut sender = match self.take_idle_sender(address).await {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let response: Response<Incoming> = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let pooled = PooledConnection {
            address,
            sender,
            idle: Arc::clone(&self.idle),
        };
        Ok(Answer {
            head,
            body,
            pooled: Some(pooled),
        })
    }

    async fn take_idle_sender(&self, address: SocketAddr) -> Option<Sender> {
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
        // Removes closed connections, which bounds the set by the size of the pool.
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "client: connection failed");
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
    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`ClientError::Broken`] if the connection fails.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        self.release_connection();
        Ok(None)
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// [`ClientError::Answer`] if the body is incomplete or too large.
    pub async fn bytes(mut self) -> Result<Bytes, ClientError> {
        let collected = Limited::new(&mut self.body, ANSWER_BYTES_MAX)
            .collect()
            .await
            .map_err(|e| ClientError::Answer(Arc::from(e.to_string())))?;
        self.release_connection();
        Ok(collected.to_bytes())
    }

    /// Returns the value of a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    fn release_connection(&mut self) {
        if self.body.is_end_stream()
            && let Some(pooled) = self.pooled.take()
        {
            pooled.return_to_pool();
        }
    }
}
