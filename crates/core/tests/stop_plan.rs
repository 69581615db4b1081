//! The times of a planned stop, and the work that may begin during it.

use redwingtrestle_core::{
    cases,
    process::stop_plan::{PlannedStop, StopPlan},
    request::deadline::Deadline,
    time::{Span, Timestamp},
};

fn plan_times((whole, ttl): (u64, u64)) -> (u64, u64) {
    let plan = StopPlan::new(Span::from_millis(whole), Span::from_millis(ttl));
    (plan.leaving.as_millis(), plan.closing.as_millis())
}

cases! {
    plan_times;
    /// Guards against an entry that closes while callers still cache the directory's response.
    short_ttl_limits_serving_time: (6_000, 1_000) => (1_000, 4_750),
    /// Guards against a stop that leaves no time for open requests.
    long_ttl_leaves_time_for_open_requests: (6_000, 30_000) => (2_000, 3_750),
}

/// Returns the end of a stop that serves new requests for this long, and a later deadline limited to it, in milliseconds
/// after its beginning.
fn limited_deadline((whole, leaving): (u64, u64)) -> (u64, u64) {
    let began = Timestamp::ZERO + Span::from_secs(100);
    let plan = StopPlan::with_leaving(Span::from_millis(whole), Span::from_millis(leaving));
    let end = PlannedStop { plan, began }.end();
    let deadline = Deadline::after(began, Span::from_secs(60)).limited_to(end);
    (end.since(began).as_millis(), deadline.remaining(began).as_millis())
}

cases! {
    limited_deadline;
    /// Guards against requests that outlast a stop.
    late_deadline_is_the_end: (4_000, 3_000) => (3_750, 3_750),
}

/// Returns whether a stop of 6 s accepts a request, and sends one that may take 800 ms, this many milliseconds after its
/// beginning.
fn may_begin(elapsed_ms: u64) -> (bool, bool) {
    let began = Timestamp::ZERO + Span::from_secs(100);
    let plan = StopPlan::new(Span::from_secs(6), Span::from_secs(1));
    let stop = PlannedStop { plan, began };
    let now = began + Span::from_millis(elapsed_ms);
    (stop.accepts_request(now), stop.may_send(now, Span::from_millis(800)))
}

cases! {
    may_begin;
    /// Guards against refusing callers that do not know of the stop yet.
    request_is_served_while_callers_cache_directory: 999 => (true, true),
    /// Guards against a request that is accepted late in the stop and cut off.
    request_is_refused_after_serving_time: 1_000 => (false, true),
    /// Guards against a retry that is refused although it can end in time.
    send_that_ends_in_time_may_begin: 4_950 => (false, true),
    /// Guards against a send that is cut off when the process ends.
    send_that_ends_too_late_may_not_begin: 4_951 => (false, false),
}
