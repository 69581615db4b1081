//! The monotonic clock of the process.

use redwingtrestle_core::time::Timestamp;
use std::time::{Duration, Instant};

/// A monotonic clock that starts with the process.
///
/// It continues while the process is stopped by a signal, so the process can tell afterwards for how long it
/// was paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    started: Instant,
}

impl Clock {
    /// Starts the clock at one hour, so that subtracting a window from a timestamp never saturates.
    pub fn start() -> Self {
        let now = Instant::now();
        Clock { origin: now.checked_sub(Duration::from_secs(3600)).unwrap_or(now), started: now }
    }

    /// Returns the time since [`start`](Self::start) was called.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the current time, counted from one hour before the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }
}
