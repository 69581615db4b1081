//! The healthy capacity of services before and after a change of the configuration.

use crate::control::view::{ControlView, ServerView};
use redwingtrestle_core::{
    ids::{ServerAddr, ServiceName},
    process::ejections::{ServerState, Usage},
    version::spec::{ServerSpec, ServiceSpec, Spec},
};
use redwingtrestle_wire::query::{EjectedRow, FloorRow};
use std::{collections::BTreeSet, net::SocketAddr};

/// Computes healthy capacity from the views of this node and of the nodes that responded.
pub(super) struct Capacity<'a> {
    view: &'a ControlView,
    ejected: BTreeSet<(&'a str, SocketAddr)>,
}

impl<'a> Capacity<'a> {
    /// Combines this node's view with the ejections that any node reports.
    pub(super) fn new(view: &'a ControlView, ejected: &'a [EjectedRow]) -> Self {
        let ejected = ejected.iter().map(|r| (r.service.as_str(), r.server)).collect();
        Capacity { view, ejected }
    }

    fn server_view(&self, service: &ServiceName, server: ServerAddr) -> Option<&ServerView> {
        self.view.services.get(service)?.servers.iter().find(|r| r.server == server)
    }

    /// Returns the healthy slots that a service has if `spec` is in force. With `old`, servers that only a drain
    /// of `old` takes out of use count as healthy again.
    fn healthy_slots(&self, old: Option<&Spec>, spec: &Spec, name: &ServiceName) -> u32 {
        let Some(service) = spec.services.get(name) else { return 0 };
        let healthy = |server: &&ServerSpec| {
            if spec.drains.covers(server) || self.ejected.contains(&(name.as_str(), server.addr.0))
            {
                return false;
            }
            match self.server_view(name, server.addr) {
                Some(server_view) => match server_view.state {
                    ServerState::Up => matches!(server_view.usage, Usage::Weight(_)),
                    // The change may end a drain of the old configuration, but no drain of another cause.
                    ServerState::Draining => {
                        old.is_some_and(|old| old.drains.covers(server))
                            && !self.view.leaving.iter().any(|(s, _)| *s == server.addr)
                    }
                    ServerState::Cold | ServerState::Lost => false,
                },
                // A new server starts cold, unless the service has no cold start.
                None => service.cold_start.as_micros() == 0,
            }
        };
        service.servers.iter().filter(healthy).map(|s| s.slots).sum()
    }

    /// Returns floor and capacity of each service whose floor or servers a change affects.
    pub(super) fn floor_rows(&self, old: &Spec, new: &Spec) -> Vec<FloorRow> {
        let floor = |s: Option<&ServiceSpec>| s.map_or(0, |s| s.floor);
        let names: BTreeSet<&ServiceName> =
            old.services.keys().chain(new.services.keys()).collect();
        let row = |name: &ServiceName| {
            let (a, b) = (old.services.get(name), new.services.get(name));
            is_affected(old, new, name).then(|| FloorRow {
                service: name.to_string(),
                floor_before: floor(a),
                floor_after: floor(b),
                capacity_before: self.healthy_slots(None, old, name),
                capacity_after: self.healthy_slots(Some(old), new, name),
            })
        };
        names.into_iter().filter_map(row).collect()
    }
}

fn is_affected(old: &Spec, new: &Spec, name: &ServiceName) -> bool {
    let (Some(a), Some(b)) = (old.services.get(name), new.services.get(name)) else { return true };
    let drained = |spec: &Spec, s: &ServiceSpec| -> Vec<bool> {
        s.servers.iter().map(|server| spec.drains.covers(server)).collect()
    };
    a.floor != b.floor || a.servers != b.servers || drained(old, a) != drained(new, b)
}

/// Returns whether a change leaves a service with less healthy capacity than its floor.
///
/// Below the floor, changes that neither raise it nor remove capacity are still allowed; otherwise an
/// operator could not lower a floor or end a drain during a failure. A new service has no capacity to lose.
pub(super) fn is_breach(old: &Spec, row: &FloorRow) -> bool {
    let known = old.services.keys().any(|n| n.as_str() == row.service);
    let worse = row.floor_after > row.floor_before || row.capacity_after < row.capacity_before;
    known && worse && row.capacity_after < row.floor_after
}
