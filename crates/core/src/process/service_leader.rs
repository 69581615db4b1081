//! The leader of a service: pooled evidence, the floor, ejections.
//!
//! See docs/health.md for the rules and the reasons.

use crate::{
    ids::{NodeId, ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::{self, Detector, Scores, Verdict},
        ejections::{Ack, Announcement, EjectionStage, Entry, Term, View, MAX_ENTRIES},
        evidence::Interval,
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

/// `Options` sets the leader.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The time between announcements.
    pub period: Span,
    /// The time between announcements without entries, which only show that the leader is there.
    pub quiet: Span,
    /// How long an announcement is in force.
    pub ttl: Span,
    /// What is added to `ttl` before a withdrawn server stops counting, for clocks that differ in rate.
    pub margin: Span,
    /// How long one node keeps the trickle of a server without any outcome.
    pub trickle: Span,
    /// The tests.
    pub detector: detector::Options,
    /// Re-admission.
    pub readmission: readmission::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            period: Span::from_millis(250),
            quiet: Span::from_secs(1),
            ttl: Span::from_secs(3),
            margin: Span::from_millis(100),
            trickle: Span::from_secs(10),
            detector: detector::Options::default(),
            readmission: readmission::Options::default(),
        }
    }
}

/// `LeaderState` is the stage of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeaderState {
    /// Waiting until each recorded member has acknowledged the term or is gone; only renews.
    Fencing,
    /// May eject.
    Active,
    /// A higher term exists; does nothing more.
    Superseded(Term),
}

/// `Action` is what the node must do for its leader.
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
    /// Log that the service as a whole is at fault, so no server was ejected.
    ServiceAtFault,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    source: u32,
    /// The node's clock in its latest report, and when that arrived.
    echo: Timestamp,
    heard: Timestamp,
    ack: Option<Ack>,
}

#[derive(Clone, Copy, Debug)]
struct Course {
    readmission: Readmission,
    severity: f64,
    /// The scores at the last ejection; none for an ejection that was taken over.
    evidence: Option<Scores>,
    tester: Option<NodeId>,
    /// When the tester was named or last reported an outcome; when the last one was dismissed.
    tested: Timestamp,
}

/// `Withdrawn` is a server that some node may still eject although it is no longer announced.
#[derive(Clone, Copy, Debug)]
struct Withdrawn {
    /// The first sequence without the server.
    sequence: u64,
    at: Timestamp,
}

/// `Reason` is why a server is ejected or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It failed its test.
    Ejected,
    /// It failed its test and is now in probation.
    InProbation,
    /// Its score is below the threshold.
    BelowThreshold,
    /// Its evidence comes from one node or one workspace.
    NotCorroborated,
    /// Its score passed the threshold a moment ago.
    Confirming,
    /// It is cold, draining, lost or not declared.
    NotUp,
    /// The leader waits for acknowledgements of its term.
    Fenced,
    /// Ejecting it would drop healthy capacity below the floor.
    NoBudget,
    /// The leader is superseded.
    Superseded,
    /// The announcement is full.
    TooMany,
}

/// `Explanation` says why a server is ejected or is not.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The server.
    pub server: ServerAddr,
    /// The reason.
    pub reason: Reason,
    /// The tests' counts, scores and threshold.
    pub scores: Option<Scores>,
    /// Where the server stands, if it was ejected lately.
    pub phase: Option<Phase>,
    /// When the server was ejected, if it was lately. A leader that took the ejection over counts from then.
    pub ejected: Option<Timestamp>,
    /// The scores at the ejection; none when it was taken over from another leader.
    pub evidence: Option<Scores>,
    /// Whether some node may still eject it although it is no longer announced.
    pub withdrawn: bool,
    /// The floor in slots.
    pub floor: u32,
    /// The slots of all servers that are up.
    pub up: u32,
    /// The slots that are ejected at some node or may be.
    pub outstanding: u32,
    /// The slots that may still be ejected.
    pub budget: u32,
    /// The leader's stage.
    pub state: LeaderState,
    /// The recorded members that the leader waits for.
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

/// `ServiceLeader` decides the ejections of one service in one region.
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
    members: BTreeMap<NodeId, Member>,
    courses: BTreeMap<ServerAddr, Course>,
    withdrawn: BTreeMap<ServerAddr, Withdrawn>,
    last: Timestamp,
    announced: Option<Timestamp>,
    changed: bool,
}

/// Returns the number under which the detector keeps a node's counts apart.
fn source(node: &NodeId) -> u32 {
    xxh3_64(node.to_string().as_bytes()) as u32
}

fn rendezvous(server: ServerAddr, node: &NodeId) -> u64 {
    xxh3_64(format!("{server} {node}").as_bytes())
}

