//! The ejections that a node accepts and applies.
//!
//! See docs/health.md for the rules and the reasons.

use crate::{
    ids::{ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::{self, Detector, Verdict},
        evidence::Counts,
        readmission::{self, Phase, Readmission},
    },
    time::{Span, Timestamp},
    version::spec::{ServerSpec, ServiceSpec},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};
use strum::Display;

/// The weight of a suspect server, in percent of a full weight.
pub const SUSPECT_WEIGHT: u8 = 5;
/// The most entries of an announcement: 80 entries of at most 14 bytes fit a datagram of 1,200 bytes.
pub const MAX_ENTRIES: usize = 80;

/// `Term` is the log offset of a leader's assignment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// `Ack` says what a node holds.
///
/// With a term equal to a leader's, the node holds nothing from lower terms and refuses them, and what
/// it holds of this term comes from the announcement `sequence` (0: from none).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ack {
    /// The term.
    pub term: Term,
    /// The highest sequence accepted in that term.
    pub sequence: u64,
}

/// `ServerState` is what a node knows about a backend server besides its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server takes work.
    Up,
    /// The server has just started and is not judged yet.
    Cold,
    /// The server is leaving.
    Draining,
    /// The server's VM is gone.
    Lost,
}

/// `ServerView` is one server of a `View`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// How many requests the server runs at once.
    pub slots: u32,
    /// The server's state.
    pub state: ServerState,
}

/// `View` is what one node knows about a service: the floor and the servers.
///
/// Healthy capacity is the slots of the servers that are `Up` and not ejected, a server in probation
/// being ejected and one in slow start not. A set of ejections *drops healthy capacity below the
/// floor* if it contains at least one `Up` server and the slots of the `Up` servers outside of it are
/// below the floor. A set without an `Up` server drops nothing, however small the capacity is: that
/// loss comes from drains, cold starts or lost VMs, which no ejection can make good.
///
/// The slots of a server count whether or not it answers well. An ejected server that fails
/// everything gives no real capacity when it is re-admitted for the floor, but the judgement that it
/// fails may be what is wrong, and the floor protects against that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The healthy capacity, in slots, that ejections must leave.
    pub floor: u32,
    /// The servers.
    pub servers: BTreeMap<ServerAddr, ServerView>,
}

impl View {
    /// Returns the view of a service, given the state of each server.
    pub fn new(service: &ServiceSpec, state: impl Fn(&ServerSpec) -> ServerState) -> Self {
        let view = |s: &ServerSpec| (s.addr, ServerView { slots: s.slots, state: state(s) });
        View { floor: service.floor, servers: service.servers.iter().map(view).collect() }
    }

    /// Returns the slots of a server if it is `Up`, else 0.
    pub fn up_slots(&self, server: ServerAddr) -> u32 {
        match self.servers.get(&server) {
            Some(s) if s.state == ServerState::Up => s.slots,
            _ => 0,
        }
    }

    /// Returns the slots of all `Up` servers.
    pub fn up(&self) -> u32 {
        self.servers.keys().map(|s| self.up_slots(*s)).sum()
    }

    /// Returns whether ejecting exactly these servers keeps the floor.
    pub fn holds<'a>(&self, ejected: impl IntoIterator<Item = &'a ServerAddr>) -> bool {
        let ejected: BTreeSet<&ServerAddr> = ejected.into_iter().collect();
        let taken: u32 = ejected.into_iter().map(|s| self.up_slots(*s)).sum();
        taken == 0 || self.up().saturating_sub(taken) >= self.floor
    }

    /// Returns the length of the longest prefix of `ejected` that keeps the floor.
    ///
    /// Prefixes of one list are nested, so nodes with different views of the same announcement
    /// together eject no more than one of them does.
    pub fn prefix(&self, ejected: &[ServerAddr]) -> usize {
        (0..=ejected.len()).rev().find(|n| self.holds(&ejected[..*n])).unwrap_or(0)
    }
}

/// `EjectionStage` is what an announcement says about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStage {
    /// The server gets no work.
    Out,
    /// The server is ejected, and the receiver sends it the trickle of its probation.
    Trickle,
    /// The server is in use with this weight in percent.
    SlowStart(u8),
}

