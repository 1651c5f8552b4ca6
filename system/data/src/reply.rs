//! Responses to clients: a status, headers, and a body that is complete, or streamed. A streamed one may fail, which closes the
//! connection before the body looks complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::{Response, StatusCode};
use snafu::Snafu;

/// A response to a client.
pub type Reply = Response<ReplyBody>;

/// The connection is closed without a response: nothing is certain that a status could promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no answer can be given; the connection is closed"))]
pub struct CloseConnection;

/// A streamed body of any source.
pub(crate) type StreamedBody = Pin<Box<dyn Body<Data = Bytes, Error = CloseConnection>>>;

/// The body of a response to a client.
pub enum ReplyBody {
    /// The complete body; `None` if it is empty, or was sent.
    Complete(Option<Bytes>),
    /// Arrives in frames.
    Streamed(StreamedBody),
}

impl ReplyBody {
    /// A body of these bytes.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    /// An empty body.
    pub fn empty() -> Self {
        Self::Complete(None)
    }

    /// A response without a body.
    #[must_use]
    pub fn status(status: StatusCode) -> Reply {
        let mut reply = Response::new(Self::empty());
        *reply.status_mut() = status;
        reply
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
