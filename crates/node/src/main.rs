//! The command line of `redwingd`.

#![forbid(unsafe_code)]

use argh::FromArgs;
use redwingtrestle_gateway::{
    gateway,
    settings::{ReadSettings, Settings as GatewaySettings},
};
use redwingtrestle_node::{
    demo::Demo,
    logging,
    node::Node,
    settings::Settings,
    signals::{self, NodeSignals},
};
use redwingtrestle_platform::{header_names::header_names, store::StoreClient};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// A node of a redwingtrestle proxy fleet.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Check(Check),
    Gateway(Gateway),
    DemoRun(DemoRun),
}

/// Run a node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Check a settings file and print every fault.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

/// Run a gateway on the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
struct Gateway {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// Run one node with sample backend servers until Ctrl-C.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoRun {
    /// where callers connect
    #[argh(option, default = "([127, 0, 0, 1], 8080).into()")]
    entry: SocketAddr,
    /// where peers and operators connect
    #[argh(option, default = "([127, 0, 0, 1], 7070).into()")]
    peer: SocketAddr,
    /// make one backend server of the service viewer fail after this many seconds
    #[argh(option)]
    fail_after: Option<u64>,
}

/// The interval at which the demo checks whether its node is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        _ if args.version => {
            println!("redwingd {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(Command::Run(run)) => run_node(&run.settings),
        Some(Command::Check(check)) => check_settings(&check.settings),
        Some(Command::Gateway(gateway)) => run_gateway(&gateway),
        Some(Command::DemoRun(demo)) => run_demo(&demo),
        None => Err("a command is needed; see redwingd --help".to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

fn lines(faults: &[impl ToString]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn read_settings(path: &Path) -> Result<Settings, String> {
    Settings::read(path).map_err(|faults| lines(&faults))
}

fn check_settings(path: &Path) -> Result<(), String> {
    read_settings(path)?;
    println!("{} is valid", path.display());
    Ok(())
}

fn run_node(path: &Path) -> Result<(), String> {
    let mut settings = read_settings(path)?;
    logging::start(&settings.log_filter);
    let mut signals = NodeSignals::listen().map_err(|e| e.to_string())?;
    let node = Node::start(settings.clone()).map_err(|e| e.to_string())?;
    signals.wait_for_stop(&node, || signals::read_settings_again(path, &mut settings));
    node.stop().map_err(|e| e.to_string())
}

fn run_gateway(args: &Gateway) -> Result<(), String> {
    let read = GatewaySettings::read(&args.settings).map_err(|faults| lines(&faults))?;
    if args.check {
        return check_gateway(args, &read);
    }
    let ReadSettings { settings, replaced } = read;
    redwingtrestle_gateway::logs::start(&settings.log_filter).map_err(|e| e.to_string())?;
    gateway::log_replaced(&replaced);
    let store = StoreClient::new(settings.store).map_err(|e| e.to_string())?;
    gateway::run(settings, &args.settings, store, header_names()).map_err(|e| e.to_string())
}

/// A check is stricter than a start, which replaces what cannot be used.
fn check_gateway(args: &Gateway, read: &ReadSettings) -> Result<(), String> {
    if !read.replaced.is_empty() {
        return Err(lines(&read.replaced));
    }
    println!("{} is valid", args.settings.display());
    Ok(())
}

fn run_demo(args: &DemoRun) -> Result<(), String> {
    logging::start(logging::DEFAULT_FILTER);
    let fail_after = args.fail_after.map(Duration::from_secs);
    let demo = Demo::start(args.entry, args.peer, fail_after).map_err(|e| e.to_string())?;
    // A node that cannot listen on its entry address ends by itself before it is ready.
    while !demo.is_ready() && !demo.node().is_finished() {
        std::thread::sleep(READY_CHECK_INTERVAL);
    }
    if demo.is_ready() {
        print_examples(args, &demo);
    }
    let mut signals = NodeSignals::listen().map_err(|e| e.to_string())?;
    signals.wait_for_stop(demo.node(), || log::info!("SIGHUP: the demo has no settings file"));
    demo.stop().map_err(|e| e.to_string())
}

/// Returns the shell command for `redwingctl`: the executable next to this one, or else a run by cargo.
fn ctl_command() -> String {
    let beside = std::env::current_exe().ok().map(|path| path.with_file_name("redwingctl"));
    match beside.filter(|path| path.is_file()) {
        Some(path) => path.display().to_string(),
        None => "cargo run -q --bin redwingctl --".into(),
    }
}

fn print_examples(args: &DemoRun, demo: &Demo) {
    let DemoRun { entry, peer, .. } = args;
    let (ctl, failing, drainable) = (ctl_command(), demo.failing_server(), demo.drainable_server());
    let node = format!("--node {peer}");
    println!("redwingd serves at http://{entry}; operators use {peer}. Try in another shell:\n");
    println!("# View an invoice.");
    println!("curl -i http://{entry}/invoices/7\n");
    println!("# Issue an invoice, and send it again: it runs once, and the second answer repeats the first.");
    println!(
        "KEY=$(curl -s http://{entry}/v1/entries | sed 's/.*\"key_prefix\":\"\\([^\"]*\\)\".*/\\1/').issue-1"
    );
    for attempt in 1..=2 {
        println!(
            "curl -i -X POST -H \"Idempotency-Key: $KEY\" -H 'Redwing-Attempt: {attempt}' -d total=120 \
             http://{entry}/invoices"
        );
    }
    println!("\n# See what is ejected.");
    if args.fail_after.is_none() {
        println!("# Nothing is; start the demo with --fail-after 10 to make {failing} fail.");
    }
    println!("for n in $(seq 400); do curl -s -o /dev/null http://{entry}/invoices/$n; done");
    println!("{ctl} query 'show ejected' {node}");
    println!("{ctl} query 'why {failing}' {node}\n");
    println!("# Drain a backend server, look, and end the drain.");
    println!("{ctl} query 'drain server {drainable}' {node}");
    println!("{ctl} query 'show drains' {node}");
    println!("{ctl} query 'undrain server {drainable}' {node}");
}
