//! Test fixtures: a gateway in this process, an in-memory store, and backend servers that misbehave on demand.

#![allow(dead_code)]

pub(crate) mod endless;
pub(crate) mod scripted;

use redwingtrestle_core::{
    process::{
        registration::{Registration, RegistrationState, ServerId},
        stream_position::StreamPosition,
    },
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, WeightedService,
    },
};
use redwingtrestle_gateway::{
    accept,
    header_names::HeaderNames,
    settings::Settings,
    shared::Shared,
    store::{Batch, Record, Saved, Store, StoreError, Stream},
    store_watch,
};
use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicU8, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
};

/// The retries that tests allow, enough not to limit them.
const DEFAULT_RETRY_FLOOR: u64 = 1_000;

/// The timeout for conditions that should become true at once.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(5);

/// `MemoryStore` is an in-memory [`Store`].
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    records: Arc<Mutex<HashMap<&'static str, Vec<Record>>>>,
    changed: Arc<Notify>,
    lost: Arc<AtomicU32>,
    always_gone: Arc<AtomicBool>,
    watches: Arc<AtomicU32>,
    saved: Arc<Mutex<HashMap<String, Vec<u8>>>>,
    era: Arc<AtomicU64>,
}

impl MemoryStore {
    /// Appends a record.
    pub(crate) fn append(&self, stream: Stream, record: Record) {
        self.records.lock().unwrap().entry(stream.into()).or_default().push(record);
        self.changed.notify_waiters();
    }

    /// Appends a server's registration.
    pub(crate) fn register(&self, registration: Registration) {
        self.append(
            Stream::Servers,
            Record::Server(registration.id.clone(), Some(Box::new(registration))),
        );
    }

    /// Returns whether the value saved under `key` contains a text.
    pub(crate) fn saved_contains(&self, key: &str, text: &str) -> bool {
        let saved = self.saved.lock().unwrap();
        saved.get(key).is_some_and(|value| String::from_utf8_lossy(value).contains(text))
    }

    /// Saves a value, like another writer.
    pub(crate) fn save_raw(&self, key: &str, value: &str) {
        self.saved.lock().unwrap().insert(key.into(), value.into());
    }

    /// Makes the store lose the responses to the next `watches` watches.
    pub(crate) fn lose_responses(&self, watches: u32) {
        self.lost.store(watches, Ordering::SeqCst);
    }

