//! Leases that divide the slots of a service's backend servers among the nodes.

use crate::{
    ids::{NodeId, ServerAddr},
    invariant,
    invariant::Invariant,
    time::{Span, Timestamp},
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The time over which demand is averaged. A longer mean follows bursts too late: with 200 ms, a load of 0.8
/// and callers spread unevenly over the nodes, 96% of urgent requests were in target instead of 98%.
const DEMAND_WINDOW: Span = Span::from_millis(50);

/// The number of fixed-point parts per request in mean demands.
const DEMAND_PARTS: u32 = 64;

/// The hysteresis, in slots, for moving spare slots to another node. A moving slot is idle until its holder has
/// given it up, and each move costs two datagrams.
const MOVE_HYSTERESIS: f64 = 3.0;

/// The interval between allocations while no node waits for slots.
const TICK_INTERVAL: Span = Span::from_millis(100);

/// The minimum time between two reports of a node, and between two allocations, under shortage.
///
/// In a lasting shortage some node always waits, and each allocation may send a lease to every node.
pub const MIN_DEMAND_INTERVAL: Span = Span::from_millis(20);

/// The interval between unchanged leases to a node. Since a lease lasts 500 ms, one may be lost.
const REPEAT_INTERVAL: Span = Span::from_millis(200);

/// The change of a rank's share, in percentage points, that alone justifies a new lease. Shares follow the
/// mean demands of all nodes, so they change a little at each allocation.
const MIN_SHARE_CHANGE: u32 = 10;

/// Demand below this many requests counts as this many when its change is compared with a quarter of it. With
/// 2 or 3 requests in flight, each one that starts or ends would otherwise be a change by a quarter.
const MIN_COMPARED_DEMAND: u32 = 8;

/// The interval between reports of a node whose demand has changed by a quarter.
const CHANGED_REPORT_INTERVAL: Span = Span::from_millis(100);

/// The interval between reports of a node whose demand has not changed.
///
/// The leader considers a node silent after 250 ms and reserves its equal split. The interval leaves time for
/// reports that are sent late.
const IDLE_REPORT_INTERVAL: Span = Span::from_millis(180);

/// The times of slot leases. All nodes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The duration of a lease, counted from the report that it responds to.
    pub duration: Span,
    /// The time that the leader adds to the duration, because clock rates differ.
    pub margin: Span,
    /// A node counts as silent, and the leader reserves its equal split, this long after its last report or
    /// after the first lease that it has not acknowledged.
    pub silence: Span,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            duration: Span::from_millis(500),
            margin: Span::from_millis(10),
            silence: Span::from_millis(250),
        }
    }
}

/// A node's report of its demand to the leader of a service, due at the latest 180 ms after the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// The node.
    pub node: NodeId,
    /// When the report was sent, by the node's clock. Leases echo it.
    pub sent: Timestamp,
    /// The term and sequence of the lease that the node accepted last.
    pub last_lease: (u64, u64),
    /// The number of requests that are queued or in flight, per rank.
    pub demand: Vec<u32>,
    /// The slots that the node may use or still uses, per server.
    pub held: Vec<(ServerAddr, u32)>,
}

/// A lease of the complete set of slots that one node may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLease {
    /// The node.
    pub node: NodeId,
    /// The leader's term.
    pub term: u64,
    /// The sequence number of the lease within the term.
    pub sequence: u64,
    /// The send time of the report that the lease responds to, by the node's clock.
    pub echo: Timestamp,
    /// The slots per server. The node has none at servers that are not listed.
    pub slots: Vec<(ServerAddr, u32)>,
    /// The share of each rank on this node, in percent. It may differ from the configured share, which must
    /// be met over the whole fleet.
    pub shares: Vec<u32>,
}

type Slots = BTreeMap<ServerAddr, u32>;

#[derive(Clone, Debug)]
struct SentLease {
    sequence: u64,
    sent: Timestamp,
    until: Timestamp,
    slots: Slots,
    shares: Vec<u32>,
}

