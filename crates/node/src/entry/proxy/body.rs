//! The body of a request: a small one is buffered, a large one is passed on while it is read.

use super::EarlyRefusal;
use crate::{
    dispatch::{CallBody, StreamedBody},
    shared::Shared,
};
use bytes::Bytes;
use redwingtrestle_core::codes::ResultCode;
use rocket::{data::ByteUnit, data::DataStream, Data, Request};
use std::io;
use tokio::{io::AsyncReadExt, sync::mpsc};

/// Bodies smaller than this are buffered before the request is sent, so that it can be retried.
const REPLAYABLE_BODY_BYTES: usize = 64 * 1024;

/// The chunk size of larger bodies.
const CHUNK_BYTES: usize = 64 * 1024;

/// The number of chunks of a larger body that may wait for the backend server.
const CHUNKS_AHEAD: usize = 4;

/// Reads the body, or only its start if it is large. The reader then reads the rest.
pub(super) async fn read_body<'r>(
    shared: &Shared,
    request: &Request<'_>,
    data: Data<'r>,
) -> Result<(CallBody, Option<BodyReader<'r>>), EarlyRefusal> {
    let limit = shared.settings.max_body;
    let declared = request.headers().get_one("content-length").and_then(|v| v.parse::<u64>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err((ResultCode::BodyTooLarge, format!("the body has more than {limit} bytes")));
    }
    // Rocket silently truncates a body at its limit. Reading one byte more reveals bodies that are too large.
    let mut source = data.open(ByteUnit::from(limit.saturating_add(1)));
    let mut start = Vec::new();
    let count = (&mut source)
        .take(REPLAYABLE_BODY_BYTES as u64)
        .read_to_end(&mut start)
        .await
        .map_err(|e| (ResultCode::BadRequest, format!("the body cannot be read: {e}")))?;
    if count as u64 > limit {
        return Err((ResultCode::BodyTooLarge, format!("the body has more than {limit} bytes")));
    }
    if count < REPLAYABLE_BODY_BYTES {
        return Ok((CallBody::Buffered(start.into()), None));
    }
    let (chunks, received) = mpsc::channel(CHUNKS_AHEAD);
    let reader =
        BodyReader { source, chunks, start: start.into(), remaining: limit - count as u64 };
    Ok((CallBody::Streamed(StreamedBody::new(received, declared)), Some(reader)))
}

/// Reads the rest of a large body from the caller and passes the whole body on in chunks.
pub(super) struct BodyReader<'r> {
    source: DataStream<'r>,
    chunks: mpsc::Sender<io::Result<Bytes>>,
    start: Bytes,
    remaining: u64,
}

impl BodyReader<'_> {
    /// Reads until the body ends, is too large or is no longer needed.
    pub(super) async fn run(mut self) {
        let mut next = Ok(self.start);
        loop {
            let failed = next.is_err();
            if self.chunks.send(next).await.is_err() || failed {
                return;
            }
            let mut chunk = vec![0; CHUNK_BYTES];
            next = match self.source.read(&mut chunk).await {
                Ok(0) => {
                    // An empty chunk marks the end of a complete body.
                    let _ = self.chunks.send(Ok(Bytes::new())).await;
                    return;
                }
                Ok(count) if count as u64 > self.remaining => {
                    Err(io::Error::other("the body is larger than the limit"))
                }
                Ok(count) => {
                    self.remaining -= count as u64;
                    chunk.truncate(count);
                    Ok(chunk.into())
                }
                Err(e) => Err(e),
            };
        }
    }
}
