//! Keyed and unkeyed requests during failures of backend servers and nodes, with nodes in separate processes.

mod common;

use common::{wait_for, Fleet, StartOptions};
use futures_util::future::join_all;
use redwingtrestle_fakes::backend::{BackendOptions, Fault};
use redwingtrestle_wire::caller;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The reply to one attempt, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Reply {
    status: u16,
    outcome: String,
    code: Option<u16>,
    /// `None` if the body broke off.
    body: Option<String>,
}

impl Reply {
    fn is(&self, outcome: &str, code: u16) -> bool {
        self.outcome == outcome && self.code == Some(code)
    }
}

fn order_request(fleet: &Fleet, node: usize, key: &str, attempt: u32) -> reqwest::RequestBuilder {
    let request = fleet.client.post(fleet.nodes[node].url("/orders")).body("20 red maple whips");
    request.header(caller::IDEMPOTENCY_KEY, key).header(caller::ATTEMPT, attempt)
}

async fn send(request: reqwest::RequestBuilder) -> Reply {
    let response = request.send().await.expect("the node responds");
    let header = |name: &str| response.headers().get(name).map(|v| v.to_str().unwrap().to_string());
    let outcome = header(caller::OUTCOME).expect("every response has an outcome");
    let code = header(caller::RESULT_CODE).map(|c| c.parse().unwrap());
    Reply { status: response.status().as_u16(), outcome, code, body: response.text().await.ok() }
}

async fn new_key(fleet: &Fleet, home: usize, name: &str) -> String {
    format!("{}.{name}", fleet.entries(home).await.key_prefix)
}

/// Returns the caller's id within the id of a send to a server: the caller's, a dot and 16 hexadecimal digits.
fn caller_id(send_id: &str) -> Option<&str> {
    let (id, number) = send_id.rsplit_once('.')?;
    (number.len() == 16 && number.bytes().all(|b| b.is_ascii_hexdigit())).then_some(id)
}

async fn wait_until_run(fleet: &Fleet, key: &str) {
    wait_for("the order runs", || async { (fleet.runs(key) == 1).then_some(()) }).await;
}

fn backend_options(service_ms: u64, response_bytes: usize) -> BackendOptions {
    let service_time = Duration::from_millis(service_ms);
    BackendOptions { service_time, response_bytes, slots: 100, ..BackendOptions::default() }
}

/// Guards against a second run of an order that may have run already. The server fails after the node has
/// written the request: neither the node nor a caller that repeats the key may cause another run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failure_after_the_write_stays_unknown_when_repeated() {
    let fleet = Fleet::start(1, 2, backend_options(2, 4096)).await;
    for (fault, code, runs) in [
        (Fault::CutBefore, 3001, 0),
        (Fault::CutAfter, 3001, 1),
        (Fault::Truncate, 3003, 1),
        (Fault::TruncateChunked, 3003, 1),
    ] {
        let k = new_key(&fleet, 0, &format!("{fault:?}")).await;
        fleet.servers.iter().for_each(|s| s.set_fault(fault));
        let first = send(order_request(&fleet, 0, &k, 1)).await;
        assert!(first.is("unknown", code), "{fault:?}: {first:?}");
        fleet.servers.iter().for_each(|s| s.set_fault(Fault::None));
        let again = send(order_request(&fleet, 0, &k, 2)).await;
        assert!(again.is("unknown", code), "{fault:?}: {again:?}");
        assert_eq!(fleet.runs(&k), runs, "{fault:?}");
    }
}

/// Guards against storing a streamed response as complete when the server cut it off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_response_stream_makes_the_key_unknown() {
    let fleet = Fleet::start(1, 1, backend_options(2, 1 << 20)).await;
    let k = new_key(&fleet, 0, "a").await;
    fleet.servers[0].set_fault(Fault::Truncate);
    let broken = match order_request(&fleet, 0, &k, 1).send().await {
        Ok(response) => response.bytes().await.is_err(),
        Err(_) => true,
    };
    assert!(broken, "a short response was read as complete");
    fleet.servers[0].set_fault(Fault::None);
    let again = send(order_request(&fleet, 0, &k, 2)).await;
    assert!(again.is("unknown", 3003), "{again:?}");
    assert_eq!(fleet.runs(&k), 1);
}

