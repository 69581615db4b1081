//! A simulated caller: caches the response to `GET /v1/entries`, and sends and resends requests.

use super::{
    plan::{LoadPlan, LoadStream},
    run::RequestRecord,
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

/// Minimum time for which a response to `GET /v1/entries` is cached. Without it, a ttl of 0 would double the number
/// of requests.
const MIN_TTL: Duration = Duration::from_millis(100);

/// Once this many bytes of a response body have been kept, the rest is read and discarded.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

/// Initial budget for resends after overload refusals, in hundredths of a resend.
const INITIAL_BUDGET: i64 = 1_000;

/// A cached response to `GET /v1/entries`, with the entry that sent it.
#[derive(Clone, Debug)]
struct CachedEntries {
    entries: Vec<SocketAddr>,
    prefix: String,
    source: SocketAddr,
    expires: Instant,
}

/// A caller, which caches a response to `GET /v1/entries` for its ttl.
pub(super) struct Caller {
    initial_entries: Vec<SocketAddr>,
    cached: Mutex<Option<CachedEntries>>,
    refresh: tokio::sync::Mutex<()>,
}

impl Caller {
    pub(super) fn new(initial_entries: Vec<SocketAddr>) -> Self {
        Caller { initial_entries, cached: Mutex::new(None), refresh: tokio::sync::Mutex::new(()) }
    }

    fn cached_entries(&self) -> Option<CachedEntries> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the cached response, and refreshes it first if it has expired or has no entries left.
    ///
    /// If no entry responds, returns the expired response. Only one request at a time refreshes it. Meanwhile other
    /// requests use the expired response if there is one.
    async fn current_entries(&self, http: &Client, rng: &mut ChaCha8Rng) -> Option<CachedEntries> {
        let now = Instant::now();
        let old = self.cached_entries();
        if old.as_ref().is_some_and(|c| c.expires > now && !c.entries.is_empty()) {
            return old;
        }
        let _guard = match (self.refresh.try_lock(), &old) {
            (Ok(guard), _) => guard,
            (Err(_), Some(c)) if !c.entries.is_empty() => return old,
            (Err(_), _) => self.refresh.lock().await,
        };
        let fresh = self.cached_entries();
        if fresh.as_ref().is_some_and(|c| c.expires > now && !c.entries.is_empty()) {
            return fresh;
        }
        let mut candidates: Vec<SocketAddr> = old.iter().flat_map(|c| c.entries.clone()).collect();
        candidates.extend(&self.initial_entries);
        candidates.sort();
        candidates.dedup();
        candidates.shuffle(rng);
        for entry in candidates.into_iter().take(4) {
            let Some(response) = fetch_entries(http, entry).await else { continue };
            let ttl = Duration::from_millis(response.ttl_ms).max(MIN_TTL);
            let cached = CachedEntries {
                entries: response.entries,
                prefix: response.key_prefix,
                source: entry,
                expires: Instant::now() + ttl,
            };
            if !cached.entries.is_empty() {
                *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached.clone());
                return Some(cached);
            }
        }
        old
    }

    /// Removes `entry` from the cached response, so that it is not used until the next refresh.
    fn remove_entry(&self, entry: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.entries.retain(|e| *e != entry);
        }
    }

    /// Replaces the cached key prefix with one from a refusal by `source`.
    fn set_prefix(&self, prefix: &str, source: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.prefix = prefix.into();
            cached.source = source;
        }
    }
}

