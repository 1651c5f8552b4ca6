//! A disk that syncs batches in order after a while, and at a loss keeps what was synced and perhaps a few batches more.

use std::collections::VecDeque;

use fastrand::Rng;

struct Job {
    token: u64,
    records: Vec<Vec<u8>>,
    is_snapshot: bool,
}

/// The disk of one backend.
#[derive(Default)]
pub struct Disk {
    synced: Vec<Vec<u8>>,
    waiting: VecDeque<Job>,
}

impl Disk {
    /// An empty disk with an identity.
    pub fn new(identity: Vec<u8>) -> Self {
        Self { synced: vec![identity], waiting: VecDeque::new() }
    }

    /// Queues a batch.
    pub fn append(&mut self, token: u64, records: Vec<Vec<u8>>) {
        self.waiting.push_back(Job { token, records, is_snapshot: false });
    }

    /// Queues records that replace all before.
    pub fn snapshot(&mut self, token: u64, records: Vec<Vec<u8>>) {
        self.waiting.push_back(Job { token, records, is_snapshot: true });
    }

    /// Whether something waits.
    pub fn is_busy(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Syncs some of what waits; gives the token up to which all is durable.
    pub fn sync(&mut self, rng: &mut Rng) -> Option<u64> {
        let count = rng.usize(..=self.waiting.len());
        self.take(count)
    }

    /// The process or the machine ends: batches that were not synced may be there or not, whole and in order.
    pub fn crash(&mut self, rng: &mut Rng) {
        let _ = self.sync(rng);
        self.waiting.clear();
    }

    /// All records, as a start finds them.
    pub fn records(&self) -> Vec<Vec<u8>> {
        self.synced.clone()
    }

    fn take(&mut self, count: usize) -> Option<u64> {
        let mut token = None;
        for job in self.waiting.drain(..count) {
            if job.is_snapshot {
                self.synced.clear();
            }
            self.synced.extend(job.records);
            token = Some(job.token);
        }
        token
    }
}