/// Guards against idempotent requests that fail because one of two servers is faulty.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_request_is_retried_after_server_failure() {
    let fleet = Fleet::start(1, 2, backend_options(2, 0)).await;
    // With this little load the retry budget allows 3 retries in 10 s, one for each fault.
    for fault in [Fault::CutBefore, Fault::CutAfter, Fault::Fail(1.0)] {
        fleet.servers[0].set_fault(fault);
        let before = fleet.servers[0].counters().arrived;
        wait_for("a request reaches the faulty server", || async {
            let view = send(fleet.client.get(fleet.nodes[0].url("/stock/7"))).await;
            assert_eq!(view.status, 200, "{fault:?}: {view:?}");
            (fleet.servers[0].counters().arrived > before).then_some(())
        })
        .await;
    }
    let metrics = fleet.client.get(fleet.nodes[0].url("/v1/metrics")).send().await.unwrap();
    let metrics = metrics.text().await.unwrap();
    assert!(metrics.contains("redwing_resends_total{service=\"orders\""), "{metrics}");
    let counted = "redwing_requests_total{service=\"orders\",rank=\"normal\",code=\"0\"}";
    assert!(metrics.contains(counted), "{metrics}");
}

/// Guards against refusing a shed order while another server is free, and against running an attempt that was
/// answered `not_run` before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shed_order_is_retried_and_refused_key_is_sealed() {
    let fleet = Fleet::start(2, 2, backend_options(2, 0)).await;
    fleet.servers[0].set_fault(Fault::ShedAll);
    for i in 0..3 {
        let k = new_key(&fleet, 0, &format!("shed-{i}")).await;
        assert_eq!(send(order_request(&fleet, 0, &k, 1)).await.status, 200);
        assert_eq!(fleet.runs(&k), 1);
    }
    fleet.servers[1].set_fault(Fault::ShedAll);
    let k = new_key(&fleet, 0, "refused").await;
    let first = send(order_request(&fleet, 1, &k, 1)).await;
    assert!(first.is("not_run", 2005), "{first:?}");
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::None));
    for node in 0..2 {
        let late = send(order_request(&fleet, node, &k, 1)).await;
        assert!(late.is("not_run", 1008), "{late:?}");
    }
    assert_eq!(fleet.runs(&k), 0);
    assert_eq!(send(order_request(&fleet, 1, &k, 2)).await.status, 200);
    assert_eq!(fleet.runs(&k), 1);
}

/// Guards against a second run of a key whose copies arrive concurrently, later or through another entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_and_later_copies_of_a_key_run_once() {
    let fleet = Fleet::start(2, 2, backend_options(100, 0)).await;
    let k = new_key(&fleet, 0, "at-once").await;
    let copies = (0..12).map(|i| send(order_request(&fleet, i % 2, &k, 1 + i as u32)));
    let first = join_all(copies).await;
    let later = send(order_request(&fleet, 1, &k, 20)).await;
    for copy in first.iter().chain([&later]) {
        assert_eq!((copy.status, &copy.body), (200, &first[0].body), "{copy:?}");
    }
    assert_eq!(fleet.runs(&k), 1);
    let other = fleet.client.post(fleet.nodes[1].url("/orders")).body("another order");
    let other = send(other.header(caller::IDEMPOTENCY_KEY, &k)).await;
    assert!(other.is("not_run", 1011), "{other:?}");
    let forwarded = send(order_request(&fleet, 1, &k, 21).header(caller::FORWARDED, "1")).await;
    assert!(forwarded.is("unknown", 1009), "a forwarded copy was forwarded again: {forwarded:?}");
}

