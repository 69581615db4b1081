//! Servers that name a limit on the requests per second from all nodes together.

mod common;

use common::{get, Backend, Behaviour, TestGateway};
use std::time::{Duration, Instant};

/// The limit that the server in need names, in requests per second.
const LIMIT: f64 = 2.0;

/// Requests per second that each gateway gets.
const CALLS_PER_SECOND: u32 = 15;

/// The time after the first response that names the limit in which nodes must adapt to it.
const ADAPTATION: Duration = Duration::from_secs(3);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that a server with this limit may get in a window: half as many again as the limit, and 5.
fn most_allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the largest number of requests in one window among those that arrived at or after `from`.
fn most_in_window(server: &Backend, from: Instant) -> usize {
    let received = server.received().into_iter().map(|request| request.at);
    let times: Vec<Instant> = received.filter(|at| *at >= from).collect();
    let in_window = |first: &Instant| {
        times.iter().filter(|at| *at >= first && at.duration_since(*first) < WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Starts three gateways that know each other and these servers.
async fn fleet(servers: &[&Backend]) -> [TestGateway; 3] {
    let gateways = [
        TestGateway::with_servers(servers).await,
        TestGateway::with_servers(servers).await,
        TestGateway::with_servers(servers).await,
    ];
    for gateway in &gateways {
        gateway.join(&gateways.each_ref()).await;
    }
    for gateway in &gateways {
        let sees_all = || gateway.shared.fleet().peers.live_count(gateway.shared.now()) == 3;
        gateway.wait_until("the nodes know each other", sees_all).await;
    }
    gateways
}

/// Sends requests to all gateways for `time`, and returns the statuses of the replies.
async fn call_all(gateways: &[TestGateway], time: Duration) -> Vec<u16> {
    let calls = gateways.iter().map(|gateway| call_for(gateway, time));
    futures_util::future::join_all(calls).await.concat()
}

async fn call_for(gateway: &TestGateway, time: Duration) -> Vec<u16> {
    let mut timer = tokio::time::interval(Duration::from_secs(1) / CALLS_PER_SECOND);
    let until = Instant::now() + time;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        timer.tick().await;
        let attempt = format!("{}-{}", gateway.entry, statuses.len());
        statuses.push(gateway.call(&get("/free/1", &attempt)).await.status);
    }
    statuses
}

/// Guards against a fleet that sends a server more than the limit it names, while other servers have room.
#[tokio::test]
async fn fleet_keeps_the_limit_that_a_server_names() {
    let limited = Backend::start("i-1", Behaviour::Limit(200, (LIMIT * 10.0) as u32)).await;
    let (two, three) = (
        Backend::start("i-2", Behaviour::Serve).await,
        Backend::start("i-3", Behaviour::Serve).await,
    );
    let gateways = fleet(&[&limited, &two, &three]).await;
    let begun = Instant::now();
    let statuses = call_all(&gateways, ADAPTATION + WINDOW + Duration::from_secs(2)).await;
    let unserved = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(unserved, 0, "of {} callers", statuses.len());
    let most = most_in_window(&limited, begun + ADAPTATION);
    assert!(
        most <= most_allowed(LIMIT),
        "{most} requests in a window, {} allowed",
        most_allowed(LIMIT)
    );
    assert!(most > 0, "the server gets no work");
}
