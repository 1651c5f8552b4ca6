//! Tests of the ages of batch jobs: they are measured only by monotonic clocks, sent to the next driver, preserved across restarts,
//! and never too high.

mod common;

use std::time::Duration;

use common::single_backend::{
    address, append, create, end, renew, SingleBackend, EDGE, NEXT_INCARNATION, PARTITION,
};
use gingerledge_wire::JobsMessage;
use yare::parameterized;

/// Age of the batch job in the last assignment sent, in milliseconds.
fn assigned_age(host: &SingleBackend) -> Option<u64> {
    let mut ages = host.sent.iter().filter_map(|message| match message {
        JobsMessage::AssignDriver { age_ms, .. } => Some(*age_ms),
        _ => None,
    });
    ages.next_back()
}

/// Whether the batch job is stored.
fn is_stored(host: &SingleBackend) -> bool {
    host.backend.partition(PARTITION).is_some_and(|partition| partition.store().job("j").is_some())
}

#[parameterized(open = { false, 300_000, true }, ended_and_young = { true, 100_000, true }, ended_and_old = { true, 140_000, false })]
fn only_an_ended_job_whose_retention_is_over_is_deleted(ended: bool, elapsed_ms: u64, is_retained: bool) {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    if ended {
        host.request(end());
    }
    host.advance(elapsed_ms);
    assert_eq!(is_stored(&host), is_retained);
}

#[test]
fn the_next_driver_receives_the_age_of_the_job() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    for _ in 0..20 {
        host.advance(1_000);
        host.request(renew(1));
    }
    host.edge_is_reachable(NEXT_INCARNATION, address(EDGE));
    host.advance(1_600);
    let age = assigned_age(&host).unwrap();
    assert!((20_000..=21_600).contains(&age), "{age}");
}

#[test]
fn after_a_restart_an_age_is_at_least_the_one_that_a_command_carried() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    for _ in 0..10 {
        host.advance(1_000);
        host.request(renew(1));
    }
    host.request(append(1, 0));
    host.advance(1_000);
    // The monotonic clock of the next incarnation starts at another value.
    host.now = Duration::from_secs(1_000_000);
    host.restart();
    host.edge_is_reachable(NEXT_INCARNATION, address(EDGE));
    let age = assigned_age(&host).unwrap();
    assert!((10_000..=11_000).contains(&age), "{age}");
}

#[test]
fn an_ended_job_is_deleted_in_spite_of_repeated_restarts() {
    let mut host = SingleBackend::new(0);
    host.request(create(10));
    host.request(end());
    let mut elapsed_s = 0;
    while is_stored(&host) {
        assert!(elapsed_s < 600, "not deleted after {elapsed_s} s: each restart loses the age");
        host.advance(40_000);
        elapsed_s += 40;
        host.restart();
    }
    assert!(elapsed_s >= 130, "deleted after {elapsed_s} s");
}
