//! One send of a request to one backend server.

use crate::{
    buffer_memory::{BufferMemory, CollectedBytes},
    clock::duration,
    header_names::HeaderNames,
    in_flight::InFlightSend,
    outgoing::{OutgoingRequest, RequestBody},
    pool::{keep_alive_timeout, ServerConnection},
    prefixed_body::PrefixedBody,
    reply::StreamedResponse,
    server_notice,
    shared::Shared,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Incoming},
    header::{HeaderMap, HeaderValue, CONNECTION},
    Request, Response, StatusCode,
};
use redwingtrestle_core::{
    ids::ServiceName,
    process::{health_estimate::Observation, picker::Choice},
    time::{Span, Timestamp},
};
use std::{future::Future, ops::RangeInclusive, sync::Arc, time::Duration};
use strum::{Display, IntoStaticStr};

/// Responses of up to this many bytes are buffered before any byte goes to the caller. If a server breaks off such a
/// response, an idempotent request can still be sent to another server.
const MAX_BUFFERED_RESPONSE: usize = 640 * 1024;

/// A response counts as slow after this multiple of the usual time, as numerator and denominator.
const SLOW_FACTOR: (u64, u64) = (5, 2);

/// The connection of a refusal whose body takes longer than this is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// The quantile of a service's response times that is taken as the usual time.
const USUAL_QUANTILE: f64 = 0.9;

/// The statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The reason why a request certainly did not run at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// No connection could be opened.
    Unreachable,
    /// The connection was closed before any byte of the request was sent.
    Unsent,
    /// The server refused the request before running it.
    Shed,
    /// The address now belongs to another server.
    Misdirected,
    /// The server left after it had been chosen, and the request was not sent.
    Left,
    /// The caller left after the server had been chosen, and the request was not sent.
    CallerLeft,
}

/// The body of a server's response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// A body longer than the buffer, streamed to the caller as it arrives.
    Streamed(Box<StreamedResponse>),
}

/// A server's response that belongs to the request.
#[derive(Debug)]
pub struct ServerResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers, unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}

/// The result of one send.
#[derive(Debug)]
pub enum SendResult {
    /// The server responded without a server error.
    Response(ServerResponse),
    /// The server responded with an error, and the request may have run.
    ServerError(ServerResponse),
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// No usable response arrived, and the request may have run. The text gives the cause.
    Lost(String),
}

/// Sends a request to the chosen server and waits for the result. With `is_repeat` the attempt was sent to this server
/// before: a repeated refusal of that send would carry the same id, so no kept connection is used.
pub async fn send(
    shared: &Arc<Shared>,
    choice: &Choice,
    request: &OutgoingRequest,
    body: RequestBody,
    deadline: Timestamp,
    is_repeat: bool,
) -> SendResult {
    let mut in_flight = InFlightSend::start(shared, &choice.id, request);
    let retry_body = body.buffered_copy();
    let connection = match get_connection(shared, choice, request.at_most_once, is_repeat).await {
        Ok(connection) => connection,
        Err(e) => {
            log::info!(target: "links", server = choice.id.as_str(), addr:% = choice.addr;
                "cannot connect to the server: {e}");
            in_flight.observe(Observation::Unreachable);
            return SendResult::NotRun(NotRunReason::Unreachable);
        }
    };
    if let Some(reason) = reason_not_to_send(&in_flight, request) {
        return SendResult::NotRun(reason);
    }
    let was_reused = connection.was_used;
    match send_request(shared, choice, request, body, deadline, connection, &mut in_flight).await {
        Err(ExchangeError::Unsent) if was_reused && retry_body.is_some() => {
            // The server had closed the idle connection and nothing was sent, so a new connection is tried.
            let Ok(connection) = ServerConnection::connect(choice.addr).await else {
                in_flight.observe(Observation::Unreachable);
                return SendResult::NotRun(NotRunReason::Unreachable);
            };
            if let Some(reason) = reason_not_to_send(&in_flight, request) {
                return SendResult::NotRun(reason);
            }
            let body = retry_body.unwrap_or_default();
            let result =
                send_request(shared, choice, request, body, deadline, connection, &mut in_flight)
                    .await;
            receive_response(shared, &request.service, result, in_flight, false, deadline).await
        }
        result => {
            receive_response(shared, &request.service, result, in_flight, was_reused, deadline)
                .await
        }
    }
}

/// Returns why the request must not be sent now that a connection is there, although it was right to open it.
fn reason_not_to_send(in_flight: &InFlightSend, request: &OutgoingRequest) -> Option<NotRunReason> {
    if in_flight.has_server_left() {
        return Some(NotRunReason::Left);
    }
    request.caller.has_left().then_some(NotRunReason::CallerLeft)
}

