//! Monotonic time in microseconds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(u64);

impl Span {
    /// A span of 0.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// Returns a span of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis.saturating_mul(1_000))
    }

    /// Returns a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Span(secs.saturating_mul(1_000_000))
    }

    /// Returns a span of `secs` seconds, rounded down to microseconds. A negative number or NaN gives 0.
    pub fn from_secs_f64(secs: f64) -> Self {
        Span((secs * 1e6) as u64)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies the span by `factor`, saturating.
    pub const fn times(self, factor: u64) -> Self {
        Span(self.0.saturating_mul(factor))
    }
}

/// A point in time on the monotonic clock of one process, in microseconds.
///
/// The clocks of different processes share no origin, so timestamps are never compared across processes. Messages
/// that need ages echo the receiver's own timestamp instead (docs/design.md, section 4.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or 0 if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;

    /// Returns the point `span` earlier, or the origin of the clock if that is later.
    fn sub(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}
