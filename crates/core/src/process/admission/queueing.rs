//! Puts requests into the queues and takes them out without sending them.

use super::{
    rank::Rank,
    request::{DispatchedRequest, QueuedRequest},
    Action, Admission, AdmissionRequest, AdmissionTicket,
};
use crate::{codes::ResultCode, time::Timestamp};

impl Admission {
    /// Ensures that there is room for `request`, evicting a request if necessary. Returns whether there is.
    pub(super) fn make_room(&mut self, now: Timestamp, request: &AdmissionRequest) -> bool {
        let rank = &self.ranks[usize::from(request.rank.0)];
        let own = rank.queue.workspace_len(request.workspace);
        let victim = if own >= self.options.workspace_queue {
            // A late workspace is served newest first, so its oldest request would miss its deadline anyway.
            if !self.is_late(now, rank, request.workspace) {
                return false;
            }
            request.workspace
        } else if rank.queue.len() >= self.options.rank_queue {
            // The longest queue gives up a request, so a flood of one workspace cannot shut out the others.
            match rank.queue.longest() {
                Some((length, workspace)) if length > own + 1 => workspace,
                _ => return false,
            }
        } else {
            return true;
        };
        let evicted = if self.is_late(now, rank, victim) {
            rank.queue.oldest(victim)
        } else {
            rank.queue.newest(victim)
        };
        let Some(ticket) = evicted else { return false };
        self.dequeue(ticket);
        self.actions.push(Action::Refuse { ticket, code: ResultCode::QueueFull });
        true
    }

    /// Returns whether the oldest request of a workspace has waited for more than half of its time to the
    /// deadline.
    pub(super) fn is_late(&self, now: Timestamp, rank: &Rank, workspace: u64) -> bool {
        let oldest = rank.queue.oldest(workspace).and_then(|ticket| self.waiting.get(&ticket));
        oldest.is_some_and(|w| now.since(w.since).times(2) > w.request.deadline.since(w.since))
    }

    pub(super) fn enqueue(&mut self, waiting: QueuedRequest, turn: u64) {
        let index = usize::from(waiting.request.rank.0);
        self.ranks[index].queue.add(&waiting, turn);
        if waiting.request.idempotent {
            let key = (waiting.request.rank, waiting.sequence);
            self.idempotent_queue.insert(key, waiting.request.ticket);
        }
        self.waiting.insert(waiting.request.ticket, waiting);
    }

    pub(super) fn dequeue(&mut self, ticket: AdmissionTicket) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&ticket)?;
        self.ranks[usize::from(waiting.request.rank.0)].queue.remove(&waiting);
        self.idempotent_queue.remove(&(waiting.request.rank, waiting.sequence));
        Some(waiting)
    }

    pub(super) fn remove_dispatched(
        &mut self,
        ticket: AdmissionTicket,
    ) -> Option<DispatchedRequest> {
        let dispatched = self.in_flight.remove(&ticket)?;
        self.balancer.release(dispatched.server);
        if !dispatched.is_probation {
            let rank = &mut self.ranks[usize::from(dispatched.queued.request.rank.0)];
            rank.in_flight -= 1;
            rank.guaranteed -= i64::from(dispatched.guaranteed);
        }
        Some(dispatched)
    }

    /// Refuses queued requests that can no longer be completed by their deadlines.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let code =
            if self.balancer.is_empty() { ResultCode::NoServer } else { ResultCode::DeadlineUnmet };
        for index in 0..self.ranks.len() {
            while let Some((deadline, ticket)) = self.ranks[index].queue.first_deadline() {
                if now + self.ranks[index].expected_time() <= deadline {
                    break;
                }
                self.dequeue(ticket);
                self.actions.push(Action::Refuse { ticket, code });
            }
        }
    }
}
