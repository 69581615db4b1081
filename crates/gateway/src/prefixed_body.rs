//! Bodies whose beginning has already been read.

use bytes::Bytes;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    Error,
};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// A body made of bytes that were already read, followed by the unread rest.
#[derive(Debug, Default)]
pub struct PrefixedBody {
    /// The bytes that were read and not yielded yet.
    pub first: Option<Bytes>,
    /// The unread rest, or `None` if the body was read completely.
    pub rest: Option<Incoming>,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.as_ref().map_or(Some(0), |rest| rest.size_hint().exact()) {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
