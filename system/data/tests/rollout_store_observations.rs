//! How much room a store is taken to have, and how fast it is taken to be.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{ProgressRates, StoreCapacities, WeightLoadingStores};
use rollout_plan_common::ms;

const SLOTS: u32 = 12;

#[test]
fn a_store_has_capacity_for_its_slots_and_a_few() {
    assert_eq!(StoreCapacities::default().limit("a", SLOTS, ms(0)), 14);
    assert_eq!(StoreCapacities::default().limit("a", 0, ms(0)), 3, "a store that tells no slots has one");
}

#[test]
fn a_rejection_starts_a_backoff_and_then_limits_a_store_to_what_it_had() {
    let mut capacities = StoreCapacities::default();
    capacities.on_rejected("a", 5, ms(1_000));
    assert_eq!(capacities.limit("a", SLOTS, ms(1_000)), 0);
    assert_eq!(capacities.limit("b", SLOTS, ms(1_000)), 14, "others are not concerned");
    assert_eq!(capacities.limit("a", SLOTS, ms(1_100)), 5);
}

#[test]
fn a_store_regains_capacity_by_completions_and_by_time() {
    let mut capacities = StoreCapacities::default();
    capacities.on_rejected("a", 5, ms(0));
    capacities.on_completed("a");
    assert_eq!(capacities.limit("a", SLOTS, ms(100)), 6);
    assert_eq!(capacities.limit("a", SLOTS, ms(400)), 8);
    assert_eq!(capacities.limit("a", SLOTS, ms(10_000)), 14);
}

#[test]
fn a_store_without_requests_of_this_edge_is_probed_with_one() {
    let mut capacities = StoreCapacities::default();
    capacities.on_rejected("a", 0, ms(0));
    assert_eq!(capacities.limit("a", SLOTS, ms(100)), 1);
}

#[test]
fn rejections_in_a_row_double_the_backoff_up_to_a_bound() {
    let mut capacities = StoreCapacities::default();
    let mut now = ms(0);
    let mut closed = Vec::new();
    for _ in 0..8 {
        capacities.on_rejected("a", 1, now);
        // Another that was on its way tells nothing new.
        capacities.on_rejected("a", 1, now);
        let open =
            (0..2_000).map(|later| now + ms(later)).find(|&at| capacities.limit("a", SLOTS, at) > 0).unwrap();
        closed.push((open - now).as_millis());
        now = open;
    }
    assert_eq!(closed, [25, 50, 100, 200, 400, 400, 400, 400]);
}

#[test]
fn a_slow_store_approaches_the_average_without_samples() {
    let mut rates = ProgressRates::default();
    for _ in 0..50 {
        for store in ["a", "b", "c"] {
            rates.record_generation(store, 20, ms(1_000), ms(0));
        }
        rates.record_generation("slow", 20, ms(4_000), ms(0));
    }
    assert!(rates.interval_percent("a", ms(0)) < 100);
    assert!(rates.interval_percent("slow", ms(0)) > 175, "{}", rates.interval_percent("slow", ms(0)));
    assert_eq!(rates.interval_percent("unknown", ms(0)), 100);
    assert!(
        rates.average_interval() > ms(50) && rates.average_interval() < ms(200),
        "{:?}",
        rates.average_interval()
    );
    // Without news it is taken to be as fast as any before long.
    assert!(rates.interval_percent("slow", ms(2_000)) < 175);
    assert!(rates.interval_percent("slow", ms(10_000)) <= 100);
}

#[test]
fn a_short_text_is_no_sample_of_the_rate() {
    let mut rates = ProgressRates::default();
    rates.record_generation("a", 20, ms(1_000), ms(0));
    rates.record_generation("b", 1, ms(4_000), ms(0));
    assert_eq!(rates.interval_percent("b", ms(0)), 100);
}

#[test]
fn a_store_whose_streams_were_migrated_is_slow() {
    let mut rates = ProgressRates::default();
    rates.record_generation("a", 20, ms(1_000), ms(0));
    rates.record_generation("b", 20, ms(1_000), ms(0));
    for _ in 0..3 {
        rates.record_migration("b", 0, ms(800), ms(0));
    }
    assert!(rates.interval_percent("b", ms(0)) > 175, "{}", rates.interval_percent("b", ms(0)));
}

#[test]
fn a_store_that_loads_weights_is_probed_for_that_model_only() {
    let mut loading = WeightLoadingStores::default();
    loading.on_rejected("a", "m", ms(0));
    assert_eq!(loading.limit("a", "m", 3, 14, ms(49)), 0);
    assert_eq!(loading.limit("a", "other", 3, 14, ms(0)), 14);
    assert_eq!(loading.limit("b", "m", 3, 14, ms(0)), 14);
    assert_eq!(loading.limit("a", "m", 3, 14, ms(50)), 4, "one more than it has");
    assert_eq!(loading.limit("a", "m", 14, 14, ms(50)), 14, "but not more than it may have");
    loading.on_sent("a", "m", ms(50));
    assert_eq!(loading.limit("a", "m", 4, 14, ms(60)), 0, "one is on its way");
    loading.on_accepted("a", "m");
    assert_eq!(loading.limit("a", "m", 4, 14, ms(60)), 14);
}

#[test]
fn repeated_rejections_of_a_model_double_the_backoff_up_to_a_bound() {
    let mut loading = WeightLoadingStores::default();
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        loading.on_rejected("a", "m", now);
        // Another that was on its way tells nothing new.
        loading.on_rejected("a", "m", now);
        let later = (0..1_000).find(|&later| loading.limit("a", "m", 0, 14, now + ms(later)) > 0).unwrap();
        pauses.push(later);
        now += ms(later);
    }
    assert_eq!(pauses, [50, 100, 200, 200, 200]);
}

#[test]
fn stores_that_load_weights_are_remembered_within_bounds() {
    let mut loading = WeightLoadingStores::default();
    for number in 0..20_000 {
        loading.on_rejected(&format!("s{number}"), "m", ms(0));
    }
    assert_eq!(loading.limit("s0", "m", 0, 14, ms(0)), 0);
    assert_eq!(loading.limit("s19999", "m", 0, 14, ms(0)), 14, "there was no room for it");
    loading.on_rejected("s19999", "m", ms(10_000));
    assert_eq!(loading.limit("s19999", "m", 0, 14, ms(10_000)), 0, "old ones make room");
}
