//! The idempotency store: single interleavings, and long random sequences over several nodes.
//!
//! `REDWING_LONG_RUNS=<steps>` adds a run of that many steps, with its seed from `REDWING_SEED`.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::StartId,
    request::{
        handover::Handover,
        idempotency_store::{
            BeginDecision, IdempotencyOptions, IdempotencyStore, KeyReply, KeyTicket, RunResult,
            StoredResponse, Waiter,
        },
        key::{KeyPrefix, RequestKey},
    },
    time::{Span, Timestamp},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

const OPTIONS: IdempotencyOptions = IdempotencyOptions {
    generation: Span::from_millis(100),
    horizon: Span::from_millis(200),
    capacity: 40,
    seal_capacity: 40,
    body_limit: 16,
    total_bytes: 200,
    waiters: 4,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

fn addr(node: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + u16::try_from(node).expect("few nodes")).into()
}

fn new_store(options: IdempotencyOptions) -> IdempotencyStore {
    IdempotencyStore::new(options, addr(0), StartId(1), at(0))
}

fn key(generation: u64, caller: &str) -> RequestKey {
    let prefix = KeyPrefix::new(addr(0), StartId(1), generation);
    RequestKey::new(prefix, caller).expect("the caller key is valid")
}

fn response(body: &str) -> StoredResponse {
    StoredResponse { status: 201, headers: vec![], body: Some(body.as_bytes().to_vec()) }
}

fn run(begin: BeginDecision) -> KeyTicket {
    match begin {
        BeginDecision::Run(ticket) => ticket,
        other => panic!("expected a run, found {other:?}"),
    }
}

fn wait(begin: BeginDecision) -> Waiter {
    match begin {
        BeginDecision::Wait(waiter) => waiter,
        other => panic!("expected a wait, found {other:?}"),
    }
}

fn refused(begin: BeginDecision) -> ResultCode {
    match begin {
        BeginDecision::Refuse(code) => code,
        other => panic!("expected a refusal, found {other:?}"),
    }
}

fn body(begin: BeginDecision) -> Option<Vec<u8>> {
    match begin {
        BeginDecision::Replay(response) => response.body.clone(),
        other => panic!("expected a replay, found {other:?}"),
    }
}

/// Guards against a second run by a copy that arrives while the first copy is in flight, or after it.
#[test]
fn copies_wait_for_the_run_and_then_get_its_response() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let ticket = run(store.begin(at(0), &k, 1, 7));
    let waiter = wait(store.begin(at(1), &k, 1, 7));
    let finished = store.finish(ticket, RunResult::Response(response("done")));
    assert_eq!(finished.waiters, [waiter]);
    assert!(matches!(finished.reply, KeyReply::Replay(a) if a.status == 201));
    assert_eq!(body(store.begin(at(2), &k, 2, 7)), Some(b"done".to_vec()));
}

/// Guards against a delayed copy that runs after its caller got `not_run`.
#[test]
fn seal_refuses_same_and_lower_attempts() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let ticket = run(store.begin(at(0), &k, 2, 7));
    store.finish(ticket, RunResult::NotRun(ResultCode::QueueFull));
    assert_eq!(refused(store.begin(at(1), &k, 2, 7)), ResultCode::KeySealed);
    assert_eq!(refused(store.begin(at(1), &k, 1, 7)), ResultCode::KeySealed);
    run(store.begin(at(1), &k, 3, 7));
}

/// Guards against a seal that covers only the refused copy: a waiting repeat gets `not_run` too, so no further
/// copy of that repeat may run.
#[test]
fn seal_covers_a_waiting_repeat() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let ticket = run(store.begin(at(0), &k, 1, 7));
    let waiter = wait(store.begin(at(1), &k, 5, 7));
    let finished = store.finish(ticket, RunResult::NotRun(ResultCode::Shed));
    assert_eq!(finished.waiters, [waiter]);
    assert_eq!(finished.reply, KeyReply::Refuse(ResultCode::Shed));
    assert_eq!(refused(store.begin(at(2), &k, 5, 7)), ResultCode::KeySealed);
    run(store.begin(at(2), &k, 6, 7));
}

/// Guards against `not_run` for a lower, sealed attempt while a higher one may be running: its caller could take
/// it for the outcome of the key.
#[test]
fn sealed_attempt_waits_for_a_higher_one_in_flight() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let first = run(store.begin(at(0), &k, 1, 7));
    store.finish(first, RunResult::NotRun(ResultCode::Shed));
    let second = run(store.begin(at(1), &k, 2, 7));
    let waiter = wait(store.begin(at(2), &k, 1, 7));
    let finished = store.finish(second, RunResult::Unknown(ResultCode::ServerLost));
    assert_eq!(finished.waiters, [waiter]);
    assert_eq!(finished.reply, KeyReply::Refuse(ResultCode::ServerLost));
    assert_eq!(refused(store.begin(at(3), &k, 9, 7)), ResultCode::ServerLost);
}

