//! A simulated disk that syncs batches in order after a delay. After a crash it contains the synced batches, and possibly some of
//! the batches that were pending.

use std::collections::VecDeque;

use fastrand::Rng;

/// A queued write.
struct Write {
    token: u64,
    records: Vec<Vec<u8>>,
    is_snapshot: bool,
}

/// The disk of one backend.
#[derive(Default)]
pub struct Disk {
    synced: Vec<Vec<u8>>,
    pending: VecDeque<Write>,
}

impl Disk {
    /// Creates a disk that contains only its identity.
    pub fn new(identity: Vec<u8>) -> Self {
        Self { synced: vec![identity], pending: VecDeque::new() }
    }

    /// Queues a batch.
    pub fn append(&mut self, token: u64, records: Vec<Vec<u8>>) {
        self.pending.push_back(Write { token, records, is_snapshot: false });
    }

    /// Queues records that replace all earlier ones.
    pub fn snapshot(&mut self, token: u64, records: Vec<Vec<u8>>) {
        self.pending.push_back(Write { token, records, is_snapshot: true });
    }

    /// Whether writes are pending.
    pub fn is_busy(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Syncs a random number of the pending writes; returns the token up to which all writes are durable.
    pub fn sync(&mut self, rng: &mut Rng) -> Option<u64> {
        let count = rng.usize(..=self.pending.len());
        self.sync_first(count)
    }

    /// Simulates a crash of the process or the machine: a random number of the pending batches is on the disk, in order and each as
    /// a whole; the others are lost.
    pub fn crash(&mut self, rng: &mut Rng) {
        let _ = self.sync(rng);
        self.pending.clear();
    }

    /// All records, as the next start reads them.
    pub fn records(&self) -> Vec<Vec<u8>> {
        self.synced.clone()
    }

    fn sync_first(&mut self, count: usize) -> Option<u64> {
        let mut token = None;
        for write in self.pending.drain(..count) {
            if write.is_snapshot {
                self.synced.clear();
            }
            self.synced.extend(write.records);
            token = Some(write.token);
        }
        token
    }
}
