//! Servers that send bytes without end: the gateway bounds its time and memory, closes the connection, counts the
//! failure, and never delivers such bytes as a complete response.

mod common;

use common::{
    endless::{Endless, EndlessServer},
    get, post, resident_bytes, Backend, Behaviour, Caller, TestGateway,
};
use redwingtrestle_core::process::registration::{Registration, RegistrationState};
use std::time::Duration;
use tokio::io::AsyncReadExt;

/// More bytes than the gateway may read of a response that it does not deliver: two read buffers, and the buffers of
/// the sockets on both sides.
const MAX_ACCEPTED_BYTES: u64 = 12 << 20;

/// The responses that the health estimates need before a slow one is recognised.
const WARM_UP_REQUESTS: u32 = 40;

/// The deadline of the tests' requests, and one second.
const DEADLINE_AND_SLACK: Duration = Duration::from_secs(4);

/// Starts a gateway with one endless server, and a sound one if `with_sound` is set.
async fn start(
    endless: Endless,
    served: u32,
    with_sound: bool,
) -> (TestGateway, EndlessServer, Backend) {
    let server = EndlessServer::start("i-1", endless, served).await;
    let sound = Backend::start("i-2", Behaviour::Serve).await;
    let gateway = if with_sound {
        TestGateway::with_servers(&[&sound]).await
    } else {
        TestGateway::with_servers(&[]).await
    };
    let ready = sound.registration(RegistrationState::Ready, 1);
    gateway.store.register(Registration { id: server.id.clone(), addr: server.addr, ..ready });
    gateway
        .wait_until("the endless server is known", || {
            let fleet = gateway.shared.fleet();
            fleet.registry.server(&server.id).is_some()
        })
        .await;
    (gateway, server, sound)
}

async fn is_closed(gateway: &TestGateway, server: &EndlessServer) {
    gateway.wait_until("the connection is closed", || server.open_connections() == 0).await;
}

fn is_suspect(gateway: &TestGateway, server: &EndlessServer) -> bool {
    let suspects = gateway.shared.fleet().registry.suspects(gateway.shared.now());
    suspects.iter().any(|(id, _)| *id == server.id)
}

/// Guards against bytes without end that reach a caller as a complete response, that occupy a node, or that keep the
/// server in use, when no other server can serve.
async fn single_server_is_cut_off(endless: Endless) {
    let (gateway, server, _sound) = start(endless, 0, false).await;
    for i in 0..3 {
        let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
        let is_answer = reply.status == 200 && !reply.head.contains("chunked");
        assert!(!is_answer, "{endless:?}: {}", reply.head);
    }
    is_closed(&gateway, &server).await;
    assert!(
        server.sent() < 3 * MAX_ACCEPTED_BYTES,
        "{endless:?}: {} bytes were accepted",
        server.sent()
    );
}

/// Guards against a repeatable request that fails although another server would serve it.
async fn repeatable_request_is_served_elsewhere(endless: Endless) {
    let (gateway, server, _sound) = start(endless, 0, true).await;
    for i in 0..6 {
        let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()), "{endless:?}");
        assert!(reply.elapsed < Duration::from_millis(2_500), "{endless:?}: {:?}", reply.elapsed);
    }
    is_closed(&gateway, &server).await;
}

/// Guards against an order that runs twice because its server sent bytes without end.
async fn order_runs_at_most_once(endless: Endless) {
    let (gateway, server, sound) = start(endless, 0, true).await;
    for i in 0..6 {
        let before = server.requests() as usize + sound.received().len();
        gateway.call(&post(&format!("r{i}"))).await;
        let runs = server.requests() as usize + sound.received().len() - before;
        assert!(runs <= 1, "{endless:?}: {runs} servers received the order");
    }
    is_closed(&gateway, &server).await;
}

/// Guards against a server that stays in use because its bytes without end come on a reused connection.
async fn failure_on_reused_connection_is_counted(endless: Endless) {
    let (gateway, server, _sound) = start(endless, WARM_UP_REQUESTS, false).await;
    for i in 0..WARM_UP_REQUESTS {
        assert_eq!(gateway.call(&get("/free/1", &format!("w{i}"))).await.status, 200);
    }
    assert!(!is_suspect(&gateway, &server));
    for i in 0..2 {
        gateway.call(&get("/free/1", &format!("r{i}"))).await;
    }
    assert!(is_suspect(&gateway, &server), "{endless:?}");
    is_closed(&gateway, &server).await;
}

