//! Requests through a gateway to misbehaving servers.

mod common;

use common::{get, header, post, routing_config, Backend, Behaviour, Caller, TestGateway};
use redwingtrestle_core::process::registration::{RegistrationState, ServerId};
use redwingtrestle_gateway::store::{Record, Stream};
use std::time::Duration;

/// Guards against a request that is altered on its way, or that a server other than the chosen one could run.
#[tokio::test]
async fn request_and_response_pass_unchanged() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let text = "POST /once/a%20b?q=%2F HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\nX-Other: y\r\n\
                Connection: x-hop\r\nX-Hop: 1\r\nRedwing-Deadline-Ms: 2000\r\nContent-Length: 3\r\n\r\nabc";
    let reply = gateway.call(text).await;
    assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()));
    assert_eq!(header(&reply.head, "redwing-signature"), "s");
    let received = &server.received()[0];
    assert!(received.head.starts_with("post /once/a%20b?q=%2f http/1.1"), "{}", received.head);
    assert_eq!(received.body, b"abc");
    assert_eq!(header(&received.head, "x-other"), "y");
    assert_eq!(header(&received.head, "x-hop"), "", "a hop-by-hop header was passed on");
    assert_eq!(header(&received.head, "redwing-server"), "i-1");
    let left: u64 = header(&received.head, "redwing-deadline-ms").parse().expect("a number");
    assert!((1_500..=2_000).contains(&left), "{left}");
}

/// Guards against a second run of an at-most-once request whose response was lost, so that it may have run.
#[tokio::test]
async fn at_most_once_request_with_lost_response_is_not_retried() {
    for behaviour in [
        Behaviour::CloseWithoutResponse,
        Behaviour::TruncateBody,
        Behaviour::ForeignId,
        Behaviour::Status(500),
        Behaviour::Status(503),
        Behaviour::Status(429),
    ] {
        let (one, two) =
            (Backend::start("i-1", behaviour).await, Backend::start("i-2", behaviour).await);
        let gateway = TestGateway::with_servers(&[&one, &two]).await;
        let reply = gateway.call(&post("r1")).await;
        assert_eq!(one.received().len() + two.received().len(), 1, "{behaviour:?}");
        assert!(
            [500, 502].contains(&reply.status),
            "{behaviour:?}: {} promises that it did not run",
            reply.status
        );
    }
}

/// Guards against refusing a request that another server would have run.
#[tokio::test]
async fn refused_request_goes_to_another_server() {
    for behaviour in [Behaviour::Shed, Behaviour::Misdirected] {
        let (full, free) =
            (Backend::start("i-1", behaviour).await, Backend::start("i-2", Behaviour::Serve).await);
        let gateway = TestGateway::with_servers(&[&full, &free]).await;
        for i in 0..10 {
            assert_eq!(gateway.call(&post(&format!("r{i}"))).await.status, 200, "{behaviour:?}");
        }
        assert_eq!(free.received().len(), 10);
        assert!(!full.received().is_empty(), "the full server was never tried");
    }
}

/// Guards against a refusal without an id that is not believed because the connection of an earlier one was kept.
#[tokio::test]
async fn server_that_refuses_without_an_id_is_believed_each_time() {
    let full = Backend::start("i-1", Behaviour::Shed).await;
    let gateway = TestGateway::with_servers(&[&full]).await;
    for i in 0..5 {
        assert_eq!(gateway.call(&post(&format!("r{i}"))).await.status, 503, "request {i}");
    }
}

/// Guards against a refusal without `Retry-After`, and against trying more servers than the route allows.
#[tokio::test]
async fn refusal_has_retry_after_and_respects_route_attempts() {
    let servers = [
        Backend::start("i-1", Behaviour::Shed).await,
        Backend::start("i-2", Behaviour::Shed).await,
        Backend::start("i-3", Behaviour::Shed).await,
    ];
    let gateway = TestGateway::with_servers(&[&servers[0], &servers[1], &servers[2]]).await;
    let reply = gateway.call(&post("r1")).await;
    assert_eq!(reply.status, 503);
    let wait: f64 = header(&reply.head, "retry-after").parse().expect("a number");
    assert!(wait > 0.0 && wait < 2.0, "{wait}");
    assert_eq!(servers.iter().map(|s| s.received().len()).sum::<usize>(), 2);
}

