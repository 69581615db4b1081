//! What nodes say to each other about themselves and others.

use crate::{
    ids::{DataCentre, NodeId, Version},
    process::drain::DrainNotice,
    time::Span,
};
use std::net::SocketAddr;

/// The most updates in one heartbeat; with IPv4 addresses and short names they take about 550 bytes.
pub const MAX_GOSSIP_UPDATES: usize = 12;

/// The most drain notices in one heartbeat.
pub const MAX_DRAINS: usize = 4;

/// The unit of times in heartbeats.
pub const UNIT: Span = Span::from_micros(100);

/// `NodeState` is what a node says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It has no configuration yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It is in its planned stop.
    Leaving,
}

/// `Echo` returns the recipient's own time to it, so that no clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The `sent` of the newest heartbeat heard from the recipient.
    pub sent: u64,
    /// How long ago it was heard, in units of 100 µs.
    pub held: u64,
}

/// `NodeAddresses` is what seldom changes about a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// The address at which callers reach it.
    pub entry: SocketAddr,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
}

/// `GossipUpdate` is a change that spreads from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipUpdate {
    /// A node exists, or its state changed.
    Member {
        /// The node.
        node: NodeId,
        /// Its introduction.
        addresses: NodeAddresses,
        /// Its state.
        state: NodeState,
        /// The newest `sent` known.
        counter: u64,
    },
    /// A watcher does not hear a node.
    Silent {
        /// The node.
        node: NodeId,
        /// The newest `sent` known; a higher one disproves the silence.
        counter: u64,
        /// How long ago that was, in units of 50 ms.
        age: u8,
    },
    /// A node was heard after it was reported as silent.
    Alive {
        /// The node.
        node: NodeId,
        /// The newest `sent` known.
        counter: u64,
        /// How long ago that was, in units of 50 ms.
        age: u8,
    },
    /// A node that stops has handed its idempotency store to another.
    Successor {
        /// The node that stops.
        node: NodeId,
        /// The node that answers for its keys.
        successor: NodeId,
    },
}

/// `Heartbeat` is made for one recipient, so that its echo needs no list of all peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub node: NodeId,
    /// Its state.
    pub state: NodeState,
    /// The sender's clock in units of 100 µs; also the counter that proves it was alive.
    pub sent: u64,
    /// Present if the sender has heard the recipient.
    pub echo: Option<Echo>,
    /// The sender's version in force.
    pub version: Version,
    /// The highest term that it knows.
    pub term: u64,
    /// Present once a second.
    pub addresses: Option<NodeAddresses>,
    /// The node that answers for the sender's keys after its stop.
    pub successor: Option<NodeId>,
    /// Changes to spread.
    pub updates: Vec<GossipUpdate>,
    /// Backend servers that are leaving.
    pub drains: Vec<DrainNotice>,
}
