//! Tests of the scheduler's guarantees with seeded random jobs.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;

use fastrand::Rng;
use gingerledge_background::{Budget, Cost, Job, Priority, Rate, Scheduler, SubmitError};

fn budget() -> Budget {
    Budget {
        bytes: Rate { per_s: 10_000.0, burst: 2_000.0 },
        work: Rate { per_s: 1e9, burst: 1e9 },
        lane_bytes: Rate { per_s: 4_000.0, burst: 1_000.0 },
        max_lane_jobs: 2,
        max_jobs: 8,
        max_waiting: 64,
        urgent_share: 0.2,
        half_rate_queries: 4.0,
        aging_ms: 5_000,
    }
}

fn job(id: u32, priority: Priority, lanes: &[u32], bytes: f64) -> Job<u32, u32> {
    Job { id, priority, lanes: lanes.to_vec(), cost: Cost { bytes, work_ms: 1.0 } }
}

/// Runs random jobs for a minute of virtual time; returns the start time of each job, with its lanes and bytes.
fn run_random_jobs(seed: u64, queries: usize) -> Vec<(u64, Job<u32, u32>)> {
    let mut rng = Rng::with_seed(seed);
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.set_waiting_queries(0, queries);
    let (mut jobs, mut started, mut ends) = (HashMap::new(), Vec::new(), Vec::<(u64, u32)>::new());
    for now in (0..60_000).step_by(5) {
        if rng.u32(..3) == 0 {
            let priority = [Priority::Urgent, Priority::Normal, Priority::Idle][rng.usize(..3)];
            let (from, to) = (rng.u32(..4), rng.u32(4..8));
            let job = job(now as u32, priority, &[from, to], rng.f64() * 800.0);
            if scheduler.submit(now, job.clone()).is_ok() {
                jobs.insert(job.id, job);
            }
        }
        ends.retain(|(at, id)| {
            if *at <= now {
                scheduler.finished(now, id, jobs[id].cost);
            }
            *at > now
        });
        for id in scheduler.poll(now) {
            started.push((now, jobs[&id].clone()));
            ends.push((now + rng.u64(1..60), id));
        }
        assert!(scheduler.job_counts().0 <= 64 && scheduler.job_counts().1 <= 8, "seed {seed}");
    }
    started
}

#[test]
fn no_window_exceeds_rate_and_burst() {
    for seed in 0..20 {
        let started = run_random_jobs(seed, 0);
        assert!(started.len() > 300, "seed {seed}: {}", started.len());
        for lane in [None, Some(0), Some(5)] {
            let (rate, burst) = if lane.is_some() { (4_000.0, 1_000.0) } else { (10_000.0, 2_000.0) };
            let transfers: Vec<(u64, f64)> = started
                .iter()
                .filter(|(_, job)| lane.is_none_or(|lane| job.lanes.contains(&lane)))
                .map(|(at, job)| (*at, job.cost.bytes))
                .collect();
            for (n, (from, _)) in transfers.iter().enumerate() {
                let mut sum = 0.0;
                for (until, bytes) in &transfers[n..] {
                    sum += bytes;
                    let limit = burst + rate * (until - from) as f64 / 1000.0 + 1.0;
                    assert!(sum <= limit, "seed {seed}, lane {lane:?}: {sum} in {from} to {until}");
                }
            }
        }
    }
}

#[test]
fn equal_seeds_start_equal_jobs() {
    assert_eq!(run_random_jobs(3, 2), run_random_jobs(3, 2));
}

