//! The plan of a load run.

use crate::error::{Error, Result};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The settings of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// The entry addresses with which callers start.
    pub entries: Vec<SocketAddr>,
    /// Mean rate over all streams, in requests per second.
    pub rate: f64,
    /// Time during which requests arrive, in milliseconds. Requests in flight at its end are still finished.
    pub duration_ms: u64,
    /// The kinds of requests.
    pub streams: Vec<LoadStream>,
    /// Seed for the random choice of arrival times, streams, workspaces and entries.
    pub seed: u64,
    /// Maximum number of requests in flight. Requests that would exceed it are not sent and count as skipped.
    pub max_in_flight: usize,
    /// Maximum number of requests in total.
    pub max_requests: u64,
    /// Maximum number of sends per request.
    pub max_sends: u32,
    /// Number of callers. Each caches its own response to `GET /v1/entries`.
    pub callers: usize,
    /// Share of requests that may be resent after a refusal that signals overload. Resends after other failures are
    /// limited only by `max_sends`.
    pub resend_share: f64,
    /// Whether requests with a key are first sent to the entry that gave the key prefix, which saves a forward.
    pub keyed_to_home: bool,
    /// Whether to write a progress line to standard error.
    pub progress: bool,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadStream {
    /// The stream's name in the report.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// Whether requests may run more than once. Requests of other streams carry an idempotency key.
    pub idempotent: bool,
    /// The stream's share of the rate, relative to the weights of the other streams.
    pub weight: f64,
    /// Number of workspaces among which requests are distributed, named from `w0`. With 0, no workspace is sent.
    pub workspaces: u32,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
    /// Time after which a caller gives up, in milliseconds from the intended send time.
    pub deadline_ms: u64,
    /// Latency target, in milliseconds. Slower responses count as late.
    pub target_ms: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            entries: Vec::new(),
            rate: 100.0,
            duration_ms: 10_000,
            streams: vec![LoadStream::default()],
            seed: 1,
            max_in_flight: 10_000,
            max_requests: 10_000_000,
            max_sends: 4,
            callers: 16,
            resend_share: 0.1,
            keyed_to_home: false,
            progress: false,
        }
    }
}

impl Default for LoadStream {
    fn default() -> Self {
        LoadStream {
            name: "read".into(),
            method: "GET".into(),
            path: "/".into(),
            idempotent: true,
            weight: 1.0,
            workspaces: 4,
            body_bytes: 0,
            deadline_ms: 2_000,
            target_ms: 250,
        }
    }
}

impl LoadPlan {
    /// Checks that the plan is valid and needs a bounded amount of time and memory.
    pub fn check(&self) -> Result<()> {
        let rules = [
            (!self.entries.is_empty(), "at least one entry address is needed"),
            (self.rate > 0.0 && self.rate <= 1e6, "the rate must be above 0 and at most 1000000"),
            (self.duration_ms <= 86_400_000, "the duration must be at most a day"),
            (!self.streams.is_empty(), "at least one stream is needed"),
            (
                self.max_in_flight > 0 && self.max_in_flight <= 1_000_000,
                "max_in_flight: 1 to 1000000",
            ),
            (self.max_sends > 0 && self.max_sends <= 100, "max_sends: 1 to 100"),
            (self.callers > 0 && self.callers <= 10_000, "callers: 1 to 10000"),
            (self.resend_share >= 0.0 && self.resend_share <= 1.0, "resend_share: 0 to 1"),
            (
                self.streams.iter().all(|s| s.weight >= 0.0 && s.weight.is_finite()),
                "weights must not be negative",
            ),
            (self.streams.iter().any(|s| s.weight > 0.0), "at least one weight must be above 0"),
            (self.streams.iter().all(|s| s.path.starts_with('/')), "paths must start with '/'"),
            (
                self.streams.iter().all(|s| s.deadline_ms > 0 && s.deadline_ms <= 3_600_000),
                "deadlines: 1 to 3600000 ms",
            ),
            (
                self.streams.iter().all(|s| s.body_bytes <= 64 * 1024 * 1024),
                "bodies must be at most 64 MiB",
            ),
            (
                self.streams.iter().all(|s| s.method.parse::<reqwest::Method>().is_ok()),
                "a method cannot be read",
            ),
        ];
        match rules.into_iter().find(|(holds, _)| !holds) {
            Some((_, fault)) => Err(Error::load(fault)),
            None => Ok(()),
        }
    }
}
