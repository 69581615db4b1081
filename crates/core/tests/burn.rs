//! Counts, windows, alerts and merging of `BurnCounter`, on virtual time.

use quickcheck::quickcheck;
use redwingtrestle_core::{
    cases,
    codes::ResultCode,
    ids::{DataCentre, RankName, ServerAddr, ServiceName, Version},
    process::burn::{BurnCounter, CallerOutcome, Report, RequestClass, Window, BUCKET, WINDOWS},
    time::{Span, Timestamp},
    version::spec::{RankSpec, ServerSpec, ServiceSpec, Spec},
};

const TARGET: Span = Span::from_millis(200);

fn spec(ranks: &[(&str, u32)]) -> Spec {
    let service = ServiceSpec {
        servers: vec![ServerSpec {
            addr: ServerAddr(([127, 0, 0, 1], 9000).into()),
            data_centre: DataCentre::from("concord"),
            slots: 6,
            connections: 390,
        }],
        floor: 3,
        ranks: ranks
            .iter()
            .map(|(name, objective)| RankSpec {
                name: (*name).into(),
                share: 10,
                target: TARGET,
                objective: *objective,
            })
            .collect(),
        cold_start: Span::from_secs(10),
    };
    Spec { services: [("orders".into(), service)].into(), ..Spec::default() }
}

fn burn() -> BurnCounter {
    let mut burn = BurnCounter::new();
    burn.configure(Version(1), &spec(&[("urgent", 990), ("normal", 900)]));
    burn
}

fn record(burn: &mut BurnCounter, secs: u64, good: bool) -> Option<RequestClass> {
    let status = if good { 200 } else { 500 };
    let outcome = CallerOutcome::Response { status, latency: Span::from_millis(5) };
    burn.record(at(secs), &"orders".into(), &"urgent".into(), outcome)
}

fn at(secs: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(secs)
}

fn bad_counts(report: &Report) -> [u64; 4] {
    report.rows[0].windows.map(|c| c.bad())
}

fn classify(outcome: CallerOutcome) -> Option<RequestClass> {
    outcome.classify(TARGET)
}

fn response(status: u16, millis: u64) -> CallerOutcome {
    CallerOutcome::Response { status, latency: Span::from_millis(millis) }
}

cases! {
    classify;
    /// Guards against counting a response exactly at the target as late.
    response_at_the_target_is_good: response(200, 200) => Some(RequestClass::Good),
    /// Guards against counting a late response as good.
    response_above_the_target_is_late: response(200, 201) => Some(RequestClass::Late),
    /// Guards against charging the service for its callers' faults.
    client_fault_is_not_counted: response(404, 900) => None,
    /// Guards against counting a failed response as late or good.
    server_fault_is_failed: response(500, 900) => Some(RequestClass::Failed),
    /// Guards against charging the service for a caller that went away.
    cancellation_is_not_counted: CallerOutcome::CallerGone => None,
    /// Guards against counting sheds of a server as the node's own refusals.
    shed_has_a_class_of_its_own: CallerOutcome::Coded(ResultCode::Shed) => Some(RequestClass::Shed),
    /// Guards against not counting the node's own refusals.
    refusal_is_bad: CallerOutcome::Coded(ResultCode::QueueFull) => Some(RequestClass::Refused),
    /// Guards against counting a lost response as a failure although the request may have run.
    lost_server_is_unknown: CallerOutcome::Coded(ResultCode::ServerLost) => Some(RequestClass::Unknown),
    /// Guards against not counting a forgotten key because of its 4xx status.
    forgotten_key_is_unknown: CallerOutcome::Coded(ResultCode::KeyForgotten) => Some(RequestClass::Unknown),
    /// Guards against charging the service for an unreadable key.
    bad_key_is_not_counted: CallerOutcome::Coded(ResultCode::BadKey) => None,
    /// Guards against charging the service for a body that its caller cut off.
    cut_body_is_not_counted: CallerOutcome::Coded(ResultCode::BodyBroken) => None,
    /// Guards against counting a request that ran as a failure.
    answer_not_kept_is_good: CallerOutcome::Coded(ResultCode::AnswerNotKept) => Some(RequestClass::Good),
}

/// Guards against windows that keep counts too long or drop them too early.
#[test]
fn counts_leave_each_window_in_turn() {
    let mut burn = burn();
    record(&mut burn, 0, false);
    let steps = [
        (0, [1, 1, 1, 1]),
        (299, [1, 1, 1, 1]),
        (300, [0, 1, 1, 1]),
        (1_799, [0, 1, 1, 1]),
        (1_800, [0, 0, 1, 1]),
        (3_600, [0, 0, 0, 1]),
        (21_599, [0, 0, 0, 1]),
        (21_600, [0, 0, 0, 0]),
    ];
    for (secs, expected) in steps {
        assert_eq!(bad_counts(&burn.report(at(secs))), expected, "at {secs} s");
    }
}

/// Guards against counts of an earlier turn of the ring buffer that appear as new ones.
#[test]
fn long_gap_between_requests_clears_the_ring_buffer() {
    let mut burn = burn();
    (0..40).for_each(|i| {
        record(&mut burn, i * 600, false);
    });
    let late = 40 * 600 + 10 * 21_600;
    record(&mut burn, late, false);
    assert_eq!(bad_counts(&burn.report(at(late))), [1; 4]);
}

