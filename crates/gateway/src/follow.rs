//! Follows the streams of the platform's store.

use crate::{
    clock::duration,
    shared::{Fleet, Shared},
    store::{Batch, Record, Store, StoreError, Stream},
};
use redwingtrestle_core::{
    process::{
        registration::Registration,
        stream_watch::{Step, StreamWatch},
    },
    time::Span,
};
use std::{sync::Arc, time::Duration};

/// How long a watch waits for a record. Each call is priced.
const WATCH: Duration = Duration::from_secs(25);

/// How long the watch of the one node that writes for the fleet waits. An answer that the store lost shows only by the
/// end of the wait; the others see by this node's position that theirs was lost.
const SHORT_WATCH: Duration = Duration::from_secs(2);

/// How much later than the wait an answer may come.
const LATE: Duration = Duration::from_millis(1_000);

/// The pause after an answer. Records that come in quick succession then share a call, as each call is priced; it is
/// short beside the two seconds within which a change must be in force.
const GATHER: Span = Span::from_millis(200);

/// The pause after a failed call of a node that is not among the first of its data centre. Refused calls are priced too, and
/// these nodes learn from the first ones.
const PATIENT_PAUSE: Span = Span::from_secs(5);

/// How often a node that does not follow the store looks whether it has to.
const TURN_CHECK: Duration = Duration::from_millis(200);

/// Returns the stream watch of a stream.
fn watch(fleet: &mut Fleet, stream: Stream) -> &mut StreamWatch {
    match stream {
        Stream::Configuration => &mut fleet.configuration,
        Stream::Servers => &mut fleet.servers,
    }
}

/// Notes a failed call, and returns the pause before the next one.
fn failed(fleet: &mut Fleet, stream: Stream) -> Span {
    let Fleet { servers, configuration, rng, .. } = fleet;
    match stream {
        Stream::Configuration => configuration.failed(rng),
        Stream::Servers => servers.failed(rng),
    }
}

/// Follows `stream` until the process ends.
pub async fn follow<S: Store>(shared: Arc<Shared>, store: S, stream: Stream) {
    let name: &'static str = stream.into();
    loop {
        wait_for_turn(&shared, stream).await;
        let step = watch(&mut shared.fleet(), stream).step();
        let result = tokio::select! {
            result = call(&shared, &store, stream, step) => result,
            () = shared.refresh.notified() => {
                log::info!(target: "store", stream:% = stream, step:? = step; "asking again at once");
                continue;
            }
        };
        let label = result.as_ref().map_or("failed", |_| "answered");
        metrics::counter!("redwing_store_calls_total", "stream" => name, "result" => label)
            .increment(1);
        let pause = match result {
            Ok(batch) => take(&shared, stream, step, batch),
            Err(e) => fail(&shared, stream, step, &e),
        };
        if let Some(pause) = pause {
            tokio::time::sleep(duration(pause)).await;
        }
    }
}

/// Waits while other nodes follow the store for this one. The first snapshot is always read here.
async fn wait_for_turn(shared: &Shared, stream: Stream) {
    loop {
        let is_known = watch(&mut shared.fleet(), stream).position().is_some();
        if !is_known || shared.is_reader() {
            return;
        }
        tokio::time::sleep(TURN_CHECK).await;
    }
}

async fn call<S: Store>(
    shared: &Shared,
    store: &S,
    stream: Stream,
    step: Step,
) -> Result<Batch, StoreError> {
    let Step::Watch(from) = step else { return store.newest(stream).await };
    let wait = if shared.is_writer() { SHORT_WATCH } else { WATCH };
    let watch = tokio::time::timeout(wait + LATE, store.watch(stream, from, wait));
    let lost = || StoreError::Unreachable { what: "the answer was lost".into() };
    watch.await.unwrap_or_else(|_| Err(lost()))
}

/// Takes an answer, and returns how long to wait before the next call.
fn take(shared: &Shared, stream: Stream, step: Step, batch: Batch) -> Option<Span> {
    let end = batch.end;
    let was_away = watch(&mut shared.fleet(), stream).is_away();
    if step == Step::Newest {
        if !watch(&mut shared.fleet(), stream).snapshot(end) {
            log::warn!(target: "store", stream:% = stream, end; "the snapshot is older than what is known");
            return Some(failed(&mut shared.fleet(), stream));
        }
    } else {
        watch(&mut shared.fleet(), stream).changes(end);
    }
    shared.news.notify_one();
    if was_away {
        log::info!(target: "store", stream:% = stream, end; "the store answers again");
    }
    let source = if step == Step::Newest { "store snapshot" } else { "store" };
    let mut entries: Vec<(Registration, u64)> = Vec::new();
    for (position, record) in batch.records {
        match record {
            Record::RoutingConfig(doc) => {
                shared.install(&doc, source);
            }
            Record::Server(_, Some(entry)) if step == Step::Newest => {
                entries.push((*entry, position));
            }
            Record::Server(id, entry) => {
                shared.register(&id, position, entry.map(|e| *e), source);
            }
            Record::Unreadable => {}
        }
    }
    if stream == Stream::Servers && step == Step::Newest {
        shared.register_all(end, entries, source);
    }
    (stream == Stream::Servers).then_some(GATHER)
}

/// Takes a failed call, and returns how long to wait before the next one.
fn fail(shared: &Shared, stream: Stream, step: Step, error: &StoreError) -> Option<Span> {
    let now = shared.now();
    let mut fleet = shared.fleet();
    if let StoreError::Expired { first } = error {
        watch(&mut fleet, stream).expired();
        drop(fleet);
        log::warn!(target: "store", stream:% = stream, first; "the records are gone, reading a snapshot");
        return None;
    }
    fleet.registry.store_away(now);
    let is_first = !watch(&mut fleet, stream).is_away();
    let position = watch(&mut fleet, stream).position();
    let mut pause = failed(&mut fleet, stream);
    if position.is_some() && !fleet.peers.is_prober(now) {
        pause = PATIENT_PAUSE;
    }
    drop(fleet);
    if is_first {
        log::warn!(target: "store", stream:% = stream, step:? = step, position:? = position,
            pause_ms = pause.as_millis(); "the store does not answer: {error}");
    } else {
        log::debug!(target: "store", stream:% = stream; "the store still does not answer: {error}");
    }
    Some(pause)
}
