//! Handles one proxied request, from its arrival to the last byte of its response.
//!
//! * `headers`, `body`: what is read of the request; `guard`: the record of its end.

mod body;
mod guard;
mod headers;

pub(super) use self::guard::RequestGuard;

use self::{
    body::{read_body, BodyReader},
    headers::{
        headers_to_pass_on, parse_attempt, parse_deadline, parse_forwarded, parse_key, request_id,
        sent_method, set_header, workspace_hash,
    },
};
use super::reply;
use crate::{
    carriers::Forwarded,
    dispatch::{self, Call, Reply},
    homes::{self, CopyDecision, KeyLocation, RunPermit},
    shared::{InFlightGuard, Shared},
};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    process::stop_plan::PlannedStop,
};
use redwingtrestle_wire::caller;
use rocket::{Data, Request, Response};
use std::sync::{atomic::Ordering, Arc};

/// The code and message of a refusal before the request was sent.
type EarlyRefusal = (ResultCode, String);

/// Handles one proxied request and returns the response for its caller.
pub(super) async fn handle<'r>(
    shared: &Arc<Shared>,
    request: &'r Request<'_>,
    data: Data<'r>,
    in_flight: InFlightGuard,
) -> Response<'r> {
    let id = request_id(request);
    let is_forwarded = parse_forwarded(request) != Forwarded::No;
    let mut guard = RequestGuard::new(shared, in_flight, is_forwarded);
    let served = serve_until_stop(shared, serve(shared, request, data, &id, &mut guard)).await;
    match served {
        Reply::Refusal(code, what) => {
            let (service, outcome) = (guard.service(), code.outcome());
            log::log!(
                if outcome == Outcome::Unknown { log::Level::Warn } else { log::Level::Info },
                request = &*id, code = code.number(), outcome:% = outcome, service = service;
                "{what}"
            );
            guard.record_refusal(code);
            reply::refusal(code, &what, &id, shared.key_prefix(), guard)
        }
        Reply::Response(response) => {
            let code = response.headers.get(caller::RESULT_CODE).and_then(|v| v.to_str().ok());
            guard.record_response(response.status, code.and_then(|c| c.parse().ok()));
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

/// Reads and checks a request. Returns the call, the declared attempt and the reader of a large body.
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
    let deadline = parse_deadline(guard.started(), request, route.deadline)?;
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
