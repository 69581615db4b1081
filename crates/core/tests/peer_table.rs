//! The peer table: what one node knows of the others from their status messages.

use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    cases,
    process::{
        peer_table::{NodeState, NodeStatus, PeerTable, PeerTableOptions},
        stream_position::StreamPosition,
    },
    time::{Span, Timestamp},
};
use std::net::SocketAddr;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(100_000 + millis)
}

fn offset(offset: u64) -> StreamPosition {
    StreamPosition::new(0, offset)
}

fn addr(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn status(number: u8, zone: &str, state: NodeState) -> NodeStatus {
    let entry = ([10, 0, 0, number], 8_000).into();
    NodeStatus {
        start: 1,
        entry,
        zone: zone.into(),
        state,
        config_version: 3,
        registry_position: offset(9),
        store_reachable: true,
        cpu_share: None,
        slowdown: None,
    }
}

/// Returns the peer table of node 5 in zone a, with a status of nodes 1 to 4 in zone a and 6 to 9 in zone b.
fn peers() -> PeerTable {
    let mut peers = PeerTable::new(PeerTableOptions::default(), addr(5), "a".into());
    for number in [1, 2, 3, 4, 6, 7, 8, 9] {
        let zone = if number < 5 { "a" } else { "b" };
        peers.record_status(at(0), addr(number), status(number, zone, NodeState::Ready));
    }
    peers
}

fn entries(peers: &PeerTable, now: Timestamp, zone: &str) -> Vec<u8> {
    let own = Some(([10, 0, 0, 5], 8_000).into());
    let found = peers.entries(now, zone, own, 64, &mut StdRng::seed_from_u64(3));
    found.iter().filter_map(|entry| entry.to_string()[7..8].parse().ok()).collect()
}

/// Guards against sending callers to another data centre although entries of their own serve.
#[test]
fn callers_get_entries_of_their_data_centre() {
    let peers = peers();
    assert_eq!(entries(&peers, at(100), "a"), [1, 2, 3, 4, 5]);
    assert_eq!(entries(&peers, at(100), "b"), [6, 7, 8, 9]);
    assert_eq!(entries(&peers, at(100), "unknown").len(), 9);
}

/// Guards against sending callers to entries that stop or are silent, and against giving them a single entry.
#[test]
fn stopping_and_silent_nodes_are_not_listed_as_entries() {
    let mut peers = peers();
    for number in 1..4 {
        peers.record_status(at(50), addr(number), status(number, "a", NodeState::Stopping));
    }
    peers.record_status(at(950), addr(4), status(4, "a", NodeState::Ready));
    assert_eq!(entries(&peers, at(1_000), "a"), [4, 5]);
    peers.record_status(at(1_000), addr(4), status(4, "a", NodeState::Stopping));
    assert_eq!(entries(&peers, at(1_000), "a"), [5, 6, 7, 8, 9]);
    assert_eq!(entries(&peers, at(5_000), "a"), [5]);
}

/// Guards against a data centre in which no node, or every node, reads from the store.
#[test]
fn two_nodes_of_a_data_centre_follow_the_store() {
    let mut peers = peers();
    assert!(!peers.is_reader(at(100), 0));
    assert!(!peers.is_writer(at(100)));
    for number in [1, 2, 3] {
        let status = NodeStatus { store_reachable: false, ..status(number, "a", NodeState::Ready) };
        peers.record_status(at(100), addr(number), status);
    }
    assert!(peers.is_reader(at(200), 0), "only node 4 has precedence");
    assert!(peers.is_reader(at(9_000), 0), "all peers are silent");
    assert!(peers.is_writer(at(9_000)));
}

/// Guards against all nodes calling an unreachable store, and against none doing so.
#[test]
fn two_nodes_of_a_data_centre_probe_an_unreachable_store() {
    let mut peers = peers();
    for number in [1, 2, 3, 4] {
        let status = NodeStatus { store_reachable: false, ..status(number, "a", NodeState::Ready) };
        peers.record_status(at(100), addr(number), status);
    }
    assert!(!peers.is_prober(at(200), 0));
    for number in [2, 3, 4] {
        peers.record_status(at(300), addr(number), status(number, "a", NodeState::Stopping));
    }
    assert!(peers.is_prober(at(400), 0), "only node 1 has precedence");
}

/// Guards against asking a peer for updates that it does not have.
#[test]
fn newest_peer_is_asked_for_updates() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut peers = peers();
    assert_eq!(peers.newer_peer(at(100), 3, offset(9), &mut rng), None);
    peers.record_status(
        at(100),
        addr(8),
        NodeStatus { registry_position: offset(10), ..status(8, "b", NodeState::Ready) },
    );
    assert_eq!(peers.newer_peer(at(100), 3, offset(9), &mut rng), Some(addr(8)));
    peers.record_status(
        at(100),
        addr(2),
        NodeStatus { registry_position: offset(10), ..status(2, "a", NodeState::Ready) },
    );
    assert_eq!(
        peers.newer_peer(at(100), 3, offset(9), &mut rng),
        Some(addr(2)),
        "the peer in the own data centre"
    );
    peers.record_status(
        at(100),
        addr(9),
        NodeStatus { config_version: 4, ..status(9, "b", NodeState::Ready) },
    );
    assert_eq!(peers.newer_peer(at(100), 3, offset(9), &mut rng), Some(addr(9)));
    assert_eq!(
        peers.newer_peer(at(5_000), 0, offset(0), &mut rng),
        None,
        "silent nodes are not asked"
    );
}

