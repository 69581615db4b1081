//! A fleet on virtual time: nodes with `Admission`, one leader with `LeaseAllocator`, and servers.

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

/// How nodes learn the slots that they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub(crate) enum Policy {
    /// Leases by the leader.
    Credits,
    /// Every node uses every slot.
    Independent,
    /// Every node uses a fixed part.
    EqualSplit,
}

/// One stream of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) rank: u8,
    pub(crate) first_workspace: u64,
    pub(crate) workspaces: u64,
    /// Requests per second over the whole fleet.
    pub(crate) rate: f64,
    /// Mean service time, exponentially distributed.
    pub(crate) service: Span,
    pub(crate) deadline: Span,
    pub(crate) target: Span,
}

/// What became of the requests of one load that arrived between warm-up and cool-down.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) answered: u64,
    pub(crate) in_target: u64,
    pub(crate) refused: u64,
    pub(crate) busy_us: u64,
    pub(crate) latencies: Vec<u64>,
}

impl Tally {
    /// Latency quantile of answered requests in milliseconds.
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
    pub(crate) loads: Vec<Tally>,
    /// The highest ratio of requests in flight to slots at one server.
    pub(crate) peak_overcommit: f64,
    /// The mean requests in flight above slots, over total slots.
    pub(crate) overcommit: f64,
    /// The mean share of slots that are idle while some node has queued requests.
    pub(crate) idle_queued: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    pub(crate) shares: Vec<u32>,
    pub(crate) policy: Policy,
    /// The part of all requests that goes to the first quarter of the nodes.
    pub(crate) skew: f64,
    /// How many callers stay with one random node each; 0 sends each request to a node by itself.
    pub(crate) callers: usize,
    /// Whether service times are constant.
    pub(crate) is_steady: bool,
    /// The most time between the arrival of a message and its handling, as nodes work in rounds.
    pub(crate) round: Span,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) options: AdmissionOptions,
}

impl Fleet {
    /// The seconds in which arrivals are counted.
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
            policy: Policy::Credits,
            skew: 0.25,
            callers: 0,
            is_steady: false,
            round: Span::ZERO,
            seconds: 26,
            seed: 7,
            options: AdmissionOptions::default(),
        }
    }
}

enum Event {
    Arrival(usize),
    Finish(usize, AdmissionTicket),
    Wake,
    LeaderTick,
    AtLeader(DemandReport),
    AtNode(usize, SlotLease),
}

struct Request {
    load: usize,
    arrived: u64,
    service: u64,
}

/// Requests that arrive before this time are not counted: leases start up.
pub(crate) const WARM_UP_US: u64 = 2_000_000;
/// Requests that arrive in the last part of a run are not counted: they may not be answered yet.
pub(crate) const COOL_DOWN_US: u64 = 4_000_000;
const ONE_WAY_US: u64 = 1_000;

pub(crate) fn server(i: usize) -> ServerAddr {
    ServerAddr(([127, 0, 1, i as u8], 9000).into())
}

pub(crate) fn node(i: usize) -> NodeId {
    let addr = ([127, 0, (i / 250) as u8, (i % 250) as u8], 7000).into();
    NodeId { addr, start: StartId(i as u64 + 1) }
}

/// Runs the loads and returns what was measured.
pub(crate) fn run(fleet: &Fleet, loads: &[Load]) -> Stats {
    Run::new(fleet, loads).go()
}

struct Run<'a> {
    fleet: &'a Fleet,
    loads: &'a [Load],
    rng: ChaCha8Rng,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    order: u64,
    now: u64,
    admissions: Vec<Admission>,
    holders: Vec<LeaseHolder>,
    usable: Vec<Vec<(ServerAddr, u32)>>,
    allocator: LeaseAllocator,
    requests: HashMap<AdmissionTicket, Request>,
    sent_to: HashMap<AdmissionTicket, ServerAddr>,
    at_server: HashMap<ServerAddr, u32>,
    at_node: Vec<HashMap<ServerAddr, u32>>,
    ticket: u64,
    /// The node of each caller.
    homes: Vec<usize>,
    stats: Stats,
}

