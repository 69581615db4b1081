//! Planned stops of a gateway.

mod common;

use common::{get, header, post, Act, Backend, Caller, World};
use redwingtrestle_core::{cases, process::peer_table::NodeState, time::Span};
use redwingtrestle_gateway::stop::{self, StopPlan};
use std::time::Duration;
use tokio::net::TcpStream;

fn plan((whole, ttl): (u64, u64)) -> (u64, u64) {
    let plan = StopPlan::new(Span::from_millis(whole), Span::from_millis(ttl));
    (plan.leaving.as_millis(), plan.closing.as_millis())
}

cases! {
    plan;
    /// Guards against an entry that closes while callers still keep the directory's answer.
    short_answers: (6_000, 1_000) => (1_000, 4_750),
    /// Guards against a stop that leaves no time for the requests which are open.
    long_answers: (6_000, 30_000) => (2_000, 3_750),
}

/// Guards against a stop that cuts a request which was read, or refuses one that comes early in the stop.
#[tokio::test]
async fn open_requests_are_answered() {
    let server = Backend::start("i-1", Act::Late(900)).await;
    let world = World::with(&[&server]).await;
    let mut kept = Caller::connect(world.entry).await;
    kept.send(&post("r1")).await;
    world.until("the server has the request", || server.seen().len() == 1).await;
    let shared = world.shared.clone();
    let stopping = tokio::spawn(async move { stop::stop(&shared).await });
    world
        .until("the node says that it stops", || world.shared.state() == NodeState::Stopping)
        .await;
    let mut late = Caller::connect(world.entry).await;
    late.send(&get("/free/1", "r2")).await;
    for caller in [&mut kept, &mut late] {
        let reply = caller.reply().await.expect("an answer");
        assert_eq!(reply.status, 200);
        assert_eq!(header(&reply.head, "connection"), "close");
    }
    stopping.await.expect("no panic");
    assert!(TcpStream::connect(world.entry).await.is_err(), "the entry is still open");
}

/// Guards against idle connections that hold up a stop, and against a stop that waits for nothing.
#[tokio::test]
async fn idle_connections_end_with_the_stop() {
    let server = Backend::start("i-1", Act::Serve).await;
    let world = World::with(&[&server]).await;
    let mut idle = Caller::connect(world.entry).await;
    idle.send(&get("/free/1", "r1")).await;
    assert_eq!(idle.reply().await.expect("an answer").status, 200);
    let begun = std::time::Instant::now();
    stop::stop(&world.shared).await;
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    assert!(idle.reply().await.is_none());
}
