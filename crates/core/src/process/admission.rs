//! Admission control: ranks, guaranteed shares, fair queues.

use crate::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr},
    invariant,
    invariant::Invariant,
    process::balancer::Balancer,
    time::{Span, Timestamp},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use crate::process::balancer::{ServerMode, ServerSlots};

/// A new sample moves the mean service time of its rank by the difference divided by this number.
const SERVICE_TIME_SAMPLES: i64 = 16;

/// A server in probation gets a request of a more urgent rank once the ranks below have had no idempotent
/// request for this long. The leader lets one node send probation requests for 10 s, which is far longer.
const LOWER_RANK_WAIT: Span = Span::from_secs(2);

/// Identifies a request within one [`Admission`]. The caller must never reuse a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// A request that waits to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The identity of the request.
    pub ticket: AdmissionTicket,
    /// The rank. An undeclared one counts as the lowest.
    pub rank: RankIndex,
    /// The hash of the workspace's name, for fairness between workspaces.
    pub workspace: u64,
    /// The time after which the caller has no use for a response.
    pub deadline: Timestamp,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
}

/// What the node must do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to `server`.
    Dispatch {
        /// The request.
        ticket: AdmissionTicket,
        /// The backend server.
        server: ServerAddr,
    },
    /// Refuse the request. It has not been sent to any server.
    Refuse {
        /// The request.
        ticket: AdmissionTicket,
        /// The code for the caller.
        code: ResultCode,
    },
}

/// The queue limits of one service on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// The maximum number of queued requests per rank.
    pub rank_queue: usize,
    /// The maximum number of queued requests per workspace and rank.
    pub workspace_queue: usize,
    /// The service time assumed until the first request has finished.
    pub service_time: Span,
    /// The seed of the random choice of servers.
    pub seed: u64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            rank_queue: 4_096,
            workspace_queue: 256,
            service_time: Span::from_millis(20),
            seed: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    request: AdmissionRequest,
    sequence: u64,
    turn: u64,
    since: Timestamp,
    avoid: Option<ServerAddr>,
}

#[derive(Clone, Copy, Debug)]
struct DispatchedRequest {
    queued: QueuedRequest,
    server: ServerAddr,
    since: Timestamp,
    guaranteed: bool,
    is_probation: bool,
}

#[derive(Clone, Debug)]
struct WorkspaceQueue {
    turn: u64,
    queue: BTreeMap<u64, AdmissionTicket>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    /// The guaranteed share of the node's slots, in percent.
    share: i64,
    in_flight: i64,
    /// The requests in flight whose slots were taken under the guarantee.
    guaranteed: i64,
    /// The credit for fractions of guaranteed slots, see `advance`.
    credit: i64,
    service_time: Span,
    queued: usize,
    workspaces: HashMap<u64, WorkspaceQueue>,
    /// The next turn of each workspace that was served in this round and has an empty queue now.
    served: HashMap<u64, u64>,
    /// The entries of `served`, ordered by turn.
    served_turns: BTreeSet<(u64, u64)>,
    /// The workspaces with queued requests, ordered by turn.
    turns: BTreeSet<(u64, u64)>,
    /// The same workspaces, ordered by queue length.
    lengths: BTreeSet<(usize, u64)>,
    deadlines: BTreeSet<(Timestamp, AdmissionTicket)>,
}

impl Rank {
    /// Returns the rank's guaranteed slots, in hundredths of a slot.
    fn quota(&self, slots: i64) -> i64 {
        self.share * slots
    }

    /// Returns whether the guarantee entitles the rank to the next free slot.
    ///
    /// A rank below its whole guaranteed slots is entitled at once. The fraction of a slot that remains
    /// entitles it to one more slot while its credit is not negative.
    fn is_entitled(&self, slots: i64) -> bool {
        let (quota, used) = (self.quota(slots), 100 * self.in_flight);
        self.queued > 0 && (used + 100 <= quota || (self.credit >= 0 && used < quota))
    }

