//! How much room a store is taken to have, and how fast it is taken to be.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{LoadingStores, Paces, Rooms};
use rollout_plan_common::ms;

const SLOTS: u32 = 12;

#[test]
fn a_store_has_room_for_its_slots_and_a_few() {
    assert_eq!(Rooms::default().limit("a", SLOTS, ms(0)), 14);
    assert_eq!(Rooms::default().limit("a", 0, ms(0)), 3, "a store that tells no slots has one");
}

#[test]
fn a_refusal_closes_a_store_for_a_moment_and_then_keeps_it_at_what_it_had() {
    let mut rooms = Rooms::default();
    rooms.refused("a", 5, ms(1_000));
    assert_eq!(rooms.limit("a", SLOTS, ms(1_000)), 0);
    assert_eq!(rooms.limit("b", SLOTS, ms(1_000)), 14, "others are not concerned");
    assert_eq!(rooms.limit("a", SLOTS, ms(1_100)), 5);
}

#[test]
fn a_store_gets_back_its_room_by_successes_and_by_time() {
    let mut rooms = Rooms::default();
    rooms.refused("a", 5, ms(0));
    rooms.succeeded("a");
    assert_eq!(rooms.limit("a", SLOTS, ms(100)), 6);
    assert_eq!(rooms.limit("a", SLOTS, ms(400)), 8);
    assert_eq!(rooms.limit("a", SLOTS, ms(10_000)), 14);
}

#[test]
fn a_store_that_has_nothing_of_this_edge_is_tried_with_one() {
    let mut rooms = Rooms::default();
    rooms.refused("a", 0, ms(0));
    assert_eq!(rooms.limit("a", SLOTS, ms(100)), 1);
}

#[test]
fn refusals_in_a_row_close_a_store_longer_up_to_a_most() {
    let mut rooms = Rooms::default();
    let mut now = ms(0);
    let mut closed = Vec::new();
    for _ in 0..8 {
        rooms.refused("a", 1, now);
        // Another that was on its way tells nothing new.
        rooms.refused("a", 1, now);
        let open =
            (0..2_000).map(|later| now + ms(later)).find(|&at| rooms.limit("a", SLOTS, at) > 0).unwrap();
        closed.push((open - now).as_millis());
        now = open;
    }
    assert_eq!(closed, [25, 50, 100, 200, 400, 400, 400, 400]);
}

#[test]
fn a_store_is_slow_by_the_time_for_one_event_until_it_is_forgotten() {
    let mut paces = Paces::default();
    for _ in 0..50 {
        for store in ["a", "b", "c"] {
            paces.seen(store, 20, ms(1_000), ms(0));
        }
        paces.seen("slow", 20, ms(4_000), ms(0));
    }
    assert!(paces.percent("a", ms(0)) < 100);
    assert!(paces.percent("slow", ms(0)) > 175, "{}", paces.percent("slow", ms(0)));
    assert_eq!(paces.percent("unknown", ms(0)), 100);
    assert!(paces.usual() > ms(50) && paces.usual() < ms(200), "{:?}", paces.usual());
    // Without news it is taken to be as fast as any before long.
    assert!(paces.percent("slow", ms(2_000)) < 175);
    assert!(paces.percent("slow", ms(10_000)) <= 100);
}

#[test]
fn a_short_text_tells_nothing_of_the_pace() {
    let mut paces = Paces::default();
    paces.seen("a", 20, ms(1_000), ms(0));
    paces.seen("b", 1, ms(4_000), ms(0));
    assert_eq!(paces.percent("b", ms(0)), 100);
}

#[test]
fn a_store_that_streams_were_taken_from_is_slow() {
    let mut paces = Paces::default();
    paces.seen("a", 20, ms(1_000), ms(0));
    paces.seen("b", 20, ms(1_000), ms(0));
    for _ in 0..3 {
        paces.seen_slow("b", 0, ms(800), ms(0));
    }
    assert!(paces.percent("b", ms(0)) > 175, "{}", paces.percent("b", ms(0)));
}

#[test]
fn a_store_that_takes_weights_is_closed_for_that_model_only_and_tried_with_one() {
    let mut loading = LoadingStores::default();
    loading.refused("a", "m", ms(0));
    assert_eq!(loading.limit("a", "m", 3, 14, ms(49)), 0);
    assert_eq!(loading.limit("a", "other", 3, 14, ms(0)), 14);
    assert_eq!(loading.limit("b", "m", 3, 14, ms(0)), 14);
    assert_eq!(loading.limit("a", "m", 3, 14, ms(50)), 4, "one more than it has");
    assert_eq!(loading.limit("a", "m", 14, 14, ms(50)), 14, "but not more than it may have");
    loading.tried("a", "m", ms(50));
    assert_eq!(loading.limit("a", "m", 4, 14, ms(60)), 0, "one is on its way");
    loading.accepted("a", "m");
    assert_eq!(loading.limit("a", "m", 4, 14, ms(60)), 14);
}

#[test]
fn a_store_that_keeps_refusing_a_model_is_tried_less_often_up_to_a_least() {
    let mut loading = LoadingStores::default();
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        loading.refused("a", "m", now);
        // Another that was on its way tells nothing new.
        loading.refused("a", "m", now);
        let later = (0..1_000).find(|&later| loading.limit("a", "m", 0, 14, now + ms(later)) > 0).unwrap();
        pauses.push(later);
        now += ms(later);
    }
    assert_eq!(pauses, [50, 100, 200, 200, 200]);
}

#[test]
fn stores_that_take_weights_are_remembered_within_bounds() {
    let mut loading = LoadingStores::default();
    for number in 0..20_000 {
        loading.refused(&format!("s{number}"), "m", ms(0));
    }
    assert_eq!(loading.limit("s0", "m", 0, 14, ms(0)), 0);
    assert_eq!(loading.limit("s19999", "m", 0, 14, ms(0)), 14, "there was no room for it");
    loading.refused("s19999", "m", ms(10_000));
    assert_eq!(loading.limit("s19999", "m", 0, 14, ms(10_000)), 0, "old ones make room");
}
