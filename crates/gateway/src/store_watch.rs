//! Watches the streams of the platform's store and applies their records.

use crate::{
    clock::duration,
    shared::{Fleet, Shared},
    store::{Batch, Record, Store, StoreError, Stream},
};
use redwingtrestle_core::{
    process::{
        registration::Registration,
        stream_position::{EraChange, StreamPosition},
        stream_watch::{StoreCall, WatchRole},
    },
    time::Span,
};
use std::{sync::Arc, time::Duration};

/// How long a watch waits for a record. It is long because each call is paid for.
const MAX_WATCH: Duration = Duration::from_secs(25);

/// How long a watch waits on the one node that writes for the fleet. Its responses show the other nodes that the store
/// would tell them of a change, see [`store_contact`](redwingtrestle_core::process::store_contact).
const WRITER_WATCH: Duration = Duration::from_millis(600);

/// How long after the wait a response may still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);

/// The pause after a response. Records that arrive in quick succession then share a call, as each call is paid for. It
/// is short beside the two seconds within which a change must be in force.
const BATCH_PAUSE: Span = Span::from_millis(400);

/// The pause after a failed call on a node that is not among the first of its data centre. Refused calls are paid for
/// too, and these nodes learn from the first ones.
const NON_PROBER_PAUSE: Span = Span::from_secs(5);

/// How often a node checks whether its role in watching the store has changed.
const ROLE_CHECK: Duration = Duration::from_millis(100);

/// Records a failed call, and returns the pause before the next one.
fn record_failure(fleet: &mut Fleet, stream: Stream) -> Span {
    let Fleet { server_watch, config_watch, rng, .. } = fleet;
    match stream {
        Stream::Configuration => config_watch.record_failure(rng),
        Stream::Servers => server_watch.record_failure(rng),
    }
}

/// Records that a position is gone from the store, and returns the pause before the snapshot is read.
fn record_expiry(fleet: &mut Fleet, stream: Stream) -> Option<Span> {
    let Fleet { server_watch, config_watch, rng, .. } = fleet;
    match stream {
        Stream::Configuration => config_watch.record_expiry(rng),
        Stream::Servers => server_watch.record_expiry(rng),
    }
}

/// Watches `stream` until the process ends.
pub async fn watch_stream<S: Store>(shared: Arc<Shared>, store: S, stream: Stream) {
    let name: &'static str = stream.into();
    loop {
        let role = wait_until_reader(&shared, stream).await;
        let call = shared.fleet().watch(stream).next_call();
        let result = tokio::select! {
            result = call_store(&store, stream, call, role) => result,
            role = wait_for_shorter_call(&shared, stream, call, role) => {
                log::info!(target: "store", stream:% = stream, step:? = call, role:? = role;
                    "giving up a long call to the store for a short one");
                continue;
            }
            () = shared.restart_calls.notified() => {
                log::info!(target: "store", stream:% = stream, step:? = call;
                    "repeating the current call to the store, its response may be lost or out of date");
                continue;
            }
        };
        let label = result.as_ref().map_or("failed", |_| "answered");
        metrics::counter!("redwing_store_calls_total", "stream" => name, "result" => label)
            .increment(1);
        let pause = match result {
            Ok(batch) => apply_batch(&shared, stream, call, batch),
            Err(e) => handle_failure(&shared, stream, call, &e),
        };
        if let Some(pause) = pause {
            tokio::time::sleep(duration(pause)).await;
        }
    }
}

/// Waits while other nodes watch the store for this one, and returns its role after that. A node always reads its first
/// snapshot itself.
async fn wait_until_reader(shared: &Shared, stream: Stream) -> WatchRole {
    loop {
        let role = shared.watch_role(stream);
        let is_known = shared.fleet().watch(stream).position().is_some();
        match role {
            WatchRole::Asking if is_known => log_asking(shared, stream),
            WatchRole::Follower if is_known => {
                tokio::time::sleep(ROLE_CHECK).await;
                continue;
            }
            _ => {}
        }
        return role;
    }
}

fn log_asking(shared: &Shared, stream: Stream) {
    let now = shared.now();
    let age_ms = shared.fleet().store_contacts.age(now).as_millis();
    metrics::counter!("redwing_store_contacts_overdue_total").increment(1);
    log::info!(target: "store", stream:% = stream, age_ms;
        "no node is known to have heard from the store lately, asking it directly");
}

/// Waits until a long watch should give way to a shorter call, and returns the role that makes it. The response to the long
/// one may be lost, which this node would not notice before its end.
async fn wait_for_shorter_call(
    shared: &Shared,
    stream: Stream,
    call: StoreCall,
    role: WatchRole,
) -> WatchRole {
    if call == StoreCall::Newest || role == WatchRole::Asking {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(ROLE_CHECK).await;
        let next = shared.watch_role(stream);
        let is_shorter = match next {
            WatchRole::Asking => true,
            WatchRole::Writer => role != WatchRole::Writer,
            WatchRole::Reader | WatchRole::Follower => false,
        };
        if is_shorter {
            return next;
        }
    }
}

