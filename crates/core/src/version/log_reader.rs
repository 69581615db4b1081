//! Schedules a node's reads of the log and its state fetches from peers.

use crate::{
    ids::{NodeId, Version},
    time::{Span, Timestamp},
    version::config_state::{ConfigState, ConfigStateMachine, Record, SnapshotMark, Verdict},
};
use std::sync::Arc;

/// Timing of a [`LogReader`].
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Interval between reads in a small fleet.
    pub poll: Span,
    /// Maximum reads per second of the whole fleet.
    ///
    /// With more than `fleet_reads × poll` nodes, the interval grows with the fleet. Heartbeats tell the other nodes
    /// when one has read something new, so the log need not serve 3,750 reads per second for 750 nodes.
    pub fleet_reads: u64,
    /// Timeout of a read or fetch.
    pub timeout: Span,
    /// Maximum interval between reads during an outage.
    pub max_backoff: Span,
    /// Time for which a starting node listens to its peers before it relies on their versions.
    pub listen: Span,
    /// Age at which a snapshot is repeated: half of the log's retention time.
    pub snapshot_age: Span,
}

impl Default for ReaderOptions {
    fn default() -> Self {
        ReaderOptions {
            poll: Span::from_millis(200),
            fleet_reads: 160,
            timeout: Span::from_secs(1),
            max_backoff: Span::from_secs(2),
            listen: Span::from_secs(1),
            snapshot_age: Span::from_secs(12 * 3600),
        }
    }
}

/// What the log reader needs to know from the membership.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerSummary {
    /// The number of members of the fleet, including this node.
    pub members: usize,
    /// The peer that reports the highest version, with ties broken by the highest term.
    pub best_peer: Option<PeerVersion>,
}

/// The version and term in a peer's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// The peer that sent the heartbeat.
    pub node: NodeId,
    /// The peer's version in force.
    pub version: Version,
    /// The highest term known to the peer.
    pub term: u64,
}

/// An action requested by the log reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderAction {
    /// Read the log, then call [`LogReader::apply_page`] or [`LogReader::record_failure`].
    Read {
        /// The first offset to read.
        from: u64,
    },
    /// Fetch a peer's state, then call [`LogReader::apply_fetched`].
    Fetch {
        /// The peer to fetch from.
        node: NodeId,
    },
}

/// The log's response to a read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The first offset that the log retains.
    pub first_retained: u64,
    /// The offset of the next append.
    pub next_offset: u64,
    /// Records in order, starting at the requested offset or at `first_retained` if that is higher.
    pub records: Vec<(u64, Arc<Record>)>,
}

/// Whether a starting node may serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Neither the log nor a peer has given a configuration yet.
    NotReady,
    /// The node has the highest version among the log and the peers that it can reach.
    Ready,
}

/// Decides when to read the log and when to fetch the state from a peer.
#[derive(Clone, Debug)]
pub struct LogReader {
    options: ReaderOptions,
    started: Timestamp,
    next_read: Timestamp,
    reading: Option<Timestamp>,
    fetching: Option<Timestamp>,
    next_fetch: Timestamp,
    failures: u32,
    /// Whether the end of the log was ever reached.
    caught_up: bool,
    /// The offset from which the search for a snapshot continues, while unread records are no longer retained.
    gap: Option<u64>,
    /// First retained and next offset of the log at the last read.
    bounds: Option<(u64, u64)>,
    /// The best snapshot and when it was first seen.
    mark: Option<(SnapshotMark, Timestamp)>,
}

impl LogReader {
    /// Creates the reader of a node that starts at `now`.
    pub fn new(now: Timestamp, options: ReaderOptions) -> Self {
        LogReader {
            options,
            started: now,
            next_read: now,
            reading: None,
            fetching: None,
            next_fetch: now,
            failures: 0,
            caught_up: false,
            gap: None,
            bounds: None,
            mark: None,
        }
    }

    /// Returns the interval between reads of one node in a fleet of `members` nodes.
    pub fn interval(&self, members: usize) -> Span {
        let shared = members as u64 * 1_000_000 / self.options.fleet_reads.max(1);
        self.options.poll.max(Span::from_micros(shared))
    }

    /// Returns the actions that are due.
    pub fn poll(
        &mut self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        peers: &PeerSummary,
    ) -> Vec<ReaderAction> {
        let mut actions = Vec::new();
        if self.reading.is_some_and(|at| now.since(at) >= self.options.timeout) {
            self.record_failure(now);
        }
        if self.fetching.is_some_and(|at| now.since(at) >= self.options.timeout) {
            self.fetching = None;
        }
        if self.reading.is_none() && now >= self.next_read {
            self.reading = Some(now);
            self.next_read = now + self.interval(peers.members);
            actions
                .push(ReaderAction::Read { from: self.gap.unwrap_or(state_machine.next_offset()) });
        }
        if let Some(best) = peers.best_peer {
            let ahead =
                best.version > state_machine.version() || best.term > state_machine.highest_term();
            let wanted = ahead || self.gap.is_some();
            if wanted && self.fetching.is_none() && now >= self.next_fetch {
                self.fetching = Some(now);
                self.next_fetch = now + self.options.poll;
                actions.push(ReaderAction::Fetch { node: best.node });
            }
        }
        actions
    }

