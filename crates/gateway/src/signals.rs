//! The signals that a process handles.

use crate::error::{Error, Result};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Stop as planned (SIGTERM or SIGINT).
    Stop,
    /// Read the settings again (SIGHUP).
    HangUp,
}

/// The handlers of SIGTERM, SIGINT and SIGHUP. They stay installed after the drop, as tokio never removes one, so that a
/// further signal does not interrupt a planned stop.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers on the current tokio runtime. Signals that come before the first wait are kept for it.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler.
    pub fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(|e| Error::start("signals", &e));
        Ok(Signals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hang_up: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal. A wait that is given up loses none.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.hang_up.recv() => ProcessSignal::HangUp,
        }
    }
}
