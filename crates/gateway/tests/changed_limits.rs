//! Limits on what callers may send that change while callers keep their connections.

mod common;

use common::{get, header, routing_config, Backend, Behaviour, Caller, TestGateway};
use redwingtrestle_gateway::store::{Record, Stream};
use std::time::Duration;
use tokio::io::AsyncReadExt;

const SHORT: usize = 4 * 1024;
const LONG: usize = 20 * 1024;

/// Publishes a configuration with this limit on heads, and waits until it is in force.
async fn set_head_limit(gateway: &TestGateway, version: u64, head: usize) {
    let mut config = routing_config(version);
    config.limits.head = head;
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(config)));
    let is_known = || {
        let config = gateway.shared.routing_config.load();
        config.as_ref().is_some_and(|c| c.version() == version)
    };
    gateway.wait_until("the limit is in force", is_known).await;
}

/// Returns a request whose head has about `length` bytes.
fn with_head(length: usize, attempt: &str) -> String {
    let filler = format!("\r\nX-Context: {}\r\n\r\n", "a".repeat(length));
    get("/free/1", attempt).replacen("\r\n\r\n", &filler, 1)
}

async fn gateway(behaviour: Behaviour) -> (TestGateway, Backend) {
    let server = Backend::start("i-1", behaviour).await;
    (TestGateway::with_servers(&[&server]).await, server)
}

async fn status(caller: &mut Caller, text: &str) -> u16 {
    caller.send(text).await;
    caller.reply().await.expect("a reply").status
}

/// Guards against kept connections that refuse heads by a limit that was raised long ago.
#[tokio::test]
async fn raised_limit_holds_on_a_kept_connection() {
    let (gateway, _server) = gateway(Behaviour::Serve).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(status(&mut caller, &with_head(SHORT, "r1")).await, 200);
    set_head_limit(&gateway, 2, 2 * LONG).await;
    for attempt in ["r2", "r3"] {
        assert_eq!(status(&mut caller, &with_head(LONG, attempt)).await, 200);
    }
}

/// Guards against kept connections that accept heads by a limit that was lowered long ago.
#[tokio::test]
async fn lowered_limit_holds_on_a_kept_connection() {
    let (gateway, _server) = gateway(Behaviour::Serve).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(status(&mut caller, &with_head(12 * 1024, "r1")).await, 200);
    set_head_limit(&gateway, 2, 10 * 1024).await;
    assert_eq!(status(&mut caller, &with_head(SHORT, "r2")).await, 200);
    assert_eq!(status(&mut caller, &with_head(12 * 1024, "r3")).await, 431);
}

/// Guards against a head that is refused, or loses bytes, because the limit is raised while it arrives.
#[tokio::test]
async fn limit_is_raised_in_the_middle_of_a_head() {
    let (gateway, server) = gateway(Behaviour::Serve).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(status(&mut caller, &with_head(SHORT, "r1")).await, 200);
    let text = with_head(LONG, "r2");
    let (first, rest) = text.split_at(10 * 1024);
    caller.send(first).await;
    // The first part is read before the change, and the head is complete within its time limit.
    tokio::time::sleep(Duration::from_millis(50)).await;
    set_head_limit(&gateway, 2, 2 * LONG).await;
    assert_eq!(status(&mut caller, rest).await, 200);
    let heads = server.received();
    let context = header(&heads.last().expect("a request").head, "x-context");
    assert_eq!(context.len(), LONG, "bytes of the head are missing or doubled");
}

/// Guards against a reply that is cut because the limit changes while its request is served, and against a connection that
/// keeps the limit of before for that.
#[tokio::test]
async fn limit_is_raised_while_a_request_is_served() {
    let (gateway, _server) = gateway(Behaviour::Delay(400)).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&with_head(SHORT, "r1")).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    set_head_limit(&gateway, 2, 2 * LONG).await;
    let reply = caller.reply().await.expect("a reply");
    assert_eq!((reply.status, reply.is_complete), (200, true));
    assert_eq!(status(&mut caller, &with_head(LONG, "r2")).await, 200);
}

/// Guards against requests that are lost because they arrive together with others while the limit changes.
#[tokio::test]
async fn requests_that_arrive_together_are_served_while_the_limit_changes() {
    let (gateway, _server) = gateway(Behaviour::Serve).await;
    let mut caller = Caller::connect(gateway.entry).await;
    let text: String = (0..30).map(|number| with_head(100, &format!("r{number}"))).collect();
    caller.send(&text).await;
    for version in 2..8 {
        set_head_limit(&gateway, version, 16 * 1024 + version as usize).await;
    }
    let text = read_replies(&mut caller, 30).await;
    let ids: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("redwing-request-id: ").map(str::to_string))
        .collect();
    assert_eq!(ids, (0..30).map(|number| format!("r{number}")).collect::<Vec<_>>(), "{text}");
    assert_eq!(text.matches("http/1.1 200").count(), 30, "{text}");
}

/// Returns the text of `count` replies that arrive together, in lower case, or less if the connection ends before.
async fn read_replies(caller: &mut Caller, count: usize) -> String {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        // Each reply has the body `ok`.
        if text.matches("\r\n\r\nok").count() == count {
            return text;
        }
        let reading = caller.socket.read(&mut buffer);
        match tokio::time::timeout(Duration::from_secs(5), reading).await {
            Ok(Ok(read)) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return text,
        }
    }
}
