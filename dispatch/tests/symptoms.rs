//! Kinds of trouble, by symptom: one defence each.
#![allow(clippy::unnecessary_to_owned)] // the copy frees the rig for `end`

mod common;

use common::{class, ready, settings, Rig};
use gingerledge_dispatch::{Action, Class, Entry, Event, ListKind, Outcome, Repeat, Settings, Status};

/// Two servers that hold every shard, and a usual latency of 100 ms learned from both.
fn warm() -> Rig {
    warm_for(1000.0)
}

fn warm_for(latency_target_ms: f64) -> Rig {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class { latency_target_ms, ..class() }; 2];
    let mut rig = Rig::new(set, 2);
    for id in 100..110 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0, 1]);
        rig.query(id + 100, 1, &[0, 1]);
        rig.now += 100.0;
        rig.end_from(from, Outcome::Success);
    }
    rig
}

fn last(rig: &Rig) -> gingerledge_dispatch::ServerId {
    rig.sent.last().unwrap().server
}

#[test]
fn a_server_that_fails_at_once_is_not_the_least_loaded_for_long() {
    let mut rig = warm();
    let (mut failing, mut total) = (0, 0);
    for id in 1..=20 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        for sent in rig.sent[from..].to_vec() {
            total += 1;
            failing += usize::from(sent.server == 0);
            rig.end(sent, if sent.server == 0 { Outcome::Unreachable } else { Outcome::Success });
        }
        rig.turn();
        rig.now += 20.0;
    }
    assert!(failing <= 3, "{failing} of {total} went to the failing server");
}

#[test]
fn an_error_in_one_class_keeps_the_server_for_the_others() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    let bad = rig.sent.last().copied().unwrap();
    rig.end(bad, Outcome::Failure);
    rig.turn();
    let again = rig.sent.last().copied().unwrap();
    assert_ne!(again.server, bad.server);
    // The other server now holds one part more, so the other class's next goes by count.
    rig.query(2, 1, &[0]);
    assert_eq!(last(&rig), bad.server);
}

#[test]
fn a_suspected_server_gets_one_trial_and_is_trusted_after_a_success() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    let bad = rig.sent.last().copied().unwrap();
    rig.end(bad, Outcome::Overloaded);
    rig.now += 300.0;
    rig.query(2, 0, &[0]);
    rig.query(3, 0, &[0]);
    rig.query(4, 0, &[0]);
    let trials: Vec<_> =
        rig.sent.iter().filter(|s| s.at == rig.now && s.server == bad.server).copied().collect();
    assert_eq!(trials.len(), 1, "one part at a time");
    rig.now += 100.0;
    rig.end(trials[0], Outcome::Success);
    let from = rig.sent.len();
    for id in 5..9 {
        rig.query(id, 0, &[0]);
    }
    assert!(rig.sent[from..].iter().filter(|s| s.server == bad.server).count() >= 2);
}

#[test]
fn a_silent_server_is_avoided_before_its_time_outs() {
    let mut rig = warm();
    let from = rig.sent.len();
    rig.query(1, 0, &[0, 1]);
    let silent = rig.sent[from].server;
    for sent in rig.sent[from..].to_vec() {
        if sent.server != silent {
            rig.now += 100.0;
            rig.end(sent, Outcome::Success);
        }
    }
    rig.now += 500.0;
    // One part is out on each now, but the silent one's has been out for six usual latencies.
    rig.query(2, 0, &[0]);
    rig.query(3, 0, &[0]);
    assert!(rig.sent.iter().filter(|s| s.at == rig.now).all(|s| s.server != silent));
}

#[test]
fn a_slower_server_loses_ties_and_then_counts_for_more() {
    let mut rig = warm();
    for id in 1..=8 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0, 1]);
        for sent in rig.sent[from..].to_vec() {
            let slow = if sent.server == 0 { 300.0 } else { 100.0 };
            rig.now = sent.at + slow;
            rig.end(sent, Outcome::Success);
        }
        rig.turn();
    }
    let from = rig.sent.len();
    rig.query(50, 0, &[0]);
    rig.query(51, 0, &[0]);
    assert!(rig.sent[from..].iter().all(|s| s.server == 1), "two on the quick one weigh less than one on 0");
}

#[test]
fn a_part_that_is_late_gets_a_second_copy_elsewhere() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    let first = rig.sent.last().copied().unwrap();
    rig.pass(340.0);
    assert_eq!(rig.sent.last().copied().unwrap(), first, "not before its silence doubles the other's pace");
    rig.pass(30.0);
    let copy = rig.sent.last().copied().unwrap();
    assert_eq!((copy.part, copy.attempt), (first.part, 1));
    assert_ne!(copy.server, first.server);
    rig.end(copy, Outcome::Success);
    rig.turn();
    assert_eq!(rig.answers(1), [Action::Answer { query: 1, whole: true }]);
}

