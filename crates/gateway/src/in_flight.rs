//! Accounting of one send in flight: the load that it adds, and the health observations that it yields.

use crate::{pool::ServerConnection, shared::Shared};
use redwingtrestle_core::{
    process::{health_estimate::Observation, registration::ServerId},
    time::Timestamp,
};
use std::sync::Arc;

/// Counts a send as in flight until dropped, and records observations of its server.
#[derive(Debug)]
pub struct InFlightSend {
    shared: Arc<Shared>,
    id: ServerId,
    attempt: Arc<str>,
    sent_at: Timestamp,
    is_slow: bool,
}

impl InFlightSend {
    /// Counts a new send to the server `id`.
    pub fn start(shared: &Arc<Shared>, id: &ServerId, attempt: &Arc<str>) -> Self {
        shared.fleet().registry.record_send(shared.now(), id);
        InFlightSend {
            shared: shared.clone(),
            id: id.clone(),
            attempt: attempt.clone(),
            sent_at: shared.now(),
            is_slow: false,
        }
    }

    /// Returns the server's id.
    pub fn server(&self) -> &str {
        self.id.as_str()
    }

    /// Returns the id of the caller's attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Records an observation of the server. A bad one is reported to the other nodes at once.
    pub fn observe(&mut self, observation: Observation) {
        let now = self.shared.now();
        self.shared.fleet().registry.observe(now, &self.id, observation, self.sent_at);
        if observation != Observation::Success {
            self.shared.report_now.notify_one();
        }
    }

    /// Removes the server because its address now belongs to another one.
    pub fn remove_displaced_server(&self) {
        log::info!(target: "servers", server = self.server(), attempt = self.attempt();
            "the address belongs to another server now, the server gets no more requests");
        self.shared.fleet().registry.remove_displaced(&self.id);
        self.shared.pool.close_idle(&self.id);
    }

    /// Records a good response, unless it was slow: a slow one is no evidence of health.
    pub fn record_success(&mut self) {
        if !self.is_slow {
            self.observe(Observation::Success);
        }
    }

    /// Records a refusal. A server that refuses work while it has free slots is failing, not full.
    pub fn record_refusal(&mut self) {
        let is_full = {
            let fleet = self.shared.fleet();
            let now = self.shared.now();
            let registry = &fleet.registry;
            registry.server(&self.id).is_none_or(|server| {
                server.load(registry.options().report_age, now) > server.registration().slots
            })
        };
        if !is_full {
            self.observe(Observation::Slow);
        }
    }

    /// Records that the response takes much longer than usual.
    pub fn record_slow(&mut self) {
        self.is_slow = true;
        self.observe(Observation::Slow);
    }

    /// Returns the connection to the pool once it is ready for another request.
    pub fn return_connection(&self, connection: ServerConnection) {
        let (shared, id) = (self.shared.clone(), self.id.clone());
        tokio::spawn(async move {
            let now = shared.now();
            shared.pool.put_back(id, connection, now).await;
        });
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.shared.fleet().registry.record_end(&self.id);
    }
}
