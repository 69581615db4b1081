//! Rules of a service's leader, and of the nodes that receive its announcements.

use redwingtrestle_core::{
    cases,
    ids::{NodeId, RankIndex, ServerAddr, ServiceName, StartId},
    process::{
        ejections::{
            self, Ack, AnnouncedServer, Announcement, EjectionStage, Ejections, Policy, Refusal,
            ServerState, ServerView, Term, Usage, View, SUSPECT_WEIGHT,
        },
        evidence::{workspace_hash, EvidenceCounts, EvidenceReport, OutcomeRecorder, RequestEnd},
        readmission::{self, Phase, ProbationSlot, Readmission},
        service_leader::{Action, LeaderState, Options, Reason, ServiceLeader},
    },
    time::{Span, Timestamp},
};
use std::collections::BTreeSet;

fn addr(i: usize) -> ServerAddr {
    ServerAddr(([127, 0, 0, 1], 9000 + i as u16).into())
}

fn node(i: u64) -> NodeId {
    NodeId { addr: ([127, 0, 1, i as u8], 7000).into(), start: StartId(i) }
}

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn service() -> ServiceName {
    ServiceName::from("orders")
}

fn view(servers: usize, floor: u32) -> View {
    let server = |i| (addr(i), ServerView { slots: 6, state: ServerState::Up });
    View { floor, servers: (0..servers).map(server).collect() }
}

/// A leader and two nodes that report to it and receive its announcements. `isolated` cuts the second node off.
struct Harness {
    now: u64,
    leader: ServiceLeader,
    nodes: Vec<Ejections>,
    failing: Vec<f64>,
    isolated: bool,
    actions: Vec<Action>,
}

impl Harness {
    fn new(servers: usize, floor: u32, carried: &[ServerAddr]) -> Self {
        let view = view(servers, floor);
        let recorded = BTreeSet::from([node(0), node(1)]);
        let leader = ServiceLeader::new(
            ms(0),
            service(),
            Term(5),
            view.clone(),
            recorded,
            carried,
            Options::default(),
        );
        let mut nodes: Vec<Ejections> = (0..2)
            .map(|_| Ejections::new(ms(0), service(), view.clone(), ejections::Options::default()))
            .collect();
        for n in &mut nodes {
            n.record_read(ms(0), Term(5));
        }
        Harness {
            now: 0,
            leader,
            nodes,
            failing: vec![0.0; servers],
            isolated: false,
            actions: Vec::new(),
        }
    }

    /// Runs for `span` ms in steps of 100 ms, each with 4 outcomes per server and node.
    fn run(&mut self, span: u64) {
        for _ in 0..span / 100 {
            self.now += 100;
            let now = ms(self.now);
            for (i, n) in self.nodes.iter_mut().enumerate() {
                n.tick(now);
                if self.isolated && i == 1 {
                    continue;
                }
                let counts = (0..self.failing.len()).filter_map(|s| {
                    let total = match n.usage(now, addr(s)) {
                        Usage::Weight(_) => 4,
                        Usage::Probation => 1,
                        Usage::Closed => return None,
                    };
                    let bad = (f64::from(total) * self.failing[s]).ceil() as u32;
                    let mut c = EvidenceCounts::new(total - bad, bad, 0);
                    // Outcomes alternate between two workspaces.
                    c.add_workspace(1 + (self.now / 100 % 2) as u32, bad);
                    Some((addr(s), c))
                });
                let interval = EvidenceReport {
                    node: node(i as u64),
                    service: service(),
                    sent: now,
                    highest_term: n.highest_term(),
                    servers: counts.collect(),
                    ack: n.ack(now),
                };
                self.leader.observe(now, &interval);
            }
            for action in self.leader.tick(now) {
                if let Action::Announce(to, a) = &action {
                    let i = (0..2).find(|i| node(*i) == *to).expect("a known node");
                    if !(self.isolated && i == 1) {
                        self.nodes[i as usize].accept(now, a).expect("accepted");
                    }
                } else {
                    self.actions.push(action);
                }
            }
        }
    }

