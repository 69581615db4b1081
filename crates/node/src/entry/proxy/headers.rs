//! What the headers of a request say, and which of them are passed on.

use super::EarlyRefusal;
use crate::{carriers::Forwarded, dispatch, shared::Shared};
use redwingtrestle_core::{
    codes::ResultCode,
    request::{
        deadline::Deadline,
        key::{Key, RequestKey},
    },
    time::{Span, Timestamp},
};
use redwingtrestle_wire::caller;
use reqwest::{
    header::{HeaderMap, HeaderName, HeaderValue},
    Method,
};
use rocket::{Data, Request};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

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

/// Returns the key of a request, or `None` if it has none or its route is idempotent.
pub(super) fn parse_key(
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
pub(super) async fn sent_method(
    request: &Request<'_>,
    data: &mut Data<'_>,
) -> Result<Method, EarlyRefusal> {
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

/// Returns whether and why another node forwarded the request.
pub(super) fn parse_forwarded(request: &Request<'_>) -> Forwarded {
    Forwarded::from_header(request.headers().get_one(caller::FORWARDED))
}

/// Returns the id of the request, which is made up if the caller gave none that is accepted.
pub(super) fn request_id(request: &Request<'_>) -> Arc<str> {
    let given = request.headers().get_one(caller::REQUEST_ID).unwrap_or("");
    let fits = !given.is_empty() && given.len() <= MAX_ID_BYTES;
    if fits && given.bytes().all(|b| b.is_ascii_graphic()) {
        Arc::from(given)
    } else {
        Arc::from(format!("{:016x}", rand::random::<u64>()))
    }
}

/// Returns the headers that the backend server gets.
pub(super) fn headers_to_pass_on(
    shared: &Shared,
    request: &Request<'_>,
) -> Result<HeaderMap, EarlyRefusal> {
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

pub(super) fn set_header(
    headers: &mut HeaderMap,
    name: &'static str,
    value: &str,
) -> Result<(), EarlyRefusal> {
    let value = HeaderValue::from_str(value)
        .map_err(|_| (ResultCode::BadHeader, format!("the header {name} cannot be read")))?;
    headers.insert(HeaderName::from_static(name), value);
    Ok(())
}

/// Returns the deadline that the caller sets, or that of the route.
pub(super) fn parse_deadline(
    now: Timestamp,
    request: &Request<'_>,
    default: Span,
) -> Result<Deadline, EarlyRefusal> {
    let header = request.headers().get_one(caller::DEADLINE);
    Deadline::from_header(now, header, default)
        .map_err(|code| (code, format!("the header {} is refused: {code}", caller::DEADLINE)))
}

/// Returns the attempt number that the caller declares, if any.
pub(super) fn parse_attempt(request: &Request<'_>) -> Result<Option<u32>, EarlyRefusal> {
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
pub(super) fn workspace_hash(request: &Request<'_>) -> Result<u64, EarlyRefusal> {
    let name = request.headers().get_one(caller::WORKSPACE).unwrap_or("");
    if name.len() > MAX_WORKSPACE_BYTES {
        let what = format!("the header {} has {} bytes", caller::WORKSPACE, name.len());
        return Err((ResultCode::HeaderTooLong, what));
    }
    Ok(xxh3_64(name.as_bytes()))
}
