//! The nodes that carry a service, and the way to them from the nodes that do not.
//!
//! See `docs/admission.md`, "Connections", for the rule and the alternatives.

use crate::{
    dispatch::{self, Call, Received, Reply},
    homes::{self, Run},
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

/// By how much a forwarded deadline is shortened, so that the other node's own refusal, which knows
/// whether the request ran, arrives before the forwarding entry gives up. Twice the longest one-way time
/// between data centres of a region (1 ms), with a margin for scheduling.
const MARGIN: Span = Span::from_millis(5);

/// How many carriers are tried at most. Each failed connection may take half a second of the deadline.
const MAX_TRIES: usize = 4;

/// `Carriers` is what a node knows of a service that not every member carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Carriers {
    /// Whether this node is one of them.
    pub here: bool,
    /// The entries of the others that can be reached, in the order in which to forward to them.
    pub entries: Vec<SocketAddr>,
}

/// `Forwarded` says why another entry has forwarded a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// It came from its caller.
    No,
    /// This node is the home of its key.
    ToHome,
    /// This node carries its service; its key, if any, is in the idempotency store of its home.
    ToCarrier,
}

impl Forwarded {
    /// Reads the header by which nodes mark forwarded requests.
    pub fn from_header(value: Option<&str>) -> Self {
        match value {
            None => Forwarded::No,
            Some(caller::FORWARDED_TO_CARRIER) => Forwarded::ToCarrier,
            Some(_) => Forwarded::ToHome,
        }
    }
}

/// Sends a request to another node and takes its answer, within the deadline.
pub(crate) async fn send(
    shared: &Shared,
    call: &Call,
    to: SocketAddr,
    reason: &'static str,
) -> Result<Received, (Failure, String)> {
    let left = call.deadline.remaining(shared.clock.now());
    let millis = (left - MARGIN).as_millis().max(1);
    let request = dispatch::request(shared, call, to, millis)
        .header(HeaderName::from_static(caller::FORWARDED), HeaderValue::from_static(reason));
    let exchange = async {
        let response = dispatch::send_once(request, call).await?;
        let received = dispatch::receive(response, call).await?;
        if !received.has_outcome() {
            // Another program may listen at the address of a node that is gone.
            let what = "the answer does not say whether it ran".to_string();
            return Err((Failure::ServerLost, what));
        }
        Ok(received)
    };
    let late = || Err((Failure::ServerTimeout, "no answer before the deadline".to_string()));
    let left = dispatch::time_left(shared.clock, call.deadline);
    tokio::time::timeout(left, exchange).await.unwrap_or_else(|_| late())
}

/// Forwards a request to a carrier of its service and returns what the caller gets.
///
/// `run` is the permission to run a key, whose home is then this node; it is ended with the result.
pub(crate) async fn forward(shared: &Shared, call: &Call, run: Option<Run>) -> Reply {
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
            Reply::Answer(Box::new(received.carried(shared, call, run)))
        }
        Err((code, what)) => {
            count("refused");
            if let Some(run) = run {
                run.end(homes::refused(code));
            }
            Reply::Refusal(code, what)
        }
    }
}

/// Forwards until a carrier has decided about the request, or until it may not be sent again.
async fn try_carriers(shared: &Shared, call: &Call) -> Result<Received, (ResultCode, String)> {
    let known = shared.carriers.load().get(&call.service).cloned();
    let entries = known.map(|c| c.entries.clone()).unwrap_or_default();
    let what = format!("service {}: no node that carries it can be reached", call.service);
    let mut refused = (ResultCode::NoCarrier, what);
    // The failure of a send after which the request may have run.
    let mut lost = None;
    for entry in entries.into_iter().take(MAX_TRIES) {
        if !call.body.can_send() {
            break;
        }
        if call.deadline.header_millis(shared.clock.now()).is_none() {
            let what = format!("service {}: no carrier answered in time", call.service);
            refused = (ResultCode::DeadlineUnmet, what);
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
                Some((code, what)) if is_elsewhere(code) => {
                    refused = (code, format!("carrier {entry}: {what}"));
                    continue;
                }
                // Another carrier would be asked to run what this one has judged.
                Some((code, what)) => {
                    let is_true = lost.is_none() || code.outcome() == Outcome::Unknown;
                    let code = if is_true { code } else { ResultCode::CarrierLost };
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
                let again = call.idempotent && failure != Failure::ServerTimeout;
                let gate = shared.gates.load().get(&call.service).cloned();
                if !again || !gate.is_some_and(|g| g.try_resend(shared.clock.now())) {
                    break;
                }
            }
        }
    }
    Err(lost.unwrap_or(refused))
}

/// Returns whether a carrier's refusal concerns the carrier and not the request, so that another one may
/// take it. All these codes say `not_run`.
fn is_elsewhere(code: ResultCode) -> bool {
    matches!(code, ResultCode::NoCarrier | ResultCode::NodeLeaving | ResultCode::NotReady)
}
