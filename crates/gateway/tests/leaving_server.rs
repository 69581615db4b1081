//! Servers that say in their responses that they leave.

mod common;

use common::{get, header, Backend, Behaviour, TestGateway};
use redwingtrestle_core::process::registration::{Registration, RegistrationState};

/// The requests after the response that says that the server leaves. Without the rule about half of them reach it.
const LATER_REQUESTS: usize = 16;

/// Calls until the server has answered once, and returns how many of the later requests reach it.
async fn reached_after_first(gateway: &TestGateway, server: &Backend) -> usize {
    let mut number = 0;
    while server.received().is_empty() {
        gateway.call(&get("/free/1", &format!("first-{number}"))).await;
        number += 1;
        assert!(number < 200, "the server was never tried");
    }
    reached(gateway, server).await
}

/// Returns how many of [`LATER_REQUESTS`] requests reach the server.
async fn reached(gateway: &TestGateway, server: &Backend) -> usize {
    let before = server.received().len();
    for number in 0..LATER_REQUESTS {
        let reply = gateway.call(&get("/free/1", &format!("later-{number}"))).await;
        assert_eq!(reply.status, 200);
    }
    server.received().len() - before
}

async fn two_servers(behaviour: Behaviour) -> (Backend, Backend, TestGateway) {
    let leaving = Backend::start("i-1", behaviour).await;
    let staying = Backend::start("i-2", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&leaving, &staying]).await;
    (leaving, staying, gateway)
}

/// Guards against new work for a server that says in a success, an error, a refusal or a long response that it leaves.
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_further_request() {
    for behaviour in [
        Behaviour::Leave(200),
        Behaviour::Leave(404),
        Behaviour::Leave(500),
        Behaviour::LeaveAndShed,
        Behaviour::LeaveWithLongBody,
    ] {
        let (leaving, _staying, gateway) = two_servers(behaviour).await;
        assert_eq!(reached_after_first(&gateway, &leaving).await, 0, "{behaviour:?}");
    }
}

/// Guards against a server out of use because a response of another attempt says that it leaves.
#[tokio::test]
async fn foreign_response_does_not_take_a_server_out_of_use() {
    let (server, other, gateway) = two_servers(Behaviour::LeaveForeignId).await;
    while server.received().is_empty() {
        gateway.call(&get("/free/1", "first")).await;
    }
    let is_usable = {
        let fleet = gateway.shared.fleet();
        let usable = fleet.registry.usable(gateway.shared.now(), &"orders".into());
        usable.iter().any(|s| s.registration().id == server.id)
    };
    assert!(is_usable, "{} requests reached the other server", other.received().len());
}

/// Guards against hiding from callers that the server of their response leaves.
#[tokio::test]
async fn leaving_header_is_passed_on() {
    let server = Backend::start("i-1", Behaviour::Leave(200)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let reply = gateway.call(&get("/free/1", "r1")).await;
    assert_eq!(header(&reply.head, "redwing-leaving"), "1");
}

/// Registers the server again and waits until the gateway knows it.
async fn register(gateway: &TestGateway, registration: Registration) {
    let id = registration.id.clone();
    gateway.store.register(registration.clone());
    gateway
        .wait_until("the record is known", || {
            let fleet = gateway.shared.fleet();
            fleet.registry.server(&id).is_some_and(|s| *s.registration() == registration)
        })
        .await;
}

/// Guards against a store that is behind and brings a leaving server back into use.
#[tokio::test]
async fn later_ready_record_does_not_bring_a_leaving_server_back() {
    let (leaving, _staying, gateway) = two_servers(Behaviour::Leave(200)).await;
    reached_after_first(&gateway, &leaving).await;
    register(&gateway, leaving.registration(RegistrationState::Ready, 9)).await;
    assert_eq!(reached(&gateway, &leaving).await, 0);
}

/// Guards against a restarted server that stays out of use because its earlier start left.
#[tokio::test]
async fn new_start_of_a_leaving_server_gets_work() {
    let (server, _other, gateway) = two_servers(Behaviour::Leave(200)).await;
    reached_after_first(&gateway, &server).await;
    server.set(Behaviour::Serve);
    let restarted = Registration { started: 2, ..server.registration(RegistrationState::Ready, 1) };
    register(&gateway, restarted).await;
    assert!(reached(&gateway, &server).await > 0);
}

/// Guards against refusing callers at once because the only server of a service says that it leaves.
#[tokio::test]
async fn only_server_serves_for_a_while_after_it_says_that_it_leaves() {
    let server = Backend::start("i-1", Behaviour::Leave(200)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    assert_eq!(gateway.call(&get("/free/1", "r1")).await.status, 200);
    assert_eq!(gateway.call(&get("/free/1", "r2")).await.status, 200);
    tokio::time::sleep(std::time::Duration::from_millis(1_700)).await;
    assert_eq!(gateway.call(&get("/free/1", "r3")).await.status, 503);
    assert_eq!(server.received().len(), 2);
}
