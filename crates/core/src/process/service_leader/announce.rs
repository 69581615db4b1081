//! Announces the ejections to the nodes that report.

use super::{ejection::Ejection, Action, LeaderState, ServiceLeader};
use crate::{
    ids::{NodeId, ServerAddr},
    process::{
        ejections::{AnnouncedServer, Announcement, EjectionStage},
        readmission::Phase,
    },
    time::Timestamp,
};

impl ServiceLeader {
    /// Returns whether an announcement is due.
    pub(super) fn is_announcement_due(&self, now: Timestamp) -> bool {
        let period = if self.is_idle() { self.options.idle_period } else { self.options.period };
        self.changed || self.announced.is_none_or(|at| now.since(at) >= period)
    }

    /// Announces the ejections to each node that reports.
    ///
    /// A node whose last report is older than the time to live would refuse the echo as stale.
    pub(super) fn announce(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.announced = Some(now);
        self.changed = false;
        let ttl = self.options.ttl;
        let ejected = self.ejected();
        let in_slow_start = self.in_slow_start(now);
        for (node, reporting) in self.nodes.iter().filter(|(_, n)| n.has_reported(now, ttl)) {
            let stage = |&server: &ServerAddr| AnnouncedServer {
                server,
                stage: self.stage_for(node, server),
            };
            let servers = ejected.iter().map(stage).chain(in_slow_start.iter().copied()).collect();
            let announcement = Announcement {
                service: self.service.clone(),
                term: self.term,
                sequence: self.sequence,
                ttl,
                echo: reporting.echo,
                servers,
            };
            actions.push(Action::Announce(*node, announcement));
        }
        // The state of unrecorded nodes that no longer report is dropped.
        let recorded = &self.recorded;
        self.nodes.retain(|id, n| recorded.contains(id) || n.has_reported(now, ttl.times(2)));
    }

    /// Returns whether announcements are empty and no acknowledgement is awaited.
    fn is_idle(&self) -> bool {
        self.state == LeaderState::Active
            && self.ejections.is_empty()
            && self.outstanding().is_empty()
    }

    /// Returns the stage of an ejected server for one node.
    fn stage_for(&self, node: &NodeId, server: ServerAddr) -> EjectionStage {
        let ejection = &self.ejections[&server];
        let is_in_charge = ejection.probation_node == Some(*node);
        match ejection.readmission.phase() {
            Phase::Probation(_) if is_in_charge => EjectionStage::Probation,
            _ => EjectionStage::Ejected,
        }
    }

    fn in_slow_start(&self, now: Timestamp) -> Vec<AnnouncedServer> {
        let options = &self.options.readmission;
        let is_slow = |e: &Ejection| matches!(e.readmission.phase(), Phase::SlowStart(_));
        let slow = self.ejections.iter().filter(|(_, e)| is_slow(e));
        slow.map(|(server, e)| AnnouncedServer {
            server: *server,
            stage: EjectionStage::SlowStart(e.readmission.percent(now, options)),
        })
        .collect()
    }
}
