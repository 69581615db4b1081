//! The state of a caller's connection and the time limits on it.

use crate::shared::Shared;
use redwingtrestle_core::time::{Span, Timestamp};
use std::sync::{
    atomic::{AtomicU64, AtomicU8, Ordering},
    Arc,
};

/// The values of [`ConnectionState::activity`]: between requests, reading a request head, serving a request.
pub(crate) const IDLE: u8 = 0;
pub(crate) const READING_HEAD: u8 = 1;
pub(crate) const SERVING: u8 = 2;

/// The values of [`ConnectionState::framing`], for the current request's body: not inspected yet, unambiguous,
/// ambiguous.
pub(crate) const FRAMING_UNSEEN: u8 = 0;
pub(crate) const FRAMING_CLEAR: u8 = 1;
pub(crate) const FRAMING_AMBIGUOUS: u8 = 2;

/// The state of one connection and the time of its last change.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub(crate) activity: AtomicU8,
    pub(crate) framing: AtomicU8,
    since: AtomicU64,
    shared: Arc<Shared>,
}

impl ConnectionState {
    /// Returns the state of a connection that was just accepted.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        ConnectionState {
            activity: AtomicU8::new(IDLE),
            framing: AtomicU8::new(FRAMING_UNSEEN),
            since: AtomicU64::new(shared.now().as_micros()),
            shared,
        }
    }

    /// Changes the state and restarts its time limit.
    pub(crate) fn set_activity(&self, activity: u8) {
        self.since.store(self.shared.now().as_micros(), Ordering::SeqCst);
        self.activity.store(activity, Ordering::SeqCst);
    }

    /// Checks the time limits `head` (on reading a head) and `idle` (between requests).
    pub(crate) fn check(&self, head: Span, idle: Span) -> LimitCheck {
        let now = self.shared.now();
        let since = Timestamp::from_micros(self.since.load(Ordering::SeqCst));
        let passed = now.since(since);
        match self.activity.load(Ordering::SeqCst) {
            IDLE if passed >= idle => LimitCheck::Idle,
            READING_HEAD if passed >= head => LimitCheck::SlowHead,
            IDLE => LimitCheck::Later((idle - passed).min(idle)),
            READING_HEAD => LimitCheck::Later(head - passed),
            _ => LimitCheck::Later(head),
        }
    }
}

/// The result of a check of the time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitCheck {
    /// No limit is exceeded. The next check is due after this time.
    Later(Span),
    /// The connection was idle for too long.
    Idle,
    /// A request head took too long.
    SlowHead,
}

/// A guard that marks a connection as serving a request until the reply has been written.
#[derive(Debug)]
pub struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    pub(crate) fn new(connection_state: Arc<ConnectionState>) -> Self {
        connection_state.set_activity(SERVING);
        BusyGuard(connection_state)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set_activity(IDLE);
    }
}
