//! Evaluation of proposals. It examines the blocks that the proposal affects, the blocks that are short already, which the cover
//! classes identify, and the sums; it examines every range only where blocks change or overlap. The result is the smallest
//! counterexample: the one with the fewest keys, then the lowest first key, then by kind (gap, overlap, holders, zones, capacity),
//! then the lowest number of the block, then of the zone.

use std::collections::{BTreeMap, BTreeSet};

use crate::coverage::{cover_class, BlockEntry, Coverage, RankKey};
use crate::load::{
    self, add, distribute, sum, units, SingleZoneLoad, SoundHolder, ZoneSumUpdate, ZoneSums, ONE,
};
use crate::slots::SlotSet;
use crate::sweep::{sweep, RangeFaults};
use crate::types::{
    Block, BlockAssignment, Counterexample, HolderStatus, KeyRange, Proposal, Requirements, Shortage, State,
    Store, Zone, ZoneLoad,
};

/// A block after the proposal. The holders are slots of known stores, ordered by number.
struct BlockView<'a> {
    block: Block,
    keys: KeyRange,
    load: u64,
    holders: &'a [u32],
}

impl BlockView<'_> {
    fn rank(&self) -> RankKey {
        (self.keys.count(), self.keys.first, self.block)
    }
}

/// A block that the proposal adds or changes.
struct ChangedBlock {
    keys: KeyRange,
    load: u64,
    holders: Vec<u32>,
    holder_stores: BTreeSet<Store>,
}

/// A range that is short; the one of the lowest rank is reported.
struct Finding {
    rank: (u64, u64, u8, Block),
    keys: KeyRange,
    block: Option<Block>,
    shortage: Shortage,
}

impl Finding {
    fn new(keys: KeyRange, block: Option<Block>, shortage: Shortage) -> Self {
        let kind = match shortage {
            Shortage::Gap => 0,
            Shortage::Overlap { .. } => 1,
            Shortage::Holders { .. } => 2,
            Shortage::Zones { .. } => 3,
            Shortage::Capacity { .. } => 4,
        };
        Self { rank: (keys.count(), keys.first, kind, block.unwrap_or_default()), keys, block, shortage }
    }

    fn for_block(block: &BlockView, shortage: Shortage) -> Self {
        Self::new(block.keys, Some(block.block), shortage)
    }
}

/// The table with a proposal applied to it.
struct Projection<'a> {
    table: &'a Coverage,
    requirements: Requirements,
    excluded: SlotSet,
    /// Shares in millionths, by zone slot.
    shares: Vec<u64>,
    changed_blocks: BTreeMap<Block, ChangedBlock>,
    /// Slots of blocks that the proposal removes or changes.
    replaced: Vec<u32>,
    /// Slots of other blocks, of which the proposal excludes a holder.
    weakened: Vec<u32>,
    /// Slots in `replaced` or `weakened`.
    affected: SlotSet,
    /// Differences from the table's zone sums.
    delta: ZoneSums,
    /// The smallest affected block that is short of holders or zones.
    smallest_shortage: Option<Finding>,
}

impl Coverage {
    /// Checks whether every key meets the requirements after the proposal; otherwise returns the smallest range that does not. Every
    /// range counts, including those that are short already. An empty proposal checks the present state.
    pub fn check(&self, proposal: &Proposal, requirements: &Requirements) -> Result<(), Counterexample> {
        let mut projection = Projection::new(self, proposal, requirements);
        let mut found = projection.faults();
        found.extend(projection.smallest_shortage.take());
        found.extend(projection.existing_shortages());
        found.extend(projection.overloaded_zones());
        match found.into_iter().min_by_key(|found| found.rank) {
            None => Ok(()),
            Some(found) => Err(projection.counterexample(found)),
        }
    }

    /// Load and maximum load of each zone that has a store, sound or not, after the proposal.
    pub fn zone_loads(&self, proposal: &Proposal, requirements: &Requirements) -> BTreeMap<Zone, ZoneLoad> {
        let sums_by_zone = Projection::new(self, proposal, requirements).zone_sums().into_iter();
        let zone_load = |sums: Sums| ZoneLoad {
            load: units(sums.load),
            max_load: units(sums.max_load),
            capacity: units(sums.capacity),
        };
        sums_by_zone.map(|(zone, sums)| (zone, zone_load(sums))).collect()
    }
}

