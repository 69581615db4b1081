//! The state that the control thread publishes for the other threads.

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
    version::config_state::LeaderAssignment,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// A snapshot of the state of the control thread.
#[derive(Debug, Default)]
pub struct ControlView {
    /// The time of the snapshot.
    pub at: Timestamp,
    /// The peers that may be sent requests and assigned as leaders.
    pub usable: Vec<NodeId>,
    /// All peers that are not lost.
    pub members: Vec<MemberView>,
    /// For each process, the entry address that serves its keys: its own or its successor's.
    pub homes: HashMap<StartId, SocketAddr>,
    /// The state of each configured service.
    pub services: BTreeMap<ServiceName, ServiceView>,
    /// The backend servers that are draining for another reason than the configuration, with that reason.
    pub leaving: Vec<(ServerAddr, DrainSource)>,
}

/// The published state of one peer.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The peer's state in the membership table.
    pub member: Member,
    /// Whether this node may send the peer requests and accept it as a leader.
    pub usable: bool,
    /// The time of the last heartbeat received directly from the peer.
    pub last_heartbeat_at: Option<Timestamp>,
    /// Whether the peer reports that it receives this node's heartbeats.
    pub receives_heartbeats: bool,
}

/// Returns whether callers may be referred to a peer: it is serving and not suspected of having failed.
pub fn takes_callers(member: &Member) -> bool {
    member.state == NodeState::Serving && !member.suspect
}

/// The published state of one service at this node.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Whether this node carries the service; if not, it does not know the servers' health.
    pub is_carrier: bool,
    /// The leader that the log assigns.
    pub leader: Option<LeaderAssignment>,
    /// The time of the leader's last message.
    pub leader_message_at: Option<Timestamp>,
    /// Whether the node uses the equal split because it has no lease.
    pub uses_equal_split: bool,
    /// The floor, in slots.
    pub floor_slots: u32,
    /// The total slots of the servers that are up.
    pub up_slots: u32,
    /// The total slots of the servers that are up and not ejected.
    pub healthy_slots: u32,
    /// The servers, in the order of the configuration.
    pub servers: Vec<ServerView>,
    /// Why each server is ejected or not; empty unless this node is the leader.
    pub explanations: Vec<Explanation>,
}

/// The published state of one backend server at this node.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// The server's address.
    pub server: ServerAddr,
    /// The slots that the configuration gives it.
    pub slots: u32,
    /// Its state apart from ejections.
    pub state: ServerState,
    /// How this node may use it.
    pub usage: Usage,
    /// The time since which `usage` has been the same.
    pub since: Timestamp,
    /// The slots that this node may use.
    pub usable_slots: u32,
}
