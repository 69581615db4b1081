//! Sends one request to backend servers of its service, with retries, and receives the response.

use crate::{
    carriers,
    clock::Clock,
    control::Event,
    gate::{Gate, GateRequest, Permit, RequestEnd},
    homes::{self, RunPermit},
    shared::Shared,
};
use bytes::{Bytes, BytesMut};
use futures_util::{stream::BoxStream, Stream, StreamExt};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::{RankIndex, ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::response_proof::{Connection, Echo},
    request::{
        deadline::Deadline,
        idempotency_store::{self, RunResult},
        lifecycle::{Dispatched, Queued, Refusal, Request},
        retry::{may_retry, Failure},
    },
    time::{Span, Timestamp},
};
use redwingtrestle_gateway::reply::strip_hop_by_hop_headers;
use redwingtrestle_wire::caller::{self, RefusalBody};
use reqwest::{
    header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, EXPECT},
    Method,
};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};
use tokio::sync::mpsc;

/// The highest number of sends of one request.
///
/// After this many failing servers, another send would add load to a service in trouble. The retry budget
/// alone does not prevent that, because a single caller could use up all of it.
const MAX_SENDS: u32 = 4;

/// Responses of known length up to this size are buffered before they are passed on, so that the response to
/// a keyed request can be stored and replayed.
pub const MAX_STORED_RESPONSE_BYTES: u64 = 64 * 1024;

/// Responses of unknown length are buffered up to this size and fail beyond it.
///
/// They cannot be streamed, because Rocket ends a broken response in the same way as a complete one
/// (docs/design.md, section 3.1).
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// A caller's request in the form in which the node passes it on.
#[derive(Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub target: String,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: CallBody,
    /// The identifier of the request in logs.
    pub id: Arc<str>,
    /// The service that its route names.
    pub service: ServiceName,
    /// Its rank.
    pub rank: RankIndex,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// The time at which the caller gives up.
    pub deadline: Deadline,
    /// The hash of the caller's workspace.
    pub workspace: u64,
    /// Whether another node forwarded the request because this node carries its service.
    pub forwarded_to_carrier: bool,
}

/// A request body, either buffered or streamed.
#[derive(Clone, Debug)]
pub enum CallBody {
    /// The whole body; the request can be sent any number of times.
    Buffered(Bytes),
    /// A body that is passed on as it arrives; the request can be retried only while none of it has been read.
    Streamed(StreamedBody),
}

/// A streamed request body, whose chunks go to the first connection that asks for one.
///
/// An empty chunk marks the end of the body. If the channel closes without one, the task that reads from
/// the caller has ended early and the body is broken. The mark is needed because the length may be unknown,
/// and a truncated body would then look complete.
#[derive(Clone, Debug)]
pub struct StreamedBody {
    chunks: Arc<Mutex<Option<mpsc::Receiver<io::Result<Bytes>>>>>,
    broken: Arc<AtomicBool>,
    length: Option<u64>,
}

impl StreamedBody {
    /// Creates a body from the chunks that arrive on `chunks`; `length` is the one that the caller declared.
    pub fn new(chunks: mpsc::Receiver<io::Result<Bytes>>, length: Option<u64>) -> Self {
        let chunks = Arc::new(Mutex::new(Some(chunks)));
        StreamedBody { chunks, broken: Arc::default(), length }
    }

    fn is_unread(&self) -> bool {
        self.chunks.lock().is_ok_and(|c| c.is_some())
    }