impl ServiceLeader {
    /// The bytes of state that one server takes at most, the maps' own overhead aside.
    pub const BYTES_PER_SERVER: usize = Detector::BYTES_PER_SERVER
        + std::mem::size_of::<(ServerAddr, Course)>()
        + std::mem::size_of::<(ServerAddr, Withdrawn)>();
    /// The bytes of state that one node takes, the maps' own overhead aside.
    pub const BYTES_PER_NODE: usize =
        std::mem::size_of::<(NodeId, Member)>() + std::mem::size_of::<NodeId>();

    /// Returns the leader of `term`, which starts with the ejections in `carried`.
    ///
    /// `carried` must come from `Ejections::take_over` of the same node, and `recorded` holds all
    /// members whose records precede the assignment in the log, except those that are gone.
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
            // A process that leads the same term again, after its service was removed and brought back,
            // must not repeat numbers. There is at most one announcement in each millisecond.
            sequence: now.as_micros() / 1_000,
            view: View::default(),
            detector: Detector::new(options.detector),
            recorded,
            members: BTreeMap::new(),
            courses: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            last: now,
            announced: None,
            changed: true,
        };
        let n = carried.len();
        for (i, server) in carried.iter().enumerate() {
            let readmission = Readmission::new(now, &options.readmission);
            // The list is ordered by severity, the worst first; the values are not known.
            let severity = (n - i) as f64 / n as f64;
            let course =
                Course { readmission, severity, evidence: None, tester: None, tested: now };
            leader.courses.insert(*server, course);
        }
        leader.set_view(view);
        leader
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the stage.
    pub fn state(&self) -> LeaderState {
        self.state
    }

    /// Learns that a term was assigned. A higher one ends this leader.
    pub fn learn_term(&mut self, term: Term) {
        if term > self.term && !matches!(self.state, LeaderState::Superseded(t) if t >= term) {
            self.state = LeaderState::Superseded(term);
        }
    }

    /// Replaces the set of recorded members that have not left and are not gone.
    pub fn set_recorded(&mut self, recorded: BTreeSet<NodeId>) {
        self.recorded = recorded;
    }

    /// Replaces the view. The next `tick` re-admits servers if the floor needs them.
    pub fn set_view(&mut self, view: View) {
        self.detector.set_servers(view.servers.keys().copied());
        // A removed server may come back while some node that was cut off still ejects it.
        let out = self.ejected().into_iter().filter(|s| !view.servers.contains_key(s));
        out.for_each(|server| self.withdraw(self.last, server));
        self.courses.retain(|s, _| view.servers.contains_key(s));
        self.view = view;
        self.exclude();
    }

    /// Takes the report of a node. Reports that arrive out of order are dropped.
    pub fn observe(&mut self, now: Timestamp, interval: &Interval) {
        self.wake(now);
        if interval.service != self.service {
            return;
        }
        self.learn_term(interval.highest);
        if matches!(self.state, LeaderState::Superseded(_)) {
            return;
        }
        let new = Member {
            source: source(&interval.node),
            echo: interval.sent,
            heard: now,
            ack: Some(interval.ack),
        };
        match self.members.get(&interval.node) {
            Some(m) if m.echo >= interval.sent => return,
            _ => self.members.insert(interval.node, new),
        };
        for (server, counts) in &interval.servers {
            if self.view.up_slots(*server) == 0 {
                continue;
            }
            if let Some(course) = self.courses.get_mut(server) {
                if course.readmission.is_out() {
                    // Only the tester's outcomes count: others are of requests that were sent before.
                    if course.tester == Some(interval.node) {
                        course.tested = now;
                        course.readmission.observe(now, counts, &self.options.readmission);
                        self.changed |= counts.bad > 0;
                    }
                    continue;
                }
            }
            self.detector.observe(now, new.source, *server, counts);
        }
    }

    /// Makes all decisions that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.wake(now);
        let mut actions = Vec::new();
        if matches!(self.state, LeaderState::Superseded(_)) {
            return actions;
        }
        if self.state == LeaderState::Fencing && self.awaited().is_empty() {
            self.state = LeaderState::Active;
        }
        self.release(now);
        self.advance(now, &mut actions);
        self.keep_floor(now, &mut actions);
        self.exclude();
        match self.detector.verdict(now) {
            Verdict::Service => actions.push(Action::ServiceAtFault),
            Verdict::Suspects(suspects) if self.state == LeaderState::Active => {
                for s in suspects {
                    self.eject(now, s.server, s.severity, &mut actions);
                }
            }
            Verdict::Suspects(_) => {}
        }
        self.exclude();
        let period = if self.is_quiet() { self.options.quiet } else { self.options.period };
        let due = self.announced.is_none_or(|at| now.since(at) >= period);
        if due || self.changed {
            self.announce(now, &mut actions);
        }
        actions
    }

    /// Returns the ejected servers, the worst first.
    pub fn ejected(&self) -> Vec<ServerAddr> {
        let mut out: Vec<(&ServerAddr, &Course)> =
            self.courses.iter().filter(|(_, c)| c.readmission.is_out()).collect();
        out.sort_by(|a, b| b.1.severity.total_cmp(&a.1.severity).then(a.0.cmp(b.0)));
        out.into_iter().map(|(s, _)| *s).collect()
    }

    /// Returns every server that some node may eject by this leader's word.
    pub fn outstanding(&self) -> BTreeSet<ServerAddr> {
        self.ejected().into_iter().chain(self.withdrawn.keys().copied()).collect()
    }

    /// Says why a server is ejected or is not.
    pub fn explain(&self, now: Timestamp, server: ServerAddr) -> Explanation {
        let scores = self.detector.scores(now, server);
        let phase = self.courses.get(&server).map(|c| c.readmission.phase());
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
            (_, Some(s)) if above(s) && !self.fits(server) => Reason::NoBudget,
            (_, Some(s)) if above(s) && self.courses.len() >= MAX_ENTRIES => Reason::TooMany,
            (_, Some(s)) if above(s) => Reason::Confirming,
            _ => Reason::BelowThreshold,
        };
        Explanation {
            server,
            reason,
            scores,
            phase,
            ejected: self.courses.get(&server).map(|c| c.readmission.ejected()),
            evidence: self.courses.get(&server).and_then(|c| c.evidence),
            withdrawn: self.withdrawn.contains_key(&server),
            floor: self.view.floor,
            up: self.view.up(),
            outstanding: taken,
            budget: self.view.up().saturating_sub(taken).saturating_sub(self.view.floor),
            state: self.state,
            awaited: self.awaited(),
        }
    }

    /// Returns the recorded members that have not acknowledged the term.
    fn awaited(&self) -> Vec<NodeId> {
        if self.state == LeaderState::Active {
            return Vec::new();
        }
        let acknowledged = |n: &&NodeId| {
            let ack = self.members.get(n).and_then(|m| m.ack);
            ack.is_none_or(|a| a.term < self.term)
        };
        self.recorded.iter().filter(acknowledged).copied().collect()
    }

    /// Fences again after a pause longer than the time to live, since a successor may exist.
    fn wake(&mut self, now: Timestamp) {
        if now.since(self.last) > self.options.ttl && self.state == LeaderState::Active {
            self.state = LeaderState::Fencing;
            for m in self.members.values_mut() {
                m.ack = None;
            }
        }
        self.last = self.last.max(now);
    }

    /// Frees the budget of withdrawn servers that no node can still eject.
    ///
    /// The acknowledgements alone are not enough: a node that joined while the log was out of this
    /// leader's reach is not in `recorded`. Time alone is not enough either: a successor that is still
    /// fencing renews the ejections that its own node held, beyond the time to live.
    fn release(&mut self, now: Timestamp) {
        let wait = self.options.ttl + self.options.margin;
        let (term, members, recorded) = (self.term, &self.members, &self.recorded);
        self.withdrawn.retain(|_, w| {
            let past = |n: &NodeId| {
                let ack = members.get(n).and_then(|m| m.ack);
                ack.is_some_and(|a| a.term == term && a.sequence >= w.sequence)
            };
            !(now.since(w.at) > wait && recorded.iter().all(past))
        });
    }

    /// Moves ejected servers through hold-off, probation and slow start.
    fn advance(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let o = self.options;
        let mut readmitted = Vec::new();
        let members = &self.members;
        for (server, c) in &mut self.courses {
            let before = c.readmission.phase();
            let phase = c.readmission.tick(now, &o.readmission);
            match phase {
                Phase::SlowStart(_) if matches!(before, Phase::Probation(_)) => {
                    readmitted.push(*server);
                }
                Phase::Probation(_) => {
                    if matches!(before, Phase::HoldOff(_)) {
                        c.tester = None;
                        c.tested = Timestamp::ZERO;
                    }
                    if name_tester(now, *server, c, members, &o) {
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
        self.courses.retain(|_, c| !c.readmission.is_over(now, &o.readmission));
    }

    /// Re-admits the least bad servers until the floor holds for what is announced.
    fn keep_floor(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut out = self.ejected();
        while !self.view.holds(&out) {
            // A server that is not up takes no capacity, so re-admitting it would not help.
            let Some(i) = out.iter().rposition(|s| self.view.up_slots(*s) > 0) else { break };
            let server = out.remove(i);
            if let Some(c) = self.courses.get_mut(&server) {
                c.readmission.restore();
            }
            self.withdraw(now, server);
            actions.push(Action::Restored(server));
        }
        invariant!(
            Invariant::Floor,
            self.view.holds(&out),
            "{}: {} announced ejections leave less than the floor {}",
            self.service,
            out.len(),
            self.view.floor
        );
    }

    fn withdraw(&mut self, now: Timestamp, server: ServerAddr) {
        self.withdrawn.insert(server, Withdrawn { sequence: self.sequence + 1, at: now });
        self.changed = true;
    }

    fn fits(&self, server: ServerAddr) -> bool {
        let mut all = self.outstanding();
        all.insert(server);
        self.view.holds(&all)
    }

    fn eject(
        &mut self,
        now: Timestamp,
        server: ServerAddr,
        severity: f64,
        actions: &mut Vec<Action>,
    ) {
        let known = self.courses.contains_key(&server);
        if self.view.up_slots(server) == 0
            || !self.fits(server)
            || (!known && self.courses.len() >= MAX_ENTRIES)
        {
            return;
        }
        let options = self.options.readmission;
        // The detector forgets an ejected server, so its scores are kept for operators.
        let evidence = self.detector.scores(now, server);
        let course = self.courses.entry(server).or_insert_with(|| Course {
            readmission: Readmission::new(now, &options),
            severity,
            evidence,
            tester: None,
            tested: now,
        });
        if known {
            course.readmission.eject(now, &options);
            course.severity = severity;
            course.evidence = evidence;
        }
        invariant!(
            Invariant::Floor,
            self.view.holds(&self.outstanding()),
            "{}: ejecting {server} leaves less than the floor {}",
            self.service,
            self.view.floor
        );
        self.changed = true;
        actions.push(Action::Ejected(server));
    }

    /// Keeps ejected servers, and those that are not up, out of the tests.
    fn exclude(&mut self) {
        for server in self.view.servers.keys() {
            let out = self.courses.get(server).is_some_and(|c| c.readmission.is_out());
            self.detector.set_excluded(*server, out || self.view.up_slots(*server) == 0);
        }
    }

    /// Returns whether announcements say nothing and no node's acknowledgement is awaited.
    fn is_quiet(&self) -> bool {
        self.state == LeaderState::Active
            && self.courses.is_empty()
            && self.outstanding().is_empty()
    }

    fn announce(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.announced = Some(now);
        self.changed = false;
        let o = &self.options;
        let slow = self
            .courses
            .iter()
            .filter(|(_, c)| matches!(c.readmission.phase(), Phase::SlowStart(_)));
        let slow: Vec<Entry> = slow
            .map(|(s, c)| Entry {
                server: *s,
                stage: EjectionStage::SlowStart(c.readmission.percent(now, &o.readmission)),
            })
            .collect();
        let out = self.ejected();
        // A node that was not heard for the time to live would refuse the echo.
        let heard = self.members.iter().filter(|(_, m)| now.since(m.heard) <= o.ttl);
        for (node, m) in heard {
            let stage = |s: &ServerAddr| {
                let c = &self.courses[s];
                match c.readmission.phase() {
                    Phase::Probation(_) if c.tester == Some(*node) => EjectionStage::Trickle,
                    _ => EjectionStage::Out,
                }
            };
            let entries = out.iter().map(|s| Entry { server: *s, stage: stage(s) });
            let announcement = Announcement {
                service: self.service.clone(),
                term: self.term,
                sequence: self.sequence,
                ttl: o.ttl,
                echo: m.echo,
                entries: entries.chain(slow.iter().copied()).collect(),
            };
            actions.push(Action::Announce(*node, announcement));
        }
        // Unrecorded nodes that have fallen silent need no entry.
        let recorded = &self.recorded;
        self.members.retain(|n, m| recorded.contains(n) || now.since(m.heard) <= o.ttl.times(2));
    }
}

/// Names the node that sends the trickle to a server, and returns whether it changed.
///
/// A new tester is named only after the last one's announcement has expired, so that two nodes do not
/// both send the trickle.
fn name_tester(
    now: Timestamp,
    server: ServerAddr,
    course: &mut Course,
    members: &BTreeMap<NodeId, Member>,
    options: &Options,
) -> bool {
    if let Some(tester) = course.tester {
        let silent = members.get(&tester).is_none_or(|m| now.since(m.heard) > options.ttl);
        if silent || now.since(course.tested) > options.trickle {
            course.tester = None;
            course.tested = now;
            return true;
        }
        return false;
    }
    if course.tested != Timestamp::ZERO && now.since(course.tested) <= options.ttl + options.margin
    {
        return false;
    }
    // The time is part of the choice, so that a node without suitable requests is not named again
    // and again.
    let turn = now.as_micros() / options.trickle.as_micros().max(1);
    let heard = members.iter().filter(|(_, m)| now.since(m.heard) <= Span::from_secs(1));
    let best = heard.max_by_key(|(n, _)| rendezvous(server, n) ^ xxh3_64(&turn.to_le_bytes()));
    course.tester = best.map(|(n, _)| *n);
    course.tested = now;
    course.tester.is_some()
}
