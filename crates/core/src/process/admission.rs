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

pub use crate::process::balancer::{ServerSlots, ServerState};

/// The weight of one sample in the running mean of a rank's service time is one in this many.
const USUAL_SAMPLES: i64 = 16;

/// How long the lower ranks must have offered no idempotent request before a more urgent one is sent to a
/// server in probation. It is far below the time for which a node is named for the trickle (10 s).
const TRIAL_WAIT: Span = Span::from_secs(2);

/// `AdmissionTicket` names one request within an `Admission`; the caller never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(pub u64);

/// `AdmissionRequest` is a request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub ticket: AdmissionTicket,
    /// Its rank; one that is not declared counts as the lowest.
    pub rank: RankIndex,
    /// The hash of its workspace.
    pub workspace: u64,
    /// When its answer is worthless.
    pub deadline: Timestamp,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
}

/// `Action` is what the node must do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to `server`.
    Dispatch {
        /// The request.
        ticket: AdmissionTicket,
        /// The backend server.
        server: ServerAddr,
    },
    /// Refuse the request, which was never sent.
    Refuse {
        /// The request.
        ticket: AdmissionTicket,
        /// Why.
        code: ResultCode,
    },
}

/// `AdmissionOptions` bounds the queues of one service on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// The most requests queued in one rank.
    pub rank_queue: usize,
    /// The most requests queued for one workspace in one rank.
    pub workspace_queue: usize,
    /// The service time that is assumed before any was measured.
    pub usual: Span,
    /// The seed of the server choice.
    pub seed: u64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            rank_queue: 4_096,
            workspace_queue: 256,
            usual: Span::from_millis(20),
            seed: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: AdmissionRequest,
    sequence: u64,
    turn: u64,
    since: Timestamp,
    avoid: Option<ServerAddr>,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    waiting: Waiting,
    server: ServerAddr,
    since: Timestamp,
    guaranteed: bool,
    trial: bool,
}

#[derive(Clone, Debug)]
struct Workspace {
    turn: u64,
    queue: BTreeMap<u64, AdmissionTicket>,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    share: i64,
    in_flight: i64,
    guaranteed: i64,
    credit: i64,
    usual: Span,
    queued: usize,
    workspaces: HashMap<u64, Workspace>,
    /// The next turns of workspaces that were served in this round and have nothing queued now.
    served: HashMap<u64, u64>,
    /// The same, by turn.
    served_turns: BTreeSet<(u64, u64)>,
    turns: BTreeSet<(u64, u64)>,
    lengths: BTreeSet<(usize, u64)>,
    deadlines: BTreeSet<(Timestamp, AdmissionTicket)>,
}

impl Rank {
    /// Returns the slots that the rank is guaranteed, in hundredths.
    fn due(&self, slots: i64) -> i64 {
        self.share * slots
    }

    /// Returns whether the next free slot belongs to the rank by its guarantee.
    ///
    /// Whole guaranteed slots are due at once. A fraction is due when the credit allows one more.
    fn is_entitled(&self, slots: i64) -> bool {
        let (due, used) = (self.due(slots), 100 * self.in_flight);
        self.queued > 0 && (used + 100 <= due || (self.credit >= 0 && used < due))
    }

    /// Moves the credit, in hundredths of a slot times microseconds, forward by `elapsed`.
    ///
    /// Credit grows only while the rank waits for less than it is due, or pays back what it overdrew.
    /// Only slots that were given by guarantee are charged: a rank is not punished for having used
    /// slots that nobody else wanted.
    fn advance(&mut self, elapsed: i64, slots: i64, limit: i64) {
        let (due, used) = (self.due(slots), 100 * self.in_flight);
        if used < due {
            let cap = if self.queued > 0 { limit } else { 0 };
            if self.credit < cap {
                let gain = (due - used).saturating_mul(elapsed);
                self.credit = self.credit.saturating_add(gain).min(cap);
            }
        } else {
            let excess = (100 * self.guaranteed - due).max(0);
            self.credit = self.credit.saturating_sub(excess.saturating_mul(elapsed));
        }
        if self.queued == 0 {
            self.credit = self.credit.min(0);
        }
    }

    /// Returns the service time to allow for.
    ///
    /// With nothing in flight it is zero: an estimate above every deadline would otherwise refuse
    /// all requests and never be corrected.
    fn allowance(&self) -> Span {
        if self.in_flight == 0 {
            Span::ZERO
        } else {
            self.usual
        }
    }

