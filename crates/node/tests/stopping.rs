//! Planned stops of nodes that run in separate processes.

mod common;

use common::{http_client, wait_for, Fleet};
use futures_util::future::join_all;
use redwingtrestle_core::{
    codes::ResultCode,
    request::{
        idempotency_store::{RunResult, StoredResponse},
        key::RequestKey,
    },
    time::Span,
};
use redwingtrestle_fakes::backend::{BackendOptions, Fault};
use redwingtrestle_node::{homes::CopyDecision, node::Node, settings::Settings};
use redwingtrestle_wire::{
    caller::{self as header, EntriesReply},
    log::RecordDoc,
};
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The shortest lifetime of an entries response that the settings allow.
const ENTRIES_TTL: &str = ",\"entries_ttl_ms\":1000";

/// A stopping node accepts new work for this long: the TTL of the entries responses plus the 3 s within which peers
/// learn of the stop.
const MIN_SERVING_TIME: Duration = Duration::from_secs(4);

async fn start_fleet(nodes: usize, more: &str) -> Fleet {
    let options = BackendOptions { slots: 100, ..BackendOptions::default() };
    Fleet::start_with(nodes, 2, options, &format!("{ENTRIES_TTL}{more}")).await
}

/// Status, outcome, code and whole body of a response.
type Reply = (u16, String, u16, String);

async fn send_order(fleet: &Fleet, node: usize, key: &str, attempt: u32) -> Option<Reply> {
    let request = fleet.client.post(fleet.nodes[node].url("/orders")).body("20 red maple whips");
    let request = request.header(header::IDEMPOTENCY_KEY, key).header(header::ATTEMPT, attempt);
    let response = request.send().await.ok()?;
    let text = |name| response.headers().get(name).map_or("0", |v| v.to_str().unwrap()).to_string();
    let (outcome, code) = (text(header::OUTCOME), text(header::RESULT_CODE).parse().unwrap());
    Some((response.status().as_u16(), outcome, code, response.text().await.ok()?))
}

/// Sends until the response no longer reports that the key's home is unreachable.
async fn reply_after_handover(fleet: &Fleet, node: usize, key: &str, attempt: u32) -> Reply {
    wait_for("the successor responds", || async {
        let reply = send_order(fleet, node, key, attempt).await.expect("the entry responds");
        (reply.2 != 3004 && reply.2 != 3006).then_some(reply)
    })
    .await
}

async fn new_key(fleet: &Fleet, home: usize, name: &str) -> String {
    format!("{}.{name}", fleet.entries(home).await.key_prefix)
}

/// Runs an order under a new key at `home` and returns the key and its response.
async fn run_order(fleet: &Fleet, home: usize, name: &str) -> (String, Reply) {
    let k = new_key(fleet, home, name).await;
    let reply = send_order(fleet, home, &k, 1).await.expect("the home responds");
    assert_eq!((reply.0, reply.2), (200, 0), "{reply:?}");
    (k, reply)
}

/// Returns a node that has taken over the keys of another node.
fn node_with_taken_over_keys(fleet: &Fleet) -> usize {
    let took = |n: &common::NodeProcess| n.log().contains("took over the keys");
    fleet.nodes.iter().position(took).expect("a node has taken over the keys")
}

fn log_records(fleet: &Fleet) -> impl Iterator<Item = RecordDoc> {
    let records = fleet.log.records().into_iter();
    records.filter_map(|r| RecordDoc::deserialize(r.record).ok())
}

fn departure_count(fleet: &Fleet) -> usize {
    log_records(fleet).filter(|d| matches!(d, RecordDoc::MemberLeft { .. })).count()
}

/// Returns the peer address of the leader assigned last in the log.
fn leader(fleet: &Fleet) -> Option<SocketAddr> {
    let leaders = log_records(fleet).filter_map(|d| match d {
        RecordDoc::LeaderAssigned { node, .. } => Some(node.addr),
        _ => None,
    });
    leaders.last()
}

