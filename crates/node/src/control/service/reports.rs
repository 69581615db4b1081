//! The reports of evidence and demand to the leader.

use super::{Context, Output, ServiceControl};
use crate::settings::Policy;
use redwingtrestle_core::{
    process::evidence::EvidenceReport, time::Timestamp, version::config_state::LeaderAssignment,
};

impl ServiceControl {
    /// Returns the leader that this node reports to, if it reports at all.
    pub(super) fn report_target(&self) -> Option<LeaderAssignment> {
        self.assignment.filter(|_| self.policy == Policy::Full && self.is_carrier)
    }

    /// Collects evidence and demand, and reports them if a report is due or a request was bad or slow.
    pub(super) fn collect_evidence(
        &mut self,
        now: Timestamp,
        context: &Context<'_>,
        outputs: &mut Vec<Output>,
    ) {
        let counts = self.gate.take_evidence(now);
        self.ejections.observe(now, &counts);
        for (server, counts) in counts {
            self.pending_counts.entry(server).or_default().merge(&counts);
        }
        let Some(assignment) = self.report_target() else {
            self.pending_counts.clear();
            return;
        };
        let is_bad = self.pending_counts.values().any(|c| c.bad > 0 || c.slow > 0);
        self.send_report(now, context, assignment, is_bad, outputs);
    }

    /// Reports evidence and demand to the leader, if that is due or urgent.
    pub(super) fn send_report(
        &mut self,
        now: Timestamp,
        context: &Context<'_>,
        assignment: LeaderAssignment,
        is_urgent: bool,
        outputs: &mut Vec<Output>,
    ) {
        let demand = self.gate.demand_by_rank();
        let in_flight: Vec<_> = self.in_flight().into_iter().collect();
        if !is_urgent && !self.holder.is_due(now, &demand, &in_flight) {
            return;
        }
        let demand_report = self.holder.report(now, demand, &in_flight);
        let report = EvidenceReport {
            node: context.local,
            service: self.name.clone(),
            sent: now,
            highest_term: self.ejections.highest_term(),
            ack: self.ejections.ack(now),
            servers: std::mem::take(&mut self.pending_counts).into_iter().collect(),
        };
        if assignment.node == context.local {
            self.observe(now, &report, &demand_report);
        } else {
            outputs.push(Output::Evidence(assignment.node, Box::new((report, demand_report))));
        }
    }
}
