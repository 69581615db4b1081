//! The registered backend servers with their load, health estimates and service outcomes.

mod limits;
mod observations;
mod selection;

use crate::{
    ids::ServiceName,
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        latency::Latency,
        leaving_servers::LeavingServers,
        recent_ranks::RecentRanks,
        registration::{Registration, RegistrationState, ServerId},
        relayable_changes::RelayableChanges,
        server_limit::{NodeCounts, ServerLimit},
        server_pause::ServerPauses,
        service_outcomes::ServiceOutcomes,
        start_marks::ServerStart,
        stream_position::StreamPosition,
        tracked_server::{Counts, Presence, ServerReport, TrackedServer},
    },
    time::{Span, Timestamp},
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The effect of a registration record on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new or restarted server was added.
    Joined,
    /// A known server accepts work again.
    Returned,
    /// The server announced that it drains and gets no new work.
    Draining,
    /// The server's registration ended.
    Ended,
    /// Another field of a known server changed.
    Updated,
    /// A restored store returned an older record, which would bring a draining or ended server back.
    Refused,
    /// The record is outdated or changes nothing.
    Nothing,
}

/// Options of the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryOptions {
    /// Parameters of the health estimates.
    pub health: HealthOptions,
    /// A server whose registration ended around an outage of the store stays in use for this long. Running servers
    /// register again within about two seconds of the store's return.
    pub outage_grace: Span,
    /// Another node's count of requests in flight is used for this long after it was reported.
    pub report_age: Span,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions {
            health: HealthOptions::default(),
            outage_grace: Span::from_millis(1_600),
            report_age: Span::from_millis(1_200),
        }
    }
}

/// Ended registrations are kept for this long, so that a delayed older record does not restore them.
const ENDED_RETENTION: Span = Span::from_secs(120);

/// A server's id, the position of its record in the stream, and its registration, `None` if the record ended it.
pub type ServerRecord = (ServerId, StreamPosition, Option<Registration>);

/// All registered backend servers of all services.
#[derive(Clone, Debug)]
pub struct ServerRegistry {
    options: RegistryOptions,
    servers: HashMap<ServerId, TrackedServer>,
    by_service: HashMap<ServiceName, Vec<ServerId>>,
    by_tag: HashMap<u32, ServerId>,
    latencies: HashMap<ServiceName, Latency>,
    outcomes: HashMap<ServiceName, ServiceOutcomes>,
    /// Sends of this node by service, where a refused one counts as unserved.
    refusals: HashMap<ServiceName, ServiceOutcomes>,
    recent_ranks: HashMap<ServiceName, RecentRanks>,
    /// Servers with use that was not reported to the peers yet.
    unreported: Vec<ServerId>,
    /// Reports on servers that were removed since the last report.
    last_reports: Vec<ServerReport>,
    /// Servers whose limit the other nodes should be told.
    unreported_limits: Vec<ServerId>,
    /// The nodes among which limits are divided.
    nodes: NodeCounts,
    /// Saved estimates of servers that have not registered since the restart.
    restored: HashMap<ServerId, HealthEstimate>,
    leaving: LeavingServers,
    pauses: ServerPauses,
    last_store_outage: Option<Timestamp>,
    changes: RelayableChanges,
    /// The era of the newest snapshot. Records of earlier eras are outdated.
    era: u64,
}

