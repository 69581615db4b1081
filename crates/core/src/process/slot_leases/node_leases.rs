//! What the leader knows of one node: its demand, and the leases that it may be using.

use super::{
    division::{NodeDemand, DEMAND_PARTS},
    DemandReport, Slots,
};
use crate::{
    ids::{NodeId, ServerAddr},
    time::{Span, Timestamp},
};
use std::collections::VecDeque;

/// The time over which demand is averaged. A longer mean follows bursts too late: with 200 ms, a load of 0.8
/// and callers spread unevenly over the nodes, 96% of urgent requests were in target instead of 98%.
const DEMAND_WINDOW: Span = Span::from_millis(50);

/// The requests of one rank beyond which more demand has no effect, since no service has as many slots. The limit
/// prevents an overflow.
const MAX_DEMAND: u32 = 1 << 16;

/// The interval between unchanged leases to a node. Since a lease lasts 500 ms, one may be lost.
const REPEAT_INTERVAL: Span = Span::from_millis(200);

/// The change of a rank's share, in percentage points, that alone justifies a new lease. Shares follow the
/// mean demands of all nodes, so they change a little at each allocation.
const MIN_SHARE_CHANGE: u32 = 10;

/// A lease that was sent and has not expired.
#[derive(Clone, Debug)]
pub(super) struct SentLease {
    pub(super) sequence: u64,
    pub(super) sent: Timestamp,
    /// When the lease has expired by this node's clock, with the margin.
    pub(super) until: Timestamp,
    pub(super) slots: Slots,
    pub(super) shares: Vec<u32>,
}

impl SentLease {
    /// Returns whether a lease of these slots and shares differs too little from this one to be sent yet.
    pub(super) fn is_current(&self, now: Timestamp, slots: &Slots, shares: &[u32]) -> bool {
        let moved = self.shares.iter().zip(shares).map(|(a, b)| a.abs_diff(*b)).max();
        self.slots == *slots
            && moved.unwrap_or(0) < MIN_SHARE_CHANGE
            && now.since(self.sent) < REPEAT_INTERVAL
    }
}

/// The reports and leases of one node.
#[derive(Clone, Debug)]
pub(super) struct NodeLeases {
    pub(super) id: NodeId,
    /// When the last report arrived, and its send time by the node's clock.
    pub(super) last_report: Option<(Timestamp, Timestamp)>,
    /// The mean demand per rank, in `DEMAND_PARTS` of a request.
    pub(super) mean_demand: Vec<u32>,
    /// The total demand of the last report, in requests.
    pub(super) demand: u32,
    /// The slots that the node may use or still uses, by its last report.
    pub(super) held: Slots,
    /// The sequence of the last lease that the node has acknowledged.
    pub(super) acknowledged: u64,
    /// The unexpired leases that the node may be using, the oldest first.
    pub(super) leases: VecDeque<SentLease>,
    /// The slots of the last allocation.
    pub(super) allocated: Slots,
}

impl NodeLeases {
    pub(super) fn new(id: NodeId) -> Self {
        NodeLeases {
            id,
            last_report: None,
            mean_demand: Vec::new(),
            demand: 0,
            held: Slots::new(),
            acknowledged: 0,
            leases: VecDeque::new(),
            allocated: Slots::new(),
        }
    }

    /// Returns the maximum number of slots of `server` in any unexpired lease of the node.
    pub(super) fn leased(&self, server: ServerAddr) -> u32 {
        self.leases.iter().filter_map(|l| l.slots.get(&server).copied()).max().unwrap_or(0)
    }

    /// Returns the slots of `server` that the node may be using.
    pub(super) fn committed(&self, server: ServerAddr) -> u32 {
        self.leased(server).max(self.held.get(&server).copied().unwrap_or(0))
    }

    /// Returns whether the node has acknowledged a lease that has not expired.
    ///
    /// Any other node may start to use its equal split at any time.
    pub(super) fn has_acknowledged_lease(&self) -> bool {
        self.leases.iter().any(|l| l.sequence <= self.acknowledged)
    }

    pub(super) fn is_silent(&self, now: Timestamp, silence: Span) -> bool {
        let Some((received, _)) = self.last_report else { return true };
        let unacknowledged = self.leases.iter().find(|l| l.sequence > self.acknowledged);
        now.since(received) > silence || unacknowledged.is_some_and(|l| now.since(l.sent) > silence)
    }

    /// Takes over a report. Returns whether the node has fewer slots in use than before, or `None` if the report is
    /// older than the last one.
    pub(super) fn apply_report(
        &mut self,
        now: Timestamp,
        report: &DemandReport,
        term: u64,
        rank_count: usize,
    ) -> Option<bool> {
        if self.last_report.is_some_and(|(_, sent)| report.sent <= sent) {
            return None;
        }
        let before = self.held_slots();
        let elapsed =
            self.last_report.map_or(Span::from_secs(1), |(_, sent)| report.sent.since(sent));
        self.last_report = Some((now, report.sent));
        self.held = report.held.iter().copied().filter(|&(_, slots)| slots > 0).collect();
        if report.last_lease.0 == term {
            self.acknowledge(report.last_lease.1);
        }
        self.average_demand(&report.demand, elapsed, rank_count);
        self.demand = report.demand.iter().fold(0u32, |sum, &d| sum.saturating_add(d));
        Some(self.held_slots() < before)
    }

    /// Returns the slots that the node may use or still uses, over all servers.
    pub(super) fn held_slots(&self) -> u32 {
        self.held.values().sum()
    }

    /// Returns the mean demand, with the slots of the last allocation.
    pub(super) fn node_demand(&self) -> NodeDemand {
        let allocated = self.allocated.values().sum();
        NodeDemand { mean_demand: self.mean_demand.clone(), allocated }
    }

    /// Forgets the reports of a node that sends none any more. Its leases count until they expire.
    pub(super) fn forget_reports(&mut self) {
        self.held.clear();
        self.allocated.clear();
        self.mean_demand.clear();
        self.demand = 0;
        self.last_report = None;
    }

    /// Drops the leases that the node has replaced by an acknowledged one.
    fn acknowledge(&mut self, sequence: u64) {
        self.acknowledged = self.acknowledged.max(sequence);
        let acknowledged = self.acknowledged;
        self.leases.retain(|l| l.sequence >= acknowledged);
    }

    fn average_demand(&mut self, demand: &[u32], elapsed: Span, rank_count: usize) {
        self.mean_demand.resize(rank_count, 0);
        let span = DEMAND_WINDOW.as_micros();
        let weight = elapsed.as_micros().clamp(1, span);
        for (rank, mean) in self.mean_demand.iter_mut().enumerate() {
            let fresh = demand.get(rank).copied().unwrap_or(0).min(MAX_DEMAND) * DEMAND_PARTS;
            let sum = u64::from(*mean) * (span - weight) + u64::from(fresh) * weight;
            *mean = (sum / span) as u32;
        }
    }
}
