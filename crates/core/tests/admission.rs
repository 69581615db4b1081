//! Admission control of one node: ranks, workspaces, deadlines, full queues and servers in probation.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::{RankIndex, ServerAddr},
    process::admission::{
        Action, Admission, AdmissionOptions, AdmissionRequest, AdmissionTicket, ServerMode,
        ServerSlots,
    },
    time::Timestamp,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::atomic::{AtomicU64, Ordering},
};

fn server(i: u8) -> ServerAddr {
    ServerAddr(([127, 0, 1, i], 9000).into())
}

fn serving(i: u8, slots: u32) -> ServerSlots {
    ServerSlots { server: server(i), slots, weight: 1000, mode: ServerMode::Serving }
}

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn request(ticket: u64, rank: u8, workspace: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        ticket: AdmissionTicket(ticket),
        rank: RankIndex(rank),
        workspace,
        deadline: ms(deadline),
        idempotent: true,
    }
}

fn admission(slots: u32, shares: &[u32]) -> Admission {
    let mut admission = Admission::new(AdmissionOptions::default(), shares);
    admission.set_servers(Timestamp::ZERO, &[serving(1, slots)]);
    admission
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    let ticket = |a: &Action| match a {
        Action::Dispatch { ticket, .. } => Some(ticket.0),
        Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(ticket).collect()
}

fn refused(actions: &[Action]) -> Vec<(u64, ResultCode)> {
    let refusal = |a: &Action| match a {
        Action::Refuse { ticket, code } => Some((ticket.0, *code)),
        Action::Dispatch { .. } => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against an urgent request that waits behind a queue of lower ranks.
#[test]
fn urgent_request_gets_the_next_free_slot() {
    let mut a = admission(6, &[50, 30, 20]);
    for i in 0..406 {
        a.submit(ms(0), request(i, 2, i % 20, 60_000));
    }
    assert_eq!(dispatched(&a.poll(ms(0))).len(), 6);
    a.submit(ms(1), request(1000, 0, 1, 500));
    assert_eq!(dispatched(&a.poll(ms(1))), Vec::<u64>::new());
    a.release(ms(20), AdmissionTicket(0));
    assert_eq!(dispatched(&a.poll(ms(20))), vec![1000]);
}

/// Guards against idle slots while a rank that has used up its share has queued requests.
#[test]
fn idle_share_is_lent_to_a_waiting_rank() {
    let mut a = admission(6, &[50, 30, 20]);
    for i in 0..10 {
        a.submit(ms(0), request(i, 2, 1, 60_000));
    }
    assert_eq!(dispatched(&a.poll(ms(0))).len(), 6);
}

/// Runs ranks that always have queued requests for 100 s and returns the slot-milliseconds of each.
fn run_saturated(slots: u32, shares: &[u32], service: &[u64]) -> Vec<u64> {
    let mut a = admission(slots, shares);
    let (mut ticket, mut used) = (0, vec![0; shares.len()]);
    let mut ranks: HashMap<u64, usize> = HashMap::new();
    let mut ends: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for now in 0..100_000 {
        while ends.first_key_value().is_some_and(|(&(end, _), _)| end <= now) {
            let ((_, ended), _) = ends.pop_first().expect("an end is due");
            a.release(ms(now), AdmissionTicket(ended));
        }
        for (rank, &queued) in a.queued().iter().enumerate() {
            for _ in queued..8 {
                ticket += 1;
                ranks.insert(ticket, rank);
                a.submit(ms(now), request(ticket, rank as u8, ticket % 3, 10_000_000));
            }
        }
        for t in dispatched(&a.poll(ms(now))) {
            ends.insert((now + service[ranks[&t]], t), ranks[&t]);
        }
        for &rank in ends.values() {
            used[rank] += 1;
        }
    }
    used
}

/// Guards against a small share that rounds to nothing on a node with few slots.
#[test]
fn fractional_shares_are_met_over_time() {
    for slots in [1, 2, 3, 4, 5, 6] {
        for (shares, service) in [
            ([60, 30, 10], [20, 20, 20]),
            ([10, 10, 10], [20, 50, 200]),
            ([50, 30, 20], [200, 20, 50]),
        ] {
            let used = run_saturated(slots, &shares, &service);
            for (rank, &share) in shares.iter().enumerate() {
                let due = u64::from(share * slots) * 1000;
                // Allows for requests still in flight or due at the end, and for the first round.
                let slack = 20 * service.iter().max().expect("three ranks");
                assert!(
                    used[rank] + slack >= due,
                    "{slots} slots, shares {shares:?}, service {service:?}: rank {rank} got {} of {due}",
                    used[rank]
                );
            }
        }
    }
}

/// Guards against unassigned slots that go to a lower rank while the urgent rank has queued requests.
#[test]
fn unassigned_slots_go_to_the_urgent_rank() {
    let used = run_saturated(6, &[10, 10, 10], &[20, 20, 20]);
    // Ranks 1 and 2 get 10% each and rank 0 the rest.
    assert!(used[0] >= 6 * 100_000 * 79 / 100, "rank 0 got {}", used[0]);
}

/// Guards against a workspace that takes a rank's whole capacity by sending more requests.
#[test]
fn workspaces_of_a_rank_are_served_in_turn() {
    let mut a = admission(1, &[100]);
    for i in 0..50 {
        a.submit(ms(0), request(i, 0, 1, 60_000));
    }
    a.submit(ms(0), request(100, 0, 2, 60_000));
    a.submit(ms(0), request(101, 0, 2, 60_000));
    let mut order = Vec::new();
    for now in 0..5 {
        let sent = dispatched(&a.poll(ms(now)));
        a.release(ms(now), AdmissionTicket(sent[0]));
        order.extend(sent);
    }
    assert_eq!(order, vec![0, 100, 1, 101, 2]);
}

/// Guards against a workspace with few requests that waits behind a flooding one, and against a workspace that
/// goes first each time it returns.
#[test]
fn joining_workspace_goes_first_once_a_round() {
    let mut a = admission(1, &[100]);
    for i in 0..10 {
        a.submit(ms(0), request(i, 0, 1 + i % 2, 60_000));
    }
    let mut order = dispatched(&a.poll(ms(0)));
    for i in 1..7 {
        // The third workspace joins after the first two were served once.
        if i >= 2 {
            a.submit(ms(i), request(100 + i, 0, 9, 60_000));
        }
        a.release(ms(i), AdmissionTicket(order[order.len() - 1]));
        order.extend(dispatched(&a.poll(ms(i))));
    }
    assert_eq!(order, vec![0, 1, 102, 2, 3, 103, 4]);
}

/// Guards against dispatching requests whose response would come after their deadline.
#[test]
fn request_that_cannot_meet_its_deadline_is_refused() {
    let mut a = admission(1, &[100]);
    a.submit(ms(0), request(1, 0, 1, 1000));
    a.submit(ms(0), request(2, 0, 1, 100));
    assert_eq!(dispatched(&a.poll(ms(0))), vec![1]);
    assert_eq!(a.next_wake(ms(0)), Some(Timestamp::from_micros(80_001)));
    assert_eq!(a.poll(ms(80)), vec![]);
    // The default options assume a service time of 20 ms.
    assert_eq!(refused(&a.poll(ms(81))), vec![(2, ResultCode::DeadlineUnmet)]);
    a.submit(ms(81), request(3, 0, 1, 100));
    assert_eq!(refused(&a.poll(ms(81))), vec![(3, ResultCode::DeadlineUnmet)]);
}

/// Guards against a service time estimate that exceeds every deadline and so never gets a new sample.
#[test]
fn high_service_time_estimate_does_not_refuse_for_ever() {
    let mut a = admission(1, &[100]);
    let mut now = 0;
    for i in 0..100 {
        a.submit(ms(now), request(i, 0, 1, now + 10_000));
        a.poll(ms(now));
        now += 5_000;
        a.release(ms(now), AdmissionTicket(i));
    }
    a.submit(ms(now), request(1000, 0, 1, now + 100));
    assert_eq!(dispatched(&a.poll(ms(now))), vec![1000]);
}

/// Guards against serving the oldest request first when all queued requests are close to their deadlines.
#[test]
fn queue_close_to_its_deadlines_is_served_newest_first() {
    let mut a = admission(1, &[100]);
    for i in 0..4 {
        a.submit(ms(i), request(i, 0, 1, 1_000));
    }
    assert_eq!(dispatched(&a.poll(ms(4))), vec![0]);
    a.release(ms(400), AdmissionTicket(0));
    assert_eq!(dispatched(&a.poll(ms(400))), vec![1]);
    a.release(ms(600), AdmissionTicket(1));
    assert_eq!(dispatched(&a.poll(ms(600))), vec![3]);
}

/// Guards against a shed request that is queued behind later ones.
#[test]
fn shed_request_keeps_its_place() {
    let mut a = admission(1, &[100]);
    for (ticket, workspace) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
        a.submit(ms(0), request(ticket, 0, workspace, 60_000));
    }
    assert_eq!(dispatched(&a.poll(ms(0))), vec![1]);
    a.requeue(ms(1), AdmissionTicket(1));
    assert_eq!(dispatched(&a.poll(ms(1))), vec![1]);
    a.release(ms(2), AdmissionTicket(1));
    assert_eq!(dispatched(&a.poll(ms(2))), vec![3]);
}

/// Guards against unbounded queues, and against a flooding workspace that keeps others out of a full queue.
#[test]
fn full_queue_drops_from_the_workspace_with_most_queued() {
    let options = AdmissionOptions { rank_queue: 10, workspace_queue: 8, ..Default::default() };
    let mut a = Admission::new(options, &[100]);
    for i in 0..12 {
        a.submit(ms(0), request(i, 0, 1, 60_000));
    }
    let full = ResultCode::QueueFull;
    assert_eq!(refused(&a.poll(ms(0))), (8..12).map(|i| (i, full)).collect::<Vec<_>>());
    for i in 20..23 {
        a.submit(ms(1), request(i, 0, i, 60_000));
    }
    assert_eq!(refused(&a.poll(ms(1))), vec![(7, full)]);
    assert_eq!(a.queued(), vec![10]);
}

/// Guards against state that is kept for workspaces without queued requests.
#[test]
fn workspace_state_is_dropped_with_its_last_queued_request() {
    let mut a = admission(4, &[100]);
    for i in 0..1_000 {
        a.submit(ms(0), request(i, 0, i, 1_000));
    }
    assert_eq!(a.workspaces(), 1_000);
    a.poll(ms(0));
    assert_eq!(a.workspaces(), 996);
    assert!(a.cancel(AdmissionTicket(500)));
    assert!(!a.cancel(AdmissionTicket(500)));
    assert_eq!(a.workspaces(), 995);
    assert_eq!(refused(&a.poll(ms(2_000))).len(), 995);
    assert_eq!(a.workspaces(), 0);
}

/// Guards against sending a server in probation urgent or non-idempotent requests, or several at once.
#[test]
fn server_in_probation_gets_single_idempotent_requests_of_the_lowest_rank() {
    let mut a = Admission::new(AdmissionOptions::default(), &[50, 50]);
    let probation = ServerSlots { mode: ServerMode::Probation, ..serving(1, 6) };
    a.set_servers(ms(0), &[probation]);
    a.submit(ms(0), request(1, 0, 1, 60_000));
    a.submit(ms(0), AdmissionRequest { idempotent: false, ..request(2, 1, 1, 60_000) });
    assert_eq!(a.poll(ms(0)), vec![]);
    a.submit(ms(0), request(3, 1, 1, 60_000));
    a.submit(ms(0), request(4, 1, 1, 60_000));
    let sent = a.poll(ms(0));
    assert_eq!(sent, vec![Action::Dispatch { ticket: AdmissionTicket(4), server: server(1) }]);
    a.release(ms(1), AdmissionTicket(4));
    assert_eq!(dispatched(&a.poll(ms(1))), vec![3]);
}

/// Guards against a server that stays in probation for ever because the lowest rank has no requests. The process
/// test of gray servers, whose callers use two of three ranks, found this.
#[test]
fn server_in_probation_gets_urgent_requests_when_lower_ranks_are_idle() {
    let mut a = Admission::new(AdmissionOptions::default(), &[50, 50]);
    let probation = ServerSlots { mode: ServerMode::Probation, ..serving(1, 6) };
    a.set_servers(ms(0), &[probation]);
    a.submit(ms(500), request(1, 1, 1, 60_000));
    assert_eq!(dispatched(&a.poll(ms(500))), vec![1]);
    a.release(ms(510), AdmissionTicket(1));
    a.submit(ms(600), request(2, 0, 1, 60_000));
    a.submit(ms(600), AdmissionRequest { idempotent: false, ..request(3, 0, 1, 60_000) });
    assert_eq!(a.poll(ms(2_499)), vec![]);
    assert_eq!(dispatched(&a.poll(ms(2_500))), vec![2]);
    a.release(ms(2_510), AdmissionTicket(2));
    assert_eq!(a.poll(ms(9_000)), vec![]);
}

/// Guards against dispatching above a lease that shrank while requests were in flight.
#[test]
fn slots_above_a_shrunk_lease_are_not_refilled() {
    let mut a = admission(3, &[100]);
    for i in 0..6 {
        a.submit(ms(0), request(i, 0, 1, 60_000));
    }
    assert_eq!(dispatched(&a.poll(ms(0))), vec![0, 1, 2]);
    a.set_servers(ms(1), &[serving(1, 1)]);
    for i in 0..2 {
        a.release(ms(2), AdmissionTicket(i));
        assert_eq!(a.poll(ms(2)), vec![]);
    }
    a.release(ms(3), AdmissionTicket(2));
    assert_eq!(dispatched(&a.poll(ms(3))), vec![3]);
}

/// Guards against a misleading result code when a service has no server.
#[test]
fn request_without_any_server_is_refused_as_no_server() {
    let mut a = Admission::new(AdmissionOptions::default(), &[100]);
    a.submit(ms(0), request(1, 0, 1, 100));
    assert_eq!(refused(&a.poll(ms(101))), vec![(1, ResultCode::NoServer)]);
}

/// One random event of a run.
#[derive(Clone, Debug)]
enum Step {
    Submit { rank: u8, workspace: u64, deadline: u64, idempotent: bool },
    Release(usize),
    Requeue(usize),
    Cancel(usize),
    Servers(Vec<(u8, u32, u32, u8)>),
    Shares(u32, u32, u32),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, n: u64| u64::arbitrary(g) % n;
        match below(g, 24) {
            0..=8 => Step::Submit {
                rank: below(g, 4) as u8,
                workspace: below(g, 12),
                deadline: below(g, 400),
                idempotent: bool::arbitrary(g),
            },
            9..=15 => Step::Release(usize::arbitrary(g)),
            16 => Step::Requeue(usize::arbitrary(g)),
            17 => Step::Cancel(usize::arbitrary(g)),
            18 => {
                let server = |g: &mut Gen| {
                    let weight = [50, 300, 1000, 1000][below(g, 4) as usize];
                    (below(g, 5) as u8, below(g, 7) as u32, weight, below(g, 6) as u8)
                };
                Step::Servers((0..below(g, 5)).map(|_| server(g)).collect())
            }
            19 => Step::Shares(below(g, 41) as u32, below(g, 31) as u32, below(g, 30) as u32),
            _ => Step::Wait(below(g, 30)),
        }
    }
}

/// State of a request as the model expects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Queued,
    InFlight { server: ServerAddr, probation: bool },
    Ended,
}