/// Guards against running a new key of a closed generation, and against losing the response of a key that ran in
/// that generation.
#[test]
fn closed_generation_refuses_new_keys_and_replays_known_ones() {
    let mut store = new_store(OPTIONS);
    let seen = key(0, "seen");
    let ticket = run(store.begin(at(0), &seen, 1, 7));
    store.finish(ticket, RunResult::Response(response("done")));
    run(store.begin(at(199), &key(0, "previous"), 1, 7));
    // Generation 0 closes when generation 2 opens.
    store.tick(at(100));
    store.tick(at(299));
    assert_eq!(refused(store.begin(at(300), &key(0, "new"), 1, 7)), ResultCode::KeyClosed);
    assert_eq!(body(store.begin(at(300), &seen, 2, 7)), Some(b"done".to_vec()));
}

/// Guards against dropping a generation while copies wait for one of its keys in flight.
#[test]
fn generation_is_kept_while_its_keys_are_in_flight() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let ticket = run(store.begin(at(0), &k, 1, 7));
    store.tick(at(100));
    store.tick(at(200));
    let waiter = wait(store.begin(at(1_000), &k, 1, 7));
    assert_eq!(store.finish(ticket, RunResult::Response(response(""))).waiters, [waiter]);
    store.tick(at(1_001));
    assert_eq!(refused(store.begin(at(1_001), &k, 1, 7)), ResultCode::KeyForgotten);
    assert_eq!((store.len(), store.kept_bytes()), (0, 0));
}

/// Guards against `not_run` for keys that could run later (generation not open yet) or that may have run already
/// (another start, another home).
#[test]
fn keys_with_foreign_prefixes_are_refused_as_forgotten() {
    let mut store = new_store(OPTIONS);
    let own = |home, start, generation| {
        RequestKey::new(KeyPrefix::new(home, StartId(start), generation), "a").expect("valid")
    };
    for k in [own(addr(0), 1, 1), own(addr(0), 2, 0), own(addr(1), 1, 0)] {
        assert_eq!(refused(store.begin(at(0), &k, 1, 7)), ResultCode::KeyForgotten, "{k}");
    }
}

/// Guards against a process that was paused for several generations and still runs keys of an old one.
#[test]
fn paused_store_closes_overdue_generations() {
    let mut store = new_store(OPTIONS);
    assert_eq!(refused(store.begin(at(1_000), &key(0, "late"), 1, 7)), ResultCode::KeyClosed);
    run(store.begin(at(1_000), &key(1, "new"), 1, 7));
}

/// Guards against a key that was refused by a full store and runs once there is room again.
#[test]
fn key_refused_when_full_never_runs() {
    let mut store = new_store(IdempotencyOptions { capacity: 1, ..OPTIONS });
    let ticket = run(store.begin(at(0), &key(0, "a"), 1, 7));
    store.finish(ticket, RunResult::Response(response("done")));
    assert_eq!(store.mint_prefix(at(1)), None);
    let extra = key(0, "b");
    assert_eq!(refused(store.begin(at(1), &extra, 1, 7)), ResultCode::KeysFull);
    // The generation was closed at 1 ms, so it is dropped at 201 ms; the current one accepts keys again.
    store.tick(at(150));
    assert_eq!(store.mint_prefix(at(150)), None, "still full");
    let prefix = store.mint_prefix(at(201)).expect("there is room");
    assert_eq!(refused(store.begin(at(201), &extra, 1, 7)), ResultCode::KeyForgotten);
    run(store.begin(at(201), &RequestKey::new(prefix, "b").expect("valid"), 1, 7));
}

/// Guards against a new generation for each key that a full store refuses.
#[test]
fn full_store_opens_no_generation_early() {
    let mut store = new_store(IdempotencyOptions { capacity: 1, ..OPTIONS });
    let _ticket = run(store.begin(at(0), &key(0, "a"), 1, 7));
    for i in 0..50 {
        assert_eq!(refused(store.begin(at(i), &key(0, "b"), 1, 7)), ResultCode::KeysFull);
    }
    assert_eq!(refused(store.begin(at(50), &key(1, "b"), 1, 7)), ResultCode::KeyForgotten);
}

