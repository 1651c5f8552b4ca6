//! The increments: what one store, or one block, adds to and takes from the indices and sums. It promises that taking out
//! what was put in leaves no trace, so that only the facts count and not the way to them.

use std::collections::btree_map;

use rustc_hash::FxHashSet;

use crate::coverage::{class, Coverage, StoreEntry};
use crate::load::{self, add, fall, Falls, Onto, Part, StoreLoad};
use crate::slots::{Marks, Slots};
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
            zone: 0,
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
        let capacity = site.map_or(0, |site| load::capacity(site.capacity, site.state));
        let was = self.stores.at(slot).and_then(|entry| Some((entry.site?.zone, entry.zone, entry.capacity)));
        if let Some((name, zone, capacity)) = was {
            self.set -= 1;
            add(&mut self.tally.capacity, zone, -i128::from(capacity));
            if self.zones.get_mut(name).is_some_and(|count| std::mem::replace(count, *count - 1) == 1) {
                self.zones.take(name);
            }
        }
        let mut zone = 0;
        if let Some(site) = site {
            self.set += 1;
            let found = self.zones.slot(site.zone);
            zone = found.unwrap_or_else(|| self.zones.put(site.zone, 0)) as usize;
            add(&mut self.tally.capacity, zone, i128::from(capacity));
            if let Some(count) = self.zones.get_mut(site.zone) {
                *count += 1;
            }
        }
        if let Some(entry) = self.stores.at_mut(slot) {
            (entry.site, entry.zone, entry.capacity) = (site, zone, capacity);
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
        self.classes.entry((sound, zones)).or_default().insert(entry.ranked(), slot);
    }

    fn falls(&mut self, slot: u32, sign: i128) -> (u32, u32) {
        let Some(entry) = self.blocks.at(slot) else { return (0, 0) };
        let mut parts = std::mem::take(&mut self.parts);
        self.sound(&entry.holders, &Marks::default(), &mut parts);
        let load = entry.load;
        let onto = Onto { tally: &mut self.tally, sign };
        fall(load, &parts, &mut Everywhere { stores: &mut self.stores, onto });
        let class = class(&parts);
        self.parts = parts;
        class
    }

    pub(crate) fn link(&mut self, block: Block, keys: Keys, slot: u32) {
        let (before, after) = self.neighbours(block, keys);
        self.between(before, after, false);
        self.order.insert((keys.first, block), (keys.end, slot));
        self.between(before, Some(keys.first), true);
        self.between(Some(keys.end), after, true);
    }

    pub(crate) fn unlink(&mut self, block: Block, keys: Keys) {
        self.order.remove(&(keys.first, block));
        let (before, after) = self.neighbours(block, keys);
        self.between(before, Some(keys.first), false);
        self.between(Some(keys.end), after, false);
        self.between(before, after, true);
    }

    /// Where the range before a place ends, and the one behind it begins.
    fn neighbours(&self, block: Block, keys: Keys) -> (Option<u64>, Option<u64>) {
        let place = (keys.first, block);
        // Maps come in order: mostly a new range is the last.
        if let Some((_, (end, _))) = self.order.last_key_value().filter(|(last, _)| **last < place) {
            return (Some(*end), None);
        }
        let before = self.order.range(..place).next_back().map(|(_, (end, _))| *end);
        let after = self.order.range(place..).next().map(|((first, _), _)| *first);
        (before, after)
    }

    /// Notes, or forgets, what lies between two neighbours.
    fn between(&mut self, end: Option<u64>, first: Option<u64>, notes: bool) {
        let (Some(end), Some(first)) = (end, first) else { return };
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
