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

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().flatten()
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
