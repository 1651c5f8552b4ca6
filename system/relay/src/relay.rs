//! The machine of one node: takes events, keeps the copy, and brings its parts together.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, FreshnessTick, Registry, RelayMessage, Value};

use crate::children::{leave, Children, Offer};
use crate::event::{RelayAction, RelayEvent};
use crate::feed::{Feed, Source};
use crate::freshness::Freshness;
use crate::link::Link;
use crate::log::ChangeLog;
use crate::replica::Replica;
use crate::search::Asking;
use crate::settings::RelaySettings;
use crate::suspects::Suspects;
use crate::upstream::Upstream;

/// One node's part of the tree, with its copy of the registry.
#[derive(Debug)]
pub struct Relay {
    settings: RelaySettings,
    me: SocketAddr,
    root: bool,
    started: bool,
    replica: Replica,
    suspects: Suspects,
    freshness: Freshness,
    upstream: Upstream,
    children: Children,
    log: ChangeLog,
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

/// What a node that wants to become a child has.
#[derive(Clone, Copy)]
struct CopyOfChild<'a> {
    digest: &'a [u64],
    configuration: u64,
}

impl Relay {
    /// The relay of the node that takes internal messages at `me`. A `root` is fed by its host and has no parent.
    pub fn new(settings: RelaySettings, me: SocketAddr, root: bool, seed: u64) -> Self {
        Self {
            me,
            root,
            started: false,
            replica: Replica::new(&settings),
            suspects: Suspects::default(),
            freshness: Freshness::new(settings.freshness),
            upstream: Upstream::new(settings.clone(), me, seed),
            children: Children::new(settings.max_children),
            log: ChangeLog::new(settings.max_pending),
            settings,
        }
    }

    /// Takes one event and adds what is to be done.
    pub fn handle(&mut self, now: Duration, event: RelayEvent, actions: &mut Vec<RelayAction>) {
        self.expire(now, actions);
        match event {
            RelayEvent::Started => self.started = true,
            RelayEvent::Message { from, message } => self.on_message(from, message, now, actions),
            RelayEvent::PeerDisconnected { peer } => self.on_lost(peer, now),
            RelayEvent::EntriesLearned(entries) => self.merge(entries, Vec::new(), now, actions),
            RelayEvent::Tick(tick) => self.freshness.confirmed(tick, now),
            RelayEvent::ControlNodesKnown(seeds) => self.upstream.set_seeds(seeds, now),
            RelayEvent::TimerExpired => {}
        }
        self.let_go_of_suspects(now, actions);
        if !self.root && self.started {
            self.look_up(now, actions);
        }
        self.feed_children(now, actions);
    }

    /// When [`RelayEvent::TimerExpired`] is due, if at all.
    pub fn next_timer(&self) -> Option<Duration> {
        let upstream =
            self.upstream.next_timer(self.freshness.expires_at(), self.children.free_child_slots());
        let children = self.children.next_timer(self.source());
        let doubts = self.suspects.next_timer(self.doubt_after());
        [upstream, children, doubts, self.replica.next_expiry()].into_iter().flatten().min()
    }

    /// This node's copy of the registry.
    pub fn registry(&self) -> &Registry {
        self.replica.registry()
    }

    /// Whether the copy had, within the last [`RelaySettings::freshness`], all that the control chain had confirmed.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// When the newest tick was confirmed at a root, less the time on the wire.
    pub fn last_tick_at(&self) -> Option<Duration> {
        self.freshness.expires_at().map(|at| at.saturating_sub(self.settings.freshness))
    }

