//! What the consensus library reads of the log: entries, hard state and snapshot in memory, the same that the file says.
//! Built from the file's records at the start and kept beside them; it writes nothing.

use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::frame::{Batch, Head, LogError, Record, Snap};

/// The log of one voter.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    voters: Vec<u64>,
    pub hard: HardState,
    /// Index and term before the first entry.
    from: (u64, u64),
    entries: VecDeque<Entry>,
    bytes: usize,
    snapshot: Option<Snap>,
}

impl Store {
    pub fn new(head: &Head) -> Self {
        let mut hard = HardState::default();
        if let Some(snapshot) = &head.snapshot {
            hard.commit = snapshot.index;
            hard.term = snapshot.term;
        }
        Self {
            voters: head.voters.clone(),
            hard,
            from: head.from,
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: head.snapshot.clone(),
        }
    }

    /// The file's records as a log.
    pub fn replay(records: Vec<(usize, Record)>) -> Result<(Head, Self), LogError> {
        let mut records = records.into_iter();
        let Some((_, Record::Head(head))) = records.next() else {
            return Err(LogError::Senseless { at: 0, what: "the first record says whose log it is" });
        };
        let sound = head.snapshot.as_ref().map_or(head.from.0 == 0, |snapshot| snapshot.index >= head.from.0);
        if !sound {
            return Err(LogError::Senseless { at: 0, what: "entries are missing behind the snapshot" });
        }
        let mut store = Self::new(&head);
        for (at, record) in records {
            let Record::Batch(batch) = record else {
                return Err(LogError::Senseless { at, what: "only the first record says whose log it is" });
            };
            if !store.take(&batch) {
                return Err(LogError::Senseless {
                    at,
                    what: "entries or terms don't follow on those before",
                });
            }
        }
        // Beyond the end there is nothing that could have been committed: the last append was torn behind its commit.
        let snapshot = store.snapshot_index();
        if store.hard.commit > store.last() || store.hard.commit < snapshot || store.last() < snapshot {
            return Err(LogError::Senseless { at: 0, what: "what was committed is not there" });
        }
        Ok((head, store))
    }

    /// Takes a record. False, and nothing changed, if it doesn't follow on what is there.
    pub fn take(&mut self, batch: &Batch) -> bool {
        let follows = batch.at > self.from.0 && batch.at <= self.last() + 1;
        if batch.term < self.hard.term || (!batch.entries.is_empty() && !follows) {
            return false;
        }
        self.hard.term = batch.term;
        self.hard.vote = batch.vote;
        self.hard.commit = batch.commit;
        if !batch.entries.is_empty() {
            self.cut((batch.at - self.from.0 - 1) as usize);
        }
        for (at, (term, data)) in (batch.at..).zip(&batch.entries) {
            let mut entry = Entry { term: *term, index: at, ..Entry::default() };
            entry.data = data.clone().into();
            self.push(entry);
        }
        true
    }

    fn push(&mut self, entry: Entry) {
        self.bytes += entry.data.len() + 32;
        self.entries.push_back(entry);
    }

    fn cut(&mut self, length: usize) {
        for entry in self.entries.drain(length.min(self.entries.len())..) {
            self.bytes -= entry.data.len() + 32;
        }
    }

    /// A leader's snapshot in the place of all that is here.
    pub fn restore(&mut self, snap: Snap) {
        self.from = (snap.index, snap.term);
        self.cut(0);
        self.hard.commit = self.hard.commit.max(snap.index);
        self.snapshot = Some(snap);
    }

    /// A snapshot of our own: entries before it but for the last few are let go.
    pub fn compact(&mut self, snap: Snap, keep: usize) {
        let until = snap.index.saturating_sub(keep as u64);
        while let Some(entry) = self.entries.front().filter(|entry| entry.index <= until) {
            self.bytes -= entry.data.len() + 32;
            self.from = (entry.index, entry.term);
            self.entries.pop_front();
        }
        self.snapshot = Some(snap);
    }

    /// All that is here, as the records of a new file.
    pub fn whole(&self, mut head: Head) -> [Record; 2] {
        head.from = self.from;
        head.snapshot = self.snapshot.clone();
        let entries = self.entries.iter().map(|entry| (entry.term, entry.data.to_vec())).collect();
        [Record::Head(head), Record::Batch(self.batch(self.from.0 + 1, entries))]
    }

    /// The hard state and some entries as a record.
    pub fn batch(&self, at: u64, entries: Vec<(u64, Vec<u8>)>) -> Batch {
        let HardState { term, vote, commit, .. } = self.hard;
        Batch { term, vote, commit, at, entries }
    }

    pub fn last(&self) -> u64 {
        self.from.0 + self.entries.len() as u64
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub fn snap(&self) -> Option<&Snap> {
        self.snapshot.as_ref()
    }

    /// A term by its index, if it is known here.
    pub fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.from.0 {
            return Some(self.from.1);
        }
        let at = index.checked_sub(self.from.0 + 1)?;
        Some(self.entries.get(usize::try_from(at).ok()?)?.term)
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = ConfState { voters: self.voters.clone(), ..ConfState::default() };
        Ok(RaftState { hard_state: self.hard.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.from.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let range = (low - self.from.0 - 1) as usize..(high.max(low) - self.from.0 - 1) as usize;
        let fits = |(at, entry): &(usize, &Entry)| {
            size += entry.data.len() as u64 + 32;
            *at == 0 || size <= most
        };
        Ok(self.entries.range(range).enumerate().take_while(fits).map(|(_, entry)| entry.clone()).collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match self.term_of(index) {
            Some(term) => Ok(term),
            None if index < self.from.0 => Err(StorageError::Compacted.into()),
            None => Err(StorageError::Unavailable.into()),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.from.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let Some(snap) = self.snapshot.as_ref().filter(|snap| snap.index >= request_index) else {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        };
        Ok(snapshot(snap, &self.voters))
    }
}

/// A snapshot in the library's form.
pub(crate) fn snapshot(snap: &Snap, voters: &[u64]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    metadata.index = snap.index;
    metadata.term = snap.term;
    metadata.mut_conf_state().voters = voters.to_vec();
    snapshot.data = snap.data.clone().into();
    snapshot
}
