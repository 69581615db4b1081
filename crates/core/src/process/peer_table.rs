//! The peer nodes of the gateway fleet and the fan-out of messages to them.

use crate::{
    ids::DataCentre,
    time::{Span, Timestamp},
};
use rand::{seq::IteratorRandom, Rng};
use std::{collections::HashMap, net::SocketAddr};

/// The state that a node announces to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node cannot serve requests yet.
    Starting,
    /// The node serves requests.
    Ready,
    /// The node is stopping and should get no new callers.
    Stopping,
}

/// The status message that a node sends to its peers at short intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Random number that identifies one start of the node.
    pub start: u64,
    /// The address that callers connect to.
    pub entry: SocketAddr,
    /// The node's data centre.
    pub zone: DataCentre,
    /// Whether the node serves callers.
    pub state: NodeState,
    /// The version of the node's configuration, 0 without one.
    pub config_version: u64,
    /// The stream position up to which the node knows the server registrations, 0 without any.
    pub registry_position: u64,
    /// Whether the store responds to the node.
    pub store_reachable: bool,
}

/// Message intervals and fan-out limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableOptions {
    /// Message interval to a node of the same data centre while that has no more nodes than `near_fanout`. With more
    /// nodes, the interval grows.
    pub near_interval: Span,
    /// Message interval to a node of another data centre. It is longer because traffic between data centres is
    /// charged.
    pub far_interval: Span,
    /// Number of missed intervals after which a node counts as lost.
    pub missed_intervals: u64,
    /// Number of nodes per data centre that watch the store for the others. With two, the loss of one has no effect.
    pub store_readers: usize,
    /// Maximum nodes of the same data centre that get each message.
    pub near_fanout: usize,
    /// Maximum nodes of each other data centre that get each message.
    pub far_fanout: usize,
}

impl Default for PeerTableOptions {
    fn default() -> Self {
        PeerTableOptions {
            near_interval: Span::from_millis(300),
            far_interval: Span::from_millis(1_000),
            missed_intervals: 3,
            store_readers: 2,
            near_fanout: 24,
            far_fanout: 4,
        }
    }
}

/// Addresses of silent nodes are kept for this long, so that the nodes reconnect after a partition.
const SILENT_RETENTION: Span = Span::from_secs(60);

#[derive(Clone, Debug)]
struct Peer {
    status: Option<NodeStatus>,
    /// When the node was added or last sent a message.
    last_received: Timestamp,
    /// When this node last sent it a message.
    last_sent: Option<Timestamp>,
}

/// The known peer nodes with their newest status.
#[derive(Clone, Debug)]
pub struct PeerTable {
    options: PeerTableOptions,
    own: SocketAddr,
    zone: DataCentre,
    peers: HashMap<SocketAddr, Peer>,
    /// Number of known nodes in the same data centre.
    near_count: usize,
}

impl PeerTable {
    /// Creates an empty table for the node at the peer address `own`.
    pub fn new(options: PeerTableOptions, own: SocketAddr, zone: DataCentre) -> Self {
        PeerTable { options, own, zone, peers: HashMap::new(), near_count: 0 }
    }

    /// Adds the address of a node learned from a third party. Returns whether it is new.
    pub fn add_address(&mut self, now: Timestamp, addr: SocketAddr) -> bool {
        if addr == self.own || self.peers.contains_key(&addr) {
            return false;
        }
        self.peers.insert(addr, Peer { status: None, last_received: now, last_sent: None });
        true
    }

    /// Records a node's status and returns whether the node was unknown or silent until now, or has restarted.
    pub fn record_status(&mut self, now: Timestamp, addr: SocketAddr, status: NodeStatus) -> bool {
        if addr == self.own {
            return false;
        }
        let was_live = self.is_live_start(now, addr, status.start);
        let last_sent = self.peers.get(&addr).and_then(|p| p.last_sent);
        self.peers.insert(addr, Peer { status: Some(status), last_received: now, last_sent });
        !was_live
    }

    fn is_live_start(&self, now: Timestamp, addr: SocketAddr, start: u64) -> bool {
        let Some(peer) = self.peers.get(&addr) else { return false };
        let known = peer.status.as_ref().is_some_and(|s| s.start == start);
        known && self.is_live(now, peer)
    }

    fn is_live(&self, now: Timestamp, peer: &Peer) -> bool {
        let Some(status) = &peer.status else { return false };
        now.since(peer.last_received)
            <= self.interval(&status.zone).times(self.options.missed_intervals)
    }

    /// Returns the message interval to a node of a data centre.
    ///
    /// In a data centre with more nodes than the fan-out the interval grows with their number, which keeps the message
    /// rate of a node constant.
    fn interval(&self, zone: &DataCentre) -> Span {
        if *zone != self.zone {
            return self.options.far_interval;
        }
        self.options
            .near_interval
            .times(self.near_count.div_ceil(self.options.near_fanout).max(1) as u64)
    }

