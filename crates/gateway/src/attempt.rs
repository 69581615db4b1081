//! One send of a request to one backend server.

use crate::{
    clock::duration,
    dialect::Dialect,
    flight::Flight,
    outgoing::{OutBody, Outgoing},
    pool::{stated_idle, Link},
    prefixed::Prefixed,
    reply::Passing,
    shared::Shared,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Incoming},
    header::{HeaderMap, HeaderValue, CONNECTION},
    Request, Response, StatusCode,
};
use redwingtrestle_core::{
    process::{health_estimate::Observation, picker::Choice},
    time::{Span, Timestamp},
};
use std::sync::Arc;
use strum::{Display, IntoStaticStr};

/// Answers of up to this many bytes are buffered before any byte goes to the caller. If a server breaks off such an
/// answer, an idempotent request can still be sent to another server.
const MAX_BUFFERED_ANSWER: usize = 640 * 1024;

/// An answer counts as slow after this multiple of the usual time, as numerator and denominator.
const SLOW_FACTOR: (u64, u64) = (5, 2);

/// The quantile of a service's answer times that is taken as the usual time.
const USUAL_QUANTILE: f64 = 0.9;

/// `NotRun` is the reason why a request certainly did not run at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// The connection was closed before any byte of the request was sent.
    Unsent,
    /// The server refused the request before running it.
    Shed,
    /// The address now belongs to another server.
    Misdirected,
}

/// `AnswerBody` is the body of a server's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// A body longer than the buffer, streamed to the caller as it arrives.
    Passing(Box<Passing>),
}

/// `Answer` is a server's response that belongs to the request.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// `Ended` is the result of one send.
#[derive(Debug)]
pub enum Ended {
    /// The server answered without a server error.
    Answer(Answer),
    /// The server answered with an error, and the request may have run.
    ServerError(Answer),
    /// The request certainly did not run.
    NotRun(NotRun),
    /// No usable answer arrived, and the request may have run. The text gives the cause.
    Lost(String),
}

/// Sends a request to the chosen server and waits for the result. `end` is the caller's deadline.
pub async fn send(
    shared: &Arc<Shared>,
    choice: &Choice,
    request: &Outgoing,
    body: OutBody,
    end: Timestamp,
) -> Ended {
    let mut flight = Flight::begin(shared, &choice.id, &request.attempt);
    let again = body.again();
    let link = match get_connection(shared, choice, request.once).await {
        Ok(link) => link,
        Err(e) => {
            log::info!(target: "links", server = choice.id.as_str(), addr:% = choice.addr; "cannot connect to the server: {e}");
            flight.observe(Observation::Unreachable);
            return Ended::NotRun(NotRun::Unreachable);
        }
    };
    let was_reused = link.is_used;
    match send_request(shared, choice, request, body, end, link, &mut flight).await {
        Err(ExchangeError::Unsent) if was_reused && again.is_some() => {
            // The server had closed the idle connection and nothing was sent, so a new connection is tried.
            let Ok(link) = Link::connect(choice.addr).await else {
                flight.observe(Observation::Unreachable);
                return Ended::NotRun(NotRun::Unreachable);
            };
            let body = again.unwrap_or_default();
            let result = send_request(shared, choice, request, body, end, link, &mut flight).await;
            receive_answer(shared, result, flight, false, end).await
        }
        result => receive_answer(shared, result, flight, was_reused, end).await,
    }
}

async fn get_connection(shared: &Shared, choice: &Choice, once: bool) -> std::io::Result<Link> {
    match shared.pool.take(&choice.id, shared.now(), once) {
        Some(link) => Ok(link),
        None => Link::connect(choice.addr).await,
    }
}

/// `ExchangeError` is the error of an exchange that ended before the head of an answer arrived.
enum ExchangeError {
    Unsent,
    Broken(String),
}

/// Sends the request and waits for the head of the answer.
async fn send_request(
    shared: &Shared,
    choice: &Choice,
    request: &Outgoing,
    body: OutBody,
    end: Timestamp,
    mut link: Link,
    flight: &mut Flight,
) -> Result<(Response<Incoming>, Link), ExchangeError> {
    let left = end.since(shared.now()).as_millis().max(1);
    let outgoing = build_request(&shared.dialect, choice, request, body, left);
    let mut response = std::pin::pin!(link.sender.try_send_request(outgoing));
    let usual = shared.fleet().registry.usual(&request.service, USUAL_QUANTILE);
    let result = match usual {
        Some(usual) => {
            let slow = usual.times(SLOW_FACTOR.0).as_micros() / SLOW_FACTOR.1;
            tokio::select! {
                result = &mut response => result,
                () = tokio::time::sleep(duration(Span::from_micros(slow))) => {
                    flight.slow();
                    response.await
                }
            }
        }
        None => response.await,
    };
    match result {
        Ok(response) => Ok((response, link)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(ExchangeError::Unsent),
            None => Err(ExchangeError::Broken(e.into_error().to_string())),
        },
    }
}

