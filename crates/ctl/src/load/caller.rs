//! A simulated caller's request: which entry it is sent to, and whether it is sent again.

use super::{
    entries::Caller,
    plan::LoadPlan,
    resend_budget::ResendBudget,
    run::RequestRecord,
    send::{send_once, ResendAdvice, SendResult, SingleSend},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::codes::{Outcome, ResultCode};
use reqwest::Client;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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
    let mut record = new_record(&arrival, shared.start, started);
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
        let send = SingleSend {
            stream,
            workspace: arrival.workspace,
            entry,
            key: record.key.as_deref(),
            attempt,
            deadline,
            request_id: &request_id,
        };
        let sent = send_once(&shared.http, send).await;
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

/// Returns the record of a request that was not sent yet.
fn new_record(arrival: &Arrival, start: Instant, started: Instant) -> RequestRecord {
    RequestRecord {
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
        intended_us: micros(arrival.intended.saturating_duration_since(start)),
        lag_us: micros(started.saturating_duration_since(arrival.intended)),
        latency_us: 0,
    }
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

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
