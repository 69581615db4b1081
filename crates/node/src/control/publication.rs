//! What the control thread publishes to the node's other threads.

use super::{
    view::{takes_callers, ControlView, MemberView},
    Control, LOG_TARGET,
};
use crate::carriers::Carriers;
use redwingtrestle_core::{
    connection::limits,
    ids::{NodeId, ServiceName, StartId},
    process::{
        heartbeat::NodeState,
        membership::{Member, MembershipOptions},
    },
    time::Timestamp,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
};

/// The longest chain of successors that is followed.
///
/// Successors are remembered for 20 min. A rolling restart of a fleet at one node per minute creates no
/// longer chain in that time.
const MAX_SUCCESSORS: usize = 32;

impl Control {
    /// Publishes the carriers of the services that not every member carries, then updates the gates.
    ///
    /// Requests that a gate refuses are forwarded at once, so the carriers have to be published first.
    pub(super) fn publish_carriers(&mut self) {
        let entry = |m: &Member| Some((m.node, m.addresses.as_ref()?.entry, takes_callers(m)));
        let mut peers: Vec<_> = self.membership.members().filter_map(entry).collect();
        peers.sort_unstable();
        if peers == self.published_peers && !std::mem::take(&mut self.are_carriers_new) {
            return;
        }
        self.published_peers = peers;
        let local = self.shared.id;
        let mut all = HashMap::new();
        for (name, service) in &self.services {
            let carriers = service.carriers();
            if carriers.len() >= self.recorded.len() && service.carries(&local) {
                continue;
            }
            let entries = self.carrier_entries(name, carriers);
            let carriers = Carriers { is_local: service.carries(&local), entries };
            all.insert(name.clone(), Arc::new(carriers));
        }
        self.shared.carriers.store(Arc::new(all));
        for service in self.services.values() {
            service.update_admission();
        }
    }

    /// Returns the entry addresses of the known carriers of a service, in the order in which to try them.
    ///
    /// Carriers that do not take callers, such as leaving or suspect ones, come last.
    fn carrier_entries(&self, name: &ServiceName, carriers: &[NodeId]) -> Vec<SocketAddr> {
        let peers = &self.published_peers;
        let find = |node: &NodeId| {
            let position = peers.binary_search_by_key(node, |peer| peer.0).ok()?;
            Some((peers[position].1, peers[position].2))
        };
        let order = limits::carriers_by_preference(name, &self.shared.id, carriers);
        let mut order: Vec<_> = order.iter().filter_map(find).collect();
        order.sort_by_key(|(_, takes)| !takes);
        order.into_iter().map(|(entry, _)| entry).collect()
    }

    /// Lets a starting node serve once its configuration is the newest known, it has slots, and it can reach
    /// a carrier of each service that it does not carry itself.
    pub(super) fn serve_when_ready(&self, now: Timestamp) {
        let slots = self.services.values().all(|s| s.has_slots(now));
        // The wait for carriers is limited, because a service without any must not block the other services.
        let routed = now.since(self.started_at) >= MembershipOptions::default().lost
            || self.shared.carriers.load().values().all(|c| c.is_local || !c.entries.is_empty());
        if self.log_view.is_current
            && slots
            && routed
            && !self.shared.ready.swap(true, Ordering::SeqCst)
        {
            log::info!(target: LOG_TARGET, version = self.version.0; "node serves");
        }
    }

    /// Returns the entry addresses for callers. This node's own is the first while it serves, else absent.
    pub(super) fn caller_entries(&self) -> Vec<SocketAddr> {
        let own = self.shared.settings.entry_address();
        let serving = self.shared.node_state() == NodeState::Serving;
        let others = self.membership.members().filter(|m| takes_callers(m));
        let others = others.filter_map(|m| m.addresses.as_ref().map(|a| a.entry));
        serving.then_some(own).into_iter().chain(others).collect()
    }

    /// Publishes this thread's state, for forwarding and for operators.
    pub(super) fn publish(&self, now: Timestamp) {
        let members: Vec<MemberView> =
            self.membership.members().map(|m| self.member_view(now, m)).collect();
        let known = members.iter().filter_map(|m| m.member.addresses.as_ref().map(|a| a.entry));
        self.shared.known_entries.store(Some(Arc::new(known.collect())));
        let usable: Vec<NodeId> =
            members.iter().filter(|m| m.usable).map(|m| m.member.node).collect();
        metrics::gauge!("redwing_peers_usable").set(usable.len() as f64);
        let view = ControlView {
            at: now,
            usable,
            homes: self.key_homes(&members),
            members,
            services: self.services.iter().map(|(n, s)| (n.clone(), s.to_view(now))).collect(),
            leaving: self.drain.sources(now).collect(),
        };
        self.shared.view.store(Arc::new(view));
    }

    /// Returns the entry address that serves the keys of each known process.
    fn key_homes(&self, members: &[MemberView]) -> HashMap<StartId, SocketAddr> {
        let mut homes =
            HashMap::from([(self.shared.id.start, self.shared.settings.entry_address())]);
        let entry =
            |m: &MemberView| Some((m.member.node.start, m.member.addresses.as_ref()?.entry));
        homes.extend(members.iter().filter_map(entry));
        let mut moved = HashMap::new();
        for (node, successor) in self.membership.successors() {
            let last = self.last_successor(node, successor);
            if let Some(entry) = homes.get(&last.start) {
                moved.insert(node.start, *entry);
            }
        }
        homes.extend(moved);
        homes
    }

    /// Follows the successors of `node` from the first one, which may have stopped as well.
    fn last_successor(&self, node: NodeId, first: NodeId) -> NodeId {
        let mut last = first;
        for _ in 0..MAX_SUCCESSORS {
            match self.membership.successor(last) {
                Some(next) if next != node => last = next,
                _ => break,
            }
        }
        last
    }

    fn member_view(&self, now: Timestamp, member: &Member) -> MemberView {
        let (last_heartbeat_at, receives_heartbeats) = self.membership.link(now, member.node.addr);
        let usable = self.membership.is_usable(now, member.node);
        MemberView { member: member.clone(), usable, last_heartbeat_at, receives_heartbeats }
    }
}
