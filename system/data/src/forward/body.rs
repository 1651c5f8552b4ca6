//! The body of a response while it is forwarded from a store to a client.

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

/// Forwards a store's body as it arrives. If it is interrupted, or exceeds the deadline, it fails, so that the client's connection is
/// closed before the response looks complete.
pub struct StreamedBody {
    shared: Rc<Shared>,
    store: Rc<KnownStore>,
    body: StoreBody,
    deadline: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    _in_flight: InFlightGuard,
    _permit: RequestPermit,
}

impl StreamedBody {
    /// The body of a response, with the deadline of the request.
    pub fn new(
        shared: Rc<Shared>,
        response: StreamedResponse,
        deadline: Duration,
        permit: RequestPermit,
    ) -> Self {
        let StreamedResponse { body, store, in_flight, .. } = response;
        Self { shared, store, body, deadline, timer: None, _in_flight: in_flight, _permit: permit }
    }

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
