//! Forwarding of a call to the node that owns its request id.

use std::net::SocketAddr;

use briarbank_core::ids::HostName;
use briarbank_wire::{CallHead, FrameReader, ReplyHead};
use bytes::Bytes;
use h2::RecvStream;
use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};

use super::link::LinkGuard;
use super::window::{finish_stream, write_all};
use super::{CALLS_PATH, Links};

/// Failure of a forwarded call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardError {
    /// Whether any byte of the call may have reached the owner.
    pub(crate) sent: bool,
}

/// Answer of a call's owner.
pub(crate) struct ForwardedAnswer {
    /// Head of the answer.
    pub(crate) head: ReplyHead,
    /// Bytes of the body that arrived with the head.
    first_chunk: Bytes,
    stream: RecvStream,
    #[expect(dead_code, reason = "keeps the link open")]
    guard: LinkGuard,
}

impl ForwardedAnswer {
    /// Returns the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The link failed before the body's end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ForwardError> {
        if !self.first_chunk.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first_chunk)));
        }
        read_chunk(&mut self.stream).await
    }
}

async fn read_chunk(stream: &mut RecvStream) -> Result<Option<Bytes>, ForwardError> {
    let broken = |_| ForwardError { sent: true };
    let Some(chunk) = stream.data().await else {
        return Ok(None);
    };
    let chunk = chunk.map_err(broken)?;
    let release = stream.flow_control().release_capacity(chunk.len());
    release.map_err(broken)?;
    Ok(Some(chunk))
}

/// Sends a call to its owner and waits for the head of the answer.
///
/// # Errors
///
/// The owner can't be reached or the link failed.
pub(crate) async fn forward(
    links: &Links,
    to: &HostName,
    address: SocketAddr,
    head: &CallHead,
    body: Bytes,
) -> Result<ForwardedAnswer, ForwardError> {
    let unsent = ForwardError { sent: false };
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
        finish_stream(&mut stream)
    };
    if write.await.is_err() {
        return Err(ForwardError { sent: true });
    }
    let response = response.await.map_err(|e| ForwardError {
        sent: !is_refused(&e),
    })?;
    if response.status() != StatusCode::OK {
        // The owner sends an error status only before it reads the call.
        return Err(unsent);
    }
    read_head(response.into_body(), access.guard).await
}

/// Returns whether the owner reports that it did not process the stream.
fn is_refused(error: &h2::Error) -> bool {
    error.reason() == Some(h2::Reason::REFUSED_STREAM)
}

fn request(links: &Links, address: SocketAddr) -> Option<Request<()>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{CALLS_PATH}"))
        .header(AUTHORIZATION, links.key().header()?);
    request.body(()).ok()
}

async fn read_head(
    mut stream: RecvStream,
    guard: LinkGuard,
) -> Result<ForwardedAnswer, ForwardError> {
    let broken = ForwardError { sent: true };
    let mut reader = FrameReader::default();
    let head = loop {
        if let Some(head) = reader.next().map_err(|_error| broken)? {
            break head;
        }
        let chunk = read_chunk(&mut stream).await?.ok_or(broken)?;
        reader.push(&chunk);
    };
    let head = briarbank_wire::decode(&head).map_err(|_error| broken)?;
    Ok(ForwardedAnswer {
        head,
        first_chunk: Bytes::from(reader.into_rest()),
        stream,
        guard,
    })
}
