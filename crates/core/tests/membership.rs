//! Membership views built from heartbeats, under loss, cuts, pauses and restarts.

use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{NodeId, StartId, Version},
    process::{
        heartbeat::{GossipUpdate, Heartbeat, NodeAddresses, NodeState},
        membership::{
            LocalNode, MemberEvent, Membership, MembershipOptions, VmEntry, MAX_FULL_MESH,
        },
    },
    time::{Span, Timestamp},
};
use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
};

const STEP_MS: u64 = 50;

fn at(ms: u64) -> Timestamp {
    // One day after the clock's start, so that counters have their usual encoded size.
    Timestamp::from_micros(86_400_000_000 + ms * 1000)
}

fn addr(n: usize) -> SocketAddr {
    ([127, 1, (n / 250) as u8, (n % 250) as u8], 7000).into()
}

/// Returns a node id whose start id has its full encoded length.
fn id(n: usize, start: u64) -> NodeId {
    NodeId { addr: addr(n), start: StartId(0xfedc_ba98_7654_0000 + start) }
}

fn start(n: usize, start: u64, now: Timestamp) -> Membership {
    let addresses =
        NodeAddresses { entry: ([127, 1, 9, 9], 8080).into(), data_centre: "concord".into() };
    let (node, state) = (id(n, start), NodeState::Serving);
    let local = LocalNode {
        node,
        addresses,
        state,
        version: Version(70_000),
        term: 70_000,
        successor: None,
    };
    Membership::new(now, MembershipOptions::default(), local)
}

/// Returns the length of an integer as postcard writes it: seven bits a byte.
fn varint(x: u64) -> usize {
    (64 - (x | 1).leading_zeros() as usize).div_ceil(7)
}

fn addr_len(a: SocketAddr) -> usize {
    assert!(a.is_ipv4());
    1 + 4 + varint(u64::from(a.port()))
}

fn node_len(n: NodeId) -> usize {
    addr_len(n.addr) + varint(n.start.0)
}

fn addresses_len(i: &NodeAddresses) -> usize {
    addr_len(i.entry) + 1 + i.data_centre.as_str().len()
}

/// Returns the size of a heartbeat in postcard: each variant, option and length takes one byte.
fn size(h: &Heartbeat) -> usize {
    let updates = h.updates.iter().map(|n| match n {
        GossipUpdate::Member { node, addresses, counter, .. } => {
            2 + node_len(*node) + addresses_len(addresses) + varint(*counter)
        }
        GossipUpdate::Silent { node, counter, .. } | GossipUpdate::Alive { node, counter, .. } => {
            2 + node_len(*node) + varint(*counter)
        }
        GossipUpdate::Successor { node, successor } => 1 + node_len(*node) + node_len(*successor),
    });
    let drains = h.drains.iter().map(|d| 2 + addr_len(d.server.0) + varint(u64::from(d.counter)));
    node_len(h.node)
        + 1
        + varint(h.sent)
        + 1
        + h.echo.map_or(0, |e| varint(e.sent) + varint(e.held))
        + varint(h.version.0)
        + varint(h.term)
        + 1
        + h.addresses.as_ref().map_or(0, addresses_len)
        + 1
        + h.successor.map_or(0, node_len)
        + 1
        + updates.sum::<usize>()
        + 1
        + drains.sum::<usize>()
}

/// A simulated fleet that exchanges heartbeats on virtual time.
struct Fleet {
    rng: ChaCha8Rng,
    ms: u64,
    nodes: Vec<Membership>,
    ids: Vec<NodeId>,
    /// Time in ms until which each node is paused.
    paused_until: Vec<u64>,
    /// Cut links, as sender and receiver.
    cuts: HashSet<(usize, usize)>,
    loss: f64,
    /// Heartbeats in transit: time of arrival in ms, receiver, content.
    in_transit: Vec<(u64, usize, Heartbeat)>,
    index: HashMap<SocketAddr, usize>,
    events: Vec<(u64, usize, MemberEvent)>,
    sent: u64,
    bytes: u64,
    largest: usize,
}

