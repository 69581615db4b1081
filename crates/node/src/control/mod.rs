//! The control thread: membership, health, leaders and slot leases of this node.

mod service;
pub mod view;

use crate::{
    carriers::Carriers,
    error::{Error, Result},
    log_thread::{Agreed, Command},
    shared::Shared,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    connection::limits,
    ids::{DataCentre, NodeId, Region, ServerAddr, ServiceName, StartId, Version},
    process::{
        drain::{Drain, DrainAction, DrainOptions},
        ejections::ServerState,
        evidence::Interval,
        heartbeat::{self, NodeAddresses, NodeState, MAX_DRAINS},
        leader_assignment,
        membership::{
            rendezvous, LocalNode, Member, MemberEvent, Membership, MembershipOptions, VmEntry,
        },
        slot_leases::DemandReport,
    },
    time::{Span, Timestamp},
    version::config_state::{Assignment, Record, State},
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
/// A service's floor holds for all nodes that serve it. Two leaders of one service in two regions would
/// each eject up to the floor, so each service has one leader for all regions.
pub const LEADER_REGION: &str = "all";

/// The time between two rounds when nothing arrives.
///
/// Most of this thread's time goes into waking up: with 20 ms it took a fifth more.
const TICK: Duration = Duration::from_millis(40);

/// The time between two renewals of the gates.
const RENEW: Span = Span::from_millis(40);

/// The time between two looks at members, server states and leaders.
const SURVEY: Span = Span::from_millis(100);

/// The time between two published views; they copy the state of every server and member.
const PUBLISH: Span = Span::from_millis(250);

/// A longer time between two rounds means that the process was paused.
const PAUSE: Span = Span::from_millis(1000);

/// How long a node waits for its own proposal of a leader to be read before it proposes again.
const PROPOSE_AGAIN: Span = Span::from_secs(2);

/// How long a node that has just started leaves a service without leader to others.
///
/// A leader keeps its duty until its node stops. So the first node of a fleet waits for others to be
/// recorded and to serve; until then, nodes use the equal split and eject nothing.
const FIRST_LEADER: Span = Span::from_secs(3);

/// How long a backend server's VM must be absent from the list of VMs to count as lost.
const SERVER_ABSENT: Span = Span::from_secs(10);

/// The longest chain of successors that is followed. Successors are remembered for 20 min, and a rolling restart of
/// a fleet at one node a minute makes no longer one.
const MAX_SUCCESSORS: usize = 32;

/// `Event` is something that the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// A datagram of another node.
    Datagram(Box<Datagram>),
    /// The platform's list of VMs.
    VmList(Vec<VmEntry>),
    /// A backend server said in an answer that it is leaving.
    Draining(ServerAddr),
    /// A probe of a leaving backend server ended: whether it still says so, or no answer.
    Probed(ServerAddr, Option<bool>),
    /// The node that answers for this node's keys after its stop.
    Successor(NodeId),
}