    fn add(&mut self, waiting: &Waiting, turn: u64) {
        let AdmissionRequest { ticket, workspace, deadline, .. } = waiting.request;
        let entry = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| Workspace { turn, queue: BTreeMap::new() });
        self.turns.remove(&(entry.turn, workspace));
        self.lengths.remove(&(entry.queue.len(), workspace));
        entry.turn = entry.turn.min(turn);
        entry.queue.insert(waiting.sequence, ticket);
        self.turns.insert((entry.turn, workspace));
        self.lengths.insert((entry.queue.len(), workspace));
        self.deadlines.insert((deadline, ticket));
        self.queued += 1;
    }

    fn remove(&mut self, waiting: &Waiting) {
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

    /// Returns the turn of a workspace that joins the round: before all others, unless it was served in this
    /// round and keeps the turn that it then got.
    ///
    /// At the end of the round it would wait for every workspace that has queued requests, and lose its
    /// place each time its own queue expires when a round takes longer than the deadlines.
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
        // Turns are even, so that an odd one stands before the first and after none.
        let Some(turn) = self.served.remove(&workspace) else { return (first - 1) | 1 };
        self.served_turns.remove(&(turn, workspace));
        turn
    }

    /// Moves `workspace` to the end of the round and returns the turn that it had.
    fn end_turn(&mut self, workspace: u64, next: u64) -> u64 {
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return next };
        let turn = std::mem::replace(&mut entry.turn, next);
        self.turns.remove(&(turn, workspace));
        self.turns.insert((next, workspace));
        turn
    }
}

/// `Admission` decides when requests of one service are sent from one node, and where to.
///
/// Guaranteed shares, urgency and fairness are described in `docs/admission.md`. Each call costs at
/// most a logarithm of the queue length for each request that it moves.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    ranks: Vec<Rank>,
    waiting: HashMap<AdmissionTicket, Waiting>,
    in_flight: HashMap<AdmissionTicket, InFlight>,
    /// The idempotent requests that are queued, by rank and sequence.
    trials: BTreeMap<(RankIndex, u64), AdmissionTicket>,
    /// When each rank last offered an idempotent request.
    offered: Vec<Timestamp>,
    /// Since when there is a server in probation.
    probation: Option<Timestamp>,
    balancer: Balancer,
    slots: i64,
    sequence: u64,
    turn: u64,
    last: Timestamp,
    actions: Vec<Action>,
}

impl Admission {
    /// Returns an admission without servers; `ranks` holds the guaranteed shares in percent.
    ///
    /// The shares add up to at most 100 and the most urgent rank comes first, as
    /// `Spec::faults` checks.
    pub fn new(options: AdmissionOptions, ranks: &[u32]) -> Self {
        let rank = |&share: &u32| Rank {
            share: i64::from(share),
            usual: options.usual,
            ..Rank::default()
        };
        Admission {
            options,
            ranks: ranks.iter().map(rank).collect(),
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
            trials: BTreeMap::new(),
            offered: vec![Timestamp::ZERO; ranks.len()],
            probation: None,
            balancer: Balancer::new(options.seed),
            slots: 0,
            sequence: 0,
            turn: 0,
            last: Timestamp::ZERO,
            actions: Vec::new(),
        }
    }

    /// Queues a request; `poll` answers it. A ticket that is already known is ignored.
    pub fn submit(&mut self, now: Timestamp, request: AdmissionRequest) {
        self.advance(now);
        let ticket = request.ticket;
        if self.waiting.contains_key(&ticket) || self.in_flight.contains_key(&ticket) {
            return;
        }
        let mut request = request;
        request.rank.0 = request.rank.0.min(self.ranks.len() as u8 - 1);
        if request.idempotent {
            self.offered[usize::from(request.rank.0)] = now;
        }
        let rank = &self.ranks[usize::from(request.rank.0)];
        if now + rank.allowance() > request.deadline {
            self.actions.push(Action::Refuse { ticket, code: ResultCode::DeadlineUnmet });
            return;
        }
        if !self.make_room(now, &request) {
            self.actions.push(Action::Refuse { ticket, code: ResultCode::QueueFull });
            return;
        }
        self.sequence += 1;
        self.turn += 2;
        let waiting =
            Waiting { request, sequence: self.sequence, turn: self.turn, since: now, avoid: None };
        let turn = self.ranks[usize::from(request.rank.0)].first_turn(request.workspace, self.turn);
        self.enqueue(waiting, turn);
    }

