//! The HTTP server that the stand-ins share.

use bytes::Bytes;
use futures_util::{stream, Stream, StreamExt};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full, StreamBody};
use hyper::{body::Frame, body::Incoming, service::service_fn, Request, Response};
use hyper_util::rt::TokioIo;
use std::{future::Future, io, net::SocketAddr};
use tokio::{net::TcpListener, task::JoinHandle};

/// The response body of a stand-in.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returned by a request handler to close the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in closed the connection")
    }
}

impl std::error::Error for CloseConnection {}

/// Returns a body of known length, sent with a content length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that sends `start` and then fails.
///
/// It yields to the runtime before failing. If a body fails at once, hyper drops the bytes that it has not yet
/// flushed, and the caller would see a connection closed without any response.
pub fn truncated(start: Bytes) -> Body {
    let first = stream::iter([Ok(Frame::data(start))]);
    let cut = stream::once(async {
        tokio::task::yield_now().await;
        Err(io::Error::other("the stand-in truncated the response"))
    });
    streamed(first.chain(cut))
}

/// Returns a body of unknown length, sent in chunks.
pub fn streamed(frames: impl Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static) -> Body {
    StreamBody::new(frames).boxed_unsync()
}

/// Returns a JSON response with `status`.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// Binds `addr` and returns the listener with its address. Port 0 picks a free port.
pub async fn bind(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Identifies the connection on which a request arrived, as an extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// Serves HTTP/1.1 on `listener` until the returned task is aborted, which also closes the open connections.
pub fn serve<F, Fut>(listener: TcpListener, respond: F) -> JoinHandle<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Response<Body>, CloseConnection>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        let mut next_id = 0;
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    // With Nagle's algorithm, small responses would wait for the acknowledgement of earlier segments.
                    let _ = socket.set_nodelay(true);
                    let (respond, id) = (respond.clone(), ConnectionId(next_id));
                    next_id += 1;
                    let service = service_fn(move |mut request: Request<Incoming>| {
                        request.extensions_mut().insert(id);
                        respond(request)
                    });
                    connections.spawn(async move {
                        let io = TokioIo::new(socket);
                        let _ = hyper::server::conn::http1::Builder::new()
                            .serve_connection(io, service)
                            .await;
                    });
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    })
}

/// Reads a request body to its end.
pub async fn collect(body: Incoming) -> Result<Bytes, CloseConnection> {
    body.collect().await.map(http_body_util::Collected::to_bytes).map_err(|_| CloseConnection)
}
