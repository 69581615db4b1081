//! The pool of idle connections to backend servers.

use crate::outgoing::OutBody;
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
use tokio::{net::TcpStream, task::AbortHandle};

/// The connect timeout. A lost SYN is sent again only after a second, and trying another server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

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

/// A connection that is not ready for the next request within this time after an answer is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// `Link` is an HTTP/1.1 connection to a backend server. Dropping it closes the connection.
#[derive(Debug)]
pub struct Link {
    /// The hyper handle that sends requests.
    pub sender: SendRequest<OutBody>,
    /// Whether it has served a request before.
    pub is_used: bool,
    task: AbortHandle,
    idle: Span,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Opens a connection.
    pub async fn connect(addr: SocketAddr) -> io::Result<Link> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        // The sender also returns the error to the request that it affects.
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "links", server:% = addr; "a connection to a server ended with an error: {e}");
            }
        });
        metrics::counter!("redwing_gateway_connects_total").increment(1);
        Ok(Link { sender, is_used: false, task: task.abort_handle(), idle: MAX_IDLE })
    }

    /// Sets the idle limit from the keep-alive time that the server states, in seconds.
    pub fn set_idle(&mut self, stated: Option<u64>) {
        if let Some(seconds) = stated {
            let (part, whole) = KEEP_ALIVE_FRACTION;
            self.idle =
                Span::from_millis(seconds.saturating_mul(1_000).saturating_mul(part) / whole)
                    .min(MAX_IDLE);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    link: Link,
    since: Timestamp,
}

impl IdleConnection {
    fn is_usable(&self, now: Timestamp, max_idle: Span) -> bool {
        let age = now.since(self.since);
        age < self.link.idle && age < max_idle && self.link.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct PoolState {
    idle: HashMap<ServerId, Vec<IdleConnection>>,
    doubt: Option<Timestamp>,
}

/// `Pool` keeps idle connections for reuse.
#[derive(Debug, Default)]
pub struct Pool {
    state: Mutex<PoolState>,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to a server out of the pool. `once` marks an at-most-once request.
    pub fn take(&self, id: &ServerId, now: Timestamp, once: bool) -> Option<Link> {
        let mut state = self.lock();
        let is_strict = state.doubt.is_some_and(|at| now.since(at) < STRICT_PERIOD);
        let max_idle = if once && is_strict { STRICT_MAX_IDLE } else { MAX_IDLE };
        let idle = state.idle.get_mut(id)?;
        // The most recently used connection is the least likely to have been closed by the server.
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable(now, max_idle) {
                return Some(candidate.link);
            }
        }
        None
    }

    /// Puts a connection back once it is ready for another request. Its last answer must be complete.
    pub async fn keep(&self, id: ServerId, mut link: Link, now: Timestamp) {
        if link.idle == Span::ZERO {
            return;
        }
        let free = tokio::time::timeout(READY_TIMEOUT, link.sender.ready()).await;
        if !matches!(free, Ok(Ok(()))) {
            return;
        }
        link.is_used = true;
        let mut state = self.lock();
        let idle = state.idle.entry(id).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection { link, since: now });
        }
    }

    /// Records that a reused connection failed the request that was sent on it.
    pub fn doubt(&self, now: Timestamp) {
        self.lock().doubt = Some(now);
    }

    /// Closes the idle connections of a server.
    pub fn forget(&self, id: &ServerId) {
        self.lock().idle.remove(id);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().idle.clear();
    }

    /// Closes connections whose idle limit has passed, before the servers close them.
    pub fn sweep(&self, now: Timestamp) {
        let mut state = self.lock();
        for idle in state.idle.values_mut() {
            idle.retain(|i| i.is_usable(now, MAX_IDLE));
        }
        state.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Parses the `timeout` of a `Keep-Alive` header, in seconds.
pub fn stated_idle(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
}
