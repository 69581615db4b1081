//! Ejections at a node: which announcements it accepts, and how it may use each backend server.
//!
//! See docs/health.md for the rules and the reasons.

use crate::{
    ids::{ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::{self, Detector, TestResult},
        evidence::EvidenceCounts,
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

/// The weight of a server that fails the node's own tests, in percent of a full weight.
pub const SUSPECT_WEIGHT: u8 = 5;
/// The maximum number of servers in an announcement: 80 of at most 14 bytes each fit a datagram of 1,200 bytes.
pub const MAX_ANNOUNCED_SERVERS: usize = 80;

/// The term of a service leader: the log offset of the record that assigned it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A node's acknowledgement of announcements.
///
/// If the term is the leader's, the node applies no ejections of lower terms and refuses announcements of
/// them. The ejections that it applies come from the announcement `sequence`, or from none if that is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ack {
    /// The term.
    pub term: Term,
    /// The highest announcement sequence accepted in that term, or 0.
    pub sequence: u64,
}

/// The state of a backend server in the view of a node, apart from its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server takes requests.
    Up,
    /// The server has just started, and its outcomes are not evidence yet.
    Cold,
    /// The server is leaving and gets no new requests.
    Draining,
    /// The server's VM is gone.
    Lost,
}

/// One server of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The server's state.
    pub state: ServerState,
}

/// One node's view of a service: the floor and the servers.
///
/// Healthy capacity is the sum of the slots of all servers that are `Up` and not ejected. A server in
/// probation counts as ejected; one in slow start does not. A set of ejections *drops healthy capacity
/// below the floor* if it contains at least one `Up` server and the `Up` servers outside of it have fewer
/// slots than the floor. A set without an `Up` server never does, however small the capacity is: that loss
/// comes from drains, cold starts or lost VMs, and no re-admission can make up for it.
///
/// The slots of a server count whether or not it responds well. A server that fails every request adds no
/// real capacity when it is re-admitted for the floor. But the ejection itself may be the mistake, and the
/// floor protects against that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The minimum healthy capacity, in slots, that ejections must leave.
    pub floor: u32,
    /// The servers.
    pub servers: BTreeMap<ServerAddr, ServerView>,
}

impl View {
    /// Creates the view of a service. `state` returns the state of each server.
    pub fn new(service: &ServiceSpec, state: impl Fn(&ServerSpec) -> ServerState) -> Self {
        let view = |s: &ServerSpec| (s.addr, ServerView { slots: s.slots, state: state(s) });
        View { floor: service.floor, servers: service.servers.iter().map(view).collect() }
    }

    /// Returns the slots of a server if it is `Up`, and 0 otherwise.
    pub fn up_slots(&self, server: ServerAddr) -> u32 {
        match self.servers.get(&server) {
            Some(s) if s.state == ServerState::Up => s.slots,
            _ => 0,
        }
    }

    /// Returns the sum of the slots of all `Up` servers.
    pub fn total_up_slots(&self) -> u32 {
        self.servers.keys().map(|s| self.up_slots(*s)).sum()
    }

    /// Returns whether the healthy capacity keeps the floor if exactly these servers are ejected.
    pub fn keeps_floor<'a>(&self, ejected: impl IntoIterator<Item = &'a ServerAddr>) -> bool {
        let ejected: BTreeSet<&ServerAddr> = ejected.into_iter().collect();
        let taken: u32 = ejected.into_iter().map(|s| self.up_slots(*s)).sum();
        taken == 0 || self.total_up_slots().saturating_sub(taken) >= self.floor
    }

    /// Returns the length of the longest prefix of `ejected` that keeps the floor.
    ///
    /// Prefixes of one list contain each other. Nodes that apply the same announcement with different views
    /// therefore together eject no more servers than the one with the longest prefix.
    pub fn longest_prefix(&self, ejected: &[ServerAddr]) -> usize {
        (0..=ejected.len()).rev().find(|n| self.keeps_floor(&ejected[..*n])).unwrap_or(0)
    }
}

/// The state of a server in an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStage {
    /// The server is ejected and gets no requests from the receiver.
    Ejected,
    /// The server is ejected, and the receiver sends it the requests of its probation.
    Probation,
    /// The server is in use with this weight, in percent of a full weight.
    SlowStart(u8),
}

