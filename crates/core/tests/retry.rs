//! The retry policy, the retry budget and deadlines.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use redwingtrestle_core::{
    cases,
    codes::{Outcome, ResultCode},
    request::{
        deadline::{Deadline, MAX_DEADLINE},
        retry::{may_retry, Failure, RetryBudget, RetryOptions},
    },
    time::{Span, Timestamp},
};
use strum::IntoEnumIterator;

const SEED: u64 = 0x7265_7472;

/// Guards against a second run of a non-idempotent request through a retry.
#[test]
fn non_idempotent_is_retried_only_with_proof() {
    for failure in Failure::iter().filter(|f| may_retry(*f, false)) {
        assert_eq!(failure.outcome(), Outcome::NotRun, "{failure}");
        assert!(failure.proof().is_some(), "{failure}");
    }
}

/// Guards against a result code whose outcome differs from that of its failure.
#[test]
fn code_agrees_with_outcome_and_proof() {
    for failure in Failure::iter() {
        if let Some(code) = failure.code() {
            assert_eq!(code.outcome(), failure.outcome(), "{failure}");
        }
        assert_eq!(failure.proof().is_some(), failure.outcome() == Outcome::NotRun, "{failure}");
    }
}

fn retry_rules(failure: Failure) -> (bool, bool, bool) {
    (may_retry(failure, false), may_retry(failure, true), failure.is_evidence())
}

cases! {
    retry_rules;
    failed_connect_is_always_retried_and_is_evidence: Failure::ConnectFailed => (true, true, true),
    /// A shed shows load and no fault; counting it would eject servers during a flood.
    shed_is_always_retried_and_is_no_evidence: Failure::Shed => (true, true, false),
    unsent_request_is_always_retried_and_is_no_evidence: Failure::Unsent => (true, true, false),
    queue_timeout_is_not_retried: Failure::QueueTimeout => (false, false, false),
    lost_server_is_evidence_and_retried_if_idempotent: Failure::ServerLost => (false, true, true),
    server_timeout_is_evidence_but_not_retried: Failure::ServerTimeout => (false, false, true),
    broken_response_is_evidence_and_retried_if_idempotent: Failure::AnswerBroken => (false, true, true),
    too_long_response_is_not_retried: Failure::AnswerTooLong => (false, false, false),
    server_error_is_evidence_and_retried_if_idempotent: Failure::ServerError => (false, true, true),
    broken_body_is_not_retried: Failure::BodyBroken => (false, false, false),
    request_of_a_gone_caller_is_not_retried: Failure::CallerGone => (false, false, false),
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(millis)
}

fn allowed(budget: &mut RetryBudget, now: Timestamp) -> usize {
    (0..1_000).take_while(|_| budget.try_retry(now)).count()
}

fn allowed_after(requests: u64) -> usize {
    let mut budget = RetryBudget::new(RetryOptions::default());
    (0..requests).for_each(|i| budget.record_request(at(i)));
    allowed(&mut budget, at(requests))
}

cases! {
    allowed_after;
    /// Without the floor a service with few requests could never retry.
    quiet_service_has_the_floor: 0 => 3,
    few_requests_have_the_floor: 29 => 3,
    budget_is_a_tenth_of_the_requests: 1_000 => 100,
    budget_is_rounded_down: 49 => 4,
}

/// Guards against a budget that a past burst keeps large, or that never recovers.
#[test]
fn window_forgets_requests_and_retries() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    (0..100).for_each(|_| budget.record_request(at(0)));
    assert_eq!(allowed(&mut budget, at(9_899)), 10);
    assert_eq!(allowed(&mut budget, at(10_000)), 0, "the retries are still in the window");
    assert_eq!(allowed(&mut budget, at(19_900)), 3, "only the floor is left");
}

/// Guards against more retries in a window than the rule allows, at any load, and with a clock that stops or
/// steps back.
#[test]
fn retries_never_exceed_the_share() {
    fn property(steps: Vec<(u16, bool)>) -> bool {
        let options = RetryOptions::default();
        let mut budget = RetryBudget::new(options);
        let (mut now, mut log) = (0u64, Vec::new());
        for (delay, retry) in steps {
            now += u64::from(delay % 400);
            if retry {
                let allowed = budget.try_retry(at(now));
                // The window starts with a whole interval of 100 ms.
                let from = (now / 100 + 1).saturating_sub(100) * 100;
                let count =
                    |kind| log.iter().filter(|&&(t, k)| t >= from && k == kind).count() as u64;
                let (requests, retries) = (count(false), count(true));
                if allowed != (retries < (requests / 10).max(options.floor)) {
                    return false;
                }
                if allowed {
                    log.push((now, true));
                }
            } else {
                budget.record_request(at(now));
                log.push((now, false));
            }
        }
        budget.record_request(Timestamp::ZERO);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, SEED))
        .tests(200)
        .quickcheck(property as fn(Vec<(u16, bool)>) -> bool);
}

fn header(text: Option<&str>) -> Result<u64, ResultCode> {
    Deadline::from_header(at(5), text, Span::from_secs(2)).map(|d| d.remaining(at(5)).as_millis())
}

cases! {
    header;
    route_deadline_applies_without_header: None => Ok(2_000),
    header_shortens_the_deadline: Some("150") => Ok(150),
    header_lengthens_the_deadline: Some("60000") => Ok(60_000),
    header_is_limited: Some("86400000") => Ok(MAX_DEADLINE.as_millis()),
    number_above_u64_is_limited: Some("99999999999999999999") => Ok(MAX_DEADLINE.as_millis()),
    zero_cannot_be_met: Some("0") => Err(ResultCode::DeadlineUnmet),
    empty_header_is_refused: Some("") => Err(ResultCode::BadHeader),
    signed_header_is_refused: Some("+5") => Err(ResultCode::BadHeader),
    fractional_header_is_refused: Some("1.5") => Err(ResultCode::BadHeader),
    too_long_header_is_refused: Some("000000000000000000005") => Err(ResultCode::HeaderTooLong),
}

/// Guards against a deadline header of zero milliseconds, which a backend server would read as already passed.
#[test]
fn less_than_a_millisecond_counts_as_passed_for_the_backend() {
    let deadline = Deadline::after(Timestamp::ZERO, Span::from_millis(2));
    assert_eq!(deadline.header_millis(at(1)), Some(1));
    assert_eq!(deadline.header_millis(Timestamp::from_micros(1_001)), None);
    assert!(!deadline.is_passed(Timestamp::from_micros(1_999)));
    assert!(deadline.is_passed(at(2)) && deadline.is_passed(at(3)));
}

/// Guards against dispatching requests that cannot finish in time.
#[test]
fn deadline_below_the_service_time_cannot_be_met() {
    let deadline = Deadline::after(at(0), Span::from_millis(100));
    assert!(deadline.can_meet(at(60), Span::from_millis(40)));
    assert!(!deadline.can_meet(at(61), Span::from_millis(40)));
    assert!(!deadline.can_meet(at(100), Span::ZERO));
}

/// Guards against a generator of short sequences only, which would leave the window untested.
#[test]
fn generator_reaches_past_the_window() {
    let mut g = Gen::from_size_and_seed(1_000, SEED);
    let longest = (0..200).map(|_| Vec::<(u16, bool)>::arbitrary(&mut g).len()).max();
    assert!(longest > Some(500), "{longest:?}");
}
