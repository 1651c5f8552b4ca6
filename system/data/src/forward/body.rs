//! Response body that is forwarded from a store to a client while it arrives.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep, Sleep};

use super::response::StreamedResponse;
use crate::front::RequestPermit;
use crate::index::KnownStore;
use crate::stores::{InFlightGuard, StoreBody};
use crate::{CloseConnection, Shared};

/// Forwards the body of a store's response as it arrives. If the body is interrupted or is not complete at the deadline, this body
/// fails, so that the client's connection is closed before the response looks complete.
pub struct StreamedBody {
    shared: Rc<Shared>,
    store: Rc<KnownStore>,
    body: StoreBody,
    deadline: Duration,
    /// Expires at the deadline; created when the body is first pending.
    timer: Option<Pin<Box<Sleep>>>,
    _in_flight_guard: InFlightGuard,
    _permit: RequestPermit,
}

impl StreamedBody {
    /// Creates the body for a response; `deadline` is that of the request, on the clock of [`Shared::now`].
    pub fn new(
        shared: Rc<Shared>,
        response: StreamedResponse,
        deadline: Duration,
        permit: RequestPermit,
    ) -> Self {
        let StreamedResponse { body, store, in_flight_guard, .. } = response;
        Self {
            shared,
            store,
            body,
            deadline,
            timer: None,
            _in_flight_guard: in_flight_guard,
            _permit: permit,
        }
    }

    /// Ready once the deadline of the request has passed.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let time_left = self.deadline.saturating_sub(self.shared.now());
        self.timer.get_or_insert_with(|| Box::pin(sleep(time_left))).as_mut().poll(context)
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_frame(context) {
            Poll::Ready(Some(Err(_))) => {
                this.shared.health.on_failure(&this.store.target.id, this.shared.now());
                Poll::Ready(Some(Err(CloseConnection)))
            }
            Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|_| CloseConnection))),
            Poll::Pending => this.poll_timer(context).map(|()| Some(Err(CloseConnection))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
