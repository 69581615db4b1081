//! This node, its peers and the changes among them, as other modules see them.

use crate::{
    ids::{NodeId, Version},
    process::heartbeat::{NodeAddresses, NodeState},
    time::Span,
};

/// A change that [`Membership::tick`](super::Membership::tick) reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The node is a new peer.
    Joined(NodeId),
    /// There was no sign of life from the node for [`MembershipOptions::suspect`](super::MembershipOptions::suspect).
    Suspect(NodeId),
    /// There is a new sign of life from a suspect node.
    Recovered(NodeId),
    /// There was no sign of life from the node for [`MembershipOptions::lost`](super::MembershipOptions::lost), so it
    /// is no longer a peer.
    Lost(NodeId),
    /// A new process runs at the address of `old`.
    Replaced {
        /// The process that has ended.
        old: NodeId,
        /// The new process.
        new: NodeId,
    },
    /// The node is alive, but one direction of its link to this node is cut.
    OneWay(NodeId),
}

/// The information about this node that its heartbeats carry.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// The node.
    pub node: NodeId,
    /// Its entry address and data centre.
    pub addresses: NodeAddresses,
    /// Its state.
    pub state: NodeState,
    /// The configuration version in force.
    pub version: Version,
    /// The highest term that it knows.
    pub term: u64,
    /// The node that holds its idempotency records after its stop.
    pub successor: Option<NodeId>,
}

/// A peer that is not lost.
#[derive(Clone, Debug)]
pub struct Member {
    /// The peer.
    pub node: NodeId,
    /// Its entry address and data centre, once known.
    pub addresses: Option<NodeAddresses>,
    /// The state that it reports, or `Leaving` if the VM list marks its VM as leaving.
    pub state: NodeState,
    /// Whether there was no sign of life from it for [`MembershipOptions::suspect`](super::MembershipOptions::suspect).
    pub suspect: bool,
    /// The estimated round-trip time, from directly exchanged heartbeats.
    pub rtt: Option<Span>,
}
