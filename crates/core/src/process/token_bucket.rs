//! A token bucket that may go into debt.

use crate::time::Timestamp;

/// How tokens accrue, and the bounds of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketRate {
    /// Tokens per second.
    pub(super) per_second: f64,
    /// The most tokens that accrue.
    pub(super) most: f64,
    /// The deepest debt, as a positive number of tokens.
    pub(super) debt: f64,
}

/// Tokens that accrue over time. Takers that are counted late may take more than there is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TokenBucket {
    tokens: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub(super) fn new(now: Timestamp, tokens: f64) -> Self {
        TokenBucket { tokens, at: now }
    }

    /// Returns the tokens at `now`, negative in debt.
    pub(super) fn tokens(&self, now: Timestamp, rate: BucketRate) -> f64 {
        let accrued = rate.per_second * now.since(self.at).as_secs_f64();
        (self.tokens + accrued).min(rate.most)
    }

    /// Adds what has accrued at `rate`, before the rate changes.
    pub(super) fn settle(&mut self, now: Timestamp, rate: BucketRate) {
        *self = TokenBucket::new(now, self.tokens(now, rate));
    }

    /// Takes tokens, also those that are not there yet.
    pub(super) fn take(&mut self, now: Timestamp, rate: BucketRate, count: f64) {
        let left = (self.tokens(now, rate) - count).max(-rate.debt);
        *self = TokenBucket::new(now, left);
    }

    /// Returns the seconds until the bucket holds `tokens`, 0 if it does.
    pub(super) fn seconds_until(&self, now: Timestamp, rate: BucketRate, tokens: f64) -> f64 {
        ((tokens - self.tokens(now, rate)) / rate.per_second).max(0.0)
    }
}
