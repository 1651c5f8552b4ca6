//! What each outcome of a generation and of a reward call does to its item.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{Ended, JobPlan, RewardEnded, Rules, Step, StoreView, Text};
use gingerledge_wire::ResultRecord;
use rollout_plan_common::*;
use yare::parameterized;

/// A plan of one item, which is at a store.
fn at_store(rules: Rules) -> (JobPlan, Vec<StoreView>) {
    let mut plan = JobPlan::new(job(1, 1, 1, 1), &[], 1);
    let mut stores = vec![store("a", 1, 0), store("b", 1, 0)];
    assert_eq!(plan.place(ms(0), &mut stores, rules).len(), 1);
    (plan, stores)
}

fn abandoned() -> Step {
    let score = String::new();
    Step::List(ResultRecord { item: 0, completed: false, text: Vec::new(), versions: Vec::new(), score })
}

/// When the item may go to a store again, up to two seconds from then on.
fn placed_again(
    plan: &mut JobPlan,
    stores: &mut [StoreView],
    from: u64,
    rules: Rules,
) -> Option<(u64, Text)> {
    stores.iter_mut().for_each(|store| store.out = 0);
    (from..from + 2_000).find_map(|now| {
        let mut placements = plan.place(ms(now), stores, rules);
        Some((now, placements.pop()?.text))
    })
}

#[parameterized(
    refused = { Ended::NeverRan, 0, 20, 100 },
    cut_with_new_events = { Ended::Cut, 2, 0, 0 },
    cut_without = { Ended::Cut, 0, 20, 100 },
    failed_once = { Ended::Failed, 0, 0, 0 },
    version_lost = { Ended::VersionLost, 0, 0, 0 },
    wrong_version = { Ended::WrongVersion, 0, 20, 100 },
    odd_answer = { Ended::Other, 0, 20, 100 },
    whole_without_any_event = { Ended::Whole, 0, 20, 100 },
)]
fn an_item_comes_back_after(ended: Ended, events: u64, soonest: u64, latest: u64) {
    let (mut plan, mut stores) = at_store(rules(false));
    assert_eq!(plan.generation_ended(ms(10), 0, text(events, 1), ended, rules(false)), Step::Wait);
    let (at, carried) = placed_again(&mut plan, &mut stores, 10, rules(false)).unwrap();
    assert!((10 + soonest..=10 + latest).contains(&at), "{at}");
    assert_eq!(carried, text(events, 1));
}

#[parameterized(
    odd_answers = { Ended::Other, true },
    cuts_without_a_new_event = { Ended::Cut, true },
    refusals = { Ended::NeverRan, false },
    weights_that_do_not_fit = { Ended::WrongVersion, false },
)]
fn text_that_no_store_goes_on_with_starts_over_after_many(ended: Ended, starts_over: bool) {
    let (mut plan, mut stores) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(3, 1), Ended::Cut, rules(false));
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
fn refusals_are_no_attempts() {
    let (mut plan, mut stores) = at_store(rules(false));
    let mut now = 0;
    for _ in 0..50 {
        assert_eq!(
            plan.generation_ended(ms(now), 0, Text::default(), Ended::NeverRan, rules(false)),
            Step::Wait
        );
        now = placed_again(&mut plan, &mut stores, now, rules(false)).unwrap().0;
    }
}

#[test]
fn as_many_500s_as_the_route_allows_end_an_item() {
    let (mut plan, mut stores) = at_store(rules(false));
    for _ in 0..2 {
        assert_eq!(plan.generation_ended(ms(0), 0, Text::default(), Ended::Failed, rules(false)), Step::Wait);
        assert_eq!(plan.place(ms(0), &mut stores, rules(false)).len(), 1);
        // What never ran, or broke off, does not count beside them.
        plan.generation_ended(ms(0), 0, Text::default(), Ended::Cut, rules(false));
        assert_eq!(plan.place(ms(1_000), &mut stores, rules(false)).len(), 1);
    }
    let step = plan.generation_ended(ms(0), 0, Text::default(), Ended::Failed, rules(false));
    assert_eq!(step, abandoned());
    assert!(plan.is_finished());
}

#[test]
fn a_422_ends_an_item_at_once() {
    let (mut plan, _) = at_store(rules(false));
    assert_eq!(
        plan.generation_ended(ms(0), 0, Text::default(), Ended::Impossible, rules(false)),
        abandoned()
    );
}

#[parameterized(
    before_its_time = { 99, false },
    at_its_time = { 100, true },
)]
fn an_item_that_is_retained_no_longer_is_given_up_where_it_would_wait(now: u64, given_up: bool) {
    let rules = Rules { retained_until: Some(ms(100)), ..rules(false) };
    let (mut plan, _) = at_store(rules);
    let step = plan.generation_ended(ms(now), 0, text(3, 1), Ended::Cut, rules);
    assert_eq!(step, if given_up { abandoned() } else { Step::Wait });
}

