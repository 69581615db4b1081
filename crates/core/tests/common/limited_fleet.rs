//! A simulated fleet whose nodes choose servers that name limits, on virtual time.

use super::servers::{self, at, id, offset};
use rand::{rngs::StdRng, Rng, SeedableRng};
use redwingtrestle_core::{
    process::{
        picker::{pick, PickRequest, PickerOptions},
        registration::RegistrationState,
        server_limit::{LimitReport, NodeCounts},
        server_registry::{RegistryOptions, ServerRegistry},
        start_marks::ServerStart,
        tracked_server::ServerReport,
    },
    time::Span,
};
use std::collections::BTreeMap;

/// One step of virtual time, in ms.
const STEP_MS: u64 = 10;

/// The time between two reports of a node, in ms.
const REPORT_MS: u64 = 250;

/// How long a server works on a request, in ms.
const WORK_MS: u64 = 400;

/// Describes a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) servers: u8,
    /// How many of the servers name a limit.
    pub(crate) limited: u8,
    /// Requests per second of the whole fleet.
    pub(crate) load: f64,
    /// The longest time until a message between nodes arrives, in ms.
    pub(crate) delay_ms: u64,
    /// The share of messages between nodes that are lost.
    pub(crate) loss: f64,
}

#[derive(Debug)]
struct Node {
    registry: ServerRegistry,
    /// Whether messages between this node and the others are lost.
    is_cut: bool,
}

#[derive(Debug)]
enum Event {
    Response { node: usize, server: u8 },
    Report { node: usize, from: u64, report: ServerReport },
    Limit { node: usize, report: LimitReport },
}

/// The fleet, and the requests that each server got.
#[derive(Debug)]
pub(crate) struct LimitedFleet {
    plan: Plan,
    now_ms: u64,
    limit: Option<f64>,
    nodes: Vec<Node>,
    events: BTreeMap<u64, Vec<Event>>,
    rng: StdRng,
    /// The times at which each server got a request, in ms.
    pub(crate) arrivals: Vec<Vec<u64>>,
    /// Requests for which no server was found.
    pub(crate) refused: u64,
}

impl LimitedFleet {
    /// Starts a fleet whose limited servers name `limit` requests per second.
    pub(crate) fn start(plan: Plan, limit: f64) -> Self {
        let nodes = (0..plan.nodes).map(|_| new_node(&plan)).collect();
        let mut fleet = LimitedFleet {
            plan,
            now_ms: 0,
            limit: Some(limit),
            nodes,
            events: BTreeMap::new(),
            rng: StdRng::seed_from_u64(plan.seed),
            arrivals: vec![Vec::new(); usize::from(plan.servers)],
            refused: 0,
        };
        fleet.update_counts();
        fleet
    }

    /// Lets the limited servers name another limit from now on, or none.
    pub(crate) fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Sets the requests per second of the whole fleet.
    pub(crate) fn set_load(&mut self, load: f64) {
        self.plan.load = load;
    }