#[test]
fn waiting_queries_reduce_the_budget_and_urgent_jobs_continue() {
    for seed in 0..10 {
        let (unloaded, loaded) = (run_random_jobs(seed, 0), run_random_jobs(seed, 1000));
        let total_bytes =
            |started: &[(u64, Job<u32, u32>)]| started.iter().map(|(_, job)| job.cost.bytes).sum::<f64>();
        assert!(total_bytes(&loaded) < total_bytes(&unloaded) * 0.4, "seed {seed}");
        // A fifth of the rate remains, and urgent jobs use most of it.
        assert!(total_bytes(&loaded) > 60.0 * 10_000.0 * 0.2 * 0.5, "seed {seed}: {}", total_bytes(&loaded));
    }
    // While queries wait only urgent jobs start, ahead of all jobs submitted before them.
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.set_waiting_queries(0, 1000);
    for n in 0..20 {
        scheduler.submit(0, job(n, Priority::Normal, &[n], 500.0)).unwrap();
    }
    assert!(scheduler.poll(0).is_empty());
    scheduler.submit(1, job(99, Priority::Urgent, &[3], 500.0)).unwrap();
    assert_eq!(scheduler.poll(1), [99]);
    scheduler.set_waiting_queries(2, 0);
    assert_eq!(scheduler.poll(2).len(), 3, "the rest of the burst");
}

#[test]
fn idle_jobs_rise_in_priority_and_do_not_starve() {
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.submit(0, job(1, Priority::Idle, &[1], 900.0)).unwrap();
    let (mut next, mut started) = (100, Vec::new());
    for now in (0..30_000).step_by(10) {
        // A continuous supply of urgent jobs in the same lane.
        while scheduler.submit(now, job(next, Priority::Urgent, &[1], 900.0)).is_ok()
            && scheduler.job_counts().0 < 8
        {
            next += 1;
        }
        next += 1;
        for id in scheduler.poll(now) {
            started.push((now, id));
            scheduler.finished(now, &id, Cost { bytes: 900.0, work_ms: 1.0 });
        }
    }
    let at = started.iter().find(|(_, id)| *id == 1).map(|(at, _)| *at);
    assert!(at.is_some_and(|at| (10_000..20_000).contains(&at)), "{at:?}");
}

#[test]
fn small_jobs_do_not_overtake_a_large_one_and_a_blocked_lane_blocks_no_other() {
    let mut scheduler = Scheduler::new(budget(), 0);
    for n in 0..3 {
        scheduler.submit(0, job(n, Priority::Normal, &[1], 900.0)).unwrap();
    }
    scheduler.submit(0, job(9, Priority::Normal, &[2], 900.0)).unwrap();
    // The first job used up the burst of lane 1; lane 2 is free.
    assert_eq!(scheduler.poll(0), [0, 9]);
    let due = scheduler.due(0).unwrap();
    assert!((150..=300).contains(&due), "{due}");
    assert_eq!(scheduler.poll(due), [1]);
}

#[test]
fn excess_cost_delays_later_jobs() {
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.submit(0, job(1, Priority::Normal, &[1], 10.0)).unwrap();
    assert_eq!(scheduler.poll(0), [1]);
    scheduler.finished(0, &1, Cost { bytes: 12_000.0, work_ms: 1.0 });
    scheduler.submit(0, job(2, Priority::Normal, &[2], 10.0)).unwrap();
    assert!(scheduler.poll(0).is_empty());
    assert!(scheduler.poll(900).is_empty());
    assert_eq!(scheduler.poll(1_100), [2]);
}

#[test]
fn queues_and_lanes_are_bounded() {
    let mut scheduler = Scheduler::new(budget(), 0);
    for n in 0..64 {
        scheduler.submit(0, job(n, Priority::Idle, &[n], 5_000.0)).unwrap();
    }
    assert_eq!(scheduler.submit(0, job(99, Priority::Urgent, &[1], 1.0)), Err(SubmitError::QueueFull(64)));
    assert!(scheduler.cancel(&5) && !scheduler.cancel(&5));
    assert_eq!(scheduler.submit(0, job(7, Priority::Urgent, &[1], 1.0)), Err(SubmitError::DuplicateId));
    let mut now = 0;
    while scheduler.job_counts().0 > 0 {
        for id in scheduler.poll(now) {
            scheduler.finished(now, &id, Cost { bytes: 5_000.0, work_ms: 1.0 });
        }
        now += 100;
    }
    assert!(scheduler.lane_count() > 0);
    scheduler.poll(now + 70_000);
    assert_eq!(scheduler.lane_count(), 0);
}