impl Fleet {
    fn new(n: usize, seed: u64) -> Self {
        let mut nodes: Vec<_> = (0..n).map(|i| start(i, 1, at(0))).collect();
        for m in &mut nodes {
            // Small fleets find their members by address, large ones read them from the log.
            if n > MAX_FULL_MESH {
                m.add_recorded(at(0), (0..n).map(|i| id(i, 1)));
                // Every eighth node is a leader, to which all others send heartbeats.
                m.set_leaders((0..n).step_by(8).map(addr));
            } else {
                m.add_seeds((0..n).map(addr));
            }
        }
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ms: 0,
            nodes,
            ids: (0..n).map(|i| id(i, 1)).collect(),
            paused_until: vec![0; n],
            cuts: HashSet::new(),
            loss: 0.01,
            in_transit: Vec::new(),
            index: (0..n).map(|i| (addr(i), i)).collect(),
            events: Vec::new(),
            sent: 0,
            bytes: 0,
            largest: 0,
        }
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let now = at(self.ms);
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(t, ..)| *t <= self.ms);
        self.in_transit = rest;
        for (_, to, h) in due {
            // A paused process reads the datagrams in its socket buffer when it wakes.
            if self.paused_until[to] > self.ms {
                if self.paused_until[to] < self.ms + 500 {
                    self.in_transit.push((self.paused_until[to], to, h));
                }
            } else {
                self.nodes[to].receive_heartbeat(now, &h);
            }
        }
        for i in 0..self.nodes.len() {
            if self.paused_until[i] > self.ms || !(self.ms / STEP_MS + i as u64).is_multiple_of(5) {
                continue;
            }
            let m = &mut self.nodes[i];
            self.events.extend(m.tick(now).into_iter().map(|e| (self.ms, i, e)));
            for to in m.targets(now, &mut self.rng) {
                let h = m.heartbeat(now, to, Vec::new());
                self.sent += 1;
                let bytes = size(&h);
                self.bytes += bytes as u64;
                self.largest = self.largest.max(bytes);
                let to = self.index[&to];
                if !self.cuts.contains(&(i, to)) && !self.rng.random_bool(self.loss) {
                    self.in_transit.push((self.ms + STEP_MS, to, h));
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.step();
        }
    }

    /// Returns how many nodes lost `node`, and the time in ms from `since` until the last one did.
    fn losses(&self, node: NodeId, since: u64) -> (usize, u64) {
        let hits = self.events.iter().filter(|(_, _, e)| *e == MemberEvent::Lost(node));
        let times: Vec<u64> = hits.map(|(t, ..)| t - since).collect();
        (times.len(), times.into_iter().max().unwrap_or(0))
    }
}

/// Guards against nodes that do not find each other, traffic per node above its bounds, a killed node that is
/// noticed late, and a running node that counts as lost.
fn check_fleet(n: usize, settle_ms: u64) {
    let mut f = Fleet::new(n, 7);
    f.run(settle_ms);
    let known = f.nodes.iter().map(|m| m.members().count()).min().unwrap();
    assert_eq!(known, n - 1, "every node knows every other");
    let losses = f.events.iter().filter(|(_, _, e)| matches!(e, MemberEvent::Lost(_))).count();
    assert_eq!(losses, 0, "no node is lost while all run");
    (f.sent, f.bytes, f.largest) = (0, 0, 0);
    f.run(5_000);
    let per_node = n as f64 * 5.0;
    let (rate, bytes) = (f.sent as f64 / per_node, f.bytes as f64 / per_node);
    println!(
        "{n} nodes: {rate:.1} heartbeats/s, {bytes:.0} bytes/s per node, largest {}",
        f.largest
    );
    assert!(bytes <= 3072.0, "{bytes} bytes/s per node");
    assert!(rate <= 64.0, "{rate} heartbeats/s per node");
    // Kill a node.
    let (killed, since) = (n / 2, f.ms);
    f.paused_until[killed] = u64::MAX;
    f.run(6_000);
    let (count, last) = f.losses(f.ids[killed], since);
    println!("{n} nodes: a killed node is lost at {count} nodes, at the latest after {last} ms");
    assert_eq!(count, n - 1);
    assert!(last <= 5_000, "{last} ms");
    let others = f
        .events
        .iter()
        .filter(|(_, _, e)| matches!(e, MemberEvent::Lost(x) if *x != f.ids[killed]));
    assert_eq!(others.count(), 0, "no running node is lost");
    assert!(f.largest <= 1200, "the largest datagram has {} bytes", f.largest);
}

#[test]
fn fleet_of_4_finds_members_and_losses_within_bounds() {
    check_fleet(4, 5_000);
}

#[test]
fn fleet_of_16_finds_members_and_losses_within_bounds() {
    check_fleet(16, 5_000);
}

