//! Identifiers of nodes, servers, services and other named things.

use serde::{Deserialize, Serialize};
use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64;

/// Distinguishes successive starts of a process at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId(pub u64);

impl fmt::Display for StartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one start of `redwingd` by the peer address of its VM and its start id.
///
/// A restarted VM keeps its address but gets a new start id, so that the state of the earlier process is never
/// attributed to the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The address at which peers reach the process.
    pub addr: SocketAddr,
    /// The start id of the process at that address.
    pub start: StartId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.addr, self.start)
    }
}

/// The address of a backend server.
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

/// The position of a rank within its service; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankIndex(pub u8);

/// A configuration version: the log offset of the accepted record.
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
    /// The name of a service.
    ServiceName
}

impl ServiceName {
    /// Returns the 32-bit hash that identifies the service in messages between nodes.
    pub fn tag(&self) -> u32 {
        tag(&self.0)
    }
}

/// Returns a 32-bit hash of a name, which keeps the frequent messages between nodes short.
pub(crate) fn tag(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

name! {
    /// The name of a rank of work within a service.
    RankName
}

name! {
    /// The name of a workspace, the unit of fairness between callers.
    WorkspaceName
}

impl WorkspaceName {
    /// Returns the 48-bit hash that identifies the workspace in messages between nodes. With 32 bits, two of the
    /// workspaces of a large deployment would probably share a quota.
    pub fn tag(&self) -> u64 {
        xxh3_64(self.0.as_bytes()) >> 16
    }
}

name! {
    /// The name of a data centre.
    DataCentre
}

name! {
    /// The name of a region, a group of data centres that share service leaders.
    Region
}
