//! The address book: which control nodes there are, by the identity of their disks, and where. Kept on disk beside the chain's
//! records, so that a node that starts again finds the others also when its seeds are gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{NodeRecord, Role};

/// Most control nodes that are remembered.
pub const MAX_MEMBERS: usize = 256;

#[derive(Clone, Debug)]
struct Page {
    record: NodeRecord,
    /// Whether the node itself has said so, in the life of this process.
    direct: bool,
    heard: Duration,
}

/// What an introduction has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Introduced {
    /// The member was not known at this address, or in this incarnation.
    pub changed: bool,
    /// The process there has started anew, or was not known to live.
    pub new_incarnation: bool,
    /// The identity that the address had before; its disk is gone.
    pub replaces: Option<u64>,
}

/// The control nodes known.
#[derive(Debug, Default)]
pub struct AddressBook {
    me: u64,
    members: BTreeMap<u64, Page>,
    replaced: BTreeSet<u64>,
}

impl AddressBook {
    /// The book of a member, with what its disk held.
    pub fn new(me: u64, kept: Vec<NodeRecord>) -> Self {
        let mut book = Self { me, ..Self::default() };
        for record in kept {
            book.told(record);
        }
        book
    }

    /// A control node has said who it is.
    pub fn introduced(&mut self, now: Duration, record: &NodeRecord) -> Introduced {
        let nothing = Introduced { changed: false, new_incarnation: false, replaces: None };
        if record.role != Role::Control || record.member == self.me || self.replaced.contains(&record.member)
        {
            return nothing;
        }
        let replaces = self.replace_others(record);
        let room = self.members.len() < MAX_MEMBERS;
        match self.members.get_mut(&record.member) {
            Some(page) => {
                let changed = page.record != *record;
                let new_incarnation = !page.direct || page.record.incarnation != record.incarnation;
                *page = Page { record: record.clone(), direct: true, heard: now };
                Introduced { changed, new_incarnation, replaces }
            }
            None if room => {
                let page = Page { record: record.clone(), direct: true, heard: now };
                self.members.insert(record.member, page);
                Introduced { changed: true, new_incarnation: true, replaces }
            }
            None => nothing,
        }
    }

    /// The address belongs to this member now; a disk that was there before is gone.
    fn replace_others(&mut self, record: &NodeRecord) -> Option<u64> {
        let old = self
            .members
            .iter()
            .find(|(member, page)| **member != record.member && page.record.address == record.address)
            .map(|(member, _)| *member)?;
        self.members.remove(&old);
        self.replaced.insert(old);
        Some(old)
    }

    /// Somebody else has told of a control node. What a node says of itself goes first.
    pub fn told(&mut self, record: NodeRecord) -> bool {
        let known = self.members.contains_key(&record.member);
        let taken = self.members.values().any(|page| page.record.address == record.address);
        let unfit = record.role != Role::Control || record.member == self.me;
        if known
            || taken
            || unfit
            || self.replaced.contains(&record.member)
            || self.members.len() >= MAX_MEMBERS
        {
            return false;
        }
        let page = Page { record: record.clone(), direct: false, heard: Duration::ZERO };
        self.members.insert(record.member, page);
        true
    }

    /// Any message from an address shows that its process lives.
    pub fn heard(&mut self, now: Duration, member: u64) {
        if let Some(page) = self.members.get_mut(&member) {
            page.heard = now;
        }
    }

    /// Whether this very process has been heard since `since`: it is not known to have ended or fallen silent.
    pub fn lives(&self, address: SocketAddr, incarnation: u64, since: Duration) -> bool {
        self.members.values().any(|page| {
            let same = page.record.address == address && page.record.incarnation == incarnation;
            same && page.direct && page.heard >= since
        })
    }

    /// Where a member takes internal messages.
    pub fn address(&self, member: u64) -> Option<SocketAddr> {
        self.members.get(&member).map(|page| page.record.address)
    }

    /// The member at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<u64> {
        self.members.iter().find(|(_, page)| page.record.address == address).map(|(member, _)| *member)
    }

    /// All records, to be told to others and kept on disk.
    pub fn records(&self) -> Vec<NodeRecord> {
        self.members.values().map(|page| page.record.clone()).collect()
    }

    /// Those that have been heard of within `within`.
    pub fn alive(&self, now: Duration, within: Duration) -> impl Iterator<Item = &NodeRecord> {
        self.members
            .values()
            .filter(move |page| page.direct && now.saturating_sub(page.heard) <= within)
            .map(|page| &page.record)
    }
}
