//! The leader's side of slot leases.

use super::{
    division::{allocate, node_shares, NodeDemand},
    equal_split,
    node_leases::{NodeLeases, SentLease},
    placement, DemandReport, LeaseOptions, SlotLease, Slots, MIN_DEMAND_INTERVAL,
};
use crate::{
    ids::{NodeId, ServerAddr},
    invariant,
    invariant::Invariant,
    time::{Span, Timestamp},
};
use std::collections::HashMap;

/// The interval between allocations while no node waits for slots.
const TICK_INTERVAL: Span = Span::from_millis(100);

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
        let rank_count = self.shares.len();
        let Some(node) = self.nodes.iter_mut().find(|n| n.id == report.node) else { return };
        let Some(has_freed) = node.apply_report(now, report, term, rank_count) else { return };
        let is_unmet = node.demand > node.held_slots();
        self.has_unmet_demand |= is_unmet || (has_freed && self.is_short);
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
        self.expire(now);
        if now.since(self.start) < duration + margin {
            return Vec::new();
        }
        let silent: Vec<bool> = self.nodes.iter().map(|n| n.is_silent(now, silence)).collect();
        let available = self.available(&silent);
        let targets = self.targets(&available, &silent);
        let before: Slots = self.servers.keys().map(|&s| (s, self.leased(s))).collect();
        let leases = self.make_leases(now, &silent, targets);
        self.check_leased(&before);
        leases
    }

    /// Returns the slots of `server` in all unexpired leases, as of the last call with a timestamp.
    pub fn leased(&self, server: ServerAddr) -> u32 {
        self.nodes.iter().map(|n| n.leased(server)).sum()
    }

    fn expire(&mut self, now: Timestamp) {
        let lifetime = self.options.duration + self.options.margin;
        for node in &mut self.nodes {
            node.leases.retain(|l| l.until > now);
            if node.last_report.is_some_and(|(received, _)| now.since(received) > lifetime) {
                node.forget_reports();
            }
        }
    }

    /// Checks that no server's slots are leased twice, given the leased slots `before` new leases were made.
    fn check_leased(&self, before: &Slots) {
        for (&server, &slots) in &self.servers {
            let leased = self.leased(server);
            // When a server's slots are reduced, the leases of the removed ones last until they expire.
            invariant!(
                Invariant::Slots,
                leased <= slots.max(before[&server]),
                "{server} has {slots} slots and unexpired leases of {leased}"
            );
        }
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
    fn targets(&self, available: &Slots, silent: &[bool]) -> Vec<Target> {
        let total = available.values().sum();
        let reporting: Vec<usize> = (0..self.nodes.len()).filter(|&i| !silent[i]).collect();
        let demands: Vec<NodeDemand> =
            reporting.iter().map(|&i| self.nodes[i].node_demand()).collect();
        let allocations = allocate(total, &self.shares, &demands, self.sequence);
        let mut targets: Vec<Slots> = self.nodes.iter().map(|n| n.allocated.clone()).collect();
        for (slots, &is_silent) in targets.iter_mut().zip(silent) {
            slots.retain(|server, _| !is_silent && available.contains_key(server));
        }
        let mut free = placement::trim_to_servers(&mut targets, available);
        for (&i, allocation) in reporting.iter().zip(&allocations) {
            placement::give_up(&mut targets[i], allocation.total, &mut free);
        }
        for (&i, allocation) in reporting.iter().zip(&allocations) {
            placement::take_free(&mut targets[i], allocation.total, &mut free);
        }
        let mut shares = vec![Vec::new(); targets.len()];
        for (&i, allocation) in reporting.iter().zip(&allocations) {
            shares[i] = node_shares(allocation, &self.shares);
        }
        targets.into_iter().zip(shares).map(|(slots, shares)| Target { slots, shares }).collect()
    }

    /// Makes the leases that bring the nodes closer to their targets, with slots that no other node may be using.
    fn make_leases(
        &mut self,
        now: Timestamp,
        silent: &[bool],
        targets: Vec<Target>,
    ) -> Vec<SlotLease> {
        let lifetime = self.options.duration + self.options.margin;
        let mut unused = self.unused(silent);
        self.sequence += 1;
        self.is_short = false;
        let mut leases = Vec::new();
        for (i, Target { slots: wanted, shares }) in targets.into_iter().enumerate() {
            let node = &mut self.nodes[i];
            let Some((received, echo)) = node.last_report.filter(|_| !silent[i]) else { continue };
            let slots = unused.take(i, node, wanted);
            self.is_short |= node.demand > slots.values().sum();
            node.allocated.clone_from(&slots);
            if node.leases.back().is_some_and(|last| last.is_current(now, &slots, &shares)) {
                continue;
            }
            leases.push(SlotLease {
                node: node.id,
                term: self.term,
                sequence: self.sequence,
                echo,
                slots: slots.iter().map(|(&s, &n)| (s, n)).collect(),
                shares: shares.clone(),
            });
            let until = received + lifetime;
            node.leases.push_back(SentLease {
                sequence: self.sequence,
                sent: now,
                until,
                slots,
                shares,
            });
        }
        leases
    }

    /// Returns the slots that can be leased.
    fn unused(&self, silent: &[bool]) -> UnusedSlots {
        let mut unused = UnusedSlots::default();
        for (&server, &slots) in &self.servers {
            let committed: Vec<u32> =
                (0..self.nodes.len()).map(|i| self.committed(i, server, silent[i])).collect();
            unused.spare.insert(server, slots.saturating_sub(committed.iter().sum()));
            unused.room.insert(server, slots.saturating_sub(self.leased(server)));
            unused.committed.insert(server, committed);
        }
        unused
    }
}

/// The slots that a node should get, and the shares of the ranks there.
#[derive(Clone, Debug)]
struct Target {
    slots: Slots,
    shares: Vec<u32>,
}

/// The slots that can be leased without a node that uses them already.
#[derive(Clone, Debug, Default)]
struct UnusedSlots {
    /// The slots that no node may be using.
    spare: Slots,
    /// The slots in no unexpired lease.
    room: Slots,
    /// The slots that each node may use without a new lease.
    committed: HashMap<ServerAddr, Vec<u32>>,
}

impl UnusedSlots {
    /// Takes as many of the `wanted` slots as node `i` can get now.
    fn take(&mut self, i: usize, node: &NodeLeases, wanted: Slots) -> Slots {
        let mut slots = Slots::new();
        for (server, wanted) in wanted {
            let spare = self.spare.entry(server).or_default();
            let room = self.room.entry(server).or_default();
            let own = self.committed.get(&server).map_or(0, |c| c[i]);
            let before = node.leased(server);
            let leased = wanted.min(own + *spare).min(before + *room);
            *spare -= leased.saturating_sub(own);
            *room -= leased.saturating_sub(before);
            if leased > 0 {
                slots.insert(server, leased);
            }
        }
        slots
    }
}
