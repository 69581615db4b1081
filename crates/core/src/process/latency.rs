//! The usual time of a service's answers.

use crate::time::Span;

/// The number of newest answers that are remembered.
const CAPACITY: usize = 64;

/// The answers that must be known before a quantile is told; fewer say little about a tail.
const MIN_ANSWERS: usize = 8;

/// `Latency` remembers how long the newest good answers of a service took.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    recent: Vec<Span>,
    next: usize,
}

impl Latency {
    /// Adds an answer.
    pub fn record(&mut self, took: Span) {
        if self.recent.len() < CAPACITY {
            self.recent.push(took);
        } else {
            self.recent[self.next] = took;
        }
        self.next = (self.next + 1) % CAPACITY;
    }

    /// Returns the time within which `share` of the answers came, if enough are known.
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
