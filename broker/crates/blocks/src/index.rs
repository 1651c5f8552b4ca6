//! Blocks by their first weigher: a sorted array cut into chunks, so that a look-up touches two short arrays however many
//! blocks there are, and a change moves at most one chunk's length.

use crate::types::BlockId;

/// A chunk is cut in two when it has more entries than this: a search in one that is not in the cache touches a few lines
/// of it only.
const CHUNK: usize = 64;

/// Entries in the order of their first weighers. No two begin at the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// The first weigher of each chunk, apart from the chunks so that the search stays in the cache.
    heads: Vec<u64>,
    chunks: Vec<Vec<(u64, BlockId)>>,
}

impl Index {
    /// The chunk that a weigher belongs to, if any begins at or before it.
    fn chunk(&self, weigher: u64) -> Option<usize> {
        self.heads.partition_point(|head| *head <= weigher).checked_sub(1)
    }

    /// The last entry that begins at or before a weigher.
    pub(crate) fn at(&self, weigher: u64) -> Option<(u64, BlockId)> {
        let chunk = &self.chunks[self.chunk(weigher)?];
        let behind = chunk.partition_point(|(first, _)| *first <= weigher);
        chunk.get(behind.checked_sub(1)?).copied()
    }

    /// Adds an entry, in the place of one that begins at the same weigher.
    pub(crate) fn insert(&mut self, first: u64, id: BlockId) {
        let at = self.chunk(first).unwrap_or(0);
        let Some(chunk) = self.chunks.get_mut(at) else {
            self.heads.push(first);
            self.chunks.push(vec![(first, id)]);
            return;
        };
        match chunk.binary_search_by_key(&first, |(first, _)| *first) {
            Ok(here) => chunk[here].1 = id,
            Err(here) => chunk.insert(here, (first, id)),
        }
        if chunk.len() > CHUNK {
            let rest = chunk.split_off(CHUNK / 2);
            self.heads.insert(at + 1, rest[0].0);
            self.chunks.insert(at + 1, rest);
        }
        self.heads[at] = self.chunks[at][0].0;
    }

    /// Takes the entry at a weigher away, if it is this block's.
    pub(crate) fn remove(&mut self, first: u64, id: BlockId) {
        let Some(at) = self.chunk(first) else { return };
        let chunk = &mut self.chunks[at];
        let Ok(here) = chunk.binary_search_by_key(&first, |(first, _)| *first) else { return };
        if chunk[here].1 != id {
            return;
        }
        chunk.remove(here);
        if chunk.is_empty() {
            self.chunks.remove(at);
            self.heads.remove(at);
        } else {
            self.heads[at] = self.chunks[at][0].0;
        }
    }

    /// All entries in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = BlockId> + '_ {
        self.chunks.iter().flatten().map(|(_, id)| *id)
    }

    /// The entries that begin at or behind one weigher and before another, in order.
    pub(crate) fn range(&self, from: u64, end: u64) -> impl Iterator<Item = BlockId> + '_ {
        let at = self.chunk(from).unwrap_or(0);
        let rest = self.chunks[at.min(self.chunks.len())..].iter().flatten();
        rest.skip_while(move |(first, _)| *first < from)
            .take_while(move |(first, _)| *first < end)
            .map(|(_, id)| *id)
    }
}
