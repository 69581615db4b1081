//! Handles one proxied request, from its arrival to the last byte of its response.

use super::reply;
use crate::{
    carriers::Forwarded,
    dispatch::{self, Call, CallBody, Reply, StreamedBody},
    homes::{self, CopyDecision, KeyLocation, RunPermit},
    shared::{ActiveConfig, InFlightGuard, Shared},
};
use bytes::Bytes;
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::{RankName, ServiceName},
    process::{burn::CallerOutcome, stop_plan::PlannedStop},
    request::{
        deadline::Deadline,
        key::{Key, RequestKey},
    },
    time::{Span, Timestamp},
    version::routes::Route,
};
use redwingtrestle_wire::caller;
use reqwest::{
    header::{HeaderMap, HeaderName, HeaderValue},
    Method,
};
use rocket::{data::ByteUnit, data::DataStream, Data, Request, Response};
use std::{
    io,
    sync::{atomic::Ordering, Arc},
};
use tokio::{io::AsyncReadExt, sync::mpsc};
use xxhash_rust::xxh3::xxh3_64;

/// Bodies smaller than this are buffered before the request is sent, so that it can be retried.
const REPLAYABLE_BODY_BYTES: usize = 64 * 1024;

/// The chunk size of larger bodies.
const CHUNK_BYTES: usize = 64 * 1024;

/// The number of chunks of a larger body that may wait for the backend server.
const CHUNKS_AHEAD: usize = 4;

/// The longest request id that is accepted from a caller. A longer one is replaced.
const MAX_ID_BYTES: usize = 64;

/// The longest accepted name of a workspace. Callers choose the names, and only their hash is kept.
const MAX_WORKSPACE_BYTES: usize = 128;

/// The maximum number of digits of an attempt number, which is enough for every `u32`.
const MAX_ATTEMPT_BYTES: usize = 10;

/// The form field with which Rocket overrides the method of a `POST`.
const METHOD_FIELD: &str = "_method=";

/// The header that lists the addresses from which a request was forwarded, starting with the caller's.
const FORWARDED_FOR: &str = "x-forwarded-for";

/// The code and message of a refusal before the request was sent.
type EarlyRefusal = (ResultCode, String);

/// Records the end of a request when it is dropped, which happens with the last byte of the response.
#[derive(Debug)]
pub(super) struct RequestGuard {
    shared: Arc<Shared>,
    _in_flight: InFlightGuard,
    started: Timestamp,
    service: Arc<str>,
    rank: Arc<str>,
    /// The code sent to the caller, or `None` for a response of a backend server.
    code: Option<u16>,
    /// The HTTP status of the response, or `None` for a refusal by this node.
    status: Option<u16>,
    /// Whether another entry forwarded the request. If so, that entry counts it in its burn rate.
    forwarded: bool,
}

impl RequestGuard {
    fn set_route(&mut self, active: &ActiveConfig, route: &Route) {
        let ranks = active.spec.services.get(&route.service).map(|s| &s.ranks);
        let rank = ranks.and_then(|r| r.get(usize::from(route.rank.0)));
        self.service = route.service.0.clone();
        self.rank = rank.map_or_else(|| Arc::from(""), |r| r.name.0.clone());
    }

    /// Returns how the request ended for its caller.
    fn caller_outcome(&self, latency: Span) -> CallerOutcome {
        match (self.code.and_then(ResultCode::from_number), self.status) {
            (Some(code), _) => CallerOutcome::Coded(code),
            (None, Some(status)) => CallerOutcome::Response { status, latency },
            (None, None) => CallerOutcome::CallerGone,
        }
    }

    /// Records that the response broke off before its last byte.
    pub(super) fn record_broken(&mut self) {
        self.code = Some(ResultCode::AnswerBroken.number());
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let took = self.shared.clock.now().since(self.started);
        if !self.forwarded && !self.service.is_empty() {
            let service = ServiceName(self.service.clone());
            self.shared.record_caller_outcome(
                &service,
                &RankName(self.rank.clone()),
                self.caller_outcome(took),
            );
        }
        let took = took.as_secs_f64();
        let (service, rank) = (&self.service, &self.rank);
        let code = self.code.unwrap_or(0).to_string();
        metrics::counter!(
            "redwing_requests_total",
            "service" => service.clone(), "rank" => rank.clone(), "code" => code
        )
        .increment(1);
        metrics::histogram!(
            "redwing_request_seconds", "service" => service.clone(), "rank" => rank.clone()
        )
        .record(took);
    }
}

