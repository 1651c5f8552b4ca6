//! The core and the exchange without any socket: what a host owes the module and the clients.
#![allow(clippy::unwrap_used)]

mod common;

use std::rc::Rc;

use common::{alone, Sides};
use gingerledge::clock::Clock;
use gingerledge::core::{
    AttemptId, AttemptOutcome, AttemptRequest, Command, Core, CoreEvent, FinalAnswer, PartRequest, Query,
    QueryFormat, Served,
};
use gingerledge::counters::Counters;
use gingerledge::exchange::{Exchange, SubmitError};
use gingerledge_dispatch::{Class, ListKind, Outcome, ServerEntry, Settings};

fn core(class: Class) -> Core {
    with(class, Settings::default())
}

fn with(class: Class, settings: Settings) -> Core {
    let class =
        Class { latency_target_ms: 1000.0, deadline_ms: 2000.0, late_value_share: 0.3, value: 1.0, ..class };
    let settings = Settings {
        aggregators: 1,
        turn_ms: 5.0,
        classes: vec![class],
        cells: 3,
        reach: 2,
        shards: 3,
        max_parts_per_call: 1,
        max_attempts: 3,
        allows_withdrawals: true,
        ..settings
    };
    let mut core = Core::new(7, settings, 0.0);
    let entries = (0..3).map(|n| ServerEntry { server: n, cell: n, ..ServerEntry::default() }).collect();
    core.turn(0.0, [CoreEvent::EndpointsListed(ListKind::Complete, entries)]);
    core
}

fn question(name: &str, shards: &[u32], deadline: f64) -> Query {
    let weight = 1.0 / shards.len() as f64;
    let parts =
        shards.iter().map(|shard| PartRequest { shard: *shard, weight, ..PartRequest::default() }).collect();
    let (text, format) = (Rc::from(&b"c41e"[..]), QueryFormat::Opaque);
    let (name, key) = (name.into(), None);
    Query { name, class: 0, tenant: None, deadline, is_retry: false, key, parts, text, format }
}

fn orders(commands: &[Command]) -> Vec<AttemptRequest> {
    let order = |command: &Command| match command {
        Command::Send(order) => Some(order.clone()),
        _ => None,
    };
    commands.iter().filter_map(order).collect()
}

fn finals(commands: &[Command]) -> Vec<FinalAnswer> {
    let last = |command: &Command| match command {
        Command::Finish(_, answer) => Some(answer.clone()),
        _ => None,
    };
    commands.iter().filter_map(last).collect()
}

fn good(attempt: AttemptId, score: u64, value: &[u8]) -> CoreEvent {
    let served = Some(Served { score, value: value.into() });
    CoreEvent::AttemptEnded(
        attempt,
        AttemptOutcome { outcome: Outcome::Success, served, report: Vec::new(), newer_epoch: None },
    )
}

#[test]
fn a_query_is_answered_once_with_its_values_in_the_order_of_shards() {
    let mut core = core(Class::default());
    let sent = orders(&core.turn(1.0, [CoreEvent::QuerySubmitted(1, question("q", &[2, 0], 900.0))]));
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|order| order.timeout_ms <= 899.0 && &*order.query == "q"));
    let first = core.turn(5.0, [good(sent[0].attempt, 1, b"a")]);
    assert!(finals(&first).is_empty());
    let end = finals(&core.turn(6.0, [good(sent[1].attempt, 2, b"b"), good(sent[1].attempt, 2, b"again")]));
    let [FinalAnswer::Answered { is_complete: true, values }] = &end[..] else { panic!("{end:?}") };
    let shards: Vec<u32> = values.iter().map(|(shard, _)| *shard).collect();
    assert_eq!(shards, [0, 2]);
    assert!(core.turn(7.0, [good(sent[0].attempt, 1, b"late")]).is_empty());
}

