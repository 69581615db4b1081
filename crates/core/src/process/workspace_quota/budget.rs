//! What one node knows of the use of one workspace's quota, and its decisions on requests.

use super::{recent_count::RecentCount, QuotaCounts, QuotaOptions};
use crate::{
    process::{
        server_limit::NodeCounts,
        token_bucket::{BucketRate, TokenBucket},
    },
    time::{Span, Timestamp},
    version::routing_config::Quota,
};

/// The share of the allowed excess of the rate that is used on purpose. Requests below the nominal rate are then not
/// refused because of late reports.
const RATE_EXCESS_USED: f64 = 0.2;

/// The share of the burst that the pool holds. What a workspace sends in a sudden burst is heard late, so the rest makes up
/// for that.
const BURST_USED: f64 = 0.8;

/// The share of the allowed number of further requests by which the pool is larger than the burst. The rest is left to
/// requests that nodes admit before they hear of each other.
const SLACK_USED: f64 = 0.3;

/// The time over which a filled pool is spent, or a debt is paid. A time shorter than the age of reports would make the
/// fleet swing between too many requests and none.
const SETTLING_S: f64 = 0.7;

/// The share of the rate that is admitted also during a large debt.
const LEAST_SHARE: f64 = 0.2;

/// The usual age of the requests at other nodes when this one hears of them.
const REPORT_AGE_S: f64 = 0.35;

/// The debt of a pool is bounded by the requests of this time, so that reports which arrive twice do not stop a
/// workspace for long.
const DEBT_SECONDS: f64 = 2.0;

/// How long a request counts in the estimated demand.
const DEMAND_MEMORY: Span = Span::from_millis(1_000);

/// Other nodes are told at once what this node admits, when the demand times this exceeds what may be admitted.
const REPORT_MARGIN: f64 = 5.0;

/// The fewest requests since the last report that other nodes are told early.
const MIN_SURGE: f64 = 2.0;

/// Requests are told early if there are this many times as many as expected since the last report.
const SURGE_FACTOR: f64 = 2.5;

/// The part of the capacity with which a node starts that cannot know what the others have admitted.
const START_SHARE: f64 = 0.25;

/// The share of the allowed excess that nodes use together for the first request of a workspace after their starts.
const START_SLACK: f64 = 0.8;

/// A multiple of its rate, in requests per second, that a workspace may send while nodes start and do not hear each
/// other.
const START_OVERLOAD: f64 = 4.0;

/// The demand and the pool of all nodes, as far as this node has heard.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    pub(super) quota: Quota,
    /// What the whole fleet may still admit.
    pool: TokenBucket,
    /// The requests of callers at all nodes, admitted or not.
    demand: RecentCount,
    /// Those at this node.
    own_demand: RecentCount,
    /// The part of a request that this node may admit, from the requests so far. It begins at random, as the nodes
    /// would otherwise all admit their first one, or none of them.
    credit: Option<f64>,
    /// Own requests that the other nodes have not been told.
    pub(super) own: QuotaCounts,
    /// Requests of other data centres that the nodes of this one have not been told.
    pub(super) relayed: QuotaCounts,
    /// Whether another node has sent its level.
    has_level: bool,
    /// When a refusal was last logged.
    pub(super) refusal_logged: Option<Timestamp>,
}

/// What the decisions on all workspaces depend on, beside the observations of each.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context {
    pub(super) options: QuotaOptions,
    pub(super) nodes: NodeCounts,
    /// Whether the process has just started, and may not have heard of all nodes and their requests.
    pub(super) is_new: bool,
}

impl Budget {
    pub(super) fn new(now: Timestamp, quota: Quota, context: &Context) -> Self {
        let mut budget = Budget {
            quota,
            pool: TokenBucket::new(now, 0.0),
            demand: RecentCount::new(now, DEMAND_MEMORY),
            own_demand: RecentCount::new(now, DEMAND_MEMORY),
            credit: None,
            own: QuotaCounts::default(),
            relayed: QuotaCounts::default(),
            has_level: false,
            refusal_logged: None,
        };
        let share = if context.is_new { START_SHARE } else { 1.0 };
        budget.pool = TokenBucket::new(now, share * budget.rate(context).most);
        budget
    }

