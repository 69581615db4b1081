//! Requests through a gateway, before servers that misbehave.

mod common;

use common::{get, header, post, routing_config, Act, Backend, Caller, World};
use redwingtrestle_core::process::registration::{RegistrationState, ServerId};
use redwingtrestle_gateway::store::{Record, Stream};
use std::time::Duration;

/// Guards against a request that changes on its way, or that another server than the chosen one could run.
#[tokio::test]
async fn request_and_answer_pass_unchanged() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let text = "POST /once/a%20b?q=%2F HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\nX-Other: y\r\n\
                Connection: x-hop\r\nX-Hop: 1\r\nRedwing-Deadline-Ms: 2000\r\nContent-Length: 3\r\n\r\nabc";
    let reply = world.call(text).await;
    assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()));
    assert_eq!(header(&reply.head, "redwing-signature"), "s");
    let seen = &server.seen()[0];
    assert!(seen.head.starts_with("post /once/a%20b?q=%2f http/1.1"), "{}", seen.head);
    assert_eq!(seen.body, b"abc");
    assert_eq!(header(&seen.head, "x-other"), "y");
    assert_eq!(header(&seen.head, "x-hop"), "", "it concerns the caller's connection only");
    assert_eq!(header(&seen.head, "redwing-server"), "i-1");
    let left: u64 = header(&seen.head, "redwing-deadline-ms").parse().expect("a number");
    assert!((1_500..=2_000).contains(&left), "{left}");
}

/// Guards against a second run of a request that must not run twice: its answer was lost, so it may have run.
#[tokio::test]
async fn lost_answer_is_not_sent_again() {
    for act in
        [Act::Lose, Act::Cut, Act::Foreign, Act::Status(500), Act::Status(503), Act::Status(429)]
    {
        let (one, two) = (Backend::start("i-1", act).await, Backend::start("i-2", act).await);
        let world = World::with(&[&one, &two]).await;
        let reply = world.call(&post("r1")).await;
        assert_eq!(one.seen().len() + two.seen().len(), 1, "{act:?}");
        assert!(
            [500, 502].contains(&reply.status),
            "{act:?}: {} promises that it did not run",
            reply.status
        );
    }
}

/// Guards against a request that is refused although another server would have run it.
#[tokio::test]
async fn refused_request_goes_to_another_server() {
    for act in [Act::Shed, Act::Elsewhere] {
        let (full, free) =
            (Backend::start("i-1", act).await, Backend::start("i-2", Act::Serve).await);
        let world = World::with(&[&full, &free]).await;
        for i in 0..10 {
            assert_eq!(world.call(&post(&format!("r{i}"))).await.status, 200, "{act:?}");
        }
        assert_eq!(free.seen().len(), 10);
        assert!(!full.seen().is_empty(), "the full server was never tried");
    }
}

/// Guards against a refusal that does not say when to come back, and against more servers than the route allows.
#[tokio::test]
async fn refusal_says_when_to_come_back() {
    let servers = [
        Backend::start("i-1", Act::Shed).await,
        Backend::start("i-2", Act::Shed).await,
        Backend::start("i-3", Act::Shed).await,
    ];
    let world = World::with(&[&servers[0], &servers[1], &servers[2]]).await;
    let reply = world.call(&post("r1")).await;
    assert_eq!(reply.status, 503);
    let wait: f64 = header(&reply.head, "retry-after").parse().expect("a number");
    assert!(wait > 0.0 && wait < 2.0, "{wait}");
    assert_eq!(servers.iter().map(|s| s.seen().len()).sum::<usize>(), 2);
}

/// Guards against answers that are no answer to this request: cut ones, foreign ones, and errors of one server.
#[tokio::test]
async fn repeatable_request_is_sent_again() {
    for act in [Act::Lose, Act::Cut, Act::Foreign, Act::Status(500), Act::Status(503)] {
        let (bad, good) =
            (Backend::start("i-1", act).await, Backend::start("i-2", Act::Serve).await);
        let world = World::with(&[&bad, &good]).await;
        for i in 0..8 {
            let reply = world.call(&get("/free/1", &format!("r{i}"))).await;
            assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()), "{act:?}");
        }
        assert!(!bad.seen().is_empty(), "{act:?}: the bad server was never tried");
    }
}

/// Guards against a repeatable request that waits for a server which says nothing.
#[tokio::test]
async fn silent_server_is_not_waited_for() {
    let (mute, good) =
        (Backend::start("i-1", Act::Hang).await, Backend::start("i-2", Act::Serve).await);
    let world = World::with(&[&mute, &good]).await;
    for i in 0..6 {
        let reply = world.call(&get("/free/1", &format!("r{i}"))).await;
        assert_eq!(reply.status, 200);
        assert!(reply.took < Duration::from_millis(2_500), "{:?}", reply.took);
    }
}