#[test]
fn a_second_step_opens_in_the_same_turn_at_the_highest_scores() {
    let mut core = core(Class { follow_up_parts: 2, ..Class::default() });
    let sent = orders(&core.turn(1.0, [CoreEvent::QuerySubmitted(1, question("q", &[0, 1, 2], 900.0))]));
    let ends = sent.iter().map(|order| good(order.attempt, [5, 1, 9][order.shard as usize], b"x"));
    let second = core.turn(2.0, ends.collect::<Vec<_>>());
    assert!(finals(&second).is_empty());
    let mut second = orders(&second);
    second.sort_by_key(|order| order.shard);
    assert_eq!(second.iter().map(|order| order.shard).collect::<Vec<_>>(), [0, 2]);
    let first = second[0].first_step.as_ref().unwrap();
    assert_eq!((&first.answered_shards[..], first.is_complete), (&[0, 1, 2][..], true));
    let ends = second.iter().map(|order| good(order.attempt, 0, b"y")).collect::<Vec<_>>();
    assert!(matches!(&finals(&core.turn(3.0, ends))[..], [FinalAnswer::Answered { is_complete: true, .. }]));
}

#[test]
fn a_part_has_three_attempts_at_the_most_and_never_two_at_once() {
    let mut core = core(Class::default());
    let mut waiting = orders(&core.turn(1.0, [CoreEvent::QuerySubmitted(1, question("q", &[0], 1900.0))]));
    let (mut now, mut made, mut ended) = (1.0, 0, Vec::new());
    while now < 2000.0 {
        assert!(waiting.len() <= 1, "two at once: {waiting:?}");
        made += waiting.len();
        let ends = waiting.drain(..).map(|o| CoreEvent::AttemptEnded(o.attempt, Outcome::Failure.into()));
        let ends: Vec<_> = ends.collect();
        now += 5.0;
        let commands = core.turn(now, ends);
        waiting = orders(&commands);
        ended.extend(finals(&commands).into_iter().map(|last| (now, last)));
    }
    assert_eq!(made, 3);
    // Safe to repeat, so refused; and as soon as the last attempt failed, not held until the deadline.
    assert!(matches!(ended[..], [(at, FinalAnswer::Refused { .. })] if at < 1500.0), "{ended:?}");
}

/// Where two attempts may be out at once, the one that was not waited for ends later, and may fail.
#[test]
fn the_value_of_a_part_stays_when_its_second_copy_fails() {
    let mut core = with(Class::default(), Settings { allows_parallel_attempts: true, ..Settings::default() });
    for (id, now) in [(1, 1.0), (2, 20.0)] {
        let sent =
            orders(&core.turn(now, [CoreEvent::QuerySubmitted(id, question("q", &[0, 1], now + 1900.0))]));
        let ends: Vec<_> = sent.iter().map(|order| good(order.attempt, 1, b"x")).collect();
        core.turn(now + 10.0, ends.into_iter().take(if id == 1 { 2 } else { 1 }));
        if id == 1 {
            continue;
        }
        // The other part is late at one store, and a copy goes to the next.
        let (mut at, mut copy) = (now + 10.0, Vec::new());
        while copy.is_empty() && at < 1000.0 {
            at += 5.0;
            copy = orders(&core.turn(at, []));
        }
        let late = sent.iter().find(|order| order.shard == copy[0].shard).unwrap();
        let failed = |order: &AttemptRequest| CoreEvent::AttemptEnded(order.attempt, Outcome::Failure.into());
        let end = core.turn(at, [good(copy[0].attempt, 1, b"y"), failed(late)]);
        let end = finals(&end);
        assert!(matches!(&end[..], [FinalAnswer::Answered { values, .. }] if values.len() == 2), "{end:?}");
    }
}

#[test]
fn a_query_whose_client_left_is_forgotten() {
    let mut core = core(Class::default());
    let sent = orders(&core.turn(1.0, [CoreEvent::QuerySubmitted(1, question("q", &[0], 900.0))]));
    core.turn(2.0, [CoreEvent::ClientDisconnected(1)]);
    assert!(core.turn(3.0, [good(sent[0].attempt, 1, b"a")]).is_empty());
    assert!(finals(&core.turn(2000.0, [])).is_empty());
}

fn exchange() -> (Rc<Exchange>, Rc<Counters>, Clock) {
    let (clock, counters) = (Clock::new(), Rc::new(Counters::default()));
    (Exchange::new(clock, counters.clone(), 4, alone(), None), counters, clock)
}

