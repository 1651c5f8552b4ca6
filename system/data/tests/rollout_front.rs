//! What trainers are answered, whatever the backends say or don't say.

mod common;
mod rollout_common;

use common::runtime::run;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use bytes::Bytes;
use gingerledge_data::{rollout, CloseConnection, Reply, ReplyBody};
use gingerledge_protocol::{ItemState, ResultPage};
use gingerledge_transport::{Incoming, Network, NetworkSettings};
use gingerledge_wire::{Envelope, JobRecord, JobsMessage, JobsRequest, JobsResponse, ResultRecord};
use http_body_util::BodyExt;
use hyper::http::{Method, Request, StatusCode};
use rollout_common::*;
use yare::parameterized;

/// A batch job as a trainer sends it.
fn submitted(job: &JobRecord) -> String {
    let items: Vec<serde_json::Value> = job
        .items
        .iter()
        .map(|item| {
            let scoring = item.scoring.as_ref().expect("a reward call");
            let headers: std::collections::BTreeMap<_, _> = item.headers.iter().cloned().collect();
            serde_json::json!({"id": item.id, "path": item.path, "headers": headers, "body": STANDARD.encode(&item.body),
                "tokens": item.tokens, "group": item.group, "scoringEndpoint": {"id": scoring.id, "host": scoring.host,
                "path": scoring.path, "body": STANDARD.encode(&scoring.body)}, "unknown": 1})
        })
        .collect();
    serde_json::json!({"step": job.step, "model": job.model, "minVersion": job.min_version, "desired": job.desired_groups,
        "items": items})
    .to_string()
}

fn hand_in(id: &str, body: impl Into<Bytes>, deadline_ms: u32) -> Request<Bytes> {
    let request = Request::post("/jobs/x").header("Host", HOST).header("Deadline-Ms", deadline_ms);
    request.header("Attempt-Id", id).body(body.into()).expect("request")
}

fn call(method: Method, path: &str) -> Request<Bytes> {
    let request = Request::builder().method(method).uri(path).header("Host", HOST);
    request.body(Bytes::new()).expect("request")
}

impl World {
    async fn answer(&self, request: Request<Bytes>) -> Result<Reply, CloseConnection> {
        rollout::trainer_api::handle(Rc::clone(&self.shared), request).await
    }

    async fn status(&self, request: Request<Bytes>) -> StatusCode {
        self.answer(request).await.expect("an answer").status()
    }

    async fn page(&self, path: &str) -> ResultPage {
        let reply = self.answer(call(Method::GET, path)).await.expect("an answer");
        assert_eq!(reply.status(), StatusCode::OK);
        serde_json::from_slice(&bytes(reply).await).expect("a page")
    }
}

async fn bytes(reply: Reply) -> Bytes {
    let body: ReplyBody = reply.into_body();
    body.collect().await.expect("a body").to_bytes()
}

/// What becomes of one kind of question.
fn creating(says: Says) -> impl Fn(&JobsRequest) -> Option<Says> {
    move |asked| matches!(asked, JobsRequest::CreateJob { .. }).then(|| says.clone())
}

#[test]
fn a_batch_job_is_accepted_run_and_read() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        let sent = job("j", 1, 3);
        assert_eq!(world.status(hand_in("j", submitted(&sent), 5_000)).await, StatusCode::ACCEPTED);
        until("results", || world.backend.results("j").len() == 3).await;
        let page = world.page("/lots/j?startAfter=1").await;
        assert_eq!((page.total, page.next_page_token, page.results.len()), (3, 3, 2));
        for result in &page.results {
            let item = result.id.strip_prefix('i').expect("an item");
            assert_eq!(result.text, whole_text(&result.id));
            assert_eq!((result.state, result.versions.as_slice()), (ItemState::Completed, &[2][..]));
            assert_eq!(result.score, format!("stamp of r{item}"));
        }
        assert_eq!(world.page("/lots/j").await.results.len(), 3);
        assert_eq!(world.page("/lots/j?startAfter=9").await.next_page_token, 9);
    });
}