#[test]
fn a_text_that_became_whole_in_time_is_completed_though_its_time_is_over() {
    let rules = Rules { retained_until: Some(ms(100)), ..rules(false) };
    let (mut plan, _) = at_store(rules);
    assert_eq!(plan.generation_ended(ms(101), 0, text(3, 1), Ended::Whole, rules), Step::Reward);
    let step = plan.reward_ended(ms(102), 0, RewardEnded::Scored("stamp".to_owned()), rules);
    assert!(matches!(step, Step::List(ResultRecord { completed: true, .. })));
}

#[test]
fn a_result_is_the_text_its_versions_and_its_score() {
    let (mut plan, _) = at_store(rules(false));
    let mut whole = text(2, 1);
    add(&mut whole, 3, 2);
    assert_eq!(plan.generation_ended(ms(0), 0, whole, Ended::Whole, rules(false)), Step::Reward);
    let step = plan.reward_ended(ms(1), 0, RewardEnded::Scored("stamp".to_owned()), rules(false));
    let expected = ResultRecord {
        item: 0,
        completed: true,
        text: b"1v1\n2v1\n3v2".to_vec(),
        versions: vec![1, 2],
        score: "stamp".to_owned(),
    };
    assert_eq!(step, Step::List(expected));
}

#[test]
fn an_item_is_listed_once() {
    let (mut plan, mut stores) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), Ended::Whole, rules(false));
    assert_eq!(plan.generation_ended(ms(0), 0, text(2, 1), Ended::Whole, rules(false)), Step::Wait);
    let scored = || RewardEnded::Scored("stamp".to_owned());
    assert!(matches!(plan.reward_ended(ms(1), 0, scored(), rules(false)), Step::List(_)));
    assert_eq!(plan.reward_ended(ms(1), 0, scored(), rules(false)), Step::Wait);
    assert_eq!(plan.generation_ended(ms(1), 0, text(2, 1), Ended::Impossible, rules(false)), Step::Wait);
    assert!(plan.abandon_open().is_empty());
    assert!(plan.place(ms(5_000), &mut stores, rules(false)).is_empty());
}

#[test]
fn a_reward_call_is_made_again_until_it_succeeds() {
    let (mut plan, _) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), Ended::Whole, rules(false));
    let mut now = ms(0);
    for _ in 0..20 {
        assert_eq!(plan.reward_ended(now, 0, RewardEnded::Other, rules(false)), Step::Wait);
        assert!(plan.due_rewards(now).is_empty(), "not at once");
        let due = plan.next_due(now).unwrap();
        assert!(due >= now + ms(20) && due <= now + ms(1_600), "{due:?} after {now:?}");
        now = due;
        assert_eq!(plan.due_rewards(now), [0]);
        assert!(plan.due_rewards(now).is_empty(), "one call at a time");
    }
    let step = plan.reward_ended(now, 0, RewardEnded::Scored("stamp".to_owned()), rules(false));
    assert!(matches!(step, Step::List(ResultRecord { completed: true, .. })));
}

#[parameterized(
    of_the_reward_route = { 5, 5 },
    not_fewer_than_of_the_items_route = { 1, 3 },
)]
fn as_many_500s_to_the_reward_call_may_end_an_item(max_attempts: u32, expected: u32) {
    let (mut plan, _) = at_store(rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), Ended::Whole, rules(false));
    let mut calls = 1;
    while plan.reward_ended(ms(0), 0, RewardEnded::Failed { times: 1, max_attempts }, rules(false))
        == Step::Wait
    {
        plan.due_rewards(ms(10_000));
        calls += 1;
    }
    assert_eq!(calls, expected);
}

#[test]
fn text_of_a_version_that_does_not_fit_is_dropped_whatever_brought_it() {
    let (mut plan, mut stores) = at_store(rules(true));
    let mut mixed = text(2, 1);
    add(&mut mixed, 3, 2);
    assert_eq!(plan.generation_ended(ms(0), 0, mixed, Ended::Whole, rules(true)), Step::Wait);
    let (_, carried) = placed_again(&mut plan, &mut stores, 0, rules(true)).unwrap();
    assert!(carried.is_empty());
}

#[test]
fn what_is_out_when_the_route_goes_is_not_given_up_under_way() {
    let mut plan = JobPlan::new(job(1, 3, 1, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 2, ..store("a", 1, 0) }];
    plan.place(ms(0), &mut stores, rules(false));
    let given_up: Vec<u32> = plan.abandon_open().iter().map(|result| result.item).collect();
    assert_eq!(given_up, [2]);
    plan.generation_ended(ms(1), 0, text(1, 1), Ended::Cut, rules(false));
    assert_eq!(plan.abandon_open().len(), 1);
    assert_eq!(plan.generation_ended(ms(1), 1, text(1, 1), Ended::Whole, rules(false)), Step::Reward);
}

#[test]
fn texts_are_given_out_for_whoever_drives_next() {
    let mut plan = JobPlan::new(job(1, 2, 1, 1), &[], 1);
    plan.place(ms(0), &mut [store("a", 1, 0)], rules(false));
    plan.generation_ended(ms(0), 0, text(2, 1), Ended::Cut, rules(false));
    plan.generation_ended(ms(0), 1, Text::default(), Ended::Cut, rules(false));
    assert_eq!(plan.take_texts(), [(0, text(2, 1))]);
}
