//! The idempotency store of a home: the keys that it has run or refused, with the responses.
//!
//! `docs/design.md`, section 3.1, describes the rules. They guarantee that a key runs at most once and
//! that an attempt reported as `not_run` never runs later.
//!
//! * `options`, `decision`, `response`: what other modules set, ask and get.
//! * `generation`, `seal`: what is kept of the keys.
//! * `begin`, `finish`: the start and the end of a run.
//! * `rotation`: opens and drops generations; `transfer`: the handover to a successor.

mod begin;
mod decision;
mod finish;
mod generation;
mod options;
mod response;
mod rotation;
mod seal;
mod transfer;

pub use self::{
    decision::{BeginDecision, FinishedKey, KeyReply, KeyTicket, RunResult, Waiter},
    options::IdempotencyOptions,
    response::{StoredResponse, MAX_HEADER_BYTES},
};

use self::generation::{Generation, RecordCounts};
use crate::{ids::StartId, request::key::KeyPrefix, time::Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The idempotency records of the keys whose home is one start of a node.
///
/// Methods with a `now` argument first open, close and drop generations as due, so that a process resumed from a
/// pause never decides on outdated generations.
#[derive(Debug)]
pub struct IdempotencyStore {
    options: IdempotencyOptions,
    home: SocketAddr,
    start: StartId,
    now: Timestamp,
    /// The number of the newest own generation.
    current: u64,
    /// When the newest own generation was opened.
    opened: Timestamp,
    generations: BTreeMap<KeyPrefix, Generation>,
    /// All homes taken over so far, so that a repeated handover changes nothing.
    taken_over: BTreeSet<Home>,
    /// The successor named in the first export, the only one that may run sealed keys.
    successor: Option<Home>,
    own: RecordCounts,
    imported: RecordCounts,
    /// Total size of the kept responses.
    bytes: usize,
    next_id: u64,
    stage: Stage,
}

/// The entry address and start of a node.
type Home = (SocketAddr, StartId);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// No new generation is opened.
    Closing,
    /// The records were exported; the successor now decides about the keys.
    Exported,
}

impl IdempotencyStore {
    /// Creates an empty store for a process that starts at `now`, with its first generation open.
    pub fn new(
        options: IdempotencyOptions,
        home: SocketAddr,
        start: StartId,
        now: Timestamp,
    ) -> Self {
        let first = KeyPrefix::new(home, start, 0);
        IdempotencyStore {
            options,
            home: first.home(),
            start,
            now,
            current: 0,
            opened: now,
            generations: BTreeMap::from([(first, Generation::default())]),
            taken_over: BTreeSet::new(),
            successor: None,
            own: RecordCounts::default(),
            imported: RecordCounts::default(),
            bytes: 0,
            next_id: 0,
            stage: Stage::Serving,
        }
    }

    /// Returns the prefix for new keys, or `None` while no generation accepts new keys.
    ///
    /// This is the case if the store is full and after [`close_generations`](Self::close_generations). Callers should
    /// then use a prefix of another home.
    pub fn mint_prefix(&mut self, now: Timestamp) -> Option<KeyPrefix> {
        self.tick(now);
        let prefix = self.prefix(self.current);
        let open = self.generations.get(&prefix).is_some_and(Generation::is_open);
        (open && self.has_room()).then_some(prefix)
    }

    /// Returns the number of recorded keys and seals, including those taken over.
    pub fn len(&self) -> usize {
        let total = |s: &RecordCounts| s.records + s.seals;
        total(&self.own) + total(&self.imported)
    }

    /// Returns whether neither keys nor seals are recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the generation of `prefix` is kept, either own or taken over.
    pub fn contains_generation(&self, prefix: &KeyPrefix) -> bool {
        self.generations.contains_key(prefix)
    }

    /// Returns the number of keys in flight.
    pub fn in_flight(&self) -> usize {
        self.generations.values().map(|g| g.pending).sum()
    }

    /// Returns the total size of the kept responses in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.bytes
    }

    fn prefix(&self, generation: u64) -> KeyPrefix {
        KeyPrefix::new(self.home, self.start, generation)
    }

    fn is_own(&self, prefix: &KeyPrefix) -> bool {
        home_of(prefix) == (self.home, self.start)
    }

    fn counts_mut(&mut self, prefix: &KeyPrefix) -> &mut RecordCounts {
        if self.is_own(prefix) {
            &mut self.own
        } else {
            &mut self.imported
        }
    }

    /// Returns whether a new key can be recorded, whatever its outcome.
    fn has_room(&self) -> bool {
        let RecordCounts { records, pending, seals } = self.own;
        // Each key in flight may end as `not_run` and then needs room for a seal.
        records < self.options.capacity && seals + pending < self.options.seal_capacity
    }
}

/// Returns the home of a prefix.
fn home_of(prefix: &KeyPrefix) -> Home {
    (prefix.home(), prefix.start())
}
