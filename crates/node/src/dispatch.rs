//! Sending one request to backend servers of its service and taking the answer.

use crate::{
    carriers,
    clock::Clock,
    control::Event,
    gate::{Gate, GateRequest, Permit, RequestEnd},
    homes::{self, Run},
    shared::Shared,
};
use bytes::{Bytes, BytesMut};
use futures_util::{stream::BoxStream, Stream, StreamExt};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::{RankIndex, ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    request::{
        deadline::Deadline,
        idempotency_store::{self, Finish},
        lifecycle::{Dispatched, Queued, Refusal, Request},
        retry::{may_resend, Failure},
    },
    time::Timestamp,
};
use redwingtrestle_gateway::reply::strip_hop;
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

/// How often one request is sent at most. A request that met this many failing servers would add load to
/// a service in trouble, and the retry budget alone would let a single caller use all of it.
const MAX_SENDS: u32 = 4;

/// Answers of known length up to this size are collected before they are passed on, so that a keyed
/// answer can be kept for a re-send.
pub const KEPT_ANSWER_BYTES: u64 = 64 * 1024;

/// Answers of unknown length are collected up to this size. They cannot be streamed, because Rocket
/// would end a broken one like a complete one (docs/design.md, section 3.1).
pub const COLLECTED_ANSWER_BYTES: usize = 4 << 20;

/// `Call` is one request as the node passes it on.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: CallBody,
    /// The request's name in logs.
    pub id: Arc<str>,
    /// The service that serves it.
    pub service: ServiceName,
    /// The rank of the work.
    pub rank: RankIndex,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Deadline,
    /// The hash of the caller's workspace.
    pub workspace: u64,
    /// Whether another node forwarded it because this one carries its service.
    pub at_carrier: bool,
}

/// `CallBody` is a request body that was read whole, or one that is still arriving.
#[derive(Clone, Debug)]
pub enum CallBody {
    /// The whole body; it can be sent again.
    Whole(Bytes),
    /// A body that is passed on as it arrives; it can be sent again only if no byte was taken yet.
    Arriving(ArrivingBody),
}

/// `ArrivingBody` hands its chunks to the first connection that asks for one.
///
/// An empty chunk ends the body. A channel that closes without one has lost its reader, and the body is
/// broken: its length may be unknown, so an end without mark could pass for a complete body.
#[derive(Clone, Debug)]
pub struct ArrivingBody {
    chunks: Arc<Mutex<Option<mpsc::Receiver<io::Result<Bytes>>>>>,
    broken: Arc<AtomicBool>,
    length: Option<u64>,
}

impl ArrivingBody {
    /// Makes a body of the chunks that arrive on `chunks`.
    pub fn new(chunks: mpsc::Receiver<io::Result<Bytes>>, length: Option<u64>) -> Self {
        let chunks = Arc::new(Mutex::new(Some(chunks)));
        ArrivingBody { chunks, broken: Arc::default(), length }
    }

    fn is_untouched(&self) -> bool {
        self.chunks.lock().is_ok_and(|c| c.is_some())
    }

    fn stream(&self) -> BoxStream<'static, io::Result<Bytes>> {
        let (source, broken) = (self.chunks.clone(), self.broken.clone());
        // The receiver is taken at the first poll and not before, so that a failed connect leaves it.
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
    /// Returns the body if it was read whole.
    pub fn whole(&self) -> Option<&Bytes> {
        match self {
            CallBody::Whole(bytes) => Some(bytes),
            CallBody::Arriving(_) => None,
        }
    }

    /// Returns whether the caller's body ended before its length or exceeded the limit.
    pub fn is_broken(&self) -> bool {
        match self {
            CallBody::Whole(_) => false,
            CallBody::Arriving(body) => body.broken.load(Ordering::SeqCst),
        }
    }

    pub(crate) fn can_send(&self) -> bool {
        match self {
            CallBody::Whole(_) => true,
            CallBody::Arriving(body) => body.is_untouched(),
        }
    }
}

/// `Reply` is what the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// The node's own refusal.
    Refusal(ResultCode, String),
    /// A backend server's answer.
    Answer(Box<Answer>),
}

