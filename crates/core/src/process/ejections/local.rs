//! The use of the node's own evidence, without the leader.

use super::{Ejections, Policy};
use crate::{
    ids::ServerAddr,
    invariant,
    invariant::Invariant,
    process::{
        detector::{Suspect, TestResult},
        readmission::Readmission,
    },
    time::Timestamp,
};

impl Ejections {
    /// Lowers the weights of suspect servers. Under [`Policy::Local`] it ejects and re-admits servers instead.
    pub(super) fn update_weights(&mut self, now: Timestamp) {
        if self.options.policy == Policy::RoundRobin {
            return;
        }
        let suspects = match self.detector.evaluate(now) {
            TestResult::Suspects(list) => list,
            TestResult::Service => Vec::new(),
        };
        if self.options.policy == Policy::Local {
            self.update_local_ejections(now, &suspects);
        } else {
            self.lower_weights(now, &suspects);
        }
    }

    /// Lowers the weights of suspect servers, the worst first, as long as the servers with full weight keep
    /// the floor.
    fn lower_weights(&mut self, now: Timestamp, suspects: &[Suspect]) {
        let ejected: Vec<ServerAddr> = self.ejected(now).collect();
        let mut lowered = Vec::new();
        for s in suspects {
            let with = ejected.iter().chain(&lowered).chain([&s.server]);
            if self.view.up_slots(s.server) > 0 && self.view.keeps_floor(with) {
                lowered.push(s.server);
            }
        }
        self.lowered = lowered;
    }

    fn update_local_ejections(&mut self, now: Timestamp, suspects: &[Suspect]) {
        let options = self.options.readmission;
        for readmission in self.readmissions.values_mut() {
            readmission.tick(now, &options);
        }
        self.readmissions.retain(|_, r| !r.is_over(now, &options));
        self.restore_for_floor();
        for s in suspects {
            self.eject_locally(now, s.server);
        }
        self.lowered = self.locally_ejected();
        invariant!(
            Invariant::Floor,
            self.view.keeps_floor(&self.lowered),
            "{}: local ejections leave less than the floor {}",
            self.service,
            self.view.floor
        );
        self.apply();
    }

    /// Re-admits servers until the local ejections keep the floor.
    ///
    /// No severity is kept of them, so the first server by address is re-admitted.
    fn restore_for_floor(&mut self) {
        loop {
            let ejected = self.locally_ejected();
            if self.view.keeps_floor(&ejected) {
                return;
            }
            self.readmissions.entry(ejected[0]).and_modify(Readmission::restore);
        }
    }

    fn eject_locally(&mut self, now: Timestamp, server: ServerAddr) {
        let options = self.options.readmission;
        let mut all = self.locally_ejected();
        all.push(server);
        if self.view.up_slots(server) > 0 && self.view.keeps_floor(&all) {
            self.readmissions
                .entry(server)
                .and_modify(|r| r.eject(now, &options))
                .or_insert_with(|| Readmission::new(now, &options));
        }
    }

    fn locally_ejected(&self) -> Vec<ServerAddr> {
        self.readmissions.iter().filter(|(_, r)| r.is_ejected()).map(|(s, _)| *s).collect()
    }
}
