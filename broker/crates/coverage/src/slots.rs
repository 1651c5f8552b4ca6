//! Tables with reusable slots: entries are found by key, or by slot number without hashing where access is frequent.

use rustc_hash::FxHashMap;

/// A table of entries in reusable slots, with an index by key.
#[derive(Clone, Debug)]
pub(crate) struct Slots<K, T> {
    slots_by_key: FxHashMap<K, u32>,
    entries: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<K, T> Default for Slots<K, T> {
    fn default() -> Self {
        Self { slots_by_key: FxHashMap::default(), entries: Vec::new(), free: Vec::new() }
    }
}

impl<K: std::hash::Hash + Eq + Copy, T> Slots<K, T> {
    pub(crate) fn slot(&self, key: K) -> Option<u32> {
        self.slots_by_key.get(&key).copied()
    }

    pub(crate) fn by_slot(&self, slot: u32) -> Option<&T> {
        self.entries.get(slot as usize)?.as_ref()
    }

    pub(crate) fn by_slot_mut(&mut self, slot: u32) -> Option<&mut T> {
        self.entries.get_mut(slot as usize)?.as_mut()
    }

    pub(crate) fn get(&self, key: K) -> Option<&T> {
        self.by_slot(self.slot(key)?)
    }

    pub(crate) fn get_mut(&mut self, key: K) -> Option<&mut T> {
        self.by_slot_mut(self.slot(key)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().flatten()
    }

    /// Every key with its slot, in no particular order.
    pub(crate) fn keys(&self) -> impl Iterator<Item = (K, u32)> + '_ {
        self.slots_by_key.iter().map(|(key, slot)| (*key, *slot))
    }

    /// Number of slots, including free ones.
    pub(crate) fn slot_count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn len(&self) -> usize {
        self.slots_by_key.len()
    }

    /// Inserts an entry under a new key and returns its slot.
    pub(crate) fn insert(&mut self, key: K, entry: T) -> u32 {
        let slot = self.free.pop().unwrap_or(self.entries.len() as u32);
        if slot as usize == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[slot as usize] = Some(entry);
        }
        self.slots_by_key.insert(key, slot);
        slot
    }

    pub(crate) fn remove(&mut self, key: K) -> Option<T> {
        let slot = self.slots_by_key.remove(&key)?;
        self.free.push(slot);
        self.entries.get_mut(slot as usize)?.take()
    }
}

/// A set of slots, as a bitmap.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotSet(Vec<u64>);

impl SlotSet {
    /// Adds a slot; returns whether it was not in the set.
    pub(crate) fn insert(&mut self, slot: u32) -> bool {
        let (word, bit) = (slot as usize / 64, 1 << (slot % 64));
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let is_new = self.0[word] & bit == 0;
        self.0[word] |= bit;
        is_new
    }

    pub(crate) fn contains(&self, slot: u32) -> bool {
        self.0.get(slot as usize / 64).is_some_and(|word| word >> (slot % 64) & 1 == 1)
    }
}
