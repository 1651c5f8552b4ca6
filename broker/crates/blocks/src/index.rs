//! Index of blocks by their first weigher: a sorted array in chunks. A look-up searches two short arrays
//! whatever the number of blocks, and an update moves at most one chunk of entries.

use crate::types::BlockId;

/// A chunk with more entries than this is split in two. With chunks of this size, a search in a chunk that is
/// not in the CPU cache loads only a few cache lines.
const MAX_CHUNK_ENTRIES: usize = 64;

/// Entries sorted by first weigher. No two entries have the same first weigher.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// First weigher of each chunk, stored apart from the chunks so that the search stays in the CPU cache.
    chunk_firsts: Vec<u64>,
    chunks: Vec<Vec<(u64, BlockId)>>,
}

impl Index {
    /// Returns the index of the chunk that covers a weigher, or `None` if every chunk begins after it.
    fn chunk_index(&self, weigher: u64) -> Option<usize> {
        self.chunk_firsts.partition_point(|first| *first <= weigher).checked_sub(1)
    }

    /// Returns the last entry that begins at or before a weigher.
    pub(crate) fn last_at_or_before(&self, weigher: u64) -> Option<(u64, BlockId)> {
        let chunk = &self.chunks[self.chunk_index(weigher)?];
        let next = chunk.partition_point(|(first, _)| *first <= weigher);
        chunk.get(next.checked_sub(1)?).copied()
    }

    /// Inserts an entry and replaces an existing one with the same first weigher.
    pub(crate) fn insert(&mut self, first: u64, id: BlockId) {
        let index = self.chunk_index(first).unwrap_or(0);
        let Some(chunk) = self.chunks.get_mut(index) else {
            self.chunk_firsts.push(first);
            self.chunks.push(vec![(first, id)]);
            return;
        };
        match chunk.binary_search_by_key(&first, |(first, _)| *first) {
            Ok(position) => chunk[position].1 = id,
            Err(position) => chunk.insert(position, (first, id)),
        }
        if chunk.len() > MAX_CHUNK_ENTRIES {
            let rest = chunk.split_off(MAX_CHUNK_ENTRIES / 2);
            self.chunk_firsts.insert(index + 1, rest[0].0);
            self.chunks.insert(index + 1, rest);
        }
        self.chunk_firsts[index] = self.chunks[index][0].0;
    }

    /// Removes the entry with this first weigher if it belongs to the given block.
    pub(crate) fn remove(&mut self, first: u64, id: BlockId) {
        let Some(index) = self.chunk_index(first) else { return };
        let chunk = &mut self.chunks[index];
        let Ok(position) = chunk.binary_search_by_key(&first, |(first, _)| *first) else { return };
        if chunk[position].1 != id {
            return;
        }
        chunk.remove(position);
        if chunk.is_empty() {
            self.chunks.remove(index);
            self.chunk_firsts.remove(index);
        } else {
            self.chunk_firsts[index] = self.chunks[index][0].0;
        }
    }

    /// Iterates over all block identifiers in the order of their first weighers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = BlockId> + '_ {
        self.chunks.iter().flatten().map(|(_, id)| *id)
    }

    /// Iterates, in order, over the blocks whose first weigher is in `from..end`.
    pub(crate) fn range(&self, from: u64, end: u64) -> impl Iterator<Item = BlockId> + '_ {
        let index = self.chunk_index(from).unwrap_or(0);
        let rest = self.chunks[index.min(self.chunks.len())..].iter().flatten();
        rest.skip_while(move |(first, _)| *first < from)
            .take_while(move |(first, _)| *first < end)
            .map(|(_, id)| *id)
    }
}
