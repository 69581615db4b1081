//! Operators' queries and commands to nodes that run in separate processes.

mod common;

use common::{config, free_addresses, publish, spawn_with_token, start_options, wait_for, Fleet};
use quickcheck::{Arbitrary, Gen};
use redwingtrestle_core::{codes::ResultCode, ids::NodeId, ids::StartId};
use redwingtrestle_ctl::{
    args::{self, CommandLine},
    client::Client,
    error::{Error, Exit},
    run::{self, Output},
};
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions, Fault},
    log_service::LogService,
};
use redwingtrestle_wire::{
    caller,
    config::ConfigDoc,
    log::RecordDoc,
    query::{Command, CommandResponse, Coverage, Direction, Place, Query, QueryResponse},
};
use std::{
    fs,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::io::AsyncReadExt;

/// Runs `redwingctl` with these arguments against one node.
async fn run_ctl(node: SocketAddr, arguments: &[&str]) -> Result<Output, Error> {
    let node = node.to_string();
    let arguments: Vec<&str> = arguments.iter().copied().chain(["--node", &node]).collect();
    match args::parse(&arguments) {
        CommandLine::Action(action) => run::run(action, None).await,
        other => panic!("{arguments:?}: {other:?}"),
    }
}

fn client(node: SocketAddr, token: Option<&str>) -> Client {
    Client::new(vec![node], token.map(Into::into)).expect("a client")
}

async fn run_query(node: SocketAddr, query: Query) -> QueryResponse {
    client(node, None).query(&query).await.expect("the node responds")
}

async fn run_command(
    node: SocketAddr,
    command: Command,
    base: u64,
    dry_run: bool,
) -> CommandResponse {
    let id = format!("{:032x}", rand::random::<u128>());
    client(node, None).command(command, base, id, dry_run).await.expect("the node responds")
}

fn set_floor(floor: u32) -> Command {
    Command::SetFloor { service: "orders".into(), floor, direction: Direction::Either }
}

/// Returns the counts of the rank `normal` in a burn report in JSON: good, late, shed, failed, unknown, refused.
fn normal_counts(report: &str) -> [u64; 6] {
    let report: serde_json::Value = serde_json::from_str(report).expect("JSON");
    let rows = report["report"]["rows"].as_array().expect("rows");
    let normal = rows.iter().find(|r| r["rank"] == "normal").expect("a rank");
    let counts = &normal["windows"][0]["counts"];
    let kinds = ["good", "late", "shed", "failed", "unknown", "refused"];
    kinds.map(|kind| counts[kind].as_u64().expect("a count"))
}

/// Guards against queries and commands that a node does not respond to or answers for itself only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_query_and_command_is_answered() {
    let fleet = Fleet::start(3, 4, BackendOptions::default()).await;
    let node = fleet.nodes[1].peer;
    let server = fleet.servers[0].addr();
    wait_for("the leader is active", || async {
        let QueryResponse::Why(rows) = run_query(node, Query::Why { server }).await else {
            return None;
        };
        rows.rows[0].reason.ends_with("active").then_some(())
    })
    .await;
    let why = format!("why {server}");
    let QueryResponse::Nodes(rows) = run_query(node, Query::Nodes).await else {
        panic!("another response")
    };
    assert!(rows.rows.iter().all(|r| r.uptime_ms < 600_000), "{rows:?}");
    let expected = [
        ("show ejected", "server"),
        ("show ejected for orders", "server"),
        (&why, "below_threshold, steward active"),
        ("show services", "24"),
        ("show ranks of orders", "urgent"),
        ("show nodes", "serving"),
        ("show versions", "heard"),
        ("show drains", "cause"),
        ("show members", "usable"),
        ("show burn", "budget left"),
        ("show stewards", "orders   all "),
        ("show config", "\"floor\": 6"),
    ];
    for (text, part) in expected {
        let output = run_ctl(node, &["query", text]).await.expect(text);
        assert!(output.text.contains(part), "{text}: {}", output.text);
        assert!(output.text.contains("3 nodes answered\n"), "{text}: {}", output.text);
    }
    let error = run_ctl(node, &["query", "show ejected for nothing"]).await.unwrap_err();
    assert_eq!(error.exit(), Exit::Usage);
    let commands = [
        "raise floor of orders to 12".to_string(),
        "lower floor of orders to 10".into(),
        "set floor of orders to 11".into(),
        "set target of urgent in orders to 300 ms".into(),
        "set share of bulk in orders to 12 percent".into(),
        "set objective of urgent in orders to 99.5 percent".into(),
        format!("drain server {server}"),
        format!("undrain server {server}"),
    ];
    for text in &commands {
        let output = run_ctl(node, &["query", text]).await.expect(text);
        assert_eq!(output.exit, Exit::Ok, "{text}: {}", output.text);
    }
    for (text, exit) in [
        ("raise floor of orders to 5", Exit::Invalid),
        ("undrain data centre amherst", Exit::Invalid),
        ("set floor of orders to 7 at version 1", Exit::Conflict),
    ] {
        assert_eq!(run_ctl(node, &["query", text]).await.expect(text).exit, exit, "{text}");
    }
    let mut doc = config(&fleet.servers);
    doc.routes.truncate(2);
    let path = std::env::temp_dir().join(format!("redwing-publish-{}.json", std::process::id()));
    fs::write(&path, serde_json::to_string(&doc).unwrap()).unwrap();
    let file = path.to_str().unwrap();
    let diff = run_ctl(node, &["diff", file]).await.expect("a diff").text;
    assert!(diff.contains("routes[2].path"), "{diff}");
    let published = run_ctl(node, &["publish", file]).await.expect("a response");
    assert_eq!(published.exit, Exit::Ok, "{}", published.text);
    fs::remove_file(&path).unwrap();
    let version = client(node, None).version().await.expect("a version").to_string();
    let watched = run_ctl(node, &["watch", &version]).await.expect("a response");
    assert_eq!(watched.exit, Exit::Ok, "{}", watched.text);
    // Reads the version column, because the age in milliseconds can be equal to the version.
    let column = |line: &str| line.split_whitespace().nth(1).map(str::to_string);
    let versions: Vec<_> = watched.text.lines().skip(1).take(3).map(column).collect();
    assert_eq!(versions, vec![Some(version); 3], "one line for each node: {}", watched.text);
}

