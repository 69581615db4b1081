//! Requests that a caller sends before it has the replies to its earlier ones (pipelining).
//!
//! Such a request starts while earlier ones are served, and its reply waits for its turn. The reasons are in
//! [docs/design/pipelining.md](../../../docs/design/pipelining.md).

use crate::{
    framing::{parse_head, HeadSummary},
    reply::{self, ReplyBody},
    request,
    shared::{Phase, Shared},
};
use futures_util::task::AtomicWaker;
use httparse::Status;
use hyper::{
    body::Incoming,
    header::{HeaderName, HeaderValue},
    http::request::Parts,
    Request, Response,
};
use redwingtrestle_core::{
    codes::ResultCode,
    time::Timestamp,
    version::routing_config::{RepeatPolicy, RoutingConfig},
};
use std::{
    collections::VecDeque,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    task::Waker,
};
use tokio::{sync::oneshot, task::JoinHandle};

/// The most requests of one connection that are started and wait for their turn.
const MAX_STARTED: usize = 8;

/// The requests of one connection that were started ahead of their turn, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct Pipeline {
    started: Mutex<VecDeque<StartedRequest>>,
    /// Whether the request that has its turn may run at the same time as later ones.
    is_shared: AtomicBool,
    /// Wakes the connection's task, which holds bytes of later requests back.
    reader: AtomicWaker,
}

/// What came of the attempt to start the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Start {
    /// It has started. Its head has this many bytes.
    Started(usize),
    /// It cannot start yet.
    Later,
    /// It must wait for its turn.
    Never,
}

impl Pipeline {
    /// Records that a request has its turn, of which nothing is known yet.
    pub(crate) fn begin_turn(&self) {
        self.is_shared.store(false, Ordering::SeqCst);
    }

    /// Allows later requests to start while the current one is served.
    pub(crate) fn share_turn(&self) {
        self.is_shared.store(true, Ordering::SeqCst);
        self.reader.wake();
    }

    /// Registers the task that holds back bytes of later requests.
    pub(crate) fn register_reader(&self, waker: &Waker) {
        self.reader.register(waker);
    }

    /// Wakes the task that holds back bytes of later requests.
    pub(crate) fn wake_reader(&self) {
        self.reader.wake();
    }

    /// Returns whether no request waits for its turn.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Starts the request whose head is at the beginning of `bytes`. `head_limit` is the limit on heads that the
    /// connection applies, in bytes.
    pub(crate) fn start_next(
        &self,
        shared: &Arc<Shared>,
        bytes: &[u8],
        arrival: Timestamp,
        head_limit: usize,
    ) -> Start {
        // In a planned stop the connection closes after the requests that have started, and at a new limit on heads it is
        // handed to another instance of the HTTP library.
        let is_changing =
            *shared.phase.borrow() != Phase::Running || *shared.head_limit.borrow() != head_limit;
        if is_changing || !self.is_shared.load(Ordering::SeqCst) || self.lock().len() >= MAX_STARTED
        {
            return Start::Later;
        }
        let parsed = parse_head(bytes, |head, length| {
            let is_plain = HeadSummary::of(head).is_plain && length <= head_limit;
            (is_plain.then(|| build(head)).flatten(), length)
        });
        let (head, length) = match parsed {
            Ok(Status::Partial) => return Start::Later,
            Ok(Status::Complete((Some(head), length))) => (head, length),
            Ok(Status::Complete((None, _))) | Err(_) => return Start::Never,
        };
        let Some(routing_config) = shared.routing_config.load_full() else { return Start::Never };
        if !may_repeat(&routing_config, &head) {
            return Start::Never;
        }
        self.lock().push_back(StartedRequest::start(shared.clone(), head, arrival, routing_config));
        Start::Started(length)
    }

    /// Returns the request that was started ahead and has its turn now. If it is not the one that the HTTP library has
    /// read, all are cancelled, and run again in their turn.
    pub(crate) fn take(&self, head: &Parts) -> Option<StartedRequest> {
        let next = self.lock().pop_front()?;
        if next.is_for(head) {
            count(1, "taken");
            return Some(next);
        }
        let others = self.cancel_all("mismatch");
        count(1, "mismatch");
        log::error!(target: "entry", attempt = &*next.attempt, others;
            "a request that was started ahead is not the next one of its connection");
        None
    }

