//! What a backend server registers of itself.

use crate::{
    ids::{tag, DataCentre, ServiceName},
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// `ServerId` names one registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerId(pub Arc<str>);

impl ServerId {
    /// Returns the short form in which nodes name the server to each other.
    pub fn tag(&self) -> u32 {
        tag(&self.0)
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// `RegistrationState` is what a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistrationState {
    /// The server takes work.
    Ready,
    /// The server is leaving and takes no new work.
    Draining,
}

/// `Registration` is one registration, as the server wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The id, which a request names so that no other server runs it.
    pub id: ServerId,
    /// Where the server listens.
    pub addr: SocketAddr,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The data centre it runs in.
    pub zone: DataCentre,
    /// The requests that it runs at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: RegistrationState,
    /// How much longer it is slow after its start.
    pub warmup: Span,
    /// When it started, in Unix milliseconds; zero if it does not say.
    pub started: u64,
    /// The number of its report, which grows within one start.
    pub report: u64,
}
