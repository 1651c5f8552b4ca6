//! A store's answer: its status, its headers, and a body whose connection goes back to the pool once it has come whole.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gingerledge_protocol::Verdict;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::{HeaderMap, StatusCode};

use super::{Attempt, Cause};

/// What a store said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// A store's word that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The status that it gave.
    pub status: StatusCode,
    /// When it wants to be asked again.
    pub retry_after: Option<Duration>,
    /// Its load, where it told it.
    pub load: Option<Load>,
}

/// An answer that the store gave itself, so the request has run.
pub struct StoreAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its body. Dropped before its end, it closes the connection, and the store drops the request.
    pub body: StoreBody,
}

/// The body of a store's answer. An error means that it was cut off.
pub struct StoreBody {
    incoming: Incoming,
}

impl StoreBody {
    /// The body of an answer.
    pub fn new(incoming: Incoming) -> Self {
        Self { incoming }
    }

    /// All of it, if it has no more bytes than that.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, Attempt> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if whole.len() + piece.len() > max_bytes {
                return Err(Attempt { verdict: Verdict::MayHaveRun, cause: Cause::Garbled });
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    /// Its next piece; none at its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Attempt>> {
        loop {
            match self.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => continue,
                },
                Err(attempt) => return Some(Err(attempt)),
            }
        }
    }
}

impl Body for StoreBody {
    type Data = Bytes;
    type Error = Attempt;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Attempt>>> {
        let incoming = Pin::new(&mut self.get_mut().incoming);
        let cut = Attempt { verdict: Verdict::MayHaveRun, cause: Cause::Broken };
        incoming.poll_frame(context).map(|frame| frame.map(|frame| frame.map_err(|_| cut)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
