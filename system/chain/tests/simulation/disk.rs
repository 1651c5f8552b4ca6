//! A simulated disk. When its process ends, it keeps all synced records and a prefix of random length of the others.

use std::collections::HashSet;
use std::time::Duration;

use gingerledge_chain::LogRecord;

/// A write that is not synced yet.
pub enum Write {
    Append {
        token: u64,
        records: Vec<LogRecord>,
    },
    /// Replaces all earlier records.
    Replace {
        records: Vec<LogRecord>,
    },
}

/// A simulated disk. When its process ends, it keeps all synced records and a prefix of random length of the others.
#[derive(Default)]
pub struct Disk {
    pub records: Vec<LogRecord>,
    pub unsynced: Vec<Write>,
    /// Number of unsynced writes that the sync in progress covers; 0 if there is none.
    pub syncing_writes: usize,
    pub stalled_until: Duration,
    /// Additional time that each sync takes on a slow disk.
    pub extra_delay: Duration,
    /// Index of the newest state that was ever synced on this disk.
    snapshot_index: u64,
    /// All commands that were ever synced on this disk, with their indexes. They include commands that the member dropped later
    /// because it did not know them to be committed: those still count as synced, since the head of the new chain holds them.
    commands: HashSet<(u64, Vec<u8>)>,
}

impl Disk {
    fn apply(&mut self, write: Write) -> Option<u64> {
        match write {
            Write::Append { token, records } => {
                records.into_iter().for_each(|record| self.store(record));
                Some(token)
            }
            Write::Replace { records } => {
                self.records.clear();
                records.into_iter().for_each(|record| self.store(record));
                None
            }
        }
    }

    fn store(&mut self, record: LogRecord) {
        match &record {
            LogRecord::Entry { index, command, .. } => {
                self.commands.insert((*index, command.clone()));
            }
            LogRecord::Snapshot { index, .. } => self.snapshot_index = self.snapshot_index.max(*index),
            _ => {}
        }
        self.records.push(record);
    }

    /// Whether the disk has ever synced an entry, as a record or in a state.
    pub fn has_synced(&self, index: u64, command: &[u8]) -> bool {
        index <= self.snapshot_index || self.commands.contains(&(index, command.to_vec()))
    }

    /// The newest epoch that is sealed by a vote on the disk; 0 if there is none.
    pub fn sealed_epoch(&self) -> u64 {
        let sealed = self.records.iter().map(|record| match record {
            LogRecord::Promise { epoch, .. } => epoch - 1,
            LogRecord::Accepted { membership, .. } => membership.epoch - 1,
            _ => 0,
        });
        sealed.max().unwrap_or(0)
    }

    /// Handles the end of the process: keeps a prefix of random length of the unsynced writes and drops the others.
    pub fn lose_unsynced(&mut self, rng: &mut fastrand::Rng) {
        let stored_writes = if rng.bool() { 0 } else { rng.usize(..=self.unsynced.len()) };
        for (index, write) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            if index < stored_writes {
                self.apply(write);
            } else if let (true, Write::Append { records, .. }) = (index == stored_writes, write) {
                let stored_records = rng.usize(..=records.len());
                records.into_iter().take(stored_records).for_each(|record| self.store(record));
            }
        }
        self.syncing_writes = 0;
    }

    /// Starts to sync all unsynced writes. Returns whether there were any and no sync was in progress.
    pub fn start_sync(&mut self) -> bool {
        let can_start = self.syncing_writes == 0 && !self.unsynced.is_empty();
        if can_start {
            self.syncing_writes = self.unsynced.len();
        }
        can_start
    }

    /// Completes the sync in progress, and returns the last token that it covers.
    pub fn complete_sync(&mut self) -> Option<u64> {
        let count = std::mem::take(&mut self.syncing_writes);
        let synced_writes: Vec<_> = self.unsynced.drain(..count).collect();
        synced_writes.into_iter().fold(None, |last, write| self.apply(write).or(last))
    }

    pub fn discard_unsynced(&mut self) {
        self.unsynced.clear();
        self.syncing_writes = 0;
    }
}