impl SentLease {
    /// Returns whether a lease of these slots and shares differs too little from this one to be sent yet.
    fn is_current(&self, now: Timestamp, slots: &Slots, shares: &[u32]) -> bool {
        let moved = self.shares.iter().zip(shares).map(|(a, b)| a.abs_diff(*b)).max();
        self.slots == *slots
            && moved.unwrap_or(0) < MIN_SHARE_CHANGE
            && now.since(self.sent) < REPEAT_INTERVAL
    }
}

#[derive(Clone, Debug)]
struct NodeLeases {
    id: NodeId,
    /// When the last report arrived, and its send time by the node's clock.
    last_report: Option<(Timestamp, Timestamp)>,
    /// The mean demand per rank, in `DEMAND_PARTS` of a request.
    mean_demand: Vec<u32>,
    /// The total demand of the last report, in requests.
    demand: u32,
    /// The slots that the node may use or still uses, by its last report.
    held: Slots,
    /// The sequence of the last lease that the node has acknowledged.
    acknowledged: u64,
    /// The unexpired leases that the node may be using, the oldest first.
    leases: VecDeque<SentLease>,
    /// The slots of the last allocation.
    allocated: Slots,
}

impl NodeLeases {
    fn new(id: NodeId) -> Self {
        NodeLeases {
            id,
            last_report: None,
            mean_demand: Vec::new(),
            demand: 0,
            held: Slots::new(),
            acknowledged: 0,
            leases: VecDeque::new(),
            allocated: Slots::new(),
        }
    }

    /// Returns the maximum number of slots of `server` in any unexpired lease of the node.
    fn leased(&self, server: ServerAddr) -> u32 {
        self.leases.iter().filter_map(|l| l.slots.get(&server).copied()).max().unwrap_or(0)
    }

    /// Returns the slots of `server` that the node may be using.
    fn committed(&self, server: ServerAddr) -> u32 {
        self.leased(server).max(self.held.get(&server).copied().unwrap_or(0))
    }

    /// Returns whether the node has acknowledged a lease that has not expired.
    ///
    /// Any other node may start to use its equal split at any time.
    fn has_acknowledged_lease(&self) -> bool {
        self.leases.iter().any(|l| l.sequence <= self.acknowledged)
    }

    fn is_silent(&self, now: Timestamp, silence: Span) -> bool {
        let Some((received, _)) = self.last_report else { return true };
        let unacknowledged = self.leases.iter().find(|l| l.sequence > self.acknowledged);
        now.since(received) > silence || unacknowledged.is_some_and(|l| now.since(l.sent) > silence)
    }
}

/// The leader's side of slot leases: it divides each server's slots among the nodes.
///
/// A slot counts as used until its lease has expired, or until the holder reports that it may no longer use
/// the slot and no longer does. The sum of all unexpired leases therefore never exceeds a server's slots. A
/// silent member may be using its equal split, which is reserved as long as it is a member.
#[derive(Clone, Debug)]
pub struct LeaseAllocator {
    options: LeaseOptions,
    term: u64,
    shares: Vec<u32>,
    start: Timestamp,
    last_tick: Timestamp,
    /// Whether some node had more demand than slots at the last tick.
    is_short: bool,
    /// Whether a report has arrived since the last tick that calls for an early next one.
    has_unmet_demand: bool,
    sequence: u64,
    servers: Slots,
    members: Vec<NodeId>,
    /// The equal split of each member, which it uses without a lease.
    equal_splits: HashMap<NodeId, Slots>,
    nodes: Vec<NodeLeases>,
}

impl LeaseAllocator {
    /// Creates the allocator of one term. It makes no leases during the first lease duration.
    ///
    /// The leases of an earlier leader are not known here and may last that long. `shares` holds the
    /// guaranteed shares of the ranks, in percent.
    pub fn new(now: Timestamp, options: LeaseOptions, term: u64, shares: &[u32]) -> Self {
        LeaseAllocator {
            options,
            term,
            shares: shares.to_vec(),
            start: now,
            last_tick: now,
            is_short: false,
            has_unmet_demand: false,
            // If the same process leads the service again in the same term, it must not reuse sequence
            // numbers. The same applies to announcements.
            sequence: now.as_micros() / 1_000,
            servers: Slots::new(),
            members: Vec::new(),
            equal_splits: HashMap::new(),
            nodes: Vec::new(),
        }
    }

