//! Detection times and false alarms of the detector on virtual time, with fixed seeds.
//!
//! Unless stated otherwise the sizes are those of docs/design.md, section 1.6: 16 nodes and 72 requests/s
//! per server. The bounds follow from the design's targets: a server that fails all its requests is ejected
//! within 1 s, and a healthy server is ejected less than once a month.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    cases,
    ids::ServerAddr,
    process::{
        detector::{update_score, Detector, Options, TestResult},
        evidence::{EvidenceCounts, InFlightRequest, OutcomeRecorder, RequestEnd},
    },
    time::{Span, Timestamp},
};

const NODES: u32 = 16;
const RATE: f64 = 72.0;
/// Share of requests that fail at a healthy server.
const BASE_BAD: f64 = 0.005;
/// Share of slow responses of a healthy server.
const BASE_SLOW: f64 = 0.005;
/// Number of runs, each with its own seed, per kind of fault.
const RUNS: u64 = 20;
/// Faults start at this time in ms.
const ONSET_MS: u64 = 12_000;

fn addr(i: usize) -> ServerAddr {
    ServerAddr(([127, 0, 0, 1], 9000 + i as u16).into())
}

fn timestamp(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn draw_workspace() -> impl Fn(&mut ChaCha8Rng) -> u32 {
    |rng| rng.random_range(1..=8)
}

/// Runs a service until `end` ms in steps of 1 ms and returns the verdicts that name a suspect or the service.
///
/// `fault` returns the shares of bad outcomes and slow responses for a time, server, node and workspace.
fn run_service(
    seed: u64,
    servers: usize,
    nodes: u32,
    end: u64,
    mut fault: impl FnMut(u64, usize, u32, u32) -> (f64, f64),
) -> Vec<(u64, TestResult)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut detector = Detector::new(Options::default());
    detector.set_servers((0..servers).map(addr));
    let mut counts = vec![vec![EvidenceCounts::default(); nodes as usize]; servers];
    let mut found = Vec::new();
    let draw = draw_workspace();
    for ms in 0..end {
        for (server, counts) in counts.iter_mut().enumerate() {
            if !rng.random_bool(RATE / 1000.0) {
                continue;
            }
            let (node, space) = (rng.random_range(0..nodes), draw(&mut rng));
            let (bad, slow) = fault(ms, server, node, space);
            let c = &mut counts[node as usize];
            if rng.random_bool(bad) {
                c.merge(&EvidenceCounts::new(0, 1, 0));
                c.add_workspace(space, 1);
            } else {
                c.merge(&EvidenceCounts::new(1, 0, u32::from(rng.random_bool(slow))));
                c.add_workspace(space, 0);
            }
        }
        // Nodes report every 100 ms at staggered times; the leader ticks every 20 ms.
        for node in 0..nodes {
            if ms % 100 == u64::from(node) * 100 / u64::from(nodes) {
                for (server, counts) in counts.iter_mut().enumerate() {
                    let c = &mut counts[node as usize];
                    detector.observe(timestamp(ms), node + 1, addr(server), c);
                    *c = EvidenceCounts::default();
                }
            }
        }
        if ms % 20 == 0 {
            match detector.evaluate(timestamp(ms)) {
                TestResult::Suspects(s) if s.is_empty() => {}
                verdict => {
                    if let TestResult::Suspects(list) = &verdict {
                        for s in list {
                            detector.set_excluded(s.server, true);
                        }
                    }
                    found.push((ms, verdict));
                }
            }
        }
    }
    found
}

