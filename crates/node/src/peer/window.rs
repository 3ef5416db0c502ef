//! Writing to an HTTP/2 stream within its flow-control window.

use std::future::poll_fn;

use bytes::Bytes;
use h2::SendStream;

/// Error of a stream that was reset or whose connection failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamBroken;

/// Writes as many of the bytes as the window allows.
pub(super) async fn write_available(
    stream: &mut SendStream<Bytes>,
    bytes: &mut Bytes,
) -> Result<(), StreamBroken> {
    stream.reserve_capacity(bytes.len());
    let mut capacity = stream.capacity();
    if capacity == 0 {
        let more = poll_fn(|cx| stream.poll_capacity(cx)).await;
        capacity = more.ok_or(StreamBroken)?.map_err(|_error| StreamBroken)?;
    }
    let chunk = bytes.split_to(capacity.min(bytes.len()));
    stream
        .send_data(chunk, false)
        .map_err(|_error| StreamBroken)
}

/// Writes all bytes.
pub(super) async fn write_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), StreamBroken> {
    while !bytes.is_empty() {
        write_available(stream, &mut bytes).await?;
    }
    Ok(())
}

/// Ends the stream.
pub(super) fn finish_stream(stream: &mut SendStream<Bytes>) -> Result<(), StreamBroken> {
    stream
        .send_data(Bytes::new(), true)
        .map_err(|_error| StreamBroken)
}