/// `Entry` is one server of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server.
    pub server: ServerAddr,
    /// What is said about it.
    pub stage: EjectionStage,
}

impl Entry {
    /// Returns whether the entry ejects its server.
    pub fn is_out(&self) -> bool {
        !matches!(self.stage, EjectionStage::SlowStart(_))
    }
}

/// `Announcement` is the whole set of ejections of one service, made for one receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The service.
    pub service: ServiceName,
    /// The leader's term.
    pub term: Term,
    /// The number of the announcement within the term, from 1.
    pub sequence: u64,
    /// How long it is in force after `echo`.
    pub ttl: Span,
    /// The latest time by the receiver's clock that the leader has seen.
    pub echo: Timestamp,
    /// The ejected servers, the worst first, and those in slow start.
    pub entries: Vec<Entry>,
}

/// `Refusal` is why a node does not accept an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It is for another service.
    OtherService,
    /// The node has not read its own member record since it started or was last paused.
    NotRecorded,
    /// A higher term is known.
    OldTerm,
    /// A later announcement of the term was accepted.
    OldSequence,
    /// The echoed time is older than the time to live.
    Stale,
    /// The echoed time is in the future, so it is not of this process.
    FutureEcho,
    /// It would drop healthy capacity below the floor in the node's view.
    Floor,
}

/// `Policy` is how a node uses evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Ejections come from the leader; the node's own evidence lowers weights.
    #[default]
    Full,
    /// The node ejects on its own evidence, within the floor in its own view. A baseline of the
    /// benchmark: the union over nodes is not bounded.
    Local,
    /// All servers are used equally.
    RoundRobin,
}

/// `Options` sets the receiving node.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The policy.
    pub policy: Policy,
    /// The longest time to live that is accepted, also the pause after which the node must read its
    /// member record again.
    pub ttl: Span,
    /// The tests on the node's own outcomes.
    pub detector: detector::Options,
    /// Re-admission under `Policy::Local`.
    pub readmission: readmission::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            policy: Policy::Full,
            ttl: Span::from_secs(3),
            detector: detector::Options::default(),
            readmission: readmission::Options::default(),
        }
    }
}

/// `Usage` is how the node may use a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Any request, with this weight in percent.
    Weight(u8),
    /// At most one request in flight, idempotent and of the lowest rank.
    Trickle,
    /// No request.
    Closed,
}

#[derive(Clone, Debug)]
struct Accepted {
    ack: Ack,
    until: Timestamp,
    entries: Vec<Entry>,
}

/// `Ejections` is the receiving side of one service at one node.
#[derive(Debug)]
pub struct Ejections {
    options: Options,
    service: ServiceName,
    view: View,
    recorded: bool,
    highest: Term,
    /// The last acknowledged announcement; it outlives the entries in `accepted`.
    ack: Ack,
    accepted: Option<Accepted>,
    /// The entries in force, trimmed to the floor in the node's view.
    applied: Vec<Entry>,
    detector: Detector,
    lowered: Vec<ServerAddr>,
    courses: BTreeMap<ServerAddr, Readmission>,
    last: Timestamp,
}

impl Ejections {
    /// Returns a node that ejects nothing.
    pub fn new(now: Timestamp, service: ServiceName, view: View, options: Options) -> Self {
        let mut detector = Detector::new(options.detector);
        detector.set_servers(view.servers.keys().copied());
        Ejections {
            options,
            service,
            view,
            recorded: false,
            highest: Term::default(),
            ack: Ack::default(),
            accepted: None,
            applied: Vec::new(),
            detector,
            lowered: Vec::new(),
            courses: BTreeMap::new(),
            last: now,
        }
    }

    /// Says that the node has read the log up to its own member record, and to the log's end if the
    /// record was read before a pause; `highest` is the highest term found.
    pub fn record_read(&mut self, now: Timestamp, highest: Term) {
        self.wake(now);
        self.learn_term(highest);
        self.recorded = true;
    }