/// Guards against passing on faulty responses although a retry is safe: truncated ones, responses to other requests,
/// and errors of one server.
#[tokio::test]
async fn idempotent_request_is_retried_after_faulty_response() {
    for behaviour in [
        Behaviour::CloseWithoutResponse,
        Behaviour::TruncateBody,
        Behaviour::ForeignId,
        Behaviour::Status(500),
        Behaviour::Status(503),
    ] {
        let (bad, good) =
            (Backend::start("i-1", behaviour).await, Backend::start("i-2", Behaviour::Serve).await);
        let gateway = TestGateway::with_servers(&[&bad, &good]).await;
        for i in 0..8 {
            let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
            assert_eq!(
                (reply.status, reply.body.as_slice()),
                (200, b"ok".as_slice()),
                "{behaviour:?}"
            );
        }
        assert!(!bad.received().is_empty(), "{behaviour:?}: the bad server was never tried");
    }
}

/// Guards against an idempotent request that waits for an unresponsive server instead of being hedged.
#[tokio::test]
async fn idempotent_request_is_hedged_when_server_is_silent() {
    let (mute, good) = (
        Backend::start("i-1", Behaviour::NeverRespond).await,
        Backend::start("i-2", Behaviour::Serve).await,
    );
    let gateway = TestGateway::with_servers(&[&mute, &good]).await;
    for i in 0..6 {
        let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
        assert_eq!(reply.status, 200);
        assert!(reply.elapsed < Duration::from_millis(2_500), "{:?}", reply.elapsed);
    }
}

/// Guards against extra bytes after a complete response that are taken for the response to the next request.
#[tokio::test]
async fn extra_response_is_not_passed_to_next_request() {
    let server = Backend::start("i-1", Behaviour::ExtraResponse).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let mut caller = Caller::connect(gateway.entry).await;
    for i in 0..5 {
        caller.send(&get("/free/1", &format!("r{i}"))).await;
        let reply = caller.reply().await.expect("a response");
        let body = String::from_utf8_lossy(&reply.body).to_string();
        assert!(reply.status != 200 || body == "ok", "request {i} got {body:?}");
        assert!(
            reply.status != 200 || header(&reply.head, "redwing-request-id") == format!("r{i}")
        );
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Guards against a truncated long response that looks complete to the caller.
#[tokio::test]
async fn truncated_long_response_ends_with_error() {
    let server = Backend::start("i-1", Behaviour::TruncateLongBody).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let reply = gateway.call(&get("/free/1", "r1")).await;
    assert!(reply.status != 200 || !reply.is_complete, "{} bytes", reply.body.len());
}

/// Guards against servers that keep working for disconnected callers, and against orders that are cancelled midway.
#[tokio::test]
async fn only_idempotent_request_is_cancelled_when_caller_disconnects() {
    let server = Backend::start("i-1", Behaviour::Delay(1_000)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    for (text, expected) in [(get("/free/1", "r1"), 1), (post("r2"), 1)] {
        let before = server.received().len();
        let mut caller = Caller::connect(gateway.entry).await;
        caller.send(&text).await;
        gateway.wait_until("the server has the request", || server.received().len() > before).await;
        drop(caller);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(server.closed_early(), expected, "{text}");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(server.closed_early(), 1, "the order was cancelled");
    gateway.wait_until("nothing is open", || gateway.shared.open_count() == 0).await;
}

/// Guards against callers that wait longer than the timeout of the route.
#[tokio::test]
async fn slow_request_gets_response_at_route_timeout() {
    let server = Backend::start("i-1", Behaviour::Delay(2_000)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let text = post("r1").replace("/once/", "/short/");
    let reply = gateway.call(&text).await;
    assert_eq!(reply.status, 504);
    assert!(
        reply.elapsed > Duration::from_millis(250) && reply.elapsed < Duration::from_millis(550),
        "{:?}",
        reply.elapsed
    );
    assert_eq!(header(&reply.head, "retry-after"), "", "it may have run");
}

/// Guards against request smuggling by two different lengths of a body.
#[tokio::test]
async fn request_with_conflicting_body_lengths_is_refused() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let hidden = "0\r\n\r\nGET /free/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n";
    for lengths in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len()),
        "Content-Length: 5\r\nContent-Length: 50\r\n".to_string(),
        "Transfer-Encoding: chunked, identity\r\n".to_string(),
    ] {
        let mut caller = Caller::connect(gateway.entry).await;
        let head = format!(
            "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r\r\n{lengths}\r\n"
        );
        caller.send(&(head + hidden)).await;
        let reply = caller.reply().await;
        assert!(reply.is_none_or(|r| r.status == 400), "{lengths}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(server.received().iter().all(|s| !s.head.contains("hidden")), "{lengths}");
    }
}

/// Guards against callers that occupy connections with half a head, and against closing idle connections too soon.
#[tokio::test]
async fn slow_heads_and_idle_connections_time_out() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let mut slow = Caller::connect(gateway.entry).await;
    slow.send("GET /free/1 HTTP/1.1\r\nHost: a.ex").await;
    let mut idle = Caller::connect(gateway.entry).await;
    idle.send(&get("/free/1", "r1")).await;
    assert_eq!(idle.reply().await.expect("a response").status, 200);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert!(slow.reply().await.is_none(), "the connection with half a head is still open");
    idle.send(&get("/free/1", "r2")).await;
    assert_eq!(idle.reply().await.expect("a response before the idle limit").status, 200);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    assert!(idle.reply().await.is_none(), "the idle connection is still open");
}

/// Guards against accepting heads and bodies above their size limits.
#[tokio::test]
async fn large_heads_and_bodies_are_refused() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let long = format!(
        "GET /free/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(gateway.call(&long).await.status, 431);
    let large = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000000\r\n\r\n";
    assert_eq!(gateway.call(large).await.status, 413);
    assert!(server.received().is_empty());
}

/// Guards against 404 from a node without a configuration, and against 503 for a path without a route.
#[tokio::test]
async fn unknown_path_gets_404_and_missing_configuration_503() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_empty_store().await;
    let reply = gateway.call(&get("/free/1", "r1")).await;
    assert_eq!(reply.status, 503);
    assert!(!header(&reply.head, "retry-after").is_empty());
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
    gateway.store.register(server.registration(RegistrationState::Ready, 1));
    gateway
        .wait_until("a server is known", || {
            !gateway.shared.fleet().registry.registrations().is_empty()
        })
        .await;
    gateway
        .wait_until("a configuration is in force", || {
            gateway.shared.routing_config.load().is_some()
        })
        .await;
    assert_eq!(gateway.call(&get("/none/1", "r2")).await.status, 404);
    assert_eq!(gateway.call(&get("/free/1", "r3")).await.status, 200);
}

/// Guards against replacing the configuration by an older version.
#[tokio::test]
async fn older_configuration_is_ignored() {
    let gateway = TestGateway::with_servers(&[]).await;
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(7))));
    gateway
        .wait_until("version 7", || {
            gateway.shared.routing_config.load().as_ref().is_some_and(|c| c.version() == 7)
        })
        .await;
    gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(3))));
    gateway.store.append(Stream::Configuration, Record::Unreadable);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(gateway.shared.routing_config.load().as_ref().map(|c| c.version()), Some(7));
}

