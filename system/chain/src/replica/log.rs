//! The entries of one replica that are held in memory, and up to which index they are durable, committed and applied.
//!
//! Always: `applied_index <= commit_index <= durable_index <= last_index`, and every entry after `applied_index` is held.

use std::collections::VecDeque;

use crate::record::LogRecord;

/// One command with the epoch in which it was written here.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub epoch: u64,
    pub command: Vec<u8>,
}

/// The entries and their positions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// Entries `compacted_index + 1 ..= last_index`.
    entries: VecDeque<Entry>,
    compacted_index: u64,
    command_bytes: usize,
    unapplied_bytes: usize,
    durable_index: u64,
    commit_index: u64,
    applied_index: u64,
}

impl Log {
    /// Index of the last entry, durable or not.
    pub(super) fn last_index(&self) -> u64 {
        self.compacted_index + self.entries.len() as u64
    }

    /// Index of the last synced entry.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Index of the last entry known to be committed and durable here.
    pub(super) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index of the last entry given to the host.
    pub(super) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The index before the oldest entry still held.
    pub(super) fn compacted_index(&self) -> u64 {
        self.compacted_index
    }

    /// Bytes of the commands that aren't applied.
    pub(super) fn unapplied_bytes(&self) -> usize {
        self.unapplied_bytes
    }

    /// Adds an entry and gives the record to persist.
    pub(super) fn append(&mut self, epoch: u64, command: Vec<u8>) -> LogRecord {
        let record = LogRecord::Entry {
            epoch,
            index: self.last_index() + 1,
            commit_index: self.commit_index,
            command: command.clone(),
        };
        self.push(Entry { epoch, command });
        record
    }

    fn push(&mut self, entry: Entry) {
        self.command_bytes += entry.command.len();
        self.unapplied_bytes += entry.command.len();
        self.entries.push_back(entry);
    }

    /// An entry that is still held.
    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.compacted_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// The entries up to here are synced. Entries that were truncated since do no harm: no others are appended
    /// before the record of that truncation is synced as well.
    pub(super) fn mark_durable(&mut self, up_to: u64) {
        self.durable_index = self.durable_index.max(up_to.min(self.last_index()));
    }

    /// The entries up to here are committed; what isn't durable here doesn't count yet.
    pub(super) fn commit_to(&mut self, up_to: u64) {
        self.commit_index = self.commit_index.max(up_to.min(self.durable_index));
    }

    /// The next committed entry that wasn't applied; it counts as applied from now on.
    pub(super) fn apply_next(&mut self) -> Option<(u64, Vec<u8>)> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let index = self.applied_index + 1;
        let command = self.get(index)?.command.clone();
        self.applied_index = index;
        self.unapplied_bytes -= command.len();
        Some((index, command))
    }

    /// Drops the entries after an index.
    pub(super) fn truncate(&mut self, after: u64) {
        let after = after.max(self.commit_index);
        while self.last_index() > after {
            if let Some(entry) = self.entries.pop_back() {
                self.command_bytes -= entry.command.len();
                self.unapplied_bytes -= entry.command.len();
            }
        }
        self.durable_index = self.durable_index.min(after);
    }

    /// Continues from a state that holds all entries up to an index.
    pub(super) fn reset_to(&mut self, index: u64) {
        self.entries.clear();
        self.command_bytes = 0;
        self.unapplied_bytes = 0;
        self.compacted_index = index;
        self.durable_index = index;
        self.commit_index = index;
        self.applied_index = index;
    }

    /// Drops applied entries beyond the bounds, the oldest first.
    pub(super) fn compact(&mut self, max_entries: usize, max_bytes: usize) {
        while self.applied_index > self.compacted_index + max_entries as u64
            || (self.applied_index > self.compacted_index
                && self.command_bytes - self.unapplied_bytes > max_bytes)
        {
            let Some(entry) = self.entries.pop_front() else { return };
            self.command_bytes -= entry.command.len();
            self.compacted_index += 1;
        }
    }

    /// Records of all the entries after an index.
    pub(super) fn records_after(&self, index: u64) -> Vec<LogRecord> {
        (index + 1..=self.last_index())
            .filter_map(|index| {
                let entry = self.get(index)?;
                let command = entry.command.clone();
                Some(LogRecord::Entry { epoch: entry.epoch, index, commit_index: self.commit_index, command })
            })
            .collect()
    }

    /// Adds an entry found on the disk. An entry out of order is ignored.
    pub(super) fn restore(&mut self, epoch: u64, index: u64, commit_index: u64, command: Vec<u8>) {
        if index != self.last_index() + 1 {
            return;
        }
        self.push(Entry { epoch, command });
        self.durable_index = index;
        self.commit_to(commit_index);
    }
}
