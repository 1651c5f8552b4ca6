//! The subscription to the parent that a node has.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, FreshnessTick, RelayMessage};

use crate::search::Attempt;
use crate::settings::RelaySettings;
use crate::weight::weight;

/// A subscription that a parent has accepted.
#[derive(Debug)]
pub(crate) struct Link {
    parent: SocketAddr,
    subscription: u64,
    awaits_whole_copy: bool,
    accepted_at: Duration,
    heard_at: Duration,
    entries_at: Duration,
    sequence: u64,
    tick: FreshnessTick,
    unreported_bytes: usize,
    reported_at: Duration,
    reported_room: u16,
}

impl Link {
    /// An attempt that was just accepted.
    pub fn new(attempt: &Attempt, now: Duration) -> Self {
        Self {
            parent: attempt.to,
            subscription: attempt.subscription,
            awaits_whole_copy: attempt.whole_copy,
            accepted_at: now,
            heard_at: now,
            entries_at: now,
            sequence: 0,
            tick: FreshnessTick::default(),
            unreported_bytes: 0,
            reported_at: now,
            reported_room: attempt.offer.free_child_slots,
        }
    }

    /// Whether this is the beginning of a subscription that asked for everything; true only once.
    pub fn begins_whole_copy(&mut self) -> bool {
        std::mem::take(&mut self.awaits_whole_copy)
    }

    /// The parent.
    pub fn parent(&self) -> SocketAddr {
        self.parent
    }

    /// The name of the subscription.
    pub fn subscription(&self) -> u64 {
        self.subscription
    }

    /// Whether a message belongs to this subscription.
    pub fn is(&self, from: SocketAddr, subscription: u64) -> bool {
        self.parent == from && self.subscription == subscription
    }

    /// Notes an update; says whether it is the one that had to follow.
    pub fn take_update(&mut self, sequence: u64, entries: &[Entry], now: Duration) -> bool {
        if sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = sequence;
        self.heard_at = now;
        if !entries.is_empty() {
            self.entries_at = now;
            self.unreported_bytes += entries.iter().map(weight).sum::<usize>();
        }
        true
    }

    /// Notes the tick of an update; says whether it is higher than the one before it.
    pub fn take_tick(&mut self, tick: FreshnessTick) -> bool {
        let rises = tick > self.tick;
        self.tick = tick;
        rises
    }

    /// When the parent has been silent for too long.
    pub fn silent_at(&self, settings: &RelaySettings) -> Duration {
        self.heard_at + settings.parent_silence
    }

    /// Until when the node waits for a tick, the newest of which counts until `fresh_until`. While the parent still sends its
    /// copy, entries stand in for ticks, for a bounded time.
    pub fn stalled_at(&self, fresh_until: Option<Duration>, settings: &RelaySettings) -> Duration {
        let first = self.accepted_at + settings.freshness;
        let ticking = fresh_until.unwrap_or_default().max(first);
        if self.tick != FreshnessTick::default() {
            return ticking;
        }
        let copying = self.entries_at + settings.freshness;
        ticking.max(copying.min(self.accepted_at + settings.snapshot_timeout))
    }

    /// When the parent should be told how far this node is, and how much room it has.
    pub fn report_at(&self, free_child_slots: u16, settings: &RelaySettings) -> Duration {
        if self.unreported_bytes >= settings.window_bytes / 4 {
            return self.heard_at;
        }
        let pause = if free_child_slots == self.reported_room {
            settings.received_interval
        } else {
            settings.room_interval
        };
        self.reported_at + pause
    }

    /// Tells the parent.
    pub fn report(&mut self, free_child_slots: u16, now: Duration) -> RelayMessage {
        self.unreported_bytes = 0;
        self.reported_at = now;
        self.reported_room = free_child_slots;
        RelayMessage::Ack { subscription: self.subscription, sequence: self.sequence, free_child_slots }
    }
}
