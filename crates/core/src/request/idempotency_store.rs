//! The idempotency store of a home: the keys that it has run or refused, with the responses.
//!
//! `docs/design.md`, section 3.1, describes the rules. They guarantee that a key runs at most once and
//! that an attempt reported as `not_run` never runs later.

use crate::{
    codes::{Outcome, ResultCode},
    error::{Error, Result},
    ids::StartId,
    invariant,
    invariant::Invariant,
    request::{
        handover::{Handover, KeyOutcome, SavedGeneration, SavedKey, SavedSeal},
        key::{KeyPrefix, RequestKey},
    },
    time::{Span, Timestamp},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
    net::SocketAddr,
    sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64;

/// A response with more bytes of header names and values than this is kept without headers and body.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Capacity limits and retention times of the idempotency store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyOptions {
    /// Interval at which a new generation is opened.
    pub generation: Span,
    /// Retention time of a closed generation, in which repeated requests find their responses.
    pub horizon: Span,
    /// Maximum number of keys of this home that are in flight or ran. The same limit applies separately to keys
    /// taken over from other homes.
    pub capacity: usize,
    /// Maximum number of sealed keys of this home. The same limit applies separately to seals taken over from
    /// other homes.
    ///
    /// A seal takes 17 bytes in a hash table that is at least 7/16 full: 36 MB for 1,000,000 seals. Seals are that
    /// small, so a flood of refused keys gets its own limit, five times that of the keys that ran.
    pub seal_capacity: usize,
    /// Maximum size of a kept response body, in bytes.
    pub body_limit: usize,
    /// Maximum total size of all kept bodies and headers, in bytes.
    ///
    /// Bodies of the maximum size for every key would need 13 GB, far more than a node's 256 MB. Responses beyond
    /// this total are kept without headers and body.
    pub total_bytes: usize,
    /// Maximum number of copies that wait for one key in flight.
    pub waiters: usize,
}

impl Default for IdempotencyOptions {
    fn default() -> Self {
        IdempotencyOptions {
            generation: Span::from_secs(300),
            horizon: Span::from_secs(600),
            capacity: 200_000,
            seal_capacity: 1_000_000,
            body_limit: 64 * 1024,
            total_bytes: 96 * 1024 * 1024,
            waiters: 64,
        }
    }
}

/// A backend server's response, kept for callers that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, or `None` if the response was too large to keep. A repeated request then gets
    /// [`ResultCode::AnswerNotKept`].
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    fn header_bytes(&self) -> usize {
        self.headers.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Returns the size of headers and body in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.header_bytes() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// The permission to run a key once, consumed by [`IdempotencyStore::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct KeyTicket {
    key: RequestKey,
    id: u64,
}