/// Runs `RUNS` seeds with a fault of server 0 and returns the sorted detection times in ms; `u64::MAX` means
/// not found.
///
/// Panics if another server is found.
fn detection_times(
    name: &str,
    servers: usize,
    nodes: u32,
    limit: u64,
    fault: impl Fn(u64, u32, u32) -> (f64, f64),
) -> Vec<u64> {
    let mut detection_times: Vec<u64> = (0..RUNS)
        .map(|seed| {
            let found =
                run_service(seed, servers, nodes, ONSET_MS + limit, |ms, server, node, space| {
                    if ms >= ONSET_MS && server == 0 {
                        fault(ms - ONSET_MS, node, space)
                    } else {
                        (BASE_BAD, BASE_SLOW)
                    }
                });
            assert!(found.len() <= 1, "{name}, seed {seed}: {found:?}");
            found.first().map_or(u64::MAX, |(ms, verdict)| {
                let TestResult::Suspects(s) = verdict else {
                    panic!("{name}, seed {seed}: {verdict:?}")
                };
                assert_eq!(s[0].server, addr(0), "{name}, seed {seed}");
                assert!(*ms >= ONSET_MS, "{name}, seed {seed}: before the fault");
                ms - ONSET_MS
            })
        })
        .collect();
    detection_times.sort_unstable();
    let missed = detection_times.iter().filter(|t| **t == u64::MAX).count();
    println!(
        "{name}: {servers} servers, {nodes} nodes: p50 {} ms, max {} ms (−1: not found), missed {missed}/{RUNS}",
        detection_times[detection_times.len() / 2] as i64,
        detection_times[detection_times.len() - 1 - missed.min(detection_times.len() - 1)] as i64,
    );
    detection_times
}

/// Guards against a server that fails all its requests and is found later than the stated bound of 1 s.
#[test]
fn server_that_fails_everything_is_found_within_a_second() {
    for servers in [6, 8, 17, 20] {
        let t = detection_times("failing all", servers, NODES, 2_000, |_, _, _| (1.0, 0.0));
        assert!(t[t.len() - 1] <= 1_000, "{t:?}");
    }
}

/// Guards against partial faults that are found late or never. The bounds are the p99 of the design's trials (0.86 s
/// at 30% failures and 4.4 s at 10%) plus 0.3 s for reports, confirmation and ticks.
#[test]
fn partially_failing_server_is_found_within_its_bound() {
    let t = detection_times("failing 30%", 17, NODES, 10_000, |_, _, _| (0.3, 0.0));
    assert!(t[t.len() / 2] <= 1_160, "{t:?}");
    let t = detection_times("failing 10%", 17, NODES, 30_000, |_, _, _| (0.1, 0.0));
    assert!(t[t.len() / 2] <= 4_700, "{t:?}");
}

/// Guards against missing a server that responds to all requests ten times slower.
#[test]
fn slow_server_is_found_within_a_second() {
    let t = detection_times("slow by ten", 17, NODES, 2_000, |_, _, _| (BASE_BAD, 1.0));
    assert!(t[t.len() - 1] <= 1_000, "{t:?}");
}

