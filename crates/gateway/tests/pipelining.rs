//! Requests that callers send before they have the replies to earlier ones on the same connection.

mod common;

use common::{get, header, post, routing_config, Backend, Behaviour, Caller, Reply, TestGateway};
use rand::{rngs::StdRng, Rng, SeedableRng};
use redwingtrestle_core::{cases, version::routing_config::Workspace};
use redwingtrestle_gateway::{
    shared::{wait_for_closing, Phase},
    stop,
    store::{Record, Stream},
};
use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

/// A service time in which all that may start has started.
const SLOW: Behaviour = Behaviour::Delay(400);

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

async fn gateway(behaviour: Behaviour) -> (TestGateway, Backend) {
    let server = Backend::start("i-1", behaviour).await;
    (TestGateway::with_servers(&[&server]).await, server)
}

/// Returns repeatable requests with the ids r`first`, r`first + 1` and so on.
fn gets(first: usize, count: usize) -> String {
    (first..first + count).map(|number| get("/free/1", &format!("r{number}"))).collect()
}

/// Reads replies until the connection ends or nothing more comes, and returns their statuses and ids.
async fn replies(caller: &mut Caller, most: usize) -> Vec<(u16, String)> {
    let mut replies = Vec::new();
    while replies.len() < most {
        let Some(reply) = caller.reply().await else { break };
        replies.push((reply.status, header(&reply.head, "redwing-request-id")));
    }
    replies
}

/// Returns the replies to [`gets`] that are all served.
fn served(first: usize, count: usize) -> Vec<(u16, String)> {
    (first..first + count).map(|number| (200, format!("r{number}"))).collect()
}

async fn wait_for_arrivals(gateway: &TestGateway, server: &Backend, count: usize) {
    gateway.wait_until("requests arrive", || server.received().len() == count).await;
}

/// Starts a slow request, and sends `texts` after it, each in a packet of its own.
async fn behind_slow(behaviour: Behaviour, texts: &[&str]) -> (TestGateway, Backend, Caller) {
    let (gateway, server) = gateway(SLOW).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.socket.set_nodelay(true).expect("a connected socket");
    caller.send(&gets(1, 1)).await;
    wait_for_arrivals(&gateway, &server, 1).await;
    server.set(behaviour);
    for text in texts {
        caller.send(text).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (gateway, server, caller)
}

/// Guards against requests that wait at the gateway until earlier ones are answered, and against more than a bounded
/// number of one connection at servers.
#[tokio::test]
async fn pipelined_requests_run_at_the_same_time() {
    let (gateway, server) = gateway(SLOW).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&gets(1, 20)).await;
    wait_for_arrivals(&gateway, &server, 9).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.received().len(), 9, "more than eight wait for their turn");
    assert_eq!(replies(&mut caller, 20).await, served(1, 20));
    assert_eq!(server.received().len(), 20, "a request ran twice");
}

/// Guards against replies in another order than the requests, and against requests that are lost or doubled because they
/// arrive in parts.
fn replies_keep_the_order(cuts: &[usize]) {
    run(async move {
        let text = gets(2, 3);
        let mut parts = vec![text.as_str()];
        for cut in cuts {
            let last = parts.pop().expect("a part");
            parts.extend(<[&str; 2]>::from(last.split_at(*cut)));
        }
        let (gateway, server, mut caller) = behind_slow(Behaviour::Serve, &parts).await;
        wait_for_arrivals(&gateway, &server, 4).await;
        let mut first = [0];
        assert!(caller.socket.try_read(&mut first).is_err(), "a later reply was not held back");
        assert_eq!(replies(&mut caller, 4).await, served(1, 4));
    });
}

cases! {
    replies_keep_the_order;
    requests_in_one_packet: &[] => (),
    requests_cut_in_a_head: &[30] => (),
    requests_cut_between_line_ends: &[98, 1, 1, 1] => (),
    requests_in_many_parts: &[7, 40, 90, 3, 60] => (),
}

/// Guards against work that goes on at servers for a caller that has left, also behind bytes that are not read.
fn leaving_cancels_all((later, expected): (usize, usize)) {
    run(async move {
        let (gateway, server, caller) =
            behind_slow(Behaviour::Delay(3_000), &[&gets(2, later)]).await;
        wait_for_arrivals(&gateway, &server, expected).await;
        drop(caller);
        gateway.wait_until("all are cancelled", || server.closed_early() == expected as u32).await;
        gateway.wait_until("nothing is open", || gateway.shared.open_count() == 0).await;
    });
}

