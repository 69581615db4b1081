//! Drain notices of leaving backend servers, and the planned stop of a node.

use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    cases,
    ids::{DataCentre, NodeId, ServerAddr, StartId},
    process::{
        drain::{DrainAction, DrainNotice, DrainOptions, DrainTracker, LEAVING_BOUND},
        node_lifecycle::{NodeLifecycle, StopOptions, StopStep},
    },
    time::{Span, Timestamp},
    version::{
        log_reader::Readiness,
        spec::{Drains, ServerSpec, ServiceSpec, Spec},
    },
};

fn node(n: usize) -> NodeId {
    NodeId { addr: ([127, 0, 0, 1], 7000 + n as u16).into(), start: StartId(n as u64) }
}

fn server(n: u8) -> ServerAddr {
    ServerAddr(([127, 0, 1, n], 9000).into())
}

fn index(server: ServerAddr) -> usize {
    (0..3).position(|n| server == self::server(n)).unwrap()
}

fn spec() -> Spec {
    let server = |n| ServerSpec {
        addr: server(n),
        data_centre: DataCentre::from("concord"),
        slots: 6,
        connections: 390,
    };
    let service = ServiceSpec {
        servers: (0..3).map(server).collect(),
        floor: 0,
        ranks: Vec::new(),
        cold_start: Span::ZERO,
    };
    Spec { services: [("orders".into(), service)].into(), ..Spec::default() }
}