#[test]
fn a_shard_with_one_suspected_replica_is_still_served() {
    let mut rig = Rig::new(settings(1, 1, 1), 1);
    rig.query(1, 0, &[0]);
    rig.end_from(0, Outcome::Failure);
    rig.query(2, 0, &[0]);
    assert!(rig.sent.iter().any(|sent| sent.attempt == 0 && sent.part == 1002));
}

#[test]
fn a_restart_on_the_list_clears_suspicion_and_counts_as_cold() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    let bad = rig.sent.last().copied().unwrap();
    rig.end(bad, Outcome::Broken);
    rig.turn();
    rig.list(ListKind::Changes, vec![Entry { since: rig.now, ..ready(bad.server) }]);
    let from = rig.sent.len();
    for id in 2..14 {
        rig.query(id, 0, &[0]);
    }
    let sent = rig.sent[from..].iter().filter(|s| s.server == bad.server).count();
    assert!((1..=2).contains(&sent), "a cold server's count weighs more, but it is used: {sent}");
}

#[test]
fn a_burst_far_beyond_capacity_is_refused_at_once_with_advice() {
    let mut rig = warm();
    let mut refused = 0;
    let mut id = 1;
    for _ in 0..60 {
        let from = rig.sent.len();
        for _ in 0..4 {
            rig.query(id, 0, &[0, 1]);
            refused += rig.answers(id).iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
            if let [Action::Refuse { retry_after_ms, .. }] = rig.answers(id)[..] {
                assert!((100.0..=500.0).contains(&retry_after_ms), "{retry_after_ms}");
            }
            id += 1;
        }
        rig.pass(900.0);
        rig.end_from(from, Outcome::Success);
    }
    assert!(refused > 20, "{refused} of {id}");
}

#[test]
fn under_pressure_a_partial_class_drops_its_lightest_parts_first() {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class { minimum_share: 0.3, ..class() }];
    let mut rig = Rig::new(set, 2);
    let mut least = usize::MAX;
    for id in 1..200 {
        let from = rig.sent.len();
        let deadline = rig.now + 3000.0;
        let (number, class, parts) = (id, 0, 4);
        rig.event(Event::Query { id, number, class, tenant: None, deadline, parts, repeated: false });
        for (k, weight) in [0.1, 0.5, 0.1, 0.3].into_iter().enumerate() {
            let id = 10_000 * id + k as u64;
            rig.event(Event::Part { id, number, shard: k as u32 % 2, weight, cost_ms: None });
        }
        rig.turn();
        let sent: Vec<_> = rig.sent[from..].iter().filter(|s| s.part / 10_000 == id).collect();
        if !sent.is_empty() && sent.len() < 4 {
            assert!(sent.iter().any(|s| s.part % 10_000 == 1), "the heaviest is kept");
            least = least.min(sent.len());
        }
        rig.pass(250.0);
        for sent in rig.sent.clone() {
            if sent.at <= rig.now - 1390.0 && sent.at > rig.now - 1640.0 {
                rig.end(sent, Outcome::Success);
            }
        }
        rig.turn();
    }
    assert!(least < 4, "some query was sent without its lightest parts");
}

#[test]
fn odd_events_are_survived() {
    let mut rig = warm();
    rig.event(Event::ClientGone { query: 999 });
    rig.event(Event::Timer { token: 77 });
    let (part, attempt, server) = (424_242, 3, 9);
    let outcome = Outcome::Success;
    rig.event(Event::Outcome { part, attempt, server, wait_ms: 1.0, outcome, report: vec![1.0] });
    rig.event(Event::ProbeResult { server, outcome, wait_ms: 1.0, report: Vec::new() });
    rig.event(Event::Part { id: 5, number: 404, shard: u32::MAX, weight: f64::NAN, cost_ms: None });
    rig.list(ListKind::Complete, Vec::new());
    rig.query(1, 0, &[0, 7_000_000]);
    rig.event(Event::Query {
        id: 2,
        number: 2,
        class: 99,
        tenant: Some(42),
        deadline: -1.0,
        parts: 0,
        repeated: true,
    });
    rig.turn();
    rig.pass(3000.0);
    assert_eq!(rig.answers(1).len(), 1);
    assert_eq!(rig.answers(2), [Action::Fail { query: 2 }]);
}

#[test]
fn no_second_copy_goes_to_a_distrusted_server() {
    // Kept out for longer than a copy waits.
    let mut rig = warm_for(1250.0);
    rig.query(1, 0, &[0]);
    let first = rig.sent.last().copied().unwrap();
    let other = 1 - first.server;
    for id in 2..4 {
        // The other server turns work away; what failed goes to the first one.
        rig.query(id, 0, &[0]);
        let tried = rig.sent.iter().rfind(|sent| sent.server == other && sent.at == rig.now).copied();
        if let Some(tried) = tried {
            rig.end(tried, Outcome::Overloaded);
            rig.turn();
        }
    }
    // Still kept out when the first part becomes late.
    let from = rig.sent.len();
    rig.now += 245.0;
    rig.turn();
    rig.now += 4.0;
    rig.query(9, 1, &[1]);
    let tried = rig.sent.iter().rfind(|sent| sent.server == other).copied();
    assert!(tried.is_none_or(|sent| sent.at < rig.now - 200.0), "{:?}", &rig.sent[from..]);
}