/// Returns the last bytes that a caller receives until its connection ends, which must be soon after the deadline.
async fn read_to_end(caller: &mut Caller) -> Vec<u8> {
    let mut buffer = vec![0; 64 * 1024];
    let mut last = Vec::new();
    let reading = async {
        while let Ok(count @ 1..) = caller.socket.read(&mut buffer).await {
            last = buffer[..count].to_vec();
        }
    };
    tokio::time::timeout(DEADLINE_AND_SLACK, reading)
        .await
        .expect("the connection ends at the deadline");
    last
}

/// Names a test of each property for each kind of endless bytes.
macro_rules! endless_cases {
    ($($module:ident: $endless:expr => $($property:ident),+;)+) => {
        $(
            mod $module {
                use super::*;
                $(
                    #[tokio::test]
                    async fn $property() {
                        super::$property($endless).await;
                    }
                )+
            }
        )+
    };
}

endless_cases! {
    garbage: Endless::Garbage => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    header_line: Endless::HeaderLine => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    header_lines: Endless::HeaderLines => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    informational: Endless::Informational => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    chunks: Endless::Chunks => order_runs_at_most_once;
    bytes_before_request: Endless::BytesBeforeRequest => single_server_is_cut_off,
        repeatable_request_is_served_elsewhere, order_runs_at_most_once;
    trickled_head: Endless::TrickledHead => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    trickled_body: Endless::TrickledBody => single_server_is_cut_off, repeatable_request_is_served_elsewhere,
        order_runs_at_most_once, failure_on_reused_connection_is_counted;
    trickled_refusal: Endless::TrickledRefusal => single_server_is_cut_off;
}

/// Guards against a body without end that is delivered past the caller's deadline, or that looks complete.
#[tokio::test]
async fn body_without_end_is_broken_off_at_the_deadline() {
    let (gateway, server, _sound) = start(Endless::Chunks, 0, false).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&get("/free/1", "r1")).await;
    let reply = caller.reply().await.expect("a head");
    assert!(reply.head.contains("chunked"), "{}", reply.head);
    let rest = read_to_end(&mut caller).await;
    assert!(!rest.ends_with(b"\r\n0\r\n\r\n"), "the body looks complete");
    is_closed(&gateway, &server).await;
    assert!(is_suspect(&gateway, &server));
}

/// Guards against bytes after a complete response that reach the next caller.
#[tokio::test]
async fn bytes_after_a_response_reach_no_caller() {
    let (gateway, server, _sound) = start(Endless::BytesAfterBody, 0, false).await;
    for i in 0..5 {
        let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()));
    }
    is_closed(&gateway, &server).await;
}

/// Guards against an order that waits for the rest of a refusal while another server is free.
#[tokio::test]
async fn trickled_refusal_delays_no_order() {
    let (gateway, server, sound) = start(Endless::TrickledRefusal, 0, true).await;
    let mut orders = 0;
    // The choice of a server is random, so the refusing one may come late.
    while orders < 6 || server.requests() == 0 {
        assert!(orders < 200, "the refusing server was never tried");
        let reply = gateway.call(&post(&format!("r{orders}"))).await;
        assert_eq!(reply.status, 200);
        assert!(reply.elapsed < Duration::from_millis(500), "{:?}", reply.elapsed);
        orders += 1;
    }
    assert_eq!(sound.received().len(), orders);
    is_closed(&gateway, &server).await;
}

/// Guards against memory of a node that grows with the number of responses without end.
#[tokio::test]
async fn many_endless_responses_take_bounded_memory() {
    let (gateway, server, _sound) = start(Endless::HeaderLine, 0, false).await;
    let before = resident_bytes();
    let calls = (0..100).map(|i| {
        let text = get("/free/1", &format!("r{i}"));
        let gateway = &gateway;
        async move { gateway.call(&text).await.status }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| *status >= 500), "{statuses:?}");
    is_closed(&gateway, &server).await;
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 64 << 20, "{grown} bytes");
}
