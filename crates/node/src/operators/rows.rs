//! The rows with which this node answers a query from its own state.

use super::node_name;
use crate::{
    control::{
        view::{ControlView, MemberView, ServerView, ServiceView},
        LEADER_REGION,
    },
    shared::{ActiveConfig, Shared},
};
use redwingtrestle_core::{
    ids::ServiceName,
    process::{
        drain::DrainSource,
        ejections::{ServerState, Usage},
        heartbeat::NodeState,
        readmission::Phase,
        service_leader::Explanation,
    },
    time::Timestamp,
};
use redwingtrestle_wire::{
    burn::BurnReport,
    config::ConfigDoc,
    query::{
        ConfigRow, Coverage, DrainRow, EjectedRow, LeaderRow, MemberRow, NodeBurnRow, NodeRow,
        Query, QueryResponse, RankRow, Rows, ServiceRow, VersionRow, WhyRow,
    },
};
use std::{net::SocketAddr, sync::Arc};

/// The state from which one response is built. It is loaded once, so that the rows are consistent.
struct LocalState<'a> {
    shared: &'a Shared,
    now: Timestamp,
    node: String,
    view: Arc<ControlView>,
    active: Option<Arc<ActiveConfig>>,
}

/// Answers a query from this node's state alone.
pub(super) fn local_response(shared: &Shared, query: &Query) -> QueryResponse {
    let local = LocalState {
        shared,
        now: shared.clock.now(),
        node: node_name(shared.id.addr),
        view: shared.view.load_full(),
        active: shared.active.load_full(),
    };
    match query {
        Query::Ejected { service } => {
            QueryResponse::Ejected(local.rows(local.ejected(service.as_deref())))
        }
        Query::Why { server } => QueryResponse::Why(local.rows(local.why(*server))),
        Query::Services => QueryResponse::Services(local.rows(local.services())),
        Query::Ranks { service } => {
            QueryResponse::Ranks(local.rows(local.ranks(service.as_deref())))
        }
        Query::Nodes => QueryResponse::Nodes(local.rows(vec![local.node()])),
        Query::Versions => QueryResponse::Versions(local.rows(vec![local.version()])),
        Query::Drains => QueryResponse::Drains(local.rows(local.drains())),
        Query::Members => QueryResponse::Members(local.rows(local.members())),
        Query::Burn => QueryResponse::Burn(local.rows(vec![local.burn()])),
        Query::Stewards => QueryResponse::Stewards(local.rows(local.leaders())),
        Query::Config => QueryResponse::Config(local.rows(local.config())),
    }
}

/// Returns whether a server is ejected or in probation because of its health.
fn is_ejected(server_view: &ServerView) -> bool {
    let up = matches!(server_view.state, ServerState::Up | ServerState::Cold);
    up && matches!(server_view.usage, Usage::Closed | Usage::Probation)
}