/// Sends requests until `done`, as a caller that follows the entries responses and reuses its connections.
async fn run_caller(first: SocketAddr, done: Arc<AtomicBool>, count: Arc<AtomicU64>) {
    let client = http_client();
    let mut entry = first;
    while !done.load(Ordering::SeqCst) {
        let reply = client.get(format!("http://{entry}/v1/entries")).send().await;
        let bytes = reply.expect("a listed entry responds").bytes().await.unwrap();
        let reply: EntriesReply = serde_json::from_slice(&bytes).unwrap();
        entry = reply.entries[0];
        let (fetched_at, ttl) = (Instant::now(), Duration::from_millis(reply.ttl_ms));
        while fetched_at.elapsed() < ttl && !done.load(Ordering::SeqCst) {
            let i = count.fetch_add(1, Ordering::SeqCst);
            let request = match (i % 2, &reply.key_prefix) {
                (0, prefix) if !prefix.is_empty() => client
                    .post(format!("http://{entry}/orders"))
                    .header(header::IDEMPOTENCY_KEY, format!("{prefix}.{i}")),
                _ => client.get(format!("http://{entry}/stock/{i}")),
            };
            let response = request.send().await.expect("every request gets a response");
            assert_eq!(response.status(), 200, "{:?}", response.headers());
            response.bytes().await.expect("every response is whole");
        }
    }
}

/// Guards against a stop that cuts or refuses requests while callers may still use the node's address, that further
/// signals shorten, that breaks off a streamed response, or that keeps a leadership until the process exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_under_load_cuts_no_request() {
    let mut fleet = start_fleet(3, "").await;
    let old_leader = wait_for("a leader is assigned", || async { leader(&fleet) }).await;
    let position = fleet.nodes.iter().position(|n| n.peer == old_leader).expect("a node");
    fleet.nodes.swap(0, position);
    let (done, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let entry = fleet.nodes[0].entry;
    let callers: Vec<_> =
        (0..8).map(|_| tokio::spawn(run_caller(entry, done.clone(), count.clone()))).collect();
    let size = 24 << 20;
    let long = fleet.client.get(fleet.nodes[0].url(&format!("/maps/1?bytes={size}")));
    let mut long = long.header(header::DEADLINE, 60_000).send().await.unwrap();
    let stopped = Instant::now();
    fleet.nodes[0].signal("TERM");
    fleet.nodes[0].signal("TERM");
    fleet.nodes[0].signal("INT");
    wait_for("the leadership moves", || async {
        (leader(&fleet) != Some(old_leader)).then_some(())
    })
    .await;
    assert!(
        stopped.elapsed() < MIN_SERVING_TIME,
        "the leadership moved after {:?}",
        stopped.elapsed()
    );
    let mut read = 0;
    while let Some(chunk) = long.chunk().await.expect("the long response goes on") {
        read += chunk.len();
        // Reads slowly, so that the response lasts longer than callers may use the node's address.
        let due =
            (MIN_SERVING_TIME + Duration::from_secs(2)).mul_f64(read as f64 / f64::from(size));
        tokio::time::sleep(due.saturating_sub(stopped.elapsed())).await;
    }
    assert_eq!(read, size as usize);
    let listed = fleet.entries(1).await.entries;
    assert!(!listed.contains(&entry) && listed.len() == 2, "{listed:?}");
    assert!(fleet.nodes[0].wait_for_exit().await);
    assert!(stopped.elapsed() >= MIN_SERVING_TIME, "stopped after {:?}", stopped.elapsed());
    println!("stopped after {} ms", stopped.elapsed().as_millis());
    done.store(true, Ordering::SeqCst);
    for caller in join_all(callers).await {
        caller.expect("a request of the caller failed");
    }
    println!("{} requests answered", count.load(Ordering::SeqCst));
    assert_eq!(departure_count(&fleet), 1);
}

