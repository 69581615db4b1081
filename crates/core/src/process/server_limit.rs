//! The limits on requests per second that servers name in their responses, and each node's part of them.
//!
//! A limit is for all nodes together, and they cannot agree on each request. So each node keeps two budgets for a
//! server ([docs/platform.md](../../../../docs/platform.md)): an equal part of the limit for its own requests, and one
//! for the requests of all nodes, as far as it hears of them. The first bounds what nodes send before they hear of each
//! other, the second what the parts let through when nodes restart, see different fleets or saved up their parts.

use crate::{
    process::token_bucket::{BucketRate, TokenBucket},
    time::{Span, Timestamp},
};
use strum::{Display, IntoStaticStr};

/// The lowest limit that is kept, in requests per second. A server that names less, also 0, still gets a request from
/// time to time, whose response shows when the limit ends.
const MIN_LIMIT: f64 = 0.1;

/// The highest limit that is kept, in requests per second.
const MAX_LIMIT: f64 = 1e6;

/// The unused budget of this time can be used at once.
const BURST_SECONDS: f64 = 0.5;

/// The debt of a budget is bounded by the requests of this time, so that reports which arrive late or twice do not
/// keep a server out of use.
const DEBT_SECONDS: f64 = 4.0;

/// The factor on the limit for the requests of all nodes. The parts of all nodes add up to the limit, so this budget has
/// some room for the uneven use of the parts.
const FLEET_MARGIN: f64 = 1.2;

/// Requests that less urgent work leaves in the budget of all nodes for urgent work.
const URGENT_RESERVE: f64 = 1.0;

/// What a node knows is repeated to others at most this often, as long as it does not change.
const REPEAT_INTERVAL: Span = Span::from_secs(2);

/// The end of a limit is repeated to other nodes for this long.
const ENDED_REPEAT: Span = Span::from_secs(10);

/// Parses a limit in requests per second. A value that is not a number of 0 or more is ignored.
pub fn parse_limit(value: &str) -> Option<f64> {
    valid_limit(value.trim().parse().ok()?)
}

/// Returns the limit within its bounds, or `None` if it is not a number of 0 or more.
fn valid_limit(limit: f64) -> Option<f64> {
    (limit.is_finite() && limit >= 0.0).then(|| limit.clamp(MIN_LIMIT, MAX_LIMIT))
}

/// The nodes among which a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCounts {
    /// The nodes that this node hears from, itself included.
    pub live: u32,
    /// Those and the nodes that fell silent a short time ago. They may be cut off from this node only, and use their
    /// parts.
    pub known: u32,
}

impl NodeCounts {
    /// Returns one node's part of a number that all nodes share. It does not grow while others are cut off.
    pub fn part_of(self, total: u32) -> u32 {
        total / self.known.max(1)
    }
}

impl Default for NodeCounts {
    fn default() -> Self {
        NodeCounts { live: 1, known: 1 }
    }
}

/// What an observation changed in the known limit of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LimitChange {
    /// The server names a limit and named none before.
    Named,
    /// The server names another limit.
    Changed,
    /// The server names no limit any more.
    Ended,
}

/// What a node tells others about the limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The server, see [`ServerId::tag`](crate::process::registration::ServerId::tag).
    pub tag: u32,
    /// The start time of the server that named the limit, in Unix milliseconds.
    pub started: u64,
    /// The limit in requests per second, `None` if the server names none any more.
    pub limit: Option<f64>,
    /// How long ago the response arrived that says so.
    pub age: Span,
}

/// The limit of one start of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLimit {
    budgets: Option<Budgets>,
    observed: Timestamp,
    /// When any node last told the others, as far as this node knows.
    shared: Option<Timestamp>,
    ended: Option<Timestamp>,
}

/// What is left of a limit for this node's requests and for those of all nodes.
#[derive(Clone, Copy, Debug)]
struct Budgets {
    per_second: f64,
    nodes: NodeCounts,
    own: TokenBucket,
    fleet: TokenBucket,
}

