//! The directory of the control nodes: the record of each, with its address, by the identity of its disk. It is stored on the
//! disk next to the chain's records, so that a node that restarts finds the others even if its seeds are gone.
//!
//! A record received from the node itself takes precedence over one received from another node. An address belongs to one member:
//! a new member at an address replaces the one before, whose disk is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{NodeRecord, Role};

/// Maximum number of control nodes in a directory.
pub const MAX_PEERS: usize = 256;

#[derive(Clone, Debug)]
struct PeerEntry {
    record: NodeRecord,
    /// Whether the record was received from the node itself during the lifetime of this process.
    is_direct: bool,
    last_seen: Duration,
}

/// The effect of a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelloOutcome {
    /// Whether the member's record was not known or has changed, for example its address or incarnation.
    pub is_changed: bool,
    /// Whether the process of the member has restarted, or was not known to be alive.
    pub is_new_incarnation: bool,
    /// The member that had the address before, if any. Its disk is lost.
    pub replaces: Option<u64>,
}

impl HelloOutcome {
    /// The outcome of a hello that is ignored.
    const IGNORED: Self = Self { is_changed: false, is_new_incarnation: false, replaces: None };
}

/// The known control nodes, except this one.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    own_member: u64,
    entries: BTreeMap<u64, PeerEntry>,
    replaced: BTreeSet<u64>,
}

impl PeerDirectory {
    /// Creates the directory of a member with the records recovered from its disk.
    #[must_use]
    pub fn new(own_member: u64, recovered: Vec<NodeRecord>) -> Self {
        let mut directory = Self { own_member, ..Self::default() };
        for record in recovered {
            directory.on_peer_update(record);
        }
        directory
    }

    /// Processes a hello, with which a control node sends its own record.
    pub fn on_hello(&mut self, now: Duration, record: &NodeRecord) -> HelloOutcome {
        if !self.is_eligible(record) {
            return HelloOutcome::IGNORED;
        }
        let replaces = self.replace_others_at_address(record);
        let has_capacity = self.entries.len() < MAX_PEERS;
        let entry = PeerEntry { record: record.clone(), is_direct: true, last_seen: now };
        match self.entries.get_mut(&record.member) {
            Some(known) => {
                let is_changed = known.record != *record;
                let is_new_incarnation = !known.is_direct || known.record.incarnation != record.incarnation;
                *known = entry;
                HelloOutcome { is_changed, is_new_incarnation, replaces }
            }
            None if has_capacity => {
                self.entries.insert(record.member, entry);
                HelloOutcome { is_changed: true, is_new_incarnation: true, replaces }
            }
            None => HelloOutcome::IGNORED,
        }
    }

    /// Whether a record can be that of a peer of this node.
    fn is_eligible(&self, record: &NodeRecord) -> bool {
        record.role == Role::Control
            && record.member != self.own_member
            && !self.replaced.contains(&record.member)
    }

    /// Permanently removes another member at the address of a record, since its disk is lost.
    fn replace_others_at_address(&mut self, record: &NodeRecord) -> Option<u64> {
        let replaced = self
            .entries
            .iter()
            .find(|(member, entry)| **member != record.member && entry.record.address == record.address)
            .map(|(member, _)| *member)?;
        self.entries.remove(&replaced);
        self.replaced.insert(replaced);
        Some(replaced)
    }

    /// Processes the record of a peer that another node has sent. Returns whether it was added: a known member or address is left
    /// unchanged.
    pub fn on_peer_update(&mut self, record: NodeRecord) -> bool {
        let is_known = self.entries.contains_key(&record.member);
        let is_address_taken = self.member_at(record.address).is_some();
        let has_capacity = self.entries.len() < MAX_PEERS;
        if is_known || is_address_taken || !self.is_eligible(&record) || !has_capacity {
            return false;
        }
        let entry = PeerEntry { record: record.clone(), is_direct: false, last_seen: Duration::ZERO };
        self.entries.insert(record.member, entry);
        true
    }

    /// Records that a message from a member was received, so its process is alive.
    pub fn on_message(&mut self, now: Duration, member: u64) {
        if let Some(entry) = self.entries.get_mut(&member) {
            entry.last_seen = now;
        }
    }

    /// Whether this process, identified by address and incarnation, has been seen since `since`. If not, it may have ended or be
    /// partitioned from this node.
    #[must_use]
    pub fn is_alive(&self, address: SocketAddr, incarnation: u64, since: Duration) -> bool {
        self.entries.values().any(|entry| {
            let is_same = entry.record.address == address && entry.record.incarnation == incarnation;
            is_same && entry.is_direct && entry.last_seen >= since
        })
    }

    /// Address at which a member receives internal messages.
    #[must_use]
    pub fn address(&self, member: u64) -> Option<SocketAddr> {
        self.entries.get(&member).map(|entry| entry.record.address)
    }

    /// The member at an address, if one is known.
    #[must_use]
    pub fn member_at(&self, address: SocketAddr) -> Option<u64> {
        self.entries.iter().find(|(_, entry)| entry.record.address == address).map(|(member, _)| *member)
    }

    /// All records, to be sent to other nodes and stored on the disk.
    #[must_use]
    pub fn records(&self) -> Vec<NodeRecord> {
        self.entries.values().map(|entry| entry.record.clone()).collect()
    }

    /// The peers that have sent a hello to this process and were last seen at most `max_age` before `now`.
    pub fn seen_within(&self, now: Duration, max_age: Duration) -> impl Iterator<Item = &NodeRecord> {
        self.entries
            .values()
            .filter(move |entry| entry.is_direct && now.saturating_sub(entry.last_seen) <= max_age)
            .map(|entry| &entry.record)
    }
}