    /// Returns the rate of the pool. While nodes are silent that may be cut off from this one, those that are heard use
    /// their part of the quota. A new process that has got a level need not have heard of all nodes itself.
    fn rate(&self, context: &Context) -> BucketRate {
        let Context { options: QuotaOptions { over, slack }, nodes, is_new } = *context;
        let Quota { per_second, burst } = self.quota;
        let is_whole = is_new && self.has_level;
        let heard = f64::from(nodes.live.min(nodes.known)) / f64::from(nodes.known.max(1));
        let heard = if is_whole { 1.0 } else { heard };
        let extra = if self.is_closed() { 0.0 } else { SLACK_USED * slack };
        let per_second = (1.0 + RATE_EXCESS_USED * over) * per_second * heard;
        BucketRate {
            per_second,
            most: (BURST_USED * burst + extra) * heard,
            debt: DEBT_SECONDS * per_second + slack,
        }
    }

    /// Decides on a request of a caller. `draw`, from 0 to 1, is used for the first one.
    pub(super) fn charge(&mut self, now: Timestamp, context: &Context, draw: f64) -> bool {
        self.demand.add(now, 1.0);
        self.own_demand.add(now, 1.0);
        self.own.offered += 1;
        let is_unknown = context.is_new && !self.has_level && self.credit.is_none();
        let least = if is_unknown { self.first_share(context) } else { 0.0 };
        let share = self.admitted_share(now, context).max(least);
        let credit = self.credit.unwrap_or(draw) + share;
        let is_admitted = share > 0.0 && credit >= 1.0;
        self.credit = Some(if is_admitted { credit - 1.0 } else { credit });
        if is_admitted {
            self.own.admitted += 1;
            self.pool.take(now, self.rate(context), 1.0);
        }
        is_admitted
    }

    /// Returns the share of the callers' requests that all nodes may admit now.
    ///
    /// Each node admits this share of its own requests, whichever part of the demand these are. So the sum follows from
    /// the demand of all nodes, also while callers move from one node to another.
    fn admitted_share(&self, now: Timestamp, context: &Context) -> f64 {
        let demand = self.fleet_demand(now, context);
        (self.admissible(now, context) / demand).clamp(0.0, 1.0)
    }

    /// Returns the share of first requests that a new process admits whatever it knows. A workspace of a few requests a
    /// second would otherwise be refused everywhere after a restart of all nodes.
    fn first_share(&self, context: &Context) -> f64 {
        let excess = START_SLACK * self.allowed_excess(context);
        (excess / (START_OVERLOAD * self.quota.per_second).max(1.0)).min(1.0)
    }

    /// Returns by how many requests the quota may be exceeded beside the excess of the rate. A quota of 0 admits nothing.
    fn allowed_excess(&self, context: &Context) -> f64 {
        let QuotaOptions { over, slack } = context.options;
        if self.is_closed() {
            0.0
        } else {
            over * self.quota.burst + slack
        }
    }

    fn is_closed(&self) -> bool {
        self.quota.per_second <= 0.0 && self.quota.burst <= 0.0
    }

    /// Returns the recent requests at this node without one, as a single request says nothing about other nodes.
    fn further_count(&self, now: Timestamp) -> f64 {
        (self.own_demand.count(now) - 1.0).max(0.0)
    }

    /// Returns the requests per second that all nodes may admit now.
    fn admissible(&self, now: Timestamp, context: &Context) -> f64 {
        let rate = self.rate(context);
        let left = self.pool.tokens(now, rate) - self.unheard(now, rate.per_second);
        (rate.per_second + left / SETTLING_S).max(LEAST_SHARE * rate.per_second)
    }

    /// Returns how many requests the other nodes have probably admitted that this one has not heard of.
    fn unheard(&self, now: Timestamp, per_second: f64) -> f64 {
        let (all, own) = (self.demand.per_second(now), self.own_demand.per_second(now));
        let others = (all - own).max(0.0);
        REPORT_AGE_S * others * (per_second / all.max(per_second))
    }