fn drain_of(n: usize, now: Timestamp) -> DrainTracker {
    let mut drain = DrainTracker::new(now, DrainOptions::default(), node(n));
    drain.configure(now, &spec());
    drain
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// Guards against a drain in the configuration, or its removal, that has no effect on a server.
#[test]
fn configuration_starts_and_ends_a_drain() {
    let mut drain = drain_of(1, at(0));
    for change in [
        |d: &mut Drains| d.servers.insert(server(1)),
        |d: &mut Drains| d.vms.insert(server(1).vm()),
        |d: &mut Drains| d.data_centres.insert("concord".into()),
    ] {
        let mut drained = spec();
        change(&mut drained.drains);
        drain.configure(at(0), &drained);
        assert!(drain.is_leaving(server(1)));
        drain.configure(at(0), &spec());
        assert!(!drain.is_leaving(server(1)));
    }
}

/// Guards against using a VM while the VM list reports it as leaving, and against never using it again.
#[test]
fn vm_list_drain_lasts_while_reported_and_then_expires() {
    let mut drain = drain_of(1, at(0));
    drain.apply_vm_list(at(0), [server(1).vm()]);
    for t in 0..300 {
        drain.tick(at(t * 100));
        assert!(drain.is_leaving(server(1)), "{t}");
    }
    drain.apply_vm_list(at(30_000), []);
    for t in 300..401 {
        drain.tick(at(t * 100));
    }
    assert!(!drain.is_leaving(server(1)));
}

/// Guards against new requests to a leaving server after the process was paused for longer than the time to live.
#[test]
fn pause_does_not_expire_notices() {
    let mut drain = drain_of(1, at(0));
    drain.record_header(at(0), server(1));
    drain.tick(at(60_000));
    assert!(drain.is_leaving(server(1)));
}

/// Guards against an invariant check that misses a new request to a leaving server after the bound.
#[test]
#[should_panic(expected = "invariant leaving")]
fn new_request_after_the_bound_violates_the_leaving_invariant() {
    let mut drain = drain_of(1, at(0));
    drain.record_header(at(0), server(1));
    drain.check_new_work(at(3000), server(1));
    drain.check_new_work(at(3001), server(1));
}

/// Guards against a server that stays drained after its process was replaced.
#[test]
fn probe_without_the_header_ends_a_drain() {
    let mut drain = drain_of(1, at(0));
    drain.record_header(at(0), server(1));
    assert_eq!(drain.tick(at(4_900)), []);
    drain.tick(at(5_000));
    drain.record_probe(at(5_100), server(1), Some(false));
    assert!(!drain.is_leaving(server(1)));
    let late = DrainNotice { leaving: true, counter: 1, ..drain.notices(at(5_100), 1)[0] };
    drain.merge_notices(at(5_200), &[late]);
    assert!(
        !drain.is_leaving(server(1)),
        "a late copy of the notice must not drain the server again"
    );
}

/// Guards against a notice that is cleared by a probe response from before a pause or before the newest header.
#[test]
fn outdated_probe_responses_are_dropped() {
    let mut drain = drain_of(1, at(0));
    drain.record_header(at(0), server(1));
    assert_eq!(drain.tick(at(5_000)), [DrainAction::Probe(server(1))]);
    drain.record_probe(at(6_001), server(1), Some(false));
    assert!(drain.is_leaving(server(1)), "the probe response came too late");
    // The time without ticks extends the notice, but does not postpone its next probe.
    assert_eq!(drain.tick(at(7_000)), [DrainAction::Probe(server(1))]);
    drain.record_header(at(7_100), server(1));
    drain.record_probe(at(7_200), server(1), Some(false));
    assert!(drain.is_leaving(server(1)), "the header is newer than the probe");
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Omitted {
    Nothing,
    /// Each receipt of a notice counts as a confirmation.
    Counter,
    /// No node probes a server that is known as leaving.
    Probes,
}

enum Event {
    Notices(Vec<DrainNotice>),
    ProbeEnded(ServerAddr, Option<bool>),
}

/// Runs five nodes and three servers, which start and end drains, for `steps` steps of 50 ms.
fn run(seed: u64, steps: u64, omitted: Omitted) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<DrainTracker> = (0..5).map(|n| drain_of(n, at(0))).collect();
    let mut paused_until = [0; 5];
    let mut events: Vec<(u64, usize, Event)> = Vec::new();
    // Per server: whether it drains, since when, and when and at which node this was first seen.
    let mut server_states = [(false, 0, None); 3];
    for step in 1..=steps {
        let (ms, now) = (step * 50, at(step * 50));
        let s = rng.random_range(0..3);
        if rng.random_range(0..400) == 0 {
            server_states[s] = (!server_states[s].0, ms, None);
        }
        if rng.random_range(0..400) == 0 {
            let n = rng.random_range(0..5);
            paused_until[n] = ms + rng.random_range(100..15_000);
            // A node that is paused within 1 s of noticing the drain may tell its peers only after it wakes.
            for t in &mut server_states {
                if t.2.is_some_and(|(seen, by)| by == n && ms.saturating_sub(seen) < 1000) {
                    t.2 = Some((paused_until[n], n));
                }
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|(t, n, _)| *t <= ms && paused_until[*n] <= ms);
        events = rest;
        for (_, n, event) in due {
            match event {
                Event::Notices(mut list) => {
                    if omitted == Omitted::Counter {
                        list.iter_mut().for_each(|x| x.counter += 1);
                    }
                    nodes[n].merge_notices(now, &list);
                }
                Event::ProbeEnded(server, result) => nodes[n].record_probe(now, server, result),
            }
        }
        for n in 0..5 {
            if paused_until[n] > ms {
                continue;
            }
            for DrainAction::Probe(server) in nodes[n].tick(now) {
                let leaving = server_states[index(server)].0;
                let result = (rng.random_range(0..10) > 0).then_some(leaving);
                if omitted != Omitted::Probes {
                    events.push((ms + 50, n, Event::ProbeEnded(server, result)));
                }
            }
            let server = server(s as u8);
            // Requests go only to servers not known as leaving; their responses carry the header.
            if !nodes[n].is_leaving(server) && rng.random_range(0..10) == 0 {
                nodes[n].check_new_work(now, server);
                if server_states[s].0 {
                    nodes[n].record_header(now, server);
                    server_states[s].2 = server_states[s].2.or(Some((ms, n)));
                }
            }
            if step % 5 == 0 {
                for to in 0..5 {
                    let list = nodes[n].notices(now, 2);
                    // One in ten is lost; one in a hundred is delivered a second time, seconds later.
                    if rng.random_range(0..10) > 0 {
                        events.push((ms + 50, to, Event::Notices(list.clone())));
                    }
                    if rng.random_range(0..100) == 0 {
                        let late = ms + rng.random_range(1_000..20_000);
                        events.push((late, to, Event::Notices(list)));
                    }
                }
            }
        }
        for (s, (leaving, since, first)) in server_states.iter().enumerate() {
            for (n, node) in nodes.iter().enumerate() {
                let awake = ms.saturating_sub(paused_until[n]);
                let known = node.is_leaving(server(s as u8));
                let bound = LEAVING_BOUND.as_millis();
                let seen = first.is_some_and(|(f, _)| ms.saturating_sub(f) > bound);
                if *leaving && seen && awake > bound && !known {
                    return Err(format!(
                        "{ms} ms: node {n} still uses server {s}, first seen leaving at {first:?}"
                    ));
                }
                // Allows for one time to live after a late header and for three failed probes.
                if !leaving && ms - since > 25_000 && awake > 15_000 && known {
                    return Err(format!("{ms} ms: node {n} still drains server {s}"));
                }
            }
        }
    }
    Ok(())
}

/// Guards against notices that expire while the server drains, outlive its drain, or spread too slowly.
#[test]
fn notices_follow_the_state_of_their_servers() {
    fn property(seed: u64) -> bool {
        if let Err(e) = run(seed, 5000, Omitted::Nothing) {
            panic!("seed {seed}: {e}");
        }
        true
    }
    let gen = Gen::from_size_and_seed(100, 0x5eed);
    QuickCheck::new().rng(gen).tests(20).quickcheck(property as fn(u64) -> bool);
    let long = std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    run(1_000, long, Omitted::Nothing).unwrap();
}

fn is_detected(omitted: Omitted) -> bool {
    let found = (0..20).find_map(|seed| run(seed, 5000, omitted).err().map(|e| (seed, e)));
    println!("without {omitted:?}: {found:?}");
    found.is_some()
}

cases! {
    is_detected;
    /// Guards against a random run too weak to detect notices that never expire.
    random_run_detects_a_missing_confirmation_counter: Omitted::Counter => true,
    /// Guards against a random run too weak to detect notices that expire while their server drains.
    random_run_detects_missing_probes: Omitted::Probes => true,
}

/// Returns the steps of a stop with their times in seconds, at one tick per second.
fn stop((in_flight_until, acked, max_stop): (u64, bool, u64)) -> Vec<(StopStep, u64)> {
    let options = StopOptions { max_stop: Span::from_secs(max_stop), ..StopOptions::default() };
    let Ok(serving) = NodeLifecycle::new().serve(Readiness::Ready) else { panic!("not ready") };
    let mut lifecycle = serving.signal(at(0), options);
    let mut steps = Vec::new();
    for s in 0..400 {
        // A repeated signal must change nothing.
        lifecycle.signal(at(s * 1000));
        let in_flight = usize::from(s < in_flight_until);
        if let Some(step) = lifecycle.tick(at(s * 1000), in_flight, acked) {
            steps.push((step, s));
        }
    }
    assert!(lifecycle.finish().is_ok());
    steps
}

cases! {
    stop;
    /// Guards against refusing new keys or closing connections while callers may still use the entry.
    stop_waits_for_the_entries_ttl: (0, true, 0) => vec![
        (StopStep::WithdrawEntry, 0), (StopStep::CloseGenerations, 33), (StopStep::HandOver, 34),
        (StopStep::AnnounceHeir, 35), (StopStep::NotifyServer, 37), (StopStep::Exit, 38),
    ],
    /// Guards against a stop that aborts requests in flight.
    stop_waits_for_requests_in_flight: (300, true, 0) => vec![
        (StopStep::WithdrawEntry, 0), (StopStep::CloseGenerations, 33), (StopStep::HandOver, 300),
        (StopStep::AnnounceHeir, 301), (StopStep::NotifyServer, 303), (StopStep::Exit, 304),
    ],
    /// Guards against a node that never stops because no successor responds.
    stop_gives_up_an_unanswered_handover: (0, false, 0) => vec![
        (StopStep::WithdrawEntry, 0), (StopStep::CloseGenerations, 33), (StopStep::HandOver, 34),
        (StopStep::AnnounceHeir, 64), (StopStep::NotifyServer, 66), (StopStep::Exit, 67),
    ],
    /// Guards against a request without end that delays the stop beyond its bound.
    max_stop_bounds_the_stop: (400, true, 50) => vec![
        (StopStep::WithdrawEntry, 0), (StopStep::CloseGenerations, 33), (StopStep::HandOver, 50),
        (StopStep::AnnounceHeir, 51), (StopStep::NotifyServer, 52), (StopStep::Exit, 53),
    ],
}

/// Guards against a node that serves without a configuration, or exits before its last step.
#[test]
fn node_serves_only_when_ready_and_finishes_only_after_its_last_step() {
    let starting = NodeLifecycle::new();
    let Err(starting) = starting.serve(Readiness::NotReady) else { panic!("served unready") };
    let Ok(serving) = starting.serve(Readiness::Ready) else { panic!("not ready") };
    let leaving = serving.signal(at(0), StopOptions::default());
    assert!(leaving.finish().is_err());
}
