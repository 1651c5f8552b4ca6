//! Observations of the actions of all members, for the properties that the checker evaluates.

use std::collections::BTreeMap;

use gingerledge_chain::{MemberId, Membership};

/// Observations of the actions of all members so far.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Memberships by epoch.
    pub memberships: BTreeMap<u64, Membership>,
    /// Commands by index, as any member applied them.
    pub applied: BTreeMap<u64, Vec<u8>>,
    /// Index of the last acknowledged entry.
    pub acknowledged_index: u64,
    /// Reads in progress by token, with the last index acknowledged before each started.
    pub reads: BTreeMap<u64, u64>,
    /// The members whose disks have ever synced each entry, by index.
    pub synced: BTreeMap<u64, Vec<MemberId>>,
    /// Description of two memberships for the same epoch, or two commands for the same index, if that has happened.
    pub contradiction: Option<String>,
    /// Whether a read was answered from a state without an entry that had been acknowledged before the read started.
    pub has_stale_read: bool,
}

impl Observations {
    pub fn on_membership_installed(&mut self, membership: &Membership) {
        let first_seen = self.memberships.entry(membership.epoch).or_insert_with(|| membership.clone());
        if first_seen != membership {
            self.contradiction = Some(format!("{first_seen:?} and {membership:?}"));
        }
    }

    pub fn on_applied(&mut self, index: u64, command: &[u8], acknowledges: bool) {
        let first_seen = self.applied.entry(index).or_insert_with(|| command.to_vec());
        if first_seen != command {
            self.contradiction = Some(format!("{first_seen:?} and {command:?} are both at index {index}"));
        }
        if acknowledges {
            self.acknowledged_index = self.acknowledged_index.max(index);
        }
    }

    pub fn on_read_started(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index);
    }

    pub fn on_read_ready(&mut self, token: u64, index: u64) {
        let required_index = self.reads.remove(&token).unwrap_or(0);
        self.has_stale_read |= index < required_index;
    }

    pub fn on_synced(&mut self, member: MemberId, index: u64) {
        let disks = self.synced.entry(index).or_default();
        if !disks.contains(&member) {
            disks.push(member);
        }
    }
}
