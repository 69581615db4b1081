//! The state of a caller's connection and the time limits on it.

use crate::shared::Shared;
use redwingtrestle_core::time::{Span, Timestamp};
use std::sync::{
    atomic::{AtomicU64, AtomicU8, Ordering},
    Arc,
};

/// The states of a connection: between requests, reading a request head, serving a request.
pub(crate) const IDLE: u8 = 0;
pub(crate) const HEAD: u8 = 1;
pub(crate) const REQUEST: u8 = 2;

/// The framing of the current request's body: not inspected yet, unambiguous, ambiguous.
pub(crate) const UNSEEN: u8 = 0;
pub(crate) const CLEAR: u8 = 1;
pub(crate) const AMBIGUOUS: u8 = 2;

/// `Progress` is the state of one connection and the time of its last change.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) state: AtomicU8,
    pub(crate) framing: AtomicU8,
    since: AtomicU64,
    shared: Arc<Shared>,
}

impl Progress {
    /// Returns the state of a connection that was just accepted.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Progress {
            state: AtomicU8::new(IDLE),
            framing: AtomicU8::new(UNSEEN),
            since: AtomicU64::new(shared.now().as_micros()),
            shared,
        }
    }

    /// Changes the state and restarts its time limit.
    pub(crate) fn set(&self, state: u8) {
        self.since.store(self.shared.now().as_micros(), Ordering::SeqCst);
        self.state.store(state, Ordering::SeqCst);
    }

    /// Checks the time limits `head` (on reading a head) and `idle` (between requests).
    pub(crate) fn check(&self, head: Span, idle: Span) -> Check {
        let now = self.shared.now();
        let since = Timestamp::from_micros(self.since.load(Ordering::SeqCst));
        let passed = now.since(since);
        match self.state.load(Ordering::SeqCst) {
            IDLE if passed >= idle => Check::Idle,
            HEAD if passed >= head => Check::SlowHead,
            IDLE => Check::Later((idle - passed).min(idle)),
            HEAD => Check::Later(head - passed),
            _ => Check::Later(head),
        }
    }
}

/// `Check` is the result of a check of the time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// No limit is exceeded. The next check is due after this time.
    Later(Span),
    /// The connection was idle for too long.
    Idle,
    /// A request head took too long.
    SlowHead,
}

/// `Busy` is a guard that marks a connection as serving a request until the reply has been written.
#[derive(Debug)]
pub struct Busy(Arc<Progress>);

impl Busy {
    pub(crate) fn new(progress: Arc<Progress>) -> Self {
        progress.set(REQUEST);
        Busy(progress)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set(IDLE);
    }
}
