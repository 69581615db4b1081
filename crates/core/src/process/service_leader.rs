//! The leader of a service: it collects the evidence of all nodes and decides on ejections within the floor.
//!
//! See docs/health.md for the rules and the reasons.

use crate::{
    ids::{NodeId, ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::{self, Detector, Scores, TestResult},
        ejections::{
            Ack, AnnouncedServer, Announcement, EjectionStage, Term, View, MAX_ANNOUNCED_SERVERS,
        },
        evidence::EvidenceReport,
        readmission::{self, Phase, Readmission},
    },
    time::{Span, Timestamp},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};
use strum::Display;
use xxhash_rust::xxh3::xxh3_64;

/// The parameters of a service leader.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The interval between announcements.
    pub period: Span,
    /// The interval between empty announcements, which only show that the leader is alive.
    pub idle_period: Span,
    /// How long an announcement is in force.
    pub ttl: Span,
    /// The time added to `ttl` before a withdrawn ejection counts as ended, because clock rates differ.
    pub margin: Span,
    /// How long one node remains in charge of the probation requests of a server without reporting an outcome.
    pub probation_turn: Span,
    /// The parameters of the tests.
    pub detector: detector::Options,
    /// The parameters of re-admission.
    pub readmission: readmission::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            period: Span::from_millis(250),
            idle_period: Span::from_secs(1),
            ttl: Span::from_secs(3),
            margin: Span::from_millis(100),
            probation_turn: Span::from_secs(10),
            detector: detector::Options::default(),
            readmission: readmission::Options::default(),
        }
    }
}

/// The state of a service leader within its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeaderState {
    /// The leader waits until each recorded member has acknowledged the term or is gone. Until then it renews
    /// existing ejections but makes no new ones.
    Fencing,
    /// The leader may eject servers.
    Active,
    /// A higher term exists, so the leader makes no more decisions.
    Superseded(Term),
}

/// What the node must do for the service that it leads.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the announcement to the node.
    Announce(NodeId, Announcement),
    /// Log that the server was ejected.
    Ejected(ServerAddr),
    /// Log that the server is re-admitted after its probation.
    Readmitted(ServerAddr),
    /// Log that the server is re-admitted because the floor needs its slots.
    Restored(ServerAddr),
    /// Log that the service as a whole is at fault, so that no server was ejected.
    ServiceAtFault,
}

#[derive(Clone, Copy, Debug)]
struct ReportingNode {
    source: u32,
    /// The send time of the node's latest report, by the node's clock.
    echo: Timestamp,
    /// When that report arrived.
    received: Timestamp,
    ack: Option<Ack>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    readmission: Readmission,
    severity: f64,
    /// The scores at the last ejection. `None` for an ejection that was taken over from another leader.
    evidence: Option<Scores>,
    /// The node that sends the server its probation requests.
    probation_node: Option<NodeId>,
    /// When `probation_node` was chosen or last reported an outcome. If it is `None`, when the last one was dismissed,
    /// or `Timestamp::ZERO` at the start of probation.
    probation_at: Timestamp,
}

/// An ejection that some node may still apply although it is no longer announced.
#[derive(Clone, Copy, Debug)]
struct Withdrawn {
    /// The sequence of the first announcement without the ejection.
    sequence: u64,
    at: Timestamp,
}

/// The reason why a server is ejected or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The server failed a test and is ejected.
    Ejected,
    /// The server failed a test and is now in probation.
    InProbation,
    /// The scores of the server are below the threshold.
    BelowThreshold,
    /// The evidence comes from only one node or one workspace.
    NotCorroborated,
    /// A score has reached the threshold, but not yet for as long as an ejection requires.
    Confirming,
    /// The server is cold, draining, lost or not declared.
    NotUp,
    /// The leader still waits for acknowledgements of its term.
    Fenced,
    /// Ejecting the server would drop healthy capacity below the floor.
    NoBudget,
    /// The leader is superseded.
    Superseded,
    /// The announcement has no room for another server.
    TooMany,
}

/// A report for operators on why a server is ejected or not.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The server.
    pub server: ServerAddr,
    /// The reason.
    pub reason: Reason,
    /// The counts, scores and threshold of the tests. `None` if the server is not declared.
    pub scores: Option<Scores>,
    /// The phase of re-admission, if the server was ejected recently.
    pub phase: Option<Phase>,
    /// When the server was ejected, if it was recently. For an ejection that was taken over from another
    /// leader, this is the time of the takeover.
    pub ejected: Option<Timestamp>,
    /// The scores at the ejection. `None` if it was taken over from another leader.
    pub evidence: Option<Scores>,
    /// Whether some node may still eject the server although it is no longer announced.
    pub withdrawn: bool,
    /// The floor, in slots.
    pub floor: u32,
    /// The slots of all servers that are up.
    pub up: u32,
    /// The slots that are ejected, or may still be, at some node.
    pub outstanding: u32,
    /// The slots that may still be ejected without breaking the floor.
    pub budget: u32,
    /// The state of the leader.
    pub state: LeaderState,
    /// The recorded members whose acknowledgements the leader waits for.
    pub awaited: Vec<NodeId>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.reason)?;
        if let Some(phase) = self.phase {
            write!(f, ", {phase}")?;
        }
        if let Some(s) = self.evidence.as_ref().or(self.scores.as_ref()) {
            write!(
                f,
                "; {} good, {} bad, {} slow; bad score {:.1} against {:.1}%, slow score {:.1} against \
                 {:.1}%, threshold {:.1}",
                s.counts.good,
                s.counts.bad,
                s.counts.slow,
                s.bad,
                100.0 * s.bad_base,
                s.slow,
                100.0 * s.slow_base,
                s.threshold
            )?;
        }
        write!(
            f,
            "; up {} slots, outstanding {}, floor {}, budget {}; steward {}, waits for {} members",
            self.up,
            self.outstanding,
            self.floor,
            self.budget,
            self.state,
            self.awaited.len()
        )
    }
}

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

