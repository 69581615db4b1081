//! The client against a stand-in node with a JSON-RPC server, and the program's exit codes.

use jsonrpsee::{
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
    RpcModule,
};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::Version,
    process::burn::{Report, RequestCounts, Row as BurnRow},
    time::Span,
};
use redwingtrestle_ctl::{
    args::{self, CommandLine},
    client::Client,
    error::{Error, Exit},
    run::{self, Output},
};
use redwingtrestle_wire::{
    config::ConfigDoc,
    query::{
        ChangeLine, Command, CommandRequest, CommandResponse, ConfigRow, Coverage, FloorRow,
        NodeBurnRow, Query, QueryRequest, QueryResponse, Rows, VersionRow,
    },
};
use serde_json::{json, Value};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A stand-in for a node that serves its JSON-RPC methods.
struct Node {
    addr: SocketAddr,
    commands: Arc<Mutex<Vec<CommandRequest>>>,
    version: Arc<Mutex<u64>>,
    _server: ServerHandle,
}

impl Node {
    /// Starts a node at `version` that responds to each command with `code`, or refuses it if `code` is `unauthorized`.
    async fn start(version: u64, code: ResultCode) -> Node {
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let addr = server.local_addr().unwrap();
        let commands = Arc::new(Mutex::new(Vec::new()));
        let version = Arc::new(Mutex::new(version));
        let mut module = RpcModule::new((addr, commands.clone(), version.clone()));
        module
            .register_method("query", |params, (addr, _, version), _| {
                let request: QueryRequest = params.one()?;
                query_response(*addr, *version.lock().unwrap(), &request.query)
            })
            .unwrap();
        module
            .register_method("command", move |params, (addr, commands, _), _| {
                let request: CommandRequest = params.one()?;
                commands.lock().unwrap().push(request.clone());
                if code == ResultCode::Unauthorized {
                    return Err(refusal());
                }
                Ok::<_, ErrorObjectOwned>(command_response(*addr, code, &request))
            })
            .unwrap();
        Node { addr, commands, version, _server: server.start(module) }
    }

    fn received_commands(&self) -> Vec<CommandRequest> {
        self.commands.lock().unwrap().clone()
    }
}

fn query_response(
    addr: SocketAddr,
    version: u64,
    query: &Query,
) -> Result<QueryResponse, ErrorObjectOwned> {
    let node = addr.to_string();
    let coverage = Coverage { answered: vec![node.clone()], missing: Vec::new() };
    Ok(match query {
        Query::Versions => {
            let row = VersionRow { node, version, age_ms: 10, heard: version, log: "up".into() };
            QueryResponse::Versions(Rows { coverage, rows: vec![row] })
        }
        Query::Config => {
            let doc = document(40);
            QueryResponse::Config(Rows { coverage, rows: vec![ConfigRow { node, version, doc }] })
        }
        Query::Burn => {
            let counts = RequestCounts { good: 90, failed: 10, ..RequestCounts::default() };
            let row = BurnRow {
                service: "orders".into(),
                rank: "urgent".into(),
                target: Span::from_millis(250),
                objective: 990,
                windows: [counts; 4],
            };
            let report = &Report { version: Version(version), rows: vec![row] };
            let rows = vec![NodeBurnRow { node, report: report.into() }];
            QueryResponse::Burn(Rows { coverage, rows })
        }
        _ => {
            return Err(refusal());
        }
    })
}

fn document(floor: u32) -> ConfigDoc {
    serde_json::from_value(json!({"services": {"orders": {
        "servers": [{"addr": "10.0.0.7:80", "data_centre": "concord", "slots": 90, "connections": 390}],
        "floor": floor,
        "ranks": [{"name": "urgent", "share": 50, "target_ms": 250, "objective": 990}],
    }}}))
    .unwrap()
}

fn refusal() -> ErrorObjectOwned {
    let number = i32::from(ResultCode::Unauthorized.number());
    ErrorObjectOwned::owned(number, "a token is needed", None::<()>)
}

fn command_response(
    addr: SocketAddr,
    code: ResultCode,
    request: &CommandRequest,
) -> CommandResponse {
    CommandResponse {
        node: addr.to_string(),
        code: code.number(),
        message: "the stand-in says so".into(),
        version: Some(request.base + 1),
        dry_run: request.dry_run,
        change: vec![ChangeLine {
            path: "services.orders.floor".into(),
            before: Some("40".into()),
            after: Some("60".into()),
        }],
        floors: vec![FloorRow {
            service: "orders".into(),
            floor_before: 40,
            floor_after: 60,
            capacity_before: 120,
            capacity_after: 120,
        }],
        coverage: Coverage { answered: vec![addr.to_string()], missing: Vec::new() },
    }
}

