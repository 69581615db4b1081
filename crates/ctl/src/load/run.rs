//! Generates the arrivals of a load run and collects its results.

use super::{
    caller::{run_request, Arrival, Shared},
    entries::Caller,
    plan::LoadPlan,
    report::{LoadReport, RunTotals},
    resend_budget::ResendBudget,
};
use crate::error::{Error, Result};
use rand::{distr::weighted::WeightedIndex, prelude::Distribution, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::codes::Outcome;
use reqwest::{redirect, Client};
use std::{
    io::Write as _,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};
use tokio::{
    sync::{mpsc, Semaphore},
    time::MissedTickBehavior,
};

/// Interval at which the progress line is written.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Time reserved for starting the run before the first arrival may occur, so that the first arrivals are not late.
const START_DELAY: Duration = Duration::from_millis(20);

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// The position of the stream in the plan.
    pub stream: usize,
    /// The number of the request within the run.
    pub number: u64,
    /// The last idempotency key, if one was sent.
    pub key: Option<String>,
    /// Number of sends.
    pub sends: u32,
    /// Whether the request ran, as far as the caller knows.
    pub outcome: Outcome,
    /// The HTTP status of the last send, or `None` if it got no response.
    pub status: Option<u16>,
    /// The result code of the last send, or `None` if there was none.
    pub code: Option<u16>,
    /// Whether the deadline ended the request.
    pub timed_out: bool,
    /// Whether a broken or refused connection ended the request.
    pub broken: bool,
    /// Whether a response carried another request's id.
    pub mismatched: bool,
    /// The intended send time, in microseconds from the start of the run.
    pub intended_us: u64,
    /// Time from the intended send time to the actual start of the request, in microseconds.
    pub lag_us: u64,
    /// Time from the intended send time to the end of the request, in microseconds.
    pub latency_us: u64,
}

/// Stops the arrivals thread when the run is dropped.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs `plan` and returns the report.
pub async fn run(plan: &LoadPlan) -> Result<LoadReport> {
    run_with(plan, |_| {}).await
}

/// Runs `plan`, calls `on_record` with the result of every request and returns the report.
pub async fn run_with(
    plan: &LoadPlan,
    mut on_record: impl FnMut(&RequestRecord),
) -> Result<LoadReport> {
    plan.check()?;
    let http = Client::builder()
        .redirect(redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .build()
        .map_err(|e| Error::load(e.to_string()))?;
    let start = Instant::now() + START_DELAY;
    // The random run id makes keys differ between runs of the same seed, since homes remember the keys of earlier
    // runs.
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        http,
        callers: (0..plan.callers).map(|_| Caller::new(plan.entries.clone())).collect(),
        budget: ResendBudget::new(plan.resend_share),
        start,
        run_id: rand::random(),
    });
    let stop = StopOnDrop(Arc::new(AtomicBool::new(false)));
    let (arrival_sender, mut arrivals) = mpsc::unbounded_channel();
    let (arrivals_plan, arrivals_stop) = (plan.clone(), stop.0.clone());
    thread::Builder::new()
        .name("arrivals".into())
        .spawn(move || generate_arrivals(&arrivals_plan, start, &arrival_sender, &arrivals_stop))
        .map_err(|e| Error::load(format!("the thread of arrivals did not start: {e}")))?;

    let permits = Arc::new(Semaphore::new(plan.max_in_flight));
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let mut totals = RunTotals::new(plan);
    let (mut started, mut more_arrivals) = (0_u64, true);
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    while more_arrivals || totals.ended < started {
        tokio::select! {
            arrival = arrivals.recv(), if more_arrivals => match arrival {
                None => more_arrivals = false,
                Some(arrival) => match permits.clone().try_acquire_owned() {
                    Err(_) => totals.skipped += 1,
                    Ok(permit) => {
                        started += 1;
                        let (shared, result_sender) = (shared.clone(), result_sender.clone());
                        tokio::spawn(async move {
                            let record = run_request(shared, arrival).await;
                            drop(permit);
                            // Fails only after the run was dropped, when nobody needs the result.
                            let _ = result_sender.send(record);
                        });
                    }
                },
            },
            record = results.recv() => if let Some(record) = record {
                totals.add(plan, &record);
                on_record(&record);
            },
            _ = ticks.tick(), if plan.progress => {
                progress(plan, start, started, &totals);
            }
        }
    }
    if plan.progress {
        eprintln!();
    }
    Ok(totals.report(plan, start.elapsed().as_millis() as u64))
}

/// Generates the arrivals of `plan` and sends each at its intended time.
///
/// Runs on its own thread, because a sleeping thread wakes up more precisely than the runtime's timers, which round
/// up to a millisecond.
fn generate_arrivals(
    plan: &LoadPlan,
    start: Instant,
    arrival_sender: &mpsc::UnboundedSender<Arrival>,
    stop: &AtomicBool,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    // Cannot fail, since `LoadPlan::check` requires a weight above 0.
    let Ok(streams) = WeightedIndex::new(plan.streams.iter().map(|s| s.weight)) else { return };
    let mut offset = 0.0;
    for number in 0..plan.max_requests {
        let uniform: f64 = rng.random();
        offset += -(1.0 - uniform).ln() / plan.rate;
        if offset * 1e3 >= plan.duration_ms as f64 || stop.load(Ordering::Relaxed) {
            return;
        }
        let intended = start + Duration::from_secs_f64(offset);
        let stream = streams.sample(&mut rng);
        let workspaces = plan.streams[stream].workspaces.max(1);
        let arrival = Arrival {
            number,
            stream,
            workspace: rng.random_range(0..workspaces),
            caller: rng.random_range(0..plan.callers),
            intended,
            seed: rng.random(),
        };
        // Sleeps in short steps, so that the thread ends soon after the run is dropped.
        loop {
            let gap = intended.saturating_duration_since(Instant::now());
            if gap.is_zero() || stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(gap.min(Duration::from_millis(100)));
        }
        if arrival_sender.send(arrival).is_err() {
            return;
        }
    }
}

fn progress(plan: &LoadPlan, start: Instant, started: u64, totals: &RunTotals) {
    let line = format!(
        "\r{:.0}/{:.0} s  {} ended, {} in flight, {} skipped ",
        start.elapsed().as_secs_f64(),
        plan.duration_ms as f64 / 1e3,
        totals.ended,
        started - totals.ended,
        totals.skipped,
    );
    // The run continues even if standard error is closed.
    let _ = std::io::stderr().write_all(line.as_bytes());
}
