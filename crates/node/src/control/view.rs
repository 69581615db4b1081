//! What the control thread publishes for the other threads to read.

use redwingtrestle_core::{
    ids::{NodeId, ServerAddr, ServiceName, StartId},
    process::{
        drain::DrainSource,
        ejections::{ServerState, Usage},
        heartbeat::NodeState,
        membership::Member,
        service_leader::Explanation,
    },
    time::Timestamp,
    version::config_state::Assignment,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// `ControlView` is the state of the control thread at one moment.
#[derive(Debug, Default)]
pub struct ControlView {
    /// When it was made.
    pub at: Timestamp,
    /// The peers that requests and duties may be sent to.
    pub usable: Vec<NodeId>,
    /// The peers that are not lost.
    pub members: Vec<MemberView>,
    /// The entry at which the keys of each process are answered: its own, or that of its successor.
    pub homes: HashMap<StartId, SocketAddr>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceView>,
    /// The backend servers that are leaving for another reason than the configuration, and the reason.
    pub leaving: Vec<(ServerAddr, DrainSource)>,
}

/// `MemberView` is one peer.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// What membership knows of it.
    pub member: Member,
    /// Whether it is heard and hears this node.
    pub usable: bool,
    /// When it was last heard directly.
    pub heard: Option<Timestamp>,
    /// Whether it says that it hears this node.
    pub hears_us: bool,
}

/// Returns whether callers may be sent to a peer.
pub fn takes_callers(member: &Member) -> bool {
    member.state == NodeState::Serving && !member.suspect
}

/// `ServiceView` is one service as this node sees it.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Whether this node carries the service; if not, it knows nothing of the servers' health.
    pub is_carrier: bool,
    /// The leader that the log assigns.
    pub leader: Option<Assignment>,
    /// When it was last heard.
    pub heard: Option<Timestamp>,
    /// Whether the node uses the equal split because it holds no lease.
    pub is_fallback: bool,
    /// The floor in slots.
    pub floor: u32,
    /// The slots of all servers that are up.
    pub up: u32,
    /// The slots of the servers that are up and not ejected.
    pub healthy: u32,
    /// The servers.
    pub servers: Vec<ServerRow>,
    /// Why each server is ejected or is not; only at the leader.
    pub explanations: Vec<Explanation>,
}

/// `ServerRow` is one backend server as this node sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServerRow {
    /// The server.
    pub server: ServerAddr,
    /// The slots that it declares.
    pub slots: u32,
    /// Its state besides its health.
    pub state: ServerState,
    /// How this node may use it.
    pub usage: Usage,
    /// When this node began to use it in this way.
    pub since: Timestamp,
    /// The slots that this node holds.
    pub held: u32,
}
