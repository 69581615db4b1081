//! The life cycle of a request: queued, dispatched, and ended by a response, a loss or a refusal.

use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::ServerAddr,
    request::{
        deadline::Deadline,
        lifecycle::{Queued, Request},
        retry::Failure,
    },
    time::{Span, Timestamp},
};

const NOW: Timestamp = Timestamp::ZERO;

fn server() -> ServerAddr {
    ServerAddr(([127, 0, 0, 1], 9000).into())
}

fn request(idempotent: bool) -> Request<Queued> {
    Request::new("r-1", idempotent, Deadline::after(NOW, Span::from_secs(1)))
}

/// Guards against a refusal after a failed connect that is not reported as `not_run`.
#[test]
fn provably_unrun_send_can_be_refused_as_not_run() {
    let sent = request(false).dispatch(NOW, server());
    let proof = Failure::ConnectFailed.proof().expect("a failed connect is a proof");
    let queued = sent.requeue(proof).expect("no other send may have run");
    assert_eq!(queued.sends(), 1);
    assert_eq!(queued.refuse(ResultCode::ConnectFailed).code().outcome(), Outcome::NotRun);
}

/// Guards against `not_run` for an idempotent request whose first send may have run and whose second
/// provably did not.
#[test]
fn proof_of_one_send_does_not_cover_another() {
    let sent = request(true).dispatch(NOW, server());
    let sent = sent.redispatch(NOW, server()).expect("the request is idempotent");
    let proof = Failure::Shed.proof().expect("a shed is a proof");
    let sent = sent.requeue(proof).expect_err("the first send may have run");
    assert_eq!(sent.end_unknown(ResultCode::ServerLost).code().outcome(), Outcome::Unknown);
}

/// Guards against a second run of a non-idempotent request.
#[test]
fn non_idempotent_is_not_sent_again_without_proof() {
    let sent = request(false).dispatch(NOW, server());
    let sent = sent.redispatch(NOW, server()).expect_err("the request is not idempotent");
    assert_eq!(sent.sends(), 1);
}

/// Guards against proofs for failures after which the request may have run.
#[test]
fn failures_after_sending_give_no_proof() {
    for failure in [
        Failure::ServerLost,
        Failure::ServerTimeout,
        Failure::AnswerBroken,
        Failure::AnswerTooLong,
        Failure::ServerError,
        Failure::BodyBroken,
        Failure::CallerGone,
    ] {
        assert_eq!(failure.proof(), None, "{failure}");
    }
}

/// Guards against a dispatched request that a wrong code reports as `not_run`.
#[test]
#[should_panic(expected = "invariant true_refusal")]
fn dispatched_request_cannot_end_as_not_run() {
    let _ = request(false).dispatch(NOW, server()).end_unknown(ResultCode::QueueFull);
}

/// Guards against refusing a queued request with a code whose outcome is not `not_run`.
#[test]
#[should_panic(expected = "invariant true_refusal")]
fn queued_request_is_refused_only_as_not_run() {
    let _ = request(false).refuse(ResultCode::ServerLost);
}

/// Guards against a service time that includes the time in the queue.
#[test]
fn service_time_is_measured_from_the_last_send() {
    let sent = request(false).dispatch(Timestamp::from_micros(500), server());
    let completed = sent.complete(Timestamp::from_micros(2_500), 201);
    assert_eq!((completed.latency(), completed.status()), (Span::from_millis(2), 201));
    assert_eq!(completed.server(), server());
}
