//! A backend server with slots, load shedding, draining, cold start and gray failures.

use crate::http::{self, Body, CloseConnection, ConnectionId};
use bytes::Bytes;
use hyper::{body::Incoming, header::HeaderValue, Request, Response};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_wire::caller;
use std::{
    collections::{hash_map::Entry, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// A fault of a backend server. The health endpoint reports success under every fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Responds to this share of requests with 500, after running them.
    Fail(f64),
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// Runs requests and never responds to them.
    Hang,
    /// Closes the connection without running the request.
    CutBefore,
    /// Runs the request, then closes the connection without a response.
    CutAfter,
    /// Runs the request and sends half of the response, with the content length of the complete response.
    Truncate,
    /// Runs the request and breaks off a chunked response in the middle.
    TruncateChunked,
    /// Sheds all requests.
    ShedAll,
    /// Returns 500 to requests whose path contains this text, like a server that fails only one caller's requests.
    FailPath(&'static str),
    /// Alternates between failing all requests and none, each for this many milliseconds.
    Flap(u64),
    /// Sheds the first request on each connection, runs each later one there and writes the earlier refusal once more.
    RepeatShed,
    /// Runs each request and writes the response to the first one on its connection.
    RepeatAnswer,
}

impl Fault {
    fn repeats(self) -> bool {
        matches!(self, Fault::RepeatShed | Fault::RepeatAnswer)
    }
}

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The address to listen on. Port 0 picks a free port.
    pub addr: SocketAddr,
    /// Maximum number of requests that run at once. Further requests are shed.
    pub slots: usize,
    /// Duration of a request without a fault.
    pub service_time: Duration,
    /// Time after the start during which the server sheds all requests.
    pub cold_start: Duration,
    /// Duration of a health probe.
    pub probe_time: Duration,
    /// Seed of the server's random decisions.
    pub seed: u64,
    /// Minimum size of a response's body, in bytes. The query `?bytes=` of a request overrides it.
    pub response_bytes: usize,
    /// Whether responses carry the id of their request, as the contract with backend servers asks.
    pub echoes_id: bool,
}

impl Default for BackendOptions {
    fn default() -> Self {
        BackendOptions {
            addr: ([127, 0, 0, 1], 0).into(),
            slots: 6,
            service_time: Duration::from_millis(2),
            cold_start: Duration::ZERO,
            probe_time: Duration::from_millis(25),
            seed: 1,
            response_bytes: 0,
            echoes_id: true,
        }
    }
}

/// Request counters of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived, not including health probes.
    pub arrived: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that ran and had a method other than `GET`.
    pub writes: u64,
    /// Largest number of requests that ran at the same time.
    pub max_running: usize,
    /// Number of runs per idempotency key.
    pub runs: HashMap<String, u64>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    service_time: Duration,
    draining: bool,
    running: usize,
    counters: Counters,
    rng: ChaCha8Rng,
    /// The id and the path of the first request on each connection, for the faults that repeat a response.
    first_requests: HashMap<ConnectionId, (String, String)>,
}

#[derive(Debug)]
struct Inner {
    options: BackendOptions,
    started: Instant,
    state: Mutex<State>,
}

/// A running backend server, which stops when dropped.
#[derive(Debug)]
pub struct Backend {
    addr: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

impl Backend {
    /// Starts a backend server on the current tokio runtime.
    pub async fn start(options: BackendOptions) -> io::Result<Self> {
        let (listener, addr) = http::bind(options.addr).await?;
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let state = State {
            fault: Fault::None,
            service_time: options.service_time,
            draining: false,
            running: 0,
            counters: Counters::default(),
            rng,
            first_requests: HashMap::new(),
        };
        let inner = Arc::new(Inner { options, started: Instant::now(), state: Mutex::new(state) });
        let shared = inner.clone();
        let task = http::serve(listener, move |request| respond(shared.clone(), request));
        Ok(Backend { addr, inner, task })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the server's fault.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().fault = fault;
    }

    /// Sets the duration of a request without a fault.
    pub fn set_service_time(&self, time: Duration) {
        self.inner.lock().service_time = time;
    }

    /// Returns a handle for setting the server's fault from another task.
    pub fn fault_handle(&self) -> FaultHandle {
        FaultHandle(self.inner.clone())
    }

    /// Sets whether the server declares in its responses that it is draining.
    pub fn set_draining(&self, draining: bool) {
        self.inner.lock().draining = draining;
    }

    /// Returns a copy of the counters.
    pub fn counters(&self) -> Counters {
        self.inner.lock().counters.clone()
    }

    /// Returns the number of requests that have arrived, not including health probes.
    pub fn arrived(&self) -> u64 {
        self.inner.lock().counters.arrived
    }

