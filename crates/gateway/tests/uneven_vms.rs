//! The processor and the slowdown of a node in its status, beside nodes of earlier versions and faulty ones.

mod common;

use common::{own_loopback_ip, TestGateway};
use redwingtrestle_core::{
    cases,
    process::{cpu_share::CpuShare, slowdown::Slowdown},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// A status as all versions encode it. In the version before, an era and a [`Contact`] follow.
#[derive(Serialize, Deserialize)]
enum Status {
    Status {
        start: u64,
        entry: SocketAddr,
        data_centre: String,
        state: u32,
        config_version: u64,
        registry_position: u64,
        store_reachable: bool,
    },
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Contact {
    node: u32,
    number: u32,
    age_ms: u32,
}

/// Starts a gateway with a tenth of a core and a socket that is its only peer.
async fn small_gateway() -> (TestGateway, UdpSocket) {
    let gateway = TestGateway::with_settings(r#""cpu_share": 0.1"#, &[]).await;
    let peer = UdpSocket::bind((own_loopback_ip(), 0)).await.expect("a free port");
    let addr = peer.local_addr().expect("bound");
    gateway.shared.fleet().peers.add_address(gateway.shared.now(), addr);
    gateway.join(&[]).await;
    (gateway, peer)
}

/// Guards against a status that nodes of the version before cannot read, so that they take new nodes for lost.
#[tokio::test]
async fn status_is_read_by_the_version_before() {
    let (gateway, peer) = small_gateway().await;
    let mut buffer = [0; 1_500];
    let (count, _) = peer.recv_from(&mut buffer).await.expect("a status");
    let (Status::Status { entry, .. }, rest) =
        postcard::take_from_bytes(&buffer[..count]).expect("a status");
    assert_eq!(entry, gateway.entry);
    let (_, rest) = postcard::take_from_bytes::<u64>(rest).expect("an era");
    postcard::from_bytes::<Contact>(rest).expect("a contact, and ignored bytes after it");
    let (_, pace) = postcard::take_from_bytes::<Contact>(rest).expect("a contact");
    assert_eq!(postcard::from_bytes(pace), Ok((100u32, 100u32)));
}

/// Returns the status of a ready node, which `tail` follows.
fn status(gateway: &TestGateway, tail: &[u8]) -> Vec<u8> {
    let status = Status::Status {
        start: 7,
        entry: gateway.entry,
        data_centre: "a".into(),
        state: 1,
        config_version: 0,
        registry_position: 0,
        store_reachable: true,
    };
    [&postcard::to_allocvec(&status).expect("encoded"), tail].concat()
}

/// Returns what the gateway takes a peer's processor (as the median with its own) and the suitable slowdown for, after a
/// status that `tail` follows.
fn view(tail: &[u8]) -> (u32, u32) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (gateway, peer) = small_gateway().await;
        let bytes = status(&gateway, tail);
        peer.send_to(&bytes, gateway.shared.settings.peer).await.expect("sent");
        let is_live = || gateway.shared.fleet().peers.live_count(gateway.shared.now()) == 2;
        gateway.wait_until("the peer is live", is_live).await;
        let fleet = gateway.shared.fleet();
        (fleet.peers.typical_share().thousandths(), fleet.peers.suitable_slowdown().percent())
    })
}

fn tail(share: u32, slowdown: u32) -> Vec<u8> {
    let contact = Contact { node: 3, number: 1, age_ms: 5 };
    postcard::to_allocvec(&(1u64, contact, share, slowdown)).expect("encoded")
}

fn cut(bytes: usize) -> Vec<u8> {
    let mut tail = tail(400, 100);
    tail.truncate(tail.len() - bytes);
    tail
}

const OWN: u32 = 100;

cases! { view;
    /// Guards against a share that does not arrive.
    share_is_known: &tail(400, 100) => (400, 200),
    /// Guards against slow messages to nodes of earlier versions, which take their sender for lost.
    status_without_a_tail: &[] => (OWN, 100),
    status_that_ends_after_the_contact: &cut(3) => (OWN, 100),
    /// Guards against a status that is dropped because its last part is cut short.
    status_that_ends_within_the_pace: &cut(2) => (OWN, 100),
    status_that_ends_before_the_slowdown: &cut(1) => (OWN, 100),
    /// Guards against a faulty node that sets the rates of the fleet.
    share_of_0: &tail(0, 100) => (OWN, 200),
    absurd_share: &tail(u32::MAX, 100) => (OWN, 200),
    absurd_slowdown: &tail(400, 70_000) => (400, 200),
    /// Guards against a status of a later version that is dropped because of its further parts.
    status_with_a_further_part: &[tail(400, 100), vec![9, 9]].concat() => (400, 200),
}

/// Guards against a node that announces another slowdown than the one by which it sends.
#[tokio::test]
async fn slowdown_in_force_is_announced() {
    let (gateway, peer) = small_gateway().await;
    let mut buffer = [0; 1_500];
    let mut announced = Vec::new();
    while announced.last().is_none_or(|last| *last < 104) {
        let bytes = status(&gateway, &tail(100, 100));
        peer.send_to(&bytes, gateway.shared.settings.peer).await.expect("sent");
        let (count, _) = peer.recv_from(&mut buffer).await.expect("a datagram");
        let Ok((Status::Status { .. }, rest)) = postcard::take_from_bytes(&buffer[..count]) else {
            continue;
        };
        let (_, _, share, slowdown): (u64, Contact, u32, u32) =
            postcard::from_bytes(rest).expect("a tail");
        assert_eq!(CpuShare::from_thousandths(share), Some(CpuShare::from_cores(0.1)));
        announced.push(slowdown);
    }
    assert!(announced.is_sorted(), "it grows slowly: {announced:?}");
    assert!(gateway.shared.fleet().peers.slowdown() > Slowdown::NONE);
}
