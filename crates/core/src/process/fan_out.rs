//! Message intervals and fan-outs of a node, which follow from the size of the fleet.
//!
//! Every limit bounds the datagrams that one node sends per second, so that the load of a small VM on a slow link does
//! not grow with the fleet ([docs/platform.md](../../../../docs/platform.md)).

use crate::{process::slowdown::Slowdown, time::Span};

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

/// A slowdown does not stretch the interval of status messages in a data centre beyond this. Callers of the directory
/// then get the entry of a lost node for less than two seconds, as nodes miss three messages before they drop it.
const MAX_STRETCHED_NEAR_INTERVAL: Span = Span::from_millis(650);

/// A slowdown does not stretch the interval of status messages to other data centres beyond this, so that a lost node is
/// noticed there long before silent nodes are forgotten.
const MAX_STRETCHED_FAR_INTERVAL: Span = Span::from_secs(5);

/// The time between two reports while no failure is observed.
const REPORT_INTERVAL: Span = Span::from_millis(250);

/// A slowdown does not stretch the interval of reports beyond this. The requests in flight that a report names count for
/// 1.2 s, in which a second report should arrive.
const MAX_REPORT_INTERVAL: Span = Span::from_millis(500);

/// A slowdown does not reduce the targets of reports further than that each node of the data centre gets one in this time
/// on average, for the same reason.
const REPORT_REACH: Span = Span::from_millis(800);

/// Returns the time between two reports while no failure is observed.
pub fn report_interval(slowdown: Slowdown) -> Span {
    slowdown.stretch(REPORT_INTERVAL).min(MAX_REPORT_INTERVAL)
}

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

    /// Returns the interval between two status messages of a node with this slowdown to the same node, which is of this
    /// data centre if `is_near` is set.
    pub fn status_interval(self, is_near: bool, slowdown: Slowdown) -> Span {
        let (usual, most) = if is_near {
            (self.near_interval(), MAX_STRETCHED_NEAR_INTERVAL)
        } else {
            (self.far_interval(), MAX_STRETCHED_FAR_INTERVAL)
        };
        slowdown.stretch(usual).min(most.max(usual))
    }

    /// Returns how many nodes of this data centre get a periodic report of a node that would send it to `usual`.
    pub fn report_fanout(self, slowdown: Slowdown, usual: usize) -> usize {
        let interval = report_interval(slowdown).as_micros() as usize;
        let needed = (self.near * interval).div_ceil(REPORT_REACH.as_micros() as usize);
        slowdown.reduce(usual).max(needed).min(usual)
    }
}

/// Returns the interval at which `nodes` nodes get `rate` messages per second together.
fn interval_at_rate(nodes: usize, rate: u64) -> Span {
    Span::from_micros(nodes as u64 * 1_000_000 / rate)
}