/// Returns an address on which nothing listens, and which is never assigned to another test.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 99], 9))
}

/// Starts a server that closes each connection without a response after reading the beginning of a request.
async fn closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = [0; 64];
                let _ = stream.read(&mut bytes).await;
            });
        }
    });
    addr
}

async fn run_action(words: &[&str], nodes: &[SocketAddr]) -> Result<Output, Error> {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    let mut all = words.to_vec();
    for node in &nodes {
        all.extend(["--node", node]);
    }
    match args::parse(&all) {
        CommandLine::Action(action) => run::run(action, None).await,
        other => panic!("{words:?}: {other:?}"),
    }
}

fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("redwingctl-test-{}-{name}", process::id()));
    fs::write(&path, text).unwrap();
    path
}

/// Guards against losing rows of one of several nodes, and against duplicate rows.
#[tokio::test]
async fn responses_of_several_nodes_are_merged() {
    let (a, b) =
        (Node::start(7, ResultCode::Accepted).await, Node::start(8, ResultCode::Accepted).await);
    let client = Client::new(vec![a.addr, b.addr, a.addr], None).unwrap();
    let QueryResponse::Versions(rows) = client.query(&Query::Versions).await.unwrap() else {
        panic!("another response")
    };
    assert_eq!(rows.rows.iter().map(|r| r.version).collect::<Vec<_>>(), [7, 8]);
    assert_eq!(rows.coverage.answered.len(), 2);
    assert_eq!(client.version().await.unwrap(), 8);
}

/// Guards against a response that does not list the nodes that failed to respond.
#[tokio::test]
async fn unreachable_node_is_listed_as_missing() {
    let (up, down) = (Node::start(7, ResultCode::Accepted).await, closed_address());
    let output = run_action(&["query", "show versions"], &[down, up.addr]).await.unwrap();
    assert!(output.text.contains(&format!("1 nodes answered, 1 did not: {down}")), "{output:?}");
    let error = run_action(&["query", "show versions"], &[down]).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Failure);
}

/// Guards against an error without the number of the refusal.
#[tokio::test]
async fn refused_query_shows_the_code_number() {
    let node = Node::start(7, ResultCode::Accepted).await;
    let error = run_action(&["query", "show nodes"], &[node.addr]).await.unwrap_err();
    assert!(error.to_string().contains("4005: a token is needed"), "{error}");
}

/// Guards against an exit code that does not match the result of the command.
#[tokio::test]
async fn command_exits_with_the_code_of_its_result() {
    for (code, exit) in [
        (ResultCode::Accepted, Exit::Ok),
        (ResultCode::Conflict, Exit::Conflict),
        (ResultCode::Invalid, Exit::Invalid),
        (ResultCode::CommandUnknown, Exit::Unknown),
        (ResultCode::FloorBreach, Exit::Refused),
    ] {
        let node = Node::start(41, code).await;
        let output =
            run_action(&["query", "raise floor of orders to 60"], &[node.addr]).await.unwrap();
        assert_eq!(output.exit, exit, "{code}");
        let head = format!("{} {code}, version 42: the stand-in says so", code.number());
        assert!(output.text.starts_with(&head), "{}", output.text);
        let change = "services.orders.floor      40     60\n";
        assert!(output.text.contains(change), "{}", output.text);
        assert_eq!(node.received_commands()[0].base, 41);
    }
}

/// Guards against a base or `dry run`, in the text or as an option, that does not reach the node.
#[tokio::test]
async fn suffixes_and_options_reach_the_node() {
    let node = Node::start(41, ResultCode::Accepted).await;
    let text = "drain data centre amherst at version 3";
    run_action(&["query", text, "--dry-run", "--json"], &[node.addr]).await.unwrap();
    run_action(&["query", "drain vm 10.0.0.7 dry run"], &[node.addr]).await.unwrap();
    let received = node.received_commands();
    assert_eq!(
        received.iter().map(|r| (r.base, r.dry_run)).collect::<Vec<_>>(),
        [(3, true), (41, true)]
    );
    assert_ne!(received[0].request_id, received[1].request_id);
}

