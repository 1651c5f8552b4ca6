//! What the simulations of a control group and of a partition share: the queue of events, disks, the state that commands build, the
//! invariants, and the bounds of replicas that make batches, windows and snapshots small.

// Each simulation uses a part of it.
#![allow(dead_code)]

pub mod disk;
pub mod event_queue;
pub mod invariants;
pub mod state_machine;

use std::time::Duration;

use gingerledge_chain::ReplicaSettings;

/// How long after a fault a machine still counts as lost.
pub const CATCH_UP: Duration = Duration::from_secs(5);

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Bounds so small that batches, windows and snapshots are often full.
pub fn small_bounds(settings: ReplicaSettings) -> ReplicaSettings {
    ReplicaSettings {
        batch_entries: 4,
        max_inflight_entries: 16,
        retain_entries: 20,
        chunk_bytes: 16,
        ..settings
    }
}
