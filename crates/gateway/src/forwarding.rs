//! Forwarding of one request: picks a backend server, sends, and retries or hedges where that is safe.

use crate::{
    authentication::Credentials,
    clock::duration,
    outgoing::{OutgoingRequest, RequestBody},
    quota_charge::QuotaCharge,
    server_send::{self, NotRunReason, ResponseBody, SendResult, ServerResponse},
    shared::{Fleet, Shared},
};
use futures_util::{future::BoxFuture, stream::FuturesUnordered, FutureExt, StreamExt};
use hyper::StatusCode;
use rand::Rng;
use redwingtrestle_core::{
    codes::ResultCode,
    process::{
        picker::{self, Choice, PickRequest},
        registration::ServerId,
    },
    time::{Span, Timestamp},
    version::routing_config::HostRoute,
};
use std::sync::Arc;

/// A request without a usable server waits for the route's target latency divided by this, and is then refused.
const SERVER_WAIT_DIVISOR: u64 = 8;

/// The pause before a request that found no server with free capacity tries to pick one again.
const PICK_RETRY_PAUSE: Span = Span::from_millis(150);

/// A request with no more than this time left is not sent, as no server could respond in time.
const MIN_TIME_LEFT: Span = Span::from_millis(20);

/// During a planned stop, no send begins that ends after the stop if it takes as long as this share of the service's
/// responses.
const STOP_QUANTILE: f64 = 0.99;

/// A hedged send starts after the time within which this share of a service's responses arrives.
const HEDGE_QUANTILE: f64 = 0.9;

/// The factor on the time of [`HEDGE_QUANTILE`], as numerator and denominator.
const HEDGE_FACTOR: (u64, u64) = (5, 4);

/// The shortest wait before a hedged send.
const MIN_HEDGE_DELAY: Span = Span::from_millis(150);

/// After a refusal, a server whose response is more likely than this to be late gets no retry, see
/// [`Choice::late_probability`].
const MAX_RETRY_LATE: f64 = 0.3;

/// The cost of a failure that can be retried, in failed requests: a retry takes time and part of the budget.
const RETRIABLE_FAILURE_COST: f64 = 0.8;

/// The share of less urgent requests that are sent without a latency bound, so that no rank starves.
const UNBOUNDED_SHARE: f64 = 0.25;

/// The smallest number of requests that one node may have in flight at a server.
const MIN_IN_FLIGHT_LIMIT: u32 = 4;

/// The assumed response size of a route without an observed response, in bytes.
const DEFAULT_RESPONSE_BYTES: f64 = 4_096.0;

/// The bytes of a request and its response beside the body of the response: heads, request body and packet headers.
const EXCHANGE_OVERHEAD_BYTES: f64 = 1_500.0;

/// The weight of the newest response in the moving average of a route's response size.
const SIZE_WEIGHT: f64 = 0.1;

/// The result of a request as its caller gets it.
#[derive(Debug)]
pub enum RequestResult {
    /// A server's response.
    Response(ServerResponse),
    /// The gateway's own refusal or failure.
    Failure(ResultCode),
}

/// A caller's request with its route, service and deadline.
#[derive(Debug)]
pub struct RoutedRequest {
    /// The state of the process.
    pub shared: Arc<Shared>,
    /// The route.
    pub route: Arc<HostRoute>,
    /// The request as it is sent to servers.
    pub outgoing: OutgoingRequest,
    /// The version of the configuration that contains the route.
    pub config_version: u64,
    /// The rank of the work, of its workspace or else of its route.
    pub rank: u8,
    /// The caller's key and workspace, if the route requires a key.
    pub credentials: Option<Credentials>,
    /// The charge to the workspace's quota, if it has one.
    pub charge: Option<QuotaCharge>,
    /// When the request arrived.
    pub started_at: Timestamp,
    /// The deadline: the end of the caller's or the route's time limit, whichever is earlier.
    pub deadline: Timestamp,
}

/// Records the sends of a request so far.
#[derive(Default)]
struct SendState {
    tried: Vec<ServerId>,
    max_response_time: Option<Span>,
    /// Sends that count towards the route's limit.
    sends: u32,
    /// Sends that reached a server or may still do so.
    arrivals: u32,
    may_have_run: bool,
    was_shed: bool,
    server_error: Option<ServerResponse>,
    last_end: String,
    last_choice: Option<Choice>,
}