cases! {
    leaving_cancels_all;
    caller_of_four_leaves: (3, 4) => (),
    caller_leaves_behind_more_than_is_read: (400, 9) => (),
}

/// Guards against an order that runs twice or before the replies to earlier requests, and against requests that
/// overtake it.
fn order_runs_once_and_in_its_turn(order: &str) {
    run(async move {
        let (gateway, server) = gateway(SLOW).await;
        let mut caller = Caller::connect(gateway.entry).await;
        caller.send(&(gets(1, 2) + order + &gets(4, 2))).await;
        assert_eq!(replies(&mut caller, 5).await, served(1, 5));
        let received = server.received();
        let turn = |at: Instant| (at - received[0].at).as_millis() / 390;
        let turns: Vec<u128> = received.iter().map(|request| turn(request.at)).collect();
        assert_eq!(turns, [0, 0, 1, 2, 2], "by service times");
    });
}

cases! {
    order_runs_once_and_in_its_turn;
    order_with_a_body: &post("r3") => (),
    order_without_a_body: &get("/once/1", "r3") => (),
    deletion: &get("/free/1", "r3").replace("GET", "DELETE") => (),
}

/// Guards against requests that are lost behind one that the gateway refuses.
fn refusal_in_the_middle((path, status): (&str, u16)) {
    run(async move {
        let (gateway, server) = gateway(SLOW).await;
        let mut config = routing_config(2);
        let keys = vec!["key".into()];
        let studio = Workspace { name: "studio".into(), keys, priority: None, quota: None };
        config.workspaces = Some(vec![Arc::new(studio)]);
        gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(config)));
        let version = || gateway.shared.routing_config.load().as_ref().map(|c| c.version());
        gateway.wait_until("keys are in force", || version() == Some(2)).await;
        let with_key = |text: String| text.replace("Host", "Authorization: Bearer key\r\nHost");
        let mut caller = Caller::connect(gateway.entry).await;
        caller.send(&(with_key(gets(1, 2)) + &get(path, "r3") + &with_key(gets(4, 1)))).await;
        let statuses: Vec<u16> =
            replies(&mut caller, 4).await.iter().map(|reply| reply.0).collect();
        assert_eq!(statuses, [200, 200, status, 200]);
        assert_eq!(server.received().len(), 3);
    });
}

cases! {
    refusal_in_the_middle;
    unknown_route_in_the_middle: ("/none/1", 404) => (),
    missing_key_in_the_middle: ("/free/1", 401) => (),
}

/// Guards against requests that run behind one whose caller closes the connection after it.
#[tokio::test]
async fn nothing_runs_behind_a_close() {
    let close = gets(2, 1).replace("Host", "Connection: close\r\nHost") + &gets(3, 2);
    let (_gateway, server, mut caller) = behind_slow(Behaviour::Serve, &[&close]).await;
    assert_eq!(replies(&mut caller, 4).await, served(1, 2));
    assert_eq!(server.received().len(), 2);
}

/// Guards against a reply that breaks off and is followed by others, and against work that goes on behind it.
#[tokio::test]
async fn broken_reply_ends_the_connection() {
    let (gateway, server, mut caller) =
        behind_slow(Behaviour::TruncateLongBody, &[&gets(2, 1)]).await;
    wait_for_arrivals(&gateway, &server, 2).await;
    server.set(Behaviour::Delay(3_000));
    caller.send(&gets(3, 1)).await;
    wait_for_arrivals(&gateway, &server, 3).await;
    let replies: Vec<Reply> =
        [caller.reply().await, caller.reply().await].into_iter().flatten().collect();
    let complete: Vec<bool> = replies.iter().map(|reply| reply.is_complete).collect();
    assert_eq!(complete, [true, false]);
    assert!(caller.reply().await.is_none());
    gateway.wait_until("the third is cancelled", || server.closed_early() == 1).await;
}

