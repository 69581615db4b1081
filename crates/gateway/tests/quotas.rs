//! Quotas of workspaces that two joined gateways keep together.

mod common;

use common::{get, header, post, routing_config, Backend, Behaviour, Caller, Reply, TestGateway};
use redwingtrestle_core::{
    ids::WorkspaceName,
    process::{registration::RegistrationState, workspace_quota::QuotaLevel},
    time::Span,
    version::routing_config::{Quota, Workspace},
};
use redwingtrestle_gateway::store::{Record, Stream};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const KEY: &str = "key-of-studio";

/// The quota of the tests, in requests per second and at once.
const QUOTA: Quota = Quota { per_second: 10.0, burst: 10.0 };

/// The allowed excess in the settings of the tests.
const OVER: f64 = 0.1;
const SLACK: f64 = 4.0;

/// The window of the settings, in seconds.
const WINDOW_S: f64 = 2.0;

/// A process that has just started learns of the other nodes and their requests in this time.
const START_TIME: Duration = Duration::from_millis(3_200);

/// Puts a configuration with one workspace in force.
async fn publish(gateway: &TestGateway, version: u64, quota: Option<Quota>) {
    let mut config = routing_config(version);
    let name = "studio".into();
    let workspace = Workspace { name, keys: vec![KEY.into()], priority: None, quota };
    config.workspaces = Some(vec![Arc::new(workspace)]);
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(config)));
    let is_known =
        || gateway.shared.routing_config.load().as_ref().is_some_and(|c| c.version() == version);
    gateway.wait_until("the configuration is in force", is_known).await;
}

async fn start(server: &Backend) -> TestGateway {
    let settings =
        format!(r#""quota_window_s": {WINDOW_S}, "quota_over": {OVER}, "quota_slack": {SLACK}"#);
    TestGateway::with_settings(&settings, &[server]).await
}

/// Starts two gateways that know each other and the quota.
async fn pair(server: &Backend) -> [TestGateway; 2] {
    let gateways = [start(server).await, start(server).await];
    for gateway in &gateways {
        publish(gateway, 2, Some(QUOTA)).await;
        gateway.join(&gateways.each_ref()).await;
    }
    tokio::time::sleep(START_TIME).await;
    for gateway in &gateways {
        let sees_all = || gateway.shared.fleet().peers.live_count(gateway.shared.now()) == 2;
        gateway.wait_until("the nodes know each other", sees_all).await;
    }
    gateways
}

async fn call(gateway: &TestGateway, text: &str) -> Reply {
    let lines = format!("\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    gateway.call(&text.replacen("\r\n\r\n", &lines, 1)).await
}

/// Sends requests for `time`, and returns the replies with their times.
async fn call_for(gateway: &TestGateway, per_second: u32, time: Duration) -> Vec<(Instant, Reply)> {
    let mut timer = tokio::time::interval(Duration::from_secs(1) / per_second);
    let until = Instant::now() + time;
    let mut replies = Vec::new();
    while Instant::now() < until {
        timer.tick().await;
        let attempt = format!("{}-{}", gateway.entry, replies.len());
        let at = Instant::now();
        replies.push((at, call(gateway, &get("/free/1", &attempt)).await));
    }
    replies
}

/// Guards against gateways that each let through the whole quota, and callers that are not told when to return.
#[tokio::test]
async fn two_gateways_keep_a_quota_together() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let [one, two] = pair(&server).await;
    let time = Duration::from_secs(6);
    let (mut replies, others) = tokio::join!(call_for(&one, 25, time), call_for(&two, 25, time));
    replies.extend(others);
    let (served, refused): (Vec<_>, Vec<_>) =
        replies.into_iter().partition(|(_, reply)| reply.status == 200);
    for (_, reply) in &refused {
        assert_eq!(reply.status, 429, "{}", reply.head);
        let wait: f64 = header(&reply.head, "retry-after").parse().expect("a number of seconds");
        assert!((0.5..=10.0).contains(&wait), "{wait}");
    }
    let window = Duration::from_secs_f64(WINDOW_S);
    let in_window = |first: &Instant| {
        served.iter().filter(|(at, _)| at >= first && at.duration_since(*first) < window).count()
    };
    let most = served.iter().map(|(at, _)| in_window(at)).max().unwrap_or(0);
    let allowed = (QUOTA.per_second * WINDOW_S + QUOTA.burst) * (1.0 + OVER) + SLACK;
    println!("{most} of {allowed} in a window, {} served, {} refused", served.len(), refused.len());
    assert!(most as f64 <= allowed, "{most} requests in a window, {allowed} allowed");
    // What the nominal quota lets through, less a tenth.
    assert!(served.len() >= 63, "{} requests served", served.len());
    assert_eq!(server.received().len(), served.len(), "a refused request reached the server");
}

/// Guards against refusals of callers that stay below the quota, at whichever gateway.
#[tokio::test]
async fn requests_below_the_quota_are_served() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateways = pair(&server).await;
    for gateway in [&gateways[0], &gateways[1], &gateways[0]] {
        for (_, reply) in call_for(gateway, 6, Duration::from_secs(2)).await {
            assert_eq!(reply.status, 200, "{}", reply.head);
        }
    }
}