impl ServerLimit {
    /// Returns the limit in requests per second, if the server names one.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.budgets.map(|budgets| budgets.per_second)
    }

    /// Records what a response that arrived at `at` says, and returns what that changed. An observation older than the
    /// newest one changes nothing, nor does a limit that is no number.
    ///
    /// `draw`, from 0 to 1, is the part of a request that this node may send from the beginning. It differs between
    /// nodes, which would otherwise all send their next request at the same time.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        named: Option<f64>,
        nodes: NodeCounts,
        draw: f64,
    ) -> Option<LimitChange> {
        let named = match named {
            Some(limit) => Some(valid_limit(limit)?),
            None => None,
        };
        if at < self.observed {
            return None;
        }
        self.observed = at;
        match (&mut self.budgets, named) {
            (None, Some(limit)) => {
                self.budgets = Some(Budgets::new(now, limit, nodes, draw));
                Some(LimitChange::Named)
            }
            (Some(budgets), Some(limit)) if budgets.per_second != limit => {
                budgets.settle(now);
                budgets.per_second = limit;
                Some(LimitChange::Changed)
            }
            (Some(_), None) => {
                self.budgets = None;
                self.ended = Some(now);
                Some(LimitChange::Ended)
            }
            _ => None,
        }
    }

    /// Returns whether the other nodes should be told what this node has just observed.
    pub(super) fn is_due(&self, now: Timestamp, change: Option<LimitChange>) -> bool {
        let is_stale = self.shared.is_none_or(|shared| now.since(shared) >= REPEAT_INTERVAL);
        change.is_some() || (self.is_told(now) && is_stale)
    }

    /// Returns whether the server names a limit, or named one until recently.
    fn is_told(&self, now: Timestamp) -> bool {
        let is_recent = |ended: Timestamp| now.since(ended) <= ENDED_REPEAT;
        self.budgets.is_some() || self.ended.is_some_and(is_recent)
    }

    /// Records that a node tells the others what this node knows.
    pub(super) fn record_shared(&mut self, now: Timestamp) {
        self.shared = Some(now);
    }

    /// Returns what other nodes should know, if the server names a limit or named one until recently.
    pub(super) fn report(&self, now: Timestamp, tag: u32, started: u64) -> Option<LimitReport> {
        let age = now.since(self.observed);
        self.is_told(now).then(|| LimitReport { tag, started, limit: self.per_second(), age })
    }

    /// Sets the nodes among which the limit is divided.
    pub(super) fn set_nodes(&mut self, now: Timestamp, nodes: NodeCounts) {
        let Some(budgets) = &mut self.budgets else { return };
        budgets.settle(now);
        budgets.nodes = nodes;
    }

    /// Counts a request that this node sends.
    pub(super) fn record_send(&mut self, now: Timestamp) {
        let Some(budgets) = &mut self.budgets else { return };
        budgets.own.take(now, budgets.own_rate(), 1.0);
        budgets.fleet.take(now, budgets.fleet_rate(), 1.0);
    }

    /// Counts requests that another node sent.
    pub(super) fn record_peer_sends(&mut self, now: Timestamp, count: u8) {
        let Some(budgets) = &mut self.budgets else { return };
        budgets.fleet.take(now, budgets.fleet_rate(), f64::from(count));
    }

    /// Returns how long it takes until this node may send the server a request, 0 without a limit. Less urgent work
    /// leaves a part of the budget to urgent work.
    pub(super) fn wait(&self, now: Timestamp, is_urgent: bool) -> Span {
        self.budgets.map_or(Span::ZERO, |budgets| budgets.wait(now, is_urgent))
    }
}

impl Budgets {
    fn new(now: Timestamp, per_second: f64, nodes: NodeCounts, draw: f64) -> Self {
        let own = TokenBucket::new(now, draw);
        Budgets { per_second, nodes, own, fleet: TokenBucket::new(now, 0.0) }
    }

    fn own_rate(&self) -> BucketRate {
        bucket_rate(self.per_second / f64::from(self.nodes.known.max(1)), 1.0)
    }

    fn fleet_rate(&self) -> BucketRate {
        let reachable = f64::from(self.nodes.live) / f64::from(self.nodes.known.max(1));
        bucket_rate(FLEET_MARGIN * self.per_second * reachable, 1.0 + URGENT_RESERVE)
    }

    fn settle(&mut self, now: Timestamp) {
        self.own.settle(now, self.own_rate());
        self.fleet.settle(now, self.fleet_rate());
    }

    fn wait(&self, now: Timestamp, is_urgent: bool) -> Span {
        let reserve = if is_urgent { 0.0 } else { URGENT_RESERVE };
        let own = self.own.seconds_until(now, self.own_rate(), 1.0);
        let fleet = self.fleet.seconds_until(now, self.fleet_rate(), 1.0 + reserve);
        // The conversion saturates.
        Span::from_micros((own.max(fleet) * 1e6).ceil() as u64)
    }
}

fn bucket_rate(per_second: f64, least: f64) -> BucketRate {
    BucketRate {
        per_second,
        most: (per_second * BURST_SECONDS).max(least),
        debt: (per_second * DEBT_SECONDS).max(least),
    }
}