    /// Returns whether the node may accept announcements.
    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Learns that a term was assigned. Lower terms are refused from then on.
    pub fn learn_term(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// Learns the term of the node's own leader and returns the ejections that it carries on.
    pub fn take_over(&mut self, now: Timestamp, term: Term) -> Vec<ServerAddr> {
        self.wake(now);
        self.expire(now);
        self.learn_term(term);
        let entries = self.accepted.iter().flat_map(|a| &a.entries);
        entries.filter(|e| e.is_out()).map(|e| e.server).collect()
    }

    /// Accepts an announcement or says why not.
    pub fn accept(&mut self, now: Timestamp, a: &Announcement) -> Result<(), Refusal> {
        self.wake(now);
        self.expire(now);
        if a.service != self.service {
            return Err(Refusal::OtherService);
        }
        if !self.recorded {
            return Err(Refusal::NotRecorded);
        }
        if a.term < self.highest {
            return Err(Refusal::OldTerm);
        }
        self.learn_term(a.term);
        if a.term == self.ack.term && a.sequence <= self.ack.sequence {
            return Err(Refusal::OldSequence);
        }
        let ttl = a.ttl.min(self.options.ttl);
        if a.echo > now {
            return Err(Refusal::FutureEcho);
        }
        if now.since(a.echo) > ttl {
            return Err(Refusal::Stale);
        }
        let out: Vec<ServerAddr> =
            a.entries.iter().filter(|e| e.is_out()).map(|e| e.server).collect();
        if !self.view.holds(&out) {
            return Err(Refusal::Floor);
        }
        self.ack = Ack { term: a.term, sequence: a.sequence };
        self.accepted =
            Some(Accepted { ack: self.ack, until: a.echo + ttl, entries: a.entries.clone() });
        self.apply();
        Ok(())
    }

    /// Replaces the node's view and drops ejections that no longer keep the floor.
    pub fn set_view(&mut self, now: Timestamp, view: View) {
        self.wake(now);
        self.expire(now);
        self.detector.set_servers(view.servers.keys().copied());
        self.view = view;
        self.courses.retain(|s, _| self.view.servers.contains_key(s));
        self.apply();
        self.lower(now);
    }

    /// Adds the node's own counts, for local weights.
    pub fn observe(&mut self, now: Timestamp, counts: &[(ServerAddr, Counts)]) {
        self.wake(now);
        for (server, c) in counts {
            if self.view.up_slots(*server) > 0 {
                self.detector.observe(now, 0, *server, c);
                if let Some(course) = self.courses.get_mut(server) {
                    course.observe(now, c, &self.options.readmission);
                }
            }
        }
    }

    /// Expires ejections and renews local weights.
    pub fn tick(&mut self, now: Timestamp) {
        self.wake(now);
        self.expire(now);
        self.lower(now);
    }

    /// Returns what the node reports to leaders.
    pub fn ack(&mut self, now: Timestamp) -> Ack {
        self.expire(now);
        match &self.accepted {
            Some(a) => a.ack,
            None if self.ack.term == self.highest => self.ack,
            None => Ack { term: self.highest, sequence: 0 },
        }
    }

    /// Returns the highest term that the node knows.
    pub fn highest(&self) -> Term {
        self.highest
    }

    /// Returns the servers that the leader's announcements eject at this node.
    pub fn ejected(&self, now: Timestamp) -> impl Iterator<Item = ServerAddr> + '_ {
        self.in_force(now).iter().filter(|e| e.is_out()).map(|e| e.server)
    }

    fn in_force(&self, now: Timestamp) -> &[Entry] {
        match &self.accepted {
            Some(a) if now <= a.until => &self.applied,
            _ => &[],
        }
    }

    /// Returns the servers whose weight the node's own evidence lowers, or that it ejects under
    /// `Policy::Local`.
    pub fn lowered(&self) -> &[ServerAddr] {
        &self.lowered
    }

