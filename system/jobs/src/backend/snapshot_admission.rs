//! Limits how many snapshots a backend sends at a time.
//!
//! After the loss of a disk most partitions need a copy at once. Sent together they would fill the memory and the queues of the links,
//! and all would end last; sent a few at a time, one partition after the other is complete. Partitions with the fewest members in
//! sync go first, since the loss of another disk would lose them.

use std::collections::BTreeMap;

use gingerledge_chain::{MemberId, OutgoingSnapshotState};

use crate::partition::Partition;

/// Maximum number of snapshots that are sent to one backend at a time: enough to use a link while the receiver writes one of them.
const MAX_SNAPSHOTS_PER_RECEIVER: usize = 3;
/// Maximum number of snapshots that are sent to all backends at a time.
const MAX_SNAPSHOTS: usize = 9;

/// Number of the partition whose snapshot is sent next; `None` if none is waiting or all slots are in use. A stalled transfer uses no
/// slot, so that a backend that does not answer holds up no other.
pub(super) fn next_admitted(partitions: &[Partition]) -> Option<u16> {
    if !partitions.iter().any(Partition::awaits_snapshot) {
        return None;
    }
    let sending = SendingSnapshots::count(partitions);
    let waiting = (0..).zip(partitions).filter(|(_, partition)| partition.awaits_snapshot());
    let admissible = waiting.filter(|(_, partition)| {
        partition.outgoing_snapshots().any(|snapshot| {
            snapshot.state == OutgoingSnapshotState::Waiting && sending.has_slot(snapshot.receiver)
        })
    });
    let fewest_in_sync = admissible.min_by_key(|(_, partition)| partition.in_sync_members());
    fewest_in_sync.map(|(number, _)| number)
}

/// Number of snapshots that are being sent.
#[derive(Default)]
struct SendingSnapshots {
    total: usize,
    by_receiver: BTreeMap<MemberId, usize>,
}

impl SendingSnapshots {
    fn count(partitions: &[Partition]) -> Self {
        let mut sending = Self::default();
        for snapshot in partitions.iter().flat_map(Partition::outgoing_snapshots) {
            if snapshot.state == OutgoingSnapshotState::Sending {
                sending.total += 1;
                *sending.by_receiver.entry(snapshot.receiver).or_default() += 1;
            }
        }
        sending
    }

    fn has_slot(&self, receiver: MemberId) -> bool {
        let to_receiver = self.by_receiver.get(&receiver).copied().unwrap_or(0);
        self.total < MAX_SNAPSHOTS && to_receiver < MAX_SNAPSHOTS_PER_RECEIVER
    }
}
