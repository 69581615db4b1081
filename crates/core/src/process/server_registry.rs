//! The backend servers that registered themselves, by service.

use crate::{
    ids::ServiceName,
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        latency::Latency,
        recent_ranks::RecentRanks,
        registration::{Registration, RegistrationState, ServerId},
        service_outcomes::{OutcomeCounts, ServiceOutcomes},
        tracked_server::{Counts, Presence, ServerReport, TrackedServer},
    },
    time::{Span, Timestamp},
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// `Change` is what a record changed in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server that was not known, or that started anew, takes work.
    Joined,
    /// A known server takes work again.
    Returned,
    /// A server takes no new work because it says so.
    Draining,
    /// A server's registration ended.
    Ended,
    /// Something else of a known server changed.
    Updated,
    /// The record is older than what is known, or says nothing new.
    Nothing,
}

/// `RegistryOptions` holds the limits of the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryOptions {
    /// How the phases of servers are estimated.
    pub health: HealthOptions,
    /// How long a server whose registration ended around an outage of the store is still used. Servers that live
    /// are registered again within about two seconds of the store's return.
    pub lapse: Span,
    /// How long another node's count of its requests in flight is believed.
    pub report_age: Span,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions {
            health: HealthOptions::default(),
            lapse: Span::from_millis(1_600),
            report_age: Span::from_millis(1_200),
        }
    }
}

/// How long the position of an ended registration is kept, so that a delayed older record does not revive it.
const FORGET: Span = Span::from_secs(120);

/// The probability from which on a server counts as probably failing.
const SUSPECT: f64 = 0.3;

/// The weight of an observation that another node saw and that its own path may have caused. Two such observations from
/// different nodes together count about as much as one seen here.
const FOREIGN_PATH_SHARE: f64 = 0.5;

/// A record of a server: its id, its position, and its registration unless the registration ended there.
pub type ServerRecord = (ServerId, u64, Option<Registration>);

/// `ServerRegistry` holds all registered servers of all services.
#[derive(Clone, Debug)]
pub struct ServerRegistry {
    options: RegistryOptions,
    servers: HashMap<ServerId, TrackedServer>,
    by_service: HashMap<ServiceName, Vec<ServerId>>,
    by_tag: HashMap<u32, ServerId>,
    latencies: HashMap<ServiceName, Latency>,
    outcomes: HashMap<ServiceName, ServiceOutcomes>,
    recent_ranks: HashMap<ServiceName, RecentRanks>,
    touched: Vec<ServerId>,
    restored: HashMap<ServerId, HealthEstimate>,
    store_away: Option<Timestamp>,
    forgotten: u64,
}

