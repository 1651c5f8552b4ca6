//! Numbered barriers that the head sends through the chain: proof to each member that what it has is fresh.
//!
//! Numbers rise within an epoch, also when the head restarts: it reserves a block of them on its disk first.

use std::time::Duration;

use super::{Pending, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaMessage};

/// How many numbers are reserved at a time.
const BLOCK: u64 = 100_000;

/// Where the numbers stand.
#[derive(Clone, Debug, Default)]
pub(super) struct Barriers {
    next_at: Duration,
    number: u64,
    reserved: u64,
    reserving: bool,
    /// The last number confirmed by the tail.
    confirmed: u64,
}

impl Barriers {
    /// Another view: numbers start again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    pub fn start(&mut self, now: Duration) {
        self.next_at = now;
    }

    /// A reservation is on the disk.
    pub fn reserved(&mut self, epoch_is_current: bool, reserved: u64) {
        if epoch_is_current {
            self.reserving = false;
            self.reserved = self.reserved.max(reserved);
        }
    }

    /// A reservation was found on the disk: all its numbers may have been used.
    pub fn restore(&mut self, reserved: u64) {
        self.number = reserved;
        self.reserved = reserved;
    }

    /// The highest number that may have been used, with what is being reserved.
    pub fn record(&self, epoch: u64) -> LogRecord {
        let coming = if self.reserving { BLOCK } else { 0 };
        LogRecord::BarrierReservation { epoch, reserved: self.reserved + coming }
    }
}

impl Replica {
    pub(super) fn barrier_tick(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let due = self.barrier_timer().is_some_and(|at| at <= now);
        let Some(every) = self.settings.barrier_interval.filter(|_| due) else { return };
        self.barriers.next_at = now + every;
        if self.barriers.number >= self.barriers.reserved {
            self.reserve(out);
            return;
        }
        self.barriers.number += 1;
        self.pass_barrier(self.barriers.number, out);
    }

    fn reserve(&mut self, out: &mut Vec<ReplicaAction>) {
        if self.barriers.reserving {
            return;
        }
        self.barriers.reserving = true;
        let epoch = self.epoch();
        let reserved = self.barriers.reserved + BLOCK;
        self.persist(
            vec![LogRecord::BarrierReservation { epoch, reserved }],
            Pending::Barriers { epoch, reserved },
            out,
        );
    }

    fn pass_barrier(&mut self, number: u64, out: &mut Vec<ReplicaAction>) {
        if !self.is_serving() {
            return;
        }
        match self.view.as_ref().and_then(|view| view.successor(self.me)) {
            Some(to) => {
                let message = ReplicaMessage::Barrier { epoch: self.epoch(), number };
                out.push(ReplicaAction::Send { to, message });
            }
            None => {
                if let Some(commit_index) = self.certain_commit() {
                    self.barrier_confirmed(number, commit_index, out);
                }
            }
        }
    }

    fn barrier_confirmed(&mut self, number: u64, commit_index: u64, out: &mut Vec<ReplicaAction>) {
        if number <= self.barriers.confirmed {
            return;
        }
        self.barriers.confirmed = number;
        // What the confirmation stands for comes first, as far as it is here.
        self.log.commit(commit_index);
        self.apply(out);
        let epoch = self.epoch();
        out.push(ReplicaAction::BarrierCommitted { epoch, number, commit_index });
        if let Some(to) = self.view.as_ref().and_then(|view| view.predecessor(self.me)) {
            let message = ReplicaMessage::BarrierCommitted { epoch, number, commit_index };
            out.push(ReplicaAction::Send { to, message });
        }
    }

    pub(super) fn on_barrier(&mut self, from: MemberId, number: u64, out: &mut Vec<ReplicaAction>) {
        if self.view.as_ref().and_then(|view| view.predecessor(self.me)) == Some(from) {
            self.pass_barrier(number, out);
        }
    }

    pub(super) fn on_barrier_done(
        &mut self,
        from: MemberId,
        number: u64,
        commit_index: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.view.as_ref().and_then(|view| view.successor(self.me)) == Some(from) {
            self.barrier_confirmed(number, commit_index, out);
        }
    }

    pub(super) fn barrier_timer(&self) -> Option<Duration> {
        let sends = self.is_head() && self.is_serving() && self.settings.barrier_interval.is_some();
        sends.then_some(self.barriers.next_at)
    }
}