    fn stream(&self) -> BoxStream<'static, io::Result<Bytes>> {
        let (source, broken) = (self.chunks.clone(), self.broken.clone());
        // The receiver is taken on the first poll, so it is still there after a failed connection attempt.
        futures_util::stream::unfold(None, move |taken: Option<mpsc::Receiver<_>>| {
            let (source, broken) = (source.clone(), broken.clone());
            async move {
                let mut chunks = match taken {
                    Some(chunks) => chunks,
                    None => source.lock().ok()?.take()?,
                };
                let lost = || Err(io::Error::other("the caller's body is no longer read"));
                let chunk: io::Result<Bytes> = chunks.recv().await.unwrap_or_else(lost);
                if chunk.as_ref().is_ok_and(Bytes::is_empty) {
                    return None;
                }
                if chunk.is_err() {
                    broken.store(true, Ordering::SeqCst);
                }
                Some((chunk, Some(chunks)))
            }
        })
        .boxed()
    }
}

impl CallBody {
    /// Returns the body if it is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            CallBody::Buffered(bytes) => Some(bytes),
            CallBody::Streamed(_) => None,
        }
    }

    /// Returns whether the caller's body ended before its declared length or exceeded the limit.
    pub fn is_broken(&self) -> bool {
        match self {
            CallBody::Buffered(_) => false,
            CallBody::Streamed(body) => body.broken.load(Ordering::SeqCst),
        }
    }

    pub(crate) fn is_sendable(&self) -> bool {
        match self {
            CallBody::Buffered(_) => true,
            CallBody::Streamed(body) => body.is_unread(),
        }
    }
}

/// The result of a request, as the caller gets it.
#[derive(Debug)]
pub enum Reply {
    /// A refusal by this node: its code and a message.
    Refusal(ResultCode, String),
    /// A response of a backend server or of another node.
    Response(Box<ServerResponse>),
}

/// A response in the form in which it is passed on to the caller.
#[derive(Debug)]
pub struct ServerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The response's body.
    pub body: ResponseBody,
}

/// A response's body, either buffered or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body of known length that is passed on as it arrives.
    Streamed(Box<StreamedResponse>),
}

/// A streamed response of known length. The request's slot is occupied until its last byte has arrived.
#[derive(Debug)]
pub struct StreamedResponse {
    response: reqwest::Response,
    length: u64,
    passed: u64,
    deadline: Deadline,
    id: Arc<str>,
    completion: ResponseCompletion,
}

