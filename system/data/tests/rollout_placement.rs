//! Where the generations of a group go.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{
    priority, GenerationOutcome, JobPlan, JobRules, NextAction, StartWindow, StepProgress, StoreView,
};
use rollout_plan_common::*;
use yare::parameterized;

/// The requests out at each store after placing one group of so many items.
fn after_placing(items: usize, mut stores: Vec<StoreView>) -> Vec<u32> {
    let mut plan = JobPlan::new(job(1, items, 1, 1), &[], 1);
    plan.place(ms(0), &mut stores, rules(false));
    stores.iter().map(|store| store.in_flight).collect()
}

#[parameterized(
    spread_evenly = { &[0, 0, 0, 0], 4, &[1, 1, 1, 1] },
    lowest_first = { &[3, 0, 2], 4, &[3, 3, 3] },
    counted_before_the_next = { &[5, 4, 0], 6, &[5, 5, 5] },
    all_at_one = { &[9, 0, 9], 8, &[9, 8, 9] },
    busy_stores_are_left_alone = { &[14, 14, 0, 0], 2, &[14, 14, 1, 1] },
)]
fn a_group_fills_the_stores_with_the_fewest_in_flight(in_flight: &[u32], items: usize, expected: &[u32]) {
    let stores = in_flight
        .iter()
        .enumerate()
        .map(|(position, &in_flight)| store(&format!("s{position}"), 1, in_flight))
        .collect();
    assert_eq!(after_placing(items, stores), expected);
}

#[test]
fn only_stores_of_an_allowed_version_are_eligible() {
    let mut stores = vec![store("old", 4, 0), store("fits", 5, 3), store("newer", 6, 3)];
    let mut plan = JobPlan::new(job(1, 4, 1, 5), &[], 1);
    plan.place(ms(0), &mut stores, rules(false));
    assert_eq!(stores.iter().map(|store| store.in_flight).collect::<Vec<_>>(), [0, 5, 5]);
}

#[test]
fn a_suspect_store_comes_last() {
    let failing = StoreView { is_suspect: true, ..store("failing", 1, 0) };
    assert_eq!(after_placing(2, vec![failing.clone(), store("busy", 1, 9)]), [0, 11]);
    assert_eq!(after_placing(2, vec![failing]), [2], "alone it is better than none");
}

#[parameterized(
    slow = { 300, &[1, 3] },
    hardly_slower = { 150, &[2, 2] },
)]
fn the_count_of_a_slow_store_weighs_more(interval_percent: u32, expected: &[u32]) {
    let slow = StoreView { interval_percent, ..store("slow", 1, 0) };
    assert_eq!(after_placing(4, vec![slow, store("usual", 1, 0)]), expected);
}

#[test]
fn ties_go_to_a_cached_prefix_and_then_to_the_own_zone() {
    for seed in 0..20 {
        let near = StoreView { is_own_zone: true, ..store("near", 1, 0) };
        let mut stores = vec![store("a", 1, 0), near, store("b", 1, 0)];
        let mut plan = JobPlan::new(job(1, 1, 1, 1), &[], seed);
        let first = plan.place(ms(0), &mut stores, rules(false));
        assert_eq!(placed(&first, &stores), [(0, "near".to_owned())], "seed {seed}");
        // The generation is cut. Another store is in the edge's zone now, but this one has read the prompt.
        let step = plan.generation_ended(ms(1), 0, text(1, 1), GenerationOutcome::Interrupted, rules(false));
        assert_eq!(step, NextAction::Wait);
        for store in &mut stores {
            (store.in_flight, store.is_own_zone) = (0, &*store.id == "a");
        }
        let second = plan.place(ms(1), &mut stores, rules(false));
        assert_eq!(placed(&second, &stores), [(0, "near".to_owned())], "seed {seed}");
    }
}