/// Guards against a flood of refused keys that uses up the capacity of keys that run, and against a sealed copy
/// that runs because its seal found no room.
#[test]
fn seals_have_a_capacity_of_their_own() {
    let mut store = new_store(IdempotencyOptions { capacity: 1, seal_capacity: 3, ..OPTIONS });
    for i in 0..2 {
        let k = key(0, &i.to_string());
        assert_eq!(refused(store.refuse(at(0), &k, 1, 7, ResultCode::Shed)), ResultCode::Shed);
    }
    let ticket = run(store.begin(at(0), &key(0, "runs"), 1, 7));
    // The key in flight reserves the last seal, since it may still end as `not_run`.
    assert_eq!(refused(store.begin(at(0), &key(0, "late"), 1, 7)), ResultCode::KeysFull);
    store.finish(ticket, RunResult::NotRun(ResultCode::Shed));
    assert_eq!(refused(store.begin(at(0), &key(0, "runs"), 1, 7)), ResultCode::KeySealed);
    run(store.begin(at(0), &key(0, "runs"), 2, 7));
    // A sealed key that finds no room is refused, and its seal then covers the refused attempt.
    assert_eq!(refused(store.begin(at(0), &key(0, "0"), 2, 7)), ResultCode::KeysFull);
    assert_eq!(refused(store.begin(at(0), &key(0, "0"), 2, 7)), ResultCode::KeySealed);
}

/// Guards against `not_run` for a copy whose body was not read although the same key may have run.
#[test]
fn unread_copy_of_a_key_that_ran_is_not_refused() {
    let mut store = new_store(OPTIONS);
    let ticket = run(store.begin(at(0), &key(0, "a"), 1, 7));
    let code = ResultCode::BodyTooLarge;
    let waiter = wait(store.refuse_unread(at(0), &key(0, "a"), 2, code));
    assert_eq!(store.finish(ticket, RunResult::Response(response("done"))).waiters, [waiter]);
    assert!(matches!(store.refuse_unread(at(0), &key(0, "a"), 3, code), BeginDecision::Replay(_)));
    assert_eq!(refused(store.refuse_unread(at(0), &key(0, "b"), 1, code)), code);
    assert_eq!(refused(store.begin(at(0), &key(0, "b"), 1, 7)), ResultCode::KeySealed);
    run(store.begin(at(0), &key(0, "b"), 2, 7));
}

/// Guards against replaying a response to another request that uses the same key.
#[test]
fn other_request_under_the_same_key_is_refused() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let ticket = run(store.begin(at(0), &k, 1, 7));
    assert_eq!(refused(store.begin(at(0), &k, 1, 8)), ResultCode::KeyReused);
    store.finish(ticket, RunResult::NotRun(ResultCode::Shed));
    assert_eq!(refused(store.begin(at(0), &k, 2, 8)), ResultCode::KeyReused);
    let ticket = run(store.begin(at(0), &k, 2, 7));
    store.finish(ticket, RunResult::Response(response("done")));
    assert_eq!(refused(store.begin(at(0), &k, 3, 8)), ResultCode::KeyReused);
}

/// Guards against unbounded waiters of one key, and against `not_run` for the copies above the bound.
#[test]
fn waiters_of_a_key_are_bounded() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    let _ticket = run(store.begin(at(0), &k, 1, 7));
    for _ in 0..4 {
        wait(store.begin(at(0), &k, 1, 7));
    }
    let code = refused(store.begin(at(0), &k, 1, 7));
    assert_eq!((code, code.outcome()), (ResultCode::KeyBusy, Outcome::Unknown));
}

/// Guards against stored responses that exceed their limits per response and in total.
#[test]
fn kept_responses_are_bounded() {
    let mut store = new_store(OPTIONS);
    let mut keep = |caller: &str, len: usize| {
        let k = key(0, &caller.replace(' ', "-"));
        let ticket = run(store.begin(at(0), &k, 1, 7));
        store.finish(ticket, RunResult::Response(response(&"x".repeat(len))));
        (body(store.begin(at(0), &k, 1, 7)).map(|b| b.len()), store.kept_bytes())
    };
    assert_eq!(keep("at the limit", 16), (Some(16), 16));
    assert_eq!(keep("above the limit", 17), (None, 16));
    for i in 0..11 {
        keep(&i.to_string(), 16);
    }
    assert_eq!(keep("above the total", 16), (None, 192));
    assert_eq!(keep("still fits", 8), (Some(8), 200));
}

/// Guards against a refusal without a run that leaves its key able to run, or that gives `not_run` for a key in
/// flight.
#[test]
fn refuse_seals_unseen_keys_only() {
    let mut store = new_store(OPTIONS);
    let code = ResultCode::BodyTooLarge;
    assert_eq!(refused(store.refuse(at(0), &key(0, "a"), 1, 7, code)), code);
    assert_eq!(refused(store.begin(at(0), &key(0, "a"), 1, 7)), ResultCode::KeySealed);
    let _ticket = run(store.begin(at(0), &key(0, "b"), 1, 7));
    wait(store.refuse(at(0), &key(0, "b"), 1, 7, code));
}