/// Handles one proxied request and returns the response for its caller.
pub(super) async fn handle<'r>(
    shared: &Arc<Shared>,
    request: &'r Request<'_>,
    data: Data<'r>,
    in_flight: InFlightGuard,
) -> Response<'r> {
    let id = request_id(request);
    let mut guard = RequestGuard {
        shared: shared.clone(),
        _in_flight: in_flight,
        started: shared.clock.now(),
        service: Arc::from(""),
        rank: Arc::from(""),
        code: None,
        status: None,
        forwarded: parse_forwarded(request) != Forwarded::No,
    };
    let served = serve_until_stop(shared, serve(shared, request, data, &id, &mut guard)).await;
    match served {
        Reply::Refusal(code, what) => {
            let (service, outcome) = (&*guard.service, code.outcome());
            log::log!(
                if outcome == Outcome::Unknown { log::Level::Warn } else { log::Level::Info },
                request = &*id, code = code.number(), outcome:% = outcome, service = service;
                "{what}"
            );
            guard.code = Some(code.number());
            reply::refusal(code, &what, &id, shared.key_prefix(), guard)
        }
        Reply::Response(response) => {
            let code = response.headers.get(caller::RESULT_CODE).and_then(|v| v.to_str().ok());
            guard.code = code.and_then(|c| c.parse().ok());
            guard.status = Some(response.status);
            reply::server_response(*response, &id, guard)
        }
    }
}

/// Serves a request until the time of a planned stop has passed. Its caller then learns that its outcome is unknown, and a
/// key is recorded as such, so that the records of the keys can still be handed over.
async fn serve_until_stop(
    shared: &Shared,
    served: impl std::future::Future<Output = Reply>,
) -> Reply {
    let mut end = shared.stop_end.subscribe();
    tokio::select! {
        biased;
        reply = served => reply,
        Ok(_) = end.wait_for(|is_over| *is_over) => {
            let what = "the planned stop of the node ends before the answer".to_string();
            Reply::Refusal(ResultCode::ServerTimeout, what)
        }
    }
}

/// How a prepared request is executed: here, or by the home of its key.
enum Execution {
    Run(Option<RunPermit>),
    Forward(std::net::SocketAddr),
}

async fn serve<'r>(
    shared: &Arc<Shared>,
    request: &'r Request<'_>,
    data: Data<'r>,
    id: &Arc<str>,
    guard: &mut RequestGuard,
) -> Reply {
    let prepared = prepare(shared, request, data, id, guard).await;
    let (call, attempt, reader) = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) => return refuse(shared, request, refusal).await,
    };
    // The key of a request that was forwarded to a carrier is recorded at its home, not here.
    let is_forwarded = parse_forwarded(request) != Forwarded::No;
    let key =
        if call.forwarded_to_carrier { Ok(None) } else { parse_key(request, call.idempotent) };
    let execution = match key {
        Err(refusal) => return Reply::Refusal(refusal.0, refusal.1),
        Ok(None) if shared.closed.load(Ordering::SeqCst) => {
            let what = "the node is leaving and no longer listed as an entry".to_string();
            return Reply::Refusal(ResultCode::NodeLeaving, what);
        }
        Ok(None) => Execution::Run(None),
        Ok(Some(key)) => match shared.local_home.locate(shared, &key, is_forwarded) {
            KeyLocation::Remote(home) => Execution::Forward(home),
            KeyLocation::Unavailable => {
                let what = "the home of this key is gone or not known here".to_string();
                return Reply::Refusal(ResultCode::KeyForgotten, what);
            }
            KeyLocation::Local => {
                let (now, attempt) = (shared.clock.now(), attempt.unwrap_or(1));
                match shared.local_home.begin(now, &key, attempt, homes::fingerprint(&call)) {
                    CopyDecision::Run(run) => Execution::Run(Some(run)),
                    CopyDecision::Wait(receiver) => {
                        return homes::wait_for_result(shared.clock, receiver, call.deadline).await
                    }
                    CopyDecision::Reply(reply) => return homes::reply_from_store(reply),
                }
            }
        },
    };
    serve_while_reading(reader, async {
        match execution {
            Execution::Run(run) => dispatch::dispatch(shared, &call, run).await,
            Execution::Forward(home) => homes::forward(shared, &call, home, attempt).await,
        }
    })
    .await
}