/// Returns the identifier of a node in the detector.
fn source_id(node: &NodeId) -> u32 {
    xxh3_64(node.to_string().as_bytes()) as u32
}

fn probation_weight(server: ServerAddr, node: &NodeId) -> u64 {
    xxh3_64(format!("{server} {node}").as_bytes())
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
            let readmission = Readmission::new(now, &options.readmission);
            // The list is ordered by severity, the worst first, but the values themselves are not known.
            let severity = (n - i) as f64 / n as f64;
            let ejection = Ejection {
                readmission,
                severity,
                evidence: None,
                probation_node: None,
                probation_at: now,
            };
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
        let new = ReportingNode {
            source: source_id(&report.node),
            echo: report.sent,
            received: now,
            ack: Some(report.ack),
        };
        match self.nodes.get(&report.node) {
            Some(m) if m.echo >= report.sent => return,
            _ => self.nodes.insert(report.node, new),
        };
        for (server, counts) in &report.servers {
            if self.view.up_slots(*server) == 0 {
                continue;
            }
            if let Some(ejection) = self.ejections.get_mut(server) {
                if ejection.readmission.is_ejected() {
                    // Only the outcomes of the probation node count. Those of other nodes belong to requests that were
                    // sent before the ejection.
                    if ejection.probation_node == Some(report.node) {
                        ejection.probation_at = now;
                        ejection.readmission.observe(now, counts, &self.options.readmission);
                        self.changed |= counts.bad > 0;
                    }
                    continue;
                }
            }
            self.detector.observe(now, new.source, *server, counts);
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
        let period = if self.is_idle() { self.options.idle_period } else { self.options.period };
        let due = self.announced.is_none_or(|at| now.since(at) >= period);
        if due || self.changed {
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

    /// Explains why a server is ejected or not.
    pub fn explain(&self, now: Timestamp, server: ServerAddr) -> Explanation {
        let scores = self.detector.scores(now, server);
        let phase = self.ejections.get(&server).map(|e| e.readmission.phase());
        let outstanding = self.outstanding();
        let taken = outstanding.iter().map(|s| self.view.up_slots(*s)).sum();
        let above = |s: &Scores| s.bad.max(s.slow) >= s.threshold && s.threshold > 0.0;
        let reason = match (phase, &scores) {
            _ if matches!(self.state, LeaderState::Superseded(_)) => Reason::Superseded,
            (Some(Phase::HoldOff(_)), _) => Reason::Ejected,
            (Some(Phase::Probation(_)), _) => Reason::InProbation,
            _ if self.view.up_slots(server) == 0 => Reason::NotUp,
            (_, Some(s)) if above(s) && !s.corroborated => Reason::NotCorroborated,
            (_, Some(s)) if above(s) && self.state == LeaderState::Fencing => Reason::Fenced,
            (_, Some(s)) if above(s) && !self.fits_budget(server) => Reason::NoBudget,
            (_, Some(s)) if above(s) && self.ejections.len() >= MAX_ANNOUNCED_SERVERS => {
                Reason::TooMany
            }
            (_, Some(s)) if above(s) => Reason::Confirming,
            _ => Reason::BelowThreshold,
        };
        Explanation {
            server,
            reason,
            scores,
            phase,
            ejected: self.ejections.get(&server).map(|e| e.readmission.ejected()),
            evidence: self.ejections.get(&server).and_then(|e| e.evidence),
            withdrawn: self.withdrawn.contains_key(&server),
            floor: self.view.floor,
            up: self.view.total_up_slots(),
            outstanding: taken,
            budget: self
                .view
                .total_up_slots()
                .saturating_sub(taken)
                .saturating_sub(self.view.floor),
            state: self.state,
            awaited: self.awaited(),
        }
    }

    /// Returns the recorded members whose acknowledgement of the term is missing. An active leader waits for
    /// none.
    fn awaited(&self) -> Vec<NodeId> {
        if self.state == LeaderState::Active {
            return Vec::new();
        }
        let acknowledged = |n: &&NodeId| {
            let ack = self.nodes.get(n).and_then(|m| m.ack);
            ack.is_none_or(|a| a.term < self.term)
        };
        self.recorded.iter().filter(acknowledged).copied().collect()
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
            let past = |n: &NodeId| {
                let ack = nodes.get(n).and_then(|m| m.ack);
                ack.is_some_and(|a| a.term == term && a.sequence >= w.sequence)
            };
            !(now.since(w.at) > wait && recorded.iter().all(past))
        });
    }

    /// Moves ejected servers through hold-off, probation and slow start.
    fn advance_readmissions(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let o = self.options;
        let mut readmitted = Vec::new();
        let nodes = &self.nodes;
        for (server, ejection) in &mut self.ejections {
            let before = ejection.readmission.phase();
            let phase = ejection.readmission.tick(now, &o.readmission);
            match phase {
                Phase::SlowStart(_) if matches!(before, Phase::Probation(_)) => {
                    readmitted.push(*server);
                }
                Phase::Probation(_) => {
                    if matches!(before, Phase::HoldOff(_)) {
                        ejection.probation_node = None;
                        ejection.probation_at = Timestamp::ZERO;
                    }
                    if choose_probation_node(now, *server, ejection, nodes, &o) {
                        self.changed = true;
                    }
                }
                _ => {}
            }
        }
        for server in readmitted {
            self.withdraw(now, server);
            actions.push(Action::Readmitted(server));
        }
        self.ejections.retain(|_, e| !e.readmission.is_over(now, &o.readmission));
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
        let ejection = self.ejections.entry(server).or_insert_with(|| Ejection {
            readmission: Readmission::new(now, &options),
            severity,
            evidence,
            probation_node: None,
            probation_at: now,
        });
        if known {
            ejection.readmission.eject(now, &options);
            ejection.severity = severity;
            ejection.evidence = evidence;
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

    /// Returns whether announcements are empty and no acknowledgement is awaited.
    fn is_idle(&self) -> bool {
        self.state == LeaderState::Active
            && self.ejections.is_empty()
            && self.outstanding().is_empty()
    }

    fn announce(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.announced = Some(now);
        self.changed = false;
        let o = &self.options;
        let in_slow_start = self
            .ejections
            .iter()
            .filter(|(_, e)| matches!(e.readmission.phase(), Phase::SlowStart(_)));
        let in_slow_start: Vec<AnnouncedServer> = in_slow_start
            .map(|(s, e)| AnnouncedServer {
                server: *s,
                stage: EjectionStage::SlowStart(e.readmission.percent(now, &o.readmission)),
            })
            .collect();
        let ejected = self.ejected();
        // A node whose last report is older than the time to live would refuse the echo as stale.
        let reporting = self.nodes.iter().filter(|(_, m)| now.since(m.received) <= o.ttl);
        for (node, m) in reporting {
            let stage = |s: &ServerAddr| {
                let ejection = &self.ejections[s];
                match ejection.readmission.phase() {
                    Phase::Probation(_) if ejection.probation_node == Some(*node) => {
                        EjectionStage::Probation
                    }
                    _ => EjectionStage::Ejected,
                }
            };
            let announced = ejected.iter().map(|s| AnnouncedServer { server: *s, stage: stage(s) });
            let announcement = Announcement {
                service: self.service.clone(),
                term: self.term,
                sequence: self.sequence,
                ttl: o.ttl,
                echo: m.echo,
                servers: announced.chain(in_slow_start.iter().copied()).collect(),
            };
            actions.push(Action::Announce(*node, announcement));
        }
        // The state of unrecorded nodes that no longer report is dropped.
        let recorded = &self.recorded;
        self.nodes.retain(|n, m| recorded.contains(n) || now.since(m.received) <= o.ttl.times(2));
    }
}

/// Chooses the node that sends probation requests to a server. Returns whether it changed.
///
/// The next node is chosen only after the announcement to the last one has expired, so that two nodes never send
/// probation requests at the same time.
fn choose_probation_node(
    now: Timestamp,
    server: ServerAddr,
    ejection: &mut Ejection,
    nodes: &BTreeMap<NodeId, ReportingNode>,
    options: &Options,
) -> bool {
    if let Some(probation_node) = ejection.probation_node {
        let silent = nodes.get(&probation_node).is_none_or(|m| now.since(m.received) > options.ttl);
        if silent || now.since(ejection.probation_at) > options.probation_turn {
            ejection.probation_node = None;
            ejection.probation_at = now;
            return true;
        }
        return false;
    }
    if ejection.probation_at != Timestamp::ZERO
        && now.since(ejection.probation_at) <= options.ttl + options.margin
    {
        return false;
    }
    // The time is part of the hash, so that a node without suitable requests is not chosen every time.
    let turn = now.as_micros() / options.probation_turn.as_micros().max(1);
    let reporting = nodes.iter().filter(|(_, m)| now.since(m.received) <= Span::from_secs(1));
    let best =
        reporting.max_by_key(|(n, _)| probation_weight(server, n) ^ xxh3_64(&turn.to_le_bytes()));
    ejection.probation_node = best.map(|(n, _)| *n);
    ejection.probation_at = now;
    ejection.probation_node.is_some()
}
