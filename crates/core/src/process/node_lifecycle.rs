//! The lifecycle of this node as a typestate, with the steps of its planned stop. See `docs/stopping.md`.

use crate::{
    invariant,
    invariant::Invariant,
    process::drain::LEAVING_BOUND,
    time::{Span, Timestamp},
    version::log_reader::Readiness,
};

/// A node that may not serve yet.
#[derive(Clone, Copy, Debug)]
pub struct Starting;

/// A node that serves requests.
#[derive(Clone, Copy, Debug)]
pub struct Serving;

/// A node in its planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    options: StopOptions,
    since: Timestamp,
    step: Option<StopStep>,
    step_at: Timestamp,
}

/// A node whose process may exit.
#[derive(Clone, Copy, Debug)]
pub struct Stopped;

/// The lifecycle of this node: `Starting → Serving → Leaving → Stopped`.
#[derive(Clone, Copy, Debug)]
pub struct NodeLifecycle<S> {
    state: S,
}

/// Timing of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopOptions {
    /// Time for which callers may cache the list of entries, see `ttl_ms` of `/v1/entries`.
    pub entries_ttl: Span,
    /// Time for which peers may still list this entry after its withdrawal.
    pub entry_spread: Span,
    /// Timeout for handing the idempotency store to a successor; after it the stop goes on without a handover.
    pub handover_timeout: Span,
    /// Time for which heartbeats announce the successor before the exit.
    pub announce_time: Span,
    /// Maximum duration of the stop; 0 means unlimited.
    pub max_stop: Span,
}

impl Default for StopOptions {
    fn default() -> Self {
        StopOptions {
            entries_ttl: Span::from_secs(30),
            entry_spread: LEAVING_BOUND,
            handover_timeout: Span::from_secs(30),
            announce_time: Span::from_secs(2),
            max_stop: Span::ZERO,
        }
    }
}

/// The steps of the planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStep {
    /// Remove this entry from the list of entries, and send `Connection: close`.
    WithdrawEntry,
    /// Close the key generations, so that new keys get another home.
    CloseGenerations,
    /// Hand the idempotency store to a successor.
    HandOver,
    /// Announce the successor in heartbeats.
    AnnounceHeir,
    /// Shut down the HTTP server; no request is in flight.
    NotifyServer,
    /// Exit the process.
    Exit,
}

impl NodeLifecycle<Starting> {
    /// Returns the state of a process that has just started.
    pub fn new() -> Self {
        NodeLifecycle { state: Starting }
    }

    /// Starts serving if the node is ready, see [`crate::version::log_reader::LogReader::readiness`].
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the node is not ready.
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
    /// Begins the planned stop on the first stop signal.
    pub fn signal(self, now: Timestamp, options: StopOptions) -> NodeLifecycle<Leaving> {
        NodeLifecycle { state: Leaving { options, since: now, step: None, step_at: now } }
    }
}

impl NodeLifecycle<Leaving> {
    /// Ignores a repeated stop signal.
    pub fn signal(&mut self, _now: Timestamp) {}

    /// Returns the last step that was reached, or `None` before the first.
    pub fn step(&self) -> Option<StopStep> {
        self.state.step
    }

    /// Returns the next step if it is due; each step is returned once.
    ///
    /// `in_flight` is the number of requests whose response is not yet completely sent. `handed_over` is true if a
    /// successor has acknowledged the idempotency store or the store was empty. After `max_stop` each call returns
    /// the next step, regardless of the requests in flight.
    pub fn tick(
        &mut self,
        now: Timestamp,
        in_flight: usize,
        handed_over: bool,
    ) -> Option<StopStep> {
        let state = &mut self.state;
        let options = state.options;
        let forced = options.max_stop > Span::ZERO && now.since(state.since) >= options.max_stop;
        let waited = now.since(state.step_at);
        let idle = in_flight == 0;
        let (due, next) = match state.step {
            None => (true, StopStep::WithdrawEntry),
            Some(StopStep::WithdrawEntry) => {
                (waited >= options.entry_spread + options.entries_ttl, StopStep::CloseGenerations)
            }
            Some(StopStep::CloseGenerations) => (idle, StopStep::HandOver),
            Some(StopStep::HandOver) => {
                (handed_over || waited >= options.handover_timeout, StopStep::AnnounceHeir)
            }
            Some(StopStep::AnnounceHeir) => {
                (idle && waited >= options.announce_time, StopStep::NotifyServer)
            }
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
        state.step = Some(next);
        state.step_at = now;
        Some(next)
    }

    /// Completes the stop after the last step.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the last step was not reached.
    pub fn finish(self) -> Result<NodeLifecycle<Stopped>, Self> {
        match self.state.step {
            Some(StopStep::Exit) => Ok(NodeLifecycle { state: Stopped }),
            _ => Err(self),
        }
    }
}
