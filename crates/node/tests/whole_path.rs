//! End-to-end requests from callers through nodes in separate processes to backend servers.

mod common;

use common::{Fleet, CONDITION_TIMEOUT};
use redwingtrestle_fakes::backend::{BackendOptions, Fault};
use redwingtrestle_wire::caller::{self, RefusalBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn read_refusal(response: reqwest::Response) -> RefusalBody {
    let bytes = response.bytes().await.expect("a whole refusal");
    serde_json::from_slice(&bytes).expect("a refusal is JSON")
}

/// Guards against a node that cannot serve reads or keyed orders as the entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_nodes_serve_reads_and_keyed_orders() {
    let fleet = Fleet::start(2, 3, BackendOptions::default()).await;
    for node in 0..2 {
        let view = fleet.client.get(fleet.nodes[node].url("/stock/7")).send().await.unwrap();
        assert_eq!(view.status(), 200);
        assert_eq!(view.headers()[caller::OUTCOME], "ran");
        assert!(view.text().await.unwrap().contains("/stock/7"));
        let key = format!("{}.order-{node}", fleet.entries(node).await.key_prefix);
        let order = fleet.client.post(fleet.nodes[node].url("/orders"));
        let order =
            order.header(caller::IDEMPOTENCY_KEY, &key).body("spruce").send().await.unwrap();
        assert_eq!(order.status(), 200);
        assert_eq!(fleet.runs(&key), 1);
    }
}

/// Guards against a request without a route that reaches a server or is refused without its code.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_route_is_refused_as_not_run() {
    let fleet = Fleet::start(1, 1, BackendOptions::default()).await;
    let response = fleet.client.get(fleet.nodes[0].url("/nowhere")).send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert_eq!(response.headers()[caller::OUTCOME], "not_run");
    let body = read_refusal(response).await;
    assert_eq!((body.code, body.name.as_str()), (1001, "no_route"));
    assert_eq!(fleet.total_runs(), 0);
}

/// Guards against truncated bodies when the request has 5 MiB and the response 3 MiB.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_request_and_response_bodies_arrive_complete() {
    let options = BackendOptions { response_bytes: 3 << 20, ..BackendOptions::default() };
    let fleet = Fleet::start(1, 1, options).await;
    let body = vec![b'x'; 5 << 20];
    let response = fleet.client.post(fleet.nodes[0].url("/orders")).body(body).send().await;
    let response = response.unwrap();
    assert_eq!(response.status(), 200);
    let text = response.text().await.unwrap();
    assert_eq!(text.len(), 3 << 20);
    assert!(text.contains(&format!("\"bytes\":{}", 5 << 20)));
}

/// Guards against delivering a response that the server truncated as a complete one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_response_is_not_delivered_as_complete() {
    let options = BackendOptions { response_bytes: 1 << 20, ..BackendOptions::default() };
    let fleet = Fleet::start(1, 1, options).await;
    fleet.servers[0].set_fault(Fault::Truncate);
    let response = fleet.client.get(fleet.nodes[0].url("/stock")).send().await;
    let read = match response {
        Ok(response) => response.bytes().await.map(|b| b.len()),
        Err(e) => Err(e),
    };
    assert!(read.is_err(), "a short response was read as complete: {read:?}");
    fleet.servers[0].set_fault(Fault::TruncateChunked);
    let response = fleet.client.post(fleet.nodes[0].url("/orders")).send().await.unwrap();
    assert_eq!(response.headers()[caller::OUTCOME], "unknown");
    assert_eq!(read_refusal(response).await.code, 3003);
}

/// Guards against Rocket's form field `_method` changing the method of a proxied request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn form_field_does_not_change_the_method() {
    let fleet = Fleet::start(1, 1, BackendOptions::default()).await;
    for body in ["_method=delete&item=7", "_method=PUT&item=7", "_method=get"] {
        let request = fleet.client.post(fleet.nodes[0].url("/orders")).body(body);
        let request = request.header("content-type", "application/x-www-form-urlencoded");
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 200, "{body}");
        assert!(response.text().await.unwrap().contains(&format!("\"bytes\":{}", body.len())));
    }
    assert_eq!(fleet.total_runs(), 3);
}

/// Guards against a caller that keeps a request open past its deadline by sending the body slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_body_is_refused_at_its_deadline() {
    let fleet = Fleet::start(1, 1, BackendOptions::default()).await;
    let mut socket = tokio::net::TcpStream::connect(fleet.nodes[0].entry).await.unwrap();
    let head = format!("POST /orders HTTP/1.1\r\nhost: a\r\n{}: 200\r\n", caller::DEADLINE);
    let start = format!("{head}content-length: 100\r\n\r\ntwenty bytes of body");
    socket.write_all(start.as_bytes()).await.unwrap();
    let mut response = [0; 1024];
    let read = tokio::time::timeout(CONDITION_TIMEOUT, socket.read(&mut response)).await;
    let count = read.expect("a response in time").unwrap();
    let response = String::from_utf8_lossy(&response[..count]).to_ascii_lowercase();
    assert!(response.contains(&format!("{}: 2002", caller::RESULT_CODE)), "{response}");
    assert_eq!(fleet.total_runs(), 0);
}