impl StreamedResponse {
    /// Returns the length in bytes that the sender of the response declared.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the chunks. A response that is too short or exceeds its deadline ends with an error.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        futures_util::stream::unfold(Some(self), |streamed| async move {
            let mut streamed = streamed?;
            match streamed.next().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(streamed))),
                Ok(None) => None,
                Err((failure, what)) => {
                    let StreamedResponse { id, passed, length, .. } = &streamed;
                    let code = failure.code().map_or(0, ResultCode::number);
                    log::warn!(
                        request = &**id, code = code;
                        "response to the caller broken off after {passed} of {length} bytes: {what}"
                    );
                    streamed.completion.fail(failure);
                    Some((Err(io::Error::other(what)), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, (Failure, String)> {
        let left = time_left(self.completion.clock, self.deadline);
        let chunk = match tokio::time::timeout(left, self.response.chunk()).await {
            Ok(chunk) => chunk.map_err(|e| (Failure::AnswerBroken, format_error(&e)))?,
            Err(_) => return Err((Failure::ServerTimeout, "the deadline passed".into())),
        };
        self.passed += chunk.as_ref().map_or(0, |c| c.len() as u64);
        let fits = match &chunk {
            Some(_) => self.passed <= self.length,
            None => self.passed == self.length,
        };
        check_length(&self.id, fits, self.passed, self.length)?;
        if self.passed == self.length {
            self.completion.complete(None);
        }
        Ok(chunk)
    }
}

/// Checks that a response has its declared length, so that it neither contains part of another response nor
/// lacks part of its own. The HTTP client guarantees this; if it fails, the response to the caller breaks off.
fn check_length(id: &str, fits: bool, passed: u64, length: u64) -> Result<(), (Failure, String)> {
    invariant!(Invariant::OwnAnswer, fits, "response to {id}: {passed} of {length} bytes");
    if fits {
        return Ok(());
    }
    Err((Failure::AnswerBroken, format!("{passed} bytes arrived of {length}")))
}

/// The slot and the run permit of a request, which end when the last byte of its response has arrived.
#[derive(Debug)]
struct ResponseCompletion {
    clock: Clock,
    status: u16,
    headers: HeaderMap,
    /// The send to a backend server with its slot, or `None` for a response of another node.
    send: Option<(Request<Dispatched>, Permit)>,
    run: Option<RunPermit>,
}

impl ResponseCompletion {
    fn complete(&mut self, body: Option<&Bytes>) {
        let now = self.clock.now();
        if let Some((sent, permit)) = self.send.take() {
            let completed = sent.complete(now, self.status);
            permit.finish(now, RequestEnd::Response(completed.status()));
        }
        if let Some(run) = self.run.take() {
            let header = |(name, value): (&HeaderName, &HeaderValue)| {
                (name.to_string(), value.as_bytes().to_vec())
            };
            let headers = self.headers.iter().map(header).collect();
            let body = body.map(|b| b.to_vec());
            run.end(RunResult::Response(idempotency_store::StoredResponse {
                status: self.status,
                headers,
                body,
            }));
        }
    }

    fn fail(&mut self, failure: Failure) {
        let code = failure.code().unwrap_or(ResultCode::AnswerBroken);
        if let Some((sent, permit)) = self.send.take() {
            permit.finish(self.clock.now(), send_end(failure));
            sent.end_unknown(code);
        }
        if let Some(run) = self.run.take() {
            run.end(RunResult::Unknown(code));
        }
    }
}

/// A response as received from a backend server or another node.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    status: u16,
    headers: HeaderMap,
    body: ReceivedBody,
}

#[derive(Debug)]
enum ReceivedBody {
    Buffered(Bytes),
    Streamed(reqwest::Response, u64),
}

impl ReceivedResponse {
    /// Returns whether the response has the headers of every response of a node: an outcome and the id of the request.
    ///
    /// A node writes one response to each request, so the id need not tell sends apart.
    pub(crate) fn is_of_node(&self, id: &str) -> bool {
        let has_id = self.headers.get(caller::REQUEST_ID).is_some_and(|given| given == id);
        has_id && self.headers.contains_key(caller::OUTCOME)
    }

    /// Returns the refusal in another node's response, if it is one.
    ///
    /// A refusal whose code is missing or contradicts its outcome does not prove that the request did not run,
    /// so it is returned as `CarrierLost`.
    pub(crate) fn refusal(&self) -> Option<(ResultCode, String)> {
        let header = |name| self.headers.get(name).and_then(|v| v.to_str().ok());
        let outcome = header(caller::OUTCOME)?;
        if outcome == <&str>::from(Outcome::Ran) {
            return None;
        }
        let number = header(caller::RESULT_CODE).and_then(|c| c.parse().ok());
        let code = number
            .and_then(ResultCode::from_number)
            .filter(|code| outcome == <&str>::from(code.outcome()));
        let body = match &self.body {
            ReceivedBody::Buffered(bytes) => serde_json::from_slice(bytes).ok(),
            ReceivedBody::Streamed(..) => None,
        };
        let what = body.map_or_else(|| outcome.to_string(), |b: RefusalBody| b.message);
        Some((code.unwrap_or(ResultCode::CarrierLost), what))
    }

    /// Returns a carrier's response for the caller, without the headers that this node sets itself.
    pub(crate) fn into_carrier_response(
        mut self,
        shared: &Shared,
        call: &Call,
        run: Option<RunPermit>,
    ) -> ServerResponse {
        for name in [caller::OUTCOME, caller::RESULT_CODE, caller::KEY_PREFIX, caller::REQUEST_ID] {
            self.headers.remove(name);
        }
        self.into_response(shared, call, None, run)
    }

    /// Returns the response of a key's home for the caller, unchanged.
    pub(crate) fn into_home_response(self, shared: &Shared, call: &Call) -> ServerResponse {
        self.into_response(shared, call, None, None)
    }

    fn into_response(
        self,
        shared: &Shared,
        call: &Call,
        send: Option<(Request<Dispatched>, Permit)>,
        run: Option<RunPermit>,
    ) -> ServerResponse {
        let ReceivedResponse { status, headers, body } = self;
        let mut completion =
            ResponseCompletion { clock: shared.clock, status, headers: headers.clone(), send, run };
        let body = match body {
            ReceivedBody::Buffered(bytes) => {
                completion.complete(Some(&bytes));
                ResponseBody::Buffered(bytes)
            }
            ReceivedBody::Streamed(response, length) => {
                let (id, deadline) = (call.id.clone(), call.deadline);
                let streamed =
                    StreamedResponse { response, length, passed: 0, deadline, id, completion };
                ResponseBody::Streamed(Box::new(streamed))
            }
        };
        ServerResponse { status, headers, body }
    }
}

/// Sends a request to a backend server of its service and returns the reply for the caller.
///
/// A node that does not carry the service forwards the request to a carrier, unless the request was already
/// forwarded for that reason.
///
/// `run` is the permit to run a key. It ends with the result, or with the last byte of a streamed response.
pub async fn dispatch(shared: &Shared, call: &Call, run: Option<RunPermit>) -> Reply {
    match send(shared, call).await {
        Ok((received, sent)) => {
            Reply::Response(Box::new(received.into_response(shared, call, sent, run)))
        }
        // `no_carrier` has the outcome `not_run`, so no earlier send can have run.
        Err((refusal, _))
            if refusal.code() == ResultCode::NoCarrier && !call.forwarded_to_carrier =>
        {
            carriers::forward(shared, call, run).await
        }
        Err((refusal, what)) => {
            if let Some(run) = run {
                run.end(homes::refused_run_result(refusal.code()));
            }
            Reply::Refusal(refusal.code(), what)
        }
    }
}

type PendingSend = Option<(Request<Dispatched>, Permit)>;

/// Sends the request until a server responds, a failure allows no retry, or the retry budget is used up.
async fn send(
    shared: &Shared,
    call: &Call,
) -> Result<(ReceivedResponse, PendingSend), (Refusal, String)> {
    let request = Request::<Queued>::new(call.id.clone(), call.idempotent, call.deadline);
    let Some(gate) = shared.gates.load().get(&call.service).cloned() else {
        let what = format!("service {} has no gate", call.service);
        return Err((request.refuse(ResultCode::NoServer), what));
    };
    let (rank, workspace) = (call.rank, call.workspace);
    let deadline = call.deadline.at();
    let gate_request = GateRequest { rank, workspace, deadline, idempotent: call.idempotent };
    let clock = shared.clock;
    let queued = wait_for_admission(shared, call, gate.admit(clock.now(), gate_request)).await;
    let mut permit = match queued {
        Ok(permit) => permit,
        Err(code) => {
            return Err((request.refuse(code), format!("service {}: {code}", call.service)))
        }
    };
    let mut sent = request.dispatch(clock.now(), permit.server);
    loop {
        let (failure, what, response) = match exchange(shared, call, permit.server).await {
            Ok(received) if call.idempotent && received.is_buffered_error() => {
                (Failure::ServerError, format!("status {}", received.status), Some(received))
            }
            Ok(received) => return Ok((received, Some((sent, permit)))),
            Err((failure, what)) => (failure, what, None),
        };
        let what = format!("backend server {}: {what}", permit.server);
        if !can_retry(shared, call, &gate, failure, sent.sends()) {
            return match response {
                Some(response) => Ok((response, Some((sent, permit)))),
                None => {
                    permit.finish(clock.now(), send_end(failure));
                    Err((end_failed_request(sent, failure, None), what))
                }
            };
        }
        metrics::counter!(
            "redwing_resends_total",
            "service" => call.service.0.clone(), "failure" => failure.to_string()
        )
        .increment(1);
        let now = clock.now();
        let end = response.as_ref().map_or(send_end(failure), |r| RequestEnd::Response(r.status));
        let next = wait_for_admission(shared, call, permit.requeue(now, gate_request, end)).await;
        permit = match (next, response) {
            (Ok(permit), _) => permit,
            (Err(_), Some(response)) => return Ok((response, None)),
            (Err(code), None) => return Err((end_failed_request(sent, failure, Some(code)), what)),
        };
        sent = match retry(sent, failure, clock.now(), permit.server) {
            Ok(sent) => sent,
            Err(refusal) => return Err((refusal, what)),
        };
    }
}

/// Waits for admission until the deadline.
///
/// The deadline is checked again after admission, because the process may have been paused in between and
/// must not send expired requests.
async fn wait_for_admission(
    shared: &Shared,
    call: &Call,
    admission: impl Future<Output = Result<Permit, ResultCode>>,
) -> Result<Permit, ResultCode> {
    let left = time_left(shared.clock, call.deadline);
    let admitted = tokio::time::timeout(left, admission).await;
    let permit = match admitted.unwrap_or(Err(ResultCode::DeadlineUnmet)) {
        Ok(permit) => permit,
        // The stop has limited the deadline.
        Err(ResultCode::DeadlineUnmet) if !ends_before_stop(shared, call) => {
            return Err(ResultCode::NodeLeaving)
        }
        Err(code) => return Err(code),
    };
    match call.deadline.header_millis(shared.clock.now()) {
        Some(_) if !ends_before_stop(shared, call) => Err(ResultCode::NodeLeaving),
        Some(_) => Ok(permit),
        None => Err(ResultCode::DeadlineUnmet),
    }
}

/// Returns whether a send that begins now is expected to end before a planned stop does. It ends at its deadline at the
/// latest, and the stop limits the deadlines of requests that arrive during it. Until enough responses have arrived, the
/// target of the rank is expected.
pub(crate) fn ends_before_stop(shared: &Shared, call: &Call) -> bool {
    let Some(stop) = shared.planned_stop.get() else { return true };
    if call.deadline.at() < stop.end() {
        return true;
    }
    let usual = shared.gates.load().get(&call.service).and_then(|gate| gate.response_time());
    let expected = usual.unwrap_or_else(|| rank_target(shared, call));
    stop.may_send(shared.clock.now(), expected)
}

fn rank_target(shared: &Shared, call: &Call) -> Span {
    let active = shared.active.load();
    let service = active.as_ref().and_then(|a| a.spec.services.get(&call.service));
    let rank = service.and_then(|s| s.ranks.get(usize::from(call.rank.0)));
    rank.map_or(Span::ZERO, |r| r.target)
}

fn can_retry(shared: &Shared, call: &Call, gate: &Gate, failure: Failure, sends: u32) -> bool {
    let now = shared.clock.now();
    may_retry(failure, call.idempotent)
        && sends < MAX_SENDS
        && call.body.is_sendable()
        && call.deadline.header_millis(now).is_some()
        && gate.try_retry(now)
}

fn retry(
    sent: Request<Dispatched>,
    failure: Failure,
    now: Timestamp,
    server: ServerAddr,
) -> Result<Request<Dispatched>, Refusal> {
    let sent = match failure.proof() {
        Some(proof) => match sent.requeue(proof) {
            Ok(queued) => return Ok(queued.dispatch(now, server)),
            Err(sent) => sent,
        },
        None => sent,
    };
    sent.redispatch(now, server).map_err(|sent| sent.end_unknown(ResultCode::ServerLost))
}

/// Ends a request whose last send failed. `refused` is the code with which a retry was refused, if any.
fn end_failed_request(
    sent: Request<Dispatched>,
    failure: Failure,
    refused: Option<ResultCode>,
) -> Refusal {
    let code = failure.code().unwrap_or(ResultCode::ServerLost);
    match failure.proof() {
        Some(proof) => match sent.requeue(proof) {
            Ok(queued) => queued.refuse(refused.unwrap_or(code)),
            Err(sent) => sent.end_unknown(ResultCode::ServerLost),
        },
        None => sent.end_unknown(code),
    }
}

/// Maps a failure to what the gate records. Failures that say nothing about the server's health are recorded
/// as cancelled requests.
fn send_end(failure: Failure) -> RequestEnd {
    match failure {
        Failure::ConnectFailed => RequestEnd::ConnectFailed,
        Failure::ServerLost | Failure::AnswerBroken => RequestEnd::Reset,
        Failure::ServerTimeout => RequestEnd::DeadlinePassed,
        Failure::Shed => RequestEnd::Shed,
        _ => RequestEnd::Cancelled,
    }
}

impl ReceivedResponse {
    /// Returns whether the response is a buffered server error.
    ///
    /// Such a response is kept during a retry, and passed on if no other server takes the request.
    fn is_buffered_error(&self) -> bool {
        self.status >= 500 && matches!(self.body, ReceivedBody::Buffered(_))
    }
}

/// Sends the request to one server and receives the response, within the deadline.
async fn exchange(
    shared: &Shared,
    call: &Call,
    server: ServerAddr,
) -> Result<ReceivedResponse, (Failure, String)> {
    let left = time_left(shared.clock, call.deadline);
    let millis = call.deadline.header_millis(shared.clock.now()).unwrap_or(1);
    let connection = shared.response_proof().connection(server);
    let client = match connection {
        Connection::Kept => &shared.client,
        Connection::New => &shared.unpooled_client,
    };
    let id = send_id(&call.id);
    let request = build_request(client, call, server.0, millis, &id);
    let exchange = async {
        let response = send_once(request, call).await?;
        check_echo(shared, server, connection, response.headers(), &id)?;
        if response.status().is_informational() {
            let what = format!("status {}, which nobody asked for", response.status());
            return Err((Failure::ServerLost, what));
        }
        if response.headers().contains_key(caller::DRAINING) {
            shared.events.push_over_oldest(Event::Draining(server));
        }
        if response.status() == 503 && response.headers().contains_key(caller::SHED) {
            return Err((Failure::Shed, "shed".to_string()));
        }
        let mut received = receive(response, call).await?;
        // Only nodes set these headers; a backend server's values are not passed on.
        for name in [caller::OUTCOME, caller::RESULT_CODE, caller::KEY_PREFIX, caller::REQUEST_ID] {
            received.headers.remove(name);
        }
        Ok(received)
    };
    let timeout = || Err((Failure::ServerTimeout, "the deadline passed".to_string()));
    tokio::time::timeout(left, exchange).await.unwrap_or_else(|_| timeout())
}

/// Returns the id of one send. Callers may use one id for several requests, and a request may be sent several times, so
/// the caller's id alone would not tell sends apart.
fn send_id(id: &str) -> String {
    format!("{id}.{:016x}", rand::random::<u64>())
}

/// Checks that a response belongs to the send with this id. Any other response proves nothing about the request.
fn check_echo(
    shared: &Shared,
    server: ServerAddr,
    connection: Connection,
    headers: &HeaderMap,
    id: &str,
) -> Result<(), (Failure, String)> {
    let mut given = headers.get_all(caller::REQUEST_ID).iter();
    let echo = match (given.next(), given.next()) {
        (None, _) => Echo::Missing,
        (Some(own), None) if own == id => Echo::Own,
        _ => Echo::Other,
    };
    let verdict = shared.response_proof().judge(shared.clock.now(), server, connection, echo);
    if verdict.is_new_distrust {
        log::warn!(
            server:% = server, request = id, echo:? = echo;
            "responses of a backend server do not prove which request they belong to"
        );
    }
    match verdict.is_own {
        true => Ok(()),
        false => {
            Err((Failure::ServerLost, "the answer does not carry the id of the request".into()))
        }
    }
}

/// Sends a request and returns the head of the response.
///
/// Of all errors, only a failed connection attempt proves that the other side did not get the request.
pub(crate) async fn send_once(
    request: reqwest::RequestBuilder,
    call: &Call,
) -> Result<reqwest::Response, (Failure, String)> {
    request.send().await.map_err(|e| {
        let failure = match e.is_connect() {
            true => Failure::ConnectFailed,
            false if call.body.is_broken() => Failure::BodyBroken,
            false => Failure::ServerLost,
        };
        (failure, format_error(&e))
    })
}

/// Returns the time until the deadline.
pub(crate) fn time_left(clock: Clock, deadline: Deadline) -> Duration {
    Duration::from_micros(deadline.remaining(clock.now()).as_micros())
}

/// Formats an error of the HTTP client together with its causes.
pub(crate) fn format_error(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(e) = cause {
        text = format!("{text}: {e}");
        cause = e.source();
    }
    text
}

/// Builds the request to `to`; `millis` is the time left until its deadline, `id` the request id for the other side.
pub(crate) fn build_request(
    client: &reqwest::Client,
    call: &Call,
    to: SocketAddr,
    millis: u64,
    id: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{to}{}", call.target);
    let mut headers = call.headers.clone();
    headers.insert(HeaderName::from_static(caller::DEADLINE), HeaderValue::from(millis));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(HeaderName::from_static(caller::REQUEST_ID), id);
    }
    let builder = client.request(call.method.clone(), url);
    match &call.body {
        CallBody::Buffered(bytes) if bytes.is_empty() => builder.headers(headers),
        CallBody::Buffered(bytes) => builder.headers(headers).body(bytes.clone()),
        CallBody::Streamed(body) => {
            if let Some(length) = body.length {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            builder.headers(headers).body(reqwest::Body::wrap_stream(body.stream()))
        }
    }
}

/// Receives a response. Small responses and those of unknown length are buffered, others are streamed.
pub(crate) async fn receive(
    response: reqwest::Response,
    call: &Call,
) -> Result<ReceivedResponse, (Failure, String)> {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let has_body = call.method != Method::HEAD && status != 204 && status != 304;
    let body = match response.content_length() {
        _ if !has_body => ReceivedBody::Buffered(Bytes::new()),
        Some(length) if length > MAX_STORED_RESPONSE_BYTES => {
            ReceivedBody::Streamed(response, length)
        }
        length => {
            let whole = buffer_body(response).await?;
            if let Some(length) = length {
                let passed = whole.len() as u64;
                check_length(&call.id, passed == length, passed, length)?;
            }
            ReceivedBody::Buffered(whole)
        }
    };
    Ok(ReceivedResponse { status, headers, body })
}

async fn buffer_body(mut response: reqwest::Response) -> Result<Bytes, (Failure, String)> {
    let mut whole = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
            Ok(None) => return Ok(whole.freeze()),
            Err(e) => return Err((Failure::AnswerBroken, format_error(&e))),
        }
        if whole.len() > MAX_BUFFERED_RESPONSE_BYTES {
            let what =
                format!("an answer without a length exceeds {MAX_BUFFERED_RESPONSE_BYTES} bytes");
            return Err((Failure::AnswerTooLong, what));
        }
    }
}

/// Returns the headers without the hop-by-hop ones, which concern one connection only.
///
/// `Expect` and `Content-Length` are removed as well.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    strip_hop_by_hop_headers(&mut kept);
    kept.remove(EXPECT);
    kept.remove(CONTENT_LENGTH);
    kept
}
