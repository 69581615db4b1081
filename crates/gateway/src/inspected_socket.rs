//! The socket of a caller's connection, which follows the heads of requests as they arrive.

use crate::connection_state::{
    ConnectionState, FRAMING_AMBIGUOUS, FRAMING_CLEAR, FRAMING_UNSEEN, IDLE, READING_HEAD,
};
use bytes::Bytes;
use std::{
    io,
    pin::Pin,
    sync::{atomic::Ordering, Arc},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A caller's socket that records when a request head begins to arrive, and inspects its framing.
#[derive(Debug)]
pub(crate) struct InspectedSocket {
    socket: TcpStream,
    connection_state: Arc<ConnectionState>,
    head: Vec<u8>,
    /// Bytes that were read and inspected before, and are read again.
    unread: Bytes,
}

impl InspectedSocket {
    /// Wraps the socket of a connection that was just accepted.
    pub(crate) fn new(socket: TcpStream, connection_state: Arc<ConnectionState>) -> Self {
        InspectedSocket { socket, connection_state, head: Vec::new(), unread: Bytes::new() }
    }

    /// Returns bytes to the socket that were read and not used. They are read again before any others.
    pub(crate) fn unread(&mut self, bytes: Bytes) {
        debug_assert!(self.unread.is_empty(), "the HTTP library reads all bytes of the socket");
        self.unread = bytes;
    }

    /// Returns the socket itself.
    pub(crate) fn into_socket(self) -> TcpStream {
        self.socket
    }

    /// Inspects the raw head, because the HTTP library hides a `Content-Length` beside a chunked body. Two parsers can
    /// see different ends of such a request, and the bytes between would run as a request of their own (request
    /// smuggling).
    fn inspect_head(&mut self, bytes: &[u8]) {
        self.head.extend_from_slice(bytes);
        let Some(end) = self.head.windows(HEAD_END.len()).position(|w| w == HEAD_END) else {
            return;
        };
        let head = self.head[..end].to_ascii_lowercase();
        let has_header =
            |name: &[u8]| head.split(|b| *b == b'\n').any(|line| line.starts_with(name));
        let is_ambiguous = has_header(b"content-length") && has_header(b"transfer-encoding");
        let framing = if is_ambiguous { FRAMING_AMBIGUOUS } else { FRAMING_CLEAR };
        self.connection_state.framing.store(framing, Ordering::SeqCst);
        self.head = Vec::new();
    }
}

impl AsyncRead for InspectedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let count = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(context, buffer);
        if buffer.filled().len() == before {
            return result;
        }
        if self.connection_state.activity.load(Ordering::SeqCst) == IDLE {
            self.connection_state.set_activity(READING_HEAD);
            self.connection_state.framing.store(FRAMING_UNSEEN, Ordering::SeqCst);
            self.head.clear();
        }
        let is_head = self.connection_state.activity.load(Ordering::SeqCst) == READING_HEAD;
        if is_head && self.connection_state.framing.load(Ordering::SeqCst) == FRAMING_UNSEEN {
            self.inspect_head(&buffer.filled()[before..]);
        }
        result
    }
}

impl AsyncWrite for InspectedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the socket only after it has written all that it had.
        let result = Pin::new(&mut self.socket).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.connection_state.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