impl KeyTicket {
    /// Returns the key that this ticket allows to run.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}

/// The id of a copy that waits for the result of a key in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(u64);

/// How to handle a copy of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run the request, then call [`IdempotencyStore::finish`].
    Run(KeyTicket),
    /// Wait until [`IdempotencyStore::finish`] returns this waiter.
    Wait(Waiter),
    /// Send the kept response.
    Replay(Arc<StoredResponse>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// The result of a run.
#[derive(Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The backend server sent a complete response.
    Response(StoredResponse),
    /// The request may have run; the code's outcome must be `unknown`.
    Unknown(ResultCode),
    /// The request did not run; the code's outcome must be `not_run`.
    NotRun(ResultCode),
}

/// The reply to the waiting copies of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyReply {
    /// Send the kept response.
    Replay(Arc<StoredResponse>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// The reply to a finished key and the copies that get it.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedKey {
    /// The waiting copies.
    pub waiters: Vec<Waiter>,
    /// The reply to each of them.
    pub reply: KeyReply,
}

/// The highest attempt that was reported as `not_run` for the keys with one hash.
///
/// Seals are stored by a 64-bit hash of the caller's part of the key. Keys with the same hash share a seal,
/// which can only cause an additional refusal: a seal is kept until its generation is dropped, its attempt
/// never decreases, and its fingerprint never changes once set.
#[derive(Clone, Copy, Debug)]
struct Seal {
    attempt: u32,
    /// 0 if the body of the request was not read; the seal then matches any request.
    fingerprint: u32,
}

impl Seal {
    fn matches(self, fingerprint: Option<u64>) -> bool {
        let folded = fold(fingerprint);
        folded == 0 || self.fingerprint == 0 || self.fingerprint == folded
    }
}

#[derive(Debug)]
enum State {
    Pending(Pending),
    Done(KeyOutcome),
}

#[derive(Debug)]
struct Pending {
    ticket: u64,
    /// The highest attempt of the running copy and the waiting copies.
    attempt: u32,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct KeyRecord {
    /// `None` for a copy that is refused before its body was read.
    fingerprint: Option<u64>,
    /// Number of runs that did not end as `not_run`.
    runs: u32,
    state: State,
}

#[derive(Debug, Default)]
struct Generation {
    records: HashMap<Arc<str>, KeyRecord>,
    seals: HashMap<u64, Seal>,
    /// Whether another successor may run the sealed keys.
    seals_void: bool,
    pending: usize,
    /// Total size of the kept responses.
    bytes: usize,
    /// When the generation will be dropped; `None` while it is open.
    drop_at: Option<Timestamp>,
}

impl Generation {
    fn is_open(&self) -> bool {
        self.drop_at.is_none()
    }
}

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

/// Record counts, kept separately for own keys and keys taken over.
#[derive(Clone, Copy, Debug, Default)]
struct RecordCounts {
    records: usize,
    pending: usize,
    seals: usize,
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

    /// Decides how to handle a copy of the request `key` with the caller's attempt number `attempt`.
    ///
    /// `fingerprint` is a hash of the request, such as its method, path and body. A copy with another fingerprint
    /// is refused as [`ResultCode::KeyReused`].
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
    ) -> BeginDecision {
        self.decide(now, key, attempt, Some(fingerprint))
    }

    fn decide(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
    ) -> BeginDecision {
        self.tick(now);
        let waiters = self.options.waiters;
        // The generation was dropped, belongs to another start or home, or was never opened. In the last case a
        // refusal as `not_run` would become false once the generation opens.
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let Some(record) = generation.records.get_mut(key.caller()) else {
            return self.decide_idle(key, attempt, fingerprint);
        };
        // A copy whose body was not read is treated as the same request: reporting `not_run` would be false if it is
        // the same, and the reply it gets instead promises nothing if it is another request.
        if fingerprint.zip(record.fingerprint).is_some_and(|(copy, known)| copy != known) {
            // A seal cannot distinguish two requests with the same folded fingerprint, so it must cover both attempts.
            if let State::Pending(pending) = &mut record.state {
                if fold(fingerprint) == fold(record.fingerprint) {
                    pending.attempt = pending.attempt.max(attempt);
                }
            }
            return BeginDecision::Refuse(ResultCode::KeyReused);
        }
        match &mut record.state {
            State::Pending(pending) => {
                if pending.waiters.len() >= waiters {
                    return BeginDecision::Refuse(ResultCode::KeyBusy);
                }
                // If the run ends as `not_run`, all waiting copies get this outcome, so the seal must cover the
                // highest of their attempts.
                pending.attempt = pending.attempt.max(attempt);
                let waiter = Waiter(self.next_id);
                self.next_id += 1;
                pending.waiters.push(waiter);
                BeginDecision::Wait(waiter)
            }
            State::Done(KeyOutcome::Response(response)) => BeginDecision::Replay(response.clone()),
            State::Done(KeyOutcome::Unknown(code)) => BeginDecision::Refuse(*code),
        }
    }

