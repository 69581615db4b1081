//! Slot leases of a leader and their holders.

mod common {
    pub(crate) mod fleet;
}

use common::fleet::{node, run, server, Fleet, Load, Policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{NodeId, ServerAddr},
    process::slot_leases::{
        equal_split, DemandReport, LeaseAllocator, LeaseHolder, LeaseOptions, SlotLease,
    },
    time::{Span, Timestamp},
};
use std::collections::HashMap;

const SHARES: [u32; 3] = [50, 30, 20];

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn sum(slots: &[(ServerAddr, u32)]) -> u32 {
    slots.iter().map(|(_, s)| s).sum()
}

/// A leader and holders whose messages arrive at once, unless cut.
struct Cell {
    allocator: LeaseAllocator,
    holders: Vec<LeaseHolder>,
    demand: Vec<Vec<u32>>,
    busy: Vec<HashMap<ServerAddr, u32>>,
    up: Vec<bool>,
    down: Vec<bool>,
    now: u64,
    moves: u32,
}

impl Cell {
    fn new(nodes: usize, servers: usize, slots: u32) -> Self {
        let options = LeaseOptions::default();
        let ids: Vec<NodeId> = (0..nodes).map(node).collect();
        let list: Vec<_> = (0..servers).map(|i| (server(i), slots)).collect();
        let mut allocator = LeaseAllocator::new(ms(0), options, 1, &SHARES);
        allocator.set_servers(&list);
        allocator.set_members(ms(0), &ids);
        let holder = |&id: &NodeId| {
            let mut holder = LeaseHolder::new(ms(0), options, id);
            holder.set_members(&ids, &list);
            holder
        };
        Cell {
            allocator,
            holders: ids.iter().map(holder).collect(),
            demand: vec![vec![0; 3]; nodes],
            busy: vec![HashMap::new(); nodes],
            up: vec![true; nodes],
            down: vec![true; nodes],
            now: 0,
            moves: 0,
        }
    }

    fn report(&mut self, i: usize) -> DemandReport {
        let busy: Vec<_> = self.busy[i].iter().map(|(&s, &n)| (s, n)).collect();
        self.holders[i].report(ms(self.now), self.demand[i].clone(), &busy)
    }

    fn round(&mut self) -> Vec<SlotLease> {
        self.now += 100;
        for i in 0..self.holders.len() {
            if self.up[i] {
                let report = self.report(i);
                self.allocator.report(ms(self.now), &report);
            }
        }
        let leases = self.allocator.tick(ms(self.now));
        for lease in &leases {
            let i = (0..self.holders.len()).find(|&i| node(i) == lease.node).expect("a member");
            if self.down[i] {
                let before: HashMap<_, _> =
                    self.holders[i].slots(ms(self.now)).into_iter().collect();
                assert!(self.holders[i].accept(ms(self.now), lease));
                for &(server, slots) in &lease.slots {
                    self.moves += slots.saturating_sub(*before.get(&server).unwrap_or(&0));
                }
            }
        }
        leases
    }

    fn run(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| drop(self.round()));
    }

    fn total(&self, i: usize) -> u32 {
        sum(&self.holders[i].slots(ms(self.now)))
    }

    /// Returns the slots of `server` that holders allow now.
    fn allowed(&self, server: ServerAddr) -> u32 {
        let slots = self.holders.iter().flat_map(|h| h.slots(ms(self.now)));
        slots.filter(|(s, _)| *s == server).map(|(_, n)| n).sum()
    }
}

/// Guards against slots that stay with idle nodes while others have demand.
#[test]
fn slots_follow_demand() {
    let mut cell = Cell::new(16, 8, 6);
    cell.demand[3] = vec![0, 400, 0];
    cell.run(20);
    // Each idle node keeps at most one slot of 48.
    assert!(cell.total(3) >= 33, "the busy node holds {}", cell.total(3));
}

/// Guards against a node with demand and no slot while there are enough for all.
#[test]
fn every_node_with_demand_gets_a_slot() {
    let mut cell = Cell::new(16, 3, 6);
    for i in 0..16 {
        cell.demand[i] = vec![0, 0, if i < 2 { 5_000 } else { 1 }];
    }
    cell.run(20);
    assert!((0..16).all(|i| cell.total(i) >= 1));
}

/// Guards against nodes that never get a slot when there are fewer slots than nodes.
#[test]
fn scarce_slots_are_taken_in_turns() {
    let mut cell = Cell::new(16, 1, 6);
    for demand in &mut cell.demand {
        *demand = vec![0, 0, 10];
    }
    let mut served = [false; 16];
    for _ in 0..200 {
        cell.round();
        for (i, served) in served.iter_mut().enumerate() {
            *served |= cell.total(i) > 0;
        }
    }
    assert_eq!(served, [true; 16]);
}