/// Drives an `Admission` with random steps and checks its actions.
struct Model {
    admission: Admission,
    now: u64,
    ticket: u64,
    requests: HashMap<u64, AdmissionRequest>,
    states: BTreeMap<u64, State>,
    servers: HashMap<ServerAddr, ServerSlots>,
    shares: [u32; 3],
}

impl Model {
    fn new() -> Self {
        let options = AdmissionOptions { rank_queue: 20, workspace_queue: 5, ..Default::default() };
        Model {
            admission: Admission::new(options, &[50, 30, 20]),
            now: 0,
            ticket: 0,
            requests: HashMap::new(),
            states: BTreeMap::new(),
            servers: HashMap::new(),
            shares: [50, 30, 20],
        }
    }

    fn nth(&self, n: usize, wanted: impl Fn(&State) -> bool) -> Option<u64> {
        let found: Vec<u64> =
            self.states.iter().filter(|(_, s)| wanted(s)).map(|(&t, _)| t).collect();
        (!found.is_empty()).then(|| found[n % found.len()])
    }

    fn step(&mut self, step: &Step) {
        let now = ms(self.now);
        let in_flight = |s: &State| matches!(s, State::InFlight { .. });
        match step {
            &Step::Submit { rank, workspace, deadline, idempotent } => {
                self.ticket += 1;
                let request = AdmissionRequest {
                    idempotent,
                    ..request(self.ticket, rank, workspace, self.now + deadline)
                };
                self.requests.insert(self.ticket, request);
                self.states.insert(self.ticket, State::Queued);
                self.admission.submit(now, request);
            }
            &Step::Release(n) => {
                if let Some(t) = self.nth(n, in_flight) {
                    self.states.insert(t, State::Ended);
                    self.admission.release(now, AdmissionTicket(t));
                }
            }
            &Step::Requeue(n) => {
                if let Some(t) = self.nth(n, in_flight) {
                    self.states.insert(t, State::Queued);
                    self.admission.requeue(now, AdmissionTicket(t));
                }
            }
            &Step::Cancel(n) => {
                if let Some(t) = self.nth(n, |s| *s == State::Queued) {
                    if self.admission.cancel(AdmissionTicket(t)) {
                        self.states.insert(t, State::Ended);
                    }
                }
            }
            Step::Servers(list) => {
                let slots = |&(i, slots, weight, mode): &(u8, u32, u32, u8)| ServerSlots {
                    server: server(i),
                    slots,
                    weight,
                    mode: match mode {
                        0 => ServerMode::Leaving,
                        1 => ServerMode::Probation,
                        _ => ServerMode::Serving,
                    },
                };
                let mut servers: BTreeMap<ServerAddr, ServerSlots> = BTreeMap::new();
                for s in list.iter().map(slots) {
                    servers.insert(s.server, s);
                }
                let list: Vec<_> = servers.values().copied().collect();
                self.servers = servers.into_iter().collect();
                self.admission.set_servers(now, &list);
            }
            &Step::Shares(a, b, c) => {
                self.shares = [a, b, c];
                self.admission.set_shares(now, &self.shares);
            }
            Step::Wait(millis) => self.now += millis,
        }
        self.poll();
        self.states.retain(|_, s| *s != State::Ended);
    }