/// Guards against accepting both of two racing commands with the same base version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_commands_conflicts() {
    let fleet = Fleet::start(2, 3, BackendOptions::default()).await;
    let base = client(fleet.nodes[0].peer, None).version().await.expect("a version");
    let (a, b) = tokio::join!(
        run_command(fleet.nodes[0].peer, set_floor(8), base, false),
        run_command(fleet.nodes[1].peer, set_floor(9), base, false),
    );
    let mut codes = [a.code, b.code];
    codes.sort_unstable();
    let expected = [ResultCode::Accepted, ResultCode::Conflict].map(ResultCode::number);
    assert_eq!(codes, expected, "{a:?} {b:?}");
    assert_eq!(a.version, b.version);
}

/// Guards against a drain or floor change that takes healthy capacity below the floor, a dry run that changes
/// something, and a second execution of a command that is repeated after a lost response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_that_breaks_the_floor_is_refused_and_dry_run_changes_nothing() {
    let fleet = Fleet::start(1, 4, BackendOptions::default()).await;
    let node = fleet.nodes[0].peer;
    let base = client(node, None).version().await.expect("a version");
    let amherst = || Command::Drain { place: Place::DataCentre("amherst".into()) };
    let refused = run_command(node, amherst(), base, false).await;
    assert_eq!(refused.code, ResultCode::FloorBreach.number(), "{refused:?}");
    let row = &refused.floors[0];
    assert_eq!((row.capacity_before, row.capacity_after, row.floor_after), (24, 0, 6));
    let output = run_ctl(node, &["query", "drain data centre amherst"]).await.expect("a response");
    assert_eq!(output.exit, Exit::Refused);
    assert!(output.text.contains("orders would have 0 healthy slots (now 24)"), "{}", output.text);
    let dry = run_command(node, set_floor(20), base, true).await;
    assert_eq!((dry.code, dry.dry_run), (ResultCode::Accepted.number(), true));
    assert_eq!(dry.change[0].after.as_deref(), Some("20"));
    assert_eq!(client(node, None).version().await.expect("a version"), base);
    let id = format!("{:032x}", 77);
    let first = client(node, None).command(set_floor(20), base, id.clone(), false).await.unwrap();
    let again = client(node, None).command(set_floor(20), base, id, false).await.unwrap();
    assert_eq!(first.code, ResultCode::Accepted.number(), "{first:?}");
    assert_eq!((again.code, again.version), (first.code, first.version));
    let drain = Command::Drain { place: Place::Server(fleet.servers[0].addr()) };
    let drained = run_command(node, drain, first.version.unwrap(), false).await;
    assert_eq!(drained.code, ResultCode::FloorBreach.number(), "{drained:?}");
}

