//! Tests of the multi-process test rig: injected faults have the specified effects, and the guarantees of the platform hold
//! under them.

#![allow(clippy::unwrap_used)]

use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use gingerledge_testkit::fleet::ledger::{Deed, Ledger, Line};
use gingerledge_testkit::fleet::load::Load;
use gingerledge_testkit::fleet::relay::{Door, Fault, Pair};
use gingerledge_testkit::fleet::{pause, run, Fleet, Plan};

fn plan(brokers: usize, stores: usize, seed: u64) -> Plan {
    Plan { program: Some(env!("CARGO_BIN_EXE_soak").into()), ..Plan::of(brokers, stores, seed) }
}

/// Maximum number of attempts per part of a query, as configured.
const ATTEMPTS: usize = 3;

/// Asserts the guarantees that hold under any fault: every query gets one final answer, and no rule of the ledger is violated.
fn assert_guarantees(fleet: &Fleet, tally: &gingerledge_testkit::fleet::load::Tally) {
    assert!(tally.lost.borrow().is_empty(), "no final answer: {:?}", tally.lost.borrow());
    let ended = tally.answered.get() + tally.refused.get() + tally.failed.get() + tally.cut.get();
    assert_eq!(tally.asked.get(), ended, "{tally:?}");
    assert_eq!(fleet.ledger.breaches(ATTEMPTS), Vec::<String>::new());
}

#[test]
fn every_query_has_one_answer_while_a_third_of_the_brokers_is_killed_and_all_are_restarted() {
    run(plan(12, 6, 41), |fleet| async move {
        let load = Load::start(&fleet, |_| 10.0);
        pause(1000).await;
        (0..4).for_each(|broker| fleet.kill(broker));
        pause(1000).await;
        (0..4).for_each(|broker| fleet.restart(broker, true).unwrap());
        fleet.serves(0..4).await.unwrap();
        pause(500).await;
        let before = fleet.ledger.now();
        (0..12).for_each(|broker| fleet.restart(broker, broker % 2 == 0).unwrap());
        fleet.serves(0..12).await.unwrap();
        assert!(fleet.until(|| async { load.tally.answered.get() > 200 }).await, "{:?}", load.tally);
        let tally = load.end().await;
        assert_guarantees(&fleet, &tally);
        assert!(tally.answered.get() * 2 > tally.asked.get(), "{tally:?}");
        let is_call = |line: &Line| matches!(line.deed, Deed::Called(_));
        assert!(fleet.ledger.count(before, is_call) >= 12, "each broker calls discovery again");
    });
}

#[test]
fn no_query_is_lost_when_a_store_stalls_or_its_connections_are_cut_or_reset() {
    run(plan(3, 6, 42), |fleet| async move {
        let load = Load::start(&fleet, |_| 25.0);
        pause(600).await;
        let stalled_until = std::time::Instant::now() + Duration::from_millis(1500);
        fleet.stores[0].set_fault(gingerledge_testkit::store::Fault::Stalled(stalled_until));
        for broker in 0..3 {
            fleet.to_store(broker, 1).back.set(Fault { cut: true, ..Fault::default() });
            fleet.to_store(broker, 2).reset();
            fleet.to_store(broker, 3).there.set(Fault { drip: Some(16), ..Fault::default() });
            fleet.to_store(broker, 4).set_door(Door::Shut);
            fleet.to_store(broker, 4).reset();
        }
        pause(2000).await;
        for broker in 0..3 {
            fleet.to_store(broker, 1).back.set(Fault::default());
            fleet.to_store(broker, 3).there.set(Fault::default());
            fleet.to_store(broker, 4).set_door(Door::Open);
        }
        pause(1000).await;
        let tally = load.end().await;
        assert_guarantees(&fleet, &tally);
        assert!(tally.answered.get() * 2 > tally.asked.get(), "{tally:?}");
    });
}

#[test]
fn a_resumed_broker_answers_queries_and_a_broker_shut_down_leaves_none_unanswered() {
    run(plan(3, 4, 43), |fleet| async move {
        let load = Load::start(&fleet, |_| 20.0);
        pause(500).await;
        fleet.stop(1);
        pause(1500).await;
        fleet.wake(1);
        let answered_before = load.tally.answered.get();
        assert!(
            fleet.until(|| async { load.tally.answered.get() > answered_before + 50 }).await,
            "{:?}",
            load.tally
        );
        assert!(fleet.end(2).await, "{}", fleet.log(2));
        let tally = load.end().await;
        assert_guarantees(&fleet, &tally);
    });
}

#[test]
fn injected_faults_take_effect_in_a_running_process_and_clock_faults_from_its_next_start() {
    run(plan(2, 3, 44), |fleet| async move {
        let dial_count = |from| fleet.ledger.count(from, |line| matches!(line.deed, Deed::Dialled(_)));
        assert!(fleet.faults(0, "point store.dial=return\npoint discovery.call=return").await.unwrap());
        let from = fleet.ledger.now();
        let load = Load::start(&fleet, |broker| if broker == 0 { 20.0 } else { 0.0 });
        assert!(fleet.until(|| async { load.tally.refused.get() > 5 }).await, "{:?}", load.tally);
        assert_eq!(dial_count(from), 0, "the broker opens no connection");
        assert!(fleet.faults(0, "point store.dial=off").await.unwrap());
        assert!(fleet.until(|| async { load.tally.answered.get() > 5 }).await, "{:?}", load.tally);
        let tally = load.end().await;
        assert_guarantees(&fleet, &tally);
        fleet.kill(1);
        fleet.faults(1, "unix_ms=-3600000\nrate=1.5").await.unwrap();
        fleet.restart(1, false).unwrap();
        fleet.serves([1]).await.unwrap();
        // The log's timestamps come from the broker's own clock.
        let times: Vec<f64> =
            fleet.log(1).lines().filter_map(|line| line.split(' ').next()?.parse().ok()).collect();
        let largest_step_back = times.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::min);
        assert!((-3600.0..-3500.0).contains(&largest_step_back), "{largest_step_back}");
    });
}

