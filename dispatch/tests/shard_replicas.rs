//! Holders that the host tells of, and parts whose shard is no more.

mod common;

use common::{settings, Harness, Sent};
use gingerledge_dispatch::{Action, Class, Event, Outcome, Repeat, SuccessorPart};

fn harness() -> Harness {
    let mut set = settings(6, 2, 6);
    set.max_attempts = 3;
    set.allows_parallel_attempts = false;
    set.classes.push(Class { repeat: Repeat::Unsafe, ..common::class() });
    Harness::new(set, 6)
}

fn assign(harness: &mut Harness, shard: u32, servers: &[u32]) {
    harness.handle(Event::ShardReplicas { shard, servers: servers.to_vec() });
}

#[test]
fn assigned_replicas_take_precedence_over_the_ring() {
    let mut harness = harness();
    // On the ring shard 0 is held by 0 and 1.
    assign(&mut harness, 0, &[4, 5]);
    assign(&mut harness, 70_000, &[2]);
    for n in 0..8 {
        harness.query(n, 0, &[0, 70_000]);
    }
    assert!(harness.sent.iter().all(|sent| matches!(sent.server, 2 | 4 | 5)), "{:?}", harness.sent);
    assert_eq!(harness.sent.iter().filter(|sent| sent.server == 2).count(), 8);
    // The ordinary path's rule holds for them too: the fewest outstanding parts.
    let on = |server| harness.sent.iter().filter(|sent| sent.server == server).count();
    assert_eq!((on(4), on(5)), (4, 4));
}

#[test]
fn a_replica_that_moves_gets_no_more_parts_and_its_count_stays_correct() {
    let mut harness = harness();
    assign(&mut harness, 0, &[0, 1]);
    harness.query(2, 0, &[0]);
    let first = harness.sent[0].server;
    assign(&mut harness, 0, &[1 - first, 3]);
    for n in 10..16 {
        harness.query(n, 0, &[0]);
    }
    assert!(harness.sent[1..].iter().all(|sent| sent.server != first));
    // Shards that nobody was told of are nobody's, ring or not.
    let before = harness.sent.len();
    harness.query(4, 0, &[4]);
    assert_eq!(harness.sent.len(), before);
    assign(&mut harness, 4, &[2]);
    harness.end_turn();
    assert_eq!(harness.sent.last().unwrap().server, 2);
}

#[test]
fn successor_parts_inherit_the_attempts_made() {
    let mut harness = harness();
    assign(&mut harness, 0, &[0, 1]);
    harness.query(5, 1, &[0]);
    let sent = harness.sent[0];
    // It met a fence, so it never ran; the block has split meanwhile.
    harness.end_attempt(sent, Outcome::Void);
    assign(&mut harness, 0, &[]);
    assign(&mut harness, 7, &[2]);
    assign(&mut harness, 8, &[3]);
    let heirs = vec![
        SuccessorPart { id: 900, shard: 7, weight: 0.5 },
        SuccessorPart { id: 901, shard: 8, weight: 0.5 },
    ];
    harness.handle(Event::SuccessorParts { part: sent.part, successors: heirs });
    harness.end_turn();
    let after: Vec<_> = harness.sent[1..].iter().map(|sent| (sent.part, sent.server)).collect();
    assert_eq!(after, [(900, 2), (901, 3)]);
    // One of them in is not the whole answer. Each goes on counting where the other stopped.
    let [one, two] = [1, 2].map(|n: usize| Sent { attempt: 1, ..harness.sent[n] });
    harness.end_attempt(one, Outcome::Success);
    harness.end_turn();
    assert!(harness.answers_to(5).is_empty());
    harness.end_attempt(two, Outcome::Success);
    harness.end_turn();
    assert_eq!(harness.answers_to(5), [Action::Answer { query: 5, is_complete: true }]);
}

#[test]
fn successors_of_an_unsafe_part_that_may_have_run_are_not_sent() {
    let mut harness = harness();
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
