//! Slow start: limits the work that a server is sent while it warms up.

use super::{Aggregator, ROUNDING_TOLERANCE};
use crate::interface::Millis;
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::slots::slot;
use crate::state::Server;

/// Minimum share of its capacity that a server is assumed to have when it starts.
const START_CAPACITY_MIN: f64 = 0.01;

impl Aggregator {
    /// The share of its full capacity that a server certainly has by now, from 0 to 1.
    pub(super) fn capacity(&self, now: Millis, server: &Server) -> f64 {
        let age = (now - server.started_at).max(0.0);
        let start = self.settings.warm_up_start_capacity.clamp(START_CAPACITY_MIN, 1.0);
        (start + (1.0 - start) * age / self.settings.warm_up_ms.max(1.0)).min(1.0)
    }

    /// Whether the warm-up of a server allows it to be sent one more part of a class.
    ///
    /// In any window, the work that all aggregators together may send to a server that warms up is the amount
    /// that the settings allow. The server is assumed to have one processor. The work of a part is assumed to
    /// be the low latency of its class, or an entire window while none is known.
    ///
    /// Each aggregator has an equal share of that amount, rounded down to a multiple of the work of the
    /// largest part. The remainders are given to some of the aggregators, which may send one more of the
    /// largest parts: those whose slot is open. Slots open one by one during the first window, and further
    /// ones as the server warms up. If aggregators do not know their index, their slots are random, and are
    /// used only if the share is less than one part.
    ///
    /// A process that is shutting down leaves its share to its successor. The successor waits until no window
    /// contains parts that were sent before it started. This does harm if all replicas warm up while all
    /// aggregators restart.
    pub(super) fn has_warm_up_capacity(&self, now: Millis, server: &Server, class: usize) -> bool {
        let capacity = self.capacity(now, server);
        if capacity >= 1.0 {
            return true;
        }
        let window = self.settings.overload_window_ms;
        let may_overlap_predecessor = server.started_at < self.started_at && now < self.started_at + window;
        if self.is_shutting_down || may_overlap_predecessor {
            return false;
        }
        let sent = self.work_sent_in_window(now, server);
        sent + self.part_work(class)
            <= self.warm_up_allowance(now, server, class, capacity) + ROUNDING_TOLERANCE
    }

    /// The work that this aggregator may send to a server in a window, in milliseconds of processing time.
    fn warm_up_allowance(&self, now: Millis, server: &Server, class: usize, capacity: f64) -> Millis {
        let window = self.settings.overload_window_ms;
        let aggregators = f64::from(self.settings.aggregators);
        let share = self.settings.overload_factor * capacity * window / aggregators;
        let largest_work =
            self.latencies.iter().map(|latency| latency.low).fold(self.part_work(class), f64::max);
        let whole_parts = (share / largest_work).floor();
        let remainder = (share / largest_work).fract();
        let open_slots = remainder * ((now - server.started_at) / window).min(1.0);
        let offset = unit_interval(splitmix64(self.seed ^ u64::from(server.cell)));
        let uses_slots = self.settings.index.is_some() || whole_parts == 0.0;
        let has_slot = uses_slots && slot(&self.settings, self.slot_count, server.cell, offset) < open_slots;
        (whole_parts + f64::from(u8::from(has_slot))) * largest_work
    }

    /// The work of the parts sent to a server in the present window, in milliseconds of processing time.
    /// Parts sent before the server's start never reached its present process.
    fn work_sent_in_window(&self, now: Millis, server: &Server) -> Millis {
        let window = self.settings.overload_window_ms;
        let from = (now - window - self.settings.turn_ms).max(server.started_at);
        let sends = server.recent_sends.iter().filter(|send| send.at >= from);
        sends.map(|send| self.part_work(send.class)).sum()
    }

    /// The assumed work of a part of a class: the low latency of the class, or an entire window while none is
    /// known.
    fn part_work(&self, class: usize) -> Millis {
        let low = self.latencies[class].low;
        if low > 0.0 {
            low
        } else {
            self.settings.overload_window_ms
        }
    }
}
