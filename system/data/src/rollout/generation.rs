//! Runs one generation: a request to a store, which responds with a stream of events that are appended to the text of an item.

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

use super::event_stream::{Event, EventParser, StreamError};
use super::plan::{EventAddition, GeneratedText, GenerationOutcome};
use super::store_observations::StoreObservations;
use super::streams::GenerationStream;
use crate::headers;
use crate::stores::{AttemptError, AttemptTimeouts, Rejection, StoreClient, StoreHealth, StoreResponse};
use crate::{Clock, Shared};

/// The request header with the version of the weights that a store must serve; a store with another version responds 421.
const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The response header with the version of the weights at the start of a stream.
const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("weight-versions");
/// The request header with the priority of a request at its store; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Headers that the edge sets; if an item has one of them, it is dropped.
const RESERVED_HEADERS: [HeaderName; 7] = [
    header::HOST,
    header::CONTENT_LENGTH,
    headers::ATTEMPT_ID,
    headers::EXPECTED_INSTANCE,
    headers::LAST_EVENT_ID,
    EXPECT_VERSION,
    PRIORITY,
];
/// The time-out for connecting to a store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The minimum idle time-out of a stream, that is of the time without data. The idle time-out is the longer of this and
/// [`IDLE_TIMEOUT_INTERVALS`].
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum idle time-out of a stream, as a multiple of the average interval between two events.
const IDLE_TIMEOUT_INTERVALS: u32 = 12;
/// The time-out of the response head, as a multiple of the idle time-out. It is longer because a request may be queued at the store.
const HEAD_TIMEOUT_FACTOR: f64 = 1.5;

/// The parts of the edge's state that a generation uses, beyond its own stream.
pub(super) struct GenerationContext<'a> {
    clock: Clock,
    client: &'a StoreClient,
    health: &'a StoreHealth,
    observations: &'a StoreObservations,
}

impl<'a> GenerationContext<'a> {
    pub(super) fn new(shared: &'a Shared) -> Self {
        Self {
            clock: shared.clock(),
            client: &shared.stores,
            health: &shared.health,
            observations: &shared.rollout.store_observations,
        }
    }
}

/// The parameters of one generation.
pub(super) struct GenerationRequest {
    pub(super) job: Arc<JobRecord>,
    /// The index of the item.
    pub(super) item: u32,
    pub(super) stream: Rc<GenerationStream>,
    /// The version of the weights that the store must serve; `None` if any allowed version is acceptable.
    pub(super) required_version: Option<u64>,
    /// Whether all events of the text must be generated under one version of the weights.
    pub(super) single_version: bool,
    /// The rest of the item's retention time; `None` if it is unlimited.
    pub(super) retention_left: Option<Duration>,
    /// The average interval between two events over all stores.
    pub(super) average_interval: Duration,
    /// The priority among the requests at the store; 0 is the most urgent.
    pub(super) priority: u8,
}

/// Why reading a stream stopped before its end.
enum ReadError {
    /// An event is malformed, missing or too large.
    InvalidStream,
    /// The version of the weights is missing or not allowed.
    WrongVersion,
}

impl From<StreamError> for ReadError {
    fn from(_: StreamError) -> Self {
        ReadError::InvalidStream
    }
}

/// Runs a generation and appends its events to the text of the item. Dropping the future closes the connection.
pub(super) async fn run(
    context: &GenerationContext<'_>,
    generation: &GenerationRequest,
) -> GenerationOutcome {
    let last_event_id = generation.stream.text.borrow().last_event_id();
    let Some(request) = http_request(generation, last_event_id) else {
        return GenerationOutcome::InvalidRequest;
    };
    let idle_timeout = MIN_IDLE_TIMEOUT.max(generation.average_interval * IDLE_TIMEOUT_INTERVALS);
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
            let started_at = context.clock.now();
            let outcome = read_stream(generation, response).await;
            let new_events = generation.stream.events.get();
            record_stream(context, id, outcome, new_events, started_at);
            outcome
        }
        Ok(response) => match response.status {
            StatusCode::INTERNAL_SERVER_ERROR => GenerationOutcome::Failed,
            StatusCode::UNPROCESSABLE_ENTITY => GenerationOutcome::InvalidRequest,
            _ => GenerationOutcome::Other,
        },
    }
}

