//! The subscription of a node to its parent.

use std::net::SocketAddr;
use std::time::Duration;

use gingerledge_wire::{Entry, FreshnessTick, RelayMessage};

use crate::entry_size::entry_size;
use crate::parent_search::Attempt;
use crate::settings::RelaySettings;

/// A subscription that a parent has accepted.
#[derive(Debug)]
pub(crate) struct ParentSubscription {
    parent: SocketAddr,
    subscription: u64,
    awaits_full_copy: bool,
    accepted_at: Duration,
    last_message_at: Duration,
    last_entries_at: Duration,
    sequence: u64,
    tick: FreshnessTick,
    unacknowledged_bytes: usize,
    last_ack_at: Duration,
    reported_child_slots: u16,
}

impl ParentSubscription {
    /// Creates the subscription of an attempt that was just accepted.
    pub(crate) fn new(attempt: &Attempt, now: Duration) -> Self {
        Self {
            parent: attempt.to,
            subscription: attempt.subscription,
            awaits_full_copy: attempt.full_copy,
            accepted_at: now,
            last_message_at: now,
            last_entries_at: now,
            sequence: 0,
            tick: FreshnessTick::default(),
            unacknowledged_bytes: 0,
            last_ack_at: now,
            reported_child_slots: attempt.child_capacity.free_child_slots,
        }
    }

    /// Whether the current message is the first one of a subscription that requested a full copy. Resets the mark, so that it is true
    /// only once.
    pub(crate) fn begins_full_copy(&mut self) -> bool {
        std::mem::take(&mut self.awaits_full_copy)
    }

    /// The address of the parent.
    pub(crate) fn parent(&self) -> SocketAddr {
        self.parent
    }

    /// The identifier of the subscription.
    pub(crate) fn subscription(&self) -> u64 {
        self.subscription
    }

    /// Whether a message belongs to this subscription.
    pub(crate) fn matches_message(&self, from: SocketAddr, subscription: u64) -> bool {
        self.parent == from && self.subscription == subscription
    }

    /// Records an update; returns false, and records nothing, if it is not the next one in sequence.
    pub(crate) fn on_update(&mut self, sequence: u64, entries: &[Entry], now: Duration) -> bool {
        if sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = sequence;
        self.last_message_at = now;
        if !entries.is_empty() {
            self.last_entries_at = now;
            self.unacknowledged_bytes += entries.iter().map(entry_size).sum::<usize>();
        }
        true
    }

    /// Records the tick of an update; returns whether it is higher than the previous one.
    pub(crate) fn on_tick(&mut self, tick: FreshnessTick) -> bool {
        let is_higher = tick > self.tick;
        self.tick = tick;
        is_higher
    }

    /// The time at which the parent times out.
    pub(crate) fn times_out_at(&self, settings: &RelaySettings) -> Duration {
        self.last_message_at + settings.parent_timeout
    }

    /// The time at which the subscription counts as stalled, if the newest tick keeps the node fresh until `fresh_until`. While the
    /// parent is still sending its copy, entries extend the time as ticks do, up to [`RelaySettings::snapshot_timeout`].
    pub(crate) fn stalled_at(&self, fresh_until: Option<Duration>, settings: &RelaySettings) -> Duration {
        let first_tick_by = self.accepted_at + settings.max_tick_age;
        let ticks_expected_until = fresh_until.unwrap_or_default().max(first_tick_by);
        if self.tick != FreshnessTick::default() {
            return ticks_expected_until;
        }
        let copy_expected_until = self.last_entries_at + settings.max_tick_age;
        ticks_expected_until.max(copy_expected_until.min(self.accepted_at + settings.snapshot_timeout))
    }

    /// The time at which the next acknowledgement to the parent is due.
    pub(crate) fn next_ack_at(&self, free_child_slots: u16, settings: &RelaySettings) -> Duration {
        if self.unacknowledged_bytes >= settings.max_inflight_bytes / 4 {
            return self.last_message_at;
        }
        let interval = if free_child_slots == self.reported_child_slots {
            settings.ack_interval
        } else {
            settings.capacity_report_interval
        };
        self.last_ack_at + interval
    }

    /// Builds the acknowledgement, which also reports the number of free child slots of this node.
    pub(crate) fn acknowledge(&mut self, free_child_slots: u16, now: Duration) -> RelayMessage {
        self.unacknowledged_bytes = 0;
        self.last_ack_at = now;
        self.reported_child_slots = free_child_slots;
        RelayMessage::Ack { subscription: self.subscription, sequence: self.sequence, free_child_slots }
    }
}