/// Guards against commands that are accepted without the token, and against a token in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_without_the_token_is_refused() {
    let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
    publish(&log, 0, 1, Default::default());
    let (entry, peer) = free_addresses("127.0.0.1");
    let start = start_options(&log, &[], ",\"log_filter\":\"trace\"");
    let node = spawn_with_token(entry, peer, &start, Some("orchard-7Q"));
    let version = wait_for("the node responds without a token", || async {
        client(peer, None).version().await.ok().filter(|v| *v > 0)
    })
    .await;
    let publish = || Command::Publish { doc: Default::default() };
    for token in [None, Some("orchard-7q"), Some("orchard-7Q2"), Some("")] {
        let call = client(peer, token).command(publish(), version, "0".repeat(32), true).await;
        let number = i32::from(ResultCode::Unauthorized.number());
        assert!(matches!(call, Err(Error::Refused { number: n, .. }) if n == number), "{token:?}");
    }
    let allowed = client(peer, Some("orchard-7Q"));
    let call = allowed.command(publish(), version, "0".repeat(32), true);
    assert_eq!(call.await.expect("allowed").code, ResultCode::Accepted.number());
    assert!(!node.log().to_lowercase().contains("orchard-7q"), "the token is in the log");
}

/// Guards against queries that depend on the log, and against commands with a definite result during a log outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_are_answered_during_a_log_outage() {
    let fleet = Fleet::start(2, 3, BackendOptions::default()).await;
    let node = fleet.nodes[0].peer;
    let base = client(node, None).version().await.expect("a version");
    fleet.log.set_down(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    let QueryResponse::Services(rows) = run_query(node, Query::Services).await else {
        panic!("another response")
    };
    assert_eq!((rows.rows[0].healthy, rows.coverage.answered.len()), (18, 2));
    assert!(start.elapsed() < Duration::from_secs(3));
    let output = run_ctl(node, &["query", "set floor of orders to 7"]).await.expect("a response");
    assert_eq!(output.exit, Exit::Unknown, "{}", output.text);
    assert_eq!(client(node, None).version().await.expect("a version"), base);
}

/// Guards against a response that omits an unresponsive node or is delayed by it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_node_is_reported_as_missing() {
    let fleet = Fleet::start(3, 3, BackendOptions::default()).await;
    let (node, frozen) = (fleet.nodes[0].peer, &fleet.nodes[2]);
    frozen.signal("STOP");
    let start = Instant::now();
    let QueryResponse::Versions(rows) = run_query(node, Query::Versions).await else {
        panic!("another response")
    };
    let took = start.elapsed();
    frozen.signal("CONT");
    assert_eq!(rows.coverage.missing, [frozen.peer.to_string()]);
    assert_eq!((rows.coverage.answered.len(), rows.rows.len()), (2, 2));
    assert!(took < Duration::from_secs(3), "the response took {took:?}");
}