/// Two servers without second copies; a part is out at either, of class 0 at server 0 first.
fn two_out(latency_target_ms: f64) -> Rig {
    let mut set = settings(2, 2, 2);
    set.classes = vec![Class {
        latency_target_ms,
        deadline_ms: 4.0 * latency_target_ms,
        repeat: Repeat::Unsafe,
        ..class()
    }];
    set.parallel = false;
    let mut rig = Rig::new(set, 2);
    rig.query(1, 0, &[0]);
    rig.query(2, 0, &[0]);
    assert_ne!(rig.sent[0].server, rig.sent[1].server);
    rig
}

/// Where it may not, its load goes to the next replica, which is late in turn and kept out, and so on.
#[test]
fn a_server_that_answers_late_is_not_kept_out() {
    for outcome in [Outcome::TimedOut, Outcome::Withdrawn] {
        let mut rig = two_out(1000.0);
        let (late, other) = (rig.sent[0], rig.sent[1]);
        rig.query(3, 0, &[0]);
        rig.query(4, 0, &[0]);
        let both: Vec<_> = rig.sent[2..].to_vec();
        let next = both.iter().find(|sent| sent.server == late.server).copied().unwrap();
        rig.now += 100.0;
        rig.end(next, Outcome::Success);
        rig.now += 10.0;
        rig.end(late, outcome);
        rig.turn();
        // It has no part out now, the other server two.
        rig.query(5, 0, &[0]);
        assert_eq!(last(&rig), late.server, "{outcome:?}");
        assert_eq!(rig.sent.iter().filter(|sent| sent.server == other.server).count(), 2);
    }
}

/// A fixed time would be most of a query's where aims are short.
#[test]
fn a_server_is_kept_out_for_a_share_of_the_aim() {
    for aim in [100.0, 1000.0] {
        let mut rig = two_out(aim);
        let failed = rig.sent[0];
        rig.end(failed, Outcome::Failure);
        rig.turn();
        rig.now += 0.15 * aim;
        rig.query(3, 0, &[0]);
        assert_ne!(last(&rig), failed.server, "{aim}: still kept out, though it has no part out");
        rig.now += 0.1 * aim;
        rig.query(4, 0, &[0]);
        assert_eq!(last(&rig), failed.server, "{aim}: tried again");
    }
}

#[test]
fn zero_and_absurd_settings_are_survived() {
    for odd in [0.0, -1.0, 1e300, f64::INFINITY, f64::NAN] {
        let class = Class {
            latency_target_ms: odd,
            deadline_ms: odd,
            required_share: odd,
            minimum_share: odd,
            value: odd,
            ..class()
        };
        let set = Settings {
            classes: vec![class],
            overload_window_ms: odd,
            warm_up_ms: odd,
            turn_ms: odd,
            ..Settings::default()
        };
        let mut rig = Rig::new(set, 3);
        rig.query(1, 0, &[0, 1, 2, 4_000_000_000]);
        rig.pass(200.0);
        rig.end_from(0, Outcome::Failure);
        rig.pass(4000.0);
        assert_eq!(rig.answers(1).len(), 1, "settings of {odd}");
    }
}

#[test]
fn a_query_that_needs_a_shard_without_a_trusted_replica_is_refused_at_once() {
    let mut rig = Rig::new(settings(2, 2, 2), 2);
    rig.query(1, 0, &[0, 1]);
    rig.end_from(0, Outcome::Overloaded);
    rig.pass(300.0);
    assert_eq!(rig.sent.len(), 4, "again after the hold");
    rig.end_from(2, Outcome::Overloaded);
    rig.event(Event::ClientGone { query: 1 });
    // Both replicas have turned parts away twice: the rest of the query's work would be wasted.
    let from = rig.sent.len();
    rig.query(3, 0, &[0, 1]);
    assert!(matches!(rig.answers(3)[..], [Action::Refuse { .. }]));
    assert_eq!(rig.sent.len(), from);
    rig.pass(2000.0);
    rig.query(4, 0, &[0, 1]);
    assert!(rig.answers(4).is_empty() && rig.sent.len() > from, "a trial follows when the hold is over");
}