    /// Makes the store answer every watch with the error that the records at its position are gone.
    pub(crate) fn lose_history_always(&self) {
        self.always_gone.store(true, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns the number of watches so far.
    pub(crate) fn watch_count(&self) -> u32 {
        self.watches.load(Ordering::SeqCst)
    }

    /// Restores a copy that has only the first `kept` records of each stream and no saved value, and appends `written`.
    pub(crate) fn restore(&self, kept: usize, written: Vec<(Stream, Record)>) {
        {
            let mut records = self.records.lock().unwrap();
            records.values_mut().for_each(|stream| stream.truncate(kept));
            self.era.fetch_add(1, Ordering::SeqCst);
            for (stream, record) in written {
                records.entry(stream.into()).or_default().push(record);
            }
            self.saved.lock().unwrap().clear();
        }
        self.changed.notify_waiters();
    }

    fn read(&self, stream: Stream, from: u64) -> Result<Batch, StoreError> {
        let name: &'static str = stream.into();
        let all = self.records.lock().unwrap();
        let era = self.era.load(Ordering::SeqCst);
        let records = all.get(name).cloned().unwrap_or_default();
        let end = StreamPosition::new(era, records.len() as u64);
        if from > end.offset {
            return Err(StoreError::Expired { first: 0, era });
        }
        let records = (0u64..)
            .zip(records)
            .filter(|(offset, _)| *offset >= from)
            .map(|(offset, record)| (StreamPosition::new(era, offset), record));
        Ok(Batch { records: records.collect(), end })
    }
}

impl Store for MemoryStore {
    async fn read_newest(&self, stream: Stream) -> Result<Batch, StoreError> {
        let Batch { records, end } = self.read(stream, 0)?;
        let mut newest = HashMap::new();
        for (position, record) in records {
            let key = match &record {
                Record::Server(id, _) => Some(id.clone()),
                _ => None,
            };
            newest.insert(key, (position, record));
        }
        let has_value = |record: &Record| !matches!(record, Record::Server(_, None));
        let records = newest.into_values().filter(|(_, record)| has_value(record)).collect();
        Ok(Batch { records, end })
    }

    async fn watch(&self, stream: Stream, from: u64, wait: Duration) -> Result<Batch, StoreError> {
        let deadline = tokio::time::Instant::now() + wait;
        self.watches.fetch_add(1, Ordering::SeqCst);
        let lost = self.lost.clone();
        let is_lost =
            lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        if is_lost.is_ok() {
            std::future::pending::<()>().await;
        }
        loop {
            let changed = self.changed.notified();
            if self.always_gone.load(Ordering::SeqCst) {
                return Err(StoreError::Expired { first: 0, era: self.era.load(Ordering::SeqCst) });
            }
            let batch = self.read(stream, from)?;
            if !batch.records.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(batch);
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    async fn read_saved(&self) -> Result<Saved, StoreError> {
        let values = self.saved.lock().unwrap().clone().into_iter().collect();
        Ok(Saved { values, era: self.era.load(Ordering::SeqCst) })
    }

    async fn save(&self, key: &str, value: &[u8]) -> Result<u64, StoreError> {
        self.saved.lock().unwrap().insert(key.into(), value.into());
        Ok(self.era.load(Ordering::SeqCst))
    }
}

/// `Behaviour` is a backend server's treatment of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Responds with 200 and the body `ok`.
    Serve,
    /// Responds after this many milliseconds.
    Delay(u64),
    /// Responds with this status.
    Status(u16),
    /// Refuses before running, with the "not run" header.
    Shed,
    /// Refuses after this many milliseconds, with the "not run" header.
    ShedAfter(u64),
    /// Refuses because the address belongs to another server.
    Misdirected,
    /// Runs the request, and closes the connection without a response.
    CloseWithoutResponse,
    /// Breaks off the response in the middle of its body.
    TruncateBody,
    /// Responds with the id of another attempt.
    ForeignId,
    /// Responds, and sends a second response after it.
    ExtraResponse,
    /// Never responds.
    NeverRespond,
    /// Begins a response of two megabytes, and breaks it off.
    TruncateLongBody,
    /// Responds after this many milliseconds with a body of [`LARGE_BODY`] bytes.
    LargeBody(u64),
    /// Responds with this status and says that the server leaves.
    Leave(u16),
    /// Refuses before running, and says that the server leaves.
    LeaveAndShed,
    /// Responds with the id of another attempt and says that the server leaves.
    LeaveForeignId,
    /// Refuses before running, and asks for a pause of this many milliseconds.
    Pause(u64),
    /// Responds with 503 without the "not run" header, and asks for a pause of this many milliseconds.
    PauseUnmarked(u64),
    /// Responds with a megabyte and says that the server leaves.
    LeaveWithLongBody,
}

/// The size of the body of [`Behaviour::LargeBody`], in bytes. A gateway buffers all of it.
pub(crate) const LARGE_BODY: usize = 600_000;

/// `ReceivedRequest` is a request as a backend server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// The request line and headers, in lower case.
    pub(crate) head: String,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// `Backend` is a minimal HTTP server that can violate the protocol.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    closed_early: Arc<Mutex<u32>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Backend {
    /// Starts a server that treats every request by `behaviour`.
    pub(crate) async fn start(name: &str, behaviour: Behaviour) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Backend {
            id: ServerId(name.into()),
            addr: listener.local_addr().unwrap(),
            received: Arc::default(),
            closed_early: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
        };
        let (received, closed_early, behaviour) =
            (backend.received.clone(), backend.closed_early.clone(), backend.behaviour.clone());
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else { return };
                tokio::spawn(connection(
                    socket,
                    received.clone(),
                    closed_early.clone(),
                    behaviour.clone(),
                ));
            }
        });
        backend
    }

    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the number of connections that the gateway closed while a request was running.
    pub(crate) fn closed_early(&self) -> u32 {
        *self.closed_early.lock().unwrap()
    }

    /// Returns the registration of the server.
    pub(crate) fn registration(&self, state: RegistrationState, report: u64) -> Registration {
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
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    closed_early: Arc<Mutex<u32>>,
    behaviour: Arc<Mutex<Behaviour>>,
) {
    while let Some(request) = read_request(&mut socket).await {
        let id = header(&request.head, "redwing-request-id");
        received.lock().unwrap().push(request);
        let behaviour = *behaviour.lock().unwrap();
        let ok = |id: &str, body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let response = match behaviour {
            Behaviour::Serve => ok(&id, "ok"),
            Behaviour::Delay(ms) => {
                let mut rest = [0u8; 1];
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(ms)) => {}
                    _ = socket.read(&mut rest) => {
                        *closed_early.lock().unwrap() += 1;
                        return;
                    }
                }
                ok(&id, "ok")
            }
            Behaviour::Status(status) => {
                format!("HTTP/1.1 {status} X\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 0\r\n\r\n")
            }
            Behaviour::Shed => {
                "HTTP/1.1 503 X\r\nredwing-shed: 1\r\ncontent-length: 0\r\n\r\n".into()
            }
            Behaviour::ShedAfter(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                format!("HTTP/1.1 503 X\r\nredwing-request-id: {id}\r\nredwing-shed: 1\r\ncontent-length: 0\r\n\r\n")
            }
            Behaviour::Misdirected => "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n".into(),
            Behaviour::LargeBody(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                ok(&id, &"x".repeat(LARGE_BODY))
            }
            Behaviour::CloseWithoutResponse => return,
            Behaviour::TruncateBody => {
                let whole = ok(&id, "a body that breaks off");
                let _ = socket.write_all(&whole.as_bytes()[..whole.len() - 5]).await;
                return;
            }
            Behaviour::ForeignId => ok("another-attempt", "not yours"),
            Behaviour::ExtraResponse => ok(&id, "ok") + &ok(&id, "not yours"),
            Behaviour::NeverRespond => {
                let mut rest = [0u8; 1];
                let _ = socket.read(&mut rest).await;
                *closed_early.lock().unwrap() += 1;
                return;
            }
            Behaviour::Leave(status) => leaving(status, &id, ""),
            Behaviour::LeaveAndShed => leaving(503, &id, "").replacen(
                "content-length",
                "redwing-shed: 1\r\ncontent-length",
                1,
            ),
            Behaviour::Pause(ms) => pausing(ms, &id, "redwing-shed: 1\r\n"),
            Behaviour::PauseUnmarked(ms) => pausing(ms, &id, ""),
            Behaviour::LeaveForeignId => leaving(200, "another-attempt", ""),
            Behaviour::LeaveWithLongBody => leaving(200, &id, &"x".repeat(1_000_000)),
            Behaviour::TruncateLongBody => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 2000000\r\n\r\n"
                );
                let _ = socket.write_all(head.as_bytes()).await;
                let _ = socket.write_all(&[b'x'; 100_000]).await;
                return;
            }
        };
        if socket.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns a response of a server that asks for a pause.
