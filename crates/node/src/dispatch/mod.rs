//! Sends one request to backend servers of its service, with retries, and receives the response.

mod call;
mod exchange;
mod response;

pub use call::{Call, CallBody, StreamedBody};
pub(crate) use exchange::{build_request, check_status, receive, send_once, time_left};
pub use exchange::{end_to_end, MAX_BUFFERED_RESPONSE_BYTES, MAX_STORED_RESPONSE_BYTES};
pub(crate) use response::ReceivedResponse;
pub use response::{Reply, ResponseBody, ServerResponse, StreamedResponse};

use crate::{
    carriers,
    gate::{Gate, GateRequest, Permit, RequestEnd},
    homes::{self, RunPermit},
    shared::Shared,
};
use exchange::exchange;
use redwingtrestle_core::{
    codes::ResultCode,
    ids::ServerAddr,
    request::{
        lifecycle::{Dispatched, Queued, Refusal, Request},
        retry::{may_retry, Failure},
    },
    time::{Span, Timestamp},
};
use response::send_end;
use std::future::Future;

/// The highest number of sends of one request.
///
/// After this many failing servers, another send would add load to a service in trouble. The retry budget
/// alone does not prevent that, because a single caller could use up all of it.
const MAX_SENDS: u32 = 4;

/// Sends a request to a backend server of its service and returns the reply for the caller.
///
/// A node that does not carry the service forwards the request to a carrier, unless the request was already
/// forwarded for that reason.
///
/// `run` is the permit to run a key. It ends with the result, or with the last byte of a streamed response.
pub async fn dispatch(shared: &Shared, call: &Call, run: Option<RunPermit>) -> Reply {
    match send(shared, call).await {
        Ok((received, sent)) => {
            Reply::Response(Box::new(received.into_response(shared, call, sent, run)))
        }
        // `no_carrier` has the outcome `not_run`, so no earlier send can have run.
        Err((refusal, _))
            if refusal.code() == ResultCode::NoCarrier && !call.forwarded_to_carrier =>
        {
            carriers::forward(shared, call, run).await
        }
        Err((refusal, what)) => {
            if let Some(run) = run {
                run.end(homes::refused_run_result(refusal.code()));
            }
            Reply::Refusal(refusal.code(), what)
        }
    }
}

type PendingSend = Option<(Request<Dispatched>, Permit)>;

/// Sends the request until a server responds, a failure allows no retry, or the retry budget is used up.
async fn send(
    shared: &Shared,
    call: &Call,
) -> Result<(ReceivedResponse, PendingSend), (Refusal, String)> {
    let request = Request::<Queued>::new(call.id.clone(), call.idempotent, call.deadline);
    let Some(gate) = shared.gates.load().get(&call.service).cloned() else {
        let what = format!("service {} has no gate", call.service);
        return Err((request.refuse(ResultCode::NoServer), what));
    };
    let (rank, workspace) = (call.rank, call.workspace);
    let deadline = call.deadline.at();
    let gate_request = GateRequest { rank, workspace, deadline, idempotent: call.idempotent };
    let clock = shared.clock;
    let queued = wait_for_admission(shared, call, gate.admit(clock.now(), gate_request)).await;
    let mut permit = match queued {
        Ok(permit) => permit,
        Err(code) => {
            return Err((request.refuse(code), format!("service {}: {code}", call.service)))
        }
    };
    let mut sent = request.dispatch(clock.now(), permit.server);
    loop {
        let (failure, what, response) = match exchange(shared, call, permit.server).await {
            Ok(received) if call.idempotent && received.is_buffered_error() => {
                (Failure::ServerError, format!("status {}", received.status), Some(received))
            }
            Ok(received) => return Ok((received, Some((sent, permit)))),
            Err((failure, what)) => (failure, what, None),
        };
        let what = format!("backend server {}: {what}", permit.server);
        if !can_retry(shared, call, &gate, failure, sent.sends()) {
            return match response {
                Some(response) => Ok((response, Some((sent, permit)))),
                None => {
                    permit.finish(clock.now(), send_end(failure));
                    Err((end_failed_request(sent, failure, None), what))
                }
            };
        }
        metrics::counter!(
            "redwing_resends_total",
            "service" => call.service.0.clone(), "failure" => failure.to_string()
        )
        .increment(1);
        let now = clock.now();
        let end = response.as_ref().map_or(send_end(failure), |r| RequestEnd::Response(r.status));
        let next = wait_for_admission(shared, call, permit.requeue(now, gate_request, end)).await;
        permit = match (next, response) {
            (Ok(permit), _) => permit,
            (Err(_), Some(response)) => return Ok((response, None)),
            (Err(code), None) => return Err((end_failed_request(sent, failure, Some(code)), what)),
        };
        sent = match retry(sent, failure, clock.now(), permit.server) {
            Ok(sent) => sent,
            Err(refusal) => return Err((refusal, what)),
        };
    }
}

