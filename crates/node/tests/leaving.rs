//! Departing backend servers and replaced entry VMs in a fleet of several nodes.

mod common;

use common::{free_addresses, http_client, wait_for, Fleet, StartOptions};
use redwingtrestle_core::ids::NodeId;
use redwingtrestle_fakes::{backend::BackendOptions, log_service::LogService, vm_list::VmList};
use redwingtrestle_wire::{caller as header, log::RecordDoc};
use serde::Deserialize;
use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// Every node must stop sending new work to a leaving server within this time.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

const IPS: [&str; 3] = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];

async fn start_fleet() -> (Fleet, VmList) {
    let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
    let vms = VmList::start(([127, 0, 0, 1], 0).into(), Duration::ZERO).await.expect("a list");
    for ip in IPS.iter().chain(&["127.0.1.1", "127.0.1.2", "127.0.1.3"]) {
        vms.set(ip.parse().unwrap(), false);
    }
    let more = format!(",\"entries_ttl_ms\":1000,\"vm_list\":\"{}\"", vms.url());
    let options =
        BackendOptions { service_time: Duration::from_millis(20), ..BackendOptions::default() };
    (Fleet::start_at(log, &IPS, 3, options, &more).await, vms)
}

/// Four callers per node that send requests back to back and expect every one to succeed.
struct CheckedLoad {
    done: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl CheckedLoad {
    fn start(fleet: &Fleet) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let work = |url: String| {
            let (client, done) = (http_client(), done.clone());
            tokio::spawn(async move {
                while !done.load(Ordering::SeqCst) {
                    let response = client.get(&url).send().await.expect("a response");
                    assert_eq!(response.status(), 200, "{response:?}");
                }
            })
        };
        let urls = fleet.nodes.iter().flat_map(|n| vec![n.url("/stock"); 4]);
        CheckedLoad { callers: urls.map(work).collect(), done }
    }

    /// Stops the callers and checks that no request has failed.
    async fn end(self) {
        self.done.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.expect("a request of the caller failed");
        }
    }
}

/// Waits until server 0 has work, calls `start_leaving`, and returns how long new work kept arriving after that.
async fn time_until_work_stops<F: Future<Output = ()>>(
    fleet: &Fleet,
    start_leaving: impl FnOnce() -> F,
) -> Duration {
    let arrived = || fleet.servers[0].counters().arrived;
    let before = arrived();
    wait_for("the server has work", || async { (arrived() > before + 50).then_some(()) }).await;
    let start = Instant::now();
    start_leaving().await;
    let (mut last, mut since) = (arrived(), Instant::now());
    wait_for("the server gets no new work", || {
        if arrived() != last {
            (last, since) = (arrived(), Instant::now());
        }
        let quiet = since.elapsed() > Duration::from_millis(500);
        async move { quiet.then_some(()) }
    })
    .await;
    since - start
}

async fn wait_until_work_returns(fleet: &Fleet) {
    let before = fleet.servers[0].counters().arrived;
    wait_for("work returns to the server", || async {
        (fleet.servers[0].counters().arrived > before + 50).then_some(())
    })
    .await;
}

fn publish_drain(fleet: &Fleet, base: u64, id: u128, drained: bool) -> u64 {
    let mut config = common::config(&fleet.servers);
    if drained {
        config.drains.servers.push(fleet.servers[0].addr());
    }
    common::publish(&fleet.log, base, id, config)
}

/// Guards against new work for a server that the configuration drains, and against a drain that outlasts its removal
/// from the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_work() {
    let (fleet, _vms) = start_fleet().await;
    let load = CheckedLoad::start(&fleet);
    let version = AtomicU64::new(0);
    let took = time_until_work_stops(&fleet, || async {
        version.store(publish_drain(&fleet, 1, 2, true), Ordering::SeqCst);
    })
    .await;
    println!("drained after {} ms", took.as_millis());
    assert!(took < DRAIN_BOUND, "{took:?}");
    publish_drain(&fleet, version.load(Ordering::SeqCst), 3, false);
    wait_until_work_returns(&fleet).await;
    load.end().await;
}

/// Guards against new work for a server whose VM will be removed, and against ignoring the VM list when it cancels the
/// removal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_on_a_leaving_vm_gets_no_new_work() {
    let (fleet, vms) = start_fleet().await;
    let load = CheckedLoad::start(&fleet);
    let vm = fleet.servers[0].addr().ip();
    let took = time_until_work_stops(&fleet, || async { vms.set(vm, true) }).await;
    println!("known from the VM list after {} ms", took.as_millis());
    assert!(took < DRAIN_BOUND, "{took:?}");
    vms.set(vm, false);
    wait_until_work_returns(&fleet).await;
    load.end().await;
}

/// Guards against new work for a server that announces its draining in a header, and against a notice that outlasts
/// the announcement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_that_announces_draining_gets_no_new_work() {
    let (fleet, _vms) = start_fleet().await;
    let load = CheckedLoad::start(&fleet);
    let took =
        time_until_work_stops(&fleet, || async { fleet.servers[0].set_draining(true) }).await;
    println!("known from the header after {} ms", took.as_millis());
    assert!(took < DRAIN_BOUND, "{took:?}");
    // Probes renew the notice beyond its time to live of 10 s, so no work returns.
    let (start, before) = (Instant::now(), fleet.servers[0].counters().arrived);
    while start.elapsed() < Duration::from_secs(11) {
        assert_eq!(fleet.servers[0].counters().arrived, before, "after {:?}", start.elapsed());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.servers[0].set_draining(false);
    wait_until_work_returns(&fleet).await;
    load.end().await;
}

