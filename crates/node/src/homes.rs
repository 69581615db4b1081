//! Keyed requests: the idempotency store of this process, and forwarding to the homes of other keys.

use crate::{
    carriers,
    clock::Clock,
    dispatch::{self, Call, Reply, ResponseBody, ServerResponse},
    shared::Shared,
};
use bytes::Bytes;
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    error::Error as CoreError,
    ids::StartId,
    request::{
        deadline::Deadline,
        handover::Handover,
        idempotency_store::{
            self, BeginDecision, IdempotencyOptions, IdempotencyStore, KeyTicket, RunResult, Waiter,
        },
        key::RequestKey,
        retry::Failure,
    },
    time::{Span, Timestamp},
};
use redwingtrestle_wire::caller;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

/// How often generations are opened, closed and dropped on schedule while no keyed request arrives.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The idempotency store of this process, with the duplicates that wait for a running request.
#[derive(Debug)]
pub struct LocalHome {
    state: Mutex<State>,
    entry: SocketAddr,
    start: StartId,
}

#[derive(Debug)]
struct State {
    store: IdempotencyStore,
    waiting: HashMap<Waiter, oneshot::Sender<idempotency_store::KeyReply>>,
}

/// What to do with one copy of a keyed request.
#[derive(Debug)]
pub enum CopyDecision {
    /// Run it.
    Run(RunPermit),
    /// Wait for the result of the copy that runs.
    Wait(oneshot::Receiver<idempotency_store::KeyReply>),
    /// Reply with this result of the store.
    Reply(idempotency_store::KeyReply),
}

/// The permit to run a keyed request once.
///
/// If it is dropped without [`end`](Self::end), for example by a panic or a broken response, the request may
/// have taken effect and its outcome is recorded as `unknown`.
#[derive(Debug)]
pub struct RunPermit {
    home: Arc<LocalHome>,
    ticket: Option<KeyTicket>,
}

impl RunPermit {
    /// Records the result of the run.
    pub fn end(mut self, result: RunResult) {
        if let Some(ticket) = self.ticket.take() {
            self.home.finish(ticket, result);
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.home.finish(ticket, RunResult::Unknown(ResultCode::ServerLost));
        }
    }
}

/// The process that decides about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLocation {
    /// This process.
    Local,
    /// Another process, at this entry address.
    Remote(SocketAddr),
    /// No process that this node may ask: the home is gone or unreachable, or the request was already forwarded.
    Unavailable,
}

impl LocalHome {
    /// Creates an empty store for the process with this entry address and start.
    pub fn new(entry: SocketAddr, start: StartId, now: Timestamp) -> Arc<Self> {
        let store = IdempotencyStore::new(IdempotencyOptions::default(), entry, start, now);
        let state = Mutex::new(State { store, waiting: HashMap::new() });
        Arc::new(LocalHome { state, entry, start })
    }

    /// Returns a prefix for new keys, or `None` while this home accepts no new keys.
    pub fn mint_prefix(&self, now: Timestamp) -> Option<String> {
        self.lock().store.mint_prefix(now).map(|prefix| prefix.to_string())
    }

    /// Returns the number of recorded keys.
    pub fn keys(&self) -> usize {
        self.lock().store.len()
    }

    /// Opens, closes and drops generations according to their schedule.
    pub fn tick(&self, now: Timestamp) {
        self.lock().store.tick(now);
    }

    /// Permanently closes all generations to new keys.
    pub fn close(&self, now: Timestamp) {
        self.lock().store.close_generations(now);
    }

    /// Returns the records for the successor with this entry address and start. From then on, no key is run.
    ///
    /// Fails while keyed requests are in flight.
    pub fn export(
        &self,
        now: Timestamp,
        successor: SocketAddr,
        start: StartId,
    ) -> Result<Handover, CoreError> {
        self.lock().store.export(now, successor, start)
    }

    /// Adds the records of a leaving home.
    pub fn import(&self, now: Timestamp, handover: Handover) -> Result<(), CoreError> {
        self.lock().store.import(now, handover)
    }

