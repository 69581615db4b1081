//! Planned stops of a gateway.

mod common;

use common::{get, header, post, Backend, Behaviour, Caller, TestGateway, LARGE_BODY};
use redwingtrestle_core::process::peer_table::NodeState;
use redwingtrestle_gateway::{
    shared::{wait_for_closing, Phase},
    stop,
};
use std::{sync::Arc, time::Duration};
use tokio::{net::TcpStream, runtime::Runtime};

/// Guards against a stop that cuts off an open request, or refuses one that arrives early in the stop.
#[tokio::test]
async fn planned_stop_responds_to_open_requests() {
    let server = Backend::start("i-1", Behaviour::Delay(900)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let mut early = Caller::connect(gateway.entry).await;
    early.send(&post("r1")).await;
    gateway.wait_until("the server has the request", || server.received().len() == 1).await;
    let shared = gateway.shared.clone();
    let stopping = tokio::spawn(async move { stop::stop(&shared).await });
    gateway
        .wait_until("the node says that it stops", || {
            gateway.shared.node_state() == NodeState::Stopping
        })
        .await;
    let mut late = Caller::connect(gateway.entry).await;
    late.send(&get("/free/1", "r2")).await;
    for caller in [&mut early, &mut late] {
        let reply = caller.reply().await.expect("a response");
        assert_eq!(reply.status, 200);
        assert_eq!(header(&reply.head, "connection"), "close");
    }
    stopping.await.expect("no panic");
    assert!(TcpStream::connect(gateway.entry).await.is_err(), "the entry is still open");
}

/// Guards against idle connections that delay a stop or survive it.
#[tokio::test]
async fn planned_stop_closes_idle_connections_without_delay() {
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let mut idle = Caller::connect(gateway.entry).await;
    idle.send(&get("/free/1", "r1")).await;
    assert_eq!(idle.reply().await.expect("a response").status, 200);
    let begun = std::time::Instant::now();
    stop::stop(&gateway.shared).await;
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    assert!(idle.reply().await.is_none());
}

/// Guards against a process that ends while the rest of a reply waits for a caller's slow link.
#[tokio::test]
async fn planned_stop_does_not_cut_reply_on_slow_link() {
    // This stop serves for 1.3 s. Its time is long, as a machine under load stretches the time of the link.
    for delay in [450, 1_500] {
        let server = Arc::new(Backend::start("i-1", Behaviour::LargeBody(delay)).await);
        let (process, known) = (Runtime::new().expect("a runtime"), server.clone());
        let gateway =
            process.spawn(async move { TestGateway::with_slow_link_and_stop(&known, 4_000).await });
        let gateway = gateway.await.expect("a gateway");
        let mut caller = Caller::connect_slow(gateway.entry).await;
        caller.send(&get("/free/1", "r1")).await;
        gateway.wait_until("the server has the request", || server.received().len() == 1).await;
        let reading = tokio::spawn(async move { caller.read_slowly().await });
        let shared = gateway.shared.clone();
        process.spawn(async move { stop::stop(&shared).await }).await.expect("no panic");
        process.shutdown_background();
        let received = reading.await.expect("no panic");
        assert!(received > LARGE_BODY, "{delay} ms: the reply was cut after {received} bytes");
    }
}

/// Guards against a connection that closes at the end of serving although the rest of an earlier reply is not written.
#[tokio::test]
async fn planned_stop_does_not_cut_reply_that_began_before_it() {
    let server = Backend::start("i-1", Behaviour::LargeBody(0)).await;
    let gateway = TestGateway::with_slow_link(&server).await;
    let mut caller = Caller::connect_slow(gateway.entry).await;
    caller.send(&get("/free/1", "r1")).await;
    gateway
        .wait_until("the reply is taken and not written", || {
            server.received().len() == 1 && gateway.shared.open_count() == 0
        })
        .await;
    let received = stop_while_reading_slowly(&gateway, caller).await;
    assert!(received > LARGE_BODY, "the reply was cut after {received} bytes");
}

/// Guards against a stop that cuts a reply which is streamed because it is too long to buffer.
#[tokio::test]
async fn planned_stop_does_not_cut_streamed_reply() {
    let server = Backend::start("i-1", Behaviour::LeaveWithLongBody).await;
    let gateway = TestGateway::with_slow_link(&server).await;
    let mut caller = Caller::connect_slow(gateway.entry).await;
    caller.send(&get("/free/1", "r1")).await;
    gateway.wait_until("the server has the request", || server.received().len() == 1).await;
    let received = stop_while_reading_slowly(&gateway, caller).await;
    assert!(received > 1_000_000, "the reply was cut after {received} bytes");
}

/// Guards against requests that are still unread when a connection closes, and reset it before its reply is delivered.
#[tokio::test]
async fn planned_stop_does_not_reset_connection_with_unread_requests() {
    let server = Backend::start("i-1", Behaviour::LargeBody(900)).await;
    let gateway = TestGateway::with_slow_link(&server).await;
    let mut caller = Caller::connect_slow(gateway.entry).await;
    caller.send(&get("/free/1", "r1")).await;
    gateway.wait_until("the server has the request", || server.received().len() == 1).await;
    for attempt in ["r2", "r3"] {
        tokio::time::sleep(Duration::from_millis(50)).await;
        caller.send(&get("/free/1", attempt)).await;
    }
    let received = stop_while_reading_slowly(&gateway, caller).await;
    assert!(received > LARGE_BODY, "the reply was cut after {received} bytes");
}

/// Stops the gateway while the caller reads its reply slowly from the end of serving on, and returns the number of bytes
/// that the caller got.
async fn stop_while_reading_slowly(gateway: &TestGateway, mut caller: Caller) -> usize {
    let mut phase = gateway.shared.phase.subscribe();
    let reading = tokio::spawn(async move {
        wait_for_closing(&mut phase).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        caller.read_slowly().await
    });
    stop::stop(&gateway.shared).await;
    assert_eq!(gateway.shared.connection_count(), 0);
    reading.await.expect("no panic")
}

/// The start of a request head, and of a request whose body is not complete.
const PARTIAL_HEAD: &str = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\n";
const PARTIAL_BODY: &str =
    "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: r1\r\nContent-Length: 5\r\n\r\nhel";

/// Sends the start of a request while the node is leaving and the rest once it is closing, and returns the status of the
/// reply and the number of requests that reached the server.
async fn finish_request_late((start, rest): (&str, &str)) -> (u16, usize) {
    let server = Backend::start("i-1", Behaviour::Delay(1_500)).await;
    let gateway = TestGateway::with_servers(&[&server]).await;
    let shared = gateway.shared.clone();
    let mut caller = Caller::connect(gateway.entry).await;
    let stopping = tokio::spawn(async move { stop::stop(&shared).await });
    gateway
        .wait_until("the node is leaving", || *gateway.shared.phase.borrow() == Phase::Leaving)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    caller.send(start).await;
    gateway
        .wait_until("the node is closing", || *gateway.shared.phase.borrow() == Phase::Closing)
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.send(rest).await;
    let reply = caller.reply().await;
    stopping.await.expect("no panic");
    (reply.map_or(0, |reply| reply.status), server.received().len())
}

/// Guards against a request that is taken late in a planned stop, and cut off at the server when the process ends.
#[tokio::test]
async fn request_completed_late_in_planned_stop_is_refused_as_not_run() {
    let head_rest = "Content-Length: 5\r\n\r\nhello";
    for parts in [(PARTIAL_HEAD, head_rest), (PARTIAL_BODY, "lo")] {
        assert_eq!(finish_request_late(parts).await, (503, 0), "{parts:?}");
    }
}

/// Guards against a second send that begins when the process is about to end, and is cut off there.
#[tokio::test]
async fn refused_request_is_not_sent_again_at_end_of_planned_stop() {
    let first = Backend::start("i-1", Behaviour::ShedAfter(1_300)).await;
    let second = Backend::start("i-2", Behaviour::ShedAfter(1_300)).await;
    let gateway = TestGateway::with_servers(&[&first, &second]).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&post("r1")).await;
    let received = || first.received().len() + second.received().len();
    gateway.wait_until("a server has the request", || received() == 1).await;
    stop::stop(&gateway.shared).await;
    assert_eq!(caller.reply().await.map(|reply| reply.status), Some(503));
    assert_eq!(received(), 1);
}

/// Guards against callers that stall and hold a planned stop beyond its time.
#[tokio::test]
async fn stalled_callers_do_not_hold_planned_stop_beyond_its_time() {
    let server = Backend::start("i-1", Behaviour::LargeBody(0)).await;
    let gateway = TestGateway::with_slow_link(&server).await;
    let mut callers = Vec::new();
    for text in [get("/free/1", "r2"), PARTIAL_HEAD.into(), PARTIAL_BODY.into()] {
        let mut caller = Caller::connect_slow(gateway.entry).await;
        caller.send(&text).await;
        callers.push(caller);
    }
    let max_stop = Duration::from_millis(gateway.shared.settings.max_stop.as_millis());
    let stopping = tokio::time::timeout(max_stop, stop::stop(&gateway.shared));
    assert!(stopping.await.is_ok(), "the stop takes longer than its time");
}
