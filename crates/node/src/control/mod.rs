//! The control thread of this node: membership, health of servers, leaders of services, leases of slots.

mod service;
pub mod view;

use crate::{
    carriers::Carriers,
    error::{Error, Result},
    log_thread::{Command, LogView},
    shared::Shared,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    connection::limits,
    ids::{DataCentre, NodeId, Region, ServerAddr, ServiceName, StartId, Version},
    process::{
        drain::{DrainAction, DrainOptions, DrainTracker},
        ejections::ServerState,
        evidence::EvidenceReport,
        heartbeat::{self, NodeAddresses, NodeState, MAX_DRAINS},
        leader_assignment,
        membership::{LocalNode, Member, MemberEvent, Membership, MembershipOptions, VmEntry},
        rendezvous::rendezvous,
        slot_leases::DemandReport,
    },
    time::{Span, Timestamp},
    version::config_state::{ConfigState, LeaderAssignment, Record},
};
use redwingtrestle_wire::peer::{self, Datagram, ServiceEvidence};
use service::{Context, Output, ServiceControl};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};
use view::{takes_callers, ControlView, MemberView};

/// The region for which leaders are assigned.
///
/// A service's floor applies to all of its nodes together. Leaders in two regions would each eject servers
/// down to the floor, so a service has one leader for all regions.
pub const LEADER_REGION: &str = "all";

/// The longest time between two rounds.
///
/// Waking up takes most of this thread's processor time: with 20 ms it used a fifth more.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(40);

/// The time between two updates of the gates' slots.
const GATE_UPDATE_INTERVAL: Span = Span::from_millis(40);

/// The time between two checks of members, server states and leaders.
const REFRESH_INTERVAL: Span = Span::from_millis(100);

/// The time between two published views. Each one copies the state of every server and member.
const PUBLISH_INTERVAL: Span = Span::from_millis(250);

/// The process counts as paused after a longer time between two rounds.
const PAUSE_THRESHOLD: Span = Span::from_millis(1000);

/// How long a node waits until it repeats a proposal that has not appeared in the log.
const PROPOSAL_RETRY: Span = Span::from_secs(2);

/// A node that has started does not propose itself as a leader for this long.
///
/// A leader keeps its role until its node stops, so the first node of a fleet would become the leader of all
/// services if it did not wait for others to be recorded and to serve. In the meantime, nodes use the equal
/// split and eject nothing.
const PROPOSAL_DELAY: Span = Span::from_secs(3);

/// A backend server counts as lost after its VM has been absent from the list of VMs for this long.
const SERVER_LOST_AFTER: Span = Span::from_secs(10);

/// The longest chain of successors that is followed.
///
/// Successors are remembered for 20 min. A rolling restart of a fleet at one node per minute creates no
/// longer chain in that time.
const MAX_SUCCESSORS: usize = 32;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A datagram arrived from another node.
    Datagram(Box<Datagram>),
    /// The platform's list of VMs was read.
    VmList(Vec<VmEntry>),
    /// A response of a backend server had the header that announces its drain.
    Draining(ServerAddr),
    /// A probe of a draining backend server ended: whether it still announces its drain, or `None` if it
    /// did not respond.
    Probed(ServerAddr, Option<bool>),
    /// A successor was found, which answers for this node's keys after its stop.
    Successor(NodeId),
}

/// Starts the control thread.
pub fn start(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Result<JoinHandle<()>> {
    let mut control = Control::new(shared);
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                control.shared.events.wait(control.wait_time());
                control.round();
            }
        })
        .map_err(|e| Error::start("control", e.to_string()))
}

