//! Estimates the probability that a backend server is failing.

use crate::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// The observed result of one request or connection attempt at a backend server.
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
    /// A complete response without a server error.
    Success,
    /// A response with a server error.
    Error,
    /// The request was sent, and its response is missing, truncated or belongs to another request.
    Lost,
    /// No connection could be opened.
    Unreachable,
    /// The response takes much longer than is usual for the service.
    Slow,
}

impl Observation {
    /// Returns whether the network path between this node and the server may be the cause.
    pub fn may_be_path_fault(self) -> bool {
        matches!(self, Observation::Lost | Observation::Unreachable)
    }
}

/// Parameters of the two states of the health model, healthy and failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthOptions {
    /// Rate at which a healthy server begins to fail, per second.
    pub onset_per_s: f64,
    /// Rate at which a failing server recovers, per second.
    pub recovery_per_s: f64,
    /// Probability that a failing server fails a request.
    pub failing_error_rate: f64,
    /// Probability that a healthy server fails a request.
    pub healthy_error_rate: f64,
}

impl Default for HealthOptions {
    fn default() -> Self {
        HealthOptions {
            onset_per_s: 0.033,
            recovery_per_s: 0.1,
            failing_error_rate: 0.75,
            healthy_error_rate: 0.015,
        }
    }
}

/// Bounds of the estimated probability. Beyond them the estimate would need many observations to change sides.
const MIN_FAILING: f64 = 0.002;
const MAX_FAILING: f64 = 0.995;

/// Likelihood ratio (failing to healthy) of a slow response. It is low because a few requests of each service take
/// several times as long as the others.
const SLOW_LIKELIHOOD_RATIO: f64 = 6.0;

/// The estimated probability that a server is failing, from a two-state hidden Markov filter.
///
/// Between observations the probability moves towards the long-run share of failing time. Each observation multiplies
/// the odds by its likelihood ratio. A failing server fails most of its requests, so one failure is nearly proof and
/// each success reduces the odds to a quarter; few requests are enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthEstimate {
    failing: f64,
    at: Timestamp,
}

impl HealthEstimate {
    /// Returns the estimate of a server that was not observed yet.
    pub fn new(now: Timestamp) -> Self {
        HealthEstimate { failing: 0.05, at: now }
    }

    /// Restores an estimate that was saved at `at`.
    pub fn restored(failing: f64, at: Timestamp) -> Self {
        HealthEstimate { failing: failing.clamp(MIN_FAILING, MAX_FAILING), at }
    }

    /// Returns the probability at `now` that the server is failing.
    pub fn failing_probability(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        let rate = options.onset_per_s + options.recovery_per_s;
        let long_run = options.onset_per_s / rate;
        let decay = (-rate * now.since(self.at).as_secs_f64()).exp();
        long_run + (self.failing - long_run) * decay
    }

    /// Returns the age of the newest observation.
    pub fn age(&self, now: Timestamp) -> Span {
        now.since(self.at)
    }

    /// Updates the estimate with an observation.
    ///
    /// `weight` scales the evidence: 1 for a local observation, less if the cause may lie elsewhere.
    pub fn observe(
        &mut self,
        options: &HealthOptions,
        now: Timestamp,
        observation: Observation,
        weight: f64,
    ) {
        let ratio = match observation {
            Observation::Success => {
                (1.0 - options.failing_error_rate) / (1.0 - options.healthy_error_rate)
            }
            Observation::Slow => SLOW_LIKELIHOOD_RATIO,
            Observation::Error | Observation::Lost | Observation::Unreachable => {
                options.failing_error_rate / options.healthy_error_rate
            }
        };
        let failing = self.failing_probability(options, now);
        let odds = failing / (1.0 - failing) * ratio.powf(weight);
        self.failing = (odds / (1.0 + odds)).clamp(MIN_FAILING, MAX_FAILING);
        self.at = now;
    }
}
