//! Forwards a call to the node that owns its request id.

use std::net::SocketAddr;

use briarbank_core::ids::HostName;
use briarbank_wire::{CallHead, FrameReader, ReplyHead};
use bytes::Bytes;
use h2::RecvStream;
use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};

use super::link::InUse;
use super::window::{finish, write_all};
use super::{CALLS_PATH, Links};

/// A forwarded call that got no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NotForwarded {
    /// Whether any byte of it may have reached the owner.
    pub(crate) sent: bool,
}

/// The answer of a call's owner.
pub(crate) struct Forwarded {
    /// Its head.
    pub(crate) head: ReplyHead,
    /// First bytes of its body.
    first: Bytes,
    stream: RecvStream,
    #[expect(dead_code, reason = "keeps the link open")]
    in_use: InUse,
}

impl Forwarded {
    /// Next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The link broke before the body's end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, NotForwarded> {
        if !self.first.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first)));
        }
        read(&mut self.stream).await
    }
}

async fn read(stream: &mut RecvStream) -> Result<Option<Bytes>, NotForwarded> {
    let broken = |_| NotForwarded { sent: true };
    let Some(part) = stream.data().await else {
        return Ok(None);
    };
    let part = part.map_err(broken)?;
    let release = stream.flow_control().release_capacity(part.len());
    release.map_err(broken)?;
    Ok(Some(part))
}

/// Sends a call to its owner and waits for the head of the answer.
///
/// # Errors
///
/// The owner can't be reached or the link broke.
pub(crate) async fn forward(
    links: &Links,
    to: &HostName,
    address: SocketAddr,
    head: &CallHead,
    body: Bytes,
) -> Result<Forwarded, NotForwarded> {
    let unsent = NotForwarded { sent: false };
    let request = request(links, address).ok_or(unsent)?;
    let framed = briarbank_wire::encode(head).and_then(|h| FrameReader::frame(&h));
    let framed = framed.map_err(|_error| unsent)?;
    let access = links.link(to, address).open().await.ok_or(unsent)?;
    let mut sender = access.sender.ready().await.map_err(|_error| unsent)?;
    let (response, mut stream) = sender
        .send_request(request, false)
        .map_err(|_error| unsent)?;
    let write = async {
        write_all(&mut stream, Bytes::from(framed)).await?;
        write_all(&mut stream, body).await?;
        finish(&mut stream)
    };
    if write.await.is_err() {
        return Err(NotForwarded { sent: true });
    }
    let response = response
        .await
        .map_err(|e| NotForwarded { sent: !refused(&e) })?;
    if response.status() != StatusCode::OK {
        // The owner refuses a request before it reads the call.
        return Err(unsent);
    }
    read_head(response.into_body(), access.in_use).await
}

/// Whether the owner states that it did not take the stream.
fn refused(error: &h2::Error) -> bool {
    error.reason() == Some(h2::Reason::REFUSED_STREAM)
}

fn request(links: &Links, address: SocketAddr) -> Option<Request<()>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{CALLS_PATH}"))
        .header(AUTHORIZATION, links.key().header()?);
    request.body(()).ok()
}

async fn read_head(mut stream: RecvStream, in_use: InUse) -> Result<Forwarded, NotForwarded> {
    let broken = NotForwarded { sent: true };
    let mut reader = FrameReader::default();
    let head = loop {
        if let Some(head) = reader.next().map_err(|_error| broken)? {
            break head;
        }
        let part = read(&mut stream).await?.ok_or(broken)?;
        reader.push(&part);
    };
    let head = briarbank_wire::decode(&head).map_err(|_error| broken)?;
    Ok(Forwarded {
        head,
        first: Bytes::from(reader.into_rest()),
        stream,
        in_use,
    })
}
