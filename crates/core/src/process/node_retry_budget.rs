//! One node's part of the retry budget that a service has over all nodes.
//!
//! The fleet may send, in any window, a share of the service's requests and a fixed number again. The nodes cannot agree
//! on each retry, so each one counts for itself, in a way that keeps the sum
//! ([docs/platform.md](../../../../docs/platform.md)) whatever the nodes hear of each other: a retry takes a token, a
//! request yields a part of one, and a node holds only a few. In a window the fleet sends at most the tokens that it held
//! at the beginning and those that the window yields. Load that moves from node to node does not change that sum, nor
//! does a node that starts again, as it starts without tokens.

use crate::{
    process::{
        server_limit::NodeCounts,
        token_bucket::{BucketRate, TokenBucket},
    },
    time::{Span, Timestamp},
};

/// The share of the budget that nodes use. The rest is a margin for requests that arrive at the edge of a window.
const SHARE_USED: f64 = 0.95;

/// The part of the fixed number that a node may hold and use at once. The rest accrues over the window.
const HELD_OF_FLOOR: f64 = 0.5;

/// The part of the retries per request that a node may hold, for the requests of a window. The rest is what a request
/// yields.
const HELD_OF_RATIO: f64 = 0.4;

/// The fewest tokens that a node may hold. With less than one it could never retry.
const MIN_HELD: f64 = 1.0;

/// A process that has just started does not know how many nodes there are, so for this long only requests yield tokens.
const DISCOVERY_TIME: Span = Span::from_secs(3);

/// The number of nodes that a node assumes that knows no other.
const ASSUMED_NODES: u32 = 30;

/// The retry budget of a service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryOptions {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed in each window in addition.
    pub floor: f64,
    /// The window.
    pub window: Span,
}

/// One node's part of a service's retry budget.
#[derive(Clone, Copy, Debug)]
pub struct NodeRetryBudget {
    options: FleetRetryOptions,
    accrues_from: Timestamp,
    bucket: TokenBucket,
    recent: RecentRequests,
}

impl NodeRetryBudget {
    /// Creates the budget of a process that started at `started`. It has no tokens: the process may be the successor of
    /// one that has used them.
    pub fn new(started: Timestamp, options: FleetRetryOptions) -> Self {
        let accrues_from = started + DISCOVERY_TIME;
        let bucket = TokenBucket::new(accrues_from, 0.0);
        NodeRetryBudget { options, accrues_from, bucket, recent: RecentRequests::default() }
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, now: Timestamp, nodes: NodeCounts) {
        self.recent.add(now, self.options.window);
        let tokens = (1.0 - HELD_OF_RATIO) * SHARE_USED * self.options.ratio;
        let rate = self.rate(now, nodes);
        self.bucket.take(self.accrual_time(now), rate, -tokens);
    }

    /// Takes a token for a retry, or returns `false` if there is none.
    pub fn try_retry(&mut self, now: Timestamp, nodes: NodeCounts) -> bool {
        let rate = self.rate(now, nodes);
        let now = self.accrual_time(now);
        let has_token = self.bucket.tokens(now, rate) >= 1.0;
        if has_token {
            self.bucket.take(now, rate, 1.0);
        }
        has_token
    }

    /// Returns the time up to which tokens have accrued. It stands still while the fleet is unknown.
    fn accrual_time(&self, now: Timestamp) -> Timestamp {
        now.max(self.accrues_from)
    }

    /// The fixed number is divided among the known nodes. Those that are silent may only be cut off from this one, and
    /// use their parts.
    fn rate(&self, now: Timestamp, nodes: NodeCounts) -> BucketRate {
        let FleetRetryOptions { ratio, floor, window } = self.options;
        let nodes = if nodes.known > 1 { nodes.known } else { ASSUMED_NODES };
        let part = SHARE_USED * floor / f64::from(nodes);
        let held = (HELD_OF_FLOOR * part).max(MIN_HELD);
        let per_second = (part - held).max(0.0) / window.as_secs_f64();
        let requests = f64::from(self.recent.count(now, window));
        let most = held + HELD_OF_RATIO * SHARE_USED * ratio * requests;
        BucketRate { per_second, most, debt: 0.0 }
    }
}

/// The number of intervals into which the window is divided.
const INTERVALS: usize = 10;

/// Counts the requests of the last window, by intervals.
#[derive(Clone, Copy, Debug, Default)]
struct RecentRequests {
    counts: [u32; INTERVALS],
    /// The number of the newest interval since the clock's origin.
    newest: u64,
}

impl RecentRequests {
    fn interval(now: Timestamp, window: Span) -> u64 {
        now.as_micros() / (window.as_micros() / INTERVALS as u64).max(1)
    }

    fn add(&mut self, now: Timestamp, window: Span) {
        let interval = Self::interval(now, window).max(self.newest);
        let passed = (interval - self.newest).min(INTERVALS as u64);
        for expired in interval + 1 - passed..=interval {
            self.counts[expired as usize % INTERVALS] = 0;
        }
        self.newest = interval;
        self.counts[interval as usize % INTERVALS] += 1;
    }

    fn count(&self, now: Timestamp, window: Span) -> u32 {
        let passed = Self::interval(now, window).saturating_sub(self.newest);
        let kept = (INTERVALS as u64).saturating_sub(passed);
        (0..kept).map(|age| self.counts[self.newest.wrapping_sub(age) as usize % INTERVALS]).sum()
    }
}
