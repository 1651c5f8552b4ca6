//! Which chains of the partitions of batch jobs should change, given which backends can be used.
//!
//! Every chain keeps `fault_tolerance + 1` members that can be used, zones apart where that is possible, and never loses its last
//! member in sync: a member that can't be used leaves, a replacement joins at the tail, and a retiring member stays as a source until
//! enough others are in sync. In a chain each member has at least what its successor has (van Renesse & Schneider, Chain Replication,
//! 2004), so members in sync keep their order before all others.

use std::collections::BTreeMap;

use gingerledge_wire::{PartitionRecord, PARTITION_COUNT};

use super::rendezvous;

/// What is known of one backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The identity of its disk.
    pub member: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it can be used.
    pub condition: Condition,
}

/// Whether a backend can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It is alive, and its disk is responsive.
    Usable,
    /// It is alive, but being retired.
    Retiring,
    /// It may be alive: too little time has passed to tell.
    Unknown,
    /// Its reports timed out, its disk is lost, or its disk is stalled.
    Lost,
}

/// One chain that should change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The partition.
    pub partition: u16,
    /// Its new chain.
    pub record: PartitionRecord,
}

/// The backends, and how many members a chain needs.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    members: BTreeMap<u64, Backend>,
    chain_length: usize,
}

impl Backends {
    /// The backends, where one replica of each partition must survive the loss of `fault_tolerance` of them.
    pub fn new(backends: impl IntoIterator<Item = Backend>, fault_tolerance: usize) -> Self {
        let members = backends.into_iter().map(|backend| (backend.member, backend)).collect();
        Self { members, chain_length: fault_tolerance + 1 }
    }

    fn condition(&self, member: u64) -> Condition {
        self.members.get(&member).map_or(Condition::Lost, |backend| backend.condition)
    }

    fn zone(&self, member: u64) -> &str {
        self.members.get(&member).map_or("", |backend| backend.zone.as_str())
    }

    /// How many backends can get partitions.
    #[must_use]
    pub fn usable(&self) -> usize {
        self.members.values().filter(|backend| backend.condition == Condition::Usable).count()
    }

    /// Whether enough backends would be left without this one.
    #[must_use]
    pub fn can_spare(&self, member: u64) -> bool {
        let left = self
            .members
            .values()
            .filter(|backend| backend.member != member)
            .filter(|backend| matches!(backend.condition, Condition::Usable | Condition::Unknown));
        left.count() >= self.chain_length
    }

    /// The chains that should change. `current` gives the chain of a partition, if it has one.
    pub fn plan<'a>(&self, current: impl Fn(u16) -> Option<&'a PartitionRecord>) -> Vec<Change> {
        let mut counts = ChainCounts::default();
        for record in (0..PARTITION_COUNT).filter_map(&current) {
            counts.add_all(&record.chain);
        }
        let mut changes = Vec::new();
        for partition in 0..PARTITION_COUNT {
            let next = match current(partition) {
                Some(record) => self.repair(partition, record, &mut counts),
                None => self.create(partition, &mut counts),
            };
            changes.extend(next.map(|record| Change { partition, record }));
        }
        changes
    }

    /// The first chain of a partition: all its members are in sync, since there is no data yet.
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
        let usable: Vec<u64> = record
            .chain
            .iter()
            .copied()
            .filter(|&member| self.condition(member) != Condition::Lost)
            .collect();
        let is_in_sync = |member: &u64| record.in_sync.contains(member);
        let (in_sync, filling): (Vec<u64>, Vec<u64>) = usable.into_iter().partition(is_in_sync);
        if in_sync.is_empty() {
            return None;
        }
        let staying = |member: &u64| self.condition(*member) != Condition::Retiring;
        let mut next: Vec<u64> = in_sync.iter().chain(&filling).copied().filter(staying).collect();
        let replaced = self.extend(partition, &next, self.chain_length, counts);
        let in_sync_staying = in_sync.iter().copied().filter(staying).count();
        if in_sync_staying < self.chain_length {
            // Retiring members serve until enough of the others are in sync. Members in sync next their order: each has
            // everything that its successor has, and might not if they changed places.
            next = in_sync.clone();
            next.extend(replaced.iter().copied().filter(|member| !in_sync.contains(member)));
        } else {
            next = replaced;
            next.truncate(self.chain_length);
        }
        next.truncate(self.max_length());
        if next.len() < self.chain_length || next == record.chain {
            return None;
        }
        let in_sync = next.iter().copied().filter(is_in_sync).collect();
        Some(PartitionRecord { epoch: record.epoch + 1, chain: next, in_sync })
    }

    /// The longest chain: retiring members come on top of the usual length.
    fn max_length(&self) -> usize {
        2 * self.chain_length
    }

    /// The chain with members added until it has `length`: other zones first, then the members of the fewest chains, then by
    /// rendezvous.
    fn extend(&self, partition: u16, chain: &[u64], length: usize, counts: &mut ChainCounts) -> Vec<u64> {
        let mut chain = chain.to_vec();
        while chain.len() < length {
            let zones: Vec<&str> = chain.iter().map(|&member| self.zone(member)).collect();
            let rank = |backend: &&Backend| {
                let same_zone = zones.contains(&backend.zone.as_str());
                let score = rendezvous(u64::from(partition), backend.member);
                (same_zone, counts.of(backend.member), std::cmp::Reverse(score))
            };
            let candidates = self
                .members
                .values()
                .filter(|backend| backend.condition == Condition::Usable && !chain.contains(&backend.member));
            let Some(best) = candidates.min_by_key(rank).map(|backend| backend.member) else { break };
            counts.add(best);
            chain.push(best);
        }
        chain
    }
}

/// How many chains each member is in.
#[derive(Debug, Default)]
struct ChainCounts {
    chains: BTreeMap<u64, usize>,
}

impl ChainCounts {
    fn of(&self, member: u64) -> usize {
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
