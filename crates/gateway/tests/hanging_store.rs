//! Gateways whose calls to the store hang without a sign, while others can reach it.

mod common;

use common::{routing_config, Backend, Behaviour, MemoryStore, TestGateway};
use redwingtrestle_core::process::registration::RegistrationState;
use redwingtrestle_gateway::{
    peer_rpc,
    store::{Record, Stream},
};
use std::time::{Duration, Instant};

/// The time after which a change that the store has accepted must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// The time after which the nodes know each other and have divided the reading of the store.
const SETTLE: Duration = Duration::from_secs(3);

/// How long an outage of the store takes, so that nodes replace those whose calls fail meanwhile.
const OUTAGE: Duration = Duration::from_millis(4_500);

fn config(version: u64) -> Record {
    Record::RoutingConfig(Box::new(routing_config(version)))
}

/// Starts a fleet in one data centre, by ascending addresses, each node with a link of its own to the store.
async fn fleet(store: &MemoryStore, size: usize) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for _ in 0..size {
        gateways.push(TestGateway::with_store(store.with_own_link()).await);
    }
    gateways.sort_by_key(|gateway| gateway.shared.settings.peer);
    for gateway in &gateways {
        let server = peer_rpc::serve(gateway.shared.clone()).await.expect("it listens");
        tokio::spawn(server.stopped());
        gateway.join(&gateways.iter().collect::<Vec<_>>()).await;
    }
    tokio::time::sleep(SETTLE).await;
    gateways
}

fn version(gateway: &TestGateway) -> Option<u64> {
    gateway.shared.routing_config.load().as_ref().map(|c| c.version())
}

fn usable(gateway: &TestGateway) -> usize {
    gateway.shared.fleet().registry.usable(gateway.shared.now(), &"orders".into()).len()
}

/// Waits until `check` holds for all gateways, and returns how long that took.
async fn time_until(gateways: &[TestGateway], check: impl Fn(&TestGateway) -> bool) -> Duration {
    let begun = Instant::now();
    for gateway in gateways {
        gateway.wait_until("the change is in force", || check(gateway)).await;
    }
    begun.elapsed()
}

/// Guards against gateways that run orders at the service of before because both readers of their data centre are cut off
/// from the store without a sign.
#[tokio::test]
async fn change_is_in_force_in_time_while_all_readers_hang() {
    let one = Backend::start("i-1", Behaviour::Serve).await;
    let two = Backend::start("i-2", Behaviour::Serve).await;
    let store = MemoryStore::default();
    store.append(Stream::Configuration, config(1));
    for backend in [&one, &two] {
        store.register(backend.registration(RegistrationState::Ready, 1));
    }
    let gateways = fleet(&store, 5).await;
    gateways[..2].iter().for_each(|gateway| gateway.store.set_cut(true));
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.append(Stream::Configuration, config(2));
    store.register(two.registration(RegistrationState::Draining, 2));
    let is_changed = |gateway: &TestGateway| version(gateway) == Some(2) && usable(gateway) == 1;
    let time = time_until(&gateways[2..], is_changed).await;
    assert!(time < APPLY_TIME, "{time:?}");
}

/// Guards against gateways that nobody tells of changes because all long calls were lost with an outage of the store, and
/// the node that noticed by its short ones is lost later.
#[tokio::test]
async fn change_is_in_force_in_time_after_an_outage_and_the_loss_of_the_writer() {
    let store = MemoryStore::default();
    store.append(Stream::Configuration, config(1));
    let gateways = fleet(&store, 5).await;
    let set_cut = |is_cut| gateways.iter().for_each(|gateway| gateway.store.set_cut(is_cut));
    set_cut(true);
    tokio::time::sleep(OUTAGE).await;
    set_cut(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    gateways[0].store.set_cut(true);
    store.append(Stream::Configuration, config(2));
    let time = time_until(&gateways[1..], |gateway| version(gateway) == Some(2)).await;
    assert!(time < APPLY_TIME, "{time:?}");
}

/// Guards against a fleet in which every node calls the store to be sure that it hears of changes.
#[tokio::test]
async fn calm_fleet_leaves_the_calls_to_one_node() {
    let store = MemoryStore::default();
    store.append(Stream::Configuration, config(1));
    let gateways = fleet(&store, 6).await;
    let before = store.watch_count();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let calls = store.watch_count() - before;
    assert!((10..=30).contains(&calls), "{calls} watches of two streams in 6 s");
    drop(gateways);
}