    fn poll(&mut self) {
        for action in self.admission.poll(ms(self.now)) {
            match action {
                Action::Refuse { ticket, .. } => {
                    let old = self.states.insert(ticket.0, State::Ended);
                    assert_eq!(old, Some(State::Queued), "{ticket:?} is refused once, when queued");
                }
                Action::Dispatch { ticket, server } => {
                    self.check_dispatch(ticket.0, server);
                    let probation = self.servers[&server].mode == ServerMode::Probation;
                    let old = self.states.insert(ticket.0, State::InFlight { server, probation });
                    assert_eq!(old, Some(State::Queued), "{ticket:?} is sent once, when queued");
                }
            }
        }
    }

    fn check_dispatch(&self, ticket: u64, server: ServerAddr) {
        let slots = self.servers.get(&server).expect("requests go only to known servers");
        let at = |s: &&State| matches!(s, State::InFlight { server: at, .. } if *at == server);
        let in_flight = self.states.values().filter(at).count() as u32;
        assert!(in_flight < slots.usable(), "{server} has no free slot");
        let rank = |t: &u64| usize::from(self.requests[t].rank.0.min(2));
        let request = self.requests[&ticket];
        assert!(request.deadline >= ms(self.now), "{ticket} is sent after its deadline");
        if slots.mode == ServerMode::Probation {
            assert!(request.idempotent && rank(&ticket) == 2 && in_flight == 0);
            return;
        }
        let serving = self.servers.values().filter(|s| s.mode == ServerMode::Serving);
        let total: u32 = serving.map(ServerSlots::usable).sum();
        let (mut queued, mut used) = ([0u32; 3], [0u32; 3]);
        for (t, state) in &self.states {
            match state {
                State::Queued => queued[rank(t)] += 1,
                State::InFlight { probation: false, .. } => used[rank(t)] += 1,
                _ => {}
            }
        }
        let chosen = rank(&ticket);
        let borrows = 100 * used[chosen] >= self.shares[chosen] * total;
        for other in (0..3).filter(|&r| r != chosen) {
            let owed = queued[other] > 0 && 100 * (used[other] + 1) <= self.shares[other] * total;
            assert!(
                !(borrows && owed),
                "rank {chosen} exceeds its share while rank {other} has queued requests"
            );
        }
    }

