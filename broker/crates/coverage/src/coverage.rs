//! The table: stores, blocks and shares, with what is asked of them kept by increments. A change touches the blocks of one
//! store, or one block, and nothing else. It promises that no index, sum or number depends on the order of changes, and that
//! a refused change leaves all as it was.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;

use crate::load::{self, Part, StoreLoad, Tally, ONE};
use crate::slots::{Marks, Slots};
use crate::types::{Block, Bounds, Cover, Full, Held, Keys, Region, Site, Store, Unfit, Zone};

/// Holders that one block may have, whatever the bound says: sums of their capacities stay far from overflow.
const HOLDERS_MOST: usize = 1000;

/// Who covers which key range, with what to spare.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    bounds: Bounds,
    /// Stores that are set or held by, in slots, and their blocks.
    pub(crate) stores: Slots<Store, StoreEntry>,
    /// Stores that are set; sites by zone.
    pub(crate) set: usize,
    pub(crate) zones: Slots<Zone, usize>,
    pub(crate) blocks: Slots<Block, BlockEntry>,
    /// By sound holders and zones, and therein by count of keys and first, with slots.
    pub(crate) classes: BTreeMap<(u32, u32), BTreeMap<Ranked, u32>>,
    /// By first key, with the end and the slot; and what lies between neighbours.
    pub(crate) order: BTreeMap<(u64, Block), (u64, u32)>,
    pub(crate) gaps: BTreeSet<(u64, u64)>,
    pub(crate) overlaps: usize,
    /// Other than 1 only.
    pub(crate) shares: BTreeMap<Zone, u64>,
    pub(crate) tally: Tally,
    /// Used again and again.
    pub(crate) parts: Vec<Part>,
}

/// A block in its class: count of keys, first, number.
pub(crate) type Ranked = (u64, u64, Block);

#[derive(Clone, Debug)]
pub(crate) struct StoreEntry {
    pub(crate) store: Store,
    pub(crate) site: Option<Site>,
    /// Its zone's slot, while it is set.
    pub(crate) zone: usize,
    /// In millionths, as it stands.
    pub(crate) capacity: u64,
    pub(crate) blocks: FxHashSet<u32>,
    pub(crate) load: StoreLoad,
}

#[derive(Clone, Debug)]
pub(crate) struct BlockEntry {
    pub(crate) block: Block,
    pub(crate) keys: Keys,
    pub(crate) load: u64,
    /// Slots, by the stores' numbers.
    pub(crate) holders: Box<[u32]>,
    pub(crate) sound: u32,
    pub(crate) zones: u32,
}

impl BlockEntry {
    pub(crate) fn ranked(&self) -> Ranked {
        (self.keys.count(), self.keys.first, self.block)
    }
}

/// In how many zones, or regions, parts are.
fn count<T: Ord>(parts: &[Part], of: impl Fn(&Part) -> T) -> u32 {
    let new = |(index, part): &(usize, &Part)| parts[..*index].iter().all(|other| of(other) != of(part));
    parts.iter().enumerate().filter(new).count() as u32
}

/// How many are sound, and in how many zones.
pub(crate) fn class(parts: &[Part]) -> (u32, u32) {
    (parts.len() as u32, count(parts, |part| part.zone))
}

impl Coverage {
    /// Nothing held by nobody.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Sets a store, new or otherwise than it was.
    pub fn set_site(&mut self, site: Site) -> Result<(), Full> {
        let was = self.stores.get(site.store).and_then(|entry| entry.site);
        if was.is_none() && self.set >= self.bounds.stores {
            return Err(Full::Stores { store: site.store, most: self.bounds.stores });
        }
        let leaves = usize::from(was.is_some_and(|was| self.zones.get(was.zone) == Some(&1)));
        if self.zones.slot(site.zone).is_none() && self.zones.len() - leaves >= self.bounds.zones {
            return Err(Full::Zones { store: site.store, zone: site.zone, most: self.bounds.zones });
        }
        self.stands(site.store, Some(site));
        Ok(())
    }