/// Guards against cutting the last bytes of a response. The node has passed them to Rocket, and they wait for a slow
/// reader while Rocket shuts down.
///
/// The kernel decides whether they fit into the socket, so the test uses several responses: with Rocket's default
/// grace time one of them was cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_delivers_the_last_bytes_to_slow_readers() {
    let mut fleet = start_fleet(1, "").await;
    let size = 8 << 20;
    let head = format!(
        "GET /maps/1?bytes={size} HTTP/1.1\r\nhost: a\r\n{}: 60000\r\n\r\n",
        header::DEADLINE
    );
    let mut responses = vec![];
    for _ in 0..16 {
        let mut socket = tokio::net::TcpStream::connect(fleet.nodes[0].entry).await.unwrap();
        socket.write_all(head.as_bytes()).await.unwrap();
        let mut response = vec![0; 1024];
        socket.read_exact(&mut response).await.unwrap();
        // Reads only until the node has passed on the last byte.
        let health = || async {
            let health = fleet.client.get(fleet.nodes[0].url("/v1/health")).send().await.unwrap();
            health.text().await.unwrap()
        };
        while !health().await.contains("\"in_flight\":0") {
            let mut chunk = vec![0; 64 * 1024];
            let count = socket.read(&mut chunk).await.unwrap();
            response.extend_from_slice(&chunk[..count]);
        }
        responses.push((socket, response));
    }
    fleet.nodes[0].signal("TERM");
    let refused = wait_for("the node accepts no connections", || async {
        let error = tokio::net::TcpStream::connect(fleet.nodes[0].entry).await.err()?;
        Some((error, Instant::now()))
    })
    .await;
    // By default Rocket cuts open connections after 5 s.
    while refused.1.elapsed() < Duration::from_secs(6) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for (mut socket, mut response) in responses {
        socket.read_to_end(&mut response).await.expect("the response is not cut");
        let start = response.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        assert_eq!(response.len() - start, size);
    }
    assert!(fleet.nodes[0].wait_for_exit().await);
}

/// Guards against losing keys with the stop of their home: a completed key must keep its response, and sealed and
/// unused keys of the old home must not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_answers_for_the_keys_of_a_stopped_home() {
    let mut fleet = start_fleet(3, "").await;
    let (kept, response) = run_order(&fleet, 0, "kept").await;
    let (lost, sealed, fresh) = (
        new_key(&fleet, 0, "lost").await,
        new_key(&fleet, 0, "sealed").await,
        new_key(&fleet, 0, "fresh").await,
    );
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::CutAfter));
    assert_eq!(send_order(&fleet, 0, &lost, 1).await.unwrap().2, 3001);
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::ShedAll));
    assert_eq!(send_order(&fleet, 0, &sealed, 3).await.unwrap().2, 2005);
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::None));
    fleet.nodes[0].signal("TERM");
    // The node refuses unkeyed requests as `not_run` once no caller may use its address any more.
    wait_for("the node takes no new work", || async {
        let view =
            fleet.client.get(fleet.nodes[0].url("/stock/1")).send().await.expect("a response");
        (view.status() == 503 && view.headers()[header::RESULT_CODE] == "2004").then_some(())
    })
    .await;
    assert!(fleet.nodes[0].wait_for_exit().await);
    for node in 1..3 {
        assert_eq!(reply_after_handover(&fleet, node, &kept, 2).await, response);
        assert_eq!(reply_after_handover(&fleet, node, &lost, 2).await.2, 3001);
        assert_eq!(reply_after_handover(&fleet, node, &sealed, 3).await.2, 1008);
        assert_eq!(reply_after_handover(&fleet, node, &fresh, 1).await.2, 1007);
    }
    for node in 1..3 {
        assert_eq!(reply_after_handover(&fleet, node, &sealed, 4).await.0, 200);
    }
    let runs = [&kept, &lost, &sealed, &fresh].map(|k| fleet.runs(k));
    assert_eq!(runs, [1, 1, 1, 0]);
    assert_eq!(departure_count(&fleet), 1);
}

