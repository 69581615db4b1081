//! The leader of a service: it collects the evidence of all nodes and decides on ejections within the floor.
//!
//! See docs/health.md for the rules and the reasons.
//!
//! * `options`, `state`, `explanation`: what other modules set and get.
//! * `reporting_node`, `ejection`: what the leader keeps of a node and of a server.
//! * `announce`: sends the ejections to the nodes.

mod announce;
mod ejection;
mod explanation;
mod options;
mod reporting_node;
mod state;

pub use self::{
    explanation::{Explanation, Reason},
    options::Options,
    state::{Action, LeaderState},
};

use self::{
    ejection::{Advance, Ejection, Withdrawn},
    reporting_node::ReportingNode,
};
use crate::{
    ids::{NodeId, ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::{Detector, TestResult},
        ejections::{Term, View, MAX_ANNOUNCED_SERVERS},
        evidence::EvidenceReport,
    },
    time::Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

/// The leader of one service in one region, which decides on ejections.
#[derive(Debug)]
pub struct ServiceLeader {
    options: Options,
    service: ServiceName,
    term: Term,
    state: LeaderState,
    sequence: u64,
    view: View,
    detector: Detector,
    recorded: BTreeSet<NodeId>,
    nodes: BTreeMap<NodeId, ReportingNode>,
    /// The servers that are ejected or were ejected recently.
    ejections: BTreeMap<ServerAddr, Ejection>,
    withdrawn: BTreeMap<ServerAddr, Withdrawn>,
    last_call: Timestamp,
    /// When the last announcement was sent.
    announced: Option<Timestamp>,
    /// Whether an announcement is due at the next tick because the ejections have changed.
    changed: bool,
}

impl ServiceLeader {
    /// The maximum size of the state per server in bytes, without the overhead of the maps.
    pub const BYTES_PER_SERVER: usize = Detector::BYTES_PER_SERVER
        + std::mem::size_of::<(ServerAddr, Ejection)>()
        + std::mem::size_of::<(ServerAddr, Withdrawn)>();
    /// The size of the state per node in bytes, without the overhead of the maps.
    pub const BYTES_PER_NODE: usize =
        std::mem::size_of::<(NodeId, ReportingNode)>() + std::mem::size_of::<NodeId>();

    /// Creates the leader of `term`, which starts with the ejections in `carried`.
    ///
    /// `carried` must come from `Ejections::take_over` of the same node. `recorded` must contain all members
    /// whose records precede the assignment in the log, except those that are gone.
    pub fn new(
        now: Timestamp,
        service: ServiceName,
        term: Term,
        view: View,
        recorded: BTreeSet<NodeId>,
        carried: &[ServerAddr],
        options: Options,
    ) -> Self {
        let mut leader = ServiceLeader {
            options,
            service,
            term,
            state: LeaderState::Fencing,
            // If the service is removed and added again, the same process leads it again in the same term
            // and must not reuse sequence numbers. At most one announcement is made per millisecond, so
            // numbers that start at the time in milliseconds stay unique.
            sequence: now.as_micros() / 1_000,
            view: View::default(),
            detector: Detector::new(options.detector),
            recorded,
            nodes: BTreeMap::new(),
            ejections: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            last_call: now,
            announced: None,
            changed: true,
        };
        let n = carried.len();
        for (i, server) in carried.iter().enumerate() {
            // The list is ordered by severity, the worst first, but the values themselves are not known.
            let severity = (n - i) as f64 / n as f64;
            let ejection = Ejection::new(now, severity, None, &options.readmission);
            leader.ejections.insert(*server, ejection);
        }
        leader.set_view(view);
        leader
    }

    /// Returns the term of this leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the state of this leader.
    pub fn state(&self) -> LeaderState {
        self.state
    }

    /// Records an assigned term. A higher one supersedes this leader.
    pub fn learn_term(&mut self, term: Term) {
        if term > self.term && !matches!(self.state, LeaderState::Superseded(t) if t >= term) {
            self.state = LeaderState::Superseded(term);
        }
    }

    /// Replaces the recorded members. Those that have left or are gone must not be in the set.
    pub fn set_recorded(&mut self, recorded: BTreeSet<NodeId>) {
        self.recorded = recorded;
    }

    /// Replaces the view of the service. The next `tick` re-admits servers if the floor requires it.
    pub fn set_view(&mut self, view: View) {
        self.detector.set_servers(view.servers.keys().copied());
        // A removed server may be added again while a node that was cut off still ejects it.
        let removed = self.ejected().into_iter().filter(|s| !view.servers.contains_key(s));
        removed.for_each(|server| self.withdraw(self.last_call, server));
        self.ejections.retain(|s, _| view.servers.contains_key(s));
        self.view = view;
        self.update_exclusions();
    }

    /// Processes the report of a node. Reports that arrive out of order are dropped.
    pub fn observe(&mut self, now: Timestamp, report: &EvidenceReport) {
        self.check_pause(now);
        if report.service != self.service {
            return;
        }
        self.learn_term(report.highest_term);
        if matches!(self.state, LeaderState::Superseded(_)) {
            return;
        }
        let node = ReportingNode::new(now, report);
        match self.nodes.get(&report.node) {
            Some(known) if known.echo >= report.sent => return,
            _ => self.nodes.insert(report.node, node),
        };
        for (server, counts) in &report.servers {
            if self.view.up_slots(*server) == 0 {
                continue;
            }
            let ejection = self.ejections.get_mut(server);
            if let Some(ejection) = ejection.filter(|e| e.readmission.is_ejected()) {
                // Only the outcomes of the probation node count. Those of other nodes belong to requests that were
                // sent before the ejection.
                if ejection.probation_node == Some(report.node) {
                    ejection.probation_at = now;
                    ejection.readmission.observe(now, counts, &self.options.readmission);
                    self.changed |= counts.bad > 0;
                }
                continue;
            }
            self.detector.observe(now, node.source, *server, counts);
        }
    }

    /// Makes all decisions that are due and returns the actions that follow from them.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.check_pause(now);
        let mut actions = Vec::new();
        if matches!(self.state, LeaderState::Superseded(_)) {
            return actions;
        }
        if self.state == LeaderState::Fencing && self.awaited().is_empty() {
            self.state = LeaderState::Active;
        }
        self.release_withdrawn(now);
        self.advance_readmissions(now, &mut actions);
        self.keep_floor(now, &mut actions);
        self.update_exclusions();
        match self.detector.evaluate(now) {
            TestResult::Service => actions.push(Action::ServiceAtFault),
            TestResult::Suspects(suspects) if self.state == LeaderState::Active => {
                for s in suspects {
                    self.eject(now, s.server, s.severity, &mut actions);
                }
            }
            TestResult::Suspects(_) => {}
        }
        self.update_exclusions();
        if self.is_announcement_due(now) {
            self.announce(now, &mut actions);
        }
        actions
    }

    /// Returns the ejected servers, the worst first.
    pub fn ejected(&self) -> Vec<ServerAddr> {
        let mut ejected: Vec<(&ServerAddr, &Ejection)> =
            self.ejections.iter().filter(|(_, e)| e.readmission.is_ejected()).collect();
        ejected.sort_by(|a, b| b.1.severity.total_cmp(&a.1.severity).then(a.0.cmp(b.0)));
        ejected.into_iter().map(|(s, _)| *s).collect()
    }

    /// Returns all servers that some node may eject because of this leader's announcements.
    pub fn outstanding(&self) -> BTreeSet<ServerAddr> {
        self.ejected().into_iter().chain(self.withdrawn.keys().copied()).collect()
    }

    /// Returns the recorded members whose acknowledgement of the term is missing. An active leader waits for
    /// none.
    fn awaited(&self) -> Vec<NodeId> {
        if self.state == LeaderState::Active {
            return Vec::new();
        }
        let has_acknowledged =
            |id: &NodeId| self.nodes.get(id).is_some_and(|n| n.has_acknowledged_term(self.term));
        self.recorded.iter().filter(|id| !has_acknowledged(id)).copied().collect()
    }

    /// Returns to fencing after a pause of this process that is longer than the time to live, since another
    /// node may lead the service by then.
    fn check_pause(&mut self, now: Timestamp) {
        if now.since(self.last_call) > self.options.ttl && self.state == LeaderState::Active {
            self.state = LeaderState::Fencing;
            for m in self.nodes.values_mut() {
                m.ack = None;
            }
        }
        self.last_call = self.last_call.max(now);
    }

    /// Frees the budget of withdrawn ejections that no node can still apply.
    ///
    /// Acknowledgements alone are not enough: a node that joined while this leader could not read the log is
    /// not in `recorded`. Time alone is not enough either: a next leader that is still fencing renews the
    /// ejections of its own node beyond their time to live.
    fn release_withdrawn(&mut self, now: Timestamp) {
        let wait = self.options.ttl + self.options.margin;
        let (term, nodes, recorded) = (self.term, &self.nodes, &self.recorded);
        self.withdrawn.retain(|_, w| {
            let is_past =
                |id: &NodeId| nodes.get(id).is_some_and(|n| n.has_acknowledged(term, w.sequence));
            !(now.since(w.at) > wait && recorded.iter().all(is_past))
        });
    }

    /// Moves ejected servers through hold-off, probation and slow start.
    fn advance_readmissions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut readmitted = Vec::new();
        for (server, ejection) in &mut self.ejections {
            match ejection.advance(now, *server, &self.nodes, &self.options) {
                Advance::Readmitted => readmitted.push(*server),
                Advance::NewProbationNode => self.changed = true,
                Advance::Unchanged => {}
            }
        }
        for server in readmitted {
            self.withdraw(now, server);
            actions.push(Action::Readmitted(server));
        }
        self.ejections.retain(|_, e| !e.readmission.is_over(now, &self.options.readmission));
    }

    /// Re-admits the least severe ejected servers until the announced ejections keep the floor.
    fn keep_floor(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut ejected = self.ejected();
        while !self.view.keeps_floor(&ejected) {
            // The ejection of a server that is not up costs no capacity, so re-admitting it would not help.
            let Some(i) = ejected.iter().rposition(|s| self.view.up_slots(*s) > 0) else { break };
            let server = ejected.remove(i);
            if let Some(ejection) = self.ejections.get_mut(&server) {
                ejection.readmission.restore();
            }
            self.withdraw(now, server);
            actions.push(Action::Restored(server));
        }
        invariant!(
            Invariant::Floor,
            self.view.keeps_floor(&ejected),
            "{}: {} announced ejections leave less than the floor {}",
            self.service,
            ejected.len(),
            self.view.floor
        );
    }

    fn withdraw(&mut self, now: Timestamp, server: ServerAddr) {
        self.withdrawn.insert(server, Withdrawn { sequence: self.sequence + 1, at: now });
        self.changed = true;
    }

    fn fits_budget(&self, server: ServerAddr) -> bool {
        let mut all = self.outstanding();
        all.insert(server);
        self.view.keeps_floor(&all)
    }

    fn eject(
        &mut self,
        now: Timestamp,
        server: ServerAddr,
        severity: f64,
        actions: &mut Vec<Action>,
    ) {
        let known = self.ejections.contains_key(&server);
        if self.view.up_slots(server) == 0
            || !self.fits_budget(server)
            || (!known && self.ejections.len() >= MAX_ANNOUNCED_SERVERS)
        {
            return;
        }
        let options = self.options.readmission;
        // The detector drops the scores of an ejected server, so they are kept here for operators.
        let evidence = self.detector.scores(now, server);
        let new = || Ejection::new(now, severity, evidence, &options);
        let ejection = self.ejections.entry(server).or_insert_with(new);
        if known {
            ejection.renew(now, severity, evidence, &options);
        }
        invariant!(
            Invariant::Floor,
            self.view.keeps_floor(&self.outstanding()),
            "{}: ejecting {server} leaves less than the floor {}",
            self.service,
            self.view.floor
        );
        self.changed = true;
        actions.push(Action::Ejected(server));
    }

    /// Excludes servers that are ejected or not up from the tests.
    fn update_exclusions(&mut self) {
        for server in self.view.servers.keys() {
            let is_ejected = self.ejections.get(server).is_some_and(|e| e.readmission.is_ejected());
            self.detector.set_excluded(*server, is_ejected || self.view.up_slots(*server) == 0);
        }
    }
}
