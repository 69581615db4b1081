//! Sequential tests that find backend servers with gray failures.
//!
//! For each server a bank of CUSUM tests compares the share of bad outcomes, and the share of slow
//! responses, with those of the service's other servers (docs/design.md, section 4.1).
//!
//! Counts arrive in batches, and the order of outcomes inside a batch is not known. For a batch of
//! `g` good and `b` bad outcomes with steps `−u` and `+v`, a CUSUM at `s` ends between
//! `max(0, s + b·v − g·u)` (all bad first) and `max(0, s − g·u) + b·v` (all good first). The detector
//! uses the lower end. No order of the outcomes gives a lower score, so batching adds no false
//! ejection, and the score lags by at most the bad outcomes of one batch.
//!
//! * `options`, `result`: what other modules set and get.
//! * `server`: the counts and scores of a server, with a `bank` of scores for each test, `decayed` counts and the
//!   counts of each `source`.
//! * `activity`: whether two nodes or workspaces are active.

mod activity;
mod bank;
mod decayed;
mod options;
mod result;
mod server;
mod source;

pub use self::{
    bank::update_score,
    options::{Options, ALTERNATIVES},
    result::{Scores, Suspect, TestResult},
};

use self::{
    activity::Activity,
    decayed::{DecayedWindows, TIME_CONSTANTS},
    server::Server,
};
use crate::{ids::ServerAddr, process::evidence::EvidenceCounts, time::Timestamp};
use std::collections::BTreeMap;

/// Tests the servers of one service.
///
/// The state takes 432 bytes per server plus the map's overhead, whatever the number of nodes. A test checks
/// this limit.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    servers: BTreeMap<ServerAddr, Server>,
    updated_at: Option<Timestamp>,
    /// The decayed counts of all servers together.
    totals: DecayedWindows,
    /// The active nodes.
    nodes: Activity,
    /// The active workspaces.
    workspaces: Activity,
}

impl Detector {
    /// The size of the state per server in bytes, without the map's overhead.
    pub const BYTES_PER_SERVER: usize =
        std::mem::size_of::<Server>() + std::mem::size_of::<ServerAddr>();

    /// Creates a detector without servers.
    pub fn new(options: Options) -> Self {
        Detector {
            options,
            servers: BTreeMap::new(),
            updated_at: None,
            totals: Default::default(),
            nodes: Activity::default(),
            workspaces: Activity::default(),
        }
    }

    /// Sets the servers to test. The state of all others is dropped.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = ServerAddr>) {
        let mut old = std::mem::take(&mut self.servers);
        for s in servers {
            self.servers.insert(s, old.remove(&s).unwrap_or_default());
        }
    }

    /// Adds the counts that a node reports about `server`. `source` is the hash of the node.
    pub fn observe(
        &mut self,
        now: Timestamp,
        source: u32,
        server: ServerAddr,
        counts: &EvidenceCounts,
    ) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if counts.is_empty() || s.excluded {
            return;
        }
        self.nodes.mark(now, source);
        for w in counts.workspaces() {
            self.workspaces.mark(now, w.hash);
        }
        s.observe(source, counts);
    }

    /// Excludes a server from the tests and the base rate, or includes it again.
    ///
    /// Either change resets its scores to zero.
    pub fn set_excluded(&mut self, server: ServerAddr, excluded: bool) {
        if let Some(s) = self.servers.get_mut(&server) {
            if s.excluded != excluded {
                *s = Server::new(excluded);
            }
        }
    }

    /// Evaluates the counts received since the last call and returns the result of the tests.
    pub fn evaluate(&mut self, now: Timestamp) -> TestResult {
        self.apply_pending(now);
        let tested = self.servers.values().filter(|s| !s.excluded).count();
        let is_elevated = |s: &Server| s.score() >= s.threshold / 4.0;
        let is_failing = |s: &Server| {
            s.is_confirmed(now, self.options.confirm)
                && s.stands_out(&self.totals, self.options.min_rate)
                && self.is_corroborated(now, s)
        };
        // For "more than half", a score of a quarter of the threshold is enough: when the whole service starts
        // to fail, one server reaches the full threshold a little before the others.
        let suspects = self.servers.values().filter(|s| !s.excluded && is_elevated(s)).count();
        if !self.servers.values().any(|s| !s.excluded && is_failing(s)) {
            return TestResult::Suspects(Vec::new());
        }
        if tested > 1 && 2 * suspects > tested {
            for s in self.servers.values_mut() {
                s.reset();
            }
            return TestResult::Service;
        }
        let mut list: Vec<Suspect> = self
            .servers
            .iter()
            .filter(|(_, s)| !s.excluded && is_failing(s))
            .map(|(a, s)| Suspect { server: *a, severity: s.severity() })
            .collect();
        list.sort_by(|a, b| b.severity.total_cmp(&a.severity).then(a.server.cmp(&b.server)));
        TestResult::Suspects(list)
    }

    /// Returns the scores of a server as of the last `evaluate`.
    pub fn scores(&self, now: Timestamp, server: ServerAddr) -> Option<Scores> {
        let s = self.servers.get(&server)?;
        Some(Scores {
            counts: s.counts,
            bad: s.bad.score(),
            bad_base: s.bad.base,
            slow: s.slow.score(),
            slow_base: s.slow.base,
            threshold: s.threshold,
            rate: s.rate(),
            corroborated: self.is_corroborated(now, s),
        })
    }

    fn apply_pending(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at.unwrap_or(now)).as_secs_f64();
        self.updated_at = Some(now);
        let decay = TIME_CONSTANTS.map(|t| (-elapsed / t).exp());
        let mut totals = DecayedWindows::default();
        let mut new_good = 0.0;
        for s in self.servers.values_mut().filter(|s| !s.excluded) {
            new_good += f64::from(s.pending.good);
            s.decay(&decay);
            for (total, counts) in totals.iter_mut().zip(s.decayed()) {
                *total += *counts;
            }
        }
        self.totals = totals;
        for s in self.servers.values_mut().filter(|s| !s.excluded) {
            s.evaluate(now, &self.options, &totals, new_good);
        }
    }

    fn is_corroborated(&self, now: Timestamp, s: &Server) -> bool {
        let nodes = !self.nodes.has_two(now) || s.has_two_nodes(&self.options);
        let workspaces = !self.workspaces.has_two(now) || s.has_two_workspaces();
        nodes && workspaces
    }
}
