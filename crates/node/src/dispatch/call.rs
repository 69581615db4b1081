//! A caller's request, whose body may be streamed.

use bytes::Bytes;
use futures_util::{stream::BoxStream, StreamExt};
use redwingtrestle_core::{
    ids::{RankIndex, ServiceName},
    request::deadline::Deadline,
};
use reqwest::{header::HeaderMap, Method};
use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
};
use tokio::sync::mpsc;

/// A caller's request in the form in which the node passes it on.
#[derive(Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub target: String,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: CallBody,
    /// The identifier of the request in logs.
    pub id: Arc<str>,
    /// The service that its route names.
    pub service: ServiceName,
    /// Its rank.
    pub rank: RankIndex,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// The time at which the caller gives up.
    pub deadline: Deadline,
    /// The hash of the caller's workspace.
    pub workspace: u64,
    /// Whether another node forwarded the request because this node carries its service.
    pub forwarded_to_carrier: bool,
}

/// A request body, either buffered or streamed.
#[derive(Clone, Debug)]
pub enum CallBody {
    /// The whole body; the request can be sent any number of times.
    Buffered(Bytes),
    /// A body that is passed on as it arrives; the request can be retried only while none of it has been read.
    Streamed(StreamedBody),
}

/// A streamed request body, whose chunks go to the first connection that asks for one.
///
/// An empty chunk marks the end of the body. If the channel closes without one, the task that reads from
/// the caller has ended early and the body is broken. The mark is needed because the length may be unknown,
/// and a truncated body would then look complete.
#[derive(Clone, Debug)]
pub struct StreamedBody {
    chunks: Arc<Mutex<Option<mpsc::Receiver<io::Result<Bytes>>>>>,
    broken: Arc<AtomicBool>,
    pub(super) length: Option<u64>,
}

impl StreamedBody {
    /// Creates a body from the chunks that arrive on `chunks`; `length` is the one that the caller declared.
    pub fn new(chunks: mpsc::Receiver<io::Result<Bytes>>, length: Option<u64>) -> Self {
        let chunks = Arc::new(Mutex::new(Some(chunks)));
        StreamedBody { chunks, broken: Arc::default(), length }
    }

    pub(super) fn is_unread(&self) -> bool {
        self.chunks.lock().is_ok_and(|c| c.is_some())
    }

    pub(super) fn stream(&self) -> BoxStream<'static, io::Result<Bytes>> {
        let (source, broken) = (self.chunks.clone(), self.broken.clone());
        // The receiver is taken on the first poll, so it is still there after a failed connection attempt.
        futures_util::stream::unfold(None, move |taken: Option<mpsc::Receiver<_>>| {
            let (source, broken) = (source.clone(), broken.clone());
            async move {
                let mut chunks = match taken {
                    Some(chunks) => chunks,
                    None => source.lock().ok()?.take()?,
                };
                let lost = || Err(io::Error::other("the caller's body is no longer read"));
                let chunk: io::Result<Bytes> = chunks.recv().await.unwrap_or_else(lost);
                if chunk.as_ref().is_ok_and(Bytes::is_empty) {
                    return None;
                }
                if chunk.is_err() {
                    broken.store(true, Ordering::SeqCst);
                }
                Some((chunk, Some(chunks)))
            }
        })
        .boxed()
    }
}

impl CallBody {
    /// Returns the body if it is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            CallBody::Buffered(bytes) => Some(bytes),
            CallBody::Streamed(_) => None,
        }
    }

    /// Returns whether the caller's body ended before its declared length or exceeded the limit.
    pub fn is_broken(&self) -> bool {
        match self {
            CallBody::Buffered(_) => false,
            CallBody::Streamed(body) => body.broken.load(Ordering::SeqCst),
        }
    }

    pub(crate) fn is_sendable(&self) -> bool {
        match self {
            CallBody::Buffered(_) => true,
            CallBody::Streamed(body) => body.is_unread(),
        }
    }
}
