//! Decisions about requests, as pure functions.

use std::time::Duration;

use gingerledge_data::forward::event_buffer::EventBuffer;
use gingerledge_data::front::{front_limits, ConnectionTimeouts, Phase};
use gingerledge_data::headers;
use gingerledge_data::node::{is_ready, Shutdown, ShutdownStep};
use gingerledge_data::routing::{
    choose_store, decide_retry, failure_response, head_timeout, pick_service, queueing_exceeds_time_left,
    request_deadline, retry_after, Affinity, AttemptHistory, Candidate, PromptPrefixes, RetryDecision,
    RouteTable,
};
use gingerledge_data::stores::response_class::{classify_response, ResponseClass};
use gingerledge_data::stores::StoreLoad;
use gingerledge_protocol::{read_configuration, ProcessLimits, Verdict};
use hyper::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use yare::parameterized;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn store(in_flight_requests: usize, slots: usize) -> Candidate {
    Candidate { in_flight_requests, slots, ..Candidate::default() }
}

#[parameterized(
    least_filled = { &[store(2, 4), store(1, 4), store(3, 4)], Some(1) },
    filling_counts_not_requests = { &[store(2, 4), store(3, 12)], Some(1) },
    read_prompt_counts = { &[store(1, 4), Candidate { affinity_bonus: 300, ..store(2, 4) }], Some(1) },
    read_prompt_does_not_beat_much_room = { &[store(0, 4), Candidate { affinity_bonus: 300, ..store(2, 4) }], Some(0) },
    idle_connection_breaks_ties = { &[Candidate { is_in_own_zone: true, ..store(1, 4) }, Candidate { has_idle_connection: true, ..store(1, 4) }], Some(1) },
    idle_connection_does_not_beat_room = { &[store(0, 4), Candidate { has_idle_connection: true, ..store(1, 4) }], Some(0) },
    own_zone_breaks_ties = { &[store(1, 4), Candidate { is_in_own_zone: true, ..store(1, 4) }], Some(1) },
    own_zone_does_not_beat_room = { &[store(0, 4), Candidate { is_in_own_zone: true, ..store(1, 4) }], Some(0) },
    others_requests_count = { &[Candidate { in_flight_from_other_callers: 4, ..store(0, 4) }, store(2, 4)], Some(1) },
    failed_one_is_avoided = { &[Candidate { is_suspect: true, ..store(0, 4) }, store(9, 4)], Some(1) },
    failed_one_is_better_than_none = { &[Candidate { is_suspect: true, ..store(0, 4) }], Some(0) },
    never_the_same_twice = { &[Candidate { was_tried: true, ..store(0, 4) }, store(9, 4)], Some(1) },
    none_left = { &[Candidate { was_tried: true, ..store(0, 4) }], None },
    none_at_all = { &[], None },
)]
fn store_choice(candidates: &[Candidate], expected: Option<usize>) {
    for draw in 0..20 {
        assert_eq!(choose_store(candidates.iter().copied(), draw), expected);
    }
}

#[test]
fn equal_stores_are_chosen_about_equally_often() {
    let mut taken = [0; 4];
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..4_000 {
        if let Some(place) = choose_store([store(1, 4); 4].into_iter(), rng.u64(..)) {
            taken[place] += 1;
        }
    }
    assert!(taken.iter().all(|count| (850..1_150).contains(count)), "{taken:?}");
}

#[parameterized(
    first = { &[90.0, 10.0], 0.0, Some(0) },
    just_below = { &[90.0, 10.0], 0.899, Some(0) },
    second = { &[90.0, 10.0], 0.901, Some(1) },
    without_weight = { &[0.0, 5.0], 0.0, Some(1) },
    last_has_no_weight = { &[5.0, 0.0], 0.999_999, Some(0) },
    nothing = { &[], 0.5, None },
)]
fn service_choice(weights: &[f64], draw: f64, expected: Option<usize>) {
    assert_eq!(pick_service(weights, draw), expected);
}

