//! Gateways whose store comes back from an older copy and gives offsets out again.

mod common;

use common::{own_loopback_ip, routing_config, Backend, Behaviour, MemoryStore, TestGateway};
use jsonrpsee::{server::RpcModule, types::ErrorObjectOwned};
use redwingtrestle_core::process::{
    registration::RegistrationState, stream_position::StreamPosition,
};
use redwingtrestle_gateway::{
    gossip::Gossip,
    peer_rpc, saved_state,
    store::{Record, Stream},
};
use serde::Serialize;
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::net::UdpSocket;

fn config(version: u64) -> (Stream, Record) {
    (Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(version))))
}

fn server(backend: &Backend, state: RegistrationState, report: u64) -> (Stream, Record) {
    let registration = Some(Box::new(backend.registration(state, report)));
    (Stream::Servers, Record::Server(backend.id.clone(), registration))
}

fn usable(gateway: &TestGateway) -> usize {
    gateway.shared.fleet().registry.usable(gateway.shared.now(), &"orders".into()).len()
}

fn version(gateway: &TestGateway) -> Option<u64> {
    gateway.shared.routing_config.load().as_ref().map(|c| c.version())
}

/// Returns a gateway that has read five registrations of two servers, and configurations up to version 3.
async fn gateway(one: &Backend, two: &Backend) -> TestGateway {
    let gateway = TestGateway::with_servers(&[one, two]).await;
    for report in 2..5 {
        gateway.store.register(one.registration(RegistrationState::Ready, report));
    }
    for version in [2, 3] {
        let (stream, record) = config(version);
        gateway.store.append(stream, record);
    }
    gateway
        .wait_until("all records are read", || {
            let fleet = gateway.shared.fleet();
            let position = fleet.server_watch.position();
            let config_position = fleet.config_watch.position();
            position.is_some_and(|p| p.offset == 5)
                && config_position.is_some_and(|p| p.offset == 3)
        })
        .await;
    gateway
}

async fn backends() -> (Backend, Backend) {
    (Backend::start("i-1", Behaviour::Serve).await, Backend::start("i-2", Behaviour::Serve).await)
}

/// Guards against draining and a route that are never seen because the snapshot of the restored store looks old.
#[tokio::test]
async fn draining_and_new_route_are_in_force_after_restore() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    let draining = server(&two, RegistrationState::Draining, 2);
    gateway.store.restore(1, vec![server(&two, RegistrationState::Ready, 1), draining, config(4)]);
    gateway
        .wait_until("the changes are in force", || {
            usable(&gateway) == 1 && version(&gateway) == Some(4)
        })
        .await;
}

/// Guards against records that are skipped because the restored store has grown past the watched offset.
#[tokio::test]
async fn records_written_again_below_the_known_offset_are_read() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    let mut written = vec![server(&two, RegistrationState::Draining, 2)];
    written.extend((5..12).map(|report| server(&one, RegistrationState::Ready, report)));
    gateway.store.restore(2, written);
    gateway.wait_until("the draining is known", || usable(&gateway) == 1).await;
}

/// Guards against a configuration that goes back to the one in the copy, and a drained server that the copy returns.
#[tokio::test]
async fn older_copy_does_not_take_back_what_was_confirmed() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    gateway.store.register(two.registration(RegistrationState::Draining, 2));
    gateway.wait_until("the draining is known", || usable(&gateway) == 1).await;
    gateway.store.restore(2, Vec::new());
    gateway
        .wait_until("the copy is read", || {
            let fleet = gateway.shared.fleet();
            let watches = [&fleet.server_watch, &fleet.config_watch];
            watches.iter().all(|watch| watch.position() == Some(StreamPosition::new(1, 2)))
        })
        .await;
    assert_eq!((usable(&gateway), version(&gateway)), (1, Some(3)));
}

async fn start_gossip(gateway: &TestGateway) {
    let socket = UdpSocket::bind(gateway.shared.settings.peer).await.expect("a free port");
    tokio::spawn(Gossip::new(gateway.shared.clone(), socket).run());
}

/// Guards against nodes that learn nothing from their peers until the restored store has as many records as before.
#[tokio::test]
async fn second_gateway_learns_the_restored_state_from_its_peer() {
    let (one, two) = backends().await;
    let reader = gateway(&one, &two).await;
    let second = TestGateway::with_empty_store().await;
    let _server = peer_rpc::serve(reader.shared.clone()).await.expect("it listens");
    for node in [&reader, &second] {
        start_gossip(node).await;
    }
    second.shared.fleet().peers.add_address(second.shared.now(), reader.shared.settings.peer);
    second.wait_until("it knows both servers", || usable(&second) == 2).await;
    let draining = server(&two, RegistrationState::Draining, 2);
    reader.store.restore(1, vec![server(&two, RegistrationState::Ready, 1), draining, config(4)]);
    second
        .wait_until("it knows the changes", || usable(&second) == 1 && version(&second) == Some(4))
        .await;
}

