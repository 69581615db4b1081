//! The control of one service at this node: reports evidence and demand, applies ejections and slot leases,
//! and decides about both if this node is the service's leader.
//!
//! * `reports`: evidence and demand for the leader; `gate_slots`: the servers and slots that the gate may use.
//! * `leader_role`: what the leader does in addition; `log_lines`: the log lines about servers.

mod gate_slots;
mod leader_role;
mod log_lines;
mod reports;

use self::{leader_role::LeaderRole, log_lines::log_action};
use super::view::{ServerView, ServiceView};
use crate::{gate::Gate, settings::Policy};
use redwingtrestle_core::{
    connection::limits::{self, connection_share},
    ids::{NodeId, ServerAddr, ServiceName, Version},
    process::{
        ejections::{self, Announcement, Ejections, ServerState, Term, Usage, View},
        evidence::{EvidenceCounts, EvidenceReport},
        membership::Membership,
        service_leader::{self, Action, ServiceLeader},
        slot_leases::{
            DemandReport, LeaseAllocator, LeaseHolder, LeaseOptions, SlotLease, MIN_DEMAND_INTERVAL,
        },
    },
    time::{Span, Timestamp},
    version::{
        config_state::LeaderAssignment,
        spec::{ServerSpec, ServiceSpec},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// The target of the log lines about services, by which operators filter them.
const LOG_TARGET: &str = module_path!();

/// How often evidence and demand are collected.
const REPORT_INTERVAL: Span = Span::from_millis(100);

/// The state of the control thread that its services need.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) local: NodeId,
    /// The members recorded in the log that are not gone.
    pub(super) recorded: &'a BTreeSet<NodeId>,
    /// The recorded members that are not lost, this node included.
    pub(super) alive: &'a [NodeId],
    pub(super) membership: &'a Membership,
}

/// A message that the control thread is to send for a service.
#[derive(Debug)]
pub(super) enum Output {
    /// Evidence and demand, for the leader.
    Evidence(NodeId, Box<(EvidenceReport, DemandReport)>),
    /// The ejections that a node has to apply.
    Announcement(NodeId, Announcement),
    /// A lease of slots, for the node that it names.
    SlotLease(SlotLease),
}

/// The control state of one service at this node.
#[derive(Debug)]
pub(super) struct ServiceControl {
    name: ServiceName,
    policy: Policy,
    version: Version,
    spec: Arc<ServiceSpec>,
    servers: Vec<ServerAddr>,
    gate: Arc<Gate>,
    /// Closed gates of this service that still have requests in flight.
    retired_gates: Vec<Arc<Gate>>,
    view: View,
    ejections: Ejections,
    holder: LeaseHolder,
    role: Option<LeaderRole>,
    assignment: Option<LeaderAssignment>,
    leader_message_at: Option<Timestamp>,
    usages: HashMap<ServerAddr, (Usage, Timestamp)>,
    connection_shares: HashMap<ServerAddr, u32>,
    /// Sorted.
    carriers: Vec<NodeId>,
    is_carrier: bool,
    pending_counts: BTreeMap<ServerAddr, EvidenceCounts>,
    next_report: Timestamp,
    /// Whether a lease has changed this node's slots since the last report.
    lease_changed: bool,
}

impl ServiceControl {
    pub(super) fn new(
        now: Timestamp,
        local: NodeId,
        name: ServiceName,
        policy: Policy,
        version: Version,
        spec: Arc<ServiceSpec>,
        gate: Arc<Gate>,
    ) -> Self {
        let core_policy = match policy {
            Policy::Full => ejections::Policy::Full,
            Policy::Local => ejections::Policy::Local,
            Policy::RoundRobin => ejections::Policy::RoundRobin,
        };
        let options = ejections::Options { policy: core_policy, ..Default::default() };
        let view = View::new(&spec, |_| ServerState::Up);
        ServiceControl {
            servers: spec.servers.iter().map(|s| s.addr).collect(),
            ejections: Ejections::new(now, name.clone(), view.clone(), options),
            holder: LeaseHolder::new(now, LeaseOptions::default(), local),
            name,
            policy,
            version,
            spec,
            gate,
            retired_gates: Vec::new(),
            view,
            role: None,
            assignment: None,
            leader_message_at: None,
            usages: HashMap::new(),
            connection_shares: HashMap::new(),
            carriers: Vec::new(),
            is_carrier: false,
            pending_counts: BTreeMap::new(),
            next_report: now,
            lease_changed: false,
        }
    }

    /// Returns the servers in the order of the configuration.
    pub(super) fn servers(&self) -> &[ServerAddr] {
        &self.servers
    }

    pub(super) fn assignment(&self) -> Option<LeaderAssignment> {
        self.assignment
    }

    /// Applies a new configuration of the service.
    pub(super) fn configure(&mut self, version: Version, spec: Arc<ServiceSpec>, gate: Arc<Gate>) {
        self.version = version;
        self.servers = spec.servers.iter().map(|s| s.addr).collect();
        self.spec = spec;
        let old = std::mem::replace(&mut self.gate, gate);
        if !Arc::ptr_eq(&old, &self.gate) {
            self.retired_gates.push(old);
        }
        self.pending_counts.clear();
        if let Some(role) = &mut self.role {
            // The servers are set before the next leases are issued.
            role.allocator.set_shares(&rank_shares(&self.spec));
        }
    }

    /// Returns the number of requests in flight at each server, including those of closed gates.
    fn in_flight(&mut self) -> BTreeMap<ServerAddr, u32> {
        let mut counts: BTreeMap<_, _> = self.gate.in_flight_by_server().into_iter().collect();
        for (server, count) in self.retired_in_flight() {
            *counts.entry(server).or_default() += count;
        }
        counts
    }

    fn retired_in_flight(&mut self) -> BTreeMap<ServerAddr, u32> {
        let mut counts = BTreeMap::new();
        self.retired_gates.retain(|gate| {
            let in_flight = gate.in_flight_by_server();
            for (server, count) in &in_flight {
                *counts.entry(*server).or_default() += count;
            }
            !in_flight.is_empty()
        });
        counts
    }

    /// Updates the states of the servers.
    pub(super) fn set_server_states(
        &mut self,
        now: Timestamp,
        state: impl Fn(ServerAddr) -> ServerState,
    ) {
        let view = View::new(&self.spec, |s| state(s.addr));
        if view == self.view {
            return;
        }
        self.view = view;
        self.ejections.set_view(now, self.view.clone());
        if let Some(role) = &mut self.role {
            role.leader.set_view(self.view.clone());
        }
    }

    /// Updates the recorded members and chooses the carriers of the service among them.
    pub(super) fn set_members(&mut self, now: Timestamp, context: &Context<'_>) {
        // A node that starts while the log is unreachable is not recorded yet, but still needs its share.
        let local = Some(context.local).filter(|n| !context.recorded.contains(n));
        let recorded: Vec<NodeId> = context.recorded.iter().copied().chain(local).collect();
        let sizes = self.spec.servers.iter().map(|s| limits::carrier_count(s.connections, s.slots));
        let size = sizes.min().unwrap_or(recorded.len());
        self.carriers = match size < recorded.len() {
            true => limits::choose_carriers(&self.name, &recorded, size),
            false => recorded,
        };
        self.carriers.sort_unstable();
        let is_carrier = self.carries(&context.local);
        if self.is_carrier != is_carrier {
            self.is_carrier = is_carrier;
            let (service, carries) = (self.name.as_str(), is_carrier);
            log::debug!(service = service, carries = carries;
                "this node started or stopped carrying a service");
            // Other nodes hold leases on all slots, so a new carrier waits for its own lease like a new node.
            self.holder = LeaseHolder::new(now, LeaseOptions::default(), context.local);
        }
        let slots: Vec<_> = self.spec.servers.iter().map(|s| (s.addr, s.slots)).collect();
        self.holder.set_members(&self.carriers, &slots);
        let share = |s: &ServerSpec| {
            let key = s.addr.to_string();
            connection_share(s.connections, key.as_bytes(), &context.local, &self.carriers)
        };
        self.connection_shares = self.spec.servers.iter().map(|s| (s.addr, share(s))).collect();
        let alive = self.alive_carriers(context);
        if let Some(role) = &mut self.role {
            role.update_awaited(now, &self.carriers, context);
            role.allocator.set_members(now, &alive);
        }
    }

    /// Returns the nodes that carry the service.
    pub(super) fn carriers(&self) -> &[NodeId] {
        &self.carriers
    }

    /// Sets whether the gate admits requests or refuses them, so that they are forwarded to a carrier.
    pub(super) fn update_admission(&self) {
        self.gate.set_carrier(self.is_carrier);
    }

    /// Returns whether a node carries the service.
    pub(super) fn carries(&self, node: &NodeId) -> bool {
        self.carriers.binary_search(node).is_ok()
    }

    /// Returns the carriers that are not lost.
    fn alive_carriers(&self, context: &Context<'_>) -> Vec<NodeId> {
        context.alive.iter().copied().filter(|node| self.carries(node)).collect()
    }

    /// Returns whether the node has slots, by a lease or by the equal split, or needs none.
    pub(super) fn has_slots(&self, now: Timestamp) -> bool {
        !self.is_carrier || self.policy != Policy::Full || !self.usable_slots(now).is_empty()
    }

    /// Must be called when the log has been read up to this node's own member record. Only then does the node
    /// accept announcements.
    pub(super) fn record_read(&mut self, now: Timestamp) {
        if !self.ejections.is_recorded() {
            let term = self.assignment.map_or(0, |a| a.term);
            self.ejections.record_read(now, Term(term));
        }
    }

    /// Applies the log's assignment of a leader.
    pub(super) fn set_leader(
        &mut self,
        now: Timestamp,
        assignment: Option<LeaderAssignment>,
        context: &Context<'_>,
    ) {
        if assignment == self.assignment {
            return;
        }
        self.assignment = assignment;
        self.role = None;
        let Some(LeaderAssignment { node, term }) = assignment else { return };
        if node != context.local || self.policy != Policy::Full {
            self.ejections.learn_term(Term(term));
            return;
        }
        let inherited = self.ejections.take_over(now, Term(term));
        log::info!(service = self.name.as_str(), term = term; "this node is the steward");
        let leader = ServiceLeader::new(
            now,
            self.name.clone(),
            Term(term),
            self.view.clone(),
            context.recorded.clone(),
            &inherited,
            service_leader::Options::default(),
        );
        let shares = rank_shares(&self.spec);
        let mut allocator = LeaseAllocator::new(now, LeaseOptions::default(), term, &shares);
        allocator.set_members(now, &self.alive_carriers(context));
        let mut role = LeaderRole::new(now, leader, allocator);
        role.update_awaited(now, &self.carriers, context);
        self.role = Some(role);
    }

    /// Processes a node's evidence and demand, if this node is the leader.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        report: &EvidenceReport,
        demand: &DemandReport,
    ) {
        self.acknowledge(now, report);
        let Some(role) = &mut self.role else { return };
        role.allocator.report(now, demand);
    }

    /// Processes a node's acknowledgement, and its evidence if there is any, if this node is the leader.
    pub(super) fn acknowledge(&mut self, now: Timestamp, report: &EvidenceReport) {
        if let Some(role) = &mut self.role {
            role.observe(now, report);
        }
    }

    /// Applies an announcement of the leader, unless it is refused as outdated or invalid.
    pub(super) fn accept_announcement(&mut self, now: Timestamp, announcement: &Announcement) {
        match self.ejections.accept(now, announcement) {
            Ok(()) => self.leader_message_at = Some(now),
            Err(refusal) => {
                metrics::counter!(
                    "redwing_announcements_refused_total",
                    "service" => self.name.to_string(),
                    "reason" => refusal.to_string()
                )
                .increment(1);
            }
        }
    }

    /// Applies a lease of the leader.
    pub(super) fn accept_lease(&mut self, now: Timestamp, lease: &SlotLease) {
        let before = self.holder.slots(now);
        if self.holder.accept(now, lease) {
            self.leader_message_at = Some(now);
            self.lease_changed |= self.holder.slots(now) != before;
        }
    }

    /// Does the periodic work that is due, and returns the messages to send.
    pub(super) fn tick(&mut self, now: Timestamp, context: &Context<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.ejections.tick(now);
        if now >= self.next_report {
            // Counted from the scheduled time, because rounds are up to 40 ms late.
            self.next_report = (self.next_report + REPORT_INTERVAL).max(now);
            self.collect_evidence(now, context, &mut outputs);
        }
        self.tick_leader(now, context, &mut outputs);
        if self.is_carrier {
            self.update_gate(now);
        }
        outputs
    }

    /// Returns the time at which `tick_urgent` next has something to do, if that is known.
    pub(super) fn next_urgent_tick(&self) -> Option<Timestamp> {
        self.report_target()?;
        let report = self.holder.reported_at() + MIN_DEMAND_INTERVAL;
        let report = (self.lease_changed || self.gate.has_unmet_demand()).then_some(report);
        let allocator =
            self.role.as_ref().map(|role| &role.allocator).filter(|a| a.has_unmet_demand());
        let next_leases = allocator.map(LeaseAllocator::next_tick);
        report.into_iter().chain(next_leases).min()
    }

    /// Does the work that cannot wait for the next tick, and returns the messages to send.
    ///
    /// As the leader, this node issues leases. As a carrier, it applies a new lease, and reports queued demand
    /// and withdrawn slots that have become free.
    pub(super) fn tick_urgent(&mut self, now: Timestamp, context: &Context<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some(assignment) = self.report_target() else { return outputs };
        if self.role.as_ref().is_some_and(|role| now >= role.allocator.next_tick()) {
            self.tick_leader(now, context, &mut outputs);
        }
        if self.lease_changed {
            self.update_gate(now);
        }
        if now.since(self.holder.reported_at()) >= MIN_DEMAND_INTERVAL {
            let has_unmet_demand = self.gate.take_unmet_demand();
            if std::mem::take(&mut self.lease_changed) || has_unmet_demand {
                self.send_report(now, context, assignment, false, &mut outputs);
            }
        }
        outputs
    }

    /// Issues announcements of ejections and leases of slots, if this node is the leader.
    fn tick_leader(&mut self, now: Timestamp, context: &Context<'_>, outputs: &mut Vec<Output>) {
        let Some(role) = &mut self.role else { return };
        let mut actions = Vec::new();
        if role.start_evaluation(now) {
            if self.carriers.len() < context.recorded.len() {
                role.update_awaited(now, &self.carriers, context);
            }
            actions = role.leader.tick(now);
        }
        let mut own_announcements = Vec::new();
        for action in actions {
            match action {
                Action::Announce(node, a) if node == context.local => own_announcements.push(a),
                Action::Announce(node, a) => outputs.push(Output::Announcement(node, a)),
                other => log_action(&self.name, &other),
            }
        }
        let leases = role.allocate(now, &self.spec, &self.view);
        for announcement in own_announcements {
            self.accept_announcement(now, &announcement);
        }
        for lease in leases {
            if lease.node == context.local {
                self.accept_lease(now, &lease);
            } else {
                outputs.push(Output::SlotLease(lease));
            }
        }
    }

    /// Returns the slots of each server that this node may use.
    fn usable_slots(&self, now: Timestamp) -> Vec<(ServerAddr, u32)> {
        match self.policy {
            Policy::Full => self.holder.slots(now),
            // Nodes do not coordinate under these baseline policies, so each one uses every slot.
            Policy::Local | Policy::RoundRobin => {
                self.spec.servers.iter().map(|s| (s.addr, s.slots)).collect()
            }
        }
    }

    fn usage(&self, now: Timestamp, server: ServerAddr) -> Usage {
        match self.view.servers.get(&server).map(|v| v.state) {
            Some(ServerState::Up | ServerState::Cold) => self.ejections.usage(now, server),
            _ => Usage::Closed,
        }
    }

    /// Returns the servers to which new requests may be sent.
    pub(super) fn servers_in_use(&self, now: Timestamp) -> impl Iterator<Item = ServerAddr> + '_ {
        self.servers.iter().copied().filter(move |s| self.usage(now, *s) != Usage::Closed)
    }

    /// Returns the published view of the service, for operators and other threads.
    pub(super) fn to_view(&self, now: Timestamp) -> ServiceView {
        let usable: HashMap<ServerAddr, u32> = self.usable_slots(now).into_iter().collect();
        let rows = self.spec.servers.iter().map(|s| {
            let usage = self.usage(now, s.addr);
            ServerView {
                server: s.addr,
                slots: s.slots,
                state: self.view.servers.get(&s.addr).map_or(ServerState::Lost, |v| v.state),
                usage,
                since: self.usages.get(&s.addr).map_or(now, |u| u.1),
                usable_slots: usable.get(&s.addr).copied().unwrap_or(0),
            }
        });
        let servers: Vec<ServerView> = rows.collect();
        let healthy = servers
            .iter()
            .filter(|r| r.state == ServerState::Up && matches!(r.usage, Usage::Weight(_)));
        let explain =
            |role: &LeaderRole| self.servers.iter().map(|s| role.leader.explain(now, *s)).collect();
        ServiceView {
            is_carrier: self.is_carrier,
            leader: self.assignment,
            leader_message_at: self.leader_message_at,
            uses_equal_split: self.policy == Policy::Full && self.holder.uses_equal_split(now),
            floor_slots: self.view.floor,
            up_slots: self.view.total_up_slots(),
            healthy_slots: healthy.map(|r| r.slots).sum(),
            explanations: self.role.as_ref().map(explain).unwrap_or_default(),
            servers,
        }
    }
}

fn rank_shares(spec: &ServiceSpec) -> Vec<u32> {
    spec.ranks.iter().map(|r| r.share).collect()
}
