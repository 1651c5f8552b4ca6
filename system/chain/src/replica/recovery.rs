//! Checkpoints of a replica, its recovery from the records on its disk, and the handling of its timer.

use std::time::Duration;

use super::{Replica, ReplicaAction};
use crate::{LogRecord, MemberId, ReplicaSettings, View};

impl Replica {
    /// Recovers a replica from the records on its disk, in the order written. Records of votes of the control group restore the
    /// seals that they imply.
    #[must_use]
    pub fn recover(local_id: MemberId, records: &[LogRecord], settings: ReplicaSettings, seed: u64) -> Self {
        let mut replica = Self::new(local_id, settings, seed);
        for record in records {
            replica.restore(record);
        }
        replica.recovered_index = replica.log.commit_index();
        replica
    }

    fn restore(&mut self, record: &LogRecord) {
        match record {
            LogRecord::View { view, in_sync } => self.restore_view(view, *in_sync),
            LogRecord::Rejoined { view, last_index } => {
                self.restore_view(view, false);
                self.log.truncate(*last_index);
            }
            LogRecord::InSync { epoch } if *epoch == self.epoch() => self.in_sync = true,
            LogRecord::Sealed { epoch } => self.seal_in_memory(*epoch),
            LogRecord::Entry { epoch, index, commit_index, command } => {
                self.log.restore(*epoch, *index, *commit_index, command.clone());
            }
            LogRecord::Snapshot { index, bytes } => {
                self.log.reset_to(*index);
                self.recovered_state = Some(bytes.clone());
            }
            LogRecord::BarrierReservation { epoch, reserved } if *epoch == self.epoch() => {
                self.barriers.restore(*reserved);
            }
            LogRecord::Promise { epoch, .. } => self.seal_in_memory(epoch.saturating_sub(1)),
            LogRecord::Accepted { membership, .. } => self.seal_in_memory(membership.epoch.saturating_sub(1)),
            LogRecord::InSync { .. }
            | LogRecord::BarrierReservation { .. }
            | LogRecord::Membership { .. } => {}
        }
    }

    fn restore_view(&mut self, view: &View, in_sync: bool) {
        if view.epoch != self.epoch() {
            self.barriers.reset();
        }
        self.view = Some(view.clone());
        self.in_sync = in_sync;
    }

    /// The records that must stay on the disk once the state after [`Replica::applied_index`] is encoded as `state`. The host
    /// writes them after all records of earlier actions, which it may then delete. `None` while a snapshot from another member is
    /// being written; a later call succeeds.
    #[must_use]
    pub fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        if self.upstream.is_installing_snapshot() {
            return None;
        }
        let mut records = vec![LogRecord::Snapshot { index: self.log.applied_index(), bytes: state }];
        if let Some(view) = &self.view {
            // A `LogRecord::InSync` that is being written is durable before these records are, so it counts.
            let in_sync = self.in_sync || self.is_in_sync_pending;
            records.push(LogRecord::View { view: view.clone(), in_sync });
            records.push(self.barriers.record(view.epoch));
        }
        if self.sealed_epoch > 0 {
            records.push(LogRecord::Sealed { epoch: self.sealed_epoch });
        }
        records.extend(self.log.records_after(self.log.applied_index()));
        Some(records)
    }

    pub(super) fn on_timer_expired(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.resend_overdue_resume(now, out);
        self.resend_overdue(now, out);
        self.resend_overdue_confirmations(now, out);
        self.send_due_barrier(now, out);
    }
}