async fn call_store<S: Store>(
    store: &S,
    stream: Stream,
    call: StoreCall,
    role: WatchRole,
) -> Result<Batch, StoreError> {
    let StoreCall::Watch(from) = call else { return store.read_newest(stream).await };
    let wait = match role {
        WatchRole::Asking => Duration::ZERO,
        WatchRole::Writer => WRITER_WATCH,
        WatchRole::Reader | WatchRole::Follower => MAX_WATCH,
    };
    let watch = tokio::time::timeout(wait + RESPONSE_GRACE, store.watch(stream, from.offset, wait));
    let lost_response = || StoreError::Unreachable { what: "the response was lost".into() };
    watch.await.unwrap_or_else(|_| Err(lost_response()))
}

/// Applies a response, and returns the pause before the next call.
fn apply_batch(shared: &Shared, stream: Stream, call: StoreCall, batch: Batch) -> Option<Span> {
    let end = batch.end;
    if let EraChange::Outdated { .. } = shared.observe_era(end.era, "store", Some(end)) {
        return Some(record_failure(&mut shared.fleet(), stream));
    }
    let was_unreachable = shared.fleet().watch(stream).is_failing();
    let StreamPosition { era, offset } = end;
    if call == StoreCall::Newest {
        if !shared.fleet().watch(stream).accept_snapshot(end) {
            log::warn!(target: "store", stream:% = stream, era, end = offset;
                "the snapshot is older than the known state, reading it again later");
            return Some(record_failure(&mut shared.fleet(), stream));
        }
    } else if let StoreCall::Watch(from) = call {
        if !shared.fleet().watch(stream).advance(from, end) {
            log::warn!(target: "store", stream:% = stream, era, before = from.era, from = from.offset;
                "the records do not follow the known ones, reading a snapshot");
            return None;
        }
    }
    let now = shared.now();
    shared.fleet().record_response(now, stream);
    shared.store_updates.notify_one();
    if was_unreachable {
        log::info!(target: "store", stream:% = stream, era, end = offset; "the store answers again");
    }
    // A watch without records has waited already.
    let pause = (stream == Stream::Servers && !batch.records.is_empty()).then_some(BATCH_PAUSE);
    let source = if call == StoreCall::Newest { "store snapshot" } else { "store" };
    let mut registrations: Vec<(Registration, StreamPosition)> = Vec::new();
    for (position, record) in batch.records {
        match record {
            Record::RoutingConfig(doc) => {
                shared.apply_config(&doc, source);
            }
            Record::Server(_, Some(registration)) if call == StoreCall::Newest => {
                registrations.push((*registration, position));
            }
            Record::Server(id, registration) => {
                shared.apply_registration(&id, position, registration.map(|boxed| *boxed), source);
            }
            Record::Unreadable => {}
        }
    }
    if stream == Stream::Servers && call == StoreCall::Newest {
        shared.apply_registrations(end, registrations, source);
    }
    pause
}

/// Handles a failed call, and returns the pause before the next one.
fn handle_failure(
    shared: &Shared,
    stream: Stream,
    call: StoreCall,
    error: &StoreError,
) -> Option<Span> {
    let now = shared.now();
    let change = error.era().map(|era| shared.observe_era(era, "store", None));
    let is_outdated = matches!(change, Some(EraChange::Outdated { .. }));
    let mut fleet = shared.fleet();
    if let (StoreError::Restored { .. } | StoreError::Expired { .. }, false) = (error, is_outdated)
    {
        let pause = record_expiry(&mut fleet, stream);
        drop(fleet);
        let pause_ms = pause.map_or(0, Span::as_millis);
        log::warn!(target: "store", stream:% = stream, step:? = call, pause_ms;
            "the records at the known position are gone, reading a snapshot: {error}");
        return pause;
    }
    fleet.registry.record_store_outage(now);
    let is_first_failure = !fleet.watch(stream).is_failing();
    let position = fleet.watch(stream).position();
    let mut pause = record_failure(&mut fleet, stream);
    if position.is_some() && !fleet.is_prober(now) {
        pause = NON_PROBER_PAUSE;
    }
    drop(fleet);
    if is_first_failure {
        log::warn!(target: "store", stream:% = stream, step:? = call, position:? = position,
            pause_ms = pause.as_millis();
            "the store does not answer, trying again after a pause: {error}");
    } else {
        log::debug!(target: "store", stream:% = stream; "the store still does not answer: {error}");
    }
    Some(pause)
}
