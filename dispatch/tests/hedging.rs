//! Hedged requests, and parts that move: which late parts are sent to another replica, and when.

mod common;

use common::{
    class, harness_with_latency_samples, harness_with_latency_target, harness_with_spare_parts,
    harness_without_parallel_attempts, ring_settings, withdrawals, Harness,
};
use gingerledge_dispatch::{Action, Event, Outcome, Repeat};

#[test]
fn a_late_part_is_hedged_at_another_replica() {
    let mut harness = harness_with_latency_samples();
    harness.query(1, 0, &[0]);
    let first = harness.sent.last().copied().unwrap();
    harness.advance(340.0);
    assert_eq!(
        harness.sent.last().copied().unwrap(),
        first,
        "not before the wait is long enough to make the other server twice as fast"
    );
    harness.advance(30.0);
    let hedge = harness.sent.last().copied().unwrap();
    assert_eq!((hedge.part, hedge.attempt), (first.part, 1));
    assert_ne!(hedge.server, first.server);
    harness.end_attempt(hedge, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: true }]);
}

#[test]
fn no_part_is_hedged_at_an_ejected_server() {
    // With this latency target, the ejection lasts longer than it takes until a part is hedged.
    let mut harness = harness_with_latency_target(1250.0);
    harness.query(1, 0, &[0]);
    let first = harness.sent.last().copied().unwrap();
    let other = 1 - first.server;
    for id in 2..4 {
        // The other server rejects parts, which are then sent to the first one.
        harness.query(id, 0, &[0]);
        let tried = harness.sent.iter().rfind(|sent| sent.server == other && sent.at == harness.now).copied();
        if let Some(tried) = tried {
            harness.end_attempt(tried, Outcome::Overloaded);
            harness.end_turn();
        }
    }
    // The other server is still ejected when the first part becomes late.
    let from = harness.sent.len();
    harness.now += 245.0;
    harness.end_turn();
    harness.now += 4.0;
    harness.query(9, 1, &[1]);
    let tried = harness.sent.iter().rfind(|sent| sent.server == other).copied();
    assert!(tried.is_none_or(|sent| sent.at < harness.now - 200.0), "{:?}", &harness.sent[from..]);
}

#[test]
fn a_part_without_response_from_two_replicas_gets_a_third_attempt() {
    let mut settings = ring_settings(3, 3, 3);
    settings.classes = vec![class()];
    let mut harness = Harness::new(settings, 3);
    for id in 100..110 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 1, 2]);
        harness.now += 100.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    let from = harness.sent.len();
    harness.query(1, 0, &[0]);
    harness.advance(900.0);
    let mut servers: Vec<_> = harness.sent[from..].iter().map(|sent| sent.server).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 1, 2], "one attempt at each replica, within the latency target");
}

#[test]
fn without_parallel_attempts_a_part_moves_from_an_unresponsive_server_after_half_the_latency_target() {
    for repeat in [Repeat::Safe, Repeat::Keyed] {
        let mut harness = harness_without_parallel_attempts(repeat);
        let part = harness.query(1, 0, &[0])[0];
        harness.advance(480.0);
        assert!(withdrawals(&harness).is_empty());
        harness.advance(40.0);
        assert_eq!(withdrawals(&harness), [(part, 0)], "the attempt is withdrawn once");
        assert_eq!(harness.sent.len(), 1, "no further attempt before the outcome of the first");
        let first = harness.sent[0];
        harness.end_attempt(first, Outcome::Withdrawn);
        harness.end_turn();
        assert_eq!(harness.sent.len(), 2);
        assert!(harness.answers_to(1).is_empty());
        assert_ne!(harness.sent[1].server, first.server);
    }
    let mut unsafe_part = harness_without_parallel_attempts(Repeat::Unsafe);
    unsafe_part.query(1, 0, &[0]);
    unsafe_part.advance(990.0);
    assert!(withdrawals(&unsafe_part).is_empty());
}

