//! Checks that a request which crashes servers does not reach one after the other.

use super::{
    checks::{RecordedRequest, UNDISTURBED_MARGIN},
    record::{Arrival, Component, Record},
    server::CRASHING_PATH,
};
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

/// After this many servers have begun to run the request, `LATER_BOUND` applies.
const CRASHES_TO_BLOCK: usize = 3;

/// The nodes know of these servers after this time. Then the request reaches servers at most `MAX_LATER` times.
const LATER_BOUND: Duration = Duration::from_millis(3_000);
const MAX_LATER: usize = 3;

/// Returns a description of each request that went on crashing servers.
pub fn crashed_on(record: &Record, requests: &[RecordedRequest]) -> Vec<String> {
    let mut by_path: BTreeMap<&str, Vec<(IpAddr, &Arrival)>> = BTreeMap::new();
    for (_, request, arrivals) in requests {
        if request.path.starts_with(CRASHING_PATH) {
            let sent = arrivals.iter().map(|arrival| (request.node, arrival));
            by_path.entry(&request.path).or_default().extend(sent);
        }
    }
    let mut found = Vec::new();
    for (path, mut arrivals) in by_path {
        arrivals.sort_by_key(|(_, arrival)| arrival.at);
        let mut runs = arrivals.iter().filter(|(_, arrival)| arrival.was_run);
        let Some((_, third)) = runs.nth(CRASHES_TO_BLOCK - 1) else { continue };
        let bound = third.at + LATER_BOUND;
        let is_late = |(node, arrival): &&(IpAddr, &Arrival)| {
            let knows = !record.was_restarted(*node, third.at, arrival.at)
                && record.was_undisturbed(
                    &[Component::Node(*node)],
                    third.at,
                    arrival.at,
                    UNDISTURBED_MARGIN,
                );
            arrival.at > bound && knows
        };
        let late = arrivals.iter().filter(is_late).count();
        if late > MAX_LATER {
            found.push(format!("{path} reached servers {late} times after it had crashed three"));
        }
    }
    found
}
