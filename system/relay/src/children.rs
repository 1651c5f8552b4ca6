//! The children of a node: admission, redirection of declined nodes, and sending of updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::RelayMessage;

use crate::child_progress::{ChildProgress, UpdateSource};
use crate::event::RelayAction;

/// Maximum number of children that are listed as alternatives for a declined node.
const MAX_ALTERNATIVES: usize = 4;
/// One in this many slots is reserved for nodes that accept children themselves, so that the tree can always grow.
const SLOTS_PER_RESERVED_SLOT: usize = 4;

/// The children of a node.
#[derive(Debug)]
pub(crate) struct Children {
    max_children: usize,
    children: BTreeMap<SocketAddr, Child>,
}

/// The capacity of a node for children.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChildCapacity {
    /// Number of further children that the node accepts.
    pub free_child_slots: u16,
    /// Maximum number of children that the node accepts.
    pub capacity: u16,
}

#[derive(Debug)]
struct Child {
    progress: ChildProgress,
    last_message_at: Duration,
    free_child_slots: u16,
    /// Number of nodes that were redirected to this child since its last acknowledgement.
    redirects_since_ack: u16,
    accepts_children: bool,
}

impl Children {
    /// Creates an empty set that never holds more than `max_children` children.
    pub(crate) fn new(max_children: usize) -> Self {
        Self { max_children, children: BTreeMap::new() }
    }

    /// The number of children.
    pub(crate) fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether the node at an address is a child.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.children.contains_key(address)
    }

    /// The capacity of this node for children.
    pub(crate) fn child_capacity(&self) -> ChildCapacity {
        ChildCapacity {
            free_child_slots: self.free_child_slots(),
            capacity: u16::try_from(self.max_children).unwrap_or(u16::MAX),
        }
    }

    /// Number of further children that this node accepts.
    pub(crate) fn free_child_slots(&self) -> u16 {
        u16::try_from(self.max_children.saturating_sub(self.children.len())).unwrap_or(u16::MAX)
    }

    /// Whether there is a free slot for a node; `accepts_children` is true if that node accepts children itself. A child that
    /// subscribes again keeps its slot.
    pub(crate) fn has_capacity_for(&self, address: &SocketAddr, accepts_children: bool) -> bool {
        if self.contains(address) {
            return true;
        }
        if accepts_children {
            return self.children.len() < self.max_children;
        }
        let leaf_count = self.children.values().filter(|child| !child.accepts_children).count();
        self.children.len() < self.max_children
            && leaf_count < self.max_children - self.max_children.div_ceil(SLOTS_PER_RESERVED_SLOT)
    }

    /// Adds a child; replaces its earlier subscription, if it has one.
    pub(crate) fn insert(
        &mut self,
        address: SocketAddr,
        progress: ChildProgress,
        child_capacity: ChildCapacity,
        now: Duration,
    ) {
        let ChildCapacity { free_child_slots, capacity } = child_capacity;
        let child = Child {
            progress,
            last_message_at: now,
            free_child_slots,
            redirects_since_ack: 0,
            accepts_children: capacity > 0,
        };
        self.children.insert(address, child);
    }

    /// Records the acknowledgement of an update; returns whether the sender is a child with this subscription.
    pub(crate) fn on_ack(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        sequence: u64,
        free_child_slots: u16,
        now: Duration,
    ) -> bool {
        let child =
            self.children.get_mut(&from).filter(|child| child.progress.subscription() == subscription);
        let Some(child) = child else { return false };
        child.progress.acknowledge(sequence);
        child.last_message_at = now;
        child.free_child_slots = free_child_slots;
        child.redirects_since_ack = 0;
        true
    }

    /// Removes a child that has ended its subscription; ignores an identifier of an earlier subscription.
    pub(crate) fn unsubscribe(&mut self, from: SocketAddr, subscription: u64) {
        if self.children.get(&from).is_some_and(|child| child.progress.subscription() == subscription) {
            self.children.remove(&from);
        }
    }

    /// Removes the child at an address, if there is one, without sending it a message.
    pub(crate) fn remove(&mut self, address: &SocketAddr) {
        self.children.remove(address);
    }

    /// Removes the children that have sent nothing for `timeout`, and notifies them.
    pub(crate) fn drop_timed_out(
        &mut self,
        timeout: Duration,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) {
        self.children.retain(|address, child| {
            let is_active = now < child.last_message_at + timeout;
            if !is_active {
                actions.push(unsubscribe(*address, child.progress.subscription()));
            }
            is_active
        });
    }

    /// Children that may have free slots, those with the most first, as alternatives for a declined node. Each redirection counts as
    /// if the child had accepted the node, until the child reports its free slots again.
    pub(crate) fn alternatives(&mut self, declined: &SocketAddr) -> Vec<SocketAddr> {
        let mut candidates: Vec<(&SocketAddr, &mut Child)> = self.children.iter_mut().collect();
        candidates.retain(|(address, child)| *address != declined && child.free_child_slots > 0);
        candidates.sort_by_key(|(_, child)| {
            i32::from(child.redirects_since_ack) - i32::from(child.free_child_slots)
        });
        candidates.truncate(MAX_ALTERNATIVES);
        let addresses = candidates.into_iter().map(|(address, child)| {
            child.redirects_since_ack = child.redirects_since_ack.saturating_add(1);
            *address
        });
        addresses.collect()
    }

    /// Sends each child the updates that are due; removes children that the change log no longer covers.
    pub(crate) fn send_due_updates(
        &mut self,
        now: Duration,
        source: UpdateSource<'_>,
        actions: &mut Vec<RelayAction>,
    ) {
        self.children.retain(|address, child| send_due_to_child(*address, child, now, source, actions));
    }

    /// The time at which the next update is due or the next child times out.
    pub(crate) fn next_timer(&self, source: UpdateSource<'_>) -> Option<Duration> {
        let timeout = source.settings.child_timeout;
        let timers = self
            .children
            .values()
            .map(|child| child.progress.next_update_at(source).min(child.last_message_at + timeout));
        timers.min()
    }

    /// The position in the change log before which no child needs any change.
    pub(crate) fn oldest_needed_position(&self) -> Option<u64> {
        self.children.values().map(|child| child.progress.log_position()).min()
    }
}

/// Sends a child the updates that are due; returns false if the change log no longer covers it, so that it has to be removed.
fn send_due_to_child(
    to: SocketAddr,
    child: &mut Child,
    now: Duration,
    source: UpdateSource<'_>,
    actions: &mut Vec<RelayAction>,
) -> bool {
    while child.progress.next_update_at(source) <= now {
        let Ok(message) = child.progress.next_update(now, source) else {
            actions.push(unsubscribe(to, child.progress.subscription()));
            return false;
        };
        actions.push(RelayAction::Send { to, message });
    }
    true
}

/// The action that ends a subscription.
pub(crate) fn unsubscribe(to: SocketAddr, subscription: u64) -> RelayAction {
    RelayAction::Send { to, message: RelayMessage::Unsubscribe { subscription } }
}