    /// Decides how to handle a key that is not in flight and did not run.
    fn decide_idle(
        &mut self,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
    ) -> BeginDecision {
        let counts = if self.is_own(key.prefix()) { self.own } else { self.imported };
        let has_record_room = counts.records < self.options.capacity;
        let (has_room, exported) = (self.has_room(), self.stage == Stage::Exported);
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let void = generation.seals_void;
        match generation.seals.get_mut(&hash(key)) {
            // A successor may have run a higher attempt since the export.
            Some(_) if void || exported => BeginDecision::Refuse(ResultCode::KeyForgotten),
            Some(seal) if !seal.matches(fingerprint) => {
                BeginDecision::Refuse(ResultCode::KeyReused)
            }
            Some(seal) if attempt <= seal.attempt => BeginDecision::Refuse(ResultCode::KeySealed),
            Some(seal) if !has_record_room => {
                seal.attempt = attempt;
                BeginDecision::Refuse(ResultCode::KeysFull)
            }
            Some(_) => self.run(key, attempt, fingerprint),
            None => {
                if !has_room && generation.is_open() {
                    // The refused key is not stored. It can never run, because its generation accepts no new keys
                    // from now on, even if capacity becomes free.
                    generation.drop_at = Some(self.now + self.options.horizon);
                }
                match (generation.is_open(), has_room) {
                    (true, _) => self.run(key, attempt, fingerprint),
                    (false, true) => BeginDecision::Refuse(ResultCode::KeyClosed),
                    (false, false) => BeginDecision::Refuse(ResultCode::KeysFull),
                }
            }
        }
    }

    /// Refuses a copy that must not run and returns how to handle it.
    ///
    /// An unknown key is sealed. A copy of a key that may have run waits or gets the kept response instead, because
    /// `not_run` would be false. Never returns [`BeginDecision::Run`].
    pub fn refuse(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
        code: ResultCode,
    ) -> BeginDecision {
        self.refuse_copy(now, key, attempt, Some(fingerprint), code)
    }

    /// Refuses a copy whose body was not read, like [`refuse`](Self::refuse).
    ///
    /// A copy of a key that is in flight or ran waits or gets the kept response, regardless of the fingerprint.
    pub fn refuse_unread(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        code: ResultCode,
    ) -> BeginDecision {
        self.refuse_copy(now, key, attempt, None, code)
    }

    fn refuse_copy(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
        code: ResultCode,
    ) -> BeginDecision {
        match self.decide(now, key, attempt, fingerprint) {
            BeginDecision::Run(ticket) => {
                match self.finish(ticket, RunResult::NotRun(code)).reply {
                    KeyReply::Replay(response) => BeginDecision::Replay(response),
                    KeyReply::Refuse(code) => BeginDecision::Refuse(code),
                }
            }
            other => other,
        }
    }

    /// Records the result of a run and returns the reply to the waiting copies.
    ///
    /// The copy that ran gets its own result; a refusal is the same for all copies. A code whose outcome does not match
    /// `result` violates [`Invariant::TrueRefusal`] and is recorded as [`ResultCode::ServerLost`], which promises
    /// nothing.
    pub fn finish(&mut self, ticket: KeyTicket, result: RunResult) -> FinishedKey {
        let KeyTicket { key, id } = ticket;
        let lost = FinishedKey { waiters: vec![], reply: KeyReply::Refuse(ResultCode::ServerLost) };
        let bytes_left = self.options.total_bytes.saturating_sub(self.bytes);
        let body_limit = self.options.body_limit;
        let is_own = self.is_own(key.prefix());
        let counts = if is_own { &mut self.own } else { &mut self.imported };
        // A generation is kept while any of its keys is in flight, so only a ticket of another store has no
        // pending record.
        let found = self.generations.get_mut(key.prefix()).and_then(|generation| {
            let record = generation.records.get_mut(key.caller())?;
            match &mut record.state {
                State::Pending(p) if p.ticket == id => {
                    let (attempt, waiters) = (p.attempt, mem::take(&mut p.waiters));
                    Some((generation, attempt, waiters))
                }
                _ => None,
            }
        });
        let Some((generation, attempt, waiters)) = found else {
            invariant!(Invariant::AtMostOnce, false, "ticket {id} of key {key} is not in flight");
            return lost;
        };
        generation.pending -= 1;
        counts.pending -= 1;
        let outcome = match result {
            RunResult::Response(response) => {
                let response = trim_response(response, body_limit, bytes_left);
                generation.bytes += response.bytes();
                self.bytes += response.bytes();
                KeyOutcome::Response(Arc::new(response))
            }
            RunResult::Unknown(code) => KeyOutcome::Unknown(check_outcome(code, Outcome::Unknown)),
            RunResult::NotRun(code) => match check_outcome(code, Outcome::NotRun) {
                code if code.outcome() == Outcome::NotRun => {
                    let record = generation.records.remove(key.caller());
                    invariant!(
                        Invariant::TrueRefusal,
                        record.as_ref().is_some_and(|e| e.runs == 0),
                        "key {key} ran and is refused with {code}"
                    );
                    counts.records -= 1;
                    let fingerprint = fold(record.and_then(|e| e.fingerprint));
                    let seal = generation.seals.entry(hash(&key)).or_insert_with(|| {
                        counts.seals += 1;
                        Seal { attempt, fingerprint }
                    });
                    seal.attempt = seal.attempt.max(attempt);
                    if seal.fingerprint == 0 {
                        seal.fingerprint = fingerprint;
                    }
                    return FinishedKey { waiters, reply: KeyReply::Refuse(code) };
                }
                code => KeyOutcome::Unknown(code),
            },
        };
        let Some(record) = generation.records.get_mut(key.caller()) else { return lost };
        record.runs += 1;
        invariant!(Invariant::AtMostOnce, record.runs == 1, "key {key} ran twice");
        let reply = match &outcome {
            KeyOutcome::Response(response) => KeyReply::Replay(response.clone()),
            KeyOutcome::Unknown(code) => KeyReply::Refuse(*code),
        };
        record.state = State::Done(outcome);
        FinishedKey { waiters, reply }
    }

