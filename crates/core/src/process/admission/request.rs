//! Requests that wait to be admitted, and what is decided about them.

use crate::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr},
    time::Timestamp,
};

/// Identifies a request within one [`Admission`](super::Admission). The caller must never reuse a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// A request that waits to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The identity of the request.
    pub ticket: AdmissionTicket,
    /// The rank. An undeclared one counts as the lowest.
    pub rank: RankIndex,
    /// The hash of the workspace's name, for fairness between workspaces.
    pub workspace: u64,
    /// The time after which the caller has no use for a response.
    pub deadline: Timestamp,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
}

/// What the node must do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to `server`.
    Dispatch {
        /// The request.
        ticket: AdmissionTicket,
        /// The backend server.
        server: ServerAddr,
    },
    /// Refuse the request. It has not been sent to any server.
    Refuse {
        /// The request.
        ticket: AdmissionTicket,
        /// The code for the caller.
        code: ResultCode,
    },
}

/// A request in a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: AdmissionRequest,
    /// The place of the request among all that were submitted.
    pub(super) sequence: u64,
    /// The turn of its workspace that it used, which it gets back if its server sheds it.
    pub(super) turn: u64,
    pub(super) since: Timestamp,
    /// The server that has shed it.
    pub(super) avoid: Option<ServerAddr>,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct DispatchedRequest {
    pub(super) queued: QueuedRequest,
    pub(super) server: ServerAddr,
    pub(super) since: Timestamp,
    /// Whether its slot was taken under the guarantee of its rank.
    pub(super) guaranteed: bool,
    pub(super) is_probation: bool,
}
