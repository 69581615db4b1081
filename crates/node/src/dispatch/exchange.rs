//! One send of a request and the receipt of its response.

use super::{
    call::{Call, CallBody},
    response::{check_length, ReceivedBody, ReceivedResponse},
};
use crate::{clock::Clock, control::Event, shared::Shared};
use bytes::{Bytes, BytesMut};
use redwingtrestle_core::{
    ids::ServerAddr,
    process::response_proof::{Connection, Echo},
    request::{deadline::Deadline, retry::Failure},
};
use redwingtrestle_gateway::{reply::strip_hop_by_hop_headers, server_send::is_final};
use redwingtrestle_wire::caller;
use reqwest::{
    header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, EXPECT},
    Method,
};
use std::{net::SocketAddr, time::Duration};

/// Responses of known length up to this size are buffered before they are passed on, so that the response to
/// a keyed request can be stored and replayed.
pub const MAX_STORED_RESPONSE_BYTES: u64 = 64 * 1024;

/// Responses of unknown length are buffered up to this size and fail beyond it.
///
/// They cannot be streamed, because Rocket ends a broken response in the same way as a complete one
/// (docs/design.md, section 3.1).
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// Sends the request to one server and receives the response, within the deadline.
pub(super) async fn exchange(
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
        check_status(&response).inspect_err(|_| {
            // The HTTP client may keep the connection, which only the way of a distrusted server leaves unused.
            shared.response_proof().distrust(shared.clock.now(), server);
        })?;
        check_echo(shared, server, connection, response.headers(), &id)?;
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

/// Checks that the status of a response is that of a final one.
pub(crate) fn check_status(response: &reqwest::Response) -> Result<(), (Failure, String)> {
    let status = response.status();
    match is_final(status) {
        true => Ok(()),
        false => Err((
            Failure::ServerLost,
            format!("status {} is not that of a final response", status.as_u16()),
        )),
    }
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
