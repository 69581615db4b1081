//! The registry of backend servers: their records, their estimated health and the choice among them.

mod common {
    pub(crate) mod servers;
}

use common::servers::{self, at, id, offset};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    cases,
    ids::{DataCentre, ServiceName},
    process::{
        health_estimate::{HealthEstimate, HealthOptions, Observation},
        picker::{pick, PickRequest, PickerOptions},
        registration::{Registration, RegistrationState, ServerId},
        server_registry::{Change, RegistryOptions, ServerRegistry},
        tracked_server::{Counts, ServerReport},
    },
    time::{Span, Timestamp},
};
use std::collections::HashMap;

fn registration(number: u8, state: RegistrationState, started: u64, report: u64) -> Registration {
    let zone = if number.is_multiple_of(2) { "a" } else { "b" }.into();
    Registration { zone, ..servers::registration(number, state, started, report) }
}

fn ready(number: u8) -> Registration {
    registration(number, RegistrationState::Ready, 1, 1)
}

fn registry(count: u8) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    for number in 0..count {
        registry.apply_record(at(0), &id(number), offset(u64::from(number)), Some(ready(number)));
    }
    registry
}

fn usable(registry: &ServerRegistry, now: Timestamp) -> usize {
    registry.usable(now, &ServiceName::from("orders")).len()
}

/// State, start and number of a report; `None` ends the registration.
type Report = Option<(RegistrationState, u64, u64)>;

/// Applies records of server 0, which is registered with start 5 and report 5. Returns the last change and the
/// number of usable servers.
fn last_change(records: &[(u64, Report)]) -> (Change, usize) {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    registry.apply_record(
        at(0),
        &id(0),
        offset(10),
        Some(registration(0, RegistrationState::Ready, 5, 5)),
    );
    let mut change = Change::Nothing;
    for (position, record) in records {
        let registration =
            record.map(|(state, started, report)| registration(0, state, started, report));
        change = registry.apply_record(at(1), &id(0), offset(*position), registration);
    }
    (change, usable(&registry, at(5_000)))
}

const READY: RegistrationState = RegistrationState::Ready;
const DRAINING: RegistrationState = RegistrationState::Draining;

cases! {
    last_change;
    /// Guards against new requests to a server that reports that it is draining.
    draining_report_takes_a_server_out_of_use: &[(11, Some((DRAINING, 5, 6)))] => (Change::Draining, 0),
    /// Guards against a draining server that a delayed report brings back.
    late_report_does_not_undo_drain: &[(11, Some((DRAINING, 5, 7))), (12, Some((READY, 5, 6)))] => (Change::Nothing, 0),
    /// Guards against a report of an earlier start that arrives late.
    report_of_an_earlier_start_is_ignored: &[(11, Some((DRAINING, 6, 1))), (12, Some((READY, 5, 9)))]
        => (Change::Nothing, 0),
    /// Guards against a restarted server that stays out of use because its report numbers start again.
    new_start_of_a_draining_server_joins: &[(11, Some((DRAINING, 5, 9))), (12, Some((READY, 6, 1)))]
        => (Change::Joined, 1),
    /// Guards against applying a record again that another node has already relayed.
    record_of_a_known_position_is_ignored: &[(11, Some((DRAINING, 5, 6))), (11, Some((READY, 5, 7)))]
        => (Change::Nothing, 0),
    /// Guards against using a server whose registration has been removed.
    record_without_registration_ends_a_server: &[(11, None)] => (Change::Ended, 0),
    /// Guards against a lapsed registration that its server's next report does not restore.
    lapsed_registration_returns_with_the_next_report: &[(11, None), (12, Some((READY, 5, 6)))] => (Change::Returned, 1),
    /// Guards against a late end of a registration that removes a server which has registered since.
    end_of_an_earlier_position_is_ignored: &[(9, None)] => (Change::Nothing, 1),
}

