//! The state of a service leader, and what the node must do for it.

use crate::{
    ids::{NodeId, ServerAddr},
    process::ejections::{Announcement, Term},
};
use strum::Display;

/// The state of a service leader within its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeaderState {
    /// The leader waits until each recorded member has acknowledged the term or is gone. Until then it renews
    /// existing ejections but makes no new ones.
    Fencing,
    /// The leader may eject servers.
    Active,
    /// A higher term exists, so the leader makes no more decisions.
    Superseded(Term),
}

/// What the node must do for the service that it leads.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the announcement to the node.
    Announce(NodeId, Announcement),
    /// Log that the server was ejected.
    Ejected(ServerAddr),
    /// Log that the server is re-admitted after its probation.
    Readmitted(ServerAddr),
    /// Log that the server is re-admitted because the floor needs its slots.
    Restored(ServerAddr),
    /// Log that the service as a whole is at fault, so that no server was ejected.
    ServiceAtFault,
}