#[test]
fn late_and_failed_discovery_lists_take_effect_eventually() {
    run(plan(3, 4, 45), |fleet| async move {
        fleet.discovery.late.set(Duration::from_millis(300));
        let from = fleet.ledger.now();
        fleet.discovery.set_state(0, "draining");
        pause(1800).await;
        let attempt_at_store_0 = |line: &Line| matches!(line.deed, Deed::Began(0, _));
        let load = Load::start(&fleet, |_| 20.0);
        pause(800).await;
        assert_eq!(fleet.ledger.count(from, attempt_at_store_0), 0, "a draining store gets no new attempts");
        fleet.discovery.down.set(true);
        (0..3).for_each(|broker| fleet.to_discovery(broker).reset());
        pause(500).await;
        fleet.discovery.down.set(false);
        fleet.discovery.set_state(0, "up");
        assert!(
            fleet.until(|| async { fleet.ledger.count(from, attempt_at_store_0) > 0 }).await,
            "the store is listed again"
        );
        let tally = load.end().await;
        assert_guarantees(&fleet, &tally);
    });
}

/// Sends `count` datagrams one way; returns the numbers of those delivered, in order of arrival, and the number of datagrams that
/// the ledger recorded.
fn deliver(fault: Fault, count: u32, seed: u64) -> (Vec<u32>, usize) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let sockets = [0, 1].map(|_| Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap());
        let addresses = [0, 1].map(|n: usize| sockets[n].get_ref().local_addr().unwrap());
        let ledger = Rc::new(Ledger::default());
        let pair = Pair::start(&executor, &ledger, [7, 8], addresses, seed).unwrap();
        pair.ways[0].set(fault);
        let mut received = Vec::new();
        for n in 0..count {
            sockets[0].send_to(&n.to_le_bytes(), pair.seen[0]).await.unwrap();
            // A datagram from an address outside the pair is not forwarded.
            sockets[1].send_to(b"no", pair.seen[0]).await.unwrap();
            pause(1).await;
        }
        let mut buffer = [0; 16];
        loop {
            let timeout = async {
                pause(300).await;
                None
            };
            let next = async { sockets[1].recv_from(&mut buffer).await.ok() };
            match futures_lite::future::or(next, timeout).await {
                Some((4, from)) => {
                    assert_eq!(from, pair.seen[1]);
                    received.push(u32::from_le_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]));
                }
                Some(_) => {}
                None => {
                    return (received, ledger.count(Duration::ZERO, |line| line.deed == Deed::Said(8, 4)))
                }
            }
        }
    }))
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_as_configured_and_by_seed() {
    let (received, recorded) = deliver(Fault::default(), 100, 1);
    assert_eq!((received, recorded), ((0..100).collect(), 100));
    let (received, recorded) = deliver(Fault { cut: true, ..Fault::default() }, 20, 1);
    assert_eq!((received, recorded), (vec![], 20), "recorded at the sender");
    let half_lost = Fault { lost: 0.5, ..Fault::default() };
    let (received, _) = deliver(half_lost, 100, 1);
    assert!((30..70).contains(&received.len()), "{}", received.len());
    assert_eq!(received, deliver(half_lost, 100, 1).0, "equal seeds give equal losses");
    assert_ne!(received, deliver(half_lost, 100, 2).0);
    let (received, _) = deliver(Fault { twice: 1.0, ..Fault::default() }, 20, 1);
    assert_eq!(received.len(), 40);
    let (received, _) = deliver(Fault { jitter: Duration::from_millis(30), ..Fault::default() }, 100, 1);
    assert_eq!(received.len(), 100);
    assert!(received.windows(2).any(|pair| pair[0] > pair[1]), "{received:?}");
}

#[test]
fn the_ledger_reports_rule_violations() {
    let ledger = Ledger::default();
    let record_attempt = |broker, id: &str| ledger.note(broker, Deed::Began(0, id.to_owned()));
    (0..3).for_each(|_| record_attempt(0, "q1.4"));
    record_attempt(1, "q1.4");
    record_attempt(0, "e1.4");
    assert_eq!(ledger.breaches(3), Vec::<String>::new());
    record_attempt(0, "q1.4");
    record_attempt(0, "e1.4");
    assert_eq!(ledger.breaches(3).len(), 2);
    let any_attempt = |line: &Line| matches!(line.deed, Deed::Began(..));
    assert_eq!(ledger.most_within(Duration::from_secs(60), Duration::ZERO, any_attempt), 7);
    assert_eq!(ledger.count(ledger.now(), any_attempt), 0);
}

/// CI checks that the platform's program does not contain this name. The rig's program has to contain it, or that check would
/// pass regardless.
#[test]
fn the_rigs_program_contains_fault_injection() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_soak")).unwrap();
    assert!(program.windows(9).any(|bytes| bytes == b"LB_FAULTS"));
}
