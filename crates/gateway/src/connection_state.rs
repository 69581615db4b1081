//! The state of a caller's connection and the time limits on it.

use crate::{pipeline::Pipeline, shared::Shared};
use redwingtrestle_core::time::{Span, Timestamp};
use std::sync::{
    atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering},
    Arc, Mutex, PoisonError,
};
use tokio::sync::Notify;

/// The values of [`ConnectionState::activity`]: between requests, reading a request head, serving a request, writing
/// the rest of a reply whose body the HTTP library has taken.
pub(crate) const IDLE: u8 = 0;
pub(crate) const READING_HEAD: u8 = 1;
pub(crate) const SERVING: u8 = 2;
pub(crate) const WRITING: u8 = 3;

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
    /// Whether the body of a request has not been read to its end.
    pub(crate) in_body: AtomicBool,
    /// When the head of a request arrived that was held back, in microseconds, else 0.
    arrival: AtomicU64,
    /// The requests that were started ahead of their turn.
    pub(crate) pipeline: Pipeline,
    since: AtomicU64,
    /// Notified when a reply was written.
    replied: Notify,
    /// The id of the attempt that was served last.
    attempt: Mutex<Arc<str>>,
    pub(crate) shared: Arc<Shared>,
}

impl ConnectionState {
    /// Returns the state of a connection that was just accepted.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        ConnectionState {
            activity: AtomicU8::new(IDLE),
            framing: AtomicU8::new(FRAMING_UNSEEN),
            in_body: AtomicBool::new(false),
            arrival: AtomicU64::new(0),
            pipeline: Pipeline::default(),
            since: AtomicU64::new(shared.now().as_micros()),
            replied: Notify::new(),
            attempt: Mutex::new(Arc::from("")),
            shared,
        }
    }

    /// Changes the state and restarts its time limit.
    pub(crate) fn set_activity(&self, activity: u8) {
        self.since.store(self.shared.now().as_micros(), Ordering::SeqCst);
        self.activity.store(activity, Ordering::SeqCst);
    }

    /// Sets when the next request arrived, because it was held back.
    pub(crate) fn set_arrival(&self, arrival: Timestamp) {
        self.arrival.store(arrival.as_micros(), Ordering::SeqCst);
    }

    /// Returns when the request that has its turn arrived.
    pub(crate) fn take_arrival(&self) -> Timestamp {
        match self.arrival.swap(0, Ordering::SeqCst) {
            0 => self.shared.now(),
            arrival => Timestamp::from_micros(arrival),
        }
    }

    /// Records that the socket has taken all bytes that the HTTP library had for it.
    pub(crate) fn record_flush(&self) {
        if self.activity.load(Ordering::SeqCst) == WRITING {
            self.set_activity(IDLE);
            self.pipeline.wake_reader();
            self.replied.notify_one();
        }
    }

    /// Returns whether no reply is due or being written, and no body is left to read.
    pub(crate) fn awaits_request(&self) -> bool {
        let is_idle = matches!(self.activity.load(Ordering::SeqCst), IDLE | READING_HEAD);
        is_idle && self.pipeline.is_empty() && !self.in_body.load(Ordering::SeqCst)
    }

    /// Waits until a reply was written. One that was written before the call may end the wait at once.
    pub(crate) async fn wait_for_reply(&self) {
        self.replied.notified().await;
    }

    /// Returns the time since the last change of the state, such as the end of a reply.
    pub(crate) fn unchanged_for(&self) -> Span {
        let since = Timestamp::from_micros(self.since.load(Ordering::SeqCst));
        self.shared.now().since(since)
    }

    /// Logs the end of the connection if a reply is lost by it, or if it ended with an error.
    pub(crate) fn log_end(&self, error: Option<&hyper::Error>) {
        let cause = error.map_or_else(|| "it was closed".to_string(), ToString::to_string);
        let stage = match self.activity.load(Ordering::SeqCst) {
            SERVING => "serving",
            WRITING => "writing",
            _ => {
                if error.is_some() {
                    log::debug!(target: "entry", "a caller's connection ended with an error: {cause}");
                }
                return;
            }
        };
        let attempt = self.attempt.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let phase = *self.shared.phase.borrow();
        log::info!(target: "entry", attempt = &*attempt, stage, phase:? = phase,
            ms = self.unchanged_for().as_millis();
            "a caller's connection ended before its reply was written: {cause}");
    }

    /// Checks the time limits `head` (on reading a head) and `idle` (between requests).
    pub(crate) fn check(&self, head: Span, idle: Span) -> LimitCheck {
        let passed = self.unchanged_for();
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

/// A guard that marks a connection as serving a request until the HTTP library has taken the whole reply.
#[derive(Debug)]
pub struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    pub(crate) fn new(connection_state: Arc<ConnectionState>) -> Self {
        connection_state.set_activity(SERVING);
        connection_state.pipeline.begin_turn();
        BusyGuard(connection_state)
    }

    /// Allows later requests of the connection to start while this one is served.
    pub(crate) fn share_turn(&self) {
        self.0.pipeline.share_turn();
    }

    /// Sets the id of the caller's attempt for the log.
    pub(crate) fn set_attempt(&self, attempt: &Arc<str>) {
        *self.0.attempt.lock().unwrap_or_else(PoisonError::into_inner) = attempt.clone();
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set_activity(WRITING);
        // The library may have flushed before, and would not poll again by itself.
        self.0.pipeline.wake_reader();
    }
}
