//! The pauses that servers ask for when they turn a request away.

use crate::{
    process::{
        registration::Registration,
        start_marks::{ServerStart, StartMarks},
    },
    time::{Span, Timestamp},
};

/// A longer pause is cut to this, so that a faulty value does not take a server out of use for good.
pub const MAX_PAUSE: Span = Span::from_secs(120);

/// Up to this share of a pause is added at random, so that the nodes of a fleet do not all return at once.
const PAUSE_SPREAD: f64 = 0.1;

/// The bounds of what callers are told to wait while all servers pause. Few callers have more time left than the upper one.
const MIN_RETRY_AFTER: Span = Span::from_millis(500);
const MAX_RETRY_AFTER: Span = Span::from_secs(10);

/// Parses a `Retry-After` in seconds, which may have a fraction. A value that is not a positive number is ignored.
pub fn parse_pause(value: &str) -> Option<Span> {
    let seconds: f64 = value.trim().parse().ok()?;
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    Some(seconds_span(seconds).min(MAX_PAUSE))
}

/// Returns what a refused caller is told to wait when the first server accepts work again after `left`. `draw`, from 0
/// to 1, spreads the callers.
pub fn retry_after(left: Span, draw: f64) -> Span {
    spread(left, draw).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
}

fn spread(time: Span, draw: f64) -> Span {
    seconds_span(time.as_secs_f64() * (1.0 + PAUSE_SPREAD * draw))
}

fn seconds_span(seconds: f64) -> Span {
    // The conversion saturates.
    Span::from_micros((seconds * 1e6) as u64)
}

/// The time until which each start of a server gets nothing from this node.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPauses {
    marks: StartMarks,
}

impl ServerPauses {
    /// Records that a start asked for a pause, and returns its end. A shorter pause does not end a longer one, as both
    /// were asked for.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        start: &ServerStart,
        pause: Span,
        draw: f64,
    ) -> Timestamp {
        let end = now + spread(pause.min(MAX_PAUSE), draw);
        let until = self.marks.time_of(start).map_or(end, |known| known.max(end));
        self.marks.set(start, until);
        until
    }

    /// Returns the end of a pause that lasts at `now`.
    pub(super) fn end(&self, now: Timestamp, registration: &Registration) -> Option<Timestamp> {
        self.marks.time(registration).filter(|until| now < *until)
    }

    /// Forgets the pauses that have ended.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.marks.retain(|_, until| now < until);
    }
}
