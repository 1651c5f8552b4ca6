//! Entries in places that are used again, found by name: what is asked for often is asked for by place.

use rustc_hash::FxHashMap;

/// Entries in places that are used again, found by name.
#[derive(Clone, Debug)]
pub(crate) struct Slots<K, T> {
    by_name: FxHashMap<K, u32>,
    entries: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<K, T> Default for Slots<K, T> {
    fn default() -> Self {
        Self { by_name: FxHashMap::default(), entries: Vec::new(), free: Vec::new() }
    }
}

impl<K: std::hash::Hash + Eq + Copy, T> Slots<K, T> {
    pub(crate) fn slot(&self, name: K) -> Option<u32> {
        self.by_name.get(&name).copied()
    }

    pub(crate) fn at(&self, slot: u32) -> Option<&T> {
        self.entries.get(slot as usize)?.as_ref()
    }

    pub(crate) fn at_mut(&mut self, slot: u32) -> Option<&mut T> {
        self.entries.get_mut(slot as usize)?.as_mut()
    }

    pub(crate) fn get(&self, name: K) -> Option<&T> {
        self.at(self.slot(name)?)
    }

    pub(crate) fn get_mut(&mut self, name: K) -> Option<&mut T> {
        self.at_mut(self.slot(name)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().flatten()
    }

    /// Every name with its slot, in no order.
    pub(crate) fn names(&self) -> impl Iterator<Item = (K, u32)> + '_ {
        self.by_name.iter().map(|(name, slot)| (*name, *slot))
    }

    /// As many as there are places, free ones too.
    pub(crate) fn places(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// The slot of a new name.
    pub(crate) fn put(&mut self, name: K, entry: T) -> u32 {
        let slot = self.free.pop().unwrap_or(self.entries.len() as u32);
        if slot as usize == self.entries.len() {
            self.entries.push(Some(entry));
        } else {
            self.entries[slot as usize] = Some(entry);
        }
        self.by_name.insert(name, slot);
        slot
    }

    pub(crate) fn take(&mut self, name: K) -> Option<T> {
        let slot = self.by_name.remove(&name)?;
        self.free.push(slot);
        self.entries.get_mut(slot as usize)?.take()
    }
}

/// A mark for slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct Marks(Vec<u64>);

impl Marks {
    /// Marks a slot; whether it was not.
    pub(crate) fn mark(&mut self, slot: u32) -> bool {
        let (word, bit) = (slot as usize / 64, 1 << (slot % 64));
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let new = self.0[word] & bit == 0;
        self.0[word] |= bit;
        new
    }

    pub(crate) fn has(&self, slot: u32) -> bool {
        self.0.get(slot as usize / 64).is_some_and(|word| word >> (slot % 64) & 1 == 1)
    }
}
