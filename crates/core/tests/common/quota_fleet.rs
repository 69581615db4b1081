//! A simulated fleet that keeps the quota of one workspace, on virtual time.

use rand::{
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
    Rng, SeedableRng,
};
use redwingtrestle_core::{
    process::{
        server_limit::NodeCounts,
        workspace_quota::{QuotaDecision, QuotaLevel, QuotaOptions, QuotaReport, WorkspaceQuotas},
    },
    time::{Span, Timestamp},
    version::routing_config::Quota,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// One step of virtual time, in ms.
const STEP_MS: u64 = 10;

/// The time between two ticks of a node, in ms.
const TICK_MS: u64 = 100;

/// The nodes of the own data centre that get a report.
const FAN_OUT: usize = 48;

/// How long nodes take to notice that others are silent or back, in ms.
const NOTICE_MS: u64 = 1_000;

/// The bytes of a datagram beside its rows, with the headers of IP and UDP.
const HEAD_BYTES: usize = 36;

/// The bytes of a row: its tag and two counts.
const ROW_BYTES: usize = 7 + 2 + 2;

/// The workspace.
pub(crate) const TAG: u64 = 7;

/// The allowed excess: the share and the number of requests.
pub(crate) const OPTIONS: QuotaOptions = QuotaOptions { over: 0.1, slack: 20.0 };

/// The window in which requests are counted, in ms.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Describes a fleet and the quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) zones: usize,
    pub(crate) quota: Quota,
    /// The shortest and the longest time until a message between nodes arrives, in ms.
    pub(crate) delay_ms: (u64, u64),
    /// The share of messages between nodes that are lost.
    pub(crate) loss: f64,
}

/// Requests of one time that were let through, refused, and refused although the nominal bucket had a token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepCounts {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) wrongly_refused: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Report { from: usize, number: u32, report: QuotaReport, scale: f64, relay: bool },
    Levels(Vec<QuotaLevel>),
}

#[derive(Debug)]
struct Node {
    quotas: WorkspaceQuotas,
    /// The part of the fleet that this node can reach, and the one that the nodes know of.
    side: usize,
    known_side: usize,
    tick_at: u64,
}

/// The fleet and its requests.
#[derive(Debug)]
pub(crate) struct QuotaFleet {
    plan: Plan,
    now_ms: u64,
    nodes: Vec<Node>,
    /// The share of the load of each node.
    weights: Vec<f64>,
    load: f64,
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    /// The changes of what nodes know of each other.
    notices: BTreeMap<u64, usize>,
    rng: StdRng,
    nominal: f64,
    pub(crate) steps: Vec<StepCounts>,
    pub(crate) bytes: usize,
}

impl QuotaFleet {
    /// Starts a fleet that has run for a while without load.
    pub(crate) fn start(plan: Plan) -> Self {
        let mut fleet = QuotaFleet {
            plan,
            now_ms: 0,
            nodes: Vec::new(),
            weights: vec![1.0; plan.nodes],
            load: 0.0,
            messages: BTreeMap::new(),
            notices: BTreeMap::new(),
            rng: StdRng::seed_from_u64(plan.seed),
            nominal: plan.quota.burst,
            steps: Vec::new(),
            bytes: 0,
        };
        for _ in 0..plan.nodes {
            let node = fleet.new_node();
            fleet.nodes.push(node);
        }
        fleet.tell_counts();
        fleet.now_ms = 10_000;
        fleet.nodes.iter_mut().for_each(|node| node.tick_at += 10_000);
        fleet
    }

    fn new_node(&mut self) -> Node {
        let now = at(self.now_ms);
        let mut quotas = WorkspaceQuotas::new(now, OPTIONS);
        quotas.set_quotas(now, HashMap::from([(TAG, self.plan.quota)]));
        Node {
            quotas,
            side: 0,
            known_side: 0,
            tick_at: self.now_ms + self.rng.random_range(0..TICK_MS),
        }
    }

    /// Returns the number of nodes.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Sets the load as a multiple of the quota's rate.
    pub(crate) fn set_load(&mut self, multiple: f64) {
        self.load = multiple * self.plan.quota.per_second;
    }

