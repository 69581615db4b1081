//! Fleet membership and failure detection from heartbeats and the VM list.
//!
//! In a fleet of up to [`MAX_FULL_MESH`] nodes, every node sends heartbeats to every other. In a larger one, a few
//! nodes watch each node, and changes spread by gossip. See `docs/agreement.md`.
//!
//! * `member`, `options`: what other modules see and set.
//! * `peer`: what is known of one peer; `vm_list`: what is known of the VMs; `ring`: who watches whom.
//! * `gossip`: the updates received; `gossip_queue`: the updates to send; `age`: the ages in them.

mod age;
mod gossip;
mod gossip_queue;
mod member;
mod options;
mod peer;
mod ring;
mod vm_list;

pub use self::{
    member::{LocalNode, Member, MemberEvent},
    options::MembershipOptions,
    vm_list::VmEntry,
};

use self::{gossip_queue::GossipQueue, peer::Peer, ring::Ring, vm_list::VmList};
use crate::{
    ids::NodeId,
    process::{
        drain::DrainNotice,
        heartbeat::{Echo, GossipUpdate, Heartbeat, NodeState, TIME_UNIT},
        rendezvous::rendezvous,
    },
    time::{Span, Timestamp},
    version::log_reader::PeerSummary,
};
use rand::{seq::IteratorRandom, Rng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

/// The maximum number of nodes of a fleet in which every node sends heartbeats to every other.
pub const MAX_FULL_MESH: usize = 17;

/// With more peers than this, a node sends heartbeats to only half of them at each interval.
const MAX_HEARTBEATS: usize = 8;

/// The unknown addresses that a node without peers tries at a time, since it has no other traffic.
const LONELY_TRIES: usize = 8;

/// One node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    local: LocalNode,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Ended processes with their highest counter (`u64::MAX` for a replaced one) and the time to forget them.
    ended: HashMap<NodeId, (u64, Timestamp)>,
    /// The successors of stopped nodes, and the time to forget them.
    successors: HashMap<NodeId, (NodeId, Timestamp)>,
    gossip: GossipQueue,
    /// Addresses to contact at which no node is known yet.
    seeds: BTreeSet<SocketAddr>,
    /// The nodes that watch this node in a large fleet.
    watchers: Vec<SocketAddr>,
    leaders: Vec<SocketAddr>,
    /// The number of heartbeat intervals so far.
    round: usize,
    vm_list: VmList,
    events: Vec<MemberEvent>,
    last_tick: Timestamp,
    /// Whether the ring has changed since the watchers were assigned.
    is_ring_changed: bool,
}

impl Membership {
    /// Creates the view of a node without peers.
    pub fn new(now: Timestamp, options: MembershipOptions, local: LocalNode) -> Self {
        Membership {
            options,
            local,
            peers: BTreeMap::new(),
            ended: HashMap::new(),
            successors: HashMap::new(),
            gossip: GossipQueue::default(),
            seeds: BTreeSet::new(),
            watchers: Vec::new(),
            leaders: Vec::new(),
            round: 0,
            vm_list: VmList::default(),
            events: Vec::new(),
            last_tick: now,
            is_ring_changed: true,
        }
    }

    /// Returns the information about this node, to be updated in place.
    pub fn local(&mut self) -> &mut LocalNode {
        &mut self.local
    }

    /// Adds addresses to contact, taken from the settings, the VM list or the members recorded in the log.
    pub fn add_seeds(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let known = |a: &SocketAddr| *a == self.local.node.addr || self.peers.contains_key(a);
        self.seeds.extend(addrs.into_iter().filter(|a| !known(a)));
    }