async fn get_connection(
    shared: &Shared,
    choice: &Choice,
    at_most_once: bool,
    is_repeat: bool,
) -> std::io::Result<ServerConnection> {
    let take_idle = || shared.pool.take_idle(&choice.id, shared.now(), at_most_once);
    match (!is_repeat).then(take_idle).flatten() {
        Some(connection) => Ok(connection),
        None => ServerConnection::connect(choice.addr).await,
    }
}

/// The error of an exchange that ended before the head of a response arrived.
enum ExchangeError {
    Unsent,
    /// The connection broke after the request may have been sent.
    Broken(String),
    /// The server sent bytes that are no response.
    Malformed(String),
}

/// Sends the request and waits for the head of the response.
async fn send_request(
    shared: &Shared,
    choice: &Choice,
    request: &OutgoingRequest,
    body: RequestBody,
    deadline: Timestamp,
    mut connection: ServerConnection,
    in_flight: &mut InFlightSend,
) -> Result<(Response<Incoming>, ServerConnection), ExchangeError> {
    let left_ms = deadline.since(shared.now()).as_millis().max(1);
    let outgoing = build_request(&shared.header_names, choice, request, body, left_ms);
    let response = connection.sender.try_send_request(outgoing);
    let result = watch_for_slowness(shared, &request.service, in_flight, response).await;
    match result {
        Ok(response) => Ok((response, connection)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::Unsent),
            None => {
                let error = e.into_error();
                let what = error.to_string();
                Err(if error.is_parse() {
                    ExchangeError::Malformed(what)
                } else {
                    ExchangeError::Broken(what)
                })
            }
        },
    }
}

/// Waits for a part of a response, and records an observation of the server when the part takes much longer than a
/// response of the service usually does.
async fn watch_for_slowness<T>(
    shared: &Shared,
    service: &ServiceName,
    in_flight: &mut InFlightSend,
    part: impl Future<Output = T>,
) -> T {
    let usual_latency = shared.fleet().registry.latency_quantile(service, USUAL_QUANTILE);
    let Some(usual_latency) = usual_latency else { return part.await };
    let slow_after = usual_latency.times(SLOW_FACTOR.0).as_micros() / SLOW_FACTOR.1;
    let mut part = std::pin::pin!(part);
    tokio::select! {
        result = &mut part => result,
        () = tokio::time::sleep(duration(Span::from_micros(slow_after))) => {
            in_flight.record_slow();
            part.await
        }
    }
}

fn build_request(
    header_names: &HeaderNames,
    choice: &Choice,
    request: &OutgoingRequest,
    body: RequestBody,
    left_ms: u64,
) -> Request<RequestBody> {
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.insert(header_names.deadline.clone(), HeaderValue::from(left_ms));
    match HeaderValue::from_str(choice.id.as_str()) {
        Ok(id) => {
            headers.insert(header_names.target.clone(), id);
        }
        Err(e) => {
            log::error!(target: "requests", server = choice.id.as_str();
                "the server id is no valid header value, sending without it: {e}");
        }
    }
    outgoing
}