    /// Ends a request that was dispatched; returns whether its slot had been withdrawn in the meantime, so
    /// that it is free for other nodes now.
    pub fn release(&mut self, now: Timestamp, ticket: AdmissionTicket) -> bool {
        self.advance(now);
        let mut is_withdrawn = false;
        if let Some(flight) = self.land(ticket) {
            is_withdrawn = self.balancer.is_full(flight.server);
            let rank = &mut self.ranks[usize::from(flight.waiting.request.rank.0)];
            let sample = now.since(flight.since).as_micros() as i64;
            let usual = rank.usual.as_micros() as i64;
            rank.usual = Span::from_micros((usual + (sample - usual) / USUAL_SAMPLES) as u64);
        }
        is_withdrawn
    }

    /// Queues a dispatched request again that its server shed, at the place that it had.
    ///
    /// Queue bounds do not apply, since the request was admitted before. The server that shed it is
    /// avoided while another one has a free slot.
    pub fn requeue(&mut self, now: Timestamp, ticket: AdmissionTicket) {
        self.advance(now);
        if let Some(flight) = self.land(ticket) {
            let turn = flight.waiting.turn;
            self.enqueue(Waiting { avoid: Some(flight.server), ..flight.waiting }, turn);
        }
    }

    /// Removes a queued request whose caller is gone; returns whether it was queued.
    ///
    /// A request in flight stays counted until `release`.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        self.dequeue(ticket).is_some()
    }

    /// Replaces the slots that the node may use.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[ServerSlots]) {
        self.advance(now);
        self.balancer.set_servers(servers);
        let probation = servers.iter().any(|s| s.state == ServerState::Probation);
        self.probation = probation.then(|| self.probation.unwrap_or(now));
        self.slots = i64::from(self.balancer.total());
    }

    /// Replaces the guaranteed shares of the ranks, in percent; they add up to at most 100.
    pub fn set_shares(&mut self, now: Timestamp, shares: &[u32]) {
        self.advance(now);
        for (rank, &share) in self.ranks.iter_mut().zip(shares) {
            rank.share = i64::from(share);
        }
    }

    /// Returns what to do now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        self.advance(now);
        self.expire(now);
        self.dispatch_trials(now);
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

    /// Returns when `poll` must be called next if nothing else happens.
    ///
    /// Slots are handed out whenever one is free, so only deadlines depend on time alone.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.actions.is_empty() {
            return Some(now);
        }
        let due = |rank: &Rank| {
            let (deadline, _) = rank.deadlines.first()?;
            let latest = deadline.as_micros().saturating_sub(rank.allowance().as_micros());
            Some(Timestamp::from_micros(latest + 1).max(now))
        };
        self.ranks.iter().filter_map(due).min()
    }

    /// Returns whether any request is queued.
    pub fn has_queue(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the requests queued in each rank.
    pub fn queued(&self) -> Vec<u32> {
        self.ranks.iter().map(|r| r.queued as u32).collect()
    }

    /// Returns the requests in flight in each rank, without the trickle to servers in probation.
    pub fn in_flight(&self) -> Vec<u32> {
        self.ranks.iter().map(|r| r.in_flight as u32).collect()
    }

    /// Returns how many workspaces have queued requests.
    pub fn workspaces(&self) -> usize {
        self.ranks.iter().map(|r| r.workspaces.len()).sum()
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.last).as_micros() as i64;
        if elapsed == 0 {
            return;
        }
        self.last = now;
        let span = self.longest_usual();
        for rank in &mut self.ranks {
            let limit = credit_limit(rank, self.slots, span);
            rank.advance(elapsed, self.slots, limit);
        }
    }

    fn longest_usual(&self) -> Span {
        self.ranks.iter().map(|r| r.usual).max().unwrap_or(Span::ZERO)
    }

    /// Frees a place for `request`, if need be from the longest queue; returns whether there is one.
    fn make_room(&mut self, now: Timestamp, request: &AdmissionRequest) -> bool {
        let rank = &self.ranks[usize::from(request.rank.0)];
        let own = rank.workspaces.get(&request.workspace).map_or(0, |w| w.queue.len());
        let victim = if own >= self.options.workspace_queue {
            // Newest first: the oldest would be served last and miss its deadline.
            if !self.is_late(now, rank, request.workspace) {
                return false;
            }
            request.workspace
        } else if rank.queued >= self.options.rank_queue {
            // The longest queue pays, so that a flood cannot shut other workspaces out.
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

    /// Returns whether the oldest request of a workspace has waited for over half of its time.
    fn is_late(&self, now: Timestamp, rank: &Rank, workspace: u64) -> bool {
        let oldest = rank.workspaces.get(&workspace).and_then(|w| w.queue.first_key_value());
        oldest
            .and_then(|(_, ticket)| self.waiting.get(ticket))
            .is_some_and(|w| now.since(w.since).times(2) > w.request.deadline.since(w.since))
    }

    fn enqueue(&mut self, waiting: Waiting, turn: u64) {
        let index = usize::from(waiting.request.rank.0);
        self.ranks[index].add(&waiting, turn);
        if waiting.request.idempotent {
            let key = (waiting.request.rank, waiting.sequence);
            self.trials.insert(key, waiting.request.ticket);
        }
        self.waiting.insert(waiting.request.ticket, waiting);
    }

    fn dequeue(&mut self, ticket: AdmissionTicket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.ranks[usize::from(waiting.request.rank.0)].remove(&waiting);
        self.trials.remove(&(waiting.request.rank, waiting.sequence));
        Some(waiting)
    }

    fn land(&mut self, ticket: AdmissionTicket) -> Option<InFlight> {
        let flight = self.in_flight.remove(&ticket)?;
        self.balancer.release(flight.server);
        if !flight.trial {
            let rank = &mut self.ranks[usize::from(flight.waiting.request.rank.0)];
            rank.in_flight -= 1;
            rank.guaranteed -= i64::from(flight.guaranteed);
        }
        Some(flight)
    }

    /// Refuses the queued requests that can no longer be answered in time.
    fn expire(&mut self, now: Timestamp) {
        let code =
            if self.balancer.is_empty() { ResultCode::NoServer } else { ResultCode::DeadlineUnmet };
        for index in 0..self.ranks.len() {
            while let Some(&(deadline, ticket)) = self.ranks[index].deadlines.first() {
                if now + self.ranks[index].allowance() <= deadline {
                    break;
                }
                self.dequeue(ticket);
                self.actions.push(Action::Refuse { ticket, code });
            }
        }
    }

    /// Sends one idempotent request of the lowest rank to each idle server in probation.
    ///
    /// A more urgent rank takes its place while no rank below it has offered an idempotent request for
    /// `TRIAL_WAIT`. Without this, a service whose lowest rank is idle would never get its server back.
    /// The newest one goes: it has the most time left, so that a miss says more about the server.
    fn dispatch_trials(&mut self, now: Timestamp) {
        while let Some(server) = self.balancer.pick_probation() {
            let Some((&(rank, _), &ticket)) = self.trials.last_key_value() else { break };
            let since = self.probation.unwrap_or(now);
            let mut lower = self.offered.iter().skip(usize::from(rank.0) + 1);
            if lower.any(|at| now.since(since.max(*at)) < TRIAL_WAIT) {
                break;
            }
            self.dispatch(now, ticket, server, true);
        }
    }

    /// Returns the rank that gets the next free slot.
    fn next_rank(&self) -> Option<usize> {
        let span = self.longest_usual();
        let overdue =
            |r: &Rank| r.is_entitled(self.slots) && r.credit >= credit_limit(r, self.slots, span);
        let entitled = |r: &Rank| r.is_entitled(self.slots);
        let queued = |r: &Rank| r.queued > 0;
        let ranks = || self.ranks.iter();
        ranks()
            .position(overdue)
            .or_else(|| ranks().position(entitled))
            .or_else(|| ranks().position(queued))
    }

    /// Returns the next request of a rank: fair between workspaces, newest first when late.
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
        trial: bool,
    ) {
        let Some(request) = self.waiting.get(&ticket).map(|w| w.request) else { return };
        let rank = &mut self.ranks[usize::from(request.rank.0)];
        let guaranteed = !trial && rank.is_entitled(self.slots);
        self.turn += 2;
        // A trial takes no turn: it uses none of the rank's slots.
        let turn = if trial { self.turn } else { rank.end_turn(request.workspace, self.turn) };
        if !trial {
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
        let waiting = Waiting { turn, ..waiting };
        let flight = InFlight { waiting, server, since: now, guaranteed, trial };
        self.in_flight.insert(ticket, flight);
        self.actions.push(Action::Dispatch { ticket, server });
    }

    /// Checks that no whole guaranteed slot of a waiting rank goes to `chosen` as a loan.
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

/// Returns the most credit that a rank may gather while it waits.
///
/// A rank waits at most about the longest service time for slots that are lent, so credit for twice
/// its due over that time loses nothing and keeps the burst that follows short.
fn credit_limit(rank: &Rank, slots: i64, span: Span) -> i64 {
    (rank.due(slots) + 100).saturating_mul(2 * span.as_micros() as i64)
}
