//! A caller on a connection of its own, and the requests that it sends.

use super::{
    http::{header, read_head},
    CONDITION_TIMEOUT,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// The size of the buffers at both ends of a slow link, in bytes. A caller on it reads so many bytes at once.
pub(crate) const SLOW_LINK_BUFFER: usize = 16 * 1024;

/// The pause of a caller on a slow link after each read.
const SLOW_LINK_PAUSE: Duration = Duration::from_millis(10);

/// `Reply` is a reply as a caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body has its stated length.
    pub(crate) is_complete: bool,
    pub(crate) elapsed: Duration,
}

/// `Caller` is a connection of a caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) socket: TcpStream,
}

impl Caller {
    /// Connects to an entry.
    pub(crate) async fn connect(addr: SocketAddr) -> Caller {
        Caller { socket: TcpStream::connect(addr).await.unwrap() }
    }

    /// Sends bytes as they are.
    pub(crate) async fn send(&mut self, text: &str) {
        self.socket.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads a reply, or returns `None` if the connection ends before one begins.
    pub(crate) async fn reply(&mut self) -> Option<Reply> {
        let begun = Instant::now();
        let head =
            tokio::time::timeout(CONDITION_TIMEOUT, read_head(&mut self.socket)).await.ok()??;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        let mut body = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        while body.len() < length {
            // Bytes behind the body belong to the next reply.
            let most = buffer.len().min(length - body.len());
            let reading = self.socket.read(&mut buffer[..most]);
            match tokio::time::timeout(CONDITION_TIMEOUT, reading).await {
                Ok(Ok(count)) if count > 0 => body.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        let is_complete = body.len() == length;
        Some(Reply { status, head, body, is_complete, elapsed: begun.elapsed() })
    }

    /// Connects with buffers so small that the gateway cannot hand a large reply to the socket at once.
    pub(crate) async fn connect_slow(addr: SocketAddr) -> Caller {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SLOW_LINK_BUFFER as u32).unwrap();
        Caller { socket: socket.connect(addr).await.unwrap() }
    }

    /// Reads slowly to the end of the connection, and returns the number of bytes.
    pub(crate) async fn read_slowly(&mut self) -> usize {
        let mut buffer = vec![0; SLOW_LINK_BUFFER];
        let mut total = 0;
        while let Ok(count) = self.socket.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            total += count;
            tokio::time::sleep(SLOW_LINK_PAUSE).await;
        }
        total
    }
}

/// Returns a request without a body.
pub(crate) fn get(path: &str, attempt: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\n\r\n")
}

/// Returns the head of an at-most-once request with a body of this length.
pub(crate) fn upload_head(attempt: &str, length: usize) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRedwing-Request-Id: {attempt}\r\nRedwing-Deadline-Ms: 3000\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Returns an at-most-once request.
pub(crate) fn post(attempt: &str) -> String {
    upload_head(attempt, 5) + "hello"
}