/// Guards against a restored store that lacks this node, so that processes which start later do not find it.
#[tokio::test]
async fn node_is_announced_again_after_restore() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    tokio::spawn(saved_state::run(gateway.shared.clone(), gateway.store.clone()));
    let peer = gateway.shared.settings.peer.to_string();
    let is_saved = || gateway.store.saved_contains(&format!("node/{peer}"), &peer);
    gateway.wait_until("the node is announced", is_saved).await;
    gateway.store.restore(2, Vec::new());
    gateway.wait_until("the node is announced again", is_saved).await;
}

/// The first datagram of version 0.1: a status without an era.
#[derive(Serialize)]
enum OldDatagram {
    Status {
        start: u64,
        entry: SocketAddr,
        data_centre: String,
        state: OldState,
        config_version: u64,
        registry_position: u64,
        store_reachable: bool,
    },
}

#[derive(Serialize)]
enum OldState {
    #[allow(dead_code, reason = "the order of the variants is the format")]
    Starting,
    Ready,
}

/// Returns the status of a ready node of version 0.1 that the store responds to, in the gateway's data centre.
fn old_status(entry: SocketAddr, config_version: u64) -> Vec<u8> {
    let status = OldDatagram::Status {
        start: 7,
        entry,
        data_centre: "a".into(),
        state: OldState::Ready,
        config_version,
        registry_position: 0,
        store_reachable: true,
    };
    postcard::to_allocvec(&status).expect("an encoded status")
}

/// Guards against nodes that take those of the version before for lost while a fleet is replaced.
#[tokio::test]
async fn status_of_the_version_before_is_understood() {
    let gateway = TestGateway::with_empty_store().await;
    start_gossip(&gateway).await;
    let old = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let bytes = old_status(gateway.entry, 0);
    old.send_to(&bytes, gateway.shared.settings.peer).await.expect("sent");
    let is_live = || gateway.shared.fleet().peers.live_count(gateway.shared.now()) == 2;
    gateway.wait_until("the old node is live", is_live).await;
}

/// Guards against nodes that drop the status of an earlier version, which ends after the era.
#[tokio::test]
async fn status_without_a_contact_is_understood() {
    let gateway = TestGateway::with_empty_store().await;
    start_gossip(&gateway).await;
    let earlier = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let bytes = postcard::to_extend(&3u64, old_status(gateway.entry, 0)).expect("encoded");
    earlier.send_to(&bytes, gateway.shared.settings.peer).await.expect("sent");
    let addr = earlier.local_addr().expect("bound");
    let has_era = || gateway.shared.fleet().peers.era_of(addr) == 3;
    gateway.wait_until("the status is known", has_era).await;
}

