//! The planned stop: directs callers to other entries, responds to every request that was read, and waits until the
//! replies are written. The reasons are in `docs/stopping.md`.

use crate::{
    clock::duration,
    shared::{Phase, Shared},
};
use redwingtrestle_core::{
    process::stop_plan::{PlannedStop, StopPlan},
    time::Span,
};
use std::sync::Arc;

/// How often a stop checks whether requests or connections are still open.
const CHECK_INTERVAL: Span = Span::from_millis(20);

/// Runs the planned stop, and returns when all requests have ended and all connections of callers are closed, or the time
/// is up. The number of open requests alone is not enough: it falls when the HTTP library takes the end of a reply, which
/// a caller on a slow link gets later.
pub async fn stop(shared: &Arc<Shared>) {
    let settings = &shared.settings;
    let ttl = Span::from_secs(settings.entries_ttl_s);
    let plan = StopPlan::new(settings.max_stop, ttl);
    log::info!(target: "process", node = settings.node.as_str(), open = shared.open_count(),
        leaving_ms = plan.leaving.as_millis(), closing_ms = plan.closing.as_millis();
        "planned stop begins");
    shared.begin_stop(PlannedStop { plan, began: shared.now() });
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