impl LocalState<'_> {
    fn rows<T>(&self, rows: Vec<T>) -> Rows<T> {
        let coverage = Coverage { answered: vec![self.node.clone()], missing: Vec::new() };
        Rows { coverage, rows }
    }

    fn age_ms(&self, since: Timestamp) -> u64 {
        self.now.since(since).as_millis()
    }

    /// Returns the requested services that this node carries or leads, each with whether it is the leader.
    fn matching_services<'a>(
        &'a self,
        name: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a ServiceName, &'a ServiceView, bool)> {
        let own = self.shared.id;
        self.view
            .services
            .iter()
            .filter(move |(n, _)| name.is_none_or(|name| n.as_str() == name))
            .map(move |(n, s)| (n, s, s.leader.is_some_and(|a| a.node == own)))
            .filter(|(_, s, is_leader)| s.is_carrier || *is_leader)
    }

    fn ejected(&self, service: Option<&str>) -> Vec<EjectedRow> {
        let mut rows = Vec::new();
        for (name, view, is_leader) in self.matching_services(service) {
            for server_view in view.servers.iter().filter(|r| is_ejected(r)) {
                let why = explanation(view, server_view);
                let hold = why.and_then(|e| match e.phase {
                    Some(Phase::HoldOff(until)) => Some(until.since(self.now).as_millis()),
                    _ => None,
                });
                let reason = evidence_text(why);

                let in_probation =
                    why.is_some_and(|e| matches!(e.phase, Some(Phase::Probation(_))));
                let in_probation = in_probation || server_view.usage == Usage::Probation;
                rows.push(EjectedRow {
                    node: self.node.clone(),
                    steward: is_leader,
                    service: name.to_string(),
                    server: server_view.server.0,
                    state: if in_probation { "probation" } else { "ejected" }.into(),
                    age_ms: self.age_ms(why.and_then(|e| e.ejected).unwrap_or(server_view.since)),
                    hold_ms: hold.unwrap_or(0),
                    term: view.leader.map_or(0, |a| a.term),
                    reason,
                });
            }
        }
        rows
    }

    fn why(&self, server: SocketAddr) -> Vec<WhyRow> {
        let mut rows = Vec::new();
        for (name, view, is_leader) in self.matching_services(None) {
            let Some(server_view) = view.servers.iter().find(|r| r.server.0 == server) else {
                continue;
            };
            let why = explanation(view, server_view);
            let scores = why.and_then(|e| e.evidence.or(e.scores));
            let counts = scores.map(|s| s.counts).unwrap_or_default();
            let number = |f: fn(&Explanation) -> u32| why.map_or(0, f);
            rows.push(WhyRow {
                node: self.node.clone(),
                steward: is_leader,
                service: name.to_string(),
                server,
                state: state_name(server_view, why),
                bad: counts.bad.into(),
                outcomes: u64::from(counts.good) + u64::from(counts.bad),
                score: scores.map_or(0.0, |s| s.bad),
                threshold: scores.map_or(0.0, |s| s.threshold),
                usual_rate: scores.map_or(0.0, |s| s.bad_base),
                slow: counts.slow.into(),
                slow_score: scores.map_or(0.0, |s| s.slow),
                floor: view.floor_slots,
                up: view.up_slots,
                outstanding: number(|e| e.outstanding),
                budget: number(|e| e.budget),
                reason: why.map_or_else(
                    || "this node is not the steward".into(),
                    |e| format!("{}, steward {}", e.reason, e.state),
                ),
            });
        }
        rows
    }

    fn services(&self) -> Vec<ServiceRow> {
        let row = |(name, view, is_leader): (&ServiceName, &ServiceView, bool)| {
            let count =
                |f: fn(&ServerView) -> bool| view.servers.iter().filter(|r| f(r)).count() as u32;
            ServiceRow {
                node: self.node.clone(),
                steward: is_leader,
                service: name.to_string(),
                servers: view.servers.len() as u32,
                slots: view.servers.iter().map(|r| r.slots).sum(),
                healthy: view.healthy_slots,
                floor: view.floor_slots,
                ejected: count(is_ejected),
                draining: count(|r| r.state == ServerState::Draining),
                cold: count(|r| r.state == ServerState::Cold),
            }
        };
        self.matching_services(None).map(row).collect()
    }

    fn ranks(&self, service: Option<&str>) -> Vec<RankRow> {
        let Some(active) = &self.active else { return Vec::new() };
        let gates = self.shared.gates.load();
        let mut rows = Vec::new();
        let declared = active.spec.services.iter();
        for (name, spec) in declared.filter(|(n, _)| service.is_none_or(|s| n.as_str() == s)) {
            let gate = gates.get(name);
            let queued = gate.map(|g| g.queued_by_rank()).unwrap_or_default();
            let in_flight = gate.map(|g| g.in_flight_by_rank()).unwrap_or_default();
            let at = |counts: &[u32], i: usize| counts.get(i).copied().unwrap_or(0).into();
            rows.extend(spec.ranks.iter().enumerate().map(|(i, rank)| RankRow {
                node: self.node.clone(),
                service: name.to_string(),
                rank: rank.name.to_string(),
                share: rank.share,
                target_ms: rank.target.as_millis(),
                objective: rank.objective,
                queued: at(&queued, i),
                in_flight: at(&in_flight, i),
            }));
        }
        rows
    }

    fn node(&self) -> NodeRow {
        NodeRow {
            node: self.node.clone(),
            start: self.shared.id.start.to_string(),
            data_centre: self.shared.settings.data_centre.to_string(),
            state: node_state_name(self.shared.node_state()).into(),
            version: self.active.as_ref().map_or(0, |a| a.version.0),
            in_flight: self.shared.in_flight() as u64,
            keys: self.shared.local_home.keys() as u64,
            uptime_ms: self.shared.clock.uptime().as_millis() as u64,
        }
    }

    fn version(&self) -> VersionRow {
        let version = self.active.as_ref().map_or(0, |a| a.version.0);
        let best = self.shared.peers.load().best_peer.map_or(0, |b| b.version.0);
        let log_view = self.shared.log_view.load();
        let log = match (log_view.log_up, log_view.in_gap) {
            (false, _) => "down",
            (true, true) => "gap",
            (true, false) => "up",
        };
        VersionRow {
            node: self.node.clone(),
            version,
            age_ms: self.active.as_ref().map_or(0, |a| self.age_ms(a.since)),
            heard: best.max(version),
            log: log.into(),
        }
    }

    fn drains(&self) -> Vec<DrainRow> {
        let Some(active) = &self.active else { return Vec::new() };
        let (drains, gates) = (&active.spec.drains, self.shared.gates.load());
        let mut rows = Vec::new();
        for (name, service) in &active.spec.services {
            let by_server = gates.get(name).map(|g| g.in_flight_by_server()).unwrap_or_default();
            for server in &service.servers {
                let noticed = |source| self.view.leaving.contains(&(server.addr, source));
                let causes = [
                    ("server", drains.servers.contains(&server.addr)),
                    ("vm", drains.vms.contains(&server.addr.vm())),
                    ("data_centre", drains.data_centres.contains(&server.data_centre)),
                    ("vm_list", noticed(DrainSource::VmList)),
                    ("header", noticed(DrainSource::Header)),
                ];
                let in_flight =
                    by_server.iter().find(|(s, _)| *s == server.addr).map_or(0, |f| f.1);
                rows.extend(causes.iter().filter(|(_, applies)| *applies).map(|(cause, _)| {
                    DrainRow {
                        node: self.node.clone(),
                        cause: (*cause).into(),
                        server: server.addr.0,
                        service: name.to_string(),
                        in_flight: in_flight.into(),
                    }
                }));
            }
        }
        rows
    }

    fn members(&self) -> Vec<MemberRow> {
        let row = |m: &MemberView| {
            let state = match m.member.state {
                NodeState::Leaving => "leaving",
                _ if m.usable => "usable",
                _ => "suspect",
            };
            MemberRow {
                node: self.node.clone(),
                member: node_name(m.member.node.addr),
                data_centre: m
                    .member
                    .addresses
                    .as_ref()
                    .map_or_else(String::new, |a| a.data_centre.to_string()),
                state: state.into(),
                heard_ms: m.last_heartbeat_at.map(|at| self.age_ms(at)),
                hears_us: m.receives_heartbeats,
            }
        };
        let heard = self.view.members.iter().map(row);
        let log_view = self.shared.log_view.load();
        let recorded = log_view.state.iter().flat_map(|s| &s.members);
        let is_known = |addr| {
            addr == self.shared.id.addr
                || self.view.members.iter().any(|m| m.member.node.addr == addr)
        };
        let lost = recorded.filter(|(n, _)| !is_known(n.addr)).map(|(n, data_centre)| MemberRow {
            node: self.node.clone(),
            member: node_name(n.addr),
            data_centre: data_centre.to_string(),
            state: "lost".into(),
            heard_ms: None,
            hears_us: false,
        });
        heard.chain(lost).collect()
    }

    fn burn(&self) -> NodeBurnRow {
        let report = BurnReport::from(&self.shared.burn_report());
        NodeBurnRow { node: self.node.clone(), report }
    }

    fn leaders(&self) -> Vec<LeaderRow> {
        let row = |(name, view, is_leader): (&ServiceName, &ServiceView, bool)| {
            let assignment = view.leader?;
            Some(LeaderRow {
                node: self.node.clone(),
                service: name.to_string(),
                region: LEADER_REGION.to_string(),
                steward: node_name(assignment.node.addr),
                term: assignment.term,
                heard_ms: if is_leader {
                    Some(0)
                } else {
                    view.leader_message_at.map(|at| self.age_ms(at))
                },
            })
        };
        self.matching_services(None).filter_map(row).collect()
    }

    fn config(&self) -> Vec<ConfigRow> {
        let row = |active: &Arc<ActiveConfig>| ConfigRow {
            node: self.node.clone(),
            version: active.version.0,
            doc: ConfigDoc::from(&*active.spec),
        };
        self.active.iter().map(row).collect()
    }
}