    /// Sets the servers and their slots. A server in probation has 1 slot, and a leaving one has none.
    pub fn set_servers(&mut self, servers: &[(ServerAddr, u32)]) {
        let servers = servers.iter().copied().collect();
        // This is called before each tick, and recomputing the equal splits of all members costs more than
        // a tick.
        if servers != self.servers {
            self.servers = servers;
            self.update_equal_splits();
        }
    }

    /// Sets the guaranteed shares of the ranks, in percent.
    ///
    /// If the number of ranks changes, the mean demands start again, since ranks are identified by position.
    pub fn set_shares(&mut self, shares: &[u32]) {
        if shares.len() != self.shares.len() {
            for node in &mut self.nodes {
                node.mean_demand.clear();
            }
        }
        self.shares = shares.to_vec();
    }

    /// Sets the members. Leases of other nodes are not renewed.
    ///
    /// The leases of a lost member are counted until they expire.
    pub fn set_members(&mut self, now: Timestamp, members: &[NodeId]) {
        for &id in members {
            if !self.nodes.iter().any(|n| n.id == id) {
                self.nodes.push(NodeLeases::new(id));
            }
        }
        for node in &mut self.nodes {
            node.leases.retain(|l| l.until > now);
            if !members.contains(&node.id) {
                node.last_report = None;
                node.held.clear();
                node.allocated.clear();
            }
        }
        self.nodes.retain(|n| members.contains(&n.id) || !n.leases.is_empty());
        self.nodes.sort_by_key(|n| n.id);
        self.members = members.to_vec();
        self.update_equal_splits();
    }

    /// Processes a report. `next_tick` comes earlier if the node has more demand than slots, or if it has given
    /// up slots during a shortage.
    pub fn report(&mut self, now: Timestamp, report: &DemandReport) {
        let term = self.term;
        let Some(node) = self.nodes.iter_mut().find(|n| n.id == report.node) else { return };
        if node.last_report.is_some_and(|(_, sent)| report.sent <= sent) {
            return;
        }
        let before: u32 = node.held.values().sum();
        let elapsed =
            node.last_report.map_or(Span::from_secs(1), |(_, sent)| report.sent.since(sent));
        node.last_report = Some((now, report.sent));
        node.held = report.held.iter().copied().filter(|&(_, slots)| slots > 0).collect();
        if report.last_lease.0 == term {
            // The node has replaced every earlier lease by this one.
            node.acknowledged = node.acknowledged.max(report.last_lease.1);
            let acknowledged = node.acknowledged;
            node.leases.retain(|l| l.sequence >= acknowledged);
        }
        node.mean_demand.resize(self.shares.len(), 0);
        let span = DEMAND_WINDOW.as_micros();
        let weight = elapsed.as_micros().clamp(1, span);
        for (rank, mean) in node.mean_demand.iter_mut().enumerate() {
            // More demand than this has no effect, since no service has as many slots. The limit prevents an
            // overflow.
            let fresh = report.demand.get(rank).copied().unwrap_or(0).min(1 << 16) * DEMAND_PARTS;
            let sum = u64::from(*mean) * (span - weight) + u64::from(fresh) * weight;
            *mean = (sum / span) as u32;
        }
        node.demand = report.demand.iter().fold(0u32, |sum, &d| sum.saturating_add(d));
        let held: u32 = node.held.values().sum();
        self.has_unmet_demand |= node.demand > held || (held < before && self.is_short);
    }

    /// Returns whether `tick` should be called before its regular time.
    pub fn has_unmet_demand(&self) -> bool {
        self.has_unmet_demand
    }

    /// Returns when `tick` must be called next if no report arrives before.
    pub fn next_tick(&self) -> Timestamp {
        self.last_tick + if self.has_unmet_demand { MIN_DEMAND_INTERVAL } else { TICK_INTERVAL }
    }

