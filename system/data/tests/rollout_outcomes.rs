//! What each outcome of a generation and of a reward call does to its item.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{
    GeneratedText, GenerationOutcome, JobPlan, JobRules, NextAction, ScoringOutcome, StoreView,
};
use gingerledge_wire::ResultRecord;
use rollout_plan_common::*;
use yare::parameterized;

/// A plan of one item, which is at a store.
fn at_store(rules: JobRules) -> (JobPlan, Vec<StoreView>) {
    let mut plan = JobPlan::new(job(1, 1, 1, 1), &[], 1);
    let mut stores = vec![store("a", 1, 0), store("b", 1, 0)];
    assert_eq!(plan.place(ms(0), &mut stores, rules).len(), 1);
    (plan, stores)
}

fn abandoned() -> NextAction {
    let score = String::new();
    NextAction::Publish(ResultRecord {
        item: 0,
        completed: false,
        text: Vec::new(),
        versions: Vec::new(),
        score,
    })
}

/// When the item may go to a store again, up to two seconds from then on.
fn placed_again(
    plan: &mut JobPlan,
    stores: &mut [StoreView],
    from: u64,
    rules: JobRules,
) -> Option<(u64, GeneratedText)> {
    stores.iter_mut().for_each(|store| store.in_flight = 0);
    (from..from + 2_000).find_map(|now| {
        let mut placements = plan.place(ms(now), stores, rules);
        Some((now, placements.pop()?.text))
    })
}

#[parameterized(
    refused = { GenerationOutcome::NeverRan, 0, 20, 100 },
    cut_with_new_events = { GenerationOutcome::Interrupted, 2, 0, 0 },
    cut_without = { GenerationOutcome::Interrupted, 0, 20, 100 },
    failed_once = { GenerationOutcome::Failed, 0, 0, 0 },
    version_lost = { GenerationOutcome::VersionUnavailable, 0, 0, 0 },
    wrong_version = { GenerationOutcome::WrongVersion, 0, 20, 100 },
    odd_answer = { GenerationOutcome::Other, 0, 20, 100 },
    whole_without_any_event = { GenerationOutcome::Completed, 0, 20, 100 },
)]
fn an_item_is_placed_again_after(ended: GenerationOutcome, events: u64, soonest: u64, latest: u64) {
    let (mut plan, mut stores) = at_store(rules(false));
    assert_eq!(plan.generation_ended(ms(10), 0, text(events, 1), ended, rules(false)), NextAction::Wait);
    let (at, carried) = placed_again(&mut plan, &mut stores, 10, rules(false)).unwrap();
    assert!((10 + soonest..=10 + latest).contains(&at), "{at}");
    assert_eq!(carried, text(events, 1));
}

#[parameterized(
    odd_answers = { GenerationOutcome::Other, true },
    cuts_without_a_new_event = { GenerationOutcome::Interrupted, true },
    refusals = { GenerationOutcome::NeverRan, false },
    weights_that_do_not_fit = { GenerationOutcome::WrongVersion, false },
)]
fn text_that_no_store_continues_is_discarded_after_many(ended: GenerationOutcome, starts_over: bool) {
    let (mut plan, mut stores) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(3, 1), GenerationOutcome::Interrupted, rules(false));
    let mut now = 0;
    for turn in 0..12 {
        let (at, carried) = placed_again(&mut plan, &mut stores, now, rules(false)).unwrap();
        assert!(turn > 4 || !carried.is_empty(), "not before it was tried often enough");
        now = at;
        plan.generation_ended(ms(now), 0, carried, ended, rules(false));
    }
    let (_, carried) = placed_again(&mut plan, &mut stores, now, rules(false)).unwrap();
    assert_eq!(carried.is_empty(), starts_over);
}

