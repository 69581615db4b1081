//! Records the result of a run.

use super::{
    generation::State,
    seal::{fold, hash, Seal},
    FinishedKey, IdempotencyStore, KeyReply, KeyTicket, RunResult, StoredResponse, Waiter,
};
use crate::{
    codes::{Outcome, ResultCode},
    invariant,
    invariant::Invariant,
    request::{handover::KeyOutcome, key::RequestKey},
};
use std::{mem, sync::Arc};

impl IdempotencyStore {
    /// Records the result of a run and returns the reply to the waiting copies.
    ///
    /// The copy that ran gets its own result; a refusal is the same for all copies. A code whose outcome does not match
    /// `result` violates [`Invariant::TrueRefusal`] and is recorded as [`ResultCode::ServerLost`], which promises
    /// nothing.
    pub fn finish(&mut self, ticket: KeyTicket, result: RunResult) -> FinishedKey {
        let KeyTicket { key, id } = ticket;
        let Some((attempt, waiters)) = self.take_pending(&key, id) else {
            invariant!(Invariant::AtMostOnce, false, "ticket {id} of key {key} is not in flight");
            let reply = KeyReply::Refuse(ResultCode::ServerLost);
            return FinishedKey { waiters: vec![], reply };
        };
        let reply = match result {
            RunResult::Response(response) => self.keep_response(&key, response),
            RunResult::Unknown(code) => {
                let code = check_outcome(code, Outcome::Unknown);
                self.keep_outcome(&key, KeyOutcome::Unknown(code))
            }
            RunResult::NotRun(code) => match check_outcome(code, Outcome::NotRun) {
                code if code.outcome() == Outcome::NotRun => self.seal(&key, attempt, code),
                code => self.keep_outcome(&key, KeyOutcome::Unknown(code)),
            },
        };
        FinishedKey { waiters, reply }
    }

    /// Ends the run of a key. Returns its highest attempt and the waiting copies, or `None` without such a run.
    ///
    /// A generation is kept while any of its keys is in flight, so only a ticket of another store has no pending
    /// record.
    fn take_pending(&mut self, key: &RequestKey, ticket: u64) -> Option<(u32, Vec<Waiter>)> {
        let generation = self.generations.get_mut(key.prefix())?;
        let record = generation.records.get_mut(key.caller())?;
        let State::Pending(pending) = &mut record.state else { return None };
        if pending.ticket != ticket {
            return None;
        }
        let taken = (pending.attempt, mem::take(&mut pending.waiters));
        generation.pending -= 1;
        self.counts_mut(key.prefix()).pending -= 1;
        Some(taken)
    }

    fn keep_response(&mut self, key: &RequestKey, response: StoredResponse) -> KeyReply {
        let bytes_left = self.options.total_bytes.saturating_sub(self.bytes);
        let response = response.trimmed(self.options.body_limit, bytes_left);
        self.bytes += response.bytes();
        if let Some(generation) = self.generations.get_mut(key.prefix()) {
            generation.bytes += response.bytes();
        }
        self.keep_outcome(key, KeyOutcome::Response(Arc::new(response)))
    }

    fn keep_outcome(&mut self, key: &RequestKey, outcome: KeyOutcome) -> KeyReply {
        let generation = self.generations.get_mut(key.prefix());
        let Some(record) = generation.and_then(|g| g.records.get_mut(key.caller())) else {
            return KeyReply::Refuse(ResultCode::ServerLost);
        };
        record.runs += 1;
        invariant!(Invariant::AtMostOnce, record.runs == 1, "key {key} ran twice");
        let reply = match &outcome {
            KeyOutcome::Response(response) => KeyReply::Replay(response.clone()),
            KeyOutcome::Unknown(code) => KeyReply::Refuse(*code),
        };
        record.state = State::Done(outcome);
        reply
    }

    /// Seals a key that did not run, and returns the refusal.
    fn seal(&mut self, key: &RequestKey, attempt: u32, code: ResultCode) -> KeyReply {
        let is_own = self.is_own(key.prefix());
        let counts = if is_own { &mut self.own } else { &mut self.imported };
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return KeyReply::Refuse(ResultCode::ServerLost);
        };
        let record = generation.records.remove(key.caller());
        invariant!(
            Invariant::TrueRefusal,
            record.as_ref().is_some_and(|e| e.runs == 0),
            "key {key} ran and is refused with {code}"
        );
        counts.records -= 1;
        let fingerprint = fold(record.and_then(|e| e.fingerprint));
        let seal = generation.seals.entry(hash(key)).or_insert_with(|| {
            counts.seals += 1;
            Seal { attempt, fingerprint }
        });
        seal.extend(attempt, fingerprint);
        KeyReply::Refuse(code)
    }
}

/// Returns `code` if it has this outcome, else a code that promises nothing.
fn check_outcome(code: ResultCode, outcome: Outcome) -> ResultCode {
    invariant!(
        Invariant::TrueRefusal,
        code.outcome() == outcome,
        "a run ends as {outcome} with {code}, whose outcome is {}",
        code.outcome()
    );
    if code.outcome() == outcome {
        code
    } else {
        ResultCode::ServerLost
    }
}
