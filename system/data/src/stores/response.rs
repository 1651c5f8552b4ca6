//! A store's response: its status, its headers, and a body that returns its connection to the pool when it is complete.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Wake, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::{HeaderMap, StatusCode};
use tokio::time::{sleep_until, Instant, Sleep};

use super::attempt::AttemptError;
use super::pool::PooledConnection;
use super::rejection::StoreLoad;

/// The most frames of an unread body that are polled to find its end.
const MAX_UNREAD_FRAMES: usize = 4;

/// A store's own response to a request, which has run.
pub struct StoreResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The load that it reported, if any.
    pub load: Option<StoreLoad>,
    /// Its body. Dropping it before its end closes the connection, by which the store cancels the request.
    pub body: StoreBody,
}

/// The body of a store's response. An error means that it was interrupted. At its end, its connection returns to the pool.
pub struct StoreBody {
    incoming: Incoming,
    connection: Option<PooledConnection>,
    is_reusable: bool,
    idle_timeout: Duration,
    last_frame_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StoreBody {
    /// The body that arrives on a connection, which may be reused after it if `is_reusable`. It fails after `idle_timeout` without a
    /// frame.
    pub(super) fn new(
        incoming: Incoming,
        connection: PooledConnection,
        is_reusable: bool,
        idle_timeout: Duration,
    ) -> Self {
        let connection = Some(connection);
        let mut body = Self {
            incoming,
            connection,
            is_reusable,
            idle_timeout,
            last_frame_at: Instant::now(),
            timer: None,
        };
        if body.incoming.is_end_stream() {
            body.release_connection();
        }
        body
    }

    /// The body is complete: returns its connection to the pool.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.is_reusable) {
            connection.slot.store().release(connection);
        }
    }

    /// Ready once the idle time-out has expired since the last frame.
    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let deadline = self.last_frame_at + self.idle_timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        while timer.as_mut().poll(context).is_ready() {
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }

    /// Closes the connection; the body ends with the error.
    fn fail(&mut self, error: AttemptError) -> AttemptError {
        self.connection = None;
        error
    }

    /// Reads the complete body, of `max_bytes` at most.
    ///
    /// # Errors
    ///
    /// The error of the body; [`AttemptError::InvalidResponse`] if it is too long.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, AttemptError> {
        let mut complete = BytesMut::new();
        while let Some(data) = self.next().await {
            let data = data?;
            if complete.len() + data.len() > max_bytes {
                return Err(AttemptError::InvalidResponse);
            }
            complete.extend_from_slice(&data);
        }
        Ok(complete.freeze())
    }

    /// The data of its next frame; `None` at its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, AttemptError>> {
        loop {
            match self.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => {}
                },
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

impl Drop for StoreBody {
    /// A body that has arrived completely, though it was not read, returns its connection to the pool.
    fn drop(&mut self) {
        if self.connection.is_none() || !self.is_reusable {
            return;
        }
        let waker = Waker::from(Arc::new(NoopWaker));
        let mut context = Context::from_waker(&waker);
        for _ in 0..MAX_UNREAD_FRAMES {
            match Pin::new(&mut self.incoming).poll_frame(&mut context) {
                Poll::Ready(None) => return self.release_connection(),
                Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => {
                    return self.release_connection()
                }
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_))) | Poll::Pending => return,
            }
        }
    }
}

/// A waker without effect.
struct NoopWaker;

impl Wake for NoopWaker {
    fn wake(self: Arc<Self>) {}
}

impl Body for StoreBody {
    type Data = Bytes;
    type Error = AttemptError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AttemptError>>> {
        let body = self.get_mut();
        let polled = match Pin::new(&mut body.incoming).poll_frame(context) {
            Poll::Ready(polled) => polled,
            Poll::Pending => {
                ready!(body.poll_idle_timeout(context));
                return Poll::Ready(Some(Err(body.fail(AttemptError::TimedOut))));
            }
        };
        match polled {
            Some(Ok(frame)) => {
                body.last_frame_at = Instant::now();
                if body.incoming.is_end_stream() {
                    body.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => Poll::Ready(Some(Err(body.fail(AttemptError::Disconnected)))),
            None => {
                body.release_connection();
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
