//! What a node learns from the gossip updates that it receives.

use super::{age, member::MemberEvent, Membership};
use crate::{
    ids::NodeId,
    process::heartbeat::{GossipUpdate, NodeAddresses, NodeState, TIME_UNIT},
    time::{Span, Timestamp},
};

impl Membership {
    pub(super) fn apply_update(&mut self, now: Timestamp, update: &GossipUpdate) {
        match update {
            GossipUpdate::Member { node, addresses, state, counter } => {
                self.apply_member(now, *node, addresses, *state, *counter);
            }
            GossipUpdate::Silent { node, counter, age } => {
                self.apply_silence(now, *node, *counter, *age);
            }
            GossipUpdate::Alive { node, counter, age } => {
                // The age excludes the time in the queue and on the network, so at least one unit is assumed.
                self.record_alive(now, *node, *counter, age::from_units((*age).max(1)));
            }
            GossipUpdate::Successor { node, successor } => {
                self.record_successor(now, *node, *successor);
            }
        }
    }

    /// Records that `node` was alive `age` ago, unless newer information is known.
    pub(super) fn record_alive(&mut self, now: Timestamp, node: NodeId, counter: u64, age: Span) {
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        if p.member.node != node || counter <= p.counter && age > Span::ZERO {
            return;
        }
        p.counter = p.counter.max(counter);
        p.updated_at = now;
        p.alive_at = p.alive_at.max(age::before(now, age));
        let was_reported = p.silent_since.take().is_some();
        if now.since(p.alive_at) >= self.options.suspect {
            return;
        }
        let was_suspect = std::mem::take(&mut p.member.suspect);
        if was_suspect {
            self.events.push(MemberEvent::Recovered(node));
        }
        if was_suspect || was_reported {
            self.gossip.push(GossipUpdate::Alive { node, counter, age: age::to_units(age) });
        }
    }

    pub(super) fn record_successor(&mut self, now: Timestamp, node: NodeId, successor: NodeId) {
        let until = now + self.options.successor_ttl;
        if self.successors.get(&node).is_none_or(|(known, _)| *known != successor) {
            self.successors.insert(node, (successor, until));
            self.gossip.push(GossipUpdate::Successor { node, successor });
        }
    }

    fn apply_member(
        &mut self,
        now: Timestamp,
        node: NodeId,
        addresses: &NodeAddresses,
        state: NodeState,
        counter: u64,
    ) {
        if node.addr == self.local.node.addr {
            return;
        }
        let known = self.is_peer(node);
        // The sender may simply not have lost the node yet and know a slightly later sign of life. So
        // a lost node becomes a peer again only if its counter has risen by more than `lost`.
        let margin = self.options.lost.as_micros() / TIME_UNIT.as_micros();
        if !self.add_peer(now, node, counter.saturating_sub(margin)) {
            return;
        }
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        let has_addresses = p.member.addresses.is_some();
        let is_newer = !known || counter > p.counter || !has_addresses;
        if counter > p.counter {
            p.counter = counter;
            p.updated_at = now;
        }
        if is_newer && (p.reported_state != state || !has_addresses) {
            p.apply_report(state, addresses);
            // The first addresses of a recorded member are not a change to spread.
            if !known || has_addresses {
                let addresses = addresses.clone();
                self.gossip.push(GossipUpdate::Member { node, addresses, state, counter });
            }
        }
    }

    fn apply_silence(&mut self, now: Timestamp, node: NodeId, counter: u64, age: u8) {
        if node == self.local.node {
            let counter = now.as_micros() / TIME_UNIT.as_micros();
            return self.gossip.push(GossipUpdate::Alive { node, counter, age: 0 });
        }
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        if p.member.node != node {
            return;
        }
        if p.counter > counter {
            return self.answer_silence(now, node);
        }
        let since = age::before(now, age::from_units(age));
        // The silence starts at the last sign of life that the watcher knows.
        if counter > p.counter {
            p.counter = counter;
            p.alive_at = p.alive_at.max(since);
        }
        if p.silent_since.is_none() {
            p.silent_since = Some(since);
            p.alive_at = p.alive_at.min(since);
            self.gossip.push(GossipUpdate::Silent { node, counter, age });
        }
    }

    /// Answers a report of silence with the newer sign of life that this node has.
    fn answer_silence(&mut self, now: Timestamp, node: NodeId) {
        let Some(p) = self.peers.get_mut(&node.addr) else { return };
        if now.since(p.alive_at) < self.options.suspect {
            self.gossip.push(p.life_report(now));
        } else if p.silent_since.is_none() {
            // The peer has been silent since that sign of life, too.
            p.silent_since = Some(p.alive_at);
            self.gossip.push(p.silence_report(now));
        }
    }
}
