//! The relay of one node: passes events to its parts, which are the copy, the upstream and the children.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, FreshnessTick, Registry, RelayMessage, Value};

use crate::change_log::ChangeLog;
use crate::child_progress::{ChildProgress, UpdateSource};
use crate::children::{unsubscribe, ChildCapacity, Children};
use crate::event::{RelayAction, RelayEvent};
use crate::freshness::Freshness;
use crate::parent_search::SubscribeRequest;
use crate::parent_subscription::ParentSubscription;
use crate::replica::Replica;
use crate::settings::RelaySettings;
use crate::unconfirmed::UnconfirmedEntries;
use crate::upstream::Upstream;

/// One node's part of the tree, with its copy of the registry.
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    me: SocketAddr,
    is_root: bool,
    is_started: bool,
    replica: Replica,
    unconfirmed: UnconfirmedEntries,
    freshness: Freshness,
    upstream: Upstream,
    children: Children,
    change_log: ChangeLog,
}

/// An update, as it came from a parent.
struct Update {
    from: SocketAddr,
    subscription: u64,
    sequence: u64,
    entries: Vec<Entry>,
    tombstone_ages_ms: Vec<u32>,
    tick: FreshnessTick,
    tick_age_ms: u32,
}

/// The digest and the configuration of a node that subscribes.
#[derive(Clone, Copy)]
struct ChildCopy<'a> {
    digest: &'a [u64],
    configuration: u64,
}

impl Relay {
    /// The relay of the node that takes internal messages at `me`. A `is_root` is fed by its host and has no parent.
    #[must_use]
    pub fn new(settings: RelaySettings, me: SocketAddr, is_root: bool, seed: u64) -> Self {
        Self {
            me,
            is_root,
            is_started: false,
            replica: Replica::new(&settings),
            unconfirmed: UnconfirmedEntries::default(),
            freshness: Freshness::new(settings.freshness),
            upstream: Upstream::new(settings.clone(), me, seed),
            children: Children::new(settings.max_children),
            change_log: ChangeLog::new(settings.max_logged_changes),
            settings,
        }
    }

