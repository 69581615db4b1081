//! The lifecycle of a request as a typestate: `Queued → Dispatched → Completed`.
//!
//! Only a queued request can be refused as `not_run`, and a dispatched request returns to the queue only with a
//! [`DidNotRun`] proof. Code that reports `not_run` for a request that may have run therefore does not compile.

use crate::{
    codes::{Outcome, ResultCode},
    ids::ServerAddr,
    invariant,
    invariant::Invariant,
    request::{deadline::Deadline, retry::DidNotRun},
    time::{Span, Timestamp},
};
use std::sync::Arc;

/// A request that was not sent, or whose sends provably did not run.
#[derive(Debug)]
pub struct Queued(());

/// A request that was sent to a backend server.
#[derive(Debug)]
pub struct Dispatched {
    server: ServerAddr,
    sent: Timestamp,
}

/// A request whose response is complete.
#[derive(Debug)]
pub struct Completed {
    server: ServerAddr,
    status: u16,
    latency: Span,
}

/// A request in the lifecycle state `S`.
#[derive(Debug)]
pub struct Request<S> {
    id: Arc<str>,
    idempotent: bool,
    deadline: Deadline,
    sends: u32,
    /// Number of sends that may have run.
    possible_runs: u32,
    state: S,
}

impl<S> Request<S> {
    /// Returns the request id.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Returns whether the request may run more than once without further effect.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns the deadline.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// Returns the number of sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    fn with<T>(self, state: T) -> Request<T> {
        let Request { id, idempotent, deadline, sends, possible_runs, .. } = self;
        Request { id, idempotent, deadline, sends, possible_runs, state }
    }

    fn sent(mut self, now: Timestamp, server: ServerAddr) -> Request<Dispatched> {
        invariant!(
            Invariant::AtMostOnce,
            self.idempotent || self.possible_runs == 0,
            "request {} may have run and is dispatched again",
            self.id
        );
        self.sends += 1;
        self.possible_runs += 1;
        self.with(Dispatched { server, sent: now })
    }
}

impl Request<Queued> {
    /// Creates a request that was not sent yet.
    pub fn new(id: impl Into<Arc<str>>, idempotent: bool, deadline: Deadline) -> Self {
        let (id, state) = (id.into(), Queued(()));
        Request { id, idempotent, deadline, sends: 0, possible_runs: 0, state }
    }

    /// Records that the request is sent to a backend server.
    pub fn dispatch(self, now: Timestamp, server: ServerAddr) -> Request<Dispatched> {
        self.sent(now, server)
    }

    /// Ends the request with a code whose outcome is `not_run`.
    pub fn refuse(self, code: ResultCode) -> Refusal {
        invariant!(
            Invariant::TrueRefusal,
            self.possible_runs == 0 && code.outcome() == Outcome::NotRun,
            "request {} is refused with {code} after {} sends that may have run",
            self.id,
            self.possible_runs
        );
        Refusal { code }
    }
}

impl Request<Dispatched> {
    /// Returns the backend server.
    pub fn server(&self) -> ServerAddr {
        self.state.server
    }

    /// Returns the request to the queue, given the proof that this send did not run.
    ///
    /// Fails if an earlier send of an idempotent request may have run, because a queued request can be refused as
    /// `not_run`, which would be false. Such a request is retried with [`redispatch`](Self::redispatch) or ends
    /// with [`end_unknown`](Self::end_unknown).
    pub fn requeue(mut self, _proof: DidNotRun) -> Result<Request<Queued>, Self> {
        self.possible_runs -= 1;
        if self.possible_runs == 0 {
            Ok(self.with(Queued(())))
        } else {
            Err(self)
        }
    }

    /// Retries an idempotent request at another server without proof that this send did not run.
    ///
    /// Fails for a non-idempotent request.
    pub fn redispatch(
        self,
        now: Timestamp,
        server: ServerAddr,
    ) -> Result<Request<Dispatched>, Self> {
        if self.idempotent {
            Ok(self.sent(now, server))
        } else {
            Err(self)
        }
    }

    /// Ends the request with the backend server's complete response.
    pub fn complete(self, now: Timestamp, status: u16) -> Request<Completed> {
        let Dispatched { server, sent } = self.state;
        self.with(Completed { server, status, latency: now.since(sent) })
    }

    /// Ends the request with a code whose outcome is `unknown`.
    ///
    /// A code with the outcome `not_run` violates [`Invariant::TrueRefusal`] and is replaced by
    /// [`ResultCode::ServerLost`].
    pub fn end_unknown(self, code: ResultCode) -> Refusal {
        let unknown = code.outcome() == Outcome::Unknown;
        invariant!(
            Invariant::TrueRefusal,
            unknown,
            "dispatched request {} ends with {code}, whose outcome is {}",
            self.id,
            code.outcome()
        );
        Refusal { code: if unknown { code } else { ResultCode::ServerLost } }
    }
}

impl Request<Completed> {
    /// Returns the backend server that sent the response.
    pub fn server(&self) -> ServerAddr {
        self.state.server
    }

    /// Returns the status of the response.
    pub fn status(&self) -> u16 {
        self.state.status
    }

    /// Returns the time from the last send to the end of the response.
    pub fn latency(&self) -> Span {
        self.state.latency
    }
}

/// The end of a request without a response.
#[derive(Debug, PartialEq, Eq)]
pub struct Refusal {
    code: ResultCode,
}

impl Refusal {
    /// Returns the result code for the caller.
    pub fn code(&self) -> ResultCode {
        self.code
    }
}
