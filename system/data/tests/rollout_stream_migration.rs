//! Which streams are taken from a slow store.

mod rollout_plan_common;

use gingerledge_data::rollout::plan::{observation_window, streams_to_migrate, StoreView, StreamView};
use rollout_plan_common::{ms, store};
use yare::parameterized;

const USUAL_MS: u64 = 40;
const WATCHED_MS: u64 = 800;

fn stream(item: u32, store: usize, events: u64) -> StreamView {
    StreamView { item, store: Some(store), new_events: Some(events) }
}

fn moves(streams: &[StreamView], stores: &[StoreView]) -> Vec<u32> {
    streams_to_migrate(ms(WATCHED_MS), ms(USUAL_MS), streams, stores, 1, false)
}

#[parameterized(
    as_usual = { 20, false },
    with_a_pause = { 12, false },
    half_as_fast = { 10, false },
    much_slower = { 8, true },
    silent = { 0, true },
)]
fn a_stream_of_so_many_events_is_migrated(events: u64, moved: bool) {
    let streams = [stream(0, 0, events), stream(1, 1, 20)];
    let expected: &[u32] = if moved { &[0] } else { &[] };
    assert_eq!(moves(&streams, &[store("a", 1, 1), store("b", 1, 1)]), expected);
}

#[test]
fn a_stream_that_has_not_begun_is_not_migrated() {
    let waiting = StreamView { new_events: None, ..stream(0, 0, 0) };
    assert!(moves(&[waiting], &[store("a", 1, 1), store("b", 1, 0)]).is_empty());
}

#[parameterized(
    busy = { StoreView { in_flight: 7, ..store("b", 1, 0) } },
    failing = { StoreView { is_suspect: true, ..store("b", 1, 0) } },
    slow_itself = { StoreView { interval_percent: 300, ..store("b", 1, 0) } },
    too_old = { store("b", 0, 0) },
)]
fn no_stream_migrates_to_a_store_that_is(other: StoreView) {
    assert!(moves(&[stream(0, 0, 2)], &[store("a", 1, 1), other]).is_empty());
}

#[test]
fn a_stream_of_a_removed_store_is_migrated_too() {
    let left = StreamView { store: None, ..stream(0, 0, 1) };
    assert_eq!(moves(&[left], &[store("b", 1, 0)]), [0]);
}

#[parameterized(
    of_the_same_version = { 5, &[0] },
    of_another_version = { 6, &[] },
)]
fn text_of_a_single_version_migrates_to_a_store(version: u64, expected: &[u32]) {
    let stores = [store("a", 5, 1), store("b", version, 0)];
    assert_eq!(
        streams_to_migrate(ms(WATCHED_MS), ms(USUAL_MS), &[stream(0, 0, 2)], &stores, 1, true),
        expected
    );
}

#[test]
fn no_more_streams_migrate_than_there_is_capacity_for() {
    let streams: Vec<StreamView> = (0..4).map(|item| stream(item, 0, 1)).collect();
    let other = StoreView { limit: 6, ..store("b", 1, 1) };
    assert_eq!(moves(&streams, &[store("a", 1, 4), other]).len(), 2);
}

#[test]
fn where_nearly_all_are_slow_nothing_migrates() {
    let slow: Vec<StreamView> = (0..9).map(|item| stream(item, 0, 1)).collect();
    let stores = [store("a", 1, 9), store("b", 1, 0)];
    assert!(moves(&slow, &stores).is_empty());
    let some: Vec<StreamView> = slow.into_iter().chain((9..18).map(|item| stream(item, 1, 12))).collect();
    assert_eq!(moves(&some, &[store("a", 1, 9), store("b", 1, 9), store("c", 1, 0)]).len(), 7);
}

#[test]
fn after_a_delay_of_this_process_nothing_migrates() {
    let late = observation_window(ms(USUAL_MS)) * 3;
    let stores = [store("a", 1, 1), store("b", 1, 0)];
    assert!(streams_to_migrate(late, ms(USUAL_MS), &[stream(0, 0, 0)], &stores, 1, false).is_empty());
}

#[test]
fn nothing_migrates_before_the_average_is_known() {
    let stores = [store("a", 1, 1), store("b", 1, 0)];
    assert!(streams_to_migrate(ms(WATCHED_MS), ms(0), &[stream(0, 0, 0)], &stores, 1, false).is_empty());
}
