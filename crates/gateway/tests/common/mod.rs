//! A gateway in this process, a store in memory and backend servers that misbehave on request.

#![allow(dead_code)]

use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, WeightedService,
    },
};
use redwingtrestle_gateway::{
    accept,
    dialect::Dialect,
    follow,
    settings::Settings,
    shared::Shared,
    store::{Batch, Record, Store, StoreError, Stream},
};
use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// How long a test waits for something that should happen at once.
const PATIENCE: Duration = Duration::from_secs(5);

/// `MemoryStore` keeps the records of both streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    records: Arc<Mutex<HashMap<&'static str, Vec<Record>>>>,
    changed: Arc<Notify>,
    lost: Arc<AtomicU32>,
    saved: Arc<Mutex<HashMap<String, Vec<u8>>>>,
}

impl MemoryStore {
    /// Appends a record.
    pub(crate) fn append(&self, stream: Stream, record: Record) {
        self.records.lock().unwrap().entry(stream.into()).or_default().push(record);
        self.changed.notify_waiters();
    }

    /// Registers a server.
    pub(crate) fn register(&self, entry: Registration) {
        self.append(Stream::Servers, Record::Server(entry.id.clone(), Some(Box::new(entry))));
    }

    /// Returns whether a saved value holds a text.
    pub(crate) fn holds(&self, key: &str, text: &str) -> bool {
        let saved = self.saved.lock().unwrap();
        saved.get(key).is_some_and(|value| String::from_utf8_lossy(value).contains(text))
    }

    /// Saves a value as another writer would.
    pub(crate) fn put(&self, key: &str, value: &str) {
        self.saved.lock().unwrap().insert(key.into(), value.into());
    }

    /// Makes the store lose the answers of this many watches.
    pub(crate) fn lose(&self, watches: u32) {
        self.lost.store(watches, Ordering::SeqCst);
    }

    fn read(&self, stream: Stream, from: u64) -> Batch {
        let name: &'static str = stream.into();
        let records = self.records.lock().unwrap().get(name).cloned().unwrap_or_default();
        let end = records.len() as u64;
        let records = (0u64..).zip(records).filter(|(position, _)| *position >= from).collect();
        Batch { records, end }
    }
}

impl Store for MemoryStore {
    async fn newest(&self, stream: Stream) -> Result<Batch, StoreError> {
        Ok(self.read(stream, 0))
    }

    async fn watch(&self, stream: Stream, from: u64, wait: Duration) -> Result<Batch, StoreError> {
        let until = tokio::time::Instant::now() + wait;
        let lost = self.lost.clone();
        let lose =
            lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        if lose.is_ok() {
            std::future::pending::<()>().await;
        }
        loop {
            let changed = self.changed.notified();
            let batch = self.read(stream, from);
            if !batch.records.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(batch);
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    async fn saved(&self) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        Ok(self.saved.lock().unwrap().clone().into_iter().collect())
    }

    async fn save(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.saved.lock().unwrap().insert(key.into(), value.into());
        Ok(())
    }
}

/// `Act` is what a backend server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Answers 200 with the body `ok`.
    Serve,
    /// Answers after this many milliseconds.
    Late(u64),
    /// Answers with this status.
    Status(u16),
    /// Refuses before running, with the mark of it.
    Shed,
    /// Says that another server has the address.
    Elsewhere,
    /// Runs the request and closes the connection without an answer.
    Lose,
    /// Breaks off the answer in the middle of its body.
    Cut,
    /// Answers with the id of another attempt.
    Foreign,
    /// Answers, and sends a second answer after it.
    Extra,
    /// Says nothing.
    Hang,
    /// Begins an answer of two megabytes and breaks it off.
    CutLong,
}

/// `Seen` is one request as a backend server got it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// The request line and headers, in lower case.
    pub(crate) head: String,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// `Backend` is a server that speaks just enough HTTP to misbehave.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<u32>>,
    act: Arc<Mutex<Act>>,
}

