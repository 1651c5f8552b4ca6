//! Simulations of clusters from many seeds: moves, splits and merges under entries and reads, with lost and
//! late messages, unavailable stores, and coordinators that crash, pause or run two at once. A failure prints
//! its seed; `SEED=n` runs only that one.

mod cluster;

use cluster::{ClientReply, Simulation};
use gingerledge_blocks::Reason;

fn simulate(seed: u64) -> Simulation {
    let mut world = Simulation::new(seed, 5);
    world.clients(150, 9000);
    world.run(10_000);
    world.end_faults();
    world.check();
    // The validation before each commit rejects no change that the coordinators started themselves.
    let refused = |process: &cluster::SimulatedCoordinator| {
        process
            .coordinator
            .ended_changes()
            .any(|ended| matches!(ended.change.reason, Some(Reason::Unsound(_))))
    };
    assert!(!world.coordinators.iter().any(refused), "seed {seed}");
    world
}

#[test]
fn seeded_simulations_lose_no_entry_and_execute_none_twice() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|text| text.parse().ok()) {
        simulate(seed);
        return;
    }
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300);
    let (mut changes, mut done, mut good, mut all) = (0, 0, 0, 0);
    for seed in 0..seeds {
        let world = simulate(seed);
        changes += world.changes;
        done += world.done;
        all += world.replies.len();
        good += world.replies.values().filter(|(_, reply)| *reply == ClientReply::Answered).count();
    }
    println!("{seeds} seeds: {changes} changes, {done} done; {good} of {all} asked were answered");
    assert!(done > 5 * seeds as usize && done < changes, "{done} of {changes} changes were done");
    assert!(good * 10 > all * 7, "{good} of {all} were answered");
}

#[test]
fn the_same_seed_gives_the_same_simulation() {
    let (one, two) = (simulate(7), simulate(7));
    assert_eq!(one.replies, two.replies);
    assert_eq!((one.changes, one.done, one.now), (two.changes, two.done, two.now));
    assert_eq!(one.current_coordinator().map().snapshot(), two.current_coordinator().map().snapshot());
}
