//! The limits that servers name, as this node and others have read them.

use super::{mark_unreported, ServerRegistry};
use crate::{
    ids::ServiceName,
    process::{
        registration::ServerId,
        server_limit::{LimitChange, LimitReport, NodeCounts},
        start_marks::ServerStart,
    },
    time::{Span, Timestamp},
};

impl ServerRegistry {
    /// Records the limit that a response of a start names, or that it names none, and returns what that changed.
    ///
    /// `draw`, from 0 to 1, spreads the first requests of the nodes.
    pub fn observe_limit(
        &mut self,
        now: Timestamp,
        start: &ServerStart,
        named: Option<f64>,
        draw: f64,
    ) -> Option<LimitChange> {
        let server = self.servers.get_mut(&start.id)?;
        if ServerStart::from(&server.registration) != *start {
            return None;
        }
        let change = server.limit.observe(now, now, named, self.nodes, draw);
        if server.limit.is_due(now, change) {
            mark_unreported(&mut self.unreported_limits, &start.id);
        }
        change
    }

    /// Applies what another node says about the limit of a server, and returns the server and what that changed.
    pub fn add_limit_report(
        &mut self,
        now: Timestamp,
        report: &LimitReport,
        draw: f64,
    ) -> Option<(ServerId, LimitChange)> {
        let id = self.by_tag.get(&report.tag)?;
        let server = self.servers.get_mut(id)?;
        if server.registration.started != report.started {
            return None;
        }
        let at = now - report.age;
        let change = server.limit.observe(now, at, report.limit, self.nodes, draw);
        server.limit.record_shared(now);
        change.map(|change| (id.clone(), change))
    }

    /// Returns and resets the limits that the other nodes should be told.
    pub fn take_limit_reports(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for id in std::mem::take(&mut self.unreported_limits) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.limit.record_shared(now);
            reports.extend(server.limit.report(now, id.tag(), server.registration.started));
        }
        reports
    }

    /// Returns all limits that a node which has just started should know.
    pub fn limit_reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let servers = self.servers.iter();
        servers
            .filter_map(|(id, s)| s.limit.report(now, id.tag(), s.registration.started))
            .collect()
    }

    /// Sets the nodes among which limits are divided.
    pub fn set_nodes(&mut self, now: Timestamp, nodes: NodeCounts) {
        if nodes == self.nodes {
            return;
        }
        self.nodes = nodes;
        self.servers.values_mut().for_each(|server| server.limit.set_nodes(now, nodes));
    }

    /// Returns how long it takes until this node may send a request to the first usable server of a service, or `None`
    /// if it may send one now or the service has no usable server.
    pub fn limit_wait(
        &self,
        now: Timestamp,
        service: &ServiceName,
        is_urgent: bool,
    ) -> Option<Span> {
        let usable = self.usable(now, service);
        let wait = usable.iter().map(|server| server.limit.wait(now, is_urgent)).min()?;
        (wait > Span::ZERO).then_some(wait)
    }
}