/// Guards against `not_run` for a malformed repeat of an order whose first attempt ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_repeat_of_completed_order_is_not_answered_not_run() {
    let fleet = Fleet::start(2, 1, backend_options(2, 0)).await;
    let k = new_key(&fleet, 0, "a").await;
    let first = send(order_request(&fleet, 0, &k, 1)).await;
    let oversized = |node, attempt| {
        order_request(&fleet, node, &k, attempt).header("x-note", "x".repeat(17_000))
    };
    let (home, other) = (send(oversized(0, 2)).await, send(oversized(1, 2)).await);
    assert_eq!((home.status, &home.body), (200, &first.body), "{home:?}");
    assert!(other.is("unknown", 3006), "{other:?}");
}

/// Guards against losing the result of an order whose caller disconnected before the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_kept_for_caller_that_disconnected() {
    let fleet = Fleet::start(1, 1, backend_options(200, 0)).await;
    let k = new_key(&fleet, 0, "a").await;
    let first = tokio::spawn(order_request(&fleet, 0, &k, 1).send());
    wait_until_run(&fleet, &k).await;
    first.abort();
    let again = send(order_request(&fleet, 0, &k, 2)).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(fleet.runs(&k), 1);
}

/// Guards against a second run or a false `not_run` after the home of a key was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_home_leaves_its_keys_unknown() {
    let mut fleet = Fleet::start(2, 2, backend_options(30_000, 0)).await;
    let (k, fresh) = (new_key(&fleet, 0, "a").await, new_key(&fleet, 0, "fresh").await);
    let first = tokio::spawn(send(order_request(&fleet, 1, &k, 1)));
    wait_until_run(&fleet, &k).await;
    fleet.nodes[0].signal("KILL");
    fleet.nodes[0].wait_for_exit().await;
    let first = first.await.unwrap();
    assert!(first.is("unknown", 3004), "{first:?}");
    let again = send(order_request(&fleet, 1, &k, 2)).await;
    assert!(again.is("unknown", 3006), "{again:?}");
    let undeclared =
        fleet.client.post(fleet.nodes[1].url("/orders")).header(caller::IDEMPOTENCY_KEY, &k);
    let undeclared = send(undeclared).await;
    assert!(undeclared.is("unknown", 3006), "{undeclared:?}");
    assert_eq!(fleet.runs(&k), 1);
    let never_sent = send(order_request(&fleet, 1, &fresh, 1)).await;
    assert!(never_sent.is("not_run", 3005), "{never_sent:?}");
    assert_eq!(fleet.runs(&fresh), 0);
}

/// Guards against a second run, and a run after `not_run`, by a home that was frozen and processes the requests
/// queued in its sockets when it wakes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_home_runs_no_key_twice_or_after_not_run() {
    let fleet = Fleet::start(2, 2, backend_options(300, 0)).await;
    let (running, refused) =
        (new_key(&fleet, 0, "running").await, new_key(&fleet, 0, "refused").await);
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::ShedAll));
    let sealed = send(order_request(&fleet, 1, &refused, 1)).await;
    assert_eq!(sealed.outcome, "not_run", "{sealed:?}");
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::None));
    let first =
        tokio::spawn(send(order_request(&fleet, 1, &running, 1).header(caller::DEADLINE, 1_000)));
    wait_until_run(&fleet, &running).await;
    fleet.nodes[0].signal("STOP");
    // Copies that reach the frozen home wait in its sockets until it wakes. Those with a short deadline expire
    // before that, and the home may or may not run them.
    let key_named = |name: &str, i| running.replace("running", &format!("{name}{i}"));
    let spawn_order = |k: String, attempt, deadline: u64| {
        let request = order_request(&fleet, 1, &k, attempt).header(caller::DEADLINE, deadline);
        tokio::spawn(async move { (k, send(request).await) })
    };
    let long_deadline: Vec<_> =
        (0..4).map(|i| spawn_order(key_named("patient", i), 1, 30_000)).collect();
    let late = [spawn_order(refused.clone(), 1, 30_000), spawn_order(running.clone(), 2, 30_000)];
    let short_deadline =
        join_all((0..6).map(|i| spawn_order(key_named("hurried", i), 1, 400))).await;
    let first = first.await.unwrap();
    assert!(first.is("unknown", 3004), "{first:?}");
    fleet.nodes[0].signal("CONT");
    let [refused_again, running_again] = join_all(late).await.try_into().expect("two copies");
    let refused_again = refused_again.unwrap().1;
    assert!(refused_again.is("not_run", 1008), "{refused_again:?}");
    let running_again = running_again.unwrap().1;
    assert!(running_again.status == 200 || running_again.outcome == "unknown");
    let long_deadline = join_all(long_deadline).await;
    assert!(
        long_deadline.iter().all(|p| p.as_ref().is_ok_and(|p| p.1.status == 200)),
        "{long_deadline:?}"
    );
    wait_for("the home has processed all queued requests", || async {
        let health = fleet.client.get(fleet.nodes[0].url("/v1/health")).send().await.ok()?;
        health.text().await.ok()?.contains("\"in_flight\":0").then_some(())
    })
    .await;
    assert_eq!((fleet.runs(&running), fleet.runs(&refused)), (1, 0));
    for (k, reply) in long_deadline.into_iter().chain(short_deadline).map(Result::unwrap) {
        assert!(fleet.runs(&k) <= 1, "{k}");
        assert!(reply.outcome != "not_run" || fleet.runs(&k) == 0, "{k} ran after {reply:?}");
    }
}

