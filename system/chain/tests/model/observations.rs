//! What the members have done so far, for the properties that the checker evaluates.

use std::collections::BTreeMap;

use gingerledge_chain::{MemberId, Membership};

/// What the members have done so far.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Memberships by epoch.
    pub views: BTreeMap<u64, Membership>,
    /// Commands by index, as any member applied them.
    pub applied: BTreeMap<u64, Vec<u8>>,
    /// The last acknowledged entry.
    pub acknowledged_index: u64,
    /// Reads in progress, with what was acknowledged before each.
    pub reads: BTreeMap<u64, u64>,
    /// The disks that have ever synced each entry.
    pub synced: BTreeMap<u64, Vec<MemberId>>,
    /// Two memberships for one epoch, or two commands for one index.
    pub contradiction: Option<String>,
    /// A read was answered from a state without something that was acknowledged before.
    pub has_stale_read: bool,
}

impl Observations {
    pub fn on_membership_installed(&mut self, members: &Membership) {
        let known = self.views.entry(members.epoch).or_insert_with(|| members.clone());
        if known != members {
            self.contradiction = Some(format!("{known:?} and {members:?}"));
        }
    }

    pub fn on_applied(&mut self, index: u64, command: &[u8], acknowledges: bool) {
        let known = self.applied.entry(index).or_insert_with(|| command.to_vec());
        if known != command {
            self.contradiction = Some(format!("{known:?} and {command:?} are both at index {index}"));
        }
        if acknowledges {
            self.acknowledged_index = self.acknowledged_index.max(index);
        }
    }

    pub fn on_read_started(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index);
    }

    pub fn on_read_ready(&mut self, token: u64, index: u64) {
        let floor = self.reads.remove(&token).unwrap_or(0);
        self.has_stale_read |= index < floor;
    }

    pub fn on_synced(&mut self, member: MemberId, index: u64) {
        let disks = self.synced.entry(index).or_default();
        if !disks.contains(&member) {
            disks.push(member);
        }
    }
}
