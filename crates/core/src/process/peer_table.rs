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
    pub version: u64,
    /// The stream position up to which the node knows the server registrations, 0 without any.
    pub servers: u64,
    /// Whether the store answers the node.
    pub follows: bool,
}

/// Message intervals and fan-out limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableOptions {
    /// Message interval to a node of the same data centre while that has no more nodes than the fan-out.
    pub near: Span,
    /// Message interval to a node of another data centre. It is longer because traffic between data centres is
    /// charged.
    pub far: Span,
    /// Number of missed intervals after which a node counts as lost.
    pub missed: u64,
    /// Number of nodes per data centre that watch the store for the others. With two, the loss of one has no effect.
    pub readers: usize,
    /// Maximum nodes of the same data centre that get each message.
    pub fan_near: usize,
    /// Maximum nodes of each other data centre that get each message.
    pub fan_far: usize,
}

impl Default for PeerTableOptions {
    fn default() -> Self {
        PeerTableOptions {
            near: Span::from_millis(300),
            far: Span::from_millis(1_000),
            missed: 3,
            readers: 2,
            fan_near: 24,
            fan_far: 4,
        }
    }
}

/// Addresses of silent nodes are kept for this long, so that the nodes reconnect after a partition.
const SILENT_RETENTION: Span = Span::from_secs(60);

#[derive(Clone, Debug)]
struct Peer {
    status: Option<NodeStatus>,
    /// When the node was added or last sent a message.
    heard: Timestamp,
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
    neighbours: usize,
}

impl PeerTable {
    /// Creates an empty table for the node at the peer address `own`.
    pub fn new(options: PeerTableOptions, own: SocketAddr, zone: DataCentre) -> Self {
        PeerTable { options, own, zone, peers: HashMap::new(), neighbours: 0 }
    }

    /// Adds the address of a node learned from a third party. Returns whether it is new.
    pub fn add_address(&mut self, now: Timestamp, addr: SocketAddr) -> bool {
        if addr == self.own || self.peers.contains_key(&addr) {
            return false;
        }
        self.peers.insert(addr, Peer { status: None, heard: now, last_sent: None });
        true
    }

    /// Records a node's status and returns whether the node was unknown or silent until now, or has restarted.
    pub fn record_status(&mut self, now: Timestamp, addr: SocketAddr, status: NodeStatus) -> bool {
        if addr == self.own {
            return false;
        }
        let fresh = self.is_heard(now, addr, status.start);
        let last_sent = self.peers.get(&addr).and_then(|p| p.last_sent);
        self.peers.insert(addr, Peer { status: Some(status), heard: now, last_sent });
        !fresh
    }

    fn is_heard(&self, now: Timestamp, addr: SocketAddr, start: u64) -> bool {
        let Some(peer) = self.peers.get(&addr) else { return false };
        let known = peer.status.as_ref().is_some_and(|h| h.start == start);
        known && self.is_alive(now, peer)
    }

    fn is_alive(&self, now: Timestamp, peer: &Peer) -> bool {
        let Some(status) = &peer.status else { return false };
        now.since(peer.heard) <= self.interval(&status.zone).times(self.options.missed)
    }

    /// Returns the message interval to a node of a data centre.
    ///
    /// In a data centre with more nodes than the fan-out the interval grows with their number, which keeps the message
    /// rate of a node constant.
    fn interval(&self, zone: &DataCentre) -> Span {
        if *zone != self.zone {
            return self.options.far;
        }
        self.options.near.times(self.neighbours.div_ceil(self.options.fan_near).max(1) as u64)
    }