/// One server of an [`Announcement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedServer {
    /// The server.
    pub server: ServerAddr,
    /// The state of the server.
    pub stage: EjectionStage,
}

impl AnnouncedServer {
    /// Returns whether the server is ejected. This includes probation.
    pub fn is_ejected(&self) -> bool {
        !matches!(self.stage, EjectionStage::SlowStart(_))
    }
}

/// The complete set of ejections of one service, addressed to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The service.
    pub service: ServiceName,
    /// The leader's term.
    pub term: Term,
    /// The sequence number within the term, at least 1.
    pub sequence: u64,
    /// How long the announcement is in force, counted from `echo`.
    pub ttl: Span,
    /// The send time of the receiver's latest report, by the receiver's clock.
    pub echo: Timestamp,
    /// The ejected servers, the worst first, followed by those in slow start.
    pub servers: Vec<AnnouncedServer>,
}

/// The reason why a node refuses an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The announcement is for another service.
    OtherService,
    /// The node has not read its own member record since its start or its last pause.
    NotRecorded,
    /// The node knows a higher term.
    OldTerm,
    /// The node has already accepted this or a later announcement of the term.
    OldSequence,
    /// The echoed time is older than the time to live.
    Stale,
    /// The echoed time is in the future, so it does not come from this process.
    FutureEcho,
    /// The ejections would drop healthy capacity below the floor in the node's view.
    Floor,
}

/// How a node uses the evidence against servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The leader decides on ejections. The node's own evidence only lowers weights.
    #[default]
    Full,
    /// The node ejects servers on its own evidence and keeps the floor in its own view. This is a baseline
    /// for benchmarks: all nodes together may eject more than the floor allows.
    Local,
    /// All servers are used equally.
    RoundRobin,
}

/// The parameters of a receiving node.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How evidence is used.
    pub policy: Policy,
    /// The upper limit of an announcement's time to live. After a longer pause of its process, the node must
    /// read its member record again.
    pub ttl: Span,
    /// The tests on the node's own outcomes.
    pub detector: detector::Options,
    /// Re-admission under [`Policy::Local`].
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

/// Which requests the node may send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usage {
    /// All requests, with this weight in percent of a full weight.
    Weight(u8),
    /// Probation requests: idempotent ones of the lowest rank that has any, one in flight at a time.
    Probation,
    /// No requests.
    Closed,
}

#[derive(Clone, Debug)]
struct Accepted {
    ack: Ack,
    until: Timestamp,
    servers: Vec<AnnouncedServer>,
}

/// The ejections of one service at one node, received from the service's leader.
#[derive(Debug)]
pub struct Ejections {
    options: Options,
    service: ServiceName,
    view: View,
    has_read_record: bool,
    highest_term: Term,
    /// The last accepted announcement. It is kept after `accepted` has expired.
    ack: Ack,
    accepted: Option<Accepted>,
    /// The servers of the accepted announcement without the ejections that would break the floor in the node's
    /// view.
    applied: Vec<AnnouncedServer>,
    detector: Detector,
    lowered: Vec<ServerAddr>,
    readmissions: BTreeMap<ServerAddr, Readmission>,
    last_call: Timestamp,
}

impl Ejections {
    /// Creates the state of a node that ejects no server.
    pub fn new(now: Timestamp, service: ServiceName, view: View, options: Options) -> Self {
        let mut detector = Detector::new(options.detector);
        detector.set_servers(view.servers.keys().copied());
        Ejections {
            options,
            service,
            view,
            has_read_record: false,
            highest_term: Term::default(),
            ack: Ack::default(),
            accepted: None,
            applied: Vec::new(),
            detector,
            lowered: Vec::new(),
            readmissions: BTreeMap::new(),
            last_call: now,
        }
    }

    /// Records that the node has read the log up to its own member record, and up to the end of the log if it
    /// had read that record before a pause. `highest` is the highest term in the log so far.
    pub fn record_read(&mut self, now: Timestamp, highest: Term) {
        self.check_pause(now);
        self.learn_term(highest);
        self.has_read_record = true;
    }

    /// Returns whether the node may accept announcements: it has read its own member record since its start
    /// or its last pause.
    pub fn is_recorded(&self) -> bool {
        self.has_read_record
    }

