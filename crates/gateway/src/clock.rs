//! The clock of the gateway, which includes the time during which the machine is suspended.

use redwingtrestle_core::time::{Span, Timestamp};
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

/// Measures the time since the boot of the machine (`CLOCK_BOOTTIME`).
///
/// The ordinary monotonic clock stops while the machine is suspended. Callers' deadlines do not, and by that clock
/// health estimates would seem younger than they are.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
    monotonic_start: Instant,
}

/// The clock's time at the start, so that subtracting a window never saturates.
const START_TIME: Duration = Duration::from_secs(3600);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { origin: since_boot(), monotonic_start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        let elapsed = since_boot().saturating_sub(self.origin) + START_TIME;
        Timestamp::from_micros(elapsed.as_micros() as u64)
    }

    /// Returns how long the machine was suspended in total since the clock was started.
    pub fn suspended(&self) -> Span {
        let all = since_boot().saturating_sub(self.origin);
        Span::from_micros(all.saturating_sub(self.monotonic_start.elapsed()).as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.max(0) as u64, now.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// Converts a span to the standard library's type.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}
