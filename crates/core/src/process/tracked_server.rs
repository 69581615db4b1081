//! One backend server with what is known and believed of it.

use crate::{
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        registration::Registration,
    },
    time::{Span, Timestamp},
};
use std::collections::BTreeMap;

/// `Presence` is how far a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Ready,
    Draining,
    Ended,
}

/// `TrackedServer` is one server with what is known and believed of it.
#[derive(Clone, Debug)]
pub struct TrackedServer {
    pub(super) registration: Registration,
    pub(super) position: u64,
    pub(super) presence: Presence,
    pub(super) since: Timestamp,
    pub(super) warm: Timestamp,
    pub(super) shared: HealthEstimate,
    pub(super) path: HealthEstimate,
    pub(super) failed: Option<Timestamp>,
    pub(super) is_seen: bool,
    pub(super) used: Option<Timestamp>,
    pub(super) in_flight: u32,
    pub(super) others: BTreeMap<u64, (u32, Timestamp)>,
    pub(super) counts: Counts,
}

/// `Counts` are the observations of one server since the last report to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Good answers.
    pub good: u8,
    /// Server errors.
    pub errors: u8,
    /// Answers that were lost or never came, and connections that could not be opened.
    pub lost: u8,
    /// Answers that take too long.
    pub slow: u8,
    /// Requests that were sent.
    pub sent: u8,
}

impl Counts {
    pub(super) fn add(&mut self, observation: Observation) {
        let field = match observation {
            Observation::Success => &mut self.good,
            Observation::Error => &mut self.errors,
            Observation::Lost | Observation::Unreachable => &mut self.lost,
            Observation::Slow => &mut self.slow,
        };
        *field = field.saturating_add(1);
    }

    /// Returns the observations with their numbers.
    pub fn observations(self) -> [(Observation, u8); 4] {
        [
            (Observation::Success, self.good),
            (Observation::Error, self.errors),
            (Observation::Lost, self.lost),
            (Observation::Slow, self.slow),
        ]
    }
}

/// `ServerReport` is what one node tells the others of its use of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The server, see [`ServerId::tag`].
    pub tag: u32,
    /// What the node saw since its last report.
    pub counts: Counts,
    /// The node's requests in flight there.
    pub in_flight: u32,
}

impl TrackedServer {
    /// Notes a failure: successes that wait to be reported were sent before it.
    pub(super) fn fail(&mut self, now: Timestamp) {
        self.failed = Some(now);
        self.counts.good = 0;
    }

    /// Returns what the server wrote.
    pub fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Returns this node's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the known requests in flight there, of all nodes.
    ///
    /// What another node said is believed for `report_age`.
    pub fn load(&self, report_age: Span, now: Timestamp) -> u32 {
        let fresh = |at: Timestamp| now.since(at) <= report_age;
        let others = self.others.values().filter(|(_, at)| fresh(*at)).map(|(count, _)| count);
        self.in_flight + others.sum::<u32>()
    }

    /// Returns the probability that the server, or the path to it, is in a failing phase.
    pub fn failing(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        self.shared.failing(options, now).max(self.path.failing(options, now))
    }

    /// Returns the probability that a request there fails.
    pub fn failure(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        options.fail_failing * self.failing(options, now)
    }

    /// Returns the share of its speed that a server which has just started has, 0.5 or 1.
    pub fn speed(&self, now: Timestamp) -> f64 {
        if now < self.warm {
            0.5
        } else {
            1.0
        }
    }

    /// Returns how long ago any node saw something of the server.
    pub fn age(&self, now: Timestamp) -> Span {
        self.shared.age(now)
    }

    /// Returns whether any node is known to have sent a request there within `window`.
    pub fn is_used(&self, now: Timestamp, window: Span) -> bool {
        self.used.is_some_and(|used| now.since(used) < window)
    }
}