/// Guards against a query that calls all nodes of a large fleet at once, a node that is neither called nor reported
/// as missing, and hanging nodes that keep the query from nodes that would respond.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn query_limits_concurrent_calls_to_nodes() {
    let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
    // The nodes' addresses are above those of the other members, so calls in order of address do not reach them first.
    let fleet = Fleet::start_at(log, &["127.0.0.3"; 2], 2, BackendOptions::default(), "").await;
    let (open, most, hold) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicU64::new(20));
    let (counts, mut others) = (Arc::new((open, most, hold)), Vec::new());
    for i in 0..200u64 {
        let listener = tokio::net::TcpListener::bind("127.0.0.2:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let data_centre = Arc::from("amherst");
        let join =
            RecordDoc::MemberJoined { node: NodeId { addr, start: StartId(i) }, data_centre };
        fleet.log.append(serde_json::to_value(join).expect("JSON"));
        let (counts, call_count) = (counts.clone(), Arc::new(AtomicUsize::new(0)));
        others.push((addr, call_count.clone()));
        tokio::spawn(async move {
            while let Ok((mut call, _)) = listener.accept().await {
                call_count.fetch_add(1, SeqCst);
                counts.1.fetch_max(counts.0.fetch_add(1, SeqCst) + 1, SeqCst);
                let counts = counts.clone();
                tokio::spawn(async move {
                    // A query that times out closes its calls, so the next query starts without open calls.
                    let hold = Duration::from_millis(counts.2.load(SeqCst));
                    let mut bytes = [0; 1024];
                    let closed = async { while matches!(call.read(&mut bytes).await, Ok(1..)) {} };
                    let _ = tokio::time::timeout(hold, closed).await;
                    counts.0.fetch_sub(1, SeqCst);
                });
            }
        });
    }
    let mut expected: Vec<_> = others.iter().map(|(addr, _)| addr.to_string()).collect();
    expected.sort();
    for hangs in [false, true] {
        counts.2.store(if hangs { 3_000 } else { 20 }, SeqCst);
        let called_once =
            || others.iter().filter(|(_, call_count)| call_count.load(SeqCst) == 1).count();
        // Repeats the query until the nodes have read the records, and if the machine stalls during a query.
        let (mut missing, answered) = wait_for("all members are known and called", || async {
            others.iter().for_each(|(_, call_count)| call_count.store(0, SeqCst));
            let response = run_query(fleet.nodes[0].peer, Query::Versions).await;
            let QueryResponse::Versions(rows) = response else { panic!("another response") };
            let Coverage { missing, answered } = rows.coverage;
            let all = missing.len() == 200 && called_once() == if hangs { 64 } else { 200 };
            all.then_some((missing, answered.len()))
        })
        .await;
        missing.sort();
        assert_eq!((missing, answered), (expected.clone(), 2), "hanging: {hangs}");
    }
    let most = counts.1.load(SeqCst);
    assert!((32..=64).contains(&most), "{most} calls at once");
}