fn new_successor(options: IdempotencyOptions) -> IdempotencyStore {
    IdempotencyStore::new(options, addr(1), StartId(2), at(0))
}

/// Guards against an export that leaves a key in flight at two homes.
#[test]
fn export_is_refused_while_a_key_is_in_flight() {
    let mut store = new_store(OPTIONS);
    let ticket = run(store.begin(at(0), &key(0, "a"), 1, 7));
    assert!(store.export(at(1), addr(1), StartId(2)).is_err());
    assert_eq!(store.mint_prefix(at(1)), None, "the refused export closes the generations");
    store.finish(ticket, RunResult::Response(response("done")));
    assert!(store.export(at(2), addr(1), StartId(2)).is_ok());
}

/// Guards against a successor that loses responses or seals, or that runs keys unknown to the old home.
#[test]
fn successor_keeps_responses_and_seals() {
    let mut store = new_store(OPTIONS);
    let ticket = run(store.begin(at(0), &key(0, "ran"), 1, 7));
    store.finish(ticket, RunResult::Response(response("done")));
    let ticket = run(store.begin(at(0), &key(0, "lost"), 1, 7));
    store.finish(ticket, RunResult::Unknown(ResultCode::ServerLost));
    store.refuse(at(0), &key(0, "sealed"), 2, 7, ResultCode::QueueFull);
    let mut successor = new_successor(OPTIONS);
    successor
        .import(at(900), store.export(at(1), addr(1), StartId(2)).expect("nothing is in flight"))
        .expect("the successor accepts the handover");
    assert_eq!(body(successor.begin(at(900), &key(0, "ran"), 2, 7)), Some(b"done".to_vec()));
    assert_eq!(refused(successor.begin(at(900), &key(0, "lost"), 2, 7)), ResultCode::ServerLost);
    assert_eq!(refused(successor.begin(at(900), &key(0, "sealed"), 2, 7)), ResultCode::KeySealed);
    assert_eq!(refused(successor.begin(at(900), &key(0, "ran"), 2, 8)), ResultCode::KeyReused);
    assert_eq!(refused(successor.begin(at(900), &key(0, "new"), 1, 7)), ResultCode::KeyClosed);
    // The old home no longer answers for a sealed key that the successor may run.
    assert_eq!(refused(store.begin(at(2), &key(0, "sealed"), 3, 7)), ResultCode::KeyForgotten);
    run(successor.begin(at(900), &key(0, "sealed"), 3, 7));
}

/// Guards against a repeated handover that overwrites keys which the successor has run since, or brings back keys
/// which it has dropped.
#[test]
fn repeated_handover_changes_nothing() {
    let mut store = new_store(OPTIONS);
    store.refuse(at(0), &key(0, "a"), 1, 7, ResultCode::QueueFull);
    let handover = store.export(at(1), addr(1), StartId(2)).expect("nothing is in flight");
    let mut successor = new_successor(OPTIONS);
    successor.import(at(0), handover.clone()).expect("the successor accepts the handover");
    let ticket = run(successor.begin(at(1), &key(0, "a"), 2, 7));
    successor.finish(ticket, RunResult::Response(response("done")));
    successor.import(at(2), handover.clone()).expect("the successor accepts the handover");
    assert_eq!(body(successor.begin(at(2), &key(0, "a"), 3, 7)), Some(b"done".to_vec()));
    successor.import(at(500), handover).expect("the successor accepts the handover");
    assert_eq!(refused(successor.begin(at(500), &key(0, "a"), 3, 7)), ResultCode::KeyForgotten);
}

/// Guards against a sealed key that runs at two successors. The first handover is not acknowledged, a second
/// successor runs the key, and the first one, or its own successor, then gets the key with the outdated seal.
/// Random runs found this (seeds 1818584196 and 5006 of an earlier form of the sequence).
#[test]
fn only_the_first_successor_runs_sealed_keys() {
    let (mut store, k) = (new_store(OPTIONS), key(0, "a"));
    store.refuse(at(0), &k, 1, 7, ResultCode::QueueFull);
    let to_first = store.export(at(1), addr(1), StartId(2)).expect("nothing is in flight");
    let to_second = store.export(at(1), addr(2), StartId(3)).expect("nothing is in flight");
    let mut second = IdempotencyStore::new(OPTIONS, addr(2), StartId(3), at(0));
    second.import(at(1), to_second).expect("the successor accepts the handover");
    assert_eq!(refused(second.begin(at(2), &k, 2, 7)), ResultCode::KeyForgotten);
    assert_eq!(refused(second.begin(at(2), &key(0, "new"), 1, 7)), ResultCode::KeyClosed);
    let mut first = new_successor(OPTIONS);
    first.import(at(1), to_first.clone()).expect("the successor accepts the handover");
    run(first.begin(at(2), &k, 2, 7));
    assert_eq!(
        store.export(at(1), addr(1), StartId(2)),
        Ok(to_first),
        "a repeated export to the same successor keeps the seals"
    );
}