impl RoutedRequest {
    /// Sends the request until it gets a response, no further server may be tried, or the deadline passes.
    pub async fn forward(self, body: RequestBody) -> RequestResult {
        self.shared.count_request(&self.outgoing.service);
        let mut state =
            SendState { max_response_time: self.max_response_time(), ..SendState::default() };
        let result = self.send_until_response(body, &mut state).await;
        self.count_outcome(&result, &state);
        self.log(&result, &state);
        result
    }

    /// Returns the longest expected response time of a server that may get this request, or `None` for no limit.
    /// Requests with a limit leave busy servers to more urgent ones.
    fn max_response_time(&self) -> Option<Span> {
        let now = self.shared.now();
        let (service, rank) = (&self.outgoing.service, self.rank);
        let mut fleet = self.shared.fleet();
        fleet.registry.record_rank(now, service, rank, self.route.target);
        let is_unbounded = fleet.rng.random::<f64>() < UNBOUNDED_SHARE;
        if is_unbounded {
            return None;
        }
        fleet.registry.max_response_time(now, service, rank)
    }

    async fn send_until_response(&self, body: RequestBody, state: &mut SendState) -> RequestResult {
        let mut running: FuturesUnordered<BoxFuture<'_, (Choice, SendResult)>> =
            FuturesUnordered::new();
        let mut body = Some(body);
        let mut retry_body = body.as_ref().and_then(RequestBody::buffered_copy);
        let hedge_timer = tokio::time::sleep(self.hedge_delay());
        let deadline = tokio::time::sleep(duration(self.deadline.since(self.shared.now())));
        tokio::pin!(hedge_timer, deadline);
        let mut is_hedged = self.outgoing.at_most_once || retry_body.is_none();
        let mut needs_send = true;
        loop {
            if needs_send {
                needs_send = false;
                let choice = self.pick_or_wait(state, running.is_empty()).await;
                match choice.filter(|choice| self.may_send_to(choice, state)) {
                    Some(choice) => {
                        let Some(next) = body.take().or_else(|| retry_body.take()) else {
                            return self.final_result(state);
                        };
                        retry_body = next.buffered_copy();
                        let is_repeat = state.tried.contains(&choice.id);
                        state.tried.push(choice.id.clone());
                        state.sends += 1;
                        state.arrivals += 1;
                        self.update_charge(state);
                        state.last_choice = Some(choice.clone());
                        running.push(self.send(choice, next, is_repeat).boxed());
                    }
                    None if running.is_empty() => return self.final_result(state),
                    None => {}
                }
            }
            tokio::select! {
                biased;
                Some((choice, send_result)) = running.next() => {
                    match self.record_end(send_result, &choice, state) {
                        Some(result) => return result,
                        None if self.may_send_again(state) => needs_send = true,
                        None if running.is_empty() => return self.final_result(state),
                        None => {}
                    }
                }
                () = &mut deadline => {
                    state.may_have_run |= !running.is_empty();
                    return self.deadline_result(state);
                }
                () = &mut hedge_timer, if !is_hedged => {
                    is_hedged = true;
                    needs_send = self.may_send_again(state);
                }
            }
        }
    }

    async fn send(
        &self,
        choice: Choice,
        body: RequestBody,
        is_repeat: bool,
    ) -> (Choice, SendResult) {
        let RoutedRequest { shared, outgoing, deadline, .. } = self;
        let sent = server_send::send(shared, &choice, outgoing, body, *deadline, is_repeat).await;
        (choice, sent)
    }

    /// Returns how long to wait for the first server before a hedged send.
    fn hedge_delay(&self) -> std::time::Duration {
        let latency =
            self.shared.fleet().registry.latency_quantile(&self.outgoing.service, HEDGE_QUANTILE);
        let wait = match latency {
            Some(latency) => {
                Span::from_micros(latency.times(HEDGE_FACTOR.0).as_micros() / HEDGE_FACTOR.1)
            }
            None => Span::from_micros(self.route.target.as_micros() / 2),
        };
        duration(wait.max(MIN_HEDGE_DELAY))
    }

    /// Counts a send to an unreachable server as an unserved request, even if a retry then serves the caller. Requests
    /// already in flight at such a server fail only seconds later, so this is the first sign of the fault.
    fn count_unreachable_server(&self, choice: &Choice) {
        if !choice.is_trial {
            let now = self.shared.now();
            self.shared.fleet().registry.record_outcome(now, &self.outgoing.service, false);
        }
    }