#[test]
fn fleet_of_100_finds_members_and_losses_within_bounds() {
    check_fleet(100, 10_000);
}

#[test]
fn fleet_of_750_finds_members_and_losses_within_bounds() {
    check_fleet(750, 3_000);
}

/// Guards against a large fleet that learns late of a new node: most nodes never receive its heartbeats.
#[test]
fn new_node_is_known_to_a_large_fleet() {
    let mut f = Fleet::new(100, 3);
    f.run(3_000);
    f.nodes[40] = start(40, 2, at(f.ms));
    f.nodes[40].add_recorded(at(f.ms), (0..100).map(|i| id(i, 1)));
    f.run(3_000);
    let knows = |m: &Membership| m.member(addr(40)).is_some_and(|x| x.node == id(40, 2));
    assert_eq!(f.nodes.iter().filter(|m| knows(m)).count(), 99);
    assert!(!f.events.iter().any(|(_, _, e)| matches!(e, MemberEvent::Lost(_))));
}

/// Guards against taking a new process for the previous one at the same address.
#[test]
fn new_start_replaces_the_old_one() {
    let mut f = Fleet::new(4, 1);
    f.run(3_000);
    let (old, new, now) = (f.ids[2], id(2, 2), at(f.ms));
    let late = f.nodes[2].heartbeat(now, addr(0), Vec::new());
    f.nodes[2] = start(2, 2, now);
    f.nodes[2].add_seeds((0..4).map(addr));
    f.run(1_000);
    let replaced = MemberEvent::Replaced { old, new };
    assert_eq!(f.events.iter().filter(|(_, _, e)| *e == replaced).count(), 3);
    f.nodes[0].receive_heartbeat(at(f.ms), &late);
    assert!(
        f.nodes[0].is_usable(at(f.ms), new),
        "a late datagram of the old process changes nothing"
    );
    assert!(!f.nodes[0].is_usable(at(f.ms), old));
    assert!(f.nodes[0].is_gone(at(f.ms), old));
}

/// Guards against using a link that is cut in one direction, and against losing the node at its other end.
#[test]
fn one_way_cut_makes_both_ends_unusable_and_loses_no_node() {
    let mut f = Fleet::new(4, 1);
    f.run(3_000);
    f.cuts.insert((0, 1));
    f.run(2_500);
    for _ in 0..500 {
        f.step();
        // The process test of one-way cuts found an entry that left and returned every 2 s.
        for node in [1, 2, 3] {
            let suspect = f.nodes[node].member(addr(0)).is_none_or(|m| m.suspect);
            assert!(!suspect, "{} ms: {node} suspects a live peer", f.ms);
        }
        assert!(!f.nodes[0].is_usable(at(f.ms), f.ids[1]), "node 1 does not receive from node 0");
        assert!(!f.nodes[1].is_usable(at(f.ms), f.ids[0]), "node 0 does not reach node 1");
        assert!(
            f.nodes[2].is_usable(at(f.ms), f.ids[0]) && f.nodes[2].is_usable(at(f.ms), f.ids[1])
        );
    }
    assert!(!f.events.iter().any(|(_, _, e)| matches!(e, MemberEvent::Lost(_))));
    for (a, b) in [(0, 1), (1, 0)] {
        let found =
            |(_, n, e): &(u64, usize, MemberEvent)| *n == a && *e == MemberEvent::OneWay(f.ids[b]);
        assert!(f.events.iter().any(found), "{a} reports the cut");
    }
    f.cuts.clear();
    f.run(1_500);
    assert!(f.nodes[0].is_usable(at(f.ms), f.ids[1]) && f.nodes[1].is_usable(at(f.ms), f.ids[0]));
}

/// Guards against a woken process that mistakes its own pause for the loss of its peers.
#[test]
fn woken_node_loses_no_peer() {
    let mut f = Fleet::new(6, 1);
    f.run(3_000);
    f.paused_until[3] = f.ms + 20_000;
    f.run(25_000);
    let by_woken = |e: &&(u64, usize, MemberEvent)| e.1 == 3 && matches!(e.2, MemberEvent::Lost(_));
    assert_eq!(f.events.iter().filter(by_woken).count(), 0);
    assert!((0..6).filter(|i| *i != 3).all(|i| f.nodes[i].is_usable(at(f.ms), f.ids[3])));
}

