//! Membership as several processes, with faults between them: kills, restarts, cuts, pauses, loss, clocks that are off.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use gingerledge_testkit::fleet::ledger::{Deed, Line};
use gingerledge_testkit::fleet::relay::Fault;
use gingerledge_testkit::fleet::{pause, run, Fleet, Plan};

/// Ten times as fast as the sample's, so that tests need not wait long.
const OPERATOR: &str = "[fleet]\nprobe_ms = 200.0\nanswer_ms = 60.0\nsent_per_s = 60.0\n";
/// At once a bucket's worth, and within a second another; and a little, since a relay may hold up and then pass on.
const MOST_A_SECOND: usize = 2 * 60 + 10;

fn plan(brokers: usize, seed: u64) -> Plan {
    let program = Some(env!("CARGO_BIN_EXE_soak").into());
    Plan { operator: OPERATOR.to_owned(), program, ..Plan::of(brokers, 2, seed) }
}

/// Who lives, as a broker sees it.
async fn living(fleet: &Fleet, who: usize) -> Vec<usize> {
    let shown = fleet.shown(who, "/fleet/members").await.unwrap_or_default();
    let numbers = shown["living"].as_array().cloned().unwrap_or_default();
    numbers.iter().filter_map(|number| number.as_u64().map(|n| n as usize)).collect()
}

/// Waits until these brokers see just these.
async fn agree(fleet: &Fleet, who: &[usize], see: &[usize]) {
    let agreed = fleet
        .until(|| async {
            for one in who {
                if living(fleet, *one).await != see {
                    return false;
                }
            }
            true
        })
        .await;
    if !agreed {
        for one in who {
            let seen = living(fleet, *one).await;
            eprintln!("{one} sees {seen:?}");
            if seen.is_empty() {
                eprintln!("{}", fleet.log(*one));
            }
        }
        panic!("they do not agree on {see:?}");
    }
}

/// Every datagram is short enough, and none sends more in a second than it may.
fn bounded(fleet: &Fleet) {
    let long = fleet.ledger.pick(Duration::ZERO, |line| match line.deed {
        Deed::Said(_, bytes) if bytes > 256 => Some(bytes),
        _ => None,
    });
    assert_eq!(long, Vec::<usize>::new());
    for who in 0..fleet.plan.brokers {
        let by_it = |line: &Line| line.by == who && matches!(line.deed, Deed::Said(..));
        let most = fleet.ledger.most_within(Duration::from_secs(1), Duration::ZERO, by_it);
        assert!(most <= MOST_A_SECOND, "broker {who} sent {most} datagrams in a second");
    }
}

/// In the logs of some, none of these was ever gone.
fn nobody_blames(fleet: &Fleet, some: &[usize], these: &[usize]) {
    for (who, member) in some.iter().flat_map(|who| these.iter().map(move |member| (who, member))) {
        let words = format!("fleet member left or failed member={member} ");
        assert!(!fleet.log(*who).contains(&words), "{who} took {member} for gone");
    }
}

fn all(brokers: usize) -> Vec<usize> {
    (0..brokers).collect()
}

#[test]
fn a_third_killed_and_back_and_all_restarted_at_once_are_seen_by_all() {
    run(plan(12, 51), |fleet| async move {
        let (gone, rest): (Vec<_>, Vec<_>) = (all(4), (4..12).collect::<Vec<_>>());
        agree(&fleet, &all(12), &all(12)).await;
        gone.iter().for_each(|who| fleet.kill(*who));
        agree(&fleet, &rest, &rest).await;
        nobody_blames(&fleet, &rest, &rest);
        gone.iter().for_each(|who| fleet.restart(*who, true).unwrap());
        fleet.serves(0..4).await.unwrap();
        agree(&fleet, &all(12), &all(12)).await;
        all(12).iter().for_each(|who| fleet.restart(*who, true).unwrap());
        fleet.serves(0..12).await.unwrap();
        agree(&fleet, &all(12), &all(12)).await;
        bounded(&fleet);
    });
}

