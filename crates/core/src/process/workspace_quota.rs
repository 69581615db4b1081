//! The quotas of workspaces: how many requests of each all nodes together let through.
//!
//! The nodes cannot agree on each request, so each one estimates what is left for the whole fleet, and the demand at
//! all nodes, from its own requests and from what the others report. It admits the share of its own requests that the
//! fleet may admit of all ([docs/design/quotas.md](../../../../docs/design/quotas.md)).

mod budget;
mod recent_count;
mod report_loss;

use self::{
    budget::{Budget, Context},
    report_loss::ReportLoss,
};
use crate::{
    process::server_limit::NodeCounts,
    time::{Span, Timestamp},
    version::routing_config::{Quota, RoutingConfigDoc},
};
use std::{collections::HashMap, net::SocketAddr};
use strum::IntoStaticStr;

/// The time between two reports while a workspace is near its limit.
const URGENT_INTERVAL: Span = Span::from_millis(250);

/// The time between two reports while the requests of a workspace grow quickly, or those of other data centres wait to be
/// relayed.
const SURGE_INTERVAL: Span = Span::from_millis(100);

/// The time between two reports otherwise.
const CALM_INTERVAL: Span = Span::from_millis(1_000);

/// A process that has just started hears of the requests at the other nodes within this time.
const LEARNING_TIME: Span = Span::from_secs(3);

/// A process that has just started hears of the other nodes within this time.
const DISCOVERY_TIME: Span = Span::from_secs(1);

/// The number of nodes that a process assumes at least until then.
const ASSUMED_NODES: u32 = 30;

/// How often budgets that are as good as new are dropped.
const CLEANUP_INTERVAL: Span = Span::from_secs(2);

/// The time between two log lines on refusals of the same workspace.
const LOG_INTERVAL: Span = Span::from_secs(60);

/// The most workspaces of which a new node is told.
const MAX_LEVELS: usize = 240;

/// The most requests of a workspace that one node can report at once. A larger count is a fault.
const MAX_REPORTED: u32 = 100_000;

/// The largest number of nodes for which one report stands.
const MAX_SCALE: f64 = 64.0;

/// How closely quotas are kept. In any window, the requests of a workspace may exceed its quota by the share `over` and
/// the number `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaOptions {
    /// The share of the quota.
    pub over: f64,
    /// The number of requests.
    pub slack: f64,
}

/// Requests of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounts {
    /// Those that were let through. Negative while charges that were reported have been taken back.
    pub admitted: i64,
    /// Those and the refused ones.
    pub offered: i64,
}

impl QuotaCounts {
    /// Adds the requests of a report that is relayed.
    fn add(&mut self, report: &QuotaReport) {
        self.admitted += i64::from(report.admitted);
        self.offered += i64::from(report.offered);
    }

    /// Removes what one report can hold, and returns it as a report of the workspace with this tag.
    fn take(&mut self, tag: u64) -> QuotaReport {
        let limit = |count: i64| count.clamp(0, MAX_REPORTED.into()) as u32;
        let offered = limit(self.offered);
        let admitted = limit(self.admitted).min(offered);
        self.offered -= i64::from(offered);
        self.admitted -= i64::from(admitted);
        QuotaReport { tag, admitted, offered }
    }
}

/// What a node reports of a workspace since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaReport {
    /// The workspace, see [`WorkspaceName::tag`](crate::ids::WorkspaceName::tag).
    pub tag: u64,
    /// The requests that were let through.
    pub admitted: u32,
    /// Those and the refused ones.
    pub offered: u32,
}

impl QuotaReport {
    /// Returns whether a node without a fault can have sent the report.
    fn is_plausible(&self) -> bool {
        self.admitted <= self.offered && self.offered <= MAX_REPORTED
    }
}

/// The reports that are due to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueReports {
    /// The number of the reports in this process.
    pub number: u32,
    /// What the nodes of this data centre are told: requests at this node, and those of other data centres that it
    /// relays.
    pub near: Vec<QuotaReport>,
    /// What the other data centres are told: requests at this node.
    pub far: Vec<QuotaReport>,
}

/// What a node tells one that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLevel {
    /// The workspace.
    pub tag: u64,
    /// The requests that all nodes together may admit at once, negative after too many.
    pub tokens: f64,
    /// The requests per second at all nodes, also refused ones.
    pub demand: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum QuotaDecision {
    /// The workspace has no limit.
    Unlimited,
    /// The request was let through and charged.
    Admitted,
    /// The request exceeds the quota.
    Refused {
        /// How long the caller should wait.
        wait: Span,
        /// Whether this is the first refusal of the workspace for some time.
        is_first: bool,
    },
}

