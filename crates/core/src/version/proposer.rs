//! An operator's change on its way through the log.

use crate::{
    codes::ResultCode,
    ids::Version,
    time::{Span, Timestamp},
    version::{
        config_state::{ConfigStateMachine, Record, RequestId, Verdict, SEEN_WINDOW},
        spec::Spec,
    },
};
use std::sync::Arc;

/// `Answer` is what an operator is told about a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is in force as this version, or was until a later one replaced it.
    Accepted(Version),
    /// Another change came first; this version was in force instead.
    Conflict(Version),
    /// The configuration is not valid.
    Invalid,
    /// The change may or may not take effect.
    Unknown,
}

impl Answer {
    /// Returns the result code of the answer.
    pub fn code(self) -> ResultCode {
        match self {
            Answer::Accepted(_) => ResultCode::Accepted,
            Answer::Conflict(_) => ResultCode::Conflict,
            Answer::Invalid => ResultCode::Invalid,
            Answer::Unknown => ResultCode::CommandUnknown,
        }
    }
}

/// `ProposerOptions` holds the times of a [`Proposer`].
#[derive(Clone, Copy, Debug)]
pub struct ProposerOptions {
    /// When the answer is `Unknown`, counted from the start.
    pub deadline: Span,
    /// When the answer to an append counts as lost.
    pub timeout: Span,
    /// The wait after a first failed append; it doubles up to `timeout`.
    pub retry: Span,
}

impl Default for ProposerOptions {
    fn default() -> Self {
        ProposerOptions {
            deadline: Span::from_secs(10),
            timeout: Span::from_secs(2),
            retry: Span::from_millis(200),
        }
    }
}

/// `ProposerAction` is what a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction {
    /// Append this record to the log.
    Append(Record),
    /// Nothing for now; the log reader goes on.
    Wait,
    /// Tell the operator. Later calls return the same answer.
    Done(Answer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Append {
    Due(Timestamp),
    Sent(Timestamp),
    Written(u64),
}

/// `Proposer` carries one change of an operator through the log.
///
/// An append whose answer is lost is sent again with the same request id. The outcome is never taken
/// from the append's answer but only from the log as read, where the first copy decides.
#[derive(Clone, Debug)]
pub struct Proposer {
    options: ProposerOptions,
    record: Record,
    request_id: RequestId,
    started: Timestamp,
    first_ordinal: u64,
    append: Append,
    wait: Span,
    done: Option<Answer>,
}

impl Proposer {
    /// Starts a change; an invalid one ends here and is never appended.
    pub fn new(
        now: Timestamp,
        options: ProposerOptions,
        state_machine: &ConfigStateMachine,
        request_id: RequestId,
        base: Version,
        spec: Arc<Spec>,
    ) -> Self {
        let done = (!spec.faults().is_empty()).then_some(Answer::Invalid);
        Proposer {
            options,
            record: Record::ConfigProposed { request_id, base, spec },
            request_id,
            started: now,
            first_ordinal: state_machine.state().proposals,
            append: Append::Due(now),
            wait: options.retry,
            done,
        }
    }

    /// Returns the request id of the change.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns what to do now.
    pub fn poll(&mut self, now: Timestamp, state_machine: &ConfigStateMachine) -> ProposerAction {
        if self.done.is_none() {
            self.done = self.outcome(now, state_machine);
        }
        if let Some(answer) = self.done {
            return ProposerAction::Done(answer);
        }
        if let Append::Sent(at) = self.append {
            if now.since(at) >= self.options.timeout {
                self.append_failed(now);
            }
        }
        match self.append {
            Append::Due(at) if now >= at => {
                self.append = Append::Sent(now);
                ProposerAction::Append(self.record.clone())
            }
            _ => ProposerAction::Wait,
        }
    }

    /// Notes that the log has written a copy at `offset`.
    pub fn appended(&mut self, offset: u64) {
        self.append = Append::Written(offset);
    }

    /// Notes that the append failed or that its answer was lost; it may have been written.
    pub fn append_failed(&mut self, now: Timestamp) {
        if matches!(self.append, Append::Sent(_)) {
            self.append = Append::Due(now + self.wait);
            self.wait = self.wait.times(2).min(self.options.timeout);
        }
    }

    fn outcome(&self, now: Timestamp, state_machine: &ConfigStateMachine) -> Option<Answer> {
        if let Some(seen) = state_machine.verdict_of(self.request_id) {
            // A first copy may have left the window when more proposals than it holds came after the
            // start. Only an acceptance is certain then, since a change is accepted at most once.
            let certain = seen.ordinal < self.first_ordinal + SEEN_WINDOW;
            return Some(match seen.verdict {
                Verdict::Accepted => Answer::Accepted(Version(seen.offset)),
                Verdict::Conflict { in_force } if certain => Answer::Conflict(in_force),
                Verdict::Invalid if certain => Answer::Invalid,
                _ => Answer::Unknown,
            });
        }
        let lost = matches!(self.append, Append::Written(o) if state_machine.next_offset() > o);
        let late = now.since(self.started) >= self.options.deadline;
        (lost || late).then_some(Answer::Unknown)
    }
}
