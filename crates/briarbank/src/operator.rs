//! Client for operator ports and for the control ports of stand-ins.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Operator port of a process and the settings that hold its shared key.
#[derive(Clone, Debug)]
pub struct OperatorPort {
    /// Address of the port.
    pub address: SocketAddr,
    /// Settings of a node, for the shared key; `None` if the process requires no key.
    pub settings: Option<PathBuf>,
}

impl OperatorPort {
    /// Sends one request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Settings that can't be read, or no successful response within the timeout.
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
        if let Some(key) = self.authorization_header()? {
            request.headers_mut().insert(AUTHORIZATION, key);
        }
        let client = Client::default();
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.send_request(&client, request)).await;
        client.close().await;
        answer.map_err(|_elapsed| Error::Timeout(self.address))?
    }

    fn authorization_header(&self) -> Result<Option<HeaderValue>, Error> {
        let Some(path) = &self.settings else {
            return Ok(None);
        };
        let settings: NodeSettings = briarbank_config::load(path)?;
        let mut value = HeaderValue::from_str(&format!("Bearer {}", settings.shared_key))
            .map_err(|_invalid| Error::InvalidKey(Arc::from(path.display().to_string())))?;
        value.set_sensitive(true);
        Ok(Some(value))
    }

    async fn send_request(
        &self,
        client: &Client,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Error> {
        let call_error = |error| Error::Call(self.address, error);
        let answer = client
            .send(self.address, request)
            .await
            .map_err(call_error)?;
        if !answer.head.status.is_success() {
            return Err(Error::Status(self.address, answer.head.status));
        }
        answer.bytes().await.map_err(call_error)
    }
}
