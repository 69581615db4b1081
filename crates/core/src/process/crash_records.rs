//! The requests under which servers ended, and which of them are blocked for that.
//!
//! A server that ends takes all requests with it that it runs, and only one of them may be the cause. So a request is
//! blamed only after several servers have ended under it one after the other, and was not served meanwhile
//! ([docs/platform.md](../../../../docs/platform.md)).

use crate::{
    process::{fingerprint::Fingerprint, served_requests::ServedRequests},
    time::{Span, Timestamp},
};
use std::collections::{HashMap, HashSet};

/// A request is blocked once this many servers have ended under it.
const CRASHES_TO_BLOCK: usize = 3;

/// A request is first blocked for this long after the newest end of a server. Each further one doubles the time.
const FIRST_BLOCK: Span = Span::from_secs(60);

/// The most faults of a request that are counted. They bound the time of a block to 32 min.
const MAX_FAULTS: usize = CRASHES_TO_BLOCK + 5;

/// The most crashes of a request that are kept, to count each once and to tell other nodes.
const MAX_CRASHES: usize = 32;

/// Servers that end within this time of the first one may have had one fault in common, of their machine or link. It takes
/// along the requests that ran there before. A request that is sent to the next server after it was lost at the one before
/// meets a fault of its own there, however soon.
const COMMON_FAULT: Span = Span::from_millis(40);

/// By this much an end that another node reports may seem later than it was, as its message takes some time.
const REPORT_DELAY: Span = Span::from_millis(4);

/// A request that was served at this node so short a time before the end of a server is not suspected for that one. It
/// comes often, so that it is likely to be in flight wherever a server ends, and to be served again soon.
const SERVED_STANDING: Span = Span::from_secs(3);

/// A request that may be innocent is forgotten this long after the newest end of a server under it.
const SUSPECT_RETENTION: Span = Span::from_secs(120);

/// A request that was blocked is remembered for this long after the newest end of a server, so that the next one blocks it
/// again at once.
const BLOCKED_RETENTION: Span = Span::from_secs(3_600);

/// The most requests that are kept.
const MAX_REQUESTS: usize = 1_024;

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
    /// How long before its end the server had got the request.
    pub run: Span,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    tag: u32,
    started: u64,
    at: Timestamp,
    run: Span,
}

impl Crash {
    /// Returns whether the server may have ended by the fault that began at `fault`, and not by the request.
    fn shares_fault(&self, fault: Timestamp) -> bool {
        let was_running = self.at - self.run + REPORT_DELAY < fault;
        was_running && self.at.since(fault) <= COMMON_FAULT
    }
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// The newest ends of servers, by time.
    crashes: Vec<Crash>,
    /// The faults under which servers ended, see [`Crash::shares_fault`].
    faults: usize,
    last_shared: Option<Timestamp>,
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    suspects: HashMap<Fingerprint, SuspectRequest>,
    unreported: HashSet<Fingerprint>,
    served: ServedRequests,
}

impl SuspectRequest {
    fn newest(&self) -> Timestamp {
        self.crashes.last().map_or(Timestamp::ZERO, |crash| crash.at)
    }

    fn was_blocked(&self) -> bool {
        self.faults >= CRASHES_TO_BLOCK
    }

    /// Returns the end of the block, if the request was ever blocked.
    fn blocked_until(&self) -> Option<Timestamp> {
        let beyond = self.faults.checked_sub(CRASHES_TO_BLOCK)?;
        Some(self.newest() + FIRST_BLOCK.times(1 << beyond))
    }

    /// Returns how long the request is still blocked, if it is.
    fn block_left(&self, now: Timestamp) -> Option<Span> {
        let until = self.blocked_until()?;
        (now < until).then(|| until.since(now))
    }

    fn is_kept(&self, now: Timestamp) -> bool {
        let retention = if self.was_blocked() { BLOCKED_RETENTION } else { SUSPECT_RETENTION };
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
        // Faults of crashes that are no longer kept still count.
        self.faults = count_faults(&self.crashes).clamp(self.faults, MAX_FAULTS);
        true
    }
}

/// Returns the number of faults under which servers ended, from their ends by time.
fn count_faults(crashes: &[Crash]) -> usize {
    let mut count = 0;
    let mut newest: Option<Timestamp> = None;
    for crash in crashes {
        if newest.is_none_or(|fault| !crash.shares_fault(fault)) {
            newest = Some(crash.at);
            count += 1;
        }
    }
    count
}

impl CrashRecords {
    /// Records that a server ended under a request of this node or, by its report, of another one. Returns the time for
    /// which the request is blocked, if this extends it.
    pub fn record(&mut self, now: Timestamp, report: &CrashReport, is_own: bool) -> Option<Span> {
        let CrashReport { fingerprint, tag, started, age, run } = *report;
        let at = now - age;
        if self.was_served_lately(fingerprint, at) {
            return None;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add(Crash { tag, started, at, run }) {
            return None;
        }
        if is_own {
            self.unreported.insert(fingerprint);
        }
        suspect.block_left(now)
    }

    /// Returns whether a request is not suspected for the end of a server at `at`, as it was served after it or lately. The
    /// latter holds for one end only.
    fn was_served_lately(&mut self, fingerprint: Fingerprint, at: Timestamp) -> bool {
        match self.served.newest(fingerprint) {
            Some(served) if served >= at => true,
            Some(served) => {
                self.served.remove(fingerprint);
                at.since(served) <= SERVED_STANDING
            }
            None => false,
        }
    }

    /// Forgets the request with the oldest crash if there are too many.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, s)| (s.was_blocked(), s.newest()));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records that a server served a request, so that it is not the cause of an end.
    pub fn record_served(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        self.served.add(now, fingerprint);
    }

    /// Returns how long a request is still blocked, if it is.
    pub fn block_left(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Span> {
        self.suspects.get(&fingerprint)?.block_left(now)
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
        let Crash { tag, started, at, run } = *crash;
        CrashReport { fingerprint, tag, started, age: now.since(at), run }
    })
}