impl Backend {
    /// Starts a server that acts so on every request.
    pub(crate) async fn start(name: &str, act: Act) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Backend {
            id: ServerId(name.into()),
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            act: Arc::new(Mutex::new(act)),
        };
        let (seen, closed, act) =
            (backend.seen.clone(), backend.closed.clone(), backend.act.clone());
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else { return };
                tokio::spawn(connection(socket, seen.clone(), closed.clone(), act.clone()));
            }
        });
        backend
    }

    pub(crate) fn set(&self, act: Act) {
        *self.act.lock().unwrap() = act;
    }

    /// Returns the requests so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the connections that the gateway closed while a request was at work.
    pub(crate) fn closed(&self) -> u32 {
        *self.closed.lock().unwrap()
    }

    /// Returns the registration of the server.
    pub(crate) fn entry(&self, state: RegistrationState, report: u64) -> Registration {
        Registration {
            id: self.id.clone(),
            addr: self.addr,
            service: "orders".into(),
            zone: "a".into(),
            slots: 6,
            state,
            warmup: Span::ZERO,
            started: 1,
            report,
        }
    }
}

async fn connection(
    mut socket: TcpStream,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<u32>>,
    act: Arc<Mutex<Act>>,
) {
    while let Some(request) = read_request(&mut socket).await {
        let id = header(&request.head, "redwing-request-id");
        seen.lock().unwrap().push(request);
        let act = *act.lock().unwrap();
        let ok = |id: &str, body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let answer = match act {
            Act::Serve => ok(&id, "ok"),
            Act::Late(ms) => {
                let mut rest = [0u8; 1];
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(ms)) => {}
                    _ = socket.read(&mut rest) => {
                        *closed.lock().unwrap() += 1;
                        return;
                    }
                }
                ok(&id, "ok")
            }
            Act::Status(status) => {
                format!("HTTP/1.1 {status} X\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 0\r\n\r\n")
            }
            Act::Shed => "HTTP/1.1 503 X\r\nredwing-shed: 1\r\ncontent-length: 0\r\n\r\n".into(),
            Act::Elsewhere => "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n".into(),
            Act::Lose => return,
            Act::Cut => {
                let whole = ok(&id, "a body that breaks off");
                let _ = socket.write_all(&whole.as_bytes()[..whole.len() - 5]).await;
                return;
            }
            Act::Foreign => ok("another-attempt", "not yours"),
            Act::Extra => ok(&id, "ok") + &ok(&id, "not yours"),
            Act::Hang => {
                let mut rest = [0u8; 1];
                let _ = socket.read(&mut rest).await;
                *closed.lock().unwrap() += 1;
                return;
            }
            Act::CutLong => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 2000000\r\n\r\n"
                );
                let _ = socket.write_all(head.as_bytes()).await;
                let _ = socket.write_all(&[b'x'; 100_000]).await;
                return;
            }
        };
        if socket.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns the value of a header of a head in lower case.
pub(crate) fn header(head: &str, name: &str) -> String {
    let prefix = format!("{name}: ");
    head.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or_default().to_string()
}

async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0u8; 1];
        if socket.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_lowercase())
}

async fn read_request(socket: &mut TcpStream) -> Option<Seen> {
    let head = read_head(socket).await?;
    let mut body = vec![0; header(&head, "content-length").parse().unwrap_or(0)];
    socket.read_exact(&mut body).await.ok()?;
    Some(Seen { head, body })
}

/// `Reply` is an answer as a caller got it.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body has its stated length.
    pub(crate) is_whole: bool,
    pub(crate) took: Duration,
}

/// `Caller` is one connection of a caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) socket: TcpStream,
}