/// Guards against keeping servers that a snapshot no longer lists, and against ending servers that joined after it.
#[test]
fn snapshot_ends_servers_that_it_lacks() {
    let mut registry = registry(4);
    registry.apply_record(at(1), &id(9), offset(20), Some(ready(9)));
    let records = vec![(ready(0), offset(0)), (registration(1, DRAINING, 1, 2), offset(7))];
    let changes: HashMap<ServerId, Change> =
        registry.apply_snapshot(at(10), offset(15), records).into_iter().collect();
    let expected = [(id(1), Change::Draining), (id(2), Change::Ended), (id(3), Change::Ended)]
        .into_iter()
        .collect();
    assert_eq!(changes, expected);
    assert_eq!(usable(&registry, at(5_000)), 2);
}

/// Guards against a service that loses all its servers because their registrations lapsed during a store outage,
/// and against servers that stay in use although they do not register again.
#[test]
fn servers_that_lapse_in_a_store_outage_stay_for_a_short_time() {
    let mut registry = registry(3);
    registry.record_store_outage(at(100));
    registry.apply_record(at(200), &id(0), offset(10), None);
    assert_eq!(usable(&registry, at(300)), 3);
    assert_eq!(usable(&registry, at(2_500)), 2);
}

/// Guards against using a server on after its registration ended while the store was reachable.
#[test]
fn ended_server_is_unusable_at_once() {
    let mut registry = registry(3);
    registry.apply_record(at(200), &id(0), offset(10), None);
    assert_eq!(usable(&registry, at(201)), 2);
}

#[derive(Clone, Copy, Debug)]
struct Step {
    server: u8,
    kind: u8,
    started: u8,
    report: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step {
            server: u8::arbitrary(g) % 4,
            kind: u8::arbitrary(g) % 3,
            started: u8::arbitrary(g) % 3,
            report: u8::arbitrary(g) % 8,
        }
    }
}

/// Guards against a node that learns records from another node and ends with different servers than that node.
#[test]
fn relayed_records_lead_to_the_same_servers() {
    fn check(steps: Vec<Step>, cut: u8) -> bool {
        let mut first = ServerRegistry::new(RegistryOptions::default());
        let mut second = ServerRegistry::new(RegistryOptions::default());
        let mut known = offset(0);
        for (position, step) in (0u64..).zip(steps) {
            let state = if step.kind == 0 { READY } else { DRAINING };
            let new = registration(step.server, state, step.started.into(), step.report.into());
            let record = (step.kind < 2).then_some(new);
            first.apply_record(at(position), &id(step.server), offset(position), record);
            if position % u64::from(cut % 5 + 1) == 0 {
                let Some(records) = first.changes_since(known) else { return false };
                for (id, position, registration) in records {
                    second.apply_record(at(position.offset), &id, position, registration);
                }
                known = offset(position + 1);
            }
        }
        for (id, position, registration) in first.changes_since(known).unwrap_or_default() {
            second.apply_record(at(position.offset), &id, position, registration);
        }
        let listed = |registry: &ServerRegistry| {
            let mut entries: Vec<String> = registry
                .registrations()
                .iter()
                .map(|(e, _)| format!("{} {:?} {}", e.id.as_str(), e.state, e.started))
                .collect();
            entries.sort();
            entries
        };
        listed(&first) == listed(&second)
    }
    let gen = Gen::from_size_and_seed(40, 0x726f_7374);
    QuickCheck::new().rng(gen).tests(2_000).quickcheck(check as fn(Vec<Step>, u8) -> bool);
}

fn is_estimated_failing(observations: &[Observation]) -> bool {
    let options = HealthOptions::default();
    let mut estimate = HealthEstimate::new(at(0));
    for observation in observations {
        estimate.observe(&options, at(0), *observation, 1.0);
    }
    estimate.failing_probability(&options, at(0)) > 0.5
}