/// Guards against new requests to a draining server.
#[tokio::test]
async fn draining_server_gets_no_requests() {
    let (leaving, staying) = (
        Backend::start("i-1", Behaviour::Serve).await,
        Backend::start("i-2", Behaviour::Serve).await,
    );
    let gateway = TestGateway::with_servers(&[&leaving, &staying]).await;
    gateway.store.register(leaving.registration(RegistrationState::Draining, 2));
    let orders = "orders".into();
    gateway
        .wait_until("one server is usable", || {
            gateway.shared.fleet().registry.usable(gateway.shared.now(), &orders).len() == 1
        })
        .await;
    for i in 0..20 {
        assert_eq!(gateway.call(&get("/free/1", &format!("r{i}"))).await.status, 200);
    }
    assert!(leaving.received().is_empty());
}

/// Guards against waiting for a watch whose response the store lost, while servers start to drain.
#[tokio::test]
async fn store_response_that_was_lost_is_read_again() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    gateway.store.lose_responses(1);
    gateway.store.register(server.registration(RegistrationState::Ready, 2));
    tokio::time::sleep(Duration::from_millis(300)).await;
    gateway.store.register(server.registration(RegistrationState::Draining, 3));
    let orders = "orders".into();
    gateway
        .wait_until("the server is known to leave", || {
            gateway.shared.fleet().registry.usable(gateway.shared.now(), &orders).is_empty()
        })
        .await;
}

/// Guards against a failed order because the server had closed the pooled connection.
#[tokio::test]
async fn order_succeeds_after_server_closed_pooled_connection() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    assert_eq!(gateway.call(&post("r1")).await.status, 200);
    // The server closes the pooled connection instead of responding.
    server.set(Behaviour::CloseWithoutResponse);
    let reply = gateway.call(&get("/free/1", "r2")).await;
    assert_eq!(reply.status, 502);
    server.set(Behaviour::Serve);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(gateway.call(&post("r3")).await.status, 200);
}

