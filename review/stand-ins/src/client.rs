//! A client: one request on a connection of its own.

use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// What a client saw of its request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status, 0 if no head of a response arrived.
    pub status: u16,
    pub head: String,
    pub body_length: usize,
    /// Whether the whole body arrived.
    pub is_complete: bool,
    /// When the reply or the connection ended, in seconds since the start of the case.
    pub at: f64,
}

impl std::fmt::Display for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let end = if self.is_complete { "whole" } else { "broken off" };
        match self.status {
            0 => f.write_str("no answer"),
            status => write!(f, "{status}, body of {} bytes, {end}", self.body_length),
        }
    }
}

/// Sends a request and reads the reply. Gives up after `limit`.
pub async fn call(entry: SocketAddr, request: &[u8], limit: Duration) -> Reply {
    let mut reply = Reply::default();
    // A reply that is cut off by the limit stays incomplete.
    let _ = tokio::time::timeout(limit, exchange(entry, request, &mut reply)).await;
    reply
}

async fn exchange(entry: SocketAddr, request: &[u8], reply: &mut Reply) -> Option<()> {
    let mut socket = TcpStream::connect(entry).await.ok()?;
    socket.set_nodelay(true).ok()?;
    socket.write_all(request).await.ok()?;
    let mut bytes = Vec::new();
    let mut buffer = vec![0u8; 64 * 1024];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match socket.read(&mut buffer).await.ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    reply.head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    reply.status = reply.head.split(' ').nth(1)?.parse().ok()?;
    reply.body_length = bytes.len() - head_end;
    let stated = reply.head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    let mut tail = bytes.split_off(bytes.len().saturating_sub(7).max(head_end));
    loop {
        reply.is_complete = match stated {
            Some(length) => reply.body_length >= length,
            None => tail.ends_with(b"0\r\n\r\n"),
        };
        if reply.is_complete {
            return Some(());
        }
        let count = socket.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        reply.body_length += count;
        tail.extend_from_slice(&buffer[..count]);
        tail.drain(..tail.len().saturating_sub(7));
    }
}

/// Returns a request without a body.
pub fn get(path: &str, attempt: &str, limit_ms: u64) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns a request with a short body and its length.
pub fn post(path: &str, attempt: &str, limit_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns a request with a body in chunks.
pub fn post_chunked(path: &str, attempt: &str, limit_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for chunk in body.chunks(16 * 1024) {
        request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}
