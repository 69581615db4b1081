//! Rendezvous hashing: every node derives the same order of candidates without an exchange.

use crate::ids::NodeId;
use std::net::IpAddr;
use xxhash_rust::xxh3::Xxh3;

/// Returns the rendezvous weight of `node` for `key`, which is the same on all nodes.
pub fn rendezvous(key: &[u8], node: NodeId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key);
    match node.addr.ip() {
        IpAddr::V4(ip) => hash.update(&ip.octets()),
        IpAddr::V6(ip) => hash.update(&ip.octets()),
    }
    hash.update(&node.addr.port().to_le_bytes());
    hash.update(&node.start.0.to_le_bytes());
    hash.digest()
}