    /// Allocates the slots and returns the leases to send: to members that are not silent and whose last lease is
    /// out of date.
    pub fn tick(&mut self, now: Timestamp) -> Vec<SlotLease> {
        let LeaseOptions { duration, margin, silence } = self.options;
        self.last_tick = now;
        self.has_unmet_demand = false;
        for node in &mut self.nodes {
            node.leases.retain(|l| l.until > now);
            if node.last_report.is_some_and(|(received, _)| now.since(received) > duration + margin)
            {
                node.held.clear();
                node.allocated.clear();
                node.mean_demand.clear();
                node.demand = 0;
                node.last_report = None;
            }
        }
        if now.since(self.start) < duration + margin {
            return Vec::new();
        }
        let silent: Vec<bool> = self.nodes.iter().map(|n| n.is_silent(now, silence)).collect();
        let available = self.available(&silent);
        let targets = self.targets(&available, &silent);
        let before: Slots = self.servers.keys().map(|&s| (s, self.leased(s))).collect();
        let leases = self.make_leases(now, &silent, targets);
        for (&server, &slots) in &self.servers {
            let leased = self.leased(server);
            // When a server's slots are reduced, the leases of the removed ones last until they expire.
            invariant!(
                Invariant::Slots,
                leased <= slots.max(before[&server]),
                "{server} has {slots} slots and unexpired leases of {leased}"
            );
        }
        leases
    }

    /// Returns the slots of `server` in all unexpired leases, as of the last call with a timestamp.
    pub fn leased(&self, server: ServerAddr) -> u32 {
        self.nodes.iter().map(|n| n.leased(server)).sum()
    }

    fn update_equal_splits(&mut self) {
        let servers: Vec<_> = self.servers.iter().map(|(&s, &slots)| (s, slots)).collect();
        let split =
            |&m: &NodeId| (m, equal_split(&servers, &m, &self.members).into_iter().collect());
        self.equal_splits = self.members.iter().map(split).collect();
    }

    /// Returns the slots of `server` in the equal split of `node`.
    fn equal_split(&self, node: &NodeId, server: ServerAddr) -> u32 {
        self.equal_splits.get(node).and_then(|slots| slots.get(&server)).copied().unwrap_or(0)
    }

    /// Returns each server's slots minus the equal splits of silent members.
    fn available(&self, silent: &[bool]) -> Slots {
        let reserved = |server| -> u32 {
            let silent = self.nodes.iter().zip(silent).filter(|(_, &s)| s);
            silent.map(|(n, _)| self.equal_split(&n.id, server)).sum()
        };
        self.servers.iter().map(|(&s, &slots)| (s, slots.saturating_sub(reserved(s)))).collect()
    }

    /// Returns the slots of `server` that node `i` may use without a new lease.
    fn committed(&self, i: usize, server: ServerAddr, silent: bool) -> u32 {
        let node = &self.nodes[i];
        let committed = node.committed(server);
        if silent || !node.has_acknowledged_lease() {
            committed.max(self.equal_split(&node.id, server))
        } else {
            committed
        }
    }

    /// Returns the target slots of each node per server, as close as possible to the current ones, and the
    /// shares of the ranks on the node.
    fn targets(&self, available: &Slots, silent: &[bool]) -> Vec<(Slots, Vec<u32>)> {
        let total = available.values().sum();
        let mut current: Vec<Slots> = self.nodes.iter().map(|n| n.allocated.clone()).collect();
        let reporting: Vec<usize> = (0..self.nodes.len()).filter(|&i| !silent[i]).collect();
        let demands = |&i: &usize| {
            let node = &self.nodes[i];
            NodeDemand {
                mean_demand: node.mean_demand.clone(),
                allocated: current[i].values().sum(),
            }
        };
        let demands: Vec<NodeDemand> = reporting.iter().map(demands).collect();
        let allocations = allocate(total, &self.shares, &demands, self.sequence);
        let totals: Vec<u32> = allocations.iter().map(|p| p.total).collect();
        let mut shares = vec![Vec::new(); current.len()];
        for (&i, allocation) in reporting.iter().zip(&allocations) {
            shares[i] = node_shares(allocation, &self.shares);
        }
        for (i, slots) in current.iter_mut().enumerate() {
            slots.retain(|server, _| !silent[i] && available.contains_key(server));
        }
        // Where more slots are in use than a server has now, the largest holders give some up.
        let mut free = Slots::new();
        for (&server, &slots_left) in available {
            let mut used: u32 = current.iter().filter_map(|s| s.get(&server)).sum();
            while used > slots_left {
                let largest = current.iter_mut().filter_map(|s| s.get_mut(&server)).max();
                let Some(slots) = largest else { break };
                *slots -= 1;
                used -= 1;
            }
            free.insert(server, slots_left - used);
        }
        // Nodes above their total give up slots of the servers where they have most.
        for (&i, &total) in reporting.iter().zip(&totals) {
            let mut sum: u32 = current[i].values().sum();
            while sum > total {
                let Some((server, slots)) = current[i].iter_mut().max_by_key(|(_, s)| **s) else {
                    break;
                };
                *slots -= 1;
                sum -= 1;
                *free.entry(*server).or_default() += 1;
            }
        }
        // Nodes below their total get slots of the servers where they have fewest, of these where most are free.
        for (&i, &total) in reporting.iter().zip(&totals) {
            for _ in current[i].values().sum::<u32>()..total {
                let own = |server: &ServerAddr| current[i].get(server).copied().unwrap_or(0);
                let best = free
                    .iter()
                    .filter(|(_, &f)| f > 0)
                    .min_by_key(|(server, &f)| (own(server), u32::MAX - f))
                    .map(|(&server, _)| server);
                let Some(server) = best else { break };
                *free.entry(server).or_default() -= 1;
                *current[i].entry(server).or_default() += 1;
            }
        }
        current.into_iter().zip(shares).collect()
    }

