//! The scheduler's promises over seeded random work.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;

use fastrand::Rng;
use gingerledge_background::{Budget, Class, Cost, Job, Rate, Refused, Scheduler};

fn budget() -> Budget {
    Budget {
        bytes: Rate { per_s: 10_000.0, burst: 2_000.0 },
        work: Rate { per_s: 1e9, burst: 1e9 },
        lane_bytes: Rate { per_s: 4_000.0, burst: 1_000.0 },
        lane_jobs: 2,
        jobs: 8,
        waiting: 64,
        least: 0.2,
        pressed: 4.0,
        aging_ms: 5_000,
    }
}

fn job(id: u32, class: Class, lanes: &[u32], bytes: f64) -> Job<u32, u32> {
    Job { id, class, lanes: lanes.to_vec(), cost: Cost { bytes, work_ms: 1.0 } }
}

/// Runs random work for a minute of its time; gives when each job began, with its lanes and bytes.
fn play(seed: u64, queries: usize) -> Vec<(u64, Job<u32, u32>)> {
    let mut rng = Rng::with_seed(seed);
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.queries(0, queries);
    let (mut jobs, mut begun, mut ends) = (HashMap::new(), Vec::new(), Vec::<(u64, u32)>::new());
    for now in (0..60_000).step_by(5) {
        if rng.u32(..3) == 0 {
            let class = [Class::Urgent, Class::Normal, Class::Idle][rng.usize(..3)];
            let (from, to) = (rng.u32(..4), rng.u32(4..8));
            let job = job(now as u32, class, &[from, to], rng.f64() * 800.0);
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
            begun.push((now, jobs[&id].clone()));
            ends.push((now + rng.u64(1..60), id));
        }
        assert!(scheduler.load().0 <= 64 && scheduler.load().1 <= 8, "seed {seed}");
    }
    begun
}

#[test]
fn no_window_has_more_than_its_rate_and_burst() {
    for seed in 0..20 {
        let begun = play(seed, 0);
        assert!(begun.len() > 300, "seed {seed}: {}", begun.len());
        for lane in [None, Some(0), Some(5)] {
            let (rate, burst) = if lane.is_some() { (4_000.0, 1_000.0) } else { (10_000.0, 2_000.0) };
            let through: Vec<(u64, f64)> = begun
                .iter()
                .filter(|(_, job)| lane.is_none_or(|lane| job.lanes.contains(&lane)))
                .map(|(at, job)| (*at, job.cost.bytes))
                .collect();
            for (n, (from, _)) in through.iter().enumerate() {
                let mut sum = 0.0;
                for (until, bytes) in &through[n..] {
                    sum += bytes;
                    let most = burst + rate * (until - from) as f64 / 1000.0 + 1.0;
                    assert!(sum <= most, "seed {seed}, lane {lane:?}: {sum} in {from} to {until}");
                }
            }
        }
    }
}

#[test]
fn the_same_seed_begins_the_same_work() {
    assert_eq!(play(3, 2), play(3, 2));
}

#[test]
fn queries_press_the_budget_down_and_urgent_work_goes_on() {
    for seed in 0..10 {
        let (free, pressed) = (play(seed, 0), play(seed, 1000));
        let all = |begun: &[(u64, Job<u32, u32>)]| begun.iter().map(|(_, job)| job.cost.bytes).sum::<f64>();
        assert!(all(&pressed) < all(&free) * 0.4, "seed {seed}");
        // A fifth of the rate is kept, and what others wait for has most of it.
        assert!(all(&pressed) > 60.0 * 10_000.0 * 0.2 * 0.5, "seed {seed}: {}", all(&pressed));
    }
    // While queries wait only urgent work is begun, ahead of all that came before it.
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.queries(0, 1000);
    for n in 0..20 {
        scheduler.submit(0, job(n, Class::Normal, &[n], 500.0)).unwrap();
    }
    assert!(scheduler.poll(0).is_empty());
    scheduler.submit(1, job(99, Class::Urgent, &[3], 500.0)).unwrap();
    assert_eq!(scheduler.poll(1), [99]);
    scheduler.queries(2, 0);
    assert_eq!(scheduler.poll(2).len(), 3, "the burst's rest");
}

#[test]
fn idle_work_rises_and_is_not_passed_for_ever() {
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.submit(0, job(1, Class::Idle, &[1], 900.0)).unwrap();
    let (mut next, mut begun) = (100, Vec::new());
    for now in (0..30_000).step_by(10) {
        // Urgent work without end, in the same lane.
        while scheduler.submit(now, job(next, Class::Urgent, &[1], 900.0)).is_ok() && scheduler.load().0 < 8 {
            next += 1;
        }
        next += 1;
        for id in scheduler.poll(now) {
            begun.push((now, id));
            scheduler.finished(now, &id, Cost { bytes: 900.0, work_ms: 1.0 });
        }
    }
    let at = begun.iter().find(|(_, id)| *id == 1).map(|(at, _)| *at);
    assert!(at.is_some_and(|at| (10_000..20_000).contains(&at)), "{at:?}");
}

#[test]
fn a_large_job_is_not_passed_by_small_ones_and_a_shut_lane_holds_up_no_other() {
    let mut scheduler = Scheduler::new(budget(), 0);
    for n in 0..3 {
        scheduler.submit(0, job(n, Class::Normal, &[1], 900.0)).unwrap();
    }
    scheduler.submit(0, job(9, Class::Normal, &[2], 900.0)).unwrap();
    // Lane 1 has had its burst with the first; lane 2 is free.
    assert_eq!(scheduler.poll(0), [0, 9]);
    let due = scheduler.due(0).unwrap();
    assert!((150..=300).contains(&due), "{due}");
    assert_eq!(scheduler.poll(due), [1]);
}

#[test]
fn what_cost_more_than_expected_is_paid_by_those_that_follow() {
    let mut scheduler = Scheduler::new(budget(), 0);
    scheduler.submit(0, job(1, Class::Normal, &[1], 10.0)).unwrap();
    assert_eq!(scheduler.poll(0), [1]);
    scheduler.finished(0, &1, Cost { bytes: 12_000.0, work_ms: 1.0 });
    scheduler.submit(0, job(2, Class::Normal, &[2], 10.0)).unwrap();
    assert!(scheduler.poll(0).is_empty());
    assert!(scheduler.poll(900).is_empty());
    assert_eq!(scheduler.poll(1_100), [2]);
}

#[test]
fn queues_and_lanes_are_bounded() {
    let mut scheduler = Scheduler::new(budget(), 0);
    for n in 0..64 {
        scheduler.submit(0, job(n, Class::Idle, &[n], 5_000.0)).unwrap();
    }
    assert_eq!(scheduler.submit(0, job(99, Class::Urgent, &[1], 1.0)), Err(Refused::Full(64)));
    assert!(scheduler.cancel(&5) && !scheduler.cancel(&5));
    assert_eq!(scheduler.submit(0, job(7, Class::Urgent, &[1], 1.0)), Err(Refused::Twice));
    let mut now = 0;
    while scheduler.load().0 > 0 {
        for id in scheduler.poll(now) {
            scheduler.finished(now, &id, Cost { bytes: 5_000.0, work_ms: 1.0 });
        }
        now += 100;
    }
    assert!(scheduler.lanes() > 0);
    scheduler.poll(now + 70_000);
    assert_eq!(scheduler.lanes(), 0);
}
