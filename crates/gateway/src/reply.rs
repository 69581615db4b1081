//! Replies to callers: buffered ones, and those that are streamed while the server's response arrives.

use crate::{
    connection_state::BusyGuard, in_flight::InFlightSend, pool::ServerConnection,
    prefixed_body::PrefixedBody, shared::OpenRequestGuard,
};
use bytes::Bytes;
use hyper::{
    body::{Body, Frame, SizeHint},
    header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER},
    Response, StatusCode,
};
use redwingtrestle_core::{codes::ResultCode, process::health_estimate::Observation, time::Span};
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::{Instant, Sleep};

/// The hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// A response that is streamed to the caller while it arrives.
///
/// If the server breaks off the response, the body ends with an error and the caller's connection is closed, so a
/// truncated response never looks complete.
#[derive(Debug)]
pub struct StreamedResponse {
    /// The response's body.
    pub body: PrefixedBody,
    /// Completes at the caller's deadline.
    pub deadline: Pin<Box<Sleep>>,
    /// The send that the response belongs to.
    pub in_flight: InFlightSend,
    /// The server's connection, which returns to the pool after a complete response.
    pub connection: Option<ServerConnection>,
}

impl StreamedResponse {
    fn complete(&mut self) {
        self.in_flight.record_success();
        self.in_flight.record_served();
        if let Some(connection) = self.connection.take() {
            self.in_flight.return_connection(connection);
        }
    }

    fn fail(&mut self, what: &str) -> io::Error {
        self.connection = None;
        self.in_flight.observe(Observation::Lost);
        let (server, attempt) = (self.in_flight.server(), self.in_flight.attempt());
        log::warn!(target: "requests", attempt, server;
            "a response broke off while it was streamed, the caller's connection is closed: {what}");
        io::Error::other(what.to_string())
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub struct ReplyBody {
    content: Content,
    /// Kept until the whole body has been written to the connection.
    _busy: Option<BusyGuard>,
    _open_request: Option<OpenRequestGuard>,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Streamed(Box<StreamedResponse>),
}

impl ReplyBody {
    /// Attaches the guard of an open request, which lives until the whole body has been written.
    pub fn with_open_guard(mut self, open: OpenRequestGuard) -> Self {
        self._open_request = Some(open);
        self
    }

    /// Attaches the guard of a busy connection, which lives until the whole body has been written.
    pub fn with_busy_guard(mut self, busy: BusyGuard) -> Self {
        self._busy = Some(busy);
        self
    }

    /// Returns when a streamed body is broken off, `None` for one that is complete.
    pub fn stream_deadline(&self) -> Option<Instant> {
        match &self.content {
            Content::Whole(_) => None,
            Content::Streamed(streamed) => Some(streamed.deadline.deadline()),
        }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        let bytes = (!bytes.is_empty()).then_some(bytes);
        ReplyBody { content: Content::Whole(bytes), _busy: None, _open_request: None }
    }
}

impl From<StreamedResponse> for ReplyBody {
    fn from(streamed: StreamedResponse) -> Self {
        ReplyBody {
            content: Content::Streamed(Box::new(streamed)),
            _busy: None,
            _open_request: None,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let streamed = match &mut self.content {
            Content::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Streamed(streamed) => streamed,
        };
        // The deadline comes first: the body of a server that sends without end is always ready.
        if streamed.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(streamed.fail("the deadline has passed"))));
        }
        match Pin::new(&mut streamed.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(e))) => {
                streamed.in_flight.check_for_crash();
                Poll::Ready(Some(Err(streamed.fail(&e.to_string()))))
            }
            Poll::Ready(None) => {
                streamed.complete();
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Streamed(streamed) => streamed.body.size_hint(),
        }
    }
}

/// Builds the reply that passes on a server's response.
pub fn from_server(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ReplyBody,
    is_head: bool,
) -> Response<ReplyBody> {
    strip_hop_by_hop_headers(&mut headers);
    // hyper derives the length from the body, except for HEAD, whose response states the length without the body.
    if !is_head {
        headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the gateway's own refusal or failure. `wait`, given only if the request did not run, becomes `Retry-After`.
pub fn refusal(code: ResultCode, wait: Option<Span>) -> Response<ReplyBody> {
    let text = format!(
        "{{\"code\":{},\"name\":\"{code}\",\"outcome\":\"{}\"}}",
        code.number(),
        code.outcome()
    );
    let mut response = Response::new(ReplyBody::from(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Some(wait) = wait {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