#[test]
fn a_query_that_takes_two_servers_down_is_not_passed_on() {
    let mut set = settings(3, 3, 3);
    set.classes = vec![class()];
    let mut rig = Rig::new(set, 3);
    let part = rig.query(1, 0, &[0])[0];
    for _ in 0..2 {
        assert!(rig.answers(1).is_empty());
        let sent = rig.sent.iter().rfind(|sent| sent.part == part).copied().unwrap();
        rig.now += 10.0;
        rig.end(sent, Outcome::Broken);
        rig.turn();
    }
    assert!(matches!(rig.answers(1)[..], [Action::Refuse { .. }]));
    assert_eq!(rig.sent.len(), 2, "the third server is spared");
}

#[test]
fn a_part_lost_twice_in_silence_gets_a_third_attempt() {
    let mut set = settings(3, 3, 3);
    set.classes = vec![class()];
    let mut rig = Rig::new(set, 3);
    for id in 100..110 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0, 1, 2]);
        rig.now += 100.0;
        rig.end_from(from, Outcome::Success);
    }
    let from = rig.sent.len();
    rig.query(1, 0, &[0]);
    rig.pass(900.0);
    let mut servers: Vec<_> = rig.sent[from..].iter().map(|sent| sent.server).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 1, 2], "each replica once, inside the aim");
}

#[test]
fn a_failure_breaks_ties_until_a_success_also_after_the_hold() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    let lost = rig.sent.last().copied().unwrap();
    rig.now += 900.0;
    rig.end(lost, Outcome::TimedOut);
    rig.turn();
    rig.end_from(rig.sent.len() - 1, Outcome::Success);
    for id in 2..8 {
        rig.pass(2000.0);
        rig.query(id, 0, &[0]);
        assert_ne!(last(&rig), lost.server, "counts are equal, the failure is not forgotten");
        rig.now += 100.0;
        rig.end_from(rig.sent.len() - 1, Outcome::Success);
    }
    // Counts still come first.
    rig.query(20, 0, &[0]);
    rig.query(21, 0, &[0]);
    assert_eq!(last(&rig), lost.server);
}

/// How many of 40 queries are let in, one every 2 s with nothing out, after a jam.
fn let_in_after_a_jam(aggregators: u32) -> usize {
    let mut set = settings(10, 2, 10);
    set.aggregators = aggregators;
    let mut rig = Rig::new(set, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut sent = 0;
    for id in 1..=60 {
        let from = rig.sent.len();
        rig.query(id, 0, &shards);
        sent += usize::from(id > 20 && rig.sent.len() > from);
        rig.pass(700.0);
        rig.end_from(from, Outcome::Success);
        rig.pass(300.0);
    }
    sent
}

/// How many of 60 queries of ten parts are turned away at once, where one part of each is never served, always at another
/// server, and all others at once: the usual latency says nothing.
fn turned_away_while_all_miss(aggregators: u32) -> usize {
    let mut set = settings(10, 1, 10);
    (set.aggregators, set.parallel) = (aggregators, false);
    set.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut rig = Rig::new(set, 10);
    let shards: Vec<u32> = (0..10).collect();
    let mut turned_away = 0;
    for id in 1..=60 {
        let from = rig.sent.len();
        rig.query(id, 0, &shards);
        turned_away += usize::from(!rig.answers(id).is_empty());
        rig.pass(50.0);
        let (lost, served): (Vec<_>, Vec<_>) =
            rig.sent[from..].iter().copied().partition(|sent| u64::from(sent.server) == id % 10);
        served.into_iter().for_each(|sent| rig.end(sent, Outcome::Success));
        rig.turn();
        rig.pass(1050.0);
        lost.into_iter().for_each(|sent| rig.end(sent, Outcome::TimedOut));
        rig.turn();
        assert_eq!(rig.answers(id).len(), 1);
    }
    turned_away
}

#[test]
fn where_many_aggregators_see_little_the_limit_goes_by_queries_that_miss_their_aim() {
    let (few, many) = (turned_away_while_all_miss(3), turned_away_while_all_miss(100));
    assert_eq!(few, 0, "whoever sees much of a server goes round it instead");
    assert!((20..60).contains(&many), "{many} of 60: some is let in all the same, to see the end of it");
}

/// How many of 40 queries of 25 parts, two a second and each served at once, are turned away after three that missed their
/// aim.
fn turned_away_after_misses(aggregators: u32) -> usize {
    let mut set = settings(30, 2, 30);
    (set.aggregators, set.parallel) = (aggregators, false);
    set.classes = vec![Class { late_value_share: 0.0, ..class() }];
    let mut rig = Rig::new(set, 30);
    let shards: Vec<u32> = (0..25).collect();
    let mut turned_away = 0;
    for id in 1..=43 {
        let from = rig.sent.len();
        rig.query(id, 0, &shards);
        rig.pass(30.0);
        turned_away += usize::from(id > 3 && !rig.answers(id).is_empty());
        // Of the first three, one part each is never served.
        let lost = usize::from(id <= 3);
        let sent = rig.sent[from..].to_vec();
        sent.iter().skip(lost).for_each(|sent| rig.end(*sent, Outcome::Success));
        rig.turn();
        rig.pass(if id > 3 && id % 2 == 0 { 70.0 } else { 970.0 });
        sent.iter().take(lost).for_each(|sent| rig.end(*sent, Outcome::TimedOut));
        rig.turn();
    }
    turned_away
}

/// Few queries tell of many misses for long; a limit that each of them cuts once more would turn away most of what comes
/// while the servers stand idle.
#[test]
fn queries_that_make_their_aim_cut_no_limit_where_many_aggregators_see_little() {
    for aggregators in [30, 100, 300, 1000] {
        let turned_away = turned_away_after_misses(aggregators);
        assert!(turned_away <= 4, "{turned_away} of 40 among {aggregators} aggregators");
    }
}

#[test]
fn the_limit_follows_the_share_of_the_servers_below_one_query_too() {
    let (few, many) = (let_in_after_a_jam(3), let_in_after_a_jam(85));
    // Parts that usually take 0.7 of the aim let a query in with a chance; the limit refuses none.
    assert!(
        (21..=40).contains(&few),
        "{few}: three parts a server for all, a third of that for each: a query fits"
    );
    assert!((1..=20).contains(&many), "{many} of 40: a query now and then");
}

#[test]
fn nothing_is_begun_for_a_client_that_leaves_before_a_part_usually_ends() {
    let ask = |wait: f64| {
        let mut rig = warm();
        rig.query(1, 0, &[0, 1]);
        let (id, number, class, parts) = (2, 2, 0, 1);
        let deadline = rig.now + wait;
        rig.event(Event::Query { id, number, class, tenant: None, deadline, parts, repeated: false });
        rig.parts(2, &[0]);
        rig.turn();
        rig.answers(2).len()
    };
    assert_eq!((ask(120.0), ask(300.0)), (1, 0), "a part usually takes 100 ms");
}

#[test]
fn a_restarted_aggregator_with_an_old_list_learns_by_outcomes_who_is_dead() {
    let mut rig = Rig::new(settings(2, 2, 2), 0);
    rig.list(ListKind::Remembered, vec![ready(0), ready(1)]);
    let mut to_dead = 0;
    for id in 1..=20 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        // Server 0 died while this aggregator was away; its list says ready.
        while let Some(&sent) = rig.sent[from..].iter().find(|sent| sent.server == 0 && sent.at == rig.now) {
            to_dead += 1;
            rig.end(sent, Outcome::Unreachable);
            rig.now += 1.0;
            rig.turn();
        }
        rig.now += 50.0;
        rig.end_from(rig.sent.len() - 1, Outcome::Success);
        rig.turn();
        assert!(matches!(rig.answers(id)[..], [Action::Answer { whole: true, .. }]), "query {id}");
        rig.pass(3000.0);
    }
    assert!(to_dead <= 2, "own outcomes outrank the list: {to_dead} sends to a dead server");
}