    fn reason(&self, i: usize) -> Reason {
        self.leader.explain(ms(self.now), addr(i)).reason
    }

    fn set_view(&mut self, view: &View) {
        self.leader.set_view(view.clone());
        for n in &mut self.nodes {
            n.set_view(ms(self.now), view.clone());
        }
    }
}

/// Guards against a failing server that any node still uses after 1 s.
#[test]
fn failing_server_is_ejected_everywhere_within_a_second() {
    let mut harness = Harness::new(6, 24, &[]);
    harness.run(10_000);
    assert_eq!(harness.leader.state(), LeaderState::Active);
    harness.failing[2] = 1.0;
    harness.run(1_000);
    assert_eq!(harness.leader.ejected(), [addr(2)]);
    for n in &harness.nodes {
        assert_eq!(n.usage(ms(harness.now), addr(2)), Usage::Closed);
    }
    let why = harness.leader.explain(ms(harness.now), addr(2));
    assert_eq!((why.reason, why.budget, why.outstanding, why.floor), (Reason::Ejected, 6, 6, 24));
    assert!(why.to_string().contains("127.0.0.1:9002: ejected"), "{why}");
}

/// Guards against ejections that break the floor, and against ejecting the less bad server first.
#[test]
fn worst_server_is_ejected_first_within_the_budget() {
    let mut harness = Harness::new(6, 30, &[]);
    harness.run(10_000);
    harness.failing[1] = 0.5;
    harness.failing[4] = 1.0;
    harness.run(2_000);
    assert_eq!(harness.leader.ejected(), [addr(4)]);
    assert_eq!(harness.reason(1), Reason::NoBudget);
}

/// Guards against a new ejection before every recorded member has acknowledged the term.
#[test]
fn leader_ejects_no_further_server_until_every_member_acknowledges() {
    let mut harness = Harness::new(6, 24, &[addr(5)]);
    harness.isolated = true;
    harness.run(1_000);
    harness.failing[0] = 1.0;
    harness.run(1_000);
    assert_eq!(harness.leader.state(), LeaderState::Fencing);
    assert_eq!(harness.leader.ejected(), [addr(5)]);
    let why = harness.leader.explain(ms(harness.now), addr(0));
    assert_eq!((why.reason, why.awaited), (Reason::Fenced, vec![node(1)]));
    // The member is gone, and its record has been removed.
    harness.leader.set_recorded(BTreeSet::from([node(0)]));
    harness.run(200);
    assert_eq!(harness.leader.state(), LeaderState::Active);
    assert!(harness.leader.ejected().contains(&addr(0)));
}

/// Guards against ejections that stay although the raised floor needs a server back, and against restoring the
/// worst server first.
#[test]
fn raised_floor_restores_the_least_bad_server() {
    let mut harness = Harness::new(6, 24, &[]);
    harness.run(10_000);
    harness.failing[1] = 0.5;
    harness.failing[4] = 1.0;
    harness.run(2_000);
    assert_eq!(harness.leader.ejected(), [addr(4), addr(1)]);
    harness.set_view(&view(6, 30));
    // Each node drops the excess ejection at once, before the leader's next announcement.
    for n in &harness.nodes {
        assert_eq!(n.ejected(ms(harness.now)).collect::<Vec<_>>(), [addr(4)]);
    }
    harness.run(100);
    assert_eq!(harness.leader.ejected(), [addr(4)]);
    assert!(harness.actions.contains(&Action::Restored(addr(1))));
}

/// Guards against ejections that stay when a healthy server is lost and the floor needs the ejected slots.
#[test]
fn loss_of_a_server_restores_an_ejected_one() {
    let mut harness = Harness::new(6, 30, &[]);
    harness.run(10_000);
    harness.failing[4] = 1.0;
    harness.run(1_000);
    assert_eq!(harness.leader.ejected(), [addr(4)]);
    let mut after = view(6, 30);
    after.servers.insert(addr(0), ServerView { slots: 6, state: ServerState::Lost });
    harness.set_view(&after);
    harness.run(100);
    assert!(harness.leader.ejected().is_empty());
    assert_eq!(harness.reason(0), Reason::NotUp);
}

