//! Runs one generation: one request to one store, whose events are added to the text of its item.

use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use gingerledge_wire::JobRecord;
use http_body_util::Full;
use hyper::body::Body;
use hyper::http::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::{Method, Request, StatusCode};
use tokio::time::{Instant, Sleep};

use super::events::{Event, EventReader, StreamError};
use super::plan::{Added, Ended, Text};
use crate::stores::{Attempt, Cause, StoreAnswer, StoreBody, StoreTarget, Timings};
use crate::Shared;

/// What concerns one connection only, or is set here; such headers of an item don't go along.
const OWN_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "transfer-encoding",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "upgrade",
    "attempt-id",
    "expected-instance",
    "expect-version",
    "last-event-id",
];
/// How long a connection to a store may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A stream that is silent for that long, and for so many of its usual pauses, is taken up elsewhere.
const SILENCE: Duration = Duration::from_secs(2);
const SILENT_PAUSES: u32 = 12;
/// A store may take so much longer to begin, since a request waits there for a slot.
const FIRST_EVENT_FACTOR: u32 = 3;
/// Silence is looked at so many times within its bound.
const LOOKS: u32 = 2;

/// What one generation needs.
pub(super) struct Order {
    pub(super) job: Arc<JobRecord>,
    /// The index of its item.
    pub(super) item: u32,
    pub(super) target: StoreTarget,
    /// The version that the store must have, where only one will do.
    pub(super) only_version: Option<u64>,
    /// All events of the text must be made under one version.
    pub(super) single_version: bool,
    /// How long the item is retained from now; none if for ever.
    pub(super) retained: Option<Duration>,
    /// The usual pause between two events.
    pub(super) usual_pause: Duration,
}

/// Why the reading of a stream stopped early.
enum Stop {
    Gap,
    WrongVersion,
}

impl From<StreamError> for Stop {
    fn from(_: StreamError) -> Self {
        Stop::Gap
    }
}

/// Runs a generation, and adds its events to the text. Dropping the future closes the connection.
pub(super) async fn run(shared: &Rc<Shared>, order: &Order, text: &mut Text) -> Ended {
    let Some(request) = request(order, text) else { return Ended::Impossible };
    let silence = SILENCE.max(order.usual_pause * SILENT_PAUSES);
    let timings = Timings { connect: CONNECT_TIMEOUT, head: silence * FIRST_EVENT_FACTOR, silence };
    match shared.stores.send(&order.target, request, timings).await {
        Err(attempt) => not_answered(shared, order, attempt),
        Ok(answer) if answer.status.is_success() => {
            shared.health.answered(&order.target.id);
            let (began, had) = (shared.now(), text.last_id().unwrap_or(0));
            let ended = read(order, answer, text, silence).await;
            let events = text.last_id().unwrap_or(0).saturating_sub(had);
            learn(shared, &order.target.id, ended, events, began);
            ended
        }
        Ok(answer) => match answer.status {
            StatusCode::INTERNAL_SERVER_ERROR => Ended::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => Ended::Impossible,
            _ => Ended::Other,
        },
    }
}

/// The request of an item; none if it can't be put into HTTP, so that no store can ever take it.
fn request(order: &Order, text: &Text) -> Option<Request<Full<Bytes>>> {
    let item = order.job.items.get(order.item as usize)?;
    let mut request = Request::builder().method(Method::POST).uri(&item.path);
    let headers = request.headers_mut()?;
    for (name, value) in &item.headers {
        if !OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own)) {
            headers.append(HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?);
        }
    }
    headers.insert("host", HeaderValue::try_from(&order.job.host).ok()?);
    headers.insert("attempt-id", HeaderValue::try_from(&item.id).ok()?);
    if let Some(retained) = order.retained.filter(|_| !headers.contains_key("deadline-ms")) {
        headers.insert("deadline-ms", number(retained.as_millis()));
    }
    if let Some(version) = order.only_version {
        headers.insert("expect-version", number(version.into()));
    }
    if let Some(last) = text.last_id() {
        headers.insert("last-event-id", number(last.into()));
    }
    request.body(Full::new(Bytes::copy_from_slice(&item.body))).ok()
}

fn number(value: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(value).unwrap_or(u64::MAX))
}

