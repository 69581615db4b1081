//! The gate of one service: which request goes to which backend server, and when.

pub use redwingtrestle_core::process::evidence::RequestEnd;

use crate::{clock::Clock, ring::Waker};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr, Version},
    process::{
        admission::{self, Action, Admission, AdmissionOptions, AdmissionTicket},
        balancer::ServerSlots,
        evidence::{Counts, InFlightRequest, OutcomeRecorder},
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

/// How long the gate works with the slots and ejections it was last given.
///
/// The control thread renews them every 40 ms. After a pause of the process they are too old to send
/// anything by: leases and ejections may have ended in the meantime.
const VIEW_TIME: Span = Span::from_millis(1000);

/// `GateRequest` is a request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest {
    /// Its rank.
    pub rank: RankIndex,
    /// The hash of its workspace.
    pub workspace: u64,
    /// When its answer is worthless.
    pub deadline: Timestamp,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
}

type Admitted = Result<ServerAddr, ResultCode>;

#[derive(Debug)]
struct State {
    admission: Admission,
    recorder: OutcomeRecorder,
    budget: RetryBudget,
    version: Version,
    /// The configured shares, and those that are in use.
    shares: Vec<u32>,
    leased_shares: Vec<u32>,
    usable: Vec<ServerSlots>,
    waiting: HashMap<AdmissionTicket, (oneshot::Sender<Admitted>, u32)>,
    in_flight: HashMap<AdmissionTicket, InFlightRequest>,
    next_ticket: u64,
    renewed: Timestamp,
    closed: bool,
    /// Whether this node carries the service.
    carried: bool,
}

/// `Gate` admits the requests of one service on this node.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
    control: Waker,
    /// Work waits for slots, or a withdrawn slot became free, since the control thread last looked.
    has_unmet_demand: AtomicBool,
}

