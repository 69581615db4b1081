//! The messages between a node and the leader of a service, and the times of a lease.

use crate::{
    ids::{NodeId, ServerAddr},
    time::{Span, Timestamp},
};

/// The times of slot leases. All nodes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The duration of a lease, counted from the report that it responds to.
    pub duration: Span,
    /// The time that the leader adds to the duration, because clock rates differ.
    pub margin: Span,
    /// A node counts as silent, and the leader reserves its equal split, this long after its last report or
    /// after the first lease that it has not acknowledged.
    pub silence: Span,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            duration: Span::from_millis(500),
            margin: Span::from_millis(10),
            silence: Span::from_millis(250),
        }
    }
}

/// A node's report of its demand to the leader of a service, due at the latest 180 ms after the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// The node.
    pub node: NodeId,
    /// When the report was sent, by the node's clock. Leases echo it.
    pub sent: Timestamp,
    /// The term and sequence of the lease that the node accepted last.
    pub last_lease: (u64, u64),
    /// The number of requests that are queued or in flight, per rank.
    pub demand: Vec<u32>,
    /// The slots that the node may use or still uses, per server.
    pub held: Vec<(ServerAddr, u32)>,
}

/// A lease of the complete set of slots that one node may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLease {
    /// The node.
    pub node: NodeId,
    /// The leader's term.
    pub term: u64,
    /// The sequence number of the lease within the term.
    pub sequence: u64,
    /// The send time of the report that the lease responds to, by the node's clock.
    pub echo: Timestamp,
    /// The slots per server. The node has none at servers that are not listed.
    pub slots: Vec<(ServerAddr, u32)>,
    /// The share of each rank on this node, in percent. It may differ from the configured share, which must
    /// be met over the whole fleet.
    pub shares: Vec<u32>,
}
