//! Replies to clients: a status, headers, and a body that is complete or streamed. A streamed body may fail, which closes the
//! connection before the body looks complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::{Response, StatusCode};
use snafu::Snafu;

/// Reply to a client.
pub type Reply = Response<ReplyBody>;

/// Error upon which the connection is closed without a response, because every status would promise something that is not certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no response can be sent; the connection is closed"))]
pub struct CloseConnection;

/// Streamed body of any type.
pub(crate) type BoxedBody = Pin<Box<dyn Body<Data = Bytes, Error = CloseConnection>>>;

/// Body of a reply.
pub enum ReplyBody {
    /// Complete body; `None` if the body is empty or was sent already.
    Complete(Option<Bytes>),
    /// Body that arrives in frames.
    Streamed(BoxedBody),
}

impl ReplyBody {
    /// Creates a body from its complete data.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Complete(None)
    }

    /// Creates a reply with a status and an empty body.
    #[must_use]
    pub fn empty_reply(status: StatusCode) -> Reply {
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