/// Guards against reusing the budget of a re-admitted server while a node may still eject it.
#[test]
fn withdrawn_ejection_uses_budget_until_acknowledged() {
    let mut harness = Harness::new(6, 30, &[]);
    harness.run(10_000);
    harness.failing[4] = 1.0;
    harness.run(1_000);
    harness.failing[4] = 0.0;
    // The hold-off, then 20 good outcomes at one per 100 ms.
    harness.run(4_000);
    harness.isolated = true;
    // The isolated node may have been chosen for probation requests; another is chosen after 6.1 s.
    harness.run(15_000);
    assert!(harness.actions.contains(&Action::Readmitted(addr(4))), "{:?}", harness.actions);
    harness.failing[2] = 1.0;
    harness.run(5_000);
    assert!(harness.leader.ejected().is_empty());
    assert_eq!(harness.leader.outstanding(), BTreeSet::from([addr(4)]));
    harness.isolated = false;
    harness.run(2_000);
    assert_eq!(harness.leader.ejected(), [addr(2)]);
}

/// Guards against a failing server that returns without passing probation, and against a hold-off that does
/// not grow with repeated ejections.
#[test]
fn failed_probation_doubles_the_hold_off() {
    let o = readmission::Options::default();
    let mut r = Readmission::new(ms(0), &o);
    assert_eq!(r.tick(ms(4_999), &o), Phase::HoldOff(ms(5_000)));
    assert_eq!(r.tick(ms(5_000), &o), Phase::Probation(0));
    r.observe(ms(5_100), &EvidenceCounts::new(19, 0, 0), &o);
    assert_eq!(r.tick(ms(5_100), &o), Phase::Probation(19));
    r.observe(ms(6_000), &EvidenceCounts::new(5, 1, 0), &o);
    assert_eq!(r.phase(), Phase::HoldOff(ms(16_000)));
    for _ in 0..10 {
        r.eject(ms(20_000), &o);
    }
    assert_eq!(r.phase(), Phase::HoldOff(ms(320_000)));
    r.tick(ms(320_000), &o);
    r.observe(ms(321_000), &EvidenceCounts::new(20, 0, 0), &o);
    assert_eq!(r.tick(ms(321_000), &o), Phase::SlowStart(ms(321_000)));
    assert_eq!(r.percent(ms(326_000), &o), 50);
    assert_eq!(r.tick(ms(331_000), &o), Phase::Open);
    // The hold-off starts again at 5 s, 10 min after the last ejection.
    r.eject(ms(620_001), &o);
    assert_eq!(r.phase(), Phase::HoldOff(ms(625_001)));
}

/// Guards against probation requests from two nodes at once, or from none.
#[test]
fn one_node_at_a_time_sends_probation_requests() {
    let mut harness = Harness::new(6, 24, &[]);
    harness.run(10_000);
    harness.failing[4] = 1.0;
    harness.run(1_000);
    harness.run(5_500);
    let mut seen = 0;
    for _ in 0..300 {
        harness.run(100);
        let n = harness
            .nodes
            .iter()
            .filter(|n| n.usage(ms(harness.now), addr(4)) == Usage::Probation)
            .count();
        assert!(n <= 1);
        seen += n;
    }
    assert!(seen > 0);
}

fn may_probe((rank, idempotent): (u8, bool)) -> bool {
    ProbationSlot::default().try_acquire(RankIndex(rank), RankIndex(2), idempotent)
}

cases! {
    may_probe;
    /// Only the lowest rank may be risked on a suspect server.
    urgent_request_is_not_sent_in_probation: (0, true) => false,
    /// A request that must not run twice must not go to a suspect server.
    non_idempotent_request_is_not_sent_in_probation: (2, false) => false,
    lowest_rank_idempotent_request_is_sent_in_probation: (2, true) => true,
}

