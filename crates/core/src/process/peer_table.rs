//! The peer nodes of the gateway fleet and the fan-out of messages to them.

use crate::{
    ids::DataCentre,
    process::{
        cpu_share::{self, CpuShare},
        entry_rows::choose_rows,
        fan_out::{FleetSize, MAX_FAILURE_BATCH, MAX_NEAR_BATCH},
        server_limit::NodeCounts,
        slowdown::{Slowdown, SlowdownRamp},
        stream_position::StreamPosition,
    },
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
    /// The stream position up to which the node knows the server registrations, the first one without
    /// any.
    pub registry_position: StreamPosition,
    /// Whether the store responds to the node.
    pub store_reachable: bool,
    /// The processor of the node's VM, if it is known.
    pub cpu_share: Option<CpuShare>,
    /// The slowdown of the node's messages. Nodes of earlier versions announce none: they send at the usual intervals,
    /// and expect others to do so.
    pub slowdown: Option<Slowdown>,
}

impl NodeStatus {
    /// Returns whether the node relays registrations of the era `era` of the store, or of a later one.
    fn follows(&self, era: u64) -> bool {
        self.registry_position.era >= era
    }
}

/// Limits of the peer table that do not depend on the size of the fleet; the others are in [`FleetSize`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableOptions {
    /// Number of missed intervals after which a node counts as lost.
    pub missed_intervals: u64,
    /// Number of nodes per data centre that watch the store for the others. With two, the loss of one has no effect.
    pub store_readers: usize,
    /// Maximum nodes of the same data centre that get a status message at once.
    pub near_fanout: usize,
    /// Maximum nodes of each other data centre that get a status message at once.
    pub far_fanout: usize,
    /// The processor of this node's VM.
    pub cpu_share: CpuShare,
}