    /// Cancels all requests that wait for their turn, and returns their number. `end` is the label of the metric.
    pub(crate) fn cancel_all(&self, end: &'static str) -> usize {
        let cancelled = std::mem::take(&mut *self.lock());
        count(cancelled.len(), end);
        cancelled.len()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<StartedRequest>> {
        self.started.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts requests that were started ahead by their end.
fn count(requests: usize, end: &'static str) {
    if requests > 0 {
        metrics::counter!("redwing_gateway_pipelined_total", "end" => end)
            .increment(requests as u64);
    }
}

/// Builds a request as the HTTP library does.
fn build(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse().ok()?;
    let headers = request.headers_mut();
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(request)
}

/// Returns whether the route of a request allows to run it more than once.
fn may_repeat(routing_config: &RoutingConfig, head: &Request<()>) -> bool {
    let host = request::host(head.uri(), head.headers());
    let route = routing_config.find(host, head.uri().path());
    route.is_some_and(|route| route.repeat == RepeatPolicy::Idempotent)
}

/// A request that was started ahead of its turn. It is cancelled when this is dropped.
#[derive(Debug)]
pub(crate) struct StartedRequest {
    /// The id of the caller's attempt.
    pub(crate) attempt: Arc<str>,
    head: Request<()>,
    /// Serves the request.
    task: JoinHandle<Response<ReplyBody>>,
    /// Tells the task that the request has its turn.
    turn: Option<oneshot::Sender<()>>,
}

impl StartedRequest {
    fn start(
        shared: Arc<Shared>,
        head: Request<()>,
        arrival: Timestamp,
        routing_config: Arc<RoutingConfig>,
    ) -> Self {
        let attempt = request::attempt(&shared, head.headers());
        let (turn, has_turn) = oneshot::channel();
        let request = head.clone().map(|()| None);
        let running = run(shared, request, attempt.clone(), arrival, routing_config, has_turn);
        StartedRequest { attempt, head, task: tokio::spawn(running), turn: Some(turn) }
    }

    /// Returns whether this is the request with the given head.
    fn is_for(&self, other: &Parts) -> bool {
        let (method, uri, headers) = (self.head.method(), self.head.uri(), self.head.headers());
        *method == other.method && *uri == other.uri && *headers == other.headers
    }

    /// Waits for the response, now that the request has its turn.
    pub(crate) async fn response(mut self) -> Response<ReplyBody> {
        if let Some(turn) = self.turn.take() {
            // The task may have ended, as it waits for its turn only with a streamed response.
            let _ = turn.send(());
        }
        (&mut self.task).await.unwrap_or_else(|e| {
            log::error!(target: "requests", attempt = &*self.attempt;
                "the task of a request ended without a result, its caller gets an error: {e}");
            reply::refusal(ResultCode::ServerLost, None)
        })
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves a request ahead of its turn. A streamed response occupies a server until the caller takes it, so it waits for
/// its turn only until the deadline of its request.
async fn run(
    shared: Arc<Shared>,
    request: Request<Option<Incoming>>,
    attempt: Arc<str>,
    arrival: Timestamp,
    routing_config: Arc<RoutingConfig>,
    has_turn: oneshot::Receiver<()>,
) -> Response<ReplyBody> {
    let response =
        request::serve(shared, request, attempt.clone(), arrival, Some(routing_config), None).await;
    let Some(deadline) = response.body().stream_deadline() else { return response };
    match tokio::time::timeout_at(deadline, has_turn).await {
        Ok(_) => response,
        Err(_) => {
            log::info!(target: "requests", attempt = &*attempt, code = ResultCode::ServerTimeout.number();
                "a response is given up at the deadline, as its caller has not taken earlier ones");
            reply::refusal(ResultCode::ServerTimeout, None)
        }
    }
}