/// Guards against a second run by a restarted home, which must not treat keys of its previous start as new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_home_reports_old_keys_unknown() {
    let mut fleet = Fleet::start(2, 1, backend_options(2, 0)).await;
    let k = new_key(&fleet, 0, "a").await;
    assert_eq!(send(order_request(&fleet, 0, &k, 1)).await.status, 200);
    let old = fleet.nodes.remove(0);
    let (entry, peer) = (old.entry, old.peer);
    drop(old);
    let start = StartOptions {
        ip: "127.0.0.1",
        data_centre: "amherst",
        log_url: fleet.log.url(),
        seeds: vec![],
        extra_settings: String::new(),
    };
    fleet.nodes.insert(0, common::spawn(entry, peer, &start));
    fleet.wait_until_ready(0).await;
    for node in 0..2 {
        let again = send(order_request(&fleet, node, &k, 2)).await;
        assert!(again.is("unknown", 1009), "{again:?}");
    }
    assert_eq!(fleet.runs(&k), 1);
    assert_ne!(new_key(&fleet, 0, "a").await, k);
}

/// Guards against delivering a response to the caller of another request. A slow server makes responses arrive out
/// of order on shared connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_out_of_order_reach_their_callers() {
    let fleet = Fleet::start(2, 2, backend_options(5, 0)).await;
    fleet.servers[0].set_fault(Fault::Slow(20.0));
    for _ in 0..3 {
        let requests = (0..60).map(|i| {
            let url = fleet.nodes[i % 2].url(&format!("/stock/{i}-end"));
            let request = fleet.client.get(url).header(caller::REQUEST_ID, format!("id-{i}"));
            async move { (i, send(request).await) }
        });
        for (i, reply) in join_all(requests).await {
            let start = format!("{{\"path\":\"/stock/{i}-end\",\"request\":\"");
            let body = reply.body.as_deref().unwrap_or_default();
            let id = body.strip_prefix(&start).and_then(|b| b.strip_suffix("\",\"bytes\":0}"));
            assert_eq!(id.and_then(caller_id), Some(format!("id-{i}").as_str()), "{reply:?}");
        }
    }
}

/// Guards against a large response that is truncated for its first caller or replayed with a wrong body. The store
/// keeps only the outcome of a response of this size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_keyed_response_is_kept_without_body() {
    let fleet = Fleet::start(2, 1, backend_options(2, 1 << 20)).await;
    let k = new_key(&fleet, 0, "a").await;
    let first = send(order_request(&fleet, 1, &k, 1)).await;
    assert_eq!((first.status, first.body.map(|b| b.len())), (200, Some(1 << 20)));
    for node in 0..2 {
        let again = send(order_request(&fleet, node, &k, 2)).await;
        assert!(again.is("ran", 3008) && again.body.as_deref() == Some(""), "{again:?}");
    }
    assert_eq!(fleet.runs(&k), 1);
}

