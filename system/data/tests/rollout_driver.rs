//! The driver of batch jobs on sockets: generations at stand-in stores, reward calls, and results at a stand-in backend.

mod common;
mod rollout_common;

use common::runtime::run;
use std::collections::BTreeSet;
use std::time::Duration;

use gingerledge_protocol::StoreState;
use gingerledge_wire::ResultRecord;
use rollout_common::*;
use yare::parameterized;

const FIRST_TERM: u64 = 3;

/// An engine whose weights have version 2.
async fn engine(id: &str, script: impl Fn(&Asked) -> Does + 'static) -> Engine {
    Engine::start(id, 2, script).await
}

impl World {
    fn drive(&self, job: gingerledge_wire::JobRecord) {
        self.backend.tell_to_drive(self.shared.address(), job, FIRST_TERM, Vec::new());
    }

    /// Waits until so many items have results; gives them by item.
    async fn results(&self, job: &str, count: usize) -> Vec<ResultRecord> {
        until("results", || self.backend.results(job).len() >= count).await;
        let mut results = self.backend.results(job);
        results.sort_by_key(|result| result.item);
        let items: BTreeSet<u32> = results.iter().map(|result| result.item).collect();
        assert_eq!(items.len(), count, "one result for each item");
        results
    }
}

fn assert_whole(result: &ResultRecord, versions: &[u64]) {
    let item = format!("i{}", result.item);
    assert!(result.completed, "{item}");
    assert_eq!(String::from_utf8_lossy(&result.text), whole_text(&item));
    assert_eq!(result.versions, versions, "{item}");
    assert_eq!(result.score, format!("stamp of r{}", result.item));
}

#[test]
fn a_batch_job_is_generated_scored_and_its_results_appended() {
    run(async {
        let world = World::start(Route::default()).await;
        let (a, b) = (engine("a", |_| Does::Stream).await, engine("b", |_| Does::Stream).await);
        world.learn_engine(&a);
        world.learn_engine(&b);
        world.drive(job("j", 3, 4));
        for result in world.results("j", 12).await {
            assert_whole(&result, &[2]);
            let reward = world.rewards.heard_of(&format!("r{}", result.item));
            let item = format!("i{}", result.item);
            let ended = a.ended(&item).or(b.ended(&item)).expect("the text was made");
            assert!(reward.iter().all(|call| call.at >= ended), "the reward call follows the last event");
            assert_eq!(reward.len(), 1);
        }
        until("the counts fall", || world.nothing_out(&[&a, &b, &world.rewards])).await;
        assert_eq!(a.heard().len() + b.heard().len(), 12);
        assert_eq!(a.heard().len(), 6, "each group is spread evenly");
    });
}

/// Two edges share six connections to the store, which has more slots: the other generations wait in the plan, where any store may get them.
#[test]
fn no_more_generations_are_placed_at_a_store_than_it_may_have_connections() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |_| Does::HangAfter(1)).await;
        world.learn_engine(&a);
        world.shared.stores.set_connection_limit("engines", 6, 2);
        world.drive(job("j", 1, 8));
        until("three requests", || a.heard().len() == 3).await;
        assert_eq!(world.shared.in_flight_counts.count("a"), 3);
    });
}

#[test]
fn an_item_is_sent_as_it_was_submitted() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        world.results("j", 1).await;
        let asked = &a.heard()[0];
        assert!(asked.text.starts_with("POST /jobs/0?q=1 HTTP/1.1\r\n"), "{}", asked.text);
        assert!(asked.text.ends_with("\r\n\r\nbody 0"));
        let header = |name: &str| engine_header(&asked.text, name);
        assert_eq!(header("host").as_deref(), Some(HOST));
        assert_eq!(header("model").as_deref(), Some(MODEL));
        assert_eq!(header("expected-instance").as_deref(), Some("a"));
        assert_eq!(
            (header("connection"), header("last-event-id"), header("expect-version")),
            (None, None, None)
        );
        let left: u64 = header("deadline-ms").expect("a deadline").parse().expect("a number");
        assert!((35_000..=42_000).contains(&left), "until the item may be given up: {left}");
        let reward = &world.rewards.heard()[0];
        assert!(reward.text.starts_with("POST /reward/x HTTP/1.1\r\n") && reward.text.ends_with("score me"));
    });
}

