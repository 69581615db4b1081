//! When a node reads the log, and when it asks a peer instead.

use crate::{
    ids::{NodeId, Version},
    time::{Span, Timestamp},
    version::config_state::{ConfigStateMachine, Record, SnapshotMark, State, Verdict},
};
use std::sync::Arc;

/// `ReaderOptions` holds the times of a [`LogReader`].
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// The interval between reads in a small fleet.
    pub poll: Span,
    /// The reads a second that the whole fleet makes at most.
    ///
    /// Above `fleet_reads × poll` nodes the interval grows with the fleet. Heartbeats spread what
    /// one node has read, so that the log need not carry 3,750 reads a second for 750 nodes.
    pub fleet_reads: u64,
    /// When a read or a fetch counts as failed.
    pub timeout: Span,
    /// The longest interval between reads in an outage.
    pub max_backoff: Span,
    /// How long a starting node listens for peers before it trusts what it heard.
    pub listen: Span,
    /// Half of the log's retention time: the age at which a snapshot is repeated.
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

/// `Peers` is what a node's membership says to its log reader.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peers {
    /// How many members the fleet has, this node included.
    pub members: usize,
    /// The peer that reports the highest version, then the highest term.
    pub best: Option<PeerVersion>,
}

/// `PeerVersion` is what a peer's heartbeat says about its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// The peer.
    pub node: NodeId,
    /// Its version in force.
    pub version: Version,
    /// The highest term that it knows.
    pub term: u64,
}

/// `ReaderAction` is what a log reader wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderAction {
    /// Read the log from this offset; answer with [`LogReader::page`] or [`LogReader::failed`].
    Read {
        /// The first offset wanted.
        from: u64,
    },
    /// Fetch a peer's state; answer with [`LogReader::fetched`].
    Fetch {
        /// The peer.
        node: NodeId,
    },
}

/// `Page` is the log's answer to a read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The first offset that the log still holds.
    pub first_retained: u64,
    /// The offset that the next append will get.
    pub next_offset: u64,
    /// Records in order, from the wanted offset or from `first_retained` if that is higher.
    pub records: Vec<(u64, Arc<Record>)>,
}

/// `Readiness` says whether a starting node may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Neither the log nor a peer has given a configuration yet.
    NotReady,
    /// The node holds the highest version of its peers and the log, as far as they can be reached.
    Ready,
}

/// `LogReader` decides when to read the log and when to fetch from a peer.
#[derive(Clone, Debug)]
pub struct LogReader {
    options: ReaderOptions,
    started: Timestamp,
    next_read: Timestamp,
    reading: Option<Timestamp>,
    fetching: Option<Timestamp>,
    next_fetch: Timestamp,
    failures: u32,
    caught_up: bool,
    gap: Option<u64>,
    bounds: Option<(u64, u64)>,
    mark: Option<(SnapshotMark, Timestamp)>,
}

impl LogReader {
    /// Returns a reader of a node that starts now.
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

    /// Returns the interval between reads for a fleet of `members` nodes.
    pub fn interval(&self, members: usize) -> Span {
        let shared = members as u64 * 1_000_000 / self.options.fleet_reads.max(1);
        self.options.poll.max(Span::from_micros(shared))
    }

    /// Returns what to do now.
    pub fn poll(
        &mut self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        peers: &Peers,
    ) -> Vec<ReaderAction> {
        let mut actions = Vec::new();
        if self.reading.is_some_and(|at| now.since(at) >= self.options.timeout) {
            self.failed(now);
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
        if let Some(best) = peers.best {
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

    /// Applies a page of the log and returns the verdicts of the records that were applied.
    ///
    /// When the next record is no longer retained, the page is searched for a snapshot from whose base
    /// on the log is complete. Until one is found, the node keeps what it has and asks peers as well.
    pub fn page(
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
                // Searches on at the page's end, and from the start again once the log's end is reached.
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

    /// Notes that a read failed; the wait doubles up to the limit.
    pub fn failed(&mut self, now: Timestamp) {
        self.reading = None;
        self.failures = self.failures.saturating_add(1);
        let wait = self.options.poll.times(1 << self.failures.min(16));
        let next = now + wait.min(self.options.max_backoff);
        self.next_read = self.next_read.max(next);
    }

    /// Takes a peer's answer to a fetch and returns whether the state was adopted.
    pub fn fetched(
        &mut self,
        state_machine: &mut ConfigStateMachine,
        state: Option<&State>,
    ) -> bool {
        self.fetching = None;
        let adopted = state.is_some_and(|s| state_machine.adopt(s));
        if adopted {
            self.gap = None;
        }
        adopted
    }

    /// Returns whether a starting node may serve now.
    ///
    /// The version must be the highest that any heard peer reports. The log's end must have been
    /// reached, unless the log is failing and a peer was heard after listening for a while.
    pub fn readiness(
        &self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        peers: &Peers,
    ) -> Readiness {
        let behind = peers.best.is_some_and(|b| b.version > state_machine.version());
        let by_log = self.caught_up;
        let listened = now.since(self.started) >= self.options.listen;
        let by_peers =
            peers.best.is_some() && listened && (self.failures > 0 || self.gap.is_some());
        if state_machine.version() > Version(0) && !behind && (by_log || by_peers) {
            Readiness::Ready
        } else {
            Readiness::NotReady
        }
    }

    /// Returns whether records that this node has not read were dropped from the log.
    pub fn in_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns a snapshot record if one is due and `me` is the usable member that appends it.
    pub fn snapshot_due(
        &mut self,
        now: Timestamp,
        state_machine: &ConfigStateMachine,
        me: NodeId,
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
        if !due || self.failures > 0 || state_machine.snapshot_appender(usable) != Some(me) {
            return None;
        }
        // Reads again before the next one, so that the record just appended is seen first.
        self.bounds = None;
        Some(Record::ConfigSnapshot { state: state_machine.snapshot() })
    }
}
