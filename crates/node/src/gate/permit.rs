//! The guards of a request in the queue and of a slot in use.

use super::{state::AdmissionResult, Gate, GateRequest, RequestEnd};
use redwingtrestle_core::{
    codes::ResultCode, ids::ServerAddr, process::admission::AdmissionTicket, time::Timestamp,
};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A request in the queue. Dropping it before its admission removes the request from the queue.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    gate: Arc<Gate>,
    ticket: AdmissionTicket,
    is_admitted: bool,
}

impl QueuedRequest {
    /// Creates the guard of a request that was put into the queue.
    pub(super) fn new(gate: Arc<Gate>, ticket: AdmissionTicket) -> Self {
        QueuedRequest { gate, ticket, is_admitted: false }
    }

    /// Waits for the decision about the request.
    pub(super) async fn wait(
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
            state.record_end(now, ticket, end);
            if let Some(code) = state.refusal() {
                state.admission.release(now, ticket);
                return Err(code);
            }
            let receiver = state.add_waiter(ticket, request.workspace as u32);
            state.admission.requeue(now, ticket);
            state.run_admission(now);
            receiver
        };
        QueuedRequest::new(gate, ticket).wait(receiver).await
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