fn pausing(ms: u64, id: &str, mark: &str) -> String {
    let seconds = ms as f64 / 1_000.0;
    format!(
        "HTTP/1.1 503 X\r\nredwing-request-id: {id}\r\n{mark}retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Returns a response of a server that leaves.
fn leaving(status: u16, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\nredwing-leaving: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the value of a header in a lower-case head, or an empty string.
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

async fn read_request(socket: &mut TcpStream) -> Option<ReceivedRequest> {
    let head = read_head(socket).await?;
    let mut body = vec![0; header(&head, "content-length").parse().unwrap_or(0)];
    socket.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest { head, body })
}

/// `Reply` is a reply as a caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body has its stated length.
    pub(crate) is_complete: bool,
    pub(crate) elapsed: Duration,
}

/// `Caller` is a connection of a caller.
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

    /// Reads a reply, or returns `None` if the connection ends before one begins.
    pub(crate) async fn reply(&mut self) -> Option<Reply> {
        let begun = Instant::now();
        let head =
            tokio::time::timeout(CONDITION_TIMEOUT, read_head(&mut self.socket)).await.ok()??;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        let mut body = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        while body.len() < length {
            match tokio::time::timeout(CONDITION_TIMEOUT, self.socket.read(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => body.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        let is_complete = body.len() == length;
        Some(Reply { status, head, body, is_complete, elapsed: begun.elapsed() })
    }
}

/// The bytes that a caller on a slow link takes at once, and its pause after them.
const SLOW_LINK_STEP: (usize, Duration) = (16 * 1024, Duration::from_millis(10));

impl Caller {
    /// Connects with buffers so small that the gateway cannot hand a large reply to the socket at once.
    pub(crate) async fn connect_slow(addr: SocketAddr) -> Caller {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SLOW_LINK_STEP.0 as u32).unwrap();
        Caller { socket: socket.connect(addr).await.unwrap() }
    }

    /// Reads slowly to the end of the connection, and returns the number of bytes.
    pub(crate) async fn read_slowly(&mut self) -> usize {
        let mut buffer = vec![0; SLOW_LINK_STEP.0];
        let mut total = 0;
        while let Ok(count) = self.socket.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            total += count;
            tokio::time::sleep(SLOW_LINK_STEP.1).await;
        }
        total
    }
}

/// Binds the entry with small send buffers.
fn bind_with_small_buffers(addr: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.set_send_buffer_size(SLOW_LINK_STEP.0 as u32).unwrap();
    socket.bind(addr).unwrap();
    socket.listen(64).unwrap()
}

/// Returns a request without a body.
pub(crate) fn get(path: &str, attempt: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\n\r\n")
}

/// Returns an at-most-once request.
pub(crate) fn post(attempt: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// `TestGateway` is a gateway with its store.
#[derive(Debug)]
pub(crate) struct TestGateway {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: MemoryStore,
    pub(crate) entry: SocketAddr,
}

/// Returns distinct free addresses on a loopback address that only this gateway uses. On a shared one, a connection or a
/// listener of another test could take a port between its choice here and its use.
fn free_addrs<const COUNT: usize>() -> [SocketAddr; COUNT] {
    static GATEWAYS: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, GATEWAYS.fetch_add(1, Ordering::SeqCst));
    let listeners = [(); COUNT].map(|()| StdListener::bind((ip, 0)).unwrap());
    listeners.each_ref().map(|listener| listener.local_addr().unwrap())
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

/// Returns a configuration with an idempotent route, an at-most-once route, and one with a short timeout.
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

impl TestGateway {
    /// Starts a gateway with an empty store.
    pub(crate) async fn with_empty_store() -> TestGateway {
        TestGateway::with_store(MemoryStore::default()).await
    }

    /// Starts a gateway with this store.
    pub(crate) async fn with_store(store: MemoryStore) -> TestGateway {
        TestGateway::start(store, DEFAULT_RETRY_FLOOR).await
    }

    async fn start(store: MemoryStore, retry_floor: u64) -> TestGateway {
        TestGateway::start_with(store, retry_floor, |shared| accept::bind(shared).unwrap()).await
    }

    async fn start_with(
        store: MemoryStore,
        retry_floor: u64,
        bind: fn(&Shared) -> TcpListener,
    ) -> TestGateway {
        let [entry, health, directory, peer, metrics] = free_addrs();
        let text = format!(
            r#"{{"node": "n", "entry": "{entry}", "health": "{health}", "directory": "{directory}", "peer": "{peer}",
                "metrics": "{metrics}", "data_centre": "a", "store": "127.0.0.1:9", "retry_floor": {retry_floor}, "stop_ms": 2000}}"#
        );
        let settings = Settings::parse(&text).expect("settings");
        let shared = Arc::new(Shared::new(settings, HeaderNames::default()));
        let listener = bind(&shared);
        tokio::spawn(accept::serve(shared.clone(), listener));
        for stream in [Stream::Configuration, Stream::Servers] {
            tokio::spawn(store_watch::watch_stream(shared.clone(), store.clone(), stream));
        }
        TestGateway { shared, store, entry }
    }

    /// Starts a gateway, and waits until it knows the configuration and these servers.
    pub(crate) async fn with_servers(backends: &[&Backend]) -> TestGateway {
        TestGateway::with_retry_floor(DEFAULT_RETRY_FLOOR, backends).await
    }

    /// Like [`with_servers`](Self::with_servers), with this many retries that are always allowed.
    pub(crate) async fn with_retry_floor(retry_floor: u64, backends: &[&Backend]) -> TestGateway {
        let gateway = TestGateway::start(MemoryStore::default(), retry_floor).await;
        gateway.register(backends).await;
        gateway
    }

    /// Like [`with_servers`](Self::with_servers), with small send buffers at the entry.
    pub(crate) async fn with_slow_link(backend: &Backend) -> TestGateway {
        let bind = |shared: &Shared| bind_with_small_buffers(shared.settings.entry);
        let store = MemoryStore::default();
        let gateway = TestGateway::start_with(store, DEFAULT_RETRY_FLOOR, bind).await;
        gateway.register(&[backend]).await;
        gateway
    }

    /// Publishes a configuration and these servers, and waits until the gateway knows them.
    async fn register(&self, backends: &[&Backend]) {
        let gateway = self;
        gateway
            .store
            .append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
        for backend in backends {
            gateway.store.register(backend.registration(RegistrationState::Ready, 1));
        }
        let all = backends.len();
        gateway
            .wait_until("all servers are known", || {
                gateway.shared.fleet().registry.registrations().len() == all
            })
            .await;
        gateway
            .wait_until("a configuration is in force", || {
                gateway.shared.routing_config.load().is_some()
            })
            .await;
    }

    pub(crate) async fn wait_until(&self, what: &str, check: impl Fn() -> bool) {
        let begun = Instant::now();
        while !check() {
            assert!(begun.elapsed() < CONDITION_TIMEOUT, "waited too long: {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends one request on a new connection, and returns the reply.
    pub(crate) async fn call(&self, text: &str) -> Reply {
        let mut caller = Caller::connect(self.entry).await;
        caller.send(text).await;
        caller.reply().await.expect("a response")
    }
}
