//! The memory of a node to which many callers send bodies at once. The test stands alone, as it measures its whole
//! process.

mod common;

use common::{
    resident_bytes,
    scripted::{success, ScriptedServer, Step},
    upload_head, Caller, Reply, TestGateway,
};
use futures_util::{stream::FuturesUnordered, StreamExt};
use std::{sync::Arc, time::Duration};

/// The callers, and the size of the body that each sends, in bytes. Together they take 144 MB.
const CALLERS: usize = 600;
const BODY: usize = 240_000;

/// The memory of the VM in megabytes, of which an eighth is for bodies.
const MEMORY_MB: usize = 64;

/// How long the server takes for each request, in milliseconds. All bodies arrive in that time.
const SERVICE_MS: u64 = 1_500;

/// The most that the process may grow by, in bytes: the bound, as much for the server in this process, and the
/// connections of 600 callers with both ends.
const MAX_GROWTH: u64 = 64_000_000;

async fn upload(gateway: &TestGateway, id: String, body: Arc<str>) -> (String, Reply) {
    let mut caller = Caller::connect(gateway.entry).await;
    // A refused caller may not be able to send all of its body.
    caller.send(&upload_head(&id, body.len())).await;
    let _ = tokio::io::AsyncWriteExt::write_all(&mut caller.socket, body.as_bytes()).await;
    let reply = caller.reply().await.expect("a response");
    (id, reply)
}

/// Guards against a node that runs out of memory because it keeps the bodies of many requests that wait for a server,
/// against a refused request that runs, and against a refusal without the time to come back.
#[tokio::test]
async fn many_uploads_take_bounded_memory() {
    let server = ScriptedServer::start("i-1", |turn| {
        vec![Step::Pause(SERVICE_MS), Step::text(success(&turn.id, "ok"))]
    })
    .await;
    let gateway = TestGateway::with_settings(&format!("\"memory_mb\": {MEMORY_MB}"), &[]).await;
    gateway.register_server(&server.id, server.addr).await;
    let body: Arc<str> = "x".repeat(BODY).into();
    let before = resident_bytes();
    let uploads = (0..CALLERS).map(|i| upload(&gateway, format!("r{i}"), body.clone()));
    let mut uploads: FuturesUnordered<_> = uploads.collect();
    let (mut served, mut refused, mut most, mut most_counted) = (0, 0, 0, 0);
    let mut timer = tokio::time::interval(Duration::from_millis(10));
    loop {
        let (id, reply) = tokio::select! {
            _ = timer.tick() => {
                most = most.max(resident_bytes().saturating_sub(before));
                most_counted = most_counted.max(gateway.shared.request_memory.used());
                continue;
            }
            next = uploads.next() => match next {
                Some(end) => end,
                None => break,
            },
        };
        if reply.status == 200 {
            served += 1;
            assert_eq!(server.received(&id), 1);
            continue;
        }
        // On a slow machine a server's port may also be too slow for so many connections at once.
        let text = String::from_utf8_lossy(&reply.body);
        assert!(reply.status == 503, "{id}: {text}");
        assert!(!common::header(&reply.head, "retry-after").is_empty(), "{id}: {}", reply.head);
        assert_eq!(server.received(&id), 0, "{id} was refused and ran");
        refused += usize::from(text.contains("\"code\":2012"));
    }
    println!("{served} served, {refused} refused, {most} bytes more, {most_counted} counted");
    let limit = MEMORY_MB * 1024 * 1024 / 8;
    assert!(served >= limit / BODY / 2, "{served} served");
    assert!(refused > 0 && most_counted <= limit, "{refused} refused, {most_counted} bytes");
    assert!(most < MAX_GROWTH, "{most} bytes");
    assert_eq!(gateway.shared.request_memory.used(), 0, "bodies are still counted");
}