    /// Returns the number of times that the request with `key` ran.
    pub fn runs(&self, key: &str) -> u64 {
        self.inner.lock().counters.runs.get(key).copied().unwrap_or(0)
    }
}

/// Sets the fault of a backend server from another task.
#[derive(Clone, Debug)]
pub struct FaultHandle(Arc<Inner>);

impl FaultHandle {
    /// Sets the server's fault.
    pub fn set(&self, fault: Fault) {
        self.0.lock().fault = fault;
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Acquires a slot and counts the run, or returns `None` if the request is shed.
    fn start_run(self: &Arc<Self>, key: Option<&str>) -> Option<SlotGuard> {
        let mut state = self.lock();
        let cold = self.started.elapsed() < self.options.cold_start;
        let full = state.running >= self.options.slots;
        if cold || full || state.fault == Fault::ShedAll {
            state.counters.shed += 1;
            return None;
        }
        state.running += 1;
        state.counters.ran += 1;
        state.counters.max_running = state.counters.max_running.max(state.running);
        if let Some(key) = key {
            *state.counters.runs.entry(key.to_string()).or_default() += 1;
        }
        Some(SlotGuard(self.clone()))
    }

    /// Returns the id and the path of the first request on the connection of `request`, if an earlier one arrived there.
    fn first_request(&self, request: &Request<Incoming>, id: &str) -> Option<(String, String)> {
        let connection = *request.extensions().get::<ConnectionId>()?;
        let mut state = self.lock();
        if !state.fault.repeats() {
            return None;
        }
        let own = (id.to_string(), request.uri().path().to_string());
        match state.first_requests.entry(connection) {
            Entry::Occupied(first) => Some(first.get().clone()),
            Entry::Vacant(vacant) => {
                vacant.insert(own);
                None
            }
        }
    }

    /// Adds the headers that the contract asks of each response to the request with this id.
    fn mark(&self, mut response: Response<Body>, id: &str, draining: bool) -> Response<Body> {
        if let (true, Ok(id)) = (self.options.echoes_id, HeaderValue::from_str(id)) {
            response.headers_mut().insert(caller::REQUEST_ID, id);
        }
        if draining {
            set_header(&mut response, caller::DRAINING);
        }
        response
    }

    fn is_flap_failing(&self, period_ms: u64) -> bool {
        let elapsed = self.started.elapsed().as_millis() as u64;
        (elapsed / period_ms.max(1)).is_multiple_of(2)
    }
}

/// An acquired slot, released on drop when the request ends or is cancelled.
#[derive(Debug)]
struct SlotGuard(Arc<Inner>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

async fn respond(
    inner: Arc<Inner>,
    request: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    if request.uri().path() == "/health" {
        tokio::time::sleep(inner.options.probe_time).await;
        let mut healthy = Response::new(http::full("ok"));
        if inner.lock().draining {
            set_header(&mut healthy, caller::DRAINING);
        }
        return Ok(healthy);
    }
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    let key = header(caller::IDEMPOTENCY_KEY).map(str::to_string);
    let deadline = header(caller::DEADLINE).and_then(|v| v.parse::<u64>().ok());
    let id = header(caller::REQUEST_ID).unwrap_or("").to_string();
    let is_write = request.method() != hyper::Method::GET;
    let (fault, draining) = {
        let mut state = inner.lock();
        state.counters.arrived += 1;
        (state.fault, state.draining)
    };
    if fault == Fault::CutBefore {
        return Err(CloseConnection);
    }
    let path = request.uri().path().to_string();
    let first = inner.first_request(&request, &id);
    let is_repeated = first.is_some();
    let size = request.uri().query().and_then(|q| q.strip_prefix("bytes=")?.parse().ok());
    let size = size.unwrap_or(inner.options.response_bytes);
    // A real server parses the body before it runs the request, so the body is read first here too.
    let body = http::collect(request.into_body()).await?;
    let (id, path) = first.filter(|_| fault.repeats()).unwrap_or((id, path));
    let shed = || Ok(inner.mark(shed(), &id, draining));
    if fault == Fault::RepeatShed && !is_repeated {
        inner.lock().counters.shed += 1;
        return shed();
    }
    let Some(running) = inner.start_run(key.as_deref()) else {
        return shed();
    };
    inner.lock().counters.writes += u64::from(is_write);
    run_request(&inner, fault, deadline).await;
    if fault == Fault::RepeatShed {
        return shed();
    }
    let text = format!("{{\"path\":{path:?},\"request\":{id:?},\"bytes\":{}}}", body.len());
    let response = build_response(&inner, fault, &path, text, size);
    drop(running);
    response.map(|response| inner.mark(response, &id, draining))
}

/// Waits for the duration of one request. The deadline, given in milliseconds, ends the wait unless the server hangs.
async fn run_request(inner: &Inner, fault: Fault, deadline: Option<u64>) {
    let service_time = inner.lock().service_time;
    let mut time = match fault {
        Fault::Slow(factor) => service_time.mul_f64(factor),
        Fault::Hang => Duration::from_secs(3600),
        _ => service_time,
    };
    if let (Some(ms), true) = (deadline, fault != Fault::Hang) {
        time = time.min(Duration::from_millis(ms));
    }
    tokio::time::sleep(time).await;
}

fn build_response(
    inner: &Inner,
    fault: Fault,
    path: &str,
    text: String,
    size: usize,
) -> Result<Response<Body>, CloseConnection> {
    let failed = match fault {
        Fault::Fail(share) => inner.lock().rng.random_bool(share.clamp(0.0, 1.0)),
        Fault::Flap(period_ms) => inner.is_flap_failing(period_ms),
        Fault::FailPath(part) => path.contains(part),
        _ => false,
    };
    if failed {
        return Ok(http::json(500, &"the stand-in failed"));
    }
    let mut body = text.into_bytes();
    if body.len() < size {
        body.resize(size, b' ');
    }
    match fault {
        Fault::CutAfter => Err(CloseConnection),
        Fault::Truncate => {
            let length = body.len();
            body.truncate(length / 2);
            let mut response = Response::new(http::truncated(Bytes::from(body)));
            response.headers_mut().insert("content-length", length.into());
            Ok(response)
        }
        Fault::TruncateChunked => {
            body.truncate(body.len() / 2);
            Ok(Response::new(http::truncated(Bytes::from(body))))
        }
        _ => Ok(Response::new(http::full(body))),
    }
}

fn shed() -> Response<Body> {
    let mut response = http::json(503, &"shed");
    set_header(&mut response, caller::SHED);
    response
}

fn set_header(response: &mut Response<Body>, name: &'static str) {
    response.headers_mut().insert(name, HeaderValue::from_static("1"));
}
