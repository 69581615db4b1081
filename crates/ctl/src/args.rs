//! The command line of `redwingctl`.

use argh::FromArgs;
use std::net::SocketAddr;

/// The result of parsing a command line.
#[derive(Debug)]
pub enum CommandLine {
    /// A subcommand to run.
    Action(Action),
    /// A text to print, such as the help or the version.
    Text(String),
    /// The command line is invalid. The text explains why.
    Usage(String),
}

/// Query and control a redwingtrestle fleet. The token of an operator is taken from the environment
/// variable REDWING_TOKEN. Exit codes: 0 accepted or answered, 1 other failure, 2 usage, 3 conflict,
/// 4 invalid, 5 unknown, 6 refused to keep a floor.
#[derive(Debug, FromArgs)]
struct Top {
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    action: Option<Action>,
}

/// A subcommand with its options.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Action {
    /// Answers a query or carries out a command of the language.
    Query(QueryArgs),
    /// Publishes a configuration file.
    Publish(PublishArgs),
    /// Compares a configuration file with the configuration in force.
    Diff(DiffArgs),
    /// Waits until a version is in force everywhere.
    Watch(WatchArgs),
    /// Reports burn rates and error budgets.
    Burn(BurnArgs),
    /// Generates load.
    Load(LoadArgs),
    /// Explains what happened to a request.
    Trace(TraceArgs),
    /// Lists the result codes.
    Codes(CodesArgs),
}

/// answer a query or carry out a command, see docs/LANGUAGE.md
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "query")]
pub struct QueryArgs {
    /// the query or command, such as 'show ejected for orders'
    #[argh(positional)]
    pub text: String,
    /// peer address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// check a command without changing anything
    #[argh(switch)]
    pub dry_run: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// publish a configuration file (JSON with comments)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// version that the file is based on; by default the highest version in force
    #[argh(option)]
    pub base: Option<u64>,
    /// peer address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// check the file without publishing it
    #[argh(switch)]
    pub dry_run: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// compare a configuration file with the configuration in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// peer address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// wait until a version is in force at every node
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// the version
    #[argh(positional)]
    pub version: u64,
    /// longest wait in milliseconds (default 10000)
    #[argh(option, default = "10_000")]
    pub timeout_ms: u64,
    /// peer address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// report burn rates and error budgets, merged over the nodes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// write a plot of the burn rates to this SVG file
    #[argh(option)]
    pub svg: Option<String>,
    /// peer address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// generate load as the callers would (open loop, Poisson arrivals)
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// entry address of a node; may be repeated
    #[argh(option, long = "node")]
    pub nodes: Vec<SocketAddr>,
    /// load plan (JSON with comments); the options below override it
    #[argh(option)]
    pub plan: Option<String>,
    /// requests per second
    #[argh(option)]
    pub rate: Option<f64>,
    /// duration in milliseconds
    #[argh(option)]
    pub duration_ms: Option<u64>,
    /// seed of the arrivals
    #[argh(option)]
    pub seed: Option<u64>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// find the lines of the nodes' logs that explain what happened to a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// the id of the request, or the fingerprint that a line names
    #[argh(positional)]
    pub id: String,
    /// log files, best one of each node
    #[argh(positional)]
    pub files: Vec<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// list the result codes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "codes")]
pub struct CodesArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Parses the arguments after the program's name.
pub fn parse(words: &[&str]) -> CommandLine {
    match Top::from_args(&["redwingctl"], words) {
        Ok(Top { version: true, .. }) => {
            CommandLine::Text(format!("redwingctl {}", env!("CARGO_PKG_VERSION")))
        }
        Ok(Top { action: Some(action), .. }) => CommandLine::Action(action),
        Ok(Top { action: None, .. }) => {
            CommandLine::Usage("redwingctl: a subcommand is needed, see redwingctl --help".into())
        }
        Err(exit) if exit.status.is_ok() => CommandLine::Text(exit.output),
        Err(exit) => CommandLine::Usage(exit.output),
    }
}
