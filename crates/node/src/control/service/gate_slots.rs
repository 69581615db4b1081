//! The servers and slots that the gate of a service may use.

use super::{super::GATE_UPDATE_INTERVAL, log_lines::log_usage, ServiceControl};
use redwingtrestle_core::{
    ids::ServerAddr,
    process::{
        balancer::{ServerMode, ServerSlots, FULL_WEIGHT},
        ejections::Usage,
    },
    time::Timestamp,
};
use std::collections::HashMap;

impl ServiceControl {
    /// Passes the servers and slots that may be used to the gate.
    pub(super) fn update_gate(&mut self, now: Timestamp) {
        // A lease that would expire before the next renewal of the gate is not used.
        let usable: HashMap<ServerAddr, u32> =
            self.usable_slots(now + GATE_UPDATE_INTERVAL).into_iter().collect();
        let retired = self.retired_in_flight();
        let spec = self.spec.clone();
        let mut usable_servers = Vec::new();
        for s in &spec.servers {
            let usage = self.usage(now, s.addr);
            self.record_usage(now, s.addr, usage);
            // A lease from before a configuration change may have more slots than the server has now.
            let slots = usable.get(&s.addr).copied().unwrap_or(0).min(s.slots);
            let slots = slots.min(self.connection_shares.get(&s.addr).copied().unwrap_or(slots));
            let slots = slots.saturating_sub(retired.get(&s.addr).copied().unwrap_or(0));
            usable_servers.extend(server_slots(s.addr, usage, slots));
        }
        self.gate.set_slots(now, self.version, &usable_servers, self.holder.shares(now));
    }

    /// Records how a server is used, and counts and logs a change.
    fn record_usage(&mut self, now: Timestamp, server: ServerAddr, usage: Usage) {
        let old = self.usages.get(&server).map(|u| u.0);
        if old == Some(usage) {
            return;
        }
        if let (Some(Usage::Weight(_)), Usage::Closed) = (old, usage) {
            metrics::counter!(
                "redwing_servers_taken_out_total", "service" => self.name.to_string()
            )
            .increment(1);
        }
        self.usages.insert(server, (usage, now));
        log_usage(&self.name, server, old, usage);
    }
}

/// Returns the entry of a server for the gate, or `None` if the server gets no requests.
fn server_slots(server: ServerAddr, usage: Usage, slots: u32) -> Option<ServerSlots> {
    let (mode, slots, weight) = match usage {
        Usage::Weight(w) => (ServerMode::Serving, slots, u32::from(w) * FULL_WEIGHT / 100),
        // The node that tests a server in probation may use one slot without a lease.
        Usage::Probation => (ServerMode::Probation, 1, FULL_WEIGHT),
        Usage::Closed => return None,
    };
    (slots > 0).then_some(ServerSlots { server, slots, weight, mode })
}
