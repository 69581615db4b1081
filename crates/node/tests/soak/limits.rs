//! Checks that servers get no more requests than the limits which they name.

use super::{
    checks::{RecordedRequest, UNDISTURBED_MARGIN},
    record::{Arrival, Component, Record, SentRequest},
};
use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::{Duration, Instant},
};

/// A limit applies from this time after a node first passed on a response that names it.
const LIMIT_BOUND: Duration = Duration::from_millis(3_000);

/// A node knows a limit from this time after it passed on a response that names it.
const KNOWN_BOUND: Duration = Duration::from_millis(500);

/// Requests are counted over this time.
const WINDOW: Duration = Duration::from_millis(4_000);

/// In `WINDOW` a server may get this multiple of what its limit allows, and some more.
const EXCESS: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// A request that reached a server.
struct Reached<'a> {
    node: IpAddr,
    request: &'a SentRequest,
    arrival: &'a Arrival,
}

/// Returns a description of each limit that a server named and that the nodes exceeded.
pub fn limits_exceeded(record: &Record, requests: &[RecordedRequest]) -> Vec<String> {
    let mut servers: BTreeMap<&str, Vec<Reached<'_>>> = BTreeMap::new();
    for (_, request, arrivals) in requests {
        for arrival in arrivals.iter().filter(|arrival| !arrival.is_misdirected) {
            let reached = Reached { node: request.node, request, arrival };
            servers.entry(&arrival.server).or_default().push(reached);
        }
    }
    let mut found = Vec::new();
    for (server, mut reached) in servers {
        reached.sort_by_key(|r| r.arrival.at);
        for period in reached.chunk_by(|a, b| a.arrival.limit == b.arrival.limit) {
            let limit = period[0].arrival.limit;
            let exceeded = limit.and_then(|limit| limit_exceeded(record, period, limit));
            found.extend(exceeded.map(|violation| format!("{server}: {violation}")));
        }
    }
    found
}

/// Checks the requests that reached a server while it named one limit, in the order of their arrival.
fn limit_exceeded(record: &Record, period: &[Reached<'_>], limit: f64) -> Option<String> {
    let passed_on = |r: &Reached<'_>| Some((r.node, r.request.passed_on(r.arrival)?));
    let passed_on: Vec<(IpAddr, Instant)> = period.iter().filter_map(passed_on).collect();
    let first = passed_on.iter().map(|(_, at)| *at).min()?;
    let counts: Vec<Instant> = period
        .iter()
        .filter(|r| r.arrival.at >= first + LIMIT_BOUND && knows(record, &passed_on, r))
        .map(|r| r.arrival.at)
        .collect();
    let allowed = (EXCESS * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS) as usize;
    let count_from = |from: &Instant| {
        let window = *from..*from + WINDOW;
        counts.iter().filter(|at| window.contains(*at)).count()
    };
    let most = counts.iter().map(count_from).max()?;
    (most > allowed).then(|| {
        format!("named a limit of {limit} a second and got {most} requests in {WINDOW:?}, allowed {allowed}")
    })
}

/// Returns whether the node must have known the limit when the request arrived. It need not after a restart, or while it
/// or its link to the server was disturbed.
fn knows(record: &Record, passed_on: &[(IpAddr, Instant)], reached: &Reached<'_>) -> bool {
    let Reached { node, arrival, .. } = reached;
    let has_passed_on = passed_on.iter().any(|(from, at)| {
        from == node
            && *at + KNOWN_BOUND <= arrival.at
            && !record.was_restarted(*node, *at, arrival.at)
    });
    let components = [Component::Node(*node), Component::Server(arrival.server.clone())];
    has_passed_on && record.was_undisturbed(&components, arrival.at, arrival.at, UNDISTURBED_MARGIN)
}
