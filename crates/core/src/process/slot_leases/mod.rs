//! Leases that divide the slots of a service's backend servers among the nodes.
//!
//! * `lease`: the messages between a node and the leader, and their times.
//! * `holder`: a node's side. `allocator`: the leader's side, with what it knows of each node in `node_leases`.
//! * `division`: how many slots each node gets. `placement`: at which servers. `equal_split`: the slots without a lease.

mod allocator;
mod division;
mod equal_split;
mod holder;
mod lease;
mod node_leases;
mod placement;

pub use self::{
    allocator::LeaseAllocator,
    equal_split::equal_split,
    holder::LeaseHolder,
    lease::{DemandReport, LeaseOptions, SlotLease},
};

use crate::{ids::ServerAddr, time::Span};
use std::collections::BTreeMap;

/// The minimum time between two reports of a node, and between two allocations, under shortage.
///
/// In a lasting shortage some node always waits, and each allocation may send a lease to every node.
pub const MIN_DEMAND_INTERVAL: Span = Span::from_millis(20);

/// Slots per server.
type Slots = BTreeMap<ServerAddr, u32>;
