//! The rig of processes: its faults do what they say, and the promises of the platform hold under them.

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

/// Attempts at a part that the settings allow.
const ATTEMPTS: usize = 3;

/// The promises that hold whatever happens.
fn holds(fleet: &Fleet, tally: &gingerledge_testkit::fleet::load::Tally) {
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
        (0..4).for_each(|who| fleet.kill(who));
        pause(1000).await;
        (0..4).for_each(|who| fleet.restart(who, true).unwrap());
        fleet.serves(0..4).await.unwrap();
        pause(500).await;
        let before = fleet.ledger.now();
        (0..12).for_each(|who| fleet.restart(who, who % 2 == 0).unwrap());
        fleet.serves(0..12).await.unwrap();
        assert!(fleet.until(|| async { load.tally.answered.get() > 200 }).await, "{:?}", load.tally);
        let tally = load.end().await;
        holds(&fleet, &tally);
        assert!(tally.answered.get() * 2 > tally.asked.get(), "{tally:?}");
        let called = |line: &Line| matches!(line.deed, Deed::Called(_));
        assert!(fleet.ledger.count(before, called) >= 12, "each asked anew");
    });
}

#[test]
fn a_store_that_stalls_and_one_whose_links_are_cut_or_reset_lose_no_query() {
    run(plan(3, 6, 42), |fleet| async move {
        let load = Load::start(&fleet, |_| 25.0);
        pause(600).await;
        let until = std::time::Instant::now() + Duration::from_millis(1500);
        fleet.stores[0].set_fault(gingerledge_testkit::store::Fault::Stalled(until));
        for who in 0..3 {
            fleet.to_store(who, 1).back.set(Fault { cut: true, ..Fault::default() });
            fleet.to_store(who, 2).reset();
            fleet.to_store(who, 3).there.set(Fault { drip: Some(16), ..Fault::default() });
            fleet.to_store(who, 4).set_door(Door::Shut);
            fleet.to_store(who, 4).reset();
        }
        pause(2000).await;
        for who in 0..3 {
            fleet.to_store(who, 1).back.set(Fault::default());
            fleet.to_store(who, 3).there.set(Fault::default());
            fleet.to_store(who, 4).set_door(Door::Open);
        }
        pause(1000).await;
        let tally = load.end().await;
        holds(&fleet, &tally);
        assert!(tally.answered.get() * 2 > tally.asked.get(), "{tally:?}");
    });
}

#[test]
fn a_broker_that_was_stopped_answers_what_it_is_asked_after_it_woke_and_one_told_to_end_owes_nothing() {
    run(plan(3, 4, 43), |fleet| async move {
        let load = Load::start(&fleet, |_| 20.0);
        pause(500).await;
        fleet.stop(1);
        pause(1500).await;
        fleet.wake(1);
        let then = load.tally.answered.get();
        assert!(fleet.until(|| async { load.tally.answered.get() > then + 50 }).await, "{:?}", load.tally);
        assert!(fleet.end(2).await, "{}", fleet.log(2));
        let tally = load.end().await;
        holds(&fleet, &tally);
    });
}

#[test]
fn faults_on_demand_reach_a_running_process_and_clocks_are_off_from_its_next_start() {
    run(plan(2, 3, 44), |fleet| async move {
        let dials = |from| fleet.ledger.count(from, |line| matches!(line.deed, Deed::Dialled(_)));
        assert!(fleet.faults(0, "point store.dial=return\npoint discovery.call=return").await.unwrap());
        let from = fleet.ledger.now();
        let load = Load::start(&fleet, |who| if who == 0 { 20.0 } else { 0.0 });
        assert!(fleet.until(|| async { load.tally.refused.get() > 5 }).await, "{:?}", load.tally);
        assert_eq!(dials(from), 0, "it opens no connection");
        assert!(fleet.faults(0, "point store.dial=off").await.unwrap());
        assert!(fleet.until(|| async { load.tally.answered.get() > 5 }).await, "{:?}", load.tally);
        let tally = load.end().await;
        holds(&fleet, &tally);
        fleet.kill(1);
        fleet.faults(1, "unix_ms=-3600000\nrate=1.5").await.unwrap();
        fleet.restart(1, false).unwrap();
        fleet.serves([1]).await.unwrap();
        // The log's times are the broker's.
        let times: Vec<f64> =
            fleet.log(1).lines().filter_map(|line| line.split(' ').next()?.parse().ok()).collect();
        let back = times.windows(2).map(|two| two[1] - two[0]).fold(0.0, f64::min);
        assert!((-3600.0..-3500.0).contains(&back), "{back}");
    });
}

