//! Body of a response to a caller: whole, or a stream whose end shows whether it is complete.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::Full;
use thiserror::Error as ThisError;

use crate::{prelude::*, unread::Receiver};

/// Error of a response body that was cut off. It closes the connection to the caller, who
/// would otherwise take the response for complete.
#[derive(Clone, Copy, Debug, ThisError)]
#[error("the answer was cut off")]
pub struct Truncated;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// Chunks as they arrive.
    Stream(Receiver<Result<Bytes, Truncated>>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|_| Truncated),
            Body::Stream(chunks) => chunks.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