/// Formats the counts and scores at an ejection, short enough for a table cell.
fn evidence_text(why: Option<&Explanation>) -> String {
    let Some(why) = why else { return "the evidence is known to the steward".into() };
    let Some(s) = why.evidence else { return "taken over from another steward".into() };
    let outcomes = u64::from(s.counts.good) + u64::from(s.counts.bad);
    format!(
        "{} bad and {} slow of {outcomes}, scores {:.1} and {:.1}, threshold {:.1}; up {}, floor {}",
        s.counts.bad, s.counts.slow, s.bad, s.slow, s.threshold, why.up, why.floor
    )
}

fn explanation<'a>(view: &'a ServiceView, server_view: &ServerView) -> Option<&'a Explanation> {
    view.explanations.iter().find(|e| e.server == server_view.server)
}

fn state_name(server_view: &ServerView, why: Option<&Explanation>) -> String {
    let suspect = |e: &Explanation| {
        e.scores.is_some_and(|s| s.threshold > 0.0 && s.bad.max(s.slow) >= s.threshold)
    };
    match (server_view.state, server_view.usage) {
        (ServerState::Up, Usage::Probation) => "probation",
        (ServerState::Up, Usage::Closed) => match why.and_then(|e| e.phase) {
            Some(Phase::Probation(_)) => "probation",
            _ => "ejected",
        },
        (ServerState::Up, _)
            if why.is_some_and(|e| matches!(e.phase, Some(Phase::SlowStart(_)))) =>
        {
            "slow_start"
        }
        (ServerState::Up, _) if why.is_some_and(suspect) => "suspect",
        (ServerState::Up, _) => "healthy",
        (ServerState::Cold, _) => "cold",
        (ServerState::Draining, _) => "draining",
        (ServerState::Lost, _) => "lost",
    }
    .into()
}

fn node_state_name(state: NodeState) -> &'static str {
    match state {
        NodeState::Starting => "starting",
        NodeState::Serving => "serving",
        NodeState::Leaving => "leaving",
    }
}