    /// Applies a page of the log and returns the verdicts on the applied records.
    ///
    /// If the next record is no longer retained, the page is searched for a snapshot after whose base no record is
    /// missing. Until one is found, the node keeps its state and also asks its peers.
    pub fn apply_page(
        &mut self,
        now: Timestamp,
        state_machine: &mut ConfigStateMachine,
        p: &Page,
    ) -> Vec<(u64, Verdict)> {
        self.reading = None;
        self.failures = 0;
        self.bounds = Some((p.first_retained, p.next_offset));
        if state_machine.next_offset() < p.first_retained {
            let best = p
                .records
                .iter()
                .filter_map(|(offset, record)| match &**record {
                    Record::ConfigSnapshot { state } if state.next_offset <= *offset => Some(state),
                    _ => None,
                })
                .filter(|s| s.next_offset >= p.first_retained)
                .max_by_key(|s| s.next_offset);
            let end = p.records.last().map_or(p.first_retained, |(o, _)| o + 1);
            if best.is_some_and(|s| state_machine.adopt(s)) {
                self.gap = None;
            } else {
                // Continues the search after the page, or from the first retained record once the end is reached.
                self.gap = Some(if end >= p.next_offset { p.first_retained } else { end });
            }
            if end < p.next_offset || self.gap.is_none() {
                self.next_read = now;
            }
            return Vec::new();
        }
        self.gap = None;
        let mut verdicts = Vec::new();
        for (offset, record) in &p.records {
            if *offset == state_machine.next_offset() {
                verdicts.push((*offset, state_machine.apply(*offset, record)));
            }
        }
        if state_machine.next_offset() >= p.next_offset {
            self.caught_up = true;
        } else if !verdicts.is_empty() {
            self.next_read = now;
        }
        verdicts
    }

    /// Records a failed read; the backoff doubles up to its maximum.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.reading = None;
        self.failures = self.failures.saturating_add(1);
        let backoff = self.options.poll.times(1 << self.failures.min(16));
        let next = now + backoff.min(self.options.max_backoff);
        self.next_read = self.next_read.max(next);
    }

    /// Applies a peer's response to a fetch and returns whether its state was adopted.
    pub fn apply_fetched(
        &mut self,
        state_machine: &mut ConfigStateMachine,
        state: Option<&ConfigState>,
    ) -> bool {
        self.fetching = None;
        let adopted = state.is_some_and(|s| state_machine.adopt(s));
        if adopted {
            self.gap = None;
        }
        adopted
    }

    /// Returns whether a starting node may serve.
    ///
    /// The node's version must be as high as that of any known peer. The end of the log must have been reached, unless
    /// the log fails or has a gap and a peer was found while listening.
    pub fn readiness(
        &self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        peers: &PeerSummary,
    ) -> Readiness {
        let behind = peers.best_peer.is_some_and(|b| b.version > state_machine.version());
        let by_log = self.caught_up;
        let listened = now.since(self.started) >= self.options.listen;
        let by_peers =
            peers.best_peer.is_some() && listened && (self.failures > 0 || self.gap.is_some());
        if state_machine.version() > Version(0) && !behind && (by_log || by_peers) {
            Readiness::Ready
        } else {
            Readiness::NotReady
        }
    }

    /// Returns whether the log dropped records that this node has not read.
    pub fn in_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns a snapshot record if one is due and `local` is the usable member that appends it.
    pub fn snapshot_due(
        &mut self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        local: NodeId,
        usable: impl IntoIterator<Item = NodeId>,
    ) -> Option<Record> {
        let (first, next) = self.bounds?;
        let mark = state_machine.state().snapshot;
        if mark != self.mark.map(|m| m.0) {
            self.mark = mark.map(|m| (m, now));
        }
        let old = self.mark.is_some_and(|(_, at)| now.since(at) >= self.options.snapshot_age);
        let due = state_machine.needs_snapshot(first, next)
            || (old && state_machine.next_offset() >= first);
        if !due || self.failures > 0 || state_machine.snapshot_appender(usable) != Some(local) {
            return None;
        }
        // Forces a read before the next snapshot, so that this one is seen first.
        self.bounds = None;
        Some(Record::ConfigSnapshot { state: state_machine.snapshot() })
    }
}
