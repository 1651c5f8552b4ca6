//! Thousands of seeded clusters: moves, splits and merges under entries and reads, with messages lost and late, stores away,
//! coordinators dead, asleep and two at once. A failure prints its seed; `SEED=n` plays that one alone.

mod world;

use gingerledge_blocks::Reason;
use world::{Told, World};

fn play(seed: u64) -> World {
    let mut world = World::new(seed, 5);
    world.clients(150, 9000);
    world.run(10_000);
    world.calm_down();
    world.check();
    // What is proved at each commit refuses none of the coordinators' own changes.
    let refused = |boss: &world::Boss| {
        boss.coordinator.past().any(|past| matches!(past.change.reason, Some(Reason::Unsound(_))))
    };
    assert!(!world.bosses.iter().any(refused), "seed {seed}");
    world
}

#[test]
fn seeded_clusters_lose_nothing_and_run_nothing_twice() {
    if let Some(seed) = std::env::var("SEED").ok().and_then(|text| text.parse().ok()) {
        play(seed);
        return;
    }
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300);
    let (mut changes, mut done, mut good, mut all) = (0, 0, 0, 0);
    for seed in 0..seeds {
        let world = play(seed);
        changes += world.changes;
        done += world.done;
        all += world.told.len();
        good += world.told.values().filter(|(_, told)| *told == Told::Good).count();
    }
    println!("{seeds} seeds: {changes} changes, {done} done; {good} of {all} asked were answered");
    assert!(done > 5 * seeds as usize && done < changes, "{done} of {changes} changes were done");
    assert!(good * 10 > all * 7, "{good} of {all} were answered");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let (one, two) = (play(7), play(7));
    assert_eq!(one.told, two.told);
    assert_eq!((one.changes, one.done, one.now), (two.changes, two.done, two.now));
    assert_eq!(one.boss().map().snapshot(), two.boss().map().snapshot());
}
