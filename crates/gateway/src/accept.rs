//! Callers' connections: limits on heads and idle times, and their end at a planned stop.

use crate::{
    clock::duration,
    error::{Error, Result},
    progress::{Busy, Check, Progress, AMBIGUOUS, CLEAR, HEAD, IDLE, UNSEEN},
    reply::{self, ReplyBody},
    request,
    shared::{closing, Shared},
};
use hyper::{
    body::Incoming,
    header::{HeaderValue, CONNECTION, TRANSFER_ENCODING},
    server::conn::http1,
    service::service_fn,
    Request, Response,
};
use hyper_util::rt::TokioIo;
use redwingtrestle_core::{codes::ResultCode, time::Span};
use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::{atomic::Ordering, Arc},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
};

/// The connections that may wait to be accepted. A full queue delays a caller by seconds.
const BACKLOG: u32 = 1_024;

/// The least size of the buffer in which a head is read.
const LEAST_HEAD: usize = 8 * 1024;

/// The pause after a connection could not be accepted, usually for want of descriptors.
const ACCEPT_PAUSE: Span = Span::from_millis(50);

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// `Watched` is a caller's socket that notes when the head of a request begins to arrive.
#[derive(Debug)]
struct Watched {
    socket: TcpStream,
    progress: Arc<Progress>,
    head: Vec<u8>,
}

impl Watched {
    /// Looks at the raw head, as the HTTP library hides a stated length beside a chunked body. Of such a request two
    /// readers see different ends, and what lies between them would run as a request of its own.
    fn look(&mut self, bytes: &[u8]) {
        self.head.extend_from_slice(bytes);
        let Some(end) = self.head.windows(HEAD_END.len()).position(|w| w == HEAD_END) else {
            return;
        };
        let head = self.head[..end].to_ascii_lowercase();
        let has = |name: &[u8]| head.split(|b| *b == b'\n').any(|line| line.starts_with(name));
        let is_ambiguous = has(b"content-length") && has(b"transfer-encoding");
        let framing = if is_ambiguous { AMBIGUOUS } else { CLEAR };
        self.progress.framing.store(framing, Ordering::SeqCst);
        self.head = Vec::new();
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(context, buffer);
        if buffer.filled().len() == before {
            return result;
        }
        if self.progress.state.load(Ordering::SeqCst) == IDLE {
            self.progress.set(HEAD);
            self.progress.framing.store(UNSEEN, Ordering::SeqCst);
            self.head.clear();
        }
        let is_head = self.progress.state.load(Ordering::SeqCst) == HEAD;
        if is_head && self.progress.framing.load(Ordering::SeqCst) == UNSEEN {
            self.look(&buffer.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}

/// Binds the address for callers.
pub fn bind(shared: &Shared) -> Result<TcpListener> {
    let addr = shared.settings.entry;
    let listen = |e| Error::listen("entry", addr, e);
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(listen)?;
    socket.set_reuseaddr(true).map_err(listen)?;
    socket.bind(addr).map_err(listen)?;
    socket.listen(BACKLOG).map_err(listen)
}

/// Accepts connections until the process closes its entry.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut phase = shared.phase.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    tokio::spawn(connection(shared.clone(), socket));
                }
                Err(e) => {
                    log::warn!(target: "entry", "a connection cannot be accepted: {e}");
                    tokio::time::sleep(duration(ACCEPT_PAUSE)).await;
                }
            },
            () = closing(&mut phase) => return,
        }
    }
}

/// Answers a request unless the end of its body is in doubt.
async fn answer(
    shared: Arc<Shared>,
    incoming: Request<Incoming>,
    busy: Busy,
    framing: u8,
) -> Response<ReplyBody> {
    let is_chunked = incoming.headers().contains_key(TRANSFER_ENCODING);
    let mut response = if framing == AMBIGUOUS {
        log::info!(target: "entry", code = ResultCode::BadRequest.number();
            "refused: a request states a length and a chunked body");
        reply::refusal(ResultCode::BadRequest, None)
    } else {
        request::serve(shared, incoming, busy).await
    };
    // The head of a request that came with an earlier one was not looked at, so nothing is read after its body.
    if framing == AMBIGUOUS || (framing == UNSEEN && is_chunked) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn connection(shared: Arc<Shared>, socket: TcpStream) {
    // Small answers must not wait for the acknowledgement of earlier segments.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!(target: "entry", "a connection was lost at once: {e}");
        return;
    }
    let progress = Arc::new(Progress::new(shared.clone()));
    let limits = || shared.routing_config.load().as_ref().map(|c| c.limits()).unwrap_or_default();
    let (of_connection, of_requests) = (progress.clone(), shared.clone());
    let service = service_fn(move |incoming| {
        let (shared, busy) = (of_requests.clone(), Busy::new(of_connection.clone()));
        let framing = of_connection.framing.swap(UNSEEN, Ordering::SeqCst);
        async move { Ok::<_, Infallible>(answer(shared, incoming, busy, framing).await) }
    });
    let io = TokioIo::new(Watched { socket, progress: progress.clone(), head: Vec::new() });
    let head = limits().head;
    let connection = http1::Builder::new()
        .max_buf_size(head.max(LEAST_HEAD))
        .max_header_size(head)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut phase = shared.phase.subscribe();
    let mut wait = limits().head_time;
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(e) = result {
                    log::debug!(target: "entry", "a connection ended: {e}");
                }
                return;
            }
            () = tokio::time::sleep(duration(wait)), if !is_closing => {
                let limits = limits();
                match progress.check(limits.head_time, limits.idle_time) {
                    Check::Later(again) => wait = again.min(limits.head_time.times(2)),
                    Check::SlowHead => {
                        log::info!(target: "entry", "the head of a request took too long");
                        return;
                    }
                    Check::Idle => {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
            () = closing(&mut phase), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
