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

/// The longest answer that is collected before it is passed on. A server that breaks off an answer of this length has
/// then shown it before the caller got a byte, so that a request which may run again can be sent to another one.
const COLLECTED: usize = 640 * 1024;

/// How many times the usual longest answer time an answer may take before it counts as slow.
const SLOW: (u64, u64) = (5, 2);

/// The share of answers that come within the usual longest time.
const USUAL: f64 = 0.9;

/// `NotRun` says why a send provably did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NotRun {
    /// No connection could be opened.
    Unreachable,
    /// The connection was closed before the request was handed to it.
    Unsent,
    /// The server refused the request before running it.
    Shed,
    /// Another server has the address now.
    Misdirected,
}

/// `AnswerBody` is the body of a server's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it has arrived.
    Whole(Bytes),
    /// It is longer than what is collected.
    Passing(Box<Passing>),
}

/// `Answer` is a server's answer to this request.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers as the server sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// `Ended` is how one send ended.
#[derive(Debug)]
pub enum Ended {
    /// The server answered, and not with a server error.
    Answer(Answer),
    /// The server answered with a server error after running the request.
    ServerError(Answer),
    /// The request provably did not run.
    NotRun(NotRun),
    /// The request may have run, and there is no answer to it.
    Lost(String),
}

/// Sends a request to the chosen server and waits for the end; the caller's time is up at `end`.
pub async fn send(
    shared: &Arc<Shared>,
    choice: &Choice,
    request: &Outgoing,
    body: OutBody,
    end: Timestamp,
) -> Ended {
    let mut flight = Flight::begin(shared, &choice.id, &request.attempt);
    let again = body.again();
    let link = match acquire(shared, choice, request.once).await {
        Ok(link) => link,
        Err(e) => {
            log::info!(target: "links", server = choice.id.as_str(), addr:% = choice.addr; "cannot connect: {e}");
            flight.observe(Observation::Unreachable);
            return Ended::NotRun(NotRun::Unreachable);
        }
    };
    let was_used = link.is_used;
    match exchange(shared, choice, request, body, end, link, &mut flight).await {
        Err(Failed::Unsent) if was_used && again.is_some() => {
            // The server closed the idle connection first; nothing was sent.
            let Ok(link) = Link::connect(choice.addr).await else {
                flight.observe(Observation::Unreachable);
                return Ended::NotRun(NotRun::Unreachable);
            };
            let body = again.unwrap_or_default();
            let result = exchange(shared, choice, request, body, end, link, &mut flight).await;
            finish(shared, result, flight, false, end).await
        }
        result => finish(shared, result, flight, was_used, end).await,
    }
}

async fn acquire(shared: &Shared, choice: &Choice, once: bool) -> std::io::Result<Link> {
    match shared.pool.take(&choice.id, shared.now(), once) {
        Some(link) => Ok(link),
        None => Link::connect(choice.addr).await,
    }
}

/// `Failed` is an exchange without the head of an answer.
enum Failed {
    Unsent,
    Broken(String),
}

/// Sends the request and waits for the head of the answer.
async fn exchange(
    shared: &Shared,
    choice: &Choice,
    request: &Outgoing,
    body: OutBody,
    end: Timestamp,
    mut link: Link,
    flight: &mut Flight,
) -> Result<(Response<Incoming>, Link), Failed> {
    let left = end.since(shared.now()).as_millis().max(1);
    let outgoing = outgoing(&shared.dialect, choice, request, body, left);
    let mut response = std::pin::pin!(link.sender.try_send_request(outgoing));
    let usual = shared.fleet().registry.usual(&request.service, USUAL);
    let result = match usual {
        Some(usual) => {
            let slow = usual.times(SLOW.0).as_micros() / SLOW.1;
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
            Some(_) => Err(Failed::Unsent),
            None => Err(Failed::Broken(e.into_error().to_string())),
        },
    }
}

fn outgoing(
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
            log::error!(target: "requests", server = choice.id.as_str(); "the id cannot be a header: {e}");
        }
    }
    outgoing
}

/// Judges the head of an answer and takes its body.
async fn finish(
    shared: &Arc<Shared>,
    result: Result<(Response<Incoming>, Link), Failed>,
    mut flight: Flight,
    was_used: bool,
    end: Timestamp,
) -> Ended {
    let (response, mut link) = match result {
        Ok(pair) => pair,
        Err(Failed::Unsent) => return Ended::NotRun(NotRun::Unsent),
        Err(Failed::Broken(what)) => {
            // A reused connection may have been closed while the request was on its way, which says nothing about
            // the server.
            if was_used {
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
        let is_elsewhere = head.status == StatusCode::MISDIRECTED_REQUEST;
        return not_run(flight, is_elsewhere, body, link).await;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(flight, true, body, link).await;
    }
    let is_own = head
        .headers
        .get(&dialect.attempt)
        .is_some_and(|id| id.as_bytes() == flight.attempt().as_bytes());
    let is_signed = head.headers.contains_key(&dialect.signature);
    if !is_own || (head.status.is_success() && !is_signed) {
        flight.observe(Observation::Lost);
        shared.pool.doubt(shared.now());
        return Ended::Lost(format!("the answer {} is not to this request", head.status.as_u16()));
    }
    link.set_idle(head.headers.get("keep-alive").and_then(|v| stated_idle(v.to_str().ok()?)));
    let closes =
        head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let body = match collect(body).await {
        Ok(Collected::Whole(bytes)) => {
            if !closes {
                flight.give_back(link);
            }
            AnswerBody::Whole(bytes)
        }
        Ok(Collected::Part(first, rest)) => {
            let status = head.status;
            let end = Box::pin(tokio::time::sleep(duration(end.since(shared.now()))));
            let body = Prefixed { first: Some(first), rest: Some(rest) };
            let passing = Passing { body, end, flight, link: Some(link) };
            let answer = Answer {
                status,
                headers: head.headers,
                body: AnswerBody::Passing(Box::new(passing)),
            };
            return judged(status, answer);
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
    judged(head.status, Answer { status: head.status, headers: head.headers, body })
}

/// Sorts an answer. Refusals that are not marked as "not run" count as errors: the request may have run.
fn judged(status: StatusCode, answer: Answer) -> Ended {
    let is_refusal = matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT);
    if status.is_server_error() || is_refusal {
        Ended::ServerError(answer)
    } else {
        Ended::Answer(answer)
    }
}

async fn not_run(mut flight: Flight, is_elsewhere: bool, body: Incoming, link: Link) -> Ended {
    if is_elsewhere {
        flight.displaced();
        return Ended::NotRun(NotRun::Misdirected);
    }
    flight.shed();
    if let Ok(Collected::Whole(_)) = collect(body).await {
        flight.give_back(link);
    }
    Ended::NotRun(NotRun::Shed)
}

enum Collected {
    Whole(Bytes),
    Part(Bytes, Incoming),
}

/// Reads a body until its end, or until it is longer than what is collected.
async fn collect(mut body: Incoming) -> Result<Collected, hyper::Error> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|length| length > COLLECTED as u64) {
        return Ok(Collected::Part(Bytes::new(), body));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > COLLECTED {
            return Ok(Collected::Part(bytes.freeze(), body));
        }
    }
    Ok(Collected::Whole(bytes.freeze()))
}
