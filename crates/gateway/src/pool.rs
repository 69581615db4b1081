//! Open connections to backend servers.

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

/// How long a connection may take to open. A lost packet delays it by a second, and another server is nearer.
const CONNECT: Duration = Duration::from_millis(400);

/// How long an idle connection is kept if the server does not say when it closes it.
const IDLE: Span = Span::from_secs(7);

/// The part of the time that a server states for idle connections after which one is no longer used: a request that
/// crosses the server's close may or may not have run.
const IDLE_PART: (u64, u64) = (3, 4);

/// The longest idle time of a connection that carries a request which must not run twice, while there is reason to
/// doubt idle connections.
const DOUBT_IDLE: Span = Span::from_millis(300);

/// How long idle connections are in doubt after one of them failed a request.
const DOUBT: Span = Span::from_secs(10);

/// The most idle connections kept for one server.
const KEPT: usize = 8;

/// How long a connection may take to become free for the next request after an answer.
const FREE: Duration = Duration::from_millis(200);

/// `Link` is one connection to a backend server; dropping it closes the connection.
#[derive(Debug)]
pub struct Link {
    /// Sends requests.
    pub sender: SendRequest<OutBody>,
    /// Whether it has carried a request before.
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
        let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(addr));
        let socket = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(socket)).await.map_err(io::Error::other)?;
        // Its errors reach the request that they concern through the sender.
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "links", server:% = addr; "a connection ended: {e}");
            }
        });
        metrics::counter!("redwing_gateway_connects_total").increment(1);
        Ok(Link { sender, is_used: false, task: task.abort_handle(), idle: IDLE })
    }

    /// Takes the idle time in seconds that the server states for its connections.
    pub fn set_idle(&mut self, stated: Option<u64>) {
        if let Some(seconds) = stated {
            let (part, whole) = IDLE_PART;
            self.idle =
                Span::from_millis(seconds.saturating_mul(1_000).saturating_mul(part) / whole)
                    .min(IDLE);
        }
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Timestamp,
}

impl Idle {
    fn is_good(&self, now: Timestamp, most: Span) -> bool {
        let age = now.since(self.since);
        age < self.link.idle && age < most && self.link.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct Links {
    idle: HashMap<ServerId, Vec<Idle>>,
    doubt: Option<Timestamp>,
}

/// `Pool` keeps connections that wait for their next request.
#[derive(Debug, Default)]
pub struct Pool {
    links: Mutex<Links>,
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a connection to a server; `once` says that the request must not run twice.
    pub fn take(&self, id: &ServerId, now: Timestamp, once: bool) -> Option<Link> {
        let mut links = self.lock();
        let in_doubt = links.doubt.is_some_and(|at| now.since(at) < DOUBT);
        let most = if once && in_doubt { DOUBT_IDLE } else { IDLE };
        let idle = links.idle.get_mut(id)?;
        // The newest connection is the least likely to be closed by the server.
        while let Some(candidate) = idle.pop() {
            if candidate.is_good(now, most) {
                return Some(candidate.link);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete as soon as it is free.
    pub async fn keep(&self, id: ServerId, mut link: Link, now: Timestamp) {
        if link.idle == Span::ZERO {
            return;
        }
        let free = tokio::time::timeout(FREE, link.sender.ready()).await;
        if !matches!(free, Ok(Ok(()))) {
            return;
        }
        link.is_used = true;
        let mut links = self.lock();
        let idle = links.idle.entry(id).or_default();
        if idle.len() < KEPT {
            idle.push(Idle { link, since: now });
        }
    }

    /// Notes that an idle connection failed the request that was sent on it.
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

    /// Closes the connections that were idle too long, before the servers do.
    pub fn sweep(&self, now: Timestamp) {
        let mut links = self.lock();
        for idle in links.idle.values_mut() {
            idle.retain(|i| i.is_good(now, IDLE));
        }
        links.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Returns the time that a server's `Keep-Alive` header states, in seconds.
pub fn stated_idle(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
}