    /// Records an assigned term. Lower terms are refused from now on.
    pub fn learn_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Records the term in which this node itself leads the service. Returns the ejected servers that the
    /// new leader takes over.
    pub fn take_over(&mut self, now: Timestamp, term: Term) -> Vec<ServerAddr> {
        self.check_pause(now);
        self.expire(now);
        self.learn_term(term);
        let servers = self.accepted.iter().flat_map(|a| &a.servers);
        servers.filter(|e| e.is_ejected()).map(|e| e.server).collect()
    }

    /// Accepts an announcement, or returns the reason why it is refused.
    pub fn accept(&mut self, now: Timestamp, a: &Announcement) -> Result<(), Refusal> {
        self.check_pause(now);
        self.expire(now);
        if a.service != self.service {
            return Err(Refusal::OtherService);
        }
        if !self.has_read_record {
            return Err(Refusal::NotRecorded);
        }
        if a.term < self.highest_term {
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
        let ejected: Vec<ServerAddr> =
            a.servers.iter().filter(|e| e.is_ejected()).map(|e| e.server).collect();
        if !self.view.keeps_floor(&ejected) {
            return Err(Refusal::Floor);
        }
        self.ack = Ack { term: a.term, sequence: a.sequence };
        self.accepted =
            Some(Accepted { ack: self.ack, until: a.echo + ttl, servers: a.servers.clone() });
        self.apply();
        Ok(())
    }

    /// Replaces the node's view. Ejections that would break the floor are no longer applied.
    pub fn set_view(&mut self, now: Timestamp, view: View) {
        self.check_pause(now);
        self.expire(now);
        self.detector.set_servers(view.servers.keys().copied());
        self.view = view;
        self.readmissions.retain(|s, _| self.view.servers.contains_key(s));
        self.apply();
        self.update_weights(now);
    }

    /// Adds the outcome counts of the node's own requests, which determine the local weights.
    pub fn observe(&mut self, now: Timestamp, counts: &[(ServerAddr, EvidenceCounts)]) {
        self.check_pause(now);
        for (server, c) in counts {
            if self.view.up_slots(*server) > 0 {
                self.detector.observe(now, 0, *server, c);
                if let Some(readmission) = self.readmissions.get_mut(server) {
                    readmission.observe(now, c, &self.options.readmission);
                }
            }
        }
    }

    /// Drops expired ejections and recomputes the local weights.
    pub fn tick(&mut self, now: Timestamp) {
        self.check_pause(now);
        self.expire(now);
        self.update_weights(now);
    }

    /// Returns the acknowledgement that the node reports to leaders.
    pub fn ack(&mut self, now: Timestamp) -> Ack {
        self.expire(now);
        match &self.accepted {
            Some(a) => a.ack,
            None if self.ack.term == self.highest_term => self.ack,
            None => Ack { term: self.highest_term, sequence: 0 },
        }
    }

    /// Returns the highest term that the node knows.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Returns the servers that the leader's announcement ejects at this node.
    pub fn ejected(&self, now: Timestamp) -> impl Iterator<Item = ServerAddr> + '_ {
        self.in_force(now).iter().filter(|e| e.is_ejected()).map(|e| e.server)
    }

    fn in_force(&self, now: Timestamp) -> &[AnnouncedServer] {
        match &self.accepted {
            Some(a) if now <= a.until => &self.applied,
            _ => &[],
        }
    }

    /// Returns the servers whose weight is lowered by the node's own evidence. Under [`Policy::Local`] these
    /// are the servers that it ejects.
    pub fn lowered(&self) -> &[ServerAddr] {
        &self.lowered
    }

    /// Returns which requests the node may send to a server.
    pub fn usage(&self, now: Timestamp, server: ServerAddr) -> Usage {
        match self.view.servers.get(&server).map(|s| s.state) {
            None | Some(ServerState::Draining | ServerState::Lost) => return Usage::Closed,
            Some(ServerState::Up | ServerState::Cold) => {}
        }
        if let Some(readmission) = self.readmissions.get(&server) {
            return match readmission.phase() {
                Phase::HoldOff(_) => Usage::Closed,
                Phase::Probation(_) => Usage::Probation,
                _ => Usage::Weight(readmission.percent(now, &self.options.readmission)),
            };
        }
        let weight = if self.lowered.contains(&server) { SUSPECT_WEIGHT } else { 100 };
        match self.in_force(now).iter().find(|e| e.server == server).map(|e| e.stage) {
            Some(EjectionStage::Ejected) => Usage::Closed,
            Some(EjectionStage::Probation) => Usage::Probation,
            Some(EjectionStage::SlowStart(percent)) => Usage::Weight(percent.min(weight)),
            None => Usage::Weight(weight),
        }
    }

