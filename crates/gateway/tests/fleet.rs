//! State that gateways get from each other, and state that they save in the store.

mod common;

use common::{post, routing_config, Backend, Behaviour, MemoryStore, TestGateway};
use redwingtrestle_core::process::{
    registration::{RegistrationState, ServerId},
    stream_position::StreamPosition,
};
use redwingtrestle_gateway::{
    peer_rpc, saved_state,
    store::{Record, Stream},
};

/// Guards against a node without a response from the store that gets no state from a peer, or only the first time.
#[tokio::test]
async fn node_gets_newer_state_from_peer() {
    let (one, two) = (
        Backend::start("i-1", Behaviour::Serve).await,
        Backend::start("i-2", Behaviour::Serve).await,
    );
    let informed = TestGateway::with_servers(&[&one, &two]).await;
    let _server = peer_rpc::serve(informed.shared.clone()).await.expect("it listens");
    let cut_off = TestGateway::with_empty_store().await;
    let ask = || peer_rpc::fetch(cut_off.shared.clone(), informed.shared.settings.peer);
    ask().await;
    assert_eq!(cut_off.shared.routing_config.load().as_ref().map(|c| c.version()), Some(1));
    let usable = |gateway: &TestGateway| {
        let fleet = gateway.shared.fleet();
        fleet.registry.usable(gateway.shared.now(), &"orders".into()).len()
    };
    assert_eq!(usable(&cut_off), 2);
    assert_eq!(cut_off.call(&post("r1")).await.status, 200);
    informed.store.register(one.registration(RegistrationState::Draining, 2));
    informed.wait_until("the informed node knows it", || usable(&informed) == 1).await;
    ask().await;
    assert_eq!(usable(&cut_off), 1);
    let position = cut_off.shared.fleet().server_watch.position();
    assert_eq!(position, informed.shared.fleet().server_watch.position());
}

/// Guards against requests to a server that left, at a node that hears of it from one that started after the leaving.
#[tokio::test]
async fn node_hears_of_a_leaving_from_a_node_that_started_after_it() {
    let (one, two) = (
        Backend::start("i-1", Behaviour::Serve).await,
        Backend::start("i-2", Behaviour::Serve).await,
    );
    let behind = TestGateway::with_servers(&[&one, &two]).await;
    let store = MemoryStore::default();
    store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
    for backend in [&one, &two] {
        store.register(backend.registration(RegistrationState::Ready, 1));
    }
    store.append(Stream::Servers, Record::Server(ServerId("i-1".into()), None));
    let started = TestGateway::with_store(store).await;
    let position = |gateway: &TestGateway| gateway.shared.fleet().server_watch.position();
    let end = StreamPosition::new(0, 3);
    started.wait_until("it has read the store", || position(&started) == Some(end)).await;
    let _server = peer_rpc::serve(started.shared.clone()).await.expect("it listens");
    peer_rpc::fetch(behind.shared.clone(), started.shared.settings.peer).await;
    assert_eq!(position(&behind), Some(end));
    for i in 0..10 {
        assert_eq!(behind.call(&post(&format!("r{i}"))).await.status, 200);
    }
    assert_eq!((one.received().len(), two.received().len()), (0, 10));
}

/// Guards against restarted processes that send their first orders to servers that were known to be failing.
#[tokio::test]
async fn new_process_restores_failing_servers() {
    let failing = Backend::start("i-1", Behaviour::Status(500)).await;
    let before = TestGateway::with_servers(&[&failing]).await;
    tokio::spawn(saved_state::run(before.shared.clone(), before.store.clone()));
    for i in 0..3 {
        assert_eq!(before.call(&post(&format!("r{i}"))).await.status, 500);
    }
    before
        .wait_until("the failing server is saved", || {
            before.store.saved_contains("suspects", "i-1")
        })
        .await;
    let after = TestGateway::with_store(before.store.clone()).await;
    tokio::spawn(saved_state::run(after.shared.clone(), after.store.clone()));
    after
        .wait_until("the failing server is restored", || {
            let fleet = after.shared.fleet();
            fleet.registry.suspects(after.shared.now()).iter().any(|(id, _)| id.as_str() == "i-1")
        })
        .await;
}

/// Guards against invalid saved values of another writer that stop a process from reading the valid ones.
#[tokio::test]
async fn invalid_saved_values_are_ignored() {
    let gateway = TestGateway::with_empty_store().await;
    for (key, value) in
        [("suspects", "{"), ("node/nowhere", "x"), ("other", "y"), ("node/127.0.0.1:9", "z")]
    {
        gateway.store.save_raw(key, value);
    }
    tokio::spawn(saved_state::run(gateway.shared.clone(), gateway.store.clone()));
    gateway
        .wait_until("the good value is read", || {
            gateway.shared.fleet().peers.addresses().len() == 1
        })
        .await;
}
