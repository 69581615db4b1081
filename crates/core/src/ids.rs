//! Identities of nodes, servers and names.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64;

/// `StartId` tells two starts of a process at the same address apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId(pub u64);

impl fmt::Display for StartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// `NodeId` names one start of `redwingd`: the peer address of its VM and the start id.
///
/// A restarted VM keeps its address but gets a new start id, so that what it remembered before is
/// never attributed to its new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The address at which peers reach the process.
    pub addr: SocketAddr,
    /// The start of the process at that address.
    pub start: StartId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.addr, self.start)
    }
}

/// `ServerAddr` is the address of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerAddr(pub SocketAddr);

impl ServerAddr {
    /// Returns the IP address of the VM that runs the backend server.
    pub fn vm(self) -> IpAddr {
        self.0.ip()
    }
}

impl fmt::Display for ServerAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// `RankIndex` is the position of a rank within its service; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankIndex(pub u8);

/// `Version` is the log offset of the configuration record that was accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(Arc::from(s))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// `ServiceName` names a service.
    ServiceName
}

impl ServiceName {
    /// Returns the short form in which nodes name the service to each other.
    pub fn tag(&self) -> u32 {
        tag(&self.0)
    }
}

/// Returns the short form of a name: a hash, as nodes send names to each other many times a second.
pub(crate) fn tag(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

name! {
    /// `RankName` names a rank of work within a service.
    RankName
}

name! {
    /// `WorkspaceName` names a workspace, the unit of fairness between callers.
    WorkspaceName
}

name! {
    /// `DataCentre` names a data centre.
    DataCentre
}

name! {
    /// `Region` names a region, a group of data centres that share leaders.
    Region
}
