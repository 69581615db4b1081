//! Configuration changes under load and during failures of the log service, with nodes in separate processes.

mod common;

use common::{
    config, config_with_services, free_addresses, log_time_ms, publish, spawn, start_options,
    wait_for, Fleet, Load, NodeProcess,
};
use redwingtrestle_core::{codes::ResultCode, version::config_state::RequestId};
use redwingtrestle_ctl::client::Client;
use redwingtrestle_fakes::backend::{Backend, BackendOptions, Fault};
use redwingtrestle_wire::{
    caller,
    config::ConfigDoc,
    log::RecordDoc,
    query::{Command, Query, QueryResponse},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Returns the offset of configuration `n` in the log, counted from 0.
fn version_offset(fleet: &Fleet, n: usize) -> u64 {
    let records = fleet.log.records();
    let mut configs = records.iter().filter(|r| r.record.to_string().contains("\"base\""));
    configs.nth(n).expect("the configuration is in the log").offset
}

/// The version of the first configuration, which `Fleet` publishes.
const FIRST_VERSION: u64 = 1;

fn config_with_floor(fleet: &Fleet, floor: u32) -> ConfigDoc {
    let mut config = config(&fleet.servers);
    config.services.values_mut().for_each(|s| s.floor = floor);
    config
}

async fn get_status(fleet: &Fleet, node: usize, path: &str) -> u16 {
    let reply = fleet.client.get(fleet.nodes[node].url(path)).send().await;
    reply.map_or(0, |r| r.status().as_u16())
}

/// Starts one more node and returns its position.
fn add_node(fleet: &mut Fleet) -> usize {
    let (entry, peer) = free_addresses("127.0.0.1");
    let addrs: Vec<_> = fleet.nodes.iter().map(|n| (n.entry, n.peer)).collect();
    let node = spawn(entry, peer, &start_options(&fleet.log, &addrs, ""));
    fleet.nodes.push(node);
    fleet.nodes.len() - 1
}

/// Guards against a change that takes longer than 3 s to be in force on all nodes, accepting both of two racing
/// changes, and applying a change twice that was appended again after a lost response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_reaches_all_nodes_in_time_and_applies_once() {
    let fleet = Fleet::start(3, 2, BackendOptions::default()).await;
    // The append takes effect, but its response is lost.
    fleet.log.drop_responses(1);
    let id: Arc<str> = Arc::from(RequestId(2).to_string());
    let record = RecordDoc::ConfigProposed {
        request_id: id,
        base: FIRST_VERSION,
        config: config_with_floor(&fleet, 5),
    };
    let body = serde_json::to_vec(&record).expect("JSON");
    let append = fleet.client.post(format!("{}/v1/append", fleet.log.url())).body(body);
    assert!(append.send().await.is_err(), "the response is lost");
    let start = Instant::now();
    let second = version_offset(&fleet, 1);
    let racing = publish(&fleet.log, FIRST_VERSION, 3, config_with_floor(&fleet, 4));
    for node in 0..3 {
        fleet.wait_for_version(node, second).await;
    }
    let took = start.elapsed();
    println!("in force on all nodes after {} ms", took.as_millis());
    assert!(took < Duration::from_secs(3), "{took:?}");
    // The repeated append follows the racing one in the log.
    let again = publish(&fleet.log, FIRST_VERSION, 2, config_with_floor(&fleet, 5));
    let third = publish(&fleet.log, second, 4, config_with_floor(&fleet, 3));
    assert!(second < racing && racing < again && again < third);
    for node in 0..3 {
        fleet.wait_for_version(node, third).await;
    }
    for node in &fleet.nodes {
        // Neither the racing change nor the repeated one was ever in force.
        let lines = node.log_lines("configuration is in force");
        let versions: Vec<_> = lines.iter().map(|l| l["kvs"]["version"].clone()).collect();
        assert_eq!(versions.last(), Some(&third.into()));
        assert!(!versions.contains(&racing.into()) && !versions.contains(&again.into()));
        assert!(versions.is_sorted_by_key(serde_json::Value::as_u64), "{versions:?}");
    }
}

