//! Admission control: ranks, guaranteed shares, fair queues.
//!
//! * `options`, `request`: what other modules set, submit and get.
//! * `rank`: the guarantee of a rank; `fair_queue`: its queue, in which workspaces take turns.
//! * `queueing`: which requests are queued; `dispatch`: which one gets the next free slot.

mod dispatch;
mod fair_queue;
mod options;
mod queueing;
mod rank;
mod request;

pub use self::{
    options::AdmissionOptions,
    request::{Action, AdmissionRequest, AdmissionTicket},
};
pub use crate::process::balancer::{ServerMode, ServerSlots};

use self::{
    rank::Rank,
    request::{DispatchedRequest, QueuedRequest},
};
use crate::{
    codes::ResultCode,
    ids::RankIndex,
    process::balancer::Balancer,
    time::{Span, Timestamp},
};
use std::collections::{BTreeMap, HashMap};

/// Decides when one node sends the requests of one service, and to which servers.
///
/// `docs/admission.md` describes guaranteed shares, urgency and fairness. Each call takes time
/// logarithmic in the queue length for each request that it moves.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    ranks: Vec<Rank>,
    waiting: HashMap<AdmissionTicket, QueuedRequest>,
    in_flight: HashMap<AdmissionTicket, DispatchedRequest>,
    /// The queued idempotent requests, by rank and sequence. Servers in probation get only these.
    idempotent_queue: BTreeMap<(RankIndex, u64), AdmissionTicket>,
    /// When the last idempotent request of each rank arrived.
    last_idempotent: Vec<Timestamp>,
    /// Since when at least one server is in probation.
    probation_since: Option<Timestamp>,
    balancer: Balancer,
    slots: i64,
    sequence: u64,
    turn: u64,
    updated_at: Timestamp,
    actions: Vec<Action>,
}

impl Admission {
    /// Creates an admission queue without servers. `ranks` holds the guaranteed shares in percent.
    ///
    /// The most urgent rank comes first, and the shares add up to at most 100; `Spec::faults` checks
    /// this.
    pub fn new(options: AdmissionOptions, ranks: &[u32]) -> Self {
        let rank = |&share: &u32| Rank::new(share, options.service_time);
        Admission {
            options,
            ranks: ranks.iter().map(rank).collect(),
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
            idempotent_queue: BTreeMap::new(),
            last_idempotent: vec![Timestamp::ZERO; ranks.len()],
            probation_since: None,
            balancer: Balancer::new(options.seed),
            slots: 0,
            sequence: 0,
            turn: 0,
            updated_at: Timestamp::ZERO,
            actions: Vec::new(),
        }
    }

    /// Queues a request. `poll` returns the decision. A request with a known ticket is ignored.
    pub fn submit(&mut self, now: Timestamp, request: AdmissionRequest) {
        self.advance(now);
        let ticket = request.ticket;
        if self.waiting.contains_key(&ticket) || self.in_flight.contains_key(&ticket) {
            return;
        }
        let mut request = request;
        request.rank.0 = request.rank.0.min(self.ranks.len() as u8 - 1);
        if request.idempotent {
            self.last_idempotent[usize::from(request.rank.0)] = now;
        }
        let rank = &self.ranks[usize::from(request.rank.0)];
        if now + rank.expected_time() > request.deadline {
            self.actions.push(Action::Refuse { ticket, code: ResultCode::DeadlineUnmet });
            return;
        }
        if !self.make_room(now, &request) {
            self.actions.push(Action::Refuse { ticket, code: ResultCode::QueueFull });
            return;
        }
        self.sequence += 1;
        self.turn += 2;
        let waiting = QueuedRequest {
            request,
            sequence: self.sequence,
            turn: self.turn,
            since: now,
            avoid: None,
        };
        let queue = &mut self.ranks[usize::from(request.rank.0)].queue;
        let turn = queue.first_turn(request.workspace, self.turn);
        self.enqueue(waiting, turn);
    }

