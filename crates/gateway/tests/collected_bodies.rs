//! Bodies of requests and responses whose other end reads slowly, and requests for whose bodies there is no memory.

mod common;

use common::{
    endless::{Endless, EndlessServer},
    get, header, post, read_head, upload_head, Backend, Behaviour, Caller, TestGateway,
    SLOW_LINK_BUFFER,
};
use redwingtrestle_core::process::registration::ServerId;
use redwingtrestle_gateway::{buffer_memory::CollectedBytes, telemetry};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// The settings of a small VM, whose collected bodies have 4 MiB for requests and 4 MiB for responses.
const SMALL_VM: &str = "\"memory_mb\": 32";

/// The callers that do not read, more than a small VM has memory for.
const CALLERS: usize = 60;

/// The size of a body that is streamed, in bytes.
const STREAMED_BODY: usize = 900_000;

/// The most bytes of one body that wait in this process and in the buffers of four sockets while a server does not read.
/// Linux doubles the sizes that are set.
const MAX_WAITING: usize = 600_000;

/// Starts a server that reads the head of each request and then, with pauses, the body. With `None` it does not read on.
async fn start_slow_server(pause: Option<Duration>) -> (ServerId, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_LINK_BUFFER as u32).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1_024).unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_slowly(socket, pause));
        }
    });
    (ServerId("i-slow".into()), addr)
}

/// Responds with the sum of the bytes of the body.
async fn serve_slowly(mut socket: TcpStream, pause: Option<Duration>) {
    let Some(head) = read_head(&mut socket).await else { return };
    let Some(pause) = pause else { return std::future::pending().await };
    let mut left: usize = header(&head, "content-length").parse().unwrap();
    let (mut sum, mut buffer) = (0u64, vec![0; SLOW_LINK_BUFFER]);
    while left > 0 {
        let count = socket.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        left -= count;
        sum += buffer[..count].iter().map(|b| u64::from(*b)).sum::<u64>();
        tokio::time::sleep(pause).await;
    }
    let (id, sum) = (header(&head, "redwing-request-id"), sum.to_string());
    let text = common::scripted::success(&id, &sum);
    let _ = socket.write_all(text.as_bytes()).await;
}

/// Connects a caller whose own socket holds little of what it sends.
async fn connect_sender(gateway: &TestGateway) -> Caller {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SLOW_LINK_BUFFER as u32).unwrap();
    Caller { socket: socket.connect(gateway.entry).await.unwrap() }
}

/// Guards against a node that takes whole bodies from callers, and keeps them in its own memory or in that of its
/// sockets, while a server does not read them.
#[tokio::test]
async fn body_waits_at_its_caller_while_the_server_does_not_read() {
    let (id, addr) = start_slow_server(None).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[]).await;
    gateway.register_server(&id, addr).await;
    let mut senders = Vec::new();
    for i in 0..20 {
        let mut caller = connect_sender(&gateway).await;
        caller.send(&upload_head(&format!("r{i}"), STREAMED_BODY)).await;
        let accepted = Arc::new(AtomicUsize::new(0));
        let counted = accepted.clone();
        let task = tokio::spawn(async move {
            let piece = [b'x'; 10_000];
            while let Ok(count) = caller.socket.write(&piece).await {
                if counted.fetch_add(count, Ordering::SeqCst) + count >= STREAMED_BODY {
                    break;
                }
            }
        });
        senders.push((accepted, task));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let accepted: Vec<usize> =
        senders.iter().map(|(accepted, _)| accepted.load(Ordering::SeqCst)).collect();
    println!("{accepted:?} bytes were accepted");
    assert!(accepted.iter().all(|count| *count < MAX_WAITING), "{accepted:?}");
    senders.iter().for_each(|(_, task)| task.abort());
    // The beginnings of the bodies are released at the deadline of the requests.
    let is_released = || gateway.shared.request_memory.used() == 0;
    gateway.wait_until("the memory is released", is_released).await;
}

/// Guards against a body that is cut or changed because its server reads it in small parts.
#[tokio::test]
async fn body_reaches_a_server_that_reads_slowly() {
    let (id, addr) = start_slow_server(Some(Duration::from_millis(1))).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[]).await;
    gateway.register_server(&id, addr).await;
    for length in [200_000, STREAMED_BODY] {
        let body: Vec<u8> = (0..length).map(|i| b'a' + (i % 23) as u8).collect();
        let text = upload_head("r1", length) + std::str::from_utf8(&body).unwrap();
        let reply = gateway.call(&text).await;
        let sum: u64 = body.iter().map(|b| u64::from(*b)).sum();
        assert_eq!((reply.status, reply.body), (200, sum.to_string().into_bytes()));
    }
}

