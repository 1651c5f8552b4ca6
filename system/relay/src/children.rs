//! The children of a node: which are accepted, to which others are redirected, and what each is sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::RelayMessage;

use crate::child_progress::{ChildProgress, UpdateSource};
use crate::event::RelayAction;

/// Children that are named to a node that is declined.
const MAX_ALTERNATIVES: usize = 4;
/// Of the slots, one in so many is only for nodes that accept children themselves, so that the tree can always grow.
const GROWTH_SHARE: usize = 4;

/// The children of a node.
#[derive(Debug)]
pub(crate) struct Children {
    max_children: usize,
    children: BTreeMap<SocketAddr, Child>,
}

/// How many children a node accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChildCapacity {
    /// How many more children it accepts.
    pub free_child_slots: u16,
    /// How many it accepts at most.
    pub capacity: u16,
}

#[derive(Debug)]
struct Child {
    progress: ChildProgress,
    last_message_at: Duration,
    free_child_slots: u16,
    /// How often it was named as an alternative since its last acknowledgement.
    times_named: u16,
    accepts_children: bool,
}

impl Children {
    /// No children yet, and never more than `max_children`.
    pub(crate) fn new(max_children: usize) -> Self {
        Self { max_children, children: BTreeMap::new() }
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether a node is one of them.
    pub(crate) fn contains(&self, address: &SocketAddr) -> bool {
        self.children.contains_key(address)
    }

    /// How many children this node accepts.
    pub(crate) fn child_capacity(&self) -> ChildCapacity {
        ChildCapacity {
            free_child_slots: self.free_child_slots(),
            capacity: u16::try_from(self.max_children).unwrap_or(u16::MAX),
        }
    }

    /// How many more there may be.
    pub(crate) fn free_child_slots(&self) -> u16 {
        u16::try_from(self.max_children.saturating_sub(self.children.len())).unwrap_or(u16::MAX)
    }

    /// Whether there is a slot for a node, which accepts children itself or not; one that subscribes again keeps its slot.
    pub(crate) fn has_capacity_for(&self, address: &SocketAddr, accepts_children: bool) -> bool {
        if self.contains(address) {
            return true;
        }
        if accepts_children {
            return self.children.len() < self.max_children;
        }
        let childless = self.children.values().filter(|child| !child.accepts_children).count();
        self.children.len() < self.max_children
            && childless < self.max_children - self.max_children.div_ceil(GROWTH_SHARE)
    }

    /// Adds a child; that replaces its earlier subscription, if it has one.
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
            times_named: 0,
            accepts_children: capacity > 0,
        };
        self.children.insert(address, child);
    }

    /// A node acknowledges an update; returns whether it is a child with this subscription.
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
        child.times_named = 0;
        true
    }

    /// A child ends its subscription.
    pub(crate) fn unsubscribe(&mut self, from: SocketAddr, subscription: u64) {
        if self.children.get(&from).is_some_and(|child| child.progress.subscription() == subscription) {
            self.children.remove(&from);
        }
    }

    /// Drops a child, if the node is one, without a message to it.
    pub(crate) fn remove(&mut self, address: &SocketAddr) {
        self.children.remove(address);
    }

    /// Drops children from which nothing has come for `limit`.
    pub(crate) fn drop_timed_out(&mut self, limit: Duration, now: Duration, actions: &mut Vec<RelayAction>) {
        self.children.retain(|address, child| {
            let is_alive = now < child.last_message_at + limit;
            if !is_alive {
                actions.push(unsubscribe(*address, child.progress.subscription()));
            }
            is_alive
        });
    }

    /// Children that may have free slots, those with the most first, for a node that is declined. Each naming counts as if the named
    /// child had accepted the node, until it reports its free slots again.
    pub(crate) fn alternatives(&mut self, request: &SocketAddr) -> Vec<SocketAddr> {
        let mut open: Vec<(&SocketAddr, &mut Child)> = self.children.iter_mut().collect();
        open.retain(|(address, child)| *address != request && child.free_child_slots > 0);
        open.sort_by_key(|(_, child)| i32::from(child.times_named) - i32::from(child.free_child_slots));
        open.truncate(MAX_ALTERNATIVES);
        let names = open.into_iter().map(|(address, child)| {
            child.times_named = child.times_named.saturating_add(1);
            *address
        });
        names.collect()
    }

    /// Sends each child what is due.
    pub(crate) fn send_due_updates(
        &mut self,
        now: Duration,
        source: UpdateSource<'_>,
        actions: &mut Vec<RelayAction>,
    ) {
        self.children.retain(|address, child| send_due_to_child(*address, child, now, source, actions));
    }

    /// When the next update is due or the next child times out.
    pub(crate) fn next_timer(&self, source: UpdateSource<'_>) -> Option<Duration> {
        let timeout = source.settings.child_timeout;
        let each = self
            .children
            .values()
            .map(|child| child.progress.next_update_at(source).min(child.last_message_at + timeout));
        each.min()
    }

    /// The position in the change log before which no child needs anything.
    pub(crate) fn oldest_needed_position(&self) -> Option<u64> {
        self.children.values().map(|child| child.progress.log_position()).min()
    }
}

/// Sends a child what is due; returns whether it can be kept.
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

/// The message that ends a subscription.
pub(crate) fn unsubscribe(to: SocketAddr, subscription: u64) -> RelayAction {
    RelayAction::Send { to, message: RelayMessage::Unsubscribe { subscription } }
}
