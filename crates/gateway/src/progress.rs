//! What a caller's connection is doing, and since when.

use crate::shared::Shared;
use redwingtrestle_core::time::{Span, Timestamp};
use std::sync::{
    atomic::{AtomicU64, AtomicU8, Ordering},
    Arc,
};

/// What a connection is doing.
pub(crate) const IDLE: u8 = 0;
pub(crate) const HEAD: u8 = 1;
pub(crate) const REQUEST: u8 = 2;

/// What is known of how the body of the current request is delimited.
pub(crate) const UNSEEN: u8 = 0;
pub(crate) const CLEAR: u8 = 1;
pub(crate) const AMBIGUOUS: u8 = 2;

/// `Progress` is what one connection is doing, and since when.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) state: AtomicU8,
    pub(crate) framing: AtomicU8,
    since: AtomicU64,
    shared: Arc<Shared>,
}

impl Progress {
    /// Returns the progress of a connection that was just accepted.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Progress {
            state: AtomicU8::new(IDLE),
            framing: AtomicU8::new(UNSEEN),
            since: AtomicU64::new(shared.now().as_micros()),
            shared,
        }
    }

    /// Notes what the connection does from now on.
    pub(crate) fn set(&self, state: u8) {
        self.since.store(self.shared.now().as_micros(), Ordering::SeqCst);
        self.state.store(state, Ordering::SeqCst);
    }

    /// Returns whether the connection is over its time, and when to look again if it is not.
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

/// `Check` is what is to be done about the limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// Nothing until this time has passed.
    Later(Span),
    /// It was idle for too long.
    Idle,
    /// The head of a request took too long.
    SlowHead,
}

/// `Busy` marks a connection as serving a request until the answer has been handed over.
#[derive(Debug)]
pub struct Busy(Arc<Progress>);

impl Busy {
    /// Marks a connection as busy.
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