impl Caller {
    pub(crate) async fn connect(addr: SocketAddr) -> Caller {
        Caller { socket: TcpStream::connect(addr).await.unwrap() }
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads an answer; none if the connection ends before one begins.
    pub(crate) async fn reply(&mut self) -> Option<Reply> {
        let begun = Instant::now();
        let head = tokio::time::timeout(PATIENCE, read_head(&mut self.socket)).await.ok()??;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        let mut body = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        while body.len() < length {
            match tokio::time::timeout(PATIENCE, self.socket.read(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => body.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        let is_whole = body.len() == length;
        Some(Reply { status, head, body, is_whole, took: begun.elapsed() })
    }
}

/// Returns a request without a body.
pub(crate) fn get(path: &str, attempt: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\n\r\n")
}

/// Returns a request that must not run twice.
pub(crate) fn post(attempt: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// `World` is a gateway with its store and backend servers.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: MemoryStore,
    pub(crate) entry: SocketAddr,
}

fn free() -> SocketAddr {
    StdListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn route(prefix: &str, repeat: RepeatPolicy, timeout_ms: u64) -> HostRoute {
    HostRoute {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        repeat,
        timeout: Span::from_millis(timeout_ms),
        target: Span::from_millis(timeout_ms / 2),
        priority: 0,
        parts: vec![WeightedService { service: "orders".into(), weight: 1 }],
        attempts: 2,
    }
}

/// Returns a configuration with a route for either kind of request and one with a short time.
pub(crate) fn routing_config(version: u64) -> RoutingConfigDoc {
    RoutingConfigDoc {
        version,
        routes: vec![
            route("/free/", RepeatPolicy::Idempotent, 3_000),
            route("/once/", RepeatPolicy::Once, 3_000),
            route("/short/", RepeatPolicy::Once, 300),
        ],
        services: HashMap::new(),
        limits: CallerLimits {
            head: 16 * 1024,
            body: 1_000_000,
            head_time: Span::from_millis(400),
            idle_time: Span::from_millis(1_500),
        },
    }
}

impl World {
    /// Starts a gateway that knows nothing yet.
    pub(crate) async fn empty() -> World {
        World::at(MemoryStore::default()).await
    }

    /// Starts a gateway at a store.
    pub(crate) async fn at(store: MemoryStore) -> World {
        let entry = free();
        let text = format!(
            r#"{{"node": "n", "entry": "{entry}", "health": "{}", "directory": "{}", "peer": "{}",
                "metrics": "{}", "data_centre": "a", "store": "127.0.0.1:9", "retry_floor": 1000, "stop_ms": 2000}}"#,
            free(),
            free(),
            free(),
            free()
        );
        let settings = Settings::parse(&text).expect("settings");
        let shared = Arc::new(Shared::new(settings, Dialect::default()));
        let listener = accept::bind(&shared).unwrap();
        tokio::spawn(accept::serve(shared.clone(), listener));
        for stream in [Stream::Configuration, Stream::Servers] {
            tokio::spawn(follow::follow(shared.clone(), store.clone(), stream));
        }
        World { shared, store, entry }
    }

    /// Starts a gateway before these servers.
    pub(crate) async fn with(backends: &[&Backend]) -> World {
        let world = World::empty().await;
        world
            .store
            .append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
        for backend in backends {
            world.store.register(backend.entry(RegistrationState::Ready, 1));
        }
        let all = backends.len();
        world
            .until("all servers are known", || {
                world.shared.fleet().registry.registrations().len() == all
            })
            .await;
        world
            .until("a configuration is in force", || world.shared.routing_config.load().is_some())
            .await;
        world
    }

    pub(crate) async fn until(&self, what: &str, check: impl Fn() -> bool) {
        let begun = Instant::now();
        while !check() {
            assert!(begun.elapsed() < PATIENCE, "waited too long: {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends one request on a connection of its own.
    pub(crate) async fn call(&self, text: &str) -> Reply {
        let mut caller = Caller::connect(self.entry).await;
        caller.send(text).await;
        caller.reply().await.expect("an answer")
    }
}