/// Guards against recording a member as gone while it may still run.
#[test]
fn node_is_gone_only_after_silence_and_absence_from_the_vm_list() {
    let mut f = Fleet::new(3, 1);
    f.run(3_000);
    let (dead, ip): (NodeId, IpAddr) = (f.ids[2], addr(2).ip());
    let list = |leaving| [VmEntry { ip, leaving }];
    f.nodes[0].update_vm_list(at(f.ms), &list(true));
    assert_eq!(f.nodes[0].member(addr(2)).unwrap().state, NodeState::Leaving);
    f.nodes[0].update_vm_list(at(f.ms), &list(false));
    for _ in 0..12 {
        f.run(1_000);
        f.nodes[0].update_vm_list(at(f.ms), &[]);
    }
    assert!(!f.nodes[0].is_gone(at(f.ms), dead), "absent from the VM list but sending");
    f.paused_until[2] = u64::MAX;
    f.nodes[0].update_vm_list(at(f.ms), &list(false));
    f.run(5_000);
    f.nodes[0].update_vm_list(at(f.ms), &[]);
    assert!(
        !f.nodes[0].is_gone(at(f.ms), dead),
        "silent, but absent from the VM list for only 5 s"
    );
    f.run(5_000);
    assert!(!f.nodes[0].is_gone(at(f.ms), dead), "the VM list is outdated");
    f.nodes[0].update_vm_list(at(f.ms), &[]);
    assert!(f.nodes[0].is_gone(at(f.ms), dead));
}

/// Guards against a round-trip estimate that includes the time for which the peer held the echo.
#[test]
fn round_trip_estimate_excludes_the_time_the_echo_was_held() {
    let mut f = Fleet::new(3, 1);
    f.run(5_000);
    let rtt = f.nodes[0].member(addr(1)).unwrap().rtt.unwrap();
    assert_eq!(rtt, Span::from_millis(2 * STEP_MS));
}

/// Runs a fleet of `n` nodes under random cuts, pauses and restarts and checks its views after each step.
fn run(seed: u64, n: usize, steps: u64) -> Result<(), String> {
    let mut f = Fleet::new(n, seed);
    f.run(5_000);
    let mut starts = 1;
    let mut cut_at: HashMap<(usize, usize), u64> = HashMap::new();
    let mut disturbed = f.ms;
    for _ in 0..steps {
        let (i, j) = (f.rng.random_range(0..n), f.rng.random_range(0..n));
        match f.rng.random_range(0..1000) {
            0..=5 if i != j && f.cuts.insert((i, j)) => {
                cut_at.insert((i, j), f.ms);
            }
            6..=8 => {
                f.cuts.clear();
                cut_at.clear();
            }
            9..=11 => f.paused_until[i] = f.ms + f.rng.random_range(500..10_000),
            12..=13 => {
                starts += 1;
                f.ids[i] = id(i, starts);
                f.nodes[i] = start(i, starts, at(f.ms));
                f.nodes[i].add_seeds((0..n).map(addr));
                f.paused_until[i] = 0;
                disturbed = f.ms;
            }
            _ => {}
        }
        f.step();
        for (&(a, b), t) in &cut_at {
            // Both ends notice a cut within the suspicion time, one heartbeat interval and the delays.
            let awake = f.paused_until[a] + 2_500 < f.ms && f.paused_until[b] + 2_500 < f.ms;
            if !awake || f.ms < t.max(&disturbed) + 2_500 {
                continue;
            }
            for (x, y) in [(a, b), (b, a)] {
                if f.nodes[x].is_usable(at(f.ms), f.ids[y]) {
                    return Err(format!("{} ms: {x} uses {y} over the cut {a} to {b}", f.ms));
                }
            }
        }
    }
    f.cuts.clear();
    f.paused_until.fill(0);
    f.run(6_000);
    for i in 0..n {
        for j in (0..n).filter(|j| *j != i) {
            if !f.nodes[i].is_usable(at(f.ms), f.ids[j]) {
                return Err(format!("{i} does not use {j} after 6 s without faults"));
            }
        }
    }
    Ok(())
}

/// Guards against views that use a cut link, or that do not recover after the cut.
#[test]
fn views_drop_cut_links_and_recover() {
    fn property(seed: u64) -> bool {
        if let Err(e) = run(seed, 6, 2000) {
            panic!("seed {seed}: {e}");
        }
        true
    }
    let gen = Gen::from_size_and_seed(100, 0x5eed);
    QuickCheck::new().rng(gen).tests(15).quickcheck(property as fn(u64) -> bool);
    let long = std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    run(1_000, 6, long).unwrap();
}
