//! Callers' connections: time limits on request heads and idle connections, and closing at a planned stop.

use crate::{
    clock::duration,
    connection_state::{BusyGuard, ConnectionState, LimitCheck, FRAMING_AMBIGUOUS, FRAMING_UNSEEN},
    error::{Error, Result},
    inspected_socket::InspectedSocket,
    linger::linger,
    reply::{self, ReplyBody},
    request,
    shared::{wait_for_closing, OpenConnectionGuard, Phase, Shared},
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
    sync::{atomic::Ordering, Arc},
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

/// The length of the queue of connections that wait to be accepted. A full queue delays a caller by seconds.
const BACKLOG: u32 = 1_024;

/// The send buffer of a caller's socket, in bytes. By default the system lets it grow to megabytes for a caller that reads
/// slowly, and all of it counts as memory of the VM.
const SEND_BUFFER: u32 = 64 * 1024;

/// The receive buffer of a caller's socket, in bytes. By default the system lets it grow to megabytes while a server
/// reads a streamed body slower than its caller sends it.
const RECEIVE_BUFFER: u32 = 64 * 1024;

/// The smallest buffer for reading a head, in bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// The pause after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_PAUSE: Span = Span::from_millis(50);

/// Binds the address that callers connect to.
pub fn bind(shared: &Shared) -> Result<TcpListener> {
    let addr = shared.settings.entry;
    let listen = |e| Error::listen("entry", addr, e);
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(listen)?;
    socket.set_reuseaddr(true).map_err(listen)?;
    // Accepted sockets inherit the sizes.
    socket.set_send_buffer_size(SEND_BUFFER).map_err(listen)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).map_err(listen)?;
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
    connection_state: Arc<ConnectionState>,
    busy: BusyGuard,
    framing: u8,
) -> Response<ReplyBody> {
    let is_chunked = incoming.headers().contains_key(TRANSFER_ENCODING);
    let mut response = if framing == FRAMING_AMBIGUOUS {
        log::info!(target: "entry", code = ResultCode::BadRequest.number();
            "request refused: it has both Content-Length and Transfer-Encoding");
        reply::refusal(ResultCode::BadRequest, None)
    } else {
        serve_in_turn(&shared, incoming, &connection_state, &busy).await
    };
    // Requests that were started ahead may have reached servers, so in a planned stop only the last of them closes the
    // connection.
    let is_last = *shared.phase.borrow() != Phase::Running && connection_state.pipeline.is_empty();
    // The head was not inspected if the framing of an earlier request was unclear. If its body is chunked, the connection
    // is closed after it.
    let is_in_doubt = framing == FRAMING_AMBIGUOUS || (framing == FRAMING_UNSEEN && is_chunked);
    if is_last || is_in_doubt {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| body.with_busy_guard(busy))
}

/// Serves a request that has its turn. It may have been started before.
async fn serve_in_turn(
    shared: &Arc<Shared>,
    incoming: Request<Incoming>,
    connection_state: &ConnectionState,
    busy: &BusyGuard,
) -> Response<ReplyBody> {
    let arrival = connection_state.take_arrival();
    let (head, body) = incoming.into_parts();
    if let Some(started) = connection_state.pipeline.take(&head) {
        busy.set_attempt(&started.attempt);
        busy.share_turn();
        return started.response().await;
    }
    let attempt = request::attempt(shared, &head.headers);
    busy.set_attempt(&attempt);
    let incoming = Request::from_parts(head, Some(body));
    request::serve(shared.clone(), incoming, attempt, arrival, None, Some(busy)).await
}

async fn handle_connection(shared: Arc<Shared>, socket: TcpStream, _open: OpenConnectionGuard) {
    // Nagle's algorithm would delay small responses until earlier segments are acknowledged.
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!(target: "entry",
            "a caller's connection was lost right after it was accepted: {e}");
        return;
    }
    let connection_state = Arc::new(ConnectionState::new(shared.clone()));
    let mut socket = InspectedSocket::new(socket, connection_state.clone());
    let mut head_limit = shared.head_limit.subscribe();
    loop {
        match serve_connection(&shared, socket, &connection_state, &mut head_limit).await {
            ConnectionEnd::HeadLimitChanged(kept) => socket = kept,
            ConnectionEnd::Closed(socket) => {
                cancel_started(&connection_state);
                linger(socket.into_socket(), connection_state.unchanged_for()).await;
                return;
            }
            ConnectionEnd::SlowHead => return,
        }
    }
}