/// Guards against giving up or changing something twice after the first node's response was lost.
#[tokio::test]
async fn command_with_lost_response_is_repeated_with_the_same_id() {
    let (lost, up) = (closing_server().await, Node::start(41, ResultCode::Accepted).await);
    let client = Client::new(vec![lost, up.addr], None).unwrap();
    let command = Command::SetFloor {
        service: "orders".into(),
        floor: 60,
        direction: redwingtrestle_wire::query::Direction::Raise,
    };
    let response = client.command(command.clone(), 41, "id-1".into(), false).await.unwrap();
    assert_eq!(response.code, 4000);
    assert_eq!((node_ids(&up), up.received_commands()[0].base), (vec!["id-1".to_string()], 41));
    // Without a second node, the result is unknown, unless the call was a dry run.
    let alone = Client::new(vec![lost], None).unwrap();
    let error = alone.command(command.clone(), 41, "id-2".into(), false).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Unknown);
    let error = alone.command(command.clone(), 41, "id-3".into(), true).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Failure);
    // A refusal by the second node does not show whether the first one executed the command.
    let refuses = Node::start(41, ResultCode::Unauthorized).await;
    let both = Client::new(vec![lost, refuses.addr], None).unwrap();
    let error = both.command(command.clone(), 41, "id-5".into(), false).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Unknown);
    // If no connection was made, nothing was changed.
    let down = Client::new(vec![closed_address()], None).unwrap();
    let error = down.command(command, 41, "id-4".into(), false).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Failure);
}

fn node_ids(node: &Node) -> Vec<String> {
    node.received_commands().into_iter().map(|r| r.request_id).collect()
}

/// Guards against comments of a file that reach the node, and against an ignored base.
#[tokio::test]
async fn publish_sends_the_document() {
    let node = Node::start(41, ResultCode::Accepted).await;
    let text = serde_json::to_string(&document(60)).unwrap();
    let path = temp_file("publish.json", &format!("// the floor was raised\n{text}"));
    run_action(&["publish", path.to_str().unwrap(), "--base", "9"], &[node.addr]).await.unwrap();
    let received = node.received_commands();
    assert_eq!(received[0].command, Command::Publish { doc: document(60) });
    assert_eq!((received[0].base, received[0].dry_run), (9, false));
    fs::remove_file(path).unwrap();
}

/// Guards against sending a configuration that every node would reject.
#[tokio::test]
async fn invalid_file_is_not_sent() {
    let node = Node::start(41, ResultCode::Accepted).await;
    let above = serde_json::to_string(&document(91)).unwrap();
    for (text, fault) in [
        (above.as_str(), "services.orders.floor: 91 is above the 90 declared slots"),
        (r#"{"sevrices": {}}"#, "unknown field `sevrices`"),
    ] {
        let path = temp_file("invalid.json", text);
        let words = ["publish", path.to_str().unwrap()];
        let error = run_action(&words, &[node.addr]).await.unwrap_err();
        assert_eq!(error.exit(), Exit::Invalid);
        assert!(error.to_string().contains(fault), "{error}");
        fs::remove_file(path).unwrap();
    }
    assert!(node.received_commands().is_empty());
}

/// Guards against a difference with the old and new values swapped.
#[tokio::test]
async fn diff_compares_with_the_version_in_force() {
    let node = Node::start(41, ResultCode::Accepted).await;
    let path = temp_file("diff.json", &serde_json::to_string(&document(60)).unwrap());
    let output = run_action(&["diff", path.to_str().unwrap()], &[node.addr]).await.unwrap();
    let lines: Vec<&str> = output.text.lines().collect();
    assert_eq!(
        lines,
        [
            "changes from version 41:",
            "path                   before  after",
            "services.orders.floor      40     60",
        ]
    );
    fs::write(&path, serde_json::to_string(&document(40)).unwrap()).unwrap();
    let output = run_action(&["diff", path.to_str().unwrap()], &[node.addr]).await.unwrap();
    assert_eq!(output.text, "no difference from version 41");
    fs::remove_file(path).unwrap();
}

/// Guards against a wait that ends before the last node has the version, or that never ends.
#[tokio::test]
async fn watch_waits_for_every_node() {
    let (a, b) =
        (Node::start(8, ResultCode::Accepted).await, Node::start(7, ResultCode::Accepted).await);
    let nodes = [a.addr, b.addr];
    let late = run_action(&["watch", "8", "--timeout-ms", "300"], &nodes).await.unwrap();
    assert_eq!(late.exit, Exit::Failure);
    let version = b.version.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        *version.lock().unwrap() = 8;
    });
    let reached = run_action(&["watch", "8"], &nodes).await.unwrap();
    assert_eq!(reached.exit, Exit::Ok);
    let down = [a.addr, closed_address()];
    let missing = run_action(&["watch", "8", "--timeout-ms", "300"], &down).await.unwrap();
    assert_eq!(missing.exit, Exit::Failure);
}