    /// Opens, closes and drops generations as due.
    ///
    /// A generation with keys in flight is kept until they finish, because copies may be waiting.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        let now = self.now;
        let due = |g: &Generation| g.pending == 0 && g.drop_at.is_some_and(|at| at <= now);
        if self.generations.values().any(due) {
            let own = (self.home, self.start);
            let (own_counts, imported_counts) = (&mut self.own, &mut self.imported);
            let bytes = &mut self.bytes;
            self.generations.retain(|prefix, generation| {
                if due(generation) {
                    let is_own = (prefix.home(), prefix.start()) == own;
                    let counts = if is_own { &mut *own_counts } else { &mut *imported_counts };
                    counts.records -= generation.records.len();
                    counts.seals -= generation.seals.len();
                    *bytes -= generation.bytes;
                    return false;
                }
                true
            });
        }
        if self.stage != Stage::Serving {
            return;
        }
        // A generation that was closed early because the store was full is replaced only once there is room.
        // Otherwise each refusal would open another generation.
        let current = self.prefix(self.current);
        let open = self.generations.get(&current).is_some_and(Generation::is_open);
        let old = now.since(self.opened) >= self.options.generation;
        if !old && (open || !self.has_room()) {
            return;
        }
        // After a process pause of two or more generation intervals the current generation was already due to close.
        let previous_too = now.since(self.opened) >= self.options.generation.times(2);
        for (prefix, generation) in &mut self.generations {
            let is_own = (prefix.home(), prefix.start()) == (self.home, self.start);
            let keep_open = prefix.generation() == self.current && !previous_too;
            if is_own && !keep_open && generation.is_open() {
                generation.drop_at = Some(now + self.options.horizon);
            }
        }
        self.current += 1;
        self.opened = now;
        self.generations.insert(self.prefix(self.current), Generation::default());
    }

    /// Closes all generations to new keys and stops opening new ones.
    ///
    /// Keys in flight continue, and a sealed key may still run with a higher attempt until the export.
    pub fn close_generations(&mut self, now: Timestamp) {
        self.tick(now);
        if self.stage == Stage::Serving {
            self.stage = Stage::Closing;
        }
        for generation in self.generations.values_mut() {
            generation.drop_at.get_or_insert(self.now + self.options.horizon);
        }
    }

