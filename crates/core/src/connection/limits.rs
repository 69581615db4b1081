//! Carrier selection and connection limits per backend server.
//!
//! A server's connections are split evenly over the carriers of its service. In a small fleet every node carries every
//! service. A fleet is too large for that if a node's share would be less than one connection per slot: 330 connections
//! and 6 slots allow 55 carriers, so in a fleet of 750 nodes [`choose_carriers`] selects the carriers. The other nodes
//! forward the service's requests to [`carrier`], as they do for request keys of another home.

use crate::ids::{NodeId, ServiceName};
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Returns the number of carriers of a service whose servers have these connections and slots.
///
/// Each carrier can then open a connection for every slot of a server, however the slots are leased.
pub fn carrier_count(connections: u32, slots: u32) -> usize {
    (connections / slots.max(1)).max(1) as usize
}

/// Returns the carriers of `service`: the `size` nodes with the highest rendezvous weight, highest first.
///
/// The choice depends only on the set of nodes. A node that leaves changes only the subsets that contain it, where one
/// other node replaces it.
pub fn choose_carriers(service: &ServiceName, nodes: &[NodeId], size: usize) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> =
        nodes.iter().map(|&node| (weight(service.as_str().as_bytes(), &node), node)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.dedup();
    weighted.truncate(size);
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Returns the carrier that `from` forwards to. Different nodes prefer different carriers, which spreads the load.
pub fn carrier(service: &ServiceName, from: &NodeId, carriers: &[NodeId]) -> Option<NodeId> {
    carriers_by_preference(service, from, carriers).first().copied()
}

/// Returns the carriers in the order in which `from` tries them, [`carrier`] first.
pub fn carriers_by_preference(
    service: &ServiceName,
    from: &NodeId,
    carriers: &[NodeId],
) -> Vec<NodeId> {
    let mut seed = service.as_str().as_bytes().to_vec();
    push_node(&mut seed, from);
    let mut order = carriers.to_vec();
    order.sort_by_cached_key(|node| std::cmp::Reverse((weight(&seed, node), *node)));
    order
}

/// Returns the maximum number of connections from `node` to one server with the limit `connections`.
///
/// The shares of all `carriers` add up to exactly `connections`. If the nodes' lists of carriers differ, the sum may
/// exceed it: with lists of `m` or more out of `n` nodes it is limited to `n × ceil(connections / m)`.
pub fn connection_share(
    connections: u32,
    server: &[u8],
    node: &NodeId,
    carriers: &[NodeId],
) -> u32 {
    equal_share(connections, server, node, carriers)
}

/// Returns the share of `node` in an equal split of `total` over `nodes`.
///
/// The remainder goes to the nodes with the highest rendezvous weight for `seed`, so that different seeds favour
/// different nodes.
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
