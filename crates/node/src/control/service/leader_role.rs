//! What a node does for a service that it leads.

use super::Context;
use redwingtrestle_core::{
    ids::NodeId,
    process::{
        ejections::{ServerState, View},
        evidence::EvidenceReport,
        service_leader::ServiceLeader,
        slot_leases::{LeaseAllocator, SlotLease},
    },
    time::{Span, Timestamp},
    version::spec::{ServerSpec, ServiceSpec},
};
use std::collections::HashMap;

/// How often the leader evaluates the evidence that has arrived.
const EVALUATION_INTERVAL: Span = Span::from_millis(50);

/// The leader waits for the acknowledgements of a node until this long after the last sign that the node may
/// apply announcements.
///
/// This is twice the time to live of an announcement. It matters for nodes that were carriers until recently
/// or wrongly act as carriers; the leader always waits for actual carriers.
const ACKNOWLEDGEMENT_GRACE: Span = Span::from_secs(6);

/// The state that only the leader of a service has.
#[derive(Debug)]
pub(super) struct LeaderRole {
    pub(super) leader: ServiceLeader,
    pub(super) allocator: LeaseAllocator,
    last_tick: Timestamp,
    /// The time of the last sign that a node may apply announcements. Used if not all nodes carry the service.
    may_apply_at: HashMap<NodeId, Timestamp>,
}

impl LeaderRole {
    /// Creates the role of a new leader.
    pub(super) fn new(now: Timestamp, leader: ServiceLeader, allocator: LeaseAllocator) -> Self {
        LeaderRole { leader, allocator, last_tick: now, may_apply_at: HashMap::new() }
    }

    /// Processes a node's report. Only a carrier sends one, so the node may apply announcements.
    pub(super) fn observe(&mut self, now: Timestamp, report: &EvidenceReport) {
        self.may_apply_at.insert(report.node, now);
        self.leader.observe(now, report);
    }

    /// Returns whether the evidence that has arrived is to be evaluated now.
    pub(super) fn start_evaluation(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.last_tick) >= EVALUATION_INTERVAL;
        if is_due {
            self.last_tick = now;
        }
        is_due
    }

    /// Allocates the slots of the servers if that is due, and returns the leases to send.
    ///
    /// A server that some node may still eject has one slot, for its probation.
    pub(super) fn allocate(
        &mut self,
        now: Timestamp,
        spec: &ServiceSpec,
        view: &View,
    ) -> Vec<SlotLease> {
        if now < self.allocator.next_tick() {
            return Vec::new();
        }
        let outstanding = self.leader.outstanding();
        let slots = |s: &ServerSpec| match view.servers.get(&s.addr).map(|v| v.state) {
            Some(ServerState::Up | ServerState::Cold) if outstanding.contains(&s.addr) => 1,
            Some(ServerState::Up | ServerState::Cold) => s.slots,
            _ => 0,
        };
        let servers: Vec<_> = spec.servers.iter().map(|s| (s.addr, slots(s))).collect();
        self.allocator.set_servers(&servers);
        self.allocator.tick(now)
    }

    /// Determines for which recorded members the leader has to wait.
    ///
    /// Nodes that do not carry the service neither get announcements nor acknowledge them. Such a node may
    /// still apply an old announcement. Until it has read the assignment of this term, it may follow an
    /// earlier leader as a carrier, and as long as it sends reports, it acts as a carrier.
    pub(super) fn update_awaited(
        &mut self,
        now: Timestamp,
        carriers: &[NodeId],
        context: &Context<'_>,
    ) {
        let term = self.leader.term();
        let mut awaited = context.recorded.clone();
        awaited.retain(|node| {
            let may_apply_at = self.may_apply_at.entry(*node).or_insert(now);
            if context.membership.term(*node) < term.0 {
                *may_apply_at = now;
            }
            carriers.contains(node) || now.since(*may_apply_at) <= ACKNOWLEDGEMENT_GRACE
        });
        self.may_apply_at.retain(|node, _| context.recorded.contains(node));
        self.leader.set_recorded(awaited);
    }
}
