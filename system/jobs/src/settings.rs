//! Bounds and time spans of the backend plane, derived from the settings of the process.

use std::time::Duration;

use gingerledge_chain::ReplicaSettings;
use gingerledge_protocol::Settings;

const MEBIBYTE: u64 = 1024 * 1024;
/// Batch jobs are stored that much longer than required, in case the monotonic clock runs fast.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Share of the process's memory for batch jobs: while a snapshot is written they are in memory twice.
const MEMORY_SHARE_PERCENT: u64 = 28;
/// Share of the disk for the storage ring.
const RING_SHARE_PERCENT: u64 = 60;
/// The smallest storage ring.
const MIN_RING_BYTES: u64 = 64 * MEBIBYTE;
/// Files of the storage ring.
const RING_FILES: usize = 8;
/// The storage ring gets its length in extents of so many bytes: more than a loaded backend writes in the seconds for which a disk may
/// take no more bytes.
const RING_EXTENT_BYTES: u64 = 4 * MEBIBYTE;
/// Share of the ring for the state; a ring accepts snapshots of up to 7/16 of its length.
const RING_STATE_PERCENT: u64 = 35;

/// Bounds and time spans of one backend.
#[derive(Clone, Debug)]
pub struct JobsSettings {
    /// Settings of the partitions' replicas.
    pub replica: ReplicaSettings,
    /// A driver that has not renewed its lease for this long is replaced.
    pub driver_timeout: Duration,
    /// An assignment that its driver has not confirmed by a renewal is sent again after this long.
    pub assignment_resend_interval: Duration,
    /// An ended batch job is deleted once it is certainly older.
    pub retention: Duration,
    /// How often the head looks for batch jobs to delete.
    pub expiry_check_interval: Duration,
    /// How often the head replicates the ages of ended batch jobs.
    pub age_record_interval: Duration,
    /// Bounds the bytes of batch jobs in all partitions; beyond it new ones are rejected.
    pub max_state_bytes: u64,
    /// Bytes reserved for each result of a new batch job.
    pub reserved_bytes_per_result: u64,
    /// Bytes written and not yet durable beyond which nothing new is proposed.
    pub max_unsynced_bytes: u64,
    /// The disk counts as stalled when a write takes longer.
    pub disk_stall_timeout: Duration,
    /// Bounds the reads that wait at the same time in one partition.
    pub max_pending_reads: usize,
    /// Bounds the time for which a read waits for a result.
    pub max_read_wait: Duration,
    /// Bounds the bytes of results in one response.
    pub max_read_bytes: u64,
    /// Files of the storage ring.
    pub ring_files: usize,
    /// Length of each file of the storage ring, in bytes.
    pub ring_file_bytes: u64,
    /// Length of the extents in which the storage ring grows, in bytes.
    pub ring_extent_bytes: u64,
}

impl JobsSettings {
    /// Derives them from the settings of the process.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let memory = settings.limits.memory_mb * MEBIBYTE;
        let ring = (settings.limits.disk_mb * MEBIBYTE * RING_SHARE_PERCENT / 100).max(MIN_RING_BYTES);
        let max_state_bytes = (memory * MEMORY_SHARE_PERCENT / 100).min(ring * RING_STATE_PERCENT / 100);
        let retention = Duration::try_from_secs_f64(settings.bounds.status_s).unwrap_or(Duration::MAX);
        let replica = ReplicaSettings {
            min_chain_length: settings.fault_tolerance.machines + 1,
            max_uncommitted_bytes: 16 * MEBIBYTE as usize,
            retain_entries: 128,
            retain_bytes: 256 * 1024,
            max_snapshot_bytes: usize::try_from(max_state_bytes).unwrap_or(usize::MAX),
            ..ReplicaSettings::default()
        };
        Self {
            replica,
            driver_timeout: Duration::from_millis(settings.bounds.cancel_ms / 2),
            assignment_resend_interval: Duration::from_millis(600),
            retention: retention.saturating_add(RETENTION_MARGIN),
            expiry_check_interval: Duration::from_secs(5),
            age_record_interval: Duration::from_secs(30),
            max_state_bytes,
            reserved_bytes_per_result: 8 * 1024,
            max_unsynced_bytes: 24 * MEBIBYTE,
            disk_stall_timeout: Duration::from_secs(1),
            max_pending_reads: 256,
            max_read_wait: Duration::from_secs(2),
            max_read_bytes: MEBIBYTE,
            ring_files: RING_FILES,
            ring_file_bytes: ring / RING_FILES as u64,
            ring_extent_bytes: RING_EXTENT_BYTES,
        }
    }
}