/// Load, maximum load and capacity of a zone, in millionths.
struct Sums {
    load: i128,
    max_load: i128,
    capacity: i128,
}

impl ChangedBlock {
    fn new(table: &Coverage, assignment: &BlockAssignment) -> Self {
        let holder_stores: BTreeSet<Store> = assignment.holders.iter().copied().collect();
        let holders = holder_stores.iter().filter_map(|store| table.stores.slot(*store)).collect();
        Self { keys: assignment.keys, load: load::amount(assignment.load), holders, holder_stores }
    }
}

impl<'a> Projection<'a> {
    fn new(table: &'a Coverage, proposal: &Proposal, requirements: &Requirements) -> Self {
        let changed_blocks = proposal
            .changed_blocks
            .iter()
            .map(|assignment| (assignment.block, ChangedBlock::new(table, assignment)));
        let mut projection = Self {
            table,
            requirements: *requirements,
            excluded: SlotSet::default(),
            shares: table.shares_by_slot(),
            changed_blocks: changed_blocks.collect(),
            replaced: Vec::new(),
            weakened: Vec::new(),
            affected: SlotSet::default(),
            delta: ZoneSums::default(),
            smallest_shortage: None,
        };
        for (zone, share) in &proposal.shares {
            if let Some(slot) = table.zones.slot(*zone) {
                projection.shares[slot as usize] = load::share(*share, ONE);
            }
        }
        let replaced = proposal.removed_blocks.iter().chain(projection.changed_blocks.keys());
        let replaced = replaced.filter_map(|block| table.blocks.slot(*block));
        projection.replaced.extend(replaced.filter(|slot| projection.affected.insert(*slot)));
        projection.exclude_stores(proposal);
        projection.compute_delta();
        projection
    }

    /// Marks the excluded stores, collects the blocks of the sound ones among them, and subtracts their capacity.
    fn exclude_stores(&mut self, proposal: &Proposal) {
        for slot in proposal.excluded_stores.iter().filter_map(|store| self.table.stores.slot(*store)) {
            self.excluded.insert(slot);
            let Some(store) = self.table.stores.by_slot(slot) else { continue };
            if store.site.is_some_and(|site| site.state.is_sound()) {
                add(&mut self.delta.capacity, store.zone, -i128::from(store.capacity));
                let affected = &mut self.affected;
                self.weakened.extend(store.blocks.iter().filter(|block| affected.insert(**block)));
            }
        }
    }

    /// Computes the difference in zone sums for the affected blocks, and finds the smallest of them that is short.
    fn compute_delta(&mut self) {
        let (mut delta, mut smallest, mut sound_holders) = (ZoneSums::default(), None::<Finding>, Vec::new());
        std::mem::swap(&mut delta, &mut self.delta);
        let before =
            self.replaced.iter().chain(&self.weakened).filter_map(|slot| self.table.blocks.by_slot(*slot));
        for entry in before {
            self.table.collect_sound(&entry.holders, &SlotSet::default(), &mut sound_holders);
            distribute(entry.load, &sound_holders, &mut ZoneSumUpdate { sums: &mut delta, sign: -1 });
        }
        for block in self.affected() {
            self.table.collect_sound(block.holders, &self.excluded, &mut sound_holders);
            distribute(block.load, &sound_holders, &mut ZoneSumUpdate { sums: &mut delta, sign: 1 });
            let found = self.shortage(&block, &sound_holders);
            smallest = smallest.into_iter().chain(found).min_by_key(|found| found.rank);
        }
        (self.delta, self.smallest_shortage) = (delta, smallest);
    }

