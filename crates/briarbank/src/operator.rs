//! Client of the operator port.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST, HeaderValue};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Error;

const TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Operator port of a process, and where its shared key stands.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Address of the port.
    pub address: SocketAddr,
    /// Settings of a node, for the shared key; none for processes that ask for no key.
    pub settings: Option<PathBuf>,
}

impl Operator {
    /// Sends one request and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Settings that can't be read, or a port that gives no good answer in time.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Result<Bytes, Error> {
        let request = self.request(method, path)?;
        tokio::time::timeout(TIMEOUT, self.send(request))
            .await
            .map_err(|_elapsed| Error::Timeout(self.address))?
    }

    fn request(&self, method: Method, path: &str) -> Result<Request<Empty<Bytes>>, Error> {
        let mut request = Request::new(Empty::new());
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Some(key) = self.authorization()? {
            headers.insert(AUTHORIZATION, key);
        }
        Ok(request)
    }

    fn authorization(&self) -> Result<Option<HeaderValue>, Error> {
        let Some(path) = &self.settings else {
            return Ok(None);
        };
        let settings: briarbank_config::NodeSettings = briarbank_config::load(path)?;
        let mut value = HeaderValue::from_str(&format!("Bearer {}", settings.shared_key))
            .map_err(|_invalid| Error::Key(Arc::from(path.display().to_string())))?;
        value.set_sensitive(true);
        Ok(Some(value))
    }

    async fn send(&self, request: Request<Empty<Bytes>>) -> Result<Bytes, Error> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|e| Error::Connect(self.address, e))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::Http(self.address, e))?;
        let exchange = async {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|e| Error::Http(self.address, e))?;
            let status = answer.status();
            if !status.is_success() {
                return Err(Error::Status(self.address, status));
            }
            let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await;
            body.map(http_body_util::Collected::to_bytes)
                .map_err(|_cut| Error::AnswerSize(self.address, ANSWER_LIMIT_BYTES))
        };
        tokio::pin!(connection, exchange);
        tokio::select! {
            answer = &mut exchange => answer,
            _closed = &mut connection => exchange.await,
        }
    }
}
