//! What this node and others observe of servers: sends, their ends, and the outcomes of a service's requests.

use super::{mark_unreported, ServerRegistry};
use crate::{
    ids::ServiceName,
    process::{
        health_estimate::{HealthEstimate, Observation},
        registration::ServerId,
        service_outcomes::OutcomeCounts,
        tracked_server::{Presence, ServerReport, TrackedServer},
    },
    time::{Span, Timestamp},
};

/// Failure probability at which a server is reported as a suspect.
const SUSPECT_FAILING: f64 = 0.3;

/// Share of refused sends of a service from which a refusal says nothing about a single server. When every server refuses
/// a part of its work, evidence against those that did would move all work to the few that happened not to.
const COMMON_REFUSAL_SHARE: f64 = 0.15;

/// Weight of a peer's path failure, which the path between that peer and the server may have caused. Two of them from
/// different peers count about as much as one local observation.
const PEER_PATH_WEIGHT: f64 = 0.5;

impl ServerRegistry {
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

    /// Returns and resets the reports on all servers used since the last call, and on those removed since then.
    pub fn take_reports(&mut self) -> Vec<ServerReport> {
        let mut reports = std::mem::take(&mut self.last_reports);
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
