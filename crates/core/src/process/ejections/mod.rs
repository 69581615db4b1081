//! Ejections at a node: which announcements it accepts, and how it may use each backend server.
//!
//! See docs/health.md for the rules and the reasons.
//!
//! * `announcement`, `view`, `options`: what the leader sends, what the node knows, and what is set.
//! * `local`: the use of the node's own evidence.

mod announcement;
mod local;
mod options;
mod view;

pub use self::{
    announcement::{
        Ack, AnnouncedServer, Announcement, EjectionStage, Refusal, Term, MAX_ANNOUNCED_SERVERS,
    },
    options::{Options, Policy},
    view::{ServerState, ServerView, View},
};

use self::announcement::ejected;
use crate::{
    ids::{ServerAddr, ServiceName},
    invariant,
    invariant::Invariant,
    process::{
        detector::Detector,
        evidence::EvidenceCounts,
        readmission::{Phase, Readmission},
    },
    time::Timestamp,
};
use std::collections::BTreeMap;

/// The weight of a server that fails the node's own tests, in percent of a full weight.
pub const SUSPECT_WEIGHT: u8 = 5;

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
        self.accepted.iter().flat_map(|a| ejected(&a.servers)).collect()
    }

    /// Accepts an announcement, or returns the reason why it is refused.
    pub fn accept(&mut self, now: Timestamp, a: &Announcement) -> Result<(), Refusal> {
        self.check_pause(now);
        self.expire(now);
        self.check(now, a)?;
        let ttl = a.ttl.min(self.options.ttl);
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
        ejected(self.in_force(now))
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

    /// Returns the reason why an announcement is refused, if there is one, and learns its term.
    fn check(&mut self, now: Timestamp, a: &Announcement) -> Result<(), Refusal> {
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
        if a.echo > now {
            return Err(Refusal::FutureEcho);
        }
        if now.since(a.echo) > a.ttl.min(self.options.ttl) {
            return Err(Refusal::Stale);
        }
        if !self.view.keeps_floor(&a.ejected()) {
            return Err(Refusal::Floor);
        }
        Ok(())
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
        let ejected: Vec<ServerAddr> = ejected(servers).collect();
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
}
