//! A record of what callers and backend servers observed, and of when each component was disturbed.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub path: String,
    pub body: Vec<u8>,
    pub at_most_once: bool,
    pub node: IpAddr,
    pub sent: Instant,
    pub end: Option<RequestEnd>,
}

impl SentRequest {
    /// Returns when the response to this arrival was passed on to the caller, if it was.
    pub fn passed_on(&self, arrival: &Arrival) -> Option<Instant> {
        let end = self.end.as_ref()?;
        let Outcome::Response(_, Some(signature), _) = &end.outcome else { return None };
        let (_, sent) = arrival.response.as_ref()?;
        (sent == signature).then_some(end.at)
    }
}

/// The end of a request for its caller.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    pub at: Instant,
    pub outcome: Outcome,
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with its status, its signature if it has one, and its body.
    Response(u16, Option<String>, Vec<u8>),
    /// The connection broke before the response was complete.
    Broken(String),
    /// The caller disconnected on purpose.
    Abandoned,
    /// No complete response came before the caller's time-out.
    TimedOut,
}

/// An arrival of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub service: &'static str,
    pub at: Instant,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether the server started to run the request.
    pub was_run: bool,
    /// Whether the request was for another server, so that this one refused it.
    pub is_misdirected: bool,
    /// The status and signature of the response; `None` without a complete response.
    pub response: Option<(u16, String)>,
    /// Whether the response says that the server leaves.
    pub says_leaving: bool,
    /// The pause that the server asked for when it turned the request away.
    pub pause: Option<Duration>,
    /// The limit on requests per second that the response names.
    pub limit: Option<f64>,
    /// When the work ended, also if the connection closed before that.
    pub ended: Option<Instant>,
}

/// A component that faults can disturb.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Component {
    /// The store, as seen by all nodes.
    Store,
    /// A node, or the link from callers to it.
    Node(IpAddr),
    /// A backend server, or the link to it.
    Server(String),
}

#[derive(Debug, Default)]
struct Inner {
    requests: HashMap<String, SentRequest>,
    arrivals: HashMap<String, Vec<Arrival>>,
    /// The disturbed components, each with the start and end of the disturbance.
    disturbances: Vec<(Component, Instant, Option<Instant>)>,
    /// The nodes whose process was started again, with the time.
    restarts: Vec<(IpAddr, Instant)>,
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

    pub fn add_request(&self, id: &str, request: SentRequest) {
        self.lock().requests.insert(id.into(), request);
    }

    pub fn end_request(&self, id: &str, outcome: Outcome) {
        if let Some(request) = self.lock().requests.get_mut(id) {
            request.end = Some(RequestEnd { at: Instant::now(), outcome });
        }
    }

    /// Adds an arrival and returns its index among the arrivals of the request.
    pub fn add_arrival(&self, id: &str, arrival: Arrival) -> usize {
        let mut inner = self.lock();
        let arrivals = inner.arrivals.entry(id.into()).or_default();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    /// Changes an arrival.
    pub fn update_arrival(&self, id: &str, index: usize, change: impl FnOnce(&mut Arrival)) {
        if let Some(arrival) =
            self.lock().arrivals.get_mut(id).and_then(|arrivals| arrivals.get_mut(index))
        {
            change(arrival);
        }
    }

    /// Records the start of a disturbance and returns its handle for [`Record::end_disturbance`].
    pub fn start_disturbance(&self, component: Component) -> usize {
        let mut inner = self.lock();
        inner.disturbances.push((component, Instant::now(), None));
        inner.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, disturbance: usize) {
        self.lock().disturbances[disturbance].2 = Some(Instant::now());
    }

    /// Returns whether all of these components were undisturbed from `margin` before `from` until `to`.
    pub fn was_undisturbed(
        &self,
        components: &[Component],
        from: Instant,
        to: Instant,
        margin: Duration,
    ) -> bool {
        let from = from.checked_sub(margin).unwrap_or(from);
        !self.lock().disturbances.iter().any(|(component, started, ended)| {
            components.contains(component)
                && *started <= to
                && ended.is_none_or(|ended| ended >= from)
        })
    }

    /// Records that the process of a node was started again.
    pub fn add_restart(&self, node: IpAddr) {
        self.lock().restarts.push((node, Instant::now()));
    }

    /// Returns whether the process of a node was started again between `from` and `to`.
    pub fn was_restarted(&self, node: IpAddr, from: Instant, to: Instant) -> bool {
        self.lock().restarts.iter().any(|(ip, at)| *ip == node && *at >= from && *at <= to)
    }

    /// Returns all requests with their arrivals.
    pub fn requests(&self) -> Vec<(String, SentRequest, Vec<Arrival>)> {
        let inner = self.lock();
        let arrivals = |id: &str| inner.arrivals.get(id).cloned().unwrap_or_default();
        inner
            .requests
            .iter()
            .map(|(id, request)| (id.clone(), request.clone(), arrivals(id)))
            .collect()
    }

    /// Returns the arrivals of requests that no caller sent, with their ids.
    pub fn unsent_arrivals(&self) -> Vec<(String, Vec<Arrival>)> {
        let inner = self.lock();
        let unsent = inner.arrivals.iter().filter(|(id, _)| !inner.requests.contains_key(*id));
        unsent.map(|(id, arrivals)| (id.clone(), arrivals.clone())).collect()
    }
}
