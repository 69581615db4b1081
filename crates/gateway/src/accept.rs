//! Callers' connections: time limits on request heads and idle connections, and closing at a planned stop.

use crate::{
    clock::duration,
    connection_state::{
        BusyGuard, ConnectionState, LimitCheck, FRAMING_AMBIGUOUS, FRAMING_CLEAR, FRAMING_UNSEEN,
        IDLE, READING_HEAD,
    },
    error::{Error, Result},
    linger::linger,
    reply::{self, ReplyBody},
    request,
    shared::{wait_for_closing, OpenConnectionGuard, Shared},
};
use futures_util::FutureExt;
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

/// The length of the queue of connections that wait to be accepted. A full queue delays a caller by seconds.
const BACKLOG: u32 = 1_024;

/// The send buffer of a caller's socket, in bytes. By default the system lets it grow to megabytes for a caller that reads
/// slowly, and all of it counts as memory of the VM.
const SEND_BUFFER: u32 = 64 * 1024;

/// The smallest buffer for reading a head, in bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// The pause after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_PAUSE: Span = Span::from_millis(50);

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A caller's socket that records when a request head begins to arrive, and inspects its framing.
#[derive(Debug)]
struct InspectedSocket {
    socket: TcpStream,
    connection_state: Arc<ConnectionState>,
    head: Vec<u8>,
}

impl InspectedSocket {
    /// Inspects the raw head, because the HTTP library hides a `Content-Length` beside a chunked body. Two parsers can
    /// see different ends of such a request, and the bytes between would run as a request of their own (request
    /// smuggling).
    fn inspect_head(&mut self, bytes: &[u8]) {
        self.head.extend_from_slice(bytes);
        let Some(end) = self.head.windows(HEAD_END.len()).position(|w| w == HEAD_END) else {
            return;
        };
        let head = self.head[..end].to_ascii_lowercase();
        let has_header =
            |name: &[u8]| head.split(|b| *b == b'\n').any(|line| line.starts_with(name));
        let is_ambiguous = has_header(b"content-length") && has_header(b"transfer-encoding");
        let framing = if is_ambiguous { FRAMING_AMBIGUOUS } else { FRAMING_CLEAR };
        self.connection_state.framing.store(framing, Ordering::SeqCst);
        self.head = Vec::new();
    }
}

impl AsyncRead for InspectedSocket {
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
        if self.connection_state.activity.load(Ordering::SeqCst) == IDLE {
            self.connection_state.set_activity(READING_HEAD);
            self.connection_state.framing.store(FRAMING_UNSEEN, Ordering::SeqCst);
            self.head.clear();
        }
        let is_head = self.connection_state.activity.load(Ordering::SeqCst) == READING_HEAD;
        if is_head && self.connection_state.framing.load(Ordering::SeqCst) == FRAMING_UNSEEN {
            self.inspect_head(&buffer.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for InspectedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the socket only after it has written all that it had.
        let result = Pin::new(&mut self.socket).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.connection_state.record_flush();
        }
        result
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

/// Binds the address that callers connect to.
pub fn bind(shared: &Shared) -> Result<TcpListener> {
    let addr = shared.settings.entry;
    let listen = |e| Error::listen("entry", addr, e);
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(listen)?;
    socket.set_reuseaddr(true).map_err(listen)?;
    // Accepted sockets inherit the size.
    socket.set_send_buffer_size(SEND_BUFFER).map_err(listen)?;
    socket.bind(addr).map_err(listen)?;
    socket.listen(BACKLOG).map_err(listen)
}

/// Accepts connections until the phase [`Closing`](crate::shared::Phase::Closing).
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut phase = shared.phase.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let open = shared.track_connection();
                    tokio::spawn(handle_connection(shared.clone(), socket, open));
                }
                Err(e) => {
                    log::warn!(target: "entry",
                        "cannot accept a caller's connection, trying again after a pause: {e}");
                    tokio::time::sleep(duration(ACCEPT_PAUSE)).await;
                }
            },
            () = wait_for_closing(&mut phase) => return,
        }
    }
}

/// Serves a request, or refuses it if the end of its body is ambiguous.
async fn serve_request(
    shared: Arc<Shared>,
    incoming: Request<Incoming>,
    busy: BusyGuard,
    framing: u8,
) -> Response<ReplyBody> {
    let is_chunked = incoming.headers().contains_key(TRANSFER_ENCODING);
    let mut response = if framing == FRAMING_AMBIGUOUS {
        log::info!(target: "entry", code = ResultCode::BadRequest.number();
            "request refused: it has both Content-Length and Transfer-Encoding");
        reply::refusal(ResultCode::BadRequest, None)
    } else {
        request::serve(shared, incoming, busy).await
    };
    // The head of a request that arrived together with an earlier one was not inspected, so if its body is chunked, the
    // connection is closed after it.
    if framing == FRAMING_AMBIGUOUS || (framing == FRAMING_UNSEEN && is_chunked) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_connection(shared: Arc<Shared>, socket: TcpStream, _open: OpenConnectionGuard) {
    // Nagle's algorithm would delay small responses until earlier segments are acknowledged.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!(target: "entry",
            "a caller's connection was lost right after it was accepted: {e}");
        return;
    }
    let connection_state = Arc::new(ConnectionState::new(shared.clone()));
    let limits = || shared.routing_config.load().as_ref().map(|c| c.limits()).unwrap_or_default();
    let (service_state, service_shared) = (connection_state.clone(), shared.clone());
    let service = service_fn(move |incoming| {
        let (shared, busy) = (service_shared.clone(), BusyGuard::new(service_state.clone()));
        let framing = service_state.framing.swap(FRAMING_UNSEEN, Ordering::SeqCst);
        let serving = serve_request(shared, incoming, busy, framing);
        serving.map(Ok::<_, Infallible>).boxed()
    });
    let io = TokioIo::new(InspectedSocket {
        socket,
        connection_state: connection_state.clone(),
        head: Vec::new(),
    });
    let head = limits().head;
    let mut connection = http1::Builder::new()
        .max_buf_size(head.max(MIN_HEAD_BUFFER))
        .max_header_size(head)
        .serve_connection(io, service);
    let mut phase = shared.phase.subscribe();
    let mut wait = limits().head_time;
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                connection_state.log_end(result.err().as_ref());
                break;
            }
            () = tokio::time::sleep(duration(wait)) => {
                let limits = limits();
                match connection_state.check(limits.head_time, limits.idle_time) {
                    LimitCheck::Later(again) => wait = again.min(limits.head_time.times(2)),
                    LimitCheck::SlowHead => {
                        log::info!(target: "entry",
                            "a request head did not arrive within its time limit, the connection is closed");
                        return;
                    }
                    LimitCheck::Idle => {
                        is_closing = true;
                        wait = limits.head_time;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                }
            }
            () = wait_for_closing(&mut phase), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    let InspectedSocket { socket, .. } = connection.into_parts().io.into_inner();
    linger(socket, connection_state.unchanged_for()).await;
}
