//! Parts that share calls, where a call costs the server work beside that of its parts.

mod common;

use common::{class, settings, Rig};
use gingerledge_dispatch::{Action, Class, Outcome, Settings};

const PART_MS: f64 = 100.0;

/// One shard at so many servers, and parts that usually take 100 ms, of which a call may be nearly half.
fn costly(servers: u32, call_cost_ms: f64) -> Rig {
    let set = Settings { batch: 8, call_cost_ms, reach: servers, ..settings(servers, servers, 1) };
    warm(set, servers, PART_MS)
}

fn warm(set: Settings, servers: u32, takes: f64) -> Rig {
    let mut rig = Rig::new(set, servers);
    rig.query(100, 0, &[0]);
    rig.now += takes;
    rig.end_from(0, Outcome::Success);
    rig.sent.clear();
    rig
}

#[test]
fn what_comes_while_a_call_is_out_goes_as_one_when_it_is_answered() {
    let mut rig = costly(1, 46.0);
    rig.query(1, 0, &[0]);
    assert_eq!(rig.sent.len(), 1, "nothing is out, so the first goes at once");
    for id in 2..6 {
        rig.pass(20.0);
        rig.query(id, 0, &[0]);
    }
    assert_eq!(rig.sent.len(), 1, "the others wait for company");
    rig.end_from(0, Outcome::Success);
    assert_eq!(rig.sent.len(), 5);
    assert!(rig.sent[1..].iter().all(|sent| sent.at == rig.now), "in one turn, so in one call");
}

#[test]
fn nobody_waits_for_company_beyond_its_share_of_the_aim() {
    let mut rig = costly(1, 46.0);
    rig.query(1, 0, &[0]);
    rig.query(9, 0, &[0]);
    rig.pass(295.0);
    assert_eq!(rig.sent.len(), 1);
    // One that came later shares the call that the first opens when its time is up, whatever their ids.
    rig.query(3, 0, &[0]);
    rig.pass(10.0);
    assert_eq!(rig.sent.len(), 3, "the call out is slow, and the aim draws near");
}

#[test]
fn where_calls_cost_nothing_nobody_waits() {
    let mut rig = costly(1, 0.0);
    rig.query(1, 0, &[0]);
    rig.query(2, 0, &[0]);
    assert_eq!(rig.sent.len(), 2);
}

#[test]
fn where_calls_cost_little_nobody_waits_long() {
    let mut rig = costly(1, 5.0);
    rig.query(1, 0, &[0]);
    rig.query(2, 0, &[0]);
    rig.pass(60.0);
    assert_eq!(rig.sent.len(), 2, "a twentieth of the aim, as a call is a twentieth of a part's work");
}

#[test]
fn of_replicas_with_as_few_calls_the_one_with_a_call_to_share_is_chosen() {
    for seed in 0..20 {
        let set = Settings { batch: 8, call_cost_ms: 46.0, ..settings(2, 2, 1) };
        let mut rig = Rig::seeded(seed, set, 2);
        (1..4).for_each(|id| drop(rig.arrive(id, 0, &[0])));
        rig.turn();
        let servers: Vec<_> = rig.sent.iter().map(|sent| sent.server).collect();
        assert_eq!(servers, [servers[0]; 3], "seed {seed}");
    }
}

#[test]
fn a_part_goes_at_once_to_the_replica_without_a_call_out() {
    let mut rig = costly(2, 46.0);
    rig.query(1, 0, &[0]);
    rig.query(2, 0, &[0]);
    assert_eq!(rig.sent.len(), 2);
    assert_ne!(rig.sent[0].server, rig.sent[1].server, "the fewest calls out come before company");
}

#[test]
fn a_part_that_failed_waits_for_no_company() {
    let mut rig = costly(2, 46.0);
    let out = rig.query(1, 0, &[0])[0];
    let part = rig.query(2, 0, &[0])[0];
    let failed = *rig.sent.iter().find(|sent| sent.part == part).unwrap();
    rig.end(failed, Outcome::Failure);
    rig.turn();
    let again = rig.sent.iter().rfind(|sent| sent.part == part).unwrap();
    assert_eq!((again.attempt, again.at), (1, rig.now), "beside {out}, which is still out there");
}

/// How many of 40 queries that come soon after one another are refused, after 20 that each took so long.
fn refused(set: Settings, takes: f64) -> usize {
    let mut rig = warm(set, 4, takes);
    for id in 200..220 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        rig.pass(takes);
        rig.end_from(from, Outcome::Success);
    }
    for id in 300..340 {
        rig.query(id, 0, &[0]);
        rig.pass(20.0);
    }
    rig.actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count()
}

#[test]
fn the_limit_leaves_out_of_the_aim_what_waiting_for_company_takes() {
    let set = |call_cost_ms| Settings { batch: 8, call_cost_ms, ..settings(4, 4, 1) };
    // Little more than what the limit bears of the aim, once few are late; the wait takes a third of it first.
    let takes = 330.0;
    assert_eq!(refused(set(0.0), takes), 0);
    assert!(refused(set(300.0), takes) > 0);
}

#[test]
fn the_limit_bears_as_much_more_as_the_least_share_goes_into_a_whole_answer() {
    let with =
        |minimum_share| Settings { classes: vec![Class { minimum_share, ..class() }], ..settings(4, 4, 1) };
    let takes = 700.0;
    assert_eq!(refused(with(0.3), takes), 0, "three parts in ten will do: a late one costs little");
    assert!(refused(with(0.7), takes) > 0, "seven in ten are needed");
}