    /// Detects a pause of this process, after which announcements are refused until `record_read`.
    ///
    /// The node may be recorded as gone while its process is paused, and leaders then no longer wait for its
    /// acknowledgement. After a pause it must therefore read the terms that were assigned in the meantime.
    fn check_pause(&mut self, now: Timestamp) {
        if now.since(self.last_call) > self.options.ttl {
            self.has_read_record = false;
        }
        self.last_call = self.last_call.max(now);
    }

    fn expire(&mut self, now: Timestamp) {
        if self.accepted.as_ref().is_some_and(|a| now > a.until) {
            self.accepted = None;
            self.apply();
        }
    }

    fn apply(&mut self) {
        let servers = self.accepted.as_ref().map_or(&[][..], |a| &a.servers);
        let ejected: Vec<ServerAddr> =
            servers.iter().filter(|e| e.is_ejected()).map(|e| e.server).collect();
        let keep = &ejected[..self.view.longest_prefix(&ejected)];
        self.applied = servers
            .iter()
            .filter(|e| !e.is_ejected() || keep.contains(&e.server))
            .copied()
            .collect();
        invariant!(
            Invariant::Floor,
            self.view.keeps_floor(keep),
            "{}: {} ejections leave less than the floor {}",
            self.service,
            keep.len(),
            self.view.floor
        );
        for server in self.view.servers.keys() {
            let is_excluded = keep.contains(server)
                || self.readmissions.get(server).is_some_and(Readmission::is_ejected);
            self.detector.set_excluded(*server, is_excluded);
        }
    }

    /// Lowers the weights of suspect servers, the worst first, as long as the servers with full weight keep
    /// the floor. Under `Policy::Local` it ejects and re-admits servers instead.
    fn update_weights(&mut self, now: Timestamp) {
        if self.options.policy == Policy::RoundRobin {
            return;
        }
        let suspects = match self.detector.evaluate(now) {
            TestResult::Suspects(list) => list,
            TestResult::Service => Vec::new(),
        };
        let options = self.options.readmission;
        if self.options.policy == Policy::Local {
            for readmission in self.readmissions.values_mut() {
                readmission.tick(now, &options);
            }
            self.readmissions.retain(|_, r| !r.is_over(now, &options));
            let ejected = |readmissions: &BTreeMap<ServerAddr, Readmission>| -> Vec<ServerAddr> {
                readmissions.iter().filter(|(_, r)| r.is_ejected()).map(|(s, _)| *s).collect()
            };
            while !self.view.keeps_floor(&ejected(&self.readmissions)) {
                // Under this policy no severity is kept, so the first server by address is re-admitted.
                let first = ejected(&self.readmissions)[0];
                self.readmissions.entry(first).and_modify(Readmission::restore);
            }
            for s in suspects {
                let mut all = ejected(&self.readmissions);
                all.push(s.server);
                if self.view.up_slots(s.server) > 0 && self.view.keeps_floor(&all) {
                    self.readmissions
                        .entry(s.server)
                        .and_modify(|r| r.eject(now, &options))
                        .or_insert_with(|| Readmission::new(now, &options));
                }
            }
            self.lowered = ejected(&self.readmissions);
            invariant!(
                Invariant::Floor,
                self.view.keeps_floor(&self.lowered),
                "{}: local ejections leave less than the floor {}",
                self.service,
                self.view.floor
            );
            self.apply();
            return;
        }
        let ejected: Vec<ServerAddr> = self.ejected(now).collect();
        let mut lowered = Vec::new();
        for s in suspects {
            let with = ejected.iter().chain(&lowered).chain([&s.server]);
            if self.view.up_slots(s.server) > 0 && self.view.keeps_floor(with) {
                lowered.push(s.server);
            }
        }
        self.lowered = lowered;
    }
}