/// Guards against taking a restarted node for its previous process and so not telling it of the other nodes.
#[test]
fn restarted_node_counts_as_new() {
    let mut peers = peers();
    assert!(!peers.record_status(at(100), addr(1), status(1, "a", NodeState::Ready)));
    assert!(peers.record_status(
        at(200),
        addr(1),
        NodeStatus { start: 2, ..status(1, "a", NodeState::Ready) }
    ));
    assert!(
        !peers.record_status(at(200), addr(5), status(5, "a", NodeState::Ready)),
        "its own message"
    );
}

/// Guards against traffic between data centres that grows with the fleet.
#[test]
fn messages_to_other_data_centres_are_bounded() {
    let mut peers = PeerTable::new(PeerTableOptions::default(), addr(255), "a".into());
    for number in 1..=100 {
        let zone = if number <= 50 { "a" } else { "b" };
        peers.record_status(at(0), addr(number), status(number, zone, NodeState::Ready));
    }
    let mut rng = StdRng::seed_from_u64(3);
    let due = peers.take_due(at(10), &mut rng);
    let options = PeerTableOptions::default();
    assert_eq!(due.len(), options.near_fanout + options.far_fanout);
    let (near, relays) = peers.report_targets(at(10), &mut rng);
    assert_eq!((near.len(), relays.len()), (options.near_fanout, 1));
}

/// Guards against messages that grow with the square of the fleet, and against nodes that lose each other because of
/// the bound.
#[test]
fn messages_of_a_node_are_bounded_in_a_large_data_centre() {
    let mut peers = PeerTable::new(PeerTableOptions::default(), addr(255), "a".into());
    let mut rng = StdRng::seed_from_u64(3);
    let mut sent = 0;
    for tick in 0..100 {
        let now = at(tick * 100);
        for number in (1..=96).filter(|number| u64::from(number % 12) == tick % 12) {
            peers.record_status(now, addr(number), status(number, "a", NodeState::Ready));
        }
        sent += peers.take_due(now, &mut rng).len();
        assert!(
            tick < 12 || peers.live_count(now) == 97,
            "tick {tick}: {} nodes are live",
            peers.live_count(now)
        );
    }
    assert!((700..=900).contains(&sent), "24 each 300 ms are 800 in 10 s: {sent}");
}

/// Guards against all nodes of a data centre fetching a large configuration from one peer and filling its link.
#[test]
fn peers_with_equal_versions_are_all_asked() {
    let peers = peers();
    let mut rng = StdRng::seed_from_u64(5);
    let asked: std::collections::HashSet<_> =
        (0..50).filter_map(|_| peers.newer_peer(at(100), 2, offset(9), &mut rng)).collect();
    assert_eq!(asked, [1, 2, 3, 4].map(addr).into_iter().collect());
}

/// Guards against nodes that take the long stream of a lost store for newer than the short one of its restored copy.
#[test]
fn peer_that_read_the_restored_store_is_asked() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut peers = peers();
    let restored = StreamPosition::new(1, 4);
    peers.record_status(
        at(100),
        addr(8),
        NodeStatus { registry_position: restored, ..status(8, "b", NodeState::Ready) },
    );
    assert_eq!(peers.newer_peer(at(100), 3, offset(9), &mut rng), Some(addr(8)));
    assert_eq!(peers.newer_peer(at(100), 3, restored, &mut rng), None);
}

/// Returns the peer table of [`peers`] in which these nodes have a position of the era 1 of the store.
fn peers_after_a_restore(in_era: &[u8]) -> PeerTable {
    let mut peers = peers();
    for number in in_era {
        let status = NodeStatus {
            registry_position: StreamPosition::new(1, 4),
            ..status(*number, "a", NodeState::Ready)
        };
        peers.record_status(at(0), addr(*number), status);
    }
    peers
}

fn reads_and_probes(in_era: &[u8], era: u64) -> (bool, bool) {
    let peers = peers_after_a_restore(in_era);
    (peers.is_reader(at(100), era), peers.is_prober(at(100), era))
}

fn choice((in_era, era): (&[u8], u64)) -> (bool, bool) {
    reads_and_probes(in_era, era)
}

cases! {
    choice;
    /// Guards against a store that is left to nodes which do not follow its era, because they are cut off from the restored
    /// store or of the version before.
    store_is_not_left_to_nodes_of_an_earlier_era: (&[], 1) => (true, true),
    /// Guards against a data centre with a single reader beside nodes of an earlier era.
    store_is_not_left_to_one_node_of_the_era: (&[3], 1) => (true, true),
    /// Guards against all nodes reading a restored store.
    store_is_left_to_two_nodes_of_the_era: (&[2, 4], 1) => (false, false),
    /// Guards against a node cut off from the restored store that reads instead of those that it responds to.
    store_is_left_to_nodes_of_a_later_era: (&[1, 2], 0) => (false, false),
}

/// Guards against groups of nodes that do not hear each other and open all connections of a server once each.
#[test]
fn part_of_the_connections_does_not_grow_while_others_are_cut_off() {
    let mut peers = peers();
    assert_eq!(peers.node_counts(at(100)).part_of(330), 36);
    peers.record_status(at(20_000), addr(1), status(1, "a", NodeState::Ready));
    assert_eq!(peers.live_count(at(20_100)), 2);
    assert_eq!(peers.node_counts(at(20_100)).part_of(330), 36);
}
