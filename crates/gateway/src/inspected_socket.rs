//! The socket of a caller's connection, which follows the requests as they arrive.
//!
//! The HTTP library gets the bytes of one request at a time. What follows is held back until the reply is written, and
//! requests in it may start ahead of their turn ([`pipeline`](crate::pipeline)).

use crate::{
    clock::duration,
    connection_state::{
        ConnectionState, FRAMING_AMBIGUOUS, FRAMING_CLEAR, FRAMING_UNSEEN, IDLE, READING_HEAD,
        SERVING, WRITING,
    },
    framing::{BodyEnd, HeadSummary, RequestFraming},
    pipeline::Start,
};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use redwingtrestle_core::time::{Span, Timestamp};
use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::Pin,
    sync::{atomic::Ordering, Arc},
    task::{ready, Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{sleep, Sleep},
};

/// While this many bytes are held back, no more is read ahead.
const MAX_HELD_BYTES: usize = 16 * 1024;

/// The most arrivals of held bytes that are recorded one by one. Later bytes count as part of the last of these, so that
/// a caller that sends single bytes takes no more memory.
const MAX_ARRIVALS: usize = 32;

/// How often the gateway checks whether the connection has ended while no more is read ahead.
const END_CHECK_INTERVAL: Span = Span::from_millis(50);

/// A caller's socket that records when a request head begins to arrive, and follows the framing of requests.
#[derive(Debug)]
pub(crate) struct InspectedSocket {
    socket: TcpStream,
    connection_state: Arc<ConnectionState>,
    framing: RequestFraming,
    /// The limit on heads that the HTTP library applies, in bytes.
    head_limit: usize,
    /// Bytes that were read and that the HTTP library has not got yet.
    held: BytesMut,
    /// How many of these arrived together, and when, the earliest first.
    arrivals: VecDeque<(usize, Timestamp)>,
    /// How many of these belong to requests that were started ahead of their turn.
    started: usize,
    /// Whether the first request that was not started has to wait for its turn.
    must_wait: bool,
    /// Runs until the next check whether the connection has ended.
    end_check: Option<Pin<Box<Sleep>>>,
}

impl InspectedSocket {
    /// Wraps the socket of a connection that was just accepted.
    pub(crate) fn new(socket: TcpStream, connection_state: Arc<ConnectionState>) -> Self {
        InspectedSocket {
            socket,
            connection_state,
            framing: RequestFraming::new(),
            head_limit: 0,
            held: BytesMut::new(),
            arrivals: VecDeque::new(),
            started: 0,
            must_wait: false,
            end_check: None,
        }
    }

    /// Sets the limit on heads that the HTTP library applies, in bytes.
    pub(crate) fn set_head_limit(&mut self, head_limit: usize) {
        self.head_limit = head_limit;
    }

    /// Returns bytes to the socket that the HTTP library has read and not used. They are read again before any others.
    pub(crate) fn unread(&mut self, bytes: &Bytes) {
        if !bytes.is_empty() {
            let mut held = BytesMut::from(&bytes[..]);
            held.extend_from_slice(&self.held);
            self.held = held;
            self.arrivals.push_front((bytes.len(), self.connection_state.shared.now()));
        }
        self.framing.restart_head();
        (self.started, self.must_wait) = (0, false);
    }

    /// Returns the socket itself.
    pub(crate) fn into_socket(self) -> TcpStream {
        self.socket
    }

    /// Returns whether the HTTP library has all bytes of the request in service, so that what follows is held back. The
    /// library then reads only to notice the end of the connection.
    fn holds_back(&self) -> bool {
        let activity = self.connection_state.activity.load(Ordering::SeqCst);
        matches!(activity, SERVING | WRITING) && self.framing.is_between_requests()
    }

    /// Returns whether the connection is about to be handed to an instance of the HTTP library with another limit on
    /// heads, so that this one must not get the next request.
    fn awaits_limit(&self) -> bool {
        let ConnectionState { pipeline, shared, .. } = &*self.connection_state;
        self.framing.is_between_requests()
            && pipeline.is_empty()
            && *shared.head_limit.borrow() != self.head_limit
    }

    /// Follows bytes that the HTTP library is about to get, and returns how many it may get: no more than the rest of the
    /// current request.
    fn follow(&mut self, bytes: &[u8]) -> usize {
        let connection_state = &self.connection_state;
        let is_idle = connection_state.activity.load(Ordering::SeqCst) == IDLE;
        if is_idle && !self.framing.is_in_body() {
            connection_state.set_activity(READING_HEAD);
        }
        let was_in_head = self.framing.is_in_head();
        let count = self.framing.follow(bytes);
        let is_past_head = !self.framing.is_in_head() || self.framing.is_between_requests();
        if was_in_head && is_past_head {
            let framing = match self.framing.latest().map(|head| head.end) {
                Some(BodyEnd::Ambiguous) => FRAMING_AMBIGUOUS,
                None | Some(BodyEnd::Unclear) => FRAMING_UNSEEN,
                Some(_) => FRAMING_CLEAR,
            };
            connection_state.framing.store(framing, Ordering::SeqCst);
        }
        connection_state.in_body.store(self.framing.is_in_body(), Ordering::SeqCst);
        count
    }