/// Serves the request while the rest of its body is read from the caller.
async fn serve_while_reading(
    reader: Option<BodyReader<'_>>,
    served: impl std::future::Future<Output = Reply>,
) -> Reply {
    let Some(reader) = reader else { return served.await };
    tokio::pin!(served);
    let reading = reader.run();
    tokio::pin!(reading);
    tokio::select! {
        reply = &mut served => reply,
        () = &mut reading => served.await,
    }
}

/// Refuses a request that failed validation. If it has a key, its attempt is sealed.
async fn refuse(shared: &Shared, request: &Request<'_>, refusal: EarlyRefusal) -> Reply {
    if parse_forwarded(request) == Forwarded::ToCarrier {
        return Reply::Refusal(refusal.0, refusal.1);
    }
    let active = shared.active.load();
    let (method, path) = (request.method().as_str(), request.uri().path().as_str());
    let route = active.as_ref().and_then(|a| a.routes.find(method, path));
    let is_idempotent = route.is_some_and(|r| r.idempotent);
    match parse_key(request, is_idempotent) {
        Ok(Some(key)) => {
            homes::refuse(shared, &key, parse_attempt(request).unwrap_or(None), refusal).await
        }
        _ => Reply::Refusal(refusal.0, refusal.1),
    }
}

/// Returns the key of a request, or `None` if it has none or its route is idempotent.
fn parse_key(
    request: &Request<'_>,
    is_idempotent: bool,
) -> Result<Option<RequestKey>, EarlyRefusal> {
    let mut given = request.headers().get(caller::IDEMPOTENCY_KEY);
    let Some(text) = given.next().filter(|_| !is_idempotent) else {
        return Ok(None);
    };
    if given.next().is_some() {
        return Err((ResultCode::BadKey, "the request has more than one key".into()));
    }
    match Key::parse(text) {
        Ok(Key::Homed(key)) => Ok(Some(key)),
        Ok(Key::Plain(_)) => {
            let what = "the key needs a home prefix: <key_prefix>.<key>";
            Err((ResultCode::PlainKey, what.into()))
        }
        Err(e) => Err((ResultCode::BadKey, e.to_string())),
    }
}

/// Returns the method that the caller sent.
///
/// Rocket replaces the method of a `POST` whose form body begins with the field `_method`. A proxy has to
/// undo this: otherwise the request would match another route and might be retried as idempotent.
async fn sent_method(request: &Request<'_>, data: &mut Data<'_>) -> Result<Method, EarlyRefusal> {
    let method = request.method();
    let is_form = request.content_type().is_some_and(|t| t.is_form());
    if is_form && method != rocket::http::Method::Post {
        let value = data.peek(METHOD_FIELD.len() + method.as_str().len()).await;
        let value = value.strip_prefix(METHOD_FIELD.as_bytes()).unwrap_or_default();
        if value.eq_ignore_ascii_case(method.as_str().as_bytes()) {
            return Ok(Method::POST);
        }
    }
    Method::from_bytes(method.as_str().as_bytes())
        .map_err(|e| (ResultCode::BadRequest, e.to_string()))
}

fn parse_forwarded(request: &Request<'_>) -> Forwarded {
    Forwarded::from_header(request.headers().get_one(caller::FORWARDED))
}

