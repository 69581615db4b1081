//! The requests under which servers ended, and which of them are blocked for that.
//!
//! A server that ends takes all requests with it that it runs, and only one of them may be the cause. So a request is
//! blamed only after several servers have ended under it one after the other, and was not served meanwhile ([docs/platform.md](../../../../docs/platform.md)).

use crate::{
    request::fingerprint::Fingerprint,
    time::{Span, Timestamp},
};
use std::collections::{HashMap, HashSet, VecDeque};

/// A request is blocked once this many servers have ended under it.
const CRASHES_TO_BLOCK: usize = 3;

/// A request is first blocked for this long after the newest end of a server. Each further one doubles the time.
const FIRST_BLOCK: Span = Span::from_secs(60);

/// The most crashes of a request that are kept. They also bound the time of a block to 32 min.
const MAX_CRASHES: usize = CRASHES_TO_BLOCK + 5;

/// Servers that end within this time of each other count once. A fault of their common machine or link ends them together,
/// while a request is sent to the next server only after it was lost at the one before.
const COMMON_FAULT: Span = Span::from_millis(40);

/// A request that may be innocent is forgotten this long after the newest end of a server under it.
const SUSPECT_RETENTION: Span = Span::from_secs(120);

/// A request that was blocked is remembered for this long after the newest end of a server, so that the next one blocks it
/// again at once.
const BLOCKED_RETENTION: Span = Span::from_secs(3_600);

/// The most requests that are kept.
const MAX_REQUESTS: usize = 1_024;

/// The most served requests that are remembered.
const MAX_SERVED: usize = 4_096;

/// What a node knows of a request is repeated to others at most this often.
const REPEAT_INTERVAL: Span = Span::from_secs(1);

/// One start of a server that ended while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server, see [`ServerId::tag`](crate::process::registration::ServerId::tag).
    pub tag: u32,
    /// The start time of the server, in Unix milliseconds.
    pub started: u64,
    /// How long ago the server ended.
    pub age: Span,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    tag: u32,
    started: u64,
    at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// The ends of servers, by time.
    crashes: Vec<Crash>,
    last_shared: Option<Timestamp>,
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    suspects: HashMap<Fingerprint, SuspectRequest>,
    unreported: HashSet<Fingerprint>,
    served: HashSet<Fingerprint>,
    served_order: VecDeque<Fingerprint>,
}

impl SuspectRequest {
    /// Returns the number of faults that ended servers: those that ended together count once.
    fn faults(&self) -> usize {
        let gaps = self.crashes.windows(2).map(|pair| pair[1].at.since(pair[0].at));
        usize::from(!self.crashes.is_empty()) + gaps.filter(|gap| *gap > COMMON_FAULT).count()
    }

    fn newest(&self) -> Timestamp {
        self.crashes.last().map_or(Timestamp::ZERO, |crash| crash.at)
    }

    /// Returns the end of the block, if the request was ever blocked.
    fn blocked_until(&self) -> Option<Timestamp> {
        let beyond = self.faults().checked_sub(CRASHES_TO_BLOCK)?;
        Some(self.newest() + FIRST_BLOCK.times(1 << beyond))
    }

    fn is_kept(&self, now: Timestamp) -> bool {
        let was_blocked = self.faults() >= CRASHES_TO_BLOCK;
        let retention = if was_blocked { BLOCKED_RETENTION } else { SUSPECT_RETENTION };
        now.since(self.newest()) <= retention
    }

    /// Adds the end of a server, and returns whether it was unknown.
    fn add(&mut self, crash: Crash) -> bool {
        let is_same = |c: &Crash| (c.tag, c.started) == (crash.tag, crash.started);
        if self.crashes.iter().any(is_same) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|c| c.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }
}

impl CrashRecords {
    /// Records that a server ended under a request of this node or, by its report, of another one. Returns the time for
    /// which the request is blocked, if this extends it.
    pub fn record(&mut self, now: Timestamp, report: &CrashReport, is_own: bool) -> Option<Span> {
        let CrashReport { fingerprint, tag, started, age } = *report;
        // A request that was served since the last end of a server under it is not suspected for this one.
        if self.served.remove(&fingerprint) {
            return None;
        }
        let at = Timestamp::ZERO + (now.since(Timestamp::ZERO) - age);
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add(Crash { tag, started, at }) {
            return None;
        }
        if is_own {
            self.unreported.insert(fingerprint);
        }
        let until = suspect.blocked_until()?;
        (now < until).then(|| until.since(now))
    }

    /// Forgets the request with the oldest crash if there are too many.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        let oldest =
            self.suspects.iter().min_by_key(|(_, s)| (s.faults() >= CRASHES_TO_BLOCK, s.newest()));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records that a server served a request, so that it is not the cause of an end.
    pub fn record_served(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        if !self.served.insert(fingerprint) {
            return;
        }
        self.served_order.push_back(fingerprint);
        if self.served_order.len() > MAX_SERVED {
            let oldest = self.served_order.pop_front();
            oldest.map(|oldest| self.served.remove(&oldest));
        }
    }

    /// Returns how long a request is still blocked, if it is.
    pub fn block_left(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Span> {
        let until = self.suspects.get(&fingerprint)?.blocked_until()?;
        (now < until).then(|| until.since(now))
    }

    /// Tells the other nodes again about a blocked request that has come back, as some of them may not know of it.
    pub fn repeat(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        if suspect.last_shared.is_none_or(|shared| now.since(shared) >= REPEAT_INTERVAL) {
            self.unreported.insert(fingerprint);
        }
    }

    /// Returns and resets what the other nodes should be told.
    pub fn take_reports(&mut self, now: Timestamp) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for fingerprint in std::mem::take(&mut self.unreported) {
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else { continue };
            suspect.last_shared = Some(now);
            reports.extend(suspect_reports(now, fingerprint, suspect));
        }
        reports
    }

    /// Returns all that a node which has just started should know.
    pub fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let suspects = self.suspects.iter();
        suspects.flat_map(|(fingerprint, s)| suspect_reports(now, *fingerprint, s)).collect()
    }

    /// Forgets requests under which no server ended for a long time.
    pub fn tick(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| suspect.is_kept(now));
    }
}

fn suspect_reports(
    now: Timestamp,
    fingerprint: Fingerprint,
    suspect: &SuspectRequest,
) -> impl Iterator<Item = CrashReport> + '_ {
    suspect.crashes.iter().map(move |crash| {
        let Crash { tag, started, at } = *crash;
        CrashReport { fingerprint, tag, started, age: now.since(at) }
    })
}
