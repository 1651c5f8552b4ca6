//! Holders that the host tells of, and parts whose shard is no more.

mod common;

use common::{settings, Rig, Sent};
use gingerledge_dispatch::{Action, Class, Event, Outcome, Repeat, SuccessorPart};

fn rig() -> Rig {
    let mut set = settings(6, 2, 6);
    set.max_attempts = 3;
    set.parallel = false;
    set.classes.push(Class { repeat: Repeat::Unsafe, ..common::class() });
    Rig::new(set, 6)
}

fn tell(rig: &mut Rig, shard: u32, servers: &[u32]) {
    rig.event(Event::Holders { shard, servers: servers.to_vec() });
}

#[test]
fn told_holders_go_before_the_ring() {
    let mut rig = rig();
    // On the ring shard 0 is held by 0 and 1.
    tell(&mut rig, 0, &[4, 5]);
    tell(&mut rig, 70_000, &[2]);
    for n in 0..8 {
        rig.query(n, 0, &[0, 70_000]);
    }
    assert!(rig.sent.iter().all(|sent| matches!(sent.server, 2 | 4 | 5)), "{:?}", rig.sent);
    assert_eq!(rig.sent.iter().filter(|sent| sent.server == 2).count(), 8);
    // The ordinary path's rule holds for them too: the fewest parts out.
    let on = |server| rig.sent.iter().filter(|sent| sent.server == server).count();
    assert_eq!((on(4), on(5)), (4, 4));
}

#[test]
fn a_holder_that_moves_gets_nothing_more_and_its_count_stays_true() {
    let mut rig = rig();
    tell(&mut rig, 0, &[0, 1]);
    rig.query(2, 0, &[0]);
    let first = rig.sent[0].server;
    tell(&mut rig, 0, &[1 - first, 3]);
    for n in 10..16 {
        rig.query(n, 0, &[0]);
    }
    assert!(rig.sent[1..].iter().all(|sent| sent.server != first));
    // Shards that nobody was told of are nobody's, ring or not.
    let before = rig.sent.len();
    rig.query(4, 0, &[4]);
    assert_eq!(rig.sent.len(), before);
    tell(&mut rig, 4, &[2]);
    rig.turn();
    assert_eq!(rig.sent.last().unwrap().server, 2);
}

#[test]
fn heirs_go_on_with_the_attempts_that_were_made() {
    let mut rig = rig();
    tell(&mut rig, 0, &[0, 1]);
    rig.query(5, 1, &[0]);
    let sent = rig.sent[0];
    // It met a fence, so it never ran; the block has split meanwhile.
    rig.end(sent, Outcome::Void);
    tell(&mut rig, 0, &[]);
    tell(&mut rig, 7, &[2]);
    tell(&mut rig, 8, &[3]);
    let heirs = vec![
        SuccessorPart { id: 900, shard: 7, weight: 0.5 },
        SuccessorPart { id: 901, shard: 8, weight: 0.5 },
    ];
    rig.event(Event::SuccessorParts { part: sent.part, successors: heirs });
    rig.turn();
    let after: Vec<_> = rig.sent[1..].iter().map(|sent| (sent.part, sent.server)).collect();
    assert_eq!(after, [(900, 2), (901, 3)]);
    // One of them in is not the whole answer. Each goes on counting where the other stopped.
    let [one, two] = [1, 2].map(|n: usize| Sent { attempt: 1, ..rig.sent[n] });
    rig.end(one, Outcome::Success);
    rig.turn();
    assert!(rig.answers(5).is_empty());
    rig.end(two, Outcome::Success);
    rig.turn();
    assert_eq!(rig.answers(5), [Action::Answer { query: 5, whole: true }]);
}

#[test]
fn heirs_of_a_part_that_may_have_run_are_not_sent() {
    let mut rig = rig();
    tell(&mut rig, 0, &[0]);
    rig.query(6, 1, &[0]);
    let sent = rig.sent[0];
    rig.end(sent, Outcome::Broken);
    tell(&mut rig, 7, &[2]);
    rig.event(Event::SuccessorParts {
        part: sent.part,
        successors: vec![SuccessorPart { id: 900, shard: 7, weight: 1.0 }],
    });
    rig.turn();
    assert_eq!(rig.sent.len(), 1, "{:?}", rig.sent);
}
