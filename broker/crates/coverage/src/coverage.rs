//! The table of stores, blocks and shares, with indices and sums that are updated incrementally. A change touches only the blocks
//! of one store, or one block. No index, sum or reported number depends on the order of changes, and a rejected change
//! leaves the table as it was.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;

use crate::load::{self, SoundHolder, StoreLoad, ZoneSums, ONE};
use crate::slots::{SlotSet, Slots};
use crate::types::{
    Block, BlockAssignment, BlockError, Bounds, Cover, KeyRange, LimitError, Region, Site, Store, Zone,
};

/// Maximum number of holders of one block, whatever `Bounds` says: sums of their capacities stay far from overflow.
const MAX_HOLDERS: usize = 1000;

/// The table of which stores hold which key range, with their load and capacity.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    bounds: Bounds,
    /// Stores that have a site or hold a block.
    pub(crate) stores: Slots<Store, StoreEntry>,
    /// Number of stores that have a site.
    pub(crate) site_count: usize,
    /// Number of stores with a site, by zone.
    pub(crate) zones: Slots<Zone, usize>,
    pub(crate) blocks: Slots<Block, BlockEntry>,
    /// Slots of blocks by numbers of sound holders and of zones with sound holders, then by rank.
    pub(crate) blocks_by_class: BTreeMap<(u32, u32), BTreeMap<RankKey, u32>>,
    /// End and slot of each block, by first key and number.
    pub(crate) ranges: BTreeMap<(u64, Block), (u64, u32)>,
    /// Gaps between neighbouring ranges: number of keys and first key.
    pub(crate) gaps: BTreeSet<(u64, u64)>,
    /// Number of pairs of neighbouring ranges that overlap.
    pub(crate) overlaps: usize,
    /// Shares of zones in millionths, only those other than 1.
    pub(crate) shares: BTreeMap<Zone, u64>,
    pub(crate) zone_sums: ZoneSums,
    /// Reusable buffer for the sound holders of a block.
    pub(crate) holder_buffer: Vec<SoundHolder>,
}

/// Rank of a block within its class: number of keys, first key, number of the block.
pub(crate) type RankKey = (u64, u64, Block);

#[derive(Clone, Debug)]
pub(crate) struct StoreEntry {
    pub(crate) store: Store,
    pub(crate) site: Option<Site>,
    /// Slot of the zone, while the store has a site.
    pub(crate) zone: usize,
    /// Capacity in the present state, in millionths.
    pub(crate) capacity: u64,
    pub(crate) blocks: FxHashSet<u32>,
    pub(crate) load: StoreLoad,
}

#[derive(Clone, Debug)]
pub(crate) struct BlockEntry {
    pub(crate) block: Block,
    pub(crate) keys: KeyRange,
    pub(crate) load: u64,
    /// Slots of the holders, ordered by the stores' numbers.
    pub(crate) holders: Box<[u32]>,
    pub(crate) sound: u32,
    pub(crate) zones: u32,
}

impl BlockEntry {
    pub(crate) fn rank(&self) -> RankKey {
        (self.keys.count(), self.keys.first, self.block)
    }
}

/// Number of distinct values of a property, such as the zone, among holders.
fn count_distinct<T: Ord>(holders: &[SoundHolder], property: impl Fn(&SoundHolder) -> T) -> u32 {
    let is_first = |(index, holder): &(usize, &SoundHolder)| {
        holders[..*index].iter().all(|other| property(other) != property(holder))
    };
    holders.iter().enumerate().filter(is_first).count() as u32
}

/// Number of sound holders, and number of zones that they are in.
pub(crate) fn cover_class(holders: &[SoundHolder]) -> (u32, u32) {
    (holders.len() as u32, count_distinct(holders, |holder| holder.zone))
}

impl Coverage {
    /// Creates an empty table.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Adds a store or replaces its site.
    pub fn set_site(&mut self, site: Site) -> Result<(), LimitError> {
        let previous = self.stores.get(site.store).and_then(|entry| entry.site);
        if previous.is_none() && self.site_count >= self.bounds.stores {
            return Err(LimitError::Stores { store: site.store, limit: self.bounds.stores });
        }
        let vacated_zones =
            usize::from(previous.is_some_and(|previous| self.zones.get(previous.zone) == Some(&1)));
        if self.zones.slot(site.zone).is_none() && self.zones.len() - vacated_zones >= self.bounds.zones {
            return Err(LimitError::Zones { store: site.store, zone: site.zone, limit: self.bounds.zones });
        }
        self.update_site(site.store, Some(site));
        Ok(())
    }

