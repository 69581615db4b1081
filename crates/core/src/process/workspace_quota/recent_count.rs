//! A count that forgets exponentially, from which a rate is estimated.

use crate::time::{Span, Timestamp};

/// Events of the last time, each weighted by its age.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentCount {
    memory: Span,
    count: f64,
    at: Timestamp,
}

impl RecentCount {
    /// Creates a count of 0 whose events lose their weight over `memory`.
    pub(super) fn new(now: Timestamp, memory: Span) -> Self {
        RecentCount { memory, count: 0.0, at: now }
    }

    /// Adds events at `now`.
    pub(super) fn add(&mut self, now: Timestamp, count: f64) {
        self.count = self.count(now) + count;
        self.at = now;
    }

    /// Returns the weighted count.
    pub(super) fn count(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / self.memory.as_secs_f64();
        self.count * (-age).exp()
    }

    /// Returns the events per second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.count(now) / self.memory.as_secs_f64()
    }

    /// Sets the events per second, if there are fewer.
    pub(super) fn raise_to(&mut self, now: Timestamp, per_second: f64) {
        let count = (per_second * self.memory.as_secs_f64()).max(self.count(now));
        *self = RecentCount { count, at: now, ..*self };
    }
}