    fn make_leases(
        &mut self,
        now: Timestamp,
        silent: &[bool],
        targets: Vec<(Slots, Vec<u32>)>,
    ) -> Vec<SlotLease> {
        let LeaseOptions { duration, margin, .. } = self.options;
        let all = |server| -> Vec<u32> {
            (0..self.nodes.len()).map(|i| self.committed(i, server, silent[i])).collect()
        };
        let committed: HashMap<ServerAddr, Vec<u32>> =
            self.servers.keys().map(|&s| (s, all(s))).collect();
        // `spare` holds the slots that no node may be using, `room` those in no unexpired lease.
        let mut spare = Slots::new();
        let mut room = Slots::new();
        for (&server, &slots) in &self.servers {
            spare.insert(server, slots.saturating_sub(committed[&server].iter().sum()));
            room.insert(server, slots.saturating_sub(self.leased(server)));
        }
        self.sequence += 1;
        let mut short = false;
        let mut leases = Vec::new();
        for (i, (target, shares)) in targets.into_iter().enumerate() {
            let node = &mut self.nodes[i];
            let Some((received, echo)) = node.last_report.filter(|_| !silent[i]) else { continue };
            let mut sum = 0;
            let mut slots = Slots::new();
            for (server, wanted) in target {
                let spare = spare.entry(server).or_default();
                let room = room.entry(server).or_default();
                let own = committed.get(&server).map_or(0, |c| c[i]);
                let before = node.leased(server);
                let leased = wanted.min(own + *spare).min(before + *room);
                *spare -= leased.saturating_sub(own);
                *room -= leased.saturating_sub(before);
                sum += leased;
                if leased > 0 {
                    slots.insert(server, leased);
                }
            }
            short |= node.demand > sum;
            node.allocated.clone_from(&slots);
            if node.leases.back().is_some_and(|last| last.is_current(now, &slots, &shares)) {
                continue;
            }
            let listed = slots.iter().map(|(&s, &n)| (s, n)).collect();
            let until = received + duration + margin;
            let sequence = self.sequence;
            let lease = SentLease { sequence, sent: now, until, slots, shares: shares.clone() };
            node.leases.push_back(lease);
            leases.push(SlotLease {
                node: node.id,
                term: self.term,
                sequence,
                echo,
                slots: listed,
                shares,
            });
        }
        self.is_short = short;
        leases
    }
}

/// The demand of one node and its current number of slots.
#[derive(Clone, Debug)]
struct NodeDemand {
    mean_demand: Vec<u32>,
    allocated: u32,
}

/// The allocation of one node: its total slots, and the part for each rank's guarantee in `DEMAND_PARTS` of a
/// slot.
#[derive(Clone, Debug)]
struct Allocation {
    total: u32,
    ranks: Vec<u64>,
}

