//! What a server's response says about the server itself, beside the response to the request.

use crate::{header_names::HeaderNames, in_flight::InFlightSend};
use hyper::{header::RETRY_AFTER, http::response::Parts, StatusCode};
use redwingtrestle_core::process::{server_limit, server_pause};

/// Records what the head of a response says about its server.
///
/// A response of another attempt, or of another server at the address, says nothing about this one.
pub(crate) fn record(head: &Parts, header_names: &HeaderNames, in_flight: &InFlightSend) {
    let attempt = head.headers.get(&header_names.attempt);
    let is_own = attempt.is_some_and(|id| id.as_bytes() == in_flight.attempt().as_bytes());
    if !is_own || head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if head.headers.contains_key(&header_names.leaving) {
        in_flight.record_leaving();
    }
    record_limit(head, header_names, in_flight);
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let value = head.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    if let Some(pause) = value.and_then(server_pause::parse_pause) {
        in_flight.record_pause(pause);
    }
}

/// Records the limit of the server, or that it names none. A value that cannot be read says neither.
fn record_limit(head: &Parts, header_names: &HeaderNames, in_flight: &InFlightSend) {
    let Some(value) = head.headers.get(&header_names.limit) else {
        in_flight.record_limit(None);
        return;
    };
    match value.to_str().ok().and_then(server_limit::parse_limit) {
        Some(limit) => in_flight.record_limit(Some(limit)),
        None => {
            log::warn!(target: "servers", server = in_flight.server(), attempt = in_flight.attempt();
                "a server names a limit that is no number, the one known before stays: {value:?}");
        }
    }
}
