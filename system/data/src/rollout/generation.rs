//! Runs one generation: one request to one store, whose events are added to the text of its item.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerledge_protocol::Verdict;
use gingerledge_wire::JobRecord;
use http_body_util::Full;
use hyper::http::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::{Method, Request, StatusCode};

use super::events::{Event, EventReader, StreamError};
use super::plan::{Added, Ended, Text};
use super::watch::Stream;
use crate::headers;
use crate::stores::{Attempt, Cause, Refusal, StoreAnswer, Timings};
use crate::Shared;

/// Without this version of the weights, a store answers 421.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The version of the weights that a store begins with.
const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("weight-versions");
/// How urgent a request is among those at a store.
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// What is set here; such headers of an item don't go along.
const OWN_HEADERS: [HeaderName; 7] = [
    header::HOST,
    header::CONTENT_LENGTH,
    headers::ATTEMPT_ID,
    headers::EXPECTED_INSTANCE,
    headers::LAST_EVENT_ID,
    EXPECT_VERSION,
    PRIORITY,
];
/// How long a connection to a store may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A stream that is silent for that long, and for so many of its usual pauses, is taken up elsewhere.
const SILENCE: Duration = Duration::from_secs(2);
const SILENT_PAUSES: u32 = 12;
/// A store may take so much longer to begin, since a request waits there for a slot.
const LONGER_TO_BEGIN: f64 = 1.5;

