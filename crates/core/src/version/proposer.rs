//! Carries an operator's configuration change through the log.

use crate::{
    codes::ResultCode,
    ids::Version,
    time::{Span, Timestamp},
    version::{
        config_state::{ConfigStateMachine, Record, RequestId, Verdict, PROPOSAL_WINDOW},
        spec::Spec,
    },
};
use std::sync::Arc;

/// The result of a change for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The change took effect as this version. A later version may have replaced it since.
    Accepted(Version),
    /// The change is not based on this version, which was in force.
    Conflict(Version),
    /// The configuration is not valid.
    Invalid,
    /// The change may or may not take effect.
    Unknown,
}

impl ProposalOutcome {
    /// Returns the result code of the outcome.
    pub fn code(self) -> ResultCode {
        match self {
            ProposalOutcome::Accepted(_) => ResultCode::Accepted,
            ProposalOutcome::Conflict(_) => ResultCode::Conflict,
            ProposalOutcome::Invalid => ResultCode::Invalid,
            ProposalOutcome::Unknown => ResultCode::CommandUnknown,
        }
    }
}

/// Timing of a [`Proposer`].
#[derive(Clone, Copy, Debug)]
pub struct ProposerOptions {
    /// Time since the start after which the outcome is [`ProposalOutcome::Unknown`].
    pub deadline: Span,
    /// Timeout of an append.
    pub timeout: Span,
    /// Backoff after the first failed append; it doubles up to `timeout`.
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

/// An action requested by the proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction {
    /// Append this record to the log.
    Append(Record),
    /// Wait for the log reader or an append.
    Wait,
    /// Send the operator this outcome. Later calls return the same outcome.
    Done(ProposalOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Append {
    Due(Timestamp),
    Sent(Timestamp),
    Written(u64),
}

/// Carries one change of an operator through the log.
///
/// An append whose response is lost is repeated with the same request id. The result comes only from reading the log,
/// where the first copy decides, and never from the response to the append.
#[derive(Clone, Debug)]
pub struct Proposer {
    options: ProposerOptions,
    record: Record,
    request_id: RequestId,
    started: Timestamp,
    first_ordinal: u64,
    append: Append,
    backoff: Span,
    done: Option<ProposalOutcome>,
}

impl Proposer {
    /// Starts a change. An invalid configuration is never appended.
    pub fn new(
        now: Timestamp,
        options: ProposerOptions,
        state_machine: &ConfigStateMachine,
        request_id: RequestId,
        base: Version,
        spec: Arc<Spec>,
    ) -> Self {
        let done = (!spec.faults().is_empty()).then_some(ProposalOutcome::Invalid);
        Proposer {
            options,
            record: Record::ConfigProposed { request_id, base, spec },
            request_id,
            started: now,
            first_ordinal: state_machine.state().proposals,
            append: Append::Due(now),
            backoff: options.retry,
            done,
        }
    }

    /// Returns the request id of the change.
    pub fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns the next action.
    pub fn poll(&mut self, now: Timestamp, state_machine: &ConfigStateMachine) -> ProposerAction {
        if self.done.is_none() {
            self.done = self.outcome(now, state_machine);
        }
        if let Some(outcome) = self.done {
            return ProposerAction::Done(outcome);
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

    /// Records that the log has stored a copy at `offset`.
    pub fn appended(&mut self, offset: u64) {
        self.append = Append::Written(offset);
    }

    /// Records that the append failed or its response was lost. The record may still have been stored.
    pub fn append_failed(&mut self, now: Timestamp) {
        if matches!(self.append, Append::Sent(_)) {
            self.append = Append::Due(now + self.backoff);
            self.backoff = self.backoff.times(2).min(self.options.timeout);
        }
    }

    fn outcome(
        &self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
    ) -> Option<ProposalOutcome> {
        if let Some(seen) = state_machine.verdict_of(self.request_id) {
            // After a full window of other proposals since the start, the first copy may have left the window and a
            // later copy be taken for the first. Only an acceptance is certain then, as no change is accepted twice.
            let certain = seen.ordinal < self.first_ordinal + PROPOSAL_WINDOW;
            return Some(match seen.verdict {
                Verdict::Accepted => ProposalOutcome::Accepted(Version(seen.offset)),
                Verdict::Conflict { in_force } if certain => ProposalOutcome::Conflict(in_force),
                Verdict::Invalid if certain => ProposalOutcome::Invalid,
                _ => ProposalOutcome::Unknown,
            });
        }
        let lost = matches!(self.append, Append::Written(o) if state_machine.next_offset() > o);
        let has_timed_out = now.since(self.started) >= self.options.deadline;
        (lost || has_timed_out).then_some(ProposalOutcome::Unknown)
    }
}
