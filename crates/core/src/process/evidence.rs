//! Counts of outcomes of real requests, per backend server and interval.
//!
//! A node records every request that it sends to a backend server and drains the counts every
//! 100 ms (docs/design.md, section 4.1). Outcomes that say nothing about the server are not counted.

use crate::{
    ids::{NodeId, ServerAddr, ServiceName},
    process::ejections::{Ack, Term},
    time::{Span, Timestamp},
};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The most workspaces that one `Counts` lists.
pub const MAX_WORKSPACES: usize = 4;
/// An answer is slow when it takes more than this many times the service's median.
pub const SLOW_FACTOR: u64 = 4;
/// Samples of latency that are needed before an answer is called slow or overdue.
pub const LEAST_SAMPLES: u64 = 100;
/// A request in flight is overdue at this many times the 99.9th percentile of latency. About one
/// answer in a thousand exceeds the percentile itself, so the factor keeps them out of the evidence.
const OVERDUE_FACTOR: u64 = 2;
/// The least time after which a request in flight is overdue. A node reports good outcomes alone every 200 ms; those
/// from before a server hangs must arrive before the overdue requests, or they lower its score.
const LEAST_OVERDUE: Span = Span::from_millis(200);

/// Returns the hash under which a workspace is listed in evidence.
pub fn workspace_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// `WorkspaceCount` is the bad outcomes of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceCount {
    /// The workspace's hash, see [`workspace_hash`].
    pub hash: u32,
    /// Its bad outcomes; 0 says only that the workspace is active.
    pub bad: u32,
}

/// `Counts` is the evidence about one server in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Good outcomes, slow answers included.
    pub good: u32,
    /// Bad outcomes.
    pub bad: u32,
    /// Good answers slower than `SLOW_FACTOR` times the service's median.
    pub slow: u32,
    listed: u8,
    workspaces: [WorkspaceCount; MAX_WORKSPACES],
}

impl Counts {
    /// Returns counts that list no workspace.
    pub fn new(good: u32, bad: u32, slow: u32) -> Self {
        Counts { good, bad, slow, ..Counts::default() }
    }

    /// Returns the listed workspaces.
    pub fn workspaces(&self) -> &[WorkspaceCount] {
        &self.workspaces[..usize::from(self.listed)]
    }

    /// Returns the number of outcomes.
    pub fn total(&self) -> u32 {
        self.good.saturating_add(self.bad)
    }

    /// Returns whether there is no outcome.
    pub fn is_empty(&self) -> bool {
        self.total() == 0
    }

    /// Adds `bad` bad outcomes of a workspace to the list, without changing the totals.
    ///
    /// A workspace with bad outcomes replaces one that has none. When all entries have some, the
    /// new one is left out; its bad outcomes then count as those of a workspace that is not listed.
    pub fn list(&mut self, hash: u32, bad: u32) {
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
    pub fn merge(&mut self, other: &Counts) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.slow = self.slow.saturating_add(other.slow);
        for w in other.workspaces() {
            self.list(w.hash, w.bad);
        }
    }
}

/// `Interval` is the report of one node for one service.
///
/// It is sent every 100 ms while there are counts, and every 250 ms otherwise: the leader needs the
/// acknowledgement and a recent `sent` of every node, also of one without traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interval {
    /// The reporting node.
    pub node: NodeId,
    /// The service.
    pub service: ServiceName,
    /// The time of the report by the node's own clock, echoed in announcements.
    pub sent: Timestamp,
    /// The highest term that the node knows.
    pub highest: Term,
    /// The announcement in force at the node.
    pub ack: Ack,
    /// The counts of the interval.
    pub servers: Vec<(ServerAddr, Counts)>,
}

/// `RequestEnd` is how a request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The server answered with this status.
    Answered(u16),
    /// The server refused the request before running it.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// The deadline passed while the request was at the server.
    DeadlinePassed,
    /// The request timed out in the node's own queue.
    QueueTimeout,
    /// The caller cancelled the request.
    Cancelled,
}