/// If it moved, it would have to wait again at the other server, and the work done for it so far would be
/// wasted.
#[test]
fn a_late_part_stays_at_a_server_that_has_served_since() {
    let mut harness = harness_without_parallel_attempts(Repeat::Safe);
    let part = harness.query(1, 0, &[0])[0];
    let (current, from) = (harness.sent[0].server, harness.sent.len());
    for id in 2..6 {
        // The other server serves parts as well, so that both have recent samples.
        harness.query(id, 0, &[0, 0, 0]);
        harness.advance(80.0);
        harness.end_attempts_from(harness.sent.len() - 3, Outcome::Success);
    }
    assert!(harness.sent[from..].iter().any(|sent| sent.server == current));
    harness.advance(300.0);
    assert!(withdrawals(&harness).is_empty(), "{part} moved: {:?}", withdrawals(&harness));
}

#[test]
fn a_response_that_overtakes_its_withdrawal_counts() {
    let mut harness = harness_without_parallel_attempts(Repeat::Safe);
    harness.query(1, 0, &[0]);
    harness.advance(520.0);
    assert_eq!(withdrawals(&harness).len(), 1);
    harness.end_attempts_from(0, Outcome::Success);
    assert_eq!(harness.answers_to(1), [Action::Answer { query: 1, is_complete: true }]);
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn where_any_parts_will_do_a_spare_part_replaces_a_late_one() {
    let mut harness = harness_with_spare_parts();
    harness.query(9, 1, &[0, 1, 2]);
    assert_eq!(harness.sent.len(), 2);
    let first = harness.sent[0];
    harness.end_attempt(first, Outcome::Success);
    harness.advance(520.0);
    assert_eq!(harness.sent.len(), 3, "the spare part is sent");
    harness.end_attempts_from(2, Outcome::Success);
    assert_eq!(harness.answers_to(9), [Action::Answer { query: 9, is_complete: true }]);
}

#[test]
fn a_part_does_not_move_between_two_slow_replicas() {
    let mut harness = harness_without_parallel_attempts(Repeat::Safe);
    for id in 1..4 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 0]);
        harness.now += 450.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    harness.query(9, 0, &[0, 0]);
    harness.advance(700.0);
    assert!(withdrawals(&harness).is_empty(), "{:?}", withdrawals(&harness));
}

#[test]
fn outstanding_attempts_are_withdrawn_when_their_query_is_given_up() {
    let mut harness = harness_without_parallel_attempts(Repeat::Unsafe);
    let part = harness.query(1, 0, &[0])[0];
    harness.advance(3000.0);
    assert_eq!(harness.answers_to(1), [Action::Fail { query: 1 }]);
    assert_eq!(withdrawals(&harness), [(part, 0)]);
}

#[test]
fn a_part_does_not_move_to_a_replica_without_recent_samples() {
    let mut harness = harness_without_parallel_attempts(Repeat::Safe);
    harness.advance(20_000.0);
    harness.query(1, 0, &[0]);
    harness.advance(700.0);
    assert!(withdrawals(&harness).is_empty(), "{:?}", withdrawals(&harness));
}

#[test]
fn no_part_is_hedged_between_two_slow_replicas_or_to_one_without_recent_samples() {
    let mut harness = harness_with_latency_samples();
    for id in 1..6 {
        let from = harness.sent.len();
        harness.query(id, 0, &[0, 0]);
        harness.now += 240.0;
        harness.end_attempts_from(from, Outcome::Success);
    }
    let hedged_requests = |harness: &mut Harness, id: u64, pause: f64, wait: f64| {
        harness.advance(pause);
        harness.query(id, 0, &[0]);
        let from = harness.sent.len();
        harness.advance(wait);
        harness.handle(Event::ClientGone { query: id });
        harness.sent.len() - from
    };
    assert_eq!(hedged_requests(&mut harness, 9, 5.0, 400.0), 0, "both replicas are slow");
    assert_eq!(
        hedged_requests(&mut harness_with_latency_samples(), 9, 20_000.0, 400.0),
        0,
        "the other replica has no recent sample"
    );
    assert_eq!(hedged_requests(&mut harness_with_latency_samples(), 9, 5.0, 400.0), 1);
}