/// Starts the control thread.
pub fn start(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Result<JoinHandle<()>> {
    let mut control = Control::new(shared);
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                control.shared.events.wait(control.pause());
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
    drain: Drain,
    services: BTreeMap<ServiceName, ServiceControl>,
    agreed: Arc<Agreed>,
    version: Version,
    started: Timestamp,
    last_round: Timestamp,
    woke: Timestamp,
    next_heartbeat: Timestamp,
    next_renew: Timestamp,
    next_survey: Timestamp,
    recorded: BTreeSet<NodeId>,
    alive: Vec<NodeId>,
    /// A new configuration needs the members' parts of its servers.
    is_reconfigured: bool,
    /// The carriers of services were found anew and are not published yet.
    is_regrouped: bool,
    /// The peers' entries, and whether each takes requests, for which the carriers were last published.
    reached: Vec<(NodeId, SocketAddr, bool)>,
    next_publish: Timestamp,
    proposed: HashMap<ServiceName, Timestamp>,
    reported_left: HashMap<NodeId, Timestamp>,
    vm_seen: HashMap<IpAddr, Timestamp>,
    vm_last: Option<Timestamp>,
    cold: HashMap<ServerAddr, Timestamp>,
    lost: BTreeSet<ServerAddr>,
}

impl Control {
    fn new(shared: Arc<Shared>) -> Self {
        let now = shared.clock.now();
        let settings = &shared.settings;
        let local = LocalNode {
            node: shared.id,
            addresses: NodeAddresses {
                entry: settings.entry_name(),
                data_centre: DataCentre(settings.data_centre.clone()),
            },
            state: NodeState::Starting,
            version: Version(0),
            term: 0,
            successor: None,
        };
        let options = MembershipOptions::default();
        let mut membership = Membership::new(now, options, local);
        membership.seed(settings.seeds.iter().copied());
        Control {
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            region: Region::from(LEADER_REGION),
            membership,
            drain: Drain::new(now, DrainOptions::default(), shared.id),
            services: BTreeMap::new(),
            agreed: Arc::default(),
            version: Version(0),
            started: now,
            last_round: now,
            woke: now,
            next_heartbeat: now,
            next_renew: now,
            next_survey: now,
            recorded: BTreeSet::new(),
            alive: Vec::new(),
            is_reconfigured: false,
            is_regrouped: false,
            reached: Vec::new(),
            next_publish: now,
            proposed: HashMap::new(),
            reported_left: HashMap::new(),
            vm_seen: HashMap::new(),
            vm_last: None,
            cold: HashMap::new(),
            lost: BTreeSet::new(),
            shared,
        }
    }

    /// Returns how long to wait for an event.
    fn pause(&self) -> Duration {
        let next = self.services.values().filter_map(ServiceControl::next_press).min();
        let now = self.shared.clock.now();
        next.map_or(TICK, |at| Duration::from_micros(at.since(now).as_micros()).min(TICK))
    }

    /// Takes all events, then does what is due.
    fn round(&mut self) {
        let now = self.shared.clock.now();
        if now.since(self.last_round) > PAUSE {
            log::warn!(millis = now.since(self.last_round).as_millis(); "the process was paused");
            self.woke = now;
        }
        self.last_round = now;
        while let Some(event) = self.shared.events.pop() {
            self.take(now, event);
        }
        self.follow(now);
        if now >= self.next_survey {
            self.next_survey = now + SURVEY;
            self.survey(now);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + MembershipOptions::default().interval;
            self.heartbeat(now);
        }
        if now >= self.next_renew {
            self.next_renew = now + RENEW;
            self.for_services(now, ServiceControl::tick);
        }
        self.for_services(now, ServiceControl::press);
    }

    fn take(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Datagram(datagram) => self.receive(now, *datagram),
            Event::VmList(entries) => {
                self.vm_last = Some(now);
                self.vm_seen.extend(entries.iter().map(|e| (e.ip, now)));
                let leaving = entries.iter().filter(|e| e.leaving).map(|e| e.ip);
                self.drain.vm_list(now, leaving);
                self.membership.vm_list(now, &entries);
            }
            Event::Draining(server) => self.drain.header(now, server),
            Event::Probed(server, draining) => self.drain.probed(now, server, draining),
            Event::Successor(successor) => self.membership.local().successor = Some(successor),
        }
    }

    fn receive(&mut self, now: Timestamp, datagram: Datagram) {
        match datagram {
            Datagram::Heartbeat(h) => match heartbeat::Heartbeat::try_from(*h) {
                Ok(heartbeat) => {
                    self.membership.heard(now, &heartbeat);
                    self.drain.heard(now, &heartbeat.drains);
                }
                Err(e) => log::debug!("{e}"),
            },
            Datagram::Evidence(evidence) => self.evidence(now, &evidence),
            Datagram::Announcement(a) => {
                let Ok(a) = redwingtrestle_core::process::ejections::Announcement::try_from(a)
                else {
                    return;
                };
                if let Some(service) = self.services.get_mut(&a.service) {
                    service.accept(now, &a);
                }
            }
            Datagram::SlotLease(lease) => {
                let name = ServiceName(lease.service.clone());
                let (me, version) = (self.shared.id, self.version.0);
                if let Some(service) = self.services.get_mut(&name) {
                    // Positions of another version would name other servers.
                    if lease.version == version {
                        let lease = lease.to_lease(me, service.servers());
                        service.accept_lease(now, &lease);
                    }
                }
            }
        }
    }

    fn evidence(&mut self, now: Timestamp, evidence: &peer::Evidence) {
        let same = evidence.version == self.version.0;
        for e in &evidence.services {
            let name = ServiceName(e.service.clone());
            let Some(service) = self.services.get_mut(&name) else { continue };
            let servers = same.then(|| service.servers().to_vec());
            let interval = e.to_interval(evidence.node, evidence.sent, servers.as_deref());
            match servers {
                Some(servers) => {
                    let report = e.to_report(evidence.node, evidence.sent, &servers);
                    service.observe(now, &interval, &report);
                }
                None => service.acknowledge(now, &interval),
            }
        }
    }

    /// Follows what the log thread has agreed since the last round.
    fn follow(&mut self, now: Timestamp) {
        let agreed = self.shared.agreed.load_full();
        if Arc::ptr_eq(&agreed, &self.agreed) {
            return;
        }
        let old = self.agreed.state.clone();
        self.agreed = agreed;
        let Some(state) = self.agreed.state.clone() else { return };
        if old.is_none_or(|old| !Arc::ptr_eq(&old, &state)) {
            if state.version > self.version {
                self.configure(now, &state);
            }
            self.membership.recorded(now, state.members.keys().copied());
            self.set_members(now, &state);
            self.publish_carriers();
            self.assign(now, &state);
        }
        let recorded = state.members.contains_key(&self.shared.id);
        if recorded && self.agreed.read_at.is_some_and(|at| at > self.woke) {
            for service in self.services.values_mut() {
                service.record_read(now);
            }
        }
    }

    fn configure(&mut self, now: Timestamp, state: &State) {
        let Some(spec) = &state.spec else { return };
        let gates = self.shared.gates.load();
        let first = self.version == Version(0);
        self.version = state.version;
        self.is_reconfigured = true;
        self.drain.configure(now, spec);
        let known: BTreeSet<ServerAddr> =
            self.services.values().flat_map(ServiceControl::servers).copied().collect();
        self.services.retain(|name, _| spec.services.contains_key(name));
        for (name, service) in &spec.services {
            let Some(gate) = gates.get(name) else { continue };
            let spec = Arc::new(service.clone());
            // Servers of the first configuration that a node reads may have run for long.
            let added = service.servers.iter().filter(|s| !first && !known.contains(&s.addr));
            for server in added {
                self.cold.insert(server.addr, now + service.cold_start);
                gate.set_cold(server.addr, now + service.cold_start);
            }
            match self.services.get_mut(name) {
                Some(control) => control.configure(self.version, spec, gate.clone()),
                None => {
                    let (me, policy) = (self.shared.id, self.shared.settings.policy);
                    let control = ServiceControl::new(
                        now,
                        me,
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
        self.set_states(now);
    }

    fn set_states(&mut self, now: Timestamp) {
        self.find_lost(now);
        self.cold.retain(|_, until| *until > now);
        let (drain, cold, lost) = (&self.drain, &self.cold, &self.lost);
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
            service.set_states(now, state);
        }
    }

    /// Finds the servers whose VMs have left the list of VMs, and those whose VMs are back.
    fn find_lost(&mut self, now: Timestamp) {
        let Some(last) = self.vm_last else { return };
        let gates = self.shared.gates.load();
        let active = self.shared.active.load();
        let Some(active) = &*active else { return };
        for (name, service) in &active.spec.services {
            for s in &service.servers {
                let Some(seen) = self.vm_seen.get(&s.addr.vm()) else { continue };
                let absent = last.since(*seen) >= SERVER_ABSENT;
                if absent {
                    self.lost.insert(s.addr);
                } else if self.lost.remove(&s.addr) {
                    let until = now + service.cold_start;
                    self.cold.insert(s.addr, until);
                    if let Some(gate) = gates.get(name) {
                        gate.set_cold(s.addr, until);
                    }
                }
            }
        }
    }

    fn set_members(&mut self, now: Timestamp, state: &State) {
        let me = self.shared.id;
        let members = state.members.keys().copied();
        let recorded: BTreeSet<NodeId> =
            members.filter(|node| !self.membership.is_gone(now, *node)).collect();
        let is_alive = |node: &NodeId| {
            *node == me || self.membership.member(node.addr).is_some_and(|m| m.node == *node)
        };
        let alive: Vec<NodeId> = recorded.iter().copied().filter(is_alive).collect();
        // The equal split and the connection shares of all servers take most of this thread's time.
        let changed = recorded != self.recorded || alive != self.alive;
        if !changed && !std::mem::take(&mut self.is_reconfigured) {
            return;
        }
        (self.recorded, self.alive) = (recorded, alive);
        let (recorded, alive) = (&self.recorded, &self.alive[..]);
        let context = Context { me, recorded, alive, membership: &self.membership };
        for service in self.services.values_mut() {
            service.set_members(now, &context);
        }
        self.is_regrouped = true;
    }

    /// Publishes the carriers of the services that not every member carries, then tells the gates.
    ///
    /// What a gate gives up is forwarded at once, so the way must be known before.
    fn publish_carriers(&mut self) {
        let entry = |m: &Member| Some((m.node, m.addresses.as_ref()?.entry, takes_callers(m)));
        let mut reached: Vec<_> = self.membership.members().filter_map(entry).collect();
        reached.sort_unstable();
        if reached == self.reached && !std::mem::take(&mut self.is_regrouped) {
            return;
        }
        self.reached = reached;
        let me = self.shared.id;
        let mut all = HashMap::new();
        for (name, service) in &self.services {
            let carriers = service.carriers();
            if carriers.len() >= self.recorded.len() && service.carries(&me) {
                continue;
            }
            let find = |node: &NodeId| {
                let at = self.reached.binary_search_by_key(node, |r| r.0).ok()?;
                Some((self.reached[at].1, self.reached[at].2))
            };
            let order = limits::preference(name, &me, carriers);
            let mut order: Vec<_> = order.iter().filter_map(find).collect();
            // Carriers that are leaving or suspect are the last ones to try.
            order.sort_by_key(|(_, takes)| !takes);
            let entries = order.into_iter().map(|(entry, _)| entry).collect();
            let carriers = Carriers { here: service.carries(&me), entries };
            all.insert(name.clone(), Arc::new(carriers));
        }
        self.shared.carriers.store(Arc::new(all));
        for service in self.services.values() {
            service.set_gate();
        }
    }

    /// Takes over the leaders that the log assigns.
    fn assign(&mut self, now: Timestamp, state: &State) {
        let (me, recorded, alive) = (self.shared.id, &self.recorded, &self.alive[..]);
        let context = Context { me, recorded, alive, membership: &self.membership };
        let mut named = BTreeSet::new();
        for (name, service) in &mut self.services {
            let assignment = state.leaders.get(&(name.clone(), self.region.clone())).copied();
            service.assign(now, assignment, &context);
            named.extend(assignment.map(|a| a.node.addr));
        }
        self.membership.set_leaders(named);
    }

    /// Looks at members, server states and leaders, and publishes what this thread knows.
    fn survey(&mut self, now: Timestamp) {
        for event in self.membership.tick(now) {
            log_member(event);
        }
        for DrainAction::Probe(server) in self.drain.tick(now) {
            let _ = self.shared.commands.try_push(Command::Probe(server));
        }
        self.set_states(now);
        if let Some(state) = self.agreed.state.clone() {
            self.set_members(now, &state);
            self.publish_carriers();
            self.report_left(now, &state);
            self.propose_leaders(now);
        }
        for service in self.services.values() {
            for server in service.offered(now) {
                self.drain.check_offer(now, server);
            }
        }
        self.serve_when_ready(now);
        let entries = self.entries();
        // Callers that are told of an entry may send this node keys of it at once, so the view that says
        // where keys are answered is published first.
        if now >= self.next_publish || entries != **self.shared.entries.load() {
            self.next_publish = now + PUBLISH;
            self.publish(now);
        }
        self.shared.entries.store(Arc::new(entries));
    }

    /// Returns the nodes that duties may be given to: recorded, serving, heard both ways; or this one.
    fn eligible(&self, now: Timestamp) -> Vec<NodeId> {
        let me = self.shared.id;
        let serving = |node: &NodeId| match self.membership.member(node.addr) {
            _ if *node == me => self.shared.node_state() == NodeState::Serving,
            Some(m) => m.state == NodeState::Serving && self.membership.usable(now, *node),
            None => false,
        };
        self.alive.iter().copied().filter(serving).collect()
    }

    /// Proposes this node as leader where no carrier is one and this node is the first choice.
    fn propose_leaders(&mut self, now: Timestamp) {
        if !self.agreed.log_up || now.since(self.started) < FIRST_LEADER {
            return;
        }
        let mut held = BTreeMap::new();
        let mut vacant = BTreeMap::new();
        for (name, service) in &self.services {
            match service.assignment() {
                Some(a) if service.carries(&a.node) && self.keeps_duty(a) => {
                    *held.entry(a.node).or_default() += 1;
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
            &held,
            &self.eligible(now),
            carries,
        );
        for (name, _) in chosen.into_iter().filter(|(_, node)| *node == self.shared.id) {
            let again = self.proposed.get(name).is_none_or(|at| now.since(*at) >= PROPOSE_AGAIN);
            if !again {
                continue;
            }
            self.proposed.insert(name.clone(), now);
            let record = Record::LeaderAssigned {
                service: name.clone(),
                region: self.region.clone(),
                node: self.shared.id,
                base_term: vacant[name],
            };
            let _ = self.shared.commands.try_push(Command::Append(record));
        }
    }

    /// Returns whether a leader is still there.
    ///
    /// A leader that only this node cannot hear keeps its duty: others report it as alive, and a new
    /// one could not pass its fence while the cut lasts.
    fn keeps_duty(&self, assignment: Assignment) -> bool {
        let node = assignment.node;
        if node == self.shared.id {
            return self.shared.node_state() != NodeState::Leaving;
        }
        let member = self.membership.member(node.addr);
        member.is_some_and(|m| m.node == node && m.state != NodeState::Leaving)
    }

    /// Records that members are gone, if this node is the first choice for that.
    fn report_left(&mut self, now: Timestamp, state: &State) {
        let eligible = self.eligible(now);
        let first = eligible.iter().copied().max_by_key(|n| rendezvous(b"members", *n));
        if first != Some(self.shared.id) || !self.agreed.log_up {
            return;
        }
        for node in state.members.keys().copied() {
            let again =
                self.reported_left.get(&node).is_none_or(|at| now.since(*at) >= PROPOSE_AGAIN);
            if again && self.membership.is_gone(now, node) {
                self.reported_left.insert(node, now);
                let _ = self.shared.commands.try_push(Command::Append(Record::MemberLeft { node }));
            }
        }
        self.reported_left.retain(|node, _| state.members.contains_key(node));
    }

    fn heartbeat(&mut self, now: Timestamp) {
        let state = self.shared.node_state();
        let term = self.agreed.state.as_ref().map_or(0, |s| highest_term(s));
        let local = self.membership.local();
        local.state = state;
        local.version = self.version;
        local.term = term;
        let drains = self.drain.notices(now, MAX_DRAINS);
        for to in self.membership.targets(now, &mut self.rng) {
            let heartbeat = self.membership.heartbeat(now, to, drains.clone());
            self.send(to, &Datagram::Heartbeat(Box::new((&heartbeat).into())));
        }
        self.shared.peers.store(Arc::new(self.membership.peers(now)));
    }

    /// Lets each service do its work and sends what comes of it.
    fn for_services(
        &mut self,
        now: Timestamp,
        work: fn(&mut ServiceControl, Timestamp, &Context<'_>) -> Vec<Output>,
    ) {
        let (me, recorded, alive) = (self.shared.id, &self.recorded, &self.alive[..]);
        let context = Context { me, recorded, alive, membership: &self.membership };
        let mut evidence: BTreeMap<NodeId, Vec<ServiceEvidence>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for (name, service) in &mut self.services {
            for output in work(service, now, &context) {
                match output {
                    Output::Evidence(leader, report) => {
                        let (interval, slots): &(Interval, DemandReport) = &report;
                        let wire = ServiceEvidence::new(interval, slots, service.servers());
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

    /// Sends evidence in one datagram if it fits, else in one for each service.
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
            Err(e) => log::error!("{e}"),
        }
    }

    /// Lets a starting node serve once its configuration is the highest known, it holds slots, and it knows
    /// the way to the services that it does not carry.
    fn serve_when_ready(&self, now: Timestamp) {
        let slots = self.services.values().all(|s| s.has_slots(now));
        // Carriers that are down must not keep a node from serving other services.
        let routed = now.since(self.started) >= MembershipOptions::default().lost
            || self.shared.carriers.load().values().all(|c| c.here || !c.entries.is_empty());
        if self.agreed.is_current
            && slots
            && routed
            && !self.shared.ready.swap(true, Ordering::SeqCst)
        {
            log::info!(version = self.version.0; "node serves");
        }
    }

    /// Returns the entries for callers, this node's first while it serves.
    fn entries(&self) -> Vec<SocketAddr> {
        let me = self.shared.settings.entry_name();
        let serving = self.shared.node_state() == NodeState::Serving;
        let others = self.membership.members().filter(|m| takes_callers(m));
        let others = others.filter_map(|m| m.addresses.as_ref().map(|i| i.entry));
        serving.then_some(me).into_iter().chain(others).collect()
    }

    /// Publishes what this thread knows, for forwarding and for operators.
    fn publish(&self, now: Timestamp) {
        let members: Vec<MemberView> = self
            .membership
            .members()
            .map(|m| {
                let (heard, hears_us) = self.membership.link(now, m.node.addr);
                let usable = self.membership.usable(now, m.node);
                MemberView { member: m.clone(), usable, heard, hears_us }
            })
            .collect();
        let known = members.iter().filter_map(|m| m.member.addresses.as_ref().map(|i| i.entry));
        self.shared.known_entries.store(Some(Arc::new(known.collect())));
        let usable: Vec<NodeId> =
            members.iter().filter(|m| m.usable).map(|m| m.member.node).collect();
        metrics::gauge!("redwing_peers_usable").set(usable.len() as f64);
        let view = ControlView {
            at: now,
            usable,
            homes: self.homes(&members),
            members,
            services: self.services.iter().map(|(n, s)| (n.clone(), s.published(now))).collect(),
            leaving: self.drain.sources(now).collect(),
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Returns where the keys of each known process are answered.
    fn homes(&self, members: &[MemberView]) -> HashMap<StartId, SocketAddr> {
        let mut homes = HashMap::from([(self.shared.id.start, self.shared.settings.entry_name())]);
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

fn highest_term(state: &State) -> u64 {
    state.leaders.values().map(|a| a.term).max().unwrap_or(0)
}

fn log_member(event: MemberEvent) {
    match event {
        MemberEvent::Joined(node) => log::info!(node:% = node; "peer joined"),
        MemberEvent::Suspect(node) => log::info!(node:% = node; "peer is suspect"),
        MemberEvent::Recovered(node) => log::info!(node:% = node; "peer is heard again"),
        MemberEvent::Lost(node) => log::warn!(node:% = node; "peer is lost"),
        MemberEvent::Replaced { old, new } => {
            log::info!(old:% = old, new:% = new; "peer was replaced");
        }
        MemberEvent::OneWay(node) => {
            log::warn!(node:% = node; "the link to a peer is cut in one direction");
        }
    }
}
