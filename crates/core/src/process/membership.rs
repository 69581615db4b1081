//! Fleet membership and failure detection from heartbeats and the VM list.
//!
//! In a fleet of up to [`MAX_FULL_MESH`] nodes, every node sends heartbeats to every other. In a larger one, a few
//! nodes watch each node, and changes spread by gossip. See `docs/agreement.md`.

use crate::{
    ids::{NodeId, Version},
    process::{
        drain::DrainNotice,
        heartbeat::{
            Echo, GossipUpdate, Heartbeat, NodeAddresses, NodeState, MAX_GOSSIP_UPDATES, TIME_UNIT,
        },
    },
    time::{Span, Timestamp},
    version::log_reader::{PeerSummary, PeerVersion},
};
use rand::{seq::IteratorRandom, Rng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
};
use xxhash_rust::xxh3::Xxh3;

/// The maximum number of nodes of a fleet in which every node sends heartbeats to every other.
pub const MAX_FULL_MESH: usize = 17;

/// With more peers than this, a node sends heartbeats to only half of them at each interval.
const MAX_HEARTBEATS: usize = 8;

/// The unit of `age` in gossip updates.
const AGE_UNIT: Span = Span::from_millis(50);

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

/// A line of the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's IP address.
    pub ip: IpAddr,
    /// Whether the list marks the VM as leaving.
    pub leaving: bool,
}

/// A change that [`Membership::tick`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The node is a new peer.
    Joined(NodeId),
    /// There was no sign of life from the node for [`MembershipOptions::suspect`].
    Suspect(NodeId),
    /// There is a new sign of life from a suspect node.
    Recovered(NodeId),
    /// There was no sign of life from the node for [`MembershipOptions::lost`], so it is no longer a peer.
    Lost(NodeId),
    /// A new process runs at the address of `old`.
    Replaced {
        /// The process that has ended.
        old: NodeId,
        /// The new process.
        new: NodeId,
    },
    /// The node is alive, but one direction of its link to this node is cut.
    OneWay(NodeId),
}

/// The times and counts of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// The interval between heartbeats.
    pub interval: Span,
    /// A peer is suspect after this long without a sign of life.
    pub suspect: Span,
    /// A peer is lost after this long without a sign of life.
    pub lost: Span,
    /// How long a VM must be absent from the VM list to count as gone.
    pub absent: Span,
    /// How long lost and replaced processes are remembered, so that late messages from them are ignored.
    pub keep: Span,
    /// How long successors are remembered: the lifetime of a key generation.
    pub successor_ttl: Span,
    /// A longer time between two ticks means that this process was paused.
    pub pause: Span,
    /// A peer counts as silent after this long without any newer information about it, in a large fleet.
    ///
    /// With 750 nodes, random heartbeats and gossip refresh each peer in less than 30 s on average. Only a node
    /// that missed the gossip about a loss, for instance because it was paused, reaches this limit.
    pub stale: Span,
    /// The number of nodes that watch each node in a large fleet.
    pub watchers: usize,
    /// The number of random peers that get a heartbeat at each interval in a large fleet.
    pub random: usize,
    /// The number of service leaders that get a heartbeat at each interval in a large fleet.
    pub leader_count: usize,
    /// How many times each gossip update is sent in a large fleet.
    pub copies: u32,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            interval: Span::from_millis(250),
            suspect: Span::from_millis(1500),
            lost: Span::from_secs(3),
            absent: Span::from_secs(10),
            keep: Span::from_secs(60),
            successor_ttl: Span::from_secs(1200),
            pause: Span::from_secs(1),
            stale: Span::from_secs(400),
            watchers: 4,
            random: 4,
            leader_count: 4,
            copies: 32,
        }
    }
}

impl MembershipOptions {
    /// Returns the age at which an echo is too old. It exceeds `suspect` by the peer's heartbeat interval and
    /// the network delay.
    fn echo_limit(&self) -> Span {
        self.suspect + self.interval.times(2)
    }
}

/// The information about this node that its heartbeats carry.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The node.
    pub node: NodeId,
    /// Its entry address and data centre.
    pub addresses: NodeAddresses,
    /// Its state.
    pub state: NodeState,
    /// The configuration version in force.
    pub version: Version,
    /// The highest term that it knows.
    pub term: u64,
    /// The node that holds its idempotency records after its stop.
    pub successor: Option<NodeId>,
}

