//! Client of operator ports and of the stand-ins' control ports.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use briarbank_config::NodeSettings;
use briarbank_standin::Client;
use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST, HeaderValue};
use http::{Method, Request};
use http_body_util::Full;

use crate::Error;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Operator port of a process, and where its shared key stands.
#[derive(Clone, Debug)]
pub struct OperatorPort {
    /// Address of the port.
    pub address: SocketAddr,
    /// Settings of a node, for the shared key; none for processes that ask for no key.
    pub settings: Option<PathBuf>,
}

impl OperatorPort {
    /// Sends one request and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// Settings that can't be read, or a port that gives no good answer in time.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        if let Some(key) = self.authorization()? {
            request.headers_mut().insert(AUTHORIZATION, key);
        }
        let client = Client::default();
        let answer = tokio::time::timeout(TIMEOUT, self.send(&client, request)).await;
        client.close().await;
        answer.map_err(|_elapsed| Error::Timeout(self.address))?
    }

    fn authorization(&self) -> Result<Option<HeaderValue>, Error> {
        let Some(path) = &self.settings else {
            return Ok(None);
        };
        let settings: NodeSettings = briarbank_config::load(path)?;
        let mut value = HeaderValue::from_str(&format!("Bearer {}", settings.shared_key))
            .map_err(|_invalid| Error::InvalidKey(Arc::from(path.display().to_string())))?;
        value.set_sensitive(true);
        Ok(Some(value))
    }

    async fn send(&self, client: &Client, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let failed = |error| Error::Call(self.address, error);
        let answer = client.send(self.address, request).await.map_err(failed)?;
        if !answer.head.status.is_success() {
            return Err(Error::Status(self.address, answer.head.status));
        }
        answer.bytes().await.map_err(failed)
    }
}
