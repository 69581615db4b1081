//! The control thread of this node: membership, health of servers, leaders of services, leases of slots.
//!
//! * `service`: the control of one service; `server_states`: which servers are leaving, lost or cold.
//! * `roles`: what this node proposes to the log; `sending`: its datagrams; `publication`: what other threads read.

mod publication;
mod roles;
mod sending;
mod server_states;
mod service;
pub mod view;

use self::{
    server_states::ServerStates,
    service::{Context, ServiceControl},
};
use crate::{
    error::{Error, Result},
    log_thread::{Command, LogView},
    shared::Shared,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{DataCentre, NodeId, Region, ServerAddr, ServiceName, Version},
    process::{
        drain::{DrainAction, DrainOptions, DrainTracker},
        ejections::Announcement,
        heartbeat::{Heartbeat, NodeAddresses, NodeState},
        membership::{LocalNode, MemberEvent, Membership, MembershipOptions, VmEntry},
    },
    time::{Span, Timestamp},
    version::config_state::ConfigState,
};
use redwingtrestle_wire::peer::{self, Datagram};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};

/// The region for which leaders are assigned.
///
/// A service's floor applies to all of its nodes together. Leaders in two regions would each eject servers
/// down to the floor, so a service has one leader for all regions.
pub const LEADER_REGION: &str = "all";

/// The target of the thread's log lines, by which operators filter them.
const LOG_TARGET: &str = module_path!();

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
    server_states: ServerStates,
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
            server_states: ServerStates::default(),
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
                self.server_states.record_vm_list(now, &entries);
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
            Datagram::Heartbeat(h) => match Heartbeat::try_from(*h) {
                Ok(heartbeat) => {
                    self.membership.receive_heartbeat(now, &heartbeat);
                    self.drain.merge_notices(now, &heartbeat.drains);
                }
                Err(e) => log::debug!("invalid heartbeat ignored: {e}"),
            },
            Datagram::Evidence(evidence) => self.handle_evidence(now, &evidence),
            Datagram::Announcement(a) => {
                let Ok(a) = Announcement::try_from(a) else { return };
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
                self.server_states.set_cold(server.addr, now + service.cold_start);
                gate.set_cold(server.addr, now + service.cold_start);
            }
            if let Some(control) = self.services.get_mut(name) {
                control.configure(self.version, spec, gate.clone());
                continue;
            }
            let (local, policy) = (self.shared.id, self.shared.settings.policy);
            let gate = gate.clone();
            let control =
                ServiceControl::new(now, local, name.clone(), policy, self.version, spec, gate);
            self.services.insert(name.clone(), control);
        }
        self.update_server_states(now);
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

    fn update_server_states(&mut self, now: Timestamp) {
        if let Some(active) = &*self.shared.active.load() {
            let gates = self.shared.gates.load();
            for (name, server, until) in self.server_states.update_lost(now, &active.spec) {
                if let Some(gate) = gates.get(&name) {
                    gate.set_cold(server, until);
                }
            }
        }
        self.server_states.expire_cold(now);
        let (states, drain) = (&self.server_states, &self.drain);
        for service in self.services.values_mut() {
            service.set_server_states(now, |server| states.state(server, drain));
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