    fn view(entry: &BlockEntry) -> BlockView<'_> {
        BlockView { block: entry.block, keys: entry.keys, load: entry.load, holders: &entry.holders }
    }

    /// All blocks that are affected and not removed, as they are after the proposal.
    fn affected(&self) -> impl Iterator<Item = BlockView<'_>> + use<'_, 'a> {
        let weakened =
            self.weakened.iter().filter_map(|slot| self.table.blocks.by_slot(*slot)).map(Self::view);
        let changed_blocks = self.changed_blocks.iter().filter(|(_, changed)| changed.keys.count() > 0);
        weakened.chain(changed_blocks.map(|(block, changed)| BlockView {
            block: *block,
            keys: changed.keys,
            load: changed.load,
            holders: &changed.holders,
        }))
    }

    /// Blocks of a class that are not affected, the smallest first.
    fn unaffected_blocks<'b>(
        &'b self,
        cover_class: &'b BTreeMap<RankKey, u32>,
    ) -> impl Iterator<Item = BlockView<'b>> + use<'b, 'a> {
        let same = cover_class.values().filter(|slot| !self.affected.contains(**slot));
        same.filter_map(|slot| self.table.blocks.by_slot(*slot)).map(Self::view)
    }

    /// Gaps and overlaps. The table knows its own gaps; overlaps, and gaps next to changed blocks, need a sweep.
    fn faults(&self) -> Vec<Finding> {
        let is_unchanged = self.changed_blocks.is_empty() && self.replaced.is_empty();
        let faults = if is_unchanged && self.table.overlaps == 0 {
            let gap = self.table.gaps.first().map(|(count, first)| KeyRange::new(*first, first + count));
            RangeFaults { gap, overlap: None }
        } else {
            self.sweep()
        };
        // The keys of a gap have no holder, so that they are short of holders and of zones if any are required.
        let gap = faults.gap.filter(|_| self.requirements.holders > 0 || self.requirements.zones > 0);
        let gap = gap.map(|keys| Finding::new(keys, None, Shortage::Gap));
        let overlap = faults.overlap.map(|(keys, first, second)| {
            Finding::new(keys, Some(first.min(second)), Shortage::Overlap { other: first.max(second) })
        });
        gap.into_iter().chain(overlap).collect()
    }

    fn sweep(&self) -> RangeFaults {
        let changed_blocks = self.changed_blocks.iter().filter(|(_, changed)| changed.keys.count() > 0);
        let changed_blocks = changed_blocks.map(|(block, changed)| (changed.keys, *block));
        let mut hull = KeyRange::new(u64::MAX, 0);
        let mut extend_hull =
            |keys: KeyRange| hull = KeyRange::new(hull.first.min(keys.first), hull.end.max(keys.end));
        let mut ranges = Vec::with_capacity(self.table.ranges.len() + self.changed_blocks.len());
        let mut replaced = SlotSet::default();
        for slot in &self.replaced {
            replaced.insert(*slot);
        }
        for ((first, block), (end, slot)) in &self.table.ranges {
            extend_hull(KeyRange::new(*first, *end));
            if !replaced.contains(*slot) {
                ranges.push((KeyRange::new(*first, *end), *block));
            }
        }
        for (keys, block) in changed_blocks {
            extend_hull(keys);
            ranges.push((keys, block));
        }
        ranges.sort_by_key(|(keys, block)| (keys.first, *block));
        sweep(ranges.into_iter(), hull)
    }

    /// The smallest unaffected block of each class that is short already.
    fn existing_shortages(&self) -> Vec<Finding> {
        let is_short = |(sound, zones): &(u32, u32)| {
            *sound < self.requirements.holders || *zones < self.requirements.zones
        };
        let blocks_by_class =
            self.table.blocks_by_class.iter().filter(|(cover_class, _)| is_short(cover_class));
        let smallest =
            blocks_by_class.filter_map(|(_, cover_class)| self.unaffected_blocks(cover_class).next());
        let mut sound_holders = Vec::new();
        let found = smallest.filter_map(|block| {
            self.table.collect_sound(block.holders, &self.excluded, &mut sound_holders);
            self.shortage(&block, &sound_holders)
        });
        found.collect()
    }

    /// Shortage of holders or else of zones of a block.
    fn shortage(&self, block: &BlockView, sound_holders: &[SoundHolder]) -> Option<Finding> {
        let (sound, zones) = cover_class(sound_holders);
        let Requirements { holders, zones: least, .. } = self.requirements;
        if sound < holders {
            Some(Finding::for_block(block, Shortage::Holders { sound, least: holders }))
        } else if zones < least {
            Some(Finding::for_block(block, Shortage::Zones { sound: zones, least }))
        } else {
            None
        }
    }

    fn zone_sums(&self) -> BTreeMap<Zone, Sums> {
        let (table_sums, delta) = (&self.table.zone_sums, &self.delta);
        let loads = table_sums.loads(delta, &self.shares);
        // A headroom of NaN counts as 1, so that no load is allowed.
        let headroom = load::share(self.requirements.headroom, ONE);
        let sums = |slot: usize| {
            let capacity = sum(&table_sums.capacity, slot) + sum(&delta.capacity, slot);
            Sums { load: sum(&loads, slot), max_load: load::without_share(capacity, headroom), capacity }
        };
        self.table.zones.keys().map(|(zone, slot)| (zone, sums(slot as usize))).collect()
    }

    /// For each overloaded zone, the smallest range that adds to its load.
    fn overloaded_zones(&self) -> Vec<Finding> {
        let overloaded = self.zone_sums().into_iter().filter(|(_, sums)| sums.load > sums.max_load);
        let found = overloaded.filter_map(|(zone, sums)| {
            let shortage = Shortage::Capacity { zone, load: units(sums.load), room: units(sums.max_load) };
            let slot = self.table.zones.slot(zone)? as usize;
            let mut sound_holders = Vec::new();
            let mut adds_load = |block: &BlockView| self.adds_load_to(block, slot, &mut sound_holders);
            let before = self
                .table
                .blocks_by_class
                .values()
                .filter_map(|cover_class| self.unaffected_blocks(cover_class).find(&mut adds_load));
            let before = before.min_by_key(BlockView::rank);
            // Only affected blocks that would be smaller need to be examined.
            let smaller =
                |block: &BlockView| before.as_ref().is_none_or(|smallest| block.rank() < smallest.rank());
            let mut affected: Vec<BlockView> = self.affected().filter(smaller).collect();
            affected.sort_unstable_by_key(BlockView::rank);
            let found = affected.into_iter().find(&mut adds_load).or(before);
            found.map(|block| Finding::for_block(&block, shortage))
        });
        found.collect()
    }

    fn adds_load_to(&self, block: &BlockView, zone: usize, sound_holders: &mut Vec<SoundHolder>) -> bool {
        self.table.collect_sound(block.holders, &self.excluded, sound_holders);
        let mut zone_load = SingleZoneLoad { zone, shares: &self.shares, sum: 0 };
        distribute(block.load, sound_holders, &mut zone_load);
        zone_load.sum > 0
    }

    fn counterexample(&self, found: Finding) -> Counterexample {
        let Finding { keys, block, shortage, .. } = found;
        let stores = match block.map(|block| (self.changed_blocks.get(&block), self.table.blocks.get(block)))
        {
            Some((Some(changed), _)) => changed.holder_stores.iter().copied().collect(),
            Some((None, Some(entry))) => self.table.store_numbers(&entry.holders),
            _ => Vec::new(),
        };
        let is_capacity = matches!(shortage, Shortage::Capacity { .. });
        let holders =
            stores.into_iter().map(|store| (store, self.holder_status(store, is_capacity))).collect();
        Counterexample { keys, block, shortage, holders }
    }

    fn redirects_load(&self, zone: Zone) -> bool {
        self.table.zones.slot(zone).is_some_and(|slot| self.shares[slot as usize] < ONE)
    }

    fn holder_status(&self, store: Store, is_capacity: bool) -> HolderStatus {
        let slot = self.table.stores.slot(store);
        match self.table.site(store) {
            None => HolderStatus::Unavailable(State::Gone),
            Some(site) if !site.state.is_sound() => HolderStatus::Unavailable(site.state),
            Some(_) if slot.is_some_and(|slot| self.excluded.contains(slot)) => HolderStatus::Excluded,
            Some(site) if is_capacity && self.redirects_load(site.zone) => {
                HolderStatus::ShareReduced(site.zone)
            }
            Some(_) => HolderStatus::Sound,
        }
    }
}
