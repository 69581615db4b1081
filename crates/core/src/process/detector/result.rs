//! The results of the tests.

use crate::{ids::ServerAddr, process::evidence::EvidenceCounts};

/// The test results of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scores {
    /// The outcomes since the scores were last zero.
    pub counts: EvidenceCounts,
    /// The score of the test on bad outcomes.
    pub bad: f64,
    /// The base rate of bad outcomes, from 0 to 1: the other servers' share.
    pub bad_base: f64,
    /// The score of the test on slow responses.
    pub slow: f64,
    /// The base rate of slow responses, from 0 to 1: the other servers' share.
    pub slow_base: f64,
    /// The threshold of both tests.
    pub threshold: f64,
    /// The outcomes per second.
    pub rate: f64,
    /// Whether the evidence comes from at least two nodes and two workspaces, if as many are active.
    pub corroborated: bool,
}

/// A server that fails a test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspect {
    /// The server.
    pub server: ServerAddr,
    /// The share of bad or slow outcomes among the recent ones, from 0 to 1.
    pub severity: f64,
}

/// The result of the tests of all servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum TestResult {
    /// The servers that fail a test, the worst first. The list may be empty.
    Suspects(Vec<Suspect>),
    /// More than half of the servers are suspect, so the service as a whole is at fault.
    Service,
}
