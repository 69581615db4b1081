//! Frozen, killed and cut-off nodes, and overload, in separate processes.

mod common;

use common::{
    addresses, config, free_port, publish, spawn, start_of, time_now, wait_for, Fleet, Load, Start,
};
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions, Fault},
    link::DatagramLink,
    log_service::LogService,
    vm_list::VmList,
};
use redwingtrestle_wire::{caller, config::ConfigDoc};
use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

/// The slots that the configuration declares for a server. The stand-ins run more at once, so that their
/// counters show leases above it.
const SLOTS: usize = 6;

/// Returns six servers that run far more requests at once than the configuration allows.
async fn servers() -> Vec<Backend> {
    let service_time = Duration::from_millis(20);
    let options = BackendOptions { service_time, slots: 100, ..BackendOptions::default() };
    let mut servers = Vec::new();
    for seed in 0..6 {
        let options = BackendOptions { seed, ..options.clone() };
        servers.push(Backend::start(options).await.expect("a backend server starts"));
    }
    servers
}

/// Returns a configuration under which two of the six servers may be out of use.
fn two_out(servers: &[Backend]) -> ConfigDoc {
    let mut config = config(servers);
    config.services.values_mut().for_each(|s| s.floor = 24);
    config
}

/// Starts a fleet of one node on each of these VMs.
async fn start(ips: &[&'static str]) -> (Fleet, VmList, Load) {
    let any = ([127, 0, 0, 1], 0).into();
    let log = LogService::start(any).await.expect("the log starts");
    let vms = VmList::start(any, Duration::ZERO).await.expect("the list of VMs starts");
    let servers = servers().await;
    publish(&log, 0, 1, two_out(&servers));
    let addrs: Vec<_> = ips.iter().map(|ip| addresses(ip)).collect();
    for (_, peer) in &addrs {
        vms.set(peer.ip(), false);
    }
    let start = start_of(&log, &addrs, &format!(",\"vm_list\":\"{}\"", vms.url()));
    let nodes = addrs.iter().map(|(entry, peer)| spawn(*entry, *peer, &start)).collect();
    let fleet = Fleet::gather(nodes, log, servers).await;
    let mut load = Load::default();
    for node in &fleet.nodes {
        load.add(&fleet.client.get(node.url("/stock")), "crew-1", 6);
        load.add(&fleet.client.get(node.url("/maps")), "crew-2", 4);
    }
    wait_for("every server has work", || async {
        fleet.servers.iter().all(|s| s.counters().ran > 100).then_some(())
    })
    .await;
    (fleet, vms, load)
}

/// Returns the nodes that have logged that they are the leader.
fn leaders(fleet: &Fleet) -> Vec<usize> {
    let leads = |i: &usize| !fleet.nodes[*i].lines("this node is the steward").is_empty();
    (0..fleet.nodes.len()).filter(leads).collect()
}

async fn leader(fleet: &Fleet, old: Option<usize>) -> usize {
    wait_for("there is a steward", || async {
        leaders(fleet).into_iter().find(|node| Some(*node) != old)
    })
    .await
}

/// Waits until these servers are out of use at the nodes, by their last logged change.
async fn are_out(fleet: &Fleet, servers: &[usize], nodes: &[usize]) {
    let addrs: Vec<String> = servers.iter().map(|s| fleet.servers[*s].addr().to_string()).collect();
    wait_for(&format!("{addrs:?} are out of use at {nodes:?}"), || async {
        let uses = fleet.uses("orders");
        let out = |node: usize, server: &String| {
            let last = uses.iter().rfind(|u| u.node == node && u.server == *server);
            last.is_some_and(|u| u.usage != "in use")
        };
        addrs.iter().all(|s| nodes.iter().all(|n| out(*n, s))).then_some(())
    })
    .await;
}

/// Guards against a frozen leader whose announcements or leases count after another has taken over: the
/// ejections of all nodes together must keep the floor throughout.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_leader_changes_nothing_after_it_wakes() {
    let (fleet, vms, load) = start(&["127.0.0.2", "127.0.0.3", "127.0.0.4"]).await;
    let old = leader(&fleet, None).await;
    let live: Vec<usize> = (0..3).filter(|i| *i != old).collect();
    fleet.servers[..2].iter().for_each(|s| s.set_fault(Fault::Fail(1.0)));
    are_out(&fleet, &[0, 1], &[0, 1, 2]).await;
    let stopped = time_now();
    fleet.nodes[old].signal("STOP");
    let vm: IpAddr = fleet.nodes[old].peer.ip();
    vms.remove(vm);
    let new = leader(&fleet, Some(old)).await;
    println!("node {new} is the steward {} ms after the freeze", time_now() - stopped);
    fleet.servers[..2].iter().for_each(|s| s.set_fault(Fault::None));
    fleet.servers[2..4].iter().for_each(|s| s.set_fault(Fault::Fail(1.0)));
    // The new leader ejects once the frozen node is gone and the first two servers are in use again.
    are_out(&fleet, &[2, 3], &live).await;
    println!("new ejections {} ms after the freeze", time_now() - stopped);
    let woken = time_now();
    vms.set(vm, false);
    fleet.nodes[old].signal("CONT");
    are_out(&fleet, &[2, 3], &[old]).await;
    let mut out: BTreeSet<(usize, String)> = BTreeSet::new();
    let mut frozen = false;
    for u in fleet.uses("orders") {
        if !frozen && u.at > stopped {
            // A frozen node sends nothing, and what it held has expired when it wakes.
            out.retain(|(node, _)| *node != old);
            frozen = true;
        }
        match u.usage.as_str() {
            "in use" => out.remove(&(u.node, u.server)),
            _ => out.insert((u.node, u.server)),
        };
        let union: BTreeSet<&String> = out.iter().map(|(_, server)| server).collect();
        assert!(union.len() <= 2, "{}: {union:?}, woken {woken}", u.at);
    }
    assert_eq!(fleet.nodes[new].lines("this node is the steward").len(), 1);
    drop(load);
    let max_running: Vec<usize> = fleet.servers.iter().map(|s| s.counters().max_running).collect();
    println!("most requests at once: {max_running:?} of {SLOTS} slots");
    assert!(max_running.iter().all(|b| *b <= 2 * SLOTS), "{max_running:?}");
}

