//! Shared parts of the simulations of a control group and of a partition: the event queue, disks, the replicated state machine,
//! the invariants, and replica settings with small batches, windows and snapshots.

// Each simulation uses only a part of this module.
#![allow(dead_code)]

pub mod disk;
pub mod event_queue;
pub mod invariants;
pub mod state_machine;

use std::time::Duration;

use gingerledge_chain::ReplicaSettings;

/// Time after the end of a fault for which a machine still counts as not recovered.
pub const CATCH_UP: Duration = Duration::from_secs(5);

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Replica settings with limits so small that batches, windows and chunks are often full.
pub fn small_bounds(settings: ReplicaSettings) -> ReplicaSettings {
    ReplicaSettings {
        batch_entries: 4,
        max_inflight_entries: 16,
        max_inflight_bytes: 96,
        retain_entries: 20,
        chunk_bytes: 16,
        ..settings
    }
}
