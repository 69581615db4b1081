//! The pool of idle connections to backend servers.

use crate::outgoing::RequestBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use redwingtrestle_core::{
    process::registration::ServerId,
    time::{Span, Timestamp},
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

/// The connect timeout. A lost SYN is sent again only after a second, and trying another server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The read buffer of a connection, in bytes, and so the longest head of a response. It bounds the memory that a server
/// can take with a head that does not end. It is also how much of a streamed request body waits for a server that reads
/// slowly, before more of it is read from the caller.
const MAX_BUFFER: usize = 64 * 1024;

/// The receive buffer of a connection's socket, in bytes. By default the system lets it grow to megabytes, and all of it
/// counts as memory of the VM while a caller reads slower than its server sends.
const RECEIVE_BUFFER: u32 = 64 * 1024;

/// The send buffer of a connection's socket, in bytes. By default the system lets it grow to megabytes for a server that
/// reads slowly.
const SEND_BUFFER: u32 = 64 * 1024;

/// The longest idle time of a pooled connection, and its default if the server states no keep-alive time.
const MAX_IDLE: Span = Span::from_secs(7);

/// A connection is used for this fraction of the keep-alive time that the server states, as numerator and denominator.
/// A request that is sent while the server closes the connection may or may not have run.
const KEEP_ALIVE_FRACTION: (u64, u64) = (3, 4);

/// The longest idle time of a connection for an at-most-once request, for [`STRICT_PERIOD`] after a reused one failed.
const STRICT_MAX_IDLE: Span = Span::from_millis(300);

/// How long the stricter limit [`STRICT_MAX_IDLE`] applies after a request failed on a reused connection.
const STRICT_PERIOD: Span = Span::from_secs(10);

/// The largest number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 8;

/// A connection that is not ready for the next request within this time after a response is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// An HTTP/1.1 connection to a backend server. Dropping it closes the connection.
#[derive(Debug)]
pub struct ServerConnection {
    /// The hyper handle that sends requests.
    pub sender: SendRequest<RequestBody>,
    /// Whether it has served a request before.
    pub was_used: bool,
    task: AbortHandle,
    idle_limit: Span,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServerConnection {
    /// Opens a connection.
    pub async fn connect(addr: SocketAddr) -> io::Result<ServerConnection> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, open_socket(addr));
        let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket.set_nodelay(true)?;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(TokioIo::new(socket));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        // The sender also returns the error to the request that it affects.
        let task = tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!(target: "links", server:% = addr;
                    "a connection to a server ended with an error: {e}");
            }
        });
        metrics::counter!("redwing_gateway_connects_total").increment(1);
        Ok(ServerConnection {
            sender,
            was_used: false,
            task: task.abort_handle(),
            idle_limit: MAX_IDLE,
        })
    }

    /// Sets the idle limit from the keep-alive time that the server states, in seconds.
    pub fn set_keep_alive(&mut self, stated: Option<u64>) {
        if let Some(seconds) = stated {
            let (part, whole) = KEEP_ALIVE_FRACTION;
            self.idle_limit =
                Span::from_millis(seconds.saturating_mul(1_000).saturating_mul(part) / whole)
                    .min(MAX_IDLE);
        }
    }
}

async fn open_socket(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.connect(addr).await
}

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    since: Timestamp,
}

impl IdleConnection {
    fn is_usable(&self, now: Timestamp, max_idle: Span) -> bool {
        let age = now.since(self.since);
        age < self.connection.idle_limit && age < max_idle && self.connection.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct PoolState {
    idle: HashMap<ServerId, Vec<IdleConnection>>,
    failed_reuse: Option<Timestamp>,
}

/// Keeps idle connections for reuse.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    state: Mutex<PoolState>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to a server out of the pool. With `at_most_once`, the limit on its idle time may be
    /// stricter.
    pub fn take_idle(
        &self,
        id: &ServerId,
        now: Timestamp,
        at_most_once: bool,
    ) -> Option<ServerConnection> {
        let mut state = self.lock();
        let is_strict = state.failed_reuse.is_some_and(|at| now.since(at) < STRICT_PERIOD);
        let max_idle = if at_most_once && is_strict { STRICT_MAX_IDLE } else { MAX_IDLE };
        let idle = state.idle.get_mut(id)?;
        // The most recently used connection is the least likely to have been closed by the server.
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable(now, max_idle) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Puts a connection back once it is ready for another request. Its last response must be complete.
    pub async fn put_back(&self, id: ServerId, mut connection: ServerConnection, now: Timestamp) {
        if connection.idle_limit == Span::ZERO {
            return;
        }
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        connection.was_used = true;
        let mut state = self.lock();
        let idle = state.idle.entry(id).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection { connection, since: now });
        }
    }

    /// Records that a reused connection failed the request that was sent on it.
    pub fn record_failed_reuse(&self, now: Timestamp) {
        self.lock().failed_reuse = Some(now);
    }

    /// Closes the idle connections of a server.
    pub fn close_idle(&self, id: &ServerId) {
        self.lock().idle.remove(id);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.lock().idle.clear();
    }

    /// Closes connections whose idle limit has passed, before the servers close them.
    pub fn close_expired(&self, now: Timestamp) {
        let mut state = self.lock();
        for idle in state.idle.values_mut() {
            idle.retain(|i| i.is_usable(now, MAX_IDLE));
        }
        state.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Parses the `timeout` of a `Keep-Alive` header, in seconds.
pub fn keep_alive_timeout(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
}
