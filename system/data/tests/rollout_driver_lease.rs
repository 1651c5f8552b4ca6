//! A driver sends only while it holds the batch job, and drops all that is under way when it does not.

mod common;
mod rollout_common;

use common::runtime::run;
use std::time::Duration;

use gingerledge_wire::{JobsMessage, JobsRequest, JobsResponse};
use rollout_common::*;
use yare::parameterized;

const TERM: u64 = 4;
/// `cancelMs` of these tests, of which a hold is nine tenths.
const CANCEL_MS: u64 = 600;
/// One whose holds last longer than what is waited for.
const LONG_CANCEL_MS: u64 = 9_000;
const HOLD: Duration = Duration::from_millis(CANCEL_MS * 9 / 10);

/// A batch job of two items whose texts never end, under way.
async fn under_way() -> (World, Engine) {
    under_way_with(CANCEL_MS).await
}

async fn under_way_with(cancel_ms: u64) -> (World, Engine) {
    let world = World::start_with(Route::default(), cancel_ms).await;
    let engine = Engine::start("a", 2, |_| Does::HangAfter(2)).await;
    world.learn_engine(&engine);
    world.backend.tell_to_drive(world.shared.address(), job("j", 1, 2), TERM, Vec::new());
    until("both are under way", || engine.heard().len() == 2).await;
    (world, engine)
}

async fn all_is_dropped(world: &World, engine: &Engine) {
    until("the connections are closed", || engine.open() == 0).await;
    until("the counts fall", || world.nothing_out(&[engine])).await;
}

#[test]
fn nothing_is_sent_before_the_first_renewal() {
    run(async {
        let world = World::start_with(Route::default(), 20_000).await;
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        world
            .backend
            .says(|asked| matches!(asked, JobsRequest::RenewDriverLeases { .. }).then_some(Says::Nothing));
        world.backend.tell_to_drive(world.shared.address(), job("j", 1, 2), TERM, Vec::new());
        until("a renewal is lost", || !world.backend.heard().is_empty()).await;
        assert!(engine.heard().is_empty());
        world.backend.is_well();
        until("results", || world.backend.results("j").len() == 2).await;
        let renewed = world.backend.renewed().expect("a renewal");
        assert!(engine.heard().iter().all(|asked| asked.at >= renewed));
    });
}

#[test]
fn without_renewals_everything_is_cancelled_within_the_lease() {
    run(async {
        let (world, engine) = under_way().await;
        world
            .backend
            .says(|asked| matches!(asked, JobsRequest::RenewDriverLeases { .. }).then_some(Says::Nothing));
        let renewed = world.backend.renewed().expect("a renewal");
        all_is_dropped(&world, &engine).await;
        assert!(renewed.elapsed() < HOLD * 5 / 3, "{:?}", renewed.elapsed());
        let late = engine.heard().iter().filter(|asked| asked.at > renewed + HOLD).count();
        assert_eq!(late, 0);
    });
}

#[test]
fn renewals_keep_the_execution_running() {
    run(async {
        let (world, engine) = under_way().await;
        let renewals = |world: &World| {
            world
                .backend
                .heard()
                .iter()
                .filter(|asked| matches!(asked, JobsRequest::RenewDriverLeases { .. }))
                .count()
        };
        until("several holds pass", || renewals(&world) >= 9).await;
        assert_eq!((engine.open(), engine.heard().len()), (2, 2));
    });
}

#[parameterized(
    the_end_is_told_at_a_renewal = { |world| world.backend.end("j") },
    another_drives_it = { |world| world.backend.give_to_another("j") },
    the_head_says_stop = { |world| {
        let stop = JobsMessage::StopDriver { job: "j".to_owned(), term: TERM };
        world.backend.send(world.shared.address(), stop);
    } },
)]
fn all_is_dropped_when(what: fn(&World)) {
    run(async move {
        let (world, engine) = under_way_with(LONG_CANCEL_MS).await;
        let renewed = world.backend.renewed().expect("a renewal");
        what(&world);
        all_is_dropped(&world, &engine).await;
        assert!(renewed.elapsed() < Duration::from_millis(LONG_CANCEL_MS / 3), "not for want of renewals");
        assert!(world.backend.results("j").is_empty());
    });
}