/// Waits for admission until the deadline.
///
/// The deadline is checked again after admission, because the process may have been paused in between and
/// must not send expired requests.
async fn wait_for_admission(
    shared: &Shared,
    call: &Call,
    admission: impl Future<Output = Result<Permit, ResultCode>>,
) -> Result<Permit, ResultCode> {
    let left = time_left(shared.clock, call.deadline);
    let admitted = tokio::time::timeout(left, admission).await;
    let permit = match admitted.unwrap_or(Err(ResultCode::DeadlineUnmet)) {
        Ok(permit) => permit,
        // The stop has limited the deadline.
        Err(ResultCode::DeadlineUnmet) if !ends_before_stop(shared, call) => {
            return Err(ResultCode::NodeLeaving)
        }
        Err(code) => return Err(code),
    };
    match call.deadline.header_millis(shared.clock.now()) {
        Some(_) if !ends_before_stop(shared, call) => Err(ResultCode::NodeLeaving),
        Some(_) => Ok(permit),
        None => Err(ResultCode::DeadlineUnmet),
    }
}

/// Returns whether a send that begins now is expected to end before a planned stop does. It ends at its deadline at the
/// latest, and the stop limits the deadlines of requests that arrive during it. Until enough responses have arrived, the
/// target of the rank is expected.
pub(crate) fn ends_before_stop(shared: &Shared, call: &Call) -> bool {
    let Some(stop) = shared.planned_stop.get() else { return true };
    if call.deadline.at() < stop.end() {
        return true;
    }
    let usual = shared.gates.load().get(&call.service).and_then(|gate| gate.response_time());
    let expected = usual.unwrap_or_else(|| rank_target(shared, call));
    stop.may_send(shared.clock.now(), expected)
}

fn rank_target(shared: &Shared, call: &Call) -> Span {
    let active = shared.active.load();
    let service = active.as_ref().and_then(|a| a.spec.services.get(&call.service));
    let rank = service.and_then(|s| s.ranks.get(usize::from(call.rank.0)));
    rank.map_or(Span::ZERO, |r| r.target)
}

fn can_retry(shared: &Shared, call: &Call, gate: &Gate, failure: Failure, sends: u32) -> bool {
    let now = shared.clock.now();
    may_retry(failure, call.idempotent)
        && sends < MAX_SENDS
        && call.body.is_sendable()
        && call.deadline.header_millis(now).is_some()
        && gate.try_retry(now)
}

fn retry(
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
    sent.redispatch(now, server).map_err(|sent| sent.end_unknown(ResultCode::ServerLost))
}

/// Ends a request whose last send failed. `refused` is the code with which a retry was refused, if any.
fn end_failed_request(
    sent: Request<Dispatched>,
    failure: Failure,
    refused: Option<ResultCode>,
) -> Refusal {
    let code = failure.code().unwrap_or(ResultCode::ServerLost);
    match failure.proof() {
        Some(proof) => match sent.requeue(proof) {
            Ok(queued) => queued.refuse(refused.unwrap_or(code)),
            Err(sent) => sent.end_unknown(ResultCode::ServerLost),
        },
        None => sent.end_unknown(code),
    }
}