    /// Sets the share of the load of each node.
    pub(crate) fn set_weights(&mut self, weight: impl Fn(usize) -> f64) {
        self.weights = (0..self.nodes.len()).map(weight).collect();
    }

    /// Gives all nodes another quota within `spread_ms`.
    pub(crate) fn set_quota(&mut self, quota: Quota, spread_ms: u64) {
        self.plan.quota = quota;
        let end = self.now_ms + spread_ms;
        for node in 0..self.nodes.len() {
            let now = at(self.now_ms);
            self.nodes[node].quotas.set_quotas(now, HashMap::from([(TAG, quota)]));
            let left = (end - self.now_ms) as usize;
            let passed = left / (self.nodes.len() - node) / STEP_MS as usize * STEP_MS as usize;
            self.run(passed as u64);
        }
    }

    /// Puts nodes on another side of a cut.
    pub(crate) fn cut(&mut self, nodes: std::ops::Range<usize>, side: usize) {
        nodes.for_each(|node| self.nodes[node].side = side);
        self.notices.insert(self.now_ms + NOTICE_MS, 0);
    }

    /// Ends nodes for good. The others notice it, and know them for longer than a case takes.
    pub(crate) fn kill(&mut self, nodes: std::ops::Range<usize>) {
        for node in nodes.clone() {
            self.weights[node] = 0.0;
        }
        self.cut(nodes, usize::MAX);
    }

    /// Starts the processes of these nodes again. Those that run tell them their levels.
    pub(crate) fn restart(&mut self, nodes: std::ops::Range<usize>) {
        let told: Vec<Vec<QuotaLevel>> = (0..self.nodes.len())
            .filter(|node| !nodes.contains(node))
            .map(|node| self.nodes[node].quotas.levels(at(self.now_ms)))
            .take(3)
            .collect();
        for node in nodes {
            self.nodes[node] = self.new_node();
            for levels in &told {
                self.deliver(node, Message::Levels(levels.clone()));
            }
        }
        self.notices.insert(self.now_ms + NOTICE_MS / 2, 0);
    }