#[parameterized(
    longest_prefix = { "a.test", "/x/y/z", Some("deep") },
    short_prefix = { "a.test", "/x/q", Some("wide") },
    prefix_itself = { "a.test", "/x/y/", Some("deep") },
    not_quite = { "a.test", "/x", None },
    other_host = { "b.test", "/x/y/z", Some("other") },
    host_in_capitals = { "A.Test", "/x/q", Some("wide") },
    host_with_port = { "a.test:8080", "/x/q", Some("wide") },
    no_host = { "", "/x/q", None },
)]
fn route_look_up(host: &str, path: &str, expected: Option<&str>) {
    let route = |name: &str, host: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","pathPrefix":"{prefix}","routeKind":"idempotent","timeoutMs":5,
            "service":"s","maxAttempts":1}}"#
        )
    };
    let routes =
        [route("wide", "a.test", "/x/"), route("deep", "a.test", "/x/y/"), route("other", "b.test", "/")];
    let json = format!(r#"{{"version":1,"routes":[{}],"services":[{{"name":"s"}}]}}"#, routes.join(","));
    let table = RouteTable::from_configuration(&read_configuration(json.as_bytes()).expect("configuration"));
    assert_eq!(table.find(host, path).map(|entry| entry.route.name.as_str()), expected);
}

const NEVER: Verdict = Verdict::NeverRan;
const MAYBE: Verdict = Verdict::MayHaveRun;

#[parameterized(
    first = { 0, 0, NEVER, false, 100, RetryDecision::Retry },
    refused_once_only = { 1, 0, NEVER, false, 100, RetryDecision::Retry },
    may_have_run_once_only = { 1, 0, MAYBE, false, 100, RetryDecision::GiveUp },
    may_have_run_repeatable = { 1, 0, MAYBE, true, 100, RetryDecision::Retry },
    own_error_repeatable = { 1, 0, Verdict::Ran, true, 100, RetryDecision::Retry },
    attempts_used_up = { 3, 0, NEVER, true, 100, RetryDecision::GiveUp },
    unreachable_stores_are_no_attempts = { 2, 3, NEVER, true, 100, RetryDecision::Retry },
    too_many_unreachable = { 0, 4, NEVER, true, 100, RetryDecision::GiveUp },
    no_time = { 0, 0, NEVER, true, 4, RetryDecision::GiveUp },
)]
fn retry_decision(
    sent_attempts: usize,
    unsent_attempts: usize,
    verdict: Verdict,
    idempotent: bool,
    left: u64,
    expected: RetryDecision,
) {
    let history = AttemptHistory { sent_attempts, unsent_attempts, verdict };
    assert_eq!(decide_retry(&history, 3, idempotent, ms(left)), expected);
}

#[parameterized(
    never_ran = { NEVER, 900, 503, Some(100) },
    never_ran_little_time = { NEVER, 90, 503, Some(30) },
    never_ran_no_time = { NEVER, 0, 503, Some(0) },
    may_have_run = { MAYBE, 900, 502, None },
    may_have_run_no_time = { MAYBE, 0, 504, None },
)]
fn response_without_a_further_attempt(verdict: Verdict, left: u64, status: u16, pause: Option<u64>) {
    let failure = failure_response(verdict, ms(left), ms(400));
    assert_eq!((failure.status.as_u16(), failure.retry_after), (status, pause.map(ms)));
}

#[parameterized(
    deadline_first = { Some(800), Some(2_000), 1_800 },
    timeout_first = { Some(8_000), Some(2_000), 3_000 },
    timeout_only = { None, Some(2_000), 3_000 },
    neither = { None, None, 31_000 },
)]
fn deadline_of_a_request(deadline: Option<u64>, timeout: Option<u64>, expected: u64) {
    assert_eq!(request_deadline(ms(1_000), deadline.map(ms), timeout.map(ms)), ms(expected));
}

#[parameterized(
    nowhere_else = { 900, Some(10), false, 900 },
    a_third = { 900, Some(10), true, 300 },
    slow_stores = { 900, Some(150), true, 450 },
    never_beyond = { 900, Some(2_000), true, 900 },
    unknown = { 900, None, true, 300 },
)]
fn timeout_of_a_head(left: u64, usual: Option<u64>, elsewhere: bool, expected: u64) {
    assert_eq!(head_timeout(ms(left), usual.map(ms), elsewhere), ms(expected));
}

#[parameterized(
    nothing_known = { None, Some(100), false },
    nobody_waits = { Some((4, 0, 4)), Some(100), false },
    few_wait = { Some((4, 4, 4)), Some(100), false },
    many_wait = { Some((4, 40, 4)), Some(100), true },
    latency_unknown = { Some((4, 40, 4)), None, false },
    no_slots = { Some((0, 40, 0)), Some(100), true },
)]
fn queueing_time_exceeds_the_time_left(load: Option<(u32, u32, u32)>, usual: Option<u64>, expected: bool) {
    let load = load.map(|(running, waiting, slots)| StoreLoad { running, waiting, slots });
    assert_eq!(queueing_exceeds_time_left(load, usual.map(ms), ms(500)), expected);
}

