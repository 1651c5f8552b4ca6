//! How many waves there must be at least, whoever finds them. Three bounds, of which the greatest counts: a block's holders can't all
//! go at once; stores of which no two may go together (a clique, found greedily) each need a wave; and what is away at once may not
//! take more capacity than all load leaves. Pairs conflict by holders and zones alone, for only these stay short as more stores go:
//! a store that goes can ease a zone, since the load that it drew there falls elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_coverage::{Block, Coverage, Proposal, Requirements, Store, Zone};

/// Stores of a set with what keeps them apart, by their places in it.
pub(crate) struct Apart {
    pub(crate) conflicts: Vec<BTreeSet<usize>>,
    pub(crate) at_least: usize,
}

/// A block's sound holders that are of the set, and what stands beside them.
struct Asked {
    /// Places in the set, and zones.
    own: Vec<(usize, Zone)>,
    sound: u32,
    /// Zones of sound holders that stay.
    staying: BTreeSet<Zone>,
}

impl Asked {
    fn new(coverage: &Coverage, block: Block, places: &BTreeMap<Store, usize>) -> Self {
        let mut asked = Self { own: Vec::new(), sound: 0, staying: BTreeSet::new() };
        let holders = coverage.block(block).map(|held| held.holders).unwrap_or_default();
        let sites = holders.into_iter().filter_map(|store| coverage.site(store));
        for site in sites.filter(|site| site.state.is_sound()) {
            asked.sound += 1;
            match places.get(&site.store) {
                Some(place) => asked.own.push((*place, site.zone)),
                None => drop(asked.staying.insert(site.zone)),
            }
        }
        asked
    }

    /// How many of its own may go at once: enough holders stay, and one in each zone that the others lack.
    fn at_once(&self, least: &Requirements) -> usize {
        let spare = self.sound.saturating_sub(least.holders) as usize;
        let lacking = (least.zones as usize).saturating_sub(self.staying.len());
        spare.min(self.own.len().saturating_sub(lacking))
    }

    /// Whether two of its own can't go together.
    fn parts(&self, one: usize, two: usize, least: &Requirements) -> bool {
        let stay = self.own.iter().filter(|(place, _)| *place != one && *place != two);
        let mut zones: BTreeSet<Zone> = stay.map(|(_, zone)| *zone).collect();
        zones.extend(&self.staying);
        self.sound < least.holders.saturating_add(2) || zones.len() < least.zones as usize
    }
}

impl Apart {
    pub(crate) fn new(coverage: &Coverage, stores: &[Store], least: &Requirements) -> Self {
        let places: BTreeMap<Store, usize> = stores.iter().enumerate().map(|(n, s)| (*s, n)).collect();
        let mut apart = Self {
            conflicts: vec![BTreeSet::new(); stores.len()],
            at_least: usize::from(!stores.is_empty()),
        };
        let blocks: BTreeSet<Block> =
            stores.iter().flat_map(|store| coverage.blocks_of_store(*store)).collect();
        for asked in blocks.into_iter().map(|block| Asked::new(coverage, block, &places)) {
            // None at all: the store is refused alone.
            let bound = asked.own.len().div_ceil(asked.at_once(least).max(1));
            apart.at_least = apart.at_least.max(bound);
            for (n, (one, _)) in asked.own.iter().enumerate() {
                for (two, _) in &asked.own[n + 1..] {
                    if asked.parts(*one, *two, least) {
                        apart.conflicts[*one].insert(*two);
                        apart.conflicts[*two].insert(*one);
                    }
                }
            }
        }
        apart.at_least = apart.at_least.max(apart.clique()).max(by_capacity(coverage, stores, least));
        apart
    }

    /// The greatest clique that is found by starting at each store and taking the one with most conflicts among who is left.
    fn clique(&self) -> usize {
        let grow = |start: usize| {
            let (mut size, mut left) = (1, self.conflicts[start].clone());
            while let Some(next) =
                left.iter().max_by_key(|store| self.conflicts[**store].intersection(&left).count()).copied()
            {
                left = left.intersection(&self.conflicts[next]).copied().collect();
                size += 1;
            }
            size
        };
        (0..self.conflicts.len()).map(grow).max().unwrap_or(0)
    }
}

/// All load stays while each range has a holder: so what is away at once can't take more than the room that it leaves.
fn by_capacity(coverage: &Coverage, stores: &[Store], least: &Requirements) -> usize {
    let sites = stores.iter().filter_map(|store| coverage.site(*store));
    let strength = |site: gingerledge_coverage::Site| match site.state {
        gingerledge_coverage::State::Cold { share } => site.capacity * share,
        state if state.is_sound() => site.capacity,
        _ => 0.0,
    };
    let own: f64 = sites.map(strength).sum();
    let rooms = coverage.zone_loads(&Proposal::default(), least);
    let spare: f64 = rooms.values().map(|room| room.max_load - room.load).sum();
    let kept = 1.0 - least.headroom;
    if least.holders == 0 || kept <= 0.0 || spare <= 0.0 {
        return 0;
    }
    // Sums are rounded to millionths: what lies that close to a whole number is none more.
    (own * kept / spare - 1e-3).ceil().max(0.0) as usize
}