/// A peer that is not lost.
#[derive(Clone, Debug)]
pub struct Member {
    /// The peer.
    pub node: NodeId,
    /// Its entry address and data centre, once known.
    pub addresses: Option<NodeAddresses>,
    /// The state that it reports, or `Leaving` if the VM list marks its VM as leaving.
    pub state: NodeState,
    /// Whether there was no sign of life from it for [`MembershipOptions::suspect`].
    pub suspect: bool,
    /// The estimated round-trip time, from directly exchanged heartbeats.
    pub rtt: Option<Span>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    reported_state: NodeState,
    version: Version,
    term: u64,
    /// The highest `sent` of the peer, learned directly or by gossip.
    counter: u64,
    /// The time of the peer's last known sign of life, by this node's clock.
    alive_at: Timestamp,
    /// When this node last learned something newer about the peer.
    updated_at: Timestamp,
    /// Since when the peer is reported as silent by one of its watchers.
    silent_since: Option<Timestamp>,
    /// When the peer's last heartbeat arrived here, and its `sent`.
    direct: Option<(Timestamp, u64)>,
    /// The send time of this node's newest heartbeat that the peer has echoed.
    echoed: Option<Timestamp>,
    /// Since when the peer is expected to send a heartbeat to this node at each interval.
    expects_since: Option<Timestamp>,
    /// Since when this node sends a heartbeat to the peer at each interval.
    sends_since: Option<Timestamp>,
    one_way: bool,
    /// The `alive_at` for which the gossip last asked about a peer with a one-way link.
    asked_after: Option<Timestamp>,
}

impl Peer {
    /// Returns whether the link to the peer is cut in a direction in which heartbeats are due at each interval.
    fn is_cut(&self, now: Timestamp, options: &MembershipOptions) -> bool {
        let silent = |since: Option<Timestamp>, last: Option<Timestamp>, limit| {
            since.is_some_and(|s| now.since(last.map_or(s, |l| l.max(s))) >= limit)
        };
        let direct = self.direct.map(|d| d.0);
        let responds = direct.is_some_and(|t| now.since(t) < options.suspect);
        silent(self.expects_since, direct, options.suspect)
            || (responds && silent(self.sends_since, self.echoed, options.echo_limit()))
    }
}