/// Another edge, which only notes what it is sent.
async fn other_edge() -> (SocketAddr, Rc<RefCell<Vec<JobsMessage>>>) {
    let (network, mut inbox) =
        Network::<Envelope>::bind(NetworkSettings::new(loopback())).await.expect("network");
    let messages = Rc::new(RefCell::new(Vec::new()));
    let received = Rc::clone(&messages);
    let address = network.local_address();
    tokio::task::spawn_local(async move {
        while let Some(incoming) = inbox.next().await {
            if let Incoming::Message { message: Envelope::Jobs(message), .. } = incoming {
                received.borrow_mut().push(message);
            }
        }
        drop(network);
    });
    (address, messages)
}

/// An edge that carries six streams and drives a batch job of four items, none of which ends; and the stores.
async fn loaded_edge() -> (World, [Engine; 2]) {
    let world = World::start_on(Route::default(), 3_000, 0.002).await;
    let engine = |id| Engine::start(id, 2, |_| Does::HangAfter(1));
    let engines = [engine("a").await, engine("b").await];
    engines.iter().for_each(|engine| world.learn_engine(engine));
    assert_eq!(world.status(hand_in("j", submitted(&job("j", 1, 4)), 5_000)).await, StatusCode::ACCEPTED);
    until("its streams", || requests(&engines) == 4).await;
    (world, engines)
}

fn requests(engines: &[Engine]) -> usize {
    engines.iter().map(|engine| engine.heard().len()).sum()
}

#[test]
fn a_batch_job_beyond_what_the_edge_carries_is_driven_by_another_edge_of_its_zone() {
    run(async {
        let (world, engines) = loaded_edge().await;
        let (delegate, messages) = other_edge().await;
        let (of_other_zone, messages_of_other_zone) = other_edge().await;
        world.learn_edge(8, delegate, "home");
        world.learn_edge(9, of_other_zone, "away");
        // The second submission is that of a client whose answer was lost.
        for _ in 0..2 {
            let status = world.status(hand_in("k", submitted(&job("k", 1, 3)), 5_000)).await;
            assert_eq!(status, StatusCode::ACCEPTED);
        }
        until("the assignment", || !messages.borrow().is_empty()).await;
        world.backend.send(world.shared.address(), JobsMessage::StopDriver { job: "k".to_owned(), term: 1 });
        until("the end", || messages.borrow().len() == 2).await;
        let [JobsMessage::AssignDriver { job, term: 1, .. }, JobsMessage::StopDriver { job: ended, term: 1 }] =
            &messages.borrow()[..]
        else {
            panic!("{:?}", messages.borrow())
        };
        assert_eq!((job.id.as_str(), ended.as_str()), ("k", "k"));
        assert!(messages_of_other_zone.borrow().is_empty());
        assert_eq!(requests(&engines), 4, "this edge starts none of its items");
    });
}

#[parameterized(
    it_carries_both = { 2, true },
    it_knows_no_other_edge = { 3, false },
)]
fn a_batch_job_is_driven_by_the_edge_that_took_it_where(items: usize, is_other_known: bool) {
    run(async {
        let (world, engines) = loaded_edge().await;
        let (delegate, messages) = other_edge().await;
        if is_other_known {
            world.learn_edge(8, delegate, "home");
        }
        let status = world.status(hand_in("k", submitted(&job("k", 1, items)), 5_000)).await;
        assert_eq!(status, StatusCode::ACCEPTED);
        until("its streams", || requests(&engines) == 4 + items).await;
        assert!(messages.borrow().is_empty());
    });
}

#[test]
fn the_backend_stores_the_batch_job_as_the_trainer_sent_it() {
    run(async {
        let world = World::start(Route::default()).await;
        let sent = job("j", 2, 2);
        world.status(hand_in("j", submitted(&sent), 5_000)).await;
        let JobsRequest::CreateJob { job: kept } = world.backend.heard().remove(0) else {
            panic!("no creation")
        };
        let mut expected = sent;
        for item in &mut expected.items {
            item.headers.sort();
        }
        assert_eq!(*kept, expected);
    });
}

