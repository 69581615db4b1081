//! Responses that a server cuts off, in the head and in the body, with the node in a process of its own.

mod common;

use common::{config, Fleet};
use futures_util::{stream, StreamExt};
use redwingtrestle_fakes::backend::BackendOptions;
use redwingtrestle_wire::caller;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The framings of a response's body, each with a whole response to the request with the id `{id}`.
const RESPONSES: [(&str, &str); 3] = [
    ("length", "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\ncontent-length: 5\r\n\r\nhello"),
    (
        "chunked",
        "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nhello\r\n0\r\n\r\n",
    ),
    ("close", "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\n\r\nhello"),
];

/// A change of the protocol, in place of a response.
const SWITCH: &str = "HTTP/1.1 101 Switching Protocols\r\nredwing-request-id: {id}\r\n\r\nhello";

/// The size of a body that the node passes on as it arrives.
const LARGE_BODY_BYTES: usize = 100_000;

/// How many characters the id of a send has more than `{id}`: the digits of the node for an empty id of the caller, a
/// dot and the digits of the send.
const ID_LENGTH: usize = 16 + 1 + 16;

/// How a server ends a connection.
const ENDS: [&str; 2] = ["closed", "reset"];

/// The size of a whole response on the wire.
fn wire_length(response: &str) -> usize {
    response.len() - "{id}".len() + ID_LENGTH
}

/// Answers each request `/…/FRAMING/BYTES/END` with so many bytes of a response, then ends the connection.
async fn serve(listener: TcpListener) {
    loop {
        let (socket, _) = listener.accept().await.expect("a connection");
        tokio::spawn(answer(socket));
    }
}

async fn answer(mut socket: TcpStream) -> std::io::Result<()> {
    let (mut request, mut buffer) = (String::new(), [0; 4096]);
    while !request.contains("\r\n\r\n") {
        match socket.read(&mut buffer).await? {
            0 => return Ok(()),
            count => request.push_str(&String::from_utf8_lossy(&buffer[..count])),
        }
    }
    let header = |name: &str| {
        let line = request.lines().find(|l| l.to_ascii_lowercase().starts_with(name));
        line.and_then(|l| l.split_once(": ")).map_or("", |(_, value)| value).to_string()
    };
    let path = request.split(' ').nth(1).unwrap_or_default().to_string();
    let parts: Vec<&str> = path.split('/').skip(2).collect();
    let whole = match RESPONSES.iter().find(|(framing, _)| *framing == parts[0]) {
        Some((_, response)) => (*response).to_string(),
        None if parts[0] == "switch" => SWITCH.to_string(),
        None => format!(
            "HTTP/1.1 200 OK\r\nredwing-request-id: {{id}}\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n{}",
            "x".repeat(LARGE_BODY_BYTES)
        ),
    };
    let whole = whole.replace("{id}", &header(caller::REQUEST_ID));
    let count: usize = parts[1].parse().expect("a number of bytes");
    socket.write_all(&whole.as_bytes()[..count.min(whole.len())]).await?;
    if parts[2] == "reset" {
        // Without the pause the reset would discard what the node has not read yet.
        tokio::time::sleep(Duration::from_millis(5)).await;
        socket.set_zero_linger()?;
    }
    Ok(())
}

async fn start_fleet() -> Fleet {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the server listens");
    let addr: SocketAddr = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener));
    Fleet::start_config(1, 1, BackendOptions::default(), "", move |servers| {
        let mut config = config(servers);
        config.services.values_mut().for_each(|s| s.servers[0].addr = addr);
        config
    })
    .await
}

/// Sends a request whose response is cut off and returns the status, or 0 if the caller notices that it is not whole.
async fn status_of(fleet: &Fleet, method: &str, framing: &str, count: usize, end: &str) -> u16 {
    let path = if method == "POST" { "orders" } else { "stock" };
    let url = fleet.nodes[0].url(&format!("/{path}/{framing}/{count}/{end}"));
    let method = reqwest::Method::from_bytes(method.as_bytes()).expect("a method");
    let Ok(response) = fleet.client.request(method, url).send().await else { return 0 };
    let status = response.status().as_u16();
    let outcome = response.headers()[caller::OUTCOME].to_str().expect("text").to_string();
    let is_whole = response.bytes().await.is_ok();
    assert!(status == 200 || outcome == "unknown", "{framing} {count} {end}: {status} {outcome}");
    if is_whole {
        status
    } else {
        0
    }
}

/// Guards against a 200 with an empty or short body after a server stopped in the middle of a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_response_is_not_delivered_as_whole() {
    let fleet = start_fleet().await;
    let mut cases = Vec::new();
    for (framing, response) in RESPONSES {
        // The end of the connection is the end of a body without a length, so its cut cannot be told if it is closed.
        let head = wire_length(response) - "hello".len();
        for end in ENDS {
            let cuts = match (framing, end) {
                ("close", "closed") => 0..head,
                ("close", _) => 0..wire_length(response) + 1,
                _ => 0..wire_length(response),
            };
            cases.extend(cuts.map(|count| (framing, count, end)));
        }
    }
    let head = "HTTP/1.1 200 OK\r\nredwing-request-id: \r\ncontent-length: 100000\r\n\r\n".len()
        + ID_LENGTH;
    for count in [0, 1, 65_536, LARGE_BODY_BYTES - 1] {
        cases.extend(ENDS.map(|end| ("large", head + count, end)));
    }
    let cases = cases.into_iter().flat_map(|case| ["POST", "GET"].map(|method| (method, case)));
    let statuses = stream::iter(cases).map(|(method, (framing, count, end))| {
        let fleet = &fleet;
        async move {
            let status = status_of(fleet, method, framing, count, end).await;
            (method, framing, count, end, status)
        }
    });
    let statuses: Vec<_> = statuses.buffer_unordered(4).collect().await;
    let whole: Vec<_> = statuses.iter().filter(|s| s.4 == 200).collect();
    println!("{} cut responses", statuses.len());
    assert!(whole.is_empty(), "{} of {} look whole: {whole:?}", whole.len(), statuses.len());
}

/// Guards against a test server whose responses fail for another reason than their cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_response_is_delivered() {
    let fleet = start_fleet().await;
    for framing in ["length", "chunked", "close", "large"] {
        let count = RESPONSES.iter().find(|(f, _)| *f == framing);
        let count = count.map_or(usize::MAX, |(_, response)| wire_length(response));
        for method in ["POST", "GET"] {
            assert_eq!(status_of(&fleet, method, framing, count, "closed").await, 200, "{framing}");
        }
    }
}

/// Guards against a change of the protocol that nobody asked for and that a caller gets as the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn switching_protocols_is_no_response() {
    let fleet = start_fleet().await;
    for end in ENDS {
        for method in ["POST", "GET"] {
            let status = status_of(&fleet, method, "switch", usize::MAX, end).await;
            assert_eq!(status, 502, "{method} {end}");
        }
    }
}