    /// Returns how the node may use a server.
    pub fn usage(&self, now: Timestamp, server: ServerAddr) -> Usage {
        match self.view.servers.get(&server).map(|s| s.state) {
            None | Some(ServerState::Draining | ServerState::Lost) => return Usage::Closed,
            Some(ServerState::Up | ServerState::Cold) => {}
        }
        if let Some(course) = self.courses.get(&server) {
            return match course.phase() {
                Phase::HoldOff(_) => Usage::Closed,
                Phase::Probation(_) => Usage::Trickle,
                _ => Usage::Weight(course.percent(now, &self.options.readmission)),
            };
        }
        let weight = if self.lowered.contains(&server) { SUSPECT_WEIGHT } else { 100 };
        match self.in_force(now).iter().find(|e| e.server == server).map(|e| e.stage) {
            Some(EjectionStage::Out) => Usage::Closed,
            Some(EjectionStage::Trickle) => Usage::Trickle,
            Some(EjectionStage::SlowStart(percent)) => Usage::Weight(percent.min(weight)),
            None => Usage::Weight(weight),
        }
    }

    /// Forgets what may have become old in a pause.
    ///
    /// A VM may be recorded as gone while its process is paused, and leaders then no longer wait for
    /// it. After a pause it therefore needs the terms that were assigned in the meantime.
    fn wake(&mut self, now: Timestamp) {
        if now.since(self.last) > self.options.ttl {
            self.recorded = false;
        }
        self.last = self.last.max(now);
    }

    fn expire(&mut self, now: Timestamp) {
        if self.accepted.as_ref().is_some_and(|a| now > a.until) {
            self.accepted = None;
            self.apply();
        }
    }

    fn apply(&mut self) {
        let entries = self.accepted.as_ref().map_or(&[][..], |a| &a.entries);
        let out: Vec<ServerAddr> =
            entries.iter().filter(|e| e.is_out()).map(|e| e.server).collect();
        let keep = &out[..self.view.prefix(&out)];
        self.applied =
            entries.iter().filter(|e| !e.is_out() || keep.contains(&e.server)).copied().collect();
        invariant!(
            Invariant::Floor,
            self.view.holds(keep),
            "{}: {} ejections leave less than the floor {}",
            self.service,
            keep.len(),
            self.view.floor
        );
        for server in self.view.servers.keys() {
            let out =
                keep.contains(server) || self.courses.get(server).is_some_and(Readmission::is_out);
            self.detector.set_excluded(*server, out);
        }
    }

    /// Lowers the weight of suspect servers, the worst first, while the full weights keep the floor.
    fn lower(&mut self, now: Timestamp) {
        if self.options.policy == Policy::RoundRobin {
            return;
        }
        let suspects = match self.detector.verdict(now) {
            Verdict::Suspects(list) => list,
            Verdict::Service => Vec::new(),
        };
        let options = self.options.readmission;
        if self.options.policy == Policy::Local {
            for course in self.courses.values_mut() {
                course.tick(now, &options);
            }
            self.courses.retain(|_, c| !c.is_over(now, &options));
            let out = |courses: &BTreeMap<ServerAddr, Readmission>| -> Vec<ServerAddr> {
                courses.iter().filter(|(_, c)| c.is_out()).map(|(s, _)| *s).collect()
            };
            while !self.view.holds(&out(&self.courses)) {
                // A node keeps no order of severity, so the first by address is re-admitted.
                let first = out(&self.courses)[0];
                self.courses.entry(first).and_modify(Readmission::restore);
            }
            for s in suspects {
                let mut all = out(&self.courses);
                all.push(s.server);
                if self.view.up_slots(s.server) > 0 && self.view.holds(&all) {
                    self.courses
                        .entry(s.server)
                        .and_modify(|c| c.eject(now, &options))
                        .or_insert_with(|| Readmission::new(now, &options));
                }
            }
            self.lowered = out(&self.courses);
            invariant!(
                Invariant::Floor,
                self.view.holds(&self.lowered),
                "{}: local ejections leave less than the floor {}",
                self.service,
                self.view.floor
            );
            self.apply();
            return;
        }
        let out: Vec<ServerAddr> = self.ejected(now).collect();
        let mut lowered = Vec::new();
        for s in suspects {
            let with = out.iter().chain(&lowered).chain([&s.server]);
            if self.view.up_slots(s.server) > 0 && self.view.holds(with) {
                lowered.push(s.server);
            }
        }
        self.lowered = lowered;
    }
}
