//! Outcome counts that forget the past.

use crate::process::evidence::EvidenceCounts;
use std::ops::{AddAssign, Sub};

/// Time constants, in seconds, of the decayed outcome counts. The shorter one makes the base rate follow a
/// fault of the whole service before single servers are blamed for it.
pub(super) const TIME_CONSTANTS: [f64; 2] = [1.0, 10.0];

/// The upper limit of a base rate. A share of 1 would have infinite odds.
const MAX_BASE: f64 = 0.95;

/// Outcome counts that decay exponentially with one time constant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedCounts {
    pub(super) good: f64,
    pub(super) bad: f64,
    pub(super) slow: f64,
}

/// Decayed counts with each of the time constants.
pub(super) type DecayedWindows = [DecayedCounts; TIME_CONSTANTS.len()];

impl DecayedCounts {
    /// Decays the counts by a factor and adds new ones.
    pub(super) fn update(&mut self, decay: f64, new: &EvidenceCounts) {
        self.good = self.good * decay + f64::from(new.good);
        self.bad = self.bad * decay + f64::from(new.bad);
        self.slow = self.slow * decay + f64::from(new.slow);
    }

    /// Returns the number of outcomes.
    pub(super) fn total(&self) -> f64 {
        self.good + self.bad
    }
}

impl AddAssign for DecayedCounts {
    fn add_assign(&mut self, other: DecayedCounts) {
        self.good += other.good;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

impl Sub for DecayedCounts {
    type Output = DecayedCounts;

    fn sub(self, other: DecayedCounts) -> DecayedCounts {
        DecayedCounts {
            good: self.good - other.good,
            bad: self.bad - other.bad,
            slow: self.slow - other.slow,
        }
    }
}

/// The base rates of bad and of slow outcomes.
#[derive(Clone, Copy, Debug)]
pub(super) struct BaseRates {
    pub(super) bad: f64,
    pub(super) slow: f64,
}

impl BaseRates {
    /// Returns the highest shares of the `others` in any window with an outcome.
    pub(super) fn of_windows(others: &DecayedWindows, min_rate: f64) -> Self {
        let mut rates = BaseRates { bad: min_rate, slow: min_rate };
        for counts in others {
            if counts.total() >= 1.0 {
                rates.bad = rates.bad.max(counts.bad / counts.total());
            }
            if counts.good >= 1.0 {
                rates.slow = rates.slow.max(counts.slow / counts.good);
            }
        }
        rates.limited()
    }

    /// Returns the shares of the `others` in one window, which may have less than one outcome.
    pub(super) fn of_window(others: &DecayedCounts, min_rate: f64) -> Self {
        let bad = (others.bad / others.total().max(1.0)).max(min_rate);
        let slow = (others.slow / others.good.max(1.0)).max(min_rate);
        BaseRates { bad, slow }.limited()
    }

    fn limited(self) -> Self {
        BaseRates { bad: self.bad.min(MAX_BASE), slow: self.slow.min(MAX_BASE) }
    }
}