async fn prepare<'r>(
    shared: &Arc<Shared>,
    request: &'r Request<'_>,
    mut data: Data<'r>,
    id: &Arc<str>,
    guard: &mut RequestGuard,
) -> Result<(Call, Option<u32>, Option<BodyReader<'r>>), EarlyRefusal> {
    let active = shared
        .active
        .load_full()
        .ok_or_else(|| (ResultCode::NotReady, "the node has no configuration yet".to_string()))?;
    let method = sent_method(request, &mut data).await?;
    let path = request.uri().path().as_str();
    let route = active
        .routes
        .find(method.as_str(), path)
        .ok_or_else(|| (ResultCode::NoRoute, format!("no route matches {method} {path}")))?;
    guard.set_route(&active, route);
    let mut headers = headers_to_pass_on(shared, request)?;
    let deadline = parse_deadline(guard.started, request, route.deadline)?;
    let stop_end = shared.planned_stop.get().map(PlannedStop::end);
    let deadline = stop_end.map_or(deadline, |end| deadline.limited_to(end));
    let attempt = parse_attempt(request)?;
    let workspace = workspace_hash(request)?;
    set_header(&mut headers, caller::REQUEST_ID, id)?;
    let left = dispatch::time_left(shared.clock, deadline);
    let timed_out = || Err((ResultCode::DeadlineUnmet, "the body did not arrive in time".into()));
    let arrived = tokio::time::timeout(left, read_body(shared, request, data)).await;
    let (body, reader) = arrived.unwrap_or_else(|_| timed_out())?;
    let call = Call {
        method,
        target: request.uri().to_string(),
        headers,
        body,
        id: id.clone(),
        service: route.service.clone(),
        rank: route.rank,
        idempotent: route.idempotent,
        deadline,
        workspace,
        forwarded_to_carrier: parse_forwarded(request) == Forwarded::ToCarrier,
    };
    Ok((call, attempt, reader))
}

fn request_id(request: &Request<'_>) -> Arc<str> {
    let given = request.headers().get_one(caller::REQUEST_ID).unwrap_or("");
    let fits = !given.is_empty() && given.len() <= MAX_ID_BYTES;
    if fits && given.bytes().all(|b| b.is_ascii_graphic()) {
        Arc::from(given)
    } else {
        Arc::from(format!("{:016x}", rand::random::<u64>()))
    }
}

fn headers_to_pass_on(shared: &Shared, request: &Request<'_>) -> Result<HeaderMap, EarlyRefusal> {
    let size: usize = request.headers().iter().map(|h| h.name.len() + h.value.len()).sum();
    let limit = shared.settings.max_headers;
    if size as u64 > limit {
        let what = format!("the headers have {size} bytes, more than {limit}");
        return Err((ResultCode::HeaderTooLong, what));
    }
    let mut all = HeaderMap::new();
    for header in request.headers().iter() {
        let name = HeaderName::from_bytes(header.name.as_str().as_bytes());
        let value = HeaderValue::from_str(header.value());
        let (Ok(name), Ok(value)) = (name, value) else {
            let what = format!("the header {} cannot be read", header.name);
            return Err((ResultCode::BadHeader, what));
        };
        all.append(name, value);
    }
    let mut all = dispatch::end_to_end(&all);
    // A received value is not passed on. This node sets the header itself when it forwards a request.
    all.remove(caller::FORWARDED);
    if let Some(remote) = request.remote() {
        let before = all.get_all(FORWARDED_FOR).iter().filter_map(|v| v.to_str().ok());
        let mut chain: Vec<String> = before.map(str::to_string).collect();
        chain.push(remote.ip().to_string());
        set_header(&mut all, FORWARDED_FOR, &chain.join(", "))?;
    }
    Ok(all)
}

fn set_header(
    headers: &mut HeaderMap,
    name: &'static str,
    value: &str,
) -> Result<(), EarlyRefusal> {
    let value = HeaderValue::from_str(value)
        .map_err(|_| (ResultCode::BadHeader, format!("the header {name} cannot be read")))?;
    headers.insert(HeaderName::from_static(name), value);
    Ok(())
}