    /// Returns the live nodes with their newest status.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, &NodeStatus)> {
        let alive = self.peers.iter().filter(move |(_, p)| self.is_alive(now, p));
        alive.filter_map(|(addr, p)| p.status.as_ref().map(|h| (*addr, h)))
    }

    /// Returns the addresses of all known nodes, live or silent.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the number of live nodes, including this one.
    pub fn size(&self, now: Timestamp) -> usize {
        1 + self.alive(now).count()
    }

    /// Returns the nodes that are due a status message and records it as sent.
    pub fn due(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.peers.retain(|_, p| now.since(p.heard) <= SILENT_RETENTION);
        let is_near = |p: &&Peer| p.status.as_ref().is_some_and(|h| h.zone == self.zone);
        self.neighbours = self.peers.values().filter(is_near).count();
        let (near, far) = (self.interval(&self.zone), self.options.far);
        let mut due: HashMap<Option<DataCentre>, Vec<SocketAddr>> = HashMap::new();
        for (addr, peer) in &self.peers {
            let zone = peer.status.as_ref().map(|h| h.zone.clone());
            let interval = if zone.as_ref() == Some(&self.zone) { near } else { far };
            if peer.last_sent.is_none_or(|sent| now.since(sent) >= interval) {
                due.entry(zone).or_default().push(*addr);
            }
        }
        let mut chosen = Vec::new();
        for (zone, addrs) in due {
            let is_near = zone.as_ref() == Some(&self.zone);
            let fan = if is_near { self.options.fan_near } else { self.options.fan_far };
            // The data centre of a node that never sent a status is unknown. Such nodes get the larger fan-out, as they
            // may be in this data centre.
            let fan = if zone.is_none() { self.options.fan_near } else { fan };
            chosen.extend(addrs.into_iter().choose_multiple(rng, fan));
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
        let near = self.near(now, rng);
        let mut zones: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::new();
        for (addr, status) in self.alive(now).filter(|(_, h)| h.zone != self.zone) {
            zones.entry(&status.zone).or_default().push(addr);
        }
        let relays =
            zones.into_values().filter_map(|addrs| addrs.into_iter().choose(rng)).collect();
        (near, relays)
    }

    /// Returns a random selection of live nodes in the same data centre, limited by the fan-out.
    pub fn near(&self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.alive(now).filter(|(_, h)| h.zone == self.zone).map(|(addr, _)| addr);
        near.choose_multiple(rng, self.options.fan_near)
    }

    /// Returns up to `most` entries for a caller in `zone`; `own` is this node's entry if it serves callers.
    ///
    /// Callers get the entries of their own data centre, because answers from another one are slower and charged. If
    /// there are fewer than two, they get all entries, because a single entry may fail at any moment.
    pub fn entries(
        &self,
        now: Timestamp,
        zone: &str,
        own: Option<SocketAddr>,
        most: usize,
    ) -> Vec<SocketAddr> {
        let mut all: Vec<(bool, SocketAddr)> = self
            .alive(now)
            .filter(|(_, h)| h.state == NodeState::Ready)
            .map(|(_, h)| (h.zone.as_str() == zone, h.entry))
            .collect();
        all.extend(own.map(|entry| (self.zone.as_str() == zone, entry)));
        let near = all.iter().filter(|(is_near, _)| *is_near).count();
        let mut entries: Vec<SocketAddr> = all
            .into_iter()
            .filter(|(is_near, _)| near < MIN_NEAR_ENTRIES || *is_near)
            .map(|(_, entry)| entry)
            .collect();
        entries.sort_unstable();
        entries.truncate(most);
        entries
    }

    /// Returns whether this node watches the store itself, as one of the lowest addresses of its data centre that the
    /// store answers. The other nodes get the records from these readers, because each call to the store is charged.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.before(now).filter(|h| h.zone == self.zone).count() < self.options.readers
    }

    /// Returns whether this node probes an unreachable store often, as one of the lowest addresses of its data centre.
    /// The other nodes learn from these probers when the store answers again.
    pub fn is_prober(&self, now: Timestamp) -> bool {
        let is_before = |addr: SocketAddr, h: &NodeStatus| {
            h.zone == self.zone && h.state != NodeState::Stopping && addr < self.own
        };
        self.alive(now).filter(|(addr, h)| is_before(*addr, h)).count() < self.options.readers
    }

    /// Returns whether this node writes to the store for the whole fleet: the lowest address that the store answers.
    pub fn is_writer(&self, now: Timestamp) -> bool {
        self.before(now).next().is_none()
    }

    /// Returns the nodes that precede this one in the choice of readers and the writer.
    fn before(&self, now: Timestamp) -> impl Iterator<Item = &NodeStatus> {
        let is_before = |addr: SocketAddr, h: &NodeStatus| {
            h.follows && h.state != NodeState::Stopping && addr < self.own
        };
        self.alive(now).filter(move |(addr, h)| is_before(*addr, h)).map(|(_, h)| h)
    }

    /// Returns one of the most recent nodes, if they have a newer configuration or newer registrations.
    ///
    /// The node is chosen at random, in the same data centre if possible. A large configuration then spreads from node
    /// to node instead of saturating the link of the node that had it first.
    pub fn newer(
        &self,
        now: Timestamp,
        version: u64,
        servers: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let ahead = |h: &NodeStatus| h.version > version || h.servers > servers;
        let key = |h: &NodeStatus| (h.version, h.servers);
        let newest = self.alive(now).filter(|(_, h)| ahead(h)).map(|(_, h)| key(h)).max()?;
        let best = || self.alive(now).filter(|(_, h)| key(h) == newest);
        let near = best().filter(|(_, h)| h.zone == self.zone).choose(rng);
        near.or_else(|| best().choose(rng)).map(|(addr, _)| addr)
    }
}

/// With fewer entries in its data centre, a caller gets the entries of all data centres.
const MIN_NEAR_ENTRIES: usize = 2;
