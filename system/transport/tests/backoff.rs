//! Delays between attempts to reach one peer.

use std::time::Duration;

use gingerledge_transport::Backoff;
use yare::parameterized;

const FIRST: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(1);

#[test]
fn starts_ready() {
    assert!(Backoff::new(FIRST, LIMIT, 1).is_ready(Duration::ZERO));
}

#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_of_ones = { u64::MAX })]
fn delays_double_up_to_the_limit_and_are_at_least_half(seed: u64) {
    let mut backoff = Backoff::new(FIRST, LIMIT, seed);
    let mut now = Duration::from_secs(3);
    let mut full = FIRST;
    for failure in 0..100 {
        assert!(!backoff.on_failed(now));
        let delay = backoff.ready_at() - now;
        assert!(delay >= full / 2 && delay <= full, "seed {seed}, failure {failure}: {delay:?} of {full:?}");
        assert!(!backoff.is_ready(now) && backoff.is_ready(now + full));
        now = backoff.ready_at();
        full = (full * 2).min(LIMIT);
    }
}

#[test]
fn delays_differ_between_seeds() {
    let ready_at = |seed| {
        let mut backoff = Backoff::new(FIRST, LIMIT, seed);
        backoff.on_failed(Duration::ZERO);
        backoff.ready_at()
    };
    assert_ne!(ready_at(1), ready_at(2));
    assert_eq!(ready_at(1), ready_at(1));
}

#[test]
fn a_connection_that_lasted_resets_the_delay() {
    let mut backoff = Backoff::new(FIRST, LIMIT, 1);
    for _ in 0..10 {
        backoff.on_failed(Duration::ZERO);
    }
    backoff.on_connected(Duration::from_secs(5));
    let broken = Duration::from_secs(5) + LIMIT;
    assert!(backoff.on_failed(broken));
    assert!(backoff.is_ready(broken));
    assert!(!backoff.on_failed(broken), "the attempt that follows starts anew");
    assert!(backoff.ready_at() - broken <= FIRST);
}

#[test]
fn a_connection_that_ends_early_counts_as_a_failure() {
    let mut backoff = Backoff::new(FIRST, LIMIT, 1);
    for _ in 0..10 {
        backoff.on_failed(Duration::ZERO);
    }
    backoff.on_connected(Duration::from_secs(5));
    let broken = Duration::from_secs(5) + LIMIT - Duration::from_nanos(1);
    assert!(!backoff.on_failed(broken));
    assert!(backoff.ready_at() - broken >= LIMIT / 2);
}
