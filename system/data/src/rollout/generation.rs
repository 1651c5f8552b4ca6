//! Runs one generation: one request to one store, whose events are appended to the text of its item.

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

use super::event_stream::{Event, EventReader, StreamError};
use super::plan::{EventAddition, GeneratedText, GenerationOutcome};
use super::store_observations::StoreObservations;
use super::streams::GenerationStream;
use crate::headers;
use crate::stores::{AttemptError, AttemptTimeouts, Rejection, StoreClient, StoreHealth, StoreResponse};
use crate::{Clock, Shared};

/// The version of the weights that a store must serve; otherwise it responds 421.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The version of the weights at the start of a stream.
const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("weight-versions");
/// The priority of a request at its store; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Headers that are set here; those of the item are dropped.
const RESERVED_HEADERS: [HeaderName; 7] = [
    header::HOST,
    header::CONTENT_LENGTH,
    headers::ATTEMPT_ID,
    headers::EXPECTED_INSTANCE,
    headers::LAST_EVENT_ID,
    EXPECT_VERSION,
    PRIORITY,
];
/// The time-out of connecting to a store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A stream without an event for that time, and for so many average intervals, has timed out.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT_INTERVALS: u32 = 12;
/// The time-out of the response head is so many times longer, since a request may be queued at the store.
const HEAD_TIMEOUT_FACTOR: f64 = 1.5;

/// What a generation reaches beyond its own stream.
pub(super) struct GenerationContext<'a> {
    clock: Clock,
    client: &'a StoreClient,
    health: &'a StoreHealth,
    observations: &'a StoreObservations,
}

impl<'a> GenerationContext<'a> {
    pub(super) fn of(shared: &'a Shared) -> Self {
        Self {
            clock: shared.clock(),
            client: &shared.stores,
            health: &shared.health,
            observations: &shared.rollout.stores,
        }
    }
}

/// One generation.
pub(super) struct GenerationRequest {
    pub(super) job: Arc<JobRecord>,
    /// The index of the item.
    pub(super) item: u32,
    pub(super) stream: Rc<GenerationStream>,
    /// The version that the store must serve; `None` if any allowed one will do.
    pub(super) required_version: Option<u64>,
    /// All events of the text must be made under one version.
    pub(super) single_version: bool,
    /// How long the item is still retained; `None` if without a limit.
    pub(super) retention_left: Option<Duration>,
    /// The average interval between two events.
    pub(super) average_interval: Duration,
    /// Its priority among the requests at its store; 0 is the most urgent.
    pub(super) priority: u8,
}

/// Why reading a stream stopped before its end.
enum ReadError {
    Gap,
    WrongVersion,
}

impl From<StreamError> for ReadError {
    fn from(_: StreamError) -> Self {
        ReadError::Gap
    }
}

/// Runs a generation and appends its events to the text. Dropping the future closes the connection.
pub(super) async fn run(
    context: &GenerationContext<'_>,
    generation: &GenerationRequest,
) -> GenerationOutcome {
    let last_id = generation.stream.text.borrow().last_id();
    let Some(request) = http_request(generation, last_id) else { return GenerationOutcome::Rejected };
    let idle_timeout = IDLE_TIMEOUT.max(generation.average_interval * IDLE_TIMEOUT_INTERVALS);
    let timeouts = AttemptTimeouts {
        connect: CONNECT_TIMEOUT,
        head: idle_timeout.mul_f64(HEAD_TIMEOUT_FACTOR),
        idle: idle_timeout,
    };
    match context.client.send(&generation.stream.store.target, request, timeouts).await {
        Err(error) => on_no_response(context, generation, error),
        Ok(response) if response.status.is_success() => {
            let id = &generation.stream.store.target.id;
            context.health.on_response(id);
            context.observations.weight_loading.borrow_mut().on_accepted(id, &generation.job.model);
            let began = context.clock.now();
            let ended = read_stream(generation, response).await;
            let events = generation.stream.events.get();
            record_stream(context, id, ended, events, began);
            ended
        }
        Ok(response) => match response.status {
            StatusCode::INTERNAL_SERVER_ERROR => GenerationOutcome::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => GenerationOutcome::Rejected,
            _ => GenerationOutcome::Other,
        },
    }
}

/// The HTTP request of an item; `None` if its path or headers are not valid HTTP, so that no store can ever accept it.
fn http_request(generation: &GenerationRequest, last_id: Option<u64>) -> Option<Request<Full<Bytes>>> {
    let item = generation.job.items.get(generation.item as usize)?;
    let mut request = Request::builder().method(Method::POST).uri(&item.path);
    let headers = request.headers_mut()?;
    for (name, value) in &item.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?);
    }
    headers::strip_hop_by_hop(headers);
    for name in &RESERVED_HEADERS {
        headers.remove(name);
    }
    headers.insert(header::HOST, HeaderValue::try_from(&generation.job.host).ok()?);
    headers.insert(headers::ATTEMPT_ID, HeaderValue::try_from(&item.id).ok()?);
    if let Some(retention_left) =
        generation.retention_left.filter(|_| !headers.contains_key(headers::DEADLINE_MS))
    {
        let left_ms = u64::try_from(retention_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(headers::DEADLINE_MS, left_ms.into());
    }
    headers.insert(PRIORITY, u64::from(generation.priority).into());
    if let Some(version) = generation.required_version {
        headers.insert(EXPECT_VERSION, version.into());
    }
    if let Some(last) = last_id {
        headers.insert(headers::LAST_EVENT_ID, last.into());
    }
    request.body(Full::new(Bytes::copy_from_slice(&item.body))).ok()
}

