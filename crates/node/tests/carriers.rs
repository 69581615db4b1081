//! Services that only some nodes carry: forwarding to a carrier, its crash and its planned stop, with nodes in
//! separate processes.

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

/// The connection limit of each server. With 6 slots per server, two nodes carry the service.
const CONNECTIONS: u32 = 12;

fn config(servers: &[Backend], connections: u32) -> ConfigDoc {
    let mut config = common::config(servers);
    let servers = config.services.values_mut().flat_map(|s| &mut s.servers);
    servers.for_each(|s| s.connections = connections);
    config
}

async fn order_entries(fleet: &Fleet, node: usize) -> Option<EntriesReply> {
    let url = fleet.nodes[node].url("/v1/entries?path=/orders/7&method=POST");
    let bytes = fleet.client.get(url).send().await.ok()?.bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Waits until these nodes list the same `N` carriers, with a key prefix of the first listed one, and returns them.
/// `without` is an entry that must not be listed.
async fn wait_for_carriers<const N: usize>(
    fleet: &Fleet,
    nodes: &[usize],
    without: Option<SocketAddr>,
) -> [usize; N] {
    wait_for("the nodes agree on the carriers", || async {
        let replies = join_all(nodes.iter().map(|n| order_entries(fleet, *n))).await;
        let replies = replies.into_iter().collect::<Option<Vec<_>>>()?;
        let listed: BTreeSet<SocketAddr> =
            replies.iter().flat_map(|r| r.entries.iter().copied()).collect();
        let has_prefix = |r: &EntriesReply| {
            let home = r.entries[0].to_string().replace(':', "-");
            r.entries.len() == N && r.key_prefix.starts_with(&format!("{home}-"))
        };
        if listed.len() != N
            || !replies.iter().all(has_prefix)
            || listed.iter().any(|e| Some(*e) == without)
        {
            return None;
        }
        let position = |e: &SocketAddr| fleet.nodes.iter().position(|n| n.entry == *e);
        let positions: Vec<usize> = listed.iter().filter_map(position).collect();
        positions.try_into().ok()
    })
    .await
}

/// Starts a fleet of four nodes and returns it with its VM list, the two carriers of the service and the other two
/// nodes.
async fn start_fleet(service_ms: u64) -> (Fleet, VmList, [usize; 2], [usize; 2]) {
    let loopback = ([127, 0, 0, 1], 0).into();
    let log = LogService::start(loopback).await.expect("the log starts");
    let vms = VmList::start(loopback, Duration::ZERO).await.expect("the VM list starts");
    IPS.iter().for_each(|ip| vms.set(ip.parse().expect("an address"), false));
    let more = format!(",\"entries_ttl_ms\":1000,\"vm_list\":\"{}\"", vms.url());
    let service_time = Duration::from_millis(service_ms);
    let (slots, response_bytes) = (100, 100_000);
    let options = BackendOptions { service_time, slots, response_bytes, ..Default::default() };
    let fleet = Fleet::start_all(log, &IPS, 3, options, &more, |s| config(s, CONNECTIONS)).await;
    let carriers: [usize; 2] = wait_for_carriers(&fleet, &[0, 1, 2, 3], None).await;
    let others: Vec<usize> = (0..4).filter(|n| !carriers.contains(n)).collect();
    (fleet, vms, carriers, others.try_into().expect("two others"))
}

/// Sends an order of `size` bytes with a key and returns the outcome that its caller received.
async fn send_order(fleet: &Fleet, node: usize, key: &str, size: usize) -> String {
    let order = fleet.client.post(fleet.nodes[node].url("/orders")).body(vec![b'x'; size]);
    let order = order.header(caller::IDEMPOTENCY_KEY, key);
    let response = order.send().await.expect("the node responds");
    let outcome = response.headers()[caller::OUTCOME].to_str().expect("text").to_string();
    // A streamed response breaks off when its carrier is killed, which leaves the outcome unknown.
    response.bytes().await.map_or("unknown".into(), |_| outcome)
}

/// Returns the number of open connections to a server.
fn connection_count(server: SocketAddr) -> usize {
    let SocketAddr::V4(server) = server else { panic!("servers have IPv4 addresses") };
    let ip = u32::from_ne_bytes(server.ip().octets());
    let local = format!("{ip:08X}:{:04X}", server.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the connection table can be read");
    let open = |l: &&str| l.split_whitespace().nth(1) == Some(&local) && l.contains(" 01 ");
    table.lines().filter(open).count()
}

/// Guards against nodes that cannot serve requests for services they do not carry, a second run of a key that passes
/// its home and a carrier, connections above a server's limit, a leader that is no carrier of its service, and requests
/// that are cut or refused when a carrier stops or ceases to be a carrier.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_are_forwarded_to_a_carrier_and_survive_its_planned_stop() {
    let (mut fleet, _vms, carriers, others) = start_fleet(20).await;
    for home in 0..4 {
        let key = format!("{}.a", fleet.entries(home).await.key_prefix);
        let copies = (0..4).map(|entry| send_order(&fleet, entry, &key, 200_000));
        let outcomes = join_all(copies).await;
        assert!(outcomes.iter().all(|t| t == "ran"), "key of node {home}: {outcomes:?}");
        assert_eq!(fleet.runs(&key), 1, "key of node {home}");
    }
    let mut load = Load::default();
    for node in others {
        load.add(&fleet.client.get(fleet.nodes[node].url("/stock")), "crew-1", 12);
        load.add(&fleet.client.post(fleet.nodes[node].url("/orders")), "crew-2", 6);
    }
    let mut most_connections = 0;
    wait_for("requests run", || {
        let counts = fleet.servers.iter().map(|s| connection_count(s.addr()));
        most_connections = counts.fold(most_connections, usize::max);
        let done = load.finished().len() > 2_000;
        async move { done.then_some(()) }
    })
    .await;
    println!("most connections of a server: {most_connections} of {CONNECTIONS}");
    assert!(
        most_connections > 0 && most_connections <= CONNECTIONS as usize,
        "{most_connections} connections"
    );
    let is_leader = |n: &usize| !fleet.nodes[*n].log_lines("this node is the steward").is_empty();
    let leaders: Vec<usize> = (0..4).filter(is_leader).collect();
    assert!(leaders.iter().all(|s| carriers.contains(s)), "{leaders:?} of {carriers:?}");
    fleet.nodes[carriers[0]].signal("TERM");
    assert!(fleet.nodes[carriers[0]].wait_for_exit().await);
    let rest = [carriers[1], others[0], others[1]];
    let [_, _] = wait_for_carriers(&fleet, &rest, Some(fleet.nodes[carriers[0]].entry)).await;
    // With half the connections one node carries the service, and the other one forwards its queued requests.
    common::publish(&fleet.log, 1, 2, config(&fleet.servers, CONNECTIONS / 2));
    let [_] = wait_for_carriers(&fleet, &rest, None).await;
    // 6 s are longer than the routes' deadline, so a request left in a queue fails within that time.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let failed: Vec<_> = load.finished().into_iter().filter(|s| s.status != 200).collect();
    assert!(failed.is_empty(), "{} failed: {:?}", failed.len(), &failed[..failed.len().min(5)]);
}

/// Guards against a second run or a wrong outcome of a key when the carrier of its request is killed, against
/// idempotent requests that fail with the carrier, and against a carrier that is not replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_carrier_runs_no_key_twice_and_is_replaced() {
    let (mut fleet, vms, carriers, others) = start_fleet(150).await;
    let mut keys = Vec::new();
    for home in [others[0], others[1]] {
        let prefix = fleet.entries(home).await.key_prefix;
        keys.extend((0..12).map(|i| format!("{prefix}.{i}")));
    }
    let mut load = Load::default();
    for node in others {
        load.add(&fleet.client.get(fleet.nodes[node].url("/stock")), "crew-1", 2);
    }
    let copies = keys.iter().flat_map(|k| others.map(|entry| send_order(&fleet, entry, k, 100)));
    // The home of the first keys forwards to this carrier.
    let carrier = order_entries(&fleet, others[0]).await.expect("a response").entries[0];
    let killed_carrier =
        carriers.into_iter().find(|c| fleet.nodes[*c].entry == carrier).expect("a carrier");
    let kill = async {
        let is_running = || keys[..12].iter().any(|k| fleet.runs(k) > 0);
        wait_for("an order runs", || async { is_running().then_some(()) }).await;
        fleet.nodes[killed_carrier].signal("KILL");
    };
    let (outcomes, _) = tokio::join!(join_all(copies), kill);
    let start = Instant::now();
    let mut counts = [0; 3];
    for (key, outcomes) in keys.iter().zip(outcomes.chunks(2)) {
        for (outcome, entry) in outcomes.iter().zip(others) {
            let runs = fleet.runs(key);
            counts[["ran", "not_run", "unknown"].iter().position(|o| o == outcome).unwrap()] += 1;
            assert!(runs <= 1, "{key} ran {runs} times");
            assert!(outcome != "ran" || runs == 1, "{key}: {outcome}, {runs} runs");
            assert!(outcome != "not_run" || runs == 0, "{key}: {outcome}, {runs} runs");
            let again = send_order(&fleet, entry, key, 100).await;
            assert!(again == *outcome || outcome != "unknown", "{key}: {outcome}, then {again}");
            assert!(fleet.runs(key) <= 1, "{key} ran again");
        }
    }
    println!("ran, not run, unknown: {counts:?}");
    assert!(counts[2] > 0, "no order was in flight at the killed carrier");
    let _ = fleet.nodes[killed_carrier].child.wait();
    vms.remove(IPS[killed_carrier].parse().expect("an address"));
    let rest: Vec<usize> = (0..4).filter(|n| *n != killed_carrier).collect();
    let now: [usize; 2] = wait_for_carriers(&fleet, &rest, Some(carrier)).await;
    println!("carriers {carriers:?}, after a kill {now:?}, replaced after {:?}", start.elapsed());
    let failed: Vec<_> = load.finished().into_iter().filter(|s| s.status != 200).collect();
    assert!(failed.is_empty(), "idempotent requests failed: {failed:?}");
    for node in rest {
        let key = format!("{}.b", fleet.entries(node).await.key_prefix);
        assert_eq!(
            (send_order(&fleet, node, &key, 100).await.as_str(), fleet.runs(&key)),
            ("ran", 1)
        );
    }
}