    /// Updates the credit, in hundredths of a slot times microseconds, after `elapsed` microseconds.
    ///
    /// Below its guarantee, a rank gains credit while it has queued requests, up to `limit`, or until a
    /// negative credit is back at zero. Only slots taken under the guarantee are charged, so a rank pays
    /// nothing for borrowed slots that no other rank wanted.
    fn advance(&mut self, elapsed: i64, slots: i64, limit: i64) {
        let (quota, used) = (self.quota(slots), 100 * self.in_flight);
        if used < quota {
            let cap = if self.queued > 0 { limit } else { 0 };
            if self.credit < cap {
                let gain = (quota - used).saturating_mul(elapsed);
                self.credit = self.credit.saturating_add(gain).min(cap);
            }
        } else {
            let excess = (100 * self.guaranteed - quota).max(0);
            self.credit = self.credit.saturating_sub(excess.saturating_mul(elapsed));
        }
        if self.queued == 0 {
            self.credit = self.credit.min(0);
        }
    }

    /// Returns the service time to expect when deadlines are checked.
    ///
    /// It is zero with nothing in flight: an estimate above every deadline would otherwise refuse all
    /// requests, and without new samples it would never be corrected.
    fn expected_time(&self) -> Span {
        if self.in_flight == 0 {
            Span::ZERO
        } else {
            self.service_time
        }
    }

