//! Fleet membership of several processes under faults: kills, restarts, network cuts, pauses, loss of datagrams, wrong clocks.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use gingerledge_testkit::fleet::ledger::{Deed, Line};
use gingerledge_testkit::fleet::relay::Fault;
use gingerledge_testkit::fleet::{pause, run, Fleet, Plan};

/// Membership settings with a fifth of the sample's probe period and answer time-out and three times its rate, so that tests run
/// faster.
const OPERATOR: &str = "[fleet]\nprobe_ms = 200.0\nanswer_ms = 60.0\nsent_per_s = 60.0\n";
/// Maximum number of datagrams in any second: a full token bucket plus one second's refill, and a margin of 10 because a relay
/// may delay datagrams and then forward several at once.
const MAX_DATAGRAMS_PER_S: usize = 2 * 60 + 10;

fn plan(brokers: usize, seed: u64) -> Plan {
    let program = Some(env!("CARGO_BIN_EXE_soak").into());
    Plan { operator: OPERATOR.to_owned(), program, ..Plan::of(brokers, 2, seed) }
}

/// Members that are alive in the view of a broker.
async fn alive(fleet: &Fleet, broker: usize) -> Vec<usize> {
    let shown = fleet.shown(broker, "/fleet/members").await.unwrap_or_default();
    let numbers = shown["living"].as_array().cloned().unwrap_or_default();
    numbers.iter().filter_map(|number| number.as_u64().map(|n| n as usize)).collect()
}

/// Waits until each of the brokers in `observers` considers exactly the brokers in `expected` alive.
async fn wait_for_agreement(fleet: &Fleet, observers: &[usize], expected: &[usize]) {
    let agreed = fleet
        .until(|| async {
            for observer in observers {
                if alive(fleet, *observer).await != expected {
                    return false;
                }
            }
            true
        })
        .await;
    if !agreed {
        for observer in observers {
            let seen = alive(fleet, *observer).await;
            eprintln!("{observer} sees {seen:?}");
            if seen.is_empty() {
                eprintln!("{}", fleet.log(*observer));
            }
        }
        panic!("the brokers do not agree on {expected:?}");
    }
}

/// Asserts that every datagram is within the size limit and that no broker exceeds the limit on the rate of sending.
fn assert_send_limits(fleet: &Fleet) {
    let oversized = fleet.ledger.pick(Duration::ZERO, |line| match line.deed {
        Deed::Said(_, bytes) if bytes > 256 => Some(bytes),
        _ => None,
    });
    assert_eq!(oversized, Vec::<usize>::new());
    for broker in 0..fleet.plan.brokers {
        let sent_by_broker = |line: &Line| line.by == broker && matches!(line.deed, Deed::Said(..));
        let most = fleet.ledger.most_within(Duration::from_secs(1), Duration::ZERO, sent_by_broker);
        assert!(most <= MAX_DATAGRAMS_PER_S, "broker {broker} sent {most} datagrams in a second");
    }
}

/// Asserts that none of `observers` ever logged that one of `members` left or failed.
fn assert_never_declared_down(fleet: &Fleet, observers: &[usize], members: &[usize]) {
    for (observer, member) in
        observers.iter().flat_map(|observer| members.iter().map(move |member| (observer, member)))
    {
        let log_line = format!("fleet member left or failed member={member} ");
        assert!(!fleet.log(*observer).contains(&log_line), "{observer} declared {member} down");
    }
}

fn all(brokers: usize) -> Vec<usize> {
    (0..brokers).collect()
}

#[test]
fn failure_and_restart_of_a_third_and_restart_of_all_are_detected_by_all() {
    run(plan(12, 51), |fleet| async move {
        let (killed, remaining): (Vec<_>, Vec<_>) = (all(4), (4..12).collect::<Vec<_>>());
        wait_for_agreement(&fleet, &all(12), &all(12)).await;
        killed.iter().for_each(|broker| fleet.kill(*broker));
        wait_for_agreement(&fleet, &remaining, &remaining).await;
        assert_never_declared_down(&fleet, &remaining, &remaining);
        killed.iter().for_each(|broker| fleet.restart(*broker, true).unwrap());
        fleet.serves(0..4).await.unwrap();
        wait_for_agreement(&fleet, &all(12), &all(12)).await;
        all(12).iter().for_each(|broker| fleet.restart(*broker, true).unwrap());
        fleet.serves(0..12).await.unwrap();
        wait_for_agreement(&fleet, &all(12), &all(12)).await;
        assert_send_limits(&fleet);
    });
}

