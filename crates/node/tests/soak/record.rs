//! What callers and backend servers saw, and when each part was disturbed.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// `Ask` is one request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub path: String,
    pub body: Vec<u8>,
    pub once: bool,
    pub node: IpAddr,
    pub sent: Instant,
    pub end: Option<End>,
}

/// `End` is how a request ended for its caller.
#[derive(Clone, Debug)]
pub struct End {
    pub at: Instant,
    pub what: Outcome,
}

/// `Outcome` is what a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer: its status, its signature if it has one, and its body.
    Answer(u16, Option<String>, Vec<u8>),
    /// The connection ended without a whole answer.
    Broken(String),
    /// The caller left.
    Left,
    /// Nothing came within the caller's patience.
    Silent,
}

/// `Run` is one arrival of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub service: &'static str,
    pub at: Instant,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether the server began to work on it.
    pub has_run: bool,
    /// The status and signature that it answered with; none if it gave no whole answer.
    pub answer: Option<(u16, String)>,
    /// When its work ended, also when the connection was closed under it.
    pub ended: Option<Instant>,
}

/// `Part` is what can be disturbed without a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The store, for all nodes.
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
    /// The spans in which parts were disturbed.
    troubles: Vec<(Part, Instant, Option<Instant>)>,
}

/// `Record` is shared by all callers and backend servers of a run.
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

    /// Adds an arrival and returns its number among those of the request.
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

    /// Notes that a part is disturbed from now on, and returns a handle for [`Record::calm`].
    pub fn disturbed(&self, part: Part) -> usize {
        let mut inner = self.lock();
        inner.troubles.push((part, Instant::now(), None));
        inner.troubles.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn calm(&self, trouble: usize) {
        self.lock().troubles[trouble].2 = Some(Instant::now());
    }

    /// Returns whether all of these parts were undisturbed from `margin` before `from` until `to`.
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

    /// Returns the ids of arrivals that no caller sent.
    pub fn unasked(&self) -> Vec<String> {
        let inner = self.lock();
        inner.runs.keys().filter(|id| !inner.asks.contains_key(*id)).cloned().collect()
    }
}