impl Default for PeerTableOptions {
    fn default() -> Self {
        PeerTableOptions {
            missed_intervals: 3,
            store_readers: 2,
            near_fanout: MAX_NEAR_BATCH,
            far_fanout: 4,
            cpu_share: CpuShare::default(),
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
    /// The slowdown that the last message to it announced.
    announced: Slowdown,
}

/// The known peer nodes with their newest status.
#[derive(Clone, Debug)]
pub struct PeerTable {
    options: PeerTableOptions,
    own: SocketAddr,
    zone: DataCentre,
    peers: HashMap<SocketAddr, Peer>,
    /// Known nodes by data centre, without this one.
    zone_sizes: HashMap<DataCentre, usize>,
    slowdown: SlowdownRamp,
}

impl PeerTable {
    /// Creates an empty table for the node at the peer address `own`.
    pub fn new(options: PeerTableOptions, own: SocketAddr, zone: DataCentre) -> Self {
        PeerTable {
            options,
            own,
            zone,
            peers: HashMap::new(),
            zone_sizes: HashMap::new(),
            slowdown: SlowdownRamp::default(),
        }
    }

    /// Adds the address of a node learned from a third party. Returns whether it is new.
    pub fn add_address(&mut self, now: Timestamp, addr: SocketAddr) -> bool {
        if addr == self.own || self.peers.contains_key(&addr) {
            return false;
        }
        let peer =
            Peer { status: None, last_received: now, last_sent: None, announced: Slowdown::NONE };
        self.peers.insert(addr, peer);
        true
    }

    /// Records a node's status and returns whether the node was unknown or silent until now, or has restarted.
    pub fn record_status(&mut self, now: Timestamp, addr: SocketAddr, status: NodeStatus) -> bool {
        if addr == self.own {
            return false;
        }
        let was_live = self.is_live_start(now, addr, status.start);
        let zone = status.zone.clone();
        let status = Some(status);
        let sent = self.peers.get(&addr).map(|p| (p.last_sent, p.announced));
        let (last_sent, announced) = sent.unwrap_or_default();
        let old =
            self.peers.insert(addr, Peer { status, last_received: now, last_sent, announced });
        if old.and_then(|p| p.status).is_none_or(|s| s.zone != zone) {
            self.update_zone_sizes();
        }
        !was_live
    }

    fn is_live_start(&self, now: Timestamp, addr: SocketAddr, start: u64) -> bool {
        let Some(peer) = self.peers.get(&addr) else { return false };
        let known = peer.status.as_ref().is_some_and(|s| s.start == start);
        known && self.is_live(now, peer)
    }

    fn is_live(&self, now: Timestamp, peer: &Peer) -> bool {
        let Some(status) = &peer.status else { return false };
        let limit = self.interval_of(status).times(self.options.missed_intervals);
        now.since(peer.last_received) <= limit
    }

    /// Returns the size of the fleet as a node of `zone` sees it.
    fn size_seen_from(&self, zone: &DataCentre) -> FleetSize {
        let in_zone = |zone: &DataCentre| {
            self.zone_sizes.get(zone).copied().unwrap_or(0) + usize::from(*zone == self.zone)
        };
        let all = 1 + self.zone_sizes.values().sum::<usize>();
        let same = in_zone(zone);
        FleetSize { near: same.saturating_sub(1), far: all - same }
    }

    /// Returns the interval at which a node sends its status to this node. It follows from the fleet that the sender
    /// sees: a node of a small data centre has more nodes to inform elsewhere. The sender announces by how much it is
    /// stretched.
    fn interval_of(&self, sender: &NodeStatus) -> Span {
        let size = self.size_seen_from(&sender.zone);
        size.status_interval(sender.zone == self.zone, sender.slowdown.unwrap_or_default())
    }

    /// Returns the slowdown of this node's messages, which its status announces.
    pub fn slowdown(&self) -> Slowdown {
        self.slowdown.current()
    }

    /// Returns the slowdown that suited the known nodes at the last call of [`take_due`](Self::take_due), and that the one
    /// in force follows.
    pub fn target_slowdown(&self) -> Slowdown {
        self.slowdown.target()
    }

    /// Returns the slowdown that suits the known nodes. A node of an earlier version would take slower ones for lost, so
    /// there is none beside it.
    pub fn suitable_slowdown(&self) -> Slowdown {
        let mut statuses = self.peers.values().filter_map(|peer| peer.status.as_ref());
        if statuses.any(|status| status.slowdown.is_none()) {
            return Slowdown::NONE;
        }
        Slowdown::for_shares(self.options.cpu_share, self.typical_share())
    }

    /// Returns the median share of the known nodes, including this one. A node whose share is unknown counts as typical.
    pub fn typical_share(&self) -> CpuShare {
        let statuses = self.peers.values().filter_map(|peer| peer.status.as_ref());
        let shares = statuses.filter_map(|status| status.cpu_share);
        let own = self.options.cpu_share;
        cpu_share::typical(shares.chain([own])).unwrap_or(own)
    }

    /// Returns the size of the fleet as this node sees it.
    pub fn fleet_size(&self) -> FleetSize {
        self.size_seen_from(&self.zone)
    }

    fn update_zone_sizes(&mut self) {
        self.zone_sizes.clear();
        for status in self.peers.values().filter_map(|peer| peer.status.as_ref()) {
            *self.zone_sizes.entry(status.zone.clone()).or_default() += 1;
        }
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

    /// Returns the nodes among which a limit on all nodes together is divided. A node that was stopping when it fell
    /// silent has ended and uses no part.
    pub fn node_counts(&self, now: Timestamp) -> NodeCounts {
        let has_ended = |p: &Peer| {
            let is_stopping = p.status.as_ref().is_some_and(|s| s.state == NodeState::Stopping);
            is_stopping && !self.is_live(now, p)
        };
        let known = 1 + self.peers.values().filter(|p| !has_ended(p)).count();
        NodeCounts { live: self.live_count(now) as u32, known: known as u32 }
    }

    /// Returns the nodes that are due a status message and records it as sent, with the present
    /// [`slowdown`](Self::slowdown). A node is due by the slowdown that was announced to it.
    pub fn take_due(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let known = self.peers.len();
        self.peers.retain(|_, p| now.since(p.last_received) <= SILENT_RETENTION);
        if self.peers.len() != known {
            self.update_zone_sizes();
        }
        self.slowdown.update(now, self.suitable_slowdown());
        let (size, slowdown) = (self.fleet_size(), self.slowdown());
        let mut due: HashMap<Option<DataCentre>, Vec<SocketAddr>> = HashMap::new();
        for (addr, peer) in &self.peers {
            let zone = peer.status.as_ref().map(|s| s.zone.clone());
            let expected = peer.announced.min(slowdown);
            let interval = size.status_interval(zone.as_ref() == Some(&self.zone), expected);
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
                peer.announced = slowdown;
            }
        }
        chosen
    }

    /// Returns the targets of a periodic report: nodes of the same data centre, and one relay in each other.
    pub fn report_targets(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let usual = self.options.near_fanout;
        let fanout = self.fleet_size().report_fanout(self.slowdown(), usual);
        (self.near_sample(now, fanout, rng), self.relays(now, rng))
    }

    /// Returns the targets of a report of changes. There are as many as of a periodic one without slowdown, as a change
    /// is reported once.
    pub fn change_targets(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        (self.nearby_peers(now, rng), self.relays(now, rng))
    }

    /// Returns the targets of a report of failures, which reaches more nodes than a periodic one.
    pub fn failure_targets(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let near = self.near_sample(now, MAX_FAILURE_BATCH, rng);
        (near, self.relays(now, rng))
    }

    /// Returns one node in each other data centre.
    fn relays(&self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut zones: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::new();
        for (addr, status) in self.live_peers(now).filter(|(_, s)| s.zone != self.zone) {
            zones.entry(&status.zone).or_default().push(addr);
        }
        zones.into_values().filter_map(|addrs| addrs.into_iter().choose(rng)).collect()
    }

    /// Returns a random selection of live nodes in the same data centre that hear of a change.
    pub fn nearby_peers(&self, now: Timestamp, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.near_sample(now, self.options.near_fanout, rng)
    }

    /// Returns the number of live nodes in the same data centre, without this one.
    pub fn nearby_count(&self, now: Timestamp) -> usize {
        self.live_peers(now).filter(|(_, s)| s.zone == self.zone).count()
    }

    fn near_sample(&self, now: Timestamp, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let near = self.live_peers(now).filter(|(_, s)| s.zone == self.zone).map(|(addr, _)| addr);
        near.choose_multiple(rng, count)
    }

    /// Returns up to `max` entries for a caller in `zone`, chosen at random if there are more; `own` is this node's
    /// entry if it serves callers. Entries of VMs that are much larger than the smallest are repeated, as callers pick
    /// one at random.
    ///
    /// Callers get the entries of their own data centre, because responses from another one are slower and charged. If
    /// there are fewer than two, they get all entries, because a single entry may fail at any moment.
    pub fn entries(
        &self,
        now: Timestamp,
        zone: &str,
        own: Option<SocketAddr>,
        max: usize,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let typical = self.typical_share();
        let mut all: Vec<(bool, (SocketAddr, CpuShare))> = self
            .live_peers(now)
            .filter(|(_, s)| s.state == NodeState::Ready)
            .map(|(_, s)| (s.zone.as_str() == zone, (s.entry, s.cpu_share.unwrap_or(typical))))
            .collect();
        let share = self.options.cpu_share;
        all.extend(own.map(|entry| (self.zone.as_str() == zone, (entry, share))));
        let near = all.iter().filter(|(is_near, _)| *is_near).count();
        all.retain(|(is_near, _)| near < MIN_NEAR_ENTRIES || *is_near);
        let usable: Vec<_> = all.into_iter().map(|(_, entry)| entry).collect();
        choose_rows(&usable, max, rng)
    }

    /// Returns whether this node, which knows the era `era` of the store, watches the store itself, as one of the lowest
    /// addresses of its data centre that the store responds to. The other nodes get the records from these readers,
    /// because each call to the store is charged.
    ///
    /// A node whose position is of an earlier era has nothing to relay: it is cut off from the restored store, or of a
    /// version that does not follow eras. The store is not left to it.
    pub fn is_reader(&self, now: Timestamp, era: u64) -> bool {
        let readers = self.preceding(now).filter(|s| s.zone == self.zone && s.follows(era));
        readers.count() < self.options.store_readers
    }

    /// Returns whether this node, which knows the era `era` of the store, probes an unreachable store often, as one of
    /// the lowest addresses of its data centre. The other nodes learn from these probers when the store responds again.
    pub fn is_prober(&self, now: Timestamp, era: u64) -> bool {
        let precedes = |addr: SocketAddr, s: &NodeStatus| {
            s.zone == self.zone
                && s.state != NodeState::Stopping
                && addr < self.own
                && s.follows(era)
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

    /// Returns the era of the position that the node at `addr` announced, 0 for a node that does not follow eras.
    pub fn era_of(&self, addr: SocketAddr) -> u64 {
        let status = self.peers.get(&addr).and_then(|peer| peer.status.as_ref());
        status.map_or(0, |s| s.registry_position.era)
    }

    /// Returns one of the most recent nodes, if they have a newer configuration or newer registrations.
    ///
    /// The node is chosen at random, in the same data centre if possible. A large configuration then spreads from node
    /// to node instead of saturating the link of the node that had it first.
    pub fn newer_peer(
        &self,
        now: Timestamp,
        config_version: u64,
        registry_position: StreamPosition,
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
