//! Requests that end the servers that run them.

mod common;

use common::{
    crashing::{CrashingServer, DEADLY_PATH},
    get, header, routing_config, MemoryStore, TestGateway,
};
use redwingtrestle_gateway::store::{Record, Stream};
use std::time::Duration;

/// The servers that the request may end before it is known, and the repeats on which the nodes may still be late.
const MOST_RUNS: u32 = 3 + 3;

/// Servers of the service.
const SERVERS: usize = 8;

/// Starts three gateways that know each other and the servers.
async fn fleet() -> (Vec<TestGateway>, Vec<CrashingServer>) {
    let mut gateways = Vec::new();
    for _ in 0..3 {
        gateways.push(TestGateway::with_empty_store().await);
    }
    let stores: Vec<MemoryStore> = gateways.iter().map(|gateway| gateway.store.clone()).collect();
    for store in &stores {
        let config = Record::RoutingConfig(Box::new(routing_config(1)));
        store.append(Stream::Configuration, config);
    }
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(CrashingServer::start(&format!("i-{number}"), stores.clone()).await);
    }
    let others: Vec<&TestGateway> = gateways.iter().collect();
    for gateway in &gateways {
        gateway.join(&others).await;
    }
    for gateway in &gateways {
        let shared = &gateway.shared;
        let is_ready = || {
            let fleet = shared.fleet();
            let servers = fleet.registry.registrations().len();
            servers == SERVERS && fleet.peers.live_count(shared.now()) == others.len()
        };
        gateway.wait_until("the fleet is ready", is_ready).await;
    }
    (gateways, servers)
}

/// Guards against a request that ends server after server because it comes again with another id, at another node.
#[tokio::test]
async fn request_that_crashes_servers_is_not_sent_on_and_on() {
    let (gateways, servers) = fleet().await;
    let mut replies = Vec::new();
    for number in 0..24 {
        let gateway = &gateways[number % gateways.len()];
        replies.push(gateway.call(&get(DEADLY_PATH, &format!("deadly-{number}"))).await);
        let other =
            gateway.call(&get(&format!("/free/{number}"), &format!("other-{number}"))).await;
        assert_eq!(other.status, 200, "another request, number {number}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let runs: u32 = servers.iter().map(CrashingServer::runs).sum();
    assert!(runs <= MOST_RUNS, "it ran {runs} times, {MOST_RUNS} allowed");
    let last = replies.last().expect("a reply");
    let wait: f64 = header(&last.head, "retry-after").parse().expect("a number of seconds");
    assert_eq!((last.status, wait > 10.0), (503, true), "{last:?}");
}
