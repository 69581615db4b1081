//! Request deadlines.

use crate::{
    codes::ResultCode,
    time::{Span, Timestamp},
};

/// Maximum deadline of a request; a caller's longer deadline is reduced to it.
///
/// Equals the default retention time of idempotency keys. If a request outlasted that time, a caller
/// that repeats the request would not find its key.
pub const MAX_DEADLINE: Span = Span::from_secs(600);

/// Maximum length of a `Redwing-Deadline-Ms` header in bytes; any `u64` fits.
pub const MAX_HEADER_LEN: usize = 20;

/// The time at which the caller stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// Returns the deadline `span` after `now`, limited to [`MAX_DEADLINE`].
    pub fn after(now: Timestamp, span: Span) -> Self {
        Deadline(now + span.min(MAX_DEADLINE))
    }

    /// Returns the deadline of a request that arrived at `now`.
    ///
    /// `header` is the value of `Redwing-Deadline-Ms` in milliseconds. It may be shorter or longer than the route's
    /// deadline, which applies without the header.
    ///
    /// Fails with [`ResultCode::HeaderTooLong`] for more than [`MAX_HEADER_LEN`] bytes, with
    /// [`ResultCode::BadHeader`] for anything but decimal digits, and with [`ResultCode::DeadlineUnmet`] for 0.
    pub fn from_header(
        now: Timestamp,
        header: Option<&str>,
        route: Span,
    ) -> Result<Self, ResultCode> {
        let Some(text) = header else {
            return Ok(Deadline::after(now, route));
        };
        if text.len() > MAX_HEADER_LEN {
            return Err(ResultCode::HeaderTooLong);
        }
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ResultCode::BadHeader);
        }
        // Parsing can only fail for a number above `u64::MAX`, which the maximum reduces anyway.
        match text.parse().unwrap_or(u64::MAX) {
            0 => Err(ResultCode::DeadlineUnmet),
            millis => Ok(Deadline::after(now, Span::from_millis(millis))),
        }
    }

    /// Returns the earlier of this deadline and `limit`.
    pub fn limited_to(self, limit: Timestamp) -> Self {
        Deadline(self.0.min(limit))
    }

    /// Returns the deadline as a point in time.
    pub fn at(self) -> Timestamp {
        self.0
    }

    /// Returns the remaining time, or 0 if the deadline has passed.
    pub fn remaining(self, now: Timestamp) -> Span {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn is_passed(self, now: Timestamp) -> bool {
        self.remaining(now) == Span::ZERO
    }

    /// Returns whether work that is expected to take `expected` can finish before the deadline.
    pub fn can_meet(self, now: Timestamp, expected: Span) -> bool {
        !self.is_passed(now) && expected <= self.remaining(now)
    }

    /// Returns the value of the `Redwing-Deadline-Ms` header for a backend server, in milliseconds.
    ///
    /// Returns `None` for less than 1 ms: a backend server would refuse a deadline of 0, so the request should not
    /// be sent.
    pub fn header_millis(self, now: Timestamp) -> Option<u64> {
        Some(self.remaining(now).as_millis()).filter(|&millis| millis > 0)
    }
}