/// Rounds the mean demands to whole requests. Their sum is rounded only once, and to at least 1 if there is any
/// demand.
///
/// Rounding up each rank would claim up to one slot per rank for nodes with little work: with 8 servers and
/// 16 nodes of uneven load, 34 to 44% of slots were then idle while other nodes had queues.
fn round_demand(mean: &[u32]) -> Vec<u32> {
    let (mut sum, mut before) = (0, 0);
    let round = |&parts: &u32| {
        sum += parts;
        let whole = ((sum + DEMAND_PARTS / 2) / DEMAND_PARTS).max(u32::from(sum > 0));
        whole - std::mem::replace(&mut before, whole)
    };
    mean.iter().map(round).collect()
}

/// Returns the allocation of each node.
///
/// First each node with demand gets one slot. Then each rank gets its guaranteed share, and then the demand of
/// all ranks is met, the most urgent rank first. Each step divides the slots as evenly as demand allows.
/// After that, idle nodes get one slot each, and [`spread_spare`] divides the rest.
fn allocate(total: u32, shares: &[u32], demands: &[NodeDemand], round: u64) -> Vec<Allocation> {
    let count = demands.len();
    let mut left = total;
    let mut totals = vec![0; count];
    let mut used = vec![0; shares.len()];
    let mut need: Vec<Vec<u32>> = demands.iter().map(|w| round_demand(&w.mean_demand)).collect();
    let first_rank = |need: &[u32]| need.iter().position(|&d| d > 0);
    let mut order: Vec<usize> = (0..count).filter(|&i| first_rank(&need[i]).is_some()).collect();
    // If there are more nodes than slots, nodes of the same urgency take turns of ten ticks.
    let turn = |i: usize| (i + (round / 10) as usize) % count;
    order.sort_by_key(|&i| (first_rank(&need[i]), turn(i)));
    for i in order {
        if let Some(rank) = first_rank(&need[i]).filter(|_| left > 0) {
            need[i][rank] -= 1;
            totals[i] += 1;
            used[rank] += 1;
            left -= 1;
        }
    }
    let mut fill = |rank: usize, amount: u32, left: &mut u32, totals: &mut [u32]| {
        let mut got = vec![0u32; count];
        for _ in 0..amount.min(*left) {
            let next = (0..count)
                .filter(|&i| need[i].get(rank).is_some_and(|&d| d > 0))
                .min_by_key(|&i| (got[i], totals[i]));
            let Some(i) = next else { break };
            need[i][rank] -= 1;
            got[i] += 1;
            totals[i] += 1;
            *left -= 1;
        }
    };
    for (rank, share) in shares.iter().enumerate() {
        let quota = (share * total).div_ceil(100).saturating_sub(used[rank]);
        fill(rank, quota, &mut left, &mut totals);
    }
    for rank in 0..shares.len() {
        fill(rank, u32::MAX, &mut left, &mut totals);
    }
    for slots in totals.iter_mut().filter(|t| **t == 0) {
        let one = left.min(1);
        *slots += one;
        left -= one;
    }
    spread_spare(left, demands, &mut totals);
    let mut allocations: Vec<Allocation> =
        totals.into_iter().map(|total| Allocation { total, ranks: Vec::new() }).collect();
    for (rank, share) in shares.iter().enumerate() {
        let quota = u64::from(share * total * DEMAND_PARTS / 100);
        let mean = |w: &NodeDemand| u64::from(w.mean_demand.get(rank).copied().unwrap_or(0));
        let mean: Vec<u64> = demands.iter().map(mean).collect();
        for (allocation, slots) in allocations.iter_mut().zip(water_fill(quota, &mean)) {
            allocation.ranks.push(slots);
        }
    }
    allocations
}