/// Guards against requests beyond the limits that reach a server, are refused without a code, or run on a repeat
/// after `not_run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beyond_the_limits_are_refused() {
    let more = ",\"max_body_bytes\":1000,\"max_header_bytes\":4096";
    let fleet = Fleet::start_with(1, 1, backend_options(2, 0), more).await;
    let url = fleet.nodes[0].url("/orders");
    let post = || fleet.client.post(&url);
    let k = new_key(&fleet, 0, "a").await;
    let chunks = futures_util::stream::iter([Ok::<_, std::io::Error>(vec![b'x'; 2000])]);
    let chunked = reqwest::Body::wrap_stream(chunks);
    for (what, code, request) in [
        ("headers", 1002, post().header("x-note", "x".repeat(5000))),
        ("body", 1003, post().body("x".repeat(1001))),
        ("body of unknown length", 1003, post().body(chunked)),
        ("key that is cut", 1004, post().header(caller::IDEMPOTENCY_KEY, &k[..k.len() - 3])),
        ("empty key", 1004, post().header(caller::IDEMPOTENCY_KEY, "")),
        ("long key", 1004, post().header(caller::IDEMPOTENCY_KEY, "k".repeat(257))),
        (
            "two keys",
            1004,
            post().header(caller::IDEMPOTENCY_KEY, &k).header(caller::IDEMPOTENCY_KEY, &k),
        ),
        ("plain key", 1006, post().header(caller::IDEMPOTENCY_KEY, "order-7")),
        ("attempt 0", 1005, post().header(caller::ATTEMPT, 0)),
        ("attempt in words", 1005, post().header(caller::ATTEMPT, "two")),
        ("attempt of 11 digits", 1002, post().header(caller::ATTEMPT, "00000000001")),
        ("workspace", 1002, post().header(caller::WORKSPACE, "w".repeat(129))),
        ("deadline in words", 1005, post().header(caller::DEADLINE, "soon")),
        ("deadline that passed", 2002, post().header(caller::DEADLINE, 0)),
        ("route", 1001, fleet.client.post(fleet.nodes[0].url("/nowhere"))),
        ("keyed body", 1003, post().header(caller::IDEMPOTENCY_KEY, &k).body("x".repeat(1001))),
    ] {
        let reply = send(request).await;
        assert!(reply.is("not_run", code), "{what}: {reply:?}");
        let body = reply.body.unwrap_or_default();
        assert!(body.contains("\"key_prefix\":"), "{what}: no key prefix in the refusal: {body}");
    }
    let sealed = send(order_request(&fleet, 0, &k, 1)).await;
    assert!(sealed.is("not_run", 1008), "{sealed:?}");
    assert_eq!(fleet.total_runs(), 0);
    let lines = fleet.nodes[0].log().lines().filter(|l| l.contains("\"code\"")).count();
    assert_eq!(lines, 17, "each refusal is logged once:\n{}", fleet.nodes[0].log());
}

/// Guards against accepting an interrupted request body as complete, at the home or through another entry, and
/// against losing large bodies that are forwarded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_request_body_makes_the_key_unknown() {
    let fleet = Fleet::start(2, 1, backend_options(2, 0)).await;
    for node in 0..2 {
        let k = new_key(&fleet, 0, &format!("broken-{node}")).await;
        let mut socket = tokio::net::TcpStream::connect(fleet.nodes[node].entry).await.unwrap();
        let head = format!(
            "POST /orders HTTP/1.1\r\nhost: a\r\n{}: {k}\r\ncontent-length: 200000\r\n\r\n",
            caller::IDEMPOTENCY_KEY
        );
        socket.write_all(head.as_bytes()).await.unwrap();
        socket.write_all(&vec![b'x'; 100_000]).await.unwrap();
        wait_for("the order reaches the server", || async {
            (fleet.servers[0].counters().arrived > node as u64).then_some(())
        })
        .await;
        drop(socket);
        let whole = order_request(&fleet, node, &k, 2).body("x".repeat(200_000));
        let again = send(whole).await;
        assert!(again.is("unknown", 3009), "{again:?}");
        assert_eq!(fleet.runs(&k), 0);
    }
    let k = new_key(&fleet, 0, "whole").await;
    let whole = send(order_request(&fleet, 1, &k, 1).body("x".repeat(200_000))).await;
    assert!(whole.body.as_ref().is_some_and(|b| b.contains("\"bytes\":200000")), "{whole:?}");
}

