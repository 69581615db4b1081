//! A node's view of a service: the floor, and the servers with their slots and states.

use crate::{
    ids::ServerAddr,
    version::spec::{ServerSpec, ServiceSpec},
};
use std::collections::{BTreeMap, BTreeSet};
use strum::Display;

/// The state of a backend server in the view of a node, apart from its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server takes requests.
    Up,
    /// The server has just started, and its outcomes are not evidence yet.
    Cold,
    /// The server is leaving and gets no new requests.
    Draining,
    /// The server's VM is gone.
    Lost,
}

/// One server of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The server's state.
    pub state: ServerState,
}

/// One node's view of a service: the floor and the servers.
///
/// Healthy capacity is the sum of the slots of all servers that are `Up` and not ejected. A server in
/// probation counts as ejected; one in slow start does not. A set of ejections *drops healthy capacity
/// below the floor* if it contains at least one `Up` server and the `Up` servers outside of it have fewer
/// slots than the floor. A set without an `Up` server never does, however small the capacity is: that loss
/// comes from drains, cold starts or lost VMs, and no re-admission can make up for it.
///
/// The slots of a server count whether or not it responds well. A server that fails every request adds no
/// real capacity when it is re-admitted for the floor. But the ejection itself may be the mistake, and the
/// floor protects against that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The minimum healthy capacity, in slots, that ejections must leave.
    pub floor: u32,
    /// The servers.
    pub servers: BTreeMap<ServerAddr, ServerView>,
}

impl View {
    /// Creates the view of a service. `state` returns the state of each server.
    pub fn new(service: &ServiceSpec, state: impl Fn(&ServerSpec) -> ServerState) -> Self {
        let view = |s: &ServerSpec| (s.addr, ServerView { slots: s.slots, state: state(s) });
        View { floor: service.floor, servers: service.servers.iter().map(view).collect() }
    }

    /// Returns the slots of a server if it is `Up`, and 0 otherwise.
    pub fn up_slots(&self, server: ServerAddr) -> u32 {
        match self.servers.get(&server) {
            Some(s) if s.state == ServerState::Up => s.slots,
            _ => 0,
        }
    }

    /// Returns the sum of the slots of all `Up` servers.
    pub fn total_up_slots(&self) -> u32 {
        self.servers.keys().map(|s| self.up_slots(*s)).sum()
    }

    /// Returns whether the healthy capacity keeps the floor if exactly these servers are ejected.
    pub fn keeps_floor<'a>(&self, ejected: impl IntoIterator<Item = &'a ServerAddr>) -> bool {
        let ejected: BTreeSet<&ServerAddr> = ejected.into_iter().collect();
        let taken: u32 = ejected.into_iter().map(|s| self.up_slots(*s)).sum();
        taken == 0 || self.total_up_slots().saturating_sub(taken) >= self.floor
    }

    /// Returns the length of the longest prefix of `ejected` that keeps the floor.
    ///
    /// Prefixes of one list contain each other. Nodes that apply the same announcement with different views
    /// therefore together eject no more servers than the one with the longest prefix.
    pub fn longest_prefix(&self, ejected: &[ServerAddr]) -> usize {
        (0..=ejected.len()).rev().find(|n| self.keeps_floor(&ejected[..*n])).unwrap_or(0)
    }
}
