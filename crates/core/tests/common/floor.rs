//! A simulation of several nodes and leaders on virtual time. After each node's turn it checks that the
//! ejections of all nodes together keep the floor.

use quickcheck::{Arbitrary, Gen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{NodeId, ServerAddr, ServiceName, StartId},
    process::{
        detector,
        ejections::{self, Announcement, Ejections, ServerState, ServerView, Term, Usage, View},
        evidence::{EvidenceCounts, EvidenceReport},
        readmission,
        service_leader::{self, Action, LeaderState, ServiceLeader},
    },
    time::{Span, Timestamp},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

pub(crate) const STEP_MS: u64 = 20;
/// Every node that may still apply an ejection has learnt of changes older than this, in ms.
const VIEW_WINDOW_MS: u64 = 3_400;
/// A VM counts as gone after it is off the VM list and silent for this long, in ms.
const GONE_AFTER_MS: u64 = 10_000;
/// Marks a server fault that all nodes see.
const ALL_NODES: u64 = 2;

pub(crate) fn addr(i: usize) -> ServerAddr {
    ServerAddr(([127, 0, 0, 1], 9000 + i as u16).into())
}

/// One fault or change of the simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Event {
    Wait(u64),
    Pause(u8),
    /// Pauses the node and drops its VM from the VM list, until `Resume`.
    PauseAndDrop(u8),
    Resume,
    Crash(u8),
    Join,
    /// Replaces the node by a new process at the same address, with a new clock.
    Restart(u8),
    CutLink(u8, u8),
    /// Cuts the nodes whose start number modulo 8 is in a bit mask off from the others and from the log.
    /// An odd second number also pauses them and drops their VMs from the VM list.
    Partition(u8, u8),
    /// Cuts a node that leads no service off in both directions and drops it from the VM list.
    IsolateAndDrop(u8),
    Heal,
    SetServerState(u8, u8),
    /// Makes a server fail, as seen by all nodes or by every second one.
    Fail(u8, u8),
    SetFloor(u8),
    /// Removes an ejected server from the configuration, or brings a removed one back.
    ToggleServer(u8),
    LogDown,
    LogUp,
    /// Delays a node's next read of the log.
    DelayLogRead(u8, u8),
    AssignLeader(u8),
    /// Makes a node that has not received the leader's ejections the next leader while other servers fail.
    UninformedTakeover(u8),
    /// Sets the shares of lost and of delayed datagrams.
    SetLinkFaults(u8, u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 64 {
            0..=26 => Event::Wait(u64::from(a) * 16 + 20),
            27 => Event::UninformedTakeover(a),
            28 => Event::Pause(a),
            29 => Event::PauseAndDrop(a),
            30..=32 => Event::Resume,
            33 => Event::Crash(a),
            34 => Event::Restart(a),
            35 | 36 => Event::Join,
            37 => Event::CutLink(a, b),
            38 | 39 => Event::Partition(a, b),
            40 => Event::IsolateAndDrop(a),
            41..=43 => Event::Heal,
            44 => Event::SetServerState(a, b),
            45..=54 => Event::Fail(a, b),
            55 => Event::SetFloor(a),
            56 => Event::ToggleServer(a),
            57 => Event::LogDown,
            58..=60 => Event::LogUp,
            61 => Event::DelayLogRead(a, b),
            62 => Event::AssignLeader(a),
            _ => Event::SetLinkFaults(a, b),
        }
    }
}

impl Event {
    /// Returns an outage of some nodes during which another node becomes leader while ejections are in force.
    ///
    /// Independent events rarely occur in this order: 400,000 steps of them detected neither a leader that
    /// frees budget without acknowledgements nor a woken node that does not read the log again.
    pub(crate) fn outage(g: &mut Gen) -> Vec<Event> {
        use Event::*;
        let mut any = || u8::arbitrary(g);
        let (x, y, frozen) = (any(), any(), any() % 2);
        // One half of the nodes sees the first two servers fail, the other half two more.
        let (one, other) = [(10, 14), (14, 10)][usize::from(any()) % 2];
        let mut events =
            vec![Heal, Resume, LogUp, SetLinkFaults(0, 0), SetFloor(any()), Wait(4_000)];
        events.extend([Fail(x, 2), Fail(y, 2), Wait(2_000)]);
        let side = [0x55, 0xaa, any()][usize::from(any()) % 3];
        events.extend([Partition(side, frozen), AssignLeader(any()), Wait(u64::from(any()) * 4)]);
        events.extend([Fail(x, one), Fail(y, one), Fail(any(), other), Fail(any(), other)]);
        events.extend([Wait(14_000 + u64::from(any()) * 16), Resume, Wait(2_000), Heal]);
        events
    }
}

