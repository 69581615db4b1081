//! A node's side of slot leases.

use super::{equal_split, DemandReport, LeaseOptions, SlotLease, Slots, MIN_DEMAND_INTERVAL};
use crate::{
    ids::{NodeId, ServerAddr},
    time::{Span, Timestamp},
};

/// Demand below this many requests counts as this many when its change is compared with a quarter of it. With
/// 2 or 3 requests in flight, each one that starts or ends would otherwise be a change by a quarter.
const MIN_COMPARED_DEMAND: u32 = 8;

/// The interval between reports of a node whose demand has changed by a quarter.
const CHANGED_REPORT_INTERVAL: Span = Span::from_millis(100);

/// The interval between reports of a node whose demand has not changed.
///
/// The leader considers a node silent after 250 ms and reserves its equal split. The interval leaves time for
/// reports that are sent late.
const IDLE_REPORT_INTERVAL: Span = Span::from_millis(180);

/// A node's side of slot leases.
///
/// A lease expires by the node's own clock, counted from the report that it responds to. Neither a delayed
/// datagram nor a pause of the node makes it longer.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    options: LeaseOptions,
    node: NodeId,
    last_lease: (u64, u64),
    until: Timestamp,
    leased: Slots,
    shares: Vec<u32>,
    equal_split: Slots,
    /// The time, the total demand and the total slots of the last report.
    reported: (Timestamp, u32, u32),
}

impl LeaseHolder {
    /// Creates a holder without a lease. It uses no slots for one lease duration, while it waits for the leader.
    pub fn new(now: Timestamp, options: LeaseOptions, node: NodeId) -> Self {
        LeaseHolder {
            options,
            node,
            last_lease: (0, 0),
            until: now + options.duration,
            leased: Slots::new(),
            shares: Vec::new(),
            equal_split: Slots::new(),
            reported: (now, 0, 0),
        }
    }

    /// Sets the members and servers that determine the equal split.
    ///
    /// `members` should be the members recorded in the log, since all nodes read the same list there.
    pub fn set_members(&mut self, members: &[NodeId], servers: &[(ServerAddr, u32)]) {
        self.equal_split = equal_split(servers, &self.node, members).into_iter().collect();
    }

    /// Applies a lease. Returns whether it was accepted.
    ///
    /// A lease for another process at this address, an older lease and an expired one are refused.
    pub fn accept(&mut self, now: Timestamp, lease: &SlotLease) -> bool {
        let until = lease.echo + self.options.duration;
        let number = (lease.term, lease.sequence);
        if lease.node != self.node || number <= self.last_lease || lease.echo > now || until <= now
        {
            return false;
        }
        self.last_lease = number;
        self.until = until;
        self.leased = lease.slots.iter().copied().collect();
        self.shares.clone_from(&lease.shares);
        true
    }

    /// Returns whether the node has no unexpired lease and uses its equal split.
    pub fn uses_equal_split(&self, now: Timestamp) -> bool {
        now >= self.until
    }

    /// Returns when the last report was created.
    pub fn reported_at(&self) -> Timestamp {
        self.reported.0
    }

    /// Returns when the last lease expires.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns the slots that new requests may use, per server.
    pub fn slots(&self, now: Timestamp) -> Vec<(ServerAddr, u32)> {
        let slots = if self.uses_equal_split(now) { &self.equal_split } else { &self.leased };
        slots.iter().map(|(&server, &slots)| (server, slots)).collect()
    }

    /// Returns the shares of the ranks in the lease, in percent, or `None` if the configured ones apply.
    pub fn shares(&self, now: Timestamp) -> Option<&[u32]> {
        (!self.uses_equal_split(now)).then_some(&self.shares[..])
    }

    /// Creates the report to send, given the demand per rank and the requests in flight per server.
    ///
    /// The first report with fewer slots in use allows the leader to give them to another node.
    pub fn report(
        &mut self,
        now: Timestamp,
        demand: Vec<u32>,
        in_flight: &[(ServerAddr, u32)],
    ) -> DemandReport {
        let held = self.used(now, in_flight);
        self.reported = (now, demand.iter().sum(), held.values().sum());
        let held = held.into_iter().collect();
        DemandReport { node: self.node, sent: now, last_lease: self.last_lease, demand, held }
    }

    /// Returns whether a report is due: at the regular time, earlier if demand has changed by a quarter, and
    /// as soon as possible if withdrawn slots are free, or if requests wait for slots and demand has changed.
    pub fn is_due(&self, now: Timestamp, demand: &[u32], in_flight: &[(ServerAddr, u32)]) -> bool {
        let (at, reported, before) = self.reported;
        let age = now.since(at);
        if age < MIN_DEMAND_INTERVAL {
            return false;
        }
        let demand: u32 = demand.iter().sum();
        let held: u32 = self.used(now, in_flight).values().sum();
        let moved = demand.abs_diff(reported);
        age >= IDLE_REPORT_INTERVAL
            || (age >= CHANGED_REPORT_INTERVAL
                && 4 * moved > demand.max(reported).max(MIN_COMPARED_DEMAND))
            || held < before
            || (demand > held && moved > 0)
    }

    /// Returns the slots that the node may use or still uses.
    fn used(&self, now: Timestamp, in_flight: &[(ServerAddr, u32)]) -> Slots {
        let mut used: Slots = self.slots(now).into_iter().collect();
        for &(server, count) in in_flight.iter().filter(|(_, count)| *count > 0) {
            let slots = used.entry(server).or_default();
            *slots = count.max(*slots);
        }
        used
    }
}
