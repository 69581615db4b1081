//! Connection limits per backend server.
//!
//! A server's connections are split evenly over the nodes that carry its service. Up to as many nodes as
//! leave each one a connection for every slot, all nodes carry every service. Beyond that (750 nodes
//! against 330 connections and 6 slots: at most 55), `subset` names the nodes that carry a service; all
//! other nodes forward its requests to `carrier`, as they do for request keys of another home.

use crate::ids::{NodeId, ServiceName};
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Returns how many nodes should carry a service whose servers have so many connections and slots.
///
/// Each carrier can then open a connection for every slot of a server, however the slots are leased.
pub fn carriers(connections: u32, slots: u32) -> usize {
    (connections / slots.max(1)).max(1) as usize
}

/// Returns the nodes that carry `service`: the `size` nodes of highest rendezvous weight, highest first.
///
/// The choice depends only on the set of nodes. A node that leaves changes only the subsets that it
/// was in, and there by the one node that takes its place.
pub fn subset(service: &ServiceName, nodes: &[NodeId], size: usize) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> =
        nodes.iter().map(|&node| (weight(service.as_str().as_bytes(), &node), node)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.dedup();
    weighted.truncate(size);
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Returns the carrier to which `from` forwards, so that forwarded work spreads over all carriers.
pub fn carrier(service: &ServiceName, from: &NodeId, carriers: &[NodeId]) -> Option<NodeId> {
    preference(service, from, carriers).first().copied()
}

/// Returns the carriers in the order in which `from` tries them, [`carrier`] first.
pub fn preference(service: &ServiceName, from: &NodeId, carriers: &[NodeId]) -> Vec<NodeId> {
    let mut seed = service.as_str().as_bytes().to_vec();
    push_node(&mut seed, from);
    let mut order = carriers.to_vec();
    order.sort_by_cached_key(|node| std::cmp::Reverse((weight(&seed, node), *node)));
    order
}

/// Returns the connections that `node` may hold to one server, out of the server's `connections`.
///
/// The parts of all `carriers` add up to exactly `connections`. Nodes whose lists differ may exceed it:
/// lists of at least `m` out of `n` nodes give at most `n × ceil(connections / m)` in total.
pub fn connection_share(
    connections: u32,
    server: &[u8],
    node: &NodeId,
    carriers: &[NodeId],
) -> u32 {
    equal_share(connections, server, node, carriers)
}

/// Returns the part of `total` that `node` gets in an equal split over `nodes`.
///
/// What cannot be divided goes to the nodes of highest rendezvous weight for `seed`, so that the
/// remainders of different seeds fall to different nodes.
pub fn equal_share(total: u32, seed: &[u8], node: &NodeId, nodes: &[NodeId]) -> u32 {
    let count = nodes.len() as u32;
    if !nodes.contains(node) {
        return 0;
    }
    let own = (weight(seed, node), *node);
    let above = nodes.iter().filter(|n| (weight(seed, n), **n) > own).count() as u32;
    total / count + u32::from(above < total % count)
}

fn weight(seed: &[u8], node: &NodeId) -> u64 {
    let mut bytes = Vec::with_capacity(32);
    push_node(&mut bytes, node);
    let mut hash = Xxh3::new();
    hash.update(seed);
    hash.update(&bytes);
    hash.digest()
}

fn push_node(bytes: &mut Vec<u8>, node: &NodeId) {
    match node.addr.ip() {
        IpAddr::V4(ip) => bytes.extend(ip.octets()),
        IpAddr::V6(ip) => bytes.extend(ip.octets()),
    }
    bytes.extend(node.addr.port().to_be_bytes());
    bytes.extend(node.start.0.to_be_bytes());
}
