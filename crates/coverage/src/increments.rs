//! The increments: what one store, or one block, adds to and takes from the indices and sums. It promises that taking out
//! what was put in leaves no trace, so that only the facts count and not the way to them.

use std::collections::btree_map;
use std::ops::Bound;

use rustc_hash::FxHashSet;

use crate::coverage::{class, Coverage, StoreEntry};
use crate::load::{self, add, fall, Falls, Onto, Part, StoreLoad};
use crate::slots::Slots;
use crate::types::{Block, Keys, Site, Store};

/// Lets load fall on stores and on the tally.
struct Everywhere<'a> {
    stores: &'a mut Slots<Store, StoreEntry>,
    onto: Onto<'a>,
}

impl Falls for Everywhere<'_> {
    fn near(&mut self, on: &Part, amount: u64) {
        self.onto.near(on, amount);
        if let Some(store) = self.stores.at_mut(on.slot) {
            store.load.near += self.onto.sign * i128::from(amount);
        }
    }

    fn led(&mut self, from: &Part, to: &Part, amount: u64) {
        self.onto.led(from, to, amount);
        let amount = self.onto.sign * i128::from(amount);
        if let Some(store) = self.stores.at_mut(from.slot) {
            store.load.out += amount;
        }
        if let Some(store) = self.stores.at_mut(to.slot) {
            add(&mut store.load.into, from.zone, amount);
        }
    }
}

impl Coverage {
    pub(crate) fn slot_of(&mut self, store: Store) -> u32 {
        let new = || StoreEntry {
            store,
            site: None,
            capacity: 0,
            blocks: FxHashSet::default(),
            load: StoreLoad::default(),
        };
        self.stores.slot(store).unwrap_or_else(|| self.stores.put(store, new()))
    }

    /// A store that is neither set nor held by is none.
    pub(crate) fn let_go(&mut self, store: Store) {
        if self.stores.get(store).is_some_and(|entry| entry.site.is_none() && entry.blocks.is_empty()) {
            self.stores.take(store);
        }
    }

    /// Sets or forgets a store's site, and counts its blocks anew.
    pub(crate) fn stands(&mut self, store: Store, site: Option<Site>) {
        let slot = self.slot_of(store);
        let blocks: Vec<u32> =
            self.stores.at(slot).into_iter().flat_map(|entry| entry.blocks.iter().copied()).collect();
        for block in &blocks {
            self.count_out(*block);
        }
        if let Some(entry) = self.stores.at_mut(slot) {
            let capacity = site.map_or(0, |site| load::capacity(site.capacity, site.state));
            if let Some(was) = entry.site {
                self.set -= 1;
                add(&mut self.tally.capacity, was.zone, -i128::from(entry.capacity));
                if let btree_map::Entry::Occupied(mut count) = self.zones.entry(was.zone) {
                    *count.get_mut() -= 1;
                    if *count.get() == 0 {
                        count.remove();
                    }
                }
            }
            if let Some(site) = site {
                self.set += 1;
                add(&mut self.tally.capacity, site.zone, i128::from(capacity));
                *self.zones.entry(site.zone).or_default() += 1;
            }
            (entry.site, entry.capacity) = (site, capacity);
        }
        for block in &blocks {
            self.count_in(*block);
        }
        self.let_go(store);
    }

    /// Takes a block out of its class, and its load off.
    pub(crate) fn count_out(&mut self, slot: u32) {
        self.falls(slot, -1);
        let Some(entry) = self.blocks.at(slot) else { return };
        if let btree_map::Entry::Occupied(mut class) = self.classes.entry((entry.sound, entry.zones)) {
            class.get_mut().remove(&entry.ranked());
            if class.get().is_empty() {
                class.remove();
            }
        }
    }

    /// Puts a block into its class, and lets its load fall.
    pub(crate) fn count_in(&mut self, slot: u32) {
        let (sound, zones) = self.falls(slot, 1);
        let Some(entry) = self.blocks.at_mut(slot) else { return };
        (entry.sound, entry.zones) = (sound, zones);
        self.classes.entry((sound, zones)).or_default().insert(entry.ranked());
    }

    fn falls(&mut self, slot: u32, sign: i128) -> (u32, u32) {
        let Some(entry) = self.blocks.at(slot) else { return (0, 0) };
        let mut parts = std::mem::take(&mut self.parts);
        self.sound(&entry.holders, &FxHashSet::default(), &mut parts);
        let load = entry.load;
        let onto = Onto { tally: &mut self.tally, sign };
        fall(load, &parts, &mut Everywhere { stores: &mut self.stores, onto });
        let class = class(&parts);
        self.parts = parts;
        class
    }

    pub(crate) fn link(&mut self, block: Block, keys: Keys) {
        self.neighbours(block, keys, false);
        self.order.insert((keys.first, block), keys.end);
        self.neighbours(block, keys, true);
    }

    pub(crate) fn unlink(&mut self, block: Block, keys: Keys) {
        self.neighbours(block, keys, false);
        self.order.remove(&(keys.first, block));
        self.neighbours(block, keys, true);
    }

    /// Notes, or forgets, what lies between the neighbours about a place.
    fn neighbours(&mut self, block: Block, keys: Keys, notes: bool) {
        let place = (keys.first, block);
        let before = self.order.range(..place).next_back().map(|(_, end)| *end);
        let here = self.order.get(&place).copied();
        let after = self.order.range((Bound::Excluded(place), Bound::Unbounded)).next();
        let after = after.map(|((first, _), _)| *first);
        let pairs = match here {
            Some(end) => [before.map(|before| (before, keys.first)), after.map(|after| (end, after))],
            None => [before.zip(after), None],
        };
        for (end, first) in pairs.into_iter().flatten() {
            if end < first && notes {
                self.gaps.insert((first - end, end));
            } else if end < first {
                self.gaps.remove(&(first - end, end));
            } else if end > first && notes {
                self.overlaps += 1;
            } else if end > first {
                self.overlaps -= 1;
            }
        }
    }
}
