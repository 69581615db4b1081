//! Backend servers as PROTOCOL.md describes them: slots with a queue, a registration that is written again every 1.5 s,
//! responses that repeat the id of the attempt, and 421 for requests that are meant for another server.
//!
//! A server ends like a process that crashes: its port refuses connections and its connections are closed. It is back
//! after some seconds, under the same id and with a new start time.

use crate::record::Record;
use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
};
use redwingtrestle_platform_fakes::store::Store;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, Semaphore},
    task::JoinSet,
};

const SLOTS: usize = 6;
const QUEUE: usize = 24;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt: String,
    pub path: String,
    pub body: Vec<u8>,
    target: String,
}

/// What a server does with a request.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// How long the request runs before the response begins.
    pub time: Duration,
    /// The length of the response's body.
    pub body_length: usize,
    /// Whether the request ends the server, and after how many bytes of the response's body; with 0, no response begins.
    pub crashes_after: Option<usize>,
    /// What the server says of itself in the response: header lines, each with its end.
    pub notice: String,
    /// Whether the server refuses the request, `time` after a slot was free for it, as one that is failing may do.
    pub is_refused: bool,
}

/// A request that reached a server, or began to run there.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start of the case.
    pub at: f64,
    pub attempt: String,
    pub server: String,
}

/// What all servers saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The requests that reached a server, at the time when it had read them.
    pub arrivals: Vec<Run>,
    pub runs: Vec<Run>,
    /// The time of each end of a server, with the attempt that ended it.
    pub crashes: Vec<(f64, String)>,
}

/// Decides what the server of this id does with a request.
pub type Decide = dyn Fn(&str, &Request) -> Work + Send + Sync;

/// What the servers of a case share.
#[derive(Clone)]
pub struct Site {
    pub store: Arc<Store>,
    pub record: Record,
    pub seen: Arc<Mutex<Seen>>,
    pub work: Arc<Decide>,
    /// How long a server that crashed is away.
    pub down: Duration,
}

/// Starts a server at `addr`. It runs until the runtime ends.
pub async fn start(site: Site, id: String, service: &str, addr: SocketAddr) {
    let listener = TcpListener::bind(addr).await.expect("a free address");
    let service = service.to_string();
    tokio::spawn(async move { live(site, id, service, addr, listener).await });
}

/// Lives through all starts of a server.
async fn live(
    site: Site,
    id: String,
    service: String,
    addr: SocketAddr,
    mut listener: TcpListener,
) {
    loop {
        serve_until_crash(&site, &id, &service, addr, listener).await;
        site.record.line(&format!("server {id} has ended"));
        tokio::time::sleep(site.down).await;
        listener = TcpListener::bind(addr).await.expect("the address is still free");
        site.record.line(&format!("server {id} is back"));
    }
}

/// Serves until a request ends this start. The return closes the port and all connections.
async fn serve_until_crash(
    site: &Site,
    id: &str,
    service: &str,
    addr: SocketAddr,
    listener: TcpListener,
) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64);
    let mut report = 0;
    let mut heartbeat = tokio::time::interval(HEARTBEAT);
    let (crash, mut crashed) = mpsc::channel::<()>(1);
    let slots = Arc::new(Semaphore::new(SLOTS));
    let places = Arc::new(Semaphore::new(SLOTS + QUEUE));
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            _ = crashed.recv() => return,
            _ = heartbeat.tick() => {
                report += 1;
                site.store.register(&Registration {
                    id: ServerId(id.into()),
                    addr,
                    service: service.into(),
                    zone: "bzh-west-a".into(),
                    slots: SLOTS as u32,
                    state: RegistrationState::Ready,
                    warmup: Span::ZERO,
                    started: born,
                    report,
                });
            }
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else { continue };
                let server = Server {
                    site: site.clone(),
                    id: id.into(),
                    crash: crash.clone(),
                    slots: slots.clone(),
                    places: places.clone(),
                };
                connections.spawn(async move { server.handle_connection(socket).await });
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

