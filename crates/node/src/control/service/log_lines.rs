//! Log lines about backend servers.

use super::LOG_TARGET;
use redwingtrestle_core::{
    ids::{ServerAddr, ServiceName},
    process::{ejections::Usage, service_leader::Action},
};

/// Logs that a server is no longer or again used at this node. Changes of its weight alone are not logged.
pub(super) fn log_usage(service: &ServiceName, server: ServerAddr, old: Option<Usage>, new: Usage) {
    let unchanged = match old {
        Some(old) => std::mem::discriminant(&old) == std::mem::discriminant(&new),
        None => matches!(new, Usage::Weight(_)),
    };
    if !unchanged {
        let usage = match new {
            Usage::Weight(_) => "in use",
            Usage::Probation => "in probation",
            Usage::Closed => "out of use",
        };
        log::info!(target: LOG_TARGET, service = service.as_str(), server:% = server, usage = usage;
            "use of a backend server changed");
    }
}

/// Logs a decision of the leader, and counts ejections.
pub(super) fn log_action(service: &ServiceName, action: &Action) {
    let service = service.as_str();
    match action {
        Action::Ejected(server) => {
            metrics::counter!("redwing_ejections_total", "service" => service.to_string())
                .increment(1);
            log::warn!(target: LOG_TARGET, service = service, server:% = server; "backend server ejected");
        }
        Action::Readmitted(server) => {
            log::info!(target: LOG_TARGET, service = service, server:% = server; "backend server re-admitted");
        }
        Action::Restored(server) => {
            log::warn!(target: LOG_TARGET, service = service, server:% = server;
                "backend server re-admitted early because the floor needs its slots");
        }
        Action::ServiceAtFault => {
            log::debug!(target: LOG_TARGET, service = service;
                "no server is ejected: over half are suspect, so the whole service is at fault");
        }
        Action::Announce(..) => {}
    }
}
