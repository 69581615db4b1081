//! Ages in gossip updates, which take a byte.

use crate::time::{Span, Timestamp};

/// The unit of `age` in gossip updates.
const AGE_UNIT: Span = Span::from_millis(50);

/// Returns an age in whole units.
pub(super) fn to_units(age: Span) -> u8 {
    (age.as_micros() / AGE_UNIT.as_micros()).min(255) as u8
}

/// Returns the time that a number of units stands for.
pub(super) fn from_units(units: u8) -> Span {
    AGE_UNIT.times(u64::from(units))
}

/// Returns the time since `then` in whole units.
pub(super) fn units_since(now: Timestamp, then: Timestamp) -> u8 {
    to_units(now.since(then))
}

/// Returns the time `age` before `now`, and at the earliest the clock's start.
pub(super) fn before(now: Timestamp, age: Span) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros()))
}