    /// Records the end of a send, and returns the caller's result if no further send is needed.
    fn record_end(
        &self,
        send_result: SendResult,
        choice: &Choice,
        state: &mut SendState,
    ) -> Option<RequestResult> {
        let service = self.outgoing.service.as_str().to_string();
        let label: &'static str = match &send_result {
            SendResult::Response(_) => "answer",
            SendResult::ServerError(_) => "server_error",
            SendResult::NotRun(why) => (*why).into(),
            SendResult::Lost(_) => "lost",
        };
        metrics::counter!("redwing_gateway_sends_total", "service" => service, "end" => label)
            .increment(1);
        log::debug!(target: "requests", attempt = &*self.outgoing.attempt, server = choice.id.as_str(),
            end = label; "a send to a server ended");
        match send_result {
            SendResult::Response(response) => {
                self.update_response_size(&response);
                // A streamed one may still break off, and counts when it is complete.
                if matches!(response.body, ResponseBody::Whole(_)) {
                    let (now, fingerprint) = (self.shared.now(), self.outgoing.fingerprint);
                    self.shared.fleet().crash_records.record_served(now, fingerprint);
                }
                state.last_end = label.into();
                return Some(RequestResult::Response(response));
            }
            SendResult::ServerError(response) => {
                state.may_have_run = true;
                state.last_end = format!("{label} {}", response.status.as_u16());
                state.server_error = Some(response);
            }
            SendResult::NotRun(why) => {
                state.was_shed = why == NotRunReason::Shed;
                if why == NotRunReason::Unreachable {
                    self.count_unreachable_server(choice);
                }
                if matches!(
                    why,
                    NotRunReason::Unreachable
                        | NotRunReason::Unsent
                        | NotRunReason::Left
                        | NotRunReason::CallerLeft
                ) {
                    state.arrivals -= 1;
                    self.update_charge(state);
                }
                // Of the sends that did not run, only a refusal by the server counts towards the route's limit.
                if why != NotRunReason::Shed {
                    state.sends -= 1;
                }
                state.last_end = label.into();
            }
            SendResult::Lost(what) => {
                state.may_have_run = true;
                state.last_end = what;
            }
        }
        None
    }

    /// Records for the quota whether any send so far may have reached a server.
    fn update_charge(&self, state: &SendState) {
        if let Some(charge) = &self.charge {
            charge.set_arrived(state.arrivals > 0);
        }
    }

    /// Returns whether another send is safe, within the route's limit, in time and for a caller that still waits.
    fn may_send_again(&self, state: &SendState) -> bool {
        let is_safe = !(state.may_have_run && self.outgoing.at_most_once);
        is_safe
            && !self.outgoing.caller.has_left()
            && state.sends < self.route.attempts
            && self.deadline.since(self.shared.now()) > MIN_TIME_LEFT
    }

    /// Returns whether to send to the chosen server. After a send that reached any server, also one that no longer has
    /// its address, another one must get a token of the retry budget.
    ///
    /// While a whole service is full, a request that one server refused would be refused by the next as well, and the
    /// retry would only use up the budget.
    fn may_send_to(&self, choice: &Choice, state: &SendState) -> bool {
        if state.arrivals == 0 {
            return true;
        }
        let is_full = state.was_shed && choice.late_probability > MAX_RETRY_LATE;
        !is_full && self.shared.try_retry(&self.outgoing.service)
    }

    /// Picks a server. With `may_wait`, waits a short time for one to become usable.
    async fn pick_or_wait(&self, state: &SendState, may_wait: bool) -> Option<Choice> {
        let max_wait = Span::from_micros(self.route.target.as_micros() / SERVER_WAIT_DIVISOR);
        let until = tokio::time::Instant::now() + duration(max_wait);
        let mut has_paused = false;
        loop {
            let changed = self.shared.changed.notified();
            if self.deadline.since(self.shared.now()) <= MIN_TIME_LEFT || !self.ends_before_stop() {
                return None;
            }
            if self.outgoing.caller.has_left() {
                return None;
            }
            let is_last = self.outgoing.at_most_once || state.sends + 1 >= self.route.attempts;
            let failure_loss = if is_last { 1.0 } else { RETRIABLE_FAILURE_COST };
            if self.is_blocked() || self.is_revoked() {
                return None;
            }
            if let Some(choice) = self.pick(&state.tried, failure_loss, state.max_response_time) {
                return Some(choice);
            }
            let left = until.saturating_duration_since(tokio::time::Instant::now());
            if self.all_servers_pause() || self.limits_outlast(state, left) {
                return None;
            }
            // After the pause, a server that refused the request may be tried again.
            if state.was_shed && has_paused {
                return self.pick(&[], failure_loss, state.max_response_time);
            }
            if !may_wait || tokio::time::Instant::now() >= until {
                return None;
            }
            has_paused = true;
            let next_try = tokio::time::Instant::now() + duration(PICK_RETRY_PAUSE);
            tokio::select! {
                () = changed => {}
                () = self.outgoing.caller.left() => {}
                () = tokio::time::sleep_until(next_try.min(until)) => {}
            }
        }
    }

    /// Returns whether a send that begins now is expected to end before a planned stop does.
    fn ends_before_stop(&self) -> bool {
        let Some(stop) = self.shared.planned_stop() else { return true };
        let service = &self.outgoing.service;
        let latency = self.shared.fleet().registry.latency_quantile(service, STOP_QUANTILE);
        stop.may_send(self.shared.now(), latency.unwrap_or(self.route.target))
    }

    fn pick(
        &self,
        tried: &[ServerId],
        failure_loss: f64,
        max_response_time: Option<Span>,
    ) -> Option<Choice> {
        let shared = &self.shared;
        let now = shared.now();
        let routing_config = shared.routing_config.load();
        let service = &self.outgoing.service;
        let connections =
            routing_config.as_ref()?.service(service).map_or(u32::MAX, |s| s.connections);
        let mut fleet = shared.fleet();
        let nodes = fleet.peers.node_counts(now);
        let Fleet { registry, rng, response_sizes, .. } = &mut *fleet;
        let response_bytes =
            response_sizes.get(&self.route.name).copied().unwrap_or(DEFAULT_RESPONSE_BYTES);
        let pick_request = PickRequest {
            service,
            // After the deadline a response is worth nothing, so it is late at the latest then.
            target: self.route.target.min(self.deadline.since(now)),
            zone: &shared.data_centre,
            failure_loss,
            bytes: response_bytes + EXCHANGE_OVERHEAD_BYTES,
            tried,
            max_in_flight: nodes.part_of(connections).max(MIN_IN_FLIGHT_LIMIT),
            max_response_time,
        };
        picker::pick(&shared.picker_options, registry, now, &pick_request, rng)
    }

    fn update_response_size(&self, response: &ServerResponse) {
        let ResponseBody::Whole(bytes) = &response.body else { return };
        let mut fleet = self.shared.fleet();
        let size =
            fleet.response_sizes.entry(self.route.name.clone()).or_insert(DEFAULT_RESPONSE_BYTES);
        *size += SIZE_WEIGHT * (bytes.len() as f64 - *size);
    }

    /// Returns the caller's result when no further send is possible.
    fn final_result(&self, state: &mut SendState) -> RequestResult {
        if let Some(response) = state.server_error.take() {
            return final_error(response);
        }
        if !state.may_have_run && self.outgoing.caller.has_left() {
            return RequestResult::Failure(ResultCode::CallerLeft);
        }
        if !state.may_have_run && self.is_revoked() {
            return RequestResult::Failure(ResultCode::UnknownKey);
        }
        if !state.may_have_run && self.is_blocked() {
            return RequestResult::Failure(ResultCode::CrashesServers);
        }
        RequestResult::Failure(match (state.may_have_run, state.was_shed, state.tried.is_empty()) {
            (true, _, _) => ResultCode::ServerLost,
            (false, true, _) => ResultCode::Shed,
            (false, false, _) if !self.ends_before_stop() => ResultCode::NodeLeaving,
            (false, false, false) => ResultCode::ConnectFailed,
            (false, false, true) if self.has_servers() => ResultCode::QueueFull,
            (false, false, true) => ResultCode::NoServer,
        })
    }

    /// Returns whether the caller's key was revoked while the request waited, so that no further send may begin.
    fn is_revoked(&self) -> bool {
        let Some(credentials) = &self.credentials else { return false };
        let routing_config = self.shared.routing_config.load();
        routing_config.as_ref().is_some_and(|config| {
            config.version() != self.config_version && !credentials.hold(config)
        })
    }

    /// Returns whether servers ended one after the other while they ran this request. Nodes that do not know that yet are
    /// told again.
    fn is_blocked(&self) -> bool {
        let now = self.shared.now();
        let fingerprint = self.outgoing.fingerprint;
        let crash_records = &mut self.shared.fleet().crash_records;
        let is_blocked = crash_records.block_left(now, fingerprint).is_some();
        if is_blocked {
            crash_records.repeat(now, fingerprint);
        }
        is_blocked
    }

    /// Returns whether no server of the service accepts work for a while, so that waiting for one is in vain.
    fn all_servers_pause(&self) -> bool {
        let now = self.shared.now();
        self.shared.fleet().registry.pause_left(now, &self.outgoing.service).is_some()
    }

    /// Returns whether the limits of all servers forbid a request for longer than `time`, so that waiting is in vain.
    fn limits_outlast(&self, state: &SendState, time: std::time::Duration) -> bool {
        let now = self.shared.now();
        let is_urgent = state.max_response_time.is_none();
        let fleet = self.shared.fleet();
        let wait = fleet.registry.limit_wait(now, &self.outgoing.service, is_urgent);
        wait.is_some_and(|wait| duration(wait) > time)
    }

    /// Returns whether the service has any usable server, even if none can take this request.
    fn has_servers(&self) -> bool {
        let now = self.shared.now();
        !self.shared.fleet().registry.usable(now, &self.outgoing.service).is_empty()
    }

    /// Returns the caller's result when the deadline has passed.
    fn deadline_result(&self, state: &mut SendState) -> RequestResult {
        if let Some(response) = state.server_error.take() {
            return final_error(response);
        }
        RequestResult::Failure(if state.may_have_run {
            ResultCode::ServerTimeout
        } else {
            ResultCode::DeadlineUnmet
        })
    }

    /// Counts the end of the request in the outcomes of its service.
    ///
    /// A failure at a server that was tried only for the floor is not counted: a high share of unserved requests causes
    /// such trials, so counting their failures would cause further trials. Nor is a request whose caller left.
    fn count_outcome(&self, result: &RequestResult, state: &SendState) {
        if matches!(result, RequestResult::Failure(ResultCode::CallerLeft)) {
            return;
        }
        let is_served = matches!(result, RequestResult::Response(response) if !response.status.is_server_error());
        let was_trial = state.last_choice.as_ref().is_some_and(|choice| choice.is_trial);
        if is_served || !was_trial {
            let now = self.shared.now();
            self.shared.fleet().registry.record_outcome(now, &self.outgoing.service, is_served);
        }
    }

    fn log(&self, result: &RequestResult, state: &SendState) {
        let took = self.shared.now().since(self.started_at);
        let (result, status) = match result {
            RequestResult::Response(response) => ("answered".to_string(), response.status.as_u16()),
            RequestResult::Failure(code) => (code.to_string(), code.status()),
        };
        let service = self.outgoing.service.as_str();
        metrics::counter!("redwing_gateway_requests_total", "service" => service.to_string(),
            "result" => result.clone())
        .increment(1);
        metrics::histogram!("redwing_gateway_request_seconds", "service" => service.to_string())
            .record(took.as_secs_f64());
        let servers: Vec<&str> = state.tried.iter().map(ServerId::as_str).collect();
        // The last fields explain the last choice of a server: its health estimate, the estimate's age, its load, and the
        // bound that more urgent requests set on the response time.
        let choice = state.last_choice.as_ref();
        log::info!(target: "requests", attempt = &*self.outgoing.attempt, route = &*self.route.name, service,
            version = self.config_version, fingerprint:% = self.outgoing.fingerprint, servers = servers.join(","), sends = state.sends, status,
            ms = took.as_millis(), last = state.last_end.as_str(),
            failing = choice.map(|c| (c.failure_probability * 100.0) as u64), age_ms = choice.map(|c| c.age.as_millis()),
            trial = choice.map(|c| c.is_trial), load = choice.map(|c| c.load), late = choice.map(|c| (c.late_probability * 100.0) as u64),
            among = choice.map(|c| c.candidates), limit = choice.and_then(|c| c.limit), rank = self.rank,
            workspace = self.credentials.as_ref().map(|c| c.workspace.name.as_str()),
            target_ms = self.route.target.as_millis(), limit_ms = state.max_response_time.map(Span::as_millis);
            "{result}");
    }
}

/// Returns a server's error for the caller. A status by which callers conclude that the request did not run is
/// replaced, as the server has not marked the response as a refusal.
fn final_error(response: ServerResponse) -> RequestResult {
    let not_run_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if not_run_statuses.contains(&response.status) {
        return RequestResult::Failure(ResultCode::ServerLost);
    }
    RequestResult::Response(response)
}