/// Runs a service with 6 slots per server; returns the first suspect and its detection time in ms after `ONSET_MS`.
///
/// After `ONSET_MS` the requests for which `hangs` is true, given server and node, occupy their slots until their
/// deadline of 5 s. Each node uses its own part of the slots. `rate` requests/s arrive per server; the share `first`
/// of them belongs to one of two workspaces, the rest to the other.
fn time_to_find_hang(
    seed: u64,
    (servers, nodes, rate, first): (usize, usize, f64, f64),
    hangs: impl Fn(usize, usize) -> bool,
) -> Option<(ServerAddr, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut detector = Detector::new(Options::default());
    detector.set_servers((0..servers).map(addr));
    let mut recorders: Vec<OutcomeRecorder> = (0..nodes).map(|_| OutcomeRecorder::new()).collect();
    // Good outcomes alone are reported only every 200 ms, so they may arrive after later bad ones.
    let mut held: Vec<Vec<(ServerAddr, EvidenceCounts)>> = vec![Vec::new(); nodes];
    // Slot `i` belongs to server `i / 6`; the slots are dealt to the nodes in turn.
    let mut slots: Vec<Option<(u64, RequestEnd, InFlightRequest)>> =
        (0..servers * 6).map(|_| None).collect();
    for ms in 0..ONSET_MS + 7_000 {
        for (i, slot) in slots.iter_mut().enumerate() {
            if let Some((_, end, request)) = slot.take_if(|s| s.0 <= ms) {
                recorders[i % nodes].finish(timestamp(ms), &request, end);
            }
        }
        for _ in 0..(0..servers).filter(|_| rng.random_bool(rate / 1000.0)).count() {
            let (node, space) = (rng.random_range(0..nodes), u32::from(rng.random_bool(first)));
            let own = (node..slots.len()).step_by(nodes);
            let free: Vec<usize> = own.filter(|i| slots[*i].is_none()).collect();
            if !free.is_empty() {
                let i = free[rng.random_range(0..free.len())];
                let (takes, end) =
                    match (ms >= ONSET_MS && hangs(i / 6, node), rng.random_bool(BASE_BAD)) {
                        (true, _) => (5_000, RequestEnd::DeadlinePassed),
                        (_, true) => (40, RequestEnd::Response(500)),
                        _ => (rng.random_range(40..50), RequestEnd::Response(200)),
                    };
                slots[i] = Some((
                    ms + takes,
                    end,
                    recorders[node].start(timestamp(ms), addr(i / 6), space),
                ));
            }
        }
        for node in (0..nodes).filter(|n| ms % 100 == (n * 100 / nodes) as u64) {
            for (_, _, request) in slots.iter_mut().skip(node).step_by(nodes).flatten() {
                recorders[node].check(timestamp(ms), request);
            }
            held[node].extend(recorders[node].drain());
            if ms % 200 < 100 || held[node].iter().any(|(_, c)| c.bad > 0) {
                for (server, counts) in held[node].drain(..) {
                    detector.observe(timestamp(ms), node as u32, server, &counts);
                }
            }
        }
        if ms % 20 == 0 {
            if let TestResult::Suspects(list) = detector.evaluate(timestamp(ms)) {
                if let Some(s) = list.first() {
                    assert!(ms >= ONSET_MS, "seed {seed}: {ms} ms, {list:?}");
                    return Some((s.server, ms - ONSET_MS));
                }
            }
        }
    }
    None
}

/// Guards against finding a hanging server only when its requests reach their deadlines. Until then six slots
/// give only six bad outcomes, among the good ones from before the fault.
#[test]
fn hanging_server_is_found_within_a_second() {
    for plan in [(6, 4, 90.0, 0.5), (17, 16, 50.0, 0.5), (17, 16, 90.0, 0.5), (6, 2, 72.0, 0.5)] {
        for seed in 0..RUNS {
            let found = time_to_find_hang(seed, plan, |server, _| server == 0);
            let (server, took) = found.expect("found before the end");
            assert!(
                server == addr(0) && took <= 1_000,
                "{plan:?}, seed {seed}: {server}, {took} ms"
            );
        }
    }
}

/// Guards against ejecting servers when the whole service hangs, or all links of one node.
#[test]
fn hanging_service_or_link_ejects_no_server() {
    for plan in [(6, 4, 40.0, 0.5), (17, 16, 72.0, 0.2)] {
        for seed in 0..RUNS {
            assert_eq!(time_to_find_hang(seed, plan, |_, _| true), None, "{plan:?}, seed {seed}");
            assert_eq!(
                time_to_find_hang(seed, plan, |_, node| node == 1),
                None,
                "{plan:?}, seed {seed}: link"
            );
        }
    }
}

/// Guards against missing a server that flaps with a period shorter or longer than the detector's windows.
#[test]
fn flapping_server_is_found_within_a_second() {
    for period in [200, 1_000, 4_000, 20_000] {
        let name = format!("flapping every {period} ms");
        let t = detection_times(&name, 17, NODES, 2_000, |ms, _, _| {
            (if ms % period < period / 2 { 1.0 } else { BASE_BAD }, BASE_SLOW)
        });
        assert!(t[t.len() - 1] <= 1_000, "{t:?}");
    }
}

/// Guards against ejecting a server for the fault of one node's link.
#[test]
fn fault_of_one_nodes_link_ejects_no_server() {
    let t = detection_times("one node's link", 17, NODES, 15_000, |_, node, _| {
        (if node == 3 { 1.0 } else { BASE_BAD }, BASE_SLOW)
    });
    assert!(t.iter().all(|t| *t == u64::MAX), "{t:?}");
}

