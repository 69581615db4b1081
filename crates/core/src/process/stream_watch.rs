//! Decides how a node watches a stream of records in the platform's store.

use crate::{
    process::{store_contact::MAX_CONTACT_AGE, stream_position::StreamPosition},
    time::{Span, Timestamp},
};
use rand::Rng;

/// Backoff after the first failed call.
const MIN_BACKOFF: Span = Span::from_millis(150);

/// Maximum backoff while the store does not respond. Refused calls cost money too, and a configuration must be in force
/// within two seconds of the store's return.
const MAX_BACKOFF: Span = Span::from_millis(1_000);

/// The next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the newest record of each key.
    Newest,
    /// Wait for records at or after this position.
    Watch(StreamPosition),
}

/// The state of a watch on one stream, which refuses snapshots older than the known position.
#[derive(Clone, Debug, Default)]
pub struct StreamWatch {
    position: Option<StreamPosition>,
    is_expired: bool,
    failures: u32,
    /// Snapshots that were due since the last records.
    expirations: u32,
    last_response: Option<Timestamp>,
}

/// How a node watches a stream, which follows from what it knows of the other nodes' watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Other nodes watch the store for this one.
    Follower,
    /// It watches the store for its data centre. Its calls are long, as each one is paid for.
    Reader,
    /// It is the one node that tells the fleet at short intervals that the store responds.
    Writer,
    /// No node is known to have heard from the store lately, so it asks what there is, without waiting for records.
    Asking,
}

impl StreamWatch {
    /// Returns the position after the last known record, or `None` before the first read.
    pub fn position(&self) -> Option<StreamPosition> {
        self.position
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that the store responded to a call.
    pub fn record_response(&mut self, now: Timestamp) {
        self.last_response = Some(now);
    }

    /// Returns when the store last responded to a call.
    pub fn last_response(&self) -> Option<Timestamp> {
        self.last_response
    }

    /// Returns the role of the node, which is `usual` unless the contacts of the fleet with the store are overdue. A node that
    /// has heard from this stream lately need not ask about it again.
    pub fn role(&self, now: Timestamp, is_overdue: bool, usual: WatchRole) -> WatchRole {
        let is_recent = self.last_response.is_some_and(|at| now.since(at) <= MAX_CONTACT_AGE);
        if is_overdue && !is_recent {
            WatchRole::Asking
        } else {
            usual
        }
    }

    /// Returns the call to make next.
    pub fn next_call(&self) -> StoreCall {
        match self.position {
            Some(position) if !self.is_expired => StoreCall::Watch(position),
            _ => StoreCall::Newest,
        }
    }

    /// Records a snapshot that ends at the position `end` and returns whether it may be used.
    ///
    /// A store that has just dropped its history may respond from an older state for some seconds. Such a snapshot
    /// would restore servers that have left, so it is refused and read again. A snapshot of a later era is newer, however
    /// low its offset is.
    pub fn accept_snapshot(&mut self, end: StreamPosition) -> bool {
        if self.position.is_some_and(|known| end < known) {
            self.failures += 1;
            return false;
        }
        self.position = Some(end);
        self.is_expired = false;
        self.failures = 0;
        true
    }

    /// Advances the position to `end` after reading records from `from` up to it, and returns whether they may be used.
    ///
    /// Records of another era than that of `from` do not follow the known ones: offsets before `from` were given out
    /// again, and their new records would be skipped.
    pub fn advance(&mut self, from: StreamPosition, end: StreamPosition) -> bool {
        let is_newer = self.position.is_some_and(|known| known.era < end.era);
        let is_older = self.position.is_some_and(|known| known.era > end.era);
        if from.era != end.era || is_older {
            self.is_expired |= is_newer;
            return false;
        }
        self.position = Some(self.position.map_or(end, |known| known.max(end)));
        self.failures = 0;
        self.expirations = 0;
        true
    }

    /// Advances the position to `end` after another node relayed the records up to it.
    pub fn advance_relayed(&mut self, end: StreamPosition) {
        self.position = Some(self.position.map_or(end, |known| known.max(end)));
    }

    /// Records that the known position is out of date. The next call reads a snapshot.
    pub fn mark_expired(&mut self) {
        self.is_expired = true;
    }

    /// Records that a call found no records at the position, and returns the backoff before the next call, which reads
    /// a snapshot. The first one is read at once. A store that has no records at the end of its own snapshot would
    /// otherwise be called without a pause.
    pub fn record_expiry(&mut self, rng: &mut impl Rng) -> Option<Span> {
        self.is_expired = true;
        let before = self.expirations;
        self.expirations = before.saturating_add(1);
        before.checked_sub(1).map(|repeated| backoff(repeated, rng))
    }

    /// Records a failed call and returns the backoff before the next one.
    pub fn record_failure(&mut self, rng: &mut impl Rng) -> Span {
        let before = self.failures;
        self.failures = before.saturating_add(1);
        backoff(before, rng)
    }
}

/// Returns the backoff after a failed call that follows `failures` others.
///
/// It doubles up to the maximum. A jitter of up to a quarter keeps the nodes from calling in step.
fn backoff(failures: u32, rng: &mut impl Rng) -> Span {
    let doubled = MIN_BACKOFF.times(1 << failures.min(3));
    let backoff = doubled.min(MAX_BACKOFF).as_micros();
    Span::from_micros(backoff - backoff / 4 + rng.random_range(0..=backoff / 4))
}
