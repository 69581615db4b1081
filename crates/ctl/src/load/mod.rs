//! An open-loop load generator, which sends and resends requests by the rules for callers.
//!
//! Requests arrive as a Poisson process that does not wait for responses, and latency is measured from the intended
//! send time. The latencies therefore show a stall of the fleet in full (no coordinated omission).

mod caller;
mod entries;
mod plan;
mod report;
mod resend_budget;
mod run;
mod send;

pub use plan::{LoadPlan, LoadStream};
pub use report::{LatencyReport, LoadReport, Second, StreamReport};
pub use run::{run, run_with, RequestRecord};
