//! The replication chains of the partitions of batch jobs.

use std::collections::BTreeMap;

use gingerledge_wire::{CommandOutcome, PartitionRecord, PARTITION_COUNT};
use serde::{Deserialize, Serialize};

/// Maximum number of members of the chain of a partition.
const MAX_CHAIN_LENGTH: usize = 16;

/// The chain of each partition, by partition number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionState {
    records: BTreeMap<u16, PartitionRecord>,
}

impl PartitionState {
    /// The chain of a partition, if it has one.
    #[must_use]
    pub fn get(&self, partition: u16) -> Option<&PartitionRecord> {
        self.records.get(&partition)
    }

    /// All partitions that have a chain, with their chains.
    pub fn all(&self) -> impl Iterator<Item = (u16, &PartitionRecord)> {
        self.records.iter().map(|(partition, record)| (*partition, record))
    }

    /// Whether the backend with disk identity `member` is in any chain.
    #[must_use]
    pub fn is_member(&self, member: u64) -> bool {
        self.records.values().any(|record| record.chain.contains(&member))
    }

    /// Whether every partition that has a chain has at least `replicas` members in sync.
    #[must_use]
    pub fn all_have_replicas(&self, replicas: u64) -> bool {
        self.records.values().all(|record| record.in_sync.len() as u64 >= replicas)
    }

    pub(super) fn set(
        &mut self,
        partition: u16,
        next: &PartitionRecord,
        fencing_token: u64,
        newest_token: u64,
    ) -> CommandOutcome {
        let current = self.records.get(&partition);
        if current.is_some_and(|current| current.epoch == next.epoch && current.chain == next.chain) {
            return CommandOutcome::Applied;
        }
        if fencing_token != newest_token {
            return CommandOutcome::Conflict { current: newest_token };
        }
        let epoch = current.map_or(0, |record| record.epoch);
        if next.epoch != epoch + 1 {
            return CommandOutcome::Conflict { current: epoch };
        }
        if let Some(reason) = rejection_reason(partition, current, next) {
            return CommandOutcome::Invalid { reason: reason.to_owned() };
        }
        self.records.insert(partition, next.clone());
        CommandOutcome::Applied
    }

    pub(super) fn mark_in_sync(&mut self, partition: u16, epoch: u64, member: u64) -> CommandOutcome {
        let Some(record) = self.records.get_mut(&partition) else {
            return CommandOutcome::Invalid { reason: "the partition has no chain".to_owned() };
        };
        if record.epoch != epoch {
            return CommandOutcome::Conflict { current: record.epoch };
        }
        if !record.chain.contains(&member) {
            return CommandOutcome::Invalid { reason: "not a member of the partition's chain".to_owned() };
        }
        if record.in_sync.contains(&member) {
            return CommandOutcome::Applied;
        }
        // A member is brought in sync by its predecessor, which is then in sync too but may not have reported so yet.
        if record.chain.get(record.in_sync.len()) != Some(&member) {
            return CommandOutcome::Conflict { current: epoch };
        }
        record.in_sync.push(member);
        CommandOutcome::Applied
    }
}

/// The reason why a new chain is invalid: it would lose data, or is not well-formed. `None` if it is valid.
fn rejection_reason(
    partition: u16,
    current: Option<&PartitionRecord>,
    next: &PartitionRecord,
) -> Option<&'static str> {
    if partition >= PARTITION_COUNT {
        return Some("no such partition");
    }
    let is_unique =
        next.chain.iter().enumerate().all(|(position, member)| !next.chain[..position].contains(member));
    if next.chain.is_empty() || next.chain.len() > MAX_CHAIN_LENGTH || !is_unique {
        return Some("the chain is empty, too long, or names a member twice");
    }
    if !next.in_sync.iter().all(|member| next.chain.contains(member)) {
        return Some("a full member is not in the chain");
    }
    if !next.chain.starts_with(&next.in_sync) {
        return Some("the full members do not stand first");
    }
    let current = current?;
    let staying: Vec<u64> =
        current.chain.iter().copied().filter(|member| next.chain.contains(member)).collect();
    if !next.chain.starts_with(&staying) {
        return Some("the members that stay do not keep their order before the new ones");
    }
    if !next.in_sync.iter().all(|member| current.in_sync.contains(member)) {
        return Some("a member is called full that was not");
    }
    if next.in_sync.is_empty() {
        return Some("the chain keeps no full member");
    }
    None
}