impl Gate {
    /// Makes the gate of a service; it admits nothing until it is told of usable servers.
    ///
    /// It wakes `control` when its demand for slots should be reported at once.
    pub fn new(
        clock: Clock,
        version: Version,
        service: &ServiceSpec,
        seed: u64,
        control: Waker,
    ) -> Self {
        let shares = shares(service);
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
                leased_shares: shares.clone(),
                shares,
                usable: Vec::new(),
                waiting: HashMap::new(),
                in_flight: HashMap::new(),
                next_ticket: 0,
                renewed: Timestamp::ZERO,
                closed: false,
                carried: true,
            }),
        }
    }

    /// Takes over the ranks of a new configuration, and stops using servers that it drains or lacks.
    ///
    /// The control thread follows a new version within 40 ms; until then the node must not send work by the
    /// old one, since it already reports the new one as in force.
    ///
    /// Returns whether the gate can go on; a changed number of ranks needs a new gate.
    pub fn configure(
        &self,
        now: Timestamp,
        version: Version,
        service: &ServiceSpec,
        drains: &Drains,
    ) -> bool {
        let mut state = self.lock();
        state.version = version;
        let keeps = |s: &ServerSlots| {
            service.servers.iter().any(|d| d.addr == s.server && !drains.covers(d))
        };
        state.usable.retain(keeps);
        let usable = state.usable.clone();
        state.admission.set_servers(now, &usable);
        let shares = shares(service);
        if shares.len() != state.shares.len() {
            return false;
        }
        if shares != state.shares {
            state.admission.set_shares(now, &shares);
            state.leased_shares.clone_from(&shares);
            state.shares = shares;
        }
        true
    }

    /// Refuses all queued and later requests, because the service was removed or its ranks were replaced.
    ///
    /// Nothing renews such a gate, so its queue would wait for deadlines. Requests in flight go on.
    pub fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        refuse_all(&mut state, ResultCode::NoServer);
    }

    /// Takes over whether this node carries the service.
    ///
    /// If not, all queued and later requests are refused as `no_carrier` and can be forwarded. Requests in
    /// flight go on.
    pub fn set_carried(&self, carried: bool) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.carried, carried) && !carried {
            refuse_all(&mut state, ResultCode::NoCarrier);
        }
    }

    /// Takes over the slots that may be used from now on, and the shares that go with them.
    ///
    /// Slots by an older version than the one in force are ignored: they may name servers that it drains.
    pub fn renew(
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
        state.renewed = now;
        if state.usable != servers {
            state.admission.set_servers(now, servers);
            state.usable = servers.to_vec();
        }
        let shares = shares.filter(|s| s.len() == state.shares.len()).unwrap_or(&state.shares);
        if state.leased_shares != shares {
            let shares = shares.to_vec();
            state.admission.set_shares(now, &shares);
            state.leased_shares = shares;
        }
        act(&mut state, now);
    }

    /// Waits until the request may be sent, and returns the slot of the server that was picked.
    ///
    /// The code of a refusal always has the outcome `not_run`.
    pub async fn admit(
        self: &Arc<Self>,
        now: Timestamp,
        request: GateRequest,
    ) -> Result<Permit, ResultCode> {
        let (place, receiver) = {
            let mut state = self.lock();
            if state.closed {
                return Err(ResultCode::NoServer);
            }
            state.budget.request(now);
            if !state.carried {
                return Err(ResultCode::NoCarrier);
            }
            let ticket = AdmissionTicket(state.next_ticket);
            state.next_ticket += 1;
            let place = Place { gate: self.clone(), ticket, admitted: false };
            let receiver = wait(&mut state, ticket, request.workspace as u32);
            let GateRequest { rank, workspace, deadline, idempotent } = request;
            state.admission.submit(
                now,
                admission::AdmissionRequest { ticket, rank, workspace, deadline, idempotent },
            );
            act(&mut state, now);
            if state.admission.has_queue() {
                self.press();
            }
            (place, receiver)
        };
        place.wait(receiver).await
    }

    /// Returns whether the demand for slots should be looked at now.
    pub fn has_unmet_demand(&self) -> bool {
        self.has_unmet_demand.load(Ordering::Acquire)
    }

    /// Returns the same as `has_unmet_demand`, and forgets it.
    pub fn take_unmet_demand(&self) -> bool {
        self.has_unmet_demand.swap(false, Ordering::AcqRel)
    }

    /// Wakes the control thread, once until it has looked.
    fn press(&self) {
        if !self.has_unmet_demand.swap(true, Ordering::AcqRel) {
            self.control.wake();
        }
    }

    /// Counts a resend and returns whether the service's retry budget allows it.
    pub fn try_resend(&self, now: Timestamp) -> bool {
        self.lock().budget.try_resend(now)
    }

    /// Refuses what can no longer be answered in time and sends what has become possible.
    pub fn poll(&self, now: Timestamp) {
        act(&mut self.lock(), now);
    }

    /// Checks the requests in flight and takes the evidence since the last call.
    pub fn take_evidence(&self, now: Timestamp) -> Vec<(ServerAddr, Counts)> {
        let mut state = self.lock();
        let State { recorder, in_flight, .. } = &mut *state;
        for request in in_flight.values_mut() {
            recorder.check(now, request);
        }
        recorder.drain()
    }

    /// Ignores the outcomes of requests to a server that has just started.
    pub fn set_cold(&self, server: ServerAddr, until: Timestamp) {
        self.lock().recorder.set_cold(server, until);
    }

    /// Returns the requests queued in each rank.
    pub fn queued(&self) -> Vec<u32> {
        self.lock().admission.queued()
    }

    /// Returns the requests in flight in each rank.
    pub fn in_flight(&self) -> Vec<u32> {
        self.lock().admission.in_flight()
    }

    /// Returns the requests queued or in flight in each rank.
    pub fn demand(&self) -> Vec<u32> {
        let state = self.lock();
        let flying = state.admission.in_flight();
        state.admission.queued().iter().zip(flying).map(|(queued, f)| queued + f).collect()
    }

    /// Returns the requests in flight at each server that has any.
    pub fn in_flight_by_server(&self) -> Vec<(ServerAddr, u32)> {
        let mut counts = BTreeMap::new();
        for request in self.lock().in_flight.values() {
            *counts.entry(request.server()).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    fn end(&self, state: &mut State, ticket: AdmissionTicket, end: RequestEnd) {
        let now = self.clock.now();
        if let Some(request) = state.in_flight.remove(&ticket) {
            state.recorder.finish(now, &request, end);
        }
        if state.admission.release(now, ticket) {
            self.press();
        }
        act(state, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn shares(service: &ServiceSpec) -> Vec<u32> {
    service.ranks.iter().map(|r| r.share).collect()
}

fn refuse_all(state: &mut State, code: ResultCode) {
    for (ticket, (sender, _)) in std::mem::take(&mut state.waiting) {
        state.admission.cancel(ticket);
        let _ = sender.send(Err(code));
    }
}

fn wait(state: &mut State, ticket: AdmissionTicket, workspace: u32) -> oneshot::Receiver<Admitted> {
    let (sender, receiver) = oneshot::channel();
    state.waiting.insert(ticket, (sender, workspace));
    receiver
}

/// Carries out what admission decides now.
fn act(state: &mut State, now: Timestamp) {
    if now.since(state.renewed) > VIEW_TIME {
        return;
    }
    loop {
        let mut gone = false;
        for action in state.admission.poll(now) {
            match action {
                Action::Dispatch { ticket, server } => {
                    gone |= !dispatch(state, now, ticket, server);
                }
                Action::Refuse { ticket, code } => {
                    if let Some((sender, _)) = state.waiting.remove(&ticket) {
                        let _ = sender.send(Err(code));
                    }
                }
            }
        }
        // A slot that was given to a caller who is gone is free for the next one.
        if !gone {
            return;
        }
    }
}

/// Tells a waiting request its server; returns whether the request was still there.
fn dispatch(
    state: &mut State,
    now: Timestamp,
    ticket: AdmissionTicket,
    server: ServerAddr,
) -> bool {
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

/// `Place` is a request's place in the queue; dropping it before admission gives it up.
#[derive(Debug)]
struct Place {
    gate: Arc<Gate>,
    ticket: AdmissionTicket,
    admitted: bool,
}

impl Place {
    async fn wait(mut self, receiver: oneshot::Receiver<Admitted>) -> Result<Permit, ResultCode> {
        // The sender is dropped unused only together with the gate, which then has no server.
        let server = receiver.await.unwrap_or(Err(ResultCode::NoServer))?;
        self.admitted = true;
        Ok(Permit { server, gate: self.gate.clone(), ticket: self.ticket, ended: false })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        let mut state = self.gate.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        } else if state.in_flight.contains_key(&self.ticket) {
            // The request was admitted at the moment at which its caller left.
            self.gate.end(&mut state, self.ticket, RequestEnd::Cancelled);
        }
    }
}

/// `Permit` holds a slot of a backend server for one request until it is dropped.
#[derive(Debug)]
pub struct Permit {
    /// The server that was picked.
    pub server: ServerAddr,
    gate: Arc<Gate>,
    ticket: AdmissionTicket,
    ended: bool,
}

impl Permit {
    /// Ends the send and records how it ended as evidence about the server.
    ///
    /// A permit that is dropped without it counts as cancelled, which is no evidence.
    pub fn finish(mut self, _now: Timestamp, end: RequestEnd) {
        self.end(end);
    }

    /// Ends the send as [`finish`](Self::finish) does and waits for another slot.
    ///
    /// The request keeps its place in the queue, and the server is avoided while another is free.
    pub async fn requeue(
        mut self,
        now: Timestamp,
        request: GateRequest,
        end: RequestEnd,
    ) -> Result<Permit, ResultCode> {
        self.ended = true;
        let (gate, ticket) = (self.gate.clone(), self.ticket);
        let receiver = {
            let mut state = gate.lock();
            if let Some(request) = state.in_flight.remove(&ticket) {
                state.recorder.finish(now, &request, end);
            }
            if state.closed || !state.carried {
                state.admission.release(now, ticket);
                let code = if state.closed { ResultCode::NoServer } else { ResultCode::NoCarrier };
                return Err(code);
            }
            let receiver = wait(&mut state, ticket, request.workspace as u32);
            state.admission.requeue(now, ticket);
            act(&mut state, now);
            receiver
        };
        Place { gate, ticket, admitted: false }.wait(receiver).await
    }

    fn end(&mut self, end: RequestEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut state = self.gate.lock();
        self.gate.end(&mut state, self.ticket, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(RequestEnd::Cancelled);
    }
}
