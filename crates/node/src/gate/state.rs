//! The state of a gate, and the steps that carry out what the admission queue decides.

use redwingtrestle_core::{
    codes::ResultCode,
    ids::{ServerAddr, Version},
    process::{
        admission::{Action, Admission, AdmissionOptions, AdmissionTicket},
        balancer::ServerSlots,
        evidence::{InFlightRequest, OutcomeRecorder, RequestEnd},
    },
    request::retry::{RetryBudget, RetryOptions},
    time::{Span, Timestamp},
    version::spec::ServiceSpec,
};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// The gate admits nothing when its slots and ejections are older than this.
///
/// The control thread renews them every 40 ms. After a pause of the process, leases and ejections may have
/// ended in the meantime.
const MAX_SLOTS_AGE: Span = Span::from_millis(1000);

/// The server that was picked, or the code of the refusal.
pub(super) type AdmissionResult = Result<ServerAddr, ResultCode>;

/// The part of a gate that its lock protects.
#[derive(Debug)]
pub(super) struct State {
    pub(super) admission: Admission,
    pub(super) recorder: OutcomeRecorder,
    pub(super) budget: RetryBudget,
    pub(super) version: Version,
    /// The share of each rank, as configured.
    pub(super) shares: Vec<u32>,
    /// The share of each rank in use: the one that came with the leases, or else the configured one.
    pub(super) active_shares: Vec<u32>,
    pub(super) usable_servers: Vec<ServerSlots>,
    /// The result channel and workspace hash of each queued request.
    pub(super) waiting: HashMap<AdmissionTicket, (oneshot::Sender<AdmissionResult>, u32)>,
    pub(super) in_flight: HashMap<AdmissionTicket, InFlightRequest>,
    pub(super) next_ticket: u64,
    pub(super) slots_set_at: Timestamp,
    pub(super) is_closed: bool,
    pub(super) is_carrier: bool,
}

impl State {
    /// Creates the state of a gate that has no slots yet.
    pub(super) fn new(version: Version, service: &ServiceSpec, seed: u64) -> Self {
        let shares = rank_shares(service);
        let options = AdmissionOptions { seed, ..AdmissionOptions::default() };
        State {
            admission: Admission::new(options, &shares),
            recorder: OutcomeRecorder::new(),
            budget: RetryBudget::new(RetryOptions::default()),
            version,
            active_shares: shares.clone(),
            shares,
            usable_servers: Vec::new(),
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
            next_ticket: 0,
            slots_set_at: Timestamp::ZERO,
            is_closed: false,
            is_carrier: true,
        }
    }

    /// Returns the code with which requests are refused, if they are.
    pub(super) fn refusal(&self) -> Option<ResultCode> {
        if self.is_closed {
            Some(ResultCode::NoServer)
        } else if !self.is_carrier {
            Some(ResultCode::NoCarrier)
        } else {
            None
        }
    }

    /// Refuses all queued requests.
    pub(super) fn refuse_all(&mut self, code: ResultCode) {
        for (ticket, (sender, _)) in std::mem::take(&mut self.waiting) {
            self.admission.cancel(ticket);
            let _ = sender.send(Err(code));
        }
    }

    /// Returns the number of a new request.
    pub(super) fn new_ticket(&mut self) -> AdmissionTicket {
        let ticket = AdmissionTicket(self.next_ticket);
        self.next_ticket += 1;
        ticket
    }

    /// Adds a request that waits for a server.
    pub(super) fn add_waiter(
        &mut self,
        ticket: AdmissionTicket,
        workspace: u32,
    ) -> oneshot::Receiver<AdmissionResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, (sender, workspace));
        receiver
    }

    /// Records the end of a send as evidence about its server.
    pub(super) fn record_end(&mut self, now: Timestamp, ticket: AdmissionTicket, end: RequestEnd) {
        if let Some(request) = self.in_flight.remove(&ticket) {
            self.recorder.finish(now, &request, end);
        }
    }

    /// Carries out the decisions of the admission queue, unless the slots are too old to decide by.
    pub(super) fn run_admission(&mut self, now: Timestamp) {
        if now.since(self.slots_set_at) > MAX_SLOTS_AGE {
            return;
        }
        // The slot of a request whose caller is gone is free again, so another request may get it.
        while self.run_actions(now) {}
    }

    /// Carries out the actions that are due. Returns whether a request among them had been given up.
    fn run_actions(&mut self, now: Timestamp) -> bool {
        let mut has_abandoned = false;
        for action in self.admission.poll(now) {
            match action {
                Action::Dispatch { ticket, server } => {
                    has_abandoned |= !self.deliver(now, ticket, server);
                }
                Action::Refuse { ticket, code } => {
                    if let Some((sender, _)) = self.waiting.remove(&ticket) {
                        let _ = sender.send(Err(code));
                    }
                }
            }
        }
        has_abandoned
    }

    /// Passes the picked server to a waiting request; returns `false` if the request has been given up.
    fn deliver(&mut self, now: Timestamp, ticket: AdmissionTicket, server: ServerAddr) -> bool {
        let Some((sender, workspace)) = self.waiting.remove(&ticket) else {
            self.admission.release(now, ticket);
            return false;
        };
        self.in_flight.insert(ticket, self.recorder.start(now, server, workspace));
        if sender.send(Ok(server)).is_ok() {
            return true;
        }
        self.in_flight.remove(&ticket);
        self.admission.release(now, ticket);
        false
    }
}

/// Returns the guaranteed shares of the ranks of a service, in percent.
pub(super) fn rank_shares(service: &ServiceSpec) -> Vec<u32> {
    service.ranks.iter().map(|r| r.share).collect()
}