    /// Replaces a node by one that knows nothing of the limits.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node] = new_node(&self.plan);
        self.update_counts();
    }

    /// Cuts a node off from the other nodes, but not from the servers.
    pub(crate) fn cut(&mut self, node: usize) {
        self.nodes[node].is_cut = true;
        self.update_counts();
    }

    /// Adds a node.
    pub(crate) fn add(&mut self) {
        self.nodes.push(new_node(&self.plan));
        self.update_counts();
    }

    /// Lets `millis` of virtual time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.deliver();
            let mean = self.plan.load * STEP_MS as f64 / 1e3;
            let mut count = mean.floor() as u64;
            count += u64::from(self.rng.random::<f64>() < mean.fract());
            for _ in 0..count {
                self.request();
            }
            self.send_reports();
        }
    }

    /// Returns the most requests that one server got in a window of 4 s from `from_ms` on.
    pub(crate) fn most_in_window(&self, server: u8, from_ms: u64) -> usize {
        let arrivals = &self.arrivals[usize::from(server)];
        let times: Vec<u64> = arrivals.iter().copied().filter(|at| *at >= from_ms).collect();
        let in_window = |from: u64| {
            let window = from..from + 4_000;
            times.iter().filter(|at| window.contains(at)).count()
        };
        times.iter().map(|from| in_window(*from)).max().unwrap_or(0)
    }

    /// Returns the requests that one server got from `from_ms` on.
    pub(crate) fn received(&self, server: u8, from_ms: u64) -> usize {
        self.arrivals[usize::from(server)].iter().filter(|at| **at >= from_ms).count()
    }

    fn update_counts(&mut self) {
        let known = self.nodes.len() as u32;
        let live = self.nodes.iter().filter(|node| !node.is_cut).count() as u32;
        let now = at(self.now_ms);
        for node in &mut self.nodes {
            let live = if node.is_cut { 1 } else { live };
            node.registry.set_nodes(now, NodeCounts { live, known });
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        let request = PickRequest {
            service: &"orders".into(),
            target: Span::from_secs(4),
            zone: &"a".into(),
            failure_loss: 1.0,
            bytes: 0.0,
            tried: &[],
            max_in_flight: u32::MAX,
            max_response_time: None,
        };
        let now = at(self.now_ms);
        let options = PickerOptions::default();
        let registry = &mut self.nodes[node].registry;
        let Some(choice) = pick(&options, registry, now, &request, &mut self.rng) else {
            self.refused += 1;
            return;
        };
        registry.record_send(now, &choice.id);
        let server = (0..self.plan.servers).find(|n| id(*n) == choice.id).expect("a known server");
        self.arrivals[usize::from(server)].push(self.now_ms);
        self.push(WORK_MS, Event::Response { node, server });
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.events.entry(self.now_ms + delay_ms).or_default().push(event);
    }

    fn deliver(&mut self) {
        let later = self.events.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.events, later);
        let now = at(self.now_ms);
        for event in due.into_values().flatten() {
            match event {
                Event::Response { node, server } => {
                    let named = self.limit.filter(|_| server < self.plan.limited);
                    let start = ServerStart::from(&registration(server));
                    let draw = self.rng.random();
                    let registry = &mut self.nodes[node].registry;
                    registry.record_end(&id(server));
                    registry.observe_limit(now, &start, named, draw);
                }
                Event::Report { node, from, report } => {
                    self.nodes[node].registry.add_peer_report(now, from, &report);
                }
                Event::Limit { node, report } => {
                    let draw = self.rng.random();
                    self.nodes[node].registry.add_limit_report(now, &report, draw);
                }
            }
        }
    }

    /// Sends the reports of the nodes whose turn it is.
    fn send_reports(&mut self) {
        let turns = REPORT_MS / STEP_MS;
        for node in 0..self.nodes.len() {
            if !(self.now_ms / STEP_MS + node as u64).is_multiple_of(turns) {
                continue;
            }
            let registry = &mut self.nodes[node].registry;
            let reports = registry.take_reports();
            let limit_reports = registry.take_limit_reports(at(self.now_ms));
            for to in 0..self.nodes.len() {
                let is_cut = self.nodes[node].is_cut || self.nodes[to].is_cut;
                if to == node || is_cut || self.rng.random::<f64>() < self.plan.loss {
                    continue;
                }
                let delay_ms = self.rng.random_range(0..=self.plan.delay_ms);
                for report in &reports {
                    let (from, report) = (node as u64, *report);
                    self.push(delay_ms, Event::Report { node: to, from, report });
                }
                for report in &limit_reports {
                    self.push(delay_ms, Event::Limit { node: to, report: *report });
                }
            }
        }
    }
}

fn registration(server: u8) -> redwingtrestle_core::process::registration::Registration {
    servers::registration(server, RegistrationState::Ready, 1, 1)
}

fn new_node(plan: &Plan) -> Node {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    for server in 0..plan.servers {
        let position = offset(u64::from(server));
        registry.apply_record(at(0), &id(server), position, Some(registration(server)));
    }
    Node { registry, is_cut: false }
}
