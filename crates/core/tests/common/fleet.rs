//! A simulated fleet on virtual time: nodes with `Admission`, one leader with `LeaseAllocator`, and servers.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{NodeId, RankIndex, ServerAddr, StartId},
    process::{
        admission::{
            Action, Admission, AdmissionOptions, AdmissionRequest, AdmissionTicket, ServerMode,
            ServerSlots,
        },
        balancer::FULL_WEIGHT,
        slot_leases::{
            equal_split, DemandReport, LeaseAllocator, LeaseHolder, LeaseOptions, SlotLease,
        },
    },
    time::{Span, Timestamp},
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// How the slots that a node may use are determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub(crate) enum Policy {
    /// The leader leases slots to nodes by their demand.
    SlotLeases,
    /// Every node uses every slot, without coordination.
    Independent,
    /// Every node uses a fixed equal part of the slots.
    EqualSplit,
}

/// One stream of requests of a rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) rank: u8,
    pub(crate) first_workspace: u64,
    pub(crate) workspaces: u64,
    /// Requests per second in the whole fleet.
    pub(crate) rate: f64,
    /// Mean service time, exponentially distributed.
    pub(crate) service: Span,
    pub(crate) deadline: Span,
    pub(crate) target: Span,
}

/// Results of the requests of one load that arrived between warm-up and cool-down.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadStats {
    pub(crate) offered: u64,
    pub(crate) completed: u64,
    pub(crate) in_target: u64,
    pub(crate) refused: u64,
    pub(crate) busy_us: u64,
    pub(crate) latencies: Vec<u64>,
}

impl LoadStats {
    /// Returns a latency quantile of the completed requests in milliseconds.
    #[allow(dead_code)]
    pub(crate) fn quantile(&self, q: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(at).map_or(0.0, |&us| us as f64 / 1e3)
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    pub(crate) loads: Vec<LoadStats>,
    /// Highest ratio of requests in flight to slots at any server.
    pub(crate) peak_overcommit: f64,
    /// Mean number of requests in flight above the servers' slots, as a share of all slots.
    pub(crate) overcommit: f64,
    /// Mean share of slots that are idle while some node has queued requests.
    pub(crate) idle_queued: f64,
}

/// Size and behaviour of a simulated fleet.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) shares: Vec<u32>,
    pub(crate) policy: Policy,
    /// Share of all requests that go to the first quarter of the nodes.
    pub(crate) skew: f64,
    /// Number of callers that each keep to one random node; 0 chooses a node for every request.
    pub(crate) callers: usize,
    /// Uses the mean service time for every request.
    pub(crate) constant_service: bool,
    /// Longest delay between the arrival of a message and its handling: nodes handle messages in rounds.
    pub(crate) max_handling_delay: Span,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) options: AdmissionOptions,
}

impl Fleet {
    /// Returns the length in seconds of the period whose arrivals are counted.
    #[allow(dead_code)]
    pub(crate) fn counted(&self) -> f64 {
        self.seconds as f64 - (WARM_UP_US + COOL_DOWN_US) as f64 / 1e6
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            nodes: 16,
            servers: 20,
            slots: 6,
            shares: vec![50, 30, 20],
            policy: Policy::SlotLeases,
            skew: 0.25,
            callers: 0,
            constant_service: false,
            max_handling_delay: Span::ZERO,
            seconds: 26,
            seed: 7,
            options: AdmissionOptions::default(),
        }
    }
}

enum Event {
    Arrival(usize),
    RequestEnds(usize, AdmissionTicket),
    Poll,
    LeaderTick,
    ReportArrives(DemandReport),
    LeaseArrives(usize, SlotLease),
}

struct Request {
    load: usize,
    arrived: u64,
    service: u64,
}

/// Requests that arrive before this time are not counted, as the first leases are not allocated yet.
pub(crate) const WARM_UP_US: u64 = 2_000_000;
/// Requests that arrive in this last part of a run are not counted, as they may not have a response yet.
pub(crate) const COOL_DOWN_US: u64 = 4_000_000;
const ONE_WAY_US: u64 = 1_000;