/// Guards against counting a node twice, and against a missing plot.
#[tokio::test]
async fn burn_sums_the_counts_of_all_nodes() {
    let (a, b) =
        (Node::start(7, ResultCode::Accepted).await, Node::start(7, ResultCode::Accepted).await);
    let path = temp_file("burn.svg", "");
    let words = ["burn", "--json", "--svg", path.to_str().unwrap()];
    let output = run_action(&words, &[a.addr, b.addr, a.addr]).await.unwrap();
    let value: Value = serde_json::from_str(&output.text).unwrap();
    let row = &value["report"]["rows"][0];
    assert_eq!(row["windows"][3]["counts"]["good"], 180);
    assert_eq!(row["alerts"][1]["firing"], true);
    assert!(fs::read_to_string(&path).unwrap().contains("</svg>"));
    fs::remove_file(path).unwrap();
    let table = run_action(&["query", "show burn"], &[a.addr]).await.unwrap().text;
    assert!(table.contains("-900.0%") && table.contains("360 min at 6x"), "{table}");
}

/// Guards against a token that is not sent, and against a token in errors or debug output.
#[tokio::test]
async fn token_is_sent_and_never_printed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = tokio::spawn(async move {
        // The client opens the first connection only to check that the node is reachable.
        let mut text = String::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 4_096];
            let n = stream.read(&mut bytes).await.unwrap_or(0);
            text.push_str(&String::from_utf8_lossy(&bytes[..n]));
            let _ = stream.write_all(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n").await;
        }
        text
    });
    let client = Client::new(vec![addr], Some("s3cret".into())).unwrap();
    let error = client.query(&Query::Nodes).await.unwrap_err();
    let received = received.await.unwrap();
    assert!(received.to_lowercase().contains("authorization: bearer s3cret\r\n"), "{received}");
    let shown = format!("{client:?} {error} {error:?}");
    assert!(!shown.contains("s3cret"), "{shown}");
    let bad = Client::new(vec![addr], Some("s3cret\n".into())).unwrap_err();
    assert!(!format!("{bad} {bad:?}").contains("s3cret"));
}

fn run_program(words: &[&str]) -> (Option<i32>, String, String) {
    let output =
        process::Command::new(env!("CARGO_BIN_EXE_redwingctl")).args(words).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Guards against exit codes that differ from the documented ones, and against errors on standard output.
#[test]
fn program_uses_the_documented_exit_codes() {
    for (words, exit) in [
        (&["--help"][..], 0),
        (&["--version"], 0),
        (&["load", "--help"], 0),
        (&["codes"], 0),
        (&[], 2),
        (&["walk"], 2),
        (&["query", "shwo nodes", "--node", "127.0.0.1:1"], 2),
        (&["query", "show nodes"], 2),
        (&["query", "show nodes", "--node", "somewhere"], 2),
        (&["query", "show nodes", "--dry-run", "--node", "127.0.0.1:1"], 2),
        (&["query", "show nodes", "--node", "127.0.0.1:1"], 1),
        (&["publish", "/nonexistent/file", "--node", "127.0.0.1:1"], 1),
        (&["load"], 1),
    ] {
        let (code, stdout, stderr) = run_program(words);
        assert_eq!(code, Some(exit), "{words:?}: {stdout}{stderr}");
        assert_eq!(stdout.is_empty(), exit != 0, "{words:?}: {stdout}");
        assert_eq!(stderr.is_empty(), exit == 0, "{words:?}: {stderr}");
    }
}

/// Guards against a `--json` option that `codes` ignores.
#[test]
fn codes_with_json_option_prints_json() {
    let (_, stdout, _) = run_program(&["codes", "--json"]);
    let rows: Vec<Value> = serde_json::from_str(&stdout).unwrap();
    assert!(rows.iter().any(|r| r["number"] == 4004 && r["name"] == "floor_breach"));
}
