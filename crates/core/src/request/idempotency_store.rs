//! A home's memory of the keys that it has run or refused.
//!
//! The rules are in `docs/design.md`, section 3.1. Each rule keeps one of two promises: a key runs at
//! most once, and an attempt that was told `not_run` never runs later.

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

/// The most bytes of header names and values that are kept with an answer.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// `IdempotencyOptions` bounds what an idempotency store remembers and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyOptions {
    /// The time after which a new generation is opened.
    pub generation: Span,
    /// The time for which a closed generation is kept, so that resends find their answers.
    pub horizon: Span,
    /// The most keys of this home that are in flight or ran; also the most such keys that are taken
    /// over from other homes.
    pub capacity: usize,
    /// The most sealed keys of this home; also the most that are taken over from other homes.
    ///
    /// A seal takes 17 bytes of a hash table that is at least 7/16 full: 36 MB for 1,000,000. A flood
    /// of refused keys therefore has its own bound, five times that of the keys that ran.
    pub seal_capacity: usize,
    /// The most bytes of one answer's body that are kept.
    pub body_limit: usize,
    /// The most bytes of all kept bodies and headers together.
    ///
    /// Bodies at their limit for every key of the capacity would need 13 GB, far above a node's
    /// 256 MB. Answers past this sum are kept without body.
    pub total_bytes: usize,
    /// The most copies that wait for one pending key.
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

/// `Answer` is a backend server's answer, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, or `None` when the answer was too large to keep; a resend is then answered with
    /// [`ResultCode::AnswerNotKept`].
    pub body: Option<Vec<u8>>,
}

