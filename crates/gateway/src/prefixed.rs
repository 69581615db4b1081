//! Bodies of which a beginning has been read already.

use bytes::Bytes;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    Error,
};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// `Prefixed` is what was read of a body, and the rest of it if there is one.
#[derive(Debug, Default)]
pub struct Prefixed {
    /// What was read and not passed on yet.
    pub first: Option<Bytes>,
    /// The rest.
    pub rest: Option<Incoming>,
}

impl Body for Prefixed {
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
