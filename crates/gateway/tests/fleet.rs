//! What gateways tell each other, and what they leave in the store.

mod common;

use common::{post, Act, Backend, World};
use redwingtrestle_core::process::registration::RegistrationState;
use redwingtrestle_gateway::{exchange, memory};

/// Guards against a node that the store does not answer and that learns nothing, or only the first time, from another.
#[tokio::test]
async fn node_learns_from_another() {
    let (one, two) =
        (Backend::start("i-1", Act::Serve).await, Backend::start("i-2", Act::Serve).await);
    let informed = World::with(&[&one, &two]).await;
    let _server = exchange::serve(informed.shared.clone()).await.expect("it listens");
    let cut_off = World::empty().await;
    let ask = || exchange::fetch(cut_off.shared.clone(), informed.shared.settings.peer);
    ask().await;
    assert_eq!(cut_off.shared.routing_config.load().as_ref().map(|c| c.version()), Some(1));
    let usable = |world: &World| {
        let fleet = world.shared.fleet();
        fleet.registry.usable(world.shared.now(), &"orders".into()).len()
    };
    assert_eq!(usable(&cut_off), 2);
    assert_eq!(cut_off.call(&post("r1")).await.status, 200);
    informed.store.register(one.entry(RegistrationState::Draining, 2));
    informed.until("the informed node knows it", || usable(&informed) == 1).await;
    ask().await;
    assert_eq!(usable(&cut_off), 1);
    let position = cut_off.shared.fleet().servers.position();
    assert_eq!(position, informed.shared.fleet().servers.position());
}

/// Guards against processes that all start anew and send their first orders to servers which were known to fail.
#[tokio::test]
async fn failing_servers_are_recalled_by_a_new_process() {
    let failing = Backend::start("i-1", Act::Status(500)).await;
    let before = World::with(&[&failing]).await;
    tokio::spawn(memory::run(before.shared.clone(), before.store.clone()));
    for i in 0..3 {
        assert_eq!(before.call(&post(&format!("r{i}"))).await.status, 500);
    }
    before.until("the failing server is saved", || before.store.holds("suspects", "i-1")).await;
    let after = World::at(before.store.clone()).await;
    tokio::spawn(memory::run(after.shared.clone(), after.store.clone()));
    after
        .until("the failing server is recalled", || {
            let fleet = after.shared.fleet();
            fleet.registry.suspects(after.shared.now()).iter().any(|(id, _)| id.as_str() == "i-1")
        })
        .await;
}

/// Guards against saved values of another writer, which must not stop a process from starting.
#[tokio::test]
async fn saved_values_that_cannot_be_read_are_left_out() {
    let world = World::empty().await;
    for (key, value) in
        [("suspects", "{"), ("node/nowhere", "x"), ("other", "y"), ("node/127.0.0.1:9", "z")]
    {
        world.store.put(key, value);
    }
    tokio::spawn(memory::run(world.shared.clone(), world.store.clone()));
    world
        .until("the good value is read", || world.shared.fleet().peers.addresses().len() == 1)
        .await;
}