#[test]
fn what_discovery_lists_late_or_not_at_all_comes_in_the_end() {
    run(plan(3, 4, 45), |fleet| async move {
        fleet.discovery.late.set(Duration::from_millis(300));
        let from = fleet.ledger.now();
        fleet.discovery.set_state(0, "draining");
        pause(1800).await;
        let to_it = |line: &Line| matches!(line.deed, Deed::Began(0, _));
        let load = Load::start(&fleet, |_| 20.0);
        pause(800).await;
        assert_eq!(fleet.ledger.count(from, to_it), 0, "nothing new to a store that drains");
        fleet.discovery.down.set(true);
        (0..3).for_each(|who| fleet.to_discovery(who).reset());
        pause(500).await;
        fleet.discovery.down.set(false);
        fleet.discovery.set_state(0, "up");
        assert!(fleet.until(|| async { fleet.ledger.count(from, to_it) > 0 }).await, "it is listed again");
        let tally = load.end().await;
        holds(&fleet, &tally);
    });
}

/// Sends so many datagrams one way; returns the numbers that came, in their order.
fn sent(fault: Fault, count: u32, seed: u64) -> (Vec<u32>, usize) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let ends = [0, 1].map(|_| Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap());
        let at = [0, 1].map(|n: usize| ends[n].get_ref().local_addr().unwrap());
        let ledger = Rc::new(Ledger::default());
        let pair = Pair::start(&executor, &ledger, [7, 8], at, seed).unwrap();
        pair.ways[0].set(fault);
        let mut came = Vec::new();
        for n in 0..count {
            ends[0].send_to(&n.to_le_bytes(), pair.seen[0]).await.unwrap();
            // A stranger's datagram goes nowhere.
            ends[1].send_to(b"no", pair.seen[0]).await.unwrap();
            pause(1).await;
        }
        let mut piece = [0; 16];
        loop {
            let late = async {
                pause(300).await;
                None
            };
            let next = async { ends[1].recv_from(&mut piece).await.ok() };
            match futures_lite::future::or(next, late).await {
                Some((4, from)) => {
                    assert_eq!(from, pair.seen[1]);
                    came.push(u32::from_le_bytes([piece[0], piece[1], piece[2], piece[3]]));
                }
                Some(_) => {}
                None => return (came, ledger.count(Duration::ZERO, |line| line.deed == Deed::Said(8, 4))),
            }
        }
    }))
}

#[test]
fn datagrams_are_lost_repeated_and_reordered_as_told_and_by_the_seed() {
    let (came, noted) = sent(Fault::default(), 100, 1);
    assert_eq!((came, noted), ((0..100).collect(), 100));
    let (came, noted) = sent(Fault { cut: true, ..Fault::default() }, 20, 1);
    assert_eq!((came, noted), (vec![], 20), "noted where they went out");
    let half = Fault { lost: 0.5, ..Fault::default() };
    let (came, _) = sent(half, 100, 1);
    assert!((30..70).contains(&came.len()), "{}", came.len());
    assert_eq!(came, sent(half, 100, 1).0, "equal seeds, equal luck");
    assert_ne!(came, sent(half, 100, 2).0);
    let (came, _) = sent(Fault { twice: 1.0, ..Fault::default() }, 20, 1);
    assert_eq!(came.len(), 40);
    let (came, _) = sent(Fault { jitter: Duration::from_millis(30), ..Fault::default() }, 100, 1);
    assert_eq!(came.len(), 100);
    assert!(came.windows(2).any(|two| two[0] > two[1]), "{came:?}");
}

#[test]
fn the_ledger_sees_what_breaks_a_rule() {
    let ledger = Ledger::default();
    let began = |who, id: &str| ledger.note(who, Deed::Began(0, id.to_owned()));
    (0..3).for_each(|_| began(0, "q1.4"));
    began(1, "q1.4");
    began(0, "e1.4");
    assert_eq!(ledger.breaches(3), Vec::<String>::new());
    began(0, "q1.4");
    began(0, "e1.4");
    assert_eq!(ledger.breaches(3).len(), 2);
    let any = |line: &Line| matches!(line.deed, Deed::Began(..));
    assert_eq!(ledger.most_within(Duration::from_secs(60), Duration::ZERO, any), 7);
    assert_eq!(ledger.count(ledger.now(), any), 0);
}

/// CI looks for this name in the platform's program; here it has to be, or that look would see nothing.
#[test]
fn the_rigs_program_holds_faults_on_demand() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_soak")).unwrap();
    assert!(program.windows(9).any(|bytes| bytes == b"LB_FAULTS"));
}
