//! The admission gate of one service: decides which request goes to which backend server, and when.

pub use redwingtrestle_core::process::evidence::RequestEnd;

use crate::{clock::Clock, ring::Waker};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr, Version},
    process::{
        admission::{self, Action, Admission, AdmissionOptions, AdmissionTicket},
        balancer::ServerSlots,
        evidence::{EvidenceCounts, InFlightRequest, OutcomeRecorder},
    },
    request::retry::{RetryBudget, RetryOptions},
    time::{Span, Timestamp},
    version::spec::{Drains, ServiceSpec},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard,
    },
};
use tokio::sync::oneshot;

/// The gate admits nothing when its slots and ejections are older than this.
///
/// The control thread renews them every 40 ms. After a pause of the process, leases and ejections may have
/// ended in the meantime.
const MAX_SLOTS_AGE: Span = Span::from_millis(1000);

/// The properties of a request by which it is admitted.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest {
    /// The rank of the request.
    pub rank: RankIndex,
    /// The hash of the caller's workspace.
    pub workspace: u64,
    /// A response after this time is of no use to the caller.
    pub deadline: Timestamp,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
}

type AdmissionResult = Result<ServerAddr, ResultCode>;

#[derive(Debug)]
struct State {
    admission: Admission,
    recorder: OutcomeRecorder,
    budget: RetryBudget,
    version: Version,
    /// The share of each rank, as configured.
    shares: Vec<u32>,
    /// The share of each rank in use: the one that came with the leases, or else the configured one.
    active_shares: Vec<u32>,
    usable_servers: Vec<ServerSlots>,
    /// The result channel and workspace hash of each queued request.
    waiting: HashMap<AdmissionTicket, (oneshot::Sender<AdmissionResult>, u32)>,
    in_flight: HashMap<AdmissionTicket, InFlightRequest>,
    next_ticket: u64,
    slots_set_at: Timestamp,
    is_closed: bool,
    is_carrier: bool,
}

/// Admits the requests of one service on this node to its backend servers.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
    control: Waker,
    /// Whether a request was queued or a withdrawn slot became free since the control thread last reported demand.
    has_unmet_demand: AtomicBool,
}

impl Gate {
    /// Creates the gate of a service, which admits nothing before the first call of [`set_slots`](Self::set_slots).
    ///
    /// It wakes `control` when the service's demand for slots should be reported at once.
    pub fn new(
        clock: Clock,
        version: Version,
        service: &ServiceSpec,
        seed: u64,
        control: Waker,
    ) -> Self {
        let shares = rank_shares(service);
        let options = AdmissionOptions { seed, ..AdmissionOptions::default() };
        Gate {
            clock,
            control,
            has_unmet_demand: AtomicBool::new(false),
            state: Mutex::new(State {
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
            }),
        }
    }

    /// Applies the ranks of a new configuration, and stops using servers that it drains or does not contain.
    ///
    /// The control thread applies a new version up to 40 ms later. The node must not send work by the old
    /// version in the meantime, because it already reports the new one as in force.
    ///
    /// Returns `false` if the number of ranks has changed; the service then needs a new gate.
    pub fn configure(
        &self,
        now: Timestamp,
        version: Version,
        service: &ServiceSpec,
        drains: &Drains,
    ) -> bool {
        let mut state = self.lock();
        state.version = version;
        let is_usable = |s: &ServerSlots| {
            service.servers.iter().any(|d| d.addr == s.server && !drains.covers(d))
        };
        state.usable_servers.retain(is_usable);
        let usable = state.usable_servers.clone();
        state.admission.set_servers(now, &usable);
        let shares = rank_shares(service);
        if shares.len() != state.shares.len() {
            return false;
        }
        if shares != state.shares {
            state.admission.set_shares(now, &shares);
            state.active_shares.clone_from(&shares);
            state.shares = shares;
        }
        true
    }

