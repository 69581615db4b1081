//! Backend servers that leave, and entry VMs that are replaced, seen by several nodes.

mod common;

use common::{addresses, caller, wait_for, Fleet, Start};
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

/// New work for a leaving server must stop within this time on each node.
const BOUND: Duration = Duration::from_secs(3);

const IPS: [&str; 3] = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];

async fn fleet() -> (Fleet, VmList) {
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

/// `Load` is requests in loops from four callers to each node.
struct Load {
    done: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let work = |url: String| {
            let (client, done) = (caller(), done.clone());
            tokio::spawn(async move {
                while !done.load(Ordering::SeqCst) {
                    let answer = client.get(&url).send().await.expect("an answer");
                    assert_eq!(answer.status(), 200);
                }
            })
        };
        let urls = fleet.nodes.iter().flat_map(|n| vec![n.url("/stock"); 4]);
        Load { callers: urls.map(work).collect(), done }
    }

    /// Ends the load and checks that no request has failed.
    async fn end(self) {
        self.done.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.expect("a caller met a failure");
        }
    }
}

/// Waits until server 0 has work, carries out `leave`, and returns how long new work kept arriving.
async fn work_stops<F: Future<Output = ()>>(fleet: &Fleet, leave: impl FnOnce() -> F) -> Duration {
    let arrived = || fleet.servers[0].counters().arrived;
    let before = arrived();
    wait_for("the server has work", || async { (arrived() > before + 50).then_some(()) }).await;
    let start = Instant::now();
    leave().await;
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

async fn work_returns(fleet: &Fleet) {
    let before = fleet.servers[0].counters().arrived;
    wait_for("work returns to the server", || async {
        (fleet.servers[0].counters().arrived > before + 50).then_some(())
    })
    .await;
}

fn config(fleet: &Fleet, base: u64, id: u128, drained: bool) -> u64 {
    let mut config = common::config(&fleet.servers);
    if drained {
        config.drains.servers.push(fleet.servers[0].addr());
    }
    common::publish(&fleet.log, base, id, config)
}

/// Guards against new work for a server that the configuration drains, and against a drain that stays.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_work() {
    let (fleet, _vms) = fleet().await;
    let load = Load::start(&fleet);
    let version = AtomicU64::new(0);
    let took = work_stops(&fleet, || async {
        version.store(config(&fleet, 1, 2, true), Ordering::SeqCst);
    })
    .await;
    println!("drained after {} ms", took.as_millis());
    assert!(took < BOUND, "{took:?}");
    config(&fleet, version.load(Ordering::SeqCst), 3, false);
    work_returns(&fleet).await;
    load.end().await;
}

/// Guards against new work for a server whose VM is to be removed, and against a VM list that is not
/// believed when it takes that back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_on_a_leaving_vm_gets_no_new_work() {
    let (fleet, vms) = fleet().await;
    let load = Load::start(&fleet);
    let vm = fleet.servers[0].addr().ip();
    let took = work_stops(&fleet, || async { vms.set(vm, true) }).await;
    println!("known from the VM list after {} ms", took.as_millis());
    assert!(took < BOUND, "{took:?}");
    vms.set(vm, false);
    work_returns(&fleet).await;
    load.end().await;
}

/// Guards against new work for a server that says itself that it leaves, and against a notice that outlives
/// what the server says.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_that_says_it_leaves_gets_no_new_work() {
    let (fleet, _vms) = fleet().await;
    let load = Load::start(&fleet);
    let took = work_stops(&fleet, || async { fleet.servers[0].set_draining(true) }).await;
    println!("known from the header after {} ms", took.as_millis());
    assert!(took < BOUND, "{took:?}");
    // The notice is confirmed by probes beyond its time to live of 10 s, and no work comes back.
    let (start, before) = (Instant::now(), fleet.servers[0].counters().arrived);
    while start.elapsed() < Duration::from_secs(11) {
        assert_eq!(fleet.servers[0].counters().arrived, before, "after {:?}", start.elapsed());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.servers[0].set_draining(false);
    work_returns(&fleet).await;
    load.end().await;
}

fn docs(fleet: &Fleet) -> impl Iterator<Item = (u64, RecordDoc)> {
    let records = fleet.log.records().into_iter();
    records.filter_map(|r| Some((r.offset, RecordDoc::deserialize(r.record).ok()?)))
}

/// Returns the leader of the only service that the log assigns last.
fn leader(fleet: &Fleet) -> Option<NodeId> {
    let assigned = docs(fleet).filter_map(|(_, d)| match d {
        RecordDoc::LeaderAssigned { node, .. } => Some(node),
        _ => None,
    });
    assigned.last()
}