/// Guards against losing keys when two nodes stop at once and when a successor stops later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_survive_two_concurrent_stops_and_the_stop_of_a_successor() {
    let mut fleet = start_fleet(5, "").await;
    let mut orders = vec![];
    for home in 0..2 {
        orders.push(run_order(&fleet, home, "a").await);
    }
    fleet.nodes[0].signal("TERM");
    fleet.nodes[1].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await && fleet.nodes[1].wait_for_exit().await);
    // The two nodes may have chosen the same successor or different ones; the first one found stops next.
    let next = node_with_taken_over_keys(&fleet);
    assert!(next > 1, "a stopping node has taken over keys");
    orders.push(run_order(&fleet, next, "a").await);
    fleet.nodes[next].signal("TERM");
    assert!(fleet.nodes[next].wait_for_exit().await);
    for node in (2..5).filter(|n| *n != next) {
        for (k, response) in &orders {
            assert_eq!(
                reply_after_handover(&fleet, node, k, 2).await,
                *response,
                "through node {node}"
            );
            assert_eq!(fleet.runs(k), 1);
        }
    }
}

/// Guards against a second run of a key after the successor of its home was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_successor_leaves_the_keys_unknown() {
    let mut fleet = start_fleet(3, "").await;
    let (k, _) = run_order(&fleet, 0, "a").await;
    fleet.nodes[0].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await);
    let successor = node_with_taken_over_keys(&fleet);
    fleet.nodes[successor].signal("KILL");
    fleet.nodes[successor].wait_for_exit().await;
    let other = 3 - successor;
    wait_for("the successor is lost", || async {
        let reply = send_order(&fleet, other, &k, 2).await.expect("the entry responds");
        assert_eq!(reply.1, "unknown", "{reply:?}");
        (reply.2 == 1009).then_some(())
    })
    .await;
    assert_eq!(fleet.runs(&k), 1);
}

/// Guards against a stop that exceeds `max_stop_ms` because a backend server hangs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hanging_server_does_not_extend_the_stop_beyond_max_stop() {
    let mut fleet = start_fleet(2, ",\"max_stop_ms\":3000").await;
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::Hang));
    let k = new_key(&fleet, 0, "a").await;
    let request =
        fleet.client.post(fleet.nodes[0].url("/orders")).header(header::IDEMPOTENCY_KEY, &k);
    let request = request.body("20 red maple whips");
    let hung = tokio::spawn(request.header(header::DEADLINE, 60_000).send());
    wait_for("the order runs", || async { (fleet.runs(&k) == 1).then_some(()) }).await;
    let start = Instant::now();
    fleet.nodes[0].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await);
    let took = start.elapsed();
    assert!(took >= Duration::from_secs(3) && took < Duration::from_secs(5), "{took:?}");
    let hung = hung.await.unwrap().expect("the order gets an answer before the end of the stop");
    let code = hung.headers()[header::RESULT_CODE].to_str().unwrap();
    assert_eq!((hung.status().as_u16(), code), (504, "3002"));
    let reply = send_order(&fleet, 1, &k, 2).await.expect("the entry responds");
    assert_eq!((reply.1.as_str(), fleet.runs(&k)), ("unknown", 1), "{reply:?}");
}

/// Guards against a stop that depends on the log, and against a `max_stop_ms` below the serving time that leaves no
/// time for the handover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_stop_during_a_log_outage_hands_over_the_keys() {
    let mut fleet = start_fleet(2, ",\"max_stop_ms\":4000").await;
    let (k, response) = run_order(&fleet, 0, "a").await;
    fleet.log.set_down(true);
    fleet.nodes[0].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await);
    assert_eq!(reply_after_handover(&fleet, 1, &k, 2).await, response);
    assert_eq!(departure_count(&fleet), 0);
}