struct Control {
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    region: Region,
    membership: Membership,
    drain: DrainTracker,
    services: BTreeMap<ServiceName, ServiceControl>,
    log_view: Arc<LogView>,
    version: Version,
    started_at: Timestamp,
    last_round: Timestamp,
    resumed_at: Timestamp,
    next_heartbeat: Timestamp,
    next_gate_update: Timestamp,
    next_refresh: Timestamp,
    recorded: BTreeSet<NodeId>,
    alive: Vec<NodeId>,
    /// Whether a configuration came into force since slots and connections were last divided among the members.
    is_config_new: bool,
    /// Whether the carriers of services were chosen again and are not published yet.
    are_carriers_new: bool,
    /// The peers as of the last publication of carriers: their entry address and whether they take callers.
    published_peers: Vec<(NodeId, SocketAddr, bool)>,
    next_publish: Timestamp,
    proposed_at: HashMap<ServiceName, Timestamp>,
    left_recorded_at: HashMap<NodeId, Timestamp>,
    vm_seen_at: HashMap<IpAddr, Timestamp>,
    vm_list_at: Option<Timestamp>,
    cold_until: HashMap<ServerAddr, Timestamp>,
    lost_servers: BTreeSet<ServerAddr>,
}

impl Control {
    fn new(shared: Arc<Shared>) -> Self {
        let now = shared.clock.now();
        let settings = &shared.settings;
        let local = LocalNode {
            node: shared.id,
            addresses: NodeAddresses {
                entry: settings.entry_address(),
                data_centre: DataCentre(settings.data_centre.clone()),
            },
            state: NodeState::Starting,
            version: Version(0),
            term: 0,
            successor: None,
        };
        let options = MembershipOptions::default();
        let mut membership = Membership::new(now, options, local);
        membership.add_seeds(settings.seeds.iter().copied());
        Control {
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            region: Region::from(LEADER_REGION),
            membership,
            drain: DrainTracker::new(now, DrainOptions::default(), shared.id),
            services: BTreeMap::new(),
            log_view: Arc::default(),
            version: Version(0),
            started_at: now,
            last_round: now,
            resumed_at: now,
            next_heartbeat: now,
            next_gate_update: now,
            next_refresh: now,
            recorded: BTreeSet::new(),
            alive: Vec::new(),
            is_config_new: false,
            are_carriers_new: false,
            published_peers: Vec::new(),
            next_publish: now,
            proposed_at: HashMap::new(),
            left_recorded_at: HashMap::new(),
            vm_seen_at: HashMap::new(),
            vm_list_at: None,
            cold_until: HashMap::new(),
            lost_servers: BTreeSet::new(),
            shared,
        }
    }

    /// Returns how long to wait for an event before the next round.
    fn wait_time(&self) -> Duration {
        let next = self.services.values().filter_map(ServiceControl::next_urgent_tick).min();
        let now = self.shared.clock.now();
        next.map_or(MAX_ROUND_INTERVAL, |at| {
            Duration::from_micros(at.since(now).as_micros()).min(MAX_ROUND_INTERVAL)
        })
    }

    /// Handles all events, then does the periodic work that is due.
    fn round(&mut self) {
        let now = self.shared.clock.now();
        if now.since(self.last_round) > PAUSE_THRESHOLD {
            log::warn!(millis = now.since(self.last_round).as_millis(); "the process was paused");
            self.resumed_at = now;
        }
        self.last_round = now;
        while let Some(event) = self.shared.events.pop() {
            self.handle_event(now, event);
        }
        self.apply_log_state(now);
        if now >= self.next_refresh {
            self.next_refresh = now + REFRESH_INTERVAL;
            self.refresh(now);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + MembershipOptions::default().interval;
            self.heartbeat(now);
        }
        if now >= self.next_gate_update {
            self.next_gate_update = now + GATE_UPDATE_INTERVAL;
            self.run_services(now, ServiceControl::tick);
        }
        self.run_services(now, ServiceControl::tick_urgent);
    }