#[test]
fn a_zone_that_was_lost_is_used_again_but_spared_while_cold() {
    let mut set = settings(2, 2, 2);
    set.overload_factor = 100.0; // so that the budget of the rule is not what spares it
    let mut rig = Rig::new(set, 2);
    let count = |rig: &Rig, from: usize| rig.sent[from..].iter().filter(|sent| sent.server == 0).count();
    let ask = |rig: &mut Rig, ids: std::ops::Range<u64>| {
        let from = rig.sent.len();
        for id in ids {
            rig.query(id, 0, &[0, 0, 0, 0]);
            rig.pass(100.0);
            rig.end_from(rig.sent.len() - 4, Outcome::Success);
        }
        from
    };
    ask(&mut rig, 1..5);
    rig.list(ListKind::Changes, vec![Entry { status: Status::Gone, ..ready(0) }]);
    let lost = ask(&mut rig, 5..10);
    assert_eq!(count(&rig, lost), 0);
    rig.list(ListKind::Changes, vec![Entry { since: rig.now, ..ready(0) }]);
    let cold = ask(&mut rig, 10..20);
    let few = count(&rig, cold);
    rig.pass(12_000.0);
    let warm = ask(&mut rig, 20..30);
    assert!(few < 15 && count(&rig, warm) >= 15, "{few} cold, {} warm of 40", count(&rig, warm));
}

// One attempt at a time: a late part moves.

fn withdrawals(rig: &Rig) -> Vec<(u64, u32)> {
    let of = |action: &Action| match *action {
        Action::Withdraw { part, attempt } => Some((part, attempt)),
        _ => None,
    };
    rig.actions.iter().filter_map(of).collect()
}

fn one_at_a_time(repeat: Repeat) -> Rig {
    let mut set = settings(2, 2, 2);
    (set.parallel, set.withdrawals) = (false, true);
    set.classes = vec![Class { repeat, deduplication_ms: 2000.0, ..class() }];
    let mut rig = Rig::new(set, 2);
    rig.query(100, 0, &[0, 0]);
    rig.now += 100.0;
    rig.end_from(0, Outcome::Success);
    rig.sent.clear();
    rig
}

