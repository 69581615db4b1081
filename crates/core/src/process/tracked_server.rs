//! A registered backend server with its load and health estimates.

use crate::{
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        registration::Registration,
        server_limit::ServerLimit,
        stream_position::StreamPosition,
    },
    time::{Span, Timestamp},
};
use std::{cmp::Ordering, collections::BTreeMap};

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Ready,
    Draining,
    Ended,
}

/// A registered backend server with its load and health estimates.
#[derive(Clone, Debug)]
pub struct TrackedServer {
    pub(super) registration: Registration,
    /// Position of the newest record in the stream of registrations.
    pub(super) position: StreamPosition,
    pub(super) presence: Presence,
    /// When `presence` last changed.
    pub(super) presence_since: Timestamp,
    /// The era of the store in which the newest report was read first.
    pub(super) report_era: u64,
    /// Whether the registration was only missing from a restored copy of the store, so that nobody has ended it.
    pub(super) is_missing: bool,
    /// End of the warm-up after a start.
    pub(super) warm_until: Timestamp,
    /// Health estimate from the observations of all nodes.
    pub(super) shared_health: HealthEstimate,
    /// Health estimate from local observations only, which include faults of this node's path to the server.
    pub(super) local_health: HealthEstimate,
    /// Time of the newest failure that any node observed.
    pub(super) last_failure: Option<Timestamp>,
    /// Whether any node observed the server since it joined.
    pub(super) is_observed: bool,
    /// When any node is last known to have sent a request.
    pub(super) last_used: Option<Timestamp>,
    pub(super) in_flight: u32,
    /// Requests in flight of the other nodes by start id, with the time of the report.
    pub(super) peer_in_flight: BTreeMap<u64, (u32, Timestamp)>,
    pub(super) counts: Counts,
    /// The limit on requests that its responses name.
    pub(super) limit: ServerLimit,
}

/// This node's observations of one server since its last report to the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Successful responses.
    pub good: u8,
    /// Server errors.
    pub errors: u8,
    /// Lost or missing responses and failed connection attempts.
    pub lost: u8,
    /// Responses that take much longer than usual.
    pub slow: u8,
    /// Requests sent.
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

    /// Returns the number of observations of each kind. Failed connection attempts count as lost responses.
    pub fn observations(self) -> [(Observation, u8); 4] {
        [
            (Observation::Success, self.good),
            (Observation::Error, self.errors),
            (Observation::Lost, self.lost),
            (Observation::Slow, self.slow),
        ]
    }
}

/// A node's periodic report to the other nodes on its use of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The server, see [`ServerId::tag`](crate::process::registration::ServerId::tag).
    pub tag: u32,
    /// Observations since the node's last report.
    pub counts: Counts,
    /// The node's requests in flight at the server.
    pub in_flight: u32,
}

impl TrackedServer {
    /// Returns whether a record read in `era` is newer than what is known: first by its start, then by its report.
    ///
    /// In a later era the same report may be an old copy, so it counts only for a server that was missing from the
    /// restored store and is written again.
    pub(super) fn accepts(&self, registration: &Registration, era: u64) -> bool {
        let key = |r: &Registration| (r.started, r.report);
        match key(registration).cmp(&key(&self.registration)) {
            Ordering::Greater => true,
            Ordering::Equal => era == self.report_era || self.is_missing,
            Ordering::Less => false,
        }
    }

    /// Records a failure and drops the unreported successes, whose requests were sent before it.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.last_failure = Some(now);
        self.counts.good = 0;
    }

    /// Returns the registration as the server wrote it.
    pub fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Returns the limit on the requests per second from all nodes together, if the server names one.
    pub fn limit(&self) -> Option<f64> {
        self.limit.per_second()
    }

    /// Returns whether the limit that the server names leaves room for a request of this node.
    pub fn is_within_limit(&self, now: Timestamp, is_urgent: bool) -> bool {
        self.limit.wait(now, is_urgent) == Span::ZERO
    }

    /// Returns this node's requests in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests in flight at the server from all nodes. Reports older than `report_age` do not count.
    pub fn load(&self, report_age: Span, now: Timestamp) -> u32 {
        let fresh = |at: Timestamp| now.since(at) <= report_age;
        let others =
            self.peer_in_flight.values().filter(|(_, at)| fresh(*at)).map(|(count, _)| count);
        self.in_flight + others.sum::<u32>()
    }

    /// Returns the probability that the server or the path to it is failing.
    pub fn failing_probability(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        self.shared_health
            .failing_probability(options, now)
            .max(self.local_health.failing_probability(options, now))
    }

    /// Returns the probability that the server fails a request.
    pub fn failure_probability(&self, options: &HealthOptions, now: Timestamp) -> f64 {
        options.failing_error_rate * self.failing_probability(options, now)
    }

    /// Returns the speed of the server relative to its full speed: 0.5 during the warm-up, else 1.
    pub fn speed(&self, now: Timestamp) -> f64 {
        if now < self.warm_until {
            0.5
        } else {
            1.0
        }
    }

    /// Returns the age of the newest observation by any node.
    pub fn age(&self, now: Timestamp) -> Span {
        self.shared_health.age(now)
    }

    /// Returns whether any node is known to have sent the server a request within `window`.
    pub fn is_used(&self, now: Timestamp, window: Span) -> bool {
        self.last_used.is_some_and(|used| now.since(used) < window)
    }
}