/// Guards against bytes after a whole answer that become the answer to the next request.
#[tokio::test]
async fn second_answer_reaches_nobody() {
    let server = Backend::start("i-1", Act::Extra).await;
    let world = World::with(&[&server]).await;
    let mut caller = Caller::connect(world.entry).await;
    for i in 0..5 {
        caller.send(&get("/free/1", &format!("r{i}"))).await;
        let reply = caller.reply().await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body).to_string();
        assert!(reply.status != 200 || body == "ok", "request {i} got {body:?}");
        assert!(
            reply.status != 200 || header(&reply.head, "redwing-request-id") == format!("r{i}")
        );
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Guards against a part of a long answer that looks like the whole.
#[tokio::test]
async fn broken_long_answer_looks_broken() {
    let server = Backend::start("i-1", Act::CutLong).await;
    let world = World::with(&[&server]).await;
    let reply = world.call(&get("/free/1", "r1")).await;
    assert!(reply.status != 200 || !reply.is_whole, "{} bytes", reply.body.len());
}

/// Guards against servers that work on for callers who have left, and against orders that are broken off midway.
#[tokio::test]
async fn work_ends_when_its_caller_leaves() {
    let server = Backend::start("i-1", Act::Late(1_000)).await;
    let world = World::with(&[&server]).await;
    for (text, expected) in [(get("/free/1", "r1"), 1), (post("r2"), 1)] {
        let before = server.seen().len();
        let mut caller = Caller::connect(world.entry).await;
        caller.send(&text).await;
        world.until("the server has the request", || server.seen().len() > before).await;
        drop(caller);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(server.closed(), expected, "{text}");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(server.closed(), 1, "the order was broken off");
    world.until("nothing is open", || world.shared.open_count() == 0).await;
}

/// Guards against callers that are kept waiting beyond the time of the route.
#[tokio::test]
async fn answer_comes_at_the_end_of_the_time() {
    let server = Backend::start("i-1", Act::Late(2_000)).await;
    let world = World::with(&[&server]).await;
    let text = post("r1").replace("/once/", "/short/");
    let reply = world.call(&text).await;
    assert_eq!(reply.status, 504);
    assert!(
        reply.took > Duration::from_millis(250) && reply.took < Duration::from_millis(550),
        "{:?}",
        reply.took
    );
    assert_eq!(header(&reply.head, "retry-after"), "", "it may have run");
}

/// Guards against a request hidden in another one, by two lengths of its body.
#[tokio::test]
async fn two_lengths_are_refused() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let hidden = "0\r\n\r\nGET /free/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n";
    for lengths in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len()),
        "Content-Length: 5\r\nContent-Length: 50\r\n".to_string(),
        "Transfer-Encoding: chunked, identity\r\n".to_string(),
    ] {
        let mut caller = Caller::connect(world.entry).await;
        let head = format!(
            "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r\r\n{lengths}\r\n"
        );
        caller.send(&(head + hidden)).await;
        let reply = caller.reply().await;
        assert!(reply.is_none_or(|r| r.status == 400), "{lengths}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(server.seen().iter().all(|s| !s.head.contains("hidden")), "{lengths}");
    }
}

/// Guards against callers that hold connections with half a head, and against idle ones that are closed too soon.
#[tokio::test]
async fn heads_and_idle_connections_have_limits() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let mut slow = Caller::connect(world.entry).await;
    slow.send("GET /free/1 HTTP/1.1\r\nHost: a.ex").await;
    let mut idle = Caller::connect(world.entry).await;
    idle.send(&get("/free/1", "r1")).await;
    assert_eq!(idle.reply().await.expect("an answer").status, 200);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert!(slow.reply().await.is_none(), "half a head was waited for");
    idle.send(&get("/free/1", "r2")).await;
    assert_eq!(idle.reply().await.expect("within four fifths of the idle time").status, 200);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    assert!(idle.reply().await.is_none(), "an idle connection is kept for ever");
}

/// Guards against a head of any length, and a body over the limit.
#[tokio::test]
async fn large_heads_and_bodies_are_refused() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let long = format!(
        "GET /free/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(world.call(&long).await.status, 431);
    let large = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000000\r\n\r\n";
    assert_eq!(world.call(large).await.status, 413);
    assert!(server.seen().is_empty());
}

/// Guards against 404 from a node that knows no configuration, and against 503 for a path that nobody serves.
#[tokio::test]
async fn unknown_paths_and_unknown_configuration_differ() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::empty().await;
    let reply = world.call(&get("/free/1", "r1")).await;
    assert_eq!(reply.status, 503);
    assert!(!header(&reply.head, "retry-after").is_empty());
    world.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
    world.store.register(server.entry(RegistrationState::Ready, 1));
    world
        .until("a server is known", || !world.shared.fleet().registry.registrations().is_empty())
        .await;
    world
        .until("a configuration is in force", || world.shared.routing_config.load().is_some())
        .await;
    assert_eq!(world.call(&get("/none/1", "r2")).await.status, 404);
    assert_eq!(world.call(&get("/free/1", "r3")).await.status, 200);
}

