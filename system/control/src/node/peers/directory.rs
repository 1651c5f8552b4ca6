//! The directory of the control nodes: which there are, by the identity of their disks, and at which address. It is stored on the disk
//! beside the chain's records, so that a node that restarts finds the others also when its seeds are gone.
//!
//! What a node says of itself overrules what others say of it. An address belongs to one member: a new one there replaces the member
//! before it, whose disk is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{NodeRecord, Role};

/// Most control nodes in a directory.
pub const MAX_PEERS: usize = 256;

#[derive(Clone, Debug)]
struct PeerEntry {
    record: NodeRecord,
    /// Whether the record came from the node itself, in the incarnation of this process.
    is_direct: bool,
    last_seen: Duration,
}

/// The effect of a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelloOutcome {
    /// The member was not known at this address, or in this incarnation.
    pub is_changed: bool,
    /// The process there has restarted, or was not known to be alive.
    pub is_new_incarnation: bool,
    /// The member that had the address before; its disk is lost.
    pub replaces: Option<u64>,
}

impl HelloOutcome {
    /// A hello that is ignored.
    const IGNORED: Self = Self { is_changed: false, is_new_incarnation: false, replaces: None };
}

/// The control nodes known, without this one.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    own_member: u64,
    entries: BTreeMap<u64, PeerEntry>,
    replaced: BTreeSet<u64>,
}

impl PeerDirectory {
    /// The directory of a member, with the records from its disk.
    #[must_use]
    pub fn new(own_member: u64, recovered: Vec<NodeRecord>) -> Self {
        let mut directory = Self { own_member, ..Self::default() };
        for record in recovered {
            directory.on_peer_update(record);
        }
        directory
    }

    /// A control node has sent its own record.
    pub fn on_hello(&mut self, now: Duration, record: &NodeRecord) -> HelloOutcome {
        if !self.is_eligible(record) {
            return HelloOutcome::IGNORED;
        }
        let replaces = self.replace_others_at_address(record);
        let has_room = self.entries.len() < MAX_PEERS;
        let entry = PeerEntry { record: record.clone(), is_direct: true, last_seen: now };
        match self.entries.get_mut(&record.member) {
            Some(known) => {
                let is_changed = known.record != *record;
                let is_new_incarnation = !known.is_direct || known.record.incarnation != record.incarnation;
                *known = entry;
                HelloOutcome { is_changed, is_new_incarnation, replaces }
            }
            None if has_room => {
                self.entries.insert(record.member, entry);
                HelloOutcome { is_changed: true, is_new_incarnation: true, replaces }
            }
            None => HelloOutcome::IGNORED,
        }
    }

    /// Whether a record can be that of a peer.
    fn is_eligible(&self, record: &NodeRecord) -> bool {
        record.role == Role::Control
            && record.member != self.own_member
            && !self.replaced.contains(&record.member)
    }

    /// Removes another member at the address of a record, for ever: its disk is lost.
    fn replace_others_at_address(&mut self, record: &NodeRecord) -> Option<u64> {
        let old = self
            .entries
            .iter()
            .find(|(member, entry)| **member != record.member && entry.record.address == record.address)
            .map(|(member, _)| *member)?;
        self.entries.remove(&old);
        self.replaced.insert(old);
        Some(old)
    }

    /// Another node has sent the record of a peer. Returns whether it was added: a known member or address stays as it is.
    pub fn on_peer_update(&mut self, record: NodeRecord) -> bool {
        let is_known = self.entries.contains_key(&record.member);
        let is_address_taken = self.member_at(record.address).is_some();
        let has_room = self.entries.len() < MAX_PEERS;
        if is_known || is_address_taken || !self.is_eligible(&record) || !has_room {
            return false;
        }
        let entry = PeerEntry { record: record.clone(), is_direct: false, last_seen: Duration::ZERO };
        self.entries.insert(record.member, entry);
        true
    }

    /// A message of a member has come, so its process is alive.
    pub fn on_message(&mut self, now: Duration, member: u64) {
        if let Some(entry) = self.entries.get_mut(&member) {
            entry.last_seen = now;
        }
    }

    /// Whether exactly this process has been seen since `since`. If not, it may have ended or be partitioned from here.
    #[must_use]
    pub fn is_alive(&self, address: SocketAddr, incarnation: u64, since: Duration) -> bool {
        self.entries.values().any(|entry| {
            let is_same = entry.record.address == address && entry.record.incarnation == incarnation;
            is_same && entry.is_direct && entry.last_seen >= since
        })
    }

    /// Where a member receives internal messages.
    #[must_use]
    pub fn address(&self, member: u64) -> Option<SocketAddr> {
        self.entries.get(&member).map(|entry| entry.record.address)
    }

    /// The member at an address.
    #[must_use]
    pub fn member_at(&self, address: SocketAddr) -> Option<u64> {
        self.entries.iter().find(|(_, entry)| entry.record.address == address).map(|(member, _)| *member)
    }

    /// All records, for other nodes and for the disk.
    #[must_use]
    pub fn records(&self) -> Vec<NodeRecord> {
        self.entries.values().map(|entry| entry.record.clone()).collect()
    }

    /// The peers that were seen directly within a time before now.
    pub fn seen_within(&self, now: Duration, within: Duration) -> impl Iterator<Item = &NodeRecord> {
        self.entries
            .values()
            .filter(move |entry| entry.is_direct && now.saturating_sub(entry.last_seen) <= within)
            .map(|entry| &entry.record)
    }
}
