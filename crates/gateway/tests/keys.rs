//! Keys of callers: who is let in, and what a backend server gets to see of a key.

mod common;

use common::{get, header, routing_config, Backend, Behaviour, Caller, Reply, TestGateway};
use redwingtrestle_core::{
    cases,
    process::registration::RegistrationState,
    version::routing_config::{RoutingConfigDoc, Workspace},
};
use redwingtrestle_gateway::store::{Record, Stream};
use std::{sync::Arc, time::Duration};

const KEY: &str = "key-of-studio";

fn workspace(name: &str, keys: &[&str]) -> Arc<Workspace> {
    let keys = keys.iter().map(|key| Arc::from(*key)).collect();
    Arc::new(Workspace { name: name.into(), keys, priority: None, quota: None })
}

/// Returns a configuration whose route `/short/` is anonymous.
fn config(version: u64, workspaces: Vec<Arc<Workspace>>) -> RoutingConfigDoc {
    let mut config = routing_config(version);
    config.workspaces = Some(workspaces);
    for route in &mut config.routes {
        route.anonymous = &*route.prefix == "/short/";
    }
    config
}

/// Publishes a configuration, and waits until it is in force.
async fn publish(gateway: &TestGateway, config: RoutingConfigDoc) {
    let version = config.version;
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(config)));
    let is_known =
        || gateway.shared.routing_config.load().as_ref().is_some_and(|c| c.version() == version);
    gateway.wait_until("the configuration is in force", is_known).await;
}

async fn gateway(behaviour: Behaviour) -> (TestGateway, Backend) {
    let server = Backend::start("i-1", behaviour).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    publish(&gateway, config(2, vec![workspace("studio", &[KEY, "second"])])).await;
    (gateway, server)
}

/// Returns a request with further header lines.
fn with_headers(path: &str, attempt: &str, lines: &str) -> String {
    get(path, attempt).replacen("\r\n\r\n", &format!("\r\n{lines}\r\n\r\n"), 1)
}

/// Returns the status for a request with these header lines, and the workspace that the server was told.
async fn call((path, lines): (&str, &str)) -> (u16, Option<String>) {
    let (gateway, server) = gateway(Behaviour::Serve).await;
    let reply = gateway.call(&with_headers(path, "r1", lines)).await;
    let heads: Vec<String> = server.received().into_iter().map(|request| request.head).collect();
    for head in &heads {
        assert!(!head.contains("authorization"), "the key reached a server: {head}");
        assert!(
            !head.contains("forged"),
            "a caller's word on its workspace reached a server: {head}"
        );
    }
    let named = heads.first().map(|head| header(head, "redwing-workspace"));
    (reply.status, named)
}

fn run(request: (&str, &str)) -> (u16, Option<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(call(request))
}

cases! {
    run;
    valid_key_names_the_workspace: ("/free/1", "Authorization: Bearer key-of-studio") => (200, Some("studio".into())),
    /// Guards against a look-up that knows only the first key of a workspace.
    second_key_is_valid: ("/free/1", "Authorization: Bearer second") => (200, Some("studio".into())),
    /// Guards against a scheme that is compared by case, which RFC 9110 forbids.
    scheme_ignores_case: ("/free/1", "authorization: bEARER  key-of-studio") => (200, Some("studio".into())),
    missing_key_is_refused: ("/free/1", "X-Other: 1") => (401, None),
    unknown_key_is_refused: ("/free/1", "Authorization: Bearer key-of-studi") => (401, None),
    empty_key_is_refused: ("/free/1", "Authorization: Bearer ") => (401, None),
    other_scheme_is_refused: ("/free/1", "Authorization: Basic key-of-studio") => (401, None),
    /// Guards against two parties that read different keys of one request.
    two_keys_are_refused: ("/free/1", "Authorization: Bearer key-of-studio\r\nAuthorization: Bearer other") => (401, None),
    /// Guards against a workspace that the caller names itself, in any spelling and number.
    forged_workspace_is_replaced: ("/free/1", "Redwing-Workspace: forged\r\nREDWING-WORKSPACE: forged\r\nRedwing_Workspace: forged\r\nAuthorization: Bearer key-of-studio")
        => (200, Some("studio".into())),
    /// Guards against a caller that makes the gateway drop the workspace as a hop-by-hop header.
    named_hop_by_hop_header_is_set: ("/free/1", "Connection: redwing-workspace, authorization\r\nAuthorization: Bearer key-of-studio")
        => (200, Some("studio".into())),
    anonymous_route_needs_no_key: ("/short/1", "X-Other: 1") => (200, Some(String::new())),
    /// Guards against a key, or a forged workspace, that passes through an anonymous route.
    anonymous_route_hides_the_key: ("/short/1", "Authorization: Bearer key-of-studio\r\nRedwing-Workspace: forged") => (200, Some(String::new())),
}