/// One node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    local: LocalNode,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Ended processes with their highest counter (`u64::MAX` for a replaced one) and the time to forget them.
    ended: HashMap<NodeId, (u64, Timestamp)>,
    successors: HashMap<NodeId, (NodeId, Timestamp)>,
    /// The gossip updates to send, by subject, with the number of times each was sent.
    updates: HashMap<Subject, (u32, GossipUpdate)>,
    /// The subjects in the order in which to send them: those sent least often come first.
    queue: BTreeSet<(u32, Subject)>,
    /// Addresses to contact at which no node is known yet.
    seeds: BTreeSet<SocketAddr>,
    /// The nodes that watch this node in a large fleet.
    watchers: Vec<SocketAddr>,
    leaders: Vec<SocketAddr>,
    /// The number of heartbeat intervals so far.
    round: usize,
    /// When each VM was last in the VM list.
    vm_seen: HashMap<IpAddr, Timestamp>,
    /// When the first and the last VM list arrived.
    vm_first: Option<Timestamp>,
    vm_last: Option<Timestamp>,
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
            updates: HashMap::new(),
            queue: BTreeSet::new(),
            seeds: BTreeSet::new(),
            watchers: Vec::new(),
            leaders: Vec::new(),
            round: 0,
            vm_seen: HashMap::new(),
            vm_first: None,
            vm_last: None,
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
        let has_received = p.direct.is_some_and(|(t, _)| now.since(t) < self.options.suspect);
        has_received && p.echoed.is_some_and(|t| now.since(t) < self.options.echo_limit())
    }

    /// Returns when the last heartbeat of a peer arrived, and whether the peer still receives those of this
    /// node.
    pub fn link(&self, now: Timestamp, addr: SocketAddr) -> (Option<Timestamp>, bool) {
        let Some(p) = self.peers.get(&addr) else { return (None, false) };
        let receives = p.echoed.is_some_and(|t| now.since(t) < self.options.echo_limit());
        (p.direct.map(|d| d.0), receives)
    }

    /// Returns the information about peers that the log reader needs.
    pub fn peer_summary(&self, now: Timestamp) -> PeerSummary {
        let fresh = |p: &&Peer| {
            p.direct.is_some_and(|(t, _)| now.since(t) <= self.options.suspect) && !p.member.suspect
        };
        let best = self.peers.values().filter(fresh).map(|p| PeerVersion {
            node: p.member.node,
            version: p.version,
            term: p.term,
        });
        PeerSummary {
            members: self.peers.len() + 1,
            best_peer: best.max_by_key(|b| (b.version, b.term)),
        }
    }

    /// Processes a received heartbeat.
    pub fn receive_heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) {
        if heartbeat.node.addr == self.local.node.addr {
            return;
        }
        let known =
            self.peers.get(&heartbeat.node.addr).is_some_and(|p| p.member.node == heartbeat.node);
        if !self.add_peer(now, heartbeat.node, heartbeat.sent) {
            return;
        }
        let suspect = self.options.suspect;
        let Some(p) = self.peers.get_mut(&heartbeat.node.addr) else { return };
        // A datagram that was overtaken by a newer one carries no new information.
        if p.direct.is_some_and(|(_, sent)| sent >= heartbeat.sent) {
            return;
        }
        p.direct = Some((now, heartbeat.sent));
        p.version = p.version.max(heartbeat.version);
        p.term = p.term.max(heartbeat.term);
        if let Some(echo) = heartbeat.echo {
            let ours = Timestamp::from_micros(echo.sent.saturating_mul(TIME_UNIT.as_micros()));
            p.echoed = p.echoed.max(Some(ours));
            let held = Span::from_micros(echo.held.saturating_mul(TIME_UNIT.as_micros()));
            // If the peer held the echo for long, the difference of the clock rates distorts the sample.
            if held <= suspect {
                let sample = now.since(ours) - held;
                p.member.rtt = Some(p.member.rtt.map_or(sample, |r| {
                    Span::from_micros((r.as_micros() * 7 + sample.as_micros()) / 8)
                }));
            }
        }
        // The addresses of recorded members spread by the occasional exchange in `next_updates`. Otherwise a start
        // of the whole fleet would queue gossip about every node.
        let changed =
            !known || (p.member.addresses.is_some() && p.reported_state != heartbeat.state);
        p.reported_state = heartbeat.state;
        p.member.state = heartbeat.state;
        if heartbeat.addresses.is_some() {
            p.member.addresses.clone_from(&heartbeat.addresses);
        }
        let addresses = p.member.addresses.clone();
        self.record_alive(now, heartbeat.node, heartbeat.sent, Span::ZERO);
        if let (true, Some(addresses)) = (changed, addresses) {
            let (node, state, counter) = (heartbeat.node, heartbeat.state, heartbeat.sent);
            self.queue_update(GossipUpdate::Member { node, addresses, state, counter });
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
        self.vm_first.get_or_insert(now);
        self.vm_last = Some(now);
        for e in entries {
            self.vm_seen.insert(e.ip, now);
        }
        self.vm_seen.retain(|_, t| now.since(*t) < Span::from_secs(3600));
        let leaving: BTreeSet<IpAddr> =
            entries.iter().filter(|e| e.leaving).map(|e| e.ip).collect();
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
        let (Some(first), Some(last)) = (self.vm_first, self.vm_last) else { return false };
        let seen = self.vm_seen.get(&node.addr.ip()).copied().unwrap_or(first);
        last.since(seen) >= self.options.absent && now.since(last) <= self.options.lost
    }

    /// Returns whether this node sends heartbeats to every second peer only, alternating between the halves.
    ///
    /// With heartbeats to all of 15 peers at each interval, they alone took 2.3 of the 3 KB/s that a node may
    /// use.
    fn is_alternating(&self) -> bool {
        self.is_full_mesh() && self.peers.len() > MAX_HEARTBEATS
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
            let o = self.options;
            let mut targets = self.watchers.clone();
            let count = self.leaders.len().min(o.leader_count);
            for i in 0..count {
                targets.push(self.leaders[(self.round * count + i) % self.leaders.len()]);
            }
            targets.extend(self.peers.keys().copied().choose_multiple(rng, o.random));
            targets.sort();
            targets.dedup();
            targets
        };
        // A node without peers tries several addresses at a time, since it has no other traffic.
        let tries = if self.peers.is_empty() { 8 } else { 1 };
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
            // This process could not receive heartbeats while it was paused, so the pause does not count as
            // silence.
            for p in self.peers.values_mut() {
                p.alive_at = (p.alive_at + gap).min(now);
                p.silent_since = p.silent_since.map(|t| (t + gap).min(now));
                p.expects_since = p.expects_since.map(|t| (t + gap).min(now));
                p.sends_since = p.sends_since.map(|_| now);
            }
        }
        if self.is_ring_changed || !self.events.is_empty() {
            self.assign_watchers(now);
        }
        let o = self.options;
        let mut updates = Vec::new();
        let mut lost = Vec::new();
        for (addr, p) in &mut self.peers {
            let node = p.member.node;
            if p.silent_since.is_none() && now.since(p.updated_at) >= o.stale {
                p.silent_since = Some(now);
                p.updated_at = now;
            }
            let on_watch = p.expects_since.map(|t| t.max(p.alive_at));
            let since = match (on_watch, p.silent_since) {
                (Some(a), Some(b)) => a.min(b.max(p.alive_at)),
                (Some(a), None) => a,
                (None, Some(b)) => b.max(p.alive_at),
                (None, None) => now,
            };
            let silent = now.since(since);
            if silent >= o.lost {
                lost.push(*addr);
            } else if silent >= o.suspect && !p.member.suspect {
                p.member.suspect = true;
                self.events.push(MemberEvent::Suspect(node));
                let age = age_of(now, p.alive_at);
                updates.push(GossipUpdate::Silent { node, counter: p.counter, age });
            } else if p.one_way && silent.times(3) >= o.suspect && p.asked_after != Some(p.alive_at)
            {
                // No heartbeat arrives directly, so other nodes are asked for a sign of life. Asking only when
                // the peer is suspect made it alternate between suspect and alive every 2 s, and with it the
                // entries returned to callers.
                p.asked_after = Some(p.alive_at);
                let age = age_of(now, p.alive_at);
                updates.push(GossipUpdate::Silent { node, counter: p.counter, age });
            }
        }
        updates.into_iter().for_each(|n| self.queue_update(n));
        for addr in lost {
            if let Some(p) = self.peers.remove(&addr) {
                self.ended.insert(p.member.node, (p.counter, now + o.keep));
                self.events.push(MemberEvent::Lost(p.member.node));
                // A node that was only cut off for a while is found again by contacting its address.
                self.seeds.insert(addr);
            }
        }
        let tested =
            |p: &&mut Peer| p.expects_since.is_some() || p.sends_since.is_some() || p.one_way;
        for p in self.peers.values_mut().filter(tested) {
            let cut = !p.member.suspect && p.is_cut(now, &o);
            if cut && !p.one_way {
                self.events.push(MemberEvent::OneWay(p.member.node));
            }
            p.one_way = cut;
        }
        self.ended.retain(|_, (_, until)| *until > now);
        self.successors.retain(|_, (_, until)| *until > now);
        self.is_ring_changed = !self.events.is_empty();
        std::mem::take(&mut self.events)
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
        let state = NodeState::Starting;
        let member = Member { node, addresses: None, state, suspect: false, rtt: None };
        let peer = Peer {
            member,
            reported_state: state,
            version: Version(0),
            term: 0,
            counter,
            alive_at: now,
            updated_at: now,
            silent_since: None,
            direct: None,
            echoed: None,
            expects_since: None,
            sends_since: None,
            one_way: false,
            asked_after: None,
        };
        self.peers.insert(node.addr, peer);
        self.seeds.remove(&node.addr);
        true
    }

    /// Records that `node` was alive `age` ago, unless newer information is known.
    fn record_alive(&mut self, now: Timestamp, node: NodeId, counter: u64, age: Span) {
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        if p.member.node != node || counter <= p.counter && age > Span::ZERO {
            return;
        }
        p.counter = p.counter.max(counter);
        p.updated_at = now;
        p.alive_at =
            p.alive_at.max(Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros())));
        let reported = p.silent_since.take().is_some();
        if now.since(p.alive_at) < self.options.suspect {
            if std::mem::take(&mut p.member.suspect) {
                self.events.push(MemberEvent::Recovered(node));
                self.queue_update(GossipUpdate::Alive { node, counter, age: age_units(age) });
            } else if reported {
                self.queue_update(GossipUpdate::Alive { node, counter, age: age_units(age) });
            }
        }
    }

    fn apply_update(&mut self, now: Timestamp, update: &GossipUpdate) {
        match update {
            GossipUpdate::Member { node, addresses, state, counter } => {
                if *node == self.local.node || node.addr == self.local.node.addr {
                    return;
                }
                let known = self.peers.get(&node.addr).is_some_and(|p| p.member.node == *node);
                // The sender may simply not have lost the node yet and know a slightly later sign of life. So
                // a lost node becomes a peer again only if its counter has risen by more than `lost`.
                let margin = self.options.lost.as_micros() / TIME_UNIT.as_micros();
                if !self.add_peer(now, *node, counter.saturating_sub(margin)) {
                    return;
                }
                let Some(p) = self.peers.get_mut(&node.addr) else { return };
                let newer = !known || *counter > p.counter || p.member.addresses.is_none();
                if *counter > p.counter {
                    p.counter = *counter;
                    p.updated_at = now;
                }
                if newer && (p.reported_state != *state || p.member.addresses.is_none()) {
                    // The first addresses of a recorded member are not a change to spread.
                    let changed = !known || p.member.addresses.is_some();
                    p.reported_state = *state;
                    p.member.state = *state;
                    p.member.addresses = Some(addresses.clone());
                    if changed {
                        self.queue_update(update.clone());
                    }
                }
            }
            GossipUpdate::Silent { node, counter, age } => {
                if *node == self.local.node {
                    let counter = now.as_micros() / TIME_UNIT.as_micros();
                    return self.queue_update(GossipUpdate::Alive { node: *node, counter, age: 0 });
                }
                let Some(p) = self.peers.get_mut(&node.addr) else { return };
                if p.member.node != *node {
                    return;
                }
                if p.counter > *counter {
                    let (node, counter, age) = (*node, p.counter, age_of(now, p.alive_at));
                    if now.since(p.alive_at) < self.options.suspect {
                        self.queue_update(GossipUpdate::Alive { node, counter, age });
                    } else if p.silent_since.is_none() {
                        // This node has a newer sign of life, but the peer has been silent since then, too.
                        p.silent_since = Some(p.alive_at);
                        self.queue_update(GossipUpdate::Silent { node, counter, age });
                    }
                    return;
                }
                let age = AGE_UNIT.times(u64::from(*age));
                let since = Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros()));
                // The silence starts at the last sign of life that the watcher knows.
                if *counter > p.counter {
                    p.counter = *counter;
                    p.alive_at = p.alive_at.max(since);
                }
                if p.silent_since.is_none() {
                    p.silent_since = Some(since);
                    p.alive_at = p.alive_at.min(since);
                    let age = age_units(age);
                    self.queue_update(GossipUpdate::Silent { node: *node, counter: *counter, age });
                }
            }
            GossipUpdate::Alive { node, counter, age } => {
                // The age excludes the time in the queue and on the network, so at least one unit is assumed.
                let age = AGE_UNIT.times(u64::from((*age).max(1)));
                self.record_alive(now, *node, *counter, age);
            }
            GossipUpdate::Successor { node, successor } => {
                self.record_successor(now, *node, *successor);
            }
        }
    }

    fn record_successor(&mut self, now: Timestamp, node: NodeId, successor: NodeId) {
        let until = now + self.options.successor_ttl;
        if self.successors.get(&node).is_none_or(|(known, _)| *known != successor) {
            self.successors.insert(node, (successor, until));
            self.queue_update(GossipUpdate::Successor { node, successor });
        }
    }

    /// Queues a gossip update. It replaces an older one of the same kind about the same node.
    fn queue_update(&mut self, update: GossipUpdate) {
        let subject = subject(&update);
        if let Some((sent, _)) = self.updates.insert(subject, (0, update)) {
            self.queue.remove(&(sent, subject));
        }
        self.queue.insert((0, subject));
    }

    /// Returns the gossip updates for the next heartbeat, those sent least often first. In a large fleet, one
    /// member in turn is sent now and then if there are none.
    fn next_updates(&mut self, now: Timestamp, to: SocketAddr) -> Vec<GossipUpdate> {
        let copies =
            if self.is_full_mesh() { self.peers.len() as u32 * 2 } else { self.options.copies };
        let mut list: Vec<GossipUpdate> = Vec::new();
        let next: Vec<_> = self.queue.iter().take(MAX_GOSSIP_UPDATES).copied().collect();
        for (sent, subject) in next {
            self.queue.remove(&(sent, subject));
            let Some((count, update)) = self.updates.get_mut(&subject) else { continue };
            if let GossipUpdate::Silent { node, age, .. } = update {
                // The age increases while the update waits in the queue.
                if let Some(p) = self.peers.get(&node.addr) {
                    *age = age_of(now, p.silent_since.unwrap_or(p.alive_at));
                }
            }
            list.push(update.clone());
            *count = sent + 1;
            if *count < copies {
                self.queue.insert((*count, subject));
            } else {
                self.updates.remove(&subject);
            }
        }
        // Spreads the addresses of all members through a large fleet: about every fourth interval carries one.
        if !self.is_full_mesh()
            && list.is_empty()
            && rendezvous(&now.as_micros().to_le_bytes(), self.local.node).is_multiple_of(4)
        {
            let turn = self.round % self.peers.len();
            if let Some((_, p)) = self.peers.iter().nth(turn).filter(|(a, _)| **a != to) {
                if let (Some(addresses), false) = (p.member.addresses.clone(), p.member.suspect) {
                    let (node, state, counter) = (p.member.node, p.reported_state, p.counter);
                    list.push(GossipUpdate::Member { node, addresses, state, counter });
                }
            }
        }
        list
    }

    /// Determines which nodes watch this node and which ones it watches.
    ///
    /// Nodes are ordered on a ring by a hash. The watchers of a node are the next few nodes that are not suspect,
    /// and it sends them heartbeats at each interval. Because suspect nodes are skipped, a node gets a new watcher
    /// as soon as one of its watchers is suspect.
    fn assign_watchers(&mut self, now: Timestamp) {
        let full = self.is_full_mesh();
        let mut senders = BTreeSet::new();
        self.watchers.clear();
        if !full {
            let own = (rendezvous(b"ring", self.local.node), self.local.node.addr);
            let mut ring: Vec<_> = self
                .peers
                .iter()
                .map(|(a, p)| ((rendezvous(b"ring", p.member.node), *a), p.member.suspect))
                .collect();
            ring.sort_unstable();
            let at = ring.partition_point(|(key, _)| *key < own);
            let after = ring[at..].iter().chain(&ring[..at]).filter(|(_, suspect)| !suspect);
            self.watchers = after.take(self.options.watchers).map(|((_, a), _)| *a).collect();
            let mut left = self.options.watchers;
            for ((_, a), suspect) in ring[..at].iter().rev().chain(ring[at..].iter().rev()) {
                if left == 0 {
                    break;
                }
                senders.insert(*a);
                left -= usize::from(!suspect);
            }
        }
        for (addr, p) in &mut self.peers {
            let expects = full || senders.contains(addr);
            p.expects_since = expects.then(|| p.expects_since.unwrap_or(now));
            let sends = full || self.watchers.contains(addr);
            p.sends_since = sends.then(|| p.sends_since.unwrap_or(now));
        }
    }
}

fn age_units(age: Span) -> u8 {
    (age.as_micros() / AGE_UNIT.as_micros()).min(255) as u8
}

fn age_of(now: Timestamp, then: Timestamp) -> u8 {
    age_units(now.since(then))
}

/// The subject of a gossip update: the node and the kind of update.
type Subject = (NodeId, u8);

fn subject(update: &GossipUpdate) -> Subject {
    match update {
        GossipUpdate::Member { node, .. } => (*node, 0),
        // Reports of silence and of life replace each other.
        GossipUpdate::Silent { node, .. } | GossipUpdate::Alive { node, .. } => (*node, 1),
        GossipUpdate::Successor { node, .. } => (*node, 2),
    }
}
