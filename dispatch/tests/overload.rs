//! Many aggregators side by side on the same servers, in virtual time: an overload that all of them learned of ends when it ends.
//! It holds the sum of all that each remembers. What the limit alone does after few misses is in `concurrency_limit.rs`: here the rule that
//! had every query cut it gives the same figures.

mod common;

use std::collections::{HashMap, HashSet, VecDeque};

use common::{class, ready, settings};
use gingerledge_dispatch::{Action, Aggregator, Class, Event, ListKind, Millis, Outcome, Settings};

const STEP_MS: Millis = 5.0;
const WORK_MS: Millis = 20.0;
const SERVERS: u32 = 20;
const PARTS: u32 = 10;
/// Each aggregator has a query so often: together they use less than half of what the servers can do.
const EVERY_MS: Millis = 1000.0;

struct AggregatorProcess {
    aggregator: Aggregator,
    next_query_at: Millis,
}

/// Plays a fleet whose servers all stand still from 3 to 6 s; gives how many queries came and how many were turned
/// away in each second.
fn simulate(aggregators: u32, seconds: u32) -> Vec<(u32, u32)> {
    let mut set = settings(SERVERS, 2, SERVERS);
    set.aggregators = aggregators;
    set.allows_parallel_attempts = false;
    set.allows_withdrawals = true;
    set.classes = vec![Class { latency_target_ms: 1200.0, late_value_share: 0.0, ..class() }];
    let process = |number: u32| process(number, &set);
    let mut processes: Vec<AggregatorProcess> = (0..aggregators).map(process).collect();
    // What waits at each server: whose part, and when it was sent.
    let mut waiting: Vec<VecDeque<(usize, u64, u32, Millis)>> = vec![VecDeque::new(); SERVERS as usize];
    let mut free_at = vec![0.0; SERVERS as usize];
    // How many attempts each part has had; those given up, which are worked on all the same.
    let mut attempts: HashMap<u64, u32> = HashMap::new();
    let mut given_up: HashSet<(u64, u32)> = HashSet::new();
    let mut ended: Vec<Vec<Event>> = vec![Vec::new(); processes.len()];
    let mut seconds: Vec<(u32, u32)> = vec![(0, 0); seconds as usize];
    let (mut now, mut id) = (0.0, 1u64);
    while now < seconds.len() as f64 * 1000.0 {
        let second = (now / 1000.0) as usize;
        for (server, queue) in waiting.iter_mut().enumerate() {
            let still = (3000.0..6000.0).contains(&now);
            while !still && free_at[server] <= now && !queue.is_empty() {
                let Some((process, part, attempt, sent)) = queue.pop_front() else { break };
                free_at[server] = f64::max(free_at[server], now - STEP_MS) + WORK_MS / 2.0;
                if !given_up.remove(&(part, attempt)) {
                    let (server, elapsed_ms, outcome) =
                        (server as u32, now - sent + WORK_MS, Outcome::Success);
                    ended[process].push(Event::AttemptEnded {
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
        for (number, process) in processes.iter_mut().enumerate() {
            let mut actions = Vec::new();
            process.aggregator.handle(now, Event::Timer { token: 0 }, &mut actions);
            ended[number].drain(..).for_each(|event| process.aggregator.handle(now, event, &mut actions));
            if now >= process.next_query_at {
                process.next_query_at += EVERY_MS;
                seconds[second].0 += 1;
                send_query(process, now, &mut id, &mut actions);
            }
            process.aggregator.end_turn(now, &mut actions);
            for action in actions {
                match action {
                    Action::Send { part, server, .. } => {
                        let attempt = *attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                        waiting[server as usize].push_back((number, part, attempt, now));
                    }
                    Action::Withdraw { part, attempt } => {
                        let out = waiting.iter().enumerate().find_map(|(server, queue)| {
                            let sent = queue.iter().find(|out| (out.1, out.2) == (part, attempt))?.3;
                            Some((server as u32, now - sent))
                        });
                        if let Some((server, elapsed_ms)) = out.filter(|_| given_up.insert((part, attempt))) {
                            let outcome = Outcome::Withdrawn;
                            let report = vec![];
                            ended[number].push(Event::AttemptEnded {
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

fn process(number: u32, set: &Settings) -> AggregatorProcess {
    let mut aggregator = Aggregator::new(u64::from(number) + 1, set.clone(), 0.0);
    let entries = (0..SERVERS).map(ready).collect();
    aggregator.handle(0.0, Event::ServerList { kind: ListKind::Complete, entries }, &mut Vec::new());
    AggregatorProcess { aggregator, next_query_at: EVERY_MS * f64::from(number) / f64::from(set.aggregators) }
}

fn send_query(process: &mut AggregatorProcess, now: Millis, id: &mut u64, actions: &mut Vec<Action>) {
    let (query, parts) = (*id, PARTS);
    let queries = Event::Query {
        id: query,
        number: query,
        class: 0,
        tenant: None,
        deadline: now + 2500.0,
        parts,
        repeated: false,
    };
    process.aggregator.handle(now, queries, actions);
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
        let before: u32 = seconds[..3].iter().map(|(_, away)| away).sum();
        let during: u32 = seconds[3..6].iter().map(|(_, away)| away).sum();
        assert!(before == 0 && during > 0, "{aggregators} aggregators: {seconds:?}");
        let after = &seconds[12..];
        let (came, away) = after.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        assert!(away * 50 <= came, "{aggregators} aggregators, {away} of {came} rejected: {seconds:?}");
    }
}