/// Guards against a change of callers' headers in deployments that know no workspaces.
#[tokio::test]
async fn authorization_passes_without_workspaces() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let lines = "Authorization: Basic abc\r\nRedwing-Workspace: own";
    assert_eq!(gateway.call(&with_headers("/free/1", "r1", lines)).await.status, 200);
    let head = &server.received()[0].head;
    assert_eq!(header(head, "authorization"), "basic abc");
    assert_eq!(header(head, "redwing-workspace"), "own");
}

async fn call_with_key(caller: &mut Caller, path: &str, attempt: &str) -> Reply {
    caller.send(&with_headers(path, attempt, &format!("Authorization: Bearer {KEY}"))).await;
    caller.reply().await.expect("a reply")
}

/// Guards against kept connections on which a revoked key is valid, or an added one is not.
#[tokio::test]
async fn changed_keys_hold_on_a_kept_connection() {
    let (gateway, server) = gateway(Behaviour::Serve).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(call_with_key(&mut caller, "/free/1", "r1").await.status, 200);
    publish(&gateway, config(3, vec![workspace("studio", &["second"])])).await;
    assert_eq!(call_with_key(&mut caller, "/free/1", "r2").await.status, 401);
    publish(&gateway, config(4, vec![workspace("other", &[KEY])])).await;
    assert_eq!(call_with_key(&mut caller, "/free/1", "r3").await.status, 200);
    let named: Vec<String> =
        server.received().iter().map(|r| header(&r.head, "redwing-workspace")).collect();
    assert_eq!(named, ["studio", "other"]);
}

/// Guards against a retry that sends a request whose key was revoked during the first send.
#[tokio::test]
async fn revoked_key_ends_the_retries_of_a_request() {
    let (gateway, server) = gateway(Behaviour::ShedAfter(300)).await;
    let other = Backend::start("i-2", Behaviour::ShedAfter(300)).await;
    gateway.store.register(other.registration(RegistrationState::Ready, 1));
    let knows = || gateway.shared.fleet().registry.registrations().len() == 2;
    gateway.wait_until("both servers are known", knows).await;
    let mut caller = Caller::connect(gateway.entry).await;
    let text = with_headers("/once/1", "r1", &format!("Authorization: Bearer {KEY}"));
    caller.send(&text).await;
    let count = || server.received().len() + other.received().len();
    gateway.wait_until("the first send arrives", || count() == 1).await;
    publish(&gateway, config(3, vec![])).await;
    let reply = caller.reply().await.expect("a reply");
    assert_eq!((reply.status, count()), (401, 1));
}

/// Guards against a node that takes keys for valid although it has not heard of the store for longer than a revocation
/// may take.
#[tokio::test]
async fn keys_need_recent_contact_where_revocation_is_strict() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_settings(r#""revocation_ms": 2500"#, &[&server]).await;
    publish(&gateway, config(2, vec![workspace("studio", &[KEY])])).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(call_with_key(&mut caller, "/free/1", "r1").await.status, 200);
    gateway.store.set_cut(true);
    tokio::time::sleep(Duration::from_millis(2_800)).await;
    let mut caller = Caller::connect(gateway.entry).await;
    assert_eq!(call_with_key(&mut caller, "/free/1", "r2").await.status, 503);
    assert_eq!(call_with_key(&mut caller, "/short/1", "r3").await.status, 200);
}