    /// Handles an event, and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        self.expire(now, actions);
        match event {
            RelayEvent::Started => self.is_started = true,
            RelayEvent::Message { from, message } => self.on_message(from, message, now, actions),
            RelayEvent::PeerDisconnected { peer } => self.on_peer_disconnected(peer, now),
            RelayEvent::EntriesLearned(entries) => self.merge(entries, Vec::new(), now, actions),
            RelayEvent::Tick(tick) => self.freshness.on_confirmed_tick(tick, now),
            RelayEvent::ControlNodesKnown(seeds) => self.upstream.set_seeds(seeds, now),
            RelayEvent::TimerExpired => {}
        }
        self.remove_unconfirmed(now, actions);
        if !self.is_root && self.is_started {
            self.drive_upstream(now, actions);
        }
        self.send_to_children(now, actions);
    }

    /// When [`RelayEvent::TimerExpired`] is due, if at all.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let upstream =
            self.upstream.next_timer(self.freshness.expires_at(), self.children.free_child_slots());
        let children = self.children.next_timer(self.source());
        let unconfirmed = self.unconfirmed.next_timer(self.confirmation_period());
        [upstream, children, unconfirmed, self.replica.next_expiry()].into_iter().flatten().min()
    }

    /// This node's copy of the registry.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        self.replica.registry()
    }

    /// Whether the copy had, within the last [`RelaySettings::freshness`], all that the control chain had confirmed.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// When the newest tick was confirmed at a root, less the time on the wire.
    #[must_use]
    pub fn last_tick_at(&self) -> Option<Duration> {
        self.freshness.expires_at().map(|at| at.saturating_sub(self.settings.freshness))
    }

    /// The node's parent in the tree, while it has one.
    #[must_use]
    pub fn parent(&self) -> Option<SocketAddr> {
        self.upstream.parent()
    }

    /// How many children the node has.
    #[must_use]
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    fn source(&self) -> UpdateSource<'_> {
        UpdateSource {
            settings: &self.settings,
            replica: &self.replica,
            change_log: &self.change_log,
            freshness: &self.freshness,
        }
    }

    /// Handles deadlines before anything else: after a pause of this process the event may be old.
    fn expire(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        self.replica.expire(now);
        self.upstream.expire(now, actions);
        self.children.drop_timed_out(self.settings.child_timeout, now, actions);
    }

    fn on_message(
        &mut self,
        from: SocketAddr,
        message: RelayMessage,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) {
        match message {
            RelayMessage::Subscribe { subscription, digest, configuration, free_child_slots, capacity } => {
                let child_capacity = ChildCapacity { free_child_slots, capacity };
                let copy = ChildCopy { digest: &digest, configuration };
                let response = self.subscription_response(from, subscription, copy, child_capacity, now);
                actions.push(RelayAction::Send { to: from, message: response });
            }
            RelayMessage::SubscribeAccepted { subscription } => {
                if self.subscription_of(from, subscription, now, actions).is_none() {
                    actions.push(unsubscribe(from, subscription));
                }
            }
            RelayMessage::SubscribeDeclined { subscription, alternatives } => {
                self.upstream.on_declined(from, subscription, alternatives, now);
            }
            RelayMessage::Update {
                subscription,
                sequence,
                entries,
                tombstone_ages_ms,
                tick,
                tick_age_ms,
            } => {
                let update =
                    Update { from, subscription, sequence, entries, tombstone_ages_ms, tick, tick_age_ms };
                self.on_update(update, now, actions);
            }
            RelayMessage::Ack { subscription, sequence, free_child_slots } => {
                if !self.children.on_ack(from, subscription, sequence, free_child_slots, now) {
                    actions.push(unsubscribe(from, subscription));
                }
            }
            RelayMessage::Unsubscribe { subscription } => {
                self.upstream.on_unsubscribed(from, subscription, now);
                self.children.unsubscribe(from, subscription);
            }
        }
    }

    /// Accepts a node as a child, or names alternatives. A node that isn't fresh accepts none, which keeps cycles from lasting: no
    /// ticks come into one, so that no node in it stays fresh.
    fn subscription_response(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        copy: ChildCopy<'_>,
        child_capacity: ChildCapacity,
        now: Duration,
    ) -> RelayMessage {
        if !self.is_fresh(now) {
            self.children.remove(&from);
            return RelayMessage::SubscribeDeclined { subscription, alternatives: Vec::new() };
        }
        let is_upstream = from == self.me || self.upstream.is_possible_parent(from);
        if is_upstream || !self.children.has_capacity_for(&from, child_capacity.capacity > 0) {
            return RelayMessage::SubscribeDeclined {
                subscription,
                alternatives: self.children.alternatives(&from),
            };
        }
        let progress = ChildProgress::new(subscription, copy.digest, copy.configuration, self.source());
        self.children.insert(from, progress, child_capacity, now);
        RelayMessage::SubscribeAccepted { subscription }
    }

    fn on_update(&mut self, update: Update, now: Duration, actions: &mut Vec<RelayAction>) {
        let Some(subscription) = self.subscription_of(update.from, update.subscription, now, actions) else {
            actions.push(unsubscribe(update.from, update.subscription));
            return;
        };
        if !subscription.on_update(update.sequence, &update.entries, now) {
            self.upstream.unsubscribe_from_parent(actions);
            return;
        }
        let rises = subscription.on_tick(update.tick);
        let is_updates = |entry: &Entry| matches!(entry.value, Value::ConfigurationUpdates(_));
        let brought_updates = update.entries.iter().any(is_updates);
        self.merge(update.entries, update.tombstone_ages_ms, now, actions);
        // Another parent may have no newer configuration either: that is no reason to leave it.
        if brought_updates && self.replica.lacks_configuration() {
            self.upstream.unsubscribe_from_parent(actions);
            return;
        }
        let tick_age = Duration::from_millis(u64::from(update.tick_age_ms));
        self.freshness.on_relayed_tick(update.tick, tick_age, rises, now);
    }

    fn on_peer_disconnected(&mut self, peer: SocketAddr, now: Duration) {
        self.upstream.on_disconnected(peer, now);
        self.children.remove(&peer);
    }

    /// Merges what is new, for this node and its children. The ages belong to the tombstones; one without an age is new.
    fn merge(
        &mut self,
        entries: Vec<Entry>,
        tombstone_ages_ms: Vec<u32>,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) {
        let mut ages = tombstone_ages_ms.into_iter();
        let mut changed = Vec::new();
        for entry in entries {
            self.unconfirmed.confirm(&entry.key);
            let age_ms = if matches!(entry.value, Value::Tombstone) { ages.next().unwrap_or(0) } else { 0 };
            if !self.replica.merge(&entry, Duration::from_millis(u64::from(age_ms)), now) {
                continue;
            }
            if self.children.len() > 0 {
                self.change_log.push(entry.key.clone());
            }
            changed.push(entry);
        }
        if !changed.is_empty() {
            actions.push(RelayAction::EntriesChanged(changed));
        }
    }

    /// For how long a node may be without a tick before its entries of sessions need to be confirmed, and then how long it waits for
    /// parents to confirm them.
    fn confirmation_period(&self) -> Duration {
        self.settings.tombstone_retention / 2
    }

    fn needs_full_copy(&self, now: Duration) -> bool {
        let stale_since = self.freshness.expires_at();
        !self.unconfirmed.is_empty()
            || stale_since.is_some_and(|since| since + self.confirmation_period() <= now)
    }

    /// The subscription that a message belongs to; where that begins with a full copy, entries of sessions have to be confirmed.
    fn subscription_of(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) -> Option<&mut ParentSubscription> {
        let subscription = self.upstream.subscription_of(from, subscription, now, actions)?;
        if subscription.begins_full_copy() {
            self.unconfirmed.mark_sessions(self.replica.registry());
        }
        Some(subscription)
    }

    fn remove_unconfirmed(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let keys = self.unconfirmed.remove_overdue(self.is_fresh(now), self.confirmation_period(), now);
        let known = keys.into_iter().filter_map(|key| self.registry().entry(&key).cloned());
        let tombstones: Vec<Entry> = known.map(|entry| Entry { value: Value::Tombstone, ..entry }).collect();
        self.merge(tombstones, Vec::new(), now, actions);
    }

    /// Searches for a parent if necessary, and acknowledges to the present one.
    fn drive_upstream(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let digest = if self.needs_full_copy(now) { &[] } else { self.replica.digest() };
        let request = SubscribeRequest {
            directory: self.replica.directory(),
            digest,
            configuration: self.replica.configuration_known(),
            child_capacity: self.children.child_capacity(),
        };
        let (me, children) = (self.me, &self.children);
        let is_excluded = |address: &SocketAddr| *address == me || children.contains(address);
        actions.extend(self.upstream.continue_search(now, self.freshness.expires_at(), request, is_excluded));
        actions.extend(self.upstream.report(self.children.free_child_slots(), now));
    }

    fn send_to_children(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let source = UpdateSource {
            settings: &self.settings,
            replica: &self.replica,
            change_log: &self.change_log,
            freshness: &self.freshness,
        };
        self.children.send_due_updates(now, source, actions);
        let oldest_needed_position = self.children.oldest_needed_position().unwrap_or(self.change_log.end());
        self.change_log.trim(oldest_needed_position);
    }
}
