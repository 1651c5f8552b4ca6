//! The entries of one replica that are held in memory, and the indexes up to which they are durable, committed and applied.
//!
//! Invariant: `applied_index <= commit_index <= durable_index <= last_index`, and every entry after `applied_index` is in memory.

use std::collections::VecDeque;

use crate::record::LogRecord;

/// One command with the epoch in which this member wrote it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub epoch: u64,
    pub command: Vec<u8>,
}

/// The entries in memory, with the indexes of the last durable, committed and applied entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// Entries `compacted_index + 1 ..= last_index`.
    entries: VecDeque<Entry>,
    /// Index of the last entry that is no longer in memory.
    compacted_index: u64,
    /// Size of the commands in memory, in bytes.
    command_bytes: usize,
    /// Size of the commands that have not been applied, in bytes.
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

    /// Index of the last entry that is durable at this member and known to be committed.
    pub(super) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index of the last entry handed to the host.
    pub(super) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Index of the last entry that is no longer in memory.
    pub(super) fn compacted_index(&self) -> u64 {
        self.compacted_index
    }

    /// Size of the commands that have not been applied, in bytes.
    pub(super) fn unapplied_bytes(&self) -> usize {
        self.unapplied_bytes
    }

    /// Appends an entry and returns the record to persist.
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

    /// The entry with an index, if it is in memory.
    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.compacted_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Marks the entries up to an index as synced. The index may refer to entries that have been truncated since: no new entries
    /// are appended before the record of the truncation is synced as well, so none is marked by mistake.
    pub(super) fn mark_durable(&mut self, up_to: u64) {
        self.durable_index = self.durable_index.max(up_to.min(self.last_index()));
    }

    /// Marks the entries up to an index as committed, limited to those that are durable at this member.
    pub(super) fn commit_to(&mut self, up_to: u64) {
        self.commit_index = self.commit_index.max(up_to.min(self.durable_index));
    }

    /// Returns the next committed entry that has not been applied, and marks it as applied.
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

    /// Drops the entries after an index, except committed ones.
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

    /// Drops all entries and continues after a state that includes all entries up to an index.
    pub(super) fn reset_to(&mut self, index: u64) {
        self.entries.clear();
        self.command_bytes = 0;
        self.unapplied_bytes = 0;
        self.compacted_index = index;
        self.durable_index = index;
        self.commit_index = index;
        self.applied_index = index;
    }

    /// Drops applied entries, oldest first, while there are more than `max_entries` or their commands take more than `max_bytes`.
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

    /// The records of all entries after an index.
    pub(super) fn records_after(&self, index: u64) -> Vec<LogRecord> {
        (index + 1..=self.last_index())
            .filter_map(|index| {
                let entry = self.get(index)?;
                let command = entry.command.clone();
                Some(LogRecord::Entry { epoch: entry.epoch, index, commit_index: self.commit_index, command })
            })
            .collect()
    }

    /// Appends an entry from the disk. An entry out of order is ignored.
    pub(super) fn restore(&mut self, epoch: u64, index: u64, commit_index: u64, command: Vec<u8>) {
        if index != self.last_index() + 1 {
            return;
        }
        self.push(Entry { epoch, command });
        self.durable_index = index;
        self.commit_to(commit_index);
    }
}