/// Guards against a body that is read, or waited for, before the quota is checked.
#[tokio::test]
async fn request_is_refused_before_its_body_arrives() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = start(&server).await;
    publish(&gateway, 2, Some(Quota { per_second: 0.0, burst: 0.0 })).await;
    let mut caller = Caller::connect(gateway.entry).await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 50\r\n\r\n"
    );
    caller.send(&head).await;
    let reply = caller.reply().await.expect("a reply");
    assert_eq!(reply.status, 429);
    assert!(reply.elapsed < Duration::from_secs(1), "{:?}", reply.elapsed);
}

/// Fills the quota of a gateway that has just started, as another node would tell it to.
fn fill_quota(gateway: &TestGateway) {
    let tag = WorkspaceName::from("studio").tag();
    let level = QuotaLevel { tag, tokens: QUOTA.burst, demand: 0.0 };
    gateway.shared.quotas().adopt_level(gateway.shared.now(), &level);
}

/// Returns the admitted and offered requests that a gateway would report.
fn unreported(gateway: &TestGateway) -> (u32, u32) {
    let later = gateway.shared.now() + Span::from_secs(2);
    let reports = gateway.shared.quotas().take_reports(later).far;
    reports.first().map_or((0, 0), |report| (report.admitted, report.offered))
}

/// Guards against a charge for each send of a request.
#[tokio::test]
async fn request_is_charged_once() {
    let server = Backend::start("i-1", Behaviour::Status(500)).await;
    let gateway = start(&server).await;
    let other = Backend::start("i-2", Behaviour::Status(500)).await;
    gateway.store.register(other.registration(RegistrationState::Ready, 1));
    let knows = || gateway.shared.fleet().registry.registrations().len() == 2;
    gateway.wait_until("both servers are known", knows).await;
    publish(&gateway, 2, Some(QUOTA)).await;
    fill_quota(&gateway);
    assert_eq!(call(&gateway, &get("/free/1", "r1")).await.status, 500);
    assert_eq!(server.received().len() + other.received().len(), 2, "sends");
    assert_eq!(unreported(&gateway), (1, 1));
}

/// Guards against a charge for a request that no server got.
#[tokio::test]
async fn request_that_reaches_no_server_is_not_charged() {
    let gateway = TestGateway::with_servers(&[]).await;
    publish(&gateway, 2, Some(QUOTA)).await;
    fill_quota(&gateway);
    assert_eq!(call(&gateway, &post("r1")).await.status, 503);
    assert_eq!(unreported(&gateway), (0, 1));
}