#[test]
fn the_exchange_gives_each_query_one_final_answer() {
    let (exchange, counters, clock) = exchange();
    let ticket = exchange.submit(question("q", &[0], clock.now() + 60_000.0)).unwrap();
    let happened = async_io::block_on(exchange.next_events(None));
    let Some(CoreEvent::QuerySubmitted(id, _)) = happened.front() else { panic!("{happened:?}") };
    assert!(exchange.complete(*id, FinalAnswer::Failed));
    assert!(!exchange.complete(*id, FinalAnswer::Refused { retry_after_ms: 0.0 }));
    assert_eq!(async_io::block_on(ticket.answer()), FinalAnswer::Failed);
    assert_eq!((counters.failed.get(), counters.refused.get(), counters.finals_dropped.get()), (1, 0, 1));
}

#[test]
fn a_query_that_the_core_forgot_still_ends_at_its_deadline() {
    let (exchange, counters, clock) = exchange();
    let ticket = exchange.submit(question("q", &[0], clock.now() + 20.0)).unwrap();
    assert_eq!(async_io::block_on(ticket.answer()), FinalAnswer::Failed);
    assert_eq!((counters.overdue.get(), exchange.open_queries()), (1, 0));
    let happened = async_io::block_on(exchange.next_events(None));
    assert!(matches!(happened.back(), Some(CoreEvent::ClientDisconnected(_))), "the core is told");
}

#[test]
fn the_exchange_is_bounded_and_knows_names_that_are_open() {
    let (exchange, counters, clock) = exchange();
    let ask = |name: &str, shards: &[u32]| exchange.submit(question(name, shards, clock.now() + 60_000.0));
    let first = ask("a", &[0]).unwrap();
    assert_eq!(ask("a", &[0]).unwrap_err(), SubmitError::Duplicate);
    assert_eq!(ask("b", &[0, 1]).unwrap_err(), SubmitError::AtCapacity);
    drop(first);
    assert_eq!(counters.clients_gone.get(), 1);
    ask("a", &[0, 1, 2]).unwrap();
}

/// A store that is replaced never comes back under its name, and days are long.
#[test]
fn removed_stores_leave_the_tables() {
    let sides = Sides::new(100);
    let stores = &sides.stores;
    let list = |reset: bool, entries: &[(usize, &str)]| {
        let all: Vec<_> = entries.iter().map(|(name, state)| (0, *name, *state)).collect();
        sides.list(reset, &all, 0.0);
    };
    list(true, &[(0, "up"), (1, "up")]);
    for n in 2..100 {
        list(false, &[(n - 2, "draining")]);
        list(false, &[(n - 2, "removed"), (n, "up")]);
        assert_eq!(stores.endpoint_count(), 2);
    }
    // One that was never known; then a whole list without one that was.
    list(false, &[(1000, "removed")]);
    list(true, &[(99, "up")]);
    assert_eq!(stores.endpoint_count(), 1);
}

/// Another process may have taken its place already, and use this broker's part of a cold store's budget.
#[test]
fn a_core_about_to_end_sends_a_cold_store_nothing() {
    let orders_of = |leaves: bool| {
        let cold = Settings {
            warm_up_start_capacity: 0.2,
            warm_up_ms: 10_000.0,
            overload_factor: 2.0,
            overload_window_ms: 2000.0,
            ..Settings::default()
        };
        let mut core = with(Class::default(), cold);
        let sent = orders(&core.turn(1.0, [CoreEvent::QuerySubmitted(1, question("q", &[0], 900.0))]));
        core.turn(11.0, [good(sent[0].attempt, 1, b"v")]);
        let entries = (0..3)
            .map(|n| ServerEntry { server: n, cell: n, started_at: 20.0, ..ServerEntry::default() })
            .collect();
        core.turn(20.0, [CoreEvent::EndpointsListed(ListKind::Complete, entries)]);
        let told = leaves.then_some(CoreEvent::ShutdownStarted);
        core.turn(21.0, told);
        orders(&core.turn(22.0, [CoreEvent::QuerySubmitted(2, question("r", &[1], 1900.0))])).len()
    };
    assert_eq!((orders_of(false), orders_of(true)), (1, 0));
}