/// Guards against a second run at a successor that restarted and receives the handover again.
#[test]
fn restarted_successor_refuses_the_handover() {
    let mut store = new_store(OPTIONS);
    let handover = store.export(at(1), addr(1), StartId(2)).expect("nothing is in flight");
    let mut restarted = IdempotencyStore::new(OPTIONS, addr(1), StartId(3), at(0));
    assert!(restarted.import(at(1), handover).is_err());
    assert!(restarted.is_empty());
}

/// Guards against a handover that uses up the capacity for the successor's own keys or exceeds its bound.
#[test]
fn handover_leaves_room_for_the_successors_own_keys() {
    let mut store = new_store(OPTIONS);
    for i in 0..3 {
        store.refuse(at(0), &key(0, &i.to_string()), 1, 7, ResultCode::QueueFull);
    }
    store.refuse(at(100), &key(1, "late"), 1, 7, ResultCode::QueueFull);
    let handover = store.export(at(250), addr(1), StartId(2)).expect("nothing is in flight");
    let mut successor =
        new_successor(IdempotencyOptions { capacity: 3, seal_capacity: 3, ..OPTIONS });
    successor.import(at(0), handover).expect("the successor accepts the handover");
    assert_eq!(successor.len(), 1, "generation 0 exceeds the bound and is left out");
    assert_eq!(refused(successor.begin(at(0), &key(0, "0"), 1, 7)), ResultCode::KeyForgotten);
    assert!(successor.mint_prefix(at(0)).is_some());
}

/// Guards against losing keys to a node that has already exported its own store.
#[test]
fn exported_store_refuses_a_handover() {
    let mut successor = new_successor(OPTIONS);
    successor.export(at(0), addr(2), StartId(3)).expect("nothing is in flight");
    let handover =
        new_store(OPTIONS).export(at(0), addr(1), StartId(2)).expect("nothing is in flight");
    assert!(successor.import(at(0), handover).is_err());
}

/// Guards against a run that ends twice, or at another node's idempotency store.
#[test]
#[should_panic(expected = "invariant at_most_once")]
fn foreign_ticket_is_a_violation() {
    let ticket = run(new_store(OPTIONS).begin(at(0), &key(0, "a"), 1, 7));
    new_successor(OPTIONS).finish(ticket, RunResult::Response(response("")));
}

/// Guards against recording `not_run` with a code that means that the request may have run.
#[test]
#[should_panic(expected = "invariant true_refusal")]
fn not_run_with_an_unknown_code_is_a_violation() {
    let mut store = new_store(OPTIONS);
    let ticket = run(store.begin(at(0), &key(0, "a"), 1, 7));
    store.finish(ticket, RunResult::NotRun(ResultCode::ServerLost));
}

const NODES: usize = 3;

/// One random event; the numbers choose among the actions possible at its time.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    pick: u32,
    choice: u32,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step { kind: u8::arbitrary(g) % 100, pick: u32::arbitrary(g), choice: u32::arbitrary(g) }
    }
}

/// One copy of a request, as sent by a caller.
#[derive(Clone, Debug)]
struct RequestCopy {
    key: RequestKey,
    attempt: u32,
    fingerprint: u64,
}

#[derive(Debug)]
struct ActiveRun {
    node: usize,
    ticket: KeyTicket,
    copy: RequestCopy,
    dispatched: bool,
}

#[derive(Debug)]
struct Node {
    store: IdempotencyStore,
    start: StartId,
    leaving: bool,
    waiting: HashMap<Waiter, RequestCopy>,
}

