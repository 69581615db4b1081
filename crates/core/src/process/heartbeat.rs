//! Heartbeats between nodes, and the gossip updates that they carry.

use crate::{
    ids::{DataCentre, NodeId, Version},
    process::drain::DrainNotice,
    time::Span,
};
use std::net::SocketAddr;

/// The maximum number of gossip updates in one heartbeat. With IPv4 addresses and short names they take about
/// 550 bytes.
pub const MAX_GOSSIP_UPDATES: usize = 12;

/// The maximum number of drain notices in one heartbeat.
pub const MAX_DRAINS: usize = 4;

/// The unit of `sent` and `held` in heartbeats.
pub const TIME_UNIT: Span = Span::from_micros(100);

/// The state that a node reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node has no configuration yet.
    Starting,
    /// The node takes requests.
    Serving,
    /// The node is in a planned stop.
    Leaving,
}

/// The recipient's own send time, sent back to it so that the clocks of two nodes are never compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The `sent` of the newest heartbeat received from the recipient.
    pub sent: u64,
    /// How long ago that heartbeat arrived, in units of 100 µs.
    pub held: u64,
}

/// The address and location of a node, which seldom change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// The address at which callers reach the node.
    pub entry: SocketAddr,
    /// The data centre of the node's VM.
    pub data_centre: DataCentre,
}

/// A change that spreads from node to node by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipUpdate {
    /// A node exists, or its state changed.
    Member {
        /// The node.
        node: NodeId,
        /// Its entry address and data centre.
        addresses: NodeAddresses,
        /// Its state.
        state: NodeState,
        /// The highest `sent` known of the node.
        counter: u64,
    },
    /// A watcher no longer receives heartbeats of a node.
    Silent {
        /// The node.
        node: NodeId,
        /// The highest `sent` known of the node. A higher one disproves the silence.
        counter: u64,
        /// The time since the node's last sign of life, in units of 50 ms.
        age: u8,
    },
    /// There is a newer sign of life from a node that was reported as silent.
    Alive {
        /// The node.
        node: NodeId,
        /// The highest `sent` known of the node.
        counter: u64,
        /// The time since the node's last sign of life, in units of 50 ms.
        age: u8,
    },
    /// A stopping node has handed its idempotency records to its successor.
    Successor {
        /// The node that stops.
        node: NodeId,
        /// The successor.
        successor: NodeId,
    },
}

/// A heartbeat to one recipient. It contains only this recipient's echo instead of a list of all peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub node: NodeId,
    /// The sender's state.
    pub state: NodeState,
    /// The send time by the sender's clock, in units of 100 µs. It also serves as a rising counter that shows
    /// that the sender is alive.
    pub sent: u64,
    /// The echo, if the sender has received a heartbeat from the recipient.
    pub echo: Option<Echo>,
    /// The sender's configuration version in force.
    pub version: Version,
    /// The highest term that the sender knows.
    pub term: u64,
    /// The sender's entry address and data centre, included about once a second.
    pub addresses: Option<NodeAddresses>,
    /// The node that holds the sender's idempotency records after its stop.
    pub successor: Option<NodeId>,
    /// The gossip updates.
    pub updates: Vec<GossipUpdate>,
    /// The backend servers that are leaving.
    pub drains: Vec<DrainNotice>,
}