    /// Removes a store's site. Blocks that it holds keep it as a holder, which then counts as gone.
    pub fn remove_site(&mut self, store: Store) {
        if self.stores.get(store).is_some_and(|entry| entry.site.is_some()) {
            self.update_site(store, None);
        }
    }

    /// Adds a block or replaces it.
    pub fn set_block(&mut self, assignment: BlockAssignment) -> Result<(), BlockError> {
        let BlockAssignment { block, keys, mut holders, load } = assignment;
        let limit = self.bounds.holders.min(MAX_HOLDERS);
        if keys.count() == 0 {
            return Err(BlockError::EmptyRange { block, keys });
        }
        if !(0.0..=load::MAX_AMOUNT).contains(&load) {
            return Err(BlockError::InvalidLoad { block, load });
        }
        if holders.len() > limit {
            return Err(BlockError::TooManyHolders { block, count: holders.len(), limit });
        }
        holders.sort_unstable();
        if let Some(pair) = holders.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(BlockError::DuplicateHolder { block, store: pair[0] });
        }
        if self.blocks.slot(block).is_none() && self.blocks.len() >= self.bounds.blocks {
            return Err(BlockError::TooManyBlocks { block, limit: self.bounds.blocks });
        }
        self.remove_block(block);
        let holders = holders.into_iter().map(|store| self.slot_or_insert(store)).collect();
        let entry = BlockEntry { block, keys, load: load::amount(load), holders, sound: 0, zones: 0 };
        let slot = self.blocks.insert(block, entry);
        self.link_range(block, keys, slot);
        if let Some(entry) = self.blocks.by_slot(slot) {
            for holder in &entry.holders {
                if let Some(store) = self.stores.by_slot_mut(*holder) {
                    store.blocks.insert(slot);
                }
            }
        }
        self.index_block(slot);
        Ok(())
    }

    /// Removes a block.
    pub fn remove_block(&mut self, block: Block) {
        let Some(slot) = self.blocks.slot(block) else { return };
        self.unindex_block(slot);
        let Some(entry) = self.blocks.remove(block) else { return };
        self.unlink_range(block, entry.keys);
        for holder in entry.holders {
            if let Some(store) = self.stores.by_slot_mut(holder) {
                store.blocks.remove(&slot);
                let store = store.store;
                self.remove_if_unused(store);
            }
        }
    }

    /// Sets the share of a zone's load that it serves itself: 1 for all of it, 0 if all of it is redirected to other zones. NaN counts
    /// as 1.
    pub fn set_share(&mut self, zone: Zone, share: f64) {
        match load::share(share, ONE) {
            ONE => self.shares.remove(&zone),
            share => self.shares.insert(zone, share),
        };
    }

    /// Cover of the range that contains a key; the weakest if several overlap.
    pub fn cover_at(&self, key: u64) -> Option<Cover> {
        let before = self.ranges.range(..=(key, Block(u32::MAX))).rev();
        // Without overlaps only the last range that begins at or before the key can contain it.
        let lookback = if self.overlaps == 0 { 1 } else { usize::MAX };
        let candidates = before.take(lookback).filter(|(_, (end, _))| key < *end);
        let candidates = candidates.filter_map(|(_, (_, slot))| self.blocks.by_slot(*slot));
        let shares = self.shares_by_slot();
        let spare = |entry: &BlockEntry| entry.holders.iter().map(|slot| self.spare(*slot, &shares)).sum();
        let covers = candidates.map(|entry| (entry, spare(entry)));
        let weakest = covers
            .min_by_key(|(entry, spare)| (entry.sound, entry.zones, *spare, entry.keys.first, entry.block));
        weakest.map(|(entry, spare)| self.cover(entry, spare))
    }

    /// Up to `limit` ranges in ascending order of sound holders, then zones, then free capacity, then first key.
    pub fn weakest(&self, limit: usize) -> Vec<Cover> {
        let shares = self.shares_by_slot();
        let spare_by_slot: Vec<i128> =
            (0..self.stores.slot_count() as u32).map(|slot| self.spare(slot, &shares)).collect();
        let spare =
            |entry: &BlockEntry| entry.holders.iter().map(|slot| spare_by_slot[*slot as usize]).sum::<i128>();
        let mut found = Vec::new();
        for members in self.blocks_by_class.values() {
            let remaining = limit - found.len();
            if remaining == 0 {
                break;
            }
            let entries = members.values().filter_map(|slot| self.blocks.by_slot(*slot));
            let mut entries: Vec<_> =
                entries.map(|entry| ((spare(entry), entry.keys.first, entry.block), entry)).collect();
            if remaining < entries.len() {
                entries.select_nth_unstable_by_key(remaining - 1, |(key, _)| *key);
                entries.truncate(remaining);
            }
            entries.sort_unstable_by_key(|(key, _)| *key);
            found.extend(entries.into_iter().map(|((spare, ..), entry)| self.cover(entry, spare)));
        }
        found
    }

    /// Site of a store.
    pub fn site(&self, store: Store) -> Option<Site> {
        self.stores.get(store)?.site
    }

    /// Sites of all stores, in no particular order.
    pub fn sites(&self) -> impl Iterator<Item = Site> + '_ {
        self.stores.iter().filter_map(|entry| entry.site)
    }

    /// A block as it was set, with its load rounded to millionths and its holders ordered by number.
    pub fn block(&self, block: Block) -> Option<BlockAssignment> {
        let entry = self.blocks.get(block)?;
        let holders = self.store_numbers(&entry.holders);
        Some(BlockAssignment { block, keys: entry.keys, holders, load: load::units(entry.load.into()) })
    }

    /// All blocks, ordered by first key.
    pub fn blocks(&self) -> impl Iterator<Item = (Block, KeyRange)> + '_ {
        self.ranges.iter().map(|((first, block), (end, _))| (*block, KeyRange { first: *first, end: *end }))
    }

    /// Blocks that name a store as a holder, in no particular order.
    pub fn blocks_of_store(&self, store: Store) -> impl Iterator<Item = Block> + '_ {
        let slots = self.stores.get(store).into_iter().flat_map(|entry| &entry.blocks);
        slots.filter_map(|slot| Some(self.blocks.by_slot(*slot)?.block))
    }

    /// Share of a zone; see [`Coverage::set_share`].
    pub fn share(&self, zone: Zone) -> f64 {
        load::units(self.share_millionths(zone).into())
    }

    pub(crate) fn store_numbers(&self, holders: &[u32]) -> Vec<Store> {
        holders.iter().filter_map(|slot| Some(self.stores.by_slot(*slot)?.store)).collect()
    }

    pub(crate) fn share_millionths(&self, zone: Zone) -> u64 {
        self.shares.get(&zone).copied().unwrap_or(ONE)
    }

    /// Shares in millionths by zone slot.
    pub(crate) fn shares_by_slot(&self) -> Vec<u64> {
        let mut shares = vec![ONE; self.zones.slot_count()];
        for (zone, slot) in self.zones.keys() {
            shares[slot as usize] = self.share_millionths(zone);
        }
        shares
    }

    /// Collects the sound ones of `holders`, ordered by number, without the excluded stores.
    pub(crate) fn collect_sound(&self, holders: &[u32], excluded: &SlotSet, sound: &mut Vec<SoundHolder>) {
        sound.clear();
        for slot in holders.iter().filter(|slot| !excluded.contains(**slot)) {
            let Some(entry) = self.stores.by_slot(*slot) else { continue };
            let Some(Site { region, state, .. }) = entry.site else { continue };
            if state.is_sound() {
                sound.push(SoundHolder { slot: *slot, zone: entry.zone, region, capacity: entry.capacity });
            }
        }
    }

    /// Capacity minus load of a store in millionths, at least 0; 0 if the store is not sound.
    fn spare(&self, slot: u32, shares: &[u64]) -> i128 {
        let sound_store =
            self.stores.by_slot(slot).filter(|store| store.site.is_some_and(|site| site.state.is_sound()));
        sound_store
            .map_or(0, |store| (i128::from(store.capacity) - store.load.sum(store.zone, shares)).max(0))
    }

    fn cover(&self, entry: &BlockEntry, spare: i128) -> Cover {
        let site = |slot: &u32| self.stores.by_slot(*slot)?.site.filter(|site| site.state.is_sound());
        let regions: BTreeSet<Region> =
            entry.holders.iter().filter_map(site).map(|site| site.region).collect();
        Cover {
            keys: entry.keys,
            block: entry.block,
            sound: entry.sound,
            zones: entry.zones,
            regions: regions.len() as u32,
            spare: load::units(spare),
        }
    }
}