impl<'a> Run<'a> {
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
        let homes = (0..fleet.callers).map(|_| rng.random_range(0..fleet.nodes)).collect();
        Run {
            fleet,
            loads,
            homes,
            rng,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            order: 0,
            now: 0,
            admissions: (0..fleet.nodes).map(admission).collect(),
            holders: ids.iter().map(holder).collect(),
            usable: vec![Vec::new(); fleet.nodes],
            allocator,
            requests: HashMap::new(),
            sent_to: HashMap::new(),
            at_server: HashMap::new(),
            at_node: vec![HashMap::new(); fleet.nodes],
            ticket: 0,
            stats: Stats { loads: vec![Tally::default(); loads.len()], ..Stats::default() },
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((time, self.order)));
        self.events.insert(self.order, event);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let u: f64 = self.rng.random_range(1e-9..1.0);
        (-u.ln() * mean) as u64
    }

    fn go(mut self) -> Stats {
        for i in 0..self.loads.len() {
            self.at(0, Event::Arrival(i));
        }
        self.at(0, Event::Wake);
        self.at(100_000, Event::LeaderTick);
        let end = self.fleet.seconds * 1_000_000;
        let slots = f64::from(self.fleet.slots) * self.fleet.servers as f64;
        let (mut over, mut idle) = (0.0, 0.0);
        while let Some(Reverse((time, id))) = self.heap.pop() {
            if time > end {
                break;
            }
            if self.now >= WARM_UP_US {
                let elapsed = (time - self.now) as f64;
                let most = self.fleet.slots;
                let busy: u32 = self.at_server.values().map(|&n| n.min(most)).sum();
                let above: u32 = self.at_server.values().map(|&n| n.saturating_sub(most)).sum();
                over += f64::from(above) * elapsed;
                if self.admissions.iter().any(|a| a.queued().iter().any(|&q| q > 0)) {
                    idle += (slots - f64::from(busy)) * elapsed;
                }
            }
            self.now = time;
            let event = self.events.remove(&id).expect("each event runs once");
            self.handle(event);
        }
        let whole = (end - WARM_UP_US) as f64 * slots;
        self.stats.overcommit = over / whole;
        self.stats.idle_queued = idle / whole;
        self.stats
    }

    fn handle(&mut self, event: Event) {
        let now = Timestamp::from_micros(self.now);
        match event {
            Event::Arrival(i) => {
                let load = self.loads[i];
                let gap = self.exponential(1e6 / load.rate);
                self.at(self.now + gap, Event::Arrival(i));
                let n = self.arrival_node();
                self.ticket += 1;
                let ticket = AdmissionTicket(self.ticket);
                let mean = load.service.as_micros();
                let service =
                    if self.fleet.is_steady { mean } else { self.exponential(mean as f64) };
                self.requests.insert(ticket, Request { load: i, arrived: self.now, service });
                if self.counts(self.now) {
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
            Event::Finish(n, ticket) => {
                let request = self.requests.remove(&ticket).expect("a request ends once");
                let addr = self.sent_to.remove(&ticket).expect("it was sent");
                *self.at_server.get_mut(&addr).expect("counted") -= 1;
                *self.at_node[n].get_mut(&addr).expect("counted") -= 1;
                let load = self.loads[request.load];
                if self.counts(request.arrived) {
                    let took = self.now - request.arrived;
                    let tally = &mut self.stats.loads[request.load];
                    tally.answered += 1;
                    tally.in_target += u64::from(took <= load.target.as_micros());
                    tally.busy_us += request.service;
                    tally.latencies.push(took);
                }
                self.admissions[n].release(now, ticket);
                self.poll(n);
            }
            Event::Wake => {
                for n in 0..self.fleet.nodes {
                    self.update(n);
                    self.poll(n);
                }
                self.at(self.now + 5_000, Event::Wake);
            }
            Event::AtLeader(report) => {
                self.allocator.report(now, &report);
                self.at(self.allocator.next_tick().as_micros().max(self.now), Event::LeaderTick);
            }
            Event::LeaderTick => {
                if now >= self.allocator.next_tick() {
                    self.leader();
                    self.at(self.allocator.next_tick().as_micros(), Event::LeaderTick);
                }
            }
            Event::AtNode(n, lease) => {
                self.holders[n].accept(now, &lease);
                self.update(n);
                self.poll(n);
            }
        }
    }

    fn one_way(&mut self) -> u64 {
        match self.fleet.round.as_micros() {
            0 => ONE_WAY_US,
            round => ONE_WAY_US + self.rng.random_range(0..round),
        }
    }

    fn counts(&self, arrived: u64) -> bool {
        arrived >= WARM_UP_US && arrived + COOL_DOWN_US < self.fleet.seconds * 1_000_000
    }

    fn arrival_node(&mut self) -> usize {
        if !self.homes.is_empty() {
            return self.homes[self.rng.random_range(0..self.homes.len())];
        }
        let hot = (self.fleet.nodes / 4).max(1);
        if hot == self.fleet.nodes || self.rng.random_bool(self.fleet.skew) {
            self.rng.random_range(0..hot)
        } else {
            self.rng.random_range(hot..self.fleet.nodes)
        }
    }

    fn leader(&mut self) {
        for lease in self.allocator.tick(Timestamp::from_micros(self.now)) {
            let n = (0..self.fleet.nodes).find(|&i| node(i) == lease.node).expect("a member");
            let arrives = self.now + self.one_way();
            self.at(arrives, Event::AtNode(n, lease));
        }
    }

    fn demand(&self, n: usize) -> (Vec<u32>, Vec<(ServerAddr, u32)>) {
        let (queued, busy) = (self.admissions[n].queued(), self.admissions[n].in_flight());
        let demand = queued.iter().zip(busy).map(|(q, b)| q + b).collect();
        (demand, self.at_node[n].iter().map(|(&s, &c)| (s, c)).collect())
    }

    fn report(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        let (demand, in_flight) = self.demand(n);
        let report = self.holders[n].report(now, demand, &in_flight);
        let arrives = self.now + self.one_way();
        self.at(arrives, Event::AtLeader(report));
    }

    fn update(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        let slots = match self.fleet.policy {
            Policy::Credits => self.holders[n].slots(now),
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
        if self.fleet.policy == Policy::Credits {
            let shares = self.holders[n].shares(now).unwrap_or(&self.fleet.shares);
            self.admissions[n].set_shares(now, shares);
        }
        if slots == self.usable[n] {
            return;
        }
        let list: Vec<ServerSlots> = slots
            .iter()
            .map(|&(server, slots)| ServerSlots {
                server,
                slots,
                weight: FULL_WEIGHT,
                state: ServerMode::Serving,
            })
            .collect();
        self.admissions[n].set_servers(now, &list);
        self.usable[n] = slots;
    }

    fn poll(&mut self, n: usize) {
        for action in self.admissions[n].poll(Timestamp::from_micros(self.now)) {
            match action {
                Action::Dispatch { ticket, server } => {
                    let count = self.at_server.entry(server).or_default();
                    *count += 1;
                    *self.at_node[n].entry(server).or_default() += 1;
                    // A server that runs more than its slots slows down in proportion.
                    let ratio = f64::from(*count) / f64::from(self.fleet.slots);
                    if self.now >= WARM_UP_US {
                        self.stats.peak_overcommit = self.stats.peak_overcommit.max(ratio);
                    }
                    let service = self.requests[&ticket].service as f64 * ratio.max(1.0);
                    self.sent_to.insert(ticket, server);
                    self.at(self.now + service as u64, Event::Finish(n, ticket));
                }
                Action::Refuse { ticket, .. } => {
                    let request = self.requests.remove(&ticket).expect("refused once");
                    if self.counts(request.arrived) {
                        self.stats.loads[request.load].refused += 1;
                    }
                }
            }
        }
        let (demand, in_flight) = self.demand(n);
        let now = Timestamp::from_micros(self.now);
        if self.fleet.policy == Policy::Credits && self.holders[n].is_due(now, &demand, &in_flight)
        {
            self.report(n);
        }
    }
}