/// Drives several nodes and records which copies ran and what their callers got.
#[derive(Debug)]
struct Simulation {
    now: Timestamp,
    nodes: Vec<Node>,
    next_start: u64,
    next_caller: u64,
    in_transit: Vec<RequestCopy>,
    sent: Vec<RequestCopy>,
    active_runs: Vec<ActiveRun>,
    handovers: Vec<(StartId, usize, Handover)>,
    /// The successor (node and start) that entries know for the start of a home.
    successors: HashMap<StartId, (usize, StartId)>,
    /// Number of runs of each key at backend servers.
    runs: HashMap<RequestKey, u32>,
    run_copies: HashMap<RequestKey, RequestCopy>,
    /// Highest attempt of each request that was refused as `not_run`.
    not_run_attempts: HashMap<(RequestKey, u64), u32>,
    case_counts: BTreeMap<&'static str, u64>,
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Simulation {
            now: at(0),
            nodes: vec![],
            next_start: 0,
            next_caller: 0,
            in_transit: vec![],
            sent: vec![],
            active_runs: vec![],
            handovers: vec![],
            successors: HashMap::new(),
            runs: HashMap::new(),
            run_copies: HashMap::new(),
            not_run_attempts: HashMap::new(),
            case_counts: BTreeMap::new(),
        };
        sim.nodes = (0..NODES).map(|i| sim.start_node(i)).collect();
        sim
    }

    fn start_node(&mut self, node: usize) -> Node {
        self.next_start += 1;
        let start = StartId(self.next_start);
        let horizon = Span::from_millis(300);
        let options =
            IdempotencyOptions { horizon, capacity: 18, seal_capacity: 10, waiters: 2, ..OPTIONS };
        let store = IdempotencyStore::new(options, addr(node), start, self.now);
        Node { store, start, leaving: false, waiting: HashMap::new() }
    }

    fn count(&mut self, what: impl Into<&'static str>) {
        *self.case_counts.entry(what.into()).or_default() += 1;
    }

    fn apply(&mut self, step: Step) {
        let (pick, choice) = (step.pick as usize, step.choice as usize);
        match step.kind {
            0..=13 => self.send_new(pick, choice),
            14..=30 => self.send_again(pick, choice),
            31..=61 => self.deliver(pick, choice),
            62..=83 => self.advance_run(pick, choice),
            84..=90 => self.now = self.now + Span::from_millis(step.choice as u64 % 20),
            91 => self.pause(pick, choice),
            92 => self.crash(pick % NODES, choice),
            93 => self.leave(pick % NODES, choice),
            94..=96 => self.export(pick, choice),
            _ => self.hand_over(pick, choice),
        }
        // Callers forget old copies, which keeps most copies within the horizon.
        if self.sent.len() > 300 {
            self.sent.drain(..100);
        }
        if self.in_transit.len() > 200 {
            self.in_transit.drain(..50);
        }
    }

    fn send_new(&mut self, pick: usize, choice: usize) {
        let now = self.now;
        let Some(prefix) = self.nodes[pick % NODES].store.mint_prefix(now) else {
            let leaving = self.nodes[pick % NODES].leaving;
            return self.count(if leaving { "no prefix: leaving" } else { "no prefix: full" });
        };
        // Some callers wrongly use a generation that is not open yet.
        let ahead = u64::from(choice.is_multiple_of(40));
        let prefix = KeyPrefix::new(prefix.home(), prefix.start(), prefix.generation() + ahead);
        self.next_caller += 1;
        let key = RequestKey::new(prefix, &format!("k{}", self.next_caller)).expect("valid");
        let copy = RequestCopy { key, attempt: 1, fingerprint: self.next_caller };
        self.sent.push(copy.clone());
        self.in_transit.push(copy);
    }

    /// Sends a request again, or duplicates a copy.
    ///
    /// Attempt 1 has a single copy, as the rule for an unreachable home assumes (section 3.1).
    fn send_again(&mut self, pick: usize, choice: usize) {
        // Half of the copies repeat a recent request, which the home probably still knows.
        let recent = if choice.is_multiple_of(2) { self.sent.len().saturating_sub(20) } else { 0 };
        let Some(copy) = nth(&self.sent[recent..], pick).cloned() else { return };
        let newest = |c: &&RequestCopy| c.key == copy.key && c.fingerprint == copy.fingerprint;
        let highest = self.sent.iter().filter(newest).map(|c| c.attempt).max().unwrap_or(1);
        let mut copy = copy;
        if choice.is_multiple_of(17) {
            copy.fingerprint += 1_000_000_000;
        }
        copy.attempt = match choice % 3 {
            0 if copy.attempt > 1 => copy.attempt,
            _ => highest + 1,
        };
        self.sent.push(copy.clone());
        self.in_transit.push(copy);
    }

    /// Forwards a copy from an entry to the home that it knows, or fails to.
    fn deliver(&mut self, pick: usize, choice: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let copy = self.in_transit.swap_remove(pick % self.in_transit.len());
        if choice.is_multiple_of(11) {
            // The entry cannot reach the home and has written no byte.
            return match copy.attempt {
                1 => self.record_refusal(&copy, ResultCode::HomeUnreachable),
                _ => self.record_refusal(&copy, ResultCode::HomeSilent),
            };
        }
        let prefix = *copy.key.prefix();
        let home = usize::from(prefix.home().port() - 9_000);
        // An entry that does not know the successor yet asks the process at the home's address; it may also
        // know an outdated successor.
        let node = match self.successors.get(&prefix.start()) {
            _ if choice.is_multiple_of(4) => choice / 4 % NODES,
            Some(&(successor, _)) if !choice.is_multiple_of(5) => successor,
            _ => home,
        };
        let RequestCopy { key, attempt, fingerprint } = copy.clone();
        let store = &mut self.nodes[node].store;
        let begin = if choice.is_multiple_of(13) {
            store.refuse(self.now, &key, attempt, fingerprint, ResultCode::NodeLeaving)
        } else {
            store.begin(self.now, &key, attempt, fingerprint)
        };
        match begin {
            BeginDecision::Run(ticket) => {
                self.active_runs.push(ActiveRun { node, ticket, copy, dispatched: false });
            }
            BeginDecision::Wait(waiter) => {
                self.count("wait");
                self.nodes[node].waiting.insert(waiter, copy);
            }
            BeginDecision::Replay(_) => self.record_replay(&copy),
            BeginDecision::Refuse(code) => self.record_refusal(&copy, code),
        }
    }

    /// Refuses or dispatches a queued run, or ends a dispatched one.
    fn advance_run(&mut self, pick: usize, choice: usize) {
        if self.active_runs.is_empty() {
            return;
        }
        let mut active = self.active_runs.swap_remove(pick % self.active_runs.len());
        let finish = match (active.dispatched, choice % 8) {
            (false, 0) => RunResult::NotRun(ResultCode::QueueFull),
            (false, 1) => RunResult::NotRun(ResultCode::Shed),
            (false, 2) => RunResult::NotRun(ResultCode::ConnectFailed),
            (false, _) => {
                self.backend_runs(&active.copy);
                active.dispatched = true;
                return self.active_runs.push(active);
            }
            (true, 0) => RunResult::Unknown(ResultCode::ServerLost),
            (true, _) => RunResult::Response(response(&"x".repeat(choice % 20))),
        };
        let ActiveRun { node, ticket, copy, .. } = active;
        let result = match &finish {
            RunResult::NotRun(code) | RunResult::Unknown(code) => Some(*code),
            RunResult::Response(_) => None,
        };
        let finished = self.nodes[node].store.finish(ticket, finish);
        let mut copies = vec![copy];
        for waiter in finished.waiters {
            copies.push(
                self.nodes[node].waiting.remove(&waiter).expect("the copy waits at this node"),
            );
        }
        for copy in copies {
            match result {
                Some(code) => self.record_refusal(&copy, code),
                None => self.record_replay(&copy),
            }
        }
    }

    fn backend_runs(&mut self, copy: &RequestCopy) {
        self.count("run");
        let runs = self.runs.entry(copy.key.clone()).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{copy:?} runs again");
        let refused_attempt = self.not_run_attempts.get(&(copy.key.clone(), copy.fingerprint));
        assert!(
            refused_attempt.is_none_or(|t| copy.attempt > *t),
            "{copy:?} runs, {refused_attempt:?} was refused as not_run"
        );
        if refused_attempt.is_some() {
            self.count("run above a seal");
        }
        self.run_copies.insert(copy.key.clone(), copy.clone());
    }

    /// Checks a refusal against the runs so far. The refusal may be lost on its way, which makes no difference.
    fn record_refusal(&mut self, copy: &RequestCopy, code: ResultCode) {
        self.count(code);
        if code.outcome() != Outcome::NotRun {
            return;
        }
        // A home must not report `not_run` once any attempt of the key ran. An entry that does not reach
        // the home knows only its own copy; a higher attempt may have run meanwhile.
        let only_attempt = code == ResultCode::HomeUnreachable;
        let ran = self.run_copies.get(&copy.key).is_some_and(|run| {
            run.fingerprint == copy.fingerprint && (!only_attempt || run.attempt <= copy.attempt)
        });
        assert!(!ran, "{copy:?} ran and is refused as {code}");
        let refused_attempt =
            self.not_run_attempts.entry((copy.key.clone(), copy.fingerprint)).or_default();
        *refused_attempt = copy.attempt.max(*refused_attempt);
    }

    fn record_replay(&mut self, copy: &RequestCopy) {
        self.count("replay");
        let ran = self.run_copies.get(&copy.key).map(|run| run.fingerprint);
        assert_eq!(ran, Some(copy.fingerprint), "{copy:?}");
    }

    /// Crashes a node. Queued runs are lost; dispatched ones continue at the backend server without a response.
    fn crash(&mut self, node: usize, choice: usize) {
        if !choice.is_multiple_of(3) {
            return;
        }
        self.count("crash");
        self.replace(node);
    }

    fn replace(&mut self, node: usize) {
        self.active_runs.retain(|active| active.node != node);
        self.nodes[node] = self.start_node(node);
    }

    fn leave(&mut self, node: usize, choice: usize) {
        // Two nodes rarely leave at once, as there would often be no successor.
        let others = self.nodes.iter().any(|n| n.leaving);
        if others && !choice.is_multiple_of(4) {
            return;
        }
        self.nodes[node].leaving = true;
        let now = self.now;
        self.nodes[node].store.close_generations(now);
    }

    /// Exports the store of a leaving node to any successor, possibly repeatedly. It is refused while a key is in
    /// flight.
    fn export(&mut self, pick: usize, choice: usize) {
        let leaving: Vec<_> = (0..NODES).filter(|&i| self.nodes[i].leaving).collect();
        let Some(&node) = nth(&leaving, pick) else { return };
        let successor = (node + 1 + choice % (NODES - 1)) % NODES;
        let (now, successor_start) = (self.now, self.nodes[successor].start);
        match self.nodes[node].store.export(now, addr(successor), successor_start) {
            Ok(handover) => {
                self.count("export");
                self.handovers.push((self.nodes[node].start, successor, handover));
                if self.handovers.len() > 6 {
                    self.handovers.remove(0);
                }
            }
            Err(_) => self.count("export refused"),
        }
    }

    /// Delivers a handover, possibly again. Its acknowledgement may be lost.
    fn hand_over(&mut self, pick: usize, choice: usize) {
        let Some((from, successor, handover)) = nth(&self.handovers, pick).cloned() else { return };
        let now = self.now;
        if choice.is_multiple_of(16) {
            self.handovers.retain(|h| h.0 != from);
        }
        let target = (successor, self.nodes[successor].start);
        let Ok(()) = self.nodes[successor].store.import(now, handover) else {
            return self.count("import refused");
        };
        let known = self.successors.contains_key(&from);
        self.count(if known { "import repeated" } else { "import" });
        let left = (0..NODES).find(|&i| self.nodes[i].start == from);
        if let (Some(node), true) = (left, !choice.is_multiple_of(3)) {
            // Homes that the leaving node had taken over move to its successor too.
            for (_, home) in self.successors.iter_mut().filter(|(_, h)| **h == (node, from)) {
                *home = target;
            }
            self.successors.insert(from, target);
            self.replace(node);
        }
    }

    /// Lets up to several generations pass without an event.
    fn pause(&mut self, pick: usize, choice: usize) {
        if choice.is_multiple_of(8) {
            self.now = self.now + Span::from_millis(pick as u64 % 700);
        }
    }
}