#[test]
fn a_stop_of_an_earlier_term_is_ignored() {
    run(async {
        let (world, engine) = under_way().await;
        let stop = JobsMessage::StopDriver { job: "j".to_owned(), term: TERM - 1 };
        world.backend.send(world.shared.address(), stop);
        let heard = world.backend.heard().len();
        until("it is renewed on", || world.backend.heard().len() >= heard + 3).await;
        assert_eq!(engine.open(), 2);
    });
}

#[parameterized(
    fenced = { JobsResponse::Fenced },
    ended = { JobsResponse::Ended },
)]
fn a_hand_in_that_is_refused_stops_the_driver(answer: JobsResponse) {
    run(async move {
        let world = World::start_with(Route::default(), CANCEL_MS).await;
        world.backend.says(move |asked| {
            matches!(asked, JobsRequest::AppendResults { .. }).then(|| Says::This(answer.clone()))
        });
        let script = |asked: &Asked| if asked.id == "i0" { Does::Stream } else { Does::HangAfter(2) };
        let engine = Engine::start("a", 2, script).await;
        world.learn_engine(&engine);
        world.backend.tell_to_drive(world.shared.address(), job("j", 1, 2), TERM, Vec::new());
        until("the first text is made", || engine.ended("i0").is_some()).await;
        // One connection may rest, but no text is under way.
        until("the counts fall", || engine.heard().len() == 2 && world.nothing_out(&[&engine])).await;
    });
}

#[parameterized(
    lost_on_the_way = { || Says::Nothing },
    taken_and_the_answer_lost = { || Says::Loses },
    not_now = { || Says::This(JobsResponse::Unavailable) },
    no_room = { || Says::This(JobsResponse::CapacityExceeded) },
)]
fn results_are_appended_until_they_are_acknowledged(first: fn() -> Says) {
    run(async move {
        let world = World::start(Route::default()).await;
        let tries = std::cell::Cell::new(0);
        world.backend.says(move |asked| {
            if !matches!(asked, JobsRequest::AppendResults { .. }) {
                return None;
            }
            tries.set(tries.get() + 1);
            (tries.get() <= 2).then(first)
        });
        let engine = Engine::start("a", 2, |_| Does::Stream).await;
        world.learn_engine(&engine);
        world.backend.tell_to_drive(world.shared.address(), job("j", 1, 3), TERM, Vec::new());
        until("results", || world.backend.results("j").len() == 3).await;
        assert!(world.backend.results("j").iter().all(|result| result.completed));
        assert_eq!(engine.heard().len(), 3, "nothing is run again for it");
    });
}

#[test]
fn partial_texts_are_resumed_under_the_next_term() {
    run(async {
        let world = World::start_with(Route::default(), CANCEL_MS).await;
        let script = |asked: &Asked| if asked.nth == 0 { Does::HangAfter(3) } else { Does::Stream };
        let engine = Engine::start("a", 2, script).await;
        world.learn_engine(&engine);
        let address = world.shared.address();
        world.backend.tell_to_drive(address, job("j", 1, 2), TERM, Vec::new());
        until("both are under way", || engine.heard().len() == 2).await;
        world.backend.give_to_another("j");
        all_is_dropped(&world, &engine).await;
        world.backend.tell_to_drive(address, job("j", 1, 2), TERM + 2, Vec::new());
        until("results", || world.backend.results("j").len() == 2).await;
        assert!(engine.heard().iter().skip(2).all(|asked| asked.last_event == Some(3)));
        for result in world.backend.results("j") {
            assert_eq!(String::from_utf8_lossy(&result.text), whole_text(&format!("i{}", result.item)));
        }
    });
}

#[test]
fn an_earlier_term_does_not_replace_a_later_one() {
    run(async {
        let (world, engine) = under_way().await;
        let older = JobsMessage::AssignDriver {
            job: job("j", 1, 2).into(),
            term: TERM - 1,
            items_with_results: vec![0, 1],
            texts: Vec::new(),
            age_ms: 0,
        };
        world.backend.send(world.shared.address(), older);
        let heard = world.backend.heard().len();
        until("it is renewed on", || world.backend.heard().len() >= heard + 3).await;
        assert_eq!((engine.open(), engine.heard().len()), (2, 2));
    });
}
