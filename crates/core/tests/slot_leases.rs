//! Slot leases: the leader's allocator and the holders on the nodes.

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

/// An allocator and its holders, whose messages arrive at once unless a link is cut.
struct Harness {
    allocator: LeaseAllocator,
    holders: Vec<LeaseHolder>,
    demand: Vec<Vec<u32>>,
    in_flight: Vec<HashMap<ServerAddr, u32>>,
    uplink: Vec<bool>,
    downlink: Vec<bool>,
    now: u64,
    moved_slots: u32,
}

impl Harness {
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
        Harness {
            allocator,
            holders: ids.iter().map(holder).collect(),
            demand: vec![vec![0; 3]; nodes],
            in_flight: vec![HashMap::new(); nodes],
            uplink: vec![true; nodes],
            downlink: vec![true; nodes],
            now: 0,
            moved_slots: 0,
        }
    }

    fn report(&mut self, i: usize) -> DemandReport {
        let in_flight: Vec<_> = self.in_flight[i].iter().map(|(&s, &n)| (s, n)).collect();
        self.holders[i].report(ms(self.now), self.demand[i].clone(), &in_flight)
    }

    fn round(&mut self) -> Vec<SlotLease> {
        self.now += 100;
        for i in 0..self.holders.len() {
            if self.uplink[i] {
                let report = self.report(i);
                self.allocator.report(ms(self.now), &report);
            }
        }
        let leases = self.allocator.tick(ms(self.now));
        for lease in &leases {
            let i = (0..self.holders.len())
                .find(|&i| node(i) == lease.node)
                .expect("the lease is for a known node");
            if self.downlink[i] {
                let before: HashMap<_, _> =
                    self.holders[i].slots(ms(self.now)).into_iter().collect();
                assert!(self.holders[i].accept(ms(self.now), lease));
                for &(server, slots) in &lease.slots {
                    self.moved_slots += slots.saturating_sub(*before.get(&server).unwrap_or(&0));
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

    /// Returns the slots of `server` that all holders together may use now.
    fn allowed(&self, server: ServerAddr) -> u32 {
        let slots = self.holders.iter().flat_map(|h| h.slots(ms(self.now)));
        slots.filter(|(s, _)| *s == server).map(|(_, n)| n).sum()
    }
}

/// Guards against slots that stay with idle nodes while others need them.
#[test]
fn slots_follow_demand() {
    let mut harness = Harness::new(16, 8, 6);
    harness.demand[3] = vec![0, 400, 0];
    harness.run(20);
    // Each idle node keeps at most one of the 48 slots.
    assert!(harness.total(3) >= 33, "the busy node holds {}", harness.total(3));
}

/// Guards against a node that has demand but no slot although there are enough for all.
#[test]
fn every_node_with_demand_gets_a_slot() {
    let mut harness = Harness::new(16, 3, 6);
    for i in 0..16 {
        harness.demand[i] = vec![0, 0, if i < 2 { 5_000 } else { 1 }];
    }
    harness.run(20);
    assert!((0..16).all(|i| harness.total(i) >= 1));
}

/// Guards against nodes that never get a slot when there are fewer slots than nodes with demand.
#[test]
fn scarce_slots_rotate_among_nodes_with_demand() {
    let mut harness = Harness::new(16, 1, 6);
    for demand in &mut harness.demand {
        *demand = vec![0, 0, 10];
    }
    let mut served = [false; 16];
    for _ in 0..200 {
        harness.round();
        for (i, served) in served.iter_mut().enumerate() {
            *served |= harness.total(i) > 0;
        }
    }
    assert_eq!(served, [true; 16]);
}

/// Guards against a node without slots that waits for the next regular tick, and against a tick for every report.
#[test]
fn report_of_a_node_without_slots_brings_the_tick_forward() {
    let mut harness = Harness::new(16, 1, 6);
    for i in 0..8 {
        harness.demand[i] = vec![0, 0, 10];
    }
    harness.run(20);
    let empty: Vec<usize> = (0..8).filter(|&i| harness.total(i) == 0).collect();
    harness.now += 30;
    let report = harness.report(empty[0]);
    harness.allocator.report(ms(harness.now), &report);
    assert!(harness.allocator.next_tick() <= ms(harness.now));
    harness.allocator.tick(ms(harness.now));
    harness.now += 10;
    let report = harness.report(empty[1]);
    harness.allocator.report(ms(harness.now), &report);
    assert_eq!(harness.allocator.next_tick(), ms(harness.now + 10));
}

/// Guards against slots that move between nodes although demand stays the same.
#[test]
fn steady_demand_moves_no_slots() {
    let mut harness = Harness::new(16, 20, 6);
    for (i, demand) in harness.demand.iter_mut().enumerate() {
        *demand = vec![1 + i as u32 % 3, i as u32, 40];
    }
    harness.run(50);
    harness.moved_slots = 0;
    harness.run(50);
    assert_eq!(harness.moved_slots, 0);
}

/// Guards against a flood at some nodes that takes the slots that urgent requests need at another.
#[test]
fn urgent_share_is_kept_across_nodes() {
    let mut harness = Harness::new(4, 4, 6);
    harness.demand[0] = vec![10, 0, 0];
    for i in 1..4 {
        harness.demand[i] = vec![0, 0, 100_000];
    }
    harness.run(20);
    assert!(harness.total(0) >= 10, "the node with urgent work holds {}", harness.total(0));
}

/// Guards against a slot that is leased again while its previous holder still has a request in flight on it.
#[test]
fn slot_moves_after_it_is_released() {
    let mut harness = Harness::new(2, 1, 6);
    harness.demand[0] = vec![100, 0, 0];
    harness.run(20);
    let held = harness.total(0);
    harness.in_flight[0].insert(server(0), held);
    harness.demand = vec![vec![0, 0, 0], vec![100, 0, 0]];
    for _ in 0..30 {
        harness.round();
        assert!(harness.total(1) <= 6 - held);
    }
    harness.in_flight[0].insert(server(0), 0);
    harness.round();
    harness.round();
    assert!(harness.total(1) >= 5, "the other node holds {}", harness.total(1));
}

/// Guards against first leases that ignore the equal split which a node starts to use after its report.
///
/// The fleet simulation with its default seed (7) found unexpired leases of 7 slots at a server of 6.
#[test]
fn first_leases_leave_room_for_the_equal_split() {
    let mut harness = Harness::new(2, 1, 6);
    harness.demand[0] = vec![100, 0, 0];
    harness.now = 450;
    for i in 0..2 {
        let report = harness.report(i);
        assert_eq!(report.held, vec![]);
        harness.allocator.report(ms(450), &report);
    }
    let leases = harness.allocator.tick(ms(511));
    assert_eq!(sum(&leases[0].slots), 3);
}

/// Guards against leasing slots for the requests in flight of a node that was cut off, although these slots were
/// leased to others meanwhile.
///
/// Found by `random_messages_never_overcommit` with seed 0; the allocator checks the sum in `tick`.
#[test]
fn returning_node_gets_no_slots_that_were_leased_meanwhile() {
    let mut harness = Harness::new(2, 1, 6);
    harness.demand[0] = vec![100, 0, 0];
    harness.run(20);
    let held = harness.total(0);
    assert!(held >= 5);
    harness.in_flight[0].insert(server(0), held);
    harness.demand[1] = vec![100, 0, 0];
    (harness.uplink[0], harness.downlink[0]) = (false, false);
    harness.run(20);
    assert_eq!(harness.total(1), 3);
    (harness.uplink[0], harness.downlink[0]) = (true, true);
    harness.demand[1] = vec![0, 0, 0];
    for _ in 0..20 {
        harness.round();
        assert!(harness.allocator.leased(server(0)) <= 6);
    }
}

/// Guards against delayed, repeated or other nodes' leases that take effect.
#[test]
fn stale_repeated_and_foreign_leases_are_refused() {
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
    assert!(!holder.accept(ms(1_000), &lease(node(2), 1, 900)), "leased to another node");
    assert!(!holder.accept(ms(1_000), &lease(node(1), 1, 500)), "expired already");
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

/// Guards against nodes that have no slots after the leader is lost.
#[test]
fn lost_leader_leads_to_equal_split() {
    let mut harness = Harness::new(16, 8, 6);
    harness.demand[3] = vec![0, 400, 0];
    harness.run(20);
    harness.now += 500;
    for i in 0..8 {
        assert_eq!(harness.allowed(server(i)), 6);
    }
    assert!((0..16).all(|i| harness.total(i) >= 1));
}

/// Guards against exceeding a server's slots while some nodes use the equal split and others have leases.
#[test]
fn nodes_cut_off_from_the_leader_use_their_equal_split() {
    for cut_uplink in [true, false] {
        let mut harness = Harness::new(16, 8, 6);
        for demand in &mut harness.demand {
            *demand = vec![1, 5, 400];
        }
        for _ in 0..20 {
            harness.round();
        }
        for i in 0..4 {
            (harness.uplink[i], harness.downlink[i]) = (!cut_uplink, cut_uplink);
        }
        for _ in 0..50 {
            harness.round();
            for i in 0..8 {
                assert!(harness.allowed(server(i)) <= 6);
            }
        }
        assert!((0..4).all(|i| harness.holders[i].uses_equal_split(ms(harness.now))));
    }
}

/// Guards against nodes with differing member lists that exceed a server's slots by more than the documented bound.
#[test]
fn equal_split_of_differing_lists_stays_within_the_stated_bound() {
    let all: Vec<NodeId> = (0..16).map(node).collect();
    for missing in 0..8 {
        for s in 0..20 {
            let share = |i: usize| {
                // Each node lacks different peers.
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

/// Guards against unexpired leases that exceed a server's slots under loss, delay and changing demand.
#[test]
fn random_messages_never_overcommit() {
    let long = std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok());
    let steps: u64 = long.unwrap_or(4_000);
    for seed in 0..4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::new(6, 4, 6);
        let mut reports: Vec<DemandReport> = Vec::new();
        let mut leases: Vec<SlotLease> = Vec::new();
        for _ in 0..steps / 4 {
            harness.now += rng.random_range(1..60);
            let i = rng.random_range(0..6);
            if rng.random_bool(0.3) {
                harness.demand[i][rng.random_range(0..3)] = rng.random_range(0..60);
            }
            reports.push(harness.report(i));
            // Messages may arrive late, out of order, or never.
            if rng.random_bool(0.8) {
                let at = rng.random_range(0..reports.len());
                let report = reports.swap_remove(at);
                harness.allocator.report(ms(harness.now), &report);
            }
            if rng.random_bool(0.5) {
                leases.extend(harness.allocator.tick(ms(harness.now)));
            }
            for _ in 0..3 {
                if !leases.is_empty() && rng.random_bool(0.8) {
                    let at = rng.random_range(0..leases.len());
                    let lease = leases.swap_remove(at);
                    let i = (0..6)
                        .find(|&i| node(i) == lease.node)
                        .expect("the lease is for a known node");
                    harness.holders[i].accept(ms(harness.now), &lease);
                }
            }
            reports.truncate(20);
            leases.truncate(40);
            for s in 0..4 {
                assert!(harness.allocator.leased(server(s)) <= 6, "seed {seed}");
                let by_lease =
                    harness.holders.iter().filter(|h| !h.uses_equal_split(ms(harness.now)));
                let slots = by_lease.flat_map(|h| h.slots(ms(harness.now)));
                let held: u32 = slots.filter(|(a, _)| *a == server(s)).map(|(_, n)| n).sum();
                assert!(held <= 6, "seed {seed}: holders use {held} slots of one server");
            }
        }
    }
}

/// Guards against leases that leave more slots idle than a fixed split does, or that overcommit a server.
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
