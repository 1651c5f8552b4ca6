//! The relay of one node: dispatches events to the copy of the registry, the upstream and the children.

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

/// The relay of one node in the tree, with its copy of the registry.
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    own_address: SocketAddr,
    is_root: bool,
    is_started: bool,
    replica: Replica,
    unconfirmed: UnconfirmedEntries,
    freshness: Freshness,
    upstream: Upstream,
    children: Children,
    change_log: ChangeLog,
}

/// An update as received from a parent; see [`RelayMessage::Update`].
struct Update {
    from: SocketAddr,
    subscription: u64,
    sequence: u64,
    entries: Vec<Entry>,
    tombstone_ages_ms: Vec<u32>,
    tick: FreshnessTick,
    tick_age_ms: u32,
}

/// The digest and the configuration version of a node that subscribes.
#[derive(Clone, Copy)]
struct SubscriberState<'a> {
    digest: &'a [u64],
    configuration_version: u64,
}

impl Relay {
    /// Creates the relay of the node that receives internal messages at `own_address`. A root receives entries and ticks from its host
    /// and has no parent. `seed` seeds the random numbers of the search for a parent.
    #[must_use]
    pub fn new(settings: RelaySettings, own_address: SocketAddr, is_root: bool, seed: u64) -> Self {
        Self {
            own_address,
            is_root,
            is_started: false,
            replica: Replica::new(&settings),
            unconfirmed: UnconfirmedEntries::default(),
            freshness: Freshness::new(settings.max_tick_age),
            upstream: Upstream::new(settings.clone(), own_address, seed),
            children: Children::new(settings.max_children),
            change_log: ChangeLog::new(settings.max_logged_changes),
            settings,
        }
    }

    /// Handles an event at the time `now`, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        self.expire(now, actions);
        match event {
            RelayEvent::Started => self.is_started = true,
            RelayEvent::Message { from, message } => self.on_message(from, message, now, actions),
            RelayEvent::PeerDisconnected { peer } => self.on_peer_disconnected(peer, now),
            RelayEvent::EntriesReceived(entries) => self.merge(entries, Vec::new(), now, actions),
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

    /// The time at which [`RelayEvent::TimerExpired`] is due, if at all.
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

    /// Whether, at some time within the last [`RelaySettings::max_tick_age`], the copy had all entries that the control chain had
    /// confirmed.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// The time at which a root confirmed the newest tick, by this node's clock. The value is late by the time that the tick spent in
    /// transmission, which its age does not include.
    #[must_use]
    pub fn last_tick_at(&self) -> Option<Duration> {
        self.freshness.expires_at().map(|at| at.saturating_sub(self.settings.max_tick_age))
    }

    /// The address of the node's parent in the tree, while it has one.
    #[must_use]
    pub fn parent(&self) -> Option<SocketAddr> {
        self.upstream.parent()
    }

    /// The number of children of the node.
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

    /// Handles expired deadlines. Called before the event, which may have been queued during a pause of this process.
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
                let subscriber = SubscriberState { digest: &digest, configuration_version: configuration };
                let response =
                    self.subscription_response(from, subscription, subscriber, child_capacity, now);
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

    /// Accepts a node as a child, or declines it and lists alternatives. A node that is not fresh accepts no children, so that cycles
    /// cannot last: a cycle receives no new ticks, so no node in it stays fresh.
    fn subscription_response(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        subscriber: SubscriberState<'_>,
        child_capacity: ChildCapacity,
        now: Duration,
    ) -> RelayMessage {
        if !self.is_fresh(now) {
            self.children.remove(&from);
            return RelayMessage::SubscribeDeclined { subscription, alternatives: Vec::new() };
        }
        let is_upstream = from == self.own_address || self.upstream.is_possible_parent(from);
        if is_upstream || !self.children.has_capacity_for(&from, child_capacity.capacity > 0) {
            return RelayMessage::SubscribeDeclined {
                subscription,
                alternatives: self.children.alternatives(&from),
            };
        }
        let progress = ChildProgress::new(
            subscription,
            subscriber.digest,
            subscriber.configuration_version,
            self.source(),
        );
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
        let is_higher = subscription.on_tick(update.tick);
        let is_configuration_updates = |entry: &Entry| matches!(entry.value, Value::ConfigurationUpdates(_));
        let has_configuration_updates = update.entries.iter().any(is_configuration_updates);
        self.merge(update.entries, update.tombstone_ages_ms, now, actions);
        // Without updates in the message, the parent has no newer configuration. Another parent may have none either, so the
        // subscription continues.
        if has_configuration_updates && self.replica.needs_full_configuration() {
            self.upstream.unsubscribe_from_parent(actions);
            return;
        }
        let tick_age = Duration::from_millis(u64::from(update.tick_age_ms));
        self.freshness.on_relayed_tick(update.tick, tick_age, is_higher, now);
    }

    fn on_peer_disconnected(&mut self, peer: SocketAddr, now: Duration) {
        self.upstream.on_disconnected(peer, now);
        self.children.remove(&peer);
    }

    /// Merges the entries that are new into the copy, and logs them for the children. `tombstone_ages_ms` holds the ages of the
    /// tombstones in their order; a tombstone without an age counts as new.
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

    /// Maximum time that a node may be stale before its session entries have to be confirmed. It is also the time that a node, once
    /// fresh again, waits for parents to confirm them.
    fn confirmation_period(&self) -> Duration {
        self.settings.tombstone_retention / 2
    }

    fn needs_full_copy(&self, now: Duration) -> bool {
        let stale_since = self.freshness.expires_at();
        !self.unconfirmed.is_empty()
            || stale_since.is_some_and(|since| since + self.confirmation_period() <= now)
    }

    /// The subscription that a message belongs to. If the message is the first of a subscription with a full copy, marks all session
    /// entries as unconfirmed.
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

    /// Searches for a parent if necessary, and sends the acknowledgement that is due to the present one.
    fn drive_upstream(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let digest = if self.needs_full_copy(now) { &[] } else { self.replica.digest() };
        let request = SubscribeRequest {
            directory: self.replica.directory(),
            digest,
            configuration_version: self.replica.known_configuration_version(),
            child_capacity: self.children.child_capacity(),
        };
        let (own_address, children) = (self.own_address, &self.children);
        let is_excluded = |address: &SocketAddr| *address == own_address || children.contains(address);
        actions.extend(self.upstream.continue_search(now, self.freshness.expires_at(), request, is_excluded));
        actions.extend(self.upstream.acknowledge(self.children.free_child_slots(), now));
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
