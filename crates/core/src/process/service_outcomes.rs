//! Served and unserved requests of a service in a sliding window, over all nodes.

use crate::time::{Span, Timestamp};
use std::collections::VecDeque;

/// Length of the sliding window.
const WINDOW: Span = Span::from_millis(2_000);

/// Step by which the window slides.
const STEP: Span = Span::from_millis(250);

/// Served requests added to the counted ones, so that one failure of a service with few requests is not a large share.
const PRIOR_SERVED: f64 = 8.0;

/// Counts of requests by whether the caller got a good response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests with a good response.
    pub served: u32,
    /// Refused or failed requests.
    pub unserved: u32,
}

impl OutcomeCounts {
    /// Adds the counts of `other`, saturating.
    pub fn add(&mut self, other: OutcomeCounts) {
        self.served = self.served.saturating_add(other.served);
        self.unserved = self.unserved.saturating_add(other.unserved);
    }
}

/// The recent outcome counts of a service, from this node and its peers.
#[derive(Clone, Debug, Default)]
pub struct ServiceOutcomes {
    steps: VecDeque<(u64, OutcomeCounts)>,
    unreported: OutcomeCounts,
}

impl ServiceOutcomes {
    /// Counts a finished request of this node.
    pub fn record(&mut self, now: Timestamp, is_served: bool) {
        let counts =
            OutcomeCounts { served: u32::from(is_served), unserved: u32::from(!is_served) };
        self.unreported.add(counts);
        self.add(now, counts);
    }

    /// Adds the counts of another node.
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

    /// Returns the share of the requests in the window that were not served.
    pub fn unserved_share(&self, now: Timestamp) -> f64 {
        let from = (now.as_micros() / STEP.as_micros() + 1)
            .saturating_sub(WINDOW.as_micros() / STEP.as_micros());
        let mut sum = OutcomeCounts::default();
        for (_, counts) in self.steps.iter().filter(|(step, _)| *step >= from) {
            sum.add(*counts);
        }
        let (served, unserved) = (f64::from(sum.served), f64::from(sum.unserved));
        unserved / (served + unserved + PRIOR_SERVED)
    }

    /// Returns and resets the counts of this node since the last call.
    pub fn take_unreported(&mut self) -> OutcomeCounts {
        std::mem::take(&mut self.unreported)
    }
}
