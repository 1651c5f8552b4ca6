//! The body of an answer while it is passed on from a store to a client.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep, Sleep};

use super::attempts::Streamed;
use crate::front::Room;
use crate::index::KnownStore;
use crate::stores::{CountGuard, StoreBody};
use crate::{CloseConnection, Shared};

/// Passes a store's body on as it comes. Cut off at the store, or not whole in time, it ends in an error, so that the client's
/// connection is closed before the answer looks complete.
pub struct StreamedBody {
    shared: Rc<Shared>,
    store: Rc<KnownStore>,
    body: StoreBody,
    until: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    _guard: CountGuard,
    _room: Room,
}

impl StreamedBody {
    /// The body of an answer, to be given up at a time.
    pub fn new(shared: Rc<Shared>, streamed: Streamed, until: Duration, room: Room) -> Self {
        let Streamed { body, store, guard, .. } = streamed;
        Self { shared, store, body, until, timer: None, _guard: guard, _room: room }
    }

    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let left = self.until.saturating_sub(self.shared.now());
        self.timer.get_or_insert_with(|| Box::pin(sleep(left))).as_mut().poll(context)
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
                this.shared.health.failed(&this.store.target.id, this.shared.now());
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