/// Guards against a stop that waits although the node has no peers or has never served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_without_peers_or_before_serving_is_short() {
    let mut fleet = start_fleet(1, "").await;
    let start = Instant::now();
    fleet.nodes[0].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await);
    println!("a node without peers stopped after {} ms", start.elapsed().as_millis());
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!(departure_count(&fleet), 1);
    fleet.log.set_down(true);
    let (entry, peer) = (fleet.nodes[0].entry, fleet.nodes[0].peer);
    let start = common::StartOptions {
        ip: "127.0.0.1",
        data_centre: "amherst",
        log_url: fleet.log.url(),
        seeds: vec![],
        extra_settings: String::new(),
    };
    drop(fleet.nodes.remove(0));
    fleet.nodes.push(common::spawn(entry, peer, &start));
    wait_for("the node reports that it is not ready", || async {
        let health = fleet.client.get(fleet.nodes[0].url("/v1/health")).send().await.ok()?;
        (health.status() == 503).then_some(())
    })
    .await;
    let start = Instant::now();
    fleet.nodes[0].signal("TERM");
    assert!(fleet.nodes[0].wait_for_exit().await);
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against losing an idempotency store that is too large to be handed over in one call. `REDWING_LARGE=1`
/// tests the largest store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_store_is_handed_over_in_parts() {
    let large = std::env::var_os("REDWING_LARGE").is_some();
    let (keys, sealed_keys, bytes) =
        if large { (199_999, 990_000, 480) } else { (4_000, 20_000, 1_000) };
    let fleet = start_fleet(1, "").await;
    let (entry, peer) = common::free_addresses("127.0.0.1");
    let settings = Settings {
        entry,
        peer,
        log: fleet.log.url(),
        region: "test".into(),
        seeds: vec![fleet.nodes[0].peer],
        entries_ttl: Span::from_millis(200),
        ..Settings::default()
    };
    let node = tokio::task::spawn_blocking(|| Node::start(settings)).await.unwrap();
    let node = node.expect("the node starts");
    fleet.wait_for_entries(0, 2).await;
    let (homes, clock) = (node.shared().local_home.clone(), node.shared().clock);
    let prefix = homes.mint_prefix(clock.now()).unwrap().parse().unwrap();
    let key = |i: u32| RequestKey::new(prefix, &format!("{i:032}")).unwrap();
    for i in 0..keys {
        let CopyDecision::Run(run) = homes.begin(clock.now(), &key(i), 1, 7) else {
            panic!("key {i}")
        };
        let body = Some(vec![b'x'; bytes]);
        run.end(RunResult::Response(StoredResponse { status: 201, headers: vec![], body }));
    }
    for i in keys..keys + sealed_keys {
        homes.refuse(clock.now(), &key(i), 3, ResultCode::Shed);
    }
    let memory = || {
        let status = format!("/proc/{}/status", fleet.nodes[0].child.id());
        let status = std::fs::read_to_string(status).unwrap_or_default();
        status.lines().find(|l| l.starts_with("VmHWM")).unwrap_or("").to_string()
    };
    let (start, before) = (Instant::now(), memory());
    tokio::task::spawn_blocking(|| node.stop()).await.unwrap().expect("the node stops");
    println!(
        "stopped after {} ms; successor: {before}, then {}",
        start.elapsed().as_millis(),
        memory()
    );
    let log = fleet.nodes[0].log();
    println!("{}", log.lines().find(|l| l.contains("took over the keys")).expect("a successor"));
    for i in [0, keys / 2, keys - 1] {
        // The oversized header makes the node refuse the body unread, so it does not compare fingerprints.
        let request = fleet.client.post(fleet.nodes[0].url("/orders"));
        let request = request
            .header(header::IDEMPOTENCY_KEY, key(i).to_string())
            .header("x-a", "x".repeat(17_000));
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 201);
        assert_eq!(response.bytes().await.unwrap().len(), bytes);
    }
    for i in [keys, keys + sealed_keys - 1] {
        assert_eq!(reply_after_handover(&fleet, 0, &key(i).to_string(), 3).await.2, 1008);
    }
}

