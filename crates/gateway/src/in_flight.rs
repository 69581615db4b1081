//! Accounting of one send in flight: the load that it adds, and the health observations that it yields.

use crate::{
    buffer_memory::BufferMemory, outgoing::OutgoingRequest, pool::ServerConnection, shared::Shared,
};
use rand::Rng;
use redwingtrestle_core::{
    process::{
        crash_records::CrashReport, fingerprint::Fingerprint, health_estimate::Observation,
        registration::ServerId, start_marks::ServerStart,
    },
    time::{Span, Timestamp},
};
use std::{io, sync::Arc, time::Duration};

/// The wait before the check whether a server has ended. An ending process may close its connections before its port.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Counts a send as in flight until dropped, and records observations of its server.
#[derive(Debug)]
pub struct InFlightSend {
    shared: Arc<Shared>,
    id: ServerId,
    /// The start of the server that the request goes to, unless the server was removed after the choice.
    start: Option<ServerStart>,
    attempt: Arc<str>,
    fingerprint: Fingerprint,
    sent_at: Timestamp,
    is_slow: bool,
}

impl InFlightSend {
    /// Counts a new send of a request to the server `id`.
    pub fn start(shared: &Arc<Shared>, id: &ServerId, request: &OutgoingRequest) -> Self {
        let mut fleet = shared.fleet();
        fleet.registry.record_send(shared.now(), id);
        let start = fleet.registry.server(id).map(|s| ServerStart::from(s.registration()));
        drop(fleet);
        InFlightSend {
            shared: shared.clone(),
            id: id.clone(),
            start,
            attempt: request.attempt.clone(),
            fingerprint: request.fingerprint,
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

    /// Takes the server out of use because its response says that it leaves.
    pub fn record_leaving(&self) {
        let Some(start) = &self.start else { return };
        let is_new = self.shared.fleet().registry.mark_leaving(self.shared.now(), start);
        self.shared.pool.close_idle(&self.id);
        if is_new {
            log::info!(target: "servers", server = self.server(), attempt = self.attempt(), source = "response";
                "a server says that it leaves and gets no more requests");
        }
    }

    /// Gives the server the pause that it asked for.
    pub fn record_pause(&self, pause: Span) {
        let Some(start) = &self.start else { return };
        let now = self.shared.now();
        let until = {
            let mut fleet = self.shared.fleet();
            let draw = fleet.rng.random();
            fleet.registry.record_pause(now, start, pause, draw)
        };
        log::info!(target: "servers", server = self.server(), attempt = self.attempt(),
            asked_ms = pause.as_millis(), pause_ms = until.since(now).as_millis();
            "a server turned a request away and gets no more until its pause ends");
    }

    /// Records the limit on requests per second that the server's response names, `None` if it names none.
    pub fn record_limit(&self, named: Option<f64>) {
        let Some(start) = &self.start else { return };
        let now = self.shared.now();
        let change = {
            let mut fleet = self.shared.fleet();
            let draw = fleet.rng.random();
            fleet.registry.observe_limit(now, start, named, draw)
        };
        let Some(change) = change else { return };
        log::info!(target: "servers", server = self.server(), attempt = self.attempt(), limit:? = named,
            source = "response"; "limit of a server on requests per second: {change}");
    }

    /// Returns whether the server left too long ago to get this request.
    pub fn has_server_left(&self) -> bool {
        self.shared.fleet().registry.has_left(self.shared.now(), &self.id)
    }

    /// Removes the server because its address now belongs to another one. If it has started again since the request was
    /// sent, the response says nothing about its new address.
    pub fn remove_displaced_server(&self) {
        {
            let registry = &mut self.shared.fleet().registry;
            let current = registry.server(&self.id).map(|s| ServerStart::from(s.registration()));
            if current != self.start {
                return;
            }
            registry.remove_displaced(&self.id);
        }
        self.shared.report_now.notify_one();
        self.shared.pool.close_idle(&self.id);
        log::info!(target: "servers", server = self.server(), attempt = self.attempt();
            "the address belongs to another server now, the server gets no more requests");
    }

    /// Finds out whether the connection broke because the server has ended, as opposed to a fault of the network or of
    /// this response. Then its port refuses connections.
    pub fn check_for_crash(&self) {
        let Some(start) = self.start.clone() else { return };
        let attempt = self.attempt.clone();
        let shared = self.shared.clone();
        let lost = LostRun { fingerprint: self.fingerprint, sent: self.sent_at, at: shared.now() };
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            let has_ended = ServerConnection::connect(start.addr())
                .await
                .is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
            if has_ended {
                record_crash(&shared, &start, &attempt, &lost);
            }
        });
    }