#[test]
fn the_store_with_the_longest_cached_prefix_is_preferred() {
    let mut affinity = Affinity::default();
    let session = PromptPrefixes::parse("s", "m", "9c:300,5d:100");
    affinity.record(&PromptPrefixes::parse("s", "m", "9c:300,77:50"), "other");
    assert_eq!(affinity.preferred_store(&session), Some(("other", 375)));
    affinity.record(&session, "own");
    assert_eq!(affinity.preferred_store(&session), Some(("own", 500)));
    assert_eq!(affinity.preferred_store(&PromptPrefixes::parse("s", "m2", "9c:300,5d:100")), None);
    assert_eq!(affinity.preferred_store(&PromptPrefixes::parse("s", "m", "5d:100")), None);
    assert_eq!(affinity.preferred_store(&PromptPrefixes::parse("s", "m", "garbage")), None);
}

#[test]
fn prompts_are_evicted_in_order() {
    let mut affinity = Affinity::default();
    let prompt = |number: u64| PromptPrefixes::parse("s", "m", &format!("{number:x}:10"));
    for number in 0..20_000 {
        affinity.record(&prompt(number), "a");
    }
    assert_eq!(affinity.preferred_store(&prompt(0)), None);
    assert!(affinity.preferred_store(&prompt(19_999)).is_some());
}

#[parameterized(
    quarter_of_objective = { 5_000, 800, 200 },
    bounded_above = { 5_000, 8_000, 500 },
    bounded_below = { 5_000, 40, 50 },
    third_of_time = { 300, 8_000, 100 },
)]
fn retry_after_of_a_rejected_client(left: u64, target_latency: u64, expected: u64) {
    assert_eq!(retry_after(ms(left), ms(target_latency)), ms(expected));
}

fn head(fields: &[(&str, &str)]) -> HeaderMap {
    let named = |name: &str| HeaderName::try_from(name).expect("name");
    fields.iter().map(|(name, value)| (named(name), HeaderValue::from_str(value).expect("value"))).collect()
}

const ID: (&str, &str) = ("attempt-id", "a1");
const STAMP: (&str, &str) = ("server-signature", "s");
const LENGTH: (&str, &str) = ("content-length", "3");
const NOT_RUN: (&str, &str) = ("not-executed", "true");

#[parameterized(
    success = { 200, &[ID, STAMP, LENGTH], "own" },
    chunked_success = { 200, &[ID, STAMP, ("transfer-encoding", "chunked")], "own" },
    success_without_stamp = { 200, &[ID, LENGTH], "garbled" },
    success_whose_end_cannot_be_told = { 200, &[ID, STAMP], "garbled" },
    encoded_success = { 200, &[ID, STAMP, LENGTH, ("content-encoding", "gzip")], "garbled" },
    no_content = { 204, &[ID, STAMP], "own" },
    without_id = { 200, &[STAMP, LENGTH], "garbled" },
    other_id = { 200, &[("attempt-id", "a2"), STAMP, LENGTH], "garbled" },
    own_error = { 500, &[ID, STAMP, LENGTH], "own" },
    full = { 503, &[ID, NOT_RUN], "refused" },
    too_many = { 429, &[ID, NOT_RUN], "refused" },
    other_store = { 421, &[ID], "refused" },
    unavailable_that_promises_nothing = { 503, &[ID, STAMP, LENGTH], "garbled" },
    timeout_that_promises_nothing = { 408, &[ID, STAMP, LENGTH], "garbled" },
    success_that_says_it_did_not_run = { 200, &[ID, STAMP, LENGTH, NOT_RUN], "garbled" },
    refusal_of_another_request = { 503, &[("attempt-id", "a2"), NOT_RUN], "garbled" },
)]
fn class_of_a_response(status: u16, fields: &[(&str, &str)], expected: &str) {
    let status = StatusCode::from_u16(status).expect("status");
    let class = classify_response(&Method::POST, Some(b"a1"), status, &head(fields));
    let word = match class {
        ResponseClass::Executed => "own",
        ResponseClass::Rejected(_) => "refused",
        ResponseClass::Invalid => "garbled",
    };
    assert_eq!(word, expected);
}

#[test]
fn a_rejection_reports_load_and_retry_after() {
    let fields = [ID, NOT_RUN, ("server-load", "3,2,8"), ("retry-after", "0.25")];
    let class =
        classify_response(&Method::POST, Some(b"a1"), StatusCode::SERVICE_UNAVAILABLE, &head(&fields));
    let ResponseClass::Rejected(rejection) = class else { panic!("{class:?}") };
    let load = rejection.load.expect("load");
    assert_eq!((load.running, load.waiting, load.slots), (3, 2, 8));
    assert_eq!(rejection.retry_after, Some(ms(250)));
}