/// Two generations go to the two stores with idle connections, and only then to another one.
#[test]
fn ties_go_to_an_idle_connection_before_the_own_zone() {
    for seed in 0..20 {
        let near = StoreView { is_own_zone: true, ..store("near", 1, 0) };
        let connected = |id| StoreView { idle_connections: 1, ..store(id, 1, 0) };
        let mut stores = vec![near, connected("a"), connected("b")];
        let mut plan = JobPlan::new(job(3, 1, 3, 1), &[], seed);
        let placements = plan.place(ms(0), &mut stores, rules(false));
        let order: Vec<String> = placed(&placements, &stores).into_iter().map(|(_, store)| store).collect();
        assert_eq!(order.last().map(String::as_str), Some("near"), "seed {seed}: {order:?}");
        assert!(stores.iter().all(|store| store.idle_connections == 0), "seed {seed}");
    }
}

#[test]
fn an_idle_connection_does_not_outweigh_a_request_in_flight() {
    let connected = StoreView { idle_connections: 4, ..store("connected", 1, 1) };
    assert_eq!(after_placing(1, vec![connected, store("a", 1, 0)]), [1, 1]);
}

#[test]
fn remaining_ties_are_broken_at_random() {
    let mut met = std::collections::BTreeSet::new();
    for seed in 0..64 {
        let mut stores: Vec<_> = (0..4).map(|place| store(&format!("s{place}"), 1, 0)).collect();
        let mut plan = JobPlan::new(job(1, 1, 1, 1), &[], seed);
        met.extend(plan.place(ms(0), &mut stores, rules(false)).iter().map(|placement| placement.store));
    }
    assert_eq!(met.len(), 4);
}

#[test]
fn a_group_starts_only_with_capacity_for_all_of_it() {
    let mut plan = JobPlan::new(job(3, 4, 3, 1), &[], 1);
    let mut stores = vec![store("a", 1, 11), store("b", 1, 11)];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    let items: Vec<u32> = placements.iter().map(|placement| placement.item).collect();
    assert_eq!(items, [0, 1, 2, 3], "6 places are free: enough for the first group of 4, not for the second");
    assert!(plan.has_items_to_place(ms(0)));
    stores[0].in_flight = 8;
    assert_eq!(plan.place(ms(1), &mut stores, rules(false)).len(), 4);
}

#[test]
fn a_small_group_does_not_overtake_a_large_one() {
    let mut uneven = (*job(1, 6, 2, 1)).clone();
    uneven.items[5].group = "small".to_owned();
    let mut plan = JobPlan::new(uneven.into(), &[], 1);
    let mut stores = vec![store("a", 1, 11)];
    assert!(plan.place(ms(0), &mut stores, rules(false)).is_empty(), "3 places are free, and 5 wanted first");
    stores[0].in_flight = 8;
    assert_eq!(plan.place(ms(1), &mut stores, rules(false)).len(), 6);
}

#[test]
fn a_group_larger_than_all_capacity_is_not_starved() {
    let mut plan = JobPlan::new(job(1, 40, 1, 1), &[], 1);
    let mut stores = vec![store("a", 1, 0), store("b", 1, 0)];
    assert_eq!(plan.place(ms(0), &mut stores, rules(false)).len(), 28);
    assert_eq!(stores.iter().map(|store| store.in_flight).collect::<Vec<_>>(), [14, 14]);
    stores[1].in_flight = 10;
    assert_eq!(
        plan.place(ms(1), &mut stores, rules(false)).len(),
        4,
        "what is left of it goes as there is room"
    );
}

#[test]
fn no_more_groups_start_than_the_trainer_waits_for() {
    let mut plan = JobPlan::new(job(5, 2, 3, 1), &[], 1);
    let mut stores = vec![store("a", 1, 0)];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    assert_eq!(placements.iter().map(|placement| placement.item).collect::<Vec<_>>(), [0, 1, 2, 3, 4, 5]);
    assert!(
        !plan.has_items_to_place(ms(0)),
        "nothing is looked at again for the groups that nobody waits for"
    );
}

