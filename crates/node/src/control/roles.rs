//! The records that this node proposes to the log: leaders of services, and members that are gone.

use super::Control;
use crate::log_thread::Command;
use redwingtrestle_core::{
    ids::{NodeId, ServiceName},
    process::{heartbeat::NodeState, leader_assignment, rendezvous::rendezvous},
    time::{Span, Timestamp},
    version::config_state::{ConfigState, LeaderAssignment, Record},
};
use std::collections::BTreeMap;

/// How long a node waits until it repeats a proposal that has not appeared in the log.
const PROPOSAL_RETRY: Span = Span::from_secs(2);

/// A node that has started does not propose itself as a leader for this long.
///
/// A leader keeps its role until its node stops, so the first node of a fleet would become the leader of all
/// services if it did not wait for others to be recorded and to serve. In the meantime, nodes use the equal
/// split and eject nothing.
const PROPOSAL_DELAY: Span = Span::from_secs(3);

impl Control {
    /// Returns the nodes that may get a role: recorded, serving, and with heartbeats in both directions. The
    /// last condition does not apply to this node itself.
    fn eligible_nodes(&self, now: Timestamp) -> Vec<NodeId> {
        let local = self.shared.id;
        let serving = |node: &NodeId| match self.membership.member(node.addr) {
            _ if *node == local => self.shared.node_state() == NodeState::Serving,
            Some(m) => m.state == NodeState::Serving && self.membership.is_usable(now, *node),
            None => false,
        };
        self.alive.iter().copied().filter(serving).collect()
    }

    /// Proposes this node as the leader of services that have no live leader among their carriers, if it is the
    /// preferred choice.
    pub(super) fn propose_leaders(&mut self, now: Timestamp) {
        if !self.log_view.log_up || now.since(self.started_at) < PROPOSAL_DELAY {
            return;
        }
        let (led, vacant) = self.led_and_vacant();
        if vacant.is_empty() {
            return;
        }
        let carries = |name: &ServiceName, node: &NodeId| self.services[name].carries(node);
        let chosen = leader_assignment::assign_leaders(
            vacant.keys(),
            &led,
            &self.eligible_nodes(now),
            carries,
        );
        let local = self.shared.id;
        for (name, _) in chosen.into_iter().filter(|(_, node)| *node == local) {
            self.propose_leader(now, name, vacant[name]);
        }
    }

    /// Returns the number of services that each node leads, and the services without a live leader among their
    /// carriers, with the terms of their last leaders.
    fn led_and_vacant(&self) -> (BTreeMap<NodeId, u32>, BTreeMap<ServiceName, u64>) {
        let mut led = BTreeMap::new();
        let mut vacant = BTreeMap::new();
        for (name, service) in &self.services {
            match service.assignment() {
                Some(a) if service.carries(&a.node) && self.is_leader_valid(a) => {
                    *led.entry(a.node).or_default() += 1;
                }
                assignment => {
                    vacant.insert(name.clone(), assignment.map_or(0, |a| a.term));
                }
            }
        }
        (led, vacant)
    }

    fn propose_leader(&mut self, now: Timestamp, service: &ServiceName, base_term: u64) {
        if !is_retry_due(self.proposed_at.get(service), now) {
            return;
        }
        self.proposed_at.insert(service.clone(), now);
        let record = Record::LeaderAssigned {
            service: service.clone(),
            region: self.region.clone(),
            node: self.shared.id,
            base_term,
        };
        let _ = self.shared.commands.try_push(Command::Append(record));
    }

    /// Returns whether a leader is still alive and not leaving.
    ///
    /// A leader from which only this node gets no heartbeats stays: other nodes report it as alive, and a new
    /// leader could not complete its fencing while the link is cut.
    fn is_leader_valid(&self, assignment: LeaderAssignment) -> bool {
        let node = assignment.node;
        if node == self.shared.id {
            return self.shared.node_state() != NodeState::Leaving;
        }
        let member = self.membership.member(node.addr);
        member.is_some_and(|m| m.node == node && m.state != NodeState::Leaving)
    }

    /// Records in the log which members are gone, if this node is the one responsible for that.
    pub(super) fn record_left_members(&mut self, now: Timestamp, state: &ConfigState) {
        let eligible = self.eligible_nodes(now);
        let first = eligible.iter().copied().max_by_key(|n| rendezvous(b"members", *n));
        if first != Some(self.shared.id) || !self.log_view.log_up {
            return;
        }
        for node in state.members.keys().copied() {
            let is_due = is_retry_due(self.left_recorded_at.get(&node), now);
            if is_due && self.membership.is_gone(now, node) {
                self.left_recorded_at.insert(node, now);
                let _ = self.shared.commands.try_push(Command::Append(Record::MemberLeft { node }));
            }
        }
        self.left_recorded_at.retain(|node, _| state.members.contains_key(node));
    }
}

/// Returns whether a record proposed `last` may be proposed now.
fn is_retry_due(last: Option<&Timestamp>, now: Timestamp) -> bool {
    last.is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY)
}
