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
        stream_watch::{StoreCall, StreamWatch},
    },
    time::Span,
};
use std::{sync::Arc, time::Duration};

/// How long a watch waits for a record. It is long because each call is paid for.
const MAX_WATCH: Duration = Duration::from_secs(25);

/// How long a watch waits on the one node that writes for the fleet. A node notices a response that the store lost only
/// after this wait; the others notice theirs earlier, because this node's position passes their own.
const WRITER_WATCH: Duration = Duration::from_secs(2);

/// How long after the wait a response may still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_000);

/// The pause after a response. Records that arrive in quick succession then share a call, as each call is paid for. It
/// is short beside the two seconds within which a change must be in force.
const BATCH_PAUSE: Span = Span::from_millis(200);

/// The pause after a failed call on a node that is not among the first of its data centre. Refused calls are paid for
/// too, and these nodes learn from the first ones.
const NON_PROBER_PAUSE: Span = Span::from_secs(5);

/// How often a node that does not watch the store checks whether it must start to.
const READER_CHECK: Duration = Duration::from_millis(200);

fn watch_state(fleet: &mut Fleet, stream: Stream) -> &mut StreamWatch {
    match stream {
        Stream::Configuration => &mut fleet.config_watch,
        Stream::Servers => &mut fleet.server_watch,
    }
}

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
        wait_until_reader(&shared, stream).await;
        let call = watch_state(&mut shared.fleet(), stream).next_call();
        let result = tokio::select! {
            result = call_store(&shared, &store, stream, call) => result,
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

/// Waits while other nodes watch the store for this one. A node always reads its first snapshot itself.
async fn wait_until_reader(shared: &Shared, stream: Stream) {
    loop {
        let is_known = watch_state(&mut shared.fleet(), stream).position().is_some();
        if !is_known || shared.is_reader() {
            return;
        }
        tokio::time::sleep(READER_CHECK).await;
    }
}

async fn call_store<S: Store>(
    shared: &Shared,
    store: &S,
    stream: Stream,
    call: StoreCall,
) -> Result<Batch, StoreError> {
    let StoreCall::Watch(from) = call else { return store.read_newest(stream).await };
    let wait = if shared.is_writer() { WRITER_WATCH } else { MAX_WATCH };
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
    let was_unreachable = watch_state(&mut shared.fleet(), stream).is_failing();
    let StreamPosition { era, offset } = end;
    if call == StoreCall::Newest {
        if !watch_state(&mut shared.fleet(), stream).accept_snapshot(end) {
            log::warn!(target: "store", stream:% = stream, era, end = offset;
                "the snapshot is older than the known state, reading it again later");
            return Some(record_failure(&mut shared.fleet(), stream));
        }
    } else if let StoreCall::Watch(from) = call {
        if !watch_state(&mut shared.fleet(), stream).advance(from, end) {
            log::warn!(target: "store", stream:% = stream, era, before = from.era, from = from.offset;
                "the records do not follow the known ones, reading a snapshot");
            return None;
        }
    }
    shared.store_updates.notify_one();
    if was_unreachable {
        log::info!(target: "store", stream:% = stream, era, end = offset; "the store answers again");
    }
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
    (stream == Stream::Servers).then_some(BATCH_PAUSE)
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
    let is_first_failure = !watch_state(&mut fleet, stream).is_failing();
    let position = watch_state(&mut fleet, stream).position();
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
