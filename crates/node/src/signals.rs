//! The signals that stop the process or make it read its settings again.

use crate::{
    error::{Error, Result},
    node::Node,
    settings::Settings,
};
use std::{path::Path, time::Duration};
use tokio::{
    runtime::Runtime,
    signal::unix::{signal, Signal, SignalKind},
};

/// The interval at which a node that ends by itself is noticed.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The signals that the process handles. The handlers stay installed after the drop, as tokio never removes one, so that
/// a further signal does not interrupt a planned stop.
#[derive(Debug)]
pub struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers. Signals that come before the wait begins are kept for it.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler.
    pub fn listen() -> Result<Self> {
        let failed = |e: std::io::Error| Error::start("signals", e.to_string());
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let listen = |kind| {
            let _context = runtime.enter();
            signal(kind).map_err(failed)
        };
        let (terminate, interrupt) =
            (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
        let hang_up = listen(SignalKind::hangup())?;
        Ok(Signals { runtime, terminate, interrupt, hang_up })
    }

    /// Waits for SIGTERM or SIGINT, or until the node ends by itself. Calls `on_hang_up` for each SIGHUP.
    pub fn wait_for_stop(&mut self, node: &Node, mut on_hang_up: impl FnMut()) {
        let Signals { runtime, terminate, interrupt, hang_up } = self;
        runtime.block_on(async {
            while !node.is_finished() {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    _ = hang_up.recv() => on_hang_up(),
                    () = tokio::time::sleep(END_CHECK_INTERVAL) => {}
                }
            }
        });
    }
}

/// Reads the settings again and logs whether they changed. Changes take effect at the next start.
pub fn read_settings_again(path: &Path, current: &mut Settings) {
    match Settings::read(path) {
        Ok(settings) => {
            let is_changed = settings != *current;
            log::info!(is_changed; "settings read again, changes take effect at the next start");
            *current = settings;
        }
        Err(faults) => {
            for fault in faults {
                log::error!("the settings file is invalid and would fail the next start: {fault}");
            }
        }
    }
}
