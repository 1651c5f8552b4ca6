//! A stream that is taken up at another store after a cut, inside one answer: the client sees the head of the first store and
//! every event once.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep, Sleep};

use super::attempts::{Answer, Attempts, GivenUp, Streamed};
use super::events::EventBuffer;
use crate::front::Room;
use crate::headers;
use crate::index::KnownStore;
use crate::stores::{CountGuard, StoreBody};
use crate::CloseConnection;

type Resumption = Pin<Box<dyn Future<Output = (Attempts, Result<Answer, GivenUp>)>>>;

/// The run that is being read.
struct Run {
    attempts: Attempts,
    body: StoreBody,
    store: Rc<KnownStore>,
    _guard: CountGuard,
}

enum State {
    Reading(Box<Run>),
    Resuming(Resumption),
    Ended,
}

/// Events of one stream, from as many stores as it takes.
pub struct ResumableStream {
    state: State,
    events: EventBuffer,
    timer: Pin<Box<Sleep>>,
    _room: Room,
}

impl ResumableStream {
    /// The stream whose first answer has come, and the attempts that it may still make.
    pub fn new(attempts: Attempts, streamed: Streamed, room: Room) -> Self {
        let timer = Box::pin(sleep(attempts.left()));
        Self {
            state: State::Reading(Box::new(Run::new(attempts, streamed))),
            events: EventBuffer::default(),
            timer,
            _room: room,
        }
    }

    /// Looks for another store to go on after the last event passed on.
    fn resume(&mut self, run: Box<Run>) -> State {
        let Run { mut attempts, body, store, _guard } = *run;
        drop(body);
        self.events.drop_partial();
        attempts.cut(&store);
        let last_event = self.events.last_id().map(|id| headers::number(u128::from(id)));
        State::Resuming(Box::pin(async move {
            let answer = attempts.run(last_event.as_ref()).await;
            (attempts, answer)
        }))
    }

    /// Takes what the run yielded next; some if there is something to pass on.
    fn take(
        &mut self,
        run: Box<Run>,
        frame: Option<Result<Bytes, ()>>,
    ) -> Option<Result<Bytes, CloseConnection>> {
        match frame {
            Some(Ok(piece)) => match self.events.push(&piece) {
                Ok(whole) => {
                    self.state = State::Reading(run);
                    (!whole.is_empty()).then_some(Ok(whole))
                }
                Err(_) => Some(Err(CloseConnection)),
            },
            None if !self.events.is_partial() => None,
            None | Some(Err(())) => {
                self.state = self.resume(run);
                None
            }
        }
    }

    fn resumed(
        &mut self,
        attempts: Attempts,
        answer: Result<Answer, GivenUp>,
    ) -> Result<(), CloseConnection> {
        match answer {
            Ok(Answer::Streamed(streamed)) if streamed.status.is_success() => {
                self.state = State::Reading(Box::new(Run::new(attempts, streamed)));
                Ok(())
            }
            _ => Err(CloseConnection),
        }
    }
}

impl Run {
    fn new(attempts: Attempts, streamed: Streamed) -> Self {
        let Streamed { body, store, guard, .. } = streamed;
        Self { attempts, body, store, _guard: guard }
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
                State::Reading(mut run) => match run.poll(context) {
                    Poll::Pending => {
                        this.state = State::Reading(run);
                        return Poll::Pending;
                    }
                    Poll::Ready(frame) => {
                        if let Some(piece) = this.take(run, frame) {
                            return Poll::Ready(Some(piece.map(Frame::data)));
                        }
                    }
                },
                State::Resuming(mut resumption) => match resumption.as_mut().poll(context) {
                    Poll::Pending => {
                        this.state = State::Resuming(resumption);
                        return Poll::Pending;
                    }
                    Poll::Ready((attempts, answer)) => {
                        if this.resumed(attempts, answer).is_err() {
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