#[test]
fn started_groups_go_before_new_ones() {
    let mut plan = JobPlan::new(job(2, 2, 2, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 2, ..store("a", 1, 0) }];
    assert_eq!(placed(&plan.place(ms(0), &mut stores, rules(false)), &stores).len(), 2);
    plan.generation_ended(ms(1), 1, text(3, 1), GenerationOutcome::Interrupted, rules(false));
    stores[0].in_flight = 1;
    let again = plan.place(ms(1), &mut stores, rules(false));
    assert_eq!(again.iter().map(|placement| placement.item).collect::<Vec<_>>(), [1]);
    assert_eq!(again[0].text.last_event_id(), Some(3));
}

#[test]
fn a_plan_with_finished_items_places_only_the_others() {
    let mut plan = JobPlan::new(job(2, 2, 1, 1), &[0, 9], 1);
    let mut stores = vec![store("a", 1, 0)];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    let items: Vec<_> = placements.iter().map(|placement| (placement.item, placement.is_surplus)).collect();
    assert_eq!(items, [(1, false), (2, true), (3, true)], "the other group is not waited for");
}

#[test]
fn text_of_a_single_version_is_resumed_at_a_store_of_that_version_only() {
    let mut plan = JobPlan::new(job(1, 1, 1, 4), &[], 1);
    let mut stores = vec![store("newer", 6, 0), StoreView { limit: 14, ..store("same", 5, 13) }];
    plan.restore_partial_text(0, text(7, 5), rules(true));
    let placements = plan.place(ms(0), &mut stores, rules(true));
    assert_eq!(placed(&placements, &stores), [(0, "same".to_owned())]);
    assert_eq!((placements[0].required_version, placements[0].text.last_event_id()), (Some(5), Some(7)));
}

#[test]
fn text_waits_for_its_version_while_a_store_serves_it() {
    let mut plan = JobPlan::new(job(1, 1, 1, 4), &[], 1);
    plan.restore_partial_text(0, text(7, 5), rules(true));
    let mut stores = vec![store("newer", 6, 0), StoreView { limit: 2, ..store("same", 5, 2) }];
    assert!(plan.place(ms(0), &mut stores, rules(true)).is_empty());
    // No store has it any more: the text starts over.
    stores[1].version = 6;
    let placements = plan.place(ms(1), &mut stores, rules(true));
    assert_eq!((placements[0].required_version, placements[0].text.last_event_id()), (None, None));
}

#[test]
fn text_of_several_versions_is_resumed_anywhere_where_the_route_allows_it() {
    let mut plan = JobPlan::new(job(1, 1, 1, 4), &[], 1);
    let mut mixed = text(2, 5);
    add(&mut mixed, 3, 6);
    plan.restore_partial_text(0, mixed, rules(false));
    let mut stores = vec![store("old", 3, 0), store("newer", 7, 5)];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    assert_eq!(placed(&placements, &stores), [(0, "newer".to_owned())]);
    assert_eq!((placements[0].required_version, placements[0].text.last_event_id()), (None, Some(3)));
}

#[parameterized(
    too_old = { 3, 3, false },
    two_versions_where_one_is_allowed = { 5, 6, true },
)]
fn kept_text_whose_versions_do_not_fit_is_not_used(first: u64, second: u64, single: bool) {
    let mut plan = JobPlan::new(job(1, 1, 1, 4), &[], 1);
    let mut kept = text(2, first);
    add(&mut kept, 3, second);
    plan.restore_partial_text(0, kept, rules(single));
    let placements = plan.place(ms(0), &mut [store("a", 6, 0)], rules(single));
    assert_eq!(placements[0].text.last_event_id(), None);
}

#[test]
fn items_without_a_group_form_their_own() {
    let mut lone = (*job(1, 3, 3, 1)).clone();
    lone.items.iter_mut().for_each(|item| item.group.clear());
    let mut plan = JobPlan::new(lone.into(), &[], 1);
    let mut stores = vec![StoreView { limit: 2, ..store("a", 1, 0) }];
    assert_eq!(plan.place(ms(0), &mut stores, rules(false)).len(), 2);
}