fn not_answered(shared: &Shared, order: &Order, attempt: Attempt) -> Ended {
    let (id, now) = (&order.target.id, shared.now());
    match attempt.cause {
        // It is as good as any other once it has room, or for items that need no version that it doesn't have.
        Cause::Refused(refusal) if refusal.status != StatusCode::MISDIRECTED_REQUEST => {
            let others = shared.counts.count(id).saturating_sub(1);
            let others = u32::try_from(others).unwrap_or(u32::MAX);
            shared.rollout.rooms.borrow_mut().refused(id, others, now);
        }
        Cause::Refused(_) if order.only_version.is_some() => {}
        _ => shared.health.failed(id, now),
    }
    match attempt.verdict {
        Verdict::NeverRan => Ended::NeverRan,
        Verdict::MayHaveRun | Verdict::Ran => Ended::Cut,
    }
}

/// Remembers what a stream told of its store.
fn learn(shared: &Shared, id: &str, ended: Ended, events: u64, began: Duration) {
    let now = shared.now();
    match ended {
        Ended::Whole => {
            shared.rollout.rooms.borrow_mut().succeeded(id);
            shared.rollout.paces.borrow_mut().seen(id, events, now.saturating_sub(began));
        }
        Ended::Cut => shared.health.failed(id, now),
        _ => {}
    }
}

/// Reads the events of an answer until its end.
async fn read(order: &Order, answer: StoreAnswer, text: &mut Text, silence: Duration) -> Ended {
    let mut version = version_of(&answer.headers);
    if version.is_none() && !order.job.model.is_empty() {
        return Ended::Other;
    }
    if !fits(order, text, version) {
        return Ended::WrongVersion;
    }
    let mut reader = EventReader::default();
    let mut body = answer.body;
    let mut quiet = pin!(Quiet::new(silence));
    loop {
        let piece = match quiet.as_mut().next(&mut body).await {
            Some(Ok(piece)) => piece,
            Some(Err(())) => return Ended::Cut,
            None if reader.between_events() => return Ended::Whole,
            None => return Ended::Cut,
        };
        let taken = reader.feed(&piece, |event: Event<'_>| {
            version = event.version.or(version);
            if !fits(order, text, version) {
                return Err(Stop::WrongVersion);
            }
            match text.add(event, version) {
                Added::Appended | Added::Known => Ok(()),
                Added::Gap => Err(Stop::Gap),
            }
        });
        match taken {
            Ok(()) => {}
            Err(Stop::Gap) => return Ended::Cut,
            Err(Stop::WrongVersion) => return Ended::WrongVersion,
        }
    }
}

fn version_of(headers: &HeaderMap) -> Option<u64> {
    headers.get("weight-versions")?.to_str().ok()?.trim().parse().ok()
}

/// Whether the text may go on with an event of that version.
fn fits(order: &Order, text: &Text, version: Option<u64>) -> bool {
    let Some(version) = version else { return true };
    let same = text.versions().iter().all(|&known| known == version);
    version >= order.job.min_version && (same || !order.single_version)
}

/// Notices that nothing comes any more, by a timer that costs nothing per piece.
struct Quiet {
    look: Duration,
    looks: u32,
    timer: Pin<Box<Sleep>>,
}

impl Quiet {
    fn new(silence: Duration) -> Self {
        let look = silence / LOOKS;
        Self { look, looks: 0, timer: Box::pin(tokio::time::sleep(look)) }
    }

    /// The next piece of a body; an error if it broke off or nothing came for too long; none at its proper end.
    async fn next(mut self: Pin<&mut Self>, body: &mut StoreBody) -> Option<Result<Bytes, ()>> {
        std::future::poll_fn(|context| loop {
            match Pin::new(&mut *body).poll_frame(context) {
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(()))),
                Poll::Ready(Some(Ok(frame))) => {
                    self.looks = 0;
                    if let Ok(piece) = frame.into_data() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                    continue;
                }
                Poll::Pending => {}
            }
            if self.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.looks += 1;
            if self.looks > LOOKS {
                return Poll::Ready(Some(Err(())));
            }
            let next = Instant::now() + self.look;
            self.timer.as_mut().reset(next);
        })
        .await
    }
}
