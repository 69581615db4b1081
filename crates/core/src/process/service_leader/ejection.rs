//! The ejection of one server: its severity, its re-admission and the node in charge of its probation.

use super::{reporting_node::ReportingNode, Options};
use crate::{
    ids::{NodeId, ServerAddr},
    process::{
        detector::Scores,
        readmission::{self, Phase, Readmission},
    },
    time::{Span, Timestamp},
};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A node without a report for longer than this gets no probation requests to send.
const MAX_PROBATION_SILENCE: Span = Span::from_secs(1);

/// The ejection of one server, until its re-admission is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) readmission: Readmission,
    /// How far its scores exceeded the threshold.
    pub(super) severity: f64,
    /// The scores at the last ejection. `None` for an ejection that was taken over from another leader.
    pub(super) evidence: Option<Scores>,
    /// The node that sends the server its probation requests.
    pub(super) probation_node: Option<NodeId>,
    /// When `probation_node` was chosen or last reported an outcome. If it is `None`, when the last one was dismissed,
    /// or `Timestamp::ZERO` at the start of probation.
    pub(super) probation_at: Timestamp,
}

impl Ejection {
    /// Creates an ejection that begins now.
    pub(super) fn new(
        now: Timestamp,
        severity: f64,
        evidence: Option<Scores>,
        options: &readmission::Options,
    ) -> Self {
        Ejection {
            readmission: Readmission::new(now, options),
            severity,
            evidence,
            probation_node: None,
            probation_at: now,
        }
    }

    /// Ejects the server again.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        severity: f64,
        evidence: Option<Scores>,
        options: &readmission::Options,
    ) {
        self.readmission.eject(now, options);
        self.severity = severity;
        self.evidence = evidence;
    }

    /// Moves the server through hold-off, probation and slow start.
    pub(super) fn advance(
        &mut self,
        now: Timestamp,
        server: ServerAddr,
        nodes: &BTreeMap<NodeId, ReportingNode>,
        options: &Options,
    ) -> Advance {
        let before = self.readmission.phase();
        match self.readmission.tick(now, &options.readmission) {
            Phase::SlowStart(_) if matches!(before, Phase::Probation(_)) => Advance::Readmitted,
            Phase::Probation(_) => {
                if matches!(before, Phase::HoldOff(_)) {
                    self.probation_node = None;
                    self.probation_at = Timestamp::ZERO;
                }
                if self.choose_probation_node(now, server, nodes, options) {
                    Advance::NewProbationNode
                } else {
                    Advance::Unchanged
                }
            }
            _ => Advance::Unchanged,
        }
    }

    /// Chooses the node that sends probation requests to the server. Returns whether it changed.
    ///
    /// The next node is chosen only after the announcement to the last one has expired, so that two nodes never send
    /// probation requests at the same time.
    fn choose_probation_node(
        &mut self,
        now: Timestamp,
        server: ServerAddr,
        nodes: &BTreeMap<NodeId, ReportingNode>,
        options: &Options,
    ) -> bool {
        if let Some(node) = self.probation_node {
            let reports = nodes.get(&node).is_some_and(|n| n.has_reported(now, options.ttl));
            if reports && now.since(self.probation_at) <= options.probation_turn {
                return false;
            }
            self.probation_node = None;
            self.probation_at = now;
            return true;
        }
        if self.probation_at != Timestamp::ZERO
            && now.since(self.probation_at) <= options.ttl + options.margin
        {
            return false;
        }
        // The time is part of the hash, so that a node without suitable requests is not chosen every time.
        let turn = now.as_micros() / options.probation_turn.as_micros().max(1);
        let reporting = nodes.iter().filter(|(_, n)| n.has_reported(now, MAX_PROBATION_SILENCE));
        let best = reporting
            .max_by_key(|(n, _)| probation_weight(server, n) ^ xxh3_64(&turn.to_le_bytes()));
        self.probation_node = best.map(|(n, _)| *n);
        self.probation_at = now;
        self.probation_node.is_some()
    }
}

/// The change that a step of the re-admission makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Advance {
    /// No change that must be announced.
    Unchanged,
    /// Another node, or none, sends the server its probation requests.
    NewProbationNode,
    /// The probation is over, and the slow start begins.
    Readmitted,
}

/// An ejection that some node may still apply although it is no longer announced.
#[derive(Clone, Copy, Debug)]
pub(super) struct Withdrawn {
    /// The sequence of the first announcement without the ejection.
    pub(super) sequence: u64,
    /// When the ejection was withdrawn.
    pub(super) at: Timestamp,
}

fn probation_weight(server: ServerAddr, node: &NodeId) -> u64 {
    xxh3_64(format!("{server} {node}").as_bytes())
}
