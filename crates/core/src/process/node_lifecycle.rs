//! The life of this node, as types, with the steps of its planned stop. See `docs/stopping.md`.

use crate::{
    invariant,
    invariant::Invariant,
    process::drain::LEAVING_BOUND,
    time::{Span, Timestamp},
    version::log_reader::Readiness,
};

/// The state of a node that may not serve yet.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// The state of a node that serves.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// The state of a node in its planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    options: StopOptions,
    since: Timestamp,
    step: Option<StopStep>,
    step_at: Timestamp,
}

/// The state of a node whose process may exit.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// `NodeLifecycle` is the life of this node: `Starting → Serving → Leaving → Stopped`.
#[derive(Clone, Copy, Debug)]
pub struct NodeLifecycle<S> {
    state: S,
}

/// `StopOptions` holds the times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopOptions {
    /// How long callers may keep an entries answer, see `ttl_ms` of `/v1/entries`.
    pub entries_ttl: Span,
    /// How long peers may still answer with this entry after it was withdrawn.
    pub spread: Span,
    /// How long a successor is sought before the idempotency store is given up.
    pub hand_over: Span,
    /// How long heartbeats announce the successor before the exit.
    pub announce: Span,
    /// The longest stop; zero means no bound.
    pub max_stop: Span,
}

impl Default for StopOptions {
    fn default() -> Self {
        StopOptions {
            entries_ttl: Span::from_secs(30),
            spread: LEAVING_BOUND,
            hand_over: Span::from_secs(30),
            announce: Span::from_secs(2),
            max_stop: Span::ZERO,
        }
    }
}

/// `StopStep` is a step of the planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStep {
    /// Remove this entry from entries answers, and send `Connection: close`.
    WithdrawEntry,
    /// Close the generations, so that new keys get another home.
    CloseGenerations,
    /// Hand the idempotency store to a successor.
    HandOver,
    /// Name the successor in heartbeats.
    AnnounceHeir,
    /// Tell the HTTP server to shut down; no request is in flight.
    NotifyServer,
    /// Exit the process.
    Exit,
}

impl NodeLifecycle<Starting> {
    /// Returns the life of a process that has just started.
    pub fn new() -> Self {
        NodeLifecycle { state: Starting }
    }

    /// Begins to serve if the node is ready, see [`crate::version::log_reader::LogReader::readiness`].
    ///
    /// # Errors
    ///
    /// Returns the unchanged state when the node is not ready.
    pub fn serve(self, readiness: Readiness) -> Result<NodeLifecycle<Serving>, Self> {
        match readiness {
            Readiness::Ready => Ok(NodeLifecycle { state: Serving }),
            Readiness::NotReady => Err(self),
        }
    }

    /// Stops a node that never served.
    pub fn stop(self) -> NodeLifecycle<Stopped> {
        NodeLifecycle { state: Stopped }
    }
}

impl Default for NodeLifecycle<Starting> {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeLifecycle<Serving> {
    /// Begins the planned stop at the first signal.
    pub fn signal(self, now: Timestamp, options: StopOptions) -> NodeLifecycle<Leaving> {
        NodeLifecycle { state: Leaving { options, since: now, step: None, step_at: now } }
    }
}

impl NodeLifecycle<Leaving> {
    /// Notes a further signal, which changes nothing.
    pub fn signal(&mut self, _now: Timestamp) {}

    /// Returns the step that was reached last.
    pub fn step(&self) -> Option<StopStep> {
        self.state.step
    }

    /// Returns the next step when it is due, each step once.
    ///
    /// `in_flight` counts requests of which a caller still awaits a part of the response. `handed_over` says
    /// that a successor has acknowledged the idempotency store, or that it was empty. When `max_stop` has passed,
    /// the remaining steps follow at once, whatever is in flight.
    pub fn tick(
        &mut self,
        now: Timestamp,
        in_flight: usize,
        handed_over: bool,
    ) -> Option<StopStep> {
        let s = &mut self.state;
        let o = s.options;
        let forced = o.max_stop > Span::ZERO && now.since(s.since) >= o.max_stop;
        let waited = now.since(s.step_at);
        let idle = in_flight == 0;
        let (due, next) = match s.step {
            None => (true, StopStep::WithdrawEntry),
            Some(StopStep::WithdrawEntry) => {
                (waited >= o.spread + o.entries_ttl, StopStep::CloseGenerations)
            }
            Some(StopStep::CloseGenerations) => (idle, StopStep::HandOver),
            Some(StopStep::HandOver) => {
                (handed_over || waited >= o.hand_over, StopStep::AnnounceHeir)
            }
            Some(StopStep::AnnounceHeir) => (idle && waited >= o.announce, StopStep::NotifyServer),
            Some(StopStep::NotifyServer) => (idle, StopStep::Exit),
            Some(StopStep::Exit) => return None,
        };
        if !(due || forced) {
            return None;
        }
        if next >= StopStep::NotifyServer {
            invariant!(
                Invariant::PlannedStop,
                idle || forced,
                "{next:?} with {in_flight} requests in flight"
            );
        }
        s.step = Some(next);
        s.step_at = now;
        Some(next)
    }

    /// Ends the life after the last step.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state when the last step is not reached.
    pub fn finish(self) -> Result<NodeLifecycle<Stopped>, Self> {
        match self.state.step {
            Some(StopStep::Exit) => Ok(NodeLifecycle { state: Stopped }),
            _ => Err(self),
        }
    }
}