/// `Answer` is a backend server's answer on its way to the caller.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// `AnswerBody` is an answer's body, collected or still arriving.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// A body of known length that is passed on as it arrives.
    Arriving(Box<Arriving>),
}

/// `Arriving` is an answer of known length that is passed on as it arrives.
#[derive(Debug)]
pub struct Arriving {
    response: reqwest::Response,
    length: u64,
    passed: u64,
    deadline: Deadline,
    id: Arc<str>,
    hold: Hold,
}

impl Arriving {
    /// Returns the length that the sender of the answer has stated.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the chunks; an answer that ends short or exceeds its deadline ends with an error.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        futures_util::stream::unfold(Some(self), |arriving| async move {
            let mut arriving = arriving?;
            match arriving.next().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(arriving))),
                Ok(None) => None,
                Err((failure, what)) => {
                    let Arriving { id, passed, length, .. } = &arriving;
                    let code = failure.code().map_or(0, ResultCode::number);
                    log::warn!(
                        request = &**id, code = code;
                        "the answer broke after {passed} of {length} bytes: {what}"
                    );
                    arriving.hold.end_broken(failure);
                    Some((Err(io::Error::other(what)), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, (Failure, String)> {
        let left = time_left(self.hold.clock, self.deadline);
        let chunk = match tokio::time::timeout(left, self.response.chunk()).await {
            Ok(chunk) => chunk.map_err(|e| (Failure::AnswerBroken, describe(&e)))?,
            Err(_) => return Err((Failure::ServerTimeout, "the deadline passed".into())),
        };
        self.passed += chunk.as_ref().map_or(0, |c| c.len() as u64);
        let fits = match &chunk {
            Some(_) => self.passed <= self.length,
            None => self.passed == self.length,
        };
        check_length(&self.id, fits, self.passed, self.length)?;
        if self.passed == self.length {
            self.hold.end_whole(None);
        }
        Ok(chunk)
    }
}

/// Checks that what is passed on is as long as was stated, so that no part of another answer is in it
/// and none of its own is missing. The HTTP client promises this; an error breaks the caller's answer.
fn check_length(id: &str, fits: bool, passed: u64, length: u64) -> Result<(), (Failure, String)> {
    invariant!(Invariant::OwnAnswer, fits, "answer to {id}: {passed} of {length} bytes");
    if fits {
        return Ok(());
    }
    Err((Failure::AnswerBroken, format!("{passed} bytes arrived of {length}")))
}

/// `Hold` is what a request holds until the last byte of its answer has arrived.
#[derive(Debug)]
struct Hold {
    clock: Clock,
    status: u16,
    headers: HeaderMap,
    /// The send at a backend server with its slot; none for an answer of another node.
    send: Option<(Request<Dispatched>, Permit)>,
    run: Option<Run>,
}

impl Hold {
    fn end_whole(&mut self, body: Option<&Bytes>) {
        let now = self.clock.now();
        if let Some((sent, permit)) = self.send.take() {
            let answered = sent.answer(now, self.status);
            permit.finish(now, RequestEnd::Answered(answered.status()));
        }
        if let Some(run) = self.run.take() {
            let header = |(name, value): (&HeaderName, &HeaderValue)| {
                (name.to_string(), value.as_bytes().to_vec())
            };
            let headers = self.headers.iter().map(header).collect();
            let body = body.map(|b| b.to_vec());
            run.end(Finish::Answered(idempotency_store::Answer {
                status: self.status,
                headers,
                body,
            }));
        }
    }

    fn end_broken(&mut self, failure: Failure) {
        let code = failure.code().unwrap_or(ResultCode::AnswerBroken);
        if let Some((sent, permit)) = self.send.take() {
            permit.finish(self.clock.now(), evidence(failure));
            sent.lose(code);
        }
        if let Some(run) = self.run.take() {
            run.end(Finish::Unknown(code));
        }
    }
}

/// `Received` is an answer before it is passed on.
#[derive(Debug)]
pub(crate) struct Received {
    status: u16,
    headers: HeaderMap,
    body: ReceivedBody,
}

#[derive(Debug)]
enum ReceivedBody {
    Whole(Bytes),
    Arriving(reqwest::Response, u64),
}

impl Received {
    /// Returns whether the answer says what became of the request, as a node's answers do.
    pub(crate) fn has_outcome(&self) -> bool {
        self.headers.contains_key(caller::OUTCOME)
    }

    /// Returns the refusal that a node's answer holds; one that cannot be read leaves open what ran.
    pub(crate) fn refusal(&self) -> Option<(ResultCode, String)> {
        let header = |name| self.headers.get(name).and_then(|v| v.to_str().ok());
        let outcome = header(caller::OUTCOME)?;
        if outcome == <&str>::from(Outcome::Ran) {
            return None;
        }
        let number = header(caller::CODE).and_then(|c| c.parse().ok());
        let code = number
            .and_then(ResultCode::from_number)
            .filter(|code| outcome == <&str>::from(code.outcome()));
        let body = match &self.body {
            ReceivedBody::Whole(bytes) => serde_json::from_slice(bytes).ok(),
            ReceivedBody::Arriving(..) => None,
        };
        let what = body.map_or_else(|| outcome.to_string(), |b: RefusalBody| b.message);
        Some((code.unwrap_or(ResultCode::CarrierLost), what))
    }

    /// Returns the answer of a carrier as it is passed on; this node says itself what it knows.
    pub(crate) fn carried(mut self, shared: &Shared, call: &Call, run: Option<Run>) -> Answer {
        for name in [caller::OUTCOME, caller::CODE, caller::KEY_PREFIX, caller::REQUEST_ID] {
            self.headers.remove(name);
        }
        self.pass_on(shared, call, None, run)
    }

    /// Returns the answer of another home as it is passed on.
    pub(crate) fn forwarded(self, shared: &Shared, call: &Call) -> Answer {
        self.pass_on(shared, call, None, None)
    }

    fn pass_on(
        self,
        shared: &Shared,
        call: &Call,
        send: Option<(Request<Dispatched>, Permit)>,
        run: Option<Run>,
    ) -> Answer {
        let Received { status, headers, body } = self;
        let mut hold = Hold { clock: shared.clock, status, headers: headers.clone(), send, run };
        let body = match body {
            ReceivedBody::Whole(bytes) => {
                hold.end_whole(Some(&bytes));
                AnswerBody::Whole(bytes)
            }
            ReceivedBody::Arriving(response, length) => {
                let (id, deadline) = (call.id.clone(), call.deadline);
                let arriving = Arriving { response, length, passed: 0, deadline, id, hold };
                AnswerBody::Arriving(Box::new(arriving))
            }
        };
        Answer { status, headers, body }
    }
}

/// Sends a request to a backend server of its service and returns what the caller gets.
///
/// A node that does not carry the service forwards it to one that does, unless it was forwarded for that
/// reason already.
///
/// `run` is the permission to run a key; it is ended with the result, for a streamed answer at its last
/// byte.
pub async fn dispatch(shared: &Shared, call: &Call, run: Option<Run>) -> Reply {
    match send(shared, call).await {
        Ok((received, sent)) => Reply::Answer(Box::new(received.pass_on(shared, call, sent, run))),
        // No send can have run, as the code says `not_run`.
        Err((refusal, _)) if refusal.code() == ResultCode::NoCarrier && !call.at_carrier => {
            carriers::forward(shared, call, run).await
        }
        Err((refusal, what)) => {
            if let Some(run) = run {
                run.end(homes::refused(refusal.code()));
            }
            Reply::Refusal(refusal.code(), what)
        }
    }
}

type Sent = Option<(Request<Dispatched>, Permit)>;

/// Sends until there is an answer, a failure that allows no resend, or no budget for one.
async fn send(shared: &Shared, call: &Call) -> Result<(Received, Sent), (Refusal, String)> {
    let request = Request::<Queued>::new(call.id.clone(), call.idempotent, call.deadline);
    let Some(gate) = shared.gates.load().get(&call.service).cloned() else {
        let what = format!("service {} has no gate", call.service);
        return Err((request.refuse(ResultCode::NoServer), what));
    };
    let (rank, workspace) = (call.rank, call.workspace);
    let deadline = call.deadline.at();
    let gate_request = GateRequest { rank, workspace, deadline, idempotent: call.idempotent };
    let clock = shared.clock;
    let queued = admitted(shared, call, gate.admit(clock.now(), gate_request)).await;
    let mut permit = match queued {
        Ok(permit) => permit,
        Err(code) => {
            return Err((request.refuse(code), format!("service {}: {code}", call.service)))
        }
    };
    let mut sent = request.dispatch(clock.now(), permit.server);
    loop {
        let (failure, what, answer) = match exchange(shared, call, permit.server).await {
            Ok(received) if call.idempotent && received.is_replaceable() => {
                (Failure::ServerError, format!("status {}", received.status), Some(received))
            }
            Ok(received) => return Ok((received, Some((sent, permit)))),
            Err((failure, what)) => (failure, what, None),
        };
        let what = format!("backend server {}: {what}", permit.server);
        if !may_send_again(shared, call, &gate, failure, sent.sends()) {
            return match answer {
                Some(answer) => Ok((answer, Some((sent, permit)))),
                None => {
                    permit.finish(clock.now(), evidence(failure));
                    Err((give_up(sent, failure, None), what))
                }
            };
        }
        metrics::counter!(
            "redwing_resends_total",
            "service" => call.service.0.clone(), "failure" => failure.to_string()
        )
        .increment(1);
        let now = clock.now();
        let end = answer.as_ref().map_or(evidence(failure), |a| RequestEnd::Answered(a.status));
        let next = admitted(shared, call, permit.requeue(now, gate_request, end)).await;
        permit = match (next, answer) {
            (Ok(permit), _) => permit,
            (Err(_), Some(answer)) => return Ok((answer, None)),
            (Err(code), None) => return Err((give_up(sent, failure, Some(code)), what)),
        };
        sent = match resend(sent, failure, clock.now(), permit.server) {
            Ok(sent) => sent,
            Err(refusal) => return Err((refusal, what)),
        };
    }
}

/// Waits for admission until the deadline, and checks the deadline once more before the request leaves
/// the queue: a process that was stopped in between must not send outdated work.
async fn admitted(
    shared: &Shared,
    call: &Call,
    admission: impl Future<Output = Result<Permit, ResultCode>>,
) -> Result<Permit, ResultCode> {
    let left = time_left(shared.clock, call.deadline);
    let permit = match tokio::time::timeout(left, admission).await {
        Ok(admitted) => admitted?,
        Err(_) => return Err(ResultCode::DeadlineUnmet),
    };
    match call.deadline.header_millis(shared.clock.now()) {
        Some(_) => Ok(permit),
        None => Err(ResultCode::DeadlineUnmet),
    }
}

fn may_send_again(shared: &Shared, call: &Call, gate: &Gate, failure: Failure, sends: u32) -> bool {
    let now = shared.clock.now();
    may_resend(failure, call.idempotent)
        && sends < MAX_SENDS
        && call.body.can_send()
        && call.deadline.header_millis(now).is_some()
        && gate.try_resend(now)
}

fn resend(
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
    sent.redispatch(now, server).map_err(|sent| sent.lose(ResultCode::ServerLost))
}

/// Ends a request whose last send failed; `refused` is the code with which a resend was not admitted.
fn give_up(sent: Request<Dispatched>, failure: Failure, refused: Option<ResultCode>) -> Refusal {
    let code = failure.code().unwrap_or(ResultCode::ServerLost);
    match failure.proof() {
        Some(proof) => match sent.requeue(proof) {
            Ok(queued) => queued.refuse(refused.unwrap_or(code)),
            Err(sent) => sent.lose(ResultCode::ServerLost),
        },
        None => sent.lose(code),
    }
}

/// Returns what a failure is to the gate; only what speaks about the server's health is evidence.
fn evidence(failure: Failure) -> RequestEnd {
    match failure {
        Failure::ConnectFailed => RequestEnd::ConnectFailed,
        Failure::ServerLost | Failure::AnswerBroken => RequestEnd::Reset,
        Failure::ServerTimeout => RequestEnd::DeadlinePassed,
        Failure::Shed => RequestEnd::Shed,
        _ => RequestEnd::Cancelled,
    }
}

impl Received {
    /// Returns whether the answer is a server's error that is at hand whole, so that it can be passed
    /// on after all when no other server takes the request.
    fn is_replaceable(&self) -> bool {
        self.status >= 500 && matches!(self.body, ReceivedBody::Whole(_))
    }
}

/// Sends the request once and takes the answer, within the deadline.
async fn exchange(
    shared: &Shared,
    call: &Call,
    server: ServerAddr,
) -> Result<Received, (Failure, String)> {
    let left = time_left(shared.clock, call.deadline);
    let millis = call.deadline.header_millis(shared.clock.now()).unwrap_or(1);
    let request = request(shared, call, server.0, millis);
    let exchange = async {
        let response = send_once(request, call).await?;
        if response.headers().contains_key(caller::DRAINING) {
            shared.events.push_over_oldest(Event::Draining(server));
        }
        if response.status() == 503 && response.headers().contains_key(caller::SHED) {
            return Err((Failure::Shed, "shed".to_string()));
        }
        let mut received = receive(response, call).await?;
        // These say what the node knows; a backend server's own word for them is not passed on.
        for name in [caller::OUTCOME, caller::CODE, caller::KEY_PREFIX] {
            received.headers.remove(name);
        }
        Ok(received)
    };
    let timeout = || Err((Failure::ServerTimeout, "the deadline passed".to_string()));
    tokio::time::timeout(left, exchange).await.unwrap_or_else(|_| timeout())
}

/// Sends a request; only a failed connect proves that the other side did not get it.
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
        (failure, describe(&e))
    })
}