/// The HTTP request of a generation, which resumes after the event `last_event_id` if there is one. `None` if the item's path or headers
/// are not valid HTTP, so that no store can ever accept it.
fn http_request(generation: &GenerationRequest, last_event_id: Option<u64>) -> Option<Request<Full<Bytes>>> {
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
    if let Some(last_event_id) = last_event_id {
        headers.insert(headers::LAST_EVENT_ID, last_event_id.into());
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
        // The address belongs to another store now. With a required version this is not certain: the store may serve another version.
        context.health.on_failure(&generation.stream.store.target.id, context.clock.now());
    }
}

/// Records that the store rejected the request although it has capacity, so that it may be loading weights of the model.
fn on_weights_loading(context: &GenerationContext<'_>, generation: &GenerationRequest) {
    let (id, model) = (&generation.stream.store.target.id, &generation.job.model);
    context.observations.weight_loading.borrow_mut().on_rejected(id, model, context.clock.now());
}

/// Records that the store has no capacity beyond the other requests that this edge has in flight there.
fn on_capacity_exceeded(context: &GenerationContext<'_>, generation: &GenerationRequest) {
    let other_requests = generation.stream.store.in_flight_requests.get().saturating_sub(1);
    let other_requests = u32::try_from(other_requests).unwrap_or(u32::MAX);
    context.observations.capacities.borrow_mut().on_rejected(
        &generation.stream.store.target.id,
        other_requests,
        context.clock.now(),
    );
}

/// Updates the observations of a store with the outcome of a stream.
fn record_stream(
    context: &GenerationContext<'_>,
    id: &str,
    outcome: GenerationOutcome,
    new_events: u64,
    started_at: Duration,
) {
    let now = context.clock.now();
    match outcome {
        GenerationOutcome::Completed => {
            context.observations.capacities.borrow_mut().on_completed(id);
            context.observations.progress_rates.borrow_mut().record_generation(
                id,
                new_events,
                now.saturating_sub(started_at),
                now,
            );
        }
        GenerationOutcome::Interrupted => context.health.on_failure(id, now),
        _ => {}
    }
}

/// Reads the events of a response until its end, and appends them to the text of the item.
async fn read_stream(generation: &GenerationRequest, response: StoreResponse) -> GenerationOutcome {
    let mut version = weight_version(&response.headers);
    let has_model = !generation.job.model.is_empty();
    // Only the response to a resumed text may lack a version: a store that has nothing to append to the text generates no event.
    if version.is_none() && has_model && generation.stream.text.borrow().is_empty() {
        return GenerationOutcome::Other;
    }
    if !is_version_allowed(generation, &generation.stream.text.borrow(), version) {
        return GenerationOutcome::WrongVersion;
    }
    let mut parser = EventParser::default();
    let mut body = response.body;
    let mut migration = pin!(generation.stream.migration_request.notified());
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = body.next_data() => chunk,
            () = &mut migration => return GenerationOutcome::Migrated,
        };
        let chunk = match chunk {
            None => break,
            Some(Err(_)) => return GenerationOutcome::Interrupted,
            Some(Ok(chunk)) => chunk,
        };
        let result = parser.feed(&chunk, |event: Event<'_>| {
            version = event.version.or(version);
            let mut text = generation.stream.text.borrow_mut();
            if !is_version_allowed(generation, &text, version) || (version.is_none() && has_model) {
                return Err(ReadError::WrongVersion);
            }
            match text.append(event, version) {
                EventAddition::Appended => generation.stream.events.set(generation.stream.events.get() + 1),
                EventAddition::Duplicate => {}
                EventAddition::NotAppendable => return Err(ReadError::InvalidStream),
            }
            Ok(())
        });
        match result {
            Ok(()) => {}
            Err(ReadError::InvalidStream) => return GenerationOutcome::Interrupted,
            Err(ReadError::WrongVersion) => return GenerationOutcome::WrongVersion,
        }
    }
    if parser.is_between_events() {
        GenerationOutcome::Completed
    } else {
        GenerationOutcome::Interrupted
    }
}

/// The version of the weights in the headers of a response.
fn weight_version(headers: &HeaderMap) -> Option<u64> {
    headers::text(headers, &WEIGHT_VERSIONS)?.trim().parse().ok()
}

/// Whether an event of this version may be appended to the text. An event without a version is allowed here.
fn is_version_allowed(generation: &GenerationRequest, text: &GeneratedText, version: Option<u64>) -> bool {
    let Some(version) = version else { return true };
    let is_same_version = text.versions().iter().all(|&text_version| text_version == version);
    version >= generation.job.min_version && (is_same_version || !generation.single_version)
}
