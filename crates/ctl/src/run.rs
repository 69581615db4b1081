//! Runs the subcommands.

use crate::{
    args::{
        Action, BurnArgs, CodesArgs, DiffArgs, LoadArgs, PublishArgs, QueryArgs, TraceArgs,
        WatchArgs,
    },
    client::{self, Client},
    codes, diff, document,
    error::{Error, Exit, Result},
    format::{
        format_burn, format_command_response, format_coverage, format_load, format_response,
        merge_reports, to_json,
    },
    language::{self, Statement},
    load::{self, LoadPlan},
    plot, table,
    trace::trace,
};
use redwingtrestle_core::codes::ResultCode;
use redwingtrestle_wire::query::{Command, Query, QueryResponse};
use std::{
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
        Action::Trace(args) => trace_request(&args),
        Action::Codes(args) => list_codes(&args),
    }
}

fn trace_request(args: &TraceArgs) -> Result<Output> {
    if args.files.is_empty() {
        return Err(Error::usage("trace needs log files"));
    }
    let trace = trace(&args.id, &args.files)?;
    Ok(Output::ok(if args.json { to_json(&trace) } else { trace.to_text() }))
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