#[test]
fn a_repeated_submission_is_accepted_once_and_acknowledged_again() {
    run(async {
        let world = World::start(Route::default()).await;
        let engine = Engine::start("a", 2, |_| Does::HangAfter(1)).await;
        world.learn_engine(&engine);
        for _ in 0..3 {
            let again = hand_in("j", submitted(&job("j", 1, 2)), 5_000);
            assert_eq!(world.status(again).await, StatusCode::ACCEPTED);
        }
        until("both run", || engine.heard().len() == 2).await;
        assert_eq!(world.status(hand_in("j", submitted(&job("j", 1, 2)), 5_000)).await, StatusCode::ACCEPTED);
        assert_eq!((engine.heard().len(), engine.open()), (2, 2));
    });
}

#[parameterized(
    no_json = { "{" },
    no_base64 = { r#"{"items":[{"id":"i","body":"%"}]}"# },
    wrong_type = { r#"{"items":7}"# },
)]
fn what_is_no_batch_job_is_refused_for_good(body: &'static str) {
    run(async move {
        let world = World::start(Route::default()).await;
        assert_eq!(world.status(hand_in("j", body, 500)).await, StatusCode::BAD_REQUEST);
        assert!(world.backend.heard().is_empty());
    });
}

/// The connection is closed (none) where a backend may have taken the batch job.
#[parameterized(
    no_answer = { Says::Nothing, None },
    taken_and_the_answer_lost = { Says::Loses, None },
    not_now = { Says::This(JobsResponse::Unavailable), Some(StatusCode::SERVICE_UNAVAILABLE) },
    no_room = { Says::This(JobsResponse::CapacityExceeded), Some(StatusCode::SERVICE_UNAVAILABLE) },
    taken_before_and_ended = { Says::This(JobsResponse::Created { driver_term: None }), Some(StatusCode::ACCEPTED) },
    an_odd_answer = { Says::This(JobsResponse::Appended), None },
)]
fn a_batch_job_that_meets(says: Says, expected: Option<StatusCode>) {
    run(async move {
        let world = World::start(Route::default()).await;
        world.backend.says(creating(says));
        let answer = world.answer(hand_in("j", submitted(&job("j", 1, 1)), 200)).await;
        assert_eq!(answer.as_ref().map(Reply::status).ok(), expected);
        if let Ok(reply) = answer.as_ref().map(|reply| reply.headers()) {
            let refused = expected == Some(StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(reply.contains_key("retry-after"), refused);
        }
    });
}

#[test]
fn capacity_exceeded_after_an_unanswered_transmission_closes_the_connection() {
    run(async {
        let world = World::start(Route::default()).await;
        let copies = std::cell::Cell::new(0);
        world.backend.says(move |asked| {
            let creation = matches!(asked, JobsRequest::CreateJob { .. });
            copies.set(copies.get() + u32::from(creation));
            creation.then(|| {
                if copies.get() == 1 {
                    Says::Nothing
                } else {
                    Says::This(JobsResponse::CapacityExceeded)
                }
            })
        });
        let answer = world.answer(hand_in("j", submitted(&job("j", 1, 1)), 5_000)).await;
        assert!(answer.is_err(), "the first copy may have been taken");
    });
}

#[test]
fn a_lost_response_is_compensated_by_a_retransmission_within_the_deadline() {
    run(async {
        let world = World::start(Route::default()).await;
        let copies = std::cell::Cell::new(0);
        world.backend.says(move |asked| {
            copies.set(copies.get() + u32::from(matches!(asked, JobsRequest::CreateJob { .. })));
            (copies.get() == 1).then_some(Says::Loses)
        });
        let answer = hand_in("j", submitted(&job("j", 1, 1)), 5_000);
        assert_eq!(world.status(answer).await, StatusCode::ACCEPTED);
    });
}

/// Guards against a batch job that is sent to its backend whole again and again, while that has not read the first copy yet.
#[test]
fn a_request_without_a_response_is_retransmitted_less_and_less_often() {
    run(async {
        let world = World::start(Route::default()).await;
        let creations = Rc::new(std::cell::Cell::new(0));
        let counted = Rc::clone(&creations);
        world.backend.says(move |asked| {
            let is_creation = matches!(asked, JobsRequest::CreateJob { .. });
            counted.set(counted.get() + u32::from(is_creation));
            is_creation.then_some(Says::Nothing)
        });
        // The interval is 400 ms at first: transmissions at 0, 400, 1,200 and 2,800 ms.
        let answer = world.answer(hand_in("j", submitted(&job("j", 1, 1)), 4_000)).await;
        assert!(answer.is_err(), "a copy may have been taken");
        assert!((2..=4).contains(&creations.get()), "{} transmissions", creations.get());
    });
}

#[parameterized(
    unknown = { Says::This(JobsResponse::NotFound), StatusCode::NOT_FOUND },
    not_sure = { Says::This(JobsResponse::Unavailable), StatusCode::SERVICE_UNAVAILABLE },
    silent = { Says::Nothing, StatusCode::SERVICE_UNAVAILABLE },
)]
fn a_read_that_meets(says: Says, expected: StatusCode) {
    run(async move {
        let world = World::start(Route::default()).await;
        world.backend.says(move |_| Some(says.clone()));
        assert_eq!(world.status(call(Method::GET, "/lots/j?startAfter=0")).await, expected);
        assert_eq!(world.status(call(Method::GET, "/items/j?id=i0")).await, expected);
    });
}

