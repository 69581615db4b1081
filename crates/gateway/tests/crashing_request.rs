//! Requests that end the servers that run them.

mod common;

use common::{
    crashing::{
        CrashingServer, DEADLY_AT_ONCE_PATH, DEADLY_DOWNLOAD_PATH, DEADLY_PATH, SAFE_AGENT,
    },
    get, header, routing_config, MemoryStore, TestGateway,
};
use redwingtrestle_gateway::store::{Record, Stream};
use std::time::Duration;

/// The servers that the request may end before it is known, and the repeats on which the nodes may still be late.
const MOST_RUNS: u32 = 3 + 3;

/// Servers of the service.
const SERVERS: usize = 8;

/// Starts three gateways that know each other and the servers.
async fn fleet() -> (Vec<TestGateway>, Vec<CrashingServer>) {
    let mut gateways = Vec::new();
    for _ in 0..3 {
        gateways.push(TestGateway::with_empty_store().await);
    }
    let stores: Vec<MemoryStore> = gateways.iter().map(|gateway| gateway.store.clone()).collect();
    for store in &stores {
        let config = Record::RoutingConfig(Box::new(routing_config(1)));
        store.append(Stream::Configuration, config);
    }
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(CrashingServer::start(&format!("i-{number}"), stores.clone()).await);
    }
    let others: Vec<&TestGateway> = gateways.iter().collect();
    for gateway in &gateways {
        gateway.join(&others).await;
    }
    for gateway in &gateways {
        let shared = &gateway.shared;
        let is_ready = || {
            let fleet = shared.fleet();
            let servers = fleet.registry.registrations().len();
            servers == SERVERS && fleet.peers.live_count(shared.now()) == others.len()
        };
        gateway.wait_until("the fleet is ready", is_ready).await;
    }
    (gateways, servers)
}

/// Guards against a request that ends server after server because it comes again with another id, at another node.
#[tokio::test]
async fn request_that_crashes_servers_is_not_sent_on_and_on() {
    let (gateways, servers) = fleet().await;
    let mut replies = Vec::new();
    for number in 0..24 {
        let gateway = &gateways[number % gateways.len()];
        replies.push(gateway.call(&get(DEADLY_PATH, &format!("deadly-{number}"))).await);
        let other =
            gateway.call(&get(&format!("/free/{number}"), &format!("other-{number}"))).await;
        assert_eq!(other.status, 200, "another request, number {number}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let runs: u32 = servers.iter().map(CrashingServer::runs).sum();
    assert!(runs <= MOST_RUNS, "it ran {runs} times, {MOST_RUNS} allowed");
    let last = replies.last().expect("a reply");
    let wait: f64 = header(&last.head, "retry-after").parse().expect("a number of seconds");
    assert_eq!((last.status, wait > 10.0), (503, true), "{last:?}");
}

/// Guards against a request that ends several servers within milliseconds, whose next visits end as many again because the
/// ends count as one fault.
#[tokio::test]
async fn request_that_ends_servers_at_once_is_refused_at_its_next_visit() {
    let (gateways, servers) = fleet().await;
    let visit = |number: usize| {
        let gateway = &gateways[number % gateways.len()];
        async move { gateway.call(&get(DEADLY_AT_ONCE_PATH, &format!("deadly-{number}"))).await }
    };
    let runs = || servers.iter().map(CrashingServer::runs).sum::<u32>();
    // The caller repeats the request at once at another node.
    for number in 0..2 {
        visit(number).await;
    }
    assert!(runs() >= 3, "{} runs end no three servers", runs());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = runs();
    for number in 2..5 {
        assert_eq!(visit(number).await.status, 503);
    }
    assert_eq!(runs(), before, "it ran again");
}

/// Guards against a download that ends server after server because it counts as served at the head of its response.
#[tokio::test]
async fn download_that_ends_servers_midway_is_blocked() {
    let (gateways, servers) = fleet().await;
    for number in 0..8 {
        let reply = gateways[0].call(&get(DEADLY_DOWNLOAD_PATH, &format!("deadly-{number}"))).await;
        assert!(!reply.is_complete || reply.status == 503, "{}", reply.head);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let runs: u32 = servers.iter().map(CrashingServer::runs).sum();
    assert_eq!(runs, 3, "the third server that ends blocks it");
}

/// Returns an upload of 300 kB that consists of `word` again and again, in chunks or with its length.
fn upload(word: &str, attempt: &str, is_chunked: bool) -> String {
    let body = word.repeat(300_000 / word.len());
    let (framing, body) = match is_chunked {
        true => (
            "Transfer-Encoding: chunked".to_string(),
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
        false => (format!("Content-Length: {}", body.len()), body),
    };
    let head = get("/free/upload", attempt).replacen("GET", "POST", 1);
    head.replacen("\r\n\r\n", &format!("\r\n{framing}\r\n\r\n"), 1) + &body
}

/// Guards against a long upload that ends server after server because other uploads of its length to its path are served.
#[tokio::test]
async fn long_upload_that_ends_servers_is_blocked_beside_good_ones() {
    for is_chunked in [false, true] {
        let (gateways, servers) = fleet().await;
        for number in 0..6 {
            gateways[0].call(&upload("deadly", &format!("deadly-{number}"), is_chunked)).await;
            // The server is back, so that no good upload is lost with it.
            tokio::time::sleep(Duration::from_millis(800)).await;
            let good = upload("normal", &format!("good-{number}"), is_chunked);
            assert_eq!(gateways[0].call(&good).await.status, 200, "upload {number}");
        }
        let runs: u32 = servers.iter().map(CrashingServer::runs).sum();
        assert_eq!(runs, 3, "the third server that ends blocks it, in chunks: {is_chunked}");
    }
}

/// Guards against blocking another caller's request of the same path.
#[tokio::test]
async fn same_path_of_another_caller_is_served() {
    let (gateways, _servers) = fleet().await;
    for number in 0..6 {
        gateways[0].call(&get(DEADLY_PATH, &format!("deadly-{number}"))).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let blocked = gateways[1].call(&get(DEADLY_PATH, "deadly-again")).await;
    assert!(String::from_utf8_lossy(&blocked.body).contains("crashes_servers"), "{blocked:?}");
    let agent = format!("User-Agent: {SAFE_AGENT}\r\n\r\n");
    let other = get(DEADLY_PATH, "other").replacen("\r\n\r\n", &format!("\r\n{agent}"), 1);
    assert_eq!(gateways[1].call(&other).await.status, 200);
}

/// Guards against blocking a frequent request because it is often in flight at servers that end under another one.
#[tokio::test]
async fn frequent_request_beside_a_deadly_one_is_not_blocked() {
    let (gateways, _servers) = fleet().await;
    let frequent = async {
        let mut blocked = 0;
        for number in 0..150 {
            let gateway = &gateways[number % gateways.len()];
            let reply = gateway.call(&get("/free/frequent", &format!("frequent-{number}"))).await;
            blocked += u32::from(String::from_utf8_lossy(&reply.body).contains("crashes_servers"));
        }
        blocked
    };
    let deadly = async {
        for number in 0..12 {
            // Each is a request of its own, so that servers go on ending.
            let path = format!("{DEADLY_PATH}/{number}");
            gateways[number % 3].call(&get(&path, &format!("deadly-{number}"))).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    };
    let (blocked, ()) = tokio::join!(frequent, deadly);
    assert_eq!(blocked, 0);
}