#[derive(Clone, Copy, Debug)]
enum Record {
    Joined(NodeId),
    Left(NodeId),
    Leader(NodeId),
    /// The floor, and a bit mask of the servers that the configuration leaves out.
    Config(u32, u8),
}

#[derive(Clone, Debug)]
enum Message {
    Evidence(EvidenceReport),
    Announcement(Announcement),
    Heartbeat(Term),
}

struct Node {
    id: NodeId,
    /// Offset of the node's clock from virtual time in ms, modulo 2^64.
    skew: u64,
    paused: bool,
    /// The time at which the VM list dropped the node; `None` while it is listed.
    dropped: Option<u64>,
    log_offset: usize,
    /// Time of the next log read; `u64::MAX` while the node is cut off from the log.
    next_read: u64,
    recorded: BTreeSet<NodeId>,
    terms: BTreeMap<Term, NodeId>,
    view: View,
    ejections: Ejections,
    leader: Option<ServiceLeader>,
    last_heard: BTreeMap<NodeId, u64>,
    counts: BTreeMap<ServerAddr, EvidenceCounts>,
}

impl Node {
    fn clock(&self, ms: u64) -> Timestamp {
        Timestamp::from_micros(ms.wrapping_add(self.skew) * 1_000)
    }
}

pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    pub(crate) ms: u64,
    nodes: Vec<Node>,
    /// Log records with the times at which they were appended.
    log: Vec<(u64, Record)>,
    log_up: bool,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Messages in transit: arrival time, sender, receiver, content and time of sending.
    messages: Vec<(u64, NodeId, SocketAddr, Message, u64)>,
    /// Slots of each server.
    server_slots: Vec<u32>,
    server_states: Vec<(ServerState, u64)>,
    /// Share of bad outcomes of each server, and the nodes that see them: `ALL_NODES`, or those whose start
    /// number is even (0) or odd (1).
    failing: Vec<(f64, u64)>,
    loss: f64,
    delay: f64,
    starts: u64,
    /// Time, lowest floor of any view, and a bit for each server that is up in some view.
    view_history: VecDeque<(u64, u32, u8)>,
    pub(crate) ejections: u64,
    pub(crate) takeovers: u64,
    pub(crate) activations: u64,
    pub(crate) max_ejected: usize,
}

/// Returns re-admission options ten times as quick as the defaults, which fit more ejections into a run.
fn quick_readmission() -> readmission::Options {
    readmission::Options {
        hold_off: Span::from_millis(500),
        max_hold_off: Span::from_secs(4),
        repeat_window: Span::from_secs(5),
        required_good: 4,
        slow_start: Span::from_secs(1),
    }
}