impl ServerRegistry {
    /// Returns a registry without servers.
    pub fn new(options: RegistryOptions) -> Self {
        ServerRegistry {
            options,
            servers: HashMap::new(),
            by_service: HashMap::new(),
            by_tag: HashMap::new(),
            latencies: HashMap::new(),
            outcomes: HashMap::new(),
            recent_ranks: HashMap::new(),
            touched: Vec::new(),
            restored: HashMap::new(),
            store_away: None,
            forgotten: 0,
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &RegistryOptions {
        &self.options
    }

    /// Returns a server that is known.
    pub fn server(&self, id: &ServerId) -> Option<&TrackedServer> {
        self.servers.get(id)
    }

    /// Returns the registrations of all servers that are registered, with their positions.
    pub fn registrations(&self) -> Vec<(Registration, u64)> {
        let registered = self.servers.values().filter(|m| m.presence != Presence::Ended);
        registered.map(|m| (m.registration.clone(), m.position)).collect()
    }

    /// Returns what changed from `position` on, or none if ends of registrations since then have been forgotten.
    pub fn since(&self, position: u64) -> Option<Vec<ServerRecord>> {
        if position < self.forgotten {
            return None;
        }
        let changed = self.servers.iter().filter(|(_, m)| m.position >= position);
        let record = |(id, m): (&ServerId, &TrackedServer)| {
            let registration = (m.presence != Presence::Ended).then(|| m.registration.clone());
            (id.clone(), m.position, registration)
        };
        Some(changed.map(record).collect())
    }

    /// Notes that the store did not answer at `now`, so registrations that end about now may only have lapsed.
    pub fn store_away(&mut self, now: Timestamp) {
        self.store_away = Some(now);
    }

    /// Takes the record at `position` for the server `id`; none ends its registration.
    ///
    /// A record of an earlier start, or an earlier report of the same start, changes nothing: servers that drain
    /// would otherwise come back by a delayed report.
    pub fn record(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        position: u64,
        registration: Option<Registration>,
    ) -> Change {
        let Some(registration) = registration else { return self.end(now, id, position) };
        let Some(server) = self.servers.get_mut(id) else {
            self.insert(now, position, registration);
            return Change::Joined;
        };
        let old = &server.registration;
        if position <= server.position || registration.started < old.started {
            return Change::Nothing;
        }
        let reborn = registration.started > old.started;
        if !reborn && registration.report < old.report {
            server.position = position;
            return Change::Nothing;
        }
        if reborn || registration.addr != old.addr || registration.service != old.service {
            self.remove(id);
            self.insert(now, position, registration);
            return Change::Joined;
        }
        let before = server.presence;
        let same = before != Presence::Ended && registration.state == old.state;
        server.position = position;
        server.warm = now + registration.warmup;
        server.presence = presence(registration.state);
        if server.presence != before {
            server.since = now;
        }
        server.registration = registration;
        match (same, server.presence) {
            (true, _) => Change::Updated,
            (false, Presence::Draining) => Change::Draining,
            (false, _) => Change::Returned,
        }
    }

    /// Takes the newest records of all servers up to `end`: known servers that are missing have ended.
    pub fn snapshot(
        &mut self,
        now: Timestamp,
        end: u64,
        records: Vec<(Registration, u64)>,
    ) -> Vec<(ServerId, Change)> {
        let listed: HashSet<ServerId> =
            records.iter().map(|(registration, _)| registration.id.clone()).collect();
        let missing: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(id, m)| {
                m.presence != Presence::Ended && m.position < end && !listed.contains(*id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.end(now, &id, end.saturating_sub(1));
            changes.push((id, change));
        }
        for (registration, position) in records {
            let id = registration.id.clone();
            let change = self.record(now, &id, position, Some(registration));
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::Nothing);
        changes
    }

    fn end(&mut self, now: Timestamp, id: &ServerId, position: u64) -> Change {
        let Some(server) = self.servers.get_mut(id) else { return Change::Nothing };
        if position < server.position {
            return Change::Nothing;
        }
        server.position = position;
        if server.presence == Presence::Ended {
            return Change::Nothing;
        }
        server.presence = Presence::Ended;
        server.since = now;
        Change::Ended
    }

    fn insert(&mut self, now: Timestamp, position: u64, registration: Registration) {
        let id = registration.id.clone();
        self.by_tag.insert(id.tag(), id.clone());
        self.by_service.entry(registration.service.clone()).or_default().push(id.clone());
        let server = TrackedServer {
            position,
            presence: presence(registration.state),
            since: now,
            warm: now + registration.warmup,
            shared: self.restored.remove(&id).unwrap_or_else(|| HealthEstimate::new(now)),
            path: HealthEstimate::new(now),
            failed: None,
            is_seen: false,
            used: None,
            in_flight: 0,
            others: BTreeMap::new(),
            counts: Counts::default(),
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

    /// Forgets a server whose address another one has now. A newer record of it brings it back.
    pub fn remove_displaced(&mut self, id: &ServerId) {
        self.remove(id);
    }

    /// Forgets servers whose registration ended long ago.
    pub fn tick(&mut self, now: Timestamp) {
        let old: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, m)| m.presence == Presence::Ended && now.since(m.since) > FORGET)
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            let position = self.servers.get(&id).map_or(0, |m| m.position + 1);
            self.forgotten = self.forgotten.max(position);
            self.remove(&id);
        }
    }

    /// Returns the servers of a service that may get new work.
    ///
    /// Servers whose registration ended around an outage of the store stay in use for a short time, as do those of a
    /// service that has no other: their registration may only have lapsed.
    pub fn usable(&self, now: Timestamp, service: &ServiceName) -> Vec<&TrackedServer> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let servers = || ids.iter().filter_map(|id| self.servers.get(id));
        let recent = |m: &TrackedServer| now.since(m.since) <= self.options.lapse;
        let lapsed = |m: &TrackedServer| {
            m.presence == Presence::Ended
                && recent(m)
                && m.registration.state == RegistrationState::Ready
                && self.store_away.is_some_and(|away| m.since.since(away) <= self.options.lapse)
        };
        let first: Vec<&TrackedServer> =
            servers().filter(|m| m.presence == Presence::Ready || lapsed(m)).collect();
        if !first.is_empty() {
            return first;
        }
        servers().filter(|m| recent(m)).collect()
    }

    /// Counts a request that is sent to a server.
    pub fn sent(&mut self, now: Timestamp, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight += 1;
            server.used = Some(now);
            server.counts.sent = server.counts.sent.saturating_add(1);
            touch(&mut self.touched, id);
        }
    }

