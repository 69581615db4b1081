//! Requests as they are sent to backend servers, and their bodies.

use crate::{
    buffer_memory::{BufferMemory, CollectedBytes},
    caller::CallerWatch,
    prefixed_body::PrefixedBody,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    header::{HeaderMap, HeaderValue, AUTHORIZATION, CONTENT_LENGTH, USER_AGENT},
    http::request::Parts,
    Method, Uri,
};
use redwingtrestle_core::{codes::ResultCode, ids::ServiceName, process::fingerprint::Fingerprint};
use std::{
    borrow::Cow,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

/// The longest request body that is buffered for retries, in bytes. A longer one is streamed and sent only once.
const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// How much of a longer body counts for its request's fingerprint, in bytes. So much is read before the body is streamed.
const BODY_BEGINNING: usize = 64 * 1024;

/// A request as it is sent to servers, without its body and server-specific headers.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The id of the caller's attempt, as its header gives it.
    pub attempt: Arc<str>,
    /// The service.
    pub service: ServiceName,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Recognises the request when its caller sends it again.
    pub fingerprint: Fingerprint,
    /// Whether the caller is still connected.
    pub caller: CallerWatch,
}

/// Returns the fingerprint of a request to `host`. Callers are told apart by two headers, not by their addresses, as one
/// caller may come from several. A body too long to buffer counts by its beginning and its stated length.
pub fn fingerprint(host: &str, head: &Parts, body: &RequestBody) -> Fingerprint {
    let header = |name| head.headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let first = body.body.first.as_deref().unwrap_or_default();
    let content = match body.body.rest {
        None => Cow::Borrowed(first),
        Some(_) => {
            let beginning = &first[..first.len().min(BODY_BEGINNING)];
            Cow::Owned([beginning, header(CONTENT_LENGTH)].concat())
        }
    };
    let method = head.method.as_str().as_bytes();
    let (authorization, agent) = (header(AUTHORIZATION), header(USER_AGENT));
    Fingerprint::of(&[method, host.as_bytes(), path.as_bytes(), authorization, agent, &content])
}

/// A request body: the buffered beginning, and the unread rest if the body is too long to buffer.
#[derive(Debug, Default)]
pub struct RequestBody {
    body: PrefixedBody,
    /// The bytes that may still follow before the size limit is exceeded.
    remaining: u64,
}

impl RequestBody {
    /// Returns a copy of the body if all of it is buffered.
    pub fn buffered_copy(&self) -> Option<RequestBody> {
        let PrefixedBody { first, rest } = &self.body;
        rest.is_none().then(|| RequestBody {
            body: PrefixedBody { first: first.clone(), rest: None },
            remaining: 0,
        })
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let is_streamed = self.body.first.is_none();
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => frame,
            Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => return Poll::Pending,
        };
        let length = match frame.data_ref() {
            Some(data) if is_streamed => data.len() as u64,
            _ => 0,
        };
        if length > self.remaining {
            return Poll::Ready(Some(Err(io::Error::other(
                "the request body exceeds the size limit",
            ))));
        }
        self.remaining -= length;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads a request body, or only its beginning if it is too long to buffer. `limit` is its largest size in bytes.
/// `time` limits how long the buffered part may take to arrive. The buffered part counts in `memory` until no copy of
/// it is needed, and is refused if that has no room.
pub async fn read(
    mut body: Incoming,
    limit: u64,
    time: Duration,
    memory: &Arc<BufferMemory>,
) -> Result<RequestBody, ResultCode> {
    let stated = body.size_hint().lower();
    if stated > limit {
        return Err(ResultCode::BodyTooLarge);
    }
    let is_stated_long = stated > MAX_BUFFERED_BODY as u64;
    let most = if is_stated_long { BODY_BEGINNING } else { MAX_BUFFERED_BODY };
    // A body that does not fit is refused before its caller sends it. No memory is set aside for the others: a caller
    // that states a length and sends nothing would take it from those that send.
    if !memory.has_room_for(most.min(stated as usize)) {
        return Err(memory_full());
    }
    let mut bytes = CollectedBytes::new(memory);
    let reading = async {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| ResultCode::BadRequest)?.into_data() {
                if !bytes.try_extend(&data) {
                    return Err(memory_full());
                }
            }
            if bytes.len() > most {
                return Ok(true);
            }
        }
        Ok(false)
    };
    let is_long =
        tokio::time::timeout(time, reading).await.map_err(|_| ResultCode::DeadlineUnmet)??;
    if bytes.len() as u64 > limit {
        return Err(ResultCode::BodyTooLarge);
    }
    bytes.shrink();
    let remaining = limit - bytes.len() as u64;
    let first = (!bytes.is_empty()).then(|| bytes.freeze());
    Ok(RequestBody { body: PrefixedBody { first, rest: is_long.then_some(body) }, remaining })
}

/// Counts a refusal for want of memory, and returns its code.
fn memory_full() -> ResultCode {
    metrics::counter!("redwing_gateway_memory_refusals_total").increment(1);
    ResultCode::MemoryFull
}
