//! The admission gate of one service: decides which request goes to which backend server, and when.
//!
//! * `state`: what the gate's lock protects; `permit`: the guards of a queued request and of a slot in use.

mod permit;
mod state;

pub use self::permit::Permit;
pub use redwingtrestle_core::process::evidence::RequestEnd;

use self::{
    permit::QueuedRequest,
    state::{rank_shares, State},
};
use crate::{clock::Clock, ring::Waker};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr, Version},
    process::{
        admission::{AdmissionRequest, AdmissionTicket},
        balancer::ServerSlots,
        evidence::EvidenceCounts,
    },
    time::{Span, Timestamp},
    version::spec::{Drains, ServiceSpec},
};
use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard,
    },
};

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
        let state = Mutex::new(State::new(version, service, seed));
        Gate { clock, control, has_unmet_demand: AtomicBool::new(false), state }
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
        state.refuse_all(ResultCode::NoServer);
    }

    /// Sets whether this node carries the service.
    ///
    /// If it does not, all queued and later requests are refused with `no_carrier`, after which they can be
    /// forwarded. Requests in flight continue.
    pub fn set_carrier(&self, is_carrier: bool) {
        let mut state = self.lock();
        if std::mem::replace(&mut state.is_carrier, is_carrier) && !is_carrier {
            state.refuse_all(ResultCode::NoCarrier);
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
        state.run_admission(now);
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
            let ticket = state.new_ticket();
            let queued = QueuedRequest::new(self.clone(), ticket);
            let receiver = state.add_waiter(ticket, request.workspace as u32);
            let GateRequest { rank, workspace, deadline, idempotent } = request;
            let request = AdmissionRequest { ticket, rank, workspace, deadline, idempotent };
            state.admission.submit(now, request);
            state.run_admission(now);
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
        self.lock().run_admission(now);
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
        state.record_end(now, ticket, end);
        if state.admission.release(now, ticket) {
            self.request_report();
        }
        state.run_admission(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