#[test]
fn a_silent_server_costs_a_part_half_the_aim_where_one_attempt_may_be_out() {
    for repeat in [Repeat::Safe, Repeat::Keyed] {
        let mut rig = one_at_a_time(repeat);
        let part = rig.query(1, 0, &[0])[0];
        rig.pass(480.0);
        assert!(withdrawals(&rig).is_empty());
        rig.pass(40.0);
        assert_eq!(withdrawals(&rig), [(part, 0)], "once");
        assert_eq!(rig.sent.len(), 1, "nothing until the outcome is in");
        let first = rig.sent[0];
        rig.end(first, Outcome::Withdrawn);
        rig.turn();
        assert_eq!(rig.sent.len(), 2);
        assert!(rig.answers(1).is_empty());
        assert_ne!(rig.sent[1].server, first.server);
    }
    let mut unsafe_part = one_at_a_time(Repeat::Unsafe);
    unsafe_part.query(1, 0, &[0]);
    unsafe_part.pass(990.0);
    assert!(withdrawals(&unsafe_part).is_empty());
}

/// Moved, it would wait anew elsewhere, and its server works on for nothing.
#[test]
fn a_late_part_stays_with_a_server_that_goes_on_serving() {
    let mut rig = one_at_a_time(Repeat::Safe);
    let part = rig.query(1, 0, &[0])[0];
    let (held, from) = (rig.sent[0].server, rig.sent.len());
    for id in 2..6 {
        // The other server serves as well, so that all is known of both.
        rig.query(id, 0, &[0, 0, 0]);
        rig.pass(80.0);
        rig.end_from(rig.sent.len() - 3, Outcome::Success);
    }
    assert!(rig.sent[from..].iter().any(|sent| sent.server == held));
    rig.pass(300.0);
    assert!(withdrawals(&rig).is_empty(), "{part} moved: {:?}", withdrawals(&rig));
}

#[test]
fn an_answer_that_overtakes_its_withdrawal_counts() {
    let mut rig = one_at_a_time(Repeat::Safe);
    rig.query(1, 0, &[0]);
    rig.pass(520.0);
    assert_eq!(withdrawals(&rig).len(), 1);
    rig.end_from(0, Outcome::Success);
    assert_eq!(rig.answers(1), [Action::Answer { query: 1, whole: true }]);
    assert_eq!(rig.sent.len(), 1);
}

// Any parts that are enough make a whole answer.

fn any_two_of_three() -> Rig {
    let mut set = settings(3, 1, 3);
    set.classes = vec![class(), Class { required_share: 0.6, minimum_share: 0.6, ..class() }];
    (set.parallel, set.withdrawals) = (false, true);
    Rig::new(set, 3)
}

#[test]
fn where_any_parts_will_do_the_least_loaded_shards_are_asked() {
    let mut rig = any_two_of_three();
    for id in 1..4 {
        rig.query(id, 0, &[1]);
    }
    let from = rig.sent.len();
    rig.query(9, 1, &[0, 1, 2]);
    let mut asked: Vec<_> = rig.sent[from..].iter().map(|sent| sent.server).collect();
    asked.sort_unstable();
    assert_eq!(asked, [0, 2]);
}

#[test]
fn where_any_parts_will_do_another_takes_the_place_of_a_late_one() {
    let mut rig = any_two_of_three();
    rig.query(9, 1, &[0, 1, 2]);
    assert_eq!(rig.sent.len(), 2);
    let first = rig.sent[0];
    rig.end(first, Outcome::Success);
    rig.pass(520.0);
    assert_eq!(rig.sent.len(), 3, "the spare part");
    rig.end_from(2, Outcome::Success);
    assert_eq!(rig.answers(9), [Action::Answer { query: 9, whole: true }]);
}

#[test]
fn where_any_parts_will_do_one_shut_shard_refuses_nothing() {
    let mut rig = any_two_of_three();
    for id in 1..4 {
        let from = rig.sent.len();
        rig.query(id, 0, &[1]);
        rig.end_from(from, Outcome::Unreachable);
        rig.pass(260.0);
    }
    rig.query(9, 1, &[0, 1, 2]);
    assert!(rig.answers(9).is_empty(), "{:?}", rig.answers(9));
}

#[test]
fn a_part_does_not_move_between_two_slow_replicas() {
    let mut rig = one_at_a_time(Repeat::Safe);
    for id in 1..4 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0, 0]);
        rig.now += 450.0;
        rig.end_from(from, Outcome::Success);
    }
    rig.query(9, 0, &[0, 0]);
    rig.pass(700.0);
    assert!(withdrawals(&rig).is_empty(), "{:?}", withdrawals(&rig));
}