    /// Returns the requests per second at all nodes.
    ///
    /// A new process has not heard of the requests at other nodes, so it assumes the same at each from its second
    /// request on. If it did so from the first, workspaces with few callers would be refused everywhere after a restart
    /// of all nodes.
    fn fleet_demand(&self, now: Timestamp, context: &Context) -> f64 {
        let known = self.demand.per_second(now);
        if context.is_new && !self.has_level {
            let further = self.further_count(now);
            let assumed = further / DEMAND_MEMORY.as_secs_f64() * f64::from(context.nodes.known);
            return known.max(assumed.min(START_OVERLOAD * self.quota.per_second));
        }
        known
    }

    /// Takes back the charge of a request that reached no server.
    pub(super) fn refund(&mut self, now: Timestamp, context: &Context) {
        self.own.admitted -= 1;
        self.pool.take(now, self.rate(context), -1.0);
    }

    /// Counts requests at another node.
    pub(super) fn record_peer(
        &mut self,
        now: Timestamp,
        context: &Context,
        admitted: f64,
        offered: f64,
    ) {
        self.demand.add(now, offered);
        self.pool.take(now, self.rate(context), admitted);
    }

    /// Returns how long a caller that was refused should wait: until this node probably admits its next request.
    pub(super) fn wait(&self, now: Timestamp, context: &Context) -> Span {
        let admits = self.admitted_share(now, context) * self.own_demand.per_second(now);
        let missing = 1.0 - self.credit.unwrap_or_default();
        let rate = self.rate(context);
        let debt = self.pool.seconds_until(now, rate, 0.0);
        Span::from_secs_f64((missing / admits).max(debt))
    }

    /// Returns whether the quota may be used up before the other nodes hear of this node's requests with the next report
    /// that is not urgent.
    pub(super) fn is_near_limit(&self, now: Timestamp, context: &Context) -> bool {
        let further = self.further_count(now) * f64::from(context.nodes.live);
        let demand = self.demand.per_second(now).max(further / DEMAND_MEMORY.as_secs_f64());
        REPORT_MARGIN * demand > self.admissible(now, context)
    }

    /// Returns whether this node got many more requests than it did before its last report, `since` ago. The others then
    /// hear of them earlier than usual, as their callers may do the same.
    pub(super) fn has_surge(&self, now: Timestamp, since: Span) -> bool {
        let unreported = self.own.offered as f64;
        let before = (self.own_demand.count(now) - unreported).max(0.0);
        let expected = before / DEMAND_MEMORY.as_secs_f64() * since.as_secs_f64();
        unreported >= MIN_SURGE && unreported >= SURGE_FACTOR * expected
    }

    /// Returns the tokens of the pool and the demand per second.
    pub(super) fn level(&self, now: Timestamp, context: &Context) -> (f64, f64) {
        let rate = self.rate(context);
        (self.pool.tokens(now, rate), self.demand.per_second(now))
    }

    /// Takes over what another node says of its pool and the demand. Of several nodes, the one with the least counts.
    pub(super) fn adopt_level(
        &mut self,
        now: Timestamp,
        context: &Context,
        tokens: f64,
        demand: f64,
    ) {
        let had_level = std::mem::replace(&mut self.has_level, true);
        let rate = self.rate(context);
        let least = if had_level { self.pool.tokens(now, rate) } else { rate.most };
        self.pool = TokenBucket::new(now, tokens.min(least).max(-rate.debt));
        self.demand.raise_to(now, demand);
    }

    /// Adds what has accrued, before the context change.
    pub(super) fn settle(&mut self, now: Timestamp, context: &Context) {
        self.pool.settle(now, self.rate(context));
    }

    /// Returns whether the other nodes have been told all requests of the workspace.
    pub(super) fn is_reported(&self) -> bool {
        self.own.offered == 0 && self.relayed.offered == 0
    }

    /// Returns whether the budget is as good as new, so that it need not be kept.
    pub(super) fn is_idle(&self, now: Timestamp, context: &Context) -> bool {
        let rate = self.rate(context);
        self.is_reported()
            && self.demand.count(now) < 0.01
            && self.pool.tokens(now, rate) >= rate.most
    }
}
