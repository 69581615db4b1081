//! Checks of the documented guarantees against what callers and backend servers observed.

use super::{
    crashes::crashed_on,
    limits::limits_exceeded,
    record::{Arrival, Component, Outcome, Record, SentRequest},
    server::response_body,
};
use std::{
    collections::HashMap,
    net::IpAddr,
    time::{Duration, Instant},
};

/// A new configuration or a server's draining is in force within this time.
pub const IN_FORCE_BOUND: Duration = Duration::from_millis(2_000);

/// Guarantees with a time bound apply only if the components were undisturbed for this long before.
pub const UNDISTURBED_MARGIN: Duration = Duration::from_millis(3_000);

/// A connection may close up to this long after a request was sent that the node never read.
const UNREAD_LOSS_BOUND: Duration = Duration::from_millis(200);

/// A server may continue idempotent work for this long after its caller has disconnected.
const RUN_AFTER_DISCONNECT_BOUND: Duration = Duration::from_millis(500);

/// Tolerance for responses after the deadline, as the test shares the machine with other processes.
const LATE_TOLERANCE: Duration = Duration::from_millis(700);

/// After a node has passed on a response that says that its server leaves, later requests do not reach that server
/// from this node.
const LEAVING_BOUND: Duration = Duration::from_millis(2_000);

/// A server that asked a node for a pause may still get requests from it for this long, and then up to
/// `MAX_SENDS_IN_PAUSE` until the pause ends.
const PAUSE_BOUND: Duration = Duration::from_millis(500);
const MAX_SENDS_IN_PAUSE: usize = 2;

