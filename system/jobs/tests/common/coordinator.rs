//! The map of partitions as the control plane would change it: one chain from the one before, always with a full member of it.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use gingerledge_wire::PartitionRecord;

const CHAIN: usize = 2;

/// The chains of some partitions.
pub struct Coordinator {
    pub records: BTreeMap<u16, PartitionRecord>,
    /// Who said that it is full, in the current epoch.
    reported: BTreeMap<u16, BTreeSet<u64>>,
}

impl Coordinator {
    /// First chains over these members.
    pub fn new(partitions: u16, members: &[u64]) -> Self {
        let record = |partition: u16| {
            let chain: Vec<u64> =
                (0..CHAIN).map(|index| members[(usize::from(partition) + index) % members.len()]).collect();
            PartitionRecord { epoch: 1, full: chain.clone(), chain }
        };
        let records = (0..partitions).map(|partition| (partition, record(partition))).collect();
        Self { records, reported: BTreeMap::new() }
    }

    /// A member says in which epochs it is full.
    pub fn report(&mut self, member: u64, full: &[(u16, u64)]) {
        for (partition, epoch) in full {
            if self.records.get(partition).is_some_and(|record| record.epoch == *epoch) {
                self.reported.entry(*partition).or_default().insert(member);
            }
        }
    }

    fn full(&self, partition: u16) -> Vec<u64> {
        let record = &self.records[&partition];
        let reported = self.reported.get(&partition);
        let is_full = |member: &&u64| {
            record.full.contains(member) || reported.is_some_and(|reported| reported.contains(member))
        };
        record.chain.iter().filter(is_full).copied().collect()
    }

    /// Whether every member of every chain is full and lives.
    pub fn is_whole(&self, alive: &[u64]) -> bool {
        self.records.iter().all(|(partition, record)| {
            record.chain.len() >= CHAIN
                && self.full(*partition).len() == record.chain.len()
                && record.chain.iter().all(|member| alive.contains(member))
        })
    }

    /// Looks at one partition; changes its chain if a member is not alive, is too many, or by the way.
    pub fn look_after(&mut self, partition: u16, alive: &[u64], by_the_way: bool, rng: &mut Rng) {
        let record = self.records[&partition].clone();
        let full = self.full(partition);
        let mut chain: Vec<u64> = record.chain.iter().copied().filter(|it| alive.contains(it)).collect();
        let full_stay = |chain: &[u64]| chain.iter().filter(|member| full.contains(member)).count();
        if full_stay(&chain) == 0 {
            return;
        }
        // Those that are full stand first; one that isn't, before one that is, has to go.
        let last_full = chain.iter().rposition(|member| full.contains(member)).unwrap_or(0);
        let mut index = 0..chain.len();
        chain.retain(|member| index.next().is_some_and(|at| at > last_full) || full.contains(member));
        if chain.len() > CHAIN && full_stay(&chain) > CHAIN {
            chain.remove(rng.usize(..chain.len()));
        }
        // Those that stay keep their order, so nobody comes back in the same step.
        let others: Vec<u64> =
            alive.iter().copied().filter(|member| !record.chain.contains(member)).collect();
        let wants = chain.len() < CHAIN || (by_the_way && chain.len() == CHAIN);
        if let Some(other) = rng.choice(&others).filter(|_| wants) {
            chain.push(*other);
        }
        if chain != record.chain || by_the_way {
            let full = full.into_iter().filter(|member| chain.contains(member)).collect();
            self.records.insert(partition, PartitionRecord { epoch: record.epoch + 1, chain, full });
            self.reported.remove(&partition);
        }
    }
}