/// Guards against a log outage, or log calls above their time limit, that stop failure detection, leases or the start
/// of a node, and against appends that take effect twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_outage_stops_neither_detection_nor_the_start_of_a_node() {
    let options =
        BackendOptions { service_time: Duration::from_millis(20), ..BackendOptions::default() };
    let mut fleet = Fleet::start(3, 6, options).await;
    let mut load = Load::default();
    for node in &fleet.nodes {
        load.add(&fleet.client.get(node.url("/stock")), "crew-1", 3);
        load.add(&fleet.client.get(node.url("/maps")), "crew-2", 2);
    }
    wait_for("a leader is active", || async {
        let has_leader =
            fleet.nodes.iter().any(|n| !n.log_lines("this node is the steward").is_empty());
        (has_leader && fleet.servers.iter().all(|s| s.counters().ran > 100)).then_some(())
    })
    .await;
    fleet.log.set_down(true);
    let first = fleet.version(0).await;
    fleet.servers[0].set_fault(Fault::Fail(1.0));
    let late = add_node(&mut fleet);
    fleet.wait_until_ready(late).await;
    assert_eq!(fleet.version(late).await, first);
    assert_eq!(get_status(&fleet, late, "/stock").await, 200);
    wait_for("the failing server is out of use", || async {
        let uses = fleet.usage_changes("orders");
        (uses.iter().filter(|u| u.usage == "out of use").count() >= 3).then_some(())
    })
    .await;
    fleet.servers[0].set_fault(Fault::None);
    // Calls to the log exceed their limit of 1.5 s for a while, then the log recovers.
    fleet.log.set_delay(Duration::from_millis(1_800));
    fleet.log.set_down(false);
    let finished_before = load.finished().len();
    wait_for("requests are served while the log is slow", || async {
        (load.finished().len() > finished_before + 500).then_some(())
    })
    .await;
    fleet.log.set_delay(Duration::ZERO);
    // Three appends, among them the late node's member record, take effect, but their responses are lost.
    fleet.log.drop_responses(3);
    let next = publish(&fleet.log, first.unwrap_or_default(), 2, config_with_floor(&fleet, 6));
    for node in 0..fleet.nodes.len() {
        fleet.wait_for_version(node, next).await;
    }
    let failed = load.finished().iter().filter(|s| s.status == 0 || s.status == 503).count();
    assert_eq!(failed, 0, "requests were refused or cut");
}

/// Guards against nodes that stay behind because retention dropped records they had not read: one starts afterwards,
/// the other is frozen through ten versions. Also guards against a version that decreases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn snapshot_brings_new_and_frozen_nodes_up_to_date() {
    let mut fleet = Fleet::start(3, 2, BackendOptions::default()).await;
    fleet.nodes[2].signal("STOP");
    let mut base = FIRST_VERSION;
    for id in 2..12 {
        base = publish(&fleet.log, base, id, config_with_floor(&fleet, 12 - id as u32));
    }
    assert_eq!(base, version_offset(&fleet, 10));
    for node in 0..2 {
        fleet.wait_for_version(node, base).await;
    }
    // Drops the older half of the log, including the base of the version in force and the members' records.
    fleet.log.drop_before(base);
    wait_for("a snapshot is in the log", || async {
        let records = fleet.log.records();
        records.iter().any(|r| r.record.to_string().contains("next_offset")).then_some(())
    })
    .await;
    let snapshot = fleet.log.records().last().expect("a record").offset;
    fleet.log.drop_before(snapshot);
    fleet.nodes[2].signal("CONT");
    let late = add_node(&mut fleet);
    fleet.wait_until_ready(late).await;
    fleet.wait_for_version(late, base).await;
    fleet.wait_for_version(2, base).await;
    assert_eq!(get_status(&fleet, late, "/stock").await, 200);
    let lines = fleet.nodes[2].log_lines("configuration is in force");
    let versions: Vec<_> = lines.iter().filter_map(|l| l["kvs"]["version"].as_u64()).collect();
    assert!(versions.is_sorted(), "{versions:?}");
}

/// Guards against queued requests of a removed service that wait until their deadline, and against a service that is
/// added again but not served by a node that was frozen in between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_service_refuses_queued_requests_and_can_be_added_again() {
    let options =
        BackendOptions { service_time: Duration::from_millis(400), ..BackendOptions::default() };
    let config = |servers: &[_]| config_with_services(servers, 1, &[("orders", 0), ("docs", 0)]);
    let fleet = Fleet::start_config(2, 2, options, "", config).await;
    let is_leader = |n: &&NodeProcess| {
        let lines = n.log_lines("this node is the steward");
        lines.iter().any(|l| l["kvs"]["service"] == "orders")
    };
    let leader = || async { fleet.nodes.iter().find(is_leader) };
    let other = wait_for("a leader is active", leader).await;
    let frozen = fleet.nodes.iter().find(|n| n.entry != other.entry).expect("two nodes");
    frozen.signal("STOP");
    let queued: Vec<_> =
        (0..40).map(|_| tokio::spawn(fleet.client.get(other.url("/orders")).send())).collect();
    wait_for("requests run", || async { (fleet.servers[0].counters().ran >= 3).then_some(()) })
        .await;
    let removed = publish(
        &fleet.log,
        FIRST_VERSION,
        2,
        config_with_services(&fleet.servers[1..], 1, &[("docs", 0)]),
    );
    let start = Instant::now();
    let mut refused = 0;
    for request in queued {
        let reply = request.await.expect("the caller's task ends").expect("the node responds");
        if reply.status() != 200 {
            assert_eq!(reply.headers()[caller::OUTCOME], "not_run");
            refused += 1;
        }
    }
    let took = start.elapsed();
    println!("{refused} of 40 were refused within {} ms", took.as_millis());
    assert!(refused > 20 && took < Duration::from_secs(4), "{refused}, {took:?}");
    let back = publish(&fleet.log, removed, 3, config(&fleet.servers));
    frozen.signal("CONT");
    for node in 0..2 {
        fleet.wait_for_version(node, back).await;
    }
    wait_for("the service is served by both nodes", || async {
        (get_status(&fleet, 0, "/orders").await == 200
            && get_status(&fleet, 1, "/orders").await == 200)
            .then_some(())
    })
    .await;
    // Each request takes longer than the interval between two announcements.
    for _ in 0..2 {
        assert_eq!(
            (get_status(&fleet, 0, "/orders").await, get_status(&fleet, 1, "/orders").await),
            (200, 200)
        );
    }
    for node in &fleet.nodes {
        let reply = fleet.client.get(node.url("/v1/metrics")).send().await;
        let text = reply.expect("the node responds").text().await.expect("text");
        let refused =
            text.lines().find(|l| l.contains("announcements_refused") && l.contains("OldSequence"));
        assert_eq!(refused, None);
    }
}

