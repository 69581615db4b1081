//! Outcome counts of real requests, per backend server and report.
//!
//! A node records every request that it sends to a backend server and collects the counts every
//! 100 ms (docs/design.md, section 4.1). Outcomes that say nothing about the server are not counted.

use crate::{
    ids::{NodeId, ServerAddr, ServiceName},
    process::{
        ejections::{Ack, Term},
        latency::Latency,
    },
    time::{Span, Timestamp},
};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of workspaces listed in one [`EvidenceCounts`].
pub const MAX_WORKSPACES: usize = 4;
/// A response is slow when it takes more than this many times the service's median.
pub const SLOW_FACTOR: u64 = 4;
/// The number of latency samples needed before a response counts as slow or a request as overdue.
pub const MIN_SAMPLES: u64 = 100;
/// A request in flight is overdue after this many times the 99.9th percentile of latency. About one response in
/// a thousand exceeds the percentile itself; the factor keeps these out of the evidence.
const OVERDUE_FACTOR: u64 = 2;
/// The minimum time after which a request in flight is overdue. Reports with only good outcomes are sent every
/// 200 ms. Those from before a server hangs must arrive before its overdue requests, or they lower its score.
const MIN_OVERDUE: Span = Span::from_millis(200);

/// Returns the hash that identifies a workspace in evidence.
pub fn workspace_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The number of bad outcomes of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceCount {
    /// The workspace's hash, see [`workspace_hash`].
    pub hash: u32,
    /// The bad outcomes. 0 only shows that the workspace is active.
    pub bad: u32,
}

/// The outcome counts of one server over a period, such as the time between two reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// The good outcomes, including slow responses.
    pub good: u32,
    /// The bad outcomes.
    pub bad: u32,
    /// The good responses that took more than `SLOW_FACTOR` times the service's median latency.
    pub slow: u32,
    listed: u8,
    workspaces: [WorkspaceCount; MAX_WORKSPACES],
}

impl EvidenceCounts {
    /// Creates counts without listed workspaces.
    pub fn new(good: u32, bad: u32, slow: u32) -> Self {
        EvidenceCounts { good, bad, slow, ..EvidenceCounts::default() }
    }

    /// Returns the listed workspaces.
    pub fn workspaces(&self) -> &[WorkspaceCount] {
        &self.workspaces[..usize::from(self.listed)]
    }

    /// Returns the number of good and bad outcomes.
    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.bad)
    }

    /// Returns whether there is no outcome.
    pub fn is_empty(&self) -> bool {
        self.total() == 0
    }

    /// Adds `bad` bad outcomes of a workspace to the list, without changing the totals.
    ///
    /// If the list is full, a workspace with bad outcomes replaces one without. If there is none to replace,
    /// the new one is not listed, and its bad outcomes count for an unlisted workspace.
    pub fn add_workspace(&mut self, hash: u32, bad: u32) {
        let n = usize::from(self.listed);
        if let Some(w) = self.workspaces[..n].iter_mut().find(|w| w.hash == hash) {
            w.bad = w.bad.saturating_add(bad);
        } else if n < MAX_WORKSPACES {
            self.workspaces[n] = WorkspaceCount { hash, bad };
            self.listed += 1;
        } else if bad > 0 {
            if let Some(w) = self.workspaces.iter_mut().find(|w| w.bad == 0) {
                *w = WorkspaceCount { hash, bad };
            }
        }
    }

    /// Adds other counts to these.
    pub fn merge(&mut self, other: &EvidenceCounts) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.slow = self.slow.saturating_add(other.slow);
        for w in other.workspaces() {
            self.add_workspace(w.hash, w.bad);
        }
    }
}

/// The evidence report of one node on one service.
///
/// Bad and slow outcomes are reported at the next collection, which takes place every 100 ms. Otherwise the report
/// goes with the node's report of demand, at least about every 200 ms: the leader needs the acknowledgement and a
/// recent `sent` of every node, including those without traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The reporting node.
    pub node: NodeId,
    /// The service.
    pub service: ServiceName,
    /// The send time of the report by the node's clock. Announcements echo it.
    pub sent: Timestamp,
    /// The highest term that the node knows.
    pub highest_term: Term,
    /// The node's acknowledgement of announcements.
    pub ack: Ack,
    /// The counts since the node's previous report, by server.
    pub servers: Vec<(ServerAddr, EvidenceCounts)>,
}

/// How a request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The server responded with this status.
    Response(u16),
    /// The server refused the request before running it.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the response was complete.
    Reset,
    /// The deadline passed while the request was at the server.
    DeadlinePassed,
    /// The request timed out in the node's own queue and was not sent.
    QueueTimeout,
    /// The caller cancelled the request.
    Cancelled,
}

impl RequestEnd {
    /// Returns whether the outcome is good or bad, or `None` if it says nothing about the server.
    ///
    /// A 4xx status depends on the request, shedding on the load, a timeout in the node's queue on the node,
    /// and a cancellation on the caller.
    pub fn is_good(self) -> Option<bool> {
        match self {
            RequestEnd::Response(400..=499) => None,
            RequestEnd::Response(status) => Some(status < 500),
            RequestEnd::ConnectFailed | RequestEnd::Reset | RequestEnd::DeadlinePassed => {
                Some(false)
            }
            RequestEnd::Shed | RequestEnd::QueueTimeout | RequestEnd::Cancelled => None,
        }
    }
}