/// Starts two nodes of version 0.1 with lower addresses than the gateway, which send their status every 50 ms.
async fn start_old_nodes(gateway: &TestGateway) {
    for _ in 0..2 {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let (peer, bytes) = (gateway.shared.settings.peer, old_status(gateway.entry, 0));
        tokio::spawn(async move {
            loop {
                let _ = socket.send_to(&bytes, peer).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
    let is_live = || gateway.shared.fleet().peers.live_count(gateway.shared.now()) == 3;
    gateway.wait_until("the old nodes are live", is_live).await;
}

/// Guards against draining that is never known because a node leaves the store to two nodes of the version before.
#[tokio::test]
async fn node_reads_the_store_beside_readers_of_the_version_before() {
    let (one, two) = backends().await;
    let gateway = TestGateway::with_empty_store().await;
    gateway.store.restore(0, Vec::new());
    start_gossip(&gateway).await;
    start_old_nodes(&gateway).await;
    for (stream, record) in [
        config(1),
        server(&one, RegistrationState::Ready, 1),
        server(&two, RegistrationState::Ready, 1),
    ] {
        gateway.store.append(stream, record);
    }
    gateway.wait_until("the servers are known", || usable(&gateway) == 2).await;
    // The call that waited while the old nodes appeared has ended, and a later one has to be made.
    tokio::time::sleep(Duration::from_millis(600)).await;
    gateway.store.register(two.registration(RegistrationState::Draining, 2));
    gateway.wait_until("the draining is known", || usable(&gateway) == 1).await;
}

/// Guards against a configuration that a new node cannot get from one of the version before, which refuses a call with an era.
#[tokio::test]
async fn configuration_of_a_node_of_the_version_before_is_taken() {
    let one = Backend::start("i-1", Behaviour::Serve).await;
    let store = MemoryStore::default();
    store.restore(0, vec![config(1), server(&one, RegistrationState::Ready, 1)]);
    let gateway = TestGateway::with_store(store).await;
    gateway.wait_until("the server is known", || usable(&gateway) == 1).await;
    start_gossip(&gateway).await;
    // On an address of its own the port that is free for UDP is free for TCP as well.
    let old = UdpSocket::bind((own_loopback_ip(), 0)).await.expect("a free port");
    let mut module = RpcModule::new(());
    module
        .register_method("gateway.state", |params, (), _| {
            let (version, _): (u64, u64) = params.parse()?;
            let state =
                json!({"catalog": (version < 5).then(|| routing_config(5)), "servers": null});
            Ok::<_, ErrorObjectOwned>(state)
        })
        .expect("a new method");
    let server = jsonrpsee::server::Server::builder().set_config(peer_rpc::config(8));
    let server =
        server.build(old.local_addr().expect("bound")).await.expect("the TCP port is free");
    let _server = server.start(module);
    let (peer, bytes) = (gateway.shared.settings.peer, old_status(gateway.entry, 5));
    tokio::spawn(async move {
        loop {
            let _ = old.send_to(&bytes, peer).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    gateway.wait_until("it has the configuration", || version(&gateway) == Some(5)).await;
    // Guards against requests without keys, because nodes of the version before drop the workspaces.
    let mut complete = routing_config(5);
    complete.workspaces = Some(Vec::new());
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(complete)));
    let has_workspaces =
        || gateway.shared.routing_config.load().as_ref().is_some_and(|c| c.has_workspaces());
    gateway.wait_until("the store completes the configuration", has_workspaces).await;
}

/// Guards against a node that keeps what a first restored copy said when a second one follows before it was read.
#[tokio::test]
async fn second_restore_before_the_first_was_read_is_followed() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    gateway.store.restore(3, vec![server(&one, RegistrationState::Draining, 9), config(5)]);
    let draining = server(&two, RegistrationState::Draining, 2);
    gateway.store.restore(1, vec![server(&two, RegistrationState::Ready, 1), draining, config(4)]);
    let is_read = || {
        let position = gateway.shared.fleet().server_watch.position();
        position == Some(StreamPosition::new(2, 3))
    };
    gateway.wait_until("the second copy is read", is_read).await;
    gateway.wait_until("the draining is known", || usable(&gateway) == 1).await;
    gateway.wait_until("a configuration is in force", || version(&gateway) >= Some(4)).await;
}

/// Guards against a node that starts after a restore and keeps the older configuration of the copy, because the one that its
/// peers follow is never written again.
#[tokio::test]
async fn node_that_starts_after_a_restore_gets_the_lost_configuration_from_its_peer() {
    let (one, two) = backends().await;
    let reader = gateway(&one, &two).await;
    reader.store.restore(2, Vec::new());
    let _server = peer_rpc::serve(reader.shared.clone()).await.expect("it listens");
    start_gossip(&reader).await;
    let second = TestGateway::with_store(reader.store.clone()).await;
    second.wait_until("it read the copy", || version(&second) == Some(2)).await;
    second.shared.fleet().peers.add_address(second.shared.now(), reader.shared.settings.peer);
    start_gossip(&second).await;
    second.wait_until("it has the lost configuration", || version(&second) == Some(3)).await;
    assert_eq!(version(&reader), Some(3));
}

/// Guards against calls without a pause to a store that has no records at the end of its own snapshots.
#[tokio::test]
async fn store_without_its_newest_records_is_called_with_pauses() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    gateway.store.lose_history_always();
    let before = gateway.store.watch_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = gateway.store.watch_count() - before;
    assert!((2..=20).contains(&calls), "{calls} watches of two streams in 2 s");
}

/// Guards against an old list of failing servers that the copy holds, and that nodes which start later would take.
#[tokio::test]
async fn empty_list_of_failing_servers_is_saved_again_after_restore() {
    let (one, two) = backends().await;
    let gateway = gateway(&one, &two).await;
    tokio::spawn(saved_state::run(gateway.shared.clone(), gateway.store.clone()));
    let peer = gateway.shared.settings.peer.to_string();
    let is_saved = || gateway.store.saved_contains(&format!("node/{peer}"), &peer);
    gateway.wait_until("the node is announced", is_saved).await;
    gateway.store.restore(2, Vec::new());
    gateway.store.save_raw("suspects", r#"{"at_ms":9,"servers":[["i-1",0.9]]}"#);
    let is_replaced = || gateway.store.saved_contains("suspects", r#""servers":[]"#);
    gateway.wait_until("the list is empty", is_replaced).await;
}