/// Guards against a request that runs, or waits, although there is no memory for its body, against one without a body
/// that is refused, against refusals after the memory is free, and against refusals that no counter shows.
#[tokio::test]
async fn request_without_memory_for_its_body_is_refused_at_once() {
    telemetry::handle();
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[&server]).await;
    let memory = &gateway.shared.request_memory;
    let mut others = CollectedBytes::new(memory);
    assert!(others.try_extend(&vec![0; memory.limit()]));
    let chunked = post("r2").replace(
        "Content-Length: 5\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    );
    // The second states more than it sends, and the third does not end.
    for text in [post("r0"), upload_head("r1", 200_000), chunked, upload_head("r3", STREAMED_BODY)]
    {
        let reply = gateway.call(&text).await;
        assert_eq!(reply.status, 503, "{text}");
        assert!(String::from_utf8_lossy(&reply.body).contains("\"code\":2012"), "{text}");
        assert!(!header(&reply.head, "retry-after").is_empty(), "{text}");
        assert!(reply.elapsed < Duration::from_millis(300), "{text}: {:?}", reply.elapsed);
    }
    assert!(server.received().is_empty());
    assert!(telemetry::render().contains("redwing_gateway_memory_refusals_total 4"));
    assert_eq!(gateway.call(&get("/free/1", "r4")).await.status, 200);
    drop(others);
    assert_eq!(gateway.call(&post("r5")).await.status, 200);
    assert_eq!(memory.used(), 0);
}

/// Guards against memory that is released while the body may be sent again, and against a second send without it.
#[tokio::test]
async fn body_stays_counted_while_it_may_be_sent_again() {
    let server = Backend::start("i-1", Behaviour::ShedAfter(300)).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[&server]).await;
    let mut caller = Caller::connect(gateway.entry).await;
    let body = "x".repeat(200_000);
    caller.send(&(upload_head("r1", body.len()) + &body)).await;
    gateway.wait_until("the server has the body", || server.received().len() == 1).await;
    assert_eq!(gateway.shared.request_memory.used(), body.len());
    server.set(Behaviour::Serve);
    assert_eq!(caller.reply().await.expect("a response").status, 200);
    let received = server.received();
    assert!(received.len() == 2 && received.iter().all(|r| r.body == body.as_bytes()));
    assert_eq!(gateway.shared.request_memory.used(), 0);
}

/// Guards against a small VM whose collected responses take as much as those of a large one while callers read slowly.
#[tokio::test]
async fn responses_of_a_small_vm_take_less_memory() {
    let server = EndlessServer::start("i-1", Endless::LargeChunks, 0).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[]).await;
    gateway.register_server(&server.id, server.addr).await;
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let mut caller = Caller::connect_slow(gateway.entry).await;
        caller.send(&get("/free/1", &format!("r{i}"))).await;
        callers.push(caller);
    }
    let memory = &gateway.shared.response_memory;
    let mut most = 0;
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        most = most.max(memory.used());
    }
    println!("{most} bytes");
    // Each response that is collected when the limit is reached may still have read a part.
    let (limit, part) = (4 << 20, 64 * 1024);
    assert!(most > limit / 2 && most <= limit + CALLERS * part, "{most} bytes of {limit}");
    drop(callers);
    gateway.wait_until("the memory is released", || memory.used() == 0).await;
}

/// Guards against a response that is cut because its caller reads slowly while other responses take the memory.
#[tokio::test]
async fn slow_callers_get_whole_responses_without_memory() {
    let server = Backend::start("i-1", Behaviour::LargeBody(0)).await;
    let gateway = TestGateway::with_settings(SMALL_VM, &[&server]).await;
    let mut others = CollectedBytes::new(&gateway.shared.response_memory);
    others.extend(&vec![0; gateway.shared.response_memory.limit()]);
    for i in 0..3 {
        let mut caller = Caller::connect_slow(gateway.entry).await;
        let request =
            get("/free/1", &format!("r{i}")).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        caller.send(&request).await;
        let bytes = caller.read_slowly().await;
        assert!(bytes > common::LARGE_BODY, "{bytes} bytes");
    }
}