/// Guards against two probation requests in flight at once.
#[test]
fn probation_allows_one_request_in_flight() {
    let mut t = ProbationSlot::default();
    assert!(t.try_acquire(RankIndex(2), RankIndex(2), true));
    assert!(!t.try_acquire(RankIndex(2), RankIndex(2), true));
    t.release();
    assert!(t.try_acquire(RankIndex(2), RankIndex(2), true));
}

fn announcement(term: u64, sequence: u64, echo: u64, out: &[usize]) -> Announcement {
    Announcement {
        service: service(),
        term: Term(term),
        sequence,
        ttl: Span::from_secs(3),
        echo: ms(echo),
        servers: out
            .iter()
            .map(|i| AnnouncedServer { server: addr(*i), stage: EjectionStage::Ejected })
            .collect(),
    }
}

/// Sends an announcement at 10 s to a node that has accepted sequence 7 of term 5; returns the refusal, if any.
// The cases macro passes its input by value.
#[allow(clippy::needless_pass_by_value)]
fn accept_refusal(a: Announcement) -> Option<Refusal> {
    let mut e = Ejections::new(ms(9_000), service(), view(6, 24), ejections::Options::default());
    e.record_read(ms(9_000), Term(5));
    e.accept(ms(9_500), &announcement(5, 7, 9_400, &[1])).expect("accepted");
    e.accept(ms(10_000), &a).err()
}

cases! {
    accept_refusal;
    newer_announcement_is_accepted: announcement(5, 8, 9_900, &[2]) => None,
    /// A new leader starts its sequence again.
    higher_term_with_a_lower_sequence_is_accepted: announcement(6, 1, 9_900, &[2]) => None,
    /// Guards against following a superseded leader.
    lower_term_is_refused: announcement(4, 9, 9_900, &[2]) => Some(Refusal::OldTerm),
    /// Datagrams may be repeated and reordered.
    repeated_sequence_is_refused: announcement(5, 7, 9_900, &[2]) => Some(Refusal::OldSequence),
    /// Guards against an announcement that was delayed by a paused leader.
    announcement_older_than_its_ttl_is_refused: announcement(5, 8, 6_999, &[2]) => Some(Refusal::Stale),
    announcement_at_its_ttl_is_accepted: announcement(5, 8, 7_000, &[2]) => None,
    /// The echo may stem from an earlier process at this address, whose clock was ahead.
    echo_ahead_of_the_clock_is_refused: announcement(5, 8, 10_001, &[2]) => Some(Refusal::FutureEcho),
    /// The floor is checked in the node's own view.
    announcement_that_breaks_the_floor_is_refused: announcement(5, 8, 9_900, &[0, 1, 2]) => Some(Refusal::Floor),
    announcement_of_another_service_is_refused: Announcement {
        service: "documents".into(), ..announcement(5, 8, 9_900, &[])
    } => Some(Refusal::OtherService),
}

/// Guards against a node that applies ejections before it knows all earlier terms, after its start or a pause.
#[test]
fn node_without_a_current_log_read_applies_no_ejections() {
    let mut e = Ejections::new(ms(0), service(), view(6, 24), ejections::Options::default());
    let a = announcement(5, 1, 0, &[1]);
    assert_eq!(e.accept(ms(100), &a), Err(Refusal::NotRecorded));
    e.record_read(ms(200), Term(5));
    assert_eq!(e.accept(ms(200), &a), Ok(()));
    // The node is paused for 4 s.
    let fresh = announcement(5, 2, 4_100, &[1]);
    assert_eq!(e.accept(ms(4_200), &fresh), Err(Refusal::NotRecorded));
    e.record_read(ms(4_300), Term(6));
    assert_eq!(e.accept(ms(4_300), &fresh), Err(Refusal::OldTerm));
}

