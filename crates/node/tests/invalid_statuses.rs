//! Servers whose final status is none of HTTP's, that write no final response, or informational ones without end, with
//! the node in a process of its own.

mod common;

use common::{config, wait_for, Fleet};
use redwingtrestle_fakes::backend::BackendOptions;
use redwingtrestle_wire::caller;
use std::sync::{
    atomic::{AtomicU32, Ordering},
    Arc,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The status lines of responses whose status is none of a final response, or that cannot be read, by the last part of
/// a request's path.
const INVALID: [(&str, &str); 10] = [
    ("zero", "HTTP/1.1 000 X"),
    ("below", "HTTP/1.1 099 X"),
    ("switch", "HTTP/1.1 101 X"),
    ("interim", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 600 X"),
    ("above", "HTTP/1.1 600 X"),
    ("highest", "HTTP/1.1 999 X"),
    ("two", "HTTP/1.1 20 X"),
    ("four", "HTTP/1.1 2000 X"),
    ("plus", "HTTP/1.1 +20 X"),
    ("minus", "HTTP/1.1 -20 X"),
];

/// The further header lines of a response with an invalid status.
const FURTHER: [&str; 3] = ["", "redwing-shed: 1\r\n", "redwing-draining: 1\r\n"];

/// The deadline of requests that get no final response.
const DEADLINE_MS: u64 = 400;

/// What a server has seen.
#[derive(Debug, Default)]
struct Seen {
    /// Requests that arrived on a connection after an invalid status.
    misused: AtomicU32,
    /// Requests with an invalid response.
    invalid: AtomicU32,
    /// Open connections that send informational responses without end.
    endless: AtomicU32,
}

async fn serve(listener: TcpListener, seen: Arc<Seen>) {
    loop {
        let (socket, _) = listener.accept().await.expect("a connection");
        let seen = seen.clone();
        tokio::spawn(async move { answer(socket, &seen).await });
    }
}

/// Answers each request `/…/CASE/FURTHER` on a connection.
async fn answer(mut socket: TcpStream, seen: &Seen) -> std::io::Result<()> {
    let mut had_invalid = false;
    loop {
        let (mut request, mut buffer) = (String::new(), [0; 4096]);
        while !request.contains("\r\n\r\n") {
            match socket.read(&mut buffer).await? {
                0 => return Ok(()),
                count => request.push_str(&String::from_utf8_lossy(&buffer[..count])),
            }
        }
        seen.misused.fetch_add(u32::from(had_invalid), Ordering::SeqCst);
        let id_line = |l: &&str| l.starts_with(caller::REQUEST_ID);
        let id = request.lines().find(id_line).expect("a request has an id").to_string();
        let path = request.split(' ').nth(1).unwrap_or_default().to_string();
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let line = INVALID.iter().find(|(name, _)| *name == parts[0]).map(|(_, line)| *line);
        had_invalid |= line.is_some();
        seen.invalid.fetch_add(u32::from(line.is_some()), Ordering::SeqCst);
        let further = parts.get(1).and_then(|n| n.parse::<usize>().ok()).map_or("", |n| FURTHER[n]);
        let interim = "HTTP/1.1 100 X\r\nredwing-shed: 1\r\n\r\n";
        match parts[0] {
            "alone" => socket.write_all(interim.as_bytes()).await?,
            "closed" => return socket.write_all(interim.as_bytes()).await,
            "endless" => {
                seen.endless.fetch_add(1, Ordering::SeqCst);
                while socket.write_all(interim.repeat(50).as_bytes()).await.is_ok() {}
                seen.endless.fetch_sub(1, Ordering::SeqCst);
                return Ok(());
            }
            _ => {
                let line = line.unwrap_or("HTTP/1.1 200 OK");
                let text = format!("{line}\r\n{id}\r\n{further}content-length: 2\r\n\r\nok");
                socket.write_all(text.as_bytes()).await?;
            }
        }
    }
}

async fn start_fleet() -> (Fleet, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the server listens");
    let addr = listener.local_addr().expect("an address");
    let seen = Arc::new(Seen::default());
    tokio::spawn(serve(listener, seen.clone()));
    let fleet = Fleet::start_config(1, 1, BackendOptions::default(), "", move |servers| {
        let mut config = config(servers);
        config.services.values_mut().for_each(|s| s.servers[0].addr = addr);
        config
    })
    .await;
    (fleet, seen)
}

/// Sends a request and returns its status and outcome.
async fn send(fleet: &Fleet, path: &str) -> (u16, String) {
    let method = if path.starts_with("/orders") { "POST" } else { "GET" };
    let method = reqwest::Method::from_bytes(method.as_bytes()).expect("a method");
    let request = fleet.client.request(method, fleet.nodes[0].url(path));
    let response = request.header(caller::DEADLINE, DEADLINE_MS).send().await.expect("a response");
    let outcome = response.headers()[caller::OUTCOME].to_str().expect("text").to_string();
    (response.status().as_u16(), outcome)
}

/// Guards against a caller that gets a status that is none of HTTP's, against `not_run` for an order that ran, and
/// against another request on the connection of such a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_status_is_no_response() {
    let mut failed = Vec::new();
    for (name, line) in INVALID {
        for (number, further) in FURTHER.iter().enumerate() {
            let (fleet, seen) = start_fleet().await;
            // A server gets kept connections after it has answered well.
            for _ in 0..3 {
                assert_eq!(send(&fleet, "/stock/whole").await, (200, "ran".into()));
            }
            let order = send(&fleet, &format!("/orders/{name}/{number}")).await;
            let arrived = seen.invalid.load(Ordering::SeqCst);
            let stock = send(&fleet, &format!("/stock/{name}/{number}")).await;
            for _ in 0..3 {
                send(&fleet, "/stock/whole").await;
            }
            let misused = seen.misused.load(Ordering::SeqCst);
            let unknown = || (502, "unknown".to_string());
            if (&order, &stock, arrived, misused) != (&unknown(), &unknown(), 1, 0) {
                failed.push((line, further, order, stock, arrived, misused));
            }
        }
    }
    assert!(failed.is_empty(), "{} cases: {failed:#?}", failed.len());
}

/// Guards against an informational response that counts as the response when no other follows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_response_alone_is_no_response() {
    let (fleet, _) = start_fleet().await;
    assert_eq!(send(&fleet, "/orders/closed").await, (502, "unknown".into()));
    assert_eq!(send(&fleet, "/orders/alone").await, (504, "unknown".into()));
}

/// Guards against informational responses without end that occupy a node beyond the request's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_responses_without_end_are_cut_off() {
    let (fleet, seen) = start_fleet().await;
    assert_eq!(send(&fleet, "/orders/endless").await, (504, "unknown".into()));
    wait_for("the connection is closed", || async {
        (seen.endless.load(Ordering::SeqCst) == 0).then_some(())
    })
    .await;
    assert_eq!(send(&fleet, "/stock/whole").await, (200, "ran".into()));
}
