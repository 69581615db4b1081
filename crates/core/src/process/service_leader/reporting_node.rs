//! What the leader knows of a node that sends it reports.

use crate::{
    ids::NodeId,
    process::{
        ejections::{Ack, Term},
        evidence::EvidenceReport,
    },
    time::{Span, Timestamp},
};
use xxhash_rust::xxh3::xxh3_64;

/// A node that reports to the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportingNode {
    /// The identifier of the node in the detector.
    pub(super) source: u32,
    /// The send time of the node's latest report, by the node's clock.
    pub(super) echo: Timestamp,
    /// When that report arrived.
    pub(super) received: Timestamp,
    /// The last announcement that the node has acknowledged.
    pub(super) ack: Option<Ack>,
}

impl ReportingNode {
    /// Creates the state from a report that has just arrived.
    pub(super) fn new(now: Timestamp, report: &EvidenceReport) -> Self {
        ReportingNode {
            source: source_id(&report.node),
            echo: report.sent,
            received: now,
            ack: Some(report.ack),
        }
    }

    /// Returns whether the last report arrived within `limit`.
    pub(super) fn has_reported(&self, now: Timestamp, limit: Span) -> bool {
        now.since(self.received) <= limit
    }

    /// Returns whether the node has acknowledged `term` or a later one.
    pub(super) fn has_acknowledged_term(&self, term: Term) -> bool {
        self.ack.is_some_and(|ack| ack.term >= term)
    }

    /// Returns whether the node has acknowledged the announcement `sequence` of `term` or a later one of this term.
    pub(super) fn has_acknowledged(&self, term: Term, sequence: u64) -> bool {
        self.ack.is_some_and(|ack| ack.term == term && ack.sequence >= sequence)
    }
}

/// Returns the identifier of a node in the detector.
fn source_id(node: &NodeId) -> u32 {
    xxh3_64(node.to_string().as_bytes()) as u32
}