/// Guards against a response after the deadline when a server hangs, and against a second run when the caller
/// repeats the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deadline_exceeded_at_a_server_is_unknown() {
    let fleet = Fleet::start(2, 1, backend_options(2, 0)).await;
    fleet.servers[0].set_fault(Fault::Hang);
    let k = new_key(&fleet, 0, "a").await;
    for attempt in 1..3 {
        let hung = send(order_request(&fleet, 0, &k, attempt).header(caller::DEADLINE, 200)).await;
        assert!(hung.is("unknown", 3002), "{hung:?}");
    }
    assert_eq!(fleet.runs(&k), 1);
    let view = fleet.client.get(fleet.nodes[1].url("/stock/7")).header(caller::DEADLINE, 200);
    let view = send(view).await;
    assert!(view.is("unknown", 3002), "{view:?}");
}

/// Guards against outcome headers that come from a server instead of the node, and against wrong headers at the
/// server: end-to-end headers must arrive through the key's home, hop-by-hop headers must not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_gets_end_to_end_headers_and_cannot_set_the_outcome() {
    let fleet = Fleet::start(2, 1, backend_options(2, 0)).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut config = common::config(&fleet.servers);
    let service = config.services.values_mut().next().expect("one service");
    service.servers[0].addr = listener.local_addr().unwrap();
    let seen = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let (mut request, mut buffer) = (String::new(), [0; 4096]);
        while !request.contains("maple whips") {
            let count = socket.read(&mut buffer).await.unwrap();
            assert!(count > 0, "the request ended early: {request}");
            request.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
        let spoof = format!("{}: not_run\r\n{}: 2005", caller::OUTCOME, caller::RESULT_CODE);
        let response = format!("HTTP/1.1 200 OK\r\n{spoof}\r\ncontent-length: 0\r\n\r\n");
        socket.write_all(response.as_bytes()).await.unwrap();
        request.to_ascii_lowercase()
    });
    let version = common::publish(&fleet.log, 1, 2, config);
    for node in 0..2 {
        wait_for("the second configuration is in force", || async {
            let health = fleet.client.get(fleet.nodes[node].url("/v1/health")).send().await.ok()?;
            health.text().await.ok()?.contains(&format!("\"version\":{version}")).then_some(())
        })
        .await;
    }
    let k = new_key(&fleet, 0, "a").await;
    let request =
        order_request(&fleet, 1, &k, 1).body("maple whips").header("x-forwarded-for", "10.1.2.3");
    let request = request.header(caller::REQUEST_ID, "id-7").header(caller::DEADLINE, 9_000);
    let response = send(request.header("connection", "x-hop").header("x-hop", "1")).await;
    assert_eq!((response.status, response.outcome.as_str(), response.code), (200, "ran", None));
    let seen =
        tokio::time::timeout(common::CONDITION_TIMEOUT, seen).await.expect("a request").unwrap();
    let header_value = |name: &str| {
        let line = seen.lines().find(|l| l.starts_with(&format!("{name}: ")));
        line.map(|l| l[name.len() + 2..].to_string())
    };
    assert_eq!(header_value("x-forwarded-for").as_deref(), Some("10.1.2.3, 127.0.0.1, 127.0.0.1"));
    let id = header_value(caller::REQUEST_ID).unwrap_or_default();
    assert_eq!(caller_id(&id), Some("id-7"), "{id}");
    assert_eq!(
        (header_value(caller::IDEMPOTENCY_KEY), header_value(caller::FORWARDED)),
        (Some(k), None)
    );
    assert_eq!(header_value("x-hop"), None);
    let left: u64 =
        header_value(caller::DEADLINE).and_then(|l| l.parse().ok()).expect("a deadline");
    assert!(left <= 8_995, "the forwarded deadline is not reduced: {left}");
}
