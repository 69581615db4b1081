//! One service in the control thread: evidence, ejections, leases, and the leader's side of each.

use super::{
    view::{ServerRow, ServiceView},
    GATE_UPDATE_INTERVAL,
};
use crate::{gate::Gate, settings::Policy};
use redwingtrestle_core::{
    connection::limits::{self, connection_share},
    ids::{NodeId, ServerAddr, ServiceName, Version},
    process::{
        balancer::{self, ServerSlots, FULL_WEIGHT},
        ejections::{self, Announcement, Ejections, ServerState, Term, Usage, View},
        evidence::{Counts, Interval},
        membership::Membership,
        service_leader::{self, Action, ServiceLeader},
        slot_leases::{
            DemandReport, LeaseAllocator, LeaseHolder, LeaseOptions, SlotLease, MIN_DEMAND_INTERVAL,
        },
    },
    time::{Span, Timestamp},
    version::{
        config_state::Assignment,
        spec::{ServerSpec, ServiceSpec},
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// How often evidence and demand are collected.
const REPORT_INTERVAL: Span = Span::from_millis(100);

/// How often the leader runs its tests on the evidence that has arrived.
const JUDGE: Span = Span::from_millis(50);

/// How long after the last sign that a node may apply a leader's announcements the leader waits for it.
///
/// This is twice the time to live of an announcement. It matters for nodes that were carriers until recently
/// or wrongly take themselves for carriers; the leader always waits for actual carriers.
const ACKNOWLEDGEMENT_GRACE: Span = Span::from_secs(6);

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
    /// Evidence and demand for the leader.
    Evidence(NodeId, Box<(Interval, DemandReport)>),
    /// Ejections for a node.
    Announcement(NodeId, Announcement),
    /// A lease for its node.
    SlotLease(SlotLease),
}

/// `Lead` is the leader's side of a service.
#[derive(Debug)]
struct Lead {
    leader: ServiceLeader,
    allocator: LeaseAllocator,
    last_tick: Timestamp,
    /// The time of the last sign that a node may apply announcements. Used if not all nodes carry the service.
    may_apply_at: HashMap<NodeId, Timestamp>,
}

impl Lead {
    /// Tells the leader which recorded members it has to wait for.
    ///
    /// Nodes that do not carry the service get no announcements and acknowledge none. One of them may
    /// still apply an old announcement: while it has not read the assignment of this term, it may follow an
    /// earlier leader as a carrier, and while it reports, it takes itself for a carrier.
    fn await_carriers(&mut self, now: Timestamp, carriers: &[NodeId], context: &Context<'_>) {
        let term = self.leader.term();
        let mut awaited = context.recorded.clone();
        awaited.retain(|node| {
            let may_apply_at = self.may_apply_at.entry(*node).or_insert(now);
            if context.membership.term(*node) < term.0 {
                *may_apply_at = now;
            }
            carriers.contains(node) || now.since(*may_apply_at) <= ACKNOWLEDGEMENT_GRACE
        });
        self.applies.retain(|node, _| context.recorded.contains(node));
        self.leader.set_recorded(awaited);
    }
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
    lead: Option<Lead>,
    assignment: Option<Assignment>,
    leader_heard_at: Option<Timestamp>,
    usages: HashMap<ServerAddr, (Usage, Timestamp)>,
    connection_shares: HashMap<ServerAddr, u32>,
    /// Sorted.
    carriers: Vec<NodeId>,
    is_carrier: bool,
    pending_counts: BTreeMap<ServerAddr, Counts>,
    next_report: Timestamp,
    /// Whether a lease with other slots came since the last report.
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
            holder: LeaseHolder::new(now, LeaseOptions::default(), me),
            name,
            policy,
            version,
            spec,
            gate,
            retired_gates: Vec::new(),
            view,
            role: None,
            assignment: None,
            leader_heard_at: None,
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

    pub(super) fn assignment(&self) -> Option<Assignment> {
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
        self.pending.clear();
        if let Some(lead) = &mut self.lead {
            // The servers follow before the next leases.
            lead.allocator.set_shares(&shares(&self.spec));
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
        if let Some(lead) = &mut self.lead {
            lead.leader.set_view(self.view.clone());
        }
    }

    /// Updates the recorded members and chooses the carriers of the service among them.
    pub(super) fn set_members(&mut self, now: Timestamp, context: &Context<'_>) {
        // A node that starts while the log is unreachable is not recorded yet, but still needs its share.
        let local = Some(context.local).filter(|n| !context.recorded.contains(n));
        let recorded: Vec<NodeId> = context.recorded.iter().copied().chain(local).collect();
        let sizes = self.spec.servers.iter().map(|s| limits::carriers(s.connections, s.slots));
        let size = sizes.min().unwrap_or(recorded.len());
        self.carriers = match size < recorded.len() {
            true => limits::subset(&self.name, &recorded, size),
            false => recorded,
        };
        self.carriers.sort_unstable();
        let is_carrier = self.carries(&context.local);
        if self.is_carrier != is_carrier {
            self.is_carrier = is_carrier;
            let (service, carries) = (self.name.as_str(), is_carrier);
            log::debug!(service = service, carries = carries; "carriers of a service changed");
            // Others hold leases of all slots, so a new carrier waits for its own as a new node does.
            self.holder = LeaseHolder::new(now, LeaseOptions::default(), context.me);
        }
        let slots: Vec<_> = self.spec.servers.iter().map(|s| (s.addr, s.slots)).collect();
        self.holder.set_members(&self.carriers, &slots);
        let share = |s: &ServerSpec| {
            let key = s.addr.to_string();
            connection_share(s.connections, key.as_bytes(), &context.local, &self.carriers)
        };
        self.shares = self.spec.servers.iter().map(|s| (s.addr, share(s))).collect();
        let alive = self.alive(context);
        if let Some(lead) = &mut self.lead {
            lead.await_carriers(now, &self.carriers, context);
            lead.allocator.set_members(now, &alive);
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

    /// Returns whether the node knows which slots it may use, by a lease or by the equal split, or needs none.
    pub(super) fn has_slots(&self, now: Timestamp) -> bool {
        !self.is_carrier || self.policy != Policy::Full || !self.usable_slots(now).is_empty()
    }

    /// Handles that the log has been read up to this node's own member record.
    pub(super) fn record_read(&mut self, now: Timestamp) {
        if !self.ejections.is_recorded() {
            let term = self.assignment.map_or(0, |a| a.term);
            self.ejections.record_read(now, Term(term));
        }
    }

    /// Takes over the leader that the log assigns.
    pub(super) fn assign(
        &mut self,
        now: Timestamp,
        assignment: Option<Assignment>,
        context: &Context<'_>,
    ) {
        if assignment == self.assignment {
            return;
        }
        self.assignment = assignment;
        self.role = None;
        let Some(Assignment { node, term }) = assignment else { return };
        if node != context.local || self.policy != Policy::Full {
            self.ejections.learn_term(Term(term));
            return;
        }
        let carried = self.ejections.take_over(now, Term(term));
        log::info!(service = self.name.as_str(), term = term; "this node is the steward");
        let leader = ServiceLeader::new(
            now,
            self.name.clone(),
            Term(term),
            self.view.clone(),
            context.recorded.clone(),
            &carried,
            service_leader::Options::default(),
        );
        let shares = shares(&self.spec);
        let mut allocator = LeaseAllocator::new(now, LeaseOptions::default(), term, &shares);
        allocator.set_members(now, &self.alive(context));
        let mut lead = Lead { leader, allocator, last_tick: now, applies: HashMap::new() };
        lead.await_carriers(now, &self.carriers, context);
        self.lead = Some(lead);
    }

    /// Takes a node's evidence and demand, as the leader.
    pub(super) fn observe(&mut self, now: Timestamp, interval: &Interval, report: &DemandReport) {
        self.acknowledge(now, interval);
        let Some(lead) = &mut self.lead else { return };
        lead.allocator.report(now, report);
    }

    /// Takes a node's acknowledgement without its counts, as the leader.
    pub(super) fn acknowledge(&mut self, now: Timestamp, interval: &Interval) {
        if let Some(lead) = &mut self.lead {
            lead.applies.insert(interval.node, now);
            lead.leader.observe(now, interval);
        }
    }

    /// Takes an announcement of the leader.
    pub(super) fn accept(&mut self, now: Timestamp, announcement: &Announcement) {
        match self.ejections.accept(now, announcement) {
            Ok(()) => self.leader_heard_at = Some(now),
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

    /// Takes a lease of the leader.
    pub(super) fn accept_lease(&mut self, now: Timestamp, lease: &SlotLease) {
        let before = self.holder.slots(now);
        if self.holder.accept(now, lease) {
            self.heard = Some(now);
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

    /// Returns the leader that this node reports to, if it reports at all.
    fn reports_to(&self) -> Option<Assignment> {
        self.assignment.filter(|_| self.policy == Policy::Full && self.is_carrier)
    }

    /// Collects evidence and demand, and reports them if a report is due or a request was bad or slow.
    fn collect_evidence(
        &mut self,
        now: Timestamp,
        context: &Context<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let counts = self.gate.take_evidence(now);
        self.ejections.observe(now, &counts);
        for (server, counts) in counts {
            self.pending_counts.entry(server).or_default().merge(&counts);
        }
        let Some(assignment) = self.report_target() else {
            self.pending_counts.clear();
            return;
        };
        let is_bad = self.pending_counts.values().any(|c| c.bad > 0 || c.slow > 0);
        self.send_report(now, context, assignment, is_bad, outputs);
    }

    /// Reports evidence and demand to the leader, if that is due.
    fn send_report(
        &mut self,
        now: Timestamp,
        context: &Context<'_>,
        assignment: Assignment,
        is_urgent: bool,
        outputs: &mut Vec<Output>,
    ) {
        let demand = self.gate.demand();
        let in_flight: Vec<_> = self.in_flight().into_iter().collect();
        if !is_urgent && !self.holder.is_due(now, &demand, &in_flight) {
            return;
        }
        let report = self.holder.report(now, demand, &in_flight);
        let interval = Interval {
            node: context.local,
            service: self.name.clone(),
            sent: now,
            highest: self.ejections.highest(),
            ack: self.ejections.ack(now),
            servers: std::mem::take(&mut self.pending_counts).into_iter().collect(),
        };
        if assignment.node == context.local {
            self.observe(now, &interval, &report);
        } else {
            outputs.push(Output::Evidence(assignment.node, Box::new((interval, report))));
        }
    }

    /// Returns when `press` has something to do, if it is known now.
    pub(super) fn next_press(&self) -> Option<Timestamp> {
        self.reports_to()?;
        let report = self.holder.reported_at() + MIN_DEMAND_INTERVAL;
        let report = (self.lease_changed || self.gate.has_unmet_demand()).then_some(report);
        let split = self.lead.as_ref().map(|lead| &lead.allocator).filter(|s| s.has_unmet_demand());
        let split = split.map(LeaseAllocator::next_tick);
        report.into_iter().chain(split).min()
    }

    /// Does what cannot wait for the next round: splits slots as the leader, uses a new lease, and reports
    /// demand that waits for slots and slots that were withdrawn.
    pub(super) fn press(&mut self, now: Timestamp, context: &Context<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some(assignment) = self.reports_to() else { return outputs };
        if self.lead.as_ref().is_some_and(|lead| now >= lead.allocator.next_tick()) {
            self.lead(now, context, &mut outputs);
        }
        if self.lease_changed {
            self.renew(now);
        }
        if now.since(self.holder.reported_at()) >= MIN_DEMAND_INTERVAL {
            let has_unmet_demand = self.gate.take_unmet_demand();
            if std::mem::take(&mut self.lease_changed) || has_unmet_demand {
                self.send_report(now, context, assignment, false, &mut outputs);
            }
        }
        outputs
    }

    /// Does the leader's part: ejections and leases.
    fn lead(&mut self, now: Timestamp, context: &Context<'_>, outputs: &mut Vec<Output>) {
        let Some(lead) = &mut self.lead else { return };
        let mut own = Vec::new();
        let is_due = now.since(lead.last_tick) >= JUDGE;
        if is_due {
            role.last_tick = now;
            if self.carriers.len() < context.recorded.len() {
                role.update_awaited(now, &self.carriers, context);
            }
        }
        for action in if is_due { lead.leader.tick(now) } else { Vec::new() } {
            match action {
                Action::Announce(node, a) if node == context.local => own_announcements.push(a),
                Action::Announce(node, a) => outputs.push(Output::Announcement(node, a)),
                other => log_action(&self.name, &other),
            }
        }
        let mut leases = Vec::new();
        if now >= lead.allocator.next_tick() {
            let out = lead.leader.outstanding();
            let slots = self.spec.servers.iter().map(|s| {
                let state = self.view.servers.get(&s.addr).map(|v| v.state);
                let slots = match state {
                    Some(ServerState::Up | ServerState::Cold) if outstanding.contains(&s.addr) => 1,
                    Some(ServerState::Up | ServerState::Cold) => s.slots,
                    _ => 0,
                };
                (s.addr, slots)
            });
            lead.allocator.set_servers(&slots.collect::<Vec<_>>());
            leases = lead.allocator.tick(now);
        }
        for announcement in own_announcements {
            self.accept_announcement(now, &announcement);
        }
        for lease in leases {
            if lease.node == context.me {
                self.accept_lease(now, &lease);
            } else {
                outputs.push(Output::SlotLease(lease));
            }
        }
    }

    /// Gives the gate the servers and slots that it may use from now on.
    fn renew(&mut self, now: Timestamp) {
        // A lease that ends before the next renewal is not used until then.
        let held: HashMap<ServerAddr, u32> = self.held(now + RENEW).into_iter().collect();
        let retired = self.retired_in_flight();
        let mut usable = Vec::new();
        for s in &self.spec.servers {
            let usage = self.usage(now, s.addr);
            let old = self.usages.get(&s.addr).map(|u| u.0);
            if old != Some(usage) {
                if let (Some(Usage::Weight(_)), Usage::Closed) = (old, usage) {
                    metrics::counter!(
                        "redwing_servers_taken_out_total", "service" => self.name.to_string()
                    )
                    .increment(1);
                }
                self.usages.insert(s.addr, (usage, now));
                log_usage(&self.name, s.addr, old, usage);
            }
            // A lease of an older version may name more slots than the server has now.
            let slots = held.get(&s.addr).copied().unwrap_or(0).min(s.slots);
            let slots = slots.min(self.connection_shares.get(&s.addr).copied().unwrap_or(slots));
            let slots = slots.saturating_sub(retired.get(&s.addr).copied().unwrap_or(0));
            let (state, slots, weight) = match usage {
                Usage::Weight(w) => {
                    (balancer::ServerState::Serving, slots, u32::from(w) * FULL_WEIGHT / 100)
                }
                // The tester of a server in probation may send the trickle without a lease.
                Usage::Trickle => (balancer::ServerState::Probation, 1, FULL_WEIGHT),
                Usage::Closed => continue,
            };
            if slots > 0 {
                usable.push(ServerSlots { server: s.addr, slots, weight, state });
            }
        }
        self.gate.set_slots(now, self.version, &usable, self.holder.shares(now));
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
        let held: HashMap<ServerAddr, u32> = self.usable_slots(now).into_iter().collect();
        let rows = self.spec.servers.iter().map(|s| {
            let usage = self.usage(now, s.addr);
            ServerRow {
                server: s.addr,
                slots: s.slots,
                state: self.view.servers.get(&s.addr).map_or(ServerState::Lost, |v| v.state),
                usage,
                since: self.usages.get(&s.addr).map_or(now, |u| u.1),
                held: held.get(&s.addr).copied().unwrap_or(0),
            }
        });
        let servers: Vec<ServerRow> = rows.collect();
        let healthy = servers
            .iter()
            .filter(|r| r.state == ServerState::Up && matches!(r.usage, Usage::Weight(_)));
        let explain =
            |lead: &Lead| self.servers.iter().map(|s| lead.leader.explain(now, *s)).collect();
        ServiceView {
            is_carrier: self.is_carrier,
            leader: self.assignment,
            heard: self.heard,
            is_fallback: self.policy == Policy::Full && self.holder.is_fallback(now),
            floor: self.view.floor,
            up: self.view.up(),
            healthy: healthy.map(|r| r.slots).sum(),
            explanations: self.role.as_ref().map(explain).unwrap_or_default(),
            servers,
        }
    }
}

fn rank_shares(spec: &ServiceSpec) -> Vec<u32> {
    spec.ranks.iter().map(|r| r.share).collect()
}

/// Logs that a server is no longer or again used at this node. Changes of its weight alone are not logged.
fn log_usage(service: &ServiceName, server: ServerAddr, old: Option<Usage>, new: Usage) {
    let unchanged = match old {
        Some(old) => std::mem::discriminant(&old) == std::mem::discriminant(&new),
        None => matches!(new, Usage::Weight(_)),
    };
    if !unchanged {
        let usage = match new {
            Usage::Weight(_) => "in use",
            Usage::Trickle => "in probation",
            Usage::Closed => "out of use",
        };
        log::info!(service = service.as_str(), server:% = server, usage = usage;
            "use of a backend server changed");
    }
}

fn log_action(service: &ServiceName, action: &Action) {
    let service = service.as_str();
    match action {
        Action::Ejected(server) => {
            metrics::counter!("redwing_ejections_total", "service" => service.to_string())
                .increment(1);
            log::warn!(service = service, server:% = server; "backend server ejected");
        }
        Action::Readmitted(server) => {
            log::info!(service = service, server:% = server; "backend server re-admitted");
        }
        Action::Restored(server) => {
            log::warn!(service = service, server:% = server;
                "backend server re-admitted early because the floor needs its slots");
        }
        Action::ServiceAtFault => {
            log::debug!(service = service;
                "no server is ejected: over half are suspect, so the whole service is at fault");
        }
        Action::Announce(..) => {}
    }
}
