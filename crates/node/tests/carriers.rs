//! Services that only some nodes carry: forwarding, loss and planned stop of a carrier, in processes.

mod common;

use common::{wait_for, Fleet, Load};
use futures_util::future::join_all;
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions},
    log_service::LogService,
    vm_list::VmList,
};
use redwingtrestle_wire::{caller, caller::EntriesReply, config::ConfigDoc};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

const IPS: [&str; 4] = ["127.0.0.12", "127.0.0.13", "127.0.0.14", "127.0.0.15"];

/// The connections of each server. With 6 slots, two nodes carry the service.
const CONNECTIONS: u32 = 12;

fn config(servers: &[Backend], connections: u32) -> ConfigDoc {
    let mut config = common::config(servers);
    let servers = config.services.values_mut().flat_map(|s| &mut s.servers);
    servers.for_each(|s| s.connections = connections);
    config
}

async fn entries(fleet: &Fleet, node: usize) -> Option<EntriesReply> {
    let url = fleet.nodes[node].url("/v1/entries?path=/orders/7&method=POST");
    let bytes = fleet.client.get(url).send().await.ok()?.bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Waits until these nodes name the same `N` carriers, with a prefix of one of them, and returns them.
async fn carriers<const N: usize>(
    fleet: &Fleet,
    nodes: &[usize],
    without: Option<SocketAddr>,
) -> [usize; N] {
    wait_for("the nodes agree on the carriers", || async {
        let replies = join_all(nodes.iter().map(|n| entries(fleet, *n))).await;
        let replies = replies.into_iter().collect::<Option<Vec<_>>>()?;
        let named: BTreeSet<SocketAddr> =
            replies.iter().flat_map(|r| r.entries.iter().copied()).collect();
        let minted = |r: &EntriesReply| {
            let home = r.entries[0].to_string().replace(':', "-");
            r.entries.len() == N && r.key_prefix.starts_with(&format!("{home}-"))
        };
        if named.len() != N
            || !replies.iter().all(minted)
            || named.iter().any(|e| Some(*e) == without)
        {
            return None;
        }
        let place = |e: &SocketAddr| fleet.nodes.iter().position(|n| n.entry == *e);
        let places: Vec<usize> = named.iter().filter_map(place).collect();
        places.try_into().ok()
    })
    .await
}

/// Returns a fleet of which two nodes carry the service, those two and the other two.
async fn start(service_ms: u64) -> (Fleet, VmList, [usize; 2], [usize; 2]) {
    let any = ([127, 0, 0, 1], 0).into();
    let log = LogService::start(any).await.expect("the log starts");
    let vms = VmList::start(any, Duration::ZERO).await.expect("the list of VMs starts");
    IPS.iter().for_each(|ip| vms.set(ip.parse().expect("an address"), false));
    let more = format!(",\"entries_ttl_ms\":1000,\"vm_list\":\"{}\"", vms.url());
    let service_time = Duration::from_millis(service_ms);
    let (slots, answer_bytes) = (100, 100_000);
    let options = BackendOptions { service_time, slots, answer_bytes, ..Default::default() };
    let fleet = Fleet::start_all(log, &IPS, 3, options, &more, |s| config(s, CONNECTIONS)).await;
    let carry: [usize; 2] = carriers(&fleet, &[0, 1, 2, 3], None).await;
    let others: Vec<usize> = (0..4).filter(|n| !carry.contains(n)).collect();
    (fleet, vms, carry, others.try_into().expect("two others"))
}

/// Sends an order of `size` bytes with a key, and returns the outcome that its caller was told.
async fn order(fleet: &Fleet, node: usize, key: &str, size: usize) -> String {
    let order = fleet.client.post(fleet.nodes[node].url("/orders")).body(vec![b'x'; size]);
    let order = order.header(caller::IDEMPOTENCY_KEY, key);
    let answer = order.send().await.expect("the node answers");
    let outcome = answer.headers()[caller::OUTCOME].to_str().expect("text").to_string();
    // A streamed answer breaks when its carrier is lost.
    answer.bytes().await.map_or("unknown".into(), |_| outcome)
}

/// Returns the open connections of a server.
fn connections(server: SocketAddr) -> usize {
    let SocketAddr::V4(server) = server else { panic!("servers have IPv4 addresses") };
    let ip = u32::from_ne_bytes(server.ip().octets());
    let local = format!("{ip:08X}:{:04X}", server.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let open = |l: &&str| l.split_whitespace().nth(1) == Some(&local) && l.contains(" 01 ");
    table.lines().filter(open).count()
}

/// Guards against requests that a node cannot answer because it does not carry their service, a second
/// run of a key on its way through home and carrier, connections above a server's limit, a leader that
/// does not carry its service, and requests that are cut or refused when a carrier stops
/// or stops to be one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_reach_a_carrier_and_its_planned_stop_cuts_none() {
    let (mut fleet, _vms, carry, others) = start(20).await;
    for home in 0..4 {
        let key = format!("{}.a", fleet.entries(home).await.key_prefix);
        let copies = (0..4).map(|entry| order(&fleet, entry, &key, 200_000));
        let told = join_all(copies).await;
        assert!(told.iter().all(|t| t == "ran"), "key of node {home}: {told:?}");
        assert_eq!(fleet.runs(&key), 1, "key of node {home}");
    }
    let mut load = Load::default();
    for node in others {
        load.add(&fleet.client.get(fleet.nodes[node].url("/stock")), "crew-1", 12);
        load.add(&fleet.client.post(fleet.nodes[node].url("/orders")), "crew-2", 6);
    }
    let mut most = 0;
    wait_for("requests run", || {
        let counts = fleet.servers.iter().map(|s| connections(s.addr()));
        most = counts.fold(most, usize::max);
        let done = load.seen().len() > 2_000;
        async move { done.then_some(()) }
    })
    .await;
    println!("most connections of a server: {most} of {CONNECTIONS}");
    assert!(most > 0 && most <= CONNECTIONS as usize, "{most} connections");
    let leads = |n: &usize| !fleet.nodes[*n].lines("this node is the steward").is_empty();
    let leaders: Vec<usize> = (0..4).filter(leads).collect();
    assert!(leaders.iter().all(|s| carry.contains(s)), "{leaders:?} of {carry:?}");
    fleet.nodes[carry[0]].signal("TERM");
    assert!(fleet.nodes[carry[0]].ended().await);
    let rest = [carry[1], others[0], others[1]];
    let [_, _] = carriers(&fleet, &rest, Some(fleet.nodes[carry[0]].entry)).await;
    // One of the two carriers hands on what is queued there.
    common::publish(&fleet.log, 1, 2, config(&fleet.servers, CONNECTIONS / 2));
    let [_] = carriers(&fleet, &rest, None).await;
    // Longer than the routes' deadline, so that a request that is left in a queue is seen to fail.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let failed: Vec<_> = load.seen().into_iter().filter(|s| s.status != 200).collect();
    assert!(failed.is_empty(), "{} failed: {:?}", failed.len(), &failed[..failed.len().min(5)]);
}

/// Guards against a key that runs twice, or whose caller is told a wrong outcome, when the carrier of its
/// request is killed, and against idempotent requests that fail with it and a carrier that nobody replaces.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_carrier_runs_no_key_twice_and_is_replaced() {
    let (mut fleet, vms, carry, others) = start(150).await;
    let mut keys = Vec::new();
    for home in [others[0], others[1]] {
        let prefix = fleet.entries(home).await.key_prefix;
        keys.extend((0..12).map(|i| format!("{prefix}.{i}")));
    }
    let mut load = Load::default();
    for node in others {
        load.add(&fleet.client.get(fleet.nodes[node].url("/stock")), "crew-1", 2);
    }
    let copies = keys.iter().flat_map(|k| others.map(|entry| order(&fleet, entry, k, 100)));
    // The carrier to which the home of the first keys forwards.
    let carrier = entries(&fleet, others[0]).await.expect("an answer").entries[0];
    let dead = carry.into_iter().find(|c| fleet.nodes[*c].entry == carrier).expect("a carrier");
    let killed = fleet.nodes[dead].child.id().to_string();
    let kill = async {
        let is_running = || keys[..12].iter().any(|k| fleet.runs(k) > 0);
        wait_for("an order runs", || async { is_running().then_some(()) }).await;
        std::process::Command::new("kill").args(["-KILL", &killed]).status().expect("kill runs")
    };
    let (told, _) = tokio::join!(join_all(copies), kill);
    let start = Instant::now();
    let mut counts = [0; 3];
    for (key, told) in keys.iter().zip(told.chunks(2)) {
        for (outcome, entry) in told.iter().zip(others) {
            let runs = fleet.runs(key);
            counts[["ran", "not_run", "unknown"].iter().position(|o| o == outcome).unwrap()] += 1;
            assert!(runs <= 1, "{key} ran {runs} times");
            assert!(outcome != "ran" || runs == 1, "{key}: {outcome}, {runs} runs");
            assert!(outcome != "not_run" || runs == 0, "{key}: {outcome}, {runs} runs");
            let again = order(&fleet, entry, key, 100).await;
            assert!(again == *outcome || outcome != "unknown", "{key}: {outcome}, then {again}");
            assert!(fleet.runs(key) <= 1, "{key} ran again");
        }
    }
    println!("ran, not run, unknown: {counts:?}");
    assert!(counts[2] > 0, "no order was in flight at the killed carrier");
    let _ = fleet.nodes[dead].child.wait();
    vms.remove(IPS[dead].parse().expect("an address"));
    let rest: Vec<usize> = (0..4).filter(|n| *n != dead).collect();
    let now: [usize; 2] = carriers(&fleet, &rest, Some(carrier)).await;
    println!("carriers {carry:?}, after a kill {now:?}, replaced after {:?}", start.elapsed());
    let failed: Vec<_> = load.seen().into_iter().filter(|s| s.status != 200).collect();
    assert!(failed.is_empty(), "idempotent requests failed: {failed:?}");
    for node in rest {
        let key = format!("{}.b", fleet.entries(node).await.key_prefix);
        assert_eq!((order(&fleet, node, &key, 100).await.as_str(), fleet.runs(&key)), ("ran", 1));
    }
}
