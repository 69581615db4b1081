//! Which nodes are usable, from heartbeats and the VM list.
//!
//! In a fleet of up to [`FULL_FLEET`] nodes every node hears every other. In a larger one each node is
//! watched by a few others, and what changes is spread as updates. See `docs/agreement.md`.

use crate::{
    ids::{NodeId, Version},
    process::{
        drain::DrainNotice,
        heartbeat::{
            Echo, GossipUpdate, Heartbeat, NodeAddresses, NodeState, MAX_GOSSIP_UPDATES, UNIT,
        },
    },
    time::{Span, Timestamp},
    version::log_reader::{PeerVersion, Peers},
};
use rand::{seq::IteratorRandom, Rng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
};
use xxhash_rust::xxh3::Xxh3;

/// Up to this many nodes, every node sends heartbeats to every other.
pub const FULL_FLEET: usize = 17;

/// The most peers that all get a heartbeat at each interval.
const HALVED_PEERS: usize = 8;

/// The unit of `age` in updates.
const AGE_UNIT: Span = Span::from_millis(50);

/// Returns the rendezvous weight of `node` for `key`; all nodes compute the same one.
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

/// `VmEntry` is a line of the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's IP address.
    pub ip: IpAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// `MemberEvent` is a change that [`Membership::tick`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The node is new.
    Joined(NodeId),
    /// The node was not heard for `suspect`.
    Suspect(NodeId),
    /// The node is heard of again.
    Recovered(NodeId),
    /// The node was not heard for `lost`.
    Lost(NodeId),
    /// A new process runs at the address of `old`.
    Replaced {
        /// The process that has ended.
        old: NodeId,
        /// The new process.
        new: NodeId,
    },
    /// The node is alive, but one direction of the link between it and this node is cut.
    OneWay(NodeId),
}

/// `MembershipOptions` holds the times and counts of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// The interval between heartbeats.
    pub interval: Span,
    /// Silence after which a peer is suspect.
    pub suspect: Span,
    /// Silence after which a peer is lost.
    pub lost: Span,
    /// How long a VM must be absent from the list to count as gone.
    pub absent: Span,
    /// How long lost and replaced processes are remembered against late messages.
    pub keep: Span,
    /// How long successors are remembered: the life of a key generation.
    pub successors: Span,
    /// A longer time between two ticks means that this process was paused.
    pub pause: Span,
    /// When a peer of which nothing newer was learned is asked about, in a large fleet.
    ///
    /// Random heartbeats and updates renew each peer in less than 30 s on average at 750 nodes, so only a
    /// node that missed the update about a loss, such as a paused one, gets there.
    pub stale: Span,
    /// How many nodes watch each node in a large fleet.
    pub watchers: usize,
    /// How many random peers get a heartbeat at each interval in a large fleet.
    pub random: usize,
    /// How many named leaders get a heartbeat at each interval in a large fleet.
    pub leaders: usize,
    /// How often each update is sent in a large fleet.
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
            successors: Span::from_secs(1200),
            pause: Span::from_secs(1),
            stale: Span::from_secs(400),
            watchers: 4,
            random: 4,
            leaders: 4,
            copies: 32,
        }
    }
}

impl MembershipOptions {
    /// Returns the age at which an echo is too old: later than silence by the peer's interval and the way.
    fn echo_limit(&self) -> Span {
        self.suspect + self.interval.times(2)
    }
}

/// `LocalNode` is what this node says about itself.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The node.
    pub node: NodeId,
    /// Its introduction.
    pub addresses: NodeAddresses,
    /// Its state.
    pub state: NodeState,
    /// Its version in force.
    pub version: Version,
    /// The highest term that it knows.
    pub term: u64,
    /// The node that answers for its keys after its stop.
    pub successor: Option<NodeId>,
}

/// `Member` is a peer that is not lost.
#[derive(Clone, Debug)]
pub struct Member {
    /// The peer.
    pub node: NodeId,
    /// Its introduction, once known.
    pub addresses: Option<NodeAddresses>,
    /// What it says about itself, or `Leaving` when the VM list says so.
    pub state: NodeState,
    /// Whether it is suspect.
    pub suspect: bool,
    /// The estimated round trip time, from directly exchanged heartbeats.
    pub rtt: Option<Span>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    said: NodeState,
    version: Version,
    term: u64,
    /// The newest `sent`, by whatever way it was learned, and when that was new.
    counter: u64,
    alive_at: Timestamp,
    /// When the counter last rose at this node.
    fresh_at: Timestamp,
    /// When a watcher elsewhere stopped hearing the peer.
    silent_since: Option<Timestamp>,
    /// When the peer was last heard directly, and with which `sent`.
    direct: Option<(Timestamp, u64)>,
    /// The time of our newest heartbeat that the peer has heard.
    echoed: Option<Timestamp>,
    /// Since when the peer sends to us at each interval.
    hears_since: Option<Timestamp>,
    /// Since when we send to the peer at each interval.
    sends_since: Option<Timestamp>,
    one_way: bool,
    /// The last sign of life after which others were asked about a peer behind a one-way cut.
    asked: Option<Timestamp>,
}

