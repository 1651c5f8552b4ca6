//! What was acknowledged, and what must hold of it.

use std::collections::BTreeMap;

use gingerledge_chain::{MemberId, Membership};

/// What all members have said so far.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Memberships by epoch.
    pub views: BTreeMap<u64, Membership>,
    /// Commands by number, as any member applied them.
    pub applied: BTreeMap<u64, Vec<u8>>,
    /// The last acknowledged number.
    pub acknowledged: u64,
    /// Reads under way, with what was acknowledged before each.
    pub reads: BTreeMap<u64, u64>,
    /// Which disks have ever synced which number.
    pub synced: BTreeMap<u64, Vec<MemberId>>,
    /// Two memberships for one epoch, or two commands for one number.
    pub contradiction: Option<String>,
    /// A read was answered from a state without something that was acknowledged before.
    pub read_too_old: bool,
}

impl Ledger {
    pub fn view(&mut self, members: &Membership) {
        let known = self.views.entry(members.epoch).or_insert_with(|| members.clone());
        if known != members {
            self.contradiction = Some(format!("{known:?} and {members:?}"));
        }
    }

    pub fn apply(&mut self, index: u64, command: &[u8], acknowledges: bool) {
        let known = self.applied.entry(index).or_insert_with(|| command.to_vec());
        if known != command {
            self.contradiction = Some(format!("{known:?} and {command:?} are both number {index}"));
        }
        if acknowledges {
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    pub fn read_asked(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged);
    }

    pub fn read_ready(&mut self, token: u64, index: u64) {
        let floor = self.reads.remove(&token).unwrap_or(0);
        self.read_too_old |= index < floor;
    }

    pub fn on_disk(&mut self, member: MemberId, index: u64) {
        let disks = self.synced.entry(index).or_default();
        if !disks.contains(&member) {
            disks.push(member);
        }
    }
}