/// Cancels the requests that were started and whose turn does not come.
fn cancel_started(connection_state: &ConnectionState) {
    let cancelled = connection_state.pipeline.cancel_all("cancelled");
    if cancelled > 0 {
        log::info!(target: "entry", cancelled;
            "a connection ended before the replies to pipelined requests, which are cancelled");
    }
}

/// Why the HTTP library no longer serves a connection.
enum ConnectionEnd {
    /// The connection is to be closed.
    Closed(InspectedSocket),
    /// A request head did not arrive within its time limit.
    SlowHead,
    /// The limit on heads is another one now. The caller keeps its connection.
    HeadLimitChanged(InspectedSocket),
}

/// Serves requests until the connection ends, or until it waits for a request and the limit on heads has changed. The HTTP
/// library takes that limit for a whole connection.
async fn serve_connection(
    shared: &Arc<Shared>,
    mut socket: InspectedSocket,
    connection_state: &Arc<ConnectionState>,
    head_limit: &mut watch::Receiver<usize>,
) -> ConnectionEnd {
    let limits = || shared.routing_config.load().as_ref().map(|c| c.limits()).unwrap_or_default();
    let (service_state, service_shared) = (connection_state.clone(), shared.clone());
    let service = service_fn(move |incoming| {
        // Before the first poll of the future, the library reads again.
        let (shared, state) = (service_shared.clone(), service_state.clone());
        let busy = BusyGuard::new(state.clone());
        let framing = state.framing.swap(FRAMING_UNSEEN, Ordering::SeqCst);
        let serving = serve_request(shared, incoming, state, busy, framing);
        serving.map(Ok::<_, Infallible>).boxed()
    });
    let head = *head_limit.borrow_and_update();
    socket.set_head_limit(head);
    let mut connection = http1::Builder::new()
        .max_buf_size(head.max(MIN_HEAD_BUFFER))
        .max_header_size(head)
        .serve_connection(TokioIo::new(socket), service);
    let mut phase = shared.phase.subscribe();
    let mut wait = limits().head_time;
    let (mut is_closing, mut is_shut, mut is_outdated) = (false, false, false);
    loop {
        tokio::select! {
            result = &mut connection => {
                connection_state.log_end(result.err().as_ref());
                return ConnectionEnd::Closed(connection.into_parts().io.into_inner());
            }
            () = tokio::time::sleep(duration(wait)) => {
                let limits = limits();
                match connection_state.check(limits.head_time, limits.idle_time) {
                    LimitCheck::Later(again) => wait = again.min(limits.head_time.times(2)),
                    LimitCheck::SlowHead => {
                        log::info!(target: "entry",
                            "a request head did not arrive within its time limit, the connection is closed");
                        return ConnectionEnd::SlowHead;
                    }
                    LimitCheck::Idle => {
                        is_closing = true;
                        wait = limits.head_time;
                    }
                }
            }
            () = wait_for_closing(&mut phase), if !is_closing => is_closing = true,
            // The sender lives as long as the process, so the wait cannot fail.
            _ = head_limit.changed(), if !is_outdated => is_outdated = true,
            () = connection_state.wait_for_reply(), if is_outdated || (is_closing && !is_shut) => {}
        }
        // The HTTP library lets only the current request finish, so those that were started ahead come first.
        if is_closing && !is_shut && connection_state.pipeline.is_empty() {
            is_shut = true;
            std::pin::Pin::new(&mut connection).graceful_shutdown();
        }
        if is_outdated && !is_closing && connection_state.awaits_request() {
            let parts = connection.into_parts();
            let mut socket: InspectedSocket = parts.io.into_inner();
            socket.unread(&parts.read_buf);
            return ConnectionEnd::HeadLimitChanged(socket);
        }
    }
}