    fn add(&mut self, waiting: &QueuedRequest, turn: u64) {
        let AdmissionRequest { ticket, workspace, deadline, .. } = waiting.request;
        let entry = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| WorkspaceQueue { turn, queue: BTreeMap::new() });
        self.turns.remove(&(entry.turn, workspace));
        self.lengths.remove(&(entry.queue.len(), workspace));
        entry.turn = entry.turn.min(turn);
        entry.queue.insert(waiting.sequence, ticket);
        self.turns.insert((entry.turn, workspace));
        self.lengths.insert((entry.queue.len(), workspace));
        self.deadlines.insert((deadline, ticket));
        self.queued += 1;
    }

    fn remove(&mut self, waiting: &QueuedRequest) {
        let AdmissionRequest { ticket, workspace, deadline, .. } = waiting.request;
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return };
        self.lengths.remove(&(entry.queue.len(), workspace));
        entry.queue.remove(&waiting.sequence);
        if entry.queue.is_empty() {
            self.turns.remove(&(entry.turn, workspace));
            if let Some(old) = self.served.insert(workspace, entry.turn) {
                self.served_turns.remove(&(old, workspace));
            }
            self.served_turns.insert((entry.turn, workspace));
            self.workspaces.remove(&workspace);
        } else {
            self.lengths.insert((entry.queue.len(), workspace));
        }
        self.deadlines.remove(&(deadline, ticket));
        self.queued -= 1;
    }

    /// Returns the turn of a workspace that joins the round. It comes before all others, unless it was already
    /// served in this round; then it keeps its next turn.
    ///
    /// A place at the end of the round would make it wait for every workspace with queued requests. If a round
    /// takes longer than the deadlines, its queue would expire each time and it would lose its place.
    fn first_turn(&mut self, workspace: u64, next: u64) -> u64 {
        if let Some(entry) = self.workspaces.get(&workspace) {
            return entry.turn;
        }
        let first = self.turns.first().map_or(next, |&(turn, _)| turn);
        while let Some(&(turn, other)) =
            self.served_turns.first().filter(|(turn, _)| *turn <= first)
        {
            self.served_turns.remove(&(turn, other));
            self.served.remove(&other);
        }
        // Regular turns are even, so this odd one sorts just before the first.
        let Some(turn) = self.served.remove(&workspace) else { return (first - 1) | 1 };
        self.served_turns.remove(&(turn, workspace));
        turn
    }

    /// Moves `workspace` to the end of the round and returns its previous turn.
    fn end_turn(&mut self, workspace: u64, next: u64) -> u64 {
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return next };
        let turn = std::mem::replace(&mut entry.turn, next);
        self.turns.remove(&(turn, workspace));
        self.turns.insert((next, workspace));
        turn
    }
}

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
        let rank = |&share: &u32| Rank {
            share: i64::from(share),
            service_time: options.service_time,
            ..Rank::default()
        };
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
        let turn = self.ranks[usize::from(request.rank.0)].first_turn(request.workspace, self.turn);
        self.enqueue(waiting, turn);
    }

    /// Removes a finished request. Returns whether the node has lost the slot in the meantime, in which case
    /// other nodes can use it from now on.
    pub fn release(&mut self, now: Timestamp, ticket: AdmissionTicket) -> bool {
        self.advance(now);
        let mut is_withdrawn = false;
        if let Some(dispatched) = self.remove_dispatched(ticket) {
            is_withdrawn = self.balancer.is_full(dispatched.server);
            let rank = &mut self.ranks[usize::from(dispatched.queued.request.rank.0)];
            let sample = now.since(dispatched.since).as_micros() as i64;
            let mean = rank.service_time.as_micros() as i64;
            rank.service_time =
                Span::from_micros((mean + (sample - mean) / SERVICE_TIME_SAMPLES) as u64);
        }
        is_withdrawn
    }

    /// Puts a request that its server shed back at its previous place in the queue.
    ///
    /// The queue limits do not apply, since the request was admitted before. The server that shed it is
    /// avoided while another one has a free slot.
    pub fn requeue(&mut self, now: Timestamp, ticket: AdmissionTicket) {
        self.advance(now);
        if let Some(dispatched) = self.remove_dispatched(ticket) {
            let turn = dispatched.queued.turn;
            self.enqueue(
                QueuedRequest { avoid: Some(dispatched.server), ..dispatched.queued },
                turn,
            );
        }
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
            let (deadline, _) = rank.deadlines.first()?;
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
        self.ranks.iter().map(|r| r.queued as u32).collect()
    }

    /// Returns the number of requests in flight of each rank, except those at servers in probation.
    pub fn in_flight(&self) -> Vec<u32> {
        self.ranks.iter().map(|r| r.in_flight as u32).collect()
    }

    /// Returns the number of workspaces with queued requests, counted once in each rank.
    pub fn workspaces(&self) -> usize {
        self.ranks.iter().map(|r| r.workspaces.len()).sum()
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_micros() as i64;
        if elapsed == 0 {
            return;
        }
        self.updated_at = now;
        let span = self.longest_service_time();
        for rank in &mut self.ranks {
            let limit = credit_limit(rank, self.slots, span);
            rank.advance(elapsed, self.slots, limit);
        }
    }

    fn longest_service_time(&self) -> Span {
        self.ranks.iter().map(|r| r.service_time).max().unwrap_or(Span::ZERO)
    }

    /// Ensures that there is room for `request`, evicting a request if necessary. Returns whether there is.
    fn make_room(&mut self, now: Timestamp, request: &AdmissionRequest) -> bool {
        let rank = &self.ranks[usize::from(request.rank.0)];
        let own = rank.workspaces.get(&request.workspace).map_or(0, |w| w.queue.len());
        let victim = if own >= self.options.workspace_queue {
            // A late workspace is served newest first, so its oldest request would miss its deadline anyway.
            if !self.is_late(now, rank, request.workspace) {
                return false;
            }
            request.workspace
        } else if rank.queued >= self.options.rank_queue {
            // The longest queue gives up a request, so a flood of one workspace cannot shut out the others.
            match rank.lengths.last() {
                Some(&(length, workspace)) if length > own + 1 => workspace,
                _ => return false,
            }
        } else {
            return true;
        };
        let late = self.is_late(now, rank, victim);
        let queue = rank.workspaces.get(&victim).map(|w| &w.queue);
        let evicted =
            queue.and_then(|q| if late { q.first_key_value() } else { q.last_key_value() });
        let Some(&ticket) = evicted.map(|(_, ticket)| ticket) else { return false };
        self.dequeue(ticket);
        self.actions.push(Action::Refuse { ticket, code: ResultCode::QueueFull });
        true
    }

    /// Returns whether the oldest request of a workspace has waited for more than half of its time to the
    /// deadline.
    fn is_late(&self, now: Timestamp, rank: &Rank, workspace: u64) -> bool {
        let oldest = rank.workspaces.get(&workspace).and_then(|w| w.queue.first_key_value());
        oldest
            .and_then(|(_, ticket)| self.waiting.get(ticket))
            .is_some_and(|w| now.since(w.since).times(2) > w.request.deadline.since(w.since))
    }

    fn enqueue(&mut self, waiting: QueuedRequest, turn: u64) {
        let index = usize::from(waiting.request.rank.0);
        self.ranks[index].add(&waiting, turn);
        if waiting.request.idempotent {
            let key = (waiting.request.rank, waiting.sequence);
            self.idempotent_queue.insert(key, waiting.request.ticket);
        }
        self.waiting.insert(waiting.request.ticket, waiting);
    }

    fn dequeue(&mut self, ticket: AdmissionTicket) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&ticket)?;
        self.ranks[usize::from(waiting.request.rank.0)].remove(&waiting);
        self.idempotent_queue.remove(&(waiting.request.rank, waiting.sequence));
        Some(waiting)
    }

    fn remove_dispatched(&mut self, ticket: AdmissionTicket) -> Option<DispatchedRequest> {
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
    fn expire(&mut self, now: Timestamp) {
        let code =
            if self.balancer.is_empty() { ResultCode::NoServer } else { ResultCode::DeadlineUnmet };
        for index in 0..self.ranks.len() {
            while let Some(&(deadline, ticket)) = self.ranks[index].deadlines.first() {
                if now + self.ranks[index].expected_time() <= deadline {
                    break;
                }
                self.dequeue(ticket);
                self.actions.push(Action::Refuse { ticket, code });
            }
        }
    }

    /// Sends one idempotent request of the lowest rank to each idle server in probation.
    ///
    /// A request of a more urgent rank is sent if the ranks below it have had no idempotent request for
    /// `LOWER_RANK_WAIT`. Otherwise a service whose lowest rank is idle would never get its server back. The
    /// newest request is chosen: it has the most time left, so a missed deadline says more about the server.
    fn dispatch_probation(&mut self, now: Timestamp) {
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
    fn next_rank(&self) -> Option<usize> {
        let span = self.longest_service_time();
        let at_limit =
            |r: &Rank| r.is_entitled(self.slots) && r.credit >= credit_limit(r, self.slots, span);
        let entitled = |r: &Rank| r.is_entitled(self.slots);
        let queued = |r: &Rank| r.queued > 0;
        let ranks = || self.ranks.iter();
        ranks()
            .position(at_limit)
            .or_else(|| ranks().position(entitled))
            .or_else(|| ranks().position(queued))
    }

    /// Returns the next request of a rank. Workspaces take turns, and a late one is served newest first.
    fn next_ticket(&self, now: Timestamp, rank: usize) -> Option<AdmissionTicket> {
        let rank = &self.ranks[rank];
        let &(_, workspace) = rank.turns.first()?;
        let queue = &rank.workspaces.get(&workspace)?.queue;
        let entry = if self.is_late(now, rank, workspace) {
            queue.last_key_value()
        } else {
            queue.first_key_value()
        };
        entry.map(|(_, &ticket)| ticket)
    }

    fn dispatch(
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
        let turn =
            if is_probation { self.turn } else { rank.end_turn(request.workspace, self.turn) };
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
    fn check_shares(&self, chosen: usize) {
        let lent = 100 * (self.ranks[chosen].in_flight) >= self.ranks[chosen].share * self.slots;
        for (index, rank) in self.ranks.iter().enumerate() {
            let owed = rank.queued > 0 && 100 * (rank.in_flight + 1) <= rank.share * self.slots;
            invariant!(
                Invariant::GuaranteedShare,
                index == chosen || !lent || !owed,
                "rank {chosen} borrows a slot that rank {index} is guaranteed and waits for"
            );
        }
    }
}

/// Returns the maximum credit of a waiting rank.
///
/// Lent slots come back within about the longest service time. Credit for twice the rank's guarantee over
/// that time is therefore enough to repay the wait, and it keeps the following burst short.
fn credit_limit(rank: &Rank, slots: i64, span: Span) -> i64 {
    (rank.quota(slots) + 100).saturating_mul(2 * span.as_micros() as i64)
}
