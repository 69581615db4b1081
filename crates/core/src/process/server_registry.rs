//! The registered backend servers with their load, health estimates and service outcomes.

use crate::{
    ids::ServiceName,
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        latency::Latency,
        leaving_servers::LeavingServers,
        recent_ranks::RecentRanks,
        registration::{Registration, RegistrationState, ServerId},
        relayable_changes::RelayableChanges,
        server_limit::{LimitChange, LimitReport, NodeCounts, ServerLimit},
        server_pause::ServerPauses,
        service_outcomes::{OutcomeCounts, ServiceOutcomes},
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

/// Failure probability at which a server is reported as a suspect.
const SUSPECT_FAILING: f64 = 0.3;

/// Share of refused sends of a service from which a refusal says nothing about a single server. When every server refuses
/// a part of its work, evidence against those that did would move all work to the few that happened not to.
const COMMON_REFUSAL_SHARE: f64 = 0.15;

/// Weight of a peer's path failure, which the path between that peer and the server may have caused. Two of them from
/// different peers count about as much as one local observation.
const PEER_PATH_WEIGHT: f64 = 0.5;

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
    pub fn remove_displaced(&mut self, id: &ServerId) {
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

    /// Marks a start of a server as leaving, because a response of it says so, and returns whether that is new. No
    /// record of the same start undoes it, as the store may be behind.
    pub fn mark_leaving(&mut self, now: Timestamp, start: &ServerStart) -> bool {
        self.leaving.mark(now, start)
    }

    /// Returns whether a response of the server's current start said that it leaves.
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        self.leaving_since(id).is_some()
    }

    /// Returns whether a start of a server is registered and has not said that it leaves.
    pub fn is_in_service(&self, start: &ServerStart) -> bool {
        let is_same = |s: &&TrackedServer| ServerStart::from(&s.registration) == *start;
        let server = self.servers.get(&start.id).filter(is_same);
        server.is_some_and(|s| s.presence == Presence::Ready) && !self.is_leaving(&start.id)
    }

    /// Returns whether a server left too long ago to get even a request for which it was already chosen.
    pub fn has_left(&self, now: Timestamp, id: &ServerId) -> bool {
        let since = self.leaving_since(id);
        since.is_some_and(|since| now.since(since) > self.options.outage_grace)
    }

    fn leaving_since(&self, id: &ServerId) -> Option<Timestamp> {
        self.leaving.since(&self.servers.get(id)?.registration)
    }

    /// Records that a start of a server turned a request away and asked for a pause, and returns its end. `draw`, from
    /// 0 to 1, spreads the ends over the nodes.
    pub fn record_pause(
        &mut self,
        now: Timestamp,
        start: &ServerStart,
        pause: Span,
        draw: f64,
    ) -> Timestamp {
        self.pauses.record(now, start, pause, draw)
    }

    /// Records the limit that a response of a start names, or that it names none, and returns what that changed.
    ///
    /// `draw`, from 0 to 1, spreads the first requests of the nodes.
    pub fn observe_limit(
        &mut self,
        now: Timestamp,
        start: &ServerStart,
        named: Option<f64>,
        draw: f64,
    ) -> Option<LimitChange> {
        let server = self.servers.get_mut(&start.id)?;
        if ServerStart::from(&server.registration) != *start {
            return None;
        }
        let change = server.limit.observe(now, now, named, self.nodes, draw);
        if server.limit.is_due(now, change) {
            mark_unreported(&mut self.unreported_limits, &start.id);
        }
        change
    }

    /// Applies what another node says about the limit of a server, and returns the server and what that changed.
    pub fn add_limit_report(
        &mut self,
        now: Timestamp,
        report: &LimitReport,
        draw: f64,
    ) -> Option<(ServerId, LimitChange)> {
        let id = self.by_tag.get(&report.tag)?;
        let server = self.servers.get_mut(id)?;
        if server.registration.started != report.started {
            return None;
        }
        let at = Timestamp::ZERO + (now.since(Timestamp::ZERO) - report.age);
        let change = server.limit.observe(now, at, report.limit, self.nodes, draw);
        server.limit.record_shared(now);
        change.map(|change| (id.clone(), change))
    }

    /// Returns and resets the limits that the other nodes should be told.
    pub fn take_limit_reports(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for id in std::mem::take(&mut self.unreported_limits) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.limit.record_shared(now);
            reports.extend(server.limit.report(now, id.tag(), server.registration.started));
        }
        reports
    }

    /// Returns all limits that a node which has just started should know.
    pub fn limit_reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let servers = self.servers.iter();
        servers
            .filter_map(|(id, s)| s.limit.report(now, id.tag(), s.registration.started))
            .collect()
    }

    /// Sets the nodes among which limits are divided.
    pub fn set_nodes(&mut self, now: Timestamp, nodes: NodeCounts) {
        self.nodes = nodes;
        self.servers.values_mut().for_each(|server| server.limit.set_nodes(now, nodes));
    }

    /// Returns how long it takes until this node may send a request to the first usable server of a service, or `None`
    /// if it may send one now or the service has no usable server.
    pub fn limit_wait(
        &self,
        now: Timestamp,
        service: &ServiceName,
        is_urgent: bool,
    ) -> Option<Span> {
        let usable = self.usable(now, service);
        let wait = usable.iter().map(|server| server.limit.wait(now, is_urgent)).min()?;
        (wait > Span::ZERO).then_some(wait)
    }

    /// Returns how long it takes until the first server of a service accepts work again, or `None` unless all of them
    /// pause.
    pub fn pause_left(&self, now: Timestamp, service: &ServiceName) -> Option<Span> {
        let mut first: Option<Timestamp> = None;
        for server in self.in_service(now, service) {
            let end = self.pauses.end(now, &server.registration)?;
            first = Some(first.map_or(end, |known| known.min(end)));
        }
        first.map(|end| end.since(now))
    }

    /// Returns the servers of a service that may get new work: those in service that do not pause. A service whose
    /// servers all pause has none.
    pub fn usable(&self, now: Timestamp, service: &ServiceName) -> Vec<&TrackedServer> {
        let mut servers = self.in_service(now, service);
        servers.retain(|s| self.pauses.end(now, &s.registration).is_none());
        servers
    }

    /// Returns the servers of a service that are in service, also those that pause.
    ///
    /// A server whose registration ended recently around an outage of the store is still used, because the
    /// registration may only have lapsed. If the service has no other server, the same applies to every server that
    /// stopped accepting work recently, or said recently in a response that it leaves.
    fn in_service(&self, now: Timestamp, service: &ServiceName) -> Vec<&TrackedServer> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let servers = || ids.iter().filter_map(|id| self.servers.get(id));
        let grace = self.options.outage_grace;
        let recent = |s: &TrackedServer| now.since(s.presence_since) <= grace;
        let lapsed = |s: &TrackedServer| {
            s.presence == Presence::Ended
                && recent(s)
                && s.registration.state == RegistrationState::Ready
                && self.last_store_outage.is_some_and(|outage| {
                    s.presence_since.since(outage) <= self.options.outage_grace
                })
        };
        let stays = |s: &TrackedServer| self.leaving.since(&s.registration).is_none();
        let preferred: Vec<&TrackedServer> = servers()
            .filter(|s| (s.presence == Presence::Ready || lapsed(s)) && stays(s))
            .collect();
        if !preferred.is_empty() {
            return preferred;
        }
        // A record of the store that comes after the response does not extend the time.
        let may_still_serve = |s: &TrackedServer| match self.leaving.since(&s.registration) {
            Some(since) => now.since(since) <= grace,
            None => recent(s),
        };
        servers().filter(|s| may_still_serve(s)).collect()
    }

    /// Counts a request sent to a server.
    pub fn record_send(&mut self, now: Timestamp, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight += 1;
            server.last_used = Some(now);
            server.counts.sent = server.counts.sent.saturating_add(1);
            server.limit.record_send(now);
            mark_unreported(&mut self.unreported, id);
        }
    }

    /// Counts the end of a request at a server.
    pub fn record_end(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight = server.in_flight.saturating_sub(1);
            mark_unreported(&mut self.unreported, id);
        }
    }

    /// Updates the health estimates of a server with the local observation of a request sent at `sent_at`.
    ///
    /// Failures arrive at once, while a success takes the time of the work. A success of a request sent before the
    /// newest failure would mask that failure, so it is ignored.
    pub fn observe(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        observation: Observation,
        sent_at: Timestamp,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if matches!(observation, Observation::Success | Observation::Error) {
            let refusals = self.refusals.entry(server.registration.service.clone()).or_default();
            refusals.record(now, true);
        }
        if observation == Observation::Success {
            let latency = self.latencies.entry(server.registration.service.clone()).or_default();
            latency.record(now.since(sent_at));
            if server.last_failure.is_some_and(|failed| sent_at <= failed) {
                return;
            }
        } else {
            server.record_failure(now);
        }
        server.is_observed = true;
        let options = &self.options.health;
        server.shared_health.observe(options, now, observation, 1.0);
        server.local_health.observe(options, now, observation, 1.0);
        server.counts.add(observation);
        mark_unreported(&mut self.unreported, id);
    }

    /// Records that a server refused a request sent at `sent_at`, and returns whether that is evidence of a failing
    /// server: it refuses although it has free slots, and the other servers of its service accept their work.
    pub fn observe_refusal(&mut self, now: Timestamp, id: &ServerId, sent_at: Timestamp) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let is_full = server.load(self.options.report_age, now) > server.registration.slots;
        let refusals = self.refusals.entry(server.registration.service.clone()).or_default();
        refusals.record(now, false);
        let is_common = refusals.unserved_share(now) >= COMMON_REFUSAL_SHARE;
        let is_evidence = !is_full && !is_common;
        if is_evidence {
            self.observe(now, id, Observation::Slow, sent_at);
        }
        is_evidence
    }

    /// Applies the report of the peer with start id `from` on one server.
    pub fn add_peer_report(&mut self, now: Timestamp, from: u64, report: &ServerReport) {
        let Some(id) = self.by_tag.get(&report.tag) else { return };
        let Some(server) = self.servers.get_mut(id) else { return };
        if report.counts.sent > 0 {
            server.last_used = Some(now);
            server.limit.record_peer_sends(now, report.counts.sent);
        }
        server.peer_in_flight.insert(from, (report.in_flight, now));
        let age = self.options.report_age;
        server.peer_in_flight.retain(|_, (count, at)| *count > 0 && now.since(*at) <= age);
        for (observation, count) in report.counts.observations() {
            if count > 0 && observation != Observation::Success {
                server.record_failure(now);
            }
            server.is_observed |= count > 0;
            let weight = if observation.may_be_path_fault() { PEER_PATH_WEIGHT } else { 1.0 };
            for _ in 0..count {
                server.shared_health.observe(&self.options.health, now, observation, weight);
            }
        }
    }

    /// Returns the ready servers with a failure probability of 0.3 or more, with that probability.
    pub fn suspects(&self, now: Timestamp) -> Vec<(ServerId, f64)> {
        let options = &self.options.health;
        let stays = |s: &TrackedServer| self.leaving.since(&s.registration).is_none();
        let servers =
            self.servers.iter().filter(|(_, s)| s.presence == Presence::Ready && stays(s));
        let estimates =
            servers.map(|(id, s)| (id.clone(), s.shared_health.failing_probability(options, now)));
        estimates.filter(|(_, failing)| *failing >= SUSPECT_FAILING).collect()
    }

    /// Restores health estimates that an earlier process saved at `at`. A server observed since keeps its estimate, and
    /// an unknown server gets the saved one when it registers.
    pub fn restore_suspects(&mut self, at: Timestamp, suspects: Vec<(ServerId, f64)>) {
        for (id, failing) in suspects {
            let estimate = HealthEstimate::restored(failing, at);
            match self.servers.get_mut(&id) {
                Some(server) if !server.is_observed => server.shared_health = estimate,
                Some(_) => {}
                None => {
                    self.restored.insert(id, estimate);
                }
            }
        }
    }

    /// Returns and resets the reports on all servers used since the last call.
    pub fn take_reports(&mut self) -> Vec<ServerReport> {
        let mut reports = Vec::with_capacity(self.unreported.len());
        for id in std::mem::take(&mut self.unreported) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let counts = std::mem::take(&mut server.counts);
            reports.push(ServerReport { tag: id.tag(), counts, in_flight: server.in_flight });
        }
        reports
    }

    /// Records the rank and target of a request of a service.
    pub fn record_rank(&mut self, now: Timestamp, service: &ServiceName, rank: u8, target: Span) {
        self.recent_ranks.entry(service.clone()).or_default().record(now, rank, target);
    }

    /// Returns the maximum expected response time at a server that may get work of this rank, see
    /// [`RecentRanks::max_response_time`].
    pub fn max_response_time(
        &self,
        now: Timestamp,
        service: &ServiceName,
        rank: u8,
    ) -> Option<Span> {
        self.recent_ranks.get(service)?.max_response_time(now, rank)
    }

    /// Counts a finished request of a service on this node.
    pub fn record_outcome(&mut self, now: Timestamp, service: &ServiceName, is_served: bool) {
        self.outcomes.entry(service.clone()).or_default().record(now, is_served);
    }

    /// Adds another node's outcome counts for the service with this tag.
    pub fn add_peer_outcomes(&mut self, now: Timestamp, tag: u32, counts: OutcomeCounts) {
        // Counts for services without servers are ignored, so that a faulty sender cannot exhaust the memory.
        let Some(service) = self.by_service.keys().find(|service| service.tag() == tag) else {
            return;
        };
        self.outcomes.entry(service.clone()).or_default().add(now, counts);
    }

    /// Returns the share of a service's recent requests that were not served, over all reporting nodes.
    pub fn unserved_share(&self, now: Timestamp, service: &ServiceName) -> f64 {
        self.outcomes.get(service).map_or(0.0, |outcomes| outcomes.unserved_share(now))
    }

    /// Returns and resets the outcome counts of this node since the last call, by service tag.
    pub fn take_outcome_counts(&mut self) -> Vec<(u32, OutcomeCounts)> {
        let outcome_counts = self.outcomes.iter_mut().map(|(s, o)| (s.tag(), o.take_unreported()));
        outcome_counts.filter(|(_, counts)| *counts != OutcomeCounts::default()).collect()
    }

    /// Returns the `share` quantile of the recent successful response times of a service.
    pub fn latency_quantile(&self, service: &ServiceName, share: f64) -> Option<Span> {
        self.latencies.get(service)?.quantile(share)
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