#[test]
fn halves_cut_off_see_themselves_and_one_fleet_after_it_without_a_storm() {
    run(plan(10, 52), |fleet| async move {
        let (some, others): (Vec<_>, Vec<_>) = (all(5), (5..10).collect::<Vec<_>>());
        agree(&fleet, &all(10), &all(10)).await;
        fleet.cut(&some, &others);
        agree(&fleet, &some, &some).await;
        agree(&fleet, &others, &others).await;
        fleet.heal();
        agree(&fleet, &all(10), &all(10)).await;
        // One way, and for longer than a suspect has.
        fleet.between_all(&some, &others, Fault { cut: true, ..Fault::default() });
        pause(3000).await;
        fleet.heal();
        agree(&fleet, &all(10), &all(10)).await;
        bounded(&fleet);
    });
}

#[test]
fn a_broker_stopped_through_changes_and_woken_blames_nobody() {
    run(plan(8, 53), |fleet| async move {
        agree(&fleet, &all(8), &all(8)).await;
        fleet.stop(3);
        let awake: Vec<usize> = all(8).into_iter().filter(|who| *who != 3).collect();
        agree(&fleet, &awake, &awake).await;
        fleet.kill(6);
        let up: Vec<usize> = awake.iter().copied().filter(|who| *who != 6).collect();
        agree(&fleet, &up, &up).await;
        fleet.restart(6, true).unwrap();
        fleet.serves([6]).await.unwrap();
        fleet.wake(3);
        agree(&fleet, &all(8), &all(8)).await;
        nobody_blames(&fleet, &[3], &up);
        assert!(fleet.log(3).contains("process was paused"), "{}", fleet.log(3));
        bounded(&fleet);
    });
}

#[test]
fn a_broker_stopped_in_the_midst_of_a_suspicion_hears_the_others_before_it_blames_one() {
    run(plan(8, 56), |fleet| async move {
        let others: Vec<usize> = all(8).into_iter().filter(|who| *who != 3).collect();
        for _ in 0..3 {
            agree(&fleet, &all(8), &all(8)).await;
            // It hears nobody, and a probe of its own fails by way of others too: it suspects one.
            fleet.cut(&[3], &others);
            let suspects =
                || async { fleet.shown(3, "/fleet/members").await.is_some_and(|shown| shown["health"] != 0) };
            assert!(fleet.until(suspects).await);
            // It stands still for longer than a suspect has, and all are heard again meanwhile.
            fleet.stop(3);
            fleet.heal();
            pause(2500).await;
            fleet.wake(3);
            agree(&fleet, &all(8), &all(8)).await;
        }
        nobody_blames(&fleet, &[3], &others);
    });
}

#[test]
fn under_loss_repetition_and_disorder_two_that_go_are_seen_and_no_other_is_taken_for_gone() {
    run(plan(10, 54), |fleet| async move {
        agree(&fleet, &all(10), &all(10)).await;
        let fault = Fault {
            lost: 0.3,
            twice: 0.3,
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(20),
            ..Fault::default()
        };
        fleet.between_all(&all(10), &all(10), fault);
        pause(2000).await;
        fleet.kill(2);
        fleet.kill(7);
        let up: Vec<usize> = all(10).into_iter().filter(|who| *who != 2 && *who != 7).collect();
        agree(&fleet, &up, &up).await;
        nobody_blames(&fleet, &up, &up);
        bounded(&fleet);
    });
}

#[test]
fn one_that_says_good_bye_and_one_whose_clock_is_an_hour_back_come_and_go_as_they_are() {
    run(plan(6, 55), |fleet| async move {
        agree(&fleet, &all(6), &all(6)).await;
        assert!(fleet.end(4).await, "{}", fleet.log(4));
        let rest: Vec<usize> = all(6).into_iter().filter(|who| *who != 4).collect();
        agree(&fleet, &rest, &rest).await;
        fleet.faults(4, "unix_ms=-3600000").await.unwrap();
        fleet.restart(4, true).unwrap();
        fleet.serves([4]).await.unwrap();
        agree(&fleet, &all(6), &all(6)).await;
        // A broker that hears nobody, though it is heard, comes back once it does.
        assert!(fleet.faults(1, "point fleet.hear=return").await.unwrap());
        pause(2500).await;
        assert!(fleet.faults(1, "point fleet.hear=off").await.unwrap());
        agree(&fleet, &all(6), &all(6)).await;
        bounded(&fleet);
    });
}
