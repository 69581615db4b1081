//! The parameters of the tests, and what follows from them.

use crate::time::Span;

/// The number of alternative hypotheses in one bank of tests.
pub const ALTERNATIVES: usize = 3;

/// The parameters of the tests.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The alternative hypotheses: shares of bad or slow outcomes of a failing server, from 0 to 1.
    pub alternatives: [f64; ALTERNATIVES],
    /// The lower limit of the base rate, from 0 to 1.
    pub min_rate: f64,
    /// The minimum mean time between two false ejections of one server.
    pub false_alarm_interval: Span,
    /// How long a score must stay at or above its threshold before the server counts as failing. The other
    /// servers' counts arrive in this time and show whether the whole service is at fault.
    pub confirm: Span,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            // Until its deadlines pass, a hanging server yields one bad outcome per slot, six in all. With 70% they
            // reach the threshold despite up to three good outcomes that are reported late. With 30% they barely
            // reach it or miss it. With 95% a good outcome lowers the score more, so two late ones are too many.
            alternatives: [0.05, 0.30, 0.70],
            min_rate: 0.01,
            // A twelfth of 365 days.
            false_alarm_interval: Span::from_secs(365 * 24 * 3600 / 12),
            confirm: Span::from_millis(100),
        }
    }
}

impl Options {
    /// Returns the score threshold at `rate` outcomes per second.
    ///
    /// One CUSUM with threshold `h` has a mean time to a false alarm of at least `exp(h)` outcomes. Each
    /// server has two tests with three alternatives, so each of the six may give one false alarm in six
    /// times `false_alarm_interval`.
    pub fn threshold(&self, rate: f64) -> f64 {
        let tests = (2 * ALTERNATIVES) as f64;
        (tests * rate.max(1.0) * self.false_alarm_interval.as_secs_f64()).ln()
    }

    /// Returns the alternative that is tested against the base rate `base`.
    ///
    /// Its odds are at least three times those of `base`. With a base rate above the alternative, a bad
    /// outcome would otherwise lower the score.
    pub fn alternative(&self, index: usize, base: f64) -> f64 {
        let odds = |p: f64| p / (1.0 - p);
        let o = odds(self.alternatives[index]).max(3.0 * odds(base));
        o / (1.0 + o)
    }
}
