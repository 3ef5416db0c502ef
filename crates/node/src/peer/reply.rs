//! Answering of calls that other nodes forward.

use std::future::poll_fn;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::Call;
use briarbank_core::node::Origin;
use briarbank_core::occupancy::Purpose;
use briarbank_net::{Collector, Place};
use briarbank_wire::{CallHead, FrameReader, ReplyHead};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::Response;
use tokio::time::timeout;

use super::window::{StreamBroken, finish_stream, write_all};
use crate::call::{Calls, Inbound, Reply, ReplyBody};

/// Longest time for a forwarded call to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a forwarded call, runs it and relays its answer.
pub(super) async fn serve_call(
    calls: &Calls,
    stream: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    let Ok(Some(inbound)) = timeout(READ_TIMEOUT, read_call(calls, stream)).await else {
        tracing::warn!("peer: reading a forwarded call failed");
        return respond.send_reset(h2::Reason::REFUSED_STREAM);
    };
    let Ok(mut stream) = respond.send_response(Response::new(()), false) else {
        return;
    };
    // Dropping the call's future signals its task that the caller is gone.
    let reply = tokio::select! {
        reply = calls.run(inbound) => reply,
        () = wait_for_reset(&mut stream) => return,
    };
    if write_reply(&mut stream, reply).await.is_err() {
        stream.send_reset(h2::Reason::INTERNAL_ERROR);
    }
}

/// Waits until the forwarding node resets the stream.
async fn wait_for_reset(stream: &mut SendStream<Bytes>) {
    // Any end of the stream counts, including a failed connection.
    let _ = poll_fn(|cx| stream.poll_reset(cx)).await;
}

async fn read_call(calls: &Calls, mut stream: RecvStream) -> Option<Inbound> {
    let mut reader = FrameReader::default();
    let mut head: Option<CallHead> = None;
    let limit = calls.body_limit() + briarbank_wire::MESSAGE_BYTES_MAX;
    let mut size = 0;
    // A forwarded call is at work from its start: its caller waits at the other node.
    let place = calls.admission().enter().ok()?;
    place.work();
    let mut body = Collector::new(&place, Purpose::Request, None);
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        size += chunk.len();
        if size > limit {
            return None;
        }
        stream.flow_control().release_capacity(chunk.len()).ok()?;
        if head.is_some() {
            body.push(&chunk).ok()?;
            continue;
        }
        reader.push(&chunk);
        if let Some(message) = reader.next().ok()? {
            head = Some(briarbank_wire::decode(&message).ok()?);
            body.push(&std::mem::take(&mut reader).into_rest()).ok()?;
        }
    }
    let body = body.finish().into_bytes().ok()?;
    Some(to_inbound(calls, head?, body, place))
}

fn to_inbound(calls: &Calls, head: CallHead, body: Bytes, place: Arc<Place>) -> Inbound {
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
        place,
    }
}

async fn write_reply(stream: &mut SendStream<Bytes>, reply: Reply) -> Result<(), StreamBroken> {
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
    let head = briarbank_wire::encode(&head).map_err(|_error| StreamBroken)?;
    let head = FrameReader::frame(&head).map_err(|_error| StreamBroken)?;
    write_all(stream, Bytes::from(head)).await?;
    match body {
        None => {}
        Some(ReplyBody::Whole(bytes)) => write_all(stream, bytes).await?,
        Some(ReplyBody::Stream(mut chunks)) => loop {
            let chunk = tokio::select! {
                chunk = chunks.next() => chunk,
                () = wait_for_reset(stream) => return Err(StreamBroken),
            };
            let Some(chunk) = chunk else {
                break;
            };
            write_all(stream, chunk).await?;
        },
    }
    finish_stream(stream)
}
