//! Which backend servers are leaving, lost or cold.

use redwingtrestle_core::{
    ids::{ServerAddr, ServiceName},
    process::{drain::DrainTracker, ejections::ServerState, membership::VmEntry},
    time::{Span, Timestamp},
    version::spec::Spec,
};
use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
};

/// A backend server counts as lost after its VM has been absent from the list of VMs for this long.
const SERVER_LOST_AFTER: Span = Span::from_secs(10);

/// What this node knows of the servers apart from their drains.
#[derive(Debug, Default)]
pub(super) struct ServerStates {
    vm_seen_at: HashMap<IpAddr, Timestamp>,
    vm_list_at: Option<Timestamp>,
    cold_until: HashMap<ServerAddr, Timestamp>,
    lost: BTreeSet<ServerAddr>,
}

impl ServerStates {
    /// Records that the platform lists these VMs.
    pub(super) fn record_vm_list(&mut self, now: Timestamp, entries: &[VmEntry]) {
        self.vm_list_at = Some(now);
        self.vm_seen_at.extend(entries.iter().map(|e| (e.ip, now)));
    }

    /// Records that a server has just started.
    pub(super) fn set_cold(&mut self, server: ServerAddr, until: Timestamp) {
        self.cold_until.insert(server, until);
    }

    /// Forgets cold starts that are over.
    pub(super) fn expire_cold(&mut self, now: Timestamp) {
        self.cold_until.retain(|_, until| *until > now);
    }

    /// Updates which servers are lost, because their VMs are no longer on the list of VMs.
    ///
    /// Servers whose VMs are back start cold. They are returned with their services and the time until which they are
    /// cold.
    pub(super) fn update_lost(
        &mut self,
        now: Timestamp,
        spec: &Spec,
    ) -> Vec<(ServiceName, ServerAddr, Timestamp)> {
        let mut back = Vec::new();
        let Some(last) = self.vm_list_at else { return back };
        for (name, service) in &spec.services {
            for s in &service.servers {
                let Some(seen) = self.vm_seen_at.get(&s.addr.vm()) else { continue };
                if last.since(*seen) >= SERVER_LOST_AFTER {
                    self.lost.insert(s.addr);
                } else if self.lost.remove(&s.addr) {
                    let until = now + service.cold_start;
                    self.set_cold(s.addr, until);
                    back.push((name.clone(), s.addr, until));
                }
            }
        }
        back
    }

    /// Returns the state of a server.
    pub(super) fn state(&self, server: ServerAddr, drain: &DrainTracker) -> ServerState {
        if drain.is_leaving(server) {
            ServerState::Draining
        } else if self.lost.contains(&server) {
            ServerState::Lost
        } else if self.cold_until.contains_key(&server) {
            ServerState::Cold
        } else {
            ServerState::Up
        }
    }
}
