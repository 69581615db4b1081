//! Chooses which request gets the next free slot, and sends it.

use super::{
    rank::Rank,
    request::{DispatchedRequest, QueuedRequest},
    Action, Admission, AdmissionTicket,
};
use crate::{
    ids::ServerAddr,
    invariant,
    invariant::Invariant,
    time::{Span, Timestamp},
};

/// A server in probation gets a request of a more urgent rank once the ranks below have had no idempotent
/// request for this long. The leader lets one node send probation requests for 10 s, which is far longer.
const LOWER_RANK_WAIT: Span = Span::from_secs(2);

impl Admission {
    /// Sends one idempotent request of the lowest rank to each idle server in probation.
    ///
    /// A request of a more urgent rank is sent if the ranks below it have had no idempotent request for
    /// `LOWER_RANK_WAIT`. Otherwise a service whose lowest rank is idle would never get its server back. The
    /// newest request is chosen: it has the most time left, so a missed deadline says more about the server.
    pub(super) fn dispatch_probation(&mut self, now: Timestamp) {
        while let Some(server) = self.balancer.pick_probation() {
            let Some((&(rank, _), &ticket)) = self.idempotent_queue.last_key_value() else { break };
            let since = self.probation_since.unwrap_or(now);
            let mut lower = self.last_idempotent.iter().skip(usize::from(rank.0) + 1);
            if lower.any(|at| now.since(since.max(*at)) < LOWER_RANK_WAIT) {
                break;
            }
            self.dispatch(now, ticket, server, true);
        }
    }

    /// Returns the rank that gets the next free slot: the most urgent one whose credit is at its limit, else
    /// the most urgent one below its guarantee, else the most urgent one with queued requests.
    pub(super) fn next_rank(&self) -> Option<usize> {
        let span = self.longest_service_time();
        let at_limit = |r: &Rank| r.has_full_credit(self.slots, span);
        let entitled = |r: &Rank| r.is_entitled(self.slots);
        let queued = |r: &Rank| !r.queue.is_empty();
        let ranks = || self.ranks.iter();
        ranks()
            .position(at_limit)
            .or_else(|| ranks().position(entitled))
            .or_else(|| ranks().position(queued))
    }

    /// Returns the next request of a rank. Workspaces take turns, and a late one is served newest first.
    pub(super) fn next_ticket(&self, now: Timestamp, rank: usize) -> Option<AdmissionTicket> {
        let rank = &self.ranks[rank];
        let workspace = rank.queue.next_workspace()?;
        if self.is_late(now, rank, workspace) {
            rank.queue.newest(workspace)
        } else {
            rank.queue.oldest(workspace)
        }
    }

    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        ticket: AdmissionTicket,
        server: ServerAddr,
        is_probation: bool,
    ) {
        let Some(request) = self.waiting.get(&ticket).map(|w| w.request) else { return };
        let rank = &mut self.ranks[usize::from(request.rank.0)];
        let guaranteed = !is_probation && rank.is_entitled(self.slots);
        self.turn += 2;
        // A probation request uses none of the rank's slots, so the workspace keeps its turn.
        let turn = if is_probation {
            self.turn
        } else {
            rank.queue.end_turn(request.workspace, self.turn)
        };
        if !is_probation {
            rank.in_flight += 1;
            rank.guaranteed += i64::from(guaranteed);
        }
        let Some(waiting) = self.dequeue(ticket) else { return };
        let fits = self.balancer.acquire(server);
        invariant!(
            Invariant::Slots,
            fits,
            "{server} has {} in flight, more than the node's slots",
            self.balancer.in_flight(server)
        );
        let waiting = QueuedRequest { turn, ..waiting };
        let dispatched =
            DispatchedRequest { queued: waiting, server, since: now, guaranteed, is_probation };
        self.in_flight.insert(ticket, dispatched);
        self.actions.push(Action::Dispatch { ticket, server });
    }

    /// Checks the invariant that `chosen` borrows no whole slot that another waiting rank is guaranteed.
    pub(super) fn check_shares(&self, chosen: usize) {
        let borrows = self.ranks[chosen].is_borrowing(self.slots);
        for (index, rank) in self.ranks.iter().enumerate() {
            invariant!(
                Invariant::GuaranteedShare,
                index == chosen || !borrows || !rank.is_owed(self.slots),
                "rank {chosen} borrows a slot that rank {index} is guaranteed and waits for"
            );
        }
    }
}
