//! Answers to clients: a status, headers, and a body that is whole, or streamed and then may fail, which closes the connection
//! before the body looks complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::{Response, StatusCode};
use snafu::Snafu;

/// An answer to a client.
pub type Reply = Response<ReplyBody>;

/// The connection is closed without an answer: nothing is known that could be promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no answer can be given; the connection is closed"))]
pub struct CloseConnection;

/// A streamed body, whatever makes it.
pub type StreamedBody = Pin<Box<dyn Body<Data = Bytes, Error = CloseConnection>>>;

/// The body of an answer to a client.
pub enum ReplyBody {
    /// All of it; none once it has been taken.
    Whole(Option<Bytes>),
    /// Comes in pieces.
    Streamed(StreamedBody),
}

impl ReplyBody {
    /// An answer of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// An answer without a body.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// An answer of a status alone.
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
