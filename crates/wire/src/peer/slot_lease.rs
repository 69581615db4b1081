//! The wire form of slot leases.

use super::positions::{position, server_at};
use redwingtrestle_core::{
    ids::{NodeId, ServerAddr, ServiceName, Version},
    process::slot_leases,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The wire form of `slot_leases::SlotLease`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotLease {
    /// The service.
    pub service: Arc<str>,
    /// The configuration version that server positions refer to.
    pub version: u64,
    term: u64,
    sequence: u64,
    /// Send time of the report that the lease responds to, in microseconds of the recipient's clock.
    echo: u64,
    /// Number of slots, per server position.
    slots: Vec<(u16, u32)>,
    shares: Vec<u32>,
}

impl SlotLease {
    /// Encodes a lease without the servers that get no slots.
    ///
    /// `servers` are the service's servers in configuration order.
    pub fn new(
        service: &ServiceName,
        version: Version,
        lease: &slot_leases::SlotLease,
        servers: &[ServerAddr],
    ) -> Self {
        let slots = |(server, slots): &(ServerAddr, u32)| {
            Some((position(servers, *server)?, *slots)).filter(|(_, slots)| *slots > 0)
        };
        SlotLease {
            service: service.0.clone(),
            version: version.0,
            term: lease.term,
            sequence: lease.sequence,
            echo: lease.echo.as_micros(),
            slots: lease.slots.iter().filter_map(slots).collect(),
            shares: lease.shares.clone(),
        }
    }

    /// Decodes the lease of `node`; `servers` are the service's servers in configuration order.
    pub fn to_lease(&self, node: NodeId, servers: &[ServerAddr]) -> slot_leases::SlotLease {
        let slots = |(server, slots): &(u16, u32)| Some((server_at(servers, *server)?, *slots));
        slot_leases::SlotLease {
            node,
            term: self.term,
            sequence: self.sequence,
            echo: Timestamp::from_micros(self.echo),
            slots: self.slots.iter().filter_map(slots).collect(),
            shares: self.shares.clone(),
        }
    }
}