/// Guards against an ejection whose reason operators cannot query, and against requests missing from the burn report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ejection_is_explained_and_burn_report_counts_all_requests() {
    let fleet = Fleet::start(2, 4, BackendOptions::default()).await;
    let node = fleet.nodes[1].peer;
    let failing = fleet.servers[0].addr();
    let load = async {
        let mut sent = 0u64;
        loop {
            for (i, entry) in fleet.nodes.iter().enumerate() {
                let request = fleet.client.get(entry.url("/stock"));
                let _ = request.header("redwing-workspace", format!("crew-{i}")).send().await;
                sent += 1;
            }
            if sent == 100 {
                fleet.servers[0].set_fault(Fault::Fail(1.0));
            }
            let QueryResponse::Ejected(rows) =
                run_query(node, Query::Ejected { service: None }).await
            else {
                panic!("another response")
            };
            if rows.rows.iter().any(|r| r.steward) {
                return (sent, rows.rows);
            }
        }
    };
    let (sent, rows) =
        tokio::time::timeout(common::CONDITION_TIMEOUT, load).await.expect("an ejection");
    assert_eq!(rows.len(), 1, "one row for a server: {rows:?}");
    assert_eq!(rows[0].server, failing);
    assert!(rows[0].age_ms < 5_000 && rows[0].term > 0, "{rows:?}");
    assert!(
        rows[0].reason.contains(" bad and 0 slow of ") && rows[0].reason.contains("floor 6"),
        "{rows:?}"
    );
    let QueryResponse::Why(why) = run_query(node, Query::Why { server: failing }).await else {
        panic!()
    };
    let row = &why.rows[0];
    assert!(row.steward && row.bad > 0 && row.score >= row.threshold, "{row:?}");
    assert_eq!((row.floor, row.up, row.outstanding, row.budget), (6, 24, 6, 12), "{row:?}");
    let svg = std::env::temp_dir().join(format!("redwing-burn-{}.svg", std::process::id()));
    let arguments = ["burn", "--json", "--svg", svg.to_str().unwrap()];
    let output = run_ctl(node, &arguments).await.expect("a report");
    let plot = fs::read_to_string(&svg).expect("a plot");
    fs::remove_file(&svg).unwrap();
    assert!(plot.contains("<svg"));
    let counts = normal_counts(&output.text);
    // The last two responses may be counted after their callers have received them.
    let total: u64 = counts.iter().sum();
    assert!(total <= sent && total + 2 >= sent, "{total} of {sent}: {counts:?}");
    assert!(counts[0] > 0);
}

/// Returns a configuration whose targets and deadlines no request exceeds, however slow the machine is.
fn unhurried_config(servers: &[Backend]) -> ConfigDoc {
    const MINUTE_MS: u64 = 60_000;
    let mut config = config(servers);
    let ranks = config.services.values_mut().flat_map(|service| &mut service.ranks);
    ranks.for_each(|rank| rank.target_ms = MINUTE_MS);
    config.routes.iter_mut().for_each(|route| route.deadline_ms = MINUTE_MS);
    config
}

/// Guards against differences between the burn report and OPERATIONS.md for requests with a forged forwarding header
/// and for requests whose caller disconnects before or during the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_and_abandoned_requests_are_counted_as_documented() {
    let service_time = Duration::from_millis(300);
    let options = BackendOptions { service_time, response_bytes: 32 << 20, ..Default::default() };
    let fleet = Fleet::start_config(2, 1, options, "", unhurried_config).await;
    let node = &fleet.nodes[0];
    let counted = async || {
        normal_counts(&run_ctl(node.peer, &["burn", "--json"]).await.expect("a report").text)
    };
    let answered = async |count: u64| {
        let line = format!("service=\"orders\",rank=\"normal\",code=\"0\"}} {count}\n");
        wait_for("the metric counts", || async {
            let metrics = fleet.client.get(node.url("/v1/metrics")).send().await.ok()?;
            metrics.text().await.ok()?.contains(&line).then_some(())
        })
        .await;
    };
    let get = || fleet.client.get(node.url("/stock"));
    let forged = get().header(caller::FORWARDED, "1").send().await.expect("a response");
    assert_eq!(forged.bytes().await.expect("a whole response").len(), 32 << 20);
    answered(1).await;
    assert_eq!(counted().await, [0; 6], "a request with a forged header is not in the report");
    let early = get().timeout(Duration::from_millis(100)).send().await;
    assert!(early.expect_err("the caller times out").is_timeout());
    answered(2).await;
    assert_eq!(counted().await, [1, 0, 0, 0, 0, 0], "counted by the request's result");
    let mut partly_read = get().send().await.expect("a response");
    partly_read.chunk().await.expect("a part").expect("a part");
    drop(partly_read);
    answered(3).await;
    assert_eq!(
        counted().await,
        [2, 0, 0, 0, 0, 0],
        "counted by the status that the caller received"
    );
    let key = format!("{}.forged", fleet.entries(1).await.key_prefix);
    let order = fleet.client.post(node.url("/orders")).header(caller::IDEMPOTENCY_KEY, key);
    let order = order.header(caller::FORWARDED, "1").send().await.expect("a response");
    assert_eq!(
        order.headers()[caller::RESULT_CODE],
        "1009",
        "a request with a forged header is not forwarded to its home"
    );
}