impl Peer {
    /// Returns whether a link that is used at each interval is known as cut in a direction.
    fn is_cut(&self, now: Timestamp, options: &MembershipOptions) -> bool {
        let silent = |since: Option<Timestamp>, last: Option<Timestamp>, limit| {
            since.is_some_and(|s| now.since(last.map_or(s, |l| l.max(s))) >= limit)
        };
        let direct = self.direct.map(|d| d.0);
        let answers = direct.is_some_and(|t| now.since(t) < options.suspect);
        silent(self.hears_since, direct, options.suspect)
            || (answers && silent(self.sends_since, self.echoed, options.echo_limit()))
    }
}

/// `Membership` is one node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    local: LocalNode,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Ended processes: the highest counter, `u64::MAX` for a replaced one, and when to forget.
    ended: HashMap<NodeId, (u64, Timestamp)>,
    successors: HashMap<NodeId, (NodeId, Timestamp)>,
    /// The updates to spread by subject, and how often each was sent, in that order.
    updates: HashMap<Subject, (u32, GossipUpdate)>,
    queue: BTreeSet<(u32, Subject)>,
    seeds: BTreeSet<SocketAddr>,
    watchers: Vec<SocketAddr>,
    leaders: Vec<SocketAddr>,
    turn: usize,
    vm_seen: HashMap<IpAddr, Timestamp>,
    vm_first: Option<Timestamp>,
    vm_last: Option<Timestamp>,
    events: Vec<MemberEvent>,
    last_tick: Timestamp,
    /// Whether the ring has changed since the watch was assigned.
    dirty: bool,
}

