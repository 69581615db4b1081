//! Backend servers that send bytes without end until the gateway closes the connection.

use super::{header, read_request};
use redwingtrestle_core::process::registration::ServerId;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
};

/// The pause between two pieces of a trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// `Endless` is the part of a response that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endless {
    /// Bytes that are no response.
    Garbage,
    /// One header line.
    HeaderLine,
    /// Header lines.
    HeaderLines,
    /// Informational responses.
    Informational,
    /// The chunks of a body.
    Chunks,
    /// The chunks of a body, 64 KiB each.
    LargeChunks,
    /// Bytes after a complete response.
    BytesAfterBody,
    /// Bytes that begin before the request arrives.
    BytesBeforeRequest,
    /// A head that arrives byte by byte.
    TrickledHead,
    /// A body that arrives byte by byte.
    TrickledBody,
    /// The body of a refusal that did not run the request.
    TrickledRefusal,
}

/// `EndlessServer` serves its first requests and then sends without end.
#[derive(Debug)]
pub(crate) struct EndlessServer {
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    requests: Arc<AtomicU32>,
    open: Arc<AtomicU32>,
    sent: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts a server that answers `served` requests before its first endless response.
    pub(crate) async fn start(name: &str, endless: Endless, served: u32) -> EndlessServer {
        let listener = bind_with_small_buffers();
        let server = EndlessServer {
            id: ServerId(name.into()),
            addr: listener.local_addr().unwrap(),
            requests: Arc::default(),
            open: Arc::default(),
            sent: Arc::default(),
        };
        let (requests, open, sent) =
            (server.requests.clone(), server.open.clone(), server.sent.clone());
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (requests, open, sent) = (requests.clone(), open.clone(), sent.clone());
                tokio::spawn(async move {
                    open.fetch_add(1, Ordering::SeqCst);
                    serve(socket, endless, served, &requests, &sent).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Returns the number of requests received.
    pub(crate) fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that the gateway has not closed.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that the gateway has accepted.
    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }
}

/// Binds a free address with small send buffers, so that what is sent is soon held by the gateway's machine.
fn bind_with_small_buffers() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(16 * 1024).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    socket.listen(1_024).unwrap()
}

fn response_head(id: &str, framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\n{framing}\r\n")
}

async fn serve(
    mut socket: TcpStream,
    endless: Endless,
    served: u32,
    requests: &AtomicU32,
    sent: &AtomicU64,
) {
    if endless == Endless::BytesBeforeRequest {
        return send_without_end(&mut socket, "x", &"x".repeat(1_000), Duration::ZERO, sent).await;
    }
    while let Some(request) = read_request(&mut socket).await {
        let id = header(&request.head, "redwing-request-id");
        let whole = response_head(&id, "content-length: 2\r\n") + "ok";
        if requests.fetch_add(1, Ordering::SeqCst) < served {
            if socket.write_all(whole.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let long = "x".repeat(1_000);
        let (start, piece, pause) = match endless {
            Endless::Garbage | Endless::BytesBeforeRequest => {
                ("\u{1}".into(), long, Duration::ZERO)
            }
            Endless::HeaderLine => ("HTTP/1.1 200 OK\r\nx: ".into(), long, Duration::ZERO),
            Endless::HeaderLines => {
                ("HTTP/1.1 200 OK\r\n".into(), "x: y\r\n".repeat(200), Duration::ZERO)
            }
            Endless::Informational => {
                (String::new(), "HTTP/1.1 102 X\r\n\r\n".repeat(50), Duration::ZERO)
            }
            Endless::Chunks => (
                response_head(&id, "transfer-encoding: chunked\r\n"),
                format!("3e8\r\n{long}\r\n"),
                Duration::ZERO,
            ),
            Endless::LargeChunks => (
                response_head(&id, "transfer-encoding: chunked\r\n"),
                format!("10000\r\n{}\r\n", "x".repeat(65_536)),
                Duration::ZERO,
            ),
            Endless::BytesAfterBody => (whole, long, Duration::ZERO),
            Endless::TrickledHead => ("HTTP/1.1 200 OK\r\nx: ".into(), "x".into(), TRICKLE_PAUSE),
            Endless::TrickledBody => {
                (response_head(&id, "content-length: 100000\r\n"), "x".into(), TRICKLE_PAUSE)
            }
            Endless::TrickledRefusal => (
                "HTTP/1.1 503 X\r\nredwing-shed: 1\r\ncontent-length: 100000\r\n\r\n".into(),
                "x".into(),
                TRICKLE_PAUSE,
            ),
        };
        return send_without_end(&mut socket, &start, &piece, pause, sent).await;
    }
}

/// Sends until the gateway closes the connection.
async fn send_without_end(
    socket: &mut TcpStream,
    start: &str,
    piece: &str,
    pause: Duration,
    sent: &AtomicU64,
) {
    if socket.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while socket.write_all(piece.as_bytes()).await.is_ok() {
        sent.fetch_add(piece.len() as u64, Ordering::SeqCst);
        tokio::time::sleep(pause).await;
    }
}