    /// Refuses all queued and later requests, after the service was removed or its gate was replaced.
    ///
    /// A closed gate gets no more slots, so queued requests would wait until their deadlines. Requests in
    /// flight continue.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        refuse_all(&mut state, ResultCode::NoServer);
    }

    /// Sets whether this node carries the service.
    ///
    /// If it does not, all queued and later requests are refused with `no_carrier`, after which they can be
    /// forwarded. Requests in flight continue.
    pub fn set_carrier(&self, is_carrier: bool) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.is_carrier, is_carrier) && !is_carrier {
            refuse_all(&mut state, ResultCode::NoCarrier);
        }
    }

    /// Replaces the slots that the gate may use, and the shares of the ranks that come with them.
    ///
    /// A call for an older version than the one in force is ignored, because its slots may belong to servers
    /// that are now drained. Without `shares`, the configured ones apply.
    pub fn set_slots(
        &self,
        now: Timestamp,
        version: Version,
        servers: &[ServerSlots],
        shares: Option<&[u32]>,
    ) {
        let mut state = self.lock();
        if version < state.version {
            return;
        }
        state.slots_set_at = now;
        if state.usable_servers != servers {
            state.admission.set_servers(now, servers);
            state.usable_servers = servers.to_vec();
        }
        let shares = shares.filter(|s| s.len() == state.shares.len()).unwrap_or(&state.shares);
        if state.active_shares != shares {
            let shares = shares.to_vec();
            state.admission.set_shares(now, &shares);
            state.active_shares = shares;
        }
        run_admission(&mut state, now);
    }

    /// Waits until the request may be sent, and returns a slot of the server that was picked for it.
    ///
    /// The code of a refusal always has the outcome `not_run`.
    pub async fn admit(
        self: &Arc<Self>,
        now: Timestamp,
        request: GateRequest,
    ) -> Result<Permit, ResultCode> {
        let (queued, receiver) = {
            let mut state = self.lock();
            if state.is_closed {
                return Err(ResultCode::NoServer);
            }
            state.budget.record_request(now);
            if !state.is_carrier {
                return Err(ResultCode::NoCarrier);
            }
            let ticket = AdmissionTicket(state.next_ticket);
            state.next_ticket += 1;
            let queued = QueuedRequest { gate: self.clone(), ticket, is_admitted: false };
            let receiver = add_waiter(&mut state, ticket, request.workspace as u32);
            let GateRequest { rank, workspace, deadline, idempotent } = request;
            state.admission.submit(
                now,
                admission::AdmissionRequest { ticket, rank, workspace, deadline, idempotent },
            );
            run_admission(&mut state, now);
            if state.admission.has_queue() {
                self.request_report();
            }
            (queued, receiver)
        };
        queued.wait(receiver).await
    }

    /// Returns whether the demand for slots should be reported now.
    pub fn has_unmet_demand(&self) -> bool {
        self.has_unmet_demand.load(Ordering::Acquire)
    }

    /// Returns whether the demand for slots should be reported now, and resets the flag.
    pub fn take_unmet_demand(&self) -> bool {
        self.has_unmet_demand.swap(false, Ordering::AcqRel)
    }

    /// Asks the control thread for a report; wakes it only if no earlier request is pending.
    fn request_report(&self) {
        if !self.has_unmet_demand.swap(true, Ordering::AcqRel) {
            self.control.wake();
        }
    }

    /// Returns whether the service's retry budget allows a retry, and charges it if so.
    pub fn try_retry(&self, now: Timestamp) -> bool {
        self.lock().budget.try_retry(now)
    }

    /// Refuses queued requests that can no longer be completed in time, and admits those that now have a slot.
    pub fn poll(&self, now: Timestamp) {
        run_admission(&mut self.lock(), now);
    }

    /// Counts overdue requests in flight as bad, and returns the evidence since the last call.
    pub fn take_evidence(&self, now: Timestamp) -> Vec<(ServerAddr, EvidenceCounts)> {
        let mut state = self.lock();
        let State { recorder, in_flight, .. } = &mut *state;
        for request in in_flight.values_mut() {
            recorder.check(now, request);
        }
        recorder.drain()
    }

    /// Returns the latency that responses of the service rarely exceed, if enough have arrived.
    pub fn response_time(&self) -> Option<Span> {
        self.lock().recorder.response_time()
    }

    /// Ignores the outcomes of requests to a server that start before `until`, the end of its cold start.
    pub fn set_cold(&self, server: ServerAddr, until: Timestamp) {
        self.lock().recorder.set_cold(server, until);
    }

    /// Returns the number of queued requests of each rank.
    pub fn queued_by_rank(&self) -> Vec<u32> {
        self.lock().admission.queued()
    }

    /// Returns the number of requests in flight of each rank.
    pub fn in_flight_by_rank(&self) -> Vec<u32> {
        self.lock().admission.in_flight()
    }

    /// Returns the number of requests of each rank that are queued or in flight.
    pub fn demand_by_rank(&self) -> Vec<u32> {
        let state = self.lock();
        let in_flight = state.admission.in_flight();
        state.admission.queued().iter().zip(in_flight).map(|(queued, f)| queued + f).collect()
    }

    /// Returns the number of requests in flight at each server that has any.
    pub fn in_flight_by_server(&self) -> Vec<(ServerAddr, u32)> {
        let mut counts = BTreeMap::new();
        for request in self.lock().in_flight.values() {
            *counts.entry(request.server()).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    fn finish_send(&self, state: &mut State, ticket: AdmissionTicket, end: RequestEnd) {
        let now = self.clock.now();
        if let Some(request) = state.in_flight.remove(&ticket) {
            state.recorder.finish(now, &request, end);
        }
        if state.admission.release(now, ticket) {
            self.request_report();
        }
        run_admission(state, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn rank_shares(service: &ServiceSpec) -> Vec<u32> {
    service.ranks.iter().map(|r| r.share).collect()
}

fn refuse_all(state: &mut State, code: ResultCode) {
    for (ticket, (sender, _)) in std::mem::take(&mut state.waiting) {
        state.admission.cancel(ticket);
        let _ = sender.send(Err(code));
    }
}

fn add_waiter(
    state: &mut State,
    ticket: AdmissionTicket,
    workspace: u32,
) -> oneshot::Receiver<AdmissionResult> {
    let (sender, receiver) = oneshot::channel();
    state.waiting.insert(ticket, (sender, workspace));
    receiver
}

/// Carries out the decisions of the admission queue, unless the slots are too old to decide by.
fn run_admission(state: &mut State, now: Timestamp) {
    if now.since(state.slots_set_at) > MAX_SLOTS_AGE {
        return;
    }
    loop {
        let mut has_abandoned = false;
        for action in state.admission.poll(now) {
            match action {
                Action::Dispatch { ticket, server } => {
                    has_abandoned |= !deliver(state, now, ticket, server);
                }
                Action::Refuse { ticket, code } => {
                    if let Some((sender, _)) = state.waiting.remove(&ticket) {
                        let _ = sender.send(Err(code));
                    }
                }
            }
        }
        // The slot of a request whose caller is gone is free again, so another request may get it.
        if !has_abandoned {
            return;
        }
    }
}

/// Passes the picked server to a waiting request; returns `false` if the request has been given up.
fn deliver(state: &mut State, now: Timestamp, ticket: AdmissionTicket, server: ServerAddr) -> bool {
    let Some((sender, workspace)) = state.waiting.remove(&ticket) else {
        state.admission.release(now, ticket);
        return false;
    };
    state.in_flight.insert(ticket, state.recorder.start(now, server, workspace));
    if sender.send(Ok(server)).is_ok() {
        return true;
    }
    state.in_flight.remove(&ticket);
    state.admission.release(now, ticket);
    false
}

/// A request in the queue. Dropping it before its admission removes the request from the queue.
#[derive(Debug)]
struct QueuedRequest {
    gate: Arc<Gate>,
    ticket: AdmissionTicket,
    is_admitted: bool,
}

impl QueuedRequest {
    async fn wait(
        mut self,
        receiver: oneshot::Receiver<AdmissionResult>,
    ) -> Result<Permit, ResultCode> {
        // The sender is dropped without a result only with its gate, and then there is no server to send to.
        let server = receiver.await.unwrap_or(Err(ResultCode::NoServer))?;
        self.is_admitted = true;
        Ok(Permit { server, gate: self.gate.clone(), ticket: self.ticket, is_finished: false })
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_admitted {
            return;
        }
        let mut state = self.gate.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        } else if state.in_flight.contains_key(&self.ticket) {
            // The request was admitted, but its caller left before the result was received.
            self.gate.finish_send(&mut state, self.ticket, RequestEnd::Cancelled);
        }
    }
}

/// Occupies a slot of a backend server for one request until it is dropped.
#[derive(Debug)]
pub struct Permit {
    /// The server that was picked.
    pub server: ServerAddr,
    gate: Arc<Gate>,
    ticket: AdmissionTicket,
    is_finished: bool,
}

impl Permit {
    /// Releases the slot and records how the send ended as evidence about the server.
    ///
    /// Dropping the permit instead records a cancelled request, which is no evidence.
    pub fn finish(mut self, _now: Timestamp, end: RequestEnd) {
        self.finish_once(end);
    }

    /// Ends the send as [`finish`](Self::finish) does, and waits for a slot for the next send.
    ///
    /// The request keeps its original position in the queue, and another server is preferred if one is free.
    pub async fn requeue(
        mut self,
        now: Timestamp,
        request: GateRequest,
        end: RequestEnd,
    ) -> Result<Permit, ResultCode> {
        self.is_finished = true;
        let (gate, ticket) = (self.gate.clone(), self.ticket);
        let receiver = {
            let mut state = gate.lock();
            if let Some(request) = state.in_flight.remove(&ticket) {
                state.recorder.finish(now, &request, end);
            }
            if state.is_closed || !state.is_carrier {
                state.admission.release(now, ticket);
                let code =
                    if state.is_closed { ResultCode::NoServer } else { ResultCode::NoCarrier };
                return Err(code);
            }
            let receiver = add_waiter(&mut state, ticket, request.workspace as u32);
            state.admission.requeue(now, ticket);
            run_admission(&mut state, now);
            receiver
        };
        QueuedRequest { gate, ticket, is_admitted: false }.wait(receiver).await
    }

    fn finish_once(&mut self, end: RequestEnd) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let mut state = self.gate.lock();
        self.gate.finish_send(&mut state, self.ticket, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.finish_once(RequestEnd::Cancelled);
    }
}