/// Classifies the head of a response and reads or streams its body.
async fn receive_response(
    shared: &Arc<Shared>,
    service: &ServiceName,
    result: Result<(Response<Incoming>, ServerConnection), ExchangeError>,
    mut in_flight: InFlightSend,
    was_reused: bool,
    deadline: Timestamp,
) -> SendResult {
    let (response, mut connection) = match result {
        Ok(pair) => pair,
        Err(ExchangeError::Unsent) => return SendResult::NotRun(NotRunReason::Unsent),
        Err(ExchangeError::Broken(what)) => {
            // The server may have closed a reused connection while the request was being sent. That is no evidence
            // against the server.
            if was_reused {
                shared.pool.record_failed_reuse(shared.now());
            } else {
                in_flight.observe(Observation::Lost);
            }
            in_flight.check_for_crash();
            return SendResult::Lost(what);
        }
        Err(ExchangeError::Malformed(what)) => {
            in_flight.observe(Observation::Lost);
            return SendResult::Lost(what);
        }
    };
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        // Nothing else in such a response is believed, and dropping its connection closes it.
        in_flight.observe(Observation::Lost);
        return SendResult::Lost(format!(
            "status {} is not that of a final response",
            head.status.as_u16()
        ));
    }
    let header_names = &shared.header_names;
    server_notice::record(&head, header_names, &in_flight);
    let id = head.headers.get(&header_names.attempt);
    let is_own = id.is_some_and(|id| id.as_bytes() == in_flight.attempt().as_bytes());
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_marked = head.headers.contains_key(&header_names.not_run) && !head.status.is_success();
    // A server may repeat the refusal of an earlier request on a reused connection. Only the id tells them apart.
    let is_proven = is_own || (id.is_none() && !was_reused);
    if (is_marked || is_misdirected) && is_proven {
        // A refusal without an id could not be believed on this connection again.
        let kept = is_own.then_some(connection);
        return handle_refusal(in_flight, is_misdirected, body, kept);
    }
    let is_signed = head.headers.contains_key(&header_names.signature);
    if !is_own || (head.status.is_success() && !is_signed) {
        in_flight.observe(Observation::Lost);
        shared.pool.record_failed_reuse(shared.now());
        return SendResult::Lost(format!(
            "a response with status {} belongs to another request or is unsigned",
            head.status.as_u16()
        ));
    }
    connection.set_keep_alive(
        head.headers.get("keep-alive").and_then(|v| keep_alive_timeout(v.to_str().ok()?)),
    );
    let closes =
        head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let collecting = buffer_body(body, &shared.response_memory);
    let buffered = watch_for_slowness(shared, service, &mut in_flight, collecting).await;
    let body = match buffered {
        Ok(BufferedBody::Whole(bytes)) => {
            if !closes {
                in_flight.return_connection(connection);
            }
            ResponseBody::Whole(bytes)
        }
        Ok(BufferedBody::Part(first, rest)) => {
            if !shared.response_memory.has_room() {
                log::info!(target: "requests", attempt = in_flight.attempt(), server = in_flight.server(),
                    collected = first.len();
                    "collected responses take all their memory, so this one is streamed from here on");
            }
            let status = head.status;
            let deadline = Box::pin(tokio::time::sleep(duration(deadline.since(shared.now()))));
            let body = PrefixedBody { first: Some(first), rest: Some(rest) };
            let streamed =
                StreamedResponse { body, deadline, in_flight, connection: Some(connection) };
            let response = ServerResponse {
                status,
                headers: head.headers,
                body: ResponseBody::Streamed(Box::new(streamed)),
            };
            return classify(status, response);
        }
        Err(e) => {
            in_flight.observe(Observation::Lost);
            in_flight.check_for_crash();
            return SendResult::Lost(format!("the response broke off: {e}"));
        }
    };
    if head.status.is_server_error() {
        in_flight.observe(Observation::Error);
    } else {
        in_flight.record_success();
    }
    classify(head.status, ServerResponse { status: head.status, headers: head.headers, body })
}

/// Returns whether a status can be that of a final response. The HTTP library takes any number from 100 to 999, passes
/// on a change of the protocol (101), for which nobody asks, and skips the other informational responses.
pub fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Classifies a response by its status. A refusal without the "not run" header counts as an error, as the request may
/// have run.
fn classify(status: StatusCode, response: ServerResponse) -> SendResult {
    let is_refusal = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT);
    if status.is_server_error() || is_refusal {
        SendResult::ServerError(response)
    } else {
        SendResult::Response(response)
    }
}

/// Records a refusal. The request can go to another server at once, so the rest of the response is read in the background
/// before the connection, if it is to be kept, is used again.
fn handle_refusal(
    mut in_flight: InFlightSend,
    is_misdirected: bool,
    body: Incoming,
    kept: Option<ServerConnection>,
) -> SendResult {
    if is_misdirected {
        in_flight.remove_displaced_server();
        return SendResult::NotRun(NotRunReason::Misdirected);
    }
    in_flight.record_refusal();
    let Some(connection) = kept else { return SendResult::NotRun(NotRunReason::Shed) };
    let (returns, memory) = (in_flight.connection_return(), in_flight.response_memory());
    tokio::spawn(async move {
        let rest = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, buffer_body(body, &memory)).await;
        if let Ok(Ok(BufferedBody::Whole(_))) = rest {
            returns.put_back(connection).await;
        }
    });
    SendResult::NotRun(NotRunReason::Shed)
}

enum BufferedBody {
    Whole(Bytes),
    Part(Bytes, Incoming),
}

/// Reads a body to its end, or until it is longer than [`MAX_BUFFERED_RESPONSE`] or all collected responses take too much
/// memory.
async fn buffer_body(
    mut body: Incoming,
    memory: &Arc<BufferMemory>,
) -> Result<BufferedBody, hyper::Error> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|length| length > MAX_BUFFERED_RESPONSE as u64) {
        return Ok(BufferedBody::Part(Bytes::new(), body));
    }
    let mut bytes = CollectedBytes::new(memory);
    let mut is_full = false;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            is_full = !bytes.try_extend(&data);
            if is_full {
                // The data was read from the connection, so it is kept to be passed on.
                bytes.extend(&data);
            }
        }
        if bytes.len() > MAX_BUFFERED_RESPONSE || is_full {
            return Ok(BufferedBody::Part(bytes.freeze(), body));
        }
    }
    Ok(BufferedBody::Whole(bytes.freeze()))
}
