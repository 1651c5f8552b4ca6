//! The least cases of what drawn deployments or the reading for them found.

use std::rc::Rc;

use gingerledge::core::{
    AttemptId, AttemptOutcome, AttemptRequest, Command, Core, CoreEvent, PartRequest, Query, QueryFormat,
    Served,
};
use gingerledge_dispatch::{Class, ListKind, Outcome, Repeat, ServerEntry, Settings};

fn class(repeat: Repeat) -> Class {
    let class = Class {
        latency_target_ms: 1000.0,
        deadline_ms: 2000.0,
        late_value_share: 0.3,
        value: 1.0,
        ..Class::default()
    };
    Class { repeat, deduplication_ms: 400.0, ..class }
}

/// A core that was told of so many stores, all of one cell.
fn core(settings: Settings, stores: u32) -> Core {
    let settings = Settings {
        aggregators: 1,
        turn_ms: 5.0,
        cells: 1,
        reach: 1,
        shards: 4,
        max_parts_per_call: 1,
        max_attempts: 3,
        allows_withdrawals: true,
        ..settings
    };
    let mut core = Core::new(7, settings, 0.0);
    let entries = (0..stores).map(|server| ServerEntry { server, ..ServerEntry::default() }).collect();
    core.turn(0.0, [CoreEvent::EndpointsListed(ListKind::Complete, entries)]);
    core
}

/// Asks for so many parts.
fn ask(core: &mut Core, now: f64, id: u64, class: usize, parts: u32) -> Vec<AttemptRequest> {
    let weight = 1.0 / f64::from(parts);
    let parts = (0..parts).map(|shard| PartRequest { shard, weight, ..PartRequest::default() }).collect();
    let (name, text) = (format!("q{id}").into(), Rc::from(&b"x"[..]));
    let deadline = now + 1900.0;
    let (tenant, is_retry, key, format) = (None, false, None, QueryFormat::Opaque);
    let question = Query { name, class, tenant, deadline, is_retry, key, parts, text, format };
    orders(core.turn(now, [CoreEvent::QuerySubmitted(id, question)]))
}

fn orders(commands: Vec<Command>) -> Vec<AttemptRequest> {
    let order = |command| match command {
        Command::Send(order) => Some(order),
        _ => None,
    };
    commands.into_iter().filter_map(order).collect()
}

fn good(attempt: AttemptId) -> CoreEvent {
    let served = Some(Served { score: 1, value: Rc::from(&b"v"[..]) });
    CoreEvent::AttemptEnded(attempt, AttemptOutcome { served, ..AttemptOutcome::from(Outcome::Success) })
}

/// The window of a keyed part runs from the first attempt that was sent, whichever of two ended first.
#[test]
fn the_window_of_a_keyed_part_runs_from_the_first_of_two_copies() {
    let set = Settings {
        allows_parallel_attempts: true,
        classes: vec![class(Repeat::Keyed)],
        ..Settings::default()
    };
    let mut core = core(set, 2);
    for n in 0..4 {
        let now = 20.0 * n as f64;
        let sent = ask(&mut core, now, n, 0, 4);
        core.turn(now + 10.0, sent.iter().map(|order| good(order.attempt)).collect::<Vec<_>>());
    }
    let first = ask(&mut core, 100.0, 9, 0, 1)[0].attempt;
    let (mut now, mut copy) = (100.0, Vec::new());
    while copy.is_empty() {
        now += 5.0;
        copy = orders(core.turn(now, []));
        assert!(now < 400.0, "no second copy");
    }
    core.turn(now + 1.0, [CoreEvent::AttemptEnded(copy[0].attempt, Outcome::Broken.into())]);
    // What the first copy left may be forgotten 400 ms after it was sent.
    let sent = orders(core.turn(505.0, [CoreEvent::AttemptEnded(first, Outcome::TimedOut.into())]));
    assert!(sent.is_empty(), "sent again 405 ms after the first attempt: {sent:?}");
}

/// What a cold store may be sent is work, of whatever classes.
#[test]
fn a_cold_store_is_sent_no_more_work_where_classes_differ() {
    let classes = vec![class(Repeat::Safe), class(Repeat::Safe)];
    let cold = Settings {
        warm_up_start_capacity: 0.2,
        warm_up_ms: 10_000.0,
        overload_factor: 2.0,
        overload_window_ms: 2000.0,
        ..Settings::default()
    };
    let mut core = core(Settings { classes, ..cold }, 1);
    let works = [100.0, 10.0];
    for (class, work) in works.iter().enumerate() {
        let sent = ask(&mut core, 200.0 * class as f64, class as u64, class, 1);
        core.turn(
            200.0 * class as f64 + work,
            sent.iter().map(|order| good(order.attempt)).collect::<Vec<_>>(),
        );
    }
    let started = ServerEntry { started_at: 500.0, ..ServerEntry::default() };
    core.turn(500.0, [CoreEvent::EndpointsListed(ListKind::Changes, vec![started])]);
    let mut sent = 0.0;
    for n in 0..200 {
        let class = usize::from(n >= 100);
        sent += works[class] * ask(&mut core, 501.0 + n as f64, 100 + n, class, 1).len() as f64;
    }
    // Twice a fifth of one processor for 2 s, and a little for what it warmed meanwhile.
    assert!(sent <= 900.0, "{sent} ms of work for a store that may have 800");
}