pub(crate) fn server(i: usize) -> ServerAddr {
    ServerAddr(([127, 0, 1, i as u8], 9000).into())
}

pub(crate) fn node(i: usize) -> NodeId {
    let addr = ([127, 0, (i / 250) as u8, (i % 250) as u8], 7000).into();
    NodeId { addr, start: StartId(i as u64 + 1) }
}

/// Simulates the fleet under these loads and returns the results.
pub(crate) fn run(fleet: &Fleet, loads: &[Load]) -> Stats {
    Simulation::new(fleet, loads).run()
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    loads: &'a [Load],
    rng: ChaCha8Rng,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    now: u64,
    admissions: Vec<Admission>,
    holders: Vec<LeaseHolder>,
    usable_slots: Vec<Vec<(ServerAddr, u32)>>,
    allocator: LeaseAllocator,
    requests: HashMap<AdmissionTicket, Request>,
    dispatched_to: HashMap<AdmissionTicket, ServerAddr>,
    in_flight_at_server: HashMap<ServerAddr, u32>,
    in_flight_at_node: Vec<HashMap<ServerAddr, u32>>,
    ticket: u64,
    /// The node that each caller keeps to.
    caller_nodes: Vec<usize>,
    stats: Stats,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, loads: &'a [Load]) -> Self {
        let options = LeaseOptions::default();
        let ids: Vec<NodeId> = (0..fleet.nodes).map(node).collect();
        let servers: Vec<_> = (0..fleet.servers).map(|i| (server(i), fleet.slots)).collect();
        let mut allocator = LeaseAllocator::new(Timestamp::ZERO, options, 1, &fleet.shares);
        allocator.set_servers(&servers);
        allocator.set_members(Timestamp::ZERO, &ids);
        let holder = |&id: &NodeId| {
            let mut holder = LeaseHolder::new(Timestamp::ZERO, options, id);
            holder.set_members(&ids, &servers);
            holder
        };
        let admission = |i| {
            let options = AdmissionOptions { seed: fleet.seed + i as u64, ..fleet.options };
            Admission::new(options, &fleet.shares)
        };
        let mut rng = ChaCha8Rng::seed_from_u64(fleet.seed);
        let caller_nodes = (0..fleet.callers).map(|_| rng.random_range(0..fleet.nodes)).collect();
        Simulation {
            fleet,
            loads,
            caller_nodes,
            rng,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            now: 0,
            admissions: (0..fleet.nodes).map(admission).collect(),
            holders: ids.iter().map(holder).collect(),
            usable_slots: vec![Vec::new(); fleet.nodes],
            allocator,
            requests: HashMap::new(),
            dispatched_to: HashMap::new(),
            in_flight_at_server: HashMap::new(),
            in_flight_at_node: vec![HashMap::new(); fleet.nodes],
            ticket: 0,
            stats: Stats { loads: vec![LoadStats::default(); loads.len()], ..Stats::default() },
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.heap.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let u: f64 = self.rng.random_range(1e-9..1.0);
        (-u.ln() * mean) as u64
    }

    fn run(mut self) -> Stats {
        for i in 0..self.loads.len() {
            self.schedule(0, Event::Arrival(i));
        }
        self.schedule(0, Event::Poll);
        self.schedule(100_000, Event::LeaderTick);
        let end = self.fleet.seconds * 1_000_000;
        let slots = f64::from(self.fleet.slots) * self.fleet.servers as f64;
        let (mut overcommit, mut idle_queued) = (0.0, 0.0);
        while let Some(Reverse((time, id))) = self.heap.pop() {
            if time > end {
                break;
            }
            if self.now >= WARM_UP_US {
                let elapsed = (time - self.now) as f64;
                let most = self.fleet.slots;
                let busy: u32 = self.in_flight_at_server.values().map(|&n| n.min(most)).sum();
                let above: u32 =
                    self.in_flight_at_server.values().map(|&n| n.saturating_sub(most)).sum();
                overcommit += f64::from(above) * elapsed;
                if self.admissions.iter().any(|a| a.queued().iter().any(|&q| q > 0)) {
                    idle_queued += (slots - f64::from(busy)) * elapsed;
                }
            }
            self.now = time;
            let event = self.events.remove(&id).expect("each event runs once");
            self.handle(event);
        }
        let slot_micros = (end - WARM_UP_US) as f64 * slots;
        self.stats.overcommit = overcommit / slot_micros;
        self.stats.idle_queued = idle_queued / slot_micros;
        self.stats
    }

    fn handle(&mut self, event: Event) {
        let now = Timestamp::from_micros(self.now);
        match event {
            Event::Arrival(i) => {
                let load = self.loads[i];
                let gap = self.exponential(1e6 / load.rate);
                self.schedule(self.now + gap, Event::Arrival(i));
                let n = self.pick_arrival_node();
                self.ticket += 1;
                let ticket = AdmissionTicket(self.ticket);
                let mean = load.service.as_micros();
                let service =
                    if self.fleet.constant_service { mean } else { self.exponential(mean as f64) };
                self.requests.insert(ticket, Request { load: i, arrived: self.now, service });
                if self.is_counted(self.now) {
                    self.stats.loads[i].offered += 1;
                }
                let workspace = load.first_workspace + self.rng.random_range(0..load.workspaces);
                let request = AdmissionRequest {
                    ticket,
                    rank: RankIndex(load.rank),
                    workspace,
                    deadline: now + load.deadline,
                    idempotent: false,
                };
                self.admissions[n].submit(now, request);
                self.poll(n);
            }
            Event::RequestEnds(n, ticket) => {
                let request = self.requests.remove(&ticket).expect("a request ends once");
                let addr = self.dispatched_to.remove(&ticket).expect("it was dispatched");
                *self.in_flight_at_server.get_mut(&addr).expect("counted") -= 1;
                *self.in_flight_at_node[n].get_mut(&addr).expect("counted") -= 1;
                let load = self.loads[request.load];
                if self.is_counted(request.arrived) {
                    let took = self.now - request.arrived;
                    let load_stats = &mut self.stats.loads[request.load];
                    load_stats.completed += 1;
                    load_stats.in_target += u64::from(took <= load.target.as_micros());
                    load_stats.busy_us += request.service;
                    load_stats.latencies.push(took);
                }
                self.admissions[n].release(now, ticket);
                self.poll(n);
            }
            Event::Poll => {
                for n in 0..self.fleet.nodes {
                    self.update_slots(n);
                    self.poll(n);
                }
                self.schedule(self.now + 5_000, Event::Poll);
            }
            Event::ReportArrives(report) => {
                self.allocator.report(now, &report);
                self.schedule(
                    self.allocator.next_tick().as_micros().max(self.now),
                    Event::LeaderTick,
                );
            }
            Event::LeaderTick => {
                if now >= self.allocator.next_tick() {
                    self.tick_leader();
                    self.schedule(self.allocator.next_tick().as_micros(), Event::LeaderTick);
                }
            }
            Event::LeaseArrives(n, lease) => {
                self.holders[n].accept(now, &lease);
                self.update_slots(n);
                self.poll(n);
            }
        }
    }

    fn message_delay(&mut self) -> u64 {
        match self.fleet.max_handling_delay.as_micros() {
            0 => ONE_WAY_US,
            max_handling_delay => ONE_WAY_US + self.rng.random_range(0..max_handling_delay),
        }
    }

    fn is_counted(&self, arrived: u64) -> bool {
        arrived >= WARM_UP_US && arrived + COOL_DOWN_US < self.fleet.seconds * 1_000_000
    }

    fn pick_arrival_node(&mut self) -> usize {
        if !self.caller_nodes.is_empty() {
            return self.caller_nodes[self.rng.random_range(0..self.caller_nodes.len())];
        }
        let hot = (self.fleet.nodes / 4).max(1);
        if hot == self.fleet.nodes || self.rng.random_bool(self.fleet.skew) {
            self.rng.random_range(0..hot)
        } else {
            self.rng.random_range(hot..self.fleet.nodes)
        }
    }

    fn tick_leader(&mut self) {
        for lease in self.allocator.tick(Timestamp::from_micros(self.now)) {
            let n = (0..self.fleet.nodes)
                .find(|&i| node(i) == lease.node)
                .expect("the lease is for a node of the fleet");
            let arrives = self.now + self.message_delay();
            self.schedule(arrives, Event::LeaseArrives(n, lease));
        }
    }

    fn demand(&self, n: usize) -> (Vec<u32>, Vec<(ServerAddr, u32)>) {
        let (queued, busy) = (self.admissions[n].queued(), self.admissions[n].in_flight());
        let demand = queued.iter().zip(busy).map(|(q, b)| q + b).collect();
        (demand, self.in_flight_at_node[n].iter().map(|(&s, &c)| (s, c)).collect())
    }

    fn send_report(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        let (demand, in_flight) = self.demand(n);
        let report = self.holders[n].report(now, demand, &in_flight);
        let arrives = self.now + self.message_delay();
        self.schedule(arrives, Event::ReportArrives(report));
    }

    fn update_slots(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        let slots = match self.fleet.policy {
            Policy::SlotLeases => self.holders[n].slots(now),
            Policy::Independent => {
                (0..self.fleet.servers).map(|i| (server(i), self.fleet.slots)).collect()
            }
            Policy::EqualSplit => {
                let ids: Vec<NodeId> = (0..self.fleet.nodes).map(node).collect();
                let servers: Vec<_> =
                    (0..self.fleet.servers).map(|i| (server(i), self.fleet.slots)).collect();
                equal_split(&servers, &ids[n], &ids)
            }
        };
        if self.fleet.policy == Policy::SlotLeases {
            let shares = self.holders[n].shares(now).unwrap_or(&self.fleet.shares);
            self.admissions[n].set_shares(now, shares);
        }
        if slots == self.usable_slots[n] {
            return;
        }
        let list: Vec<ServerSlots> = slots
            .iter()
            .map(|&(server, slots)| ServerSlots {
                server,
                slots,
                weight: FULL_WEIGHT,
                mode: ServerMode::Serving,
            })
            .collect();
        self.admissions[n].set_servers(now, &list);
        self.usable_slots[n] = slots;
    }

    fn poll(&mut self, n: usize) {
        for action in self.admissions[n].poll(Timestamp::from_micros(self.now)) {
            match action {
                Action::Dispatch { ticket, server } => {
                    let count = self.in_flight_at_server.entry(server).or_default();
                    *count += 1;
                    *self.in_flight_at_node[n].entry(server).or_default() += 1;
                    // A server that runs more than its slots slows down in proportion.
                    let ratio = f64::from(*count) / f64::from(self.fleet.slots);
                    if self.now >= WARM_UP_US {
                        self.stats.peak_overcommit = self.stats.peak_overcommit.max(ratio);
                    }
                    let service = self.requests[&ticket].service as f64 * ratio.max(1.0);
                    self.dispatched_to.insert(ticket, server);
                    self.schedule(self.now + service as u64, Event::RequestEnds(n, ticket));
                }
                Action::Refuse { ticket, .. } => {
                    let request = self.requests.remove(&ticket).expect("refused once");
                    if self.is_counted(request.arrived) {
                        self.stats.loads[request.load].refused += 1;
                    }
                }
            }
        }
        let (demand, in_flight) = self.demand(n);
        let now = Timestamp::from_micros(self.now);
        if self.fleet.policy == Policy::SlotLeases
            && self.holders[n].is_due(now, &demand, &in_flight)
        {
            self.send_report(n);
        }
    }
}