struct Server {
    site: Site,
    id: String,
    crash: mpsc::Sender<()>,
    slots: Arc<Semaphore>,
    places: Arc<Semaphore>,
}

impl Server {
    async fn handle_connection(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        while let Some(request) = read_request(&mut socket).await {
            if self.handle(&mut socket, &request).await.is_none() {
                return;
            }
        }
    }

    /// Serves one request. Returns `None` if the connection is to be closed.
    async fn handle(&self, socket: &mut TcpStream, request: &Request) -> Option<()> {
        let attempt = &request.attempt;
        let at = self.site.record.now();
        let arrival = Run { at, attempt: attempt.clone(), server: self.id.clone() };
        self.site.record.line(&format!("server {} gets {attempt}", self.id));
        self.seen(|seen| seen.arrivals.push(arrival));
        if !request.target.is_empty() && request.target != self.id {
            return self.refuse(socket, attempt, "421 Misdirected Request", "").await;
        }
        let Ok(_place) = self.places.try_acquire() else {
            return self.refuse(socket, attempt, "503 Service Unavailable", "").await;
        };
        let _slot = self.slots.acquire().await.ok()?;
        let work = (self.site.work)(&self.id, request);
        if work.is_refused {
            tokio::time::sleep(work.time).await;
            return self.refuse(socket, attempt, "503 Service Unavailable", &work.notice).await;
        }
        let at = self.site.record.now();
        self.site.record.line(&format!("server {} runs {attempt} {}", self.id, request.path));
        self.seen(|seen| {
            let run = Run { at, attempt: attempt.clone(), server: self.id.clone() };
            seen.runs.push(run);
        });
        // A server drops a request when its connection closes.
        let mut byte = [0u8; 1];
        tokio::select! {
            () = tokio::time::sleep(work.time) => {}
            _ = socket.read(&mut byte) => return None,
        }
        if work.crashes_after == Some(0) {
            self.end(attempt).await;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {}.{attempt}\r\n{}Content-Length: {}\r\n\r\n",
            self.id, work.notice, work.body_length
        );
        socket.write_all(head.as_bytes()).await.ok()?;
        let sent = work.crashes_after.unwrap_or(work.body_length);
        let body = vec![b'b'; sent];
        socket.write_all(&body).await.ok()?;
        if work.crashes_after.is_some() {
            self.end(attempt).await;
        }
        Some(())
    }

    /// Ends this start of the server. Does not return.
    async fn end(&self, attempt: &str) {
        let at = self.site.record.now();
        self.seen(|seen| seen.crashes.push((at, attempt.into())));
        self.site.record.line(&format!("server {} crashes while it runs {attempt}", self.id));
        // Fails only if another request is ending this start already.
        let _ = self.crash.try_send(());
        std::future::pending::<()>().await;
    }

    async fn refuse(
        &self,
        socket: &mut TcpStream,
        attempt: &str,
        status: &str,
        notice: &str,
    ) -> Option<()> {
        self.site.record.line(&format!("server {} refuses {attempt}: {status}", self.id));
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n{notice}Content-Length: 0\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).await.ok()
    }

    fn seen(&self, change: impl FnOnce(&mut Seen)) {
        change(&mut self.site.seen.lock().expect("no server panicked"));
    }
}

/// Reads a request with its body, or returns `None` if the connection ends first.
async fn read_request(socket: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or(String::new(), |(_, value)| value.to_string())
    };
    let body = if header("transfer-encoding") == "chunked" {
        read_chunks(socket).await?
    } else {
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        socket.read_exact(&mut body).await.ok()?;
        body
    };
    Some(Request {
        attempt: header("x-attempt-id"),
        path: head.split(' ').nth(1)?.to_string(),
        body,
        target: header("x-target-instance"),
    })
}

async fn read_chunks(socket: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(socket.read_u8().await.ok()?);
        }
        let length = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        socket.read_exact(&mut chunk).await.ok()?;
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
