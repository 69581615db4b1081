//! The report of a load run.

use super::{plan::LoadPlan, run::RequestRecord};
use hdrhistogram::Histogram;
use redwingtrestle_core::codes::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum latency in the histograms, in microseconds. Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// The results of a load run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The seed of the plan.
    pub seed: u64,
    /// The plan's duration, in milliseconds.
    pub duration_ms: u64,
    /// Number of requests that arrived, including skipped ones.
    pub arrived: u64,
    /// Time from the first possible arrival to the end of the last request, in milliseconds.
    pub elapsed_ms: u64,
    /// Number of requests that were not sent because the limit on requests in flight was reached.
    pub skipped: u64,
    /// Time from the intended to the actual start of a request, which is the generator's own delay.
    pub lag: LatencyReport,
    /// The results of each stream, in the order of the plan.
    pub streams: Vec<StreamReport>,
}

impl LoadReport {
    /// Returns the rate at which requests arrived, in requests per second.
    ///
    /// Rates are computed instead of stored, because fractional numbers may change when JSON is read back.
    pub fn offered_rate(&self) -> f64 {
        self.arrived as f64 * 1e3 / self.duration_ms.max(1) as f64
    }
}

/// The results of a stream. The counters are numbers of requests unless stated otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReport {
    /// The stream's name.
    pub name: String,
    /// All requests except skipped ones.
    pub requests: u64,
    /// Completed within the target, with a status below 500.
    pub good: u64,
    /// Completed later than the target, with a status below 500.
    pub late: u64,
    /// Ended with outcome `ran`.
    pub ran: u64,
    /// Ended with outcome `not_run`, or never reached an entry.
    pub not_run: u64,
    /// Ended with outcome `unknown`, or by a broken connection or the deadline after a send.
    pub unknown: u64,
    /// Requests in `unknown` and `not_run` that the deadline ended.
    pub timeouts: u64,
    /// Requests in `unknown` and `not_run` that a broken or refused connection ended.
    pub broken: u64,
    /// Number of sends beyond the first send of each request.
    pub resends: u64,
    /// Requests with a response that carried another request's id. A value above 0 shows a fault of the fleet.
    pub mismatched: u64,
    /// Requests by their last HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests by their last result code.
    pub codes: BTreeMap<u16, u64>,
    /// Latency of requests with outcome `ran`, from the intended send time.
    pub answered: LatencyReport,
    /// Latency of requests with outcome `ran`, from the actual start. The difference from `answered` is the
    /// generator's own delay.
    pub served: LatencyReport,
    /// Latency of all requests, from the intended send time.
    pub all: LatencyReport,
    /// Good and other requests for each second, by the intended send time.
    pub seconds: Vec<Second>,
}

/// The requests of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Number of good requests.
    pub good: u64,
    /// Number of all other requests.
    pub other: u64,
}

/// Statistics of a latency histogram, in microseconds, with an error of up to 0.1%.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Number of recorded latencies.
    pub count: u64,
    /// Mean.
    pub mean_us: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// A histogram of latencies in microseconds.
pub(super) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Self {
        // Cannot fail, since the bounds are valid constants.
        LatencyHistogram(
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are valid"),
        )
    }

    fn add(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    fn report(&self) -> LatencyReport {
        if self.0.is_empty() {
            return LatencyReport::default();
        }
        let at = |q| self.0.value_at_quantile(q);
        LatencyReport {
            count: self.0.len(),
            mean_us: self.0.mean().round() as u64,
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: self.0.max(),
        }
    }
}

/// The histograms of a stream.
struct StreamHistograms {
    answered: LatencyHistogram,
    served: LatencyHistogram,
    all: LatencyHistogram,
}

impl StreamHistograms {
    fn new() -> Self {
        StreamHistograms {
            answered: LatencyHistogram::new(),
            served: LatencyHistogram::new(),
            all: LatencyHistogram::new(),
        }
    }
}

/// The running totals of a load run.
pub(super) struct RunTotals {
    lag: LatencyHistogram,
    streams: Vec<(StreamReport, StreamHistograms)>,
    /// Number of requests that have ended.
    pub(super) ended: u64,
    /// Number of requests that were not sent because the limit on requests in flight was reached.
    pub(super) skipped: u64,
}

impl RunTotals {
    pub(super) fn new(plan: &LoadPlan) -> Self {
        let seconds = vec![Second::default(); plan.duration_ms.div_ceil(1_000) as usize];
        let stream = |name: &String| StreamReport {
            name: name.clone(),
            seconds: seconds.clone(),
            ..StreamReport::default()
        };
        let streams = plan.streams.iter().map(|s| (stream(&s.name), StreamHistograms::new()));
        RunTotals { lag: LatencyHistogram::new(), streams: streams.collect(), ended: 0, skipped: 0 }
    }

    pub(super) fn add(&mut self, plan: &LoadPlan, record: &RequestRecord) {
        self.ended += 1;
        self.lag.add(record.lag_us);
        let (stream, histograms) = &mut self.streams[record.stream];
        stream.requests += 1;
        stream.resends += u64::from(record.sends.saturating_sub(1));
        stream.mismatched += u64::from(record.mismatched);
        stream.timeouts += u64::from(record.timed_out);
        stream.broken += u64::from(record.broken);
        histograms.all.add(record.latency_us);
        match record.outcome {
            Outcome::Ran => {
                stream.ran += 1;
                histograms.answered.add(record.latency_us);
                histograms.served.add(record.latency_us.saturating_sub(record.lag_us));
            }
            Outcome::NotRun => stream.not_run += 1,
            Outcome::Unknown => stream.unknown += 1,
        }
        if let Some(status) = record.status {
            *stream.statuses.entry(status).or_default() += 1;
        }
        if let Some(code) = record.code {
            *stream.codes.entry(code).or_default() += 1;
        }
        let target_us = plan.streams[record.stream].target_ms.saturating_mul(1_000);
        let answered = record.outcome == Outcome::Ran && record.status.is_some_and(|s| s < 500);
        let good = answered && record.latency_us <= target_us;
        stream.good += u64::from(good);
        stream.late += u64::from(answered && !good);
        if let Some(second) = stream.seconds.get_mut((record.intended_us / 1_000_000) as usize) {
            match good {
                true => second.good += 1,
                false => second.other += 1,
            }
        }
    }

    pub(super) fn report(self, plan: &LoadPlan, elapsed_ms: u64) -> LoadReport {
        let streams = self.streams.into_iter().map(|(mut stream, histograms)| {
            stream.answered = histograms.answered.report();
            stream.served = histograms.served.report();
            stream.all = histograms.all.report();
            stream
        });
        LoadReport {
            seed: plan.seed,
            duration_ms: plan.duration_ms,
            arrived: self.ended + self.skipped,
            elapsed_ms,
            skipped: self.skipped,
            lag: self.lag.report(),
            streams: streams.collect(),
        }
    }
}