/// A request in flight at a backend server. Its outcome is counted only once.
#[derive(Debug)]
pub struct InFlightRequest {
    server: ServerAddr,
    workspace: u32,
    started: Timestamp,
    counted: bool,
}

impl InFlightRequest {
    /// Returns the server that the request was sent to.
    pub fn server(&self) -> ServerAddr {
        self.server
    }
}

/// The share of responses within [`OutcomeRecorder::response_time`].
const RARELY_EXCEEDED: f64 = 0.99;

/// Estimates one quantile of a stream in constant space by stochastic approximation.
#[derive(Clone, Copy, Debug)]
struct Quantile {
    quantile: f64,
    value: f64,
    samples: u64,
}

impl Quantile {
    fn new(quantile: f64) -> Self {
        Quantile { quantile, value: 0.0, samples: 0 }
    }

    fn add(&mut self, x: f64) {
        self.samples += 1;
        if self.samples == 1 {
            self.value = x;
            return;
        }
        // The step starts large and settles at 1%, so that the estimate follows slow changes.
        let step = (2.0 / self.samples as f64).clamp(0.01, 0.5);
        if x > self.value {
            self.value *= 1.0 + step * self.quantile;
        } else {
            self.value *= 1.0 - step * (1.0 - self.quantile);
        }
        self.value = self.value.max(1.0);
    }
}

/// Collects the outcomes of one service's requests at one node.
#[derive(Debug)]
pub struct OutcomeRecorder {
    median: Quantile,
    p999: Quantile,
    recent: Latency,
    cold: BTreeMap<ServerAddr, Timestamp>,
    counts: BTreeMap<ServerAddr, EvidenceCounts>,
}

impl Default for OutcomeRecorder {
    fn default() -> Self {
        OutcomeRecorder {
            median: Quantile::new(0.5),
            p999: Quantile::new(0.999),
            recent: Latency::default(),
            cold: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }
}

impl OutcomeRecorder {
    /// Creates a recorder without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the end of a server's cold start. Outcomes of requests that started before it are ignored.
    pub fn set_cold(&mut self, server: ServerAddr, until: Timestamp) {
        self.cold.insert(server, until);
    }

    /// Starts the record of a request. `workspace` is the hash of the workspace, see [`workspace_hash`].
    pub fn start(&self, now: Timestamp, server: ServerAddr, workspace: u32) -> InFlightRequest {
        InFlightRequest { server, workspace, started: now, counted: false }
    }

    /// Counts a request in flight as bad if it is overdue. Returns whether it is counted, now or earlier.
    ///
    /// This is called every 100 ms for each request in flight, so that a server that never responds is
    /// detected before the deadlines.
    pub fn check(&mut self, now: Timestamp, request: &mut InFlightRequest) -> bool {
        if !request.counted {
            if let Some(limit) = self.overdue_after() {
                if now.since(request.started) > limit {
                    request.counted = true;
                    self.count(request, false, false);
                }
            }
        }
        request.counted
    }

    /// Ends a request and counts its outcome unless `check` has already counted it.
    pub fn finish(&mut self, now: Timestamp, request: &InFlightRequest, end: RequestEnd) {
        let Some(good) = end.is_good() else { return };
        let latency = now.since(request.started);
        let slow = good
            && self.median().is_some_and(|m| latency > m.times(SLOW_FACTOR))
            && !request.counted;
        // Only the latencies of good outcomes are sampled, since a refused connection ends at once.
        if good && !self.is_cold(request) {
            self.median.add(latency.as_micros() as f64);
            self.p999.add(latency.as_micros() as f64);
            self.recent.record(latency);
        }
        if !request.counted {
            self.count(request, good, slow);
        }
    }

    /// Returns the median latency of the service, or `None` before there are `MIN_SAMPLES` samples.
    pub fn median(&self) -> Option<Span> {
        (self.median.samples >= MIN_SAMPLES).then(|| Span::from_micros(self.median.value as u64))
    }

    /// Returns the latency that few of the newest responses exceed, or `None` with fewer than 8 responses.
    pub fn response_time(&self) -> Option<Span> {
        self.recent.quantile(RARELY_EXCEEDED)
    }

    /// Returns the time in flight after which a request is overdue, or `None` without enough samples.
    pub fn overdue_after(&self) -> Option<Span> {
        let median = self.median()?;
        let p999 = Span::from_micros(self.p999.value as u64).times(OVERDUE_FACTOR);
        Some(p999.max(median.times(SLOW_FACTOR)).max(MIN_OVERDUE))
    }

    /// Returns the counts since the last call.
    pub fn drain(&mut self) -> Vec<(ServerAddr, EvidenceCounts)> {
        std::mem::take(&mut self.counts).into_iter().collect()
    }

    fn is_cold(&self, request: &InFlightRequest) -> bool {
        self.cold.get(&request.server).is_some_and(|until| request.started < *until)
    }

    fn count(&mut self, request: &InFlightRequest, good: bool, slow: bool) {
        if self.is_cold(request) {
            return;
        }
        let counts = self.counts.entry(request.server).or_default();
        if good {
            counts.good += 1;
        } else {
            counts.bad += 1;
        }
        counts.slow += u32::from(slow);
        counts.add_workspace(request.workspace, u32::from(!good));
    }
}