#[test]
fn bodies_are_read_as_they_were_sent() {
    run(async {
        let world = World::start(Route::default()).await;
        world.status(hand_in("j", submitted(&job("j", 1, 2)), 5_000)).await;
        let reply = world.answer(call(Method::GET, "/items/j?id=i1")).await.expect("an answer");
        assert_eq!((reply.status(), bytes(reply).await), (StatusCode::OK, Bytes::from_static(b"body 1")));
        assert_eq!(world.status(call(Method::GET, "/items/j?id=other")).await, StatusCode::NOT_FOUND);
        assert_eq!(world.status(call(Method::GET, "/items/j")).await, StatusCode::NOT_FOUND);
    });
}

#[test]
fn an_ended_batch_job_is_cancelled_without_delay() {
    run(async {
        let world = World::start_with(Route::default(), 600_000).await;
        let engine = Engine::start("a", 2, |_| Does::HangAfter(1)).await;
        world.learn_engine(&engine);
        world.status(hand_in("j", submitted(&job("j", 1, 2)), 5_000)).await;
        until("both run", || engine.heard().len() == 2).await;
        for _ in 0..2 {
            assert_eq!(world.status(call(Method::DELETE, "/lots/j")).await, StatusCode::OK);
        }
        until("the connections are closed", || engine.open() == 0).await;
        let silence = std::time::Duration::from_secs(2);
        assert!(engine.heard()[0].at.elapsed() < silence, "before they are closed because nothing comes");
        assert_eq!(world.status(call(Method::DELETE, "/lots/other")).await, StatusCode::NOT_FOUND);
    });
}

#[test]
fn an_end_that_is_not_acknowledged_promises_nothing() {
    run(async {
        let world = World::start(Route::default()).await;
        world.backend.says(|_| Some(Says::This(JobsResponse::Unavailable)));
        assert_eq!(world.status(call(Method::DELETE, "/lots/j")).await, StatusCode::GATEWAY_TIMEOUT);
    });
}

#[parameterized(
    one_alone_that_is_too_large = { 3_000_000, 1, 1 },
    as_many_as_fit = { 150_000, 10, 5 },
    all = { 10, 40, 40 },
)]
fn a_page_holds_at_most_a_megabyte_but_one_result_at_least(size: usize, results: u32, expected: usize) {
    run(async move {
        let world = World::start(Route::default()).await;
        world.backend.says(move |_| {
            let result = |item| {
                let text = vec![b'x'; size];
                let result = ResultRecord {
                    item,
                    completed: true,
                    text,
                    versions: vec![1],
                    score: "stamp".to_owned(),
                };
                (format!("i{item}"), result)
            };
            Some(Says::This(JobsResponse::Results {
                total: 50,
                results: (0..results).map(result).collect(),
                ended: false,
            }))
        });
        let page = world.page("/lots/j?startAfter=7").await;
        assert_eq!((page.results.len(), page.next_page_token), (expected, 7 + expected as u64));
    });
}
