//! Builds Rocket responses from server responses and refusals.

use super::proxy::RequestGuard;
use crate::dispatch::{ResponseBody, ServerResponse};
use bytes::Bytes;
use futures_util::TryStreamExt;
use redwingtrestle_core::codes::{Outcome, ResultCode};
use redwingtrestle_wire::caller::{self, RefusalBody};
use rocket::{http::Status, Response};
use std::{
    io::{self, Cursor, SeekFrom},
    pin::Pin,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use tokio_util::io::StreamReader;

/// How long a refused caller should wait before it repeats the request, in milliseconds. Meanwhile the queue of an
/// overloaded node advances, and the wait is short compared with callers' deadlines of a second and more.
const RETRY_AFTER_MS: u64 = 200;

/// A buffered body with a value that is dropped when the last byte has been passed on.
struct BufferedBody<D> {
    bytes: Cursor<Bytes>,
    _guard: D,
}

impl<D: Unpin> AsyncRead for BufferedBody<D> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl<D: Unpin> AsyncSeek for BufferedBody<D> {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(context)
    }
}

fn set_buffered<D: Unpin + Send + 'static>(response: &mut Response<'_>, bytes: Bytes, guard: D) {
    response.set_sized_body(bytes.len(), BufferedBody { bytes: Cursor::new(bytes), _guard: guard });
}

/// Returns the response for a refusal. `guard` is dropped when its last byte has been passed on.
pub(crate) fn refusal<'r, D: Unpin + Send + 'static>(
    code: ResultCode,
    message: &str,
    id: &str,
    prefix: Option<String>,
    guard: D,
) -> Response<'r> {
    let mut body = RefusalBody::new(code, message);
    body.key_prefix = prefix;
    body.retry_after_ms = (code.status() == 503).then_some(RETRY_AFTER_MS);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new();
    response.set_status(Status::new(code.status()));
    response.set_raw_header("Content-Type", "application/json");
    response.set_raw_header(caller::OUTCOME, code.outcome().to_string());
    response.set_raw_header(caller::RESULT_CODE, code.number().to_string());
    response.set_raw_header(caller::REQUEST_ID, id.to_string());
    if let Some(prefix) = body.key_prefix {
        response.set_raw_header(caller::KEY_PREFIX, prefix);
    }
    set_buffered(&mut response, text.into(), guard);
    response
}

/// Returns the Rocket response for a server response. `guard` is dropped when its last byte has been passed on.
pub(super) fn server_response<'r>(
    received: ServerResponse,
    id: &str,
    guard: RequestGuard,
) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(received.status));
    for (name, value) in &received.headers {
        if let Ok(value) = value.to_str() {
            response.adjoin_raw_header(name.as_str().to_string(), value.to_string());
        }
    }
    response.set_raw_header(caller::REQUEST_ID, id.to_string());
    if received.headers.get(caller::OUTCOME).is_none() {
        response.set_raw_header(caller::OUTCOME, Outcome::Ran.to_string());
    }
    match received.body {
        ResponseBody::Buffered(bytes) => set_buffered(&mut response, bytes, guard),
        ResponseBody::Streamed(streamed) => {
            // With the length declared, a response that ends early breaks the caller's connection.
            response.set_raw_header("Content-Length", streamed.length().to_string());
            let mut guard = guard;
            let stream = streamed.into_stream().inspect_err(move |_| guard.record_broken());
            response.set_streamed_body(StreamReader::new(Box::pin(stream)));
        }
    }
    response
}
