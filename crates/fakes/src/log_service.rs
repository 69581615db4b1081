//! The platform's append-only log service, with outages, delays, retention and lost responses.

use crate::http::{self, Body, CloseConnection};
use hyper::{body::Incoming, Request, Response};
use redwingtrestle_wire::log::{AppendReply, OffsetRecord, ReadReply};
use serde_json::Value;
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::task::JoinHandle;

/// Maximum number of records in a response, so that a reader that starts late catches up in bounded steps.
const READ_LIMIT: usize = 500;

#[derive(Debug, Default)]
struct State {
    first: u64,
    records: VecDeque<Value>,
    down: bool,
    delay: Duration,
    responses_to_drop: u32,
    appends: u64,
}

/// A running log service, which stops when dropped. Offsets start at 1.
#[derive(Debug)]
pub struct LogService {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl LogService {
    /// Starts a log service on the current tokio runtime.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let (listener, addr) = http::bind(addr).await?;
        let state = Arc::new(Mutex::new(State { first: 1, ..State::default() }));
        let shared = state.clone();
        let task = http::serve(listener, move |request| respond(shared.clone(), request));
        Ok(LogService { addr, state, task })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the service's URL for a node's settings.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Starts or ends an outage, in which connections are closed without a response.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Delays every response.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Drops the responses to the next `count` appends. The appends still take effect.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.state).responses_to_drop = count;
    }

    /// Drops all records before `offset`, like the log's retention.
    pub fn drop_before(&self, offset: u64) {
        let mut state = lock(&self.state);
        while state.first < offset && state.records.pop_front().is_some() {
            state.first += 1;
        }
    }

    /// Appends a record without a request and returns its offset.
    pub fn append(&self, record: Value) -> u64 {
        append(&mut lock(&self.state), record)
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Returns the retained records with their offsets.
    pub fn records(&self) -> Vec<OffsetRecord> {
        read(&lock(&self.state), 0, usize::MAX).records
    }
}

impl Drop for LogService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn append(state: &mut State, record: Value) -> u64 {
    state.records.push_back(record);
    state.appends += 1;
    state.first + state.records.len() as u64 - 1
}

fn read(state: &State, from: u64, limit: usize) -> ReadReply {
    let skip = from.saturating_sub(state.first) as usize;
    let records = state.records.iter().enumerate().skip(skip).take(limit);
    ReadReply {
        first: state.first,
        next: state.first + state.records.len() as u64,
        records: records
            .map(|(i, r)| OffsetRecord { offset: state.first + i as u64, record: r.clone() })
            .collect(),
    }
}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    let delay = lock(&state).delay;
    if delay > Duration::ZERO {
        tokio::time::sleep(delay).await;
    }
    if lock(&state).down {
        return Err(CloseConnection);
    }
    let path = request.uri().path().to_string();
    let query = request.uri().query().unwrap_or("").to_string();
    match (request.method().as_str(), path.as_str()) {
        ("POST", "/v1/append") => {
            let body = http::collect(request.into_body()).await?;
            let Ok(record) = serde_json::from_slice(&body) else {
                return Ok(http::json(400, &"a record must be JSON"));
            };
            let mut state = lock(&state);
            let offset = append(&mut state, record);
            if state.responses_to_drop > 0 {
                state.responses_to_drop -= 1;
                return Err(CloseConnection);
            }
            Ok(http::json(200, &AppendReply { offset }))
        }
        ("GET", "/v1/read") => {
            let from = query.strip_prefix("from=").and_then(|v| v.parse().ok()).unwrap_or(0);
            Ok(http::json(200, &read(&lock(&state), from, READ_LIMIT)))
        }
        ("GET", "/v1/bounds") => Ok(http::json(200, &read(&lock(&state), 0, 0))),
        _ => Ok(http::json(404, &"no such path")),
    }
}
