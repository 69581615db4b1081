//! The wire form of evidence and slot demand.

use super::positions::{position, server_at};
use redwingtrestle_core::{
    ids::{NodeId, ServerAddr, ServiceName},
    process::{
        ejections::{Ack, Term},
        evidence::{EvidenceCounts, EvidenceReport},
        slot_leases::DemandReport,
    },
    time::Timestamp,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum number of workspaces without bad outcomes in a report.
const MAX_ACTIVE: usize = 2;

/// The maximum number of workspaces with bad outcomes that are read per server.
const MAX_WORKSPACES: usize = 4;

/// The report of one node to one leader, on every service with that leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The reporting node.
    pub node: NodeId,
    /// Time of the report by the reporting node's clock, in microseconds.
    pub sent: u64,
    /// The configuration version that server positions refer to.
    pub version: u64,
    /// One report for each service.
    pub services: Vec<ServiceEvidence>,
}

/// The report about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEvidence {
    /// The service.
    pub service: Arc<str>,
    /// The highest leader term known to the node.
    pub highest_term: u64,
    /// Term and sequence number of the announcement in force at the node.
    pub ack: (u64, u64),
    /// Hashes of up to two workspaces that were active in the interval and had no bad outcome.
    pub active: Vec<u32>,
    /// Outcome counts per server.
    pub counts: Vec<ServerCounts>,
    /// Term and sequence number of the slot lease that the node accepted last.
    pub last_lease: (u64, u64),
    /// Number of requests queued or in flight, per rank.
    pub demand: Vec<u32>,
    /// Number of slots held, per server position.
    pub held: Vec<(u16, u32)>,
}

/// The outcome counts of one server, which is identified by its position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerCounts {
    server: u16,
    good: u32,
    bad: u32,
    slow: u32,
    /// Hash and number of bad outcomes of each workspace with bad outcomes.
    workspaces: Vec<(u32, u32)>,
}

impl ServiceEvidence {
    /// Encodes the evidence of an interval and the slot demand.
    ///
    /// `servers` are the service's servers in configuration order. Servers that are not among them are left out.
    pub fn new(evidence: &EvidenceReport, demand: &DemandReport, servers: &[ServerAddr]) -> Self {
        let listed = evidence.servers.iter().flat_map(|(_, c)| c.workspaces());
        let mut active: Vec<u32> = listed.filter(|w| w.bad == 0).map(|w| w.hash).collect();
        active.sort_unstable();
        active.dedup();
        active.truncate(MAX_ACTIVE);
        let counts = |(server, c): &(ServerAddr, EvidenceCounts)| {
            let bad = c.workspaces().iter().filter(|w| w.bad > 0);
            Some(ServerCounts {
                server: position(servers, *server)?,
                good: c.good,
                bad: c.bad,
                slow: c.slow,
                workspaces: bad.map(|w| (w.hash, w.bad)).collect(),
            })
        };
        let held =
            |(server, slots): &(ServerAddr, u32)| Some((position(servers, *server)?, *slots));
        ServiceEvidence {
            service: evidence.service.0.clone(),
            highest_term: evidence.highest_term.0,
            ack: (evidence.ack.term.0, evidence.ack.sequence),
            active,
            counts: evidence.servers.iter().filter_map(counts).collect(),
            last_lease: demand.last_lease,
            demand: demand.demand.clone(),
            held: demand.held.iter().filter_map(held).collect(),
        }
    }

    /// Decodes the evidence of the interval.
    ///
    /// `servers` are the service's servers in configuration order, or `None` if the sender uses another
    /// configuration version. The acknowledgement is then still valid, and the counts are left out.
    pub fn to_evidence(
        &self,
        node: NodeId,
        sent: u64,
        servers: Option<&[ServerAddr]>,
    ) -> EvidenceReport {
        let decode = |c: &ServerCounts| {
            let mut counts = EvidenceCounts::new(c.good, c.bad, c.slow);
            for (hash, bad) in c.workspaces.iter().take(MAX_WORKSPACES) {
                counts.add_workspace(*hash, *bad);
            }
            Some((server_at(servers?, c.server)?, counts))
        };
        let mut counts: Vec<_> = self.counts.iter().filter_map(decode).collect();
        if let Some((_, first)) = counts.first_mut() {
            self.active.iter().take(MAX_ACTIVE).for_each(|hash| first.add_workspace(*hash, 0));
        }
        EvidenceReport {
            node,
            service: ServiceName(self.service.clone()),
            sent: Timestamp::from_micros(sent),
            highest_term: Term(self.highest_term),
            ack: Ack { term: Term(self.ack.0), sequence: self.ack.1 },
            servers: counts,
        }
    }

    /// Decodes the slot demand; `servers` are the service's servers in configuration order.
    pub fn to_demand_report(
        &self,
        node: NodeId,
        sent: u64,
        servers: &[ServerAddr],
    ) -> DemandReport {
        let held = |(server, slots): &(u16, u32)| Some((server_at(servers, *server)?, *slots));
        DemandReport {
            node,
            sent: Timestamp::from_micros(sent),
            last_lease: self.last_lease,
            demand: self.demand.clone(),
            held: self.held.iter().filter_map(held).collect(),
        }
    }
}
