//! The gateway process: its threads, their tasks, and signals.

use crate::{
    accept,
    clock::duration,
    error::{Error, Result},
    gossip::Gossip,
    header_names::HeaderNames,
    http_api, logs, peer_rpc, saved_state,
    settings::{Fault, ReadSettings, Settings},
    shared::Shared,
    signals::{ProcessSignal, Signals},
    stop,
    store::{Store, Stream},
    store_watch, telemetry,
};
use redwingtrestle_core::time::Span;
use std::{path::Path, sync::Arc, thread};
use tokio::{
    net::UdpSocket,
    runtime::{Builder, Runtime},
};

/// How often the settings file is read again. It may change without a signal.
const SETTINGS_CHECK: Span = Span::from_secs(2);

/// Runs a gateway until SIGTERM or SIGINT.
///
/// `path` is the settings file, which is read again on SIGHUP and at intervals, to report changes.
pub fn run<S: Store>(
    settings: Settings,
    path: &Path,
    store: S,
    header_names: HeaderNames,
) -> Result<()> {
    telemetry::handle();
    let shared = Arc::new(Shared::new(settings, header_names));
    log::info!(target: "process", node = shared.settings.node.as_str(), start = shared.start_id,
        entry:% = shared.settings.entry, peer:% = shared.settings.peer,
        store:% = shared.settings.store; "gateway starting");
    let entry = runtime()?;
    let (signals, listener) = {
        let _entered = entry.enter();
        // Signals come first, as one without a handler would end the process without a planned stop.
        (Signals::listen()?, accept::bind(&shared)?)
    };
    let control = runtime()?;
    control.block_on(start_control(shared.clone(), store))?;
    thread::Builder::new()
        .name("control".into())
        .spawn(move || control.block_on(std::future::pending::<()>()))
        .map_err(|e| Error::start("control", &e))?;
    let result = entry.block_on(async {
        tokio::spawn(accept::serve(shared.clone(), listener));
        wait_for_stop(&shared, path, signals).await;
        stop::stop(&shared).await;
        Ok(())
    });
    logs::finish();
    result
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread().enable_all().build().map_err(|e| Error::start("runtime", &e))
}

/// Starts the tasks of the control thread: store watches, gossip, and the gateway's own HTTP API.
async fn start_control<S: Store>(shared: Arc<Shared>, store: S) -> Result<()> {
    let peer = shared.settings.peer;
    let socket = UdpSocket::bind(peer).await.map_err(|e| Error::listen("peers", peer, e))?;
    let rpc_server = peer_rpc::serve(shared.clone()).await?;
    tokio::spawn(rpc_server.stopped());
    http_api::serve(shared.clone()).await?;
    for stream in [Stream::Configuration, Stream::Servers] {
        tokio::spawn(store_watch::watch_stream(shared.clone(), store.clone(), stream));
    }
    tokio::spawn(telemetry::run_upkeep(telemetry::handle(), telemetry::UPKEEP_INTERVAL));
    tokio::spawn(saved_state::run(shared.clone(), store));
    tokio::spawn(Gossip::new(shared, socket).run());
    Ok(())
}

/// Waits for SIGTERM or SIGINT, and checks for changed settings meanwhile.
async fn wait_for_stop(shared: &Shared, path: &Path, mut signals: Signals) {
    let mut timer = tokio::time::interval(duration(SETTINGS_CHECK));
    let mut current = shared.settings.clone();
    loop {
        let cause = tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Stop => return,
                ProcessSignal::HangUp => "SIGHUP",
            },
            _ = timer.tick() => "changed file",
        };
        check_settings(path, cause, &mut current);
    }
}

/// Reads the settings again and logs whether they changed. Changes take effect at the next start.
fn check_settings(path: &Path, cause: &str, current: &mut Settings) {
    match Settings::read(path) {
        Ok(ReadSettings { settings, .. }) if settings == *current && cause != "SIGHUP" => {}
        Ok(ReadSettings { settings, replaced }) => {
            let is_changed = settings != *current;
            log::info!(target: "process", cause, is_changed;
                "settings read again, changes take effect at the next start");
            log_replaced(&replaced);
            *current = settings;
        }
        Err(faults) => {
            for fault in faults {
                log::error!(target: "process", cause;
                    "the changed settings file is invalid and would fail the next start: {fault}");
            }
        }
    }
}

/// Logs the settings that are not used as they stand in the file.
pub fn log_replaced(faults: &[Fault]) {
    for fault in faults {
        log::error!(target: "process", code = fault.code.number();
            "a setting cannot be used, its default holds: {fault}");
    }
}