/// Guards against a killed leader that stops the service: the other nodes fall back to an equal split,
/// and leases come back with the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_leader_is_hardly_noticed_at_other_nodes() {
    let (mut fleet, vms, load) = start(&["127.0.0.5", "127.0.0.6", "127.0.0.7"]).await;
    let old = leader(&fleet, None).await;
    drop(load);
    let mut load = Load::default();
    for (_, node) in fleet.nodes.iter().enumerate().filter(|(i, _)| *i != old) {
        load.add(&fleet.client.get(node.url("/stock")), "crew-1", 6);
    }
    let killed = Instant::now();
    vms.remove(fleet.nodes[old].peer.ip());
    fleet.nodes[old].child.kill().expect("the steward is killed");
    let new = leader(&fleet, Some(old)).await;
    println!("node {new} is the steward after {} ms", killed.elapsed().as_millis());
    let seen = load.seen().len();
    wait_for("requests go on", || async { (load.seen().len() > seen + 500).then_some(()) }).await;
    let mut seen = load.seen();
    seen.retain(|s| s.at >= killed);
    let failed = seen.iter().filter(|s| s.status != 200).count();
    let mut ends: Vec<Instant> = seen.iter().map(|s| s.at + s.took).collect();
    ends.sort();
    let gap = ends.windows(2).map(|w| w[1] - w[0]).max().unwrap_or_default();
    let longest = seen.iter().map(|s| s.took).max().unwrap_or_default();
    println!("{} requests, {failed} failed, longest {longest:?}, longest gap {gap:?}", seen.len());
    assert_eq!(failed, 0);
    assert!(longest < Duration::from_secs(2), "{longest:?}");
}