    /// Returns the live nodes with their newest status.
    pub fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, &NodeStatus)> {
        let live = self.peers.iter().filter(move |(_, p)| self.is_live(now, p));
        live.filter_map(|(addr, p)| p.status.as_ref().map(|s| (*addr, s)))
    }

    /// Returns the addresses of all known nodes, live or silent.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the number of live nodes, including this one.
    pub fn live_count(&self, now: Timestamp) -> usize {
        1 + self.live_peers(now).count()
    }

    /// Returns the nodes that are due a status message and records it as sent.
    pub fn take_due(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.peers.retain(|_, p| now.since(p.last_received) <= SILENT_RETENTION);
        let is_near = |p: &&Peer| p.status.as_ref().is_some_and(|s| s.zone == self.zone);
        self.near_count = self.peers.values().filter(is_near).count();
        let (near, far) = (self.interval(&self.zone), self.options.far_interval);
        let mut due: HashMap<Option<DataCentre>, Vec<SocketAddr>> = HashMap::new();
        for (addr, peer) in &self.peers {
            let zone = peer.status.as_ref().map(|s| s.zone.clone());
            let interval = if zone.as_ref() == Some(&self.zone) { near } else { far };
            if peer.last_sent.is_none_or(|sent| now.since(sent) >= interval) {
                due.entry(zone).or_default().push(*addr);
            }
        }
        let mut chosen = Vec::new();
        for (zone, addrs) in due {
            let is_near = zone.as_ref() == Some(&self.zone);
            let fanout = if is_near { self.options.near_fanout } else { self.options.far_fanout };
            // The data centre of a node that never sent a status is unknown. Such nodes get the larger fan-out, as they
            // may be in this data centre.
            let fanout = if zone.is_none() { self.options.near_fanout } else { fanout };
            chosen.extend(addrs.into_iter().choose_multiple(rng, fanout));
        }
        for addr in &chosen {
            if let Some(peer) = self.peers.get_mut(addr) {
                peer.last_sent = Some(now);
            }
        }
        chosen
    }

    /// Returns the targets of a report: nodes of the same data centre, and one relay in each other data centre.
    pub fn report_targets(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let near = self.nearby_peers(now, rng);
        let mut zones: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::new();
        for (addr, status) in self.live_peers(now).filter(|(_, s)| s.zone != self.zone) {
            zones.entry(&status.zone).or_default().push(addr);
        }
        let relays =
            zones.into_values().filter_map(|addrs| addrs.into_iter().choose(rng)).collect();
        (near, relays)
    }

    /// Returns a random selection of live nodes in the same data centre, limited by the fan-out.
    pub fn nearby_peers(&self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_peers(now).filter(|(_, s)| s.zone == self.zone).map(|(addr, _)| addr);
        near.choose_multiple(rng, self.options.near_fanout)
    }

    /// Returns up to `max` entries for a caller in `zone`; `own` is this node's entry if it serves callers.
    ///
    /// Callers get the entries of their own data centre, because responses from another one are slower and charged. If
    /// there are fewer than two, they get all entries, because a single entry may fail at any moment.
    pub fn entries(
        &self,
        now: Timestamp,
        zone: &str,
        own: Option<SocketAddr>,
        max: usize,
    ) -> Vec<SocketAddr> {
        let mut all: Vec<(bool, SocketAddr)> = self
            .live_peers(now)
            .filter(|(_, s)| s.state == NodeState::Ready)
            .map(|(_, s)| (s.zone.as_str() == zone, s.entry))
            .collect();
        all.extend(own.map(|entry| (self.zone.as_str() == zone, entry)));
        let near = all.iter().filter(|(is_near, _)| *is_near).count();
        let mut entries: Vec<SocketAddr> = all
            .into_iter()
            .filter(|(is_near, _)| near < MIN_NEAR_ENTRIES || *is_near)
            .map(|(_, entry)| entry)
            .collect();
        entries.sort_unstable();
        entries.truncate(max);
        entries
    }

    /// Returns whether this node watches the store itself, as one of the lowest addresses of its data centre that the
    /// store responds to. The other nodes get the records from these readers, because each call to the store is
    /// charged.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.preceding(now).filter(|s| s.zone == self.zone).count() < self.options.store_readers
    }

    /// Returns whether this node probes an unreachable store often, as one of the lowest addresses of its data centre.
    /// The other nodes learn from these probers when the store responds again.
    pub fn is_prober(&self, now: Timestamp) -> bool {
        let precedes = |addr: SocketAddr, s: &NodeStatus| {
            s.zone == self.zone && s.state != NodeState::Stopping && addr < self.own
        };
        self.live_peers(now).filter(|(addr, s)| precedes(*addr, s)).count()
            < self.options.store_readers
    }

    /// Returns whether this node writes to the store for the fleet: the lowest address that the store responds to.
    pub fn is_writer(&self, now: Timestamp) -> bool {
        self.preceding(now).next().is_none()
    }

    /// Returns the nodes that precede this one in the choice of readers and the writer.
    fn preceding(&self, now: Timestamp) -> impl Iterator<Item = &NodeStatus> {
        let precedes = |addr: SocketAddr, s: &NodeStatus| {
            s.store_reachable && s.state != NodeState::Stopping && addr < self.own
        };
        self.live_peers(now).filter(move |(addr, s)| precedes(*addr, s)).map(|(_, s)| s)
    }

    /// Returns one of the most recent nodes, if they have a newer configuration or newer registrations.
    ///
    /// The node is chosen at random, in the same data centre if possible. A large configuration then spreads from node
    /// to node instead of saturating the link of the node that had it first.
    pub fn newer_peer(
        &self,
        now: Timestamp,
        config_version: u64,
        registry_position: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let ahead = |s: &NodeStatus| {
            s.config_version > config_version || s.registry_position > registry_position
        };
        let key = |s: &NodeStatus| (s.config_version, s.registry_position);
        let newest = self.live_peers(now).filter(|(_, s)| ahead(s)).map(|(_, s)| key(s)).max()?;
        let best = || self.live_peers(now).filter(|(_, s)| key(s) == newest);
        let near = best().filter(|(_, s)| s.zone == self.zone).choose(rng);
        near.or_else(|| best().choose(rng)).map(|(addr, _)| addr)
    }
}

/// With fewer entries in its data centre, a caller gets the entries of all data centres.
const MIN_NEAR_ENTRIES: usize = 2;
