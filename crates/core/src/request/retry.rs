//! Retry policy and retry budget.

use crate::{
    codes::{Outcome, ResultCode},
    time::{Span, Timestamp},
};
use std::collections::VecDeque;
use strum::{Display, EnumIter};

/// The reason why one send of a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection could not be opened, so no byte was written.
    ConnectFailed,
    /// The backend server refused the request before it ran (`Redwing-Shed: 1`).
    Shed,
    /// The request left this node's queue unsent because its server became unusable.
    Unsent,
    /// The deadline passed, or could no longer be met, in this node's queue.
    QueueTimeout,
    /// The connection was lost after the request was sent.
    ServerLost,
    /// The deadline passed after the request was sent.
    ServerTimeout,
    /// The response ended before its stated length.
    AnswerBroken,
    /// The response has no stated length and exceeds the node's buffer limit.
    AnswerTooLong,
    /// The backend server responded with a 5xx status other than a shed.
    ServerError,
    /// The caller's request body ended before its stated length.
    BodyBroken,
    /// The caller cancelled after the request was sent.
    CallerGone,
}

impl Failure {
    /// Returns the code for the caller if the request is not retried.
    ///
    /// Returns `None` for [`Failure::ServerError`], whose response is passed on, and for [`Failure::CallerGone`],
    /// which leaves no caller to respond to.
    pub fn code(self) -> Option<ResultCode> {
        match self {
            Failure::ConnectFailed => Some(ResultCode::ConnectFailed),
            Failure::Shed => Some(ResultCode::Shed),
            Failure::Unsent => Some(ResultCode::NoServer),
            Failure::QueueTimeout => Some(ResultCode::DeadlineUnmet),
            Failure::ServerLost => Some(ResultCode::ServerLost),
            Failure::ServerTimeout => Some(ResultCode::ServerTimeout),
            Failure::AnswerBroken => Some(ResultCode::AnswerBroken),
            Failure::AnswerTooLong => Some(ResultCode::AnswerTooLong),
            Failure::BodyBroken => Some(ResultCode::BodyBroken),
            Failure::ServerError | Failure::CallerGone => None,
        }
    }

    /// Returns whether the request ran, as far as this failure shows.
    pub fn outcome(self) -> Outcome {
        match self {
            Failure::ServerError => Outcome::Ran,
            Failure::CallerGone => Outcome::Unknown,
            _ => self.code().map_or(Outcome::Unknown, ResultCode::outcome),
        }
    }

    /// Returns the proof that this send did not run, or `None` if the request may have run.
    pub fn proof(self) -> Option<DidNotRun> {
        (self.outcome() == Outcome::NotRun).then_some(DidNotRun { failure: self })
    }

    /// Returns whether the failure detector counts the failure against the backend server.
    ///
    /// Sheds, this node's queue, the size of a response and the behaviour of callers say nothing about the health of a
    /// server (docs/design.md, section 4.1).
    pub fn is_evidence(self) -> bool {
        match self {
            Failure::ConnectFailed
            | Failure::ServerLost
            | Failure::ServerTimeout
            | Failure::AnswerBroken
            | Failure::ServerError => true,
            Failure::Shed
            | Failure::Unsent
            | Failure::QueueTimeout
            | Failure::AnswerTooLong
            | Failure::BodyBroken
            | Failure::CallerGone => false,
        }
    }
}

/// Proof that one send of a request did not run, created only by [`Failure::proof`].
#[derive(Debug, PartialEq, Eq)]
pub struct DidNotRun {
    failure: Failure,
}

impl DidNotRun {
    /// Returns the failure from which this proof follows.
    pub fn failure(&self) -> Failure {
        self.failure
    }
}

/// Returns whether a request may be retried after `failure`, subject to the [`RetryBudget`].
///
/// A request that provably did not run may be retried. An idempotent request may also be retried after most other
/// failures. No request is retried if its deadline has passed, its caller or body is lost or its response is too long,
/// because the retry would end the same way.
pub fn may_retry(failure: Failure, idempotent: bool) -> bool {
    match failure {
        Failure::ConnectFailed | Failure::Shed | Failure::Unsent => true,
        Failure::ServerLost | Failure::AnswerBroken | Failure::ServerError => idempotent,
        Failure::QueueTimeout
        | Failure::ServerTimeout
        | Failure::AnswerTooLong
        | Failure::BodyBroken
        | Failure::CallerGone => false,
    }
}

/// Limits on the retries of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Retries allowed per 100 requests in the window.
    pub percent: u64,
    /// Length of the sliding window.
    pub window: Span,
    /// Retries per window that are allowed even with few requests.
    pub floor: u64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        // Without the floor, a service with a few requests a minute could never retry after a failed connect. It
        // applies below 30 requests in 10 s, of which a tenth is less than 3.
        RetryOptions { percent: 10, window: Span::from_secs(10), floor: 3 }
    }
}

/// Number of intervals in the window.
const INTERVALS: u64 = 100;

/// Limits the retries of one service to a share of its requests.
///
/// The window slides in steps of a hundredth of its length, which bounds the memory.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    intervals: VecDeque<Interval>,
    requests: u64,
    retries: u64,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    index: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget without any counted requests.
    pub fn new(options: RetryOptions) -> Self {
        RetryBudget { options, intervals: VecDeque::new(), requests: 0, retries: 0 }
    }

    /// Counts the first send of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.interval(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a retry and returns `true`, or returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        // Drops the intervals that left the window before they are counted.
        self.interval(now);
        let share = self.requests.saturating_mul(self.options.percent) / 100;
        if self.retries >= share.max(self.options.floor) {
            return false;
        }
        self.interval(now).retries += 1;
        self.retries += 1;
        true
    }

    /// Drops the intervals that left the window and returns the interval of `now`.
    fn interval(&mut self, now: Timestamp) -> &mut Interval {
        let step = (self.options.window.as_micros() / INTERVALS).max(1);
        // Requests timed before the newest interval are counted in it, so that the window never moves back.
        let newest = self.intervals.back().map_or(0, |i| i.index);
        let index = (now.as_micros() / step).max(newest);
        while let Some(oldest) = self.intervals.front().copied() {
            if oldest.index + INTERVALS > index {
                break;
            }
            self.requests -= oldest.requests;
            self.retries -= oldest.retries;
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| i.index != index) {
            self.intervals.push_back(Interval { index, requests: 0, retries: 0 });
        }
        self.intervals.back_mut().expect("an interval was just added")
    }
}