fn log_records(fleet: &Fleet) -> impl Iterator<Item = (u64, RecordDoc)> {
    let records = fleet.log.records().into_iter();
    records.filter_map(|r| Some((r.offset, RecordDoc::deserialize(r.record).ok()?)))
}

/// Returns the leader assigned last in the log; there is only one service.
fn leader(fleet: &Fleet) -> Option<NodeId> {
    let assigned = log_records(fleet).filter_map(|(_, d)| match d {
        RecordDoc::LeaderAssigned { node, .. } => Some(node),
        _ => None,
    });
    assigned.last()
}

fn has_left(fleet: &Fleet, peer: std::net::SocketAddr) -> bool {
    log_records(fleet)
        .any(|(_, d)| matches!(d, RecordDoc::MemberLeft { node } if node.addr == peer))
}

/// Waits for a leader and returns the position of its node.
async fn wait_for_leader(fleet: &Fleet) -> usize {
    let leader = wait_for("a leader is assigned", || async { leader(fleet) }).await;
    fleet.nodes.iter().position(|n| n.peer == leader.addr).expect("the leader is a node")
}

async fn run_order(fleet: &Fleet, home: usize) -> String {
    let k = format!("{}.a", fleet.entries(home).await.key_prefix);
    let order =
        fleet.client.post(fleet.nodes[home].url("/orders")).header(header::IDEMPOTENCY_KEY, &k);
    assert_eq!(order.send().await.unwrap().status(), 200);
    k
}

/// Checks that a repeated request through `node` is answered as unknown and runs nothing.
async fn assert_key_is_unknown(fleet: &Fleet, node: usize, key: &str) {
    let order =
        fleet.client.post(fleet.nodes[node].url("/orders")).header(header::IDEMPOTENCY_KEY, key);
    let response = order.header(header::ATTEMPT, 2).send().await.expect("the entry responds");
    let code = response.headers()[header::RESULT_CODE].to_str().unwrap();
    assert!(["1009", "3006"].contains(&code), "{code}");
    assert_eq!(response.headers()[header::OUTCOME], "unknown");
    assert_eq!(fleet.runs(key), 1);
}

/// Guards against a restarted process that inherits the leadership, membership or keys of the process killed at its
/// address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_restarted_at_the_same_address_is_a_new_node() {
    let (mut fleet, vms) = start_fleet().await;
    let old = wait_for_leader(&fleet).await;
    let before = leader(&fleet).expect("a leader");
    let k = run_order(&fleet, old).await;
    fleet.nodes[old].signal("KILL");
    fleet.nodes[old].wait_for_exit().await;
    let (entry, peer) = (fleet.nodes[old].entry, fleet.nodes[old].peer);
    let start = StartOptions {
        ip: IPS[old],
        data_centre: "amherst",
        log_url: fleet.log.url(),
        seeds: fleet.nodes.iter().map(|n| n.peer).collect(),
        extra_settings: format!(",\"vm_list\":\"{}\"", vms.url()),
    };
    drop(fleet.nodes.remove(old));
    fleet.nodes.insert(old, common::spawn(entry, peer, &start));
    wait_for("the old process is recorded as left", || async {
        has_left(&fleet, peer).then_some(())
    })
    .await;
    wait_for("the leadership moves to another process", || async {
        leader(&fleet).filter(|s| *s != before)
    })
    .await;
    for node in 0..3 {
        fleet.wait_until_ready(node).await;
        fleet.wait_for_entries(node, 3).await;
        assert_key_is_unknown(&fleet, node, &k).await;
    }
}

/// Guards against a removed VM that stays a recorded member, which would hold back new ejections, or that is still
/// listed to callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_on_a_removed_vm_is_delisted_and_replaced() {
    let (mut fleet, vms) = start_fleet().await;
    let old = wait_for_leader(&fleet).await;
    let k = run_order(&fleet, old).await;
    let (entry, peer) = (fleet.nodes[old].entry, fleet.nodes[old].peer);
    fleet.nodes[old].signal("KILL");
    let start = Instant::now();
    vms.remove(IPS[old].parse().unwrap());
    fleet.nodes[old].wait_for_exit().await;
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    for node in &others {
        fleet.wait_for_entries(*node, 2).await;
        assert!(!fleet.entries(*node).await.entries.contains(&entry));
    }
    println!("dropped from the entries responses after {} ms", start.elapsed().as_millis());
    wait_for("the leadership moves", || async { leader(&fleet).filter(|s| s.addr != peer) }).await;
    println!("leadership moved after {} ms", start.elapsed().as_millis());
    // A VM with another address replaces it.
    let (entry, new_peer) = free_addresses("127.0.0.5");
    vms.set("127.0.0.5".parse().unwrap(), false);
    let new = StartOptions {
        ip: "127.0.0.5",
        data_centre: "amherst",
        log_url: fleet.log.url(),
        seeds: vec![fleet.nodes[others[0]].peer],
        extra_settings: format!(",\"vm_list\":\"{}\"", vms.url()),
    };
    fleet.nodes.push(common::spawn(entry, new_peer, &new));
    fleet.wait_until_ready(3).await;
    for node in others.into_iter().chain([3]) {
        fleet.wait_for_entries(node, 3).await;
        assert_key_is_unknown(&fleet, node, &k).await;
    }
    wait_for("the removed node is recorded as left", || async {
        has_left(&fleet, peer).then_some(())
    })
    .await;
    println!("recorded as left after {} ms", start.elapsed().as_millis());
}
