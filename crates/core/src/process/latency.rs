//! Quantiles of the recent response times of a service.

use crate::time::Span;

/// Number of response times kept.
const CAPACITY: usize = 64;

/// A quantile needs at least this many responses; fewer say little about a tail.
const MIN_RESPONSES: usize = 8;

/// A ring buffer of the newest successful response times of a service.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    recent: Vec<Span>,
    next: usize,
}

impl Latency {
    /// Adds a response time and drops the oldest once 64 are kept.
    pub fn record(&mut self, took: Span) {
        if self.recent.len() < CAPACITY {
            self.recent.push(took);
        } else {
            self.recent[self.next] = took;
        }
        self.next = (self.next + 1) % CAPACITY;
    }

    /// Returns the `share` quantile of the kept response times, or `None` with fewer than 8 responses.
    pub fn quantile(&self, share: f64) -> Option<Span> {
        if self.recent.len() < MIN_RESPONSES {
            return None;
        }
        let mut sorted = self.recent.clone();
        let index = ((sorted.len() - 1) as f64 * share.clamp(0.0, 1.0)).round() as usize;
        let (_, found, _) = sorted.select_nth_unstable(index);
        Some(*found)
    }
}