/// Guards against a node that waits for the next interval, and against a tick for every report.
#[test]
fn node_without_slots_asks_for_a_tick() {
    let mut cell = Cell::new(16, 1, 6);
    for i in 0..8 {
        cell.demand[i] = vec![0, 0, 10];
    }
    cell.run(20);
    let empty: Vec<usize> = (0..8).filter(|&i| cell.total(i) == 0).collect();
    cell.now += 30;
    let report = cell.report(empty[0]);
    cell.allocator.report(ms(cell.now), &report);
    assert!(cell.allocator.next_tick() <= ms(cell.now));
    cell.allocator.tick(ms(cell.now));
    cell.now += 10;
    let report = cell.report(empty[1]);
    cell.allocator.report(ms(cell.now), &report);
    assert_eq!(cell.allocator.next_tick(), ms(cell.now + 10));
}

/// Guards against leases that wander although demand stays the same.
#[test]
fn steady_demand_moves_nothing() {
    let mut cell = Cell::new(16, 20, 6);
    for (i, demand) in cell.demand.iter_mut().enumerate() {
        *demand = vec![1 + i as u32 % 3, i as u32, 40];
    }
    cell.run(50);
    cell.moves = 0;
    cell.run(50);
    assert_eq!(cell.moves, 0);
}

/// Guards against a flood at one node that takes the slots that urgent work needs at another.
#[test]
fn urgent_share_is_kept_across_nodes() {
    let mut cell = Cell::new(4, 4, 6);
    cell.demand[0] = vec![10, 0, 0];
    for i in 1..4 {
        cell.demand[i] = vec![0, 0, 100_000];
    }
    cell.run(20);
    assert!(cell.total(0) >= 10, "the node with urgent work holds {}", cell.total(0));
}

/// Guards against a slot that is leased again while its old holder still runs a request in it.
#[test]
fn slot_moves_after_it_is_released() {
    let mut cell = Cell::new(2, 1, 6);
    cell.demand[0] = vec![100, 0, 0];
    cell.run(20);
    let held = cell.total(0);
    cell.busy[0].insert(server(0), held);
    cell.demand = vec![vec![0, 0, 0], vec![100, 0, 0]];
    for _ in 0..30 {
        cell.round();
        assert!(cell.total(1) <= 6 - held);
    }
    cell.busy[0].insert(server(0), 0);
    cell.round();
    cell.round();
    assert!(cell.total(1) >= 5, "the other node holds {}", cell.total(1));
}

/// Guards against first leases that overlook a node which enters its equal split after its report.
///
/// Found by the fleet simulation with its default seed (7) as unexpired leases of 7 for 6 slots.
#[test]
fn first_leases_leave_room_for_the_equal_split() {
    let mut cell = Cell::new(2, 1, 6);
    cell.demand[0] = vec![100, 0, 0];
    cell.now = 450;
    for i in 0..2 {
        let report = cell.report(i);
        assert_eq!(report.held, vec![]);
        cell.allocator.report(ms(450), &report);
    }
    let leases = cell.allocator.tick(ms(511));
    assert_eq!(sum(&leases[0].slots), 3);
}

/// Guards against a lease for requests in flight of a node that was away while its slots moved.
///
/// Found by `random_messages_never_overcommit` with seed 0; the allocator checks the sum in `tick`.
#[test]
fn returning_node_gets_no_slots_twice() {
    let mut cell = Cell::new(2, 1, 6);
    cell.demand[0] = vec![100, 0, 0];
    cell.run(20);
    let held = cell.total(0);
    assert!(held >= 5);
    cell.busy[0].insert(server(0), held);
    cell.demand[1] = vec![100, 0, 0];
    (cell.up[0], cell.down[0]) = (false, false);
    cell.run(20);
    assert_eq!(cell.total(1), 3);
    (cell.up[0], cell.down[0]) = (true, true);
    cell.demand[1] = vec![0, 0, 0];
    for _ in 0..20 {
        cell.round();
        assert!(cell.allocator.leased(server(0)) <= 6);
    }
}

/// Guards against a delayed, repeated or foreign lease that takes effect.
#[test]
fn stale_leases_are_refused() {
    let options = LeaseOptions::default();
    let mut holder = LeaseHolder::new(ms(0), options, node(1));
    let lease = |node, sequence, echo| SlotLease {
        node,
        term: 5,
        sequence,
        echo: ms(echo),
        slots: vec![(server(0), 2)],
        shares: vec![],
    };
    assert!(!holder.accept(ms(1_000), &lease(node(2), 1, 900)), "another node's");
    assert!(!holder.accept(ms(1_000), &lease(node(1), 1, 500)), "ended already");
    assert!(!holder.accept(ms(1_000), &lease(node(1), 1, 1_001)), "echoes no report of this node");
    assert!(holder.accept(ms(1_000), &lease(node(1), 2, 900)));
    assert!(!holder.accept(ms(1_000), &lease(node(1), 2, 950)), "repeated");
    assert!(
        !holder.accept(ms(1_000), &SlotLease { term: 4, ..lease(node(1), 9, 950) }),
        "old term"
    );
    assert!(!holder.uses_equal_split(ms(1_399)));
    assert!(holder.uses_equal_split(ms(1_400)));
}

