//! The children of a node: who is taken, whom the others are sent to, and what each is sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::RelayMessage;

use crate::event::RelayAction;
use crate::feed::{Feed, Source};

/// Children that are named to a node that isn't taken.
const OTHERS_NAMED: usize = 4;
/// Of the places, one in so many is only for nodes that take children themselves, so that the tree can always grow.
const GROWTH_SHARE: usize = 4;

/// The children of a node.
#[derive(Debug)]
pub(crate) struct Children {
    most: usize,
    children: BTreeMap<SocketAddr, Child>,
}

/// What a node offers to others that look for a parent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    /// How many more children it takes.
    pub free_child_slots: u16,
    /// How many it takes at most.
    pub capacity: u16,
}

#[derive(Debug)]
struct Child {
    feed: Feed,
    heard_at: Duration,
    free_child_slots: u16,
    named: u16,
    takes_children: bool,
}

impl Children {
    /// No children yet, and never more than `most`.
    pub fn new(most: usize) -> Self {
        Self { most, children: BTreeMap::new() }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether a node is one of them.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.children.contains_key(address)
    }

    /// What this node offers to nodes that look for a parent.
    pub fn offer(&self) -> Offer {
        Offer {
            free_child_slots: self.free_child_slots(),
            capacity: u16::try_from(self.most).unwrap_or(u16::MAX),
        }
    }

    /// How many more there may be.
    pub fn free_child_slots(&self) -> u16 {
        u16::try_from(self.most.saturating_sub(self.children.len())).unwrap_or(u16::MAX)
    }

    /// Whether there is a place for a node that takes children itself or not; one that subscribes again keeps its place.
    pub fn has_place(&self, address: &SocketAddr, takes_children: bool) -> bool {
        if self.contains(address) {
            return true;
        }
        if takes_children {
            return self.children.len() < self.most;
        }
        let without = self.children.values().filter(|child| !child.takes_children).count();
        self.children.len() < self.most && without < self.most - self.most.div_ceil(GROWTH_SHARE)
    }

    /// Takes a child, in place of its earlier subscription if it has one.
    pub fn insert(&mut self, address: SocketAddr, feed: Feed, offer: Offer, now: Duration) {
        let Offer { free_child_slots, capacity } = offer;
        let child = Child { feed, heard_at: now, free_child_slots, named: 0, takes_children: capacity > 0 };
        self.children.insert(address, child);
    }

    /// A child has taken an update; says whether it is one.
    pub fn received(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        sequence: u64,
        free_child_slots: u16,
        now: Duration,
    ) -> bool {
        let child = self.children.get_mut(&from).filter(|child| child.feed.subscription() == subscription);
        let Some(child) = child else { return false };
        child.feed.acknowledge(sequence);
        child.heard_at = now;
        child.free_child_slots = free_child_slots;
        child.named = 0;
        true
    }

    /// A child ends its subscription.
    pub fn leave(&mut self, from: SocketAddr, subscription: u64) {
        if self.children.get(&from).is_some_and(|child| child.feed.subscription() == subscription) {
            self.children.remove(&from);
        }
    }

    /// Drops a child, if the node is one, without a word.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.children.remove(address);
    }

    /// Drops children that have been silent for longer than `limit`.
    pub fn drop_silent(&mut self, limit: Duration, now: Duration, actions: &mut Vec<RelayAction>) {
        self.children.retain(|address, child| {
            let lives = now < child.heard_at + limit;
            if !lives {
                actions.push(leave(*address, child.feed.subscription()));
            }
            lives
        });
    }

    /// Children that may have room, the emptiest first, for a node that isn't taken. Each naming counts as if the named child had
    /// got the node, until it tells its room again.
    pub fn others(&mut self, asking: &SocketAddr) -> Vec<SocketAddr> {
        let mut open: Vec<(&SocketAddr, &mut Child)> = self.children.iter_mut().collect();
        open.retain(|(address, child)| *address != asking && child.free_child_slots > 0);
        open.sort_by_key(|(_, child)| i32::from(child.named) - i32::from(child.free_child_slots));
        open.truncate(OTHERS_NAMED);
        let names = open.into_iter().map(|(address, child)| {
            child.named = child.named.saturating_add(1);
            *address
        });
        names.collect()
    }

    /// Sends what is due.
    pub fn feed(&mut self, now: Duration, source: Source<'_>, actions: &mut Vec<RelayAction>) {
        self.children.retain(|address, child| feed_child(*address, child, now, source, actions));
    }

    /// When the next frame is due or the next silent child is dropped.
    pub fn next_timer(&self, source: Source<'_>) -> Option<Duration> {
        let silence = source.settings.child_silence;
        let each = self.children.values().map(|child| child.feed.due(source).min(child.heard_at + silence));
        each.min()
    }

    /// The part of the log that nobody needs any more ends here.
    pub fn needed_from(&self) -> Option<u64> {
        self.children.values().map(|child| child.feed.position()).min()
    }
}

/// Sends a child what is due; says whether it can be kept.
fn feed_child(
    to: SocketAddr,
    child: &mut Child,
    now: Duration,
    source: Source<'_>,
    actions: &mut Vec<RelayAction>,
) -> bool {
    while child.feed.due(source) <= now {
        let Ok(message) = child.feed.next_frame(now, source) else {
            actions.push(leave(to, child.feed.subscription()));
            return false;
        };
        actions.push(RelayAction::Send { to, message });
    }
    true
}

/// Tells a peer that a subscription is over.
pub(crate) fn leave(to: SocketAddr, subscription: u64) -> RelayAction {
    RelayAction::Send { to, message: RelayMessage::Unsubscribe { subscription } }
}
