//! A simulated caller: caches the response to `GET /v1/entries`, and sends and resends requests.

use super::{
    plan::{LoadPlan, LoadStream},
    run::Record,
};
use rand::{seq::SliceRandom, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::codes::{Outcome, ResultCode};
use redwingtrestle_wire::caller::{self, EntriesReply, RefusalBody};
use reqwest::{Client, Method, Response};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicI64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::{Duration, Instant},
};

/// Timeout of `GET /v1/entries`.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time for which a response to `GET /v1/entries` is cached. Without it, a ttl of 0 would cause one such
/// request for every other request.
const MIN_TTL: Duration = Duration::from_millis(100);

/// Maximum number of bytes kept of a response body. The rest is read and discarded.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

/// Initial budget for resends after overload refusals, in hundredths of a resend.
const FIRST_RESENDS: i64 = 1_000;

/// A cached response to `GET /v1/entries`, with the entry that sent it.
#[derive(Clone, Debug)]
struct Cached {
    entries: Vec<SocketAddr>,
    prefix: String,
    giver: SocketAddr,
    until: Instant,
}

/// A caller, which caches a response to `GET /v1/entries` for its ttl.
pub(super) struct Caller {
    seeds: Vec<SocketAddr>,
    cached: Mutex<Option<Cached>>,
    refresh: tokio::sync::Mutex<()>,
}

impl Caller {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Caller { seeds, cached: Mutex::new(None), refresh: tokio::sync::Mutex::new(()) }
    }

    fn peek(&self) -> Option<Cached> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the cached response, and refreshes it first if it has expired.
    ///
    /// Only one request at a time refreshes it. Meanwhile other requests use the expired response if there is one.
    async fn answer(&self, http: &Client, rng: &mut ChaCha8Rng) -> Option<Cached> {
        let now = Instant::now();
        let old = self.peek();
        if old.as_ref().is_some_and(|c| c.until > now && !c.entries.is_empty()) {
            return old;
        }
        let _guard = match (self.refresh.try_lock(), &old) {
            (Ok(guard), _) => guard,
            (Err(_), Some(c)) if !c.entries.is_empty() => return old,
            (Err(_), _) => self.refresh.lock().await,
        };
        let fresh = self.peek();
        if fresh.as_ref().is_some_and(|c| c.until > now && !c.entries.is_empty()) {
            return fresh;
        }
        let mut known: Vec<SocketAddr> = old.iter().flat_map(|c| c.entries.clone()).collect();
        known.extend(&self.seeds);
        known.sort();
        known.dedup();
        known.shuffle(rng);
        for entry in known.into_iter().take(4) {
            let Some(answer) = ask(http, entry).await else { continue };
            let ttl = Duration::from_millis(answer.ttl_ms).max(MIN_TTL);
            let cached = Cached {
                entries: answer.entries,
                prefix: answer.key_prefix,
                giver: entry,
                until: Instant::now() + ttl,
            };
            if !cached.entries.is_empty() {
                *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached.clone());
                return Some(cached);
            }
        }
        old
    }

    /// Removes `entry` from the cached response, so that it is not used until the next refresh.
    fn avoid(&self, entry: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.entries.retain(|e| *e != entry);
        }
    }

    /// Replaces the cached key prefix with one from a refusal by `giver`.
    fn take_prefix(&self, prefix: &str, giver: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.prefix = prefix.into();
            cached.giver = giver;
        }
    }
}

async fn ask(http: &Client, entry: SocketAddr) -> Option<EntriesReply> {
    let request = http.get(format!("http://{entry}/v1/entries")).timeout(ENTRIES_TIMEOUT);
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = read(response).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Reads a response to its end. A truncated body is an error.
async fn read(mut response: Response) -> Result<Vec<u8>, reqwest::Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() < MAX_RESPONSE {
            body.extend_from_slice(&chunk);
        }
    }
    Ok(body)
}

/// A retry budget that limits resends after refusals that signal overload, in hundredths of a resend.
pub(super) struct Budget {
    left: AtomicI64,
    share: i64,
}

impl Budget {
    pub(super) fn new(share: f64) -> Self {
        Budget { left: AtomicI64::new(FIRST_RESENDS), share: (share * 100.0) as i64 }
    }

    fn earn(&self) {
        self.left.fetch_add(self.share, Ordering::Relaxed);
    }

    fn spend(&self) -> bool {
        let spend = |left: i64| (left >= 100).then_some(left - 100);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}

/// State shared by all requests of a run.
pub(super) struct Shared {
    pub(super) plan: LoadPlan,
    pub(super) http: Client,
    pub(super) callers: Vec<Caller>,
    pub(super) budget: Budget,
    pub(super) start: Instant,
    pub(super) run: u64,
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) number: u64,
    pub(super) stream: usize,
    pub(super) workspace: u32,
    pub(super) caller: usize,
    pub(super) intended: Instant,
    pub(super) seed: u64,
}