/// What one generation needs.
pub(super) struct Order {
    pub(super) job: Arc<JobRecord>,
    /// The index of its item.
    pub(super) item: u32,
    pub(super) stream: Rc<Stream>,
    /// The version that the store must have, where only one will do.
    pub(super) only_version: Option<u64>,
    /// All events of the text must be made under one version.
    pub(super) single_version: bool,
    /// How long the item is retained from now; none if for ever.
    pub(super) retained: Option<Duration>,
    /// The usual pause between two events.
    pub(super) usual_pause: Duration,
    /// How urgent it is among the requests at its store; 0 goes first.
    pub(super) priority: u8,
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
pub(super) async fn run(shared: &Rc<Shared>, order: &Order) -> Ended {
    let had = order.stream.text.borrow().last_id();
    let Some(request) = request(order, had) else { return Ended::Impossible };
    let silence = SILENCE.max(order.usual_pause * SILENT_PAUSES);
    let timings = Timings { connect: CONNECT_TIMEOUT, head: silence.mul_f64(LONGER_TO_BEGIN), silence };
    match shared.stores.send(&order.stream.store.target, request, timings).await {
        Err(attempt) => not_answered(shared, order, attempt),
        Ok(answer) if answer.status.is_success() => {
            let id = &order.stream.store.target.id;
            shared.health.answered(id);
            shared.rollout.loading.borrow_mut().accepted(id, &order.job.model);
            let began = shared.now();
            let ended = read(order, answer).await;
            let events = order.stream.events.get();
            learn(shared, &order.stream.store.target.id, ended, events, began);
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
fn request(order: &Order, last_id: Option<u64>) -> Option<Request<Full<Bytes>>> {
    let item = order.job.items.get(order.item as usize)?;
    let mut request = Request::builder().method(Method::POST).uri(&item.path);
    let headers = request.headers_mut()?;
    for (name, value) in &item.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?);
    }
    headers::strip_hop_by_hop(headers);
    for name in &OWN_HEADERS {
        headers.remove(name);
    }
    headers.insert(header::HOST, HeaderValue::try_from(&order.job.host).ok()?);
    headers.insert(headers::ATTEMPT_ID, HeaderValue::try_from(&item.id).ok()?);
    if let Some(retained) = order.retained.filter(|_| !headers.contains_key(headers::DEADLINE_MS)) {
        let left_ms = u64::try_from(retained.as_millis()).unwrap_or(u64::MAX);
        headers.insert(headers::DEADLINE_MS, left_ms.into());
    }
    headers.insert(PRIORITY, u64::from(order.priority).into());
    if let Some(version) = order.only_version {
        headers.insert(EXPECT_VERSION, version.into());
    }
    if let Some(last) = last_id {
        headers.insert(headers::LAST_EVENT_ID, last.into());
    }
    request.body(Full::new(Bytes::copy_from_slice(&item.body))).ok()
}

fn not_answered(shared: &Shared, order: &Order, attempt: Attempt) -> Ended {
    match attempt.cause {
        Cause::Refused(refusal) => note_refusal(shared, order, refusal),
        Cause::Busy => note_full(shared, order),
        Cause::Left => {}
        Cause::Connect | Cause::Broken | Cause::Garbled | Cause::Silent => {
            shared.health.failed(&order.stream.store.target.id, shared.now());
        }
    }
    match attempt.verdict {
        Verdict::NeverRan => Ended::NeverRan,
        Verdict::MayHaveRun | Verdict::Ran => Ended::Cut,
    }
}

fn note_refusal(shared: &Shared, order: &Order, refusal: Refusal) {
    if refusal.status != StatusCode::MISDIRECTED_REQUEST {
        let has_room = refusal.load.is_some_and(|load| load.running < load.slots);
        if let Some(load) = refusal.load {
            order.stream.store.note_load(load, shared.now());
        }
        if has_room {
            note_loading(shared, order);
        } else {
            note_full(shared, order);
        }
    } else if order.only_version.is_none() {
        // The address is another store's now. With a version expected, it may only have another version.
        shared.health.failed(&order.stream.store.target.id, shared.now());
    }
}

/// The store has room, but not for this model now.
fn note_loading(shared: &Shared, order: &Order) {
    let (id, model) = (&order.stream.store.target.id, &order.job.model);
    shared.rollout.loading.borrow_mut().refused(id, model, shared.now());
}

/// The store has no room beyond what this edge has out there already.
fn note_full(shared: &Shared, order: &Order) {
    let others = order.stream.store.out.get().saturating_sub(1);
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    shared.rollout.rooms.borrow_mut().refused(&order.stream.store.target.id, others, shared.now());
}

/// Remembers what a stream told of its store.
fn learn(shared: &Shared, id: &str, ended: Ended, events: u64, began: Duration) {
    let now = shared.now();
    match ended {
        Ended::Whole => {
            shared.rollout.rooms.borrow_mut().succeeded(id);
            shared.rollout.paces.borrow_mut().seen(id, events, now.saturating_sub(began), now);
        }
        Ended::Cut => shared.health.failed(id, now),
        _ => {}
    }
}

/// Reads the events of an answer until its end.
async fn read(order: &Order, answer: StoreAnswer) -> Ended {
    let mut version = version_of(&answer.headers);
    let of_a_model = !order.job.model.is_empty();
    // A store that has nothing to add to a text made no event, so it names no version.
    if version.is_none() && of_a_model && order.stream.text.borrow().is_empty() {
        return Ended::Other;
    }
    if !fits(order, &order.stream.text.borrow(), version) {
        return Ended::WrongVersion;
    }
    let mut reader = EventReader::default();
    let mut body = answer.body;
    let mut moved = pin!(order.stream.moved.notified());
    loop {
        let piece = tokio::select! {
            biased;
            piece = body.next() => piece,
            () = &mut moved => return Ended::Moved,
        };
        let piece = match piece {
            None => break,
            Some(Err(_)) => return Ended::Cut,
            Some(Ok(piece)) => piece,
        };
        let taken = reader.feed(&piece, |event: Event<'_>| {
            version = event.version.or(version);
            let mut text = order.stream.text.borrow_mut();
            if !fits(order, &text, version) || (version.is_none() && of_a_model) {
                return Err(Stop::WrongVersion);
            }
            match text.add(event, version) {
                Added::Appended => order.stream.events.set(order.stream.events.get() + 1),
                Added::Known => {}
                Added::Gap => return Err(Stop::Gap),
            }
            Ok(())
        });
        match taken {
            Ok(()) => {}
            Err(Stop::Gap) => return Ended::Cut,
            Err(Stop::WrongVersion) => return Ended::WrongVersion,
        }
    }
    if reader.between_events() {
        Ended::Whole
    } else {
        Ended::Cut
    }
}

fn version_of(headers: &HeaderMap) -> Option<u64> {
    headers::text(headers, &WEIGHT_VERSIONS)?.trim().parse().ok()
}

/// Whether the text may go on with an event of that version.
fn fits(order: &Order, text: &Text, version: Option<u64>) -> bool {
    let Some(version) = version else { return true };
    let same = text.versions().iter().all(|&known| known == version);
    version >= order.job.min_version && (same || !order.single_version)
}
