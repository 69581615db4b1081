//! One send of a request, and what came back.

use super::plan::LoadStream;
use redwingtrestle_core::codes::Outcome;
use redwingtrestle_wire::caller::{self, RefusalBody};
use reqwest::{Client, Method, RequestBuilder, Response};
use std::{net::SocketAddr, time::Instant};

/// Once this many bytes of a response body have been kept, the rest is read and discarded.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

/// The information in a refusal about sending the request again.
#[derive(Debug, Default)]
pub(super) struct ResendAdvice {
    pub(super) key_prefix: Option<String>,
    pub(super) retry_after_ms: Option<u64>,
}

/// The result of a single send.
pub(super) enum SendResult {
    /// A complete response was received.
    Response {
        status: u16,
        outcome: Outcome,
        code: Option<u16>,
        advice: ResendAdvice,
        id_matches: bool,
    },
    /// No connection was made.
    Unsent,
    /// The connection broke, or the response was truncated.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// One send of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SingleSend<'a> {
    pub(super) stream: &'a LoadStream,
    pub(super) workspace: u32,
    pub(super) entry: SocketAddr,
    pub(super) key: Option<&'a str>,
    pub(super) attempt: u32,
    pub(super) deadline: Instant,
    pub(super) request_id: &'a str,
}

/// Sends a request once, and reads the response to its end.
pub(super) async fn send_once(http: &Client, send: SingleSend<'_>) -> SendResult {
    let response = match build(http, send).send().await {
        Ok(response) => response,
        Err(error) => return send_error(&error),
    };
    receive(response, send.request_id).await
}

fn build(http: &Client, send: SingleSend<'_>) -> RequestBuilder {
    let SingleSend { stream, workspace, entry, key, attempt, deadline, request_id } = send;
    let left = deadline.saturating_duration_since(Instant::now());
    // `LoadPlan::check` rejects methods that cannot be parsed.
    let method: Method = stream.method.parse().unwrap_or(Method::GET);
    let mut request = http
        .request(method, format!("http://{entry}{}", stream.path))
        .timeout(left)
        .header(caller::REQUEST_ID, request_id)
        .header(caller::ATTEMPT, attempt)
        .header(caller::DEADLINE, left.as_millis().max(1) as u64);
    if let Some(key) = key {
        request = request.header(caller::IDEMPOTENCY_KEY, key);
    }
    if stream.workspaces > 0 {
        request = request.header(caller::WORKSPACE, format!("w{workspace}"));
    }
    if stream.body_bytes > 0 {
        request = request.body(vec![b'x'; stream.body_bytes]);
    }
    request
}

async fn receive(response: Response, request_id: &str) -> SendResult {
    let header = |name: &str| response.headers().get(name)?.to_str().ok().map(String::from);
    let status = response.status().as_u16();
    let outcome = header(caller::OUTCOME).and_then(|o| o.parse().ok());
    let code = header(caller::RESULT_CODE).and_then(|c| c.parse().ok());
    let id_matches = header(caller::REQUEST_ID).is_none_or(|id| id == request_id);
    let prefix = header(caller::KEY_PREFIX);
    let body = match read(response).await {
        Ok(body) => body,
        Err(error) => return send_error(&error),
    };
    let refusal: Option<RefusalBody> = code.and_then(|_: u16| serde_json::from_slice(&body).ok());
    let advice = match refusal {
        Some(refusal) => ResendAdvice {
            key_prefix: prefix.or(refusal.key_prefix),
            retry_after_ms: refusal.retry_after_ms,
        },
        None => ResendAdvice { key_prefix: prefix, retry_after_ms: None },
    };
    SendResult::Response {
        status,
        outcome: outcome.unwrap_or(Outcome::Ran),
        code,
        advice,
        id_matches,
    }
}

fn send_error(error: &reqwest::Error) -> SendResult {
    match error {
        e if e.is_connect() => SendResult::Unsent,
        e if e.is_timeout() => SendResult::TimedOut,
        _ => SendResult::Broken,
    }
}

/// Reads a response to its end. A truncated body is an error.
pub(super) async fn read(mut response: Response) -> Result<Vec<u8>, reqwest::Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() < MAX_RESPONSE {
            body.extend_from_slice(&chunk);
        }
    }
    Ok(body)
}
