//! Whether the caller of a request is still connected.
//!
//! A task that outlives its caller's connection asks before each send, because a request that begins to run for nobody
//! has an effect that its caller has given up ([docs/platform.md](../../../docs/platform.md)).

use tokio::sync::watch;

/// Kept by the handler of a request. The HTTP library drops the handler when the caller's connection ends.
#[derive(Debug)]
pub struct CallerGuard {
    _connected: watch::Sender<()>,
}

/// Tells whether the [`CallerGuard`] of a request still exists.
#[derive(Clone, Debug)]
pub struct CallerWatch {
    connected: watch::Receiver<()>,
}

impl CallerGuard {
    /// Returns the guard of a new request, and its watch.
    pub fn new() -> (CallerGuard, CallerWatch) {
        let (sender, connected) = watch::channel(());
        (CallerGuard { _connected: sender }, CallerWatch { connected })
    }
}

impl CallerWatch {
    /// Returns whether the caller's connection has ended.
    pub fn has_left(&self) -> bool {
        self.connected.has_changed().is_err()
    }

    /// Waits until the caller's connection ends.
    pub async fn left(&self) {
        let mut connected = self.connected.clone();
        while connected.changed().await.is_ok() {}
    }
}
