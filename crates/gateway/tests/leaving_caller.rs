//! Callers that close their connection while their at-most-once request has not run yet.

mod common;

use common::{post, Backend, Behaviour, Caller, TestGateway};
use std::time::Duration;

/// How long a caller stays.
const STAY: Duration = Duration::from_millis(50);

/// After this time no further send of a request can begin: it is longer than the refusals and the waits of the tests.
const SETTLED: Duration = Duration::from_millis(1_200);

/// Starts a gateway with two servers that refuse each order after a time in their queue.
async fn with_late_refusals() -> (TestGateway, [Backend; 2]) {
    let servers = [
        Backend::start("i-1", Behaviour::ShedAfter(400)).await,
        Backend::start("i-2", Behaviour::ShedAfter(400)).await,
    ];
    let gateway = TestGateway::with_servers(&[&servers[0], &servers[1]]).await;
    (gateway, servers)
}

/// Sends an order whose caller leaves after [`STAY`].
async fn send_and_leave(gateway: &TestGateway, attempt: &str) {
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&post(attempt)).await;
    tokio::time::sleep(STAY).await;
}

fn arrivals(servers: &[Backend]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}

/// Guards against an order that a server refuses after its caller left, and that then runs at another one.
#[tokio::test]
async fn order_that_is_refused_after_its_caller_left_is_not_sent_again() {
    let (gateway, servers) = with_late_refusals().await;
    send_and_leave(&gateway, "r1").await;
    tokio::time::sleep(SETTLED).await;
    assert_eq!(arrivals(&servers), 1);
    assert_eq!(gateway.shared.open_count(), 0, "the request still waits");
}

/// Guards against an order that is sent again after a pause, because its only server refused it, although its caller left
/// during the pause.
#[tokio::test]
async fn order_whose_caller_left_before_the_retry_is_not_sent_again() {
    let server = Backend::start("i-1", Behaviour::Shed).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    send_and_leave(&gateway, "r1").await;
    tokio::time::sleep(SETTLED).await;
    assert_eq!(server.received().len(), 1);
}

/// Guards against an order that is not sent again although its caller still waits.
#[tokio::test]
async fn order_that_is_refused_late_is_sent_again_while_its_caller_waits() {
    let (gateway, servers) = with_late_refusals().await;
    assert_eq!(gateway.call(&post("r1")).await.status, 503);
    assert_eq!(arrivals(&servers), 2);
}
