//! Seeded fleets, and what a set away leaves by brute force.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeSet;

use gingerledge_coverage::*;

/// Stores over zones, and blocks with holders drawn from all, spread over zones or not; loads take about `used` of all capacity.
pub fn fleet(
    seed: u64,
    stores: u32,
    zones: u16,
    blocks: u32,
    holders: (u32, u32),
    used: f64,
    spread: bool,
) -> Coverage {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut coverage = Coverage::new(Bounds::default());
    for store in 0..stores {
        let zone = Zone((store % u32::from(zones)) as u16);
        let site = Site {
            store: Store(store),
            zone,
            region: Region(zone.0 / 2),
            capacity: 10.0,
            state: State::Listed,
        };
        coverage.set_site(site).unwrap();
    }
    for block in 0..blocks {
        let mut all: Vec<Store> = (0..stores).map(Store).collect();
        rng.shuffle(&mut all);
        if spread {
            // One in each zone first.
            let mut met = BTreeSet::new();
            all.sort_by_cached_key(|store| !met.insert(store.0 % u32::from(zones)));
        }
        all.truncate(rng.u32(holders.0..=holders.1) as usize);
        let keys = KeyRange::new(u64::from(block) * 10, u64::from(block) * 10 + 10);
        let load = used * 10.0 * f64::from(stores) / f64::from(blocks) * (0.5 + rng.f64());
        coverage.set_block(BlockAssignment { block: Block(block), keys, holders: all, load }).unwrap();
    }
    coverage
}

/// Whether enough holders and zones of each block remain, asked of each block alone.
pub fn remains(coverage: &Coverage, away: &BTreeSet<Store>, least: &Requirements) -> bool {
    coverage.blocks().all(|(block, _)| {
        let holders = coverage.block(block).unwrap().holders;
        let sound =
            holders.iter().filter(|s| !away.contains(s) && coverage.site(**s).unwrap().state.is_sound());
        let zones: Vec<Zone> = sound.map(|s| coverage.site(*s).unwrap().zone).collect();
        zones.len() >= least.holders as usize
            && zones.iter().collect::<BTreeSet<_>>().len() >= least.zones as usize
    })
}