fn has_left(fleet: &Fleet, peer: std::net::SocketAddr) -> bool {
    docs(fleet).any(|(_, d)| matches!(d, RecordDoc::MemberLeft { node } if node.addr == peer))
}

/// Waits for a leader and returns the position of its node.
async fn leader_position(fleet: &Fleet) -> usize {
    let leader = wait_for("a steward is assigned", || async { leader(fleet) }).await;
    fleet.nodes.iter().position(|n| n.peer == leader.addr).expect("the steward is a node")
}

async fn ran_at(fleet: &Fleet, home: usize) -> String {
    let k = format!("{}.a", fleet.entries(home).await.key_prefix);
    let order =
        fleet.client.post(fleet.nodes[home].url("/orders")).header(header::IDEMPOTENCY_KEY, &k);
    assert_eq!(order.send().await.unwrap().status(), 200);
    k
}

/// Checks that a resend through `node` says that nothing is known of the key, and runs nothing.
async fn is_forgotten(fleet: &Fleet, node: usize, key: &str) {
    let order =
        fleet.client.post(fleet.nodes[node].url("/orders")).header(header::IDEMPOTENCY_KEY, key);
    let answer = order.header(header::ATTEMPT, 2).send().await.expect("the entry answers");
    let code = answer.headers()[header::RESULT_CODE].to_str().unwrap();
    assert!(["1009", "3006"].contains(&code), "{code}");
    assert_eq!(answer.headers()[header::OUTCOME], "unknown");
    assert_eq!(fleet.runs(key), 1);
}

/// Guards against a restarted process that inherits the duties, the membership or the keys of the one that
/// was killed at its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_at_the_same_address_is_another_node() {
    let (mut fleet, vms) = fleet().await;
    let old = leader_position(&fleet).await;
    let before = leader(&fleet).expect("a steward");
    let k = ran_at(&fleet, old).await;
    fleet.nodes[old].signal("KILL");
    fleet.nodes[old].ended().await;
    let (entry, peer) = (fleet.nodes[old].entry, fleet.nodes[old].peer);
    let start = Start {
        ip: IPS[old],
        data_centre: "amherst",
        log: fleet.log.url(),
        seeds: fleet.nodes.iter().map(|n| n.peer).collect(),
        more: format!(",\"vm_list\":\"{}\"", vms.url()),
    };
    drop(fleet.nodes.remove(old));
    fleet.nodes.insert(old, common::spawn(entry, peer, &start));
    wait_for("the old process is recorded as left", || async {
        has_left(&fleet, peer).then_some(())
    })
    .await;
    wait_for("the duty moves to another process", || async {
        leader(&fleet).filter(|s| *s != before)
    })
    .await;
    for node in 0..3 {
        fleet.ready(node).await;
        fleet.meets(node, 3).await;
        is_forgotten(&fleet, node, &k).await;
    }
}

/// Guards against a member that stays recorded, and holds back new ejections, after its VM was removed, and
/// against callers that are sent there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_vm_is_replaced_by_another() {
    let (mut fleet, vms) = fleet().await;
    let old = leader_position(&fleet).await;
    let k = ran_at(&fleet, old).await;
    let (entry, peer) = (fleet.nodes[old].entry, fleet.nodes[old].peer);
    fleet.nodes[old].signal("KILL");
    let start = Instant::now();
    vms.remove(IPS[old].parse().unwrap());
    fleet.nodes[old].ended().await;
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    for node in &others {
        fleet.meets(*node, 2).await;
        assert!(!fleet.entries(*node).await.entries.contains(&entry));
    }
    println!("dropped from the entries answers after {} ms", start.elapsed().as_millis());
    wait_for("the duty moves", || async { leader(&fleet).filter(|s| s.addr != peer) }).await;
    println!("duty moved after {} ms", start.elapsed().as_millis());
    // A VM of another address takes its place.
    let (entry, peer_new) = addresses("127.0.0.5");
    vms.set("127.0.0.5".parse().unwrap(), false);
    let new = Start {
        ip: "127.0.0.5",
        data_centre: "amherst",
        log: fleet.log.url(),
        seeds: vec![fleet.nodes[others[0]].peer],
        more: format!(",\"vm_list\":\"{}\"", vms.url()),
    };
    fleet.nodes.push(common::spawn(entry, peer_new, &new));
    fleet.ready(3).await;
    for node in others.into_iter().chain([3]) {
        fleet.meets(node, 3).await;
        is_forgotten(&fleet, node, &k).await;
    }
    wait_for("the removed node is recorded as left", || async {
        has_left(&fleet, peer).then_some(())
    })
    .await;
    println!("recorded as left after {} ms", start.elapsed().as_millis());
}
