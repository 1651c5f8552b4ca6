//! A disk that keeps what was synced, and of the rest some beginning.
#![allow(dead_code)]

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

/// A disk that keeps what was synced, and of the rest some beginning.
#[derive(Default)]
pub struct Disk {
    pub records: Vec<LogRecord>,
    pub unsynced: Vec<Write>,
    /// How many of those the sync under way covers.
    pub syncing: usize,
    pub stalled_until: Duration,
    /// Extra time of a slow disk's sync.
    pub slow: Duration,
    /// The highest state that was ever synced here, and all the commands. A member may have dropped a command again that
    /// it couldn't know to be committed; it has counted all the same, since the new chain's head holds it.
    snapshot: u64,
    commands: HashSet<(u64, Vec<u8>)>,
}

impl Disk {
    fn apply(&mut self, write: Write) -> Option<u64> {
        match write {
            Write::Append { token, records } => {
                records.into_iter().for_each(|record| self.keep(record));
                Some(token)
            }
            Write::Replace { records } => {
                self.records.clear();
                records.into_iter().for_each(|record| self.keep(record));
                None
            }
        }
    }

    fn keep(&mut self, record: LogRecord) {
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
    pub fn sealed(&self) -> u64 {
        let sealed = self.records.iter().map(|record| match record {
            LogRecord::Promise { epoch, .. } => epoch - 1,
            LogRecord::Accepted { members, .. } => members.epoch - 1,
            _ => 0,
        });
        sealed.max().unwrap_or(0)
    }

    /// The process has gone: of what wasn't synced, some beginning is there.
    pub fn lose(&mut self, rng: &mut fastrand::Rng) {
        let kept = if rng.bool() { 0 } else { rng.usize(..=self.unsynced.len()) };
        for (index, write) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            if index < kept {
                self.apply(write);
            } else if let (true, Write::Append { records, .. }) = (index == kept, write) {
                let torn = rng.usize(..=records.len());
                records.into_iter().take(torn).for_each(|record| self.keep(record));
            }
        }
        self.syncing = 0;
    }

    /// Starts to sync all that was written, unless that goes on already or nothing was.
    pub fn start_sync(&mut self) -> bool {
        let starts = self.syncing == 0 && !self.unsynced.is_empty();
        if starts {
            self.syncing = self.unsynced.len();
        }
        starts
    }

    /// The sync under way ends: gives the last token that it covers.
    pub fn synced(&mut self) -> Option<u64> {
        let count = std::mem::take(&mut self.syncing);
        let done: Vec<_> = self.unsynced.drain(..count).collect();
        done.into_iter().fold(None, |last, write| self.apply(write).or(last))
    }

    pub fn restart(&mut self) {
        self.unsynced.clear();
        self.syncing = 0;
    }
}