/// Adds the `left` slots that exceed the mean demand to `totals`, as room for bursts.
///
/// The standard deviation of a node's demand is about the square root of its mean, so each slot goes to the
/// node with the fewest spare slots relative to it. If spare slots stayed where they were, nodes with little
/// work kept those of an earlier burst: at a load of 0.45, 99.5% of urgent requests were in target instead of all.
fn spread_spare(left: u32, demands: &[NodeDemand], totals: &mut [u32]) {
    let mean =
        |w: &NodeDemand| f64::from(w.mean_demand.iter().sum::<u32>()) / f64::from(DEMAND_PARTS);
    let means: Vec<f64> = demands.iter().map(mean).collect();
    let deviations: Vec<f64> = means.iter().map(|mean| (mean + 1.0).sqrt()).collect();
    for _ in 0..left {
        let room = |i: usize| {
            let step = if totals[i] < demands[i].allocated { 0.0 } else { MOVE_HYSTERESIS };
            (f64::from(totals[i]) + step - means[i]) / deviations[i]
        };
        let Some(i) = (0..totals.len()).min_by(|&a, &b| room(a).total_cmp(&room(b))) else { break };
        totals[i] += 1;
    }
}

/// Returns the part of a rank's `quota` for each node, given the demands `mean` in the same unit.
///
/// If the quota is too small, demands are met up to a common level; otherwise the surplus is divided in
/// proportion to demand. Without the surplus, and with whole slots instead of parts, a rank that used most of its
/// share had no room for bursts: in a flood of the urgent rank, only 89% of the second rank's requests were in
/// target.
fn water_fill(quota: u64, mean: &[u64]) -> Vec<u64> {
    let sum: u64 = mean.iter().sum();
    if sum <= quota {
        return mean.iter().map(|m| quota * m / sum.max(1)).collect();
    }
    let mut order: Vec<usize> = (0..mean.len()).collect();
    order.sort_by_key(|&i| mean[i]);
    let mut parts = vec![0; mean.len()];
    let mut left = quota;
    for (done, &i) in order.iter().enumerate() {
        parts[i] = mean[i].min(left / (mean.len() - done) as u64);
        left -= parts[i];
    }
    parts
}

/// Returns the shares of the ranks on one node, in percent: the slots that the node got for each rank's
/// guarantee, plus the remaining slots in the configured proportions.
///
/// If each node used the configured shares, a node with much of the fleet's urgent work gave half of its slots
/// to other ranks although other nodes already met their guarantees: at 1.2 times the capacity, with 70% of the
/// urgent work at 4 of 16 nodes, only 54% of it was in target.
fn node_shares(allocation: &Allocation, shares: &[u32]) -> Vec<u32> {
    let whole =
        u64::from(DEMAND_PARTS * allocation.total).max(allocation.ranks.iter().sum()).max(1);
    let own: Vec<u32> =
        allocation.ranks.iter().map(|&slots| (100 * slots / whole) as u32).collect();
    let rest = 100 - own.iter().sum::<u32>();
    own.iter().zip(shares).map(|(own, share)| own + rest * share / 100).collect()
}

/// Returns the equal split of `node`: the slots that it uses without a lease from the leader.
///
/// Each server's slots are divided evenly among the members. The remainders rotate through the members from
/// server to server, so the totals of two nodes differ by at most one. If all members have the same lists of
/// members and servers, their splits add up to each server's slots. If each of `n` nodes lists at least `m` of
/// them, the sum is at most `n × ceil(slots / m)`; completely isolated nodes use up to `n × slots`.
pub fn equal_split(
    servers: &[(ServerAddr, u32)],
    node: &NodeId,
    members: &[NodeId],
) -> Vec<(ServerAddr, u32)> {
    if !members.contains(node) {
        return Vec::new();
    }
    let count = members.len() as u32;
    let place = members.iter().filter(|&m| m < node).count() as u32;
    let mut servers = servers.to_vec();
    servers.sort_unstable();
    let mut first = 0;
    let mut share = |&(server, slots): &(ServerAddr, u32)| {
        let extra = slots % count;
        let own = slots / count + u32::from((place + count - first) % count < extra);
        first = (first + extra) % count;
        (server, own)
    };
    servers.iter().map(&mut share).filter(|&(_, slots)| slots > 0).collect()
}

/// A node's side of slot leases.
///
/// A lease expires by the node's own clock, counted from the report that it responds to. Neither a delayed
/// datagram nor a pause of the node makes it longer.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    options: LeaseOptions,
    node: NodeId,
    last_lease: (u64, u64),
    until: Timestamp,
    leased: Slots,
    shares: Vec<u32>,
    equal_split: Slots,
    /// The time, the total demand and the total slots of the last report.
    reported: (Timestamp, u32, u32),
}