/// Guards against a panic or lost counts when a thread's time is older than the newest bucket.
#[test]
fn an_old_time_is_counted_in_its_own_bucket() {
    let mut burn = burn();
    record(&mut burn, 30_000, false);
    record(&mut burn, 29_400, false);
    record(&mut burn, 1, false);
    assert_eq!(bad_counts(&burn.report(at(30_000))), [1, 2, 2, 2]);
    assert_eq!(bad_counts(&burn.report(at(0))), [1, 2, 2, 2]);
}

/// Guards against a wrong sign or scale of burn rate and budget.
#[test]
fn burn_rate_and_budget_follow_the_objective() {
    let mut burn = burn();
    (0..100).for_each(|i| {
        record(&mut burn, 10, i >= 2);
    });
    let row = &burn.report(at(10)).rows[0];
    assert!((row.burn_rate(Window::FiveMinutes) - 2.0).abs() < 1e-9);
    assert!((row.budget_left() + 1.0).abs() < 1e-9);
    let idle = &burn.report(at(10)).rows[1];
    assert_eq!((idle.burn_rate(Window::Hour), idle.budget_left()), (0.0, 1.0));
}

/// Guards against an alert that fires on one window alone, or never.
#[test]
fn an_alert_needs_both_windows() {
    let mut burn = burn();
    let firing =
        |burn: &BurnCounter, secs| burn.report(at(secs)).rows[0].alerts().map(|a| a.firing);
    // One hour of good requests keeps the long windows below their factors.
    (0..3_600).for_each(|s| {
        record(&mut burn, s, true);
    });
    (3_600..3_660).for_each(|s| {
        record(&mut burn, s, false);
    });
    assert_eq!(firing(&burn, 3_660), [false, false]);
    // After 20 more minutes of failures both windows of both pairs are above.
    (3_660..4_860).for_each(|s| {
        record(&mut burn, s, false);
    });
    assert_eq!(firing(&burn, 4_860), [true, true]);
    // Ten good minutes end the fast alert; the short window of the slow alert still contains the failures.
    (4_860..5_460).for_each(|s| {
        record(&mut burn, s, true);
    });
    assert_eq!(firing(&burn, 5_460), [false, true]);
}

/// Guards against losing counts, or attributing them to another rank, when a configuration reorders ranks.
#[test]
fn counts_survive_a_new_order_of_ranks() {
    let mut burn = burn();
    record(&mut burn, 5, false);
    burn.configure(Version(2), &spec(&[("normal", 900), ("urgent", 999)]));
    let report = burn.report(at(6));
    assert_eq!(report.version, Version(2));
    let [normal, urgent] = &report.rows[..] else { panic!("two rows expected") };
    assert_eq!((normal.counts(Window::Hour).bad(), urgent.counts(Window::Hour).bad()), (0, 1));
    assert_eq!(urgent.objective, 999);
}

/// Guards against a panic on a request whose rank was removed while it was in flight.
#[test]
fn an_undeclared_rank_is_not_counted() {
    let mut burn = burn();
    let (service, rank) = (ServiceName::from("orders"), RankName::from("gone"));
    assert_eq!(burn.record(at(1), &service, &rank, response(200, 1)), None);
    assert_eq!(burn.record(at(1), &"gone".into(), &rank, response(200, 1)), None);
}

/// Guards against a merge that averages rates, and against an old objective that replaces a newer one.
#[test]
fn merging_adds_counts_and_keeps_the_newer_target() {
    let (mut a, mut b) = (burn(), burn());
    (0..90).for_each(|_| {
        record(&mut a, 1, true);
    });
    (0..10).for_each(|_| {
        record(&mut b, 1, false);
    });
    b.configure(Version(3), &spec(&[("urgent", 950), ("normal", 900), ("low", 500)]));
    let mut merged = a.report(at(2));
    merged.merge(&b.report(at(2)));
    assert_eq!(merged.version, Version(3));
    let names: Vec<_> = merged.rows.iter().map(|r| r.rank.as_str()).collect();
    assert_eq!(names, ["urgent", "normal", "low"]);
    let row = &merged.rows[0];
    assert_eq!((row.counts(Window::Hour).good, row.counts(Window::Hour).bad()), (90, 10));
    assert!((row.burn_rate(Window::Hour) - 2.0).abs() < 1e-9);
}

quickcheck! {
    /// Guards against windows that differ from a plain count of the events.
    fn windows_match_a_plain_count(gaps: Vec<(u16, bool)>) -> bool {
        let mut burn = burn();
        let (mut now, mut events) = (0_u64, Vec::new());
        for (gap, good) in gaps {
            now += u64::from(gap) % 4_000;
            record(&mut burn, now, good);
            events.push((now, good));
        }
        let bucket = BUCKET.as_micros() / 1_000_000;
        let row = &burn.report(at(now)).rows[0];
        WINDOWS.iter().all(|w| {
            let first = (now / bucket + 1).saturating_sub(w.span().as_micros() / 1_000_000 / bucket);
            let within = |good| {
                events.iter().filter(|(t, g)| t / bucket >= first && *g == good).count() as u64
            };
            (row.counts(*w).good, row.counts(*w).bad()) == (within(true), within(false))
        })
    }
}