    /// Exports all records to the successor with this entry address and start. No key may run here afterwards.
    ///
    /// Fails while keys are in flight. A repeated call returns the same records, for the same successor after a lost
    /// handover or for another one. Only the first successor may run sealed keys: it may have taken over although
    /// its acknowledgement was lost, and a sealed key with a higher attempt must not run at two nodes. Any other
    /// successor reports sealed keys as `unknown`.
    pub fn export(
        &mut self,
        now: Timestamp,
        successor: SocketAddr,
        successor_start: StartId,
    ) -> Result<Handover> {
        self.close_generations(now);
        let in_flight = self.in_flight();
        if in_flight > 0 {
            return Err(Error::key(format!(
                "{in_flight} keys are in flight and cannot be exported"
            )));
        }
        self.stage = Stage::Exported;
        let keeps_seals = *self.successor.get_or_insert((successor, successor_start))
            == (successor, successor_start);
        let mut handover = Handover { successor, successor_start, generations: vec![] };
        for (prefix, generation) in &self.generations {
            let saved_key = |(caller, record): (&Arc<str>, &KeyRecord)| match &record.state {
                State::Done(outcome) => Some(SavedKey {
                    caller: caller.clone(),
                    // Only copies refused at once have no fingerprint, and they leave no record.
                    fingerprint: record.fingerprint.unwrap_or_default(),
                    outcome: outcome.clone(),
                }),
                State::Pending(_) => None,
            };
            let mut keys: Vec<_> = generation.records.iter().filter_map(saved_key).collect();
            keys.sort_by(|a, b| a.caller.cmp(&b.caller));
            let mut seals: Vec<_> = generation
                .seals
                .iter()
                .map(|(&hash, &Seal { attempt, fingerprint })| SavedSeal {
                    hash,
                    fingerprint,
                    attempt,
                })
                .collect();
            seals.sort_unstable();
            let remaining = generation.drop_at.map_or(Span::ZERO, |at| at.since(self.now));
            let seals_void = generation.seals_void || !keeps_seals;
            let prefix = *prefix;
            let saved = SavedGeneration { prefix, remaining, keys, seals, seals_void };
            handover.generations.push(saved);
        }
        Ok(handover)
    }

    /// Imports the records of a leaving home. All its generations are closed to new keys.
    ///
    /// A home that was taken over before is skipped, because its records may have changed here since and an old
    /// copy must not overwrite them. Generations beyond the capacity are left out, those with the shortest remaining
    /// retention first; their keys become `unknown`.
    ///
    /// Fails if the handover is for another successor or another start of this node, and if this store was
    /// exported itself, because its own successor would not learn of the keys.
    pub fn import(&mut self, now: Timestamp, handover: Handover) -> Result<()> {
        self.tick(now);
        let own = (self.home, self.start);
        if (handover.successor, handover.successor_start) != own {
            return Err(Error::key("the handover is meant for another process"));
        }
        if self.stage == Stage::Exported {
            return Err(Error::key("the ledger was exported and takes over no keys"));
        }
        let home = |prefix: &KeyPrefix| (prefix.home(), prefix.start());
        let homes: BTreeSet<_> = handover.generations.iter().map(|g| home(&g.prefix)).collect();
        let fresh: BTreeSet<_> =
            homes.into_iter().filter(|h| *h != own && !self.taken_over.contains(h)).collect();
        let mut generations = handover.generations;
        generations.sort_by_key(|g| std::cmp::Reverse((g.remaining, g.prefix)));
        for saved in generations {
            let room = self.options.capacity.saturating_sub(self.imported.records);
            let seal_room = self.options.seal_capacity.saturating_sub(self.imported.seals);
            let fits = saved.keys.len() <= room && saved.seals.len() <= seal_room;
            let known = self.generations.contains_key(&saved.prefix);
            if known || !fresh.contains(&home(&saved.prefix)) || !fits {
                continue;
            }
            let (prefix, generation) = self.take_over(saved);
            self.imported.records += generation.records.len();
            self.imported.seals += generation.seals.len();
            self.bytes += generation.bytes;
            self.generations.insert(prefix, generation);
        }
        self.taken_over.extend(fresh);
        Ok(())
    }