fn parse_deadline(
    now: Timestamp,
    request: &Request<'_>,
    default: Span,
) -> Result<Deadline, EarlyRefusal> {
    let header = request.headers().get_one(caller::DEADLINE);
    Deadline::from_header(now, header, default)
        .map_err(|code| (code, format!("the header {} is refused: {code}", caller::DEADLINE)))
}

/// Returns the attempt number that the caller declares, if any.
fn parse_attempt(request: &Request<'_>) -> Result<Option<u32>, EarlyRefusal> {
    let Some(text) = request.headers().get_one(caller::ATTEMPT) else {
        return Ok(None);
    };
    if text.len() > MAX_ATTEMPT_BYTES {
        let what = format!("the header {} has {} bytes", caller::ATTEMPT, text.len());
        return Err((ResultCode::HeaderTooLong, what));
    }
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    match text.parse() {
        Ok(number) if number > 0 && digits => Ok(Some(number)),
        _ => {
            let what = format!("the header {} is not a number from 1 on", caller::ATTEMPT);
            Err((ResultCode::BadHeader, what))
        }
    }
}

/// Returns the hash of the workspace's name. Without the header, the name is empty.
fn workspace_hash(request: &Request<'_>) -> Result<u64, EarlyRefusal> {
    let name = request.headers().get_one(caller::WORKSPACE).unwrap_or("");
    if name.len() > MAX_WORKSPACE_BYTES {
        let what = format!("the header {} has {} bytes", caller::WORKSPACE, name.len());
        return Err((ResultCode::HeaderTooLong, what));
    }
    Ok(xxh3_64(name.as_bytes()))
}

async fn read_body<'r>(
    shared: &Shared,
    request: &Request<'_>,
    data: Data<'r>,
) -> Result<(CallBody, Option<BodyReader<'r>>), EarlyRefusal> {
    let limit = shared.settings.max_body;
    let declared = request.headers().get_one("content-length").and_then(|v| v.parse::<u64>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err((ResultCode::BodyTooLarge, format!("the body has more than {limit} bytes")));
    }
    // Rocket silently truncates a body at its limit. Reading one byte more reveals bodies that are too large.
    let mut source = data.open(ByteUnit::from(limit.saturating_add(1)));
    let mut start = Vec::new();
    let count = (&mut source)
        .take(REPLAYABLE_BODY_BYTES as u64)
        .read_to_end(&mut start)
        .await
        .map_err(|e| (ResultCode::BadRequest, format!("the body cannot be read: {e}")))?;
    if count as u64 > limit {
        return Err((ResultCode::BodyTooLarge, format!("the body has more than {limit} bytes")));
    }
    if count < REPLAYABLE_BODY_BYTES {
        return Ok((CallBody::Buffered(start.into()), None));
    }
    let (chunks, received) = mpsc::channel(CHUNKS_AHEAD);
    let reader =
        BodyReader { source, chunks, start: start.into(), remaining: limit - count as u64 };
    Ok((CallBody::Streamed(StreamedBody::new(received, declared)), Some(reader)))
}

/// Reads the rest of a large body from the caller and passes the whole body on in chunks.
struct BodyReader<'r> {
    source: DataStream<'r>,
    chunks: mpsc::Sender<io::Result<Bytes>>,
    start: Bytes,
    remaining: u64,
}

impl BodyReader<'_> {
    async fn run(mut self) {
        let mut next = Ok(self.start);
        loop {
            let failed = next.is_err();
            if self.chunks.send(next).await.is_err() || failed {
                return;
            }
            let mut chunk = vec![0; CHUNK_BYTES];
            next = match self.source.read(&mut chunk).await {
                Ok(0) => {
                    // An empty chunk marks the end of a complete body.
                    let _ = self.chunks.send(Ok(Bytes::new())).await;
                    return;
                }
                Ok(count) if count as u64 > self.remaining => {
                    Err(io::Error::other("the body is larger than the limit"))
                }
                Ok(count) => {
                    self.remaining -= count as u64;
                    chunk.truncate(count);
                    Ok(chunk.into())
                }
                Err(e) => Err(e),
            };
        }
    }
}
