//! The signals that stop the process or make it read its settings again.

use crate::{
    error::{Error, Result},
    node::Node,
    settings::Settings,
};
use redwingtrestle_gateway::signals::{ProcessSignal, Signals};
use std::{path::Path, time::Duration};
use tokio::runtime::Runtime;

/// The interval at which a node that ends by itself is noticed.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The signals of a node, with the runtime on which it waits for them.
#[derive(Debug)]
pub struct NodeSignals {
    runtime: Runtime,
    signals: Signals,
}

impl NodeSignals {
    /// Installs the handlers, see [`Signals::listen`].
    ///
    /// # Errors
    ///
    /// Fails if the runtime cannot start or the system refuses a handler.
    pub fn listen() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::start("signals", e.to_string()))?;
        let signals = {
            let _entered = runtime.enter();
            Signals::listen()?
        };
        Ok(NodeSignals { runtime, signals })
    }

    /// Waits for SIGTERM or SIGINT, or until the node ends by itself. Calls `on_hang_up` for each SIGHUP.
    pub fn wait_for_stop(&mut self, node: &Node, mut on_hang_up: impl FnMut()) {
        let NodeSignals { runtime, signals } = self;
        runtime.block_on(async {
            while !node.is_finished() {
                tokio::select! {
                    signal = signals.next() => match signal {
                        ProcessSignal::Stop => return,
                        ProcessSignal::HangUp => on_hang_up(),
                    },
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