#[test]
fn without_known_stores_nothing_is_placed_or_discarded() {
    let mut plan = JobPlan::new(job(1, 1, 1, 4), &[], 1);
    plan.restore_partial_text(0, text(7, 5), rules(true));
    assert!(plan.place(ms(0), &mut [], rules(true)).is_empty());
    let placements = plan.place(ms(1), &mut [store("same", 5, 0)], rules(true));
    assert_eq!(placements[0].text.last_event_id(), Some(7));
}

#[test]
fn surplus_groups_start_in_spare_capacity_only() {
    // Two groups of four are waited for, of three.
    let mut plan = JobPlan::new(job(3, 4, 2, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 16, ..store("a", 1, 0) }];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    assert_eq!(placements.len(), 8, "half of the room has to stay free");
    assert!(placements.iter().all(|placement| !placement.is_surplus));
    assert!(!plan.has_items_to_place(ms(0)), "nobody waits for the third");
    assert!(plan.has_unstarted_groups());
    stores[0].in_flight = 5;
    assert!(plan.place(ms(1), &mut stores, rules(false)).is_empty());
    stores[0].in_flight = 4;
    let placements = plan.place(ms(2), &mut stores, rules(false));
    assert_eq!(placements.len(), 4);
    assert!(placements.iter().all(|placement| placement.is_surplus));
    assert!(!plan.has_unstarted_groups());
}

