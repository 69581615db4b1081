//! Message intervals and fan-outs of a node, which follow from the size of the fleet.
//!
//! Every limit bounds the datagrams that one node sends per second, so that the load of a small VM on a slow link does
//! not grow with the fleet ([docs/platform.md](../../../../docs/platform.md)).

use crate::time::Span;

/// The shortest interval between two status messages to a node of the same data centre.
const MIN_NEAR_INTERVAL: Span = Span::from_millis(300);

/// The shortest interval between two status messages to a node of another data centre. It is longer because traffic
/// between data centres is charged.
const MIN_FAR_INTERVAL: Span = Span::from_millis(1_000);

/// The status messages per second that a node sends to the nodes of its own data centre.
const NEAR_STATUS_RATE: u64 = 80;

/// The status messages per second that a node sends to all other data centres.
const FAR_STATUS_RATE: u64 = 40;

/// The nodes of the same data centre that get a periodic message at once.
pub const MAX_NEAR_BATCH: usize = 48;

/// The nodes of the same data centre that get a report of a failure. It is larger than that of periodic reports: a node
/// that misses a failure sends its next request to the failing server, and failures are rare.
pub const MAX_FAILURE_BATCH: usize = 64;

/// The number of other nodes that a node knows, by data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Other nodes of the same data centre.
    pub near: usize,
    /// Nodes of all other data centres together.
    pub far: usize,
}

impl FleetSize {
    /// Returns the interval between two status messages to the same node of this data centre.
    pub fn near_interval(self) -> Span {
        interval_at_rate(self.near, NEAR_STATUS_RATE).max(MIN_NEAR_INTERVAL)
    }

    /// Returns the interval between two status messages to the same node of another data centre.
    pub fn far_interval(self) -> Span {
        interval_at_rate(self.far, FAR_STATUS_RATE).max(MIN_FAR_INTERVAL)
    }
}

/// Returns the interval at which `nodes` nodes get `rate` messages per second together.
fn interval_at_rate(nodes: usize, rate: u64) -> Span {
    Span::from_micros(nodes as u64 * 1_000_000 / rate)
}
