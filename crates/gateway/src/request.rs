//! Handling of one caller's request: finds its route, service and deadline, forwards it, and builds the reply.

use crate::{
    authentication::{authenticate, replace_key, Credentials},
    caller::{CallerGuard, CallerWatch},
    clock::duration,
    connection_state::BusyGuard,
    forwarding::{RequestResult, RoutedRequest},
    outgoing::{self, OutgoingRequest, RequestBody},
    quota_charge::QuotaCharge,
    reply::{self, ReplyBody},
    server_send::{ResponseBody, ServerResponse},
    shared::Shared,
};
use hyper::{
    body::Incoming,
    header::{HeaderMap, CONTENT_LENGTH, EXPECT, HOST},
    Method, Request, Response, Uri,
};
use rand::Rng;
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::ServiceName,
    process::{fingerprint::Fingerprint, server_pause},
    time::{Span, Timestamp},
    version::routing_config::{HostRoute, RepeatPolicy, RoutingConfig},
};
use std::sync::Arc;

/// The `Retry-After` of a refusal, unless no server of the service accepts work for longer.
const RETRY_AFTER: Span = Span::from_millis(500);

/// How long a request waits for the first configuration of a process. When all nodes restart together, callers connect
/// before the store has responded, and no other entry could serve them.
const CONFIG_WAIT: Span = Span::from_millis(250);

/// Returns the id of the caller's attempt, which is empty if the request has none.
pub(crate) fn attempt(shared: &Shared, headers: &HeaderMap) -> Arc<str> {
    let id = headers.get(&shared.header_names.attempt);
    id.and_then(|id| id.to_str().ok()).unwrap_or_default().into()
}

/// Returns the host that a request names.
pub(crate) fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let named = || headers.get(HOST)?.to_str().ok();
    uri.host().or_else(named).unwrap_or_default()
}

/// Serves one request of a caller. Its body is `None` if it has none.
///
/// Its time limit counts from `started_at`, when it arrived. A request that was started ahead of its turn keeps the
/// configuration that allowed this, and has no `busy` guard, as its connection serves an earlier request.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Option<Incoming>>,
    attempt: Arc<str>,
    started_at: Timestamp,
    routing_config: Option<Arc<RoutingConfig>>,
    busy: Option<&BusyGuard>,
) -> Response<ReplyBody> {
    let open_guard = shared.track_request();
    let (_caller_guard, caller) = CallerGuard::new();
    let is_head = request.method() == Method::HEAD;
    let mut target = None;
    let mut quota_wait = None;
    let prepared = prepare(&shared, request, started_at, &attempt, caller, routing_config).await;
    let result = match prepared {
        Ok((routed, body)) => {
            if let Some(busy) = busy.filter(|_| !routed.outgoing.at_most_once) {
                busy.share_turn();
            }
            target = Some((routed.outgoing.service.clone(), routed.outgoing.fingerprint));
            forward_or_detach(&shared, routed, body).await
        }
        Err(refusal) => {
            record_refusal(&shared, &attempt, &refusal);
            quota_wait = refusal.quota_wait;
            RequestResult::Failure(refusal.code)
        }
    };
    let response = match result {
        RequestResult::Response(ServerResponse { status, headers, body }) => {
            let body = match body {
                ResponseBody::Whole(bytes) => ReplyBody::from(bytes),
                ResponseBody::Streamed(streamed) => ReplyBody::from(*streamed),
            };
            reply::from_server(status, headers, body, is_head)
        }
        RequestResult::Failure(code) => {
            let may_return = matches!(code.status(), 429 | 503);
            let wait = (code.outcome() == Outcome::NotRun && may_return).then(|| match target {
                Some((service, fingerprint)) => retry_after(&shared, &service, fingerprint),
                None => quota_wait.unwrap_or(RETRY_AFTER),
            });
            reply::refusal(code, wait)
        }
    };
    response.map(|body| body.with_open_guard(open_guard))
}

/// Returns what a refused caller is told to wait. While the request is blocked, all servers of the service pause, or none
/// may get a request within the limit that it names, an earlier return is in vain.
fn retry_after(shared: &Shared, service: &ServiceName, fingerprint: Fingerprint) -> Span {
    let now = shared.now();
    let mut fleet = shared.fleet();
    if let Some(left) = fleet.crash_records.block_left(now, fingerprint) {
        return left;
    }
    let registry = &fleet.registry;
    let left =
        registry.pause_left(now, service).or_else(|| registry.limit_wait(now, service, true));
    left.map_or(RETRY_AFTER, |left| server_pause::retry_after(left, fleet.rng.random()))
}

/// A request that is refused before it has a service.
#[derive(Debug)]
struct Refusal {
    code: ResultCode,
    /// The workspace whose quota is used up.
    workspace: Option<Arc<str>>,
    /// How long the caller should wait, if a quota is used up.
    quota_wait: Option<Span>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Refusal { code, workspace: None, quota_wait: None }
    }
}

/// Logs and counts the refusal of a request.
fn record_refusal(shared: &Shared, attempt: &str, refusal: &Refusal) {
    let code = refusal.code;
    log::info!(target: "requests", attempt, code = code.number(), workspace = refusal.workspace.as_deref(),
        version = shared.config_version();
        "request refused before it was sent to a server: {code}");
    metrics::counter!("redwing_gateway_refusals_total", "code" => code.to_string()).increment(1);
}

