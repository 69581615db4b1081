//! Formats responses and reports, as text for people or as JSON.

use crate::{
    error::{Error, Result},
    load::{LoadReport, StreamReport},
    table,
};
use redwingtrestle_core::{codes::ResultCode, process::burn::Report};
use redwingtrestle_wire::{
    burn::{BurnReport, BurnRow},
    query::{CommandResponse, Coverage, NodeBurnRow, QueryResponse, Rows},
};
use serde::Serialize;
use std::{collections::BTreeSet, fmt::Write as _};

/// Formats a response as human-readable text.
pub(crate) fn format_response(response: QueryResponse) -> Result<String> {
    let (text, coverage) = match response {
        QueryResponse::Ejected(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Why(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Services(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Ranks(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Nodes(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Versions(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Drains(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Members(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Stewards(rows) => (table::rows(&rows.rows), rows.coverage),
        QueryResponse::Burn(rows) => {
            let (report, coverage) = merge_reports(rows)?;
            (format_burn(&report), coverage)
        }
        QueryResponse::Config(rows) => {
            let newest = rows.rows.iter().max_by_key(|row| row.version);
            let text = newest.map_or(String::new(), |row| {
                format!("version {}\n{}\n", row.version, to_json(&row.doc))
            });
            (text, rows.coverage)
        }
    };
    Ok(text + &format_coverage(&coverage))
}

/// Formats which nodes responded.
pub(crate) fn format_coverage(coverage: &Coverage) -> String {
    match coverage.missing.len() {
        0 => format!("{} nodes answered\n", coverage.answered.len()),
        n => format!(
            "{} nodes answered, {n} did not: {}\n",
            coverage.answered.len(),
            coverage.missing.join(", "),
        ),
    }
}

/// Formats the response to a command.
pub(crate) fn format_command_response(
    response: &CommandResponse,
    code: Option<ResultCode>,
) -> String {
    let name = code.map_or("unlisted code".into(), |code| code.to_string());
    let dry = if response.dry_run { ", dry run" } else { "" };
    let version = response.version.map_or(String::new(), |v| format!(", version {v}"));
    let mut text = format!("{} {name}{version}{dry}: {}\n", response.code, response.message);
    if !response.change.is_empty() {
        let _ = write!(text, "\n{}", table::rows(&response.change));
    }
    if !response.floors.is_empty() {
        let _ = write!(text, "\n{}", table::rows(&response.floors));
    }
    text + "\n" + &format_coverage(&response.coverage)
}

/// Formats burn rates and error budgets.
pub(crate) fn format_burn(report: &BurnReport) -> String {
    let columns = [
        "service",
        "rank",
        "5m",
        "30m",
        "1h",
        "6h",
        "budget left",
        "good",
        "late",
        "shed",
        "failed",
        "unknown",
        "refused",
        "alerts",
    ];
    let rows: Vec<Vec<String>> = report.rows.iter().map(burn_cells).collect();
    let version = report.version;
    format!("{}counts cover 6 h; targets of version {version}\n", table::render(&columns, &rows))
}

fn burn_cells(row: &BurnRow) -> Vec<String> {
    let mut cells = vec![row.service.clone(), row.rank.clone()];
    cells.extend(row.windows.iter().map(|w| format!("{:.2}", w.burn_rate)));
    cells.push(format!("{:.1}%", row.budget_left * 100.0));
    let counts = row.windows.last().map(|w| w.counts).unwrap_or_default();
    let each =
        [counts.good, counts.late, counts.shed, counts.failed, counts.unknown, counts.refused];
    cells.extend(each.map(|n| n.to_string()));
    let firing: Vec<String> = row
        .alerts
        .iter()
        .filter(|a| a.firing)
        .map(|a| format!("{} min at {}x", a.long_s / 60, a.factor))
        .collect();
    cells.push(if firing.is_empty() { "none".into() } else { firing.join(", ") });
    cells
}

/// Formats the result of a load run.
pub(crate) fn format_load(report: &LoadReport) -> String {
    let columns = [
        "stream", "sent", "good", "late", "ran", "not run", "unknown", "resends", "p50 ms",
        "p99 ms", "p99.9 ms", "max ms",
    ];
    let rows: Vec<Vec<String>> = report.streams.iter().map(stream_cells).collect();
    let mut text = table::render(&columns, &rows);
    let _ = writeln!(
        text,
        "offered {:.1}/s for {:.1} s, {} skipped, generator lag p99 {} ms",
        report.offered_rate(),
        report.elapsed_ms as f64 / 1e3,
        report.skipped,
        millis(report.lag.p99_us),
    );
    for stream in &report.streams {
        for (code, count) in &stream.codes {
            let name = ResultCode::from_number(*code).map_or("unlisted", Into::into);
            let _ = writeln!(text, "{}: code {code} {name}: {count}", stream.name);
        }
    }
    text
}

fn stream_cells(stream: &StreamReport) -> Vec<String> {
    let s = stream;
    let mut cells = vec![s.name.clone()];
    let counts = [s.requests, s.good, s.late, s.ran, s.not_run, s.unknown, s.resends];
    cells.extend(counts.map(|n| n.to_string()));
    let l = &s.answered;
    cells.extend([l.p50_us, l.p99_us, l.p999_us, l.max_us].map(millis));
    cells
}

fn millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1e3)
}

/// Merges the reports of all nodes. If a node is listed twice, only its first report counts.
pub(crate) fn merge_reports(rows: Rows<NodeBurnRow>) -> Result<(BurnReport, Coverage)> {
    let (mut sum, mut seen) = (Report::default(), BTreeSet::new());
    for row in &rows.rows {
        if seen.insert(&row.node) {
            let report = Report::try_from(&row.report)
                .map_err(|error| Error::NoResponse { what: format!("{}: {error}", row.node) })?;
            sum.merge(&report);
        }
    }
    Ok(((&sum).into(), rows.coverage))
}

/// Formats a value as JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