#[test]
fn what_is_out_is_withdrawn_when_its_query_is_given_up() {
    let mut rig = one_at_a_time(Repeat::Unsafe);
    let part = rig.query(1, 0, &[0])[0];
    rig.pass(3000.0);
    assert_eq!(rig.answers(1), [Action::Fail { query: 1 }]);
    assert_eq!(withdrawals(&rig), [(part, 0)]);
}

// All parts are needed and one shard is jammed: what can't end in time is not begun.

/// Queries let in, of 40, after parts of shard 0 took so many usual latencies; shard 1 stays quick.
fn let_in(usual: f64, minimum_share: f64, shards: &[u32]) -> usize {
    let mut set = settings(2, 1, 2);
    set.classes = vec![Class { minimum_share, ..class() }];
    set.parallel = false;
    let mut rig = Rig::new(set, 2);
    for id in 1..60 {
        rig.query(id, 0, &[1]);
        rig.now += 100.0;
        rig.end_from(id as usize - 1, Outcome::Success);
    }
    for id in 100..106 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        rig.now += 100.0 * usual;
        rig.end_from(from, Outcome::Success);
    }
    (1000..1040)
        .filter(|&id| {
            let from = rig.sent.len();
            rig.query(id, 0, shards);
            let begun = rig.sent.len() > from;
            assert!(begun || matches!(rig.answers(id)[..], [Action::Refuse { .. }]), "refused at once");
            rig.event(Event::ClientGone { query: id });
            rig.end_from(from, Outcome::Void);
            begun
        })
        .count()
}

#[test]
fn a_query_that_needs_a_jammed_shard_is_refused_with_a_chance() {
    let some = let_in(10.0, 1.0, &[0, 1]);
    assert!((5..36).contains(&some), "{some} of 40");
    assert_eq!(let_in(1.0, 1.0, &[0, 1]), 40, "no jam");
    assert_eq!(let_in(10.0, 1.0, &[1]), 40, "the jammed shard is not asked");
    assert_eq!(let_in(10.0, 0.5, &[0, 1]), 40, "an answer in part will do");
}

// Connections dropped unseen: what is sent on one that was idle for long gets no answer.

/// Releases asked for while `lost_after` of idleness loses what is sent, one query every `pause`, and a
/// new connection can be opened or not.
fn releases(lost_after: f64, pause: f64, opens: bool) -> usize {
    let mut set = settings(2, 1, 2);
    (set.parallel, set.idle_ms) = (false, 15_000.0);
    let mut rig = Rig::new(set, 2);
    for id in 1..40 {
        let from = rig.sent.len();
        let fresh = rig.actions.len();
        rig.query(id, 0, &[0]);
        let released = rig.actions[fresh..].iter().any(|a| matches!(a, Action::Release { server: 0 }));
        rig.now += 100.0;
        let lost = pause > lost_after && id > 1 && !released;
        let fails = released && !opens;
        let first = if fails { Outcome::Unreachable } else { Outcome::Success };
        rig.end_from(from, if lost { Outcome::TimedOut } else { first });
        rig.pass(if lost || fails { 300.0 } else { 0.0 });
        if rig.sent.len() > from + 1 {
            rig.end_from(from + 1, Outcome::Success);
        }
        rig.pass(pause);
    }
    rig.actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn connections_idle_for_long_are_closed_before_use_while_what_is_sent_on_them_is_lost() {
    let all = releases(1500.0, 3000.0, true);
    assert!(all > 20, "{all}");
    let shut = releases(1500.0, 3000.0, false);
    assert!(shut < all - 5, "{shut} of {all}: closing does not help");
    assert_eq!(releases(f64::MAX, 3000.0, true), 0, "nothing is lost");
    assert_eq!(releases(300.0, 600.0, true), 0, "lost without long idleness: not the connection's age");
}

/// Releases among sixty queries of one part over twelve servers, where some are silent for those that are picked. What is
/// lost is served by the other holder.
fn releases_by_silence(silent: impl Fn(u64, u32) -> bool) -> usize {
    let mut set = settings(12, 2, 12);
    (set.parallel, set.idle_ms) = (false, 15_000.0);
    let mut rig = Rig::new(set, 12);
    for id in 1..60 {
        let from = rig.sent.len();
        rig.query(id, 0, &[id as u32 * 5 % 12]);
        rig.now += 100.0;
        let outcome = if silent(id, rig.sent[from].server) { Outcome::TimedOut } else { Outcome::Success };
        rig.end_from(from, outcome);
        rig.pass(300.0);
        if rig.sent.len() > from + 1 {
            rig.end_from(from + 1, Outcome::Success);
        }
        rig.pass(1000.0);
    }
    rig.actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn a_servers_silence_is_not_taken_for_lost_connections() {
    assert_eq!(releases_by_silence(|id, server| id > 20 && server % 2 == 0), 0, "for long");
    assert_eq!(releases_by_silence(|id, server| id > 20 && id % 4 < 2 && server % 2 == 0), 0, "by turns");
    assert_eq!(
        releases_by_silence(|id, _| id > 20 && id / 12 % 2 == 0),
        0,
        "once each, and well when next asked"
    );
}

#[test]
fn a_part_does_not_move_to_a_replica_not_heard_of_lately() {
    let mut rig = one_at_a_time(Repeat::Safe);
    rig.pass(20_000.0);
    rig.query(1, 0, &[0]);
    rig.pass(700.0);
    assert!(withdrawals(&rig).is_empty(), "{:?}", withdrawals(&rig));
}

#[test]
fn no_copy_goes_between_two_slow_replicas_or_to_one_not_heard_of_lately() {
    let mut rig = warm();
    for id in 1..6 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0, 0]);
        rig.now += 240.0;
        rig.end_from(from, Outcome::Success);
    }
    let copies = |rig: &mut Rig, id: u64, pause: f64, silence: f64| {
        rig.pass(pause);
        rig.query(id, 0, &[0]);
        let from = rig.sent.len();
        rig.pass(silence);
        rig.event(Event::ClientGone { query: id });
        rig.sent.len() - from
    };
    assert_eq!(copies(&mut rig, 9, 5.0, 400.0), 0, "both are slow");
    assert_eq!(copies(&mut warm(), 9, 20_000.0, 400.0), 0, "the other is not known");
    assert_eq!(copies(&mut warm(), 9, 5.0, 400.0), 1);
}

