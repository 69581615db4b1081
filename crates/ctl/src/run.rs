//! Runs the subcommands and formats their output.

use crate::{
    args::{Action, BurnArgs, CodesArgs, DiffArgs, LoadArgs, PublishArgs, QueryArgs, WatchArgs},
    client::{self, Client},
    codes, diff, document,
    error::{Error, Exit, Result},
    language::{self, Statement},
    load::{self, LoadPlan, LoadReport},
    plot, table,
};
use redwingtrestle_core::{codes::ResultCode, process::burn::Report};
use redwingtrestle_wire::{
    burn::BurnReport,
    query::{Command, CommandResponse, Coverage, Query, QueryResponse, Rows},
};
use serde::Serialize;
use std::{
    collections::BTreeSet,
    fmt::Write as _,
    fs,
    io::{IsTerminal, Write as _},
    time::{Duration, Instant},
};

/// Interval at which `watch` queries the versions.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// The output and exit code of a subcommand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The text for standard output.
    pub text: String,
    /// The exit code.
    pub exit: Exit,
}

impl Output {
    fn ok(text: String) -> Self {
        Output { text, exit: Exit::Ok }
    }
}

/// Prints `text` to standard output. Write errors are ignored, as in `redwingctl codes | head`.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

/// Runs a subcommand with the operator's token.
pub async fn run(action: Action, token: Option<String>) -> Result<Output> {
    match action {
        Action::Query(args) => query(args, token).await,
        Action::Publish(args) => publish(args, token).await,
        Action::Diff(args) => diff_file(args, token).await,
        Action::Watch(args) => watch(args, token).await,
        Action::Burn(args) => burn(args, token).await,
        Action::Load(args) => run_load(args).await,
        Action::Codes(args) => list_codes(&args),
    }
}

async fn query(args: QueryArgs, token: Option<String>) -> Result<Output> {
    let statement = language::parse(&args.text).map_err(|error| Error::Language { error })?;
    let client = Client::new(args.nodes, token)?;
    match statement {
        Statement::Query(_) if args.dry_run => Err(Error::usage("a query has no dry run")),
        Statement::Query(query) => {
            let response = client.query(&query).await?;
            Ok(Output::ok(if args.json { to_json(&response) } else { format_response(response)? }))
        }
        Statement::Command { command, base, dry_run } => {
            send_command(&client, command, base, dry_run || args.dry_run, args.json).await
        }
    }
}

async fn publish(args: PublishArgs, token: Option<String>) -> Result<Output> {
    let doc = document::config(&args.file)?;
    let client = Client::new(args.nodes, token)?;
    send_command(&client, Command::Publish { doc }, args.base, args.dry_run, args.json).await
}

async fn send_command(
    client: &Client,
    command: Command,
    base: Option<u64>,
    dry_run: bool,
    as_json: bool,
) -> Result<Output> {
    let base = match base {
        Some(base) => base,
        None => client.version().await?,
    };
    let request_id = format!("{:032x}", rand::random::<u128>());
    let response = client.command(command, base, request_id, dry_run).await?;
    let code = ResultCode::from_number(response.code);
    let text = if as_json { to_json(&response) } else { format_command_response(&response, code) };
    Ok(Output { text, exit: code.map_or(Exit::Failure, Exit::from) })
}

async fn diff_file(args: DiffArgs, token: Option<String>) -> Result<Output> {
    let after = document::config(&args.file)?;
    let nodes = args.nodes.clone();
    let client = Client::new(args.nodes, token)?;
    let QueryResponse::Config(rows) = client.query(&Query::Config).await? else {
        return Err(client::response_mismatch(&nodes[0]));
    };
    let Some(row) = rows.rows.iter().max_by_key(|row| row.version) else {
        return Err(Error::NoResponse { what: "no node has a configuration".into() });
    };
    let lines = diff::diff(&row.doc, &after)?;
    Ok(Output::ok(if args.json {
        to_json(&lines)
    } else if lines.is_empty() {
        format!("no difference from version {}", row.version)
    } else {
        format!("changes from version {}:\n{}", row.version, table::rows(&lines))
    }))
}