#[test]
fn rejections_do_not_count_as_attempts() {
    let (mut plan, mut stores) = at_store(rules(false));
    let mut now = 0;
    for _ in 0..50 {
        assert_eq!(
            plan.generation_ended(
                ms(now),
                0,
                GeneratedText::default(),
                GenerationOutcome::NeverRan,
                rules(false)
            ),
            NextAction::Wait
        );
        now = placed_again(&mut plan, &mut stores, now, rules(false)).unwrap().0;
    }
}

#[test]
fn as_many_500s_as_the_route_allows_abandon_an_item() {
    let (mut plan, mut stores) = at_store(rules(false));
    for _ in 0..2 {
        assert_eq!(
            plan.generation_ended(
                ms(0),
                0,
                GeneratedText::default(),
                GenerationOutcome::Failed,
                rules(false)
            ),
            NextAction::Wait
        );
        assert_eq!(plan.place(ms(0), &mut stores, rules(false)).len(), 1);
        // What never ran, or broke off, does not count beside them.
        plan.generation_ended(
            ms(0),
            0,
            GeneratedText::default(),
            GenerationOutcome::Interrupted,
            rules(false),
        );
        assert_eq!(plan.place(ms(1_000), &mut stores, rules(false)).len(), 1);
    }
    let step =
        plan.generation_ended(ms(0), 0, GeneratedText::default(), GenerationOutcome::Failed, rules(false));
    assert_eq!(step, abandoned());
    assert!(plan.is_finished());
}

#[test]
fn a_422_abandons_an_item() {
    let (mut plan, _) = at_store(rules(false));
    assert_eq!(
        plan.generation_ended(
            ms(0),
            0,
            GeneratedText::default(),
            GenerationOutcome::InvalidRequest,
            rules(false)
        ),
        abandoned()
    );
}

#[parameterized(
    before_its_time = { 99, false },
    at_its_time = { 100, true },
)]
fn an_item_past_its_retention_time_is_abandoned_where_it_would_wait(now: u64, given_up: bool) {
    let rules = JobRules { abandon_after: Some(ms(100)), ..rules(false) };
    let (mut plan, _) = at_store(rules);
    let step = plan.generation_ended(ms(now), 0, text(3, 1), GenerationOutcome::Interrupted, rules);
    assert_eq!(step, if given_up { abandoned() } else { NextAction::Wait });
}

#[test]
fn a_complete_text_is_scored_after_its_retention_time() {
    let rules = JobRules { abandon_after: Some(ms(100)), ..rules(false) };
    let (mut plan, _) = at_store(rules);
    assert_eq!(
        plan.generation_ended(ms(101), 0, text(3, 1), GenerationOutcome::Completed, rules),
        NextAction::Score
    );
    let step = plan.scoring_ended(ms(102), 0, ScoringOutcome::Scored("stamp".to_owned()), rules);
    assert!(matches!(step, NextAction::Publish(ResultRecord { completed: true, .. })));
}

#[test]
fn a_result_is_the_text_its_versions_and_its_score() {
    let (mut plan, _) = at_store(rules(false));
    let mut whole = text(2, 1);
    add(&mut whole, 3, 2);
    assert_eq!(
        plan.generation_ended(ms(0), 0, whole, GenerationOutcome::Completed, rules(false)),
        NextAction::Score
    );
    let step = plan.scoring_ended(ms(1), 0, ScoringOutcome::Scored("stamp".to_owned()), rules(false));
    let expected = ResultRecord {
        item: 0,
        completed: true,
        text: b"1v1\n2v1\n3v2".to_vec(),
        versions: vec![1, 2],
        score: "stamp".to_owned(),
    };
    assert_eq!(step, NextAction::Publish(expected));
}

