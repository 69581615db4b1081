//! The CUSUM scores of one server for one kind of outcome.

use super::options::{Options, ALTERNATIVES};
use crate::time::Timestamp;

/// The limit of a score, as a multiple of the threshold.
const MAX_SCORE: f64 = 1.5;

/// Returns the score of a CUSUM after a batch: the minimum over all orders of its outcomes.
pub fn update_score(score: f64, hits: f64, misses: f64, base: f64, alternative: f64) -> f64 {
    (score + hits * (alternative / base).ln() + misses * ((1.0 - alternative) / (1.0 - base)).ln())
        .max(0.0)
}

/// The state of one test: a score for each alternative, and the base rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bank {
    pub(super) scores: [f64; ALTERNATIVES],
    pub(super) base: f64,
    /// Since when the highest score is at or above the threshold.
    pub(super) above: Option<Timestamp>,
}

impl Bank {
    /// Returns the highest score.
    pub(super) fn score(&self) -> f64 {
        self.scores.iter().copied().fold(0.0, f64::max)
    }

    /// Sets the scores to zero.
    pub(super) fn clear(&mut self) {
        self.scores = [0.0; ALTERNATIVES];
        self.above = None;
    }

    /// Adds a batch of outcomes to the scores.
    pub(super) fn update(&mut self, options: &Options, hits: f64, misses: f64) {
        for (i, score) in self.scores.iter_mut().enumerate() {
            let alternative = options.alternative(i, self.base);
            *score = update_score(*score, hits, misses, self.base, alternative);
        }
    }

    /// Limits the scores, and records since when the highest is at or above the threshold.
    ///
    /// The limit bounds the number of good outcomes that a server with a lowered weight needs to recover.
    pub(super) fn compare(&mut self, now: Timestamp, threshold: f64) {
        for score in &mut self.scores {
            *score = score.min(MAX_SCORE * threshold);
        }
        if self.score() < threshold {
            self.above = None;
        } else if self.above.is_none() {
            self.above = Some(now);
        }
    }

    /// Returns whether the test has failed and these outcomes alone reach a quarter of the threshold.
    ///
    /// The `missing` outcomes are added to four times the score.
    pub(super) fn is_confirmed_by(
        &self,
        options: &Options,
        threshold: f64,
        (hits, misses): (f64, f64),
        missing: f64,
    ) -> bool {
        self.score() >= threshold
            && (0..ALTERNATIVES).any(|i| {
                let alternative = options.alternative(i, self.base);
                let score = update_score(0.0, hits, misses, self.base, alternative);
                4.0 * score + missing >= threshold
            })
    }
}

/// Returns the log-likelihood ratio of the observed share against `base`, or 0 if the share is not above it.
pub(super) fn log_likelihood_ratio(hits: f64, total: f64, base: f64) -> f64 {
    let share = hits / total.max(1.0);
    if share <= base {
        return 0.0;
    }
    let misses = (total - hits).max(0.0);
    let rest = if misses > 0.0 { misses * ((1.0 - share) / (1.0 - base)).ln() } else { 0.0 };
    hits * (share / base).ln() + rest
}