    fn handle_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Datagram(datagram) => self.handle_datagram(now, *datagram),
            Event::VmList(entries) => {
                self.vm_list_at = Some(now);
                self.vm_seen_at.extend(entries.iter().map(|e| (e.ip, now)));
                let leaving = entries.iter().filter(|e| e.leaving).map(|e| e.ip);
                self.drain.apply_vm_list(now, leaving);
                self.membership.update_vm_list(now, &entries);
            }
            Event::Draining(server) => self.drain.record_header(now, server),
            Event::Probed(server, draining) => self.drain.record_probe(now, server, draining),
            Event::Successor(successor) => self.membership.local().successor = Some(successor),
        }
    }

    fn handle_datagram(&mut self, now: Timestamp, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat(h) => match heartbeat::Heartbeat::try_from(*h) {
                Ok(heartbeat) => {
                    self.membership.receive_heartbeat(now, &heartbeat);
                    self.drain.merge_notices(now, &heartbeat.drains);
                }
                Err(e) => log::debug!("invalid heartbeat ignored: {e}"),
            },
            Datagram::Evidence(evidence) => self.handle_evidence(now, &evidence),
            Datagram::Announcement(a) => {
                let Ok(a) = redwingtrestle_core::process::ejections::Announcement::try_from(a)
                else {
                    return;
                };
                if let Some(service) = self.services.get_mut(&a.service) {
                    service.accept_announcement(now, &a);
                }
            }
            Datagram::SlotLease(lease) => {
                let name = ServiceName(lease.service.clone());
                let (local, version) = (self.shared.id, self.version.0);
                if let Some(service) = self.services.get_mut(&name) {
                    // Leases name servers by their position in the configuration of one version.
                    if lease.version == version {
                        let lease = lease.to_lease(local, service.servers());
                        service.accept_lease(now, &lease);
                    }
                }
            }
        }
    }

    fn handle_evidence(&mut self, now: Timestamp, evidence: &peer::Evidence) {
        let same_version = evidence.version == self.version.0;
        for e in &evidence.services {
            let name = ServiceName(e.service.clone());
            let Some(service) = self.services.get_mut(&name) else { continue };
            let servers = same_version.then(|| service.servers().to_vec());
            let report = e.to_evidence(evidence.node, evidence.sent, servers.as_deref());
            match servers {
                Some(servers) => {
                    let demand = e.to_demand_report(evidence.node, evidence.sent, &servers);
                    service.observe(now, &report, &demand);
                }
                None => service.acknowledge(now, &report),
            }
        }
    }

    /// Applies the state that the log thread has published since the last round.
    fn apply_log_state(&mut self, now: Timestamp) {
        let log_view = self.shared.log_view.load_full();
        if Arc::ptr_eq(&log_view, &self.log_view) {
            return;
        }
        let old = self.log_view.state.clone();
        self.log_view = log_view;
        let Some(state) = self.log_view.state.clone() else { return };
        if old.is_none_or(|old| !Arc::ptr_eq(&old, &state)) {
            if state.version > self.version {
                self.configure(now, &state);
            }
            self.membership.add_recorded(now, state.members.keys().copied());
            self.update_members(now, &state);
            self.publish_carriers();
            self.set_leaders(now, &state);
        }
        let recorded = state.members.contains_key(&self.shared.id);
        if recorded && self.log_view.read_at.is_some_and(|at| at > self.resumed_at) {
            for service in self.services.values_mut() {
                service.record_read(now);
            }
        }
    }

    fn configure(&mut self, now: Timestamp, state: &ConfigState) {
        let Some(spec) = &state.spec else { return };
        let gates = self.shared.gates.load();
        let first = self.version == Version(0);
        self.version = state.version;
        self.is_config_new = true;
        self.drain.configure(now, spec);
        let known: BTreeSet<ServerAddr> =
            self.services.values().flat_map(ServiceControl::servers).copied().collect();
        self.services.retain(|name, _| spec.services.contains_key(name));
        for (name, service) in &spec.services {
            let Some(gate) = gates.get(name) else { continue };
            let spec = Arc::new(service.clone());
            // Servers of the first configuration after a start are not cold: they may have run for a long time.
            let added = service.servers.iter().filter(|s| !first && !known.contains(&s.addr));
            for server in added {
                self.cold_until.insert(server.addr, now + service.cold_start);
                gate.set_cold(server.addr, now + service.cold_start);
            }
            match self.services.get_mut(name) {
                Some(control) => control.configure(self.version, spec, gate.clone()),
                None => {
                    let (local, policy) = (self.shared.id, self.shared.settings.policy);
                    let control = ServiceControl::new(
                        now,
                        local,
                        name.clone(),
                        policy,
                        self.version,
                        spec,
                        gate.clone(),
                    );
                    self.services.insert(name.clone(), control);
                }
            }
        }
        self.update_server_states(now);
    }

    fn update_server_states(&mut self, now: Timestamp) {
        self.update_lost_servers(now);
        self.cold_until.retain(|_, until| *until > now);
        let (drain, cold, lost) = (&self.drain, &self.cold_until, &self.lost_servers);
        let state = |server: ServerAddr| {
            if drain.is_leaving(server) {
                ServerState::Draining
            } else if lost.contains(&server) {
                ServerState::Lost
            } else if cold.contains_key(&server) {
                ServerState::Cold
            } else {
                ServerState::Up
            }
        };
        for service in self.services.values_mut() {
            service.set_server_states(now, state);
        }
    }

    /// Updates which servers are lost, because their VMs are no longer on the list of VMs. Servers whose VMs
    /// are back start cold.
    fn update_lost_servers(&mut self, now: Timestamp) {
        let Some(last) = self.vm_list_at else { return };
        let gates = self.shared.gates.load();
        let active = self.shared.active.load();
        let Some(active) = &*active else { return };
        for (name, service) in &active.spec.services {
            for s in &service.servers {
                let Some(seen) = self.vm_seen_at.get(&s.addr.vm()) else { continue };
                let absent = last.since(*seen) >= SERVER_LOST_AFTER;
                if absent {
                    self.lost_servers.insert(s.addr);
                } else if self.lost_servers.remove(&s.addr) {
                    let until = now + service.cold_start;
                    self.cold_until.insert(s.addr, until);
                    if let Some(gate) = gates.get(name) {
                        gate.set_cold(s.addr, until);
                    }
                }
            }
        }
    }

    fn update_members(&mut self, now: Timestamp, state: &ConfigState) {
        let local = self.shared.id;
        let members = state.members.keys().copied();
        let recorded: BTreeSet<NodeId> =
            members.filter(|node| !self.membership.is_gone(now, *node)).collect();
        let is_alive = |node: &NodeId| {
            *node == local || self.membership.member(node.addr).is_some_and(|m| m.node == *node)
        };
        let alive: Vec<NodeId> = recorded.iter().copied().filter(is_alive).collect();
        // Computing the equal split and the connection shares of all servers is this thread's most expensive
        // work, so it is done only after a change.
        let changed = recorded != self.recorded || alive != self.alive;
        if !changed && !std::mem::take(&mut self.is_config_new) {
            return;
        }
        (self.recorded, self.alive) = (recorded, alive);
        let (recorded, alive) = (&self.recorded, &self.alive[..]);
        let context = Context { local, recorded, alive, membership: &self.membership };
        for service in self.services.values_mut() {
            service.set_members(now, &context);
        }
        self.are_carriers_new = true;
    }

    /// Publishes the carriers of the services that not every member carries, then updates the gates.
    ///
    /// Requests that a gate refuses are forwarded at once, so the carriers have to be published first.
    fn publish_carriers(&mut self) {
        let entry = |m: &Member| Some((m.node, m.addresses.as_ref()?.entry, takes_callers(m)));
        let mut peers: Vec<_> = self.membership.members().filter_map(entry).collect();
        peers.sort_unstable();
        if peers == self.published_peers && !std::mem::take(&mut self.are_carriers_new) {
            return;
        }
        self.published_peers = peers;
        let local = self.shared.id;
        let mut all = HashMap::new();
        for (name, service) in &self.services {
            let carriers = service.carriers();
            if carriers.len() >= self.recorded.len() && service.carries(&local) {
                continue;
            }
            let find = |node: &NodeId| {
                let position =
                    self.published_peers.binary_search_by_key(node, |peer| peer.0).ok()?;
                Some((self.published_peers[position].1, self.published_peers[position].2))
            };
            let order = limits::carriers_by_preference(name, &local, carriers);
            let mut order: Vec<_> = order.iter().filter_map(find).collect();
            // Carriers that do not take callers, such as leaving or suspect ones, are tried last.
            order.sort_by_key(|(_, takes)| !takes);
            let entries = order.into_iter().map(|(entry, _)| entry).collect();
            let carriers = Carriers { is_local: service.carries(&local), entries };
            all.insert(name.clone(), Arc::new(carriers));
        }
        self.shared.carriers.store(Arc::new(all));
        for service in self.services.values() {
            service.update_admission();
        }
    }

    /// Applies the leaders that the log assigns.
    fn set_leaders(&mut self, now: Timestamp, state: &ConfigState) {
        let (local, recorded, alive) = (self.shared.id, &self.recorded, &self.alive[..]);
        let context = Context { local, recorded, alive, membership: &self.membership };
        let mut leaders = BTreeSet::new();
        for (name, service) in &mut self.services {
            let assignment = state.leaders.get(&(name.clone(), self.region.clone())).copied();
            service.set_leader(now, assignment, &context);
            leaders.extend(assignment.map(|a| a.node.addr));
        }
        self.membership.set_leaders(leaders);
    }

    /// Updates members, server states and leaders, and publishes the result.
    fn refresh(&mut self, now: Timestamp) {
        for event in self.membership.tick(now) {
            log_member_event(event);
        }
        for DrainAction::Probe(server) in self.drain.tick(now) {
            let _ = self.shared.commands.try_push(Command::Probe(server));
        }
        self.update_server_states(now);
        if let Some(state) = self.log_view.state.clone() {
            self.update_members(now, &state);
            self.publish_carriers();
            self.record_left_members(now, &state);
            self.propose_leaders(now);
        }
        for service in self.services.values() {
            for server in service.servers_in_use(now) {
                self.drain.check_new_work(now, server);
            }
        }
        self.serve_when_ready(now);
        let entries = self.caller_entries();
        // Callers that learn of an entry may at once send this node keys whose home it is, so the view with the
        // homes of keys is published before the entries.
        if now >= self.next_publish || entries != **self.shared.entries.load() {
            self.next_publish = now + PUBLISH_INTERVAL;
            self.publish(now);
        }
        self.shared.entries.store(Arc::new(entries));
    }

    /// Returns the nodes that may get a role: recorded, serving, and with heartbeats in both directions. The
    /// last condition does not apply to this node itself.
    fn eligible_nodes(&self, now: Timestamp) -> Vec<NodeId> {
        let local = self.shared.id;
        let serving = |node: &NodeId| match self.membership.member(node.addr) {
            _ if *node == local => self.shared.node_state() == NodeState::Serving,
            Some(m) => m.state == NodeState::Serving && self.membership.is_usable(now, *node),
            None => false,
        };
        self.alive.iter().copied().filter(serving).collect()
    }

    /// Proposes this node as the leader of services that have no live leader among their carriers, if it is the
    /// preferred choice.
    fn propose_leaders(&mut self, now: Timestamp) {
        if !self.log_view.log_up || now.since(self.started_at) < PROPOSAL_DELAY {
            return;
        }
        let mut led = BTreeMap::new();
        let mut vacant = BTreeMap::new();
        for (name, service) in &self.services {
            match service.assignment() {
                Some(a) if service.carries(&a.node) && self.is_leader_valid(a) => {
                    *led.entry(a.node).or_default() += 1;
                }
                assignment => {
                    vacant.insert(name, assignment.map_or(0, |a| a.term));
                }
            }
        }
        if vacant.is_empty() {
            return;
        }
        let carries = |name: &ServiceName, node: &NodeId| self.services[name].carries(node);
        let chosen = leader_assignment::assign_leaders(
            vacant.keys().copied(),
            &led,
            &self.eligible_nodes(now),
            carries,
        );
        for (name, _) in chosen.into_iter().filter(|(_, node)| *node == self.shared.id) {
            let is_retry_due =
                self.proposed_at.get(name).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY);
            if !is_retry_due {
                continue;
            }
            self.proposed_at.insert(name.clone(), now);
            let record = Record::LeaderAssigned {
                service: name.clone(),
                region: self.region.clone(),
                node: self.shared.id,
                base_term: vacant[name],
            };
            let _ = self.shared.commands.try_push(Command::Append(record));
        }
    }

    /// Returns whether a leader is still alive and not leaving.
    ///
    /// A leader from which only this node gets no heartbeats stays: other nodes report it as alive, and a new
    /// leader could not complete its fencing while the link is cut.
    fn is_leader_valid(&self, assignment: LeaderAssignment) -> bool {
        let node = assignment.node;
        if node == self.shared.id {
            return self.shared.node_state() != NodeState::Leaving;
        }
        let member = self.membership.member(node.addr);
        member.is_some_and(|m| m.node == node && m.state != NodeState::Leaving)
    }

    /// Records in the log which members are gone, if this node is the one responsible for that.
    fn record_left_members(&mut self, now: Timestamp, state: &ConfigState) {
        let eligible = self.eligible_nodes(now);
        let first = eligible.iter().copied().max_by_key(|n| rendezvous(b"members", *n));
        if first != Some(self.shared.id) || !self.log_view.log_up {
            return;
        }
        for node in state.members.keys().copied() {
            let is_retry_due =
                self.left_recorded_at.get(&node).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY);
            if is_retry_due && self.membership.is_gone(now, node) {
                self.left_recorded_at.insert(node, now);
                let _ = self.shared.commands.try_push(Command::Append(Record::MemberLeft { node }));
            }
        }
        self.left_recorded_at.retain(|node, _| state.members.contains_key(node));
    }

    fn heartbeat(&mut self, now: Timestamp) {
        let state = self.shared.node_state();
        let term = self.log_view.state.as_ref().map_or(0, |s| highest_term(s));
        let local = self.membership.local();
        local.state = state;
        local.version = self.version;
        local.term = term;
        let drains = self.drain.notices(now, MAX_DRAINS);
        for to in self.membership.targets(now, &mut self.rng) {
            let heartbeat = self.membership.heartbeat(now, to, drains.clone());
            self.send(to, &Datagram::Heartbeat(Box::new((&heartbeat).into())));
        }
        self.shared.peers.store(Arc::new(self.membership.peer_summary(now)));
    }

    /// Calls `work` for each service and sends the resulting messages.
    fn run_services(
        &mut self,
        now: Timestamp,
        work: fn(&mut ServiceControl, Timestamp, &Context<'_>) -> Vec<Output>,
    ) {
        let (local, recorded, alive) = (self.shared.id, &self.recorded, &self.alive[..]);
        let context = Context { local, recorded, alive, membership: &self.membership };
        let mut evidence: BTreeMap<NodeId, Vec<ServiceEvidence>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for (name, service) in &mut self.services {
            for output in work(service, now, &context) {
                match output {
                    Output::Evidence(leader, reports) => {
                        let (report, demand): &(EvidenceReport, DemandReport) = &reports;
                        let wire = ServiceEvidence::new(report, demand, service.servers());
                        evidence.entry(leader).or_default().push(wire);
                    }
                    Output::Announcement(node, a) => {
                        datagrams.push((node.addr, Datagram::Announcement((&a).into())));
                    }
                    Output::SlotLease(lease) => {
                        let wire =
                            peer::SlotLease::new(name, self.version, &lease, service.servers());
                        datagrams.push((lease.node.addr, Datagram::SlotLease(wire)));
                    }
                }
            }
        }
        for (to, datagram) in datagrams {
            self.send(to, &datagram);
        }
        for (leader, services) in evidence {
            self.send_evidence(now, leader.addr, services);
        }
    }

    /// Sends evidence in one datagram if it fits, otherwise in one for each service.
    fn send_evidence(&self, now: Timestamp, to: SocketAddr, services: Vec<ServiceEvidence>) {
        let wrap = |services| {
            Datagram::Evidence(peer::Evidence {
                node: self.shared.id,
                sent: now.as_micros(),
                version: self.version.0,
                services,
            })
        };
        let whole = wrap(services.clone());
        if whole.encode().is_ok() || services.len() == 1 {
            self.send(to, &whole);
            return;
        }
        for service in services {
            self.send(to, &wrap(vec![service]));
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let kind = match datagram {
            Datagram::Heartbeat(_) => "heartbeat",
            Datagram::Evidence(_) => "evidence",
            Datagram::Announcement(_) => "announcement",
            Datagram::SlotLease(_) => "grant",
        };
        match datagram.encode() {
            Ok(bytes) => {
                metrics::counter!("redwing_control_sent_bytes_total", "kind" => kind)
                    .increment(bytes.len() as u64);
                self.shared.outbox.push_or_drop((to, bytes));
            }
            Err(e) => log::error!("cannot encode a datagram of kind {kind}, it is not sent: {e}"),
        }
    }

    /// Lets a starting node serve once its configuration is the newest known, it has slots, and it can reach
    /// a carrier of each service that it does not carry itself.
    fn serve_when_ready(&self, now: Timestamp) {
        let slots = self.services.values().all(|s| s.has_slots(now));
        // The wait for carriers is limited, because a service without any must not block the other services.
        let routed = now.since(self.started_at) >= MembershipOptions::default().lost
            || self.shared.carriers.load().values().all(|c| c.is_local || !c.entries.is_empty());
        if self.log_view.is_current
            && slots
            && routed
            && !self.shared.ready.swap(true, Ordering::SeqCst)
        {
            log::info!(version = self.version.0; "node serves");
        }
    }

    /// Returns the entry addresses for callers. This node's own is the first while it serves, else absent.
    fn caller_entries(&self) -> Vec<SocketAddr> {
        let own = self.shared.settings.entry_address();
        let serving = self.shared.node_state() == NodeState::Serving;
        let others = self.membership.members().filter(|m| takes_callers(m));
        let others = others.filter_map(|m| m.addresses.as_ref().map(|a| a.entry));
        serving.then_some(own).into_iter().chain(others).collect()
    }

    /// Publishes this thread's state, for forwarding and for operators.
    fn publish(&self, now: Timestamp) {
        let members: Vec<MemberView> = self
            .membership
            .members()
            .map(|m| {
                let (last_heartbeat_at, receives_heartbeats) =
                    self.membership.link(now, m.node.addr);
                let usable = self.membership.is_usable(now, m.node);
                MemberView { member: m.clone(), usable, last_heartbeat_at, receives_heartbeats }
            })
            .collect();
        let known = members.iter().filter_map(|m| m.member.addresses.as_ref().map(|a| a.entry));
        self.shared.known_entries.store(Some(Arc::new(known.collect())));
        let usable: Vec<NodeId> =
            members.iter().filter(|m| m.usable).map(|m| m.member.node).collect();
        metrics::gauge!("redwing_peers_usable").set(usable.len() as f64);
        let view = ControlView {
            at: now,
            usable,
            homes: self.key_homes(&members),
            members,
            services: self.services.iter().map(|(n, s)| (n.clone(), s.to_view(now))).collect(),
            leaving: self.drain.sources(now).collect(),
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Returns the entry address that serves the keys of each known process.
    fn key_homes(&self, members: &[MemberView]) -> HashMap<StartId, SocketAddr> {
        let mut homes =
            HashMap::from([(self.shared.id.start, self.shared.settings.entry_address())]);
        let entry =
            |m: &MemberView| Some((m.member.node.start, m.member.addresses.as_ref()?.entry));
        homes.extend(members.iter().filter_map(entry));
        let mut moved = HashMap::new();
        for (node, successor) in self.membership.successors() {
            // A successor may have stopped as well and have a successor of its own.
            let mut last = successor;
            for _ in 0..MAX_SUCCESSORS {
                match self.membership.successor(last) {
                    Some(next) if next != node => last = next,
                    _ => break,
                }
            }
            if let Some(entry) = homes.get(&last.start) {
                moved.insert(node.start, *entry);
            }
        }
        homes.extend(moved);
        homes
    }
}

fn highest_term(state: &ConfigState) -> u64 {
    state.leaders.values().map(|a| a.term).max().unwrap_or(0)
}

fn log_member_event(event: MemberEvent) {
    match event {
        MemberEvent::Joined(node) => log::info!(node:% = node; "peer joined"),
        MemberEvent::Suspect(node) => log::info!(node:% = node; "peer is silent and now suspect"),
        MemberEvent::Recovered(node) => log::info!(node:% = node; "peer is no longer suspect"),
        MemberEvent::Lost(node) => log::warn!(node:% = node; "peer is lost after a long silence"),
        MemberEvent::Replaced { old, new } => {
            log::info!(old:% = old, new:% = new; "peer was replaced by a new process");
        }
        MemberEvent::OneWay(node) => {
            log::warn!(node:% = node; "heartbeats to or from a live peer are lost");
        }
    }
}