    /// Decides what to do with a copy of a keyed request whose content has this fingerprint.
    pub fn begin(
        self: &Arc<Self>,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        fingerprint: u64,
    ) -> CopyDecision {
        let mut state = self.lock();
        let decision = state.store.begin(now, key, attempt, fingerprint);
        self.decide(&mut state, decision)
    }

    /// Refuses a copy whose body was not read, and seals its attempt.
    pub fn refuse(
        self: &Arc<Self>,
        now: Timestamp,
        key: &RequestKey,
        attempt: u32,
        code: ResultCode,
    ) -> CopyDecision {
        let mut state = self.lock();
        let decision = state.store.refuse_unread(now, key, attempt, code);
        self.decide(&mut state, decision)
    }

    fn decide(self: &Arc<Self>, state: &mut State, decision: BeginDecision) -> CopyDecision {
        match decision {
            BeginDecision::Run(ticket) => {
                CopyDecision::Run(RunPermit { home: self.clone(), ticket: Some(ticket) })
            }
            BeginDecision::Wait(waiter) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(waiter, sender);
                CopyDecision::Wait(receiver)
            }
            BeginDecision::Replay(response) => {
                CopyDecision::Reply(idempotency_store::KeyReply::Replay(response))
            }
            BeginDecision::Refuse(code) => {
                CopyDecision::Reply(idempotency_store::KeyReply::Refuse(code))
            }
        }
    }

    fn finish(&self, ticket: KeyTicket, result: RunResult) {
        let mut state = self.lock();
        let finished = state.store.finish(ticket, result);
        for waiter in finished.waiters {
            if let Some(sender) = state.waiting.remove(&waiter) {
                // The receiver is gone if the copy has stopped waiting.
                let _ = sender.send(finished.reply.clone());
            }
        }
    }

    /// Returns the process that decides about a key: its home, or the successor of a home that has stopped.
    ///
    /// A forwarded request is not forwarded again. Otherwise two nodes that disagree about a home could send it
    /// back and forth.
    pub fn locate(&self, shared: &Shared, key: &RequestKey, is_forwarded: bool) -> KeyLocation {
        let (home, start) = (key.prefix().home(), key.prefix().start());
        if (home, start) == (self.entry, self.start)
            || self.lock().store.contains_generation(key.prefix())
        {
            return KeyLocation::Local;
        }
        let known = shared.view.load().homes.get(&start).copied();
        match known {
            _ if is_forwarded => KeyLocation::Unavailable,
            Some(entry) if entry != self.entry => KeyLocation::Remote(entry),
            Some(_) => KeyLocation::Unavailable,
            None if home != self.entry && shared.is_known_entry(home) => KeyLocation::Remote(home),
            None => KeyLocation::Unavailable,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Calls [`LocalHome::tick`] periodically, so that an idle node also frees memory.
pub async fn tick_forever(home: Arc<LocalHome>, clock: Clock) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        home.tick(clock.now());
    }
}

/// Returns a hash of the request's content: the method, the target and, if it is buffered, the body.
pub fn fingerprint(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    for part in [call.method.as_str(), &call.target] {
        hash.update(part.as_bytes());
        // Neither part can contain a zero byte, so it separates them unambiguously.
        hash.update(&[0]);
    }
    if let Some(body) = call.body.buffered() {
        hash.update(&[1]);
        hash.update(body);
    }
    hash.digest()
}

/// Waits for the result of the copy that runs, until this copy's own deadline at the latest.
pub async fn wait_for_result(
    clock: Clock,
    receiver: oneshot::Receiver<idempotency_store::KeyReply>,
    deadline: Deadline,
) -> Reply {
    match tokio::time::timeout(dispatch::time_left(clock, deadline), receiver).await {
        Ok(Ok(reply)) => reply_from_store(reply),
        _ => Reply::Refusal(
            ResultCode::ServerTimeout,
            "the deadline passed while another copy of the key ran".into(),
        ),
    }
}

/// Converts a result of the store to the reply for a copy that does not run.
pub fn reply_from_store(reply: idempotency_store::KeyReply) -> Reply {
    match reply {
        idempotency_store::KeyReply::Refuse(code) => {
            Reply::Refusal(code, format!("the key's home says {code}"))
        }
        idempotency_store::KeyReply::Replay(stored) => Reply::Response(Box::new(replayed(&stored))),
    }
}