/// Guards against a configuration that goes back to an older version.
#[tokio::test]
async fn older_configuration_is_not_taken() {
    let world = World::with(&[]).await;
    world.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(7))));
    world
        .until("version 7", || {
            world.shared.routing_config.load().as_ref().is_some_and(|c| c.version() == 7)
        })
        .await;
    world.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(3))));
    world.store.append(Stream::Configuration, Record::Unreadable);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(world.shared.routing_config.load().as_ref().map(|c| c.version()), Some(7));
}

/// Guards against new requests at a server that is leaving.
#[tokio::test]
async fn draining_server_gets_nothing_new() {
    let (leaving, staying) =
        (Backend::start("i-1", Act::Serve).await, Backend::start("i-2", Act::Serve).await);
    let world = World::with(&[&leaving, &staying]).await;
    world.store.register(leaving.entry(RegistrationState::Draining, 2));
    let orders = "orders".into();
    world
        .until("one server is usable", || {
            world.shared.fleet().registry.usable(world.shared.now(), &orders).len() == 1
        })
        .await;
    for i in 0..20 {
        assert_eq!(world.call(&get("/free/1", &format!("r{i}"))).await.status, 200);
    }
    assert!(leaving.seen().is_empty());
}

/// Guards against a watch whose answer the store lost and that is waited for while servers leave.
#[tokio::test]
async fn lost_answer_of_the_store_is_asked_for_again() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    world.store.lose(1);
    world.store.register(server.entry(RegistrationState::Ready, 2));
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.store.register(server.entry(RegistrationState::Draining, 3));
    let orders = "orders".into();
    world
        .until("the server is known to leave", || {
            world.shared.fleet().registry.usable(world.shared.now(), &orders).is_empty()
        })
        .await;
}

/// Guards against an idle connection that the server has closed and that fails the next order.
#[tokio::test]
async fn closed_idle_connection_fails_no_order() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    assert_eq!(world.call(&post("r1")).await.status, 200);
    // The second answer on the kept connection ends it.
    server.set(Act::Lose);
    let reply = world.call(&get("/free/1", "r2")).await;
    assert_eq!(reply.status, 502);
    server.set(Act::Serve);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(world.call(&post("r3")).await.status, 200);
}

/// Guards against requests that are sent again and again to an address which another server has, and against a refusal
/// for which that address used up the servers that the route allows.
#[tokio::test]
async fn reused_address_is_left_at_once() {
    let moved =
        [Backend::start("i-1", Act::Elsewhere).await, Backend::start("i-2", Act::Elsewhere).await];
    let server = Backend::start("i-3", Act::Serve).await;
    let world = World::with(&[&moved[0], &moved[1], &server]).await;
    for i in 0..30 {
        assert_eq!(world.call(&post(&format!("r{i}"))).await.status, 200);
    }
    assert!(moved.iter().all(|m| m.seen().len() <= 1), "asked again");
}

/// Guards against a request that ends a connection, or is held, because its service has no server.
#[tokio::test]
async fn service_without_servers_refuses_at_once() {
    let world = World::with(&[]).await;
    let reply = world.call(&post("r1")).await;
    assert_eq!(reply.status, 503);
    assert!(!header(&reply.head, "retry-after").is_empty());
    assert!(reply.took < Duration::from_millis(400), "{:?}", reply.took);
}

/// Guards against callers that are refused in the first moments of a process, after which all nodes started anew.
#[tokio::test]
async fn request_waits_for_the_first_configuration() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::empty().await;
    let text = post("r1");
    let inform = async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        world
            .store
            .append(Stream::Configuration, Record::RoutingConfig(Box::new(routing_config(1))));
        tokio::time::sleep(Duration::from_millis(80)).await;
        world.store.register(server.entry(RegistrationState::Ready, 1));
    };
    let (reply, ()) = tokio::join!(world.call(&text), inform);
    assert_eq!(reply.status, 200);
}

/// Guards against a floor that applies too late: requests at servers that fall silent fail only seconds later, so a server
/// that cannot be reached has to count at once, although another one serves the caller.
#[tokio::test]
async fn unreachable_server_counts_at_once() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let mut entry = server.entry(RegistrationState::Ready, 1);
    entry.id = ServerId("i-2".into());
    entry.addr = gone.expect("an address where nobody listens");
    world.store.register(entry);
    world
        .until("both are known", || world.shared.fleet().registry.registrations().len() == 2)
        .await;
    let unserved = || {
        let fleet = world.shared.fleet();
        fleet.registry.unserved(world.shared.now(), &"orders".into())
    };
    // A server is drawn at random, the unreachable one in at least every tenth request until it was tried.
    for i in 0..200 {
        // Both are in use, so that neither is tried only for the floor.
        for id in ["i-1", "i-2"].map(|id| ServerId(id.into())) {
            world.shared.fleet().registry.sent(world.shared.now(), &id);
            world.shared.fleet().registry.ended(&id);
        }
        assert_eq!(world.call(&post(&format!("r{i}"))).await.status, 200);
        if unserved() > 0.0 {
            return;
        }
    }
    panic!("no send to the unreachable server is counted");
}
