//! Batch-filling placement: the order of placements, the counts of outstanding calls, and parts that share
//! calls.

mod common;

use common::{ready, ring_settings, Harness};
use gingerledge_dispatch::{ListKind, Outcome, ServerEntry, ServerStatus};

#[test]
fn each_placement_of_a_query_raises_the_calls_counted_for_the_next() {
    // Two replicas hold all four shards, so each gets two parts, regardless of how ties are broken.
    let mut harness = Harness::new(ring_settings(2, 2, 4), 2);
    harness.query(1, 0, &[0, 1, 2, 3]);
    let parts_at = |server| harness.sent.iter().filter(|sent| sent.server == server).count();
    assert_eq!((parts_at(0), parts_at(1)), (2, 2));
}

#[test]
fn outstanding_calls_count_for_the_next_query_until_any_outcome() {
    for outcome in [Outcome::Success, Outcome::Void] {
        let mut harness = Harness::new(ring_settings(2, 2, 2), 2);
        harness.query(1, 0, &[0]);
        harness.query(2, 0, &[0]);
        assert_ne!(
            harness.sent[0].server, harness.sent[1].server,
            "the second part is sent to the idle replica"
        );
        let first = harness.sent[0];
        harness.now += 50.0;
        harness.end_attempt(first, outcome);
        harness.query(3, 0, &[0]);
        let third = harness.sent.iter().rfind(|sent| sent.part > harness.sent[1].part).unwrap();
        assert_eq!(third.server, first.server, "the count of the server was lowered by {outcome:?}");
    }
}

#[test]
fn the_part_with_the_fewest_calls_is_placed_first() {
    // Servers 0 and 1 hold shard 0, and servers 2 and 3 hold shard 2. The former have outstanding calls.
    let mut harness = Harness::new(ring_settings(4, 2, 4), 4);
    harness.query(1, 0, &[0, 0]);
    let parts = harness.query(2, 0, &[0, 2]);
    let order: Vec<_> = harness.sent[2..].iter().map(|sent| sent.part).collect();
    assert_eq!(order, [parts[1], parts[0]]);
}

#[test]
fn parts_that_share_a_call_count_once() {
    let mut settings = ring_settings(2, 2, 2);
    settings.max_parts_per_call = 4;
    let mut harness = Harness::new(settings, 2);
    let with_status = |status, server| ServerEntry { status, ..ready(server) };
    // Server 0 gets one call of four parts, then server 1 gets two calls of one part each.
    harness.update_list(ListKind::Changes, vec![with_status(ServerStatus::Draining, 1)]);
    harness.query(1, 0, &[0, 0, 0, 0]);
    harness.update_list(ListKind::Changes, vec![with_status(ServerStatus::Draining, 0), ready(1)]);
    harness.query(2, 0, &[0]);
    harness.query(3, 0, &[0]);
    harness.update_list(ListKind::Changes, vec![ready(0)]);
    harness.query(4, 0, &[0]);
    let servers: Vec<_> = harness.sent.iter().map(|sent| sent.server).collect();
    assert_eq!(servers, [0, 0, 0, 0, 1, 1, 0], "four parts of one call count less than two calls");
}

#[test]
fn a_call_carries_no_more_parts_than_allowed() {
    let mut settings = ring_settings(2, 2, 8);
    settings.max_parts_per_call = 2;
    let mut harness = Harness::new(settings, 2);
    harness.query(1, 0, &[0, 1, 2, 3, 4, 5, 6, 7]);
    let parts_at = |server| harness.sent.iter().filter(|sent| sent.server == server).count();
    assert_eq!((parts_at(0), parts_at(1)), (4, 4), "two calls of two parts each");
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(ring_settings(6, 3, 12), 6);
        for id in 1..20 {
            harness.query(id, 0, &[0, 3, 5, 7, 11]);
            harness.advance(30.0);
            if id % 3 == 0 {
                harness.end_attempts_from(harness.sent.len() - 4, Outcome::Success);
            }
        }
        harness.update_list(ListKind::Changes, vec![ready(2)]);
        harness.actions
    };
    assert_eq!(run(), run());
}
