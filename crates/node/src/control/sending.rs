//! The datagrams to other nodes.

use super::{
    service::{Context, Output, ServiceControl},
    Control, LOG_TARGET,
};
use redwingtrestle_core::{
    ids::NodeId,
    process::{evidence::EvidenceReport, heartbeat::MAX_DRAINS, slot_leases::DemandReport},
    time::Timestamp,
    version::config_state::ConfigState,
};
use redwingtrestle_wire::peer::{self, Datagram, ServiceEvidence};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

impl Control {
    /// Sends the heartbeats of this interval.
    pub(super) fn heartbeat(&mut self, now: Timestamp) {
        let state = self.shared.node_state();
        let term = self.log_view.state.as_ref().map_or(0, |s| highest_term(s));
        let local = self.membership.local();
        local.state = state;
        local.version = self.version;
        local.term = term;
        let drains = self.drain.notices(now, MAX_DRAINS);
        for to in self.membership.targets(now, &mut self.rng) {
            let heartbeat = self.membership.heartbeat(now, to, drains.clone());
            self.send(to, &Datagram::Heartbeat(Box::new((&heartbeat).into())));
        }
        self.shared.peers.store(Arc::new(self.membership.peer_summary(now)));
    }

    /// Calls `work` for each service and sends the resulting messages.
    pub(super) fn run_services(
        &mut self,
        now: Timestamp,
        work: fn(&mut ServiceControl, Timestamp, &Context<'_>) -> Vec<Output>,
    ) {
        let (local, recorded, alive) = (self.shared.id, &self.recorded, &self.alive[..]);
        let context = Context { local, recorded, alive, membership: &self.membership };
        let mut evidence: BTreeMap<NodeId, Vec<ServiceEvidence>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for (name, service) in &mut self.services {
            for output in work(service, now, &context) {
                match output {
                    Output::Evidence(leader, reports) => {
                        let (report, demand): &(EvidenceReport, DemandReport) = &reports;
                        let wire = ServiceEvidence::new(report, demand, service.servers());
                        evidence.entry(leader).or_default().push(wire);
                    }
                    Output::Announcement(node, a) => {
                        datagrams.push((node.addr, Datagram::Announcement((&a).into())));
                    }
                    Output::SlotLease(lease) => {
                        let wire =
                            peer::SlotLease::new(name, self.version, &lease, service.servers());
                        datagrams.push((lease.node.addr, Datagram::SlotLease(wire)));
                    }
                }
            }
        }
        for (to, datagram) in datagrams {
            self.send(to, &datagram);
        }
        for (leader, services) in evidence {
            self.send_evidence(now, leader.addr, services);
        }
    }

    /// Sends evidence in one datagram if it fits, otherwise in one for each service.
    fn send_evidence(&self, now: Timestamp, to: SocketAddr, services: Vec<ServiceEvidence>) {
        let wrap = |services| {
            Datagram::Evidence(peer::Evidence {
                node: self.shared.id,
                sent: now.as_micros(),
                version: self.version.0,
                services,
            })
        };
        let whole = wrap(services.clone());
        if whole.encode().is_ok() || services.len() == 1 {
            self.send(to, &whole);
            return;
        }
        for service in services {
            self.send(to, &wrap(vec![service]));
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let kind = match datagram {
            Datagram::Heartbeat(_) => "heartbeat",
            Datagram::Evidence(_) => "evidence",
            Datagram::Announcement(_) => "announcement",
            Datagram::SlotLease(_) => "grant",
        };
        match datagram.encode() {
            Ok(bytes) => {
                metrics::counter!("redwing_control_sent_bytes_total", "kind" => kind)
                    .increment(bytes.len() as u64);
                self.shared.outbox.push_or_drop((to, bytes));
            }
            Err(e) => {
                log::error!(target: LOG_TARGET,
                    "cannot encode a datagram of kind {kind}, it is not sent: {e}");
            }
        }
    }
}

fn highest_term(state: &ConfigState) -> u64 {
    state.leaders.values().map(|a| a.term).max().unwrap_or(0)
}
