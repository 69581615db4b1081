//! Callers: one request on a connection of its own.

use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    /// The head, with header names in lower case.
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns the value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads a head, or returns `None` if the connection ends first.
pub async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0u8; 1];
        if socket.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// A connection that a caller keeps for many requests.
#[derive(Debug)]
pub struct Kept(TcpStream);

impl Kept {
    /// Connects to a gateway.
    pub async fn connect(addr: SocketAddr) -> Option<Kept> {
        let socket = TcpStream::connect(addr).await.ok()?;
        socket.set_nodelay(true).ok()?;
        Some(Kept(socket))
    }

    /// Sends a request, and returns its response, or `None` if the connection ends without a complete one.
    pub async fn exchange(&mut self, request: &str) -> Option<Reply> {
        let Kept(socket) = self;
        socket.write_all(request.as_bytes()).await.ok()?;
        let head = read_head(socket).await?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        socket.read_exact(&mut body).await.ok()?;
        Some(Reply { status, head, body })
    }
}

async fn exchange(addr: SocketAddr, request: &str) -> Option<Reply> {
    Kept::connect(addr).await?.exchange(request).await
}

/// Sends a request, and returns its response, or `None` if the connection ends or `time` passes without a complete one.
pub async fn send(addr: SocketAddr, request: &str, time: Duration) -> Option<Reply> {
    tokio::time::timeout(time, exchange(addr, request)).await.ok()?
}

/// Gets a path without further headers, and returns the status.
pub async fn get(addr: SocketAddr, path: &str) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    send(addr, &request, Duration::from_millis(800)).await.map(|reply| reply.status)
}

/// Returns a request of a caller with a time limit in milliseconds.
pub fn request(method: &str, host: &str, path: &str, attempt: &str, limit_ms: u64) -> String {
    let body = if method == "POST" { "hello" } else { "" };
    let length = if method == "POST" { "Content-Length: 5\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\n{length}\r\n{body}"
    )
}