/// Returns the time until the deadline.
pub(crate) fn time_left(clock: Clock, deadline: Deadline) -> Duration {
    Duration::from_micros(deadline.remaining(clock.now()).as_micros())
}

/// Returns an error of the HTTP client with its causes.
pub(crate) fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(e) = cause {
        text = format!("{text}: {e}");
        cause = e.source();
    }
    text
}

/// Returns the request as it is sent to `to`, with `millis` left until its deadline.
pub(crate) fn request(
    shared: &Shared,
    call: &Call,
    to: SocketAddr,
    millis: u64,
) -> reqwest::RequestBuilder {
    let url = format!("http://{to}{}", call.target);
    let mut headers = call.headers.clone();
    headers.insert(HeaderName::from_static(caller::DEADLINE), HeaderValue::from(millis));
    let builder = shared.client.request(call.method.clone(), url);
    match &call.body {
        CallBody::Whole(bytes) if bytes.is_empty() => builder.headers(headers),
        CallBody::Whole(bytes) => builder.headers(headers).body(bytes.clone()),
        CallBody::Arriving(body) => {
            if let Some(length) = body.length {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            builder.headers(headers).body(reqwest::Body::wrap_stream(body.stream()))
        }
    }
}

/// Takes an answer: small ones and those of unknown length whole, others as they arrive.
pub(crate) async fn receive(
    response: reqwest::Response,
    call: &Call,
) -> Result<Received, (Failure, String)> {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let has_body = call.method != Method::HEAD && status != 204 && status != 304;
    let body = match response.content_length() {
        _ if !has_body => ReceivedBody::Whole(Bytes::new()),
        Some(length) if length > KEPT_ANSWER_BYTES => ReceivedBody::Arriving(response, length),
        length => {
            let whole = collect(response).await?;
            if let Some(length) = length {
                let passed = whole.len() as u64;
                check_length(&call.id, passed == length, passed, length)?;
            }
            ReceivedBody::Whole(whole)
        }
    };
    Ok(Received { status, headers, body })
}

async fn collect(mut response: reqwest::Response) -> Result<Bytes, (Failure, String)> {
    let mut whole = BytesMut::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => whole.extend_from_slice(&chunk),
            Ok(None) => return Ok(whole.freeze()),
            Err(e) => return Err((Failure::AnswerBroken, describe(&e))),
        }
        if whole.len() > COLLECTED_ANSWER_BYTES {
            let what = format!("an answer without a length exceeds {COLLECTED_ANSWER_BYTES} bytes");
            return Err((Failure::AnswerTooLong, what));
        }
    }
}

/// Returns the headers without those that concern one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    strip_hop(&mut kept);
    kept.remove(EXPECT);
    kept.remove(CONTENT_LENGTH);
    kept
}
