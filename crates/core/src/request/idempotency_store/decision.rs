//! What the idempotency store decides about a copy of a request, and the result of a run.

use super::StoredResponse;
use crate::{codes::ResultCode, request::key::RequestKey};
use std::sync::Arc;

/// The permission to run a key once, consumed by [`IdempotencyStore::finish`](super::IdempotencyStore::finish).
#[derive(Debug, PartialEq, Eq)]
pub struct KeyTicket {
    pub(super) key: RequestKey,
    pub(super) id: u64,
}

impl KeyTicket {
    /// Returns the key that this ticket allows to run.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}

/// The id of a copy that waits for the result of a key in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub(super) u64);

/// How to handle a copy of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run the request, then call [`IdempotencyStore::finish`](super::IdempotencyStore::finish).
    Run(KeyTicket),
    /// Wait until [`IdempotencyStore::finish`](super::IdempotencyStore::finish) returns this waiter.
    Wait(Waiter),
    /// Send the kept response.
    Replay(Arc<StoredResponse>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// The result of a run.
#[derive(Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The backend server sent a complete response.
    Response(StoredResponse),
    /// The request may have run; the code's outcome must be `unknown`.
    Unknown(ResultCode),
    /// The request did not run; the code's outcome must be `not_run`.
    NotRun(ResultCode),
}

/// The reply to the waiting copies of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyReply {
    /// Send the kept response.
    Replay(Arc<StoredResponse>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// The reply to a finished key and the copies that get it.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedKey {
    /// The waiting copies.
    pub waiters: Vec<Waiter>,
    /// The reply to each of them.
    pub reply: KeyReply,
}