/// The quotas of all workspaces, with a budget for each one that was active a short time ago.
#[derive(Clone, Debug)]
pub struct WorkspaceQuotas {
    options: QuotaOptions,
    started: Timestamp,
    nodes: NodeCounts,
    quotas: HashMap<u64, Quota>,
    budgets: HashMap<u64, Budget>,
    /// The workspaces with requests that other nodes have not been told, each once.
    unreported: Vec<u64>,
    last_report: Timestamp,
    last_cleanup: Timestamp,
    report_number: u32,
    loss: ReportLoss,
}

impl WorkspaceQuotas {
    /// Creates the quotas of a process that starts at `now`, without any workspace.
    pub fn new(now: Timestamp, options: QuotaOptions) -> Self {
        WorkspaceQuotas {
            options,
            started: now,
            nodes: NodeCounts::default(),
            quotas: HashMap::new(),
            budgets: HashMap::new(),
            unreported: Vec::new(),
            last_report: now,
            last_cleanup: now,
            report_number: 0,
            loss: ReportLoss::new(now),
        }
    }

    /// Returns the quotas of a configuration by the tag of the workspace, for [`set_quotas`](Self::set_quotas).
    pub fn quotas_of(doc: &RoutingConfigDoc) -> HashMap<u64, Quota> {
        let workspaces = doc.workspaces.iter().flatten();
        workspaces.filter_map(|w| w.quota.map(|quota| (w.name.tag(), quota))).collect()
    }

    /// Puts the quotas of a configuration in force. A workspace whose quota changed keeps what is left, one without a
    /// quota is forgotten.
    pub fn set_quotas(&mut self, now: Timestamp, quotas: HashMap<u64, Quota>) {
        let context = self.context(now);
        self.quotas = quotas;
        let quotas = &self.quotas;
        self.budgets.retain(|tag, budget| {
            let Some(quota) = quotas.get(tag) else { return false };
            if budget.quota != *quota {
                budget.settle(now, &context);
                budget.quota = *quota;
            }
            true
        });
        self.unreported.retain(|tag| quotas.contains_key(tag));
    }

    /// Sets the nodes that share the quotas.
    pub fn set_nodes(&mut self, now: Timestamp, nodes: NodeCounts) {
        if nodes == self.nodes {
            return;
        }
        let context = self.context(now);
        self.budgets.values_mut().for_each(|budget| budget.settle(now, &context));
        self.nodes = nodes;
    }

    /// Decides on a request of a workspace, and charges it if it is let through. `draw`, from 0 to 1, differs between
    /// nodes.
    pub fn charge(&mut self, now: Timestamp, tag: u64, draw: f64) -> QuotaDecision {
        let context = self.context(now);
        let Some(budget) = self.budget(now, &context, tag) else {
            return QuotaDecision::Unlimited;
        };
        let was_reported = budget.is_reported();
        let is_admitted = budget.charge(now, &context, draw);
        let decision = if is_admitted {
            QuotaDecision::Admitted
        } else {
            let is_first = budget.refusal_logged.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
            if is_first {
                budget.refusal_logged = Some(now);
            }
            QuotaDecision::Refused { wait: budget.wait(now, &context), is_first }
        };
        if was_reported {
            self.unreported.push(tag);
        }
        decision
    }

    /// Takes back the charge of a request that reached no server.
    pub fn refund(&mut self, now: Timestamp, tag: u64) {
        let context = self.context(now);
        if let Some(budget) = self.budgets.get_mut(&tag) {
            budget.refund(now, &context);
        }
    }

    /// Records the number of a report of a node of this data centre, so that the requests of lost reports are made up
    /// for. The report stands for `scale` reports.
    pub fn record_number(&mut self, now: Timestamp, from: SocketAddr, number: u32, scale: f64) {
        if !self.quotas.is_empty() && (1.0..=MAX_SCALE).contains(&scale) {
            self.loss.record(now, from, number, 1.0 / scale);
        }
    }

    /// Counts requests at another node. The report stands for `scale` reports, as the sender tells only a part of the
    /// nodes each time. If `relay` is set, this node tells the others of its data centre.
    pub fn record_report(&mut self, now: Timestamp, report: &QuotaReport, scale: f64, relay: bool) {
        if !report.is_plausible() || !(1.0..=MAX_SCALE).contains(&scale) {
            return;
        }
        let context = self.context(now);
        let scale = scale / self.loss.arriving(now);
        let Some(budget) = self.budget(now, &context, report.tag) else { return };
        let (admitted, offered) = (f64::from(report.admitted), f64::from(report.offered));
        budget.record_peer(now, &context, admitted * scale, offered * scale);
        if !relay || report.offered == 0 {
            return;
        }
        let was_reported = budget.is_reported();
        budget.relayed.add(report);
        if was_reported {
            self.unreported.push(report.tag);
        }
    }