impl Membership {
    /// Returns the view of a node that knows nobody.
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
            turn: 0,
            vm_seen: HashMap::new(),
            vm_first: None,
            vm_last: None,
            events: Vec::new(),
            last_tick: now,
            dirty: true,
        }
    }

    /// Returns what this node says about itself, to be changed in place.
    pub fn local(&mut self) -> &mut LocalNode {
        &mut self.local
    }

    /// Adds addresses to try, from settings, the VM list or the members recorded in the log.
    pub fn seed(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let known = |a: &SocketAddr| *a == self.local.node.addr || self.peers.contains_key(a);
        self.seeds.extend(addrs.into_iter().filter(|a| !known(a)));
    }

    /// Adds the members that the log records, as if just heard of.
    ///
    /// A node so knows a large fleet as soon as it has a configuration. A member that has ended is found
    /// by its watchers like any other.
    pub fn recorded(&mut self, now: Timestamp, nodes: impl IntoIterator<Item = NodeId>) {
        for node in nodes {
            if node.addr != self.local.node.addr && !self.peers.contains_key(&node.addr) {
                self.admit(now, node, 0);
            }
        }
    }

    /// Names the leaders that this node has business with.
    pub fn set_leaders(&mut self, leaders: impl IntoIterator<Item = SocketAddr>) {
        self.leaders = leaders.into_iter().filter(|a| *a != self.local.node.addr).collect();
    }

    /// Returns whether every node hears every other.
    pub fn is_full(&self) -> bool {
        self.peers.len() < FULL_FLEET
    }

    /// Returns the peers that are not lost.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    /// Returns the peer at an address.
    pub fn member(&self, addr: SocketAddr) -> Option<&Member> {
        self.peers.get(&addr).map(|p| &p.member)
    }

    /// Returns the node that answers for the keys of one that stopped.
    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        self.successors.get(&node).map(|h| h.0)
    }

    /// Returns each node that stopped with the one that answers for its keys.
    pub fn successors(&self) -> impl Iterator<Item = (NodeId, NodeId)> + '_ {
        self.successors.iter().map(|(node, (successor, _))| (*node, *successor))
    }

    /// Returns whether requests and duties may be sent to `node`.
    ///
    /// Where every node hears every other, the node must have been heard and must have echoed this node
    /// within the time for suspicion. In a large fleet that holds for watchers and named leaders as far as
    /// the link was in use; any other link is not tested, and a cut shows at the first call.
    pub fn usable(&self, now: Timestamp, node: NodeId) -> bool {
        let Some(p) = self.peers.get(&node.addr) else { return false };
        if p.member.node != node || p.member.suspect {
            return false;
        }
        if !self.is_full() {
            return !p.is_cut(now, &self.options);
        }
        let heard = p.direct.is_some_and(|(t, _)| now.since(t) < self.options.suspect);
        heard && p.echoed.is_some_and(|t| now.since(t) < self.options.echo_limit())
    }

    /// Returns when a peer was last heard directly and whether it still hears this node.
    pub fn link(&self, now: Timestamp, addr: SocketAddr) -> (Option<Timestamp>, bool) {
        let Some(p) = self.peers.get(&addr) else { return (None, false) };
        let hears = p.echoed.is_some_and(|t| now.since(t) < self.options.echo_limit());
        (p.direct.map(|d| d.0), hears)
    }

    /// Returns what the log reader needs to know.
    pub fn peers(&self, now: Timestamp) -> Peers {
        let fresh = |p: &&Peer| {
            p.direct.is_some_and(|(t, _)| now.since(t) <= self.options.suspect) && !p.member.suspect
        };
        let best = self.peers.values().filter(fresh).map(|p| PeerVersion {
            node: p.member.node,
            version: p.version,
            term: p.term,
        });
        Peers { members: self.peers.len() + 1, best: best.max_by_key(|b| (b.version, b.term)) }
    }

    /// Takes a heartbeat that arrived.
    pub fn heard(&mut self, now: Timestamp, h: &Heartbeat) {
        if h.node.addr == self.local.node.addr {
            return;
        }
        let known = self.peers.get(&h.node.addr).is_some_and(|p| p.member.node == h.node);
        if !self.admit(now, h.node, h.sent) {
            return;
        }
        let suspect = self.options.suspect;
        let Some(p) = self.peers.get_mut(&h.node.addr) else { return };
        // A datagram that was overtaken says nothing new.
        if p.direct.is_some_and(|(_, sent)| sent >= h.sent) {
            return;
        }
        p.direct = Some((now, h.sent));
        p.version = p.version.max(h.version);
        p.term = p.term.max(h.term);
        if let Some(echo) = h.echo {
            let ours = Timestamp::from_micros(echo.sent.saturating_mul(UNIT.as_micros()));
            p.echoed = p.echoed.max(Some(ours));
            let held = Span::from_micros(echo.held.saturating_mul(UNIT.as_micros()));
            // A long hold makes the clocks' difference in rate count, so such an echo is no sample.
            if held <= suspect {
                let sample = now.since(ours) - held;
                p.member.rtt = Some(p.member.rtt.map_or(sample, |r| {
                    Span::from_micros((r.as_micros() * 7 + sample.as_micros()) / 8)
                }));
            }
        }
        // The introductions of recorded members are left to the exchange now and then, or a start of the
        // whole fleet would queue updates about everybody.
        let changed = !known || (p.member.addresses.is_some() && p.said != h.state);
        p.said = h.state;
        p.member.state = h.state;
        if h.addresses.is_some() {
            p.member.addresses.clone_from(&h.addresses);
        }
        let addresses = p.member.addresses.clone();
        self.alive(now, h.node, h.sent, Span::ZERO);
        if let (true, Some(addresses)) = (changed, addresses) {
            let (node, state, counter) = (h.node, h.state, h.sent);
            self.spread(GossipUpdate::Member { node, addresses, state, counter });
        }
        if let Some(successor) = h.successor {
            self.record_successor(now, h.node, successor);
        }
        for update in &h.updates {
            self.take(now, update);
        }
    }

    /// Takes the VM list, which is a hint: `leaving` is believed, `live` proves nothing.
    pub fn vm_list(&mut self, now: Timestamp, entries: &[VmEntry]) {
        self.vm_first.get_or_insert(now);
        self.vm_last = Some(now);
        for e in entries {
            self.vm_seen.insert(e.ip, now);
        }
        self.vm_seen.retain(|_, t| now.since(*t) < Span::from_secs(3600));
        let leaving: BTreeSet<IpAddr> =
            entries.iter().filter(|e| e.leaving).map(|e| e.ip).collect();
        for (addr, p) in &mut self.peers {
            p.member.state = if leaving.contains(&addr.ip()) { NodeState::Leaving } else { p.said };
        }
    }

    /// Returns the highest term that a peer says it knows, 0 for one that is not known.
    ///
    /// A term is the offset of its record, so the peer has read the log up to there.
    pub fn term(&self, node: NodeId) -> u64 {
        self.peers.get(&node.addr).filter(|p| p.member.node == node).map_or(0, |p| p.term)
    }

    /// Returns whether a process has ended for good, so that any node may record that it left.
    ///
    /// Either another process runs at its address, or it is silent and its VM was absent from the list
    /// for `absent`. A list that is not refreshed proves nothing.
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

    /// Returns whether each interval goes to every second peer, so that each hears a node at every second.
    ///
    /// With 15 peers at each interval, heartbeats alone took 2.3 of the 3 KB/s that a node may spend.
    fn is_halved(&self) -> bool {
        self.is_full() && self.peers.len() > HALVED_PEERS
    }

    /// Returns the addresses that get a heartbeat at this interval.
    ///
    /// In a large fleet these are the node's watchers, a random sample and some of the named leaders
    /// in turn, so that the cost does not depend on the size of the fleet. One address that was never heard is
    /// tried as well.
    pub fn targets<R: Rng>(&mut self, _now: Timestamp, rng: &mut R) -> Vec<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        let mut targets: Vec<SocketAddr> = if self.is_halved() {
            self.peers.keys().copied().skip(self.turn % 2).step_by(2).collect()
        } else if self.is_full() {
            self.peers.keys().copied().collect()
        } else {
            let o = self.options;
            let mut targets = self.watchers.clone();
            let count = self.leaders.len().min(o.leaders);
            for i in 0..count {
                targets.push(self.leaders[(self.turn * count + i) % self.leaders.len()]);
            }
            targets.extend(self.peers.keys().copied().choose_multiple(rng, o.random));
            targets.sort();
            targets.dedup();
            targets
        };
        // Tries several at first, since a node that knows nobody has no other traffic.
        let tries = if self.peers.is_empty() { 8 } else { 1 };
        targets.extend(self.seeds.iter().copied().choose_multiple(rng, tries));
        targets
    }

    /// Returns the heartbeat for one target.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        drains: Vec<DrainNotice>,
    ) -> Heartbeat {
        let sent = now.as_micros() / UNIT.as_micros();
        let peer = self.peers.get(&to);
        let echo = peer
            .and_then(|p| p.direct)
            .map(|(t, sent)| Echo { sent, held: now.since(t).as_micros() / UNIT.as_micros() });
        // Introduces itself to strangers, and to everybody about once a second.
        let is_due = self.turn % 4 < 1 + usize::from(self.is_halved());
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

    /// Finds silent peers and returns the changes since the last tick.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberEvent> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.options.pause {
            // Nothing could be heard during a pause of this process, so the time does not count.
            for p in self.peers.values_mut() {
                p.alive_at = (p.alive_at + gap).min(now);
                p.silent_since = p.silent_since.map(|t| (t + gap).min(now));
                p.hears_since = p.hears_since.map(|t| (t + gap).min(now));
                p.sends_since = p.sends_since.map(|_| now);
            }
        }
        if self.dirty || !self.events.is_empty() {
            self.assign_watch(now);
        }
        let o = self.options;
        let mut spread = Vec::new();
        let mut lost = Vec::new();
        for (addr, p) in &mut self.peers {
            let node = p.member.node;
            if p.silent_since.is_none() && now.since(p.fresh_at) >= o.stale {
                p.silent_since = Some(now);
                p.fresh_at = now;
            }
            let on_watch = p.hears_since.map(|t| t.max(p.alive_at));
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
                spread.push(GossipUpdate::Silent { node, counter: p.counter, age });
            } else if p.one_way && silent.times(3) >= o.suspect && p.asked != Some(p.alive_at) {
                // Nothing is heard directly. Who asks only when the peer is suspect has it change between
                // suspect and alive every 2 s, and with it the entries that callers are told.
                p.asked = Some(p.alive_at);
                let age = age_of(now, p.alive_at);
                spread.push(GossipUpdate::Silent { node, counter: p.counter, age });
            }
        }
        spread.into_iter().for_each(|n| self.spread(n));
        for addr in lost {
            if let Some(p) = self.peers.remove(&addr) {
                self.ended.insert(p.member.node, (p.counter, now + o.keep));
                self.events.push(MemberEvent::Lost(p.member.node));
                // A node cut off for a while is found again by trying its address.
                self.seeds.insert(addr);
            }
        }
        let tested =
            |p: &&mut Peer| p.hears_since.is_some() || p.sends_since.is_some() || p.one_way;
        for p in self.peers.values_mut().filter(tested) {
            let cut = !p.member.suspect && p.is_cut(now, &o);
            if cut && !p.one_way {
                self.events.push(MemberEvent::OneWay(p.member.node));
            }
            p.one_way = cut;
        }
        self.ended.retain(|_, (_, until)| *until > now);
        self.successors.retain(|_, (_, until)| *until > now);
        self.dirty = !self.events.is_empty();
        std::mem::take(&mut self.events)
    }

    /// Makes room for a process unless it has ended; returns whether it is now a peer.
    fn admit(&mut self, now: Timestamp, node: NodeId, counter: u64) -> bool {
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
            said: state,
            version: Version(0),
            term: 0,
            counter,
            alive_at: now,
            fresh_at: now,
            silent_since: None,
            direct: None,
            echoed: None,
            hears_since: None,
            sends_since: None,
            one_way: false,
            asked: None,
        };
        self.peers.insert(node.addr, peer);
        self.seeds.remove(&node.addr);
        true
    }

    /// Notes that `node` was alive `age` ago, unless something newer is known.
    fn alive(&mut self, now: Timestamp, node: NodeId, counter: u64, age: Span) {
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        if p.member.node != node || counter <= p.counter && age > Span::ZERO {
            return;
        }
        p.counter = p.counter.max(counter);
        p.fresh_at = now;
        p.alive_at =
            p.alive_at.max(Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros())));
        let reported = p.silent_since.take().is_some();
        if now.since(p.alive_at) < self.options.suspect {
            if std::mem::take(&mut p.member.suspect) {
                self.events.push(MemberEvent::Recovered(node));
                self.spread(GossipUpdate::Alive { node, counter, age: units(age) });
            } else if reported {
                self.spread(GossipUpdate::Alive { node, counter, age: units(age) });
            }
        }
    }

    fn take(&mut self, now: Timestamp, update: &GossipUpdate) {
        match update {
            GossipUpdate::Member { node, addresses, state, counter } => {
                if *node == self.local.node || node.addr == self.local.node.addr {
                    return;
                }
                let known = self.peers.get(&node.addr).is_some_and(|p| p.member.node == *node);
                // A peer that has not yet lost the node may know a later sign of its life than this
                // node did, so only a counter that went on for the whole time brings it back.
                let margin = self.options.lost.as_micros() / UNIT.as_micros();
                if !self.admit(now, *node, counter.saturating_sub(margin)) {
                    return;
                }
                let Some(p) = self.peers.get_mut(&node.addr) else { return };
                let newer = !known || *counter > p.counter || p.member.addresses.is_none();
                if *counter > p.counter {
                    p.counter = *counter;
                    p.fresh_at = now;
                }
                if newer && (p.said != *state || p.member.addresses.is_none()) {
                    // What fills in a recorded member is an exchange and no update.
                    let changed = !known || p.member.addresses.is_some();
                    p.said = *state;
                    p.member.state = *state;
                    p.member.addresses = Some(addresses.clone());
                    if changed {
                        self.spread(update.clone());
                    }
                }
            }
            GossipUpdate::Silent { node, counter, age } => {
                if *node == self.local.node {
                    let counter = now.as_micros() / UNIT.as_micros();
                    return self.spread(GossipUpdate::Alive { node: *node, counter, age: 0 });
                }
                let Some(p) = self.peers.get_mut(&node.addr) else { return };
                if p.member.node != *node {
                    return;
                }
                if p.counter > *counter {
                    let (node, counter, age) = (*node, p.counter, age_of(now, p.alive_at));
                    if now.since(p.alive_at) < self.options.suspect {
                        self.spread(GossipUpdate::Alive { node, counter, age });
                    } else if p.silent_since.is_none() {
                        // What is known here is newer, but just as silent since.
                        p.silent_since = Some(p.alive_at);
                        self.spread(GossipUpdate::Silent { node, counter, age });
                    }
                    return;
                }
                let age = AGE_UNIT.times(u64::from(*age));
                let since = Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros()));
                // What a watcher has not heard counts from its own last sign of life.
                if *counter > p.counter {
                    p.counter = *counter;
                    p.alive_at = p.alive_at.max(since);
                }
                if p.silent_since.is_none() {
                    p.silent_since = Some(since);
                    p.alive_at = p.alive_at.min(since);
                    let age = units(age);
                    self.spread(GossipUpdate::Silent { node: *node, counter: *counter, age });
                }
            }
            GossipUpdate::Alive { node, counter, age } => {
                // Time in the queue and on the way is not in the age, so one unit is the least.
                let age = AGE_UNIT.times(u64::from((*age).max(1)));
                self.alive(now, *node, *counter, age);
            }
            GossipUpdate::Successor { node, successor } => {
                self.record_successor(now, *node, *successor);
            }
        }
    }

    fn record_successor(&mut self, now: Timestamp, node: NodeId, successor: NodeId) {
        let until = now + self.options.successors;
        if self.successors.get(&node).is_none_or(|(known, _)| *known != successor) {
            self.successors.insert(node, (successor, until));
            self.spread(GossipUpdate::Successor { node, successor });
        }
    }

    /// Queues updates; a newer one about the same node and of the same kind replaces the older.
    fn spread(&mut self, update: GossipUpdate) {
        let subject = subject(&update);
        if let Some((sent, _)) = self.updates.insert(subject, (0, update)) {
            self.queue.remove(&(sent, subject));
        }
        self.queue.insert((0, subject));
    }

    /// Takes the updates that were sent least often, and adds a member now and then.
    fn next_updates(&mut self, now: Timestamp, to: SocketAddr) -> Vec<GossipUpdate> {
        let copies = if self.is_full() { self.peers.len() as u32 * 2 } else { self.options.copies };
        let mut list: Vec<GossipUpdate> = Vec::new();
        let next: Vec<_> = self.queue.iter().take(MAX_GOSSIP_UPDATES).copied().collect();
        for (sent, subject) in next {
            self.queue.remove(&(sent, subject));
            let Some((count, update)) = self.updates.get_mut(&subject) else { continue };
            if let GossipUpdate::Silent { node, age, .. } = update {
                // The age runs on while the update waits or is passed on.
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
        // Keeps everybody known where peers are sampled: one member in about every fourth interval.
        if !self.is_full()
            && list.is_empty()
            && rendezvous(&now.as_micros().to_le_bytes(), self.local.node).is_multiple_of(4)
        {
            let turn = self.turn % self.peers.len();
            if let Some((_, p)) = self.peers.iter().nth(turn).filter(|(a, _)| **a != to) {
                if let (Some(addresses), false) = (p.member.addresses.clone(), p.member.suspect) {
                    let (node, state, counter) = (p.member.node, p.said, p.counter);
                    list.push(GossipUpdate::Member { node, addresses, state, counter });
                }
            }
        }
        list
    }

    /// Decides whom this node watches and who watches it.
    ///
    /// Nodes stand on a ring in the order of a hash. A node sends to the next few that are not suspect, and
    /// expects heartbeats from those of which it is one of the next few. Skipping suspects gives a
    /// node new watchers as soon as its own are in doubt.
    fn assign_watch(&mut self, now: Timestamp) {
        let full = self.is_full();
        let mut senders = BTreeSet::new();
        self.watchers.clear();
        if !full {
            let me = (rendezvous(b"ring", self.local.node), self.local.node.addr);
            let mut ring: Vec<_> = self
                .peers
                .iter()
                .map(|(a, p)| ((rendezvous(b"ring", p.member.node), *a), p.member.suspect))
                .collect();
            ring.sort_unstable();
            let at = ring.partition_point(|(key, _)| *key < me);
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
            let hears = full || senders.contains(addr);
            p.hears_since = hears.then(|| p.hears_since.unwrap_or(now));
            let sends = full || self.watchers.contains(addr);
            p.sends_since = sends.then(|| p.sends_since.unwrap_or(now));
        }
    }
}

fn units(age: Span) -> u8 {
    (age.as_micros() / AGE_UNIT.as_micros()).min(255) as u8
}

fn age_of(now: Timestamp, then: Timestamp) -> u8 {
    units(now.since(then))
}

/// What an update is about: the node and the kind.
type Subject = (NodeId, u8);

fn subject(update: &GossipUpdate) -> Subject {
    match update {
        GossipUpdate::Member { node, .. } => (*node, 0),
        // Silence and its refutation replace each other.
        GossipUpdate::Silent { node, .. } | GossipUpdate::Alive { node, .. } => (*node, 1),
        GossipUpdate::Successor { node, .. } => (*node, 2),
    }
}