/// Guards against repeated requests to an address that now belongs to another server, and against a refusal because
/// such sends used up the servers that the route allows.
#[tokio::test]
async fn reassigned_address_gets_no_second_request() {
    let moved = [
        Backend::start("i-1", Behaviour::Misdirected).await,
        Backend::start("i-2", Behaviour::Misdirected).await,
    ];
    let server = Backend::start("i-3", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&moved[0], &moved[1], &server]).await;
    for i in 0..30 {
        assert_eq!(gateway.call(&post(&format!("r{i}"))).await.status, 200);
    }
    assert!(
        moved.iter().all(|m| m.received().len() <= 1),
        "a reassigned address got a second request"
    );
}

/// Guards against sends without limit when the addresses of many servers belong to others, as after a restart of all
/// nodes with old registrations: each such send counts towards the retry budget.
#[tokio::test]
async fn sends_to_reassigned_addresses_count_towards_the_budget() {
    let mut moved = Vec::new();
    for i in 0..12 {
        moved.push(Backend::start(&format!("i-{i}"), Behaviour::Misdirected).await);
    }
    let gateway = TestGateway::with_retry_floor(0, &moved.iter().collect::<Vec<_>>()).await;
    for i in 0..10 {
        let reply = gateway.call(&post(&format!("r{i}"))).await;
        assert_eq!(reply.status, 503);
    }
    let arrivals: usize = moved.iter().map(|server| server.received().len()).sum();
    assert!(arrivals <= 11, "{arrivals} sends of 10 requests, a tenth of which may be sent again");
}

/// Guards against a request that gets no response, or waits too long, because its service has no server.
#[tokio::test]
async fn request_is_refused_at_once_without_servers() {
    let gateway = TestGateway::with_servers(&[]).await;
    let reply = gateway.call(&post("r1")).await;
    assert_eq!(reply.status, 503);
    assert!(!header(&reply.head, "retry-after").is_empty());
    assert!(reply.elapsed < Duration::from_millis(400), "{:?}", reply.elapsed);
}

/// Guards against refusing callers in the first moments of a process, when all nodes have restarted together.
#[tokio::test]
async fn request_waits_for_the_first_configuration() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_empty_store().await;
    let text = post("r1");
    let inform = async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        gateway
            .store
            .append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
        tokio::time::sleep(Duration::from_millis(80)).await;
        gateway.store.register(server.registration(RegistrationState::Ready, 1));
    };
    let (reply, ()) = tokio::join!(gateway.call(&text), inform);
    assert_eq!(reply.status, 200);
}

/// Guards against a floor that applies too late. Requests at unresponsive servers fail only seconds later, so an
/// unreachable server must count at once, even if another one then serves the caller.
#[tokio::test]
async fn unreachable_server_counts_as_unserved_at_once() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let mut registration = server.registration(RegistrationState::Ready, 1);
    registration.id = ServerId("i-2".into());
    registration.addr = gone.expect("an address where nobody listens");
    gateway.store.register(registration);
    gateway
        .wait_until("both are known", || gateway.shared.fleet().registry.registrations().len() == 2)
        .await;
    let unserved = || {
        let fleet = gateway.shared.fleet();
        fleet.registry.unserved_share(gateway.shared.now(), &"orders".into())
    };
    // Servers are picked at random, and the unreachable one for at least every tenth request until it was tried.
    for i in 0..200 {
        // Mark both servers as in use, so that neither is tried only for the floor.
        for id in ["i-1", "i-2"].map(|id| ServerId(id.into())) {
            gateway.shared.fleet().registry.record_send(gateway.shared.now(), &id);
            gateway.shared.fleet().registry.record_end(&id);
        }
        assert_eq!(gateway.call(&post(&format!("r{i}"))).await.status, 200);
        if unserved() > 0.0 {
            return;
        }
    }
    panic!("no send to the unreachable server is counted");
}

/// Guards against a connection that is reset while a refused body still arrives, so that its caller gets no refusal.
#[tokio::test]
async fn refusal_reaches_caller_whose_body_still_arrives() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller
        .send("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000001\r\n\r\n")
        .await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        caller.send(&"x".repeat(10_000)).await;
    }
    assert_eq!(caller.reply().await.map(|reply| reply.status), Some(413));
}