#[test]
fn a_failed_part_waits_while_all_its_replicas_are_kept_out() {
    let mut rig = warm();
    rig.query(1, 0, &[0]);
    for _ in 0..2 {
        let from = rig.sent.len() - 1;
        rig.now += 2.0;
        rig.end_from(from, Outcome::Overloaded);
    }
    let tries = rig.sent.iter().filter(|sent| sent.at >= rig.now - 4.0).count();
    assert_eq!(tries, 2, "one at each replica");
    rig.pass(200.0);
    assert!(rig.answers(1).is_empty());
    rig.pass(100.0);
    let third = rig.sent.last().copied().unwrap();
    assert_eq!(third.attempt, 2, "after the hold");
    rig.end(third, Outcome::Success);
    rig.turn();
    assert_eq!(rig.answers(1), [Action::Answer { query: 1, whole: true }]);
}

/// Advice of a fixed second used up the aim of whoever followed it.
#[test]
fn advice_to_refused_clients_is_about_the_usual_latency_of_a_part() {
    let mut rig = Rig::new(settings(4, 2, 4), 4);
    let refused = |rig: &mut Rig, id: u64| {
        let deadline = rig.now + 20.0;
        let (number, class) = (id, 0);
        rig.event(Event::Query { id, number, class, tenant: None, deadline, parts: 1, repeated: false });
        rig.parts(id, &[3]);
        rig.turn();
        rig.pass(10.0);
        match rig.answers(id)[..] {
            [Action::Refuse { retry_after_ms, .. }] => retry_after_ms,
            ref other => panic!("{other:?}"),
        }
    };
    rig.query(1, 0, &[0]);
    assert_eq!(refused(&mut rig, 2), 500.0, "nothing is known yet");
    rig.pass(190.0);
    rig.end(rig.sent[0], Outcome::Success);
    rig.query(3, 0, &[0]);
    let advice = refused(&mut rig, 4);
    assert!((150.0..=300.0).contains(&advice), "{advice}");
}

/// Its errors come at once, so that by calls out it looks as free as any.
#[test]
fn a_server_that_answers_some_parts_with_errors_draws_few_while_another_is_free() {
    let mut rig = Rig::new(settings(2, 2, 1), 2);
    let (mut to_flaky, mut rounds) = (0, 0);
    for id in 0..200 {
        let from = rig.sent.len();
        rig.query(id, 0, &[0]);
        rig.now += 100.0;
        let sent = rig.sent[from];
        // One in three of the parts at server 0 fails.
        to_flaky += usize::from(sent.server == 0);
        rounds += 1;
        let fails = sent.server == 0 && to_flaky % 3 == 0;
        rig.end(sent, if fails { Outcome::Failure } else { Outcome::Success });
        rig.turn();
        for again in rig.sent[from + 1..].to_vec() {
            rig.end(again, Outcome::Success);
        }
        rig.turn();
        rig.pass(50.0);
    }
    assert!(to_flaky * 5 < rounds, "{to_flaky} of {rounds}");
    // Once its errors are long past it takes what the other has no room for, as any server does.
    rig.pass(60_000.0);
    let from = rig.sent.len();
    rig.query(300, 0, &[0]);
    rig.query(301, 0, &[0]);
    assert_eq!(rig.sent[from..].iter().map(|sent| sent.server).collect::<Vec<_>>(), [1, 0]);
}
