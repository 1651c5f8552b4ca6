//! Slow start: limits what a server is sent while it warms up.

use super::{Aggregator, ROUNDING};
use crate::interface::Millis;
use crate::pseudorandom::{splitmix64, unit_interval};
use crate::slots::slot;
use crate::state::Server;

/// The least share of its capacity that a server is taken to start with.
const START_CAPACITY_MIN: f64 = 0.01;

impl Aggregator {
    /// The share of its full capacity that a server surely has by now.
    pub(super) fn capacity(&self, now: Millis, server: &Server) -> f64 {
        let age = (now - server.started_at).max(0.0);
        let start = self.settings.warm_up_start_capacity.clamp(START_CAPACITY_MIN, 1.0);
        (start + (1.0 - start) * age / self.settings.warm_up_ms.max(1.0)).min(1.0)
    }

    /// Whether a server may take one more part of a class, in view of its warm-up.
    ///
    /// What all aggregators may send to a server that warms up adds up, in any window, to what the settings allow, taking
    /// the server to have one processor and the work of a part to be a low latency of its class, or a whole window while
    /// none is known. Each aggregator may send the work of the largest part as often as that goes into an equal share; and
    /// once more if its slot has come: these make up for what is cut off, and open one by one in the first window and
    /// as the server warms up. Where aggregators do not know their index, slots lie by chance, and serve only for a
    /// share of less than a part.
    ///
    /// A process that is shutting down leaves its share to its successor, which waits until no window holds what was sent
    /// before it started. That does harm where all replicas warm up while all aggregators restart.
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
        sent + self.part_work(class) <= self.warm_up_allowance(now, server, class, capacity) + ROUNDING
    }

    /// The work that this aggregator may send to a server in a window.
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

    /// The work of the parts sent to a server in the present window. What was sent before its start never reached this
    /// process.
    fn work_sent_in_window(&self, now: Millis, server: &Server) -> Millis {
        let window = self.settings.overload_window_ms;
        let from = (now - window - self.settings.turn_ms).max(server.started_at);
        let sends = server.recent_sends.iter().filter(|send| send.at >= from);
        sends.map(|send| self.part_work(send.class)).sum()
    }

    /// The work of a part of a class: a low latency, or a whole window while none is known.
    fn part_work(&self, class: usize) -> Millis {
        let low = self.latencies[class].low;
        if low > 0.0 {
            low
        } else {
            self.settings.overload_window_ms
        }
    }
}