async fn watch(args: WatchArgs, token: Option<String>) -> Result<Output> {
    let nodes = args.nodes.clone();
    let client = Client::new(args.nodes, token)?;
    let deadline = Instant::now() + Duration::from_millis(args.timeout_ms);
    loop {
        let response = client.query(&Query::Versions).await;
        let expired = Instant::now() >= deadline;
        match response {
            Ok(QueryResponse::Versions(rows)) => {
                let behind = rows.rows.iter().any(|row| row.version < args.version);
                let reached = !behind && !rows.rows.is_empty() && rows.coverage.missing.is_empty();
                if reached || expired {
                    let response = QueryResponse::Versions(rows);
                    let text =
                        if args.json { to_json(&response) } else { format_response(response)? };
                    return Ok(Output {
                        text,
                        exit: if reached { Exit::Ok } else { Exit::Failure },
                    });
                }
            }
            Ok(_) => return Err(client::response_mismatch(&nodes[0])),
            Err(error @ Error::Refused { .. }) => return Err(error),
            Err(error) if expired => return Err(error),
            Err(_) => {}
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn burn(args: BurnArgs, token: Option<String>) -> Result<Output> {
    let nodes = args.nodes.clone();
    let client = Client::new(args.nodes, token)?;
    let QueryResponse::Burn(rows) = client.query(&Query::Burn).await? else {
        return Err(client::response_mismatch(&nodes[0]));
    };
    let (report, coverage) = merge_reports(rows)?;
    if let Some(path) = &args.svg {
        fs::write(path, plot::burn(&report)?).map_err(|e| Error::file(path, &e))?;
    }
    Ok(Output::ok(if args.json {
        to_json(&serde_json::json!({ "report": report, "coverage": coverage }))
    } else {
        format_burn(&report) + &format_coverage(&coverage)
    }))
}

async fn run_load(args: LoadArgs) -> Result<Output> {
    let mut plan = match &args.plan {
        Some(path) => serde_json::from_value(document::read(path)?)
            .map_err(|e| Error::file(path.as_str(), &e))?,
        None => LoadPlan::default(),
    };
    if !args.nodes.is_empty() {
        plan.entries = args.nodes;
    }
    plan.rate = args.rate.unwrap_or(plan.rate);
    plan.duration_ms = args.duration_ms.unwrap_or(plan.duration_ms);
    plan.seed = args.seed.unwrap_or(plan.seed);
    plan.progress = std::io::stderr().is_terminal();
    let report = load::run(&plan).await?;
    Ok(Output::ok(if args.json { to_json(&report) } else { format_load(&report) }))
}

fn list_codes(args: &CodesArgs) -> Result<Output> {
    let rows = codes::all();
    Ok(Output::ok(if args.json { to_json(&rows) } else { table::rows(&rows) }))
}

/// Merges the reports of all nodes. If a node is listed twice, only its first report counts.
fn merge_reports(
    rows: Rows<redwingtrestle_wire::query::NodeBurnRow>,
) -> Result<(BurnReport, Coverage)> {
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

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}

/// Formats a response as human-readable text.
pub fn format_response(response: QueryResponse) -> Result<String> {
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

fn format_coverage(coverage: &Coverage) -> String {
    match coverage.missing.len() {
        0 => format!("{} nodes answered\n", coverage.answered.len()),
        n => format!(
            "{} nodes answered, {n} did not: {}\n",
            coverage.answered.len(),
            coverage.missing.join(", "),
        ),
    }
}

fn format_command_response(response: &CommandResponse, code: Option<ResultCode>) -> String {
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

fn format_burn(report: &BurnReport) -> String {
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
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            let mut cells = vec![row.service.clone(), row.rank.clone()];
            cells.extend(row.windows.iter().map(|w| format!("{:.2}", w.burn_rate)));
            cells.push(format!("{:.1}%", row.budget_left * 100.0));
            let counts = row.windows.last().map(|w| w.counts).unwrap_or_default();
            let each = [
                counts.good,
                counts.late,
                counts.shed,
                counts.failed,
                counts.unknown,
                counts.refused,
            ];
            cells.extend(each.map(|n| n.to_string()));
            let firing: Vec<String> = row
                .alerts
                .iter()
                .filter(|a| a.firing)
                .map(|a| format!("{} min at {}x", a.long_s / 60, a.factor))
                .collect();
            cells.push(if firing.is_empty() { "none".into() } else { firing.join(", ") });
            cells
        })
        .collect();
    let version = report.version;
    format!("{}counts cover 6 h; targets of version {version}\n", table::render(&columns, &rows))
}

fn format_load(report: &LoadReport) -> String {
    let columns = [
        "stream", "sent", "good", "late", "ran", "not run", "unknown", "resends", "p50 ms",
        "p99 ms", "p99.9 ms", "max ms",
    ];
    let ms = |us: u64| format!("{:.2}", us as f64 / 1e3);
    let rows: Vec<Vec<String>> = report
        .streams
        .iter()
        .map(|s| {
            let mut cells = vec![s.name.clone()];
            let counts = [s.requests, s.good, s.late, s.ran, s.not_run, s.unknown, s.resends];
            cells.extend(counts.map(|n| n.to_string()));
            let l = &s.answered;
            cells.extend([l.p50_us, l.p99_us, l.p999_us, l.max_us].map(ms));
            cells
        })
        .collect();
    let mut text = table::render(&columns, &rows);
    let _ = writeln!(
        text,
        "offered {:.1}/s for {:.1} s, {} skipped, generator lag p99 {} ms",
        report.offered_rate(),
        report.elapsed_ms as f64 / 1e3,
        report.skipped,
        ms(report.lag.p99_us),
    );
    for stream in &report.streams {
        for (code, count) in &stream.codes {
            let name = ResultCode::from_number(*code).map_or("unlisted", Into::into);
            let _ = writeln!(text, "{}: code {code} {name}: {count}", stream.name);
        }
    }
    text
}
