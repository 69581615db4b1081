//! Message intervals and fan-outs from 3 to 1,000 nodes.

use redwingtrestle_core::{
    cases,
    process::{
        fan_out::FleetSize,
        peer_table::{NodeState, NodeStatus, PeerTable, PeerTableOptions},
        stream_position::StreamPosition,
    },
    time::{Span, Timestamp},
};
use std::{collections::HashSet, net::SocketAddr};

use rand::{rngs::StdRng, SeedableRng};

/// Returns the status intervals in milliseconds for (nodes, data centres) of equal size.
fn intervals((nodes, zones): (usize, usize)) -> (u64, u64) {
    let zone = nodes / zones;
    let size = FleetSize { near: zone - 1, far: nodes - zone };
    (size.near_interval().as_millis(), size.far_interval().as_millis())
}

cases! { intervals;
    /// Guards against slower detection of lost nodes in small fleets.
    three_nodes_in_one_data_centre: (3, 1) => (300, 1_000),
    fifteen_nodes: (15, 3) => (300, 1_000),
    forty_eight_nodes: (48, 3) => (300, 1_000),
    /// Guards against status traffic that grows with the square of the fleet.
    one_hundred_and_eighty_nodes: (180, 5) => (437, 3_600),
    seven_hundred_and_fifty_nodes: (750, 5) => (1_862, 15_000),
    one_thousand_nodes: (1_000, 5) => (2_487, 20_000),
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(100_000 + millis)
}

fn addr(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000).into()
}

/// Returns the data centre of a node; the first two nodes form a small one.
fn zone(number: usize) -> String {
    if number < 2 {
        return "small".into();
    }
    format!("zone-{}", number % 4)
}

fn status(number: usize) -> NodeStatus {
    NodeStatus {
        start: 1,
        entry: addr(number),
        zone: zone(number).as_str().into(),
        state: NodeState::Ready,
        config_version: 1,
        registry_position: StreamPosition::new(0, 1),
        store_reachable: true,
        cpu_share: None,
        slowdown: None,
    }
}

/// Plays the status messages of a fleet for `seconds` and returns the tables and the messages sent by node 0.
fn play_fleet(nodes: usize, seconds: u64) -> (Vec<PeerTable>, usize) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut tables: Vec<PeerTable> = (0..nodes)
        .map(|n| PeerTable::new(PeerTableOptions::default(), addr(n), zone(n).as_str().into()))
        .collect();
    for (number, table) in tables.iter_mut().enumerate() {
        for other in (0..nodes).filter(|other| *other != number) {
            table.record_status(at(0), addr(other), status(other));
        }
    }
    let index: std::collections::HashMap<SocketAddr, usize> =
        (0..nodes).map(|n| (addr(n), n)).collect();
    let mut sent = 0;
    for tick in 1..=seconds * 10 {
        let now = at(tick * 100);
        for number in 0..nodes {
            let due = tables[number].take_due(now, &mut rng);
            sent += if number == 0 { due.len() } else { 0 };
            for to in due {
                tables[index[&to]].record_status(now, addr(number), status(number));
            }
        }
    }
    (tables, sent)
}

fn fleet_stays_connected(nodes: usize) -> bool {
    let (tables, _) = play_fleet(nodes, 30);
    tables.iter().all(|table| table.live_count(at(30_000)) == nodes)
}

cases! { fleet_stays_connected;
    /// Guards against nodes that take each other for lost because the sender's interval is longer than the receiver
    /// expects, as between a small and a large data centre.
    fleet_of_5_stays_connected: 5 => true,
    fleet_of_60_stays_connected: 60 => true,
    fleet_of_180_stays_connected: 180 => true,
    fleet_of_400_stays_connected: 400 => true,
}

/// Guards against status messages of one node that grow with the fleet.
#[test]
fn status_rate_of_a_node_is_bounded() {
    let (_, sent) = play_fleet(400, 30);
    let per_second = sent as f64 / 30.0;
    assert!(per_second <= 130.0, "{per_second} messages per second");
}

/// Guards against nodes of a large data centre that get no callers because every response lists the same entries.
#[test]
fn directory_lists_every_entry_of_a_large_data_centre_in_turn() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut table = PeerTable::new(PeerTableOptions::default(), addr(0), "zone-0".into());
    for number in 1..=200 {
        let status = NodeStatus { zone: "zone-0".into(), ..status(number) };
        table.record_status(at(0), addr(number), status);
    }
    let mut listed = HashSet::new();
    for _ in 0..40 {
        let entries = table.entries(at(10), "zone-0", Some(addr(0)), 64, &mut rng);
        assert_eq!(entries.len(), 64);
        listed.extend(entries);
    }
    assert_eq!(listed.len(), 201);
}

/// Guards against nodes of a data centre that do not hear of a failure and send their next request to that server.
#[test]
fn failure_reaches_all_nodes_of_a_data_centre() {
    let mut rng = StdRng::seed_from_u64(7);
    let (tables, _) = play_fleet(180, 1);
    let (near, relays) = tables[10].failure_targets(at(1_000), &mut rng);
    let size = tables[10].fleet_size();
    assert_eq!((near.len(), relays.len()), (size.near, 4));
}