fn build_request(
    dialect: &Dialect,
    choice: &Choice,
    request: &Outgoing,
    body: OutBody,
    left: u64,
) -> Request<OutBody> {
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    headers.insert(dialect.deadline.clone(), HeaderValue::from(left));
    match HeaderValue::from_str(choice.id.as_str()) {
        Ok(id) => {
            headers.insert(dialect.target.clone(), id);
        }
        Err(e) => {
            log::error!(target: "requests", server = choice.id.as_str(); "the server id is no valid header value, sending without it: {e}");
        }
    }
    outgoing
}

/// Classifies the head of an answer and reads or streams its body.
async fn receive_answer(
    shared: &Arc<Shared>,
    result: Result<(Response<Incoming>, Link), ExchangeError>,
    mut flight: Flight,
    was_reused: bool,
    end: Timestamp,
) -> Ended {
    let (response, mut link) = match result {
        Ok(pair) => pair,
        Err(ExchangeError::Unsent) => return Ended::NotRun(NotRun::Unsent),
        Err(ExchangeError::Broken(what)) => {
            // The server may have closed a reused connection while the request was being sent. That is no evidence
            // against the server.
            if was_reused {
                shared.pool.doubt(shared.now());
            } else {
                flight.observe(Observation::Lost);
            }
            return Ended::Lost(what);
        }
    };
    let (head, body) = response.into_parts();
    let dialect = &shared.dialect;
    if head.headers.contains_key(&dialect.not_run) && !head.status.is_success() {
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        return handle_refusal(flight, is_misdirected, body, link).await;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return handle_refusal(flight, true, body, link).await;
    }
    let is_own = head
        .headers
        .get(&dialect.attempt)
        .is_some_and(|id| id.as_bytes() == flight.attempt().as_bytes());
    let is_signed = head.headers.contains_key(&dialect.signature);
    if !is_own || (head.status.is_success() && !is_signed) {
        flight.observe(Observation::Lost);
        shared.pool.doubt(shared.now());
        return Ended::Lost(format!(
            "an answer with status {} belongs to another request or is unsigned",
            head.status.as_u16()
        ));
    }
    link.set_idle(head.headers.get("keep-alive").and_then(|v| stated_idle(v.to_str().ok()?)));
    let closes =
        head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let body = match buffer_body(body).await {
        Ok(BufferedBody::Whole(bytes)) => {
            if !closes {
                flight.give_back(link);
            }
            AnswerBody::Whole(bytes)
        }
        Ok(BufferedBody::Part(first, rest)) => {
            let status = head.status;
            let end = Box::pin(tokio::time::sleep(duration(end.since(shared.now()))));
            let body = Prefixed { first: Some(first), rest: Some(rest) };
            let passing = Passing { body, end, flight, link: Some(link) };
            let answer = Answer {
                status,
                headers: head.headers,
                body: AnswerBody::Passing(Box::new(passing)),
            };
            return classify(status, answer);
        }
        Err(e) => {
            flight.observe(Observation::Lost);
            return Ended::Lost(format!("the answer broke off: {e}"));
        }
    };
    if head.status.is_server_error() {
        flight.observe(Observation::Error);
    } else {
        flight.succeed();
    }
    classify(head.status, Answer { status: head.status, headers: head.headers, body })
}

/// Classifies an answer by its status. A refusal without the "not run" header counts as an error, as the request may
/// have run.
fn classify(status: StatusCode, answer: Answer) -> Ended {
    let is_refusal = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT);
    if status.is_server_error() || is_refusal {
        Ended::ServerError(answer)
    } else {
        Ended::Answer(answer)
    }
}

async fn handle_refusal(
    mut flight: Flight,
    is_misdirected: bool,
    body: Incoming,
    link: Link,
) -> Ended {
    if is_misdirected {
        flight.displaced();
        return Ended::NotRun(NotRun::Misdirected);
    }
    flight.shed();
    if let Ok(BufferedBody::Whole(_)) = buffer_body(body).await {
        flight.give_back(link);
    }
    Ended::NotRun(NotRun::Shed)
}

enum BufferedBody {
    Whole(Bytes),
    Part(Bytes, Incoming),
}

/// Reads a body to its end, or until it is longer than [`MAX_BUFFERED_ANSWER`].
async fn buffer_body(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|length| length > MAX_BUFFERED_ANSWER as u64) {
        return Ok(BufferedBody::Part(Bytes::new(), body));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_BUFFERED_ANSWER {
            return Ok(BufferedBody::Part(bytes.freeze(), body));
        }
    }
    Ok(BufferedBody::Whole(bytes.freeze()))
}