/// Guards against a node that stays without slots after the leader is lost.
#[test]
fn lost_leader_leads_to_equal_split() {
    let mut cell = Cell::new(16, 8, 6);
    cell.demand[3] = vec![0, 400, 0];
    cell.run(20);
    cell.now += 500;
    for i in 0..8 {
        assert_eq!(cell.allowed(server(i)), 6);
    }
    assert!((0..16).all(|i| cell.total(i) >= 1));
}

/// Guards against slots above a server's own when some nodes use the equal split and others leases.
#[test]
fn silent_nodes_keep_their_equal_split() {
    for cut_up in [true, false] {
        let mut cell = Cell::new(16, 8, 6);
        for demand in &mut cell.demand {
            *demand = vec![1, 5, 400];
        }
        for _ in 0..20 {
            cell.round();
        }
        for i in 0..4 {
            (cell.up[i], cell.down[i]) = (!cut_up, cut_up);
        }
        for _ in 0..50 {
            cell.round();
            for i in 0..8 {
                assert!(cell.allowed(server(i)) <= 6);
            }
        }
        assert!((0..4).all(|i| cell.holders[i].uses_equal_split(ms(cell.now))));
    }
}

/// Guards against a claim in the documentation on lists that differ which does not hold.
#[test]
fn differing_lists_exceed_by_the_stated_bound() {
    let all: Vec<NodeId> = (0..16).map(node).collect();
    for missing in 0..8 {
        for s in 0..20 {
            let share = |i: usize| {
                // Each node misses other peers than the next one does.
                let gone = |j: usize| j != i && (j + 16 - i) % 16 <= missing;
                let list: Vec<_> = (0..16).filter(|&j| !gone(j)).map(|j| all[j]).collect();
                sum(&equal_split(&[(server(s), 6)], &all[i], &list))
            };
            let total: u32 = (0..16).map(share).sum();
            let least = 16 - missing as u32;
            assert!(total <= 16 * 6u32.div_ceil(least));
        }
    }
    let alone: u32 = all.iter().map(|n| sum(&equal_split(&[(server(0), 6)], n, &[*n]))).sum();
    assert_eq!(alone, 96);
}

/// Guards against unexpired leases above a server's slots under loss, delay and changing demand.
#[test]
fn random_messages_never_overcommit() {
    let long = std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok());
    let steps: u64 = long.unwrap_or(4_000);
    for seed in 0..4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cell = Cell::new(6, 4, 6);
        let mut reports: Vec<DemandReport> = Vec::new();
        let mut leases: Vec<SlotLease> = Vec::new();
        for _ in 0..steps / 4 {
            cell.now += rng.random_range(1..60);
            let i = rng.random_range(0..6);
            if rng.random_bool(0.3) {
                cell.demand[i][rng.random_range(0..3)] = rng.random_range(0..60);
            }
            reports.push(cell.report(i));
            // Any message may arrive late, out of order, or never.
            if rng.random_bool(0.8) {
                let at = rng.random_range(0..reports.len());
                let report = reports.swap_remove(at);
                cell.allocator.report(ms(cell.now), &report);
            }
            if rng.random_bool(0.5) {
                leases.extend(cell.allocator.tick(ms(cell.now)));
            }
            for _ in 0..3 {
                if !leases.is_empty() && rng.random_bool(0.8) {
                    let at = rng.random_range(0..leases.len());
                    let lease = leases.swap_remove(at);
                    let i = (0..6).find(|&i| node(i) == lease.node).expect("a member");
                    cell.holders[i].accept(ms(cell.now), &lease);
                }
            }
            reports.truncate(20);
            leases.truncate(40);
            for s in 0..4 {
                assert!(cell.allocator.leased(server(s)) <= 6, "seed {seed}");
                let by_lease = cell.holders.iter().filter(|h| !h.uses_equal_split(ms(cell.now)));
                let slots = by_lease.flat_map(|h| h.slots(ms(cell.now)));
                let held: u32 = slots.filter(|(a, _)| *a == server(s)).map(|(_, n)| n).sum();
                assert!(held <= 6, "seed {seed}: holders use {held} slots of one server");
            }
        }
    }
}

/// Guards against slot leases that use slots worse than a fixed split, or overcommit servers at all.
#[test]
fn leases_beat_an_equal_split_under_skew() {
    let load = |rank, rate| Load {
        rank,
        first_workspace: 0,
        workspaces: 20,
        rate,
        service: Span::from_millis(50),
        deadline: Span::from_secs(1),
        target: Span::from_millis(300),
    };
    let loads = [load(0, 570.0), load(1, 770.0), load(2, 570.0)];
    let fleet = Fleet { skew: 0.7, seconds: 10, ..Fleet::default() };
    let leases = run(&fleet, &loads);
    let equal = run(&Fleet { policy: Policy::EqualSplit, ..fleet }, &loads);
    assert!(leases.peak_overcommit <= 1.0);
    assert!(leases.idle_queued < equal.idle_queued);
    let urgent = &leases.loads[0];
    assert!(urgent.in_target * 100 >= urgent.offered * 99);
}