    /// Records that the server has run the request to its end, so that the request is not the cause of an end.
    pub fn record_served(&self) {
        let now = self.shared.now();
        self.shared.fleet().crash_records.record_served(now, self.fingerprint);
    }

    /// Records a good response, unless it was slow: a slow one is no evidence of health.
    pub fn record_success(&mut self) {
        if !self.is_slow {
            self.observe(Observation::Success);
        }
    }

    /// Records a refusal, and reports it to the other nodes if it is evidence of a failing server.
    pub fn record_refusal(&mut self) {
        let now = self.shared.now();
        let is_evidence = self.shared.fleet().registry.observe_refusal(now, &self.id, self.sent_at);
        if is_evidence {
            self.shared.report_now.notify_one();
        }
    }

    /// Records that the response takes much longer than usual. Further calls have no effect.
    pub fn record_slow(&mut self) {
        if !std::mem::replace(&mut self.is_slow, true) {
            self.observe(Observation::Slow);
        }
    }

    /// Returns the connection to the pool once it is ready for another request.
    pub fn return_connection(&self, connection: ServerConnection) {
        let returns = self.connection_return();
        tokio::spawn(async move { returns.put_back(connection).await });
    }

    /// Returns the memory for collected responses.
    pub fn response_memory(&self) -> Arc<BufferMemory> {
        self.shared.response_memory.clone()
    }

    /// Returns the way back to the pool for the connection of this send.
    pub fn connection_return(&self) -> ConnectionReturn {
        ConnectionReturn { shared: self.shared.clone(), id: self.id.clone() }
    }
}

/// A run of a request that broke off.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    fingerprint: Fingerprint,
    sent: Timestamp,
    at: Timestamp,
}

/// Records that a server in service ended while it ran a request, and tells the other nodes at once.
fn record_crash(shared: &Shared, start: &ServerStart, attempt: &str, lost: &LostRun) {
    let LostRun { fingerprint, sent, at } = *lost;
    let run = at.since(sent);
    let blocked = {
        let mut fleet = shared.fleet();
        if !fleet.registry.is_in_service(start) {
            return;
        }
        let (tag, started) = (start.id.tag(), start.started());
        let now = shared.now();
        let report = CrashReport { fingerprint, tag, started, age: now.since(at), run };
        fleet.crash_records.record(now, &report, true)
    };
    log::info!(target: "servers", server = start.id.as_str(), attempt, fingerprint:% = fingerprint,
        run_ms = run.as_millis(), blocked_ms = blocked.map(Span::as_millis);
        "a server ended while it ran a request");
    shared.report_now.notify_one();
}

/// The way back to the pool for a connection to one server.
#[derive(Debug)]
pub struct ConnectionReturn {
    shared: Arc<Shared>,
    id: ServerId,
}

impl ConnectionReturn {
    /// Puts the connection back into the pool once it is ready for another request. One to a server that leaves is
    /// closed instead.
    pub async fn put_back(self, connection: ServerConnection) {
        if self.shared.fleet().registry.is_leaving(&self.id) {
            return;
        }
        let now = self.shared.now();
        self.shared.pool.put_back(self.id, connection, now).await;
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.shared.fleet().registry.record_end(&self.id);
    }
}
