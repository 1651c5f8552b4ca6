//! Numbered barriers that the head sends through the chain. A confirmed barrier proves to each member that the state up to the
//! commit index of the tail was current after the barrier was sent.
//!
//! Numbers increase within an epoch, also across restarts of the head: it reserves a block of numbers on its disk before it uses
//! them.

use std::time::Duration;

use super::{PendingRecord, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaMessage};

/// Number of barrier numbers that are reserved with one record.
const RESERVATION_SIZE: u64 = 100_000;

/// The barrier numbers that have been used, reserved and confirmed in the current view.
#[derive(Clone, Debug, Default)]
pub(super) struct Barriers {
    /// When the next barrier is due.
    next_at: Duration,
    /// The highest number that may have been used.
    last_number: u64,
    /// The highest number whose reservation is durable.
    reserved: u64,
    /// Whether the record of a further reservation is being written.
    is_reserving: bool,
    /// The highest number confirmed by the tail.
    confirmed: u64,
}

impl Barriers {
    /// Restarts the numbers for another view.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Makes the next barrier due now.
    pub(super) fn start(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// Handles a reservation of the current view that has become durable.
    pub(super) fn on_reservation_durable(&mut self, reserved: u64) {
        self.is_reserving = false;
        self.reserved = self.reserved.max(reserved);
    }

    /// Restores a reservation from the disk. All its numbers may have been used.
    pub(super) fn restore(&mut self, reserved: u64) {
        self.last_number = reserved;
        self.reserved = reserved;
    }

    /// The record of the current reservation, including the one that is being written.
    pub(super) fn record(&self, epoch: u64) -> LogRecord {
        let being_reserved = if self.is_reserving { RESERVATION_SIZE } else { 0 };
        LogRecord::BarrierReservation { epoch, reserved: self.reserved + being_reserved }
    }
}

impl Replica {
    /// Sends the next barrier if this member is the head and a barrier is due.
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

    /// Forwards a barrier to the successor, or confirms it at the tail.
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
        // The entries that the confirmation covers are applied before it is emitted, as far as this member holds them.
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

    /// The time at which [`Replica::send_due_barrier`] is due; `None` if this member sends no barriers.
    pub(super) fn barrier_timer(&self) -> Option<Duration> {
        let sends_barriers = self.is_head() && self.is_serving() && self.settings.barrier_interval.is_some();
        sends_barriers.then_some(self.barriers.next_at)
    }
}
