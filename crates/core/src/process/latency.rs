//! Quantiles of the recent answer times of a service.

use crate::time::Span;

/// Number of answer times kept.
const CAPACITY: usize = 64;

/// A quantile needs at least this many answers; fewer say little about a tail.
const MIN_ANSWERS: usize = 8;

/// A ring buffer of the newest successful answer times of a service.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    recent: Vec<Span>,
    next: usize,
}

impl Latency {
    /// Adds an answer time and drops the oldest once 64 are kept.
    pub fn record(&mut self, took: Span) {
        if self.recent.len() < CAPACITY {
            self.recent.push(took);
        } else {
            self.recent[self.next] = took;
        }
        self.next = (self.next + 1) % CAPACITY;
    }

    /// Returns the `share` quantile of the kept answer times, or `None` with fewer than 8 answers.
    pub fn quantile(&self, share: f64) -> Option<Span> {
        if self.recent.len() < MIN_ANSWERS {
            return None;
        }
        let mut sorted = self.recent.clone();
        let index = ((sorted.len() - 1) as f64 * share.clamp(0.0, 1.0)).round() as usize;
        let (_, found, _) = sorted.select_nth_unstable(index);
        Some(*found)
    }
}