impl RequestEnd {
    /// Returns whether the end is good or bad evidence, or `None` if it says nothing about the server.
    ///
    /// A 4xx status depends on the request, a shed request on load, a timeout in our own queue on
    /// the node, and a cancellation on the caller.
    pub fn is_good(self) -> Option<bool> {
        match self {
            RequestEnd::Answered(400..=499) => None,
            RequestEnd::Answered(status) => Some(status < 500),
            RequestEnd::ConnectFailed | RequestEnd::Reset | RequestEnd::DeadlinePassed => {
                Some(false)
            }
            RequestEnd::Shed | RequestEnd::QueueTimeout | RequestEnd::Cancelled => None,
        }
    }
}

/// `InFlightRequest` is one request at a backend server; it is counted once.
#[derive(Debug)]
pub struct InFlightRequest {
    server: ServerAddr,
    workspace: u32,
    started: Timestamp,
    counted: bool,
}

impl InFlightRequest {
    /// Returns the server.
    pub fn server(&self) -> ServerAddr {
        self.server
    }
}

/// `Quantile` tracks one quantile of a stream in constant space by stochastic approximation.
#[derive(Clone, Copy, Debug)]
struct Quantile {
    part: f64,
    value: f64,
    samples: u64,
}

impl Quantile {
    fn new(part: f64) -> Self {
        Quantile { part, value: 0.0, samples: 0 }
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
            self.value *= 1.0 + step * self.part;
        } else {
            self.value *= 1.0 - step * (1.0 - self.part);
        }
        self.value = self.value.max(1.0);
    }
}

/// `OutcomeRecorder` collects the outcomes of one service at one node.
#[derive(Debug)]
pub struct OutcomeRecorder {
    median: Quantile,
    longest: Quantile,
    cold: BTreeMap<ServerAddr, Timestamp>,
    counts: BTreeMap<ServerAddr, Counts>,
}

impl Default for OutcomeRecorder {
    fn default() -> Self {
        OutcomeRecorder {
            median: Quantile::new(0.5),
            longest: Quantile::new(0.999),
            cold: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }
}

impl OutcomeRecorder {
    /// Returns an empty recorder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Ignores the outcomes of requests that started before `until`, the end of a cold start.
    pub fn set_cold(&mut self, server: ServerAddr, until: Timestamp) {
        self.cold.insert(server, until);
    }

    /// Starts a request.
    pub fn start(&self, now: Timestamp, server: ServerAddr, workspace: u32) -> InFlightRequest {
        InFlightRequest { server, workspace, started: now, counted: false }
    }

    /// Counts a request as bad if it has been in flight longer than the service's usual longest.
    ///
    /// Returns whether the request is counted, now or earlier. Call it for each request in flight
    /// every 100 ms: a server that never answers is then noticed before the deadline.
    pub fn check(&mut self, now: Timestamp, request: &mut InFlightRequest) -> bool {
        if !request.counted {
            if let Some(longest) = self.usual_longest() {
                if now.since(request.started) > longest {
                    request.counted = true;
                    self.count(request, false, false);
                }
            }
        }
        request.counted
    }

    /// Finishes a request and counts its end unless `check` counted it.
    pub fn finish(&mut self, now: Timestamp, request: &InFlightRequest, end: RequestEnd) {
        let Some(good) = end.is_good() else { return };
        let latency = now.since(request.started);
        let slow = good
            && self.median().is_some_and(|m| latency > m.times(SLOW_FACTOR))
            && !request.counted;
        // Latencies of failures are left out, since a refused connection ends at once.
        if good && !self.is_cold(request) {
            self.median.add(latency.as_micros() as f64);
            self.longest.add(latency.as_micros() as f64);
        }
        if !request.counted {
            self.count(request, good, slow);
        }
    }

    /// Returns the median latency of the service, once there are enough samples.
    pub fn median(&self) -> Option<Span> {
        (self.median.samples >= LEAST_SAMPLES).then(|| Span::from_micros(self.median.value as u64))
    }

    /// Returns the time in flight beyond which a request counts as bad.
    pub fn usual_longest(&self) -> Option<Span> {
        let median = self.median()?;
        let longest = Span::from_micros(self.longest.value as u64).times(OVERDUE_FACTOR);
        Some(longest.max(median.times(SLOW_FACTOR)).max(LEAST_OVERDUE))
    }

    /// Takes the counts since the last call.
    pub fn drain(&mut self) -> Vec<(ServerAddr, Counts)> {
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
        counts.list(request.workspace, u32::from(!good));
    }
}