/// Guards against malformed TCP or UDP input on the peer port that ends a thread of the node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn arbitrary_bytes_do_not_stop_a_node() {
    let fleet = Fleet::start(1, 2, BackendOptions::default()).await;
    let node = &fleet.nodes[0];
    let url = format!("http://{}", node.peer);
    let udp = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let mut gen = Gen::from_size_and_seed(40, 7);
    let methods = ["query", "command", "config.fetch", "ledger"];
    for _ in 0..300 {
        let bytes = Vec::<u8>::arbitrary(&mut gen);
        let _ = udp.send_to(&bytes, node.peer).await;
        let _ = udp.send_to(&[&[1], &bytes[..]].concat(), node.peer).await;
        let text = String::arbitrary(&mut gen);
        let number = i64::arbitrary(&mut gen);
        let shapes = [
            serde_json::json!({ "query": { "ask": text, "server": number } }),
            serde_json::json!({ "query": { "ask": "why", "server": text } }),
            serde_json::json!({ "command": { "change": "set_floor", "floor": number } }),
            serde_json::json!({
                "command": { "change": "set_target", "service": "orders", "rank": "urgent",
                    "target_ms": number as u64 },
                "base": 1, "request_id": text, "dry_run": true
            }),
            serde_json::json!(number),
        ];
        let param = gen.choose(&shapes);
        let method = gen.choose(&methods).expect("a method");
        let call = serde_json::json!({
            "jsonrpc": "2.0", "id": 1, "method": method, "params": [param]
        });
        for body in [bytes, call.to_string().into_bytes()] {
            let request = fleet.client.post(&url).header("content-type", "application/json");
            let _ = request.body(body).send().await;
        }
    }
    let id = NodeId { addr: node.peer, start: StartId(0) };
    let QueryResponse::Nodes(rows) = run_query(id.addr, Query::Nodes).await else {
        panic!("another response")
    };
    assert_eq!(rows.rows[0].state, "serving");
    assert!(!node.log().contains("panicked"), "{}", node.log());
}

/// Guards against a fleet with an empty log that refuses its first configuration or needs a restart to serve it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_configuration_on_an_empty_log_is_served_without_restart() {
    let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
    let server = Backend::start(BackendOptions::default()).await.expect("a backend server starts");
    let (entry, peer) = free_addresses("127.0.0.1");
    let start = start_options(&log, &[], "");
    let _node = spawn_with_token(entry, peer, &start, None);
    wait_for("the node responds", || async { client(peer, None).version().await.ok() }).await;
    let refused = run_ctl(peer, &["query", "set floor of orders to 5"]).await.expect("a response");
    assert_eq!(refused.exit, Exit::Invalid, "{}", refused.text);
    let doc = serde_json::to_string(&config(std::slice::from_ref(&server))).unwrap();
    let path = std::env::temp_dir().join(format!("redwing-first-{}.json", std::process::id()));
    fs::write(&path, doc).unwrap();
    let arguments = ["publish", "--base", "0", path.to_str().unwrap()];
    let output = run_ctl(peer, &arguments).await.expect("a response");
    fs::remove_file(&path).unwrap();
    assert_eq!(output.exit, Exit::Ok, "{}", output.text);
    wait_for("the node serves", || async {
        let reply = common::http_client().get(format!("http://{entry}/stock")).send().await.ok()?;
        reply.status().is_success().then_some(())
    })
    .await;
}