/// Guards against a planned stop that leaves requests unanswered which servers have, tells the caller too early that the
/// connection closes, or starts further ones.
fn planned_stop_answers_all(delay: u64) {
    run(async move {
        let (gateway, server) = gateway(Behaviour::Delay(delay)).await;
        let mut caller = Caller::connect(gateway.entry).await;
        caller.send(&gets(1, 5)).await;
        wait_for_arrivals(&gateway, &server, 5).await;
        let shared = gateway.shared.clone();
        let stopping = tokio::spawn(async move { stop::stop(&shared).await });
        gateway.wait_until("it leaves", || *gateway.shared.phase.borrow() == Phase::Leaving).await;
        caller.send(&gets(6, 1)).await;
        let mut closes = Vec::new();
        while let Some(reply) = caller.reply().await {
            assert_eq!((reply.status, reply.is_complete), (200, true));
            closes.push(header(&reply.head, "connection"));
        }
        assert_eq!(closes, ["", "", "", "", "close"]);
        assert_eq!(server.received().len(), 5);
        drop(caller);
        stopping.await.expect("no panic");
        assert_eq!(gateway.shared.connection_count(), 0);
    });
}

cases! {
    planned_stop_answers_all;
    planned_stop_answers_all_while_leaving: 300 => (),
    planned_stop_answers_all_while_closing: 900 => (),
}

/// Guards against replies that wait for a slow caller when the connections close, and are cut.
#[tokio::test]
async fn planned_stop_does_not_cut_waiting_replies() {
    let server = Backend::start("i-1", Behaviour::LargeBody(0)).await;
    let gateway = TestGateway::with_slow_link_and_stop(&server, 6_000).await;
    let mut caller = Caller::connect_slow(gateway.entry).await;
    caller.send(&gets(1, 3)).await;
    wait_for_arrivals(&gateway, &server, 3).await;
    let mut phase = gateway.shared.phase.subscribe();
    let reading = tokio::spawn(async move {
        wait_for_closing(&mut phase).await;
        caller.read_slowly().await
    });
    stop::stop(&gateway.shared).await;
    let received = reading.await.expect("no panic");
    assert!(received > 3 * common::LARGE_BODY, "the replies were cut after {received} bytes");
}

/// Guards against a time limit that counts from the turn of a request, one that ends other requests, and a long
/// response that occupies its server beyond the limit.
fn time_limit_holds_for_each_request(behaviour: Behaviour) {
    run(async move {
        let short = gets(2, 1).replace("3000", "150");
        let (gateway, server, mut caller) = behind_slow(behaviour, &[&short]).await;
        wait_for_arrivals(&gateway, &server, 2).await;
        server.set(Behaviour::Serve);
        caller.send(&gets(3, 1)).await;
        assert_eq!(caller.reply().await.expect("a reply").status, 200);
        let begun = Instant::now();
        let statuses: Vec<u16> = replies(&mut caller, 2).await.iter().map(|r| r.0).collect();
        assert_eq!(statuses, [504, 200]);
        assert!(begun.elapsed() < Duration::from_millis(100), "{:?}", begun.elapsed());
    });
}

cases! {
    time_limit_holds_for_each_request;
    response_is_late: Behaviour::NeverRespond => (),
    long_response_waits_too_long: Behaviour::LeaveWithLongBody => (),
}

/// Guards against an order that runs although its time has passed while it waited for its turn.
#[tokio::test]
async fn time_limit_counts_from_the_arrival() {
    let order = post("r2").replace("3000", "150") + &gets(3, 1);
    let (_gateway, server, mut caller) = behind_slow(Behaviour::Serve, &[&order]).await;
    let statuses: Vec<u16> = replies(&mut caller, 3).await.iter().map(|r| r.0).collect();
    assert_eq!(statuses, [200, 503, 200], "refused as not run");
    assert_eq!(server.received().len(), 2);
}

