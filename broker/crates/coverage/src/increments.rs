//! Incremental updates: what one store, or one block, contributes to the indices and sums. Removing a contribution restores the
//! exact previous values, so that the result depends on the present facts only, not on the sequence of changes.

use std::collections::btree_map;

use rustc_hash::FxHashSet;

use crate::coverage::{cover_class, Coverage, StoreEntry};
use crate::load::{self, add, distribute, LoadReceiver, SoundHolder, StoreLoad, ZoneSumUpdate};
use crate::slots::{SlotSet, Slots};
use crate::types::{Block, KeyRange, Site, Store};

/// Adds load to, or subtracts it from, stores and zone sums.
struct StoreAndZoneUpdate<'a> {
    stores: &'a mut Slots<Store, StoreEntry>,
    zone_update: ZoneSumUpdate<'a>,
}

impl LoadReceiver for StoreAndZoneUpdate<'_> {
    fn add_local(&mut self, holder: &SoundHolder, amount: u64) {
        self.zone_update.add_local(holder, amount);
        if let Some(store) = self.stores.by_slot_mut(holder.slot) {
            store.load.local += self.zone_update.sign * i128::from(amount);
        }
    }

    fn add_redirected(&mut self, from: &SoundHolder, to: &SoundHolder, amount: u64) {
        self.zone_update.add_redirected(from, to, amount);
        let amount = self.zone_update.sign * i128::from(amount);
        if let Some(store) = self.stores.by_slot_mut(from.slot) {
            store.load.outgoing += amount;
        }
        if let Some(store) = self.stores.by_slot_mut(to.slot) {
            add(&mut store.load.incoming, from.zone, amount);
        }
    }
}

impl Coverage {
    pub(crate) fn slot_or_insert(&mut self, store: Store) -> u32 {
        let new_entry = || StoreEntry {
            store,
            site: None,
            zone: 0,
            capacity: 0,
            blocks: FxHashSet::default(),
            load: StoreLoad::default(),
        };
        self.stores.slot(store).unwrap_or_else(|| self.stores.insert(store, new_entry()))
    }

    /// Removes the entry of a store that has no site and holds no block.
    pub(crate) fn remove_if_unused(&mut self, store: Store) {
        if self.stores.get(store).is_some_and(|entry| entry.site.is_none() && entry.blocks.is_empty()) {
            self.stores.remove(store);
        }
    }

    /// Sets or removes a store's site, and updates the indices and sums for its blocks.
    pub(crate) fn update_site(&mut self, store: Store, site: Option<Site>) {
        let slot = self.slot_or_insert(store);
        let blocks: Vec<u32> =
            self.stores.by_slot(slot).into_iter().flat_map(|entry| entry.blocks.iter().copied()).collect();
        for block in &blocks {
            self.unindex_block(*block);
        }
        let capacity = site.map_or(0, |site| load::capacity(site.capacity, site.state));
        let previous =
            self.stores.by_slot(slot).and_then(|entry| Some((entry.site?.zone, entry.zone, entry.capacity)));
        if let Some((zone_number, zone, capacity)) = previous {
            self.site_count -= 1;
            add(&mut self.zone_sums.capacity, zone, -i128::from(capacity));
            if self.zones.get_mut(zone_number).is_some_and(|count| std::mem::replace(count, *count - 1) == 1)
            {
                self.zones.remove(zone_number);
            }
        }
        let mut zone = 0;
        if let Some(site) = site {
            self.site_count += 1;
            let found = self.zones.slot(site.zone);
            zone = found.unwrap_or_else(|| self.zones.insert(site.zone, 0)) as usize;
            add(&mut self.zone_sums.capacity, zone, i128::from(capacity));
            if let Some(count) = self.zones.get_mut(site.zone) {
                *count += 1;
            }
        }
        if let Some(entry) = self.stores.by_slot_mut(slot) {
            (entry.site, entry.zone, entry.capacity) = (site, zone, capacity);
        }
        for block in &blocks {
            self.index_block(*block);
        }
        self.remove_if_unused(store);
    }

    /// Removes a block from its class, and subtracts its load.
    pub(crate) fn unindex_block(&mut self, slot: u32) {
        self.apply_load(slot, -1);
        let Some(entry) = self.blocks.by_slot(slot) else { return };
        if let btree_map::Entry::Occupied(mut members) =
            self.blocks_by_class.entry((entry.sound, entry.zones))
        {
            members.get_mut().remove(&entry.rank());
            if members.get().is_empty() {
                members.remove();
            }
        }
    }

    /// Adds a block to its class, and adds its load.
    pub(crate) fn index_block(&mut self, slot: u32) {
        let (sound, zones) = self.apply_load(slot, 1);
        let Some(entry) = self.blocks.by_slot_mut(slot) else { return };
        (entry.sound, entry.zones) = (sound, zones);
        self.blocks_by_class.entry((sound, zones)).or_default().insert(entry.rank(), slot);
    }

    fn apply_load(&mut self, slot: u32, sign: i128) -> (u32, u32) {
        let Some(entry) = self.blocks.by_slot(slot) else { return (0, 0) };
        let mut sound_holders = std::mem::take(&mut self.holder_buffer);
        self.collect_sound(&entry.holders, &SlotSet::default(), &mut sound_holders);
        let load = entry.load;
        let zone_update = ZoneSumUpdate { sums: &mut self.zone_sums, sign };
        distribute(load, &sound_holders, &mut StoreAndZoneUpdate { stores: &mut self.stores, zone_update });
        let cover_class = cover_class(&sound_holders);
        self.holder_buffer = sound_holders;
        cover_class
    }

    pub(crate) fn link_range(&mut self, block: Block, keys: KeyRange, slot: u32) {
        let (before, after) = self.neighbours(block, keys);
        self.update_between(before, after, false);
        self.ranges.insert((keys.first, block), (keys.end, slot));
        self.update_between(before, Some(keys.first), true);
        self.update_between(Some(keys.end), after, true);
    }

    pub(crate) fn unlink_range(&mut self, block: Block, keys: KeyRange) {
        self.ranges.remove(&(keys.first, block));
        let (before, after) = self.neighbours(block, keys);
        self.update_between(before, Some(keys.first), false);
        self.update_between(Some(keys.end), after, false);
        self.update_between(before, after, true);
    }

    /// End of the range before a position, and first key of the range after it.
    fn neighbours(&self, block: Block, keys: KeyRange) -> (Option<u64>, Option<u64>) {
        let position = (keys.first, block);
        // Block maps are loaded in order, so that a new range is usually the last.
        if let Some((_, (end, _))) = self.ranges.last_key_value().filter(|(last, _)| **last < position) {
            return (Some(*end), None);
        }
        let before = self.ranges.range(..position).next_back().map(|(_, (end, _))| *end);
        let after = self.ranges.range(position..).next().map(|((first, _), _)| *first);
        (before, after)
    }

    /// Adds or removes the gap or overlap between two neighbouring ranges.
    fn update_between(&mut self, end: Option<u64>, first: Option<u64>, is_added: bool) {
        let (Some(end), Some(first)) = (end, first) else { return };
        if end < first && is_added {
            self.gaps.insert((first - end, end));
        } else if end < first {
            self.gaps.remove(&(first - end, end));
        } else if end > first && is_added {
            self.overlaps += 1;
        } else if end > first {
            self.overlaps -= 1;
        }
    }
}
