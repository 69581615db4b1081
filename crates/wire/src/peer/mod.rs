//! Datagrams between nodes: one byte of protocol version, followed by a message in postcard.
//!
//! Evidence and leases carry a configuration version and identify backend servers by their position in that
//! configuration. With addresses instead of positions, the evidence of 20 servers alone exceeded a node's total
//! budget of 3 KB/s for control traffic (docs/CAPACITY.md).

mod announcement;
mod evidence;
mod heartbeat;
mod positions;
mod slot_lease;

pub use self::{
    announcement::Announcement,
    evidence::{Evidence, ServerCounts, ServiceEvidence},
    heartbeat::Heartbeat,
    slot_lease::SlotLease,
};

use crate::error::{Error, Result};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, in bytes. Datagrams of this size pass every link without fragmentation.
pub const MAX_DATAGRAM: usize = 1200;

/// The protocol version. Datagrams of any other version are dropped.
const PROTOCOL: u8 = 1;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A node's evidence and slot demand, sent to a leader.
    Evidence(Evidence),
    /// A leader's ejections, sent to one node.
    Announcement(Announcement),
    /// A leader's slot lease, sent to one node.
    SlotLease(SlotLease),
}

impl Datagram {
    /// Encodes the datagram, or returns an error if it would exceed [`MAX_DATAGRAM`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![PROTOCOL])
            .map_err(|e| Error::datagram(e.to_string()))?;
        if bytes.len() > MAX_DATAGRAM {
            return Err(Error::datagram(format!("{} bytes exceed {MAX_DATAGRAM}", bytes.len())));
        }
        Ok(bytes)
    }

    /// Decodes a datagram. Never panics, whatever the bytes are.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&PROTOCOL, rest)) if rest.len() < MAX_DATAGRAM => {
                postcard::from_bytes(rest).map_err(|e| Error::datagram(e.to_string()))
            }
            Some((&PROTOCOL, _)) => {
                Err(Error::datagram(format!("longer than {MAX_DATAGRAM} bytes")))
            }
            Some((other, _)) => {
                Err(Error::datagram(format!("unsupported protocol version {other}")))
            }
            None => Err(Error::datagram("empty")),
        }
    }
}