async fn fetch_entries(http: &Client, entry: SocketAddr) -> Option<EntriesReply> {
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

/// A budget that limits resends after refusals that signal overload, in hundredths of a resend.
pub(super) struct ResendBudget {
    balance: AtomicI64,
    share: i64,
}

impl ResendBudget {
    pub(super) fn new(share: f64) -> Self {
        ResendBudget { balance: AtomicI64::new(INITIAL_BUDGET), share: (share * 100.0) as i64 }
    }

    fn deposit(&self) {
        self.balance.fetch_add(self.share, Ordering::Relaxed);
    }

    fn try_withdraw(&self) -> bool {
        let withdraw = |balance: i64| (balance >= 100).then_some(balance - 100);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}

/// State shared by all requests of a run.
pub(super) struct Shared {
    pub(super) plan: LoadPlan,
    pub(super) http: Client,
    pub(super) callers: Vec<Caller>,
    pub(super) budget: ResendBudget,
    pub(super) start: Instant,
    pub(super) run_id: u64,
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
struct ResendAdvice {
    key_prefix: Option<String>,
    retry_after_ms: Option<u64>,
}

/// The result of a single send.
enum SendResult {
    /// A complete response was received.
    Response {
        status: u16,
        outcome: Outcome,
        code: Option<u16>,
        advice: ResendAdvice,
        id_matches: bool,
    },
    /// No connection was made.
    Unsent,
    /// The connection broke, or the response was truncated.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// The caller's decision after a send.
enum NextStep {
    Stop,
    /// Resends with the same attempt number, since the last send never left the caller.
    SameAttempt,
    HigherAttempt,
    NewKey(String),
}

/// Sends a request and resends it according to the rules for callers.
pub(super) async fn run_request(shared: Arc<Shared>, arrival: Arrival) -> RequestRecord {
    let started = Instant::now();
    let stream = &shared.plan.streams[arrival.stream];
    let caller = &shared.callers[arrival.caller];
    let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
    let deadline = arrival.intended + Duration::from_millis(stream.deadline_ms);
    let mut record = RequestRecord {
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
        lag_us: micros(started.saturating_duration_since(arrival.intended)),
        latency_us: 0,
    };
    shared.budget.deposit();
    let request_id = format!("{:016x}-{}", shared.run_id, arrival.number);
    let (mut attempt, mut replaced_keys, mut tried) = (1_u32, 0_u32, Vec::new());
    // Whether an earlier send may have run. If so, only the home's response can rule it out.
    let mut may_have_run = false;
    while record.sends < shared.plan.max_sends {
        let wait = deadline.saturating_duration_since(Instant::now());
        let cached =
            tokio::time::timeout(wait, caller.current_entries(&shared.http, &mut rng)).await;
        let Ok(cached) = cached else {
            record.timed_out = true;
            break;
        };
        let Some(cached) = cached else {
            record.broken = true;
            break;
        };
        if !stream.idempotent && record.key.is_none() {
            record.key = Some(format!("{}.{request_id}-{replaced_keys}", cached.prefix));
        }
        let home = (shared.plan.keyed_to_home && record.key.is_some()).then_some(cached.source);
        let Some(entry) = pick_entry(&cached.entries, home, &tried, &mut rng) else {
            record.broken = true;
            break;
        };
        if deadline <= Instant::now() {
            record.timed_out = true;
            break;
        }
        record.sends += 1;
        let key = record.key.as_deref();
        let sent =
            send_once(&shared, stream, &arrival, entry, key, attempt, deadline, &request_id).await;
        (record.timed_out, record.broken) = (false, false);
        (record.status, record.code) = (None, None);
        let mut pause = Duration::ZERO;
        let next = match sent {
            SendResult::Response { status, outcome, code, advice, id_matches } => {
                record.mismatched |= !id_matches;
                (record.status, record.code) = (Some(status), code);
                record.outcome = outcome;
                let backoff = 10 << record.sends.min(6);
                pause = Duration::from_millis(advice.retry_after_ms.unwrap_or(backoff));
                step_after_response(&shared, caller, entry, stream.idempotent, &mut record, advice)
            }
            SendResult::Unsent => {
                record.broken = true;
                record.outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
                caller.remove_entry(entry);
                NextStep::SameAttempt
            }
            SendResult::Broken => {
                record.broken = true;
                record.outcome = Outcome::Unknown;
                caller.remove_entry(entry);
                NextStep::HigherAttempt
            }
            SendResult::TimedOut => {
                record.timed_out = true;
                record.outcome = Outcome::Unknown;
                NextStep::Stop
            }
        };
        // Without a key, nodes do not know about earlier sends, so `not_run` applies only to the last one.
        if may_have_run && record.key.is_none() && record.outcome == Outcome::NotRun {
            record.outcome = Outcome::Unknown;
        }
        may_have_run = record.outcome == Outcome::Unknown;
        match next {
            NextStep::Stop => break,
            NextStep::SameAttempt => tried.push(entry),
            NextStep::HigherAttempt => {
                tried.push(entry);
                attempt += 1;
            }
            NextStep::NewKey(prefix) => {
                caller.set_prefix(&prefix, entry);
                (record.key, attempt) = (None, 1);
                replaced_keys += 1;
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
fn step_after_response(
    shared: &Shared,
    caller: &Caller,
    entry: SocketAddr,
    idempotent: bool,
    record: &mut RequestRecord,
    advice: ResendAdvice,
) -> NextStep {
    let code = record.code.and_then(ResultCode::from_number);
    let Some(code) = code else { return NextStep::Stop };
    match (record.outcome, code) {
        (Outcome::Ran, _) => NextStep::Stop,
        // A new key is safe only after a refusal which guarantees that the old key never ran.
        (
            Outcome::NotRun,
            ResultCode::PlainKey | ResultCode::KeyClosed | ResultCode::HomeUnreachable,
        ) if !idempotent => match advice.key_prefix {
            Some(prefix) => NextStep::NewKey(prefix),
            None => NextStep::HigherAttempt,
        },
        (Outcome::NotRun, ResultCode::NodeLeaving | ResultCode::NotReady) => {
            caller.remove_entry(entry);
            NextStep::HigherAttempt
        }
        (Outcome::NotRun, ResultCode::KeySealed | ResultCode::HomeUnreachable) => {
            NextStep::HigherAttempt
        }
        (Outcome::NotRun, code) if (2000..3000).contains(&code.number()) => {
            if shared.budget.try_withdraw() {
                NextStep::HigherAttempt
            } else {
                NextStep::Stop
            }
        }
        (Outcome::NotRun, ResultCode::KeysFull) if shared.budget.try_withdraw() => {
            NextStep::HigherAttempt
        }
        (Outcome::NotRun, _) => NextStep::Stop,
        // The home has forgotten the key, so a resend cannot clarify the outcome.
        (Outcome::Unknown, ResultCode::KeyForgotten) => NextStep::Stop,
        (Outcome::Unknown, _) => NextStep::HigherAttempt,
    }
}

/// Returns the key's home if it was not tried yet, otherwise a random untried entry, or any if all were tried.
fn pick_entry(
    entries: &[SocketAddr],
    home: Option<SocketAddr>,
    tried: &[SocketAddr],
    rng: &mut ChaCha8Rng,
) -> Option<SocketAddr> {
    if let Some(home) = home.filter(|h| entries.contains(h) && !tried.contains(h)) {
        return Some(home);
    }
    let fresh: Vec<SocketAddr> = entries.iter().copied().filter(|e| !tried.contains(e)).collect();
    let candidates = if fresh.is_empty() { entries } else { &fresh };
    (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
}

#[expect(clippy::too_many_arguments, reason = "each is one part of the request")]
async fn send_once(
    shared: &Shared,
    stream: &LoadStream,
    arrival: &Arrival,
    entry: SocketAddr,
    key: Option<&str>,
    attempt: u32,
    deadline: Instant,
    request_id: &str,
) -> SendResult {
    let left = deadline.saturating_duration_since(Instant::now());
    // `LoadPlan::check` rejects methods that cannot be parsed.
    let method: Method = stream.method.parse().unwrap_or(Method::GET);
    let mut request = shared
        .http
        .request(method, format!("http://{entry}{}", stream.path))
        .timeout(left)
        .header(caller::REQUEST_ID, request_id)
        .header(caller::ATTEMPT, attempt)
        .header(caller::DEADLINE, left.as_millis().max(1) as u64);
    if let Some(key) = key {
        request = request.header(caller::IDEMPOTENCY_KEY, key);
    }
    if stream.workspaces > 0 {
        request = request.header(caller::WORKSPACE, format!("w{}", arrival.workspace));
    }
    if stream.body_bytes > 0 {
        request = request.body(vec![b'x'; stream.body_bytes]);
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) => return send_error(&error),
    };
    let header = |name: &str| response.headers().get(name)?.to_str().ok().map(String::from);
    let status = response.status().as_u16();
    let outcome = header(caller::OUTCOME).and_then(|o| o.parse().ok());
    let code = header(caller::RESULT_CODE).and_then(|c| c.parse().ok());
    let id_matches = header(caller::REQUEST_ID).is_none_or(|id| id == request_id);
    let prefix = header(caller::KEY_PREFIX);
    let body = match read(response).await {
        Ok(body) => body,
        Err(error) => return send_error(&error),
    };
    let refusal: Option<RefusalBody> = code.and_then(|_: u16| serde_json::from_slice(&body).ok());
    let advice = match refusal {
        Some(refusal) => ResendAdvice {
            key_prefix: prefix.or(refusal.key_prefix),
            retry_after_ms: refusal.retry_after_ms,
        },
        None => ResendAdvice { key_prefix: prefix, retry_after_ms: None },
    };
    SendResult::Response {
        status,
        outcome: outcome.unwrap_or(Outcome::Ran),
        code,
        advice,
        id_matches,
    }
}

fn send_error(error: &reqwest::Error) -> SendResult {
    match error {
        e if e.is_connect() => SendResult::Unsent,
        e if e.is_timeout() => SendResult::TimedOut,
        _ => SendResult::Broken,
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