    /// Holds back bytes that have just arrived.
    fn hold(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
        let now = self.connection_state.shared.now();
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some((count, _)) if is_full => *count += bytes.len(),
            _ => self.arrivals.push_back((bytes.len(), now)),
        }
    }

    /// Returns when the held byte at `offset` arrived.
    fn arrival(&self, offset: usize) -> Timestamp {
        let mut end = 0;
        let mut holds_offset = |count: &usize| {
            end += count;
            offset < end
        };
        let arrival = self.arrivals.iter().find(|(count, _)| holds_offset(count));
        arrival.map_or_else(|| self.connection_state.shared.now(), |(_, at)| *at)
    }

    /// Forgets the arrivals of the first `count` held bytes.
    fn forget_arrivals(&mut self, mut count: usize) {
        while let Some((first, _)) = self.arrivals.front_mut().filter(|_| count > 0) {
            let part = count.min(*first);
            *first -= part;
            count -= part;
            if *first == 0 {
                self.arrivals.pop_front();
            }
        }
    }

    /// Passes on bytes that were held back.
    fn pass_held(&mut self, buffer: &mut ReadBuf<'_>) {
        let (is_first, arrival) = (self.framing.is_between_requests(), self.arrival(0));
        let mut held = std::mem::take(&mut self.held);
        let most = held.len().min(buffer.remaining());
        let count = self.follow(&held[..most]);
        buffer.put_slice(&held.split_to(count));
        self.forget_arrivals(count);
        if is_first && (!self.framing.is_in_head() || self.framing.is_between_requests()) {
            self.connection_state.set_arrival(arrival);
        }
        if self.started == 0 {
            self.must_wait = false;
        }
        self.started = self.started.saturating_sub(count);
        // An empty buffer would keep its memory.
        if !held.is_empty() {
            self.held = held;
        }
    }

    /// Passes on bytes of the socket, and holds back those of later requests.
    fn poll_socket(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let bytes = &buffer.filled()[before..];
        let count = if bytes.is_empty() { 0 } else { self.follow(bytes) };
        if count < bytes.len() {
            self.hold(&buffer.filled()[before + count..]);
            buffer.set_filled(before + count);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads ahead while a request is in service, and starts what may run at the same time. Completes only with the end
    /// of the connection. The unfilled part of `buffer` is used for reading.
    fn poll_ahead(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.start_held();
            if !self.held.is_empty() {
                self.connection_state.pipeline.register_reader(context.waker());
            }
            let room = MAX_HELD_BYTES.saturating_sub(self.held.len());
            if room == 0 {
                return self.poll_end(context);
            }
            let mut part = buffer.take(room);
            ready!(Pin::new(&mut self.socket).poll_read(context, &mut part))?;
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.hold(part.filled());
        }
    }

    /// Starts requests that are held back, as far as they may start.
    fn start_held(&mut self) {
        let is_plain = self.framing.latest().is_some_and(|head: HeadSummary| head.is_plain);
        while is_plain && !self.must_wait && self.started < self.held.len() {
            let ConnectionState { pipeline, shared, .. } = &*self.connection_state;
            let (bytes, arrival) = (&self.held[self.started..], self.arrival(self.started));
            match pipeline.start_next(shared, bytes, arrival, self.head_limit) {
                Start::Started(length) => self.started += length,
                Start::Later => return,
                Start::Never => self.must_wait = true,
            }
        }
    }

    /// Completes when the caller has ended the connection, which is behind bytes that are not read.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let ready = self.socket.ready(Interest::READABLE).now_or_never();
            if matches!(ready, Some(Ok(ready)) if ready.is_read_closed()) {
                return Poll::Ready(Ok(()));
            }
            let pause = || Box::pin(sleep(duration(END_CHECK_INTERVAL)));
            ready!(self.end_check.get_or_insert_with(pause).as_mut().poll(context));
            self.end_check = None;
        }
    }
}

impl AsyncRead for InspectedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.holds_back() {
            return self.poll_ahead(context, buffer);
        }
        if self.held.is_empty() {
            return self.poll_socket(context, buffer);
        }
        if self.awaits_limit() {
            // The connection's task is woken by the change itself.
            return Poll::Pending;
        }
        self.pass_held(buffer);
        Poll::Ready(Ok(()))
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
