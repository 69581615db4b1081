//! Servers that turn requests away and ask for a pause.

mod common;

use common::{get, header, post, Backend, Behaviour, TestGateway};
use std::time::Duration;

/// Returns how many of 8 requests reach the only server after it has asked for a pause.
async fn reached_in_pause(behaviour: Behaviour) -> usize {
    let server = Backend::start("i-1", behaviour).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    gateway.call(&get("/free/1", "first")).await;
    let before = server.received().len();
    for number in 0..8 {
        gateway.call(&get("/free/1", &format!("later-{number}"))).await;
    }
    server.received().len() - before
}

/// Guards against requests to a server that asked for a pause, whether or not its refusal says "not run".
#[tokio::test]
async fn server_that_asks_for_a_pause_gets_no_request() {
    for behaviour in [Behaviour::Pause(20_000), Behaviour::PauseUnmarked(20_000)] {
        assert_eq!(reached_in_pause(behaviour).await, 0, "{behaviour:?}");
    }
}

/// Guards against a request that waits although all servers pause, and against callers told to return too early.
#[tokio::test]
async fn request_is_refused_at_once_while_all_servers_pause() {
    let server = Backend::start("i-1", Behaviour::Pause(4_000)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    gateway.call(&post("r1")).await;
    let reply = gateway.call(&post("r2")).await;
    assert_eq!((reply.status, server.received().len()), (503, 1));
    assert!(reply.elapsed < Duration::from_millis(200), "{:?}", reply.elapsed);
    let wait: f64 = header(&reply.head, "retry-after").parse().expect("a number");
    assert!((3.0..6.0).contains(&wait), "{wait}");
}

/// Guards against a server that stays out of use after its pause.
#[tokio::test]
async fn server_gets_work_after_its_pause() {
    let server = Backend::start("i-1", Behaviour::Pause(500)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    gateway.call(&post("r1")).await;
    server.set(Behaviour::Serve);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(gateway.call(&post("r2")).await.status, 200);
}