/// Guards against a link that is cut one way: a peer that is taken as usable by one side, leaders that
/// change again and again, entries that vanish from the answers, keys that run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_way_cut_makes_the_peer_unusable_both_ways() {
    let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
    let servers = servers().await;
    publish(&log, 0, 1, two_out(&servers));
    let addrs: Vec<_> = (0..3).map(|_| addresses("127.0.0.1")).collect();
    let mut links = Vec::new();
    for (_, peer) in &addrs {
        let at: SocketAddr = ([127, 0, 0, 1], free_port("127.0.0.1")).into();
        links.push(DatagramLink::start(at, *peer).await.expect("the link starts"));
    }
    let seeds = links.iter().map(DatagramLink::addr).collect();
    let base = Start { seeds, ..start_of(&log, &addrs, "") };
    let nodes = addrs.iter().zip(&links).map(|((entry, peer), link)| {
        let more = format!(",\"advertised_peer\":\"{}\"", link.addr());
        spawn(*entry, *peer, &Start { more, ..base.clone() })
    });
    let fleet = Fleet::gather(nodes.collect(), log, servers).await;
    leader(&fleet, None).await;
    let usable = |node: usize, count: usize| {
        let (client, url) = (fleet.client.clone(), fleet.nodes[node].url("/v1/metrics"));
        wait_for("the number of usable peers", move || {
            let get = client.get(&url).send();
            async move {
                let text = get.await.ok()?.text().await.ok()?;
                text.contains(&format!("redwing_peers_usable {count}\n")).then_some(())
            }
        })
    };
    usable(0, 2).await;
    // Node 0 hears node 1 and not the reverse.
    links[1].set_cut(addrs[0].1, true);
    usable(0, 1).await;
    usable(1, 1).await;
    usable(2, 2).await;
    let mut load = Load::default();
    for node in &fleet.nodes {
        load.add(&fleet.client.get(node.url("/stock")), "crew-1", 4);
    }
    for (entry, home) in [(0, 1), (1, 0), (2, 0), (2, 1)] {
        let key = format!("{}.{entry}", fleet.entries(home).await.key_prefix);
        let order = fleet
            .client
            .post(fleet.nodes[entry].url("/orders"))
            .header(caller::IDEMPOTENCY_KEY, &key);
        let reply = order.header(caller::ATTEMPT, 1).send().await.expect("the node answers");
        let outcome = reply.headers()[caller::OUTCOME].to_str().expect("text").to_string();
        println!("key of node {home} at node {entry}: {outcome}");
        let runs = fleet.runs(&key);
        assert_eq!(runs, u64::from(outcome == "ran"), "{outcome}, {runs} runs");
    }
    wait_for("requests run", || async { (load.seen().len() > 1_500).then_some(()) }).await;
    assert!(load.seen().iter().all(|s| s.status == 200));
    let terms: usize = fleet.nodes.iter().map(|n| n.lines("this node is the steward").len()).sum();
    assert_eq!(terms, 1, "the steward changed");
    for node in 0..3 {
        assert_eq!(fleet.entries(node).await.entries.len(), 3);
    }
    links[1].set_cut(addrs[0].1, false);
    usable(0, 2).await;
    usable(1, 2).await;
}

/// Guards against urgent work that waits behind a queue of low rank at every node, a flood of one
/// workspace that takes the answers of others of its rank, and resends above a tenth of the requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn urgent_work_and_quiet_workspaces_pass_a_flood() {
    let service_time = Duration::from_millis(50);
    let fleet =
        Fleet::start(3, 3, BackendOptions { service_time, ..BackendOptions::default() }).await;
    leader(&fleet, None).await;
    let mut flood = Load::default();
    for node in &fleet.nodes {
        flood.add(&fleet.client.get(node.url("/maps")), "flood", 134);
    }
    wait_for("the queues are long", || async { (flood.seen().len() > 100).then_some(()) }).await;
    let mut quiet = Load::default();
    for node in &fleet.nodes {
        quiet.add(&fleet.client.get(node.url("/maps")), "quiet", 1);
    }
    let mut longest = Duration::ZERO;
    for i in 0..12 {
        let home = i % 3;
        let key = format!("{}.urgent-{i}", fleet.entries(home).await.key_prefix);
        let order = fleet
            .client
            .post(fleet.nodes[home].url("/orders"))
            .header(caller::IDEMPOTENCY_KEY, &key);
        let start = Instant::now();
        let status = order.send().await.expect("the node answers").status();
        longest = longest.max(start.elapsed());
        assert_eq!((status.as_u16(), fleet.runs(&key)), (200, 1));
    }
    println!("longest of 12 urgent requests behind 400 of low rank: {longest:?}");
    // The target of the urgent rank.
    assert!(longest <= Duration::from_millis(250), "{longest:?}");
    wait_for("the quiet workspace is served", || async {
        (quiet.seen().len() >= 30).then_some(())
    })
    .await;
    assert!(quiet.seen().iter().all(|s| s.status == 200));
    let total: u64 = fleet.servers.iter().map(|s| s.counters().arrived).sum();
    let shed: u64 = fleet.servers.iter().map(|s| s.counters().shed).sum();
    println!("{shed} of {total} sends were shed");
    assert!(shed * 10 <= total, "{shed} of {total} sends were shed");
}