/// Guards against records that are dropped before any node has read them: the gap must be reported, requests must
/// still be served, and a change that no node can evaluate must be answered neither as accepted nor as refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn records_dropped_unread_are_reported_as_a_gap() {
    let fleet = Fleet::start(2, 2, BackendOptions::default()).await;
    let first = fleet.version(0).await.expect("a version");
    let client = |node: usize| Client::new(vec![fleet.nodes[node].peer], None).expect("a client");
    let wait_for_log_state = async |state: &str| {
        wait_for(state, || async {
            let response = client(1).query(&Query::Versions).await.expect("a response");
            let QueryResponse::Versions(rows) = response else { panic!("another response") };
            let all = rows.rows.iter().all(|r| (r.version, &*r.log) == (first, state));
            (all && rows.rows.len() == 2).then_some(())
        })
        .await;
    };
    wait_for_log_state("up").await;
    fleet.log.set_down(true);
    wait_for_log_state("down").await;
    let lost = publish(&fleet.log, first, 2, config_with_floor(&fleet, 5));
    fleet.log.append(serde_json::json!("the first record that is kept"));
    fleet.log.drop_before(lost + 1);
    fleet.log.set_down(false);
    wait_for_log_state("gap").await;
    for node in 0..2 {
        let message = "the log has dropped records that this node has not read";
        assert_eq!(fleet.nodes[node].log_lines(message).len(), 1);
        let metrics = fleet.client.get(fleet.nodes[node].url("/v1/metrics")).send().await;
        let metrics = metrics.expect("a response").text().await.expect("text");
        assert!(metrics.contains("\nredwing_log_gap 1\n"), "{metrics}");
        assert_eq!(get_status(&fleet, node, "/stock").await, 200);
    }
    let change = Command::Publish { doc: config_with_floor(&fleet, 4) };
    let response =
        client(0).command(change, first, "7".repeat(32), false).await.expect("a response");
    assert_eq!(response.code, ResultCode::CommandUnknown.number(), "{response:?}");
    assert!(response.message.contains("records dropped unread"), "{response:?}");
    assert_eq!((fleet.version(0).await, fleet.version(1).await), (Some(first), Some(first)));
}

/// Guards against assigning most leaderships to the node that is ready first, and against a lone node that waits for
/// other nodes without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaders_of_a_starting_fleet_are_spread() {
    let floors = ["a", "b", "c", "d", "e", "f", "g", "h"].map(|name| (name, 3));
    for (others, expected) in [(0, 8..=8), (3, 1..=3)] {
        let services = |servers: &[Backend]| config_with_services(servers, 1, &floors);
        let options = BackendOptions::default();
        let mut fleet = Fleet::start_config(1, 8, options, "", services).await;
        for _ in 0..others {
            add_node(&mut fleet);
        }
        let lines = |n: &NodeProcess| n.log_lines("this node is the steward");
        let leader_counts = wait_for("each service has a leader", || async {
            let leader_counts: Vec<usize> = fleet.nodes.iter().map(|n| lines(n).len()).collect();
            (leader_counts.iter().sum::<usize>() >= 8).then_some(leader_counts)
        })
        .await;
        let first = log_time_ms(&fleet.nodes[0].log_lines("node serves")[0]);
        let last =
            fleet.nodes.iter().flat_map(lines).map(|l| log_time_ms(&l)).max().expect("a line");
        println!(
            "leaderships {leader_counts:?}, the last {} ms after the first node serves",
            last - first
        );
        assert!(leader_counts.iter().all(|n| expected.contains(n)), "{leader_counts:?}");
        assert!(others > 0 || last - first < 5_000, "a lone node waits {} ms", last - first);
    }
}
