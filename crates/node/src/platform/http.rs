//! Client of the platform's HTTP API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::ids::{HostName, Revision};
use briarbank_net::{BodyError, read_body};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use super::{Error, Platform, PublishedValue, ValueQuery};
use crate::connect::connect;

/// Largest document; the platform stores values of up to 1 MiB.
const DOCUMENT_BYTES_MAX: usize = 1 << 20;

/// Time for the head of an answer in addition to the long-poll wait, and between parts of
/// its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Platform that is read over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    reader: HostName,
    addresses: Vec<SocketAddr>,
}

impl HttpPlatform {
    /// Creates a client that identifies itself as `reader`.
    #[must_use]
    pub fn new(reader: HostName, addresses: Vec<SocketAddr>) -> Self {
        Self { reader, addresses }
    }

    async fn get(
        &self,
        address: SocketAddr,
        query: ValueQuery,
    ) -> Result<Option<PublishedValue>, Error> {
        let stream = connect(address)
            .await
            .map_err(|e| Error::Connect(address, e))?;
        let http_error = |e| Error::Http(address, e);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(http_error)?;
        let exchange = async {
            let request = self.request(address, query);
            let response = timeout(query.wait + ANSWER_TIMEOUT, sender.send_request(request));
            let response = response.await.map_err(|_elapsed| Error::Timeout(address))?;
            read_value(address, response.map_err(http_error)?).await
        };
        tokio::pin!(connection);
        tokio::pin!(exchange);
        // Polling the connection here ends it with the exchange and needs no task.
        tokio::select! {
            result = &mut exchange => result,
            _ = &mut connection => exchange.await,
        }
    }

    fn request(&self, address: SocketAddr, query: ValueQuery) -> Request<Empty<Bytes>> {
        let path = format!(
            "/v1/values/{}?after={}&wait_ms={}",
            query.key.as_str(),
            query.after,
            query.wait.as_millis()
        );
        let mut request = Request::new(Empty::new());
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        insert(headers, "host", &address.to_string());
        insert(headers, "briarbank-reader", self.reader.as_str());
        request
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

async fn read_value(
    address: SocketAddr,
    response: http::Response<hyper::body::Incoming>,
) -> Result<Option<PublishedValue>, Error> {
    match response.status() {
        StatusCode::NO_CONTENT => return Ok(None),
        StatusCode::OK => {}
        status => return Err(Error::Status(address, status.as_u16())),
    }
    let revision = response.headers().get("revision");
    let revision = revision
        .and_then(|r| r.to_str().ok()?.parse().ok())
        .ok_or(Error::NoRevision(address))?;
    let body = read_body(response.into_body(), ANSWER_TIMEOUT, DOCUMENT_BYTES_MAX).await;
    let body = body.map_err(|error| match error {
        BodyError::Silent => Error::Timeout(address),
        BodyError::TooLarge(_) => Error::TooLarge(address),
        BodyError::Broken(error) => Error::Http(address, error),
    })?;
    Ok(Some(PublishedValue {
        revision: Revision(revision),
        bytes: Arc::from(&*body),
    }))
}

impl Platform for HttpPlatform {
    fn replicas(&self) -> usize {
        self.addresses.len()
    }

    fn read(
        &self,
        replica: usize,
        query: ValueQuery,
    ) -> BoxFuture<'_, Result<Option<PublishedValue>, Error>> {
        Box::pin(async move {
            let address = self.addresses.get(replica).copied();
            let address = address.ok_or(Error::NoReplica(replica))?;
            self.get(address, query).await
        })
    }
}
