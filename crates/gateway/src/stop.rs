//! The planned stop: callers are sent elsewhere, everything that was read is answered, then the process ends.

use crate::{
    clock::duration,
    shared::{Phase, Shared},
};
use redwingtrestle_core::time::Span;
use std::sync::Arc;

/// The part of the time of a stop during which new requests are still served: callers keep the directory's answer
/// for some time, and a request that begins later may not end before the process is killed.
const LEAVING_PART: u64 = 3;

/// The time kept at the end of a stop to close connections and write logs.
const RESERVE: Span = Span::from_millis(250);

/// How often the end of the open requests is looked for.
const CHECK: Span = Span::from_millis(20);

/// How long connections get to carry the last answers away.
const FLUSH: Span = Span::from_millis(100);

/// `StopPlan` is the division of the time that a planned stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// How long requests are served as before.
    pub leaving: Span,
    /// How long open requests may take after that.
    pub closing: Span,
}

impl StopPlan {
    /// Divides `whole` for callers that keep the directory's answer for `ttl`.
    pub fn new(whole: Span, ttl: Span) -> Self {
        let leaving = Span::from_micros(whole.as_micros() / LEAVING_PART).min(ttl);
        StopPlan { leaving, closing: whole - leaving - RESERVE }
    }
}

/// Stops the process: returns when all open requests are answered or the time is up.
pub async fn stop(shared: &Arc<Shared>) {
    let settings = &shared.settings;
    let ttl = Span::from_secs(settings.entries_ttl_s);
    let plan = StopPlan::new(Span::from_millis(settings.stop_ms), ttl);
    log::info!(target: "process", node = settings.node.as_str(), open = shared.open_count(),
        leaving_ms = plan.leaving.as_millis(), closing_ms = plan.closing.as_millis(); "stopping");
    shared.phase.send_replace(Phase::Leaving);
    tokio::time::sleep(duration(plan.leaving)).await;
    shared.phase.send_replace(Phase::Closing);
    let until = tokio::time::Instant::now() + duration(plan.closing);
    while shared.open_count() > 0 && tokio::time::Instant::now() < until {
        tokio::time::sleep(duration(CHECK)).await;
    }
    tokio::time::sleep(duration(FLUSH)).await;
    log::info!(target: "process", node = settings.node.as_str(), open = shared.open_count(); "stopped");
}
