//! The record of one request, for metrics and for the burn rate of its service.

use crate::shared::{ActiveConfig, InFlightGuard, Shared};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{RankName, ServiceName},
    process::burn::CallerOutcome,
    time::{Span, Timestamp},
    version::routes::Route,
};
use std::sync::Arc;

/// Records the end of a request when it is dropped, which happens with the last byte of the response.
#[derive(Debug)]
pub(in crate::entry) struct RequestGuard {
    shared: Arc<Shared>,
    _in_flight: InFlightGuard,
    started: Timestamp,
    service: Arc<str>,
    rank: Arc<str>,
    /// The code sent to the caller, or `None` for a response of a backend server.
    code: Option<u16>,
    /// The HTTP status of the response, or `None` for a refusal by this node.
    status: Option<u16>,
    /// Whether another entry forwarded the request. If so, that entry counts it in its burn rate.
    forwarded: bool,
}

impl RequestGuard {
    /// Creates the record of a request that arrives now.
    pub(super) fn new(shared: &Arc<Shared>, in_flight: InFlightGuard, forwarded: bool) -> Self {
        RequestGuard {
            shared: shared.clone(),
            _in_flight: in_flight,
            started: shared.clock.now(),
            service: Arc::from(""),
            rank: Arc::from(""),
            code: None,
            status: None,
            forwarded,
        }
    }

    /// Returns the time at which the request arrived.
    pub(super) fn started(&self) -> Timestamp {
        self.started
    }

    /// Returns the name of the service, which is empty without a route.
    pub(super) fn service(&self) -> &str {
        &self.service
    }

    /// Records the refusal that the caller gets.
    pub(super) fn record_refusal(&mut self, code: ResultCode) {
        self.code = Some(code.number());
    }

    /// Records the response that the caller gets. It has a code if another node refused the request.
    pub(super) fn record_response(&mut self, status: u16, code: Option<u16>) {
        self.status = Some(status);
        self.code = code;
    }

    /// Records the service and rank of the request.
    pub(super) fn set_route(&mut self, active: &ActiveConfig, route: &Route) {
        let ranks = active.spec.services.get(&route.service).map(|s| &s.ranks);
        let rank = ranks.and_then(|r| r.get(usize::from(route.rank.0)));
        self.service = route.service.0.clone();
        self.rank = rank.map_or_else(|| Arc::from(""), |r| r.name.0.clone());
    }

    /// Returns how the request ended for its caller.
    fn caller_outcome(&self, latency: Span) -> CallerOutcome {
        match (self.code.and_then(ResultCode::from_number), self.status) {
            (Some(code), _) => CallerOutcome::Coded(code),
            (None, Some(status)) => CallerOutcome::Response { status, latency },
            (None, None) => CallerOutcome::CallerGone,
        }
    }

    /// Records that the response broke off before its last byte.
    pub(in crate::entry) fn record_broken(&mut self) {
        self.code = Some(ResultCode::AnswerBroken.number());
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let took = self.shared.clock.now().since(self.started);
        if !self.forwarded && !self.service.is_empty() {
            let service = ServiceName(self.service.clone());
            self.shared.record_caller_outcome(
                &service,
                &RankName(self.rank.clone()),
                self.caller_outcome(took),
            );
        }
        let took = took.as_secs_f64();
        let (service, rank) = (&self.service, &self.rank);
        let code = self.code.unwrap_or(0).to_string();
        metrics::counter!(
            "redwing_requests_total",
            "service" => service.clone(), "rank" => rank.clone(), "code" => code
        )
        .increment(1);
        metrics::histogram!(
            "redwing_request_seconds", "service" => service.clone(), "rank" => rank.clone()
        )
        .record(took);
    }
}