/// Guards against waiting for a second node's evidence when only one node sends requests.
#[test]
fn single_node_needs_no_second_reporter() {
    let t = detection_times("only one node", 6, 1, 2_000, |_, _, _| (1.0, 0.0));
    assert!(t[t.len() - 1] <= 1_000, "{t:?}");
}

/// Guards against ejecting servers because the requests of one workspace fail at every server.
#[test]
fn workspace_that_fails_at_every_server_ejects_none() {
    for servers in [6, 17] {
        for seed in 0..RUNS {
            let found = run_service(seed, servers, NODES, ONSET_MS + 15_000, |ms, _, _, space| {
                (if ms >= ONSET_MS && space == 1 { 1.0 } else { BASE_BAD }, BASE_SLOW)
            });
            let suspected: Vec<_> =
                found.iter().filter(|(_, v)| matches!(v, TestResult::Suspects(_))).collect();
            assert!(suspected.is_empty(), "{servers} servers, seed {seed}: {suspected:?}");
        }
    }
}

/// Guards against ejecting a server because the requests of one workspace fail at that server only.
#[test]
fn workspace_that_fails_at_one_server_does_not_eject_it() {
    let t = detection_times("one workspace at one server", 6, NODES, 15_000, |_, _, space| {
        (if space == 1 { 1.0 } else { BASE_BAD }, BASE_SLOW)
    });
    assert!(t.iter().all(|t| *t == u64::MAX), "{t:?}");
}

/// Guards against ejecting servers when the service as a whole becomes slow or fails.
#[test]
fn fault_of_the_whole_service_ejects_no_server() {
    for servers in [6, 17] {
        for (bad, slow) in [(BASE_BAD, 1.0), (1.0, 0.0), (0.3, BASE_SLOW), (BASE_BAD, 0.3)] {
            for seed in 0..RUNS {
                let found = run_service(seed, servers, NODES, ONSET_MS + 6_000, |ms, _, _, _| {
                    if ms >= ONSET_MS {
                        (bad, slow)
                    } else {
                        (BASE_BAD, BASE_SLOW)
                    }
                });
                let suspected: Vec<_> =
                    found.iter().filter(|(_, v)| matches!(v, TestResult::Suspects(_))).collect();
                assert!(
                    suspected.is_empty(),
                    "{servers}, {bad}, {slow}, seed {seed}: {suspected:?}"
                );
            }
        }
    }
}

/// Guards against ejecting the server that shows a sudden slowdown of the whole service first. A run of 40 seeds
/// found this: at seed 11, server 1 was ejected 360 ms after the onset.
#[test]
fn service_slowdown_of_seed_11_ejects_no_server() {
    let found = run_service(11, 6, NODES, 30_000, |ms, _, _, _| {
        (BASE_BAD, if ms >= 20_000 { 0.3 } else { BASE_SLOW })
    });
    assert!(found.iter().all(|(_, v)| *v == TestResult::Service), "{found:?}");
}

/// Guards against ejecting a healthy server more often than once a month.
///
/// Outcomes are drawn in batches of 100 ms at the lowest base rate that the detector assumes (1%). This is the
/// worst case: at higher rates the base follows the service's own rate. Shorter stated intervals need few steps
/// to show the rate. At the stated month no alarm may occur in the simulated time, which is two orders of
/// magnitude below a server-month unless `REDWING_LONG_RUNS` is set.
#[test]
fn false_ejections_stay_below_the_stated_rate() {
    let steps: u64 =
        std::env::var("REDWING_LONG_RUNS").ok().and_then(|s| s.parse().ok()).unwrap_or(30_000);
    // In the first two cases many alarms are expected in the simulated time.
    for (false_alarm_interval, servers) in [
        (Span::from_secs(60), 17),
        (Span::from_secs(600), 17),
        (Options::default().false_alarm_interval, 17),
    ] {
        let alarms =
            false_alarms(7, steps, servers, Options { false_alarm_interval, ..Options::default() });
        let server_secs = steps as f64 * 0.1 * servers as f64;
        let expected = server_secs / false_alarm_interval.as_secs_f64();
        println!(
            "false ejections: {alarms} in {server_secs:.0} server-seconds ({:.3} server-months), {expected:.2} at the \
             stated rate of one in {:.0} s",
            server_secs / Options::default().false_alarm_interval.as_secs_f64(),
            false_alarm_interval.as_secs_f64()
        );
        assert!(alarms as f64 <= expected.max(0.0), "{alarms} alarms, stated {expected:.2}");
    }
}