    fn take_over(&self, saved: SavedGeneration) -> (KeyPrefix, Generation) {
        let drop_at = Some(self.now + saved.remaining.min(self.options.horizon));
        let seal = |s: SavedSeal| (s.hash, Seal { attempt: s.attempt, fingerprint: s.fingerprint });
        let seals = saved.seals.into_iter().map(seal).collect();
        let seals_void = saved.seals_void;
        let mut generation = Generation { drop_at, seals, seals_void, ..Generation::default() };
        let mut left = self.options.total_bytes.saturating_sub(self.bytes);
        for SavedKey { caller, fingerprint, mut outcome } in saved.keys {
            if let KeyOutcome::Response(response) = &mut outcome {
                if response.bytes() > left {
                    *response = Arc::new(trim_response(
                        StoredResponse::clone(response),
                        self.options.body_limit,
                        left,
                    ));
                }
                left -= response.bytes();
                generation.bytes += response.bytes();
            }
            let fingerprint = Some(fingerprint);
            let record = KeyRecord { fingerprint, runs: 1, state: State::Done(outcome) };
            generation.records.insert(caller, record);
        }
        (saved.prefix, generation)
    }

    fn run(&mut self, key: &RequestKey, attempt: u32, fingerprint: Option<u64>) -> BeginDecision {
        let is_own = self.is_own(key.prefix());
        let id = self.next_id;
        self.next_id += 1;
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return BeginDecision::Refuse(ResultCode::KeyForgotten);
        };
        let refused = generation.seals.get(&hash(key)).map(|seal| seal.attempt);
        invariant!(
            Invariant::AtMostOnce,
            !generation.records.contains_key(key.caller()) && (is_own || refused.is_some()),
            "key {key} ran, is in flight or has another home, and may run"
        );
        invariant!(
            Invariant::TrueRefusal,
            refused.is_none_or(|refused| attempt > refused),
            "attempt {attempt} of key {key} was refused as not_run and may run"
        );
        let pending = Pending { ticket: id, attempt, waiters: vec![] };
        let record = KeyRecord { fingerprint, runs: 0, state: State::Pending(pending) };
        generation.records.insert(key.caller().clone(), record);
        generation.pending += 1;
        let counts = if is_own { &mut self.own } else { &mut self.imported };
        counts.records += 1;
        counts.pending += 1;
        BeginDecision::Run(KeyTicket { key: key.clone(), id })
    }

    fn prefix(&self, generation: u64) -> KeyPrefix {
        KeyPrefix::new(self.home, self.start, generation)
    }

    fn is_own(&self, prefix: &KeyPrefix) -> bool {
        (prefix.home(), prefix.start()) == (self.home, self.start)
    }

    /// Returns whether a new key can be recorded, whatever its outcome.
    fn has_room(&self) -> bool {
        let RecordCounts { records, pending, seals } = self.own;
        // Each key in flight may end as `not_run` and then needs room for a seal.
        records < self.options.capacity && seals + pending < self.options.seal_capacity
    }
}

fn hash(key: &RequestKey) -> u64 {
    xxh3_64(key.caller().as_bytes())
}

/// Folds a fingerprint to 32 bits, which halves the size of a seal; 0 means no fingerprint.
///
/// Two requests with the same folded fingerprint count as the same request. Since a sealed key did not run, the worst
/// case is that the second request runs under the key instead of the first.
fn fold(fingerprint: Option<u64>) -> u32 {
    fingerprint.map_or(0, |f| ((f ^ (f >> 32)) as u32).max(1))
}

/// Returns `code` if it has this outcome, else a code that promises nothing.
fn check_outcome(code: ResultCode, outcome: Outcome) -> ResultCode {
    invariant!(
        Invariant::TrueRefusal,
        code.outcome() == outcome,
        "a run ends as {outcome} with {code}, whose outcome is {}",
        code.outcome()
    );
    if code.outcome() == outcome {
        code
    } else {
        ResultCode::ServerLost
    }
}

/// Drops headers and body of a response that is too large to keep.
fn trim_response(
    mut response: StoredResponse,
    body_limit: usize,
    bytes_left: usize,
) -> StoredResponse {
    let body = response.body.as_ref().map_or(0, Vec::len);
    if body > body_limit
        || response.header_bytes() > MAX_HEADER_BYTES
        || response.bytes() > bytes_left
    {
        // The headers are useless without the body, so only the status is kept.
        response.headers = vec![];
        response.body = None;
    }
    response
}
