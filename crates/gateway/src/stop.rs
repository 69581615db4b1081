//! The planned stop: directs callers to other entries, responds to every request that was read, and waits until the
//! replies are written. The reasons are in `docs/stopping.md`.

use crate::{
    clock::duration,
    shared::{Phase, Shared},
};
use redwingtrestle_core::time::Span;
use std::sync::Arc;

/// New requests are served for no longer than the total time of a stop divided by this. Callers keep the directory's
/// response for some time, but a request that begins too late may not end before the process is killed.
const LEAVING_DIVISOR: u64 = 3;

/// The time reserved at the end of a stop for closing connections and writing logs.
const RESERVE: Span = Span::from_millis(250);

/// How often a stop checks whether requests or connections are still open.
const CHECK_INTERVAL: Span = Span::from_millis(20);

/// Divides the time that a planned stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// How long new requests are still served.
    pub leaving: Span,
    /// How long open requests may take after that until they are cut off.
    pub closing: Span,
}

impl StopPlan {
    /// Divides the total time `max_stop`, if callers keep the directory's response for `ttl`.
    pub fn new(max_stop: Span, ttl: Span) -> Self {
        let leaving = Span::from_micros(max_stop.as_micros() / LEAVING_DIVISOR).min(ttl);
        StopPlan { leaving, closing: max_stop - leaving - RESERVE }
    }
}

/// Runs the planned stop, and returns when all requests have ended and all connections of callers are closed, or the time
/// is up. The number of open requests alone is not enough: it falls when the HTTP library takes the end of a reply, which
/// a caller on a slow link gets later.
pub async fn stop(shared: &Arc<Shared>) {
    let settings = &shared.settings;
    let ttl = Span::from_secs(settings.entries_ttl_s);
    let plan = StopPlan::new(Span::from_millis(settings.stop_ms), ttl);
    log::info!(target: "process", node = settings.node.as_str(), open = shared.open_count(),
        leaving_ms = plan.leaving.as_millis(), closing_ms = plan.closing.as_millis();
        "planned stop begins");
    shared.phase.send_replace(Phase::Leaving);
    tokio::time::sleep(duration(plan.leaving)).await;
    shared.phase.send_replace(Phase::Closing);
    let until = tokio::time::Instant::now() + duration(plan.closing);
    let is_busy = || shared.open_count() > 0 || shared.connection_count() > 0;
    while is_busy() && tokio::time::Instant::now() < until {
        tokio::time::sleep(duration(CHECK_INTERVAL)).await;
    }
    log::info!(target: "process", node = settings.node.as_str(), open = shared.open_count(),
        connections = shared.connection_count();
        "planned stop ends");
}