    /// Adds the members recorded in the log as peers with a recent sign of life.
    ///
    /// With them a node knows a large fleet as soon as it has a configuration. If such a member has ended, its
    /// watchers detect this as for any other.
    pub fn add_recorded(&mut self, now: Timestamp, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if node.addr != self.local.node.addr && !self.peers.contains_key(&node.addr) {
                self.add_peer(now, node, 0);
            }
        }
    }

    /// Sets the service leaders that this node exchanges messages with.
    pub fn set_leaders(&mut self, leaders: impl IntoIterator<Item = SocketAddr>) {
        self.leaders = leaders.into_iter().filter(|a| *a != self.local.node.addr).collect();
    }

    /// Returns whether the fleet is so small that every node sends heartbeats to every other.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() < MAX_FULL_MESH
    }

    /// Returns the peers that are not lost.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    /// Returns the peer at an address, if there is one.
    pub fn member(&self, addr: SocketAddr) -> Option<&Member> {
        self.peers.get(&addr).map(|p| &p.member)
    }

    /// Returns the successor of a stopped node, which holds its idempotency records.
    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        self.successors.get(&node).map(|h| h.0)
    }

    /// Returns all stopped nodes with their successors.
    pub fn successors(&self) -> impl Iterator<Item = (NodeId, NodeId)> + '_ {
        self.successors.iter().map(|(node, (successor, _))| (*node, *successor))
    }

    /// Returns whether requests and leadership may be given to `node`.
    ///
    /// In a small fleet, both directions of the link must have carried a heartbeat recently: one from the node
    /// within `suspect`, and one to it with an echo within a slightly longer time. In a large fleet, only links
    /// on which heartbeats are due at each interval are tested this way. A cut of any other link shows at the
    /// first call.
    pub fn is_usable(&self, now: Timestamp, node: NodeId) -> bool {
        let Some(p) = self.peers.get(&node.addr) else { return false };
        if p.member.node != node || p.member.suspect {
            return false;
        }
        if !self.is_full_mesh() {
            return !p.is_cut(now, &self.options);
        }
        p.is_heard(now, &self.options) && p.is_reached(now, &self.options)
    }

    /// Returns when the last heartbeat of a peer arrived, and whether the peer still receives those of this
    /// node.
    pub fn link(&self, now: Timestamp, addr: SocketAddr) -> (Option<Timestamp>, bool) {
        let Some(p) = self.peers.get(&addr) else { return (None, false) };
        (p.direct.map(|d| d.0), p.is_reached(now, &self.options))
    }

    /// Returns the information about peers that the log reader needs.
    pub fn peer_summary(&self, now: Timestamp) -> PeerSummary {
        let fresh = |p: &&Peer| {
            p.direct.is_some_and(|(t, _)| now.since(t) <= self.options.suspect) && !p.member.suspect
        };
        let versions = self.peers.values().filter(fresh).map(Peer::versions);
        PeerSummary {
            members: self.peers.len() + 1,
            best_peer: versions.max_by_key(|v| (v.version, v.term)),
        }
    }

    /// Processes a received heartbeat.
    pub fn receive_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        if heartbeat.node.addr == self.local.node.addr {
            return;
        }
        let known = self.is_peer(heartbeat.node);
        if !self.add_peer(now, heartbeat.node, heartbeat.sent) {
            return;
        }
        let Some(p) = self.peers.get_mut(&heartbeat.node.addr) else { return };
        if p.is_overtaken(heartbeat) {
            return;
        }
        // The addresses of recorded members spread by the occasional exchange in `member_in_turn`. Otherwise a
        // start of the whole fleet would queue gossip about every node.
        let changed =
            !known || (p.member.addresses.is_some() && p.reported_state != heartbeat.state);
        p.apply_heartbeat(now, heartbeat, self.options.suspect);
        let addresses = p.member.addresses.clone();
        self.record_alive(now, heartbeat.node, heartbeat.sent, Span::ZERO);
        if let (true, Some(addresses)) = (changed, addresses) {
            let (node, state, counter) = (heartbeat.node, heartbeat.state, heartbeat.sent);
            self.gossip.push(GossipUpdate::Member { node, addresses, state, counter });
        }
        if let Some(successor) = heartbeat.successor {
            self.record_successor(now, heartbeat.node, successor);
        }
        for update in &heartbeat.updates {
            self.apply_update(now, update);
        }
    }

    /// Processes the VM list. The list is only a hint: a VM that it marks as leaving is treated as leaving, but
    /// a listed VM is not necessarily alive.
    pub fn update_vm_list(&mut self, now: Timestamp, entries: &[VmEntry]) {
        let leaving = self.vm_list.update(now, entries);
        for (addr, p) in &mut self.peers {
            p.member.state =
                if leaving.contains(&addr.ip()) { NodeState::Leaving } else { p.reported_state };
        }
    }

    /// Returns the highest term that a peer reports, or 0 for an unknown peer.
    ///
    /// A term is the log offset of its record, so the peer has read the log up to there.
    pub fn term(&self, node: NodeId) -> u64 {
        self.peers.get(&node.addr).filter(|p| p.member.node == node).map_or(0, |p| p.term)
    }

    /// Returns whether a process has certainly ended, so that any node may record that it left.
    ///
    /// This is so if another process runs at its address, or if it is no longer a peer and its VM has been
    /// absent from the VM list for `absent`. A list that was not refreshed recently proves nothing.
    pub fn is_gone(&self, now: Timestamp, node: NodeId) -> bool {
        if node == self.local.node {
            return false;
        }
        if let Some(p) = self.peers.get(&node.addr) {
            return p.member.node != node && p.direct.is_some();
        }
        let MembershipOptions { absent, lost, .. } = self.options;
        self.vm_list.is_absent(now, node.addr.ip(), absent, lost)
    }

    /// Returns the addresses to send heartbeats to at this interval.
    ///
    /// In a large fleet these are the node's watchers, a random sample of peers, and some of the service leaders
    /// in turn, so the cost does not depend on the fleet size. One address without a known node is added.
    pub fn targets<R: Rng>(&mut self, _now: Timestamp, rng: &mut R) -> Vec<SocketAddr> {
        self.round = self.round.wrapping_add(1);
        let mut targets: Vec<SocketAddr> = if self.is_alternating() {
            self.peers.keys().copied().skip(self.round % 2).step_by(2).collect()
        } else if self.is_full_mesh() {
            self.peers.keys().copied().collect()
        } else {
            self.large_fleet_targets(rng)
        };
        let tries = if self.peers.is_empty() { LONELY_TRIES } else { 1 };
        targets.extend(self.seeds.iter().copied().choose_multiple(rng, tries));
        targets
    }

    /// Creates the heartbeat for one recipient.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        drains: Vec<DrainNotice>,
    ) -> Heartbeat {
        let sent = now.as_micros() / TIME_UNIT.as_micros();
        let peer = self.peers.get(&to);
        let echo = peer
            .and_then(|p| p.direct)
            .map(|(t, sent)| Echo { sent, held: now.since(t).as_micros() / TIME_UNIT.as_micros() });
        // The addresses are included for unknown recipients, and for all about once a second.
        let is_due = self.round % 4 < 1 + usize::from(self.is_alternating());
        let addresses = (echo.is_none() || is_due).then(|| self.local.addresses.clone());
        Heartbeat {
            node: self.local.node,
            state: self.local.state,
            sent,
            echo,
            version: self.local.version,
            term: self.local.term,
            addresses,
            successor: self.local.successor,
            updates: self.next_updates(now, to),
            drains,
        }
    }

    /// Detects silent peers and returns the changes since the last tick.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberEvent> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.options.pause {
            self.peers.values_mut().for_each(|p| p.skip_pause(now, gap));
        }
        if self.is_ring_changed || !self.events.is_empty() {
            self.assign_watchers(now);
        }
        for addr in self.detect_silence(now) {
            self.remove_lost(now, addr);
        }
        self.test_links(now);
        self.ended.retain(|_, (_, until)| *until > now);
        self.successors.retain(|_, (_, until)| *until > now);
        self.is_ring_changed = !self.events.is_empty();
        std::mem::take(&mut self.events)
    }

    fn is_peer(&self, node: NodeId) -> bool {
        self.peers.get(&node.addr).is_some_and(|p| p.member.node == node)
    }

    /// Returns whether this node sends heartbeats to every second peer only, alternating between the halves.
    ///
    /// With heartbeats to all of 15 peers at each interval, they alone took 2.3 of the 3 KB/s that a node may
    /// use.
    fn is_alternating(&self) -> bool {
        self.is_full_mesh() && self.peers.len() > MAX_HEARTBEATS
    }

    fn large_fleet_targets<R: Rng>(&self, rng: &mut R) -> Vec<SocketAddr> {
        let mut targets = self.watchers.clone();
        let count = self.leaders.len().min(self.options.leader_count);
        for i in 0..count {
            targets.push(self.leaders[(self.round * count + i) % self.leaders.len()]);
        }
        targets.extend(self.peers.keys().copied().choose_multiple(rng, self.options.random));
        targets.sort();
        targets.dedup();
        targets
    }

    /// Marks silent peers as suspect and queues gossip about them. Returns the addresses of the lost ones.
    fn detect_silence(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let MembershipOptions { suspect, lost, stale, .. } = self.options;
        let mut lost_peers = Vec::new();
        for (addr, p) in &mut self.peers {
            p.mark_stale(now, stale);
            let silence = p.silence(now);
            if silence >= lost {
                lost_peers.push(*addr);
            } else if silence >= suspect && !p.member.suspect {
                p.member.suspect = true;
                self.events.push(MemberEvent::Suspect(p.member.node));
                self.gossip.push(p.silence_report(now));
            } else if p.is_question_due(silence, suspect) {
                p.asked_after = Some(p.alive_at);
                self.gossip.push(p.silence_report(now));
            }
        }
        lost_peers
    }

    fn remove_lost(&mut self, now: Timestamp, addr: SocketAddr) {
        let Some(p) = self.peers.remove(&addr) else { return };
        self.ended.insert(p.member.node, (p.counter, now + self.options.keep));
        self.events.push(MemberEvent::Lost(p.member.node));
        // A node that was only cut off for a while is found again by contacting its address.
        self.seeds.insert(addr);
    }

    fn test_links(&mut self, now: Timestamp) {
        for p in self.peers.values_mut().filter(|p| p.is_link_tested()) {
            let cut = !p.member.suspect && p.is_cut(now, &self.options);
            if cut && !p.one_way {
                self.events.push(MemberEvent::OneWay(p.member.node));
            }
            p.one_way = cut;
        }
    }

    /// Adds a process as a peer unless it has ended. Returns whether it is a peer now.
    fn add_peer(&mut self, now: Timestamp, node: NodeId, counter: u64) -> bool {
        if self.ended.get(&node).is_some_and(|(c, _)| counter <= *c) {
            return false;
        }
        match self.peers.get(&node.addr).map(|p| p.member.node) {
            Some(known) if known == node => return true,
            Some(old) => {
                self.ended.insert(old, (u64::MAX, now + self.options.keep));
                self.events.push(MemberEvent::Replaced { old, new: node });
            }
            None => self.events.push(MemberEvent::Joined(node)),
        }
        self.ended.remove(&node);
        self.peers.insert(node.addr, Peer::new(now, node, counter));
        self.seeds.remove(&node.addr);
        true
    }

    /// Returns the gossip updates for the next heartbeat. In a large fleet, one member in turn is sent now and
    /// then if there are none.
    fn next_updates(&mut self, now: Timestamp, to: SocketAddr) -> Vec<GossipUpdate> {
        let copies =
            if self.is_full_mesh() { self.peers.len() as u32 * 2 } else { self.options.copies };
        let peers = &self.peers;
        let mut updates = self.gossip.next(copies, |update| {
            let GossipUpdate::Silent { node, age, .. } = update else { return };
            // The age increases while the update waits in the queue.
            if let Some(p) = peers.get(&node.addr) {
                *age = age::units_since(now, p.silent_since.unwrap_or(p.alive_at));
            }
        });
        if updates.is_empty() && !self.is_full_mesh() {
            updates.extend(self.member_in_turn(now, to));
        }
        updates
    }

    /// Spreads the addresses of all members through a large fleet: about every fourth interval carries one.
    fn member_in_turn(&self, now: Timestamp, to: SocketAddr) -> Option<GossipUpdate> {
        if !rendezvous(&now.as_micros().to_le_bytes(), self.local.node).is_multiple_of(4) {
            return None;
        }
        let turn = self.round % self.peers.len();
        let (_, p) = self.peers.iter().nth(turn).filter(|(addr, _)| **addr != to)?;
        if p.member.suspect {
            return None;
        }
        let (node, state, counter) = (p.member.node, p.reported_state, p.counter);
        let addresses = p.member.addresses.clone()?;
        Some(GossipUpdate::Member { node, addresses, state, counter })
    }

    /// Determines which nodes watch this node and which ones it watches.
    fn assign_watchers(&mut self, now: Timestamp) {
        let is_full = self.is_full_mesh();
        let mut watched = BTreeSet::new();
        self.watchers.clear();
        if !is_full {
            let ring = Ring::new(self.local.node, &self.peers);
            self.watchers = ring.watchers(self.options.watchers);
            watched = ring.watched(self.options.watchers);
        }
        for (addr, p) in &mut self.peers {
            let expects = is_full || watched.contains(addr);
            p.expects_since = expects.then(|| p.expects_since.unwrap_or(now));
            let sends = is_full || self.watchers.contains(addr);
            p.sends_since = sends.then(|| p.sends_since.unwrap_or(now));
        }
    }
}
