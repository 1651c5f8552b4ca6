//! A disk that keeps what was synced, and of the rest a prefix of random length.

use std::collections::HashSet;
use std::time::Duration;

use gingerledge_chain::LogRecord;

/// Something written and not synced.
pub enum Write {
    Append {
        token: u64,
        records: Vec<LogRecord>,
    },
    /// In place of everything before.
    Replace {
        records: Vec<LogRecord>,
    },
}

/// A disk that keeps what was synced, and of the rest a prefix of random length.
#[derive(Default)]
pub struct Disk {
    pub records: Vec<LogRecord>,
    pub unsynced: Vec<Write>,
    /// How many of those the sync in progress covers.
    pub syncing: usize,
    pub stalled_until: Duration,
    /// Extra time of a slow disk's sync.
    pub extra_delay: Duration,
    /// The highest state that was ever synced here, and all the commands. A member may have dropped a command again that
    /// it couldn't know to be committed; it has counted all the same, since the new chain's head holds it.
    snapshot: u64,
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
            LogRecord::Snapshot { index, .. } => self.snapshot = self.snapshot.max(*index),
            _ => {}
        }
        self.records.push(record);
    }

    /// Whether the disk has synced an entry, by itself or in a state.
    pub fn has_synced(&self, index: u64, command: &[u8]) -> bool {
        index <= self.snapshot || self.commands.contains(&(index, command.to_vec()))
    }

    /// The newest epoch that a vote on the disk has sealed.
    pub fn sealed_epoch(&self) -> u64 {
        let sealed = self.records.iter().map(|record| match record {
            LogRecord::Promise { epoch, .. } => epoch - 1,
            LogRecord::Accepted { members, .. } => members.epoch - 1,
            _ => 0,
        });
        sealed.max().unwrap_or(0)
    }

    /// The process has ended: of what wasn't synced, a prefix of random length stays.
    pub fn lose_unsynced(&mut self, rng: &mut fastrand::Rng) {
        let stored = if rng.bool() { 0 } else { rng.usize(..=self.unsynced.len()) };
        for (index, write) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            if index < stored {
                self.apply(write);
            } else if let (true, Write::Append { records, .. }) = (index == stored, write) {
                let torn = rng.usize(..=records.len());
                records.into_iter().take(torn).for_each(|record| self.store(record));
            }
        }
        self.syncing = 0;
    }

    /// Starts to sync all that was written; returns whether there was anything and no sync was in progress.
    pub fn start_sync(&mut self) -> bool {
        let starts = self.syncing == 0 && !self.unsynced.is_empty();
        if starts {
            self.syncing = self.unsynced.len();
        }
        starts
    }

    /// The sync ends: returns the last token that it covers.
    pub fn complete_sync(&mut self) -> Option<u64> {
        let count = std::mem::take(&mut self.syncing);
        let done: Vec<_> = self.unsynced.drain(..count).collect();
        done.into_iter().fold(None, |last, write| self.apply(write).or(last))
    }

    pub fn discard_unsynced(&mut self) {
        self.unsynced.clear();
        self.syncing = 0;
    }
}
