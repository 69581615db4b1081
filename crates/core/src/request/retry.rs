//! When a request may be sent again, and how often.

use crate::{
    codes::{Outcome, ResultCode},
    time::{Span, Timestamp},
};
use std::collections::VecDeque;
use strum::{Display, EnumIter};

/// `Failure` is what went wrong with one send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection could not be opened, so no byte was written.
    ConnectFailed,
    /// The backend server refused the request before it ran (`Redwing-Shed: 1`).
    Shed,
    /// The request left our own queue unsent because its server became unusable.
    Unsent,
    /// The deadline passed, or could no longer be met, in our own queue.
    QueueTimeout,
    /// The connection was lost after the request was sent.
    ServerLost,
    /// The deadline passed after the request was sent.
    ServerTimeout,
    /// The answer ended before its stated length.
    AnswerBroken,
    /// The answer has no length and is longer than the node collects.
    AnswerTooLong,
    /// The backend server answered with a 5xx status that is no shed.
    ServerError,
    /// The caller's request body ended before its stated length.
    BodyBroken,
    /// The caller cancelled after the request was sent.
    CallerGone,
}

impl Failure {
    /// Returns the code that the caller receives when the request is not sent again.
    ///
    /// There is none for [`Failure::ServerError`], whose response is passed on, nor for
    /// [`Failure::CallerGone`], which leaves nobody to answer.
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

    /// Returns what this failure says about whether the request ran.
    pub fn outcome(self) -> Outcome {
        match self {
            Failure::ServerError => Outcome::Ran,
            Failure::CallerGone => Outcome::Unknown,
            _ => self.code().map_or(Outcome::Unknown, ResultCode::outcome),
        }
    }

    /// Returns the proof that this send did not run, if the failure is one.
    pub fn proof(self) -> Option<DidNotRun> {
        (self.outcome() == Outcome::NotRun).then_some(DidNotRun { failure: self })
    }

    /// Returns whether the failure counts against the backend server in the detector.
    ///
    /// Sheds, our own queue, the size of an answer and what callers do say nothing about a server's
    /// health (docs/design.md, section 4.1).
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

/// `DidNotRun` proves that one send of a request did not run; only [`Failure::proof`] makes it.
#[derive(Debug, PartialEq, Eq)]
pub struct DidNotRun {
    failure: Failure,
}

impl DidNotRun {
    /// Returns the failure that proves it.
    pub fn failure(&self) -> Failure {
        self.failure
    }
}

/// Returns whether a request may be sent again after `failure`, within the [`RetryBudget`].
///
/// A request that provably did not run may always be sent again, an idempotent one also after most
/// other failures. None is sent again when its deadline passed, when its caller or its body is gone,
/// or when its answer is too long, because a resend could not end differently.
pub fn may_resend(failure: Failure, idempotent: bool) -> bool {
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

/// `RetryOptions` bounds the resends of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Resends per hundred requests of the window.
    pub percent: u64,
    /// The length of the sliding window.
    pub window: Span,
    /// Resends that the window allows however few requests it holds.
    pub floor: u64,
    /// Resends that the window allows beyond the share and the floor.
    pub extra: u64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        // Below 30 requests in 10 s a tenth is less than 3, and a service with a few requests a
        // minute could never resend after a failed connect.
        RetryOptions { percent: 10, window: Span::from_secs(10), floor: 3, extra: 0 }
    }
}

/// The number of intervals into which the window is divided.
const INTERVALS: u64 = 100;

/// `RetryBudget` allows resends of one service up to a share of its requests.
///
/// The window slides in steps of a hundredth of its length. Memory is bounded by the number of steps.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    intervals: VecDeque<Interval>,
    requests: u64,
    resends: u64,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    index: u64,
    requests: u64,
    resends: u64,
}

impl RetryBudget {
    /// Returns a budget that has seen no request.
    pub fn new(options: RetryOptions) -> Self {
        RetryBudget { options, intervals: VecDeque::new(), requests: 0, resends: 0 }
    }

    /// Replaces the number of resends that the window allows beyond the share and the floor.
    pub fn set_extra(&mut self, extra: u64) {
        self.options.extra = extra;
    }

    /// Counts the first send of a request.
    pub fn request(&mut self, now: Timestamp) {
        self.interval(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a resend and returns `true`, or returns `false` when the budget is used up.
    pub fn try_resend(&mut self, now: Timestamp) -> bool {
        // Intervals that left the window must not count.
        self.interval(now);
        let share = self.requests.saturating_mul(self.options.percent) / 100;
        if self.resends >= share.max(self.options.floor) + self.options.extra {
            return false;
        }
        self.interval(now).resends += 1;
        self.resends += 1;
        true
    }

    /// Returns the interval of `now` after dropping those that left the window.
    fn interval(&mut self, now: Timestamp) -> &mut Interval {
        let step = (self.options.window.as_micros() / INTERVALS).max(1);
        // A time before the newest interval is counted there, so the window never moves back.
        let newest = self.intervals.back().map_or(0, |i| i.index);
        let index = (now.as_micros() / step).max(newest);
        while let Some(oldest) = self.intervals.front().copied() {
            if oldest.index + INTERVALS > index {
                break;
            }
            self.requests -= oldest.requests;
            self.resends -= oldest.resends;
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|i| i.index != index) {
            self.intervals.push_back(Interval { index, requests: 0, resends: 0 });
        }
        self.intervals.back_mut().expect("an interval was just added")
    }
}
