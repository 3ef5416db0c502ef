//! Writing to a stream as its window admits.

use std::future::poll_fn;

use bytes::Bytes;
use h2::SendStream;

/// The stream broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct Broken;

/// Writes a part of the bytes, as much as the window admits.
pub(super) async fn write_some(
    stream: &mut SendStream<Bytes>,
    bytes: &mut Bytes,
) -> Result<(), Broken> {
    stream.reserve_capacity(bytes.len());
    let mut capacity = stream.capacity();
    if capacity == 0 {
        let more = poll_fn(|cx| stream.poll_capacity(cx)).await;
        capacity = more.ok_or(Broken)?.map_err(|_error| Broken)?;
    }
    let part = bytes.split_to(capacity.min(bytes.len()));
    stream.send_data(part, false).map_err(|_error| Broken)
}

/// Writes all bytes.
pub(super) async fn write_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), Broken> {
    while !bytes.is_empty() {
        write_some(stream, &mut bytes).await?;
    }
    Ok(())
}

/// Ends the stream.
pub(super) fn finish(stream: &mut SendStream<Bytes>) -> Result<(), Broken> {
    stream
        .send_data(Bytes::new(), true)
        .map_err(|_error| Broken)
}