fn replayed(stored: &idempotency_store::StoredResponse) -> ServerResponse {
    let mut headers = HeaderMap::new();
    for (name, value) in &stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    let body = stored.body.clone().map(Bytes::from);
    if body.is_none() {
        let code = HeaderValue::from(ResultCode::AnswerNotKept.number());
        headers.insert(HeaderName::from_static(caller::RESULT_CODE), code);
    }
    let body = ResponseBody::Buffered(body.unwrap_or_default());
    ServerResponse { status: stored.status, headers, body }
}

/// Sends a request to the home of its key and returns the home's response.
///
/// `attempt` is the number that the caller declared. If it is missing or above 1, an earlier copy may have
/// run, so the outcome is unknown when the home cannot be reached.
pub async fn forward(
    shared: &Shared,
    call: &Call,
    home: SocketAddr,
    attempt: Option<u32>,
) -> Reply {
    if shared.closed.load(Ordering::SeqCst) || !dispatch::ends_before_stop(shared, call) {
        // Only a first attempt cannot have run through another entry.
        let code = match attempt {
            Some(1) => ResultCode::NodeLeaving,
            _ => ResultCode::HomeSilent,
        };
        let what = "the node is leaving and forwards no more keys".to_string();
        return Reply::Refusal(code, what);
    }
    match carriers::send(shared, call, home, caller::FORWARDED_TO_HOME).await {
        Ok(received) => Reply::Response(Box::new(received.into_home_response(shared, call))),
        Err((failure, what)) => {
            let code = match failure {
                Failure::ConnectFailed if attempt == Some(1) => ResultCode::HomeUnreachable,
                Failure::ConnectFailed => ResultCode::HomeSilent,
                Failure::BodyBroken => ResultCode::BodyBroken,
                _ => ResultCode::HomeLost,
            };
            Reply::Refusal(code, format!("home {home}: {what}"))
        }
    }
}

/// Returns the reply to a keyed request that this entry refuses before it has looked up the key.
///
/// At the key's home, the attempt is sealed. At other nodes, `not_run` would be false if an earlier attempt
/// had run, so only a declared first attempt is refused with the given code.
pub async fn refuse(
    shared: &Shared,
    key: &RequestKey,
    attempt: Option<u32>,
    (code, what): (ResultCode, String),
) -> Reply {
    match shared.local_home.locate(shared, key, false) {
        KeyLocation::Local => {
            let now = shared.clock.now();
            match shared.local_home.refuse(now, key, attempt.unwrap_or(1), code) {
                CopyDecision::Reply(idempotency_store::KeyReply::Refuse(recorded))
                    if recorded == code =>
                {
                    Reply::Refusal(code, what)
                }
                CopyDecision::Reply(reply) => reply_from_store(reply),
                CopyDecision::Wait(receiver) => {
                    let deadline = Deadline::after(now, REFUSED_COPY_WAIT);
                    wait_for_result(shared.clock, receiver, deadline).await
                }
                // The store never runs a refused copy. If it did, dropping the permit would record `unknown`.
                CopyDecision::Run(_) => Reply::Refusal(ResultCode::KeyBusy, what),
            }
        }
        KeyLocation::Unavailable => Reply::Refusal(ResultCode::KeyForgotten, what),
        KeyLocation::Remote(_) if attempt == Some(1) => Reply::Refusal(code, what),
        KeyLocation::Remote(_) => Reply::Refusal(
            ResultCode::HomeSilent,
            format!("{what} ({code}); an earlier attempt may have run"),
        ),
    }
}

/// How long a refused copy waits for the copy that runs. Its own deadline is not used, because the copy may
/// have been refused for an unreadable deadline.
const REFUSED_COPY_WAIT: Span = Span::from_secs(1);

/// Returns the result to record for a run that was refused with `code`.
pub fn refused_run_result(code: ResultCode) -> RunResult {
    match code.outcome() {
        Outcome::NotRun => RunResult::NotRun(code),
        _ => RunResult::Unknown(code),
    }
}
