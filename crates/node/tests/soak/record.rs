//! A record of what callers and backend servers observed, and of when each component was disturbed.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// A request as its caller sent it. `once` means that it must run at most once.
#[derive(Clone, Debug)]
pub struct Ask {
    pub path: String,
    pub body: Vec<u8>,
    pub once: bool,
    pub node: IpAddr,
    pub sent: Instant,
    pub end: Option<End>,
}

/// The end of a request for its caller.
#[derive(Clone, Debug)]
pub struct End {
    pub at: Instant,
    pub what: Outcome,
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with its status, its signature if it has one, and its body.
    Answer(u16, Option<String>, Vec<u8>),
    /// The connection broke before the answer was complete.
    Broken(String),
    /// The caller disconnected on purpose.
    Left,
    /// No complete answer came before the caller's time-out.
    Silent,
}

/// An arrival of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub service: &'static str,
    pub at: Instant,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether the server started to run the request.
    pub has_run: bool,
    /// The status and signature of the answer; `None` without a complete answer.
    pub answer: Option<(u16, String)>,
    /// When the work ended, also if the connection closed before that.
    pub ended: Option<Instant>,
}

/// A component that faults can disturb.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The store, as seen by all nodes.
    Store,
    /// A node, or the link from callers to it.
    Node(IpAddr),
    /// A backend server, or the link to it.
    Server(String),
}

#[derive(Debug, Default)]
struct Inner {
    asks: HashMap<String, Ask>,
    runs: HashMap<String, Vec<Run>>,
    /// The disturbed components, each with the start and end of the disturbance.
    troubles: Vec<(Part, Instant, Option<Instant>)>,
}

/// The record that all callers and backend servers of a run share.
#[derive(Debug, Default)]
pub struct Record {
    inner: Mutex<Inner>,
}

impl Record {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn asked(&self, id: &str, ask: Ask) {
        self.lock().asks.insert(id.into(), ask);
    }

    pub fn ended(&self, id: &str, what: Outcome) {
        if let Some(ask) = self.lock().asks.get_mut(id) {
            ask.end = Some(End { at: Instant::now(), what });
        }
    }

    /// Adds an arrival and returns its index among the arrivals of the request.
    pub fn arrived(&self, id: &str, run: Run) -> usize {
        let mut inner = self.lock();
        let runs = inner.runs.entry(id.into()).or_default();
        runs.push(run);
        runs.len() - 1
    }

    /// Changes an arrival.
    pub fn update(&self, id: &str, number: usize, change: impl FnOnce(&mut Run)) {
        if let Some(run) = self.lock().runs.get_mut(id).and_then(|runs| runs.get_mut(number)) {
            change(run);
        }
    }

    /// Records the start of a disturbance and returns its handle for [`Record::calm`].
    pub fn disturbed(&self, part: Part) -> usize {
        let mut inner = self.lock();
        inner.troubles.push((part, Instant::now(), None));
        inner.troubles.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn calm(&self, trouble: usize) {
        self.lock().troubles[trouble].2 = Some(Instant::now());
    }

    /// Returns whether all of these components were undisturbed from `margin` before `from` until `to`.
    pub fn was_calm(&self, parts: &[Part], from: Instant, to: Instant, margin: Duration) -> bool {
        let from = from.checked_sub(margin).unwrap_or(from);
        !self.lock().troubles.iter().any(|(part, begun, ended)| {
            parts.contains(part) && *begun <= to && ended.is_none_or(|ended| ended >= from)
        })
    }

    /// Returns all requests with their arrivals.
    pub fn all(&self) -> Vec<(String, Ask, Vec<Run>)> {
        let inner = self.lock();
        let runs = |id: &str| inner.runs.get(id).cloned().unwrap_or_default();
        inner.asks.iter().map(|(id, ask)| (id.clone(), ask.clone(), runs(id))).collect()
    }

    /// Returns the ids of requests that arrived although no caller sent them.
    pub fn unasked(&self) -> Vec<String> {
        let inner = self.lock();
        inner.runs.keys().filter(|id| !inner.asks.contains_key(*id)).cloned().collect()
    }
}
