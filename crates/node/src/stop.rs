//! The planned stop. See `docs/stopping.md`.

use crate::{
    control::Event,
    error::{Error, Result},
    handover,
    log_thread::Command,
    shared::Shared,
};
use redwingtrestle_core::{
    ids::NodeId,
    process::node_lifecycle::{Leaving, NodeLifecycle, Serving, StopOptions, StopStep},
    time::{Span, Timestamp},
    version::{config_state::Record, log_reader::Readiness},
};
use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};
use tokio::task::JoinHandle;

/// How often the stop looks whether the next step is due.
const STEP: Duration = Duration::from_millis(10);

/// How long a node without peers keeps serving beyond the ttl of its own entries answer, which it renews
/// every 100 ms.
const SPREAD_ALONE: Span = Span::from_millis(200);

/// How long connections may stay open once no request is in flight and none is accepted any more.
///
/// Those that do belong to a caller that reads the last bytes of its answer slowly, or to one that has sent
/// a part of a request's head. The second kind may have crashed and would hold the stop for ever.
const LINGER: Span = Span::from_secs(60);

/// How long a node that never served waits for its connections.
const LINGER_STARTING: Span = Span::from_secs(1);

/// How long the node waits until the log shows that it has left.
const RECORD_WAIT: Span = Span::from_secs(2);

/// The same wait once `max_stop` has passed: long enough to send the record.
const RECORD_WAIT_FORCED: Span = Span::from_millis(200);

/// How often the record is appended again while the log does not show it.
const RECORD_AGAIN: Span = Span::from_millis(500);

/// `Server` is what the stop needs of the entry server.
pub(crate) struct Server<'a> {
    /// Makes the server accept no more connections.
    pub(crate) shutdown: &'a rocket::Shutdown,
    /// Whether its last connection has closed.
    pub(crate) has_ended: &'a dyn Fn() -> bool,
}

/// Runs the planned stop and returns when the process may exit.
pub(crate) fn run(shared: &Arc<Shared>, server: &Server<'_>) -> Result<()> {
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
            Ok(lifecycle) => leave(shared, server, lifecycle).await,
            Err(lifecycle) => {
                lifecycle.stop();
                shared.leaving.store(true, Ordering::SeqCst);
                shared.closed.store(true, Ordering::SeqCst);
                server.shutdown.clone().notify();
                let since = shared.clock.now();
                while shared.clock.now().since(since) < LINGER_STARTING && !(server.has_ended)() {
                    tokio::time::sleep(STEP).await;
                }
                record(shared, RECORD_WAIT).await;
            }
        }
    });
    Ok(())
}

/// Returns the times of this stop.
fn options(shared: &Shared, server: &Server<'_>) -> StopOptions {
    let max_stop = shared.settings.max_stop;
    let mut options =
        StopOptions { entries_ttl: shared.settings.entries_ttl, max_stop, ..Default::default() };
    if is_alone(shared) {
        // No peer tells callers of this entry, and none needs to learn of a successor.
        (options.spread, options.announce) = (SPREAD_ALONE, Span::ZERO);
    }
    if max_stop > Span::ZERO {
        // A bound shorter than the wait for callers would otherwise leave no time for the handover.
        let most = Span::from_micros(max_stop.as_micros() / 4 * 3);
        options.spread = options.spread.min(most);
        options.entries_ttl = options.entries_ttl.min(most - options.spread);
    }
    if (server.has_ended)() {
        // The entry server has failed, so waiting for callers serves nobody.
        (options.spread, options.entries_ttl) = (Span::ZERO, Span::ZERO);
    }
    options
}

fn is_alone(shared: &Shared) -> bool {
    shared.view.load().members.is_empty()
}

async fn leave(shared: &Arc<Shared>, server: &Server<'_>, lifecycle: NodeLifecycle<Serving>) {
    let start = shared.clock.now();
    let options = options(shared, server);
    let mut lifecycle: NodeLifecycle<Leaving> = lifecycle.signal(start, options);
    let mut handing: Option<JoinHandle<NodeId>> = None;
    let mut successor = None;
    let mut notified: Option<Timestamp> = None;
    loop {
        let now = shared.clock.now();
        if let Some(task) = handing.as_mut().filter(|t| t.is_finished() && successor.is_none()) {
            successor = task.await.ok();
        }
        let open = notified.is_some_and(|at| !(server.has_ended)() && now.since(at) < LINGER);
        let in_flight = shared.in_flight() + usize::from(open);
        // Without peers nobody could take the idempotency store over before this process ends.
        let handed_over = successor.is_some() || is_alone(shared);
        let Some(step) = lifecycle.tick(now, in_flight, handed_over) else {
            tokio::time::sleep(STEP).await;
            continue;
        };
        let millis = now.since(start).as_millis();
        log::info!(step:? = step, millis, in_flight = shared.in_flight(); "planned stop");
        match step {
            StopStep::WithdrawEntry => shared.leaving.store(true, Ordering::SeqCst),
            StopStep::CloseGenerations => {
                shared.closed.store(true, Ordering::SeqCst);
                shared.homes.close(now);
            }
            StopStep::HandOver => {
                handing = Some(tokio::spawn(handover::hand_over(shared.clone())));
            }
            StopStep::AnnounceHeir => match successor {
                Some(successor) => shared.events.push_over_oldest(Event::Successor(successor)),
                None => log::warn!("no node has taken over the keys, which become unknown"),
            },
            StopStep::NotifyServer => {
                notified = Some(now);
                server.shutdown.clone().notify();
            }
            StopStep::Exit => break,
        }
    }
    let took = shared.clock.now().since(start);
    let forced = options.max_stop > Span::ZERO && took >= options.max_stop;
    // Only now does the node use no ejections any more, so that a new leader need not ask it.
    record(shared, if forced { RECORD_WAIT_FORCED } else { RECORD_WAIT }).await;
    let millis = shared.clock.now().since(start).as_millis();
    log::info!(millis, in_flight = shared.in_flight(); "planned stop has ended");
}

/// Records that this node has left, and waits until the log shows it or cannot be reached.
///
/// Without the record any other node appends it once the VM is gone or another process runs there.
async fn record(shared: &Shared, limit: Span) {
    let me = shared.id;
    let start = shared.clock.now();
    let mut next = start;
    loop {
        let now = shared.clock.now();
        let agreed = shared.agreed.load();
        let state = agreed.state.as_ref();
        let is_recorded = state.is_some_and(|s| s.members.contains_key(&me));
        // While the log is out, one try is made in case it has just come back.
        let waited = now.since(start);
        if !is_recorded || waited >= limit || !agreed.log_up && waited >= RECORD_WAIT_FORCED {
            return;
        }
        if now >= next {
            next = now + RECORD_AGAIN;
            let left = Command::Append(Record::MemberLeft { node: me });
            let _ = shared.commands.try_push(left);
        }
        drop(agreed);
        tokio::time::sleep(STEP).await;
    }
}
