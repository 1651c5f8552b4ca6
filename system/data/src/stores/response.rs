//! Response of a store: status, headers, and a body that returns its connection to the pool when it is complete.

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

/// Maximum number of frames of an unread body that are polled, when it is dropped, to find its end.
const MAX_UNREAD_FRAMES: usize = 4;

/// Response of a store to a request that it has run.
pub struct StoreResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Load that the store reported, if any.
    pub load: Option<StoreLoad>,
    /// Body. Dropping it before its end closes the connection, upon which the store cancels the request.
    pub body: StoreBody,
}

/// Body of a store's response. It fails if it is interrupted. At its end, its connection is returned to the pool.
pub struct StoreBody {
    incoming_body: Incoming,
    /// Connection that the body arrives on; `None` after it was returned to the pool or closed.
    connection: Option<PooledConnection>,
    /// Whether the connection may be reused after a complete response.
    is_reusable: bool,
    idle_timeout: Duration,
    last_frame_at: Instant,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StoreBody {
    /// Creates the body that arrives on a connection. If `is_reusable`, the connection may be reused after the complete body. The
    /// body fails after `idle_timeout` without a frame.
    pub(super) fn new(
        incoming_body: Incoming,
        connection: PooledConnection,
        is_reusable: bool,
        idle_timeout: Duration,
    ) -> Self {
        let connection = Some(connection);
        let mut body = Self {
            incoming_body,
            connection,
            is_reusable,
            idle_timeout,
            last_frame_at: Instant::now(),
            timer: None,
        };
        if body.incoming_body.is_end_stream() {
            body.release_connection();
        }
        body
    }

    /// Returns the connection to the pool after the complete body, or closes it if it is not reusable.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.is_reusable) {
            connection.slot.store().release(connection);
        }
    }

    /// Ready once the idle timeout has expired since the last frame.
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

    /// Closes the connection and returns the error that ends the body.
    fn fail(&mut self, error: AttemptError) -> AttemptError {
        self.connection = None;
        error
    }

    /// Reads the complete body, up to a length of `max_bytes`.
    ///
    /// # Errors
    ///
    /// The error that interrupted the body, or [`AttemptError::InvalidResponse`] if it is longer than `max_bytes`.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, AttemptError> {
        let mut complete = BytesMut::new();
        while let Some(data) = self.next_data().await {
            let data = data?;
            if complete.len() + data.len() > max_bytes {
                return Err(AttemptError::InvalidResponse);
            }
            complete.extend_from_slice(&data);
        }
        Ok(complete.freeze())
    }

    /// Returns the data of the next frame; `None` at the end of the body.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, AttemptError>> {
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
    /// Returns the connection to the pool if the body has arrived completely but was not read to its end.
    fn drop(&mut self) {
        if self.connection.is_none() || !self.is_reusable {
            return;
        }
        let waker = Waker::from(Arc::new(NoopWaker));
        let mut context = Context::from_waker(&waker);
        for _ in 0..MAX_UNREAD_FRAMES {
            match Pin::new(&mut self.incoming_body).poll_frame(&mut context) {
                Poll::Ready(None) => return self.release_connection(),
                Poll::Ready(Some(Ok(_))) if self.incoming_body.is_end_stream() => {
                    return self.release_connection()
                }
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(_))) | Poll::Pending => return,
            }
        }
    }
}

/// Waker that does nothing.
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
        let polled = match Pin::new(&mut body.incoming_body).poll_frame(context) {
            Poll::Ready(polled) => polled,
            Poll::Pending => {
                ready!(body.poll_idle_timeout(context));
                return Poll::Ready(Some(Err(body.fail(AttemptError::TimedOut))));
            }
        };
        match polled {
            Some(Ok(frame)) => {
                body.last_frame_at = Instant::now();
                if body.incoming_body.is_end_stream() {
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
        self.incoming_body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming_body.size_hint()
    }
}