/// Guards against request smuggling by heads that arrive together with others, or in parts.
fn ambiguous_length_is_refused((before, first, rest): (&str, &str, &str)) {
    run(async move {
        let (gateway, server) = gateway(SLOW).await;
        let mut caller = Caller::connect(gateway.entry).await;
        caller.send(&format!("{before}{first}")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.send(&format!("{rest}0\r\n\r\n{}", get("/free/hidden", "r9"))).await;
        let statuses: Vec<u16> =
            replies(&mut caller, 9).await.iter().map(|reply| reply.0).collect();
        assert_eq!(statuses, [200, 400], "and the connection closes");
        assert!(server.received().iter().all(|request| !request.head.contains("hidden")));
    });
}

const PLAIN: &str = "GET /free/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\n\r\n";
const CHUNKED: &str = "POST /free/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n\
                       5;a=b\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n";
const LENGTH: &str = "POST /free/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n";
const ENCODING: &str = "Transfer-Encoding: chunked\r\n\r\n";

cases! {
    ambiguous_length_is_refused;
    ambiguous_length_behind_a_plain_request: (PLAIN, LENGTH, ENCODING) => (),
    ambiguous_length_behind_chunks: (CHUNKED, LENGTH, ENCODING) => (),
    ambiguous_length_in_the_packet_of_chunks: (CHUNKED, &[LENGTH, ENCODING].concat(), "") => (),
    ambiguous_length_behind_empty_lines: (PLAIN, "\r\n\r\n", &[LENGTH, ENCODING].concat()) => (),
}

/// Guards against bytes that were read ahead and are lost, or are held to the earlier limit, when the limit on heads
/// changes.
#[tokio::test]
async fn changed_limit_holds_for_bytes_that_were_read_ahead() {
    let long = |number, length: usize| {
        gets(number, 1).replace("Host", &format!("X-Long: {}\r\nHost", "a".repeat(length)))
    };
    let text = long(2, 30_000);
    let (gateway, server, mut caller) = behind_slow(SLOW, &[&text[..25_000]]).await;
    for (version, limit, rest) in [(2, 40_000, &text[25_000..]), (3, 10_000, &long(3, 12_000))] {
        let mut config = routing_config(version);
        config.limits.head = limit;
        gateway.store.append(Stream::Configuration, Record::RoutingConfig(Box::new(config)));
        gateway.wait_until("it is known", || *gateway.shared.head_limit.borrow() == limit).await;
        caller.send(rest).await;
        assert_eq!(caller.reply().await.expect("a reply").status, 200);
        // The next limit must not meet a head that is still being read.
        wait_for_arrivals(&gateway, &server, 2).await;
    }
    assert_eq!(caller.reply().await.expect("a reply").status, 431);
    assert_eq!(server.received().len(), 2);
}

/// Returns a request of a random kind, and the reply that it must get.
fn random_request(rng: &mut StdRng, number: usize) -> (String, (u16, String)) {
    let id = format!("r{number}");
    let chunks =
        "Transfer-Encoding: chunked\r\n\r\n3\r\n\r\n\r\r\n00a;x=y\r\n0\r\n\r\nGET /\r\n0\r\n\r\n";
    let text = match rng.random_range(0..10) {
        0 => get("/once/1", &id),
        1 => post(&id),
        2 => {
            get("/once/1", &id).replace("GET", "POST").replace("\r\n\r\n", &format!("\r\n{chunks}"))
        }
        3 => return (get("/none/1", &id), (404, String::new())),
        4 => get("/free/1", &id).replace("Host", "Content-Length: 0\r\nHost"),
        5 => "\r\n".to_string() + &get("/free/1", &id),
        _ => get("/free/1", &id),
    };
    (text, (200, id))
}

/// Guards against requests that are lost, doubled, mixed up or not noticed, whatever their kinds and wherever their bytes
/// are cut.
fn random_requests_get_their_replies(seed: u64) {
    run(async move {
        let mut rng = StdRng::seed_from_u64(seed);
        let (gateway, server) = gateway(Behaviour::Delay(5)).await;
        let (texts, expected): (String, Vec<_>) =
            (0..60).map(|number| random_request(&mut rng, number)).unzip();
        let (mut caller, mut rest) = (Caller::connect(gateway.entry).await, texts.as_str());
        while !rest.is_empty() {
            let (part, later) = rest.split_at(rng.random_range(1..=rest.len().min(400)));
            caller.send(part).await;
            rest = later;
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..3))).await;
        }
        assert_eq!(replies(&mut caller, expected.len()).await, expected);
        let served = expected.iter().filter(|reply| reply.0 == 200).count();
        assert_eq!(server.received().len(), served, "a request ran twice");
    });
}

cases! {
    random_requests_get_their_replies;
    random_requests_of_seed_1: 1 => (),
    random_requests_of_seed_2: 2 => (),
    random_requests_of_seed_3: 3 => (),
    random_requests_of_seed_4: 4 => (),
}