    /// Ends all requests and checks that each was answered.
    fn finish(mut self) {
        for _ in 0..2 {
            self.now += 1_000;
            while self.nth(0, |s| matches!(s, State::InFlight { .. })).is_some() {
                self.step(&Step::Release(0));
            }
            self.step(&Step::Wait(0));
        }
        assert!(self.states.is_empty(), "without a response: {:?}", self.states);
        assert_eq!(self.admission.workspaces(), 0);
        assert_eq!(self.admission.queued(), vec![0; 3]);
        assert_eq!(self.admission.in_flight(), vec![0; 3]);
        assert_eq!(self.admission.next_wake(ms(self.now)), None);
    }
}

/// Guards against lost or repeated responses, requests to full servers, and shares that are lent out while their own
/// rank has queued requests. `REDWING_LONG_RUNS` sets the number of steps.
#[test]
fn random_events_keep_the_admission_rules() {
    let long = std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok());
    let steps: u64 = long.unwrap_or(60_000);
    let per_run = 600;
    static DONE: AtomicU64 = AtomicU64::new(0);
    fn property(steps: Vec<Step>) -> TestResult {
        DONE.fetch_add(steps.len() as u64, Ordering::Relaxed);
        let mut model = Model::new();
        model.step(&Step::Servers(vec![(1, 6, 1000, 5), (2, 3, 1000, 5)]));
        for step in steps {
            model.step(&step);
        }
        model.finish();
        TestResult::passed()
    }
    // A generator of size n gives vectors of n / 2 elements on average.
    let runs = (2 * steps / per_run).max(1);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(per_run as usize, 20_261_204))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
    let done = DONE.load(Ordering::Relaxed);
    println!("{done} steps in {runs} runs");
    assert!(done >= steps / 2, "only {done} of {steps} steps ran");
}