/// Returns the alarms in `steps` batches of 100 ms at 1% bad and 1% slow outcomes. Verdicts on the whole service
/// (more than half of its servers suspect) are not counted.
fn false_alarms(seed: u64, steps: u64, servers: usize, options: Options) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut detector = Detector::new(options);
    detector.set_servers((0..servers).map(addr));
    let mut alarms = 0;
    for step in 0..steps {
        let now = timestamp(step * 100);
        for server in 0..servers {
            // Two halves of about 3.6 outcomes each, from two nodes that change with every step.
            for half in 0..2 {
                let (mut c, n) = (EvidenceCounts::default(), 3 + u32::from(rng.random_bool(0.6)));
                for _ in 0..n {
                    if rng.random_bool(0.01) {
                        c.merge(&EvidenceCounts::new(0, 1, 0));
                        c.add_workspace(rng.random_range(1..=8), 1);
                    } else {
                        c.merge(&EvidenceCounts::new(1, 0, u32::from(rng.random_bool(0.01))));
                    }
                }
                let node = (step as u32 * 2 + half) % NODES + 1;
                detector.observe(now, node, addr(server), &c);
            }
        }
        if let TestResult::Suspects(list) = detector.evaluate(now) {
            for s in list {
                alarms += 1;
                // Excluding and including a server restarts its test.
                detector.set_excluded(s.server, true);
                detector.set_excluded(s.server, false);
            }
        }
    }
    alarms
}

/// Guards against a batch whose score exceeds that of some order of its outcomes.
#[test]
fn batch_score_is_bounded_by_every_order_of_its_outcomes() {
    let (base, p) = (0.01, 0.05);
    for (hits, misses) in [(1_u32, 7_u32), (3, 5), (5, 3), (2, 8)] {
        let n = hits + misses;
        for start in [0.0, 0.05, 1.0, 5.0] {
            let batch = update_score(start, f64::from(hits), f64::from(misses), base, p);
            let highest = update_score(start, 0.0, f64::from(misses), base, p)
                + f64::from(hits) * (p / base).ln();
            for order in (0_u32..1 << n).filter(|o| o.count_ones() == hits) {
                let one = (0..n).fold(start, |s, i| {
                    let hit = f64::from(order >> i & 1);
                    update_score(s, hit, 1.0 - hit, base, p)
                });
                assert!(batch <= one + 1e-9, "{hits} {misses} {order:b}");
                assert!(one <= highest + 1e-9, "{hits} {misses} {order:b}");
            }
        }
    }
}

fn threshold(rate: f64) -> f64 {
    (Options::default().threshold(rate) * 10.0).round() / 10.0
}

fn alternative(base: f64) -> bool {
    let o = Options::default();
    (0..3).all(|i| o.alternative(i, base) > base && o.alternative(i, base) < 1.0)
}

cases! {
    threshold;
    /// Guards against more than one false alarm in a server-month at 72 requests/s, over two tests of three
    /// alternatives each.
    threshold_at_72_requests_per_second: 72.0 => 20.9,
    /// Guards against a threshold of minus infinity at a rate of zero.
    threshold_without_requests_is_finite: 0.0 => 16.6,
}

cases! {
    alternative;
    /// Guards against alternatives below the base rate of a service that fails often: a bad outcome would then
    /// lower the score.
    alternative_exceeds_a_low_base_rate: 0.01 => true,
    alternative_exceeds_a_base_rate_of_half: 0.5 => true,
    alternative_exceeds_a_high_base_rate: 0.95 => true,
}

/// Guards against state that grows with the number of nodes or workspaces.
#[test]
fn detector_state_stays_within_its_size_limit() {
    println!("detector: {} bytes a server", Detector::BYTES_PER_SERVER);
    let bytes = Detector::BYTES_PER_SERVER;
    assert!(bytes <= 512, "{bytes}");
}