impl Answer {
    fn header_bytes(&self) -> usize {
        self.headers.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Returns the bytes of headers and body.
    pub(crate) fn bytes(&self) -> usize {
        self.header_bytes() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// `KeyTicket` is the permission to run a key once; it is used up by [`IdempotencyStore::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct KeyTicket {
    key: RequestKey,
    id: u64,
}

impl KeyTicket {
    /// Returns the key that may run.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}

/// `Waiter` names a copy that waits for the result of a pending key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(u64);

/// `Begin` says what to do with a copy of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run the request, then call [`IdempotencyStore::finish`].
    Run(KeyTicket),
    /// Wait until [`IdempotencyStore::finish`] returns this waiter.
    Wait(Waiter),
    /// Answer with the kept answer.
    Replay(Arc<Answer>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// `Finish` is how a run ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Finish {
    /// The backend server answered completely.
    Answered(Answer),
    /// The request may have run; the code's outcome is `unknown`.
    Unknown(ResultCode),
    /// The request did not run; the code's outcome is `not_run`.
    NotRun(ResultCode),
}

/// `Reply` is how waiting copies are answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answer with the kept answer.
    Replay(Arc<Answer>),
    /// Refuse with this code.
    Refuse(ResultCode),
}

/// `Finished` tells the waiting copies of a key their result.
#[derive(Debug, PartialEq, Eq)]
pub struct Finished {
    /// The copies that waited.
    pub waiters: Vec<Waiter>,
    /// How each of them is answered.
    pub reply: Reply,
}

/// `Seal` says which attempts of the keys with one hash were told `not_run`.
///
/// Seals are found by a 64-bit hash of the caller's part of the key. Keys of equal hash share a seal,
/// which can only cause one more refusal: a seal is never removed before its generation is dropped,
/// its attempt never decreases, and its fingerprint is never replaced by another.
#[derive(Clone, Copy, Debug)]
struct Seal {
    attempt: u32,
    /// Zero when the body of the request was not read; any request matches then.
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
    /// The highest attempt among the running copy and those that wait.
    attempt: u32,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Entry {
    /// `None` for a copy that is being refused before its body was read.
    fingerprint: Option<u64>,
    /// Runs that ended other than `not_run`.
    runs: u32,
    state: State,
}

#[derive(Debug, Default)]
struct Generation {
    entries: HashMap<Arc<str>, Entry>,
    seals: HashMap<u64, Seal>,
    seals_void: bool,
    pending: usize,
    bytes: usize,
    /// When the generation is to be dropped; `None` while it is open.
    drop_at: Option<Timestamp>,
}

impl Generation {
    fn is_open(&self) -> bool {
        self.drop_at.is_none()
    }
}

/// `IdempotencyStore` is the memory of one start of a node for the keys whose home it is.
///
/// Methods that take `now` first open, close and drop the generations that are due, so that a process
/// that was paused never decides by outdated generations.
#[derive(Debug)]
pub struct IdempotencyStore {
    options: IdempotencyOptions,
    home: SocketAddr,
    start: StartId,
    now: Timestamp,
    /// The newest own generation and when it was opened.
    current: u64,
    opened: Timestamp,
    generations: BTreeMap<KeyPrefix, Generation>,
    /// The homes that were ever taken over, so that a repeated handover changes nothing.
    taken_over: BTreeSet<Home>,
    /// The successor of the first export, the only one that may run sealed keys.
    successor: Option<Home>,
    own: Size,
    imported: Size,
    bytes: usize,
    next_id: u64,
    stage: Stage,
}

/// `Size` counts what is remembered of own keys, or of those taken over.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    entries: usize,
    pending: usize,
    seals: usize,
}

/// The entry address and start of a node.
type Home = (SocketAddr, StartId);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// No generation is opened any more.
    Closing,
    /// The memory was exported; the successor decides about its keys.
    Exported,
}

impl IdempotencyStore {
    /// Returns the empty idempotency store of a process that starts at `now`, with its first generation open.
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
            own: Size::default(),
            imported: Size::default(),
            bytes: 0,
            next_id: 0,
            stage: Stage::Serving,
        }
    }

    /// Returns the prefix for new keys, or `None` while no generation takes any.
    ///
    /// That is the case when the idempotency store is full and after [`close_generations`](Self::close_generations);
    /// callers are then better served by another home's prefix.
    pub fn mint_prefix(&mut self, now: Timestamp) -> Option<KeyPrefix> {
        self.tick(now);
        let prefix = self.prefix(self.current);
        let open = self.generations.get(&prefix).is_some_and(Generation::is_open);
        (open && self.has_room()).then_some(prefix)
    }

    /// Returns how many keys are remembered, including those taken over.
    pub fn len(&self) -> usize {
        let size = |s: &Size| s.entries + s.seals;
        size(&self.own) + size(&self.imported)
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the generation of a prefix is remembered, as an own one or a taken over one.
    pub fn knows(&self, prefix: &KeyPrefix) -> bool {
        self.generations.contains_key(prefix)
    }

    /// Returns how many keys are in flight.
    pub fn in_flight(&self) -> usize {
        self.generations.values().map(|g| g.pending).sum()
    }

    /// Returns the bytes of kept answers.
    pub fn kept_bytes(&self) -> usize {
        self.bytes
    }

    /// Decides about a copy of the request `key`, the caller's attempt number `attempt`.
    ///
    /// `fingerprint` is a hash of what makes the request, such as method, path and body; a copy with
    /// another one is refused as [`ResultCode::KeyReused`].
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
    ) -> Begin {
        self.look_up(now, key, attempt, Some(fingerprint))
    }

    fn look_up(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
    ) -> Begin {
        self.tick(now);
        let waiters = self.options.waiters;
        // Covers dropped generations, other starts, other homes, and generations that were never
        // opened. Refusing the last as `not_run` would be false once the generation opens.
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return Begin::Refuse(ResultCode::KeyForgotten);
        };
        let Some(entry) = generation.entries.get_mut(key.caller()) else {
            return self.look_up_idle(key, attempt, fingerprint);
        };
        // A copy whose body was not read is taken for the same request: telling it `not_run` would be
        // false if it is, and what it is told instead promises nothing about another request.
        if fingerprint.zip(entry.fingerprint).is_some_and(|(copy, known)| copy != known) {
            // A seal could not tell two such requests apart, so it must cover both.
            if let State::Pending(pending) = &mut entry.state {
                if fold(fingerprint) == fold(entry.fingerprint) {
                    pending.attempt = pending.attempt.max(attempt);
                }
            }
            return Begin::Refuse(ResultCode::KeyReused);
        }
        match &mut entry.state {
            State::Pending(pending) => {
                if pending.waiters.len() >= waiters {
                    return Begin::Refuse(ResultCode::KeyBusy);
                }
                // If the run ends as `not_run`, the waiting copies are told so too, whatever their
                // attempt, and the seal must cover them.
                pending.attempt = pending.attempt.max(attempt);
                let waiter = Waiter(self.next_id);
                self.next_id += 1;
                pending.waiters.push(waiter);
                Begin::Wait(waiter)
            }
            State::Done(KeyOutcome::Answered(answer)) => Begin::Replay(answer.clone()),
            State::Done(KeyOutcome::Unknown(code)) => Begin::Refuse(*code),
        }
    }

    /// Decides about a key that is not in flight and did not run.
    fn look_up_idle(&mut self, key: &RequestKey, attempt: u32, fingerprint: Option<u64>) -> Begin {
        let size = if self.is_own(key.prefix()) { self.own } else { self.imported };
        let has_entry = size.entries < self.options.capacity;
        let (has_room, exported) = (self.has_room(), self.stage == Stage::Exported);
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return Begin::Refuse(ResultCode::KeyForgotten);
        };
        let void = generation.seals_void;
        match generation.seals.get_mut(&hash(key)) {
            // The successor, or another one, may have run a higher attempt since the export.
            Some(_) if void || exported => Begin::Refuse(ResultCode::KeyForgotten),
            Some(seal) if !seal.matches(fingerprint) => Begin::Refuse(ResultCode::KeyReused),
            Some(seal) if attempt <= seal.attempt => Begin::Refuse(ResultCode::KeySealed),
            Some(seal) if !has_entry => {
                seal.attempt = attempt;
                Begin::Refuse(ResultCode::KeysFull)
            }
            Some(_) => self.run(key, attempt, fingerprint),
            None => {
                if !has_room && generation.is_open() {
                    // The refused key is not stored. It stays unable to run because its generation
                    // never takes new keys again, even when room is freed.
                    generation.drop_at = Some(self.now + self.options.horizon);
                }
                match (generation.is_open(), has_room) {
                    (true, _) => self.run(key, attempt, fingerprint),
                    (false, true) => Begin::Refuse(ResultCode::KeyClosed),
                    (false, false) => Begin::Refuse(ResultCode::KeysFull),
                }
            }
        }
    }

    /// Refuses a copy that is not to run, whatever the reason, and returns how to answer it.
    ///
    /// An unseen key is sealed. A key that may have run is not refused but waited for or replayed,
    /// because `not_run` would be false. Never returns [`Begin::Run`].
    pub fn refuse(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
        code: ResultCode,
    ) -> Begin {
        self.refuse_copy(now, key, attempt, Some(fingerprint), code)
    }

    /// Refuses a copy whose body was not read, like [`refuse`](Self::refuse).
    ///
    /// A key that is in flight or ran is waited for or replayed without a look at the fingerprint.
    pub fn refuse_unread(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        code: ResultCode,
    ) -> Begin {
        self.refuse_copy(now, key, attempt, None, code)
    }

    fn refuse_copy(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: Option<u64>,
        code: ResultCode,
    ) -> Begin {
        match self.look_up(now, key, attempt, fingerprint) {
            Begin::Run(ticket) => match self.finish(ticket, Finish::NotRun(code)).reply {
                Reply::Replay(answer) => Begin::Replay(answer),
                Reply::Refuse(code) => Begin::Refuse(code),
            },
            other => other,
        }
    }

    /// Records how the run of `ticket` ended and returns how its waiting copies are answered.
    ///
    /// The copy that ran is answered with its own result, which is the same for a refusal. A code
    /// whose outcome does not fit violates [`Invariant::TrueRefusal`] and is recorded as
    /// [`ResultCode::ServerLost`], which promises nothing.
    pub fn finish(&mut self, ticket: KeyTicket, finish: Finish) -> Finished {
        let KeyTicket { key, id } = ticket;
        let lost = Finished { waiters: vec![], reply: Reply::Refuse(ResultCode::ServerLost) };
        let bytes_left = self.options.total_bytes.saturating_sub(self.bytes);
        let body_limit = self.options.body_limit;
        let is_own = self.is_own(key.prefix());
        let size = if is_own { &mut self.own } else { &mut self.imported };
        // A generation is kept while keys of it are in flight, so only a ticket of another idempotency store
        // has no pending entry.
        let found = self.generations.get_mut(key.prefix()).and_then(|generation| {
            let entry = generation.entries.get_mut(key.caller())?;
            match &mut entry.state {
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
        size.pending -= 1;
        let outcome = match finish {
            Finish::Answered(answer) => {
                let answer = trim(answer, body_limit, bytes_left);
                generation.bytes += answer.bytes();
                self.bytes += answer.bytes();
                KeyOutcome::Answered(Arc::new(answer))
            }
            Finish::Unknown(code) => KeyOutcome::Unknown(checked(code, Outcome::Unknown)),
            Finish::NotRun(code) => match checked(code, Outcome::NotRun) {
                code if code.outcome() == Outcome::NotRun => {
                    let entry = generation.entries.remove(key.caller());
                    invariant!(
                        Invariant::TrueRefusal,
                        entry.as_ref().is_some_and(|e| e.runs == 0),
                        "key {key} ran and is refused with {code}"
                    );
                    size.entries -= 1;
                    let fingerprint = fold(entry.and_then(|e| e.fingerprint));
                    let seal = generation.seals.entry(hash(&key)).or_insert_with(|| {
                        size.seals += 1;
                        Seal { attempt, fingerprint }
                    });
                    seal.attempt = seal.attempt.max(attempt);
                    if seal.fingerprint == 0 {
                        seal.fingerprint = fingerprint;
                    }
                    return Finished { waiters, reply: Reply::Refuse(code) };
                }
                code => KeyOutcome::Unknown(code),
            },
        };
        let Some(entry) = generation.entries.get_mut(key.caller()) else { return lost };
        entry.runs += 1;
        invariant!(Invariant::AtMostOnce, entry.runs == 1, "key {key} ran twice");
        let reply = match &outcome {
            KeyOutcome::Answered(answer) => Reply::Replay(answer.clone()),
            KeyOutcome::Unknown(code) => Reply::Refuse(*code),
        };
        entry.state = State::Done(outcome);
        Finished { waiters, reply }
    }

    /// Opens, closes and drops the generations that are due.
    ///
    /// A generation with keys in flight is kept until they are finished, because copies may wait.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        let now = self.now;
        let due = |g: &Generation| g.pending == 0 && g.drop_at.is_some_and(|at| at <= now);
        if self.generations.values().any(due) {
            let own = (self.home, self.start);
            let (own_size, imported_size) = (&mut self.own, &mut self.imported);
            let bytes = &mut self.bytes;
            self.generations.retain(|prefix, generation| {
                if due(generation) {
                    let is_own = (prefix.home(), prefix.start()) == own;
                    let size = if is_own { &mut *own_size } else { &mut *imported_size };
                    size.entries -= generation.entries.len();
                    size.seals -= generation.seals.len();
                    *bytes -= generation.bytes;
                    return false;
                }
                true
            });
        }
        if self.stage != Stage::Serving {
            return;
        }
        // A generation that was closed early, because the idempotency store was full, is replaced once there is
        // room and not before: each refusal would otherwise open another generation.
        let current = self.prefix(self.current);
        let open = self.generations.get(&current).is_some_and(Generation::is_open);
        let old = now.since(self.opened) >= self.options.generation;
        if !old && (open || !self.has_room()) {
            return;
        }
        // After a pause of several generations the one that is current was already due to close.
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

    /// Closes all generations to new keys and opens none any more.
    ///
    /// Keys in flight go on, and a sealed key may still run with a higher attempt until the export.
    pub fn close_generations(&mut self, now: Timestamp) {
        self.tick(now);
        if self.stage == Stage::Serving {
            self.stage = Stage::Closing;
        }
        for generation in self.generations.values_mut() {
            generation.drop_at.get_or_insert(self.now + self.options.horizon);
        }
    }

    /// Returns the memory for the successor at this entry address and start, and stops running keys.
    ///
    /// Fails while keys are in flight. May be called again, for the same successor to repeat a lost handover
    /// or for another one. Only the successor named first receives the seals, since a sealed key may run with
    /// a higher attempt and must not do so at two nodes: the first successor may have taken over although its
    /// acknowledgement was lost. For any other successor sealed keys are `unknown`.
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
            let kept = |(caller, entry): (&Arc<str>, &Entry)| match &entry.state {
                State::Done(outcome) => Some(SavedKey {
                    caller: caller.clone(),
                    // Only copies that are refused at once have none, and those leave no entry.
                    fingerprint: entry.fingerprint.unwrap_or_default(),
                    outcome: outcome.clone(),
                }),
                State::Pending(_) => None,
            };
            let mut keys: Vec<_> = generation.entries.iter().filter_map(kept).collect();
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
            let kept = SavedGeneration { prefix, remaining, keys, seals, seals_void };
            handover.generations.push(kept);
        }
        Ok(handover)
    }

    /// Takes over the memory of a leaving home, with all its generations closed to new keys.
    ///
    /// A home that was taken over before is skipped: its keys may have changed here since, and an old
    /// copy must not overwrite them. Generations past the capacity are left out, those that are to be
    /// dropped soonest first, which makes their keys `unknown`.
    ///
    /// Fails for a handover to another successor or to another start of this one, and for an idempotency store that was
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
        for kept in generations {
            let room = self.options.capacity.saturating_sub(self.imported.entries);
            let seal_room = self.options.seal_capacity.saturating_sub(self.imported.seals);
            let fits = kept.keys.len() <= room && kept.seals.len() <= seal_room;
            let known = self.generations.contains_key(&kept.prefix);
            if known || !fresh.contains(&home(&kept.prefix)) || !fits {
                continue;
            }
            let (prefix, generation) = self.take_over(kept);
            self.imported.entries += generation.entries.len();
            self.imported.seals += generation.seals.len();
            self.bytes += generation.bytes;
            self.generations.insert(prefix, generation);
        }
        self.taken_over.extend(fresh);
        Ok(())
    }

    fn take_over(&self, kept: SavedGeneration) -> (KeyPrefix, Generation) {
        let drop_at = Some(self.now + kept.remaining.min(self.options.horizon));
        let seal = |s: SavedSeal| (s.hash, Seal { attempt: s.attempt, fingerprint: s.fingerprint });
        let seals = kept.seals.into_iter().map(seal).collect();
        let seals_void = kept.seals_void;
        let mut generation = Generation { drop_at, seals, seals_void, ..Generation::default() };
        let mut left = self.options.total_bytes.saturating_sub(self.bytes);
        for SavedKey { caller, fingerprint, mut outcome } in kept.keys {
            if let KeyOutcome::Answered(answer) = &mut outcome {
                if answer.bytes() > left {
                    *answer = Arc::new(trim(Answer::clone(answer), self.options.body_limit, left));
                }
                left -= answer.bytes();
                generation.bytes += answer.bytes();
            }
            let fingerprint = Some(fingerprint);
            let entry = Entry { fingerprint, runs: 1, state: State::Done(outcome) };
            generation.entries.insert(caller, entry);
        }
        (kept.prefix, generation)
    }

    fn run(&mut self, key: &RequestKey, attempt: u32, fingerprint: Option<u64>) -> Begin {
        let is_own = self.is_own(key.prefix());
        let id = self.next_id;
        self.next_id += 1;
        let Some(generation) = self.generations.get_mut(key.prefix()) else {
            return Begin::Refuse(ResultCode::KeyForgotten);
        };
        let told = generation.seals.get(&hash(key)).map(|seal| seal.attempt);
        invariant!(
            Invariant::AtMostOnce,
            !generation.entries.contains_key(key.caller()) && (is_own || told.is_some()),
            "key {key} ran, is in flight or has another home, and may run"
        );
        invariant!(
            Invariant::TrueRefusal,
            told.is_none_or(|told| attempt > told),
            "attempt {attempt} of key {key} was told not_run and may run"
        );
        let pending = Pending { ticket: id, attempt, waiters: vec![] };
        let entry = Entry { fingerprint, runs: 0, state: State::Pending(pending) };
        generation.entries.insert(key.caller().clone(), entry);
        generation.pending += 1;
        let size = if is_own { &mut self.own } else { &mut self.imported };
        size.entries += 1;
        size.pending += 1;
        Begin::Run(KeyTicket { key: key.clone(), id })
    }

    fn prefix(&self, generation: u64) -> KeyPrefix {
        KeyPrefix::new(self.home, self.start, generation)
    }

    fn is_own(&self, prefix: &KeyPrefix) -> bool {
        (prefix.home(), prefix.start()) == (self.home, self.start)
    }

    /// Returns whether a new key can be remembered, however its run ends.
    fn has_room(&self) -> bool {
        let Size { entries, pending, seals } = self.own;
        // Each key in flight may end as `not_run` and needs room for its seal then.
        entries < self.options.capacity && seals + pending < self.options.seal_capacity
    }
}

fn hash(key: &RequestKey) -> u64 {
    xxh3_64(key.caller().as_bytes())
}

/// Returns the fingerprint in 32 bits, which halves a seal; zero stands for none.
///
/// Two requests whose fingerprints fold alike are taken for the same one, and since a sealed key did
/// not run, the worst is that the second runs under the key in place of the first.
fn fold(fingerprint: Option<u64>) -> u32 {
    fingerprint.map_or(0, |f| ((f ^ (f >> 32)) as u32).max(1))
}

/// Returns `code`, or the code that promises nothing when the outcome does not fit.
fn checked(code: ResultCode, outcome: Outcome) -> ResultCode {
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

/// Returns the answer without what is too large to keep.
fn trim(mut answer: Answer, body_limit: usize, bytes_left: usize) -> Answer {
    let body = answer.body.as_ref().map_or(0, Vec::len);
    if body > body_limit || answer.header_bytes() > MAX_HEADER_BYTES || answer.bytes() > bytes_left
    {
        // Without its body the headers describe nothing, so only the status is kept.
        answer.headers = vec![];
        answer.body = None;
    }
    answer
}
