//! The probability that a backend server is in a failing phase.

use crate::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// `Signal` is what one use of a backend server showed.
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
pub enum Signal {
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

impl Signal {
    /// Returns whether the signal may come from the path between one node and the server.
    pub fn is_path(self) -> bool {
        matches!(self, Signal::Lost | Signal::Unreachable)
    }
}

/// `BeliefOptions` describes the two phases of a server: sound and failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeliefOptions {
    /// How often a sound server begins to fail, a second.
    pub onset: f64,
    /// How often a failing server recovers, a second.
    pub recovery: f64,
    /// The share of requests that a failing server fails.
    pub fail_failing: f64,
    /// The share of requests that a sound server fails.
    pub fail_sound: f64,
}

impl Default for BeliefOptions {
    fn default() -> Self {
        BeliefOptions { onset: 0.033, recovery: 0.1, fail_failing: 0.75, fail_sound: 0.015 }
    }
}

/// The bounds of the probability. Outside them a server would need many signals to change its phase.
const MIN_FAILING: f64 = 0.002;
const MAX_FAILING: f64 = 0.995;

/// The ratio of likelihoods of a slow answer, failing to sound. It is low because a few requests of each service
/// take several times as long as the others.
const SLOW_LIKELIHOOD_RATIO: f64 = 6.0;

/// `Belief` is the filtered probability that a server is in its failing phase.
///
/// It is the two-state hidden Markov filter: between signals the probability moves to the long-run share of failing
/// time, and each signal multiplies the odds by its ratio of likelihoods. One failure of a server that fails most of
/// its work is nearly proof, and each success makes it a quarter as likely, so few requests are enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    failing: f64,
    at: Timestamp,
}

impl Belief {
    /// Returns the belief about a server that has shown nothing since it started.
    pub fn new(now: Timestamp) -> Self {
        Belief { failing: 0.05, at: now }
    }

    /// Returns a belief that was formed at `at` and kept elsewhere.
    pub fn recalled(failing: f64, at: Timestamp) -> Self {
        Belief { failing: failing.clamp(MIN_FAILING, MAX_FAILING), at }
    }

    /// Returns the probability at `now` that the server is failing.
    pub fn failing(&self, options: &BeliefOptions, now: Timestamp) -> f64 {
        let rate = options.onset + options.recovery;
        let long_run = options.onset / rate;
        let decay = (-rate * now.since(self.at).as_secs_f64()).exp();
        long_run + (self.failing - long_run) * decay
    }

    /// Returns how long ago the newest signal came.
    pub fn age(&self, now: Timestamp) -> Span {
        now.since(self.at)
    }

    /// Takes a signal into account.
    ///
    /// `share` scales the evidence: 1 is a signal that was seen here, less is one whose cause may lie elsewhere.
    pub fn observe(
        &mut self,
        options: &BeliefOptions,
        now: Timestamp,
        signal: Signal,
        weight: f64,
    ) {
        let ratio = match signal {
            Signal::Success => (1.0 - options.fail_failing) / (1.0 - options.fail_sound),
            Signal::Slow => SLOW_LIKELIHOOD_RATIO,
            Signal::Error | Signal::Lost | Signal::Unreachable => {
                options.fail_failing / options.fail_sound
            }
        };
        let failing = self.failing(options, now);
        let odds = failing / (1.0 - failing) * ratio.powf(weight);
        self.failing = (odds / (1.0 + odds)).clamp(MIN_FAILING, MAX_FAILING);
        self.at = now;
    }
}
