//! The planned stop of a node. See `docs/stopping.md`.

use crate::{
    control::Event,
    error::{Error, Result},
    handover,
    log_thread::Command,
    shared::Shared,
};
use redwingtrestle_core::{
    ids::NodeId,
    process::{
        node_lifecycle::{Leaving, NodeLifecycle, Serving, StopOptions, StopStep},
        stop_plan::{PlannedStop, StopPlan},
    },
    time::{Span, Timestamp},
    version::{config_state::Record, log_reader::Readiness},
};
use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};
use tokio::task::JoinHandle;

/// The time between two checks whether the next step of the stop is due.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// A node without peers continues to serve for this long after the TTL of its last entries response. It updates
/// that response every 100 ms.
const SPREAD_WITHOUT_PEERS: Span = Span::from_millis(200);

/// How long connections may stay open after the last request in flight, when no new ones are accepted.
///
/// Such a connection belongs either to a caller that reads the end of its response slowly, or to one that has
/// sent an incomplete request head. The latter may have crashed and would otherwise delay the stop forever.
const LINGER: Span = Span::from_secs(60);

/// How long a node that has never served waits for its connections to close.
const LINGER_NEVER_SERVED: Span = Span::from_secs(1);

/// How long the node waits for the record of its departure to appear in the log.
const RECORD_WAIT: Span = Span::from_secs(2);

/// The same wait after `max_stop` has passed, which is long enough to send the record.
const RECORD_WAIT_FORCED: Span = Span::from_millis(200);

/// The time between two attempts to append the record while it does not appear in the log.
const RECORD_RETRY: Span = Span::from_millis(500);

/// The parts of the entry server that the stop needs.
pub(crate) struct EntryServer<'a> {
    /// Stops the server from accepting connections.
    pub(crate) shutdown: &'a rocket::Shutdown,
    /// Returns whether the server's last connection has closed.
    pub(crate) has_ended: &'a dyn Fn() -> bool,
}

/// Runs the planned stop. When it returns, the process may exit.
pub(crate) fn run(shared: &Arc<Shared>, server: &EntryServer<'_>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::start("stop", e.to_string()))?;
    let readiness = match shared.ready.load(Ordering::SeqCst) {
        true => Readiness::Ready,
        false => Readiness::NotReady,
    };
    runtime.block_on(async {
        match NodeLifecycle::new().serve(readiness) {
            Ok(lifecycle) => run_steps(shared, server, lifecycle).await,
            Err(lifecycle) => {
                lifecycle.stop();
                shared.leaving.store(true, Ordering::SeqCst);
                shared.closed.store(true, Ordering::SeqCst);
                server.shutdown.clone().notify();
                let since = shared.clock.now();
                while shared.clock.now().since(since) < LINGER_NEVER_SERVED && !(server.has_ended)()
                {
                    tokio::time::sleep(STEP_INTERVAL).await;
                }
                record_departure(shared, RECORD_WAIT).await;
            }
        }
    });
    Ok(())
}

/// Returns the durations for this stop, which depend on the settings, the peers and the entry server.
fn stop_options(shared: &Shared, server: &EntryServer<'_>) -> StopOptions {
    let max_stop = shared.settings.max_stop;
    let mut options =
        StopOptions { entries_ttl: shared.settings.entries_ttl, max_stop, ..Default::default() };
    if has_no_peers(shared) {
        // There is no peer that could refer callers to this entry or would need to know the successor.
        (options.entry_spread, options.announce_time) = (SPREAD_WITHOUT_PEERS, Span::ZERO);
    }
    if max_stop > Span::ZERO {
        // If `max_stop` is shorter than the wait for callers, the handover still gets a quarter of it.
        let most = Span::from_micros(max_stop.as_micros() / 4 * 3);
        options.entry_spread = options.entry_spread.min(most);
        options.entries_ttl = options.entries_ttl.min(most - options.entry_spread);
    }
    if (server.has_ended)() {
        // The entry server has failed, so there are no callers to wait for.
        (options.entry_spread, options.entries_ttl) = (Span::ZERO, Span::ZERO);
    }
    options
}