/// The deadline that callers declare for their requests.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// The history of the route `/moves/`: when each of its services was published.
pub type RouteHistory = Vec<(Instant, &'static str)>;

/// A server whose draining was registered at the store at this time.
#[derive(Clone, Debug)]
pub struct Draining {
    pub server: String,
    pub at: Instant,
}

/// Returns a description of each violated guarantee.
pub fn violations(
    record: &Record,
    route_history: &RouteHistory,
    drainings: &[Draining],
) -> Vec<String> {
    let mut found: Vec<String> = record
        .unsent_arrivals()
        .iter()
        .map(|(id, arrivals)| {
            format!("{id:?} reached a server, but no caller sent it: {arrivals:?}")
        })
        .collect();
    let requests = record.requests();
    found.extend(reached_after_leaving(record, &requests));
    found.extend(reached_in_pause(record, &requests));
    found.extend(limits_exceeded(record, &requests));
    found.extend(crashed_on(record, &requests));
    for (id, request, arrivals) in requests {
        let faults = [
            run_twice(&request, &arrivals),
            run_despite_refusal(&request, &arrivals),
            mismatched_response(&id, &request, &arrivals),
            modified_request(&request, &arrivals),
            wrong_service(&request, &arrivals),
            lost_connection(record, &request, &arrivals),
            late_response(record, &request),
            run_after_disconnect(record, &request, &arrivals),
            outdated_configuration(record, &request, &arrivals, route_history),
            run_while_draining(record, &request, &arrivals, drainings),
        ];
        found.extend(
            faults
                .into_iter()
                .flatten()
                .map(|violation| format!("{id} {}: {violation}", request.path)),
        );
    }
    found
}

fn run_twice(request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let count = arrivals.iter().filter(|arrival| arrival.was_run).count();
    (request.at_most_once && count > 1).then(|| format!("ran {count} times"))
}

fn run_despite_refusal(request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let Some(Outcome::Response(status, ..)) = request.end.as_ref().map(|end| &end.outcome) else {
        return None;
    };
    let is_refusal = [408, 421, 429, 503].contains(status);
    let was_run = arrivals.iter().any(|arrival| arrival.was_run);
    (request.at_most_once && is_refusal && was_run)
        .then(|| format!("was refused with {status}, but ran"))
}

fn mismatched_response(id: &str, request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let Some(Outcome::Response(status, signature, body)) =
        request.end.as_ref().map(|end| &end.outcome)
    else {
        return None;
    };
    let Some(signature) = signature else {
        return (200..300)
            .contains(status)
            .then(|| format!("got {status} without a server's signature"));
    };
    let sent = arrivals.iter().filter_map(|arrival| Some((arrival, arrival.response.as_ref()?)));
    let found = sent.into_iter().find(|(_, (_, of))| of == signature);
    let Some((arrival, (sent, _))) = found else {
        return Some(format!("got the signature {signature}, which no server sent for it"));
    };
    if sent != status {
        return Some(format!("got {status}, but the server sent {sent}"));
    }
    (*body != response_body(id, signature, arrival.service))
        .then(|| "got a body that the server did not send".into())
}

fn modified_request(request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let arrival = arrivals
        .iter()
        .find(|arrival| arrival.path != request.path || arrival.body != request.body)?;
    Some(format!("reached {} with another path or body: {}", arrival.server, arrival.path))
}

fn wrong_service(request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let allowed: &[&str] = match request.path.split('/').nth(1) {
        Some("files") => &["files"],
        Some("moves") => &["orders", "files"],
        _ => &["orders"],
    };
    let arrival =
        arrivals.iter().find(|arrival| arrival.was_run && !allowed.contains(&arrival.service))?;
    Some(format!("was run by {} of the wrong service {}", arrival.server, arrival.service))
}

fn lost_connection(record: &Record, request: &SentRequest, arrivals: &[Arrival]) -> Option<String> {
    let end = request.end.as_ref()?;
    let Outcome::Broken(what) = &end.outcome else { return None };
    let took = end.at.duration_since(request.sent);
    let must_respond = !arrivals.is_empty() || took > UNREAD_LOSS_BOUND;
    let is_undisturbed = record.was_undisturbed(
        &[Component::Node(request.node)],
        request.sent,
        end.at,
        UNDISTURBED_MARGIN,
    );
    (must_respond && is_undisturbed)
        .then(|| format!("connection broke after {took:?} and {} arrivals: {what}", arrivals.len()))
}

fn late_response(record: &Record, request: &SentRequest) -> Option<String> {
    let end = request.end.as_ref()?;
    let took = end.at.duration_since(request.sent);
    let is_over = took > DEADLINE + LATE_TOLERANCE && end.outcome != Outcome::Abandoned;
    let is_undisturbed = record.was_undisturbed(
        &[Component::Node(request.node)],
        request.sent,
        end.at,
        UNDISTURBED_MARGIN,
    );
    (is_over && is_undisturbed).then(|| format!("ended only after {took:?}"))
}

fn run_after_disconnect(
    record: &Record,
    request: &SentRequest,
    arrivals: &[Arrival],
) -> Option<String> {
    let end = request
        .end
        .as_ref()
        .filter(|end| end.outcome == Outcome::Abandoned && !request.at_most_once)?;
    let by = end.at + RUN_AFTER_DISCONNECT_BOUND;
    let arrival = arrivals
        .iter()
        .find(|arrival| arrival.was_run && arrival.ended.is_some_and(|ended| ended > by))?;
    let ended = arrival.ended?;
    let components = [Component::Node(request.node), Component::Server(arrival.server.clone())];
    record.was_undisturbed(&components, request.sent, ended, UNDISTURBED_MARGIN).then(|| {
        format!(
            "was still running {:?} after its caller disconnected",
            ended.duration_since(end.at)
        )
    })
}

fn outdated_configuration(
    record: &Record,
    request: &SentRequest,
    arrivals: &[Arrival],
    route_history: &RouteHistory,
) -> Option<String> {
    if !request.path.starts_with("/moves/") {
        return None;
    }
    let arrival = arrivals.iter().find(|arrival| arrival.was_run)?;
    let bound_start = request.sent.checked_sub(IN_FORCE_BOUND)?;
    let first = route_history.iter().rposition(|(at, _)| *at <= bound_start).unwrap_or(0);
    let allowed: Vec<&str> = route_history[first..].iter().map(|(_, service)| *service).collect();
    let is_undisturbed = record.was_undisturbed(
        &[Component::Node(request.node), Component::Store],
        bound_start,
        arrival.at,
        UNDISTURBED_MARGIN,
    );
    (is_undisturbed && !allowed.contains(&arrival.service))
        .then(|| format!("was run by {}, but only {allowed:?} were in force", arrival.service))
}

fn run_while_draining(
    record: &Record,
    request: &SentRequest,
    arrivals: &[Arrival],
    drainings: &[Draining],
) -> Option<String> {
    let is_late = |arrival: &&Arrival| {
        let Some(draining) = drainings.iter().find(|draining| draining.server == arrival.server)
        else {
            return false;
        };
        let components = [
            Component::Node(request.node),
            Component::Store,
            Component::Server(arrival.server.clone()),
        ];
        arrival.was_run
            && arrival.at > draining.at + IN_FORCE_BOUND
            && record.was_undisturbed(&components, draining.at, arrival.at, UNDISTURBED_MARGIN)
    };
    let arrival = arrivals.iter().find(is_late)?;
    Some(format!("reached {}, which was draining", arrival.server))
}

/// A request with its id and its arrivals.
pub type RecordedRequest = (String, SentRequest, Vec<Arrival>);

/// A restart or a freeze of the node since it passed on the response excuses it.
fn reached_after_leaving(record: &Record, requests: &[RecordedRequest]) -> Vec<String> {
    let mut known: HashMap<(IpAddr, &str), Instant> = HashMap::new();
    for (_, request, arrivals) in requests {
        for arrival in arrivals.iter().filter(|arrival| arrival.says_leaving) {
            let Some(passed_on) = request.passed_on(arrival) else { continue };
            let at = known.entry((request.node, &*arrival.server)).or_insert(passed_on);
            *at = passed_on.min(*at);
        }
    }
    let mut found = Vec::new();
    for (id, request, arrivals) in requests {
        // A server refuses a request for another one, whose address it has got, without running it.
        for arrival in arrivals.iter().filter(|arrival| !arrival.is_misdirected) {
            let Some(at) = known.get(&(request.node, &*arrival.server)) else { continue };
            let is_late = request.sent > *at + LEAVING_BOUND;
            let node = [Component::Node(request.node)];
            if is_late
                && !record.was_restarted(request.node, *at, arrival.at)
                && record.was_undisturbed(&node, *at, arrival.at, Duration::ZERO)
            {
                let since = request.sent.duration_since(*at);
                found.push(format!(
                    "{id} {}: reached {} although it was sent {since:?} after the node passed on that it leaves",
                    request.path, arrival.server
                ));
            }
        }
    }
    found
}

/// A restart, a freeze or a cut of the node during the pause excuses it, and so does a cut of the server, as the node may
/// not have got the response.
fn reached_in_pause(record: &Record, requests: &[RecordedRequest]) -> Vec<String> {
    let arrivals = || {
        requests.iter().flat_map(|(_, request, arrivals)| {
            arrivals.iter().map(|arrival| (request.node, arrival))
        })
    };
    let mut found = Vec::new();
    for (node, refused) in arrivals() {
        let Some(pause) = refused.pause else { continue };
        let window = refused.at + PAUSE_BOUND..refused.at + pause;
        let count = arrivals()
            .filter(|(from, a)| {
                *from == node && a.server == refused.server && window.contains(&a.at)
            })
            .count();
        let components = [Component::Node(node), Component::Server(refused.server.clone())];
        let is_excused = record.was_restarted(node, refused.at, window.end)
            || !record.was_undisturbed(&components, refused.at, window.end, Duration::ZERO);
        if count > MAX_SENDS_IN_PAUSE && !is_excused {
            found.push(format!(
                "{} got {count} requests from {node} in the pause of {pause:?} that it had asked for",
                refused.server
            ));
        }
    }
    found
}

/// Returns the served share of the requests sent after `from`, and their number, without those whose caller
/// disconnected.
pub fn served_since(record: &Record, from: Instant) -> (f64, usize) {
    let recent: Vec<SentRequest> = record
        .requests()
        .into_iter()
        .map(|(_, request, _)| request)
        .filter(|request| request.sent > from)
        .collect();
    let awaited = recent
        .iter()
        .filter(|a| a.end.as_ref().is_some_and(|e| e.outcome != Outcome::Abandoned))
        .count();
    let served = recent.iter().filter(|request| is_served(request)).count();
    (served as f64 / awaited.max(1) as f64, awaited)
}

fn is_served(request: &SentRequest) -> bool {
    let end = request.end.as_ref().map(|end| &end.outcome);
    matches!(end, Some(Outcome::Response(status, ..)) if *status < 300)
}
