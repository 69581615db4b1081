//! Reads HTTP messages from a socket without a library, so that a test sees what was sent.

use std::time::Instant;
use tokio::{io::AsyncReadExt, net::TcpStream};

/// `ReceivedRequest` is a request as a backend server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// The request line and headers, in lower case.
    pub(crate) head: String,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// When the whole request had arrived.
    pub(crate) at: Instant,
}

/// Returns the value of a header in a lower-case head, or an empty string.
pub(crate) fn header(head: &str, name: &str) -> String {
    let prefix = format!("{name}: ");
    head.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or_default().to_string()
}

/// Reads a head in lower case, or returns `None` if the connection ends first.
pub(crate) async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0u8; 1];
        if socket.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_lowercase())
}

/// Reads a request, or returns `None` if the connection ends first.
pub(crate) async fn read_request(socket: &mut TcpStream) -> Option<ReceivedRequest> {
    let head = read_head(socket).await?;
    if header(&head, "transfer-encoding") == "chunked" {
        let body = read_chunks(socket).await?;
        return Some(ReceivedRequest { head, body, at: Instant::now() });
    }
    let mut body = vec![0; header(&head, "content-length").parse().unwrap_or(0)];
    socket.read_exact(&mut body).await.ok()?;
    Some(ReceivedRequest { head, body, at: Instant::now() })
}

/// Reads a body in chunks without trailers, or returns `None` if the connection ends first.
async fn read_chunks(socket: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size = Vec::new();
        while !size.ends_with(b"\r\n") {
            size.push(socket.read_u8().await.ok()?);
        }
        let size = std::str::from_utf8(&size).ok()?.trim_end();
        let size = usize::from_str_radix(size, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        socket.read_exact(&mut chunk).await.ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
