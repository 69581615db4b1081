//! The probability that a backend server is in a failing phase.

use crate::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// `Observation` is what one use of a backend server showed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Observation {
    /// A whole answer that is no server error.
    Success,
    /// A server error.
    Error,
    /// The request was sent, and its answer is missing, cut or not an answer to it.
    Lost,
    /// No connection could be opened.
    Unreachable,
    /// The answer takes much longer than the service usually needs.
    Slow,
}

impl Observation {
    /// Returns whether the observation may come from the path between one node and the server.
    pub fn is_path(self) -> bool {
        matches!(self, Observation::Lost | Observation::Unreachable)
    }
}

/// `HealthOptions` describes the two phases of a server: sound and failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthOptions {
    /// How often a sound server begins to fail, a second.
    pub onset: f64,
    /// How often a failing server recovers, a second.
    pub recovery: f64,
    /// The share of requests that a failing server fails.
    pub fail_failing: f64,
    /// The share of requests that a sound server fails.
    pub fail_sound: f64,
}

impl Default for HealthOptions {
    fn default() -> Self {
        HealthOptions { onset: 0.033, recovery: 0.1, fail_failing: 0.75, fail_sound: 0.015 }
    }
}

/// The bounds of the probability. Outside them a server would need many observations to change its phase.
const MIN_FAILING: f64 = 0.002;
const MAX_FAILING: f64 = 0.995;

/// The ratio of likelihoods of a slow answer, failing to sound. It is low because a few requests of each service
/// take several times as long as the others.
const SLOW_RATIO: f64 = 6.0;

/// `HealthEstimate` is the filtered probability that a server is in its failing phase.
///
/// It is the two-state hidden Markov filter: between observations the probability moves to the long-run share of
/// failing time, and each observation multiplies the odds by its ratio of likelihoods. One failure of a server that
/// fails most of its work is nearly proof, and each success makes it a quarter as likely, so few requests are enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthEstimate {
    failing: f64,
    at: Timestamp,
}

impl HealthEstimate {
    /// Returns the health estimate about a server that has shown nothing since it started.
    pub fn new(now: Timestamp) -> Self {
        HealthEstimate { failing: 0.05, at: now }
    }

    /// Returns a health estimate that was formed at `at` and kept elsewhere.
    pub fn restored(failing: f64, at: Timestamp) -> Self {
        HealthEstimate { failing: failing.clamp(MIN_FAILING, MAX_FAILING), at }
    }

    /// Returns the probability at `now` that the server is failing.
    pub fn failing(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        let rate = options.onset + options.recovery;
        let rest = options.onset / rate;
        let kept = (-rate * now.since(self.at).as_secs_f64()).exp();
        rest + (self.failing - rest) * kept
    }

    /// Returns how long ago the newest observation came.
    pub fn age(&self, now: Timestamp) -> Span {
        now.since(self.at)
    }

    /// Takes an observation into account.
    ///
    /// `share` scales the evidence: 1 is an observation that was seen here, less is one whose cause may lie elsewhere.
    pub fn observe(
        &mut self,
        options: &HealthOptions,
        now: Timestamp,
        observation: Observation,
        share: f64,
    ) {
        let ratio = match observation {
            Observation::Success => (1.0 - options.fail_failing) / (1.0 - options.fail_sound),
            Observation::Slow => SLOW_RATIO,
            Observation::Error | Observation::Lost | Observation::Unreachable => {
                options.fail_failing / options.fail_sound
            }
        };
        let failing = self.failing(options, now);
        let odds = failing / (1.0 - failing) * ratio.powf(share);
        self.failing = (odds / (1.0 + odds)).clamp(MIN_FAILING, MAX_FAILING);
        self.at = now;
    }
}