/// Charges the request to the quota of its workspace.
///
/// # Errors
///
/// [`ResultCode::QuotaExceeded`] with the time to wait, if the quota is used up.
fn charge(
    shared: &Arc<Shared>,
    credentials: Option<&Credentials>,
) -> Result<Option<QuotaCharge>, Refusal> {
    let Some(workspace) = credentials.map(|c| &c.workspace).filter(|w| w.quota.is_some()) else {
        return Ok(None);
    };
    shared.charge_quota(&workspace.name).map_err(|wait| {
        let draw = shared.fleet().rng.random();
        Refusal {
            code: ResultCode::QuotaExceeded,
            workspace: Some(workspace.name.0.clone()),
            quota_wait: Some(server_pause::retry_after(wait, draw)),
        }
    })
}

/// Determines the route, service and deadline of a request, and reads its body.
async fn prepare(
    shared: &Arc<Shared>,
    request: Request<Option<Incoming>>,
    started_at: Timestamp,
    attempt: &Arc<str>,
    caller: CallerWatch,
    routing_config: Option<Arc<RoutingConfig>>,
) -> Result<(RoutedRequest, RequestBody), Refusal> {
    let routing_config = match routing_config {
        Some(known) => known,
        None => wait_for_configuration(shared).await.ok_or(ResultCode::NotReady)?,
    };
    let (mut head, body) = request.into_parts();
    let host = host(&head.uri, &head.headers);
    let route = find_route(shared, &routing_config, host, head.uri.path())?;
    let credentials = authenticate(shared, shared.now(), &routing_config, &route, &head.headers)?;
    let draw = shared.fleet().rng.random();
    let service = route.service(draw).cloned().ok_or(ResultCode::NoServer)?;
    let charge = charge(shared, credentials.as_ref())
        .inspect_err(|_| shared.fleet().registry.record_outcome(shared.now(), &service, false))?;
    let time_limit = time_limit(shared, &route, &head.headers);
    let deadline = started_at + time_limit;
    if shared.now() >= deadline {
        return Err(ResultCode::DeadlineUnmet.into());
    }
    let limit = routing_config.limits().body;
    let body = match body {
        Some(body) => {
            outgoing::read(body, limit, duration(time_limit), &shared.request_memory).await?
        }
        None => RequestBody::default(),
    };
    if shared.planned_stop().is_some_and(|stop| !stop.accepts_request(shared.now())) {
        return Err(ResultCode::NodeLeaving.into());
    }
    let fingerprint = outgoing::fingerprint(host, &head, &body);
    replace_headers(shared, &mut head.headers, &routing_config, credentials.as_ref());
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().map_err(|_| ResultCode::BadRequest)?;
    let at_most_once = route.repeat == RepeatPolicy::Once;
    let outgoing = OutgoingRequest {
        method: head.method,
        uri,
        headers: head.headers,
        attempt: attempt.clone(),
        service,
        at_most_once,
        fingerprint,
        caller,
    };
    let rank = credentials.as_ref().and_then(|c| c.workspace.priority).unwrap_or(route.priority);
    let routed = RoutedRequest {
        shared: shared.clone(),
        config_version: routing_config.version(),
        rank,
        credentials,
        charge,
        outgoing,
        started_at,
        deadline,
        route,
    };
    Ok((routed, body))
}

/// Finds the route of a request.
///
/// # Errors
///
/// [`ResultCode::NoRoute`] if there is none, and [`ResultCode::NotReady`] if this node cannot know whether there is.
fn find_route(
    shared: &Shared,
    routing_config: &RoutingConfig,
    host: &str,
    path: &str,
) -> Result<Arc<HostRoute>, ResultCode> {
    routing_config.find(host, path).ok_or_else(|| {
        let is_outdated = shared.has_outdated_config(shared.now());
        if is_outdated {
            ResultCode::NotReady
        } else {
            ResultCode::NoRoute
        }
    })
}

/// Returns the time limit of a request: the one that its caller states, and at most the route's.
fn time_limit(shared: &Shared, route: &HostRoute, headers: &HeaderMap) -> Span {
    let stated = headers.get(&shared.header_names.deadline);
    let stated_ms = stated.and_then(|value| value.to_str().ok()?.parse().ok());
    stated_ms.map_or(route.timeout, |ms| Span::from_millis(ms).min(route.timeout))
}

/// Turns the headers of a caller's request into those that a server gets.
fn replace_headers(
    shared: &Shared,
    headers: &mut HeaderMap,
    routing_config: &RoutingConfig,
    credentials: Option<&Credentials>,
) {
    reply::strip_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    if routing_config.has_workspaces() {
        replace_key(headers, &shared.header_names, credentials);
    }
}

/// Returns the configuration in force. Right after the start of the process, waits a short time for it.
async fn wait_for_configuration(shared: &Shared) -> Option<Arc<RoutingConfig>> {
    let until = tokio::time::Instant::now() + duration(CONFIG_WAIT);
    loop {
        let changed = shared.changed.notified();
        if let Some(routing_config) = shared.routing_config.load_full() {
            return Some(routing_config);
        }
        tokio::time::timeout_at(until, changed).await.ok()?;
    }
}

/// Forwards a request. The send of one that must run at most once continues after its caller has disconnected, because
/// cancelling it would leave its effect unknown; no further send begins then. Any other request is cancelled with its
/// caller's connection.
async fn forward_or_detach(
    shared: &Arc<Shared>,
    routed: RoutedRequest,
    body: RequestBody,
) -> RequestResult {
    if !routed.outgoing.at_most_once {
        return routed.forward(body).await;
    }
    let open_guard = shared.track_request();
    let task = tokio::spawn(async move {
        let result = routed.forward(body).await;
        drop(open_guard);
        result
    });
    task.await.unwrap_or_else(|e| {
        log::error!(target: "requests",
            "the task of a request ended without a result, its caller gets an error: {e}");
        RequestResult::Failure(ResultCode::ServerLost)
    })
}
