//! Error budget burn reports for operators.

use redwingtrestle_core::{
    ids::Version,
    process::burn::{Report, RequestCounts, Row, WINDOWS},
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The burn report of one node, or the merged report of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The configuration version that the targets come from.
    pub version: u64,
    /// One row for each service and rank.
    pub rows: Vec<BurnRow>,
}

/// The request counts and burn rates of one rank of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: String,
    /// Latency target, in microseconds. Slower requests count as late.
    pub target_us: u64,
    /// Share of requests that must be good, in thousandths.
    pub objective: u32,
    /// Remaining fraction of the six-hour error budget, negative if it is overspent.
    pub budget_left: f64,
    /// The windows, in ascending length.
    pub windows: Vec<BurnWindow>,
    /// The state of the alert rules.
    pub alerts: Vec<BurnAlert>,
}

/// The request counts and burn rate of one time window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnWindow {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// The burn rate. A rate of 1 uses up the error budget exactly.
    pub burn_rate: f64,
    /// The request counts.
    pub counts: BurnCounts,
}

/// The number of requests per result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// Completed within the target.
    pub good: u64,
    /// Completed later than the target.
    pub late: u64,
    /// Shed by the backend servers.
    pub shed: u64,
    /// The response had a 5xx status.
    pub failed: u64,
    /// Without a response, although they may have run.
    pub unknown: u64,
    /// Refused by the node.
    pub refused: u64,
}

/// The state of an alert rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnAlert {
    /// The length of the long window, in seconds.
    pub long_s: u64,
    /// The length of the short window, in seconds.
    pub short_s: u64,
    /// The burn rate at which the alert fires.
    pub factor: f64,
    /// Whether the burn rate of both windows is at or above the factor.
    pub firing: bool,
}

/// The reason why a received report cannot be merged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidReport(String);

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "burn report: {}", self.0)
    }
}

impl std::error::Error for InvalidReport {}

impl From<RequestCounts> for BurnCounts {
    fn from(c: RequestCounts) -> Self {
        let RequestCounts { good, late, shed, failed, unknown, refused } = c;
        BurnCounts { good, late, shed, failed, unknown, refused }
    }
}

impl From<BurnCounts> for RequestCounts {
    fn from(c: BurnCounts) -> Self {
        let BurnCounts { good, late, shed, failed, unknown, refused } = c;
        RequestCounts { good, late, shed, failed, unknown, refused }
    }
}

impl From<&Row> for BurnRow {
    fn from(row: &Row) -> Self {
        let windows = WINDOWS.map(|w| BurnWindow {
            window_s: secs(w.span()),
            burn_rate: row.burn_rate(w),
            counts: (*row.counts(w)).into(),
        });
        let alerts = row.alerts().map(|a| BurnAlert {
            long_s: secs(a.rule.long.span()),
            short_s: secs(a.rule.short.span()),
            factor: a.rule.factor,
            firing: a.firing,
        });
        BurnRow {
            service: row.service.to_string(),
            rank: row.rank.to_string(),
            target_us: row.target.as_micros(),
            objective: row.objective,
            budget_left: row.budget_left(),
            windows: windows.into(),
            alerts: alerts.into(),
        }
    }
}

impl From<&Report> for BurnReport {
    fn from(report: &Report) -> Self {
        let rows = report.rows.iter().map(BurnRow::from).collect();
        BurnReport { version: report.version.0, rows }
    }
}

impl TryFrom<&BurnRow> for Row {
    type Error = InvalidReport;

    /// Converts the counts. Rates, budget and alerts are computed from them again.
    fn try_from(row: &BurnRow) -> Result<Self, InvalidReport> {
        let mut windows = [RequestCounts::default(); WINDOWS.len()];
        for (counts, window) in windows.iter_mut().zip(WINDOWS) {
            let length = secs(window.span());
            let found = row.windows.iter().find(|w| w.window_s == length).ok_or_else(|| {
                InvalidReport(format!(
                    "{}/{} lacks the window of {length} s",
                    row.service, row.rank
                ))
            })?;
            *counts = found.counts.into();
        }
        if row.objective == 0 || row.objective >= 1000 {
            let what = format!("{}/{} has objective {}", row.service, row.rank, row.objective);
            return Err(InvalidReport(what));
        }
        Ok(Row {
            service: row.service.as_str().into(),
            rank: row.rank.as_str().into(),
            target: Span::from_micros(row.target_us),
            objective: row.objective,
            windows,
        })
    }
}

impl TryFrom<&BurnReport> for Report {
    type Error = InvalidReport;

    fn try_from(report: &BurnReport) -> Result<Self, InvalidReport> {
        let rows = report.rows.iter().map(Row::try_from).collect::<Result<_, _>>()?;
        Ok(Report { version: Version(report.version), rows })
    }
}

fn secs(span: Span) -> u64 {
    span.as_micros() / 1_000_000
}