/// Sends an order with a new key every 80 ms from the beginning of a stop until the node accepts no connection, and
/// returns for each its key and the outcome that its caller got, which is empty for a connection that broke.
async fn send_orders_during_stop(fleet: &Fleet, prefix: &str) -> Vec<(String, String)> {
    let mut orders = vec![];
    let start = Instant::now();
    for i in 0.. {
        assert!(start.elapsed() < common::CONDITION_TIMEOUT, "the stop does not end");
        if tokio::net::TcpStream::connect(fleet.nodes[0].entry).await.is_err() {
            break;
        }
        let key = format!("{prefix}.late-{i}");
        // Each order has a connection of its own, as the node closes connections after their request.
        let request = http_client().post(fleet.nodes[0].url("/orders")).body("20 red maple whips");
        let request = request.header(header::IDEMPOTENCY_KEY, &key).header(header::ATTEMPT, 1);
        orders.push(tokio::spawn(async move {
            let outcome = match request.send().await {
                Ok(r) => r.headers()[header::OUTCOME].to_str().expect("text").to_string(),
                Err(_) => String::new(),
            };
            (key, outcome)
        }));
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    join_all(orders).await.into_iter().map(|o| o.expect("the order ends")).collect()
}

/// Sends orders whose keys have this home through node 0 while it stops.
async fn late_orders_end_with_their_outcome(home: usize, more: &str) {
    let service_time = Duration::from_millis(600);
    let options = BackendOptions { service_time, slots: 100, ..BackendOptions::default() };
    let mut fleet = Fleet::start_with(2, 2, options, &format!("{ENTRIES_TTL}{more}")).await;
    let prefix = fleet.entries(home).await.key_prefix;
    // The node knows the usual response time only after some responses.
    let names: Vec<String> = (0..9).map(|i| format!("early-{i}")).collect();
    join_all(names.iter().map(|name| run_order(&fleet, 0, name))).await;
    fleet.nodes[0].signal("TERM");
    let orders = send_orders_during_stop(&fleet, &prefix).await;
    assert!(fleet.nodes[0].wait_for_exit().await);
    let count = |outcome: &str| orders.iter().filter(|(_, o)| o == outcome).count();
    let counts = ["ran", "not_run", "unknown", ""].map(count);
    println!("home {home}: ran, not run, unknown, connection broken: {counts:?}");
    for (key, outcome) in &orders {
        // A connection that breaks may have been accepted by the kernel only, so its order must not have run.
        let (runs, most) = (fleet.runs(key), u64::from(outcome == "ran" || outcome == "unknown"));
        let least = u64::from(outcome == "ran");
        assert!((least..=most).contains(&runs), "{key}: {outcome:?}, {runs} runs; {counts:?}");
    }
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
    // The node knows neither the queue of another home nor a response that takes longer than usual.
    assert!(counts[2] * 2 <= counts[0], "{counts:?}");
}

/// Guards against orders that come late in a stop, are passed on, and are cut off when the process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_orders_of_a_bounded_stop_are_not_cut() {
    late_orders_end_with_their_outcome(0, ",\"max_stop_ms\":2000").await;
}

/// Guards against the same for orders that the stopping node forwards to the home of their key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_forwarded_orders_of_a_bounded_stop_are_not_cut() {
    late_orders_end_with_their_outcome(1, ",\"max_stop_ms\":2000").await;
}

/// Guards against the same in a stop without a bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_orders_of_an_unbounded_stop_are_not_cut() {
    late_orders_end_with_their_outcome(0, "").await;
}

/// Guards against a stop that callers hold for ever with orders for another home.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_forwarded_orders_do_not_hold_an_unbounded_stop() {
    late_orders_end_with_their_outcome(1, "").await;
}

/// Guards against a node that SIGHUP ends without a planned stop, so that it cuts its callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hang_up_reads_the_settings_again_and_ends_nothing() {
    let mut fleet = Fleet::start_with(1, 1, BackendOptions::default(), ENTRIES_TTL).await;
    let get = || fleet.client.get(fleet.nodes[0].url("/stock")).send();
    let node = &fleet.nodes[0];
    node.signal("HUP");
    wait_for("the settings are read again", || async {
        let lines = node.log_lines("settings read again, changes take effect at the next start");
        (!lines.is_empty()).then_some(())
    })
    .await;
    node.write_settings("{ \"entry\": 7 }");
    node.signal("HUP");
    wait_for("the faults are logged", || async {
        node.log()
            .contains("the settings file is invalid and would fail the next start")
            .then_some(())
    })
    .await;
    assert_eq!(get().await.expect("the node responds").status(), 200);
    node.signal("TERM");
    node.signal("HUP");
    assert!(fleet.nodes[0].wait_for_exit().await, "the planned stop was cut short");
}