fn leader_options() -> service_leader::Options {
    service_leader::Options {
        readmission: quick_readmission(),
        detector: detector::Options {
            false_alarm_interval: Span::from_secs(3600),
            ..detector::Options::default()
        },
        ..service_leader::Options::default()
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, server_slots: &[u32]) -> Self {
        let servers = server_slots.len();
        let mut sim = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ms: 0,
            nodes: Vec::new(),
            log: vec![(0, Record::Config(server_slots.iter().sum::<u32>() * 4 / 6, 0))],
            log_up: true,
            cuts: BTreeSet::new(),
            messages: Vec::new(),
            server_slots: server_slots.to_vec(),
            server_states: vec![(ServerState::Up, 0); servers],
            failing: vec![(0.0, ALL_NODES); servers],
            loss: 0.05,
            delay: 0.02,
            starts: 0,
            view_history: VecDeque::new(),
            ejections: 0,
            takeovers: 0,
            activations: 0,
            max_ejected: 0,
        };
        for _ in 0..4 {
            sim.start_process(None);
        }
        sim.assign_leader(0);
        sim
    }

    fn service() -> ServiceName {
        ServiceName::from("orders")
    }

    /// Starts a process, at the address of an earlier process if one is given.
    fn start_process(&mut self, at: Option<SocketAddr>) {
        if self.nodes.len() >= 6 {
            return;
        }
        self.starts += 1;
        let fresh = ([127, 0, 1, self.starts as u8], 7000).into();
        let id = NodeId { addr: at.unwrap_or(fresh), start: StartId(self.starts) };
        let view = self.view(self.server_slots.iter().sum(), 0);
        let options = ejections::Options { readmission: quick_readmission(), ..Default::default() };
        let random = self.rng.random_range(0..1_000_000_000);
        let skew = if at.is_some() { 0_u64.wrapping_sub(self.ms) } else { random };
        let now = Timestamp::from_micros(self.ms.wrapping_add(skew) * 1_000);
        self.nodes.push(Node {
            id,
            skew,
            paused: false,
            dropped: None,
            log_offset: 0,
            next_read: self.ms + self.rng.random_range(0..200),
            recorded: BTreeSet::new(),
            terms: BTreeMap::new(),
            view: view.clone(),
            ejections: Ejections::new(now, Self::service(), view, options),
            leader: None,
            last_heard: BTreeMap::new(),
            counts: BTreeMap::new(),
        });
        // A node that starts during a log outage is recorded when the log is back.
        if self.log_up {
            self.log.push((self.ms, Record::Joined(id)));
        }
    }

    fn view(&self, floor: u32, absent: u8) -> View {
        let present = |i: &usize| absent & (1 << i) == 0;
        let server =
            |i| (addr(i), ServerView { slots: self.server_slots[i], state: ServerState::Up });
        View { floor, servers: (0..self.server_slots.len()).filter(present).map(server).collect() }
    }

    /// Appends a leader assignment unless the VM list has dropped the node: docs/health.md assumes that
    /// no such node becomes leader.
    fn assign_leader(&mut self, which: u8) {
        let node = &self.nodes[usize::from(which) % self.nodes.len()];
        if self.log_up && node.dropped.is_none() {
            self.log.push((self.ms, Record::Leader(node.id)));
            self.takeovers += 1;
        }
    }

    /// Returns the last assigned leader and when its record was appended.
    fn last_assignment(&self) -> Option<(u64, NodeId)> {
        self.log.iter().rev().find_map(|(at, r)| match r {
            Record::Leader(id) => Some((*at, *id)),
            _ => None,
        })
    }

    /// Cuts the nodes of one side off from the others, in both directions.
    fn partition(&mut self, side: impl Fn(&Node) -> bool) {
        for a in &self.nodes {
            for b in &self.nodes {
                if side(a) != side(b) {
                    self.cuts.insert((a.id.addr, b.id.addr));
                }
            }
        }
    }

    /// Appends a changed configuration, its floor limited to the slots of its servers.
    fn append_config(&mut self, change: impl FnOnce(&mut u32, &mut u8)) {
        let last = self.log.iter().rev().find_map(|(_, r)| match r {
            Record::Config(floor, absent) => Some((*floor, *absent)),
            _ => None,
        });
        let (true, Some((mut floor, mut absent))) = (self.log_up, last) else { return };
        change(&mut floor, &mut absent);
        let floor = floor.min(self.slots(!absent));
        self.log.push((self.ms, Record::Config(floor, absent)));
    }

    /// Returns the total slots of the servers in a bit mask.
    fn slots(&self, mask: u8) -> u32 {
        self.server_slots
            .iter()
            .enumerate()
            .filter(|(i, _)| mask & (1 << i) != 0)
            .map(|(_, n)| n)
            .sum()
    }

    pub(crate) fn apply(&mut self, event: Event) {
        let n = self.nodes.len();
        let pick = |i: u8| usize::from(i) % n.max(1);
        match event {
            Event::Wait(ms) => {
                let end = self.ms + ms;
                while self.ms < end {
                    self.step();
                }
                return;
            }
            Event::Join => self.start_process(None),
            Event::Heal => {
                self.cuts.clear();
                for node in &mut self.nodes {
                    node.next_read = node.next_read.min(self.ms + 1_000);
                    node.dropped = node.dropped.filter(|_| node.paused);
                }
            }
            Event::SetServerState(i, state) => {
                let i = usize::from(i) % self.server_states.len();
                let state = match state % 6 {
                    0 => ServerState::Cold,
                    1 => ServerState::Draining,
                    2 => ServerState::Lost,
                    _ => ServerState::Up,
                };
                if self.server_states.iter().any(|s| s.0 != ServerState::Up) {
                    self.server_states = vec![(ServerState::Up, self.ms); self.server_slots.len()];
                }
                self.server_states[i] = (state, self.ms);
            }
            Event::Fail(i, how) => {
                // If more than a third of the servers failed at a node, it would count as a fault of the
                // whole service.
                let (n, how) = (self.server_slots.len(), usize::from(how));
                let (share, who) =
                    ([0.3, 0.5, 1.0, 1.0][how % 4], [ALL_NODES, ALL_NODES, 0, 1][how / 4 % 4]);
                let seen = |f: &(f64, u64)| {
                    f.0 > 0.0 && (f.1 == ALL_NODES || who == ALL_NODES || f.1 == who)
                };
                if self.failing.iter().filter(|f| seen(f)).count() >= n.div_ceil(3) {
                    self.failing.iter_mut().filter(|f| seen(f)).for_each(|f| f.0 = 0.0);
                }
                self.failing[usize::from(i) % n] = (share, who);
            }
            Event::SetFloor(f) => {
                let part = [1, 2, 3, 4, 4, 5, 6][usize::from(f) % 7];
                let all = self.server_slots.iter().sum::<u32>();
                self.append_config(|floor, _| *floor = all * part / 6);
            }
            Event::ToggleServer(i) => {
                let n = self.server_slots.len();
                let out = self.nodes.iter().flat_map(|n| n.ejections.ejected(n.clock(self.ms)));
                let out = out.min().map(|s| usize::from(s.0.port()) - 9000);
                let i = out.unwrap_or(usize::from(i) % n);
                self.append_config(|_, absent| {
                    *absent = if *absent == 0 && n > 1 { 1 << i } else { 0 }
                });
            }
            Event::LogDown => self.log_up = false,
            Event::LogUp => {
                self.log_up = true;
                for node in &self.nodes {
                    let id = node.id;
                    let known = |r: &(u64, Record)| matches!(r.1, Record::Joined(n) if n == id);
                    if !self.log.iter().any(known) {
                        self.log.push((self.ms, Record::Joined(id)));
                    }
                }
            }
            Event::UninformedTakeover(i) => return self.uninformed_takeover(i),
            Event::SetLinkFaults(loss, delay) => {
                self.loss = f64::from(loss % 4) * 0.1;
                self.delay = f64::from(delay % 4) * 0.1;
            }
            _ if n == 0 => {}
            Event::AssignLeader(i) => {
                // Only a node that reads the log can become leader.
                let reads =
                    |i: &usize| !self.nodes[*i].paused && self.nodes[*i].next_read < u64::MAX;
                let able: Vec<usize> = (0..n).filter(reads).collect();
                if let Some(i) = able.get(usize::from(i) % able.len().max(1)) {
                    self.assign_leader(*i as u8);
                }
            }
            Event::DelayLogRead(i, d) => {
                let node = &mut self.nodes[pick(i)];
                node.next_read = node.next_read.max(self.ms + u64::from(d) * 60);
            }
            Event::Pause(i) => self.nodes[pick(i)].paused = true,
            Event::PauseAndDrop(i) => {
                let i = pick(i);
                self.nodes[i].paused = true;
                self.nodes[i].dropped = Some(self.ms);
            }
            Event::Resume => {
                for node in self.nodes.iter_mut().filter(|n| n.paused) {
                    node.paused = false;
                    node.dropped = None;
                    let first = self.ms + self.rng.random_range(0..2_000);
                    node.next_read = node.next_read.max(first);
                }
            }
            Event::Crash(i) if n > 2 => {
                let gone = self.nodes.remove(pick(i));
                if self.log_up {
                    self.log.push((self.ms, Record::Left(gone.id)));
                }
            }
            Event::Restart(i) if self.nodes[pick(i)].dropped.is_none() => {
                let old = self.nodes.remove(pick(i));
                self.start_process(Some(old.id.addr));
                let new = self.nodes.last_mut().expect("just started");
                new.next_read = new.next_read.max(old.next_read);
            }
            Event::Partition(mask, how) => {
                let side = |n: &Node| mask & (1 << (n.id.start.0 % 8)) != 0;
                self.partition(side);
                for node in self.nodes.iter_mut().filter(|n| side(n)) {
                    node.next_read = u64::MAX;
                    if how % 2 == 1 {
                        node.paused = true;
                        node.dropped = Some(self.ms);
                    }
                }
            }
            Event::CutLink(a, b) => {
                let (a, b) = (self.nodes[pick(a)].id.addr, self.nodes[pick(b)].id.addr);
                if a != b {
                    self.cuts.insert((a, b));
                }
            }
            Event::IsolateAndDrop(i) => {
                let i = pick(i);
                // The design assumes that a VM that is off the list and silent is gone. A leader that is
                // wrongly off the list still reaches its own node, which breaks that assumption.
                if self.nodes[i].leader.is_none() {
                    self.nodes[i].dropped = Some(self.ms);
                    let id = self.nodes[i].id;
                    self.partition(|n| n.id == id);
                }
            }
            Event::Crash(_) | Event::Restart(_) => {}
        }
        self.step();
    }

    /// Runs a takeover by a node that is cut off from the old leader.
    ///
    /// Random events alone rarely occur in this order: they found a missing fence only after about 292,000
    /// steps.
    fn uninformed_takeover(&mut self, i: u8) {
        let Some((_, old)) = self.last_assignment() else { return };
        let others: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].id != old).collect();
        if others.is_empty() {
            return self.step();
        }
        let next = others[usize::from(i) % others.len()];
        let id = self.nodes[next].id;
        self.cuts.extend([(old.addr, id.addr), (id.addr, old.addr)]);
        let servers = self.server_slots.len();
        let first = usize::from(i) % 3 * 2;
        for pair in [0, 2] {
            self.failing = vec![(0.0, ALL_NODES); servers];
            for s in 0..servers.div_ceil(3) {
                self.failing[(first + pair + s) % servers] = (1.0, ALL_NODES);
            }
            let end = self.ms + 1_000;
            while self.ms < end && pair == 0 {
                self.step();
            }
        }
        self.assign_leader(next as u8);
        self.step();
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        // A datagram sent before the link was cut may arrive long after the cut.
        let (own, to) = (from == to, to.addr);
        if !own && (self.cuts.contains(&(from.addr, to)) || self.rng.random_bool(self.loss)) {
            return;
        }
        let delay = if own {
            0
        } else if self.rng.random_bool(self.delay) {
            self.rng.random_range(100..15_000)
        } else {
            self.rng.random_range(0..3 * STEP_MS)
        };
        self.messages.push((self.ms + delay, from, to, message, self.ms));
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let ms = self.ms;
        let mut order: Vec<usize> =
            (0..self.nodes.len()).filter(|i| !self.nodes[*i].paused).collect();
        // Nodes run in random order within a step.
        for i in (1..order.len()).rev() {
            order.swap(i, self.rng.random_range(0..=i));
        }
        for i in order {
            self.run_node(i);
            self.check_floor();
        }
        let live: BTreeSet<SocketAddr> = self.nodes.iter().map(|n| n.id.addr).collect();
        // The socket buffer of a paused node keeps the datagrams of a few seconds.
        self.messages.retain(|m| m.0 + 5_000 > ms && live.contains(&m.2));
    }

    /// Runs one turn of a node: its datagrams, the log read, its requests and its ticks.
    fn run_node(&mut self, i: usize) {
        let (ms, id) = (self.ms, self.nodes[i].id);
        let now = self.nodes[i].clock(ms);
        self.nodes[i].ejections.tick(now);
        self.read_view(i);
        let mut due = Vec::new();
        self.messages.retain(|m| {
            let take = m.0 <= ms && m.2 == id.addr;
            if take {
                due.push((m.1, m.3.clone(), m.4));
            }
            !take
        });
        for (from, message, sent) in due {
            let node = &mut self.nodes[i];
            // Membership goes by a peer's echoes, so a delayed datagram does not make the peer look alive.
            let last_heard = node.last_heard.entry(from).or_default();
            *last_heard = sent.max(*last_heard);
            match message {
                Message::Evidence(report) => {
                    if let Some(s) = &mut node.leader {
                        s.observe(now, &report);
                    }
                }
                Message::Announcement(a) => {
                    // The node may refuse the announcement; this is part of the behaviour under test.
                    let _ = node.ejections.accept(now, &a);
                    node.terms.entry(a.term).or_insert(from);
                }
                Message::Heartbeat(term) => {
                    node.ejections.learn_term(term);
                    if let Some(s) = &mut node.leader {
                        s.learn_term(term);
                    }
                }
            }
        }
        if self.log_up && ms >= self.nodes[i].next_read {
            self.nodes[i].next_read = ms + 200;
            self.read_log(i);
            // A node that has not heard the leader for 3 s may appoint itself; the random delay keeps nodes
            // from doing so at once.
            let last_heard = &self.nodes[i].last_heard;
            let silent = |n: NodeId| last_heard.get(&n).is_none_or(|at| ms - at > 3_000);
            let leader_silent = self
                .last_assignment()
                .is_some_and(|(at, n)| n != id && ms - at > 3_000 && silent(n));
            if leader_silent && self.rng.random_bool(0.1) {
                self.assign_leader(i as u8);
            }
        }
        self.draw_outcomes(i);
        self.send_reports(i);
        self.tick_leader(i);
    }

    /// Updates the node's view of the server states, each up to 1 s late.
    fn read_view(&mut self, i: usize) {
        let ms = self.ms;
        let node = &mut self.nodes[i];
        let mut view = node.view.clone();
        for (s, (state, since)) in self.server_states.iter().enumerate() {
            let late = (node.skew % 1_000 + s as u64 * 137) % 1_000;
            if ms >= since + late {
                if let Some(v) = view.servers.get_mut(&addr(s)) {
                    v.state = *state;
                }
            }
        }
        if view != node.view {
            Self::set_view(node, ms, view);
        }
    }

    fn set_view(node: &mut Node, ms: u64, view: View) {
        let now = node.clock(ms);
        node.ejections.set_view(now, view.clone());
        if let Some(s) = &mut node.leader {
            s.set_view(view.clone());
        }
        node.view = view;
    }

    fn read_log(&mut self, i: usize) {
        let (ms, from) = (self.ms, self.nodes[i].log_offset);
        let new = self.log[from..].to_vec();
        let now = self.nodes[i].clock(ms);
        let mut own_term = None;
        for (log_offset, (_, record)) in (from..).zip(new) {
            if let Record::Config(floor, absent) = record {
                let mut view = self.view(floor, absent);
                let node = &mut self.nodes[i];
                for (server, new) in &mut view.servers {
                    new.state = node.view.servers.get(server).map_or(new.state, |old| old.state);
                }
                Self::set_view(node, ms, view);
            }
            let node = &mut self.nodes[i];
            match record {
                Record::Joined(id) => {
                    node.recorded.insert(id);
                }
                Record::Left(id) => {
                    node.recorded.remove(&id);
                }
                Record::Leader(id) => {
                    let term = Term(log_offset as u64);
                    node.terms.insert(term, id);
                    if let Some(s) = &mut node.leader {
                        s.learn_term(term);
                    }
                    own_term = (id == node.id).then_some(term);
                }
                Record::Config(..) => {}
            }
        }
        let node = &mut self.nodes[i];
        node.log_offset = self.log.len();
        let highest = node.terms.keys().max().copied().unwrap_or_default();
        if node.recorded.contains(&node.id) {
            node.ejections.record_read(now, highest);
        }
        if let Some(term) = own_term {
            if term >= node.ejections.highest_term() {
                let carried = node.ejections.take_over(now, term);
                node.leader = Some(ServiceLeader::new(
                    now,
                    Self::service(),
                    term,
                    node.view.clone(),
                    node.recorded.clone(),
                    &carried,
                    leader_options(),
                ));
            }
        }
    }

    /// Draws the request outcomes of one step: about 72 requests/s for each server in use, over all nodes.
    fn draw_outcomes(&mut self, i: usize) {
        let (ms, n) = (self.ms, self.nodes.len() as f64);
        for (s, (failing, who)) in self.failing.iter().enumerate() {
            let node = &mut self.nodes[i];
            let share = match node.ejections.usage(node.clock(ms), addr(s)) {
                Usage::Closed => 0.0,
                Usage::Probation => 0.2,
                Usage::Weight(w) => f64::from(w) / 100.0,
            };
            for _ in 0..2 {
                if self.rng.random_bool(share * 0.72 / n) {
                    let seen = *who == ALL_NODES || node.id.start.0 % 2 == *who;
                    let bad = if seen { failing.max(0.002) } else { 0.002 };
                    let bad = u32::from(self.rng.random_bool(bad));
                    let c = node.counts.entry(addr(s)).or_default();
                    c.merge(&EvidenceCounts::new(1 - bad, bad, 0));
                    c.add_workspace(self.rng.random_range(0..8), bad);
                }
            }
        }
    }

    /// Sends the node's outcome counts to the leaders of the two newest terms that it knows, and heartbeats.
    fn send_reports(&mut self, i: usize) {
        let ms = self.ms;
        let peers: Vec<NodeId> = self.nodes.iter().map(|n| n.id).collect();
        let node = &mut self.nodes[i];
        let (id, now) = (node.id, node.clock(ms));
        if ms.is_multiple_of(100) {
            let counts: Vec<_> = std::mem::take(&mut node.counts).into_iter().collect();
            node.ejections.observe(now, &counts);
            let report = EvidenceReport {
                node: id,
                service: Self::service(),
                sent: now,
                highest_term: node.ejections.highest_term(),
                ack: node.ejections.ack(now),
                servers: counts,
            };
            let leaders: BTreeSet<NodeId> = node.terms.values().rev().take(2).copied().collect();
            for to in leaders {
                self.send(id, to, Message::Evidence(report.clone()));
            }
        }
        if ms.is_multiple_of(260) {
            let highest = self.nodes[i].ejections.highest_term();
            for to in peers.into_iter().filter(|p| *p != id) {
                self.send(id, to, Message::Heartbeat(highest));
            }
        }
    }

    fn tick_leader(&mut self, i: usize) {
        let ms = self.ms;
        let gone: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|n| n.dropped.is_some_and(|at| ms - at >= GONE_AFTER_MS))
            .map(|n| n.id)
            .collect();
        let live: Vec<NodeId> = self.nodes.iter().map(|n| n.id).collect();
        let node = &mut self.nodes[i];
        let now = node.clock(ms);
        let last_heard = &node.last_heard;
        let silent = |n: &NodeId| last_heard.get(n).is_none_or(|at| ms - at >= GONE_AFTER_MS);
        let replaced =
            |n: &NodeId| last_heard.keys().any(|h| h.addr == n.addr && h.start > n.start);
        let recorded = node
            .recorded
            .iter()
            .filter(|n| !(replaced(n) || silent(n) && (gone.contains(n) || !live.contains(n))))
            .copied()
            .collect();
        let Some(s) = &mut node.leader else { return };
        s.set_recorded(recorded);
        let before = s.state();
        let actions = s.tick(now);
        self.activations +=
            u64::from(before == LeaderState::Fencing && s.state() == LeaderState::Active);
        let id = node.id;
        for action in actions {
            match action {
                Action::Announce(to, a) => self.send(id, to, Message::Announcement(a)),
                Action::Ejected(_) => self.ejections += 1,
                _ => {}
            }
        }
    }

    fn check_floor(&mut self) {
        let (ms, servers) = (self.ms, self.server_slots.len());
        let floor = self.nodes.iter().map(|n| n.view.floor).min().unwrap_or(0);
        let up_in = |n: &Node| {
            (0..servers).filter(|i| n.view.up_slots(addr(*i)) > 0).fold(0, |m, i| m | 1 << i)
        };
        let up = self.nodes.iter().map(up_in).fold(0, |a: u8, b: u8| a | b);
        self.view_history.push_back((ms, floor, up));
        while self.view_history.front().is_some_and(|f| f.0 + VIEW_WINDOW_MS < ms) {
            self.view_history.pop_front();
        }
        let mut union = BTreeSet::new();
        // A paused process sends nothing; a woken one may serve requests before its first tick.
        for node in self.nodes.iter().filter(|n| !n.paused) {
            let own: Vec<ServerAddr> = node.ejections.ejected(node.clock(ms)).collect();
            assert!(
                node.view.keeps_floor(&own),
                "{ms} ms: the ejections of {} break its own floor",
                node.id
            );
            union.extend(own);
        }
        self.max_ejected = self.max_ejected.max(union.len());
        let floor = self.view_history.iter().map(|f| f.1).min().unwrap_or(0);
        let up = self.view_history.iter().fold(0, |m, f| m | f.2);
        // Ejecting a server that was not up throughout the window takes no capacity away.
        let steady = self.view_history.iter().fold(u8::MAX, |m, f| m & f.2);
        let out = (0..servers).filter(|i| union.contains(&addr(*i))).fold(0_u8, |m, i| m | 1 << i);
        let (left, taken) = (self.slots(up & !out), steady & out);
        assert!(
            taken == 0 || left >= floor,
            "{ms} ms: the union {union:?} leaves {left} of {} slots, floor {floor}; log {:?}",
            self.slots(up),
            self.log
        );
    }
}
