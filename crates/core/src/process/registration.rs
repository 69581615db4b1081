//! The registration that a backend server writes to the platform's store.

use crate::{
    ids::{tag, DataCentre, ServiceName},
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The id of one registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerId(pub Arc<str>);

impl ServerId {
    /// Returns the 32-bit hash that identifies the server in messages between nodes.
    pub fn tag(&self) -> u32 {
        tag(&self.0)
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The state that a server declares in its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistrationState {
    /// The server accepts work.
    Ready,
    /// The server is leaving and accepts no new work.
    Draining,
}

/// A registration as the server wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The id, which each request carries so that no other server at the address runs it.
    pub id: ServerId,
    /// The address that the server listens on.
    pub addr: SocketAddr,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The data centre that the server runs in.
    pub zone: DataCentre,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: RegistrationState,
    /// Remaining time of reduced speed after the start.
    pub warmup: Span,
    /// Start time in Unix milliseconds, 0 if unknown.
    pub started: u64,
    /// Sequence number of the report, which increases within one start.
    pub report: u64,
}