cases! {
    is_estimated_failing;
    server_without_observations_is_healthy: &[] => false,
    /// Guards against a failing server that has to fail several requests before it is avoided.
    first_error_marks_an_unknown_server_as_failing: &[Observation::Error] => true,
    /// Guards against avoiding a server that is known to work after a single error.
    one_error_after_successes_is_tolerated: &[Observation::Success, Observation::Success, Observation::Error] => false,
    two_errors_after_successes_mark_a_server_as_failing: &[
        Observation::Success, Observation::Success, Observation::Error, Observation::Error,
    ] => true,
    /// Guards against avoiding a server because of one long request.
    one_slow_response_is_tolerated: &[Observation::Slow] => false,
    several_slow_responses_mark_a_server_as_failing: &[Observation::Slow, Observation::Slow, Observation::Slow] => true,
}

/// Guards against a probability outside 0 to 1 and against health estimates that do not fade with time.
#[test]
fn health_estimate_stays_a_probability_and_fades() {
    fn check(observations: Vec<(u8, u16)>) -> bool {
        let options = HealthOptions::default();
        let mut estimate = HealthEstimate::new(at(0));
        let mut now = 0;
        for (kind, pause) in observations {
            now += u64::from(pause % 2_000);
            let all = [
                Observation::Success,
                Observation::Error,
                Observation::Lost,
                Observation::Unreachable,
                Observation::Slow,
            ];
            estimate.observe(&options, at(now), all[usize::from(kind) % all.len()], 1.0);
            if !(0.0..=1.0).contains(&estimate.failing_probability(&options, at(now))) {
                return false;
            }
        }
        let rest = options.onset_per_s / (options.onset_per_s + options.recovery_per_s);
        (estimate.failing_probability(&options, at(now + 120_000)) - rest).abs() < 0.01
    }
    let gen = Gen::from_size_and_seed(50, 0x6265_6c66);
    QuickCheck::new().rng(gen).tests(1_000).quickcheck(check as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against a failure that is hidden by successes of requests sent before it and answered after it.
#[test]
fn earlier_successes_do_not_hide_a_failure() {
    let mut registry = registry(1);
    let failing = |registry: &ServerRegistry, now| {
        registry
            .server(&id(0))
            .expect("a registered server")
            .failure_probability(&registry.options().health, now)
    };
    registry.observe(at(1_000), &id(0), Observation::Error, at(999));
    let after = failing(&registry, at(1_000));
    for _ in 0..3 {
        registry.observe(at(1_100), &id(0), Observation::Success, at(600));
    }
    assert!(failing(&registry, at(1_100)) > after - 0.05);
    registry.observe(at(1_600), &id(0), Observation::Success, at(1_200));
    assert!(
        failing(&registry, at(1_600)) < after * 0.6,
        "the success of a request sent after the failure counts"
    );
    assert!(registry.take_reports()[0].counts.good == 1);
}

/// Guards against losing the knowledge of suspect servers when all processes end at once.
#[test]
fn restored_suspect_stays_suspect_when_it_registers() {
    let mut before = registry(2);
    before.observe(at(0), &id(1), Observation::Error, at(0));
    before.observe(at(0), &id(1), Observation::Error, at(0));
    let suspects = before.suspects(at(100));
    assert_eq!(suspects.iter().map(|(id, _)| id.clone()).collect::<Vec<_>>(), [id(1)]);
    let mut after = ServerRegistry::new(RegistryOptions::default());
    after.restore_suspects(at(100), suspects);
    after.apply_record(at(200), &id(1), offset(1), Some(ready(1)));
    assert_eq!(after.suspects(at(200)).len(), 1);
}

fn request<'a>(service: &'a ServiceName, zone: &'a DataCentre, bytes: f64) -> PickRequest<'a> {
    let target = Span::from_secs(2);
    PickRequest {
        service,
        target,
        zone,
        failure_loss: 1.0,
        bytes,
        tried: &[],
        max_in_flight: 100,
        max_response_time: None,
    }
}

/// Picks 3,000 times and returns how often each server was chosen.
fn count_picks(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    request: &PickRequest<'_>,
) -> HashMap<ServerId, u32> {
    let mut rng = StdRng::seed_from_u64(11);
    let mut counts = HashMap::new();
    for _ in 0..3_000 {
        let choice = pick(options, registry, now, request, &mut rng);
        *counts.entry(choice.expect("a server").id).or_insert(0) += 1;
    }
    counts
}

/// Counts picks for requests that cannot be repeated and whose responses have this many bytes.
fn picks(options: &PickerOptions, registry: &ServerRegistry, bytes: f64) -> HashMap<ServerId, u32> {
    let (service, zone) = (ServiceName::from("orders"), DataCentre::from("a"));
    count_picks(options, registry, at(1_000), &request(&service, &zone, bytes))
}

/// Counts picks at `now` for requests of failure loss `failure`, while the healthy half of the servers has requests
/// in flight.
fn picks_at(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    failure: f64,
) -> HashMap<ServerId, u32> {
    let (service, zone) = (ServiceName::from("orders"), DataCentre::from("a"));
    let mut registry = registry.clone();
    for number in [1, 3, 5, 7, 9] {
        registry.observe(now, &id(number), Observation::Success, now);
        registry.record_send(now, &id(number));
    }
    let request = PickRequest { failure_loss: failure, ..request(&service, &zone, 0.0) };
    count_picks(options, &registry, now, &request)
}

fn use_all_servers(registry: &mut ServerRegistry) {
    for number in 0..10 {
        registry.record_send(at(900), &id(number));
        registry.record_end(&id(number));
    }
}

/// Guards against sending requests to a server that just failed while others are healthy.
#[test]
fn failing_server_gets_almost_no_requests() {
    let mut registry = registry(10);
    use_all_servers(&mut registry);
    registry.observe(at(1_000), &id(4), Observation::Error, at(999));
    let counts = picks(&PickerOptions::default(), &registry, 0.0);
    assert!(counts.get(&id(4)).copied().unwrap_or(0) < 10, "{counts:?}");
    assert!(counts[&id(3)] > 200, "{counts:?}");
}

/// Guards against bursts that go to failing servers because the healthy ones are busy.
#[test]
fn busy_healthy_server_is_preferred_to_an_idle_failing_one() {
    let mut registry = registry(2);
    registry.observe(at(990), &id(0), Observation::Error, at(989));
    for _ in 0..9 {
        registry.record_send(at(990), &id(1));
    }
    let options = PickerOptions { floor: 0.0, ..PickerOptions::default() };
    let counts = picks(&options, &registry, 0.0);
    assert!(counts[&id(1)] > 2_900, "{counts:?}");
}

/// Guards against requests that pile up at a few busy servers.
#[test]
fn loaded_server_gets_fewer_requests() {
    let mut registry = registry(2);
    let report = ServerReport { tag: id(0).tag(), counts: Counts::default(), in_flight: 12 };
    registry.add_peer_report(at(900), 77, &report);
    let options = PickerOptions { floor: 0.0, ..PickerOptions::default() };
    let counts = picks(&options, &registry, 0.0);
    assert!(counts[&id(1)] > 2 * counts.get(&id(0)).copied().unwrap_or(0), "{counts:?}");
}

/// Guards against less urgent requests that fill the servers' queues and make urgent ones late.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let mut registry = registry(2);
    for _ in 0..20 {
        registry.observe(at(0) + Span::from_millis(500), &id(0), Observation::Success, at(0));
    }
    for (number, in_flight) in [(0, 30), (1, 12)] {
        let report = ServerReport { tag: id(number).tag(), counts: Counts::default(), in_flight };
        registry.add_peer_report(at(900), 77, &report);
    }
    let (service, zone) = (ServiceName::from("orders"), DataCentre::from("a"));
    let mut rng = StdRng::seed_from_u64(3);
    let mut bounded = |registry: &ServerRegistry, rank, millis| {
        let bound = registry.max_response_time(at(millis), &service, rank);
        let request = PickRequest { max_response_time: bound, ..request(&service, &zone, 0.0) };
        pick(&PickerOptions::default(), registry, at(1_000), &request, &mut rng).map(|c| c.id)
    };
    registry.record_rank(at(900), &service, 2, Span::from_secs(4));
    assert!(bounded(&registry, 2, 1_000).is_some(), "there are no more urgent requests");
    // 13 requests at 6 slots take 1.1 s, and 31 take 2.6 s. Late begins at 0.6 of the target.
    registry.record_rank(at(900), &service, 0, Span::from_millis(2_000));
    for _ in 0..50 {
        assert_eq!(bounded(&registry, 2, 1_000), Some(id(1)));
    }
    for target in [1_500, 900] {
        registry.record_rank(at(900), &service, 0, Span::from_millis(target));
        assert_eq!(bounded(&registry, 2, 1_000), None);
    }
    assert!(bounded(&registry, 0, 1_000).is_some(), "the most urgent rank has no bound");
    assert!(bounded(&registry, 2, 4_000).is_some(), "the urgent requests are no longer recent");
}

/// Guards against long responses that cross data centres while servers of the own data centre are healthy.
#[test]
fn long_responses_stay_in_the_data_centre() {
    let mut registry = registry(10);
    use_all_servers(&mut registry);
    let options = PickerOptions { zone_cost_mb: 7.0, ..PickerOptions::default() };
    let counts = picks(&options, &registry, 90_000.0);
    let far: u32 =
        (0..10).filter(|n: &u8| !n.is_multiple_of(2)).filter_map(|n| counts.get(&id(n))).sum();
    assert_eq!(far, 0, "{counts:?}");
}

/// Returns ten servers: the half in the own data centre fails and has no requests in flight.
fn half_failing() -> ServerRegistry {
    let mut registry = registry(10);
    for number in [0, 2, 4, 6, 8] {
        registry.observe(at(1_000), &id(number), Observation::Error, at(999));
        registry.observe(at(1_000), &id(number), Observation::Error, at(999));
    }
    for number in [1, 3, 5, 7, 9] {
        registry.record_send(at(900), &id(number));
    }
    registry
}

fn near_picks(counts: &HashMap<ServerId, u32>) -> u32 {
    [0, 2, 4, 6, 8].iter().filter_map(|n| counts.get(&id(*n))).sum()
}

/// Guards against avoiding so many suspect servers that less than the declared share of servers is in use while
/// callers are not served.
#[test]
fn declared_share_stays_in_use_while_callers_are_not_served() {
    let mut registry = half_failing();
    for number in 0..100 {
        registry.record_outcome(at(900), &ServiceName::from("orders"), number % 19 != 0);
    }
    let counts = picks(&PickerOptions::default(), &registry, 0.0);
    assert!(
        (1_000..=1_400).contains(&near_picks(&counts)),
        "4 of 10 servers are missing, so 4 in 10 picks go there: {counts:?}"
    );
    for number in 0..100 {
        registry.record_outcome(at(900), &ServiceName::from("orders"), number % 8 != 0);
    }
    let counts = picks(&PickerOptions::default(), &registry, 0.0);
    assert!(
        (1_300..=1_700).contains(&near_picks(&counts)),
        "5 of 10 servers are missing while more callers are not served: {counts:?}"
    );
    let none = PickerOptions { floor: 0.0, ..PickerOptions::default() };
    let counts = picks(&none, &registry, 0.0);
    assert!(near_picks(&counts) < 20, "{counts:?}");
}

/// Guards against a server without work, which may be healthy again, while a tenth of the requests is not served and 10 of 11
/// servers are in use.
#[test]
fn all_servers_are_used_while_many_requests_are_not_served() {
    let mut registry = registry(11);
    for number in 0..10 {
        registry.record_send(at(900), &id(number));
    }
    registry.observe(at(950), &id(10), Observation::Error, at(949));
    let tried = |registry: &ServerRegistry| {
        picks(&PickerOptions::default(), registry, 0.0).get(&id(10)).copied().unwrap_or(0)
    };
    assert!(tried(&registry) < 20, "the callers are served");
    for number in 0..200 {
        registry.record_outcome(at(960), &ServiceName::from("orders"), number % 10 != 0);
    }
    assert!(tried(&registry) > 100, "1 of 11 servers is missing");
}

/// Guards against callers that are not served although the declared share of all servers is in use, because it is not
/// the declared share of the healthy ones. In the trial cnsa-gateway-grown trouble-3, 9 of 29 healthy servers got
/// no requests for two seconds.
#[test]
fn more_servers_are_used_while_callers_are_not_served() {
    let mut registry = registry(10);
    for number in 0..8 {
        registry.record_send(at(900), &id(number));
    }
    for number in [8, 9] {
        registry.observe(at(1_000), &id(number), Observation::Error, at(999));
    }
    let tried = |registry: &ServerRegistry| {
        picks(&PickerOptions::default(), registry, 0.0).get(&id(8)).copied()
    };
    assert!(tried(&registry).unwrap_or(0) < 20, "the callers are served");
    for number in 0..100 {
        registry.record_outcome(at(900), &ServiceName::from("orders"), number % 8 != 0);
    }
    assert!(
        tried(&registry).unwrap_or(0) > 200,
        "1 of 10 servers is missing, so 1 in 10 picks goes there"
    );
}

/// Guards against repeatable requests that avoid failing servers and so never show that these have recovered.
#[test]
fn repeatable_requests_keep_the_declared_share_in_use() {
    let registry = half_failing();
    let counts = picks_at(&PickerOptions::default(), &registry, at(1_000), 0.8);
    assert!((700..=1_100).contains(&near_picks(&counts)), "{counts:?}");
}

/// Guards against unrepeatable requests that are lost at servers which just failed, although the others serve all
/// callers, and against servers that never get such requests again after one failure.
#[test]
fn unrepeatable_requests_try_a_failing_server_only_after_a_while() {
    let registry = half_failing();
    let counts = picks_at(&PickerOptions::default(), &registry, at(3_000), 1.0);
    assert!(near_picks(&counts) < 20, "{counts:?}");
    let counts = picks_at(&PickerOptions::default(), &registry, at(13_000), 1.0);
    assert!(near_picks(&counts) > 700, "{counts:?}");
}

/// Guards against a share of unserved requests that fades too early, never fades, or is large after one failure.
#[test]
fn unserved_share_covers_only_the_newest_requests() {
    let (mut here, mut there) = (registry(1), registry(1));
    let orders = ServiceName::from("orders");
    here.record_outcome(at(0), &orders, false);
    assert!(here.unserved_share(at(0), &orders) < 0.12);
    for _ in 0..11 {
        here.record_outcome(at(0), &orders, false);
    }
    for (tag, counts) in here.take_outcome_counts() {
        there.add_peer_outcomes(at(250), tag, counts);
        there.add_peer_outcomes(at(250), tag.wrapping_add(1), counts);
    }
    assert!(here.take_outcome_counts().is_empty(), "counts are reported once");
    for (millis, expected) in [(250, 0.6), (2_000, 0.6), (2_500, 0.0)] {
        assert_eq!(there.unserved_share(at(millis), &orders), expected, "{millis}");
    }
}

/// Brings `to`, which knows all records before `known`, up to the records before `end` that `from` knows, like a node
/// that asks another one.
fn relay(from: &ServerRegistry, to: &mut ServerRegistry, known: u64, end: u64) {
    match from.changes_since(offset(known)).filter(|_| known > 0) {
        Some(records) => {
            for (id, position, registration) in records {
                to.apply_record(at(end), &id, position, registration);
            }
        }
        None => drop(to.apply_snapshot(at(end), offset(end), from.registrations())),
    }
}

/// Guards against a server that stays in use because the node that relays its end started after it.
#[test]
fn end_of_a_server_is_relayed_by_a_node_that_started_after_it() {
    let mut behind = registry(3);
    let mut started = ServerRegistry::new(RegistryOptions::default());
    started.apply_snapshot(
        at(1_000),
        offset(4),
        vec![(ready(0), offset(0)), (ready(2), offset(2))],
    );
    relay(&started, &mut behind, 3, 4);
    assert_eq!(usable(&behind, at(5_000)), 2);
}

/// Guards against a server that stays in use because the node that relays its end had removed it before.
#[test]
fn end_of_a_server_is_relayed_by_a_node_that_removed_it() {
    for is_removed_first in [true, false] {
        let (mut behind, mut relaying) = (registry(3), registry(3));
        if is_removed_first {
            relaying.remove_displaced(&id(1));
        }
        relaying.apply_record(at(1_000), &id(1), offset(3), None);
        relaying.remove_displaced(&id(1));
        relay(&relaying, &mut behind, 3, 4);
        assert_eq!(usable(&behind, at(5_000)), 2, "removed first: {is_removed_first}");
    }
}

/// Guards against a server at whose address another one runs, and that each node of the fleet has to find out by itself.
#[test]
fn displaced_server_is_a_suspect_at_the_other_nodes() {
    let (mut finder, mut other) = (registry(3), registry(3));
    finder.record_send(at(900), &id(1));
    finder.remove_displaced(&id(1));
    let reports = finder.take_reports();
    assert_eq!(reports.len(), 1, "one report on the removed server");
    for report in &reports {
        other.add_peer_report(at(1_000), 7, report);
    }
    let suspects: Vec<ServerId> = other.suspects(at(1_000)).into_iter().map(|(id, _)| id).collect();
    assert_eq!(suspects, [id(1)]);
    assert!(finder.take_reports().is_empty(), "it is told once");
}

/// Guards against a full list to every node of a fleet because one of them started.
#[test]
fn node_that_got_a_full_list_relays_changes() {
    let mut behind = registry(3);
    behind.apply_snapshot(at(1_000), offset(4), vec![(ready(0), offset(0)), (ready(2), offset(2))]);
    let changes = behind.changes_since(offset(3)).expect("it knew every server before the list");
    assert_eq!(changes, [(id(1), offset(3), None)]);
}

/// Guards against nodes that start, remove servers or skip records and then relay less than they know.
#[test]
fn every_relaying_node_leads_to_the_same_servers() {
    fn check(steps: Vec<Step>) -> bool {
        let new = || ServerRegistry::new(RegistryOptions::default());
        let (mut store, mut relaying, mut behind) = (new(), new(), new());
        let (mut is_cut, mut known) = (false, 0);
        for (position, step) in (0u64..).zip(steps) {
            let end = position + 1;
            let state = if step.kind == 0 { READY } else { DRAINING };
            let record =
                (step.kind < 2).then(|| registration(step.server, state, end, step.report.into()));
            store.apply_record(at(position), &id(step.server), offset(position), record.clone());
            match step.report {
                0 => is_cut = true,
                1 => relaying = new(),
                2 => relaying.remove_displaced(&id(step.started)),
                _ => {}
            }
            if step.report == 1 || (is_cut && step.report > 3) {
                relaying.apply_snapshot(at(position), offset(end), store.registrations());
                is_cut = false;
            } else if !is_cut {
                relaying.apply_record(at(position), &id(step.server), offset(position), record);
            }
            if !is_cut && step.started == 0 {
                relay(&relaying, &mut behind, known, end);
                known = end;
                let listed = store.registrations();
                let is_listed = |id: &ServerId| listed.iter().any(|(r, _)| r.id == *id);
                if behind.registrations().iter().any(|(r, _)| !is_listed(&r.id)) {
                    return false;
                }
            }
        }
        true
    }
    let gen = Gen::from_size_and_seed(40, 0x726f_7374);
    QuickCheck::new().rng(gen).tests(2_000).quickcheck(check as fn(Vec<Step>) -> bool);
}

/// Guards against a server that is used again because an older list or record arrives after a newer snapshot.
#[test]
fn older_state_does_not_restore_a_server_that_a_snapshot_ended() {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    registry.apply_snapshot(at(0), offset(6), vec![(ready(0), offset(0))]);
    registry.apply_snapshot(at(1), offset(4), vec![(ready(0), offset(0)), (ready(1), offset(1))]);
    assert_eq!(usable(&registry, at(5_000)), 1, "after the list");
    assert_eq!(registry.apply_record(at(2), &id(2), offset(2), Some(ready(2))), Change::Nothing);
    assert_eq!(registry.apply_record(at(3), &id(1), offset(6), Some(ready(1))), Change::Joined);
}