/// Guards against acknowledging a term while ejections of a lower one are still in force.
#[test]
fn term_is_acknowledged_once_ejections_of_lower_terms_expire() {
    let mut e = Ejections::new(ms(0), service(), view(6, 24), ejections::Options::default());
    e.record_read(ms(0), Term(5));
    e.accept(ms(100), &announcement(5, 7, 100, &[1])).expect("accepted");
    e.learn_term(Term(9));
    assert_eq!(e.ack(ms(3_000)), Ack { term: Term(5), sequence: 7 });
    assert_eq!(e.ack(ms(3_101)), Ack { term: Term(9), sequence: 0 });
    assert_eq!(e.ejected(ms(3_101)).count(), 0);
}

fn feed_outcomes(e: &mut Ejections, from: u64, until: u64, failing: &[usize]) {
    for t in (from..until).step_by(100) {
        let counts: Vec<_> = (0..6)
            .filter(|i| e.usage(ms(t), addr(*i)) != Usage::Closed)
            .map(|i| {
                let bad = if failing.contains(&i) { 4 } else { 0 };
                let mut c = EvidenceCounts::new(4 - bad, bad, 0);
                c.add_workspace((t / 100 % 2) as u32, bad);
                (addr(i), c)
            })
            .collect();
        e.observe(ms(t), &counts);
        e.tick(ms(t));
    }
}

/// Guards against local weights that leave fewer slots at full weight than the floor.
#[test]
fn local_weights_keep_the_floor() {
    let mut e = Ejections::new(ms(0), service(), view(6, 30), ejections::Options::default());
    feed_outcomes(&mut e, 0, 5_000, &[]);
    feed_outcomes(&mut e, 5_000, 7_000, &[1, 3]);
    assert_eq!(e.lowered().len(), 1);
    assert_eq!(e.usage(ms(7_000), e.lowered()[0]), Usage::Weight(SUSPECT_WEIGHT));
}

/// Guards against a local policy that breaks the floor of its own view, or that never ejects.
#[test]
fn local_policy_ejects_within_the_floor() {
    let options = ejections::Options { policy: Policy::Local, ..ejections::Options::default() };
    let mut e = Ejections::new(ms(0), service(), view(6, 30), options);
    feed_outcomes(&mut e, 0, 5_000, &[]);
    feed_outcomes(&mut e, 5_000, 7_000, &[1, 3]);
    let closed = (0..6).filter(|i| e.usage(ms(7_000), addr(*i)) == Usage::Closed).count();
    assert_eq!(closed, 1);
}

/// Ends one request after 1 ms and returns its counts (good, bad, slow).
fn counts_after(end: RequestEnd) -> Option<(u32, u32, u32)> {
    let mut r = OutcomeRecorder::new();
    let request = r.start(ms(0), addr(0), workspace_hash("armor"));
    r.finish(ms(1), &request, end);
    r.drain().first().map(|(_, c)| (c.good, c.bad, c.slow))
}

cases! {
    counts_after;
    success_counts_as_good: RequestEnd::Response(200) => Some((1, 0, 0)),
    /// Guards against failures that are not counted as evidence.
    server_error_counts_as_bad: RequestEnd::Response(500) => Some((0, 1, 0)),
    failed_connect_counts_as_bad: RequestEnd::ConnectFailed => Some((0, 1, 0)),
    reset_counts_as_bad: RequestEnd::Reset => Some((0, 1, 0)),
    passed_deadline_counts_as_bad: RequestEnd::DeadlinePassed => Some((0, 1, 0)),
    /// A 4xx response is the caller's fault.
    client_error_is_not_counted: RequestEnd::Response(404) => None,
    /// A server that sheds load works as it should.
    shed_is_not_counted: RequestEnd::Shed => None,
    /// The node's own queue says nothing about the server.
    queue_timeout_is_not_counted: RequestEnd::QueueTimeout => None,
    /// A caller that disconnects says nothing about the server.
    cancellation_is_not_counted: RequestEnd::Cancelled => None,
}

