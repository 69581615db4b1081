//! One rank: its guaranteed share of the slots, and its queue.

use super::fair_queue::FairQueue;
use crate::time::Span;

/// A new sample moves the mean service time of its rank by the difference divided by this number.
const SERVICE_TIME_SAMPLES: i64 = 16;

/// The share, the requests in flight and the queue of one rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Rank {
    /// The guaranteed share of the node's slots, in percent.
    pub(super) share: i64,
    pub(super) in_flight: i64,
    /// The requests in flight whose slots were taken under the guarantee.
    pub(super) guaranteed: i64,
    /// The credit for fractions of guaranteed slots, see `advance`.
    credit: i64,
    /// The mean service time.
    pub(super) service_time: Span,
    pub(super) queue: FairQueue,
}

impl Rank {
    /// Creates a rank without requests.
    pub(super) fn new(share: u32, service_time: Span) -> Self {
        Rank { share: i64::from(share), service_time, ..Rank::default() }
    }

    /// Returns the rank's guaranteed slots, in hundredths of a slot.
    pub(super) fn quota(&self, slots: i64) -> i64 {
        self.share * slots
    }

    /// Returns whether the guarantee entitles the rank to the next free slot.
    ///
    /// A rank below its whole guaranteed slots is entitled at once. The fraction of a slot that remains
    /// entitles it to one more slot while its credit is not negative.
    pub(super) fn is_entitled(&self, slots: i64) -> bool {
        let (quota, used) = (self.quota(slots), 100 * self.in_flight);
        !self.queue.is_empty() && (used + 100 <= quota || (self.credit >= 0 && used < quota))
    }

    /// Updates the credit, in hundredths of a slot times microseconds, after `elapsed` microseconds.
    ///
    /// Below its guarantee, a rank gains credit while it has queued requests, up to `limit`, or until a
    /// negative credit is back at zero. Only slots taken under the guarantee are charged, so a rank pays
    /// nothing for borrowed slots that no other rank wanted.
    pub(super) fn advance(&mut self, elapsed: i64, slots: i64, limit: i64) {
        let (quota, used) = (self.quota(slots), 100 * self.in_flight);
        if used < quota {
            let cap = if !self.queue.is_empty() { limit } else { 0 };
            if self.credit < cap {
                let gain = (quota - used).saturating_mul(elapsed);
                self.credit = self.credit.saturating_add(gain).min(cap);
            }
        } else {
            let excess = (100 * self.guaranteed - quota).max(0);
            self.credit = self.credit.saturating_sub(excess.saturating_mul(elapsed));
        }
        if self.queue.is_empty() {
            self.credit = self.credit.min(0);
        }
    }

    /// Returns the service time to expect when deadlines are checked.
    ///
    /// It is zero with nothing in flight: an estimate above every deadline would otherwise refuse all
    /// requests, and without new samples it would never be corrected.
    pub(super) fn expected_time(&self) -> Span {
        if self.in_flight == 0 {
            Span::ZERO
        } else {
            self.service_time
        }
    }

    /// Returns the maximum credit of a waiting rank.
    ///
    /// Lent slots come back within about the longest service time. Credit for twice the rank's guarantee over
    /// that time is therefore enough to repay the wait, and it keeps the following burst short.
    pub(super) fn credit_limit(&self, slots: i64, span: Span) -> i64 {
        (self.quota(slots) + 100).saturating_mul(2 * span.as_micros() as i64)
    }

    /// Returns whether the credit entitles the rank to a slot before all ranks below their limits.
    pub(super) fn has_full_credit(&self, slots: i64, span: Span) -> bool {
        self.is_entitled(slots) && self.credit >= self.credit_limit(slots, span)
    }

    /// Returns whether the rank waits for a whole slot that it is guaranteed.
    pub(super) fn is_owed(&self, slots: i64) -> bool {
        !self.queue.is_empty() && 100 * (self.in_flight + 1) <= self.quota(slots)
    }

    /// Returns whether the rank has all guaranteed slots, so that another one would be borrowed.
    pub(super) fn is_borrowing(&self, slots: i64) -> bool {
        100 * self.in_flight >= self.quota(slots)
    }

    /// Adds the service time of a finished request to the mean.
    pub(super) fn record_service_time(&mut self, sample: Span) {
        let mean = self.service_time.as_micros() as i64;
        let difference = sample.as_micros() as i64 - mean;
        self.service_time = Span::from_micros((mean + difference / SERVICE_TIME_SAMPLES) as u64);
    }
}