    /// Forgets a store: blocks that it holds go on naming it, as one that is gone.
    pub fn remove_site(&mut self, store: Store) {
        if self.stores.get(store).is_some_and(|entry| entry.site.is_some()) {
            self.stands(store, None);
        }
    }

    /// Sets a block, new or otherwise than it was.
    pub fn set_held(&mut self, held: Held) -> Result<(), Unfit> {
        let Held { block, keys, mut holders, load } = held;
        let most = self.bounds.holders.min(HOLDERS_MOST);
        if keys.count() == 0 {
            return Err(Unfit::Empty { block, keys });
        }
        if !(0.0..=load::MOST).contains(&load) {
            return Err(Unfit::Load { block, load });
        }
        if holders.len() > most {
            return Err(Unfit::Holders { block, count: holders.len(), most });
        }
        holders.sort_unstable();
        if let Some(pair) = holders.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(Unfit::Twice { block, store: pair[0] });
        }
        if self.blocks.slot(block).is_none() && self.blocks.len() >= self.bounds.blocks {
            return Err(Unfit::Full { block, most: self.bounds.blocks });
        }
        self.remove_held(block);
        let holders = holders.into_iter().map(|store| self.slot_of(store)).collect();
        let entry = BlockEntry { block, keys, load: load::amount(load), holders, sound: 0, zones: 0 };
        let slot = self.blocks.put(block, entry);
        self.link(block, keys, slot);
        if let Some(entry) = self.blocks.at(slot) {
            for holder in &entry.holders {
                if let Some(store) = self.stores.at_mut(*holder) {
                    store.blocks.insert(slot);
                }
            }
        }
        self.count_in(slot);
        Ok(())
    }

    /// Forgets a block.
    pub fn remove_held(&mut self, block: Block) {
        let Some(slot) = self.blocks.slot(block) else { return };
        self.count_out(slot);
        let Some(entry) = self.blocks.take(block) else { return };
        self.unlink(block, entry.keys);
        for holder in entry.holders {
            if let Some(store) = self.stores.at_mut(holder) {
                store.blocks.remove(&slot);
                let store = store.store;
                self.let_go(store);
            }
        }
    }

    /// Sets what of a zone's load stays in it: 1, all that is near; 0, led away whole. What is no number counts as 1.
    pub fn set_share(&mut self, zone: Zone, share: f64) {
        match load::share(share, ONE) {
            ONE => self.shares.remove(&zone),
            share => self.shares.insert(zone, share),
        };
    }

    /// How the range with a key is covered; where several overlap, the weakest.
    pub fn at(&self, key: u64) -> Option<Cover> {
        let below = self.order.range(..=(key, Block(u32::MAX))).rev();
        // Without overlaps only the last that begins can hold it.
        let look = if self.overlaps == 0 { 1 } else { usize::MAX };
        let holding = below.take(look).filter(|(_, (end, _))| key < *end);
        let holding = holding.filter_map(|(_, (_, slot))| self.blocks.at(*slot));
        let shares = self.shares_by_slot();
        let spare = |entry: &BlockEntry| entry.holders.iter().map(|slot| self.spare(*slot, &shares)).sum();
        let covers = holding.map(|entry| (entry, spare(entry)));
        let weakest = covers
            .min_by_key(|(entry, spare)| (entry.sound, entry.zones, *spare, entry.keys.first, entry.block));
        weakest.map(|(entry, spare)| self.cover(entry, spare))
    }

    /// The weakest ranges: fewest sound holders first, then zones, then what they have to spare, then the first key.
    pub fn weakest(&self, most: usize) -> Vec<Cover> {
        let shares = self.shares_by_slot();
        let spares: Vec<i128> =
            (0..self.stores.places() as u32).map(|slot| self.spare(slot, &shares)).collect();
        let spare =
            |entry: &BlockEntry| entry.holders.iter().map(|slot| spares[*slot as usize]).sum::<i128>();
        let mut found = Vec::new();
        for class in self.classes.values() {
            let left = most - found.len();
            if left == 0 {
                break;
            }
            let entries = class.values().filter_map(|slot| self.blocks.at(*slot));
            let mut entries: Vec<_> =
                entries.map(|entry| ((spare(entry), entry.keys.first, entry.block), entry)).collect();
            if left < entries.len() {
                entries.select_nth_unstable_by_key(left - 1, |(key, _)| *key);
                entries.truncate(left);
            }
            entries.sort_unstable_by_key(|(key, _)| *key);
            found.extend(entries.into_iter().map(|((spare, ..), entry)| self.cover(entry, spare)));
        }
        found
    }

    /// A store as it was set.
    pub fn site(&self, store: Store) -> Option<Site> {
        self.stores.get(store)?.site
    }

    /// Every store that is set, in no order.
    pub fn sites(&self) -> impl Iterator<Item = Site> + '_ {
        self.stores.iter().filter_map(|entry| entry.site)
    }

    /// A block as it was set, its load to the millionth and its holders by number.
    pub fn held(&self, block: Block) -> Option<Held> {
        let entry = self.blocks.get(block)?;
        let holders = self.names(&entry.holders);
        Some(Held { block, keys: entry.keys, holders, load: load::units(entry.load.into()) })
    }

    /// Every block, by first key.
    pub fn blocks(&self) -> impl Iterator<Item = (Block, Keys)> + '_ {
        self.order.iter().map(|((first, block), (end, _))| (*block, Keys { first: *first, end: *end }))
    }

    /// The blocks that a store is named as a holder of, in no order.
    pub fn blocks_at(&self, store: Store) -> impl Iterator<Item = Block> + '_ {
        let slots = self.stores.get(store).into_iter().flat_map(|entry| &entry.blocks);
        slots.filter_map(|slot| Some(self.blocks.at(*slot)?.block))
    }

    /// A zone's share as set.
    pub fn share(&self, zone: Zone) -> f64 {
        load::units(self.share_of(zone).into())
    }

    pub(crate) fn names(&self, holders: &[u32]) -> Vec<Store> {
        holders.iter().filter_map(|slot| Some(self.stores.at(*slot)?.store)).collect()
    }

    pub(crate) fn share_of(&self, zone: Zone) -> u64 {
        self.shares.get(&zone).copied().unwrap_or(ONE)
    }

    /// Shares by zones' slots.
    pub(crate) fn shares_by_slot(&self) -> Vec<u64> {
        let mut shares = vec![ONE; self.zones.places()];
        for (zone, slot) in self.zones.names() {
            shares[slot as usize] = self.share_of(zone);
        }
        shares
    }

    /// The sound ones of holders, by number, without those that are away.
    pub(crate) fn sound(&self, holders: &[u32], away: &Marks, parts: &mut Vec<Part>) {
        parts.clear();
        for slot in holders.iter().filter(|slot| !away.has(**slot)) {
            let Some(entry) = self.stores.at(*slot) else { continue };
            let Some(Site { region, state, .. }) = entry.site else { continue };
            if state.sound() {
                parts.push(Part { slot: *slot, zone: entry.zone, region, capacity: entry.capacity });
            }
        }
    }

    /// What a store can do above what falls on it; nothing, unless it is sound.
    fn spare(&self, slot: u32, shares: &[u64]) -> i128 {
        let sound = self.stores.at(slot).filter(|store| store.site.is_some_and(|site| site.state.sound()));
        sound.map_or(0, |store| (i128::from(store.capacity) - store.load.sum(store.zone, shares)).max(0))
    }

    fn cover(&self, entry: &BlockEntry, spare: i128) -> Cover {
        let site = |slot: &u32| self.stores.at(*slot)?.site.filter(|site| site.state.sound());
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
