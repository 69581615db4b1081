//! How the newest requests of a service ended, over all nodes.

use crate::time::{Span, Timestamp};
use std::collections::VecDeque;

/// The length of the sliding window.
const WINDOW: Span = Span::from_millis(2_000);

/// The step in which the window slides.
const STEP: Span = Span::from_millis(250);

/// The served requests that are assumed beside those that were counted, so that one failure of a service with few
/// requests is no large share.
const ASSUMED: f64 = 8.0;

/// `OutcomeCounts` counts requests by whether their callers got what they asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that ended with a good answer.
    pub served: u32,
    /// Requests that were refused or failed.
    pub unserved: u32,
}

impl OutcomeCounts {
    /// Adds another count.
    pub fn add(&mut self, other: OutcomeCounts) {
        self.served = self.served.saturating_add(other.served);
        self.unserved = self.unserved.saturating_add(other.unserved);
    }
}

/// `ServiceOutcomes` holds the newest counts of a service, of this node and of others.
#[derive(Clone, Debug, Default)]
pub struct ServiceOutcomes {
    steps: VecDeque<(u64, OutcomeCounts)>,
    unreported: OutcomeCounts,
}

impl ServiceOutcomes {
    /// Counts the end of a request of this node.
    pub fn record(&mut self, now: Timestamp, is_served: bool) {
        let counts =
            OutcomeCounts { served: u32::from(is_served), unserved: u32::from(!is_served) };
        self.unreported.add(counts);
        self.add(now, counts);
    }

    /// Takes what another node counted.
    pub fn add(&mut self, now: Timestamp, counts: OutcomeCounts) {
        let step = now.as_micros() / STEP.as_micros();
        let kept = WINDOW.as_micros() / STEP.as_micros();
        while self.steps.front().is_some_and(|(first, _)| first + kept <= step) {
            self.steps.pop_front();
        }
        match self.steps.back_mut() {
            Some((last, sum)) if *last >= step => sum.add(counts),
            _ => self.steps.push_back((step, counts)),
        }
    }

    /// Returns the share of the newest requests that was not served.
    pub fn unserved(&self, now: Timestamp) -> f64 {
        let from = (now.as_micros() / STEP.as_micros() + 1)
            .saturating_sub(WINDOW.as_micros() / STEP.as_micros());
        let mut sum = OutcomeCounts::default();
        for (_, counts) in self.steps.iter().filter(|(step, _)| *step >= from) {
            sum.add(*counts);
        }
        let (served, unserved) = (f64::from(sum.served), f64::from(sum.unserved));
        unserved / (served + unserved + ASSUMED)
    }

    /// Returns what this node counted since the last call.
    pub fn take_unreported(&mut self) -> OutcomeCounts {
        std::mem::take(&mut self.unreported)
    }
}