    /// The node's parent in the tree, while it has one.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.upstream.parent()
    }

    /// How many children the node has.
    pub fn children(&self) -> usize {
        self.children.len()
    }

    fn source(&self) -> Source<'_> {
        Source {
            settings: &self.settings,
            replica: &self.replica,
            log: &self.log,
            freshness: &self.freshness,
        }
    }

    /// Acts on deadlines before anything else: after a standstill of this process the event may be old.
    fn expire(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        self.replica.expire(now);
        self.upstream.expire(now, actions);
        self.children.drop_silent(self.settings.child_silence, now, actions);
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
                let offer = Offer { free_child_slots, capacity };
                let copy = CopyOfChild { digest: &digest, configuration };
                let answer = self.answer_subscription(from, subscription, copy, offer, now);
                actions.push(RelayAction::Send { to: from, message: answer });
            }
            RelayMessage::SubscribeAccepted { subscription } => {
                if self.link_of(from, subscription, now, actions).is_none() {
                    actions.push(leave(from, subscription));
                }
            }
            RelayMessage::SubscribeDeclined { subscription, alternatives: others } => {
                self.upstream.declined(from, subscription, others, now);
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
                if !self.children.received(from, subscription, sequence, free_child_slots, now) {
                    actions.push(leave(from, subscription));
                }
            }
            RelayMessage::Unsubscribe { subscription } => {
                self.upstream.left(from, subscription, now);
                self.children.leave(from, subscription);
            }
        }
    }

    /// Takes a node as a child, or names others. One that can't vouch for its own copy takes nobody, which keeps cycles from
    /// lasting: no ticks come into one, so that nobody in it is fresh for long.
    fn answer_subscription(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        copy: CopyOfChild<'_>,
        offer: Offer,
        now: Duration,
    ) -> RelayMessage {
        if !self.is_fresh(now) {
            self.children.remove(&from);
            return RelayMessage::SubscribeDeclined { subscription, alternatives: Vec::new() };
        }
        let above = from == self.me || self.upstream.looks_to(from);
        if above || !self.children.has_place(&from, offer.capacity > 0) {
            return RelayMessage::SubscribeDeclined {
                subscription,
                alternatives: self.children.others(&from),
            };
        }
        let feed = Feed::new(subscription, copy.digest, copy.configuration, self.source());
        self.children.insert(from, feed, offer, now);
        RelayMessage::SubscribeAccepted { subscription }
    }

    fn on_update(&mut self, update: Update, now: Duration, actions: &mut Vec<RelayAction>) {
        let Some(link) = self.link_of(update.from, update.subscription, now, actions) else {
            actions.push(leave(update.from, update.subscription));
            return;
        };
        if !link.take_update(update.sequence, &update.entries, now) {
            self.upstream.leave_parent(actions);
            return;
        }
        let rises = link.take_tick(update.tick);
        let brings_changes = |entry: &Entry| matches!(entry.value, Value::ConfigurationUpdates(_));
        let brought_changes = update.entries.iter().any(brings_changes);
        self.merge(update.entries, update.tombstone_ages_ms, now, actions);
        // Another parent may have no newer configuration either: that is no reason to leave it.
        if brought_changes && self.replica.lacks_configuration() {
            self.upstream.leave_parent(actions);
            return;
        }
        let tick_age = Duration::from_millis(u64::from(update.tick_age_ms));
        self.freshness.relayed(update.tick, tick_age, rises, now);
    }

    fn on_lost(&mut self, peer: SocketAddr, now: Duration) {
        self.upstream.lost(peer, now);
        self.children.remove(&peer);
    }

    /// Takes in what is new, for this node and its children. The ages belong to the entries that say "gone"; what has none is new.
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
            self.suspects.confirm(&entry.key);
            let age_ms = if matches!(entry.value, Value::Tombstone) { ages.next().unwrap_or(0) } else { 0 };
            if !self.replica.merge(&entry, Duration::from_millis(u64::from(age_ms)), now) {
                continue;
            }
            if self.children.len() > 0 {
                self.log.push(entry.key.clone());
            }
            changed.push(entry);
        }
        if !changed.is_empty() {
            actions.push(RelayAction::EntriesChanged(changed));
        }
    }

    /// For how long a node may be without a tick before it doubts the entries of sessions, and then how long it waits for parents
    /// to confirm them.
    fn doubt_after(&self) -> Duration {
        self.settings.tombstone_retention / 2
    }

    fn needs_whole_copy(&self, now: Duration) -> bool {
        let apart_since = self.freshness.expires_at();
        !self.suspects.is_empty() || apart_since.is_some_and(|since| since + self.doubt_after() <= now)
    }

    /// The link that a message belongs to; where it begins one after a long time apart, entries are doubted.
    fn link_of(
        &mut self,
        from: SocketAddr,
        subscription: u64,
        now: Duration,
        actions: &mut Vec<RelayAction>,
    ) -> Option<&mut Link> {
        let link = self.upstream.link_of(from, subscription, now, actions)?;
        if link.begins_whole_copy() {
            self.suspects.doubt_sessions(self.replica.registry());
        }
        Some(link)
    }

    fn let_go_of_suspects(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let keys = self.suspects.judge(self.is_fresh(now), self.doubt_after(), now);
        let known = keys.into_iter().filter_map(|key| self.registry().entry(&key).cloned());
        let gone: Vec<Entry> = known.map(|entry| Entry { value: Value::Tombstone, ..entry }).collect();
        self.merge(gone, Vec::new(), now, actions);
    }

    /// Looks for a parent if need be, and tells the one there is how far this node is.
    fn look_up(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let digest = if self.needs_whole_copy(now) { &[] } else { self.replica.digest() };
        let asking = Asking {
            directory: self.replica.directory(),
            digest,
            configuration: self.replica.configuration_known(),
            offer: self.children.offer(),
        };
        let (me, children) = (self.me, &self.children);
        let skip = |address: &SocketAddr| *address == me || children.contains(address);
        actions.extend(self.upstream.search(now, self.freshness.expires_at(), asking, skip));
        actions.extend(self.upstream.report(self.children.free_child_slots(), now));
    }

    fn feed_children(&mut self, now: Duration, actions: &mut Vec<RelayAction>) {
        let source = Source {
            settings: &self.settings,
            replica: &self.replica,
            log: &self.log,
            freshness: &self.freshness,
        };
        self.children.feed(now, source, actions);
        let needed_from = self.children.needed_from().unwrap_or(self.log.end());
        self.log.trim(needed_from);
    }
}