fn engine_header(text: &str, name: &str) -> Option<String> {
    text.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// What the first request of an item meets; later ones are streamed.
#[parameterized(
    cut_between_events = { || Does::CutAfter(3), Some(3) },
    cut_after_the_last_event = { || Does::CutAfter(5), Some(5) },
    cut_within_an_event = { || Does::CutWithin(2), Some(2) },
    cut_before_the_first_event = { || Does::CutAfter(0), None },
    an_event_is_missing = { || Does::LeaveOut(4), Some(3) },
    the_end_is_missing = { || Does::Chunks(vec!["id: 1\ndata: i0.1\n\nid: 2\ndata: i0.2".to_owned()]), Some(1) },
    silent_in_the_middle = { || Does::HangAfter(2), Some(2) },
    refused = { || Does::Refuse, None },
    another_instance = { || Does::Answer("421 Misdirected Request"), None },
    a_status_of_no_meaning = { || Does::Answer("504 Gateway Timeout"), None },
    a_success_that_is_no_stream = { || Does::Answer("200 OK"), None },
    failed_once = { || Does::Answer("500 Internal Server Error"), None },
)]
fn a_text_is_resumed_after(first: fn() -> Does, last_event: Option<u64>) {
    run(async move {
        let world = World::start(Route::default()).await;
        let script = move |asked: &Asked| if asked.nth == 0 { first() } else { Does::Stream };
        let a = engine("a", script).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        let results = world.results("j", 1).await;
        assert_whole(&results[0], &[2]);
        assert_eq!(a.heard()[1].last_event, last_event);
        until("the counts fall", || world.nothing_out(&[&a])).await;
    });
}

#[test]
fn an_interrupted_text_is_resumed_at_another_store_under_its_own_version() {
    run(async {
        let world = World::start(Route::default()).await;
        let cutting =
            |asked: &Asked| if asked.last_event.is_none() { Does::CutAfter(2) } else { Does::Stream };
        let (old, new) = (Engine::start("a", 2, cutting).await, Engine::start("b", 3, cutting).await);
        world.learn_engine(&old);
        world.learn_engine(&new);
        world.drive(job("j", 1, 1));
        let results = world.results("j", 1).await;
        let both = old.heard().len() == 1 && new.heard().len() == 1;
        assert!(both, "the store that cut is is_suspect");
        let first = if old.heard()[0].last_event.is_none() { 2 } else { 3 };
        assert_whole(&results[0], &[first, 5 - first]);
    });
}

#[test]
fn text_of_a_single_version_is_resumed_at_a_store_that_serves_it() {
    run(async {
        let world = World::start(Route { single_version: true, ..Route::default() }).await;
        let cut_all =
            |asked: &Asked| if asked.last_event.is_none() { Does::CutAfter(2) } else { Does::Stream };
        let newer = Engine::start("newer", 3, |_| Does::Stream).await;
        let same = Engine::start("same", 2, cut_all).await;
        world.learn_engine(&same);
        world.drive(job("j", 1, 2));
        until("both are cut", || same.heard().len() >= 2).await;
        world.learn_engine(&newer);
        for result in world.results("j", 2).await {
            assert_whole(&result, &[2]);
        }
        let resumed: Vec<Asked> =
            same.heard().into_iter().filter(|asked| asked.last_event.is_some()).collect();
        assert!(resumed.iter().all(|asked| asked.last_event == Some(2) && asked.expect_version == Some(2)));
        assert!(newer.heard().iter().all(|asked| asked.last_event.is_none()));
    });
}

#[test]
fn text_of_a_single_version_is_discarded_when_no_store_serves_it() {
    run(async {
        let world = World::start(Route { single_version: true, ..Route::default() }).await;
        let a = engine("a", |asked| if asked.nth == 0 { Does::HangAfter(2) } else { Does::Stream }).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        until("the first run", || a.heard().len() == 1).await;
        a.set_version(3);
        world.learn_store(&a, "engines", 2, StoreState::Ready);
        let results = world.results("j", 1).await;
        assert_whole(&results[0], &[3]);
        assert_eq!(
            a.heard().last().map(|asked| (asked.last_event, asked.expect_version)),
            Some((None, None))
        );
    });
}

#[parameterized(
    allowed = { false, &[2, 3] },
    not_allowed = { true, &[3] },
)]
fn a_change_of_version_within_a_text_is(single_version: bool, versions: &'static [u64]) {
    run(async move {
        let world = World::start(Route { single_version, ..Route::default() }).await;
        let a = engine("a", |asked| if asked.nth == 0 { Does::ChangeAt(4, 3) } else { Does::Stream }).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        until("the first run", || a.heard().len() == 1).await;
        a.set_version(3);
        world.learn_store(&a, "engines", 2, StoreState::Ready);
        let results = world.results("j", 1).await;
        assert_whole(&results[0], versions);
    });
}

#[test]
fn a_stream_of_weights_that_are_too_old_adds_no_text() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        // It went back after it told its version, as a store does that ended and came again.
        a.set_version(1);
        world.drive(job("j", 1, 1));
        until("it is asked again", || a.heard().len() >= 3).await;
        assert!(world.backend.results("j").is_empty() && world.rewards.heard().is_empty());
        a.set_version(2);
        assert_whole(&world.results("j", 1).await[0], &[2]);
    });
}

#[test]
fn rejections_never_abandon_an_item() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |asked| if asked.nth < 12 { Does::Refuse } else { Does::Stream }).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        assert_whole(&world.results("j", 1).await[0], &[2]);
        assert_eq!(a.heard().len(), 13);
    });
}