    fn tell_counts(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.known_side = node.side);
        let sides: Vec<usize> = self.nodes.iter().map(|node| node.side).collect();
        for node in &mut self.nodes {
            let live = sides.iter().filter(|side| **side == node.side).count() as u32;
            let known = sides.len() as u32;
            node.quotas.set_nodes(at(self.now_ms), NodeCounts { live, known });
        }
    }

    /// Runs the fleet for `time_ms`.
    pub(crate) fn run(&mut self, time_ms: u64) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            if self.notices.remove(&self.now_ms).is_some() {
                self.tell_counts();
            }
            for (to, message) in self.messages.remove(&self.now_ms).unwrap_or_default() {
                self.receive(to, &message);
            }
            self.offer();
            for node in 0..self.nodes.len() {
                if self.nodes[node].tick_at <= self.now_ms {
                    self.nodes[node].tick_at += TICK_MS;
                    self.tick(node);
                }
            }
        }
    }

    /// Offers the requests of one step.
    fn offer(&mut self) {
        let quota = self.plan.quota;
        let seconds = STEP_MS as f64 / 1e3;
        self.nominal = (self.nominal + quota.per_second * seconds).min(quota.burst);
        let excess = bound(quota) - quota.per_second * WINDOW_MS as f64 / 1e3 - quota.burst;
        let mut counts = StepCounts::default();
        for _ in 0..poisson(self.load * seconds, &mut self.rng) {
            let node = pick(&self.weights, &mut self.rng);
            let draw = self.rng.random();
            match self.nodes[node].quotas.charge(at(self.now_ms), TAG, draw) {
                QuotaDecision::Refused { .. } => {
                    counts.refused += 1;
                    if self.nominal >= 1.0 {
                        counts.wrongly_refused += 1;
                        self.nominal -= 1.0;
                    }
                }
                _ => {
                    counts.admitted += 1;
                    self.nominal = (self.nominal - 1.0).max(-excess);
                }
            }
        }
        self.steps.push(counts);
    }

    fn tick(&mut self, node: usize) {
        let now = at(self.now_ms);
        self.nodes[node].quotas.tick(now);
        let due = self.nodes[node].quotas.take_reports(now);
        let zones = self.plan.zones;
        let side = self.nodes[node].known_side;
        let live = |other: &usize| self.nodes[*other].known_side == side;
        let in_zone = |zone| (zone..self.nodes.len()).step_by(zones).filter(live);
        let mut near: Vec<usize> = in_zone(node % zones).filter(|other| *other != node).collect();
        let others = (0..zones).filter(|zone| *zone != node % zones);
        let relays: Vec<Vec<usize>> = others.map(|zone| in_zone(zone).collect()).collect();
        let count = near.len();
        let chosen = near.partial_shuffle(&mut self.rng, FAN_OUT).0.to_vec();
        let scale = (count as f64 / chosen.len().max(1) as f64).max(1.0);
        let number = due.number;
        for report in due.near {
            for to in &chosen {
                self.send(
                    node,
                    *to,
                    Message::Report { from: node, number, report, scale, relay: false },
                );
            }
        }
        for report in due.far {
            for zone in &relays {
                let Some(to) = zone.choose(&mut self.rng) else { continue };
                self.send(
                    node,
                    *to,
                    Message::Report { from: node, number, report, scale: 1.0, relay: true },
                );
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.bytes += HEAD_BYTES + ROW_BYTES;
        let is_lost = self.rng.random::<f64>() < self.plan.loss;
        if is_lost || self.nodes[from].side != self.nodes[to].side {
            return;
        }
        self.deliver(to, message);
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let (least, most) = self.plan.delay_ms;
        let delay = self.rng.random_range(least..=most) / STEP_MS * STEP_MS;
        self.messages.entry(self.now_ms + delay.max(STEP_MS)).or_default().push((to, message));
    }

    fn receive(&mut self, to: usize, message: &Message) {
        let (now, quotas) = (at(self.now_ms), &mut self.nodes[to].quotas);
        match message {
            Message::Report { from, number, report, scale, relay } => {
                if !relay {
                    let from = SocketAddr::from(([10, 0, 0, 1], *from as u16));
                    quotas.record_number(now, from, *number, *scale);
                }
                quotas.record_report(now, report, *scale, *relay);
            }
            Message::Levels(levels) => {
                levels.iter().for_each(|level| quotas.adopt_level(now, level));
            }
        }
    }

    /// Returns the most requests that were let through in one window.
    pub(crate) fn most_in_window(&self) -> u64 {
        let length = (WINDOW_MS / STEP_MS) as usize;
        let sum = |window: &[StepCounts]| window.iter().map(|step| step.admitted).sum();
        self.steps.windows(length.min(self.steps.len())).map(sum).max().unwrap_or(0)
    }

    /// Returns the sums of all steps.
    pub(crate) fn totals(&self) -> StepCounts {
        self.steps.iter().fold(StepCounts::default(), |sum, step| StepCounts {
            admitted: sum.admitted + step.admitted,
            refused: sum.refused + step.refused,
            wrongly_refused: sum.wrongly_refused + step.wrongly_refused,
        })
    }

    /// Returns the bytes that each node sent per second.
    pub(crate) fn bytes_per_second(&self) -> f64 {
        let seconds = self.steps.len() as f64 * STEP_MS as f64 / 1e3;
        self.bytes as f64 / seconds / self.nodes.len() as f64
    }
}

/// Returns the most requests that may be let through in one window.
pub(crate) fn bound(quota: Quota) -> f64 {
    let nominal = quota.per_second * WINDOW_MS as f64 / 1e3 + quota.burst;
    nominal * (1.0 + OPTIONS.over) + OPTIONS.slack
}

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(ms)
}

/// Draws the number of requests of a step.
fn poisson(mean: f64, rng: &mut StdRng) -> u64 {
    let mut left = rng.random::<f64>();
    let mut term = (-mean).exp();
    let mut count = 0;
    while left > term && count < 10_000 {
        left -= term;
        count += 1;
        term *= mean / count as f64;
    }
    count
}

fn pick(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (node, weight) in weights.iter().enumerate() {
        if point < *weight {
            return node;
        }
        point -= weight;
    }
    weights.iter().rposition(|weight| *weight > 0.0).unwrap_or(0)
}
