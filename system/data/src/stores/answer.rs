//! A store's answer: its status, its headers, and a body whose connection goes back to the pool once it has come whole.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Wake, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gingerledge_protocol::Verdict;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::{HeaderMap, StatusCode};
use tokio::time::{sleep_until, Instant, Sleep};

use super::connection::Connection;
use super::{Attempt, Cause};

/// The most pieces of an unread body that are looked at for its end.
const MAX_UNREAD_PIECES: usize = 4;

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
    /// Its load, where it told it.
    pub load: Option<Load>,
    /// Its body. Dropped before its end, it closes the connection, and the store drops the request.
    pub body: StoreBody,
}

/// The body of a store's answer. An error means that it was cut off. Its connection goes back to the pool at its end.
pub struct StoreBody {
    incoming: Incoming,
    connection: Option<Connection>,
    reusable: bool,
    silence: Duration,
    last_piece: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StoreBody {
    /// The body that comes on a connection, which may be used again after it if `reusable`. It ends in an error after as much
    /// `silence` between two pieces.
    pub(super) fn new(incoming: Incoming, connection: Connection, reusable: bool, silence: Duration) -> Self {
        let connection = Some(connection);
        let mut body =
            Self { incoming, connection, reusable, silence, last_piece: Instant::now(), timer: None };
        if body.incoming.is_end_stream() {
            body.finish();
        }
        body
    }

    /// The whole body has come.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.reusable) {
            connection.place.store().give_back(connection);
        }
    }

    /// Waits until the store has been silent for too long since the last piece.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let until = self.last_piece + self.silence;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(until)));
        while timer.as_mut().poll(context).is_ready() {
            if until <= Instant::now() {
                return Poll::Ready(());
            }
            timer.as_mut().reset(until);
        }
        Poll::Pending
    }

    fn cut(&mut self, cause: Cause) -> Attempt {
        self.connection = None;
        Attempt { verdict: Verdict::MayHaveRun, cause }
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

impl Drop for StoreBody {
    /// A body that has come whole, though nobody read it, leaves its connection to others.
    fn drop(&mut self) {
        if self.connection.is_none() || !self.reusable {
            return;
        }
        let waker = Waker::from(Arc::new(Nobody));
        let mut context = Context::from_waker(&waker);
        for _ in 0..MAX_UNREAD_PIECES {
            match Pin::new(&mut self.incoming).poll_frame(&mut context) {
                Poll::Ready(None) => return self.finish(),
                Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => return self.finish(),
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_))) | Poll::Pending => return,
            }
        }
    }
}

/// Is never woken.
struct Nobody;

impl Wake for Nobody {
    fn wake(self: Arc<Self>) {}
}

impl Body for StoreBody {
    type Data = Bytes;
    type Error = Attempt;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Attempt>>> {
        let body = self.get_mut();
        let polled = match Pin::new(&mut body.incoming).poll_frame(context) {
            Poll::Ready(polled) => polled,
            Poll::Pending => {
                ready!(body.poll_silence(context));
                return Poll::Ready(Some(Err(body.cut(Cause::Silent))));
            }
        };
        match polled {
            Some(Ok(frame)) => {
                body.last_piece = Instant::now();
                if body.incoming.is_end_stream() {
                    body.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => Poll::Ready(Some(Err(body.cut(Cause::Broken)))),
            None => {
                body.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