#[test]
fn an_item_has_one_result() {
    let (mut plan, mut stores) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), GenerationOutcome::Completed, rules(false));
    assert_eq!(
        plan.generation_ended(ms(0), 0, text(2, 1), GenerationOutcome::Completed, rules(false)),
        NextAction::Wait
    );
    let scored = || ScoringOutcome::Scored("stamp".to_owned());
    assert!(matches!(plan.scoring_ended(ms(1), 0, scored(), rules(false)), NextAction::Publish(_)));
    assert_eq!(plan.scoring_ended(ms(1), 0, scored(), rules(false)), NextAction::Wait);
    assert_eq!(
        plan.generation_ended(ms(1), 0, text(2, 1), GenerationOutcome::InvalidRequest, rules(false)),
        NextAction::Wait
    );
    assert!(plan.abandon_idle_items().is_empty());
    assert!(plan.place(ms(5_000), &mut stores, rules(false)).is_empty());
}

#[test]
fn a_scoring_call_is_retried_until_it_succeeds() {
    let (mut plan, _) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), GenerationOutcome::Completed, rules(false));
    let mut now = ms(0);
    for _ in 0..20 {
        assert_eq!(plan.scoring_ended(now, 0, ScoringOutcome::Other, rules(false)), NextAction::Wait);
        assert!(plan.take_due_scorings(now).is_empty(), "not at once");
        let due = plan.next_timer(now).unwrap();
        assert!(due >= now + ms(20) && due <= now + ms(1_600), "{due:?} after {now:?}");
        now = due;
        assert_eq!(plan.take_due_scorings(now), [0]);
        assert!(plan.take_due_scorings(now).is_empty(), "one call at a time");
    }
    let step = plan.scoring_ended(now, 0, ScoringOutcome::Scored("stamp".to_owned()), rules(false));
    assert!(matches!(step, NextAction::Publish(ResultRecord { completed: true, .. })));
}

#[parameterized(
    of_the_reward_route = { 5, 5 },
    not_fewer_than_of_the_items_route = { 1, 3 },
)]
fn as_many_500s_to_the_scoring_call_abandon_an_item(max_attempts: u32, expected: u32) {
    let (mut plan, _) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), GenerationOutcome::Completed, rules(false));
    let mut calls = 1;
    while plan.scoring_ended(ms(0), 0, ScoringOutcome::Failed { failures: 1, max_attempts }, rules(false))
        == NextAction::Wait
    {
        plan.take_due_scorings(ms(10_000));
        calls += 1;
    }
    assert_eq!(calls, expected);
}

#[test]
fn text_of_versions_that_are_not_allowed_is_discarded_after_any_outcome() {
    let (mut plan, mut stores) = at_store(rules(true));
    let mut mixed = text(2, 1);
    add(&mut mixed, 3, 2);
    assert_eq!(
        plan.generation_ended(ms(0), 0, mixed, GenerationOutcome::Completed, rules(true)),
        NextAction::Wait
    );
    let (_, carried) = placed_again(&mut plan, &mut stores, 0, rules(true)).unwrap();
    assert!(carried.is_empty());
}

#[test]
fn items_in_flight_are_not_abandoned_with_their_route() {
    let mut plan = JobPlan::new(job(1, 3, 1, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 2, ..store("a", 1, 0) }];
    plan.place(ms(0), &mut stores, rules(false));
    let given_up: Vec<u32> = plan.abandon_idle_items().iter().map(|result| result.item).collect();
    assert_eq!(given_up, [2]);
    plan.generation_ended(ms(1), 0, text(1, 1), GenerationOutcome::Interrupted, rules(false));
    assert_eq!(plan.abandon_idle_items().len(), 1);
    assert_eq!(
        plan.generation_ended(ms(1), 1, text(1, 1), GenerationOutcome::Completed, rules(false)),
        NextAction::Score
    );
}

#[test]
fn partial_texts_are_released_for_the_next_driver() {
    let mut plan = JobPlan::new(job(1, 2, 1, 1), &[], 1);
    plan.place(ms(0), &mut [store("a", 1, 0)], rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), GenerationOutcome::Interrupted, rules(false));
    plan.generation_ended(ms(0), 1, GeneratedText::default(), GenerationOutcome::Interrupted, rules(false));
    assert_eq!(plan.take_texts(), [(0, text(2, 1))]);
}