/// Guards against a stuck request that counts only at its deadline, or twice, and against slow responses that
/// are not counted.
#[test]
fn overdue_request_and_slow_response_are_counted_once() {
    let mut r = OutcomeRecorder::new();
    for i in 0..500 {
        let request = r.start(ms(i * 100), addr(0), 1);
        r.finish(ms(i * 100 + 10), &request, RequestEnd::Response(200));
    }
    r.drain();
    let start = 60_000;
    let mut stuck = r.start(ms(start), addr(1), 1);
    assert!(!r.check(ms(start + 200), &mut stuck));
    assert!(r.check(ms(start + 201), &mut stuck));
    r.check(ms(start + 300), &mut stuck);
    r.finish(ms(start + 2_000), &stuck, RequestEnd::DeadlinePassed);
    let request = r.start(ms(start), addr(2), 1);
    r.finish(ms(start + 60), &request, RequestEnd::Response(200));
    let counts = r.drain();
    assert_eq!((counts[0].1.good, counts[0].1.bad), (0, 1));
    assert_eq!((counts[1].1.good, counts[1].1.slow), (1, 1));
}

/// Guards against counting the errors of a server in its cold start.
#[test]
fn outcomes_in_a_cold_start_are_not_counted() {
    let mut r = OutcomeRecorder::new();
    r.set_cold(addr(0), ms(10_000));
    let request = r.start(ms(9_999), addr(0), 1);
    r.finish(ms(10_500), &request, RequestEnd::Response(500));
    assert!(r.drain().is_empty());
    let request = r.start(ms(10_000), addr(0), 1);
    r.finish(ms(10_500), &request, RequestEnd::Response(500));
    assert_eq!(r.drain().len(), 1);
}

/// Guards against a cold server that is ejected, which would use the budget for nothing.
#[test]
fn cold_server_is_not_ejected() {
    let mut harness = Harness::new(6, 24, &[]);
    let mut v = view(6, 24);
    v.servers.insert(addr(3), ServerView { slots: 6, state: ServerState::Cold });
    harness.set_view(&v);
    harness.failing[3] = 1.0;
    harness.run(20_000);
    assert!(harness.leader.ejected().is_empty());
    assert_eq!(harness.reason(3), Reason::NotUp);
}

/// Guards against a list of workspaces that is full of four without bad outcomes and hides one that has some.
#[test]
fn workspace_with_bad_outcomes_replaces_one_without() {
    let mut c = EvidenceCounts::default();
    for hash in 0..4 {
        c.add_workspace(hash, 0);
    }
    c.add_workspace(9, 2);
    assert!(c.workspaces().iter().any(|w| w.hash == 9 && w.bad == 2));
    assert_eq!(c.workspaces().len(), 4);
}

/// Guards against leader state that exceeds the memory planned for it.
#[test]
fn leader_state_stays_within_its_size_limits() {
    let (server, node) = (ServiceLeader::BYTES_PER_SERVER, ServiceLeader::BYTES_PER_NODE);
    println!("leader: {server} bytes a server, {node} bytes a node");
    assert!(server <= 768 && node <= 256, "{server} {node}");
}

/// Guards against nodes that refuse a leader whose service was removed and brought back. It leads the same term
/// again, so it must not repeat its sequence numbers.
#[test]
fn new_leader_of_the_same_term_continues_its_sequence() {
    let mut harness = Harness::new(6, 12, &[]);
    harness.run(10_000);
    let before = harness.nodes[0].ack(ms(harness.now)).sequence;
    let recorded = BTreeSet::from([node(0), node(1)]);
    let (view, options) = (view(6, 12), Options::default());
    harness.leader =
        ServiceLeader::new(ms(harness.now), service(), Term(5), view, recorded, &[], options);
    harness.run(1_000);
    assert!(harness.nodes[0].ack(ms(harness.now)).sequence > before);
}
