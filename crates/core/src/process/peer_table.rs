//! The other nodes of the fleet, as this node hears them.

use crate::{
    ids::DataCentre,
    time::{Span, Timestamp},
};
use rand::{seq::IteratorRandom, Rng};
use std::{collections::HashMap, net::SocketAddr};

/// `NodeState` is what a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node cannot serve requests yet.
    Starting,
    /// The node serves requests.
    Ready,
    /// The node stops and should get no new callers.
    Stopping,
}

/// `NodeStatus` is what a node tells the others of itself at short intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// A number drawn at each start.
    pub start: u64,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// The node's data centre.
    pub zone: DataCentre,
    /// What it says of itself.
    pub state: NodeState,
    /// The version of its configuration, zero without one.
    pub version: u64,
    /// The position up to which it knows the registrations of servers, zero without any.
    pub servers: u64,
    /// Whether the store answers it.
    pub follows: bool,
}

/// `PeerTableOptions` holds the intervals between messages and the limits of the fan-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableOptions {
    /// The time between two messages to a node of the own data centre, while it has no more nodes than the fan-out.
    pub near: Span,
    /// The time between two messages to a node of another data centre. It is longer because traffic between data
    /// centres is paid for.
    pub far: Span,
    /// The intervals of silence after which a node counts as lost.
    pub missed: u64,
    /// The nodes of a data centre that follow the store for the others there. With two, the loss of one is not noticed.
    pub readers: usize,
    /// The most nodes of the own data centre that get each message.
    pub fan_near: usize,
    /// The most nodes of each other data centre that get each message.
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

/// How long the address of a silent node is kept, so that it is found again after a partition.
const FORGET: Span = Span::from_secs(60);

#[derive(Clone, Debug)]
struct Peer {
    status: Option<NodeStatus>,
    heard: Timestamp,
    told: Option<Timestamp>,
}

/// `PeerTable` holds what is known of the other nodes.
#[derive(Clone, Debug)]
pub struct PeerTable {
    options: PeerTableOptions,
    own: SocketAddr,
    zone: DataCentre,
    peers: HashMap<SocketAddr, Peer>,
    /// The known nodes of the own data centre.
    neighbours: usize,
}

impl PeerTable {
    /// Returns the view of the node at `own`, which knows nobody.
    pub fn new(options: PeerTableOptions, own: SocketAddr, zone: DataCentre) -> Self {
        PeerTable { options, own, zone, peers: HashMap::new(), neighbours: 0 }
    }

    /// Notes the address of a node that was named by someone else, and returns whether it was new.
    pub fn add_address(&mut self, now: Timestamp, addr: SocketAddr) -> bool {
        if addr == self.own || self.peers.contains_key(&addr) {
            return false;
        }
        self.peers.insert(addr, Peer { status: None, heard: now, told: None });
        true
    }

    /// Takes a node's message and returns whether it was silent, unknown or started anew before.
    pub fn record_status(&mut self, now: Timestamp, addr: SocketAddr, status: NodeStatus) -> bool {
        if addr == self.own {
            return false;
        }
        let fresh = self.is_heard(now, addr, status.start);
        let told = self.peers.get(&addr).and_then(|p| p.told);
        self.peers.insert(addr, Peer { status: Some(status), heard: now, told });
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

    /// Returns the time between two messages to a node of a data centre.
    ///
    /// In a data centre with more nodes than the fan-out it grows with their number, so that a node's messages a second
    /// do not.
    fn interval(&self, zone: &DataCentre) -> Span {
        if *zone != self.zone {
            return self.options.far;
        }
        self.options.near.times(self.neighbours.div_ceil(self.options.fan_near).max(1) as u64)
    }

    /// Returns the nodes that are heard, with what they last said.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, &NodeStatus)> {
        let alive = self.peers.iter().filter(move |(_, p)| self.is_alive(now, p));
        alive.filter_map(|(addr, p)| p.status.as_ref().map(|h| (*addr, h)))
    }

    /// Returns all addresses that are known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the number of nodes in use, this one included.
    pub fn size(&self, now: Timestamp) -> usize {
        1 + self.alive(now).count()
    }

