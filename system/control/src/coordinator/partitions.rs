//! Plans changes to the chains of the partitions of batch jobs, given which backends can be used.
//!
//! Every chain keeps `fault_tolerance + 1` members that can be used, in different zones where possible, and never loses its last
//! member in sync: a failed member is removed, a replacement is added at the tail, and a retiring member stays as a source until
//! enough other members are in sync. Each member of a chain has at least the data that its successor has (van Renesse &
//! Schneider, Chain Replication, 2004), so members in sync keep their order and precede all others.

use std::collections::BTreeMap;

use gingerledge_wire::{PartitionRecord, PARTITION_COUNT};

use super::rendezvous_score;

/// A backend with its zone and condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Identity of the backend's disk.
    pub member: u64,
    /// Zone of the backend; empty if it is unknown.
    pub zone: String,
    /// Whether the backend can be used.
    pub condition: BackendCondition,
}

/// Whether a backend can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCondition {
    /// The backend is alive and its disk is responsive.
    Usable,
    /// The backend is alive, but is being retired.
    Retiring,
    /// The backend may be alive: too little time has passed to decide.
    Unknown,
    /// The backend's reports timed out, its disk is lost, or its disk is stalled.
    Failed,
}

/// A planned change to the chain of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainChange {
    /// Number of the partition.
    pub partition: u16,
    /// The new record of the partition.
    pub record: PartitionRecord,
}

/// The known backends, and the required length of a chain.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    members: BTreeMap<u64, Backend>,
    chain_length: usize,
}

impl Backends {
    /// Creates a planner for chains of which one replica survives the loss of `fault_tolerance` backends.
    pub fn new(backends: impl IntoIterator<Item = Backend>, fault_tolerance: usize) -> Self {
        let members = backends.into_iter().map(|backend| (backend.member, backend)).collect();
        Self { members, chain_length: fault_tolerance + 1 }
    }

    fn condition(&self, member: u64) -> BackendCondition {
        self.members.get(&member).map_or(BackendCondition::Failed, |backend| backend.condition)
    }

    fn zone(&self, member: u64) -> &str {
        self.members.get(&member).map_or("", |backend| backend.zone.as_str())
    }

    /// Number of backends that can get partitions.
    #[must_use]
    pub fn usable_count(&self) -> usize {
        self.members.values().filter(|backend| backend.condition == BackendCondition::Usable).count()
    }

    /// Whether enough backends for a chain would remain without the backend `member`.
    #[must_use]
    pub fn has_enough_without(&self, member: u64) -> bool {
        let remaining = self.members.values().filter(|backend| backend.member != member).filter(|backend| {
            matches!(backend.condition, BackendCondition::Usable | BackendCondition::Unknown)
        });
        remaining.count() >= self.chain_length
    }

    /// Plans the chains that should change. `current_record` returns the record of a partition that has a chain.
    pub fn plan<'a>(&self, current_record: impl Fn(u16) -> Option<&'a PartitionRecord>) -> Vec<ChainChange> {
        let mut counts = ChainCounts::default();
        for record in (0..PARTITION_COUNT).filter_map(&current_record) {
            counts.add_all(&record.chain);
        }
        let mut changes = Vec::new();
        for partition in 0..PARTITION_COUNT {
            let next = match current_record(partition) {
                Some(record) => self.repair(partition, record, &mut counts),
                None => self.create(partition, &mut counts),
            };
            changes.extend(next.map(|record| ChainChange { partition, record }));
        }
        changes
    }

    /// Plans the first chain of a partition. All its members are in sync, since there is no data yet.
    fn create(&self, partition: u16, counts: &mut ChainCounts) -> Option<PartitionRecord> {
        let chain = self.extend(partition, &[], self.chain_length, counts);
        if chain.len() < self.chain_length {
            return None;
        }
        Some(PartitionRecord { epoch: 1, in_sync: chain.clone(), chain })
    }

    fn repair(
        &self,
        partition: u16,
        record: &PartitionRecord,
        counts: &mut ChainCounts,
    ) -> Option<PartitionRecord> {
        let available: Vec<u64> = record
            .chain
            .iter()
            .copied()
            .filter(|&member| self.condition(member) != BackendCondition::Failed)
            .collect();
        let is_in_sync = |member: &u64| record.in_sync.contains(member);
        let (in_sync, catching_up): (Vec<u64>, Vec<u64>) = available.into_iter().partition(is_in_sync);
        if in_sync.is_empty() {
            return None;
        }
        let is_staying = |member: &u64| self.condition(*member) != BackendCondition::Retiring;
        let mut next: Vec<u64> = in_sync.iter().chain(&catching_up).copied().filter(is_staying).collect();
        let extended = self.extend(partition, &next, self.chain_length, counts);
        let in_sync_staying = in_sync.iter().copied().filter(is_staying).count();
        if in_sync_staying < self.chain_length {
            // Retiring members serve until enough of the other members are in sync. Members in sync keep their order: each has
            // all the data of its successor, and might not have it if they changed places.
            next = in_sync.clone();
            next.extend(extended.iter().copied().filter(|member| !in_sync.contains(member)));
        } else {
            next = extended;
            next.truncate(self.chain_length);
        }
        next.truncate(self.max_length());
        if next.len() < self.chain_length || next == record.chain {
            return None;
        }
        let in_sync = next.iter().copied().filter(is_in_sync).collect();
        Some(PartitionRecord { epoch: record.epoch + 1, chain: next, in_sync })
    }

    /// Maximum length of a chain: retiring members are added to the usual number of members.
    fn max_length(&self) -> usize {
        2 * self.chain_length
    }

    /// Extends a chain with usable backends until it has `length` members. Backends in other zones are preferred, then those in
    /// the fewest chains, then those with the highest rendezvous score.
    fn extend(&self, partition: u16, chain: &[u64], length: usize, counts: &mut ChainCounts) -> Vec<u64> {
        let mut chain = chain.to_vec();
        while chain.len() < length {
            let zones: Vec<&str> = chain.iter().map(|&member| self.zone(member)).collect();
            let rank = |backend: &&Backend| {
                let is_same_zone = zones.contains(&backend.zone.as_str());
                let score = rendezvous_score(u64::from(partition), backend.member);
                (is_same_zone, counts.count(backend.member), std::cmp::Reverse(score))
            };
            let candidates = self.members.values().filter(|backend| {
                backend.condition == BackendCondition::Usable && !chain.contains(&backend.member)
            });
            let Some(best) = candidates.min_by_key(rank).map(|backend| backend.member) else { break };
            counts.add(best);
            chain.push(best);
        }
        chain
    }
}

/// Number of chains that each member is in.
#[derive(Debug, Default)]
struct ChainCounts {
    chains: BTreeMap<u64, usize>,
}

impl ChainCounts {
    fn count(&self, member: u64) -> usize {
        self.chains.get(&member).copied().unwrap_or(0)
    }

    fn add(&mut self, member: u64) {
        *self.chains.entry(member).or_default() += 1;
    }

    fn add_all(&mut self, members: &[u64]) {
        for &member in members {
            self.add(member);
        }
    }
}