fn on_no_response(
    context: &GenerationContext<'_>,
    generation: &GenerationRequest,
    error: AttemptError,
) -> GenerationOutcome {
    match error {
        AttemptError::Rejected { rejection } => on_rejected(context, generation, rejection),
        AttemptError::NoConnectionAvailable => on_capacity_exceeded(context, generation),
        AttemptError::StoreRemoved => {}
        AttemptError::ConnectFailed
        | AttemptError::Disconnected
        | AttemptError::InvalidResponse
        | AttemptError::TimedOut => {
            context.health.on_failure(&generation.stream.store.target.id, context.clock.now());
        }
    }
    match error.verdict() {
        Verdict::NeverRan => GenerationOutcome::NeverRan,
        Verdict::MayHaveRun | Verdict::Ran => GenerationOutcome::Interrupted,
    }
}

fn on_rejected(context: &GenerationContext<'_>, generation: &GenerationRequest, rejection: Rejection) {
    if rejection.status != StatusCode::MISDIRECTED_REQUEST {
        let has_capacity = rejection.load.is_some_and(|load| load.running < load.slots);
        if let Some(load) = rejection.load {
            generation.stream.store.on_load_report(load, context.clock.now());
        }
        if has_capacity {
            on_weights_loading(context, generation);
        } else {
            on_capacity_exceeded(context, generation);
        }
    } else if generation.required_version.is_none() {
        // The address belongs to another store now. If a version was required, the store may just serve another one.
        context.health.on_failure(&generation.stream.store.target.id, context.clock.now());
    }
}

/// The store has capacity, but not for this model now.
fn on_weights_loading(context: &GenerationContext<'_>, generation: &GenerationRequest) {
    let (id, model) = (&generation.stream.store.target.id, &generation.job.model);
    context.observations.weight_loading.borrow_mut().on_rejected(id, model, context.clock.now());
}

/// The store has no capacity beyond what this edge has in flight there already.
fn on_capacity_exceeded(context: &GenerationContext<'_>, generation: &GenerationRequest) {
    let others = generation.stream.store.in_flight_requests.get().saturating_sub(1);
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    context.observations.capacities.borrow_mut().on_rejected(
        &generation.stream.store.target.id,
        others,
        context.clock.now(),
    );
}

/// Records what a stream revealed about its store.
fn record_stream(
    context: &GenerationContext<'_>,
    id: &str,
    ended: GenerationOutcome,
    events: u64,
    began: Duration,
) {
    let now = context.clock.now();
    match ended {
        GenerationOutcome::Completed => {
            context.observations.capacities.borrow_mut().on_completed(id);
            context.observations.progress_rates.borrow_mut().record_generation(
                id,
                events,
                now.saturating_sub(began),
                now,
            );
        }
        GenerationOutcome::Interrupted => context.health.on_failure(id, now),
        _ => {}
    }
}

/// Reads the events of a response until its end.
async fn read_stream(generation: &GenerationRequest, response: StoreResponse) -> GenerationOutcome {
    let mut version = version_of(&response.headers);
    let has_model = !generation.job.model.is_empty();
    // A store that has nothing to append to a text generates no event, so it names no version.
    if version.is_none() && has_model && generation.stream.text.borrow().is_empty() {
        return GenerationOutcome::Other;
    }
    if !is_version_allowed(generation, &generation.stream.text.borrow(), version) {
        return GenerationOutcome::WrongVersion;
    }
    let mut reader = EventReader::default();
    let mut body = response.body;
    let mut migration = pin!(generation.stream.migration.notified());
    loop {
        let piece = tokio::select! {
            biased;
            piece = body.next_data() => piece,
            () = &mut migration => return GenerationOutcome::Migrated,
        };
        let piece = match piece {
            None => break,
            Some(Err(_)) => return GenerationOutcome::Interrupted,
            Some(Ok(piece)) => piece,
        };
        let read = reader.feed(&piece, |event: Event<'_>| {
            version = event.version.or(version);
            let mut text = generation.stream.text.borrow_mut();
            if !is_version_allowed(generation, &text, version) || (version.is_none() && has_model) {
                return Err(ReadError::WrongVersion);
            }
            match text.append(event, version) {
                EventAddition::Appended => generation.stream.events.set(generation.stream.events.get() + 1),
                EventAddition::Duplicate => {}
                EventAddition::Gap => return Err(ReadError::Gap),
            }
            Ok(())
        });
        match read {
            Ok(()) => {}
            Err(ReadError::Gap) => return GenerationOutcome::Interrupted,
            Err(ReadError::WrongVersion) => return GenerationOutcome::WrongVersion,
        }
    }
    if reader.is_between_events() {
        GenerationOutcome::Completed
    } else {
        GenerationOutcome::Interrupted
    }
}

fn version_of(headers: &HeaderMap) -> Option<u64> {
    headers::text(headers, &WEIGHT_VERSIONS)?.trim().parse().ok()
}

/// Whether the text may continue with an event of that version.
fn is_version_allowed(generation: &GenerationRequest, text: &GeneratedText, version: Option<u64>) -> bool {
    let Some(version) = version else { return true };
    let same = text.versions().iter().all(|&known| known == version);
    version >= generation.job.min_version && (same || !generation.single_version)
}
