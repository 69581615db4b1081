//! Forwarding from nodes that do not carry a service to nodes that do.
//!
//! See `docs/admission.md`, "Connections", for the rule and the alternatives.

use crate::{
    dispatch::{self, Call, ReceivedResponse, Reply},
    homes::{self, RunPermit},
    shared::Shared,
};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    invariant,
    invariant::Invariant,
    request::retry::Failure,
    time::Span,
};
use redwingtrestle_wire::caller;
use reqwest::header::{HeaderName, HeaderValue};
use std::net::SocketAddr;

/// A forwarded deadline is shortened by this much.
///
/// The other node knows whether the request ran, so its refusal has to arrive before the forwarding entry
/// gives up. The value covers twice the longest one-way time between data centres of a region (1 ms) and
/// delays by scheduling.
const DEADLINE_MARGIN: Span = Span::from_millis(5);

/// The highest number of carriers that are tried. Each failed connection may use half a second of the deadline.
const MAX_TRIES: usize = 4;

/// The carriers of a service that not every member carries, as one node knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Carriers {
    /// Whether this node is a carrier itself.
    pub is_local: bool,
    /// The entry addresses of the other carriers that can be reached, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
}

/// Whether and why another entry has forwarded a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// It was not forwarded but came from its caller.
    No,
    /// This node is the home of the request's key.
    ToHome,
    /// This node carries the request's service. The key, if any, is recorded at its home.
    ToCarrier,
}

impl Forwarded {
    /// Parses the header by which nodes mark forwarded requests.
    pub fn from_header(value: Option<&str>) -> Self {
        match value {
            None => Forwarded::No,
            Some(caller::FORWARDED_TO_CARRIER) => Forwarded::ToCarrier,
            Some(_) => Forwarded::ToHome,
        }
    }
}

/// Sends a request to another node and receives its response, within the deadline.
pub(crate) async fn send(
    shared: &Shared,
    call: &Call,
    to: SocketAddr,
    reason: &'static str,
) -> Result<ReceivedResponse, (Failure, String)> {
    let left = call.deadline.remaining(shared.clock.now());
    let millis = (left - DEADLINE_MARGIN).as_millis().max(1);
    let request = dispatch::build_request(&shared.client, call, to, millis, &call.id)
        .header(HeaderName::from_static(caller::FORWARDED), HeaderValue::from_static(reason));
    let exchange = async {
        let response = dispatch::send_once(request, call).await?;
        dispatch::check_status(&response)?;
        let received = dispatch::receive(response, call).await?;
        if !received.is_of_node(&call.id) {
            // The node may be gone and another program may listen at its address.
            let what = "the answer does not say whether this request ran".to_string();
            return Err((Failure::ServerLost, what));
        }
        Ok(received)
    };
    let timed_out = || Err((Failure::ServerTimeout, "no answer before the deadline".to_string()));
    let left = dispatch::time_left(shared.clock, call.deadline);
    tokio::time::timeout(left, exchange).await.unwrap_or_else(|_| timed_out())
}

/// Forwards a request to a carrier of its service and returns the reply for the caller.
///
/// `run` is the permit to run a key whose home is this node. It ends with the result.
pub(crate) async fn forward(shared: &Shared, call: &Call, run: Option<RunPermit>) -> Reply {
    let count = |result: &'static str| {
        metrics::counter!(
            "redwing_carrier_forwards_total",
            "service" => call.service.0.clone(), "result" => result
        )
        .increment(1);
    };
    match try_carriers(shared, call).await {
        Ok(received) => {
            count("answered");
            Reply::Response(Box::new(received.into_carrier_response(shared, call, run)))
        }
        Err((code, what)) => {
            count("refused");
            if let Some(run) = run {
                run.end(homes::refused_run_result(code));
            }
            Reply::Refusal(code, what)
        }
    }
}

/// Forwards the request until a carrier responds or refuses it, or until it may not be sent again.
async fn try_carriers(
    shared: &Shared,
    call: &Call,
) -> Result<ReceivedResponse, (ResultCode, String)> {
    let known = shared.carriers.load().get(&call.service).cloned();
    let entries = known.map(|c| c.entries.clone()).unwrap_or_default();
    let what = format!("service {}: no node that carries it can be reached", call.service);
    let mut refused = (ResultCode::NoCarrier, what);
    // The error of a send after which the request may have run.
    let mut lost = None;
    for entry in entries.into_iter().take(MAX_TRIES) {
        if !call.body.is_sendable() {
            break;
        }
        if call.deadline.header_millis(shared.clock.now()).is_none() {
            let what = format!("service {}: no carrier answered in time", call.service);
            refused = (ResultCode::DeadlineUnmet, what);
            break;
        }
        if !dispatch::ends_before_stop(shared, call) {
            let what = "the answer would come after the end of this node's stop".to_string();
            refused = (ResultCode::NodeLeaving, what);
            break;
        }
        invariant!(
            Invariant::AtMostOnce,
            call.idempotent || lost.is_none(),
            "request {} may have run and is forwarded again",
            call.id
        );
        let sent = send(shared, call, entry, caller::FORWARDED_TO_CARRIER).await;
        let (failure, what) = match sent {
            Ok(received) => match received.refusal() {
                None => return Ok(received),
                Some((code, what)) if concerns_carrier_only(code) => {
                    refused = (code, format!("carrier {entry}: {what}"));
                    continue;
                }
                // This refusal concerns the request itself, so no other carrier is asked.
                Some((code, what)) => {
                    let is_code_valid = lost.is_none() || code.outcome() == Outcome::Unknown;
                    let code = if is_code_valid { code } else { ResultCode::CarrierLost };
                    return Err((code, format!("carrier {entry}: {what}")));
                }
            },
            Err(failed) => failed,
        };
        let what = format!("carrier {entry}: {what}");
        match failure {
            Failure::ConnectFailed => refused = (ResultCode::NoCarrier, what),
            Failure::BodyBroken => return Err((ResultCode::BodyBroken, what)),
            _ => {
                lost = Some((ResultCode::CarrierLost, what));
                let may_forward_again = call.idempotent && failure != Failure::ServerTimeout;
                let gate = shared.gates.load().get(&call.service).cloned();
                if !may_forward_again || !gate.is_some_and(|g| g.try_retry(shared.clock.now())) {
                    break;
                }
            }
        }
    }
    Err(lost.unwrap_or(refused))
}

/// Returns whether a refusal concerns the carrier and not the request, so that another carrier may accept it.
/// All these codes have the outcome `not_run`.
fn concerns_carrier_only(code: ResultCode) -> bool {
    matches!(code, ResultCode::NoCarrier | ResultCode::NodeLeaving | ResultCode::NotReady)
}