/// The information in a refusal about sending the request again.
#[derive(Debug, Default)]
struct Advice {
    key_prefix: Option<String>,
    retry_after_ms: Option<u64>,
}

/// The result of a single send.
enum Sent {
    /// A complete response was received.
    Answer { status: u16, outcome: Outcome, code: Option<u16>, advice: Advice, own: bool },
    /// No connection was made.
    Unsent,
    /// The connection broke, or the response was truncated.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// The caller's decision after a send.
enum Next {
    Stop,
    /// Resends with the same attempt number, since the last send never left the caller.
    SameAttempt,
    HigherAttempt,
    NewKey(String),
}

/// Sends a request and resends it according to the rules for callers.
pub(super) async fn carry_out(shared: Arc<Shared>, arrival: Arrival) -> Record {
    let begun = Instant::now();
    let stream = &shared.plan.streams[arrival.stream];
    let caller = &shared.callers[arrival.caller];
    let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
    let deadline = arrival.intended + Duration::from_millis(stream.deadline_ms);
    let mut record = Record {
        stream: arrival.stream,
        number: arrival.number,
        key: None,
        sends: 0,
        outcome: Outcome::NotRun,
        status: None,
        code: None,
        timed_out: false,
        broken: false,
        mismatched: false,
        intended_us: micros(arrival.intended.saturating_duration_since(shared.start)),
        lag_us: micros(begun.saturating_duration_since(arrival.intended)),
        latency_us: 0,
    };
    shared.budget.earn();
    let own = format!("{:016x}-{}", shared.run, arrival.number);
    let (mut attempt, mut keys, mut tried) = (1_u32, 0_u32, Vec::new());
    // Whether an earlier send may have run. If so, only the home's answer can rule it out.
    let mut maybe_run = false;
    while record.sends < shared.plan.max_sends {
        let wait = deadline.saturating_duration_since(Instant::now());
        let cached = tokio::time::timeout(wait, caller.answer(&shared.http, &mut rng)).await;
        let Ok(cached) = cached else {
            record.timed_out = true;
            break;
        };
        let Some(cached) = cached else {
            record.broken = true;
            break;
        };
        if !stream.idempotent && record.key.is_none() {
            record.key = Some(format!("{}.{own}-{keys}", cached.prefix));
        }
        let home = (shared.plan.keyed_to_home && record.key.is_some()).then_some(cached.giver);
        let Some(entry) = choose(&cached.entries, home, &tried, &mut rng) else {
            record.broken = true;
            break;
        };
        if deadline <= Instant::now() {
            record.timed_out = true;
            break;
        }
        record.sends += 1;
        let key = record.key.as_deref();
        let sent = send(&shared, stream, &arrival, entry, key, attempt, deadline, &own).await;
        (record.timed_out, record.broken) = (false, false);
        (record.status, record.code) = (None, None);
        let mut pause = Duration::ZERO;
        let next = match sent {
            Sent::Answer { status, outcome, code, advice, own } => {
                record.mismatched |= !own;
                (record.status, record.code) = (Some(status), code);
                record.outcome = outcome;
                let backoff = 10 << record.sends.min(6);
                pause = Duration::from_millis(advice.retry_after_ms.unwrap_or(backoff));
                after_answer(&shared, caller, entry, stream.idempotent, &mut record, advice)
            }
            Sent::Unsent => {
                record.broken = true;
                record.outcome = if maybe_run { Outcome::Unknown } else { Outcome::NotRun };
                caller.avoid(entry);
                Next::SameAttempt
            }
            Sent::Broken => {
                record.broken = true;
                record.outcome = Outcome::Unknown;
                caller.avoid(entry);
                Next::HigherAttempt
            }
            Sent::TimedOut => {
                record.timed_out = true;
                record.outcome = Outcome::Unknown;
                Next::Stop
            }
        };
        // Without a key, nodes do not know about earlier sends, so `not_run` applies only to the last one.
        if maybe_run && record.key.is_none() && record.outcome == Outcome::NotRun {
            record.outcome = Outcome::Unknown;
        }
        maybe_run = record.outcome == Outcome::Unknown;
        match next {
            Next::Stop => break,
            Next::SameAttempt => tried.push(entry),
            Next::HigherAttempt => {
                tried.push(entry);
                attempt += 1;
            }
            Next::NewKey(prefix) => {
                caller.take_prefix(&prefix, entry);
                (record.key, attempt) = (None, 1);
                keys += 1;
            }
        }
        // Half of the pause is random jitter, so that callers do not all resend at the same time.
        let pause = pause.mul_f64(rng.random_range(0.5..=1.0));
        if Instant::now() + pause >= deadline {
            break;
        }
        if record.sends < shared.plan.max_sends {
            tokio::time::sleep(pause).await;
        }
    }
    record.latency_us = micros(arrival.intended.elapsed());
    record
}

/// Decides how the caller continues after a response.
fn after_answer(
    shared: &Shared,
    caller: &Caller,
    entry: SocketAddr,
    idempotent: bool,
    record: &mut Record,
    advice: Advice,
) -> Next {
    let code = record.code.and_then(ResultCode::from_number);
    let Some(code) = code else { return Next::Stop };
    match (record.outcome, code) {
        (Outcome::Ran, _) => Next::Stop,
        // A new key is safe only after a refusal which guarantees that the old key never ran.
        (
            Outcome::NotRun,
            ResultCode::PlainKey | ResultCode::KeyClosed | ResultCode::HomeUnreachable,
        ) if !idempotent => match advice.key_prefix {
            Some(prefix) => Next::NewKey(prefix),
            None => Next::HigherAttempt,
        },
        (Outcome::NotRun, ResultCode::NodeLeaving | ResultCode::NotReady) => {
            caller.avoid(entry);
            Next::HigherAttempt
        }
        (Outcome::NotRun, ResultCode::KeySealed | ResultCode::HomeUnreachable) => {
            Next::HigherAttempt
        }
        (Outcome::NotRun, code) if (2000..3000).contains(&code.number()) => {
            if shared.budget.spend() {
                Next::HigherAttempt
            } else {
                Next::Stop
            }
        }
        (Outcome::NotRun, ResultCode::KeysFull) if shared.budget.spend() => Next::HigherAttempt,
        (Outcome::NotRun, _) => Next::Stop,
        // The home has forgotten the key, so a resend cannot clarify the outcome.
        (Outcome::Unknown, ResultCode::KeyForgotten) => Next::Stop,
        (Outcome::Unknown, _) => Next::HigherAttempt,
    }
}

/// Returns the key's home if it was not tried yet, otherwise a random untried entry, or any if all were tried.
fn choose(
    entries: &[SocketAddr],
    home: Option<SocketAddr>,
    tried: &[SocketAddr],
    rng: &mut ChaCha8Rng,
) -> Option<SocketAddr> {
    if let Some(home) = home.filter(|h| entries.contains(h) && !tried.contains(h)) {
        return Some(home);
    }
    let fresh: Vec<SocketAddr> = entries.iter().copied().filter(|e| !tried.contains(e)).collect();
    let from = if fresh.is_empty() { entries } else { &fresh };
    (!from.is_empty()).then(|| from[rng.random_range(0..from.len())])
}

#[expect(clippy::too_many_arguments, reason = "each is one part of the request")]
async fn send(
    shared: &Shared,
    stream: &LoadStream,
    arrival: &Arrival,
    entry: SocketAddr,
    key: Option<&str>,
    attempt: u32,
    deadline: Instant,
    own: &str,
) -> Sent {
    let left = deadline.saturating_duration_since(Instant::now());
    // `LoadPlan::check` rejects methods that cannot be parsed.
    let method: Method = stream.method.parse().unwrap_or(Method::GET);
    let mut request = shared
        .http
        .request(method, format!("http://{entry}{}", stream.path))
        .timeout(left)
        .header(caller::REQUEST_ID, own)
        .header(caller::ATTEMPT, attempt)
        .header(caller::DEADLINE, left.as_millis().max(1) as u64);
    if let Some(key) = key {
        request = request.header(caller::KEY, key);
    }
    if stream.workspaces > 0 {
        request = request.header(caller::WORKSPACE, format!("w{}", arrival.workspace));
    }
    if stream.body_bytes > 0 {
        request = request.body(vec![b'x'; stream.body_bytes]);
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let header = |name: &str| response.headers().get(name)?.to_str().ok().map(String::from);
    let status = response.status().as_u16();
    let outcome = header(caller::OUTCOME).and_then(|o| o.parse().ok());
    let code = header(caller::CODE).and_then(|c| c.parse().ok());
    let same = header(caller::REQUEST_ID).is_none_or(|id| id == own);
    let prefix = header(caller::KEY_PREFIX);
    let body = match read(response).await {
        Ok(body) => body,
        Err(error) => return failed(&error),
    };
    let refusal: Option<RefusalBody> = code.and_then(|_: u16| serde_json::from_slice(&body).ok());
    let advice = match refusal {
        Some(refusal) => Advice {
            key_prefix: prefix.or(refusal.key_prefix),
            retry_after_ms: refusal.retry_after_ms,
        },
        None => Advice { key_prefix: prefix, retry_after_ms: None },
    };
    Sent::Answer { status, outcome: outcome.unwrap_or(Outcome::Ran), code, advice, own: same }
}

fn failed(error: &reqwest::Error) -> Sent {
    match error {
        e if e.is_connect() => Sent::Unsent,
        e if e.is_timeout() => Sent::TimedOut,
        _ => Sent::Broken,
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