impl ServerRegistry {
    /// Creates an empty registry.
    pub fn new(options: RegistryOptions) -> Self {
        ServerRegistry {
            options,
            servers: HashMap::new(),
            by_service: HashMap::new(),
            by_tag: HashMap::new(),
            latencies: HashMap::new(),
            outcomes: HashMap::new(),
            refusals: HashMap::new(),
            recent_ranks: HashMap::new(),
            unreported: Vec::new(),
            last_reports: Vec::new(),
            unreported_limits: Vec::new(),
            nodes: NodeCounts::default(),
            restored: HashMap::new(),
            leaving: LeavingServers::default(),
            pauses: ServerPauses::default(),
            last_store_outage: None,
            changes: RelayableChanges::default(),
            era: 0,
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &RegistryOptions {
        &self.options
    }

    /// Returns the server with this id, including a draining or recently ended one.
    pub fn server(&self, id: &ServerId) -> Option<&TrackedServer> {
        self.servers.get(id)
    }

    /// Returns all current registrations with the positions of their records.
    pub fn registrations(&self) -> Vec<(Registration, StreamPosition)> {
        let registered = self.servers.values().filter(|s| s.presence != Presence::Ended);
        registered.map(|s| (s.registration.clone(), s.position)).collect()
    }

    /// Returns the records at or after `position`, or `None` if registrations may have ended since then of which this
    /// registry has no record, or if `position` is of another era, whose offsets say nothing about the records of this
    /// one. The asking node then needs the full list.
    pub fn changes_since(&self, position: StreamPosition) -> Option<Vec<ServerRecord>> {
        if position.era != self.era || !self.changes.are_complete_since(position) {
            return None;
        }
        let changed = self.servers.iter().filter(|(_, s)| s.position >= position);
        let record = |(id, s): (&ServerId, &TrackedServer)| {
            let registration = (s.presence != Presence::Ended).then(|| s.registration.clone());
            (id.clone(), s.position, registration)
        };
        let unknown_ends = self.changes.unknown_ends(position).map(|(id, end)| (id, end, None));
        Some(changed.map(record).chain(unknown_ends).collect())
    }

    /// Records that the store did not respond at `now`. Registrations that end around this time may only have lapsed.
    pub fn record_store_outage(&mut self, now: Timestamp) {
        self.last_store_outage = Some(now);
    }

    /// Applies the record at `position` to the server `id`; `None` ends the registration.
    ///
    /// A record of an earlier start, or an earlier report of the same start, changes nothing. A delayed report would
    /// otherwise return a draining server to service. After a restore of the store, the same report does not bring a
    /// draining or ended server back either, as the record may be an old copy.
    pub fn apply_record(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        position: StreamPosition,
        registration: Option<Registration>,
    ) -> Change {
        if position.era < self.era {
            return Change::Nothing;
        }
        self.changes.record_applied(position);
        if !self.servers.contains_key(id) && self.changes.has_ended(id, position) {
            return Change::Nothing;
        }
        match registration {
            Some(registration) => self.register(now, id, position, registration),
            None => self.end(now, id, position),
        }
    }

    fn register(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        position: StreamPosition,
        registration: Registration,
    ) -> Change {
        let Some(server) = self.servers.get_mut(id) else {
            self.insert(now, position, registration);
            return Change::Joined;
        };
        if position <= server.position {
            return Change::Nothing;
        }
        if !server.accepts(&registration, position.era) {
            let is_restored = position.era > server.report_era;
            server.position = position;
            let would_return = server.presence != Presence::Ready
                && registration.state == RegistrationState::Ready;
            return if is_restored && would_return { Change::Refused } else { Change::Nothing };
        }
        let old = &server.registration;
        let is_restart = registration.started > old.started;
        if is_restart || registration.addr != old.addr || registration.service != old.service {
            self.remove(id);
            self.insert(now, position, registration);
            return Change::Joined;
        }
        let before = server.presence;
        let same_state = before != Presence::Ended && registration.state == old.state;
        server.position = position;
        server.report_era = position.era;
        server.is_missing = false;
        server.warm_until = now + registration.warmup;
        server.presence = presence(registration.state);
        if server.presence != before {
            server.presence_since = now;
        }
        server.registration = registration;
        match (same_state, server.presence) {
            (true, _) => Change::Updated,
            (false, Presence::Draining) => Change::Draining,
            (false, _) => Change::Returned,
        }
    }

    /// Applies a snapshot of all registrations up to the position `end`. Known servers missing from it have ended.
    ///
    /// After a restore of the store, missing ones may only not have registered again yet. They are treated like those
    /// that lapse in an outage.
    pub fn apply_snapshot(
        &mut self,
        now: Timestamp,
        end: StreamPosition,
        records: Vec<(Registration, StreamPosition)>,
    ) -> Vec<(ServerId, Change)> {
        if end.era < self.era {
            return Vec::new();
        }
        let is_restored = end.era > self.era && !self.servers.is_empty();
        self.era = end.era;
        if is_restored {
            self.record_store_outage(now);
        }
        let listed: HashSet<ServerId> =
            records.iter().map(|(registration, _)| registration.id.clone()).collect();
        let missing: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(id, s)| {
                s.presence != Presence::Ended && s.position < end && !listed.contains(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.end(now, &id, end.previous());
            if let Some(server) = self.servers.get_mut(&id) {
                server.is_missing = is_restored;
            }
            changes.push((id, change));
        }
        let is_current = |(r, position): &(Registration, StreamPosition)| {
            self.servers.contains_key(&r.id) || !self.changes.has_ended(&r.id, *position)
        };
        let current: Vec<(Registration, StreamPosition)> =
            records.into_iter().filter(is_current).collect();
        self.changes.record_snapshot(end);
        for (registration, position) in current {
            let id = registration.id.clone();
            let change = self.register(now, &id, position, registration);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::Nothing);
        changes
    }

    fn end(&mut self, now: Timestamp, id: &ServerId, position: StreamPosition) -> Change {
        let Some(server) = self.servers.get_mut(id) else {
            self.changes.record_unknown_end(now, id, position);
            return Change::Nothing;
        };
        if position < server.position {
            return Change::Nothing;
        }
        server.position = position;
        if server.presence == Presence::Ended {
            return Change::Nothing;
        }
        server.presence = Presence::Ended;
        server.presence_since = now;
        Change::Ended
    }

    fn insert(&mut self, now: Timestamp, position: StreamPosition, registration: Registration) {
        let id = registration.id.clone();
        self.changes.remove_unknown_end(&id);
        self.by_tag.insert(id.tag(), id.clone());
        self.by_service.entry(registration.service.clone()).or_default().push(id.clone());
        let server = TrackedServer {
            position,
            presence: presence(registration.state),
            presence_since: now,
            report_era: position.era,
            is_missing: false,
            warm_until: now + registration.warmup,
            shared_health: self.restored.remove(&id).unwrap_or_else(|| HealthEstimate::new(now)),
            local_health: HealthEstimate::new(now),
            last_failure: None,
            is_observed: false,
            last_used: None,
            in_flight: 0,
            peer_in_flight: BTreeMap::new(),
            counts: Counts::default(),
            limit: ServerLimit::default(),
            registration,
        };
        self.servers.insert(id, server);
    }

    fn remove(&mut self, id: &ServerId) {
        let Some(server) = self.servers.remove(id) else { return };
        self.by_tag.remove(&id.tag());
        if let Some(ids) = self.by_service.get_mut(&server.registration.service) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_service.remove(&server.registration.service);
            }
        }
    }

    /// Removes a server whose address now belongs to another server. A newer record of it adds it again.
    ///
    /// The other nodes are told of a failure, as each of them would otherwise lose a request and a retry to find out.
    pub fn remove_displaced(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.counts.add(Observation::Error);
            let counts = std::mem::take(&mut server.counts);
            self.last_reports.push(ServerReport { tag: id.tag(), counts, in_flight: 0 });
        }
        match self.servers.get(id) {
            Some(server) if server.presence == Presence::Ended => {
                self.changes.record_unknown_end(server.presence_since, id, server.position);
            }
            Some(_) => self.changes.record_removal(),
            None => {}
        }
        self.remove(id);
    }

    /// Removes servers whose registration ended more than 120 s ago.
    pub fn tick(&mut self, now: Timestamp) {
        self.changes.prune(now, ENDED_RETENTION);
        let old: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, s)| {
                s.presence == Presence::Ended && now.since(s.presence_since) > ENDED_RETENTION
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            if let Some(server) = self.servers.get(&id) {
                self.changes.record_pruned(server.position);
            }
            self.remove(&id);
        }
        self.pauses.tick(now);
        let servers = &self.servers;
        self.leaving.tick(now, |start| {
            servers.get(&start.id).is_some_and(|s| ServerStart::from(&s.registration) == *start)
        });
    }
}

fn presence(state: RegistrationState) -> Presence {
    match state {
        RegistrationState::Ready => Presence::Ready,
        RegistrationState::Draining => Presence::Draining,
    }
}

fn mark_unreported(unreported: &mut Vec<ServerId>, id: &ServerId) {
    if !unreported.contains(id) {
        unreported.push(id.clone());
    }
}