impl LeaseHolder {
    /// Creates a holder without a lease. It uses no slots for one lease duration, while it waits for the leader.
    pub fn new(now: Timestamp, options: LeaseOptions, node: NodeId) -> Self {
        LeaseHolder {
            options,
            node,
            last_lease: (0, 0),
            until: now + options.duration,
            leased: Slots::new(),
            shares: Vec::new(),
            equal_split: Slots::new(),
            reported: (now, 0, 0),
        }
    }

    /// Sets the members and servers that determine the equal split.
    ///
    /// `members` should be the members recorded in the log, since all nodes read the same list there.
    pub fn set_members(&mut self, members: &[NodeId], servers: &[(ServerAddr, u32)]) {
        self.equal_split = equal_split(servers, &self.node, members).into_iter().collect();
    }

    /// Applies a lease. Returns whether it was accepted.
    ///
    /// A lease for another process at this address, an older lease and an expired one are refused.
    pub fn accept(&mut self, now: Timestamp, lease: &SlotLease) -> bool {
        let until = lease.echo + self.options.duration;
        let number = (lease.term, lease.sequence);
        if lease.node != self.node || number <= self.last_lease || lease.echo > now || until <= now
        {
            return false;
        }
        self.last_lease = number;
        self.until = until;
        self.leased = lease.slots.iter().copied().collect();
        self.shares.clone_from(&lease.shares);
        true
    }

    /// Returns whether the node has no unexpired lease and uses its equal split.
    pub fn uses_equal_split(&self, now: Timestamp) -> bool {
        now >= self.until
    }

    /// Returns when the last report was created.
    pub fn reported_at(&self) -> Timestamp {
        self.reported.0
    }

    /// Returns when the last lease expires.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns the slots that new requests may use, per server.
    pub fn slots(&self, now: Timestamp) -> Vec<(ServerAddr, u32)> {
        let slots = if self.uses_equal_split(now) { &self.equal_split } else { &self.leased };
        slots.iter().map(|(&server, &slots)| (server, slots)).collect()
    }

    /// Returns the shares of the ranks in the lease, in percent, or `None` if the configured ones apply.
    pub fn shares(&self, now: Timestamp) -> Option<&[u32]> {
        (!self.uses_equal_split(now)).then_some(&self.shares[..])
    }

    /// Creates the report to send, given the demand per rank and the requests in flight per server.
    ///
    /// The first report with fewer slots in use allows the leader to give them to another node.
    pub fn report(
        &mut self,
        now: Timestamp,
        demand: Vec<u32>,
        in_flight: &[(ServerAddr, u32)],
    ) -> DemandReport {
        let held = self.used(now, in_flight);
        self.reported = (now, demand.iter().sum(), held.values().sum());
        let held = held.into_iter().collect();
        DemandReport { node: self.node, sent: now, last_lease: self.last_lease, demand, held }
    }

    /// Returns whether a report is due: at the regular time, earlier if demand has changed by a quarter, and
    /// as soon as possible if withdrawn slots are free, or if requests wait for slots and demand has changed.
    pub fn is_due(&self, now: Timestamp, demand: &[u32], in_flight: &[(ServerAddr, u32)]) -> bool {
        let (at, reported, before) = self.reported;
        let age = now.since(at);
        if age < MIN_DEMAND_INTERVAL {
            return false;
        }
        let demand: u32 = demand.iter().sum();
        let held: u32 = self.used(now, in_flight).values().sum();
        let moved = demand.abs_diff(reported);
        age >= IDLE_REPORT_INTERVAL
            || (age >= CHANGED_REPORT_INTERVAL
                && 4 * moved > demand.max(reported).max(MIN_COMPARED_DEMAND))
            || held < before
            || (demand > held && moved > 0)
    }

    /// Returns the slots that the node may use or still uses.
    fn used(&self, now: Timestamp, in_flight: &[(ServerAddr, u32)]) -> Slots {
        let mut used: Slots = self.slots(now).into_iter().collect();
        for &(server, count) in in_flight.iter().filter(|(_, count)| *count > 0) {
            let slots = used.entry(server).or_default();
            *slots = count.max(*slots);
        }
        used
    }
}
