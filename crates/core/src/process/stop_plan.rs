//! The times of a planned stop, and which work may still begin during it.

use crate::time::{Span, Timestamp};

/// New requests are served for no longer than the total time of a stop divided by this. Callers keep the directory's
/// response for some time, but a request that begins too late may not end before the process is killed.
const LEAVING_DIVISOR: u64 = 3;

/// The time reserved at the end of a stop for closing connections and writing logs.
const RESERVE: Span = Span::from_millis(250);

/// Divides the time that a planned stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// How long new requests are still served.
    pub leaving: Span,
    /// How long open requests may take after that until they are cut off.
    pub closing: Span,
}

impl StopPlan {
    /// Divides the total time `max_stop`, if callers keep the directory's response for `ttl`.
    pub fn new(max_stop: Span, ttl: Span) -> Self {
        let leaving = Span::from_micros(max_stop.as_micros() / LEAVING_DIVISOR).min(ttl);
        Self::with_leaving(max_stop, leaving)
    }

    /// Divides the total time `max_stop` of a stop in which new requests are served for `leaving`.
    pub fn with_leaving(max_stop: Span, leaving: Span) -> Self {
        StopPlan { leaving, closing: max_stop - leaving - RESERVE }
    }
}

/// A planned stop in progress. It decides which work may still begin, as work that is cut off at the end may have run
/// without its caller knowing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The times of the stop.
    pub plan: StopPlan,
    /// When the stop began.
    pub began: Timestamp,
}

impl PlannedStop {
    /// Returns whether a request that was read at `now` is served. A later one is refused, and its caller uses another
    /// entry.
    pub fn accepts_request(&self, now: Timestamp) -> bool {
        now < self.began + self.plan.leaving
    }

    /// Returns whether a request may be sent to a server at `now`, if responses of the service rarely take longer than
    /// `response_time`.
    pub fn may_send(&self, now: Timestamp, response_time: Span) -> bool {
        now + response_time <= self.end()
    }

    /// Returns when open requests are cut off.
    pub fn end(&self) -> Timestamp {
        self.began + self.plan.leaving + self.plan.closing
    }
}