#[test]
fn hop_by_hop_headers_are_removed_and_end_to_end_ones_kept() {
    let mut fields =
        head(&[("connection", "close, x-hop, attempt-id"), ("x-hop", "1"), ID, ("keep-alive", "timeout=5")]);
    headers::strip_hop_by_hop(&mut fields);
    assert_eq!(fields, head(&[ID]));
}

#[parameterized(
    whole_seconds = { "timeout=5, max=100", Some(5_000) },
    in_the_middle = { "max=100, timeout=2", Some(2_000) },
    none = { "max=100", None },
    bad = { "timeout=soon", None },
)]
fn keep_alive_time(value: &str, expected: Option<u64>) {
    assert_eq!(headers::keep_alive_timeout(&head(&[("keep-alive", value)])), expected.map(ms));
}

#[test]
fn events_are_forwarded_once_and_complete_in_any_chunks() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
    for size in 1..=stream.len() {
        let mut buffer = EventBuffer::default();
        let mut passed = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            let whole = buffer.push(piece).expect("short events");
            assert!(whole.is_empty() || whole.ends_with(b"\n"));
            passed.extend_from_slice(&whole);
        }
        assert_eq!(String::from_utf8_lossy(&passed), stream);
        assert_eq!((buffer.last_forwarded_id(), buffer.has_partial_event()), (Some(3), false));
    }
}

#[test]
fn an_interrupted_event_is_discarded_and_forwarded_ones_are_left_out() {
    let mut buffer = EventBuffer::default();
    assert_eq!(&buffer.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short")[..], b"id: 1\ndata: a\n\n");
    assert!(buffer.has_partial_event());
    buffer.discard_partial_event();
    let again = buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n").expect("short");
    assert_eq!(&again[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn an_event_without_end_is_bounded() {
    let mut buffer = EventBuffer::default();
    let endless = vec![b'x'; 1024 * 1024];
    assert!((0..8).any(|_| buffer.push(&endless).is_err()));
}

#[parameterized(
    all_is_well = { true, Some(5_000), false, true },
    nothing_known = { false, Some(5_000), false, false },
    never_fresh = { true, None, false, false },
    cut_off_a_while_ago = { true, Some(2_500), false, true },
    cut_off_for_long = { true, Some(1_500), false, false },
    about_to_end = { true, Some(5_000), true, false },
)]
fn readiness(known: bool, fresh_at: Option<u64>, stopping: bool, expected: bool) {
    assert_eq!(is_ready(known, fresh_at.map(ms), ms(5_000), stopping), expected);
}

#[parameterized(
    not_noticed_yet = { 1_000, 0, 0, ShutdownStep::Serve },
    clients_rest = { 3_000, 0, 2, ShutdownStep::CloseIdle },
    requests_under_way = { 3_000, 1, 1, ShutdownStep::CloseIdle },
    all_done = { 3_000, 0, 0, ShutdownStep::Exit },
    grace_almost_over = { 7_500, 3, 3, ShutdownStep::Exit },
)]
fn steps_of_a_shutdown(after: u64, requests: usize, connections: usize, expected: ShutdownStep) {
    let shutdown = Shutdown::new(ms(100), ms(8_000));
    assert_eq!(shutdown.step(ms(100 + after), requests, connections), expected);
}

#[parameterized(
    resting = { Phase::Idle(ms(0)), 15_000, false },
    rested_too_long = { Phase::Idle(ms(0)), 15_001, true },
    head_comes = { Phase::ReadingHead(ms(0)), 3_000, false },
    head_is_late = { Phase::ReadingHead(ms(0)), 3_001, true },
    busy = { Phase::InRequest, 99_999, false },
)]
fn expired_connections(phase: Phase, now: u64, expected: bool) {
    assert_eq!(phase.is_expired(ms(now), ConnectionTimeouts { idle: ms(15_000), head: ms(3_000) }), expected);
}

#[test]
fn a_small_machine_gets_small_limits() {
    let limits = ProcessLimits { file_descriptors: 1_200, memory_mb: 160, ..ProcessLimits::default() };
    let bounds = front_limits(&limits);
    assert_eq!((bounds.connections, bounds.store_connections), (437, 437));
    assert!(bounds.requests * 32 * 1024 + bounds.body_bytes < 80 * 1024 * 1024, "{bounds:?}");
}