#[test]
fn partitioned_halves_see_only_themselves_and_merge_within_the_send_limit() {
    run(plan(10, 52), |fleet| async move {
        let (first_half, second_half): (Vec<_>, Vec<_>) = (all(5), (5..10).collect::<Vec<_>>());
        wait_for_agreement(&fleet, &all(10), &all(10)).await;
        fleet.cut(&first_half, &second_half);
        wait_for_agreement(&fleet, &first_half, &first_half).await;
        wait_for_agreement(&fleet, &second_half, &second_half).await;
        fleet.heal();
        wait_for_agreement(&fleet, &all(10), &all(10)).await;
        // Datagrams are cut in one direction only, for longer than the suspicion time-out.
        fleet.between_all(&first_half, &second_half, Fault { cut: true, ..Fault::default() });
        pause(3000).await;
        fleet.heal();
        wait_for_agreement(&fleet, &all(10), &all(10)).await;
        assert_send_limits(&fleet);
    });
}

#[test]
fn a_broker_suspended_during_changes_declares_nobody_down_when_resumed() {
    run(plan(8, 53), |fleet| async move {
        wait_for_agreement(&fleet, &all(8), &all(8)).await;
        fleet.stop(3);
        let awake: Vec<usize> = all(8).into_iter().filter(|broker| *broker != 3).collect();
        wait_for_agreement(&fleet, &awake, &awake).await;
        fleet.kill(6);
        let up: Vec<usize> = awake.iter().copied().filter(|broker| *broker != 6).collect();
        wait_for_agreement(&fleet, &up, &up).await;
        fleet.restart(6, true).unwrap();
        fleet.serves([6]).await.unwrap();
        fleet.wake(3);
        wait_for_agreement(&fleet, &all(8), &all(8)).await;
        assert_never_declared_down(&fleet, &[3], &up);
        assert!(fleet.log(3).contains("process was paused"), "{}", fleet.log(3));
        assert_send_limits(&fleet);
    });
}

#[test]
fn a_broker_suspended_during_a_suspicion_receives_datagrams_before_it_declares_members_down() {
    run(plan(8, 56), |fleet| async move {
        let others: Vec<usize> = all(8).into_iter().filter(|broker| *broker != 3).collect();
        for _ in 0..3 {
            wait_for_agreement(&fleet, &all(8), &all(8)).await;
            // Broker 3 receives nothing and its probes fail, indirect ones included: it suspects a member.
            fleet.cut(&[3], &others);
            let suspects =
                || async { fleet.shown(3, "/fleet/members").await.is_some_and(|shown| shown["health"] != 0) };
            assert!(fleet.until(suspects).await);
            // Broker 3 is suspended for longer than the suspicion time-out, and the network heals meanwhile.
            fleet.stop(3);
            fleet.heal();
            pause(2500).await;
            fleet.wake(3);
            wait_for_agreement(&fleet, &all(8), &all(8)).await;
        }
        assert_never_declared_down(&fleet, &[3], &others);
    });
}

#[test]
fn failures_are_detected_under_loss_duplication_and_reordering_without_false_positives() {
    run(plan(10, 54), |fleet| async move {
        wait_for_agreement(&fleet, &all(10), &all(10)).await;
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
        let up: Vec<usize> = all(10).into_iter().filter(|broker| *broker != 2 && *broker != 7).collect();
        wait_for_agreement(&fleet, &up, &up).await;
        assert_never_declared_down(&fleet, &up, &up);
        assert_send_limits(&fleet);
    });
}

#[test]
fn a_leaving_broker_and_one_whose_clock_is_an_hour_back_leave_and_rejoin() {
    run(plan(6, 55), |fleet| async move {
        wait_for_agreement(&fleet, &all(6), &all(6)).await;
        assert!(fleet.end(4).await, "{}", fleet.log(4));
        let remaining: Vec<usize> = all(6).into_iter().filter(|broker| *broker != 4).collect();
        wait_for_agreement(&fleet, &remaining, &remaining).await;
        fleet.faults(4, "unix_ms=-3600000").await.unwrap();
        fleet.restart(4, true).unwrap();
        fleet.serves([4]).await.unwrap();
        wait_for_agreement(&fleet, &all(6), &all(6)).await;
        // A broker that receives nothing, although the others receive its datagrams, rejoins once it does.
        assert!(fleet.faults(1, "point fleet.hear=return").await.unwrap());
        pause(2500).await;
        assert!(fleet.faults(1, "point fleet.hear=off").await.unwrap());
        wait_for_agreement(&fleet, &all(6), &all(6)).await;
        assert_send_limits(&fleet);
    });
}
