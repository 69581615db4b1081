//! The ring that determines which nodes of a large fleet watch each other.
//!
//! Nodes are ordered by a hash. The watchers of a node are the next few nodes that are not suspect, and it sends them
//! heartbeats at each interval. Because suspect nodes are skipped, a node gets a new watcher as soon as one of its
//! watchers is suspect.

use super::peer::Peer;
use crate::{ids::NodeId, process::rendezvous::rendezvous};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

type Place = (u64, SocketAddr);

/// One node's view of the ring, without itself.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    /// The peers in order, and whether each is suspect.
    peers: Vec<(Place, bool)>,
    /// The number of peers before this node.
    at: usize,
}

impl Ring {
    /// Orders the peers around the node `local`.
    pub(super) fn new(local: NodeId, peers: &BTreeMap<SocketAddr, Peer>) -> Self {
        let own = place(local);
        let mut peers: Vec<_> =
            peers.values().map(|p| (place(p.member.node), p.member.suspect)).collect();
        peers.sort_unstable();
        let at = peers.partition_point(|(place, _)| *place < own);
        Ring { peers, at }
    }

    /// Returns the nodes that watch this node.
    pub(super) fn watchers(&self, count: usize) -> Vec<SocketAddr> {
        let (before, after) = self.peers.split_at(self.at);
        let candidates = after.iter().chain(before).filter(|(_, suspect)| !suspect);
        candidates.take(count).map(|((_, addr), _)| *addr).collect()
    }

    /// Returns the nodes that this node watches: those of which it is one of `count` watchers.
    pub(super) fn watched(&self, count: usize) -> BTreeSet<SocketAddr> {
        let (before, after) = self.peers.split_at(self.at);
        let mut watched = BTreeSet::new();
        let mut left = count;
        for ((_, addr), suspect) in before.iter().rev().chain(after.iter().rev()) {
            if left == 0 {
                break;
            }
            watched.insert(*addr);
            left -= usize::from(!suspect);
        }
        watched
    }
}

fn place(node: NodeId) -> Place {
    (rendezvous(b"ring", node), node.addr)
}