fn has_no_peers(shared: &Shared) -> bool {
    shared.view.load().members.is_empty()
}

async fn run_steps(
    shared: &Arc<Shared>,
    server: &EntryServer<'_>,
    lifecycle: NodeLifecycle<Serving>,
) {
    let start = shared.clock.now();
    let options = stop_options(shared, server);
    let mut lifecycle: NodeLifecycle<Leaving> = lifecycle.signal(start, options);
    let mut handover_task: Option<JoinHandle<NodeId>> = None;
    let mut successor = None;
    let mut notified_at: Option<Timestamp> = None;
    loop {
        let now = shared.clock.now();
        if shared.planned_stop.get().is_some_and(|stop| now >= stop.end()) {
            shared.stop_end.send_replace(true);
        }
        if let Some(task) =
            handover_task.as_mut().filter(|t| t.is_finished() && successor.is_none())
        {
            successor = task.await.ok();
        }
        let is_open = notified_at.is_some_and(|at| !(server.has_ended)() && now.since(at) < LINGER);
        let in_flight = shared.in_flight() + usize::from(is_open);
        // Without peers, there is no possible successor.
        let handed_over = successor.is_some() || has_no_peers(shared);
        let Some(step) = lifecycle.tick(now, in_flight, handed_over) else {
            tokio::time::sleep(STEP_INTERVAL).await;
            continue;
        };
        let millis = now.since(start).as_millis();
        log::info!(step:? = step, millis, in_flight = shared.in_flight();
            "next step of the planned stop");
        match step {
            StopStep::WithdrawEntry => {
                if options.max_stop > Span::ZERO {
                    let leaving = options.entry_spread + options.entries_ttl;
                    let plan = StopPlan::with_leaving(options.max_stop, leaving);
                    // The step occurs once, so nothing is set before.
                    let _ = shared.planned_stop.set(PlannedStop { plan, began: start });
                }
                shared.leaving.store(true, Ordering::SeqCst);
            }
            StopStep::CloseGenerations => {
                shared.closed.store(true, Ordering::SeqCst);
                shared.local_home.close(now);
            }
            StopStep::HandOver => {
                handover_task = Some(tokio::spawn(handover::hand_over(shared.clone())));
            }
            StopStep::AnnounceHeir => match successor {
                Some(successor) => shared.events.push_over_oldest(Event::Successor(successor)),
                None => log::warn!("no node has taken over the keys, so they become unknown"),
            },
            StopStep::NotifyServer => {
                notified_at = Some(now);
                server.shutdown.clone().notify();
            }
            StopStep::Exit => break,
        }
    }
    let took = shared.clock.now().since(start);
    let is_forced = options.max_stop > Span::ZERO && took >= options.max_stop;
    // The departure is recorded last: until here, the node applies ejections, and a new leader has to wait for its
    // acknowledgements.
    record_departure(shared, if is_forced { RECORD_WAIT_FORCED } else { RECORD_WAIT }).await;
    let millis = shared.clock.now().since(start).as_millis();
    log::info!(millis, in_flight = shared.in_flight(); "planned stop has ended, the process exits");
}

/// Records in the log that this node has left, and waits for the record unless the log is unreachable.
///
/// If the record is missing, another node appends it when the VM is gone or another process runs there.
async fn record_departure(shared: &Shared, limit: Span) {
    let local = shared.id;
    let start = shared.clock.now();
    let mut next = start;
    loop {
        let now = shared.clock.now();
        let log_view = shared.log_view.load();
        let state = log_view.state.as_ref();
        let is_recorded = state.is_some_and(|s| s.members.contains_key(&local));
        // While the log is unreachable, one attempt is made in case it has just become reachable again.
        let waited = now.since(start);
        if !is_recorded || waited >= limit || !log_view.log_up && waited >= RECORD_WAIT_FORCED {
            return;
        }
        if now >= next {
            next = now + RECORD_RETRY;
            let departure = Command::Append(Record::MemberLeft { node: local });
            let _ = shared.commands.try_push(departure);
        }
        drop(log_view);
        tokio::time::sleep(STEP_INTERVAL).await;
    }
}
