//! Embeds an aggregator in a host. A real host does the I/O; here, a loop takes its place.
//!
//! Run with `cargo run --example embed`.

use gingerledge_dispatch::{Action, Aggregator, Class, Event, ListKind, Outcome, ServerEntry, Settings};

fn main() {
    let class = Class { latency_target_ms: 500.0, deadline_ms: 2000.0, value: 1.0, ..Class::default() };
    let settings = Settings {
        aggregators: 1,
        turn_ms: 5.0,
        classes: vec![class],
        cells: 3,
        reach: 2,
        shards: 3,
        max_parts_per_call: 1,
        max_attempts: 3,
        allows_parallel_attempts: true,
        ..Settings::default()
    };
    let mut now = 0.0;
    let mut aggregator = Aggregator::new(1, settings, now);
    let mut actions = Vec::new();

    // The list from service discovery has one server in each cell.
    let entries = (0..3).map(|n| ServerEntry { server: n, cell: n, ..ServerEntry::default() }).collect();
    aggregator.handle(now, Event::ServerList { kind: ListKind::Complete, entries }, &mut actions);

    // A query arrives with its parts. They are placed at the end of the turn.
    let (number, deadline) = (1, now + 2000.0);
    aggregator.handle(
        now,
        Event::Query { id: 10, number, class: 0, tenant: None, deadline, parts: 3, repeated: false },
        &mut actions,
    );
    for shard in 0..3 {
        let (id, weight) = (11 + u64::from(shard), 1.0 / 3.0);
        aggregator.handle(now, Event::Part { id, number, shard, weight, cost_ms: None }, &mut actions);
    }
    aggregator.end_turn(now, &mut actions);

    // The host carries out the sends. Each of them succeeds after 20 ms.
    let sent = std::mem::take(&mut actions);
    now += 20.0;
    for action in sent {
        println!("{action:?}");
        if let Action::Send { part, server, .. } = action {
            let (attempt, elapsed_ms, outcome) = (0, 20.0, Outcome::Success);
            let event =
                Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report: Vec::new() };
            aggregator.handle(now, event, &mut actions);
        }
    }
    aggregator.end_turn(now, &mut actions);
    println!("{actions:?}");
    assert!(actions.contains(&Action::Answer { query: 10, is_complete: true }));
}
