//! Many aggregators share the same servers, in virtual time: after an overload has ended, the limits that
//! they learned from it must not reject queries any longer.
//!
//! The test covers all state that an aggregator learns. The effect of the limit alone after few misses is
//! tested in `concurrency_limit.rs`; here, a rule by which every query lowers the limit gives the same
//! results.

mod common;

use std::collections::{HashMap, HashSet, VecDeque};

use common::{class, ready, ring_settings};
use gingerledge_dispatch::{Action, Aggregator, Class, Event, ListKind, Millis, Outcome, Settings};

const STEP_MS: Millis = 5.0;
const WORK_MS: Millis = 20.0;
const SERVERS: u32 = 20;
const PARTS: u32 = 10;
/// Interval between the queries of one aggregator. All queries together use less than half of the servers'
/// capacity.
const QUERY_INTERVAL_MS: Millis = 1000.0;

struct AggregatorProcess {
    aggregator: Aggregator,
    next_query_at: Millis,
}

/// Simulates a fleet in which all servers stop processing from second 3 to second 6. Returns the numbers of
/// queries that arrived and that were rejected or failed, for each second.
fn simulate(aggregators: u32, seconds: u32) -> Vec<(u32, u32)> {
    let mut settings = ring_settings(SERVERS, 2, SERVERS);
    settings.aggregators = aggregators;
    settings.allows_parallel_attempts = false;
    settings.allows_withdrawals = true;
    settings.classes = vec![Class { latency_target_ms: 1200.0, late_value_share: 0.0, ..class() }];
    let process = |index: u32| start_process(index, &settings);
    let mut processes: Vec<AggregatorProcess> = (0..aggregators).map(process).collect();
    // The queue of each server: the sending process, the part, the attempt and the time of sending.
    let mut queues: Vec<VecDeque<(usize, u64, u32, Millis)>> = vec![VecDeque::new(); SERVERS as usize];
    let mut free_at = vec![0.0; SERVERS as usize];
    // The number of the latest attempt, by part.
    let mut attempts: HashMap<u64, u32> = HashMap::new();
    // The attempts that were withdrawn, which servers process all the same.
    let mut withdrawn: HashSet<(u64, u32)> = HashSet::new();
    let mut events: Vec<Vec<Event>> = vec![Vec::new(); processes.len()];
    let mut seconds: Vec<(u32, u32)> = vec![(0, 0); seconds as usize];
    let (mut now, mut id) = (0.0, 1u64);
    while now < seconds.len() as f64 * 1000.0 {
        let second = (now / 1000.0) as usize;
        for (server, queue) in queues.iter_mut().enumerate() {
            let is_stopped = (3000.0..6000.0).contains(&now);
            while !is_stopped && free_at[server] <= now && !queue.is_empty() {
                let Some((process, part, attempt, sent)) = queue.pop_front() else { break };
                free_at[server] = f64::max(free_at[server], now - STEP_MS) + WORK_MS / 2.0;
                if !withdrawn.remove(&(part, attempt)) {
                    let (server, elapsed_ms, outcome) =
                        (server as u32, now - sent + WORK_MS, Outcome::Success);
                    events[process].push(Event::AttemptEnded {
                        part,
                        attempt,
                        server,
                        elapsed_ms,
                        outcome,
                        report: vec![],
                    });
                }
            }
        }
        for (index, process) in processes.iter_mut().enumerate() {
            let mut actions = Vec::new();
            process.aggregator.handle(now, Event::Timer { token: 0 }, &mut actions);
            events[index].drain(..).for_each(|event| process.aggregator.handle(now, event, &mut actions));
            if now >= process.next_query_at {
                process.next_query_at += QUERY_INTERVAL_MS;
                seconds[second].0 += 1;
                send_query(process, now, &mut id, &mut actions);
            }
            process.aggregator.end_turn(now, &mut actions);
            for action in actions {
                match action {
                    Action::Send { part, server, .. } => {
                        let attempt = *attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                        queues[server as usize].push_back((index, part, attempt, now));
                    }
                    Action::Withdraw { part, attempt } => {
                        let attempt_at_server = queues.iter().enumerate().find_map(|(server, queue)| {
                            let sent = queue.iter().find(|queued| (queued.1, queued.2) == (part, attempt))?.3;
                            Some((server as u32, now - sent))
                        });
                        if let Some((server, elapsed_ms)) =
                            attempt_at_server.filter(|_| withdrawn.insert((part, attempt)))
                        {
                            let outcome = Outcome::Withdrawn;
                            let report = vec![];
                            events[index].push(Event::AttemptEnded {
                                part,
                                attempt,
                                server,
                                elapsed_ms,
                                outcome,
                                report,
                            });
                        }
                    }
                    Action::Reject { .. } | Action::Fail { .. } => seconds[second].1 += 1,
                    _ => {}
                }
            }
        }
        now += STEP_MS;
    }
    seconds
}

fn start_process(index: u32, settings: &Settings) -> AggregatorProcess {
    let mut aggregator = Aggregator::new(u64::from(index) + 1, settings.clone(), 0.0);
    let entries = (0..SERVERS).map(ready).collect();
    aggregator.handle(0.0, Event::ServerList { kind: ListKind::Complete, entries }, &mut Vec::new());
    AggregatorProcess {
        aggregator,
        next_query_at: QUERY_INTERVAL_MS * f64::from(index) / f64::from(settings.aggregators),
    }
}

fn send_query(process: &mut AggregatorProcess, now: Millis, id: &mut u64, actions: &mut Vec<Action>) {
    let (query, parts) = (*id, PARTS);
    let event = Event::Query {
        id: query,
        number: query,
        class: 0,
        tenant: None,
        deadline: now + 2500.0,
        parts,
        repeated: false,
    };
    process.aggregator.handle(now, event, actions);
    for n in 0..PARTS {
        let shard = (query as u32 + n) % SERVERS;
        let weight = 1.0 / f64::from(PARTS);
        let part = Event::Part { id: query + 1 + u64::from(n), number: query, shard, weight, cost_ms: None };
        process.aggregator.handle(now, part, actions);
    }
    *id += 1 + u64::from(PARTS);
}

#[test]
fn a_limit_learned_in_an_overload_ends_with_it_where_each_aggregator_sees_few_samples() {
    for aggregators in [20, 60, 100] {
        let seconds = simulate(aggregators, 25);
        let before: u32 = seconds[..3].iter().map(|(_, rejected)| rejected).sum();
        let during: u32 = seconds[3..6].iter().map(|(_, rejected)| rejected).sum();
        assert!(before == 0 && during > 0, "{aggregators} aggregators: {seconds:?}");
        let after = &seconds[12..];
        let (arrived, rejected) =
            after.iter().fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        assert!(
            rejected * 50 <= arrived,
            "{aggregators} aggregators, {rejected} of {arrived} rejected: {seconds:?}"
        );
    }
}