#[parameterized(
    never_possible = { "422 Unprocessable Entity", 1 },
    failing_as_often_as_allowed = { "500 Internal Server Error", 3 },
)]
fn an_item_is_abandoned_when(status: &'static str, requests: usize) {
    run(async move {
        let world = World::start(Route::default()).await;
        let a = engine("a", move |asked| if asked.id == "i1" { Does::Answer(status) } else { Does::Stream })
            .await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 3));
        let results = world.results("j", 3).await;
        assert_whole(&results[0], &[2]);
        assert!(!results[1].completed);
        assert_whole(&results[2], &[2]);
        assert_eq!(a.heard_of("i1").len(), requests);
        assert!(world.rewards.heard_of("r1").is_empty());
    });
}

#[test]
fn an_item_whose_scoring_call_always_fails_is_abandoned() {
    run(async {
        let mut world = World::start(Route::default()).await;
        world.rewards = Engine::start("rewards-2", 0, |_| Does::Answer("500 Internal Server Error")).await;
        world.learn_store(&world.rewards, "rewards", 1, StoreState::Ready);
        // The store that scores leaves; the other one fails.
        let left = Engine::start("rewards-1", 0, |_| Does::Silence).await;
        world.learn_store(&left, "rewards", 2, StoreState::Draining);
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        assert!(!world.results("j", 1).await[0].completed);
        assert!(world.rewards.heard_of("r0").len() >= 3, "as often as the item's own route allows");
        assert_eq!(a.heard().len(), 1);
    });
}

#[test]
fn items_past_their_retention_time_are_abandoned() {
    run(async {
        let world = World::start(Route { retention_s: 5.0, ..Route::default() }).await;
        world.backend.tell_age(Duration::from_secs(60));
        world.drive(job("j", 1, 2));
        assert!(world.results("j", 2).await.iter().all(|result| !result.completed));
    });
}

/// The time of day of the machine plays no part: what it said when the batch job came in is not even kept.
#[parameterized(new = { 0, false }, young = { 30_000, false }, over = { 60_601, true })]
fn what_may_be_given_up_hangs_on_the_told_age_alone(age_ms: u64, given_up: bool) {
    run(async {
        let world = World::start(Route { retention_s: 60.0, ..Route::default() }).await;
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        world.backend.tell_age(Duration::from_millis(age_ms));
        world.drive(job("j", 1, 2));
        assert!(world.results("j", 2).await.iter().all(|result| result.completed != given_up));
    });
}

#[test]
fn nothing_is_abandoned_while_no_store_is_eligible() {
    run(async {
        let world = World::start(Route::default()).await;
        let old = Engine::start("old", 1, |_| Does::Stream).await;
        world.learn_engine(&old);
        world.drive(job("j", 1, 1));
        until("the job is held", || world.backend.renewed().is_some()).await;
        until("it is held on", || world.backend.heard().len() >= 3).await;
        assert!(old.heard().is_empty() && world.backend.results("j").is_empty());
        old.set_version(2);
        world.learn_store(&old, "engines", 2, StoreState::Ready);
        assert_whole(&world.results("j", 1).await[0], &[2]);
    });
}

#[test]
fn a_removed_route_abandons_items_that_are_not_in_flight() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |asked| if asked.id == "i0" { Does::Stream } else { Does::Refuse }).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 2));
        until("the second is refused", || a.heard_of("i1").len() >= 2).await;
        world.learn_route(Route { there: false, ..Route::default() });
        let results = world.results("j", 2).await;
        assert!(!results[1].completed);
    });
}

#[test]
fn a_route_that_is_not_known_yet_abandons_nothing() {
    run(async {
        let world = World::start(Route { there: false, ..Route::default() }).await;
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        until("it is held on", || world.backend.heard().len() >= 2).await;
        assert!(a.heard().is_empty() && world.backend.results("j").is_empty());
        world.learn_route(Route::default());
        assert_whole(&world.results("j", 1).await[0], &[2]);
    });
}

#[test]
fn a_draining_store_gets_no_more_requests() {
    run(async {
        let world = World::start(Route::default()).await;
        let (a, b) = (engine("a", |_| Does::Refuse).await, engine("b", |_| Does::Stream).await);
        world.learn_engine(&a);
        world.drive(job("j", 1, 1));
        until("it is asked", || !a.heard().is_empty()).await;
        world.learn_store(&a, "engines", 2, StoreState::Draining);
        let before = a.heard().len();
        world.learn_engine(&b);
        assert_whole(&world.results("j", 1).await[0], &[2]);
        assert!(a.heard().len() <= before + 1, "one may have been on its way");
    });
}

#[test]
fn the_next_driver_runs_only_items_without_a_result() {
    run(async {
        let world = World::start(Route::default()).await;
        let a = engine("a", |_| Does::Stream).await;
        world.learn_engine(&a);
        world.backend.tell_to_drive(world.shared.address(), job("j", 1, 4), 9, vec![1, 3]);
        world.results("j", 4).await;
        let ran: BTreeSet<String> = a.heard().into_iter().map(|asked| asked.id).collect();
        assert_eq!(ran, BTreeSet::from(["i0".to_owned(), "i2".to_owned()]));
    });
}