    /// Removes a finished request. Returns whether the node has lost the slot in the meantime, in which case
    /// other nodes can use it from now on.
    pub fn release(&mut self, now: Timestamp, ticket: AdmissionTicket) -> bool {
        self.advance(now);
        let Some(dispatched) = self.remove_dispatched(ticket) else { return false };
        let rank = &mut self.ranks[usize::from(dispatched.queued.request.rank.0)];
        rank.record_service_time(now.since(dispatched.since));
        self.balancer.is_full(dispatched.server)
    }

    /// Puts a request that its server shed back at its previous place in the queue.
    ///
    /// The queue limits do not apply, since the request was admitted before. The server that shed it is
    /// avoided while another one has a free slot.
    pub fn requeue(&mut self, now: Timestamp, ticket: AdmissionTicket) {
        self.advance(now);
        let Some(DispatchedRequest { queued, server, .. }) = self.remove_dispatched(ticket) else {
            return;
        };
        self.enqueue(QueuedRequest { avoid: Some(server), ..queued }, queued.turn);
    }

    /// Removes a queued request whose caller is gone. Returns whether it was queued.
    ///
    /// A request in flight keeps its slot until `release`.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        self.dequeue(ticket).is_some()
    }

    /// Sets the servers and the slots that this node may use.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[ServerSlots]) {
        self.advance(now);
        self.balancer.set_servers(servers);
        let probation = servers.iter().any(|s| s.mode == ServerMode::Probation);
        self.probation_since = probation.then(|| self.probation_since.unwrap_or(now));
        self.slots = i64::from(self.balancer.total());
    }

    /// Sets the guaranteed shares of the ranks, in percent. They must add up to at most 100.
    pub fn set_shares(&mut self, now: Timestamp, shares: &[u32]) {
        self.advance(now);
        for (rank, &share) in self.ranks.iter_mut().zip(shares) {
            rank.share = i64::from(share);
        }
    }

    /// Returns all actions that are due, in the order in which to perform them.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        self.advance(now);
        self.expire(now);
        self.dispatch_probation(now);
        while self.balancer.has_free() {
            let Some(rank) = self.next_rank() else { break };
            let Some(ticket) = self.next_ticket(now, rank) else { break };
            let avoid = self.waiting.get(&ticket).and_then(|w| w.avoid);
            let Some(server) = self.balancer.pick(avoid) else { break };
            self.check_shares(rank);
            self.dispatch(now, ticket, server, false);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when `poll` must be called if no other call comes before.
    ///
    /// Each `poll` gives out all free slots, so only deadlines need a timer.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.actions.is_empty() {
            return Some(now);
        }
        let expiry = |rank: &Rank| {
            let (deadline, _) = rank.queue.first_deadline()?;
            let latest = deadline.as_micros().saturating_sub(rank.expected_time().as_micros());
            Some(Timestamp::from_micros(latest + 1).max(now))
        };
        self.ranks.iter().filter_map(expiry).min()
    }

    /// Returns whether any request is queued.
    pub fn has_queue(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of queued requests of each rank.
    pub fn queued(&self) -> Vec<u32> {
        self.ranks.iter().map(|r| r.queue.len() as u32).collect()
    }

    /// Returns the number of requests in flight of each rank, except those at servers in probation.
    pub fn in_flight(&self) -> Vec<u32> {
        self.ranks.iter().map(|r| r.in_flight as u32).collect()
    }

    /// Returns the number of workspaces with queued requests, counted once in each rank.
    pub fn workspaces(&self) -> usize {
        self.ranks.iter().map(|r| r.queue.workspaces()).sum()
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_micros() as i64;
        if elapsed == 0 {
            return;
        }
        self.updated_at = now;
        let span = self.longest_service_time();
        for rank in &mut self.ranks {
            let limit = rank.credit_limit(self.slots, span);
            rank.advance(elapsed, self.slots, limit);
        }
    }

    fn longest_service_time(&self) -> Span {
        self.ranks.iter().map(|r| r.service_time).max().unwrap_or(Span::ZERO)
    }
}
