//! Decides whether a copy of a request runs, waits or is refused.

use super::{
    generation::{KeyRecord, Pending, State},
    seal::{fold, hash},
    BeginDecision, IdempotencyStore, KeyReply, KeyTicket, RunResult, Stage, Waiter,
};
use crate::{
    codes::ResultCode,
    invariant,
    invariant::Invariant,
    request::{handover::KeyOutcome, key::RequestKey},
    time::Timestamp,
};

impl IdempotencyStore {
    /// Decides how to handle a copy of the request `key` with the caller's attempt number `attempt`.
    ///
    /// `fingerprint` is a hash of the request, such as its method, path and body. A copy with another fingerprint
    /// is refused as [`ResultCode::KeyReused`].
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
    ) -> BeginDecision {
        self.decide(now, key, attempt, Some(fingerprint))
    }

    fn decide(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
    ) -> BeginDecision {
        self.tick(now);
        let waiters = self.options.waiters;
        // The generation was dropped, belongs to another start or home, or was never opened. In the last case a
        // refusal as `not_run` would become false once the generation opens.
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let Some(record) = generation.records.get_mut(key.caller()) else {
            return self.decide_idle(key, attempt, fingerprint);
        };
        // A copy whose body was not read is treated as the same request: reporting `not_run` would be false if it is
        // the same, and the reply it gets instead promises nothing if it is another request.
        if fingerprint.zip(record.fingerprint).is_some_and(|(copy, known)| copy != known) {
            // A seal cannot distinguish two requests with the same folded fingerprint, so it must cover both attempts.
            if let State::Pending(pending) = &mut record.state {
                if fold(fingerprint) == fold(record.fingerprint) {
                    pending.attempt = pending.attempt.max(attempt);
                }
            }
            return BeginDecision::Refuse(ResultCode::KeyReused);
        }
        match &mut record.state {
            State::Pending(pending) => {
                if pending.waiters.len() >= waiters {
                    return BeginDecision::Refuse(ResultCode::KeyBusy);
                }
                // If the run ends as `not_run`, all waiting copies get this outcome, so the seal must cover the
                // highest of their attempts.
                pending.attempt = pending.attempt.max(attempt);
                let waiter = Waiter(self.next_id);
                self.next_id += 1;
                pending.waiters.push(waiter);
                BeginDecision::Wait(waiter)
            }
            State::Done(KeyOutcome::Response(response)) => BeginDecision::Replay(response.clone()),
            State::Done(KeyOutcome::Unknown(code)) => BeginDecision::Refuse(*code),
        }
    }

    /// Decides how to handle a key that is not in flight and did not run.
    fn decide_idle(
        &mut self,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
    ) -> BeginDecision {
        let counts = if self.is_own(key.prefix()) { self.own } else { self.imported };
        let has_record_room = counts.records < self.options.capacity;
        let (has_room, exported) = (self.has_room(), self.stage == Stage::Exported);
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let void = generation.seals_void;
        match generation.seals.get_mut(&hash(key)) {
            // A successor may have run a higher attempt since the export.
            Some(_) if void || exported => BeginDecision::Refuse(ResultCode::KeyForgotten),
            Some(seal) if !seal.matches(fingerprint) => {
                BeginDecision::Refuse(ResultCode::KeyReused)
            }
            Some(seal) if attempt <= seal.attempt => BeginDecision::Refuse(ResultCode::KeySealed),
            Some(seal) if !has_record_room => {
                seal.attempt = attempt;
                BeginDecision::Refuse(ResultCode::KeysFull)
            }
            Some(_) => self.run(key, attempt, fingerprint),
            None => {
                if !has_room && generation.is_open() {
                    // The refused key is not stored. It can never run, because its generation accepts no new keys
                    // from now on, even if capacity becomes free.
                    generation.drop_at = Some(self.now + self.options.horizon);
                }
                match (generation.is_open(), has_room) {
                    (true, _) => self.run(key, attempt, fingerprint),
                    (false, true) => BeginDecision::Refuse(ResultCode::KeyClosed),
                    (false, false) => BeginDecision::Refuse(ResultCode::KeysFull),
                }
            }
        }
    }

    /// Refuses a copy that must not run and returns how to handle it.
    ///
    /// An unknown key is sealed. A copy of a key that may have run waits or gets the kept response instead, because
    /// `not_run` would be false. Never returns [`BeginDecision::Run`].
    pub fn refuse(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
        code: ResultCode,
    ) -> BeginDecision {
        self.refuse_copy(now, key, attempt, Some(fingerprint), code)
    }

    /// Refuses a copy whose body was not read, like [`refuse`](Self::refuse).
    ///
    /// A copy of a key that is in flight or ran waits or gets the kept response, regardless of the fingerprint.
    pub fn refuse_unread(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        code: ResultCode,
    ) -> BeginDecision {
        self.refuse_copy(now, key, attempt, None, code)
    }

    fn refuse_copy(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
        code: ResultCode,
    ) -> BeginDecision {
        match self.decide(now, key, attempt, fingerprint) {
            BeginDecision::Run(ticket) => {
                match self.finish(ticket, RunResult::NotRun(code)).reply {
                    KeyReply::Replay(response) => BeginDecision::Replay(response),
                    KeyReply::Refuse(code) => BeginDecision::Refuse(code),
                }
            }
            other => other,
        }
    }

    fn run(&mut self, key: &RequestKey, attempt: u32, fingerprint: Option<u64>) -> BeginDecision {
        let is_own = self.is_own(key.prefix());
        let id = self.next_id;
        self.next_id += 1;
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let refused = generation.seals.get(&hash(key)).map(|seal| seal.attempt);
        invariant!(
            Invariant::AtMostOnce,
            !generation.records.contains_key(key.caller()) && (is_own || refused.is_some()),
            "key {key} ran, is in flight or has another home, and may run"
        );
        invariant!(
            Invariant::TrueRefusal,
            refused.is_none_or(|refused| attempt > refused),
            "attempt {attempt} of key {key} was refused as not_run and may run"
        );
        let pending = Pending { ticket: id, attempt, waiters: vec![] };
        let record = KeyRecord { fingerprint, runs: 0, state: State::Pending(pending) };
        generation.records.insert(key.caller().clone(), record);
        generation.pending += 1;
        let counts = self.counts_mut(key.prefix());
        counts.records += 1;
        counts.pending += 1;
        BeginDecision::Run(KeyTicket { key: key.clone(), id })
    }
}