    /// Returns the reports that other nodes should get now, and forgets them.
    pub fn take_reports(&mut self, now: Timestamp) -> DueReports {
        let mut due = DueReports::default();
        if self.unreported.is_empty() || !self.is_report_due(now) {
            return due;
        }
        self.last_report = now;
        self.report_number = self.report_number.wrapping_add(1);
        due.number = self.report_number;
        for tag in std::mem::take(&mut self.unreported) {
            let Some(budget) = self.budgets.get_mut(&tag) else { continue };
            let (own, relayed) = (budget.own.take(tag), budget.relayed.take(tag));
            if own.offered > 0 {
                due.far.push(own);
            }
            let (admitted, offered) =
                (own.admitted + relayed.admitted, own.offered + relayed.offered);
            due.near.push(QuotaReport { tag, admitted, offered });
        }
        due
    }

    /// Returns whether enough time has passed since the last report, given what has not been reported.
    fn is_report_due(&self, now: Timestamp) -> bool {
        let since = now.since(self.last_report);
        if since < SURGE_INTERVAL || since >= CALM_INTERVAL {
            return since >= CALM_INTERVAL;
        }
        let context = self.context(now);
        self.unreported.iter().filter_map(|tag| self.budgets.get(tag)).any(|budget| {
            let is_early = budget.relayed.offered > 0 || budget.has_surge(now, since);
            (is_early || since >= URGENT_INTERVAL) && budget.is_near_limit(now, &context)
        })
    }

    /// Returns the levels of active workspaces for a node that has just started, of those near their limits first. A node
    /// that has just started itself knows none.
    pub fn levels(&self, now: Timestamp) -> Vec<QuotaLevel> {
        let context = self.context(now);
        if context.is_new {
            return Vec::new();
        }
        let (near, calm): (Vec<_>, Vec<_>) =
            self.budgets.iter().partition(|(_, budget)| budget.is_near_limit(now, &context));
        let tags = near.into_iter().chain(calm).map(|(tag, _)| *tag).take(MAX_LEVELS);
        tags.filter_map(|tag| self.level(now, tag)).collect()
    }

    /// Returns the level of a workspace that was active a short time ago.
    pub fn level(&self, now: Timestamp, tag: u64) -> Option<QuotaLevel> {
        let (tokens, demand) = self.budgets.get(&tag)?.level(now, &self.context(now));
        Some(QuotaLevel { tag, tokens, demand })
    }

    /// Takes over what another node says, if this one has just started.
    pub fn adopt_level(&mut self, now: Timestamp, level: &QuotaLevel) {
        let context = self.context(now);
        let QuotaLevel { tag, tokens, demand } = *level;
        if !context.is_new || !tokens.is_finite() || !(0.0..=1e9).contains(&demand) {
            return;
        }
        if let Some(budget) = self.budget(now, &context, tag) {
            budget.adopt_level(now, &context, tokens, demand);
        }
    }

    /// Drops the budgets of workspaces that have been calm until all of their quota was left.
    pub fn tick(&mut self, now: Timestamp) {
        if now.since(self.last_cleanup) < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        self.loss.tick(now);
        let context = self.context(now);
        self.budgets.retain(|_, budget| !budget.is_idle(now, &context));
    }

    /// Returns the number of workspaces for which this node keeps a budget.
    pub fn active_count(&self) -> usize {
        self.budgets.len()
    }

    /// Returns the context of decisions at `now`. A new process assumes that there are nodes of which it has not heard.
    fn context(&self, now: Timestamp) -> Context {
        let age = now.since(self.started);
        let is_new = age < LEARNING_TIME;
        let mut nodes = self.nodes;
        if age < DISCOVERY_TIME || (is_new && nodes.known == 1) {
            nodes.known = nodes.known.max(ASSUMED_NODES);
        }
        Context { options: self.options, nodes, is_new }
    }

    /// Returns the budget of a workspace, which is created with its first use. `None` if the workspace has no quota.
    fn budget(&mut self, now: Timestamp, context: &Context, tag: u64) -> Option<&mut Budget> {
        let quota = self.quotas.get(&tag)?;
        Some(self.budgets.entry(tag).or_insert_with(|| Budget::new(now, *quota, context)))
    }
}