    /// Returns the nodes to which a message about this node is due, and counts it as sent.
    pub fn due(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.peers.retain(|_, p| now.since(p.heard) <= FORGET);
        let is_near = |p: &&Peer| p.status.as_ref().is_some_and(|h| h.zone == self.zone);
        self.neighbours = self.peers.values().filter(is_near).count();
        let (near, far) = (self.interval(&self.zone), self.options.far);
        let mut due: HashMap<Option<DataCentre>, Vec<SocketAddr>> = HashMap::new();
        for (addr, peer) in &self.peers {
            let zone = peer.status.as_ref().map(|h| h.zone.clone());
            let interval = if zone.as_ref() == Some(&self.zone) { near } else { far };
            if peer.told.is_none_or(|told| now.since(told) >= interval) {
                due.entry(zone).or_default().push(*addr);
            }
        }
        let mut chosen = Vec::new();
        for (zone, addrs) in due {
            let is_near = zone.as_ref() == Some(&self.zone);
            let fan = if is_near { self.options.fan_near } else { self.options.fan_far };
            // Addresses that were never heard stand under no zone; they get the larger fan-out, as they may be near.
            let fan = if zone.is_none() { self.options.fan_near } else { fan };
            chosen.extend(addrs.into_iter().choose_multiple(rng, fan));
        }
        for addr in &chosen {
            if let Some(peer) = self.peers.get_mut(addr) {
                peer.told = Some(now);
            }
        }
        chosen
    }

    /// Returns where a report goes: the nodes of the own data centre, and one node of each other that passes it on.
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

    /// Returns the nodes of the own data centre that are heard, at most the fan-out.
    pub fn near(&self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.alive(now).filter(|(_, h)| h.zone == self.zone).map(|(addr, _)| addr);
        near.choose_multiple(rng, self.options.fan_near)
    }

    /// Returns the entries that a caller in `zone` should use, at most `most`; `own` is this node's if it serves.
    ///
    /// Callers get entries of their own data centre, as answers between data centres are slower and paid for. With
    /// fewer than two there, they get all, because one entry may be lost at any moment.
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
            .filter(|(is_near, _)| near < LEAST_NEAR || *is_near)
            .map(|(_, entry)| entry)
            .collect();
        entries.sort_unstable();
        entries.truncate(most);
        entries
    }

    /// Returns whether this node follows the store itself, as one of the first of its data centre that the store
    /// answers. The others learn from these, because each call to the store is paid for.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.before(now).filter(|h| h.zone == self.zone).count() < self.options.readers
    }

    /// Returns whether this node tries the store often while it does not answer, as one of the first of its data centre.
    /// The others hear from these when it answers again.
    pub fn is_prober(&self, now: Timestamp) -> bool {
        let is_before = |addr: SocketAddr, h: &NodeStatus| {
            h.zone == self.zone && h.state != NodeState::Stopping && addr < self.own
        };
        self.alive(now).filter(|(addr, h)| is_before(*addr, h)).count() < self.options.readers
    }

    /// Returns whether this node writes for the whole fleet to the store: the first one that the store answers.
    pub fn is_writer(&self, now: Timestamp) -> bool {
        self.before(now).next().is_none()
    }

    /// Returns the nodes that come before this one where the first is chosen.
    fn before(&self, now: Timestamp) -> impl Iterator<Item = &NodeStatus> {
        let is_before = |addr: SocketAddr, h: &NodeStatus| {
            h.follows && h.state != NodeState::Stopping && addr < self.own
        };
        self.alive(now).filter(move |(addr, h)| is_before(*addr, h)).map(|(_, h)| h)
    }

    /// Returns one of the nodes that know most, if they know a newer configuration or newer registrations.
    ///
    /// It is drawn at random, those of the own data centre first: a large configuration spreads from node to node, and
    /// does not fill the link of the one that had it first.
    pub fn newer(
        &self,
        now: Timestamp,
        version: u64,
        servers: u64,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let ahead = |h: &NodeStatus| h.version > version || h.servers > servers;
        let key = |h: &NodeStatus| (h.version, h.servers);
        let most = self.alive(now).filter(|(_, h)| ahead(h)).map(|(_, h)| key(h)).max()?;
        let best = || self.alive(now).filter(|(_, h)| key(h) == most);
        let near = best().filter(|(_, h)| h.zone == self.zone).choose(rng);
        near.or_else(|| best().choose(rng)).map(|(addr, _)| addr)
    }
}

/// The entries in a caller's data centre below which entries of all data centres are named.
const LEAST_NEAR: usize = 2;
