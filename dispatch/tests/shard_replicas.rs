//! Replicas that the host assigns to shards, and parts whose shard no longer exists.

mod common;

use common::{ring_settings, Harness, SentAttempt};
use gingerledge_dispatch::{Action, Class, Event, Outcome, Repeat, SuccessorPart};

fn harness_with_ring() -> Harness {
    let mut settings = ring_settings(6, 2, 6);
    settings.max_attempts = 3;
    settings.allows_parallel_attempts = false;
    settings.classes.push(Class { repeat: Repeat::Unsafe, ..common::class() });
    Harness::new(settings, 6)
}

fn assign(harness: &mut Harness, shard: u32, servers: &[u32]) {
    harness.handle(Event::ShardReplicas { shard, servers: servers.to_vec() });
}

#[test]
fn assigned_replicas_take_precedence_over_the_ring() {
    let mut harness = harness_with_ring();
    // On the ring, servers 0 and 1 hold shard 0.
    assign(&mut harness, 0, &[4, 5]);
    assign(&mut harness, 70_000, &[2]);
    for n in 0..8 {
        harness.query(n, 0, &[0, 70_000]);
    }
    assert!(harness.sent.iter().all(|sent| matches!(sent.server, 2 | 4 | 5)), "{:?}", harness.sent);
    assert_eq!(harness.sent.iter().filter(|sent| sent.server == 2).count(), 8);
    // Batch-filling applies to assigned replicas, too: the one with the fewest outstanding calls is chosen.
    let parts_at = |server| harness.sent.iter().filter(|sent| sent.server == server).count();
    assert_eq!((parts_at(4), parts_at(5)), (4, 4));
}

#[test]
fn a_replica_that_moves_gets_no_more_parts_and_its_count_stays_correct() {
    let mut harness = harness_with_ring();
    assign(&mut harness, 0, &[0, 1]);
    harness.query(2, 0, &[0]);
    let first = harness.sent[0].server;
    assign(&mut harness, 0, &[1 - first, 3]);
    for n in 10..16 {
        harness.query(n, 0, &[0]);
    }
    assert!(harness.sent[1..].iter().all(|sent| sent.server != first));
    // After the first assignment, shards without assigned replicas have none, regardless of the ring.
    let before = harness.sent.len();
    harness.query(4, 0, &[4]);
    assert_eq!(harness.sent.len(), before);
    assign(&mut harness, 4, &[2]);
    harness.end_turn();
    assert_eq!(harness.sent.last().unwrap().server, 2);
}

#[test]
fn successor_parts_inherit_the_attempts_made() {
    let mut harness = harness_with_ring();
    assign(&mut harness, 0, &[0, 1]);
    harness.query(5, 1, &[0]);
    let sent = harness.sent[0];
    // The attempt was not sent, and its shard has been split meanwhile.
    harness.end_attempt(sent, Outcome::Void);
    assign(&mut harness, 0, &[]);
    assign(&mut harness, 7, &[2]);
    assign(&mut harness, 8, &[3]);
    let successors = vec![
        SuccessorPart { id: 900, shard: 7, weight: 0.5 },
        SuccessorPart { id: 901, shard: 8, weight: 0.5 },
    ];
    harness.handle(Event::SuccessorParts { part: sent.part, successors });
    harness.end_turn();
    let after: Vec<_> = harness.sent[1..].iter().map(|sent| (sent.part, sent.server)).collect();
    assert_eq!(after, [(900, 2), (901, 3)]);
    // The answer needs both successors. The attempts of each are numbered from 1, since the part had one
    // attempt.
    let [first, second] = [1, 2].map(|n: usize| SentAttempt { attempt: 1, ..harness.sent[n] });
    harness.end_attempt(first, Outcome::Success);
    harness.end_turn();
    assert!(harness.answers_to(5).is_empty());
    harness.end_attempt(second, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(5), [Action::Answer { query: 5, is_complete: true }]);
}

#[test]
fn successors_of_an_unsafe_part_that_may_have_run_are_not_sent() {
    let mut harness = harness_with_ring();
    assign(&mut harness, 0, &[0]);
    harness.query(6, 1, &[0]);
    let sent = harness.sent[0];
    harness.end_attempt(sent, Outcome::Broken);
    assign(&mut harness, 7, &[2]);
    harness.handle(Event::SuccessorParts {
        part: sent.part,
        successors: vec![SuccessorPart { id: 900, shard: 7, weight: 1.0 }],
    });
    harness.end_turn();
    assert_eq!(harness.sent.len(), 1, "{:?}", harness.sent);
}
