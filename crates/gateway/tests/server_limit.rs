//! Servers that name a limit on the requests per second from all nodes together.

mod common;

use common::{
    get, header, post,
    scripted::{success, ScriptedServer, Step},
    Backend, Behaviour, TestGateway,
};
use redwingtrestle_core::process::{
    registration::{Registration, RegistrationState},
    tracked_server::TrackedServer,
};
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

/// Returns the limit that a gateway knows of a server.
fn known_limit(gateway: &TestGateway, server: &Backend) -> Option<f64> {
    gateway.shared.fleet().registry.server(&server.id).and_then(TrackedServer::limit)
}

/// Guards against a node that sends without a limit until its own response names one, or after another's no longer does.
#[tokio::test]
async fn nodes_learn_a_limit_and_its_end_from_each_other() {
    let server = Backend::start("i-1", Behaviour::Limit(200, 300)).await;
    let gateways = fleet(&[&server]).await;
    assert_eq!(gateways[0].call(&get("/free/1", "r1")).await.status, 200);
    for gateway in &gateways {
        let knows = || known_limit(gateway, &server) == Some(30.0);
        gateway.wait_until("the limit is known", knows).await;
    }
    server.set(Behaviour::Serve);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(gateways[0].call(&get("/free/1", "r2")).await.status, 200);
    for gateway in &gateways {
        let knows = || known_limit(gateway, &server).is_none();
        gateway.wait_until("the end of the limit is known", knows).await;
    }
}

/// Guards against a request that waits for a server whose limit leaves no room for long, and a caller told to return at once.
#[tokio::test]
async fn request_is_refused_at_once_while_limits_leave_no_room() {
    let server = Backend::start("i-1", Behaviour::Limit(200, 2)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    assert_eq!(gateway.call(&get("/free/1", "r1")).await.status, 200);
    let mut reply = gateway.call(&get("/free/1", "r2")).await;
    if reply.status == 200 {
        // A node may begin with a part of a request.
        reply = gateway.call(&get("/free/1", "r3")).await;
    }
    assert_eq!(reply.status, 503);
    assert!(reply.elapsed < Duration::from_millis(300), "{:?}", reply.elapsed);
    let wait: f64 = header(&reply.head, "retry-after").parse().expect("a number of seconds");
    assert!((0.5..=6.0).contains(&wait), "{wait}");
}

/// Guards against taking a limit from a response of another attempt, or a value that is no number for the end of one.
#[tokio::test]
async fn limit_counts_only_from_a_readable_header_of_the_own_response() {
    let server = ScriptedServer::start("i-1", |turn| {
        let limit = if turn.id == "r2" { "many" } else { "30" };
        let id = if turn.id == "r3" { "another" } else { turn.id.as_str() };
        let named =
            if turn.id == "r3" { String::new() } else { format!("redwing-limit: {limit}\r\n") };
        let response =
            success(id, "ok").replacen("content-length", &format!("{named}content-length"), 1);
        vec![Step::Run, Step::text(response)]
    })
    .await;
    let gateway = TestGateway::with_servers(&[]).await;
    let other = Backend::start("i-1", Behaviour::Serve).await;
    let registration = other.registration(RegistrationState::Ready, 1);
    gateway.store.register(Registration { addr: server.addr, ..registration });
    let is_known = || gateway.shared.fleet().registry.server(&server.id).is_some();
    gateway.wait_until("the server is known", is_known).await;
    for id in ["r1", "r2", "r3"] {
        gateway.call(&post(id)).await;
        assert_eq!(known_limit(&gateway, &other), Some(30.0), "after {id}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
