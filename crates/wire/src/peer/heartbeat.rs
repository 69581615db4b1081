//! The wire form of heartbeats.

use crate::error::{Error, Result};
use redwingtrestle_core::{
    ids::{DataCentre, NodeId, ServerAddr, Version},
    process::{
        drain::{DrainNotice, DrainSource},
        heartbeat::{self, Echo, NodeAddresses, NodeState},
    },
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The wire form of `heartbeat::Heartbeat`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    node: NodeId,
    /// The number of the node's state, see `state_number`.
    state: u8,
    sent: u64,
    /// The fields `sent` and `held` of `heartbeat::Echo`.
    echo: Option<(u64, u64)>,
    version: u64,
    term: u64,
    addresses: Option<Addresses>,
    successor: Option<NodeId>,
    updates: Vec<GossipUpdate>,
    drains: Vec<Drain>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Addresses {
    entry: SocketAddr,
    data_centre: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum GossipUpdate {
    Member { node: NodeId, addresses: Addresses, state: u8, counter: u64 },
    Silent { node: NodeId, counter: u64, age: u8 },
    Alive { node: NodeId, counter: u64, age: u8 },
    Successor { node: NodeId, successor: NodeId },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Drain {
    server: SocketAddr,
    by_header: bool,
    counter: u32,
    leaving: bool,
}

impl From<&heartbeat::Heartbeat> for Heartbeat {
    fn from(h: &heartbeat::Heartbeat) -> Self {
        Heartbeat {
            node: h.node,
            state: state_number(h.state),
            sent: h.sent,
            echo: h.echo.map(|e| (e.sent, e.held)),
            version: h.version.0,
            term: h.term,
            addresses: h.addresses.as_ref().map(Addresses::from),
            successor: h.successor,
            updates: h.updates.iter().map(GossipUpdate::from).collect(),
            drains: h.drains.iter().map(Drain::from).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for heartbeat::Heartbeat {
    type Error = Error;

    fn try_from(h: Heartbeat) -> Result<Self> {
        if h.updates.len() > heartbeat::MAX_GOSSIP_UPDATES || h.drains.len() > heartbeat::MAX_DRAINS
        {
            return Err(Error::datagram("heartbeat with too many gossip updates or drains"));
        }
        Ok(heartbeat::Heartbeat {
            node: h.node,
            state: node_state(h.state)?,
            sent: h.sent,
            echo: h.echo.map(|(sent, held)| Echo { sent, held }),
            version: Version(h.version),
            term: h.term,
            addresses: h.addresses.map(NodeAddresses::from),
            successor: h.successor,
            updates: h
                .updates
                .into_iter()
                .map(heartbeat::GossipUpdate::try_from)
                .collect::<Result<_>>()?,
            drains: h.drains.into_iter().map(DrainNotice::from).collect(),
        })
    }
}

fn state_number(state: NodeState) -> u8 {
    match state {
        NodeState::Starting => 0,
        NodeState::Serving => 1,
        NodeState::Leaving => 2,
    }
}

fn node_state(number: u8) -> Result<NodeState> {
    match number {
        0 => Ok(NodeState::Starting),
        1 => Ok(NodeState::Serving),
        2 => Ok(NodeState::Leaving),
        _ => Err(Error::datagram(format!("unknown node state {number}"))),
    }
}

impl From<&NodeAddresses> for Addresses {
    fn from(a: &NodeAddresses) -> Self {
        Addresses { entry: a.entry, data_centre: a.data_centre.0.clone() }
    }
}

impl From<Addresses> for NodeAddresses {
    fn from(a: Addresses) -> Self {
        NodeAddresses { entry: a.entry, data_centre: DataCentre(a.data_centre) }
    }
}

impl From<&heartbeat::GossipUpdate> for GossipUpdate {
    fn from(update: &heartbeat::GossipUpdate) -> Self {
        use heartbeat::GossipUpdate as Core;
        match update {
            Core::Member { node, addresses, state, counter } => GossipUpdate::Member {
                node: *node,
                addresses: addresses.into(),
                state: state_number(*state),
                counter: *counter,
            },
            Core::Silent { node, counter, age } => {
                GossipUpdate::Silent { node: *node, counter: *counter, age: *age }
            }
            Core::Alive { node, counter, age } => {
                GossipUpdate::Alive { node: *node, counter: *counter, age: *age }
            }
            Core::Successor { node, successor } => {
                GossipUpdate::Successor { node: *node, successor: *successor }
            }
        }
    }
}

impl TryFrom<GossipUpdate> for heartbeat::GossipUpdate {
    type Error = Error;

    fn try_from(update: GossipUpdate) -> Result<Self> {
        use heartbeat::GossipUpdate as Core;
        Ok(match update {
            GossipUpdate::Member { node, addresses, state, counter } => Core::Member {
                node,
                addresses: addresses.into(),
                state: node_state(state)?,
                counter,
            },
            GossipUpdate::Silent { node, counter, age } => Core::Silent { node, counter, age },
            GossipUpdate::Alive { node, counter, age } => Core::Alive { node, counter, age },
            GossipUpdate::Successor { node, successor } => Core::Successor { node, successor },
        })
    }
}

impl From<&DrainNotice> for Drain {
    fn from(n: &DrainNotice) -> Self {
        let by_header = n.source == DrainSource::Header;
        Drain { server: n.server.0, by_header, counter: n.counter, leaving: n.leaving }
    }
}

impl From<Drain> for DrainNotice {
    fn from(d: Drain) -> Self {
        let source = if d.by_header { DrainSource::Header } else { DrainSource::VmList };
        let server = ServerAddr(d.server);
        DrainNotice { server, source, counter: d.counter, leaving: d.leaving }
    }
}