    /// Counts the end of a request at a server.
    pub fn ended(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight = server.in_flight.saturating_sub(1);
            touch(&mut self.touched, id);
        }
    }

    /// Takes what this node saw of a server in a request that was sent at `begun`.
    ///
    /// A failing server shows it at once, while a success takes the time of the work. Successes that were sent before
    /// the newest failure would hide it, so they say nothing.
    pub fn observe(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        observation: Observation,
        begun: Timestamp,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if observation == Observation::Success {
            let latency = self.latencies.entry(server.registration.service.clone()).or_default();
            latency.record(now.since(begun));
            if server.failed.is_some_and(|failed| begun <= failed) {
                return;
            }
        } else {
            server.fail(now);
        }
        server.is_seen = true;
        let options = &self.options.health;
        server.shared.observe(options, now, observation, 1.0);
        server.path.observe(options, now, observation, 1.0);
        server.counts.add(observation);
        touch(&mut self.touched, id);
    }

    /// Takes what the node `from` saw of a server.
    pub fn add_peer_report(&mut self, now: Timestamp, from: u64, report: &ServerReport) {
        let Some(id) = self.by_tag.get(&report.tag) else { return };
        let Some(server) = self.servers.get_mut(id) else { return };
        if report.counts.sent > 0 {
            server.used = Some(now);
        }
        server.others.insert(from, (report.in_flight, now));
        let age = self.options.report_age;
        server.others.retain(|_, (count, at)| *count > 0 && now.since(*at) <= age);
        for (observation, count) in report.counts.observations() {
            if count > 0 && observation != Observation::Success {
                server.fail(now);
            }
            server.is_seen |= count > 0;
            let share = if observation.is_path() { FOREIGN_PATH_SHARE } else { 1.0 };
            for _ in 0..count {
                server.shared.observe(&self.options.health, now, observation, share);
            }
        }
    }

    /// Returns the servers that are probably failing, with the probability.
    pub fn suspects(&self, now: Timestamp) -> Vec<(ServerId, f64)> {
        let options = &self.options.health;
        let servers = self.servers.iter().filter(|(_, m)| m.presence == Presence::Ready);
        let estimates = servers.map(|(id, m)| (id.clone(), m.shared.failing(options, now)));
        estimates.filter(|(_, failing)| *failing >= SUSPECT).collect()
    }

    /// Takes what an earlier process believed at `at`. A server that has shown something since is left as it is, and
    /// one that is not known yet gets the health estimate when it is.
    pub fn restore_suspects(&mut self, at: Timestamp, suspects: Vec<(ServerId, f64)>) {
        for (id, failing) in suspects {
            let estimate = HealthEstimate::restored(failing, at);
            match self.servers.get_mut(&id) {
                Some(server) if !server.is_seen => server.shared = estimate,
                Some(_) => {}
                None => {
                    self.restored.insert(id, estimate);
                }
            }
        }
    }

    /// Takes the reports on all servers that were used since the last call.
    pub fn take_reports(&mut self) -> Vec<ServerReport> {
        let mut reports = Vec::with_capacity(self.touched.len());
        for id in std::mem::take(&mut self.touched) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let counts = std::mem::take(&mut server.counts);
            reports.push(ServerReport { tag: id.tag(), counts, in_flight: server.in_flight });
        }
        reports
    }

    /// Notes the rank of a request of a service.
    pub fn record_rank(&mut self, now: Timestamp, service: &ServiceName, rank: u8, target: Span) {
        self.recent_ranks.entry(service.clone()).or_default().record(now, rank, target);
    }

    /// Returns the longest answer time at a server to which work of this rank may be added, see [`RecentRanks::bound`].
    pub fn bound(&self, now: Timestamp, service: &ServiceName, rank: u8) -> Option<Span> {
        self.recent_ranks.get(service)?.bound(now, rank)
    }

    /// Counts the end of a request of a service.
    pub fn record_outcome(&mut self, now: Timestamp, service: &ServiceName, is_served: bool) {
        self.outcomes.entry(service.clone()).or_default().record(now, is_served);
    }

    /// Takes how another node's requests of a service ended.
    pub fn add_peer_outcomes(&mut self, now: Timestamp, tag: u32, counts: OutcomeCounts) {
        // A service without servers here is not counted, so that a faulty sender cannot fill the memory.
        let Some(service) = self.by_service.keys().find(|service| service.tag() == tag) else {
            return;
        };
        self.outcomes.entry(service.clone()).or_default().add(now, counts);
    }

    /// Returns the share of a service's newest requests that was not served, over all nodes that are heard.
    pub fn unserved(&self, now: Timestamp, service: &ServiceName) -> f64 {
        self.outcomes.get(service).map_or(0.0, |outcomes| outcomes.unserved(now))
    }

    /// Takes how this node's requests ended since the last call, by service.
    pub fn take_outcome_counts(&mut self) -> Vec<(u32, OutcomeCounts)> {
        let outcome_counts = self.outcomes.iter_mut().map(|(s, o)| (s.tag(), o.take_unreported()));
        outcome_counts.filter(|(_, counts)| *counts != OutcomeCounts::default()).collect()
    }

    /// Returns the time within which `share` of the good answers of a service came.
    pub fn usual(&self, service: &ServiceName, share: f64) -> Option<Span> {
        self.latencies.get(service)?.quantile(share)
    }
}

fn presence(state: RegistrationState) -> Presence {
    match state {
        RegistrationState::Ready => Presence::Ready,
        RegistrationState::Draining => Presence::Draining,
    }
}

fn touch(touched: &mut Vec<ServerId>, id: &ServerId) {
    if !touched.contains(id) {
        touched.push(id.clone());
    }
}
