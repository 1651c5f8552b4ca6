//! Numbered barriers that the head sends through the chain: proof to each member that what it has is fresh.
//!
//! Numbers rise within an epoch, also when the head restarts: it reserves a block of them on its disk first.

use std::time::Duration;

use super::{PendingRecord, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaMessage};

/// How many numbers are reserved with one record.
const RESERVATION_SIZE: u64 = 100_000;

/// The numbers that have been used and reserved in the view.
#[derive(Clone, Debug, Default)]
pub(super) struct Barriers {
    next_at: Duration,
    last_number: u64,
    reserved: u64,
    is_reserving: bool,
    /// The last number confirmed by the tail.
    confirmed: u64,
}

impl Barriers {
    /// Another view: numbers start again.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// The next barrier is due now.
    pub(super) fn start(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// The reservation of this view is on the disk.
    pub(super) fn on_reservation_durable(&mut self, reserved: u64) {
        self.is_reserving = false;
        self.reserved = self.reserved.max(reserved);
    }

    /// A reservation was found on the disk: all its numbers may have been used.
    pub(super) fn restore(&mut self, reserved: u64) {
        self.last_number = reserved;
        self.reserved = reserved;
    }

    /// The highest number that may have been used, with what is being reserved.
    pub(super) fn record(&self, epoch: u64) -> LogRecord {
        let being_reserved = if self.is_reserving { RESERVATION_SIZE } else { 0 };
        LogRecord::BarrierReservation { epoch, reserved: self.reserved + being_reserved }
    }
}

impl Replica {
    /// Sends the next barrier, if this is the head and its time has come.
    pub(super) fn send_due_barrier(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let is_due = self.barrier_timer().is_some_and(|at| at <= now);
        let Some(interval) = self.settings.barrier_interval.filter(|_| is_due) else { return };
        self.barriers.next_at = now + interval;
        if self.barriers.last_number >= self.barriers.reserved {
            self.reserve(out);
            return;
        }
        self.barriers.last_number += 1;
        self.forward_barrier(self.barriers.last_number, out);
    }

    fn reserve(&mut self, out: &mut Vec<ReplicaAction>) {
        if self.barriers.is_reserving {
            return;
        }
        self.barriers.is_reserving = true;
        let epoch = self.epoch();
        let reserved = self.barriers.reserved + RESERVATION_SIZE;
        self.persist(
            vec![LogRecord::BarrierReservation { epoch, reserved }],
            PendingRecord::Barriers { epoch, reserved },
            out,
        );
    }

    /// Sends a barrier on to the successor; the tail confirms it.
    fn forward_barrier(&mut self, number: u64, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        match self.successor() {
            Some(to) => {
                let message = ReplicaMessage::Barrier { epoch: self.epoch(), number };
                out.push(ReplicaAction::Send { to, message });
            }
            None => {
                if let Some(commit_index) = self.certain_commit_index() {
                    self.on_barrier_confirmed(number, commit_index, out);
                }
            }
        }
    }

    fn on_barrier_confirmed(&mut self, number: u64, commit_index: u64, out: &mut Vec<ReplicaAction>) {
        if number <= self.barriers.confirmed {
            return;
        }
        self.barriers.confirmed = number;
        // Entries that the confirmation covers are applied before it is given, as far as they are here.
        self.log.commit_to(commit_index);
        self.apply_committed(out);
        let epoch = self.epoch();
        out.push(ReplicaAction::BarrierCommitted { epoch, number, commit_index });
        if let Some(to) = self.predecessor() {
            let message = ReplicaMessage::BarrierCommitted { epoch, number, commit_index };
            out.push(ReplicaAction::Send { to, message });
        }
    }

    pub(super) fn on_barrier(&mut self, from: MemberId, number: u64, out: &mut Vec<ReplicaAction>) {
        if self.predecessor() == Some(from) {
            self.forward_barrier(number, out);
        }
    }

    pub(super) fn on_barrier_committed(
        &mut self,
        from: MemberId,
        number: u64,
        commit_index: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.successor() == Some(from) {
            self.on_barrier_confirmed(number, commit_index, out);
        }
    }

    /// When [`Replica::send_due_barrier`] has something to do.
    pub(super) fn barrier_timer(&self) -> Option<Duration> {
        let sends_barriers = self.is_head() && self.is_serving() && self.settings.barrier_interval.is_some();
        sends_barriers.then_some(self.barriers.next_at)
    }
}