#[parameterized(carries_them = { 12, 4 }, is_too_small = { 11, 0 })]
fn an_edge_begins_spare_groups_only_if_it_carries_their_streams(
    max_streams_for_surplus: u32,
    expected: usize,
) {
    let mut plan = JobPlan::new(job(3, 4, 2, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let rules = JobRules { max_streams_for_surplus, ..rules(false) };
    let placements = plan.place(ms(0), &mut stores, rules);
    assert_eq!(placements.iter().filter(|placement| !placement.is_surplus).count(), 8);
    assert_eq!(placements.iter().filter(|placement| placement.is_surplus).count(), expected);
}

#[test]
fn an_edge_starts_no_more_groups_than_it_carries_streams() {
    let mut plan = JobPlan::new(job(3, 4, 3, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let rules = JobRules { max_streams: 11, ..rules(false) };
    assert_eq!(plan.place(ms(0), &mut stores, rules).len(), 8, "a third group would be a twelfth stream");
    assert!(plan.has_items_to_place(ms(0)), "it waits for streams to end");
    stores[0].in_flight = 7;
    let placements = plan.place(ms(10), &mut stores, rules);
    assert_eq!(placements.iter().map(|placement| placement.item).collect::<Vec<_>>(), [8, 9, 10, 11]);
}

/// Four groups are due to start in the first second: one of them after each quarter, whatever the edge carries.
#[parameterized(
    at_once = { 0, 4 },
    before_the_second_is_due = { 499, 4 },
    second = { 500, 8 },
    third = { 750, 12 },
    all = { 1_000, 16 },
)]
fn groups_start_when_they_are_due_whatever_the_edge_carries(milliseconds: u64, expected: usize) {
    let mut plan = JobPlan::new(job(4, 4, 4, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let start_window = StartWindow { duration: ms(1_000), end: ms(1_000) };
    let rules = JobRules { max_streams: 4, start_window, ..rules(false) };
    let first = plan.place(ms(0), &mut stores, rules).len();
    let then = plan.place(ms(milliseconds), &mut stores, rules).len();
    assert_eq!(first + then, expected);
}

/// Streams that were cut go on at once: their groups have started, and their items count among those in flight already.
#[test]
fn items_of_a_started_group_go_on_whatever_the_edge_carries() {
    let mut plan = JobPlan::new(job(1, 2, 1, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let rules = JobRules { max_streams: 2, ..rules(false) };
    plan.place(ms(0), &mut stores, rules);
    plan.generation_ended(ms(1), 1, text(3, 1), GenerationOutcome::Interrupted, rules);
    stores[0].in_flight = 50;
    assert_eq!(placed(&plan.place(ms(1), &mut stores, rules), &stores), [(1, "a".to_owned())]);
}

#[parameterized(alone = { 0, 4 }, beside_others = { 1, 0 })]
fn a_group_larger_than_what_an_edge_carries_starts_alone(in_flight: u32, expected: usize) {
    let mut plan = JobPlan::new(job(1, 4, 1, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, in_flight) }];
    let rules = JobRules { max_streams: 3, ..rules(false) };
    assert_eq!(plan.place(ms(0), &mut stores, rules).len(), expected);
}

/// The same bound on waiting holds for the groups that the trainer waits for.
#[parameterized(not_yet = { 2_900, 0 }, in_time = { 3_000, 4 })]
fn no_group_waits_long_for_streams_of_the_edge_to_end(milliseconds: u64, expected: usize) {
    let mut plan = JobPlan::new(job(2, 4, 2, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let rules = JobRules { max_streams: 4, ..rules(false) };
    let begun = 60_000;
    assert_eq!(plan.place(ms(begun), &mut stores, rules).len(), 4);
    assert_eq!(plan.place(ms(begun + milliseconds), &mut stores, rules).len(), expected);
}

/// The pages allow no item to rest for five seconds beside stores that are half empty.
#[parameterized(not_yet = { 2_900, 0 }, in_time = { 3_000, 4 })]
fn an_edge_that_carries_many_streams_lets_no_group_rest_for_long(milliseconds: u64, expected: usize) {
    let mut plan = JobPlan::new(job(3, 4, 2, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let rules = JobRules { max_streams_for_surplus: 8, ..rules(false) };
    let begun = 60_000;
    assert_eq!(plan.place(ms(begun), &mut stores, rules).len(), 8);
    let placements = plan.place(ms(begun + milliseconds), &mut stores, rules);
    assert_eq!(placements.iter().filter(|placement| placement.is_surplus).count(), expected);
}

#[test]
fn where_all_groups_are_waited_for_none_is_surplus() {
    let mut plan = JobPlan::new(job(3, 4, 3, 1), &[], 1);
    let mut stores = vec![StoreView { limit: 100, ..store("a", 1, 0) }];
    let placements = plan.place(ms(0), &mut stores, rules(false));
    assert_eq!(placements.len(), 12);
    assert!(placements.iter().all(|placement| !placement.is_surplus));
}

/// A step of 10 groups that is due 10 s after it was asked for is expected to need 600 ms for each group.
#[parameterized(
    past = { 0, 10, false, 1 },
    past_and_all_whole = { 0, 0, false, 1 },
    just_begun = { 10_000, 10, false, 4 },
    on_its_pace = { 5_200, 5, false, 2 },
    ahead = { 8_600, 5, false, 5 },
    nothing_left = { 5_600, 0, false, 5 },
    hardly_any_slack = { 7_000, 10, false, 1 },
    a_little_slack = { 8_000, 10, false, 2 },
    some_slack = { 9_000, 10, false, 3 },
    spare = { 0, 10, true, 8 },
)]
fn what_has_less_slack_goes_first_at_the_stores(
    time_left: u64,
    groups_left: usize,
    is_surplus: bool,
    expected: u8,
) {
    let progress = StepProgress {
        time_left: ms(time_left),
        target_completion: ms(10_000),
        groups_left,
        desired_groups: 10,
    };
    assert_eq!(priority(progress, is_surplus), expected);
}

/// Of two steps that were just asked for, the one that is due sooner goes first.
#[test]
fn a_step_with_a_short_target_goes_before_one_with_a_long_one() {
    let of = |target: u64| {
        let progress = StepProgress {
            time_left: ms(target),
            target_completion: ms(target),
            groups_left: 9,
            desired_groups: 9,
        };
        priority(progress, false)
    };
    assert!(of(4_000) < of(11_000) && of(11_000) < of(20_000));
}
