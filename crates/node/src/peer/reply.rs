//! Answers a call that another node forwarded.

use std::future::poll_fn;
use std::time::{Duration, Instant};

use briarbank_core::call::Call;
use briarbank_core::node::Origin;
use briarbank_wire::{CallHead, FrameReader, ReplyHead};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::Response;
use tokio::time::timeout;

use super::window::{Broken, finish, write_all};
use crate::call::{Calls, Inbound, Reply, ReplyBody};

/// Time for a forwarded call to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a forwarded call, runs it and relays its answer.
pub(super) async fn call(calls: &Calls, stream: RecvStream, mut respond: SendResponse<Bytes>) {
    let Ok(Some(inbound)) = timeout(READ_TIMEOUT, read(calls, stream)).await else {
        tracing::warn!("peer: forwarded call refused");
        return respond.send_reset(h2::Reason::REFUSED_STREAM);
    };
    let Ok(mut stream) = respond.send_response(Response::new(()), false) else {
        return;
    };
    // Dropping the call's future tells its task that nobody waits for it.
    let reply = tokio::select! {
        reply = calls.run(inbound) => reply,
        () = reset(&mut stream) => return,
    };
    if write(&mut stream, reply).await.is_err() {
        stream.send_reset(h2::Reason::INTERNAL_ERROR);
    }
}

/// Waits until the node that forwarded the call gives it up.
async fn reset(stream: &mut SendStream<Bytes>) {
    // Any end of the stream counts, also a broken connection.
    let _ = poll_fn(|cx| stream.poll_reset(cx)).await;
}

async fn read(calls: &Calls, mut stream: RecvStream) -> Option<Inbound> {
    let mut reader = FrameReader::default();
    let mut head: Option<CallHead> = None;
    let limit = calls.body_limit() + briarbank_wire::MESSAGE_BYTES_MAX;
    let mut size = 0;
    let mut body = Vec::new();
    while let Some(part) = stream.data().await {
        let part = part.ok()?;
        size += part.len();
        if size > limit {
            return None;
        }
        stream.flow_control().release_capacity(part.len()).ok()?;
        if head.is_some() {
            body.extend_from_slice(&part);
            continue;
        }
        reader.push(&part);
        if let Some(message) = reader.next().ok()? {
            head = Some(briarbank_wire::decode(&message).ok()?);
            body = std::mem::take(&mut reader).into_rest();
        }
    }
    Some(inbound(calls, head?, Bytes::from(body)))
}

fn inbound(calls: &Calls, head: CallHead, body: Bytes) -> Inbound {
    let now = Instant::now();
    let age = Duration::from_millis(head.age_ms);
    let call = Call {
        id: calls.next_call(),
        request: head.request,
        profile: head.profile,
        workspace: head.workspace,
        target: head.target,
        prefix_key: head.prefix_key,
        max_tokens: head.max_tokens,
        received: now.checked_sub(age).unwrap_or(now),
        first_try: head.first_try,
    };
    Inbound {
        call,
        origin: Origin::Peer(head.from),
        method: head.method,
        path: head.path,
        content_type: head.content_type,
        streamed: head.streamed,
        body,
    }
}

async fn write(stream: &mut SendStream<Bytes>, reply: Reply) -> Result<(), Broken> {
    let (head, body) = match reply {
        Reply::Refusal(refusal) => (ReplyHead::Refusal(refusal), None),
        Reply::Answer(answer) => {
            let head = ReplyHead::Answer {
                status: answer.status,
                content_type: answer.content_type,
                outcome: answer.outcome,
            };
            (head, Some(answer.body))
        }
    };
    let head = briarbank_wire::encode(&head).map_err(|_error| Broken)?;
    let head = FrameReader::frame(&head).map_err(|_error| Broken)?;
    write_all(stream, Bytes::from(head)).await?;
    match body {
        None => {}
        Some(ReplyBody::Whole(bytes)) => write_all(stream, bytes).await?,
        Some(ReplyBody::Stream(mut chunks)) => loop {
            let chunk = tokio::select! {
                chunk = chunks.next() => chunk,
                () = reset(stream) => return Err(Broken),
            };
            let Some(chunk) = chunk else {
                break;
            };
            write_all(stream, chunk).await?;
        },
    }
    finish(stream)
}