fn nth<T>(items: &[T], pick: usize) -> Option<&T> {
    items.get(pick.checked_rem(items.len())?)
}

fn run_steps(steps: impl IntoIterator<Item = Step>) -> Simulation {
    let mut sim = Simulation::new();
    for step in steps {
        sim.apply(step);
    }
    sim
}

const SEED: u64 = 0x6c65_6467;

/// Guards against interleavings of copies, delays, lost responses, crashes and planned handovers in which a key
/// runs twice or an attempt that was refused as `not_run` runs.
#[test]
fn random_sequences_run_no_key_twice_and_no_sealed_attempt() {
    fn property(steps: Vec<Step>) -> bool {
        run_steps(steps);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, SEED))
        .tests(100)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against random runs in which a case of interest never occurs.
#[test]
fn long_random_sequence_covers_every_case() {
    let steps = long_steps(30_000, SEED);
    let sim = run_steps(steps);
    for case in [
        "run",
        "run above a seal",
        "wait",
        "replay",
        "crash",
        "export",
        "export refused",
        "import",
        "import repeated",
        "no prefix: leaving",
        "no prefix: full",
        "key_busy",
        "key_closed",
        "key_sealed",
        "key_forgotten",
        "keys_full",
        "key_reused",
        "server_lost",
        "home_unreachable",
        "home_silent",
    ] {
        assert!(
            sim.case_counts.contains_key(case),
            "{case} did not occur in {:?}",
            sim.case_counts
        );
    }
}

fn long_steps(count: usize, seed: u64) -> Vec<Step> {
    let mut g = Gen::from_size_and_seed(100, seed);
    (0..count).map(|_| Step::arbitrary(&mut g)).collect()
}

/// Guards against interleavings that need more steps than the tests above: runs `REDWING_LONG_RUNS` steps in sequences
/// of 50,000 and prints the seed of each. A failure can be repeated with this `REDWING_SEED`.
#[test]
fn requested_long_runs_run_no_key_twice() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let steps = number("REDWING_LONG_RUNS").unwrap_or(0);
    let seed = number("REDWING_SEED").unwrap_or(SEED);
    for i in 0..steps.div_ceil(50_000) {
        println!("REDWING_SEED={}", seed + i);
        let sim = run_steps(long_steps(50_000, seed + i));
        println!("{:?}", sim.case_counts);
    }
}
