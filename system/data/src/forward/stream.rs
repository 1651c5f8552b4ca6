//! Stream that is resumed at another store after an interruption, within one response to the client. The client gets the response
//! head of the first store and each event once.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep, Sleep};

use super::attempts::Attempts;
use super::event_buffer::EventBuffer;
use super::response::{ForwardError, ForwardedResponse, StreamedResponse};
use crate::front::RequestPermit;
use crate::headers;
use crate::index::KnownStore;
use crate::stores::{InFlightGuard, StoreBody};
use crate::CloseConnection;

type Resumption = Pin<Box<dyn Future<Output = (Attempts, Result<ForwardedResponse, ForwardError>)>>>;

/// Response stream of one store.
struct SourceStream {
    attempts: Attempts,
    body: StoreBody,
    store: Rc<KnownStore>,
    _in_flight_guard: InFlightGuard,
}

/// State of a resumable stream.
enum State {
    Reading(Box<SourceStream>),
    Resuming(Resumption),
    Ended,
}

/// Response body with the events of one stream, read from one store after another.
pub struct ResumableStream {
    state: State,
    event_buffer: EventBuffer,
    /// Expires at the deadline of the request.
    timer: Pin<Box<Sleep>>,
    _permit: RequestPermit,
}

impl ResumableStream {
    /// Creates the stream from its first response and the state of its attempts.
    pub fn new(attempts: Attempts, response: StreamedResponse, permit: RequestPermit) -> Self {
        let timer = Box::pin(sleep(attempts.time_left()));
        Self {
            state: State::Reading(Box::new(SourceStream::new(attempts, response))),
            event_buffer: EventBuffer::default(),
            timer,
            _permit: permit,
        }
    }

    /// Starts to resume the stream at another store, after the last event that was forwarded.
    fn resume(&mut self, source: Box<SourceStream>) -> State {
        let SourceStream { mut attempts, body, store, _in_flight_guard } = *source;
        drop(body);
        self.event_buffer.discard_partial_event();
        attempts.on_stream_interrupted(&store);
        let last_event_id =
            self.event_buffer.last_forwarded_id().map(|id| headers::from_number(u128::from(id)));
        State::Resuming(Box::pin(async move {
            let response = attempts.run(last_event_id.as_ref()).await;
            (attempts, response)
        }))
    }

    /// Handles the next frame of a store's response, or its end if `frame` is `None`. Returns the events to forward, if any. A
    /// response that fails or ends within an event counts as interrupted, so the stream is resumed.
    fn on_frame(
        &mut self,
        source: Box<SourceStream>,
        frame: Option<Result<Bytes, ()>>,
    ) -> Option<Result<Bytes, CloseConnection>> {
        match frame {
            Some(Ok(data)) => match self.event_buffer.push(&data) {
                Ok(events) => {
                    self.state = State::Reading(source);
                    (!events.is_empty()).then_some(Ok(events))
                }
                Err(_) => Some(Err(CloseConnection)),
            },
            None if !self.event_buffer.has_partial_event() => None,
            None | Some(Err(())) => {
                self.state = self.resume(source);
                None
            }
        }
    }

    /// Continues the stream with the response of another store. Fails unless that response is a successful stream.
    fn on_resumed(
        &mut self,
        attempts: Attempts,
        response: Result<ForwardedResponse, ForwardError>,
    ) -> Result<(), CloseConnection> {
        match response {
            Ok(ForwardedResponse::Streamed(response)) if response.status.is_success() => {
                self.state = State::Reading(Box::new(SourceStream::new(attempts, response)));
                Ok(())
            }
            _ => Err(CloseConnection),
        }
    }
}

impl SourceStream {
    fn new(attempts: Attempts, response: StreamedResponse) -> Self {
        let StreamedResponse { body, store, in_flight_guard, .. } = response;
        Self { attempts, body, store, _in_flight_guard: in_flight_guard }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, ()>>> {
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(()))),
                None => return Poll::Ready(None),
            }
        }
    }
}

impl Body for ResumableStream {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        let this = self.get_mut();
        if this.timer.as_mut().poll(context).is_ready() {
            this.state = State::Ended;
            return Poll::Ready(Some(Err(CloseConnection)));
        }
        loop {
            match std::mem::replace(&mut this.state, State::Ended) {
                State::Ended => return Poll::Ready(None),
                State::Reading(mut source) => match source.poll(context) {
                    Poll::Pending => {
                        this.state = State::Reading(source);
                        return Poll::Pending;
                    }
                    Poll::Ready(frame) => {
                        if let Some(events) = this.on_frame(source, frame) {
                            return Poll::Ready(Some(events.map(Frame::data)));
                        }
                    }
                },
                State::Resuming(mut resumption) => match resumption.as_mut().poll(context) {
                    Poll::Pending => {
                        this.state = State::Resuming(resumption);
                        return Poll::Pending;
                    }
                    Poll::Ready((attempts, response)) => {
                        if this.on_resumed(attempts, response).is_err() {
                            return Poll::Ready(Some(Err(CloseConnection)));
                        }
                    }
                },
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
