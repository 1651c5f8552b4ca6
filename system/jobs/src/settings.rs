//! Limits and time-outs of the backend plane, derived from the settings of the process.

use std::time::Duration;

use gingerledge_chain::ReplicaSettings;
use gingerledge_protocol::Settings;

const MEBIBYTE: u64 = 1024 * 1024;
/// Time for which batch jobs are stored beyond the required retention, in case the monotonic clock runs fast.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Share of the process's memory limit for batch jobs, in percent. While a snapshot is written, they are in memory twice.
const MEMORY_SHARE_PERCENT: u64 = 28;
/// Share of the disk limit for the storage ring, in percent.
const RING_SHARE_PERCENT: u64 = 60;
/// Minimum size of the storage ring, in bytes.
const MIN_RING_BYTES: u64 = 64 * MEBIBYTE;
/// Number of files of the storage ring.
const RING_FILES: usize = 8;
/// Extent size in bytes by which the files of the storage ring grow: more than a loaded backend writes in the seconds for which a
/// disk may accept no more bytes.
const RING_EXTENT_BYTES: u64 = 4 * MEBIBYTE;
/// Share of the ring for the state, in percent. A ring accepts snapshots of up to 7/16 of its length.
const RING_STATE_PERCENT: u64 = 35;

/// Limits and time-outs of one backend.
#[derive(Clone, Debug)]
pub struct JobsSettings {
    /// Settings of the partitions' replicas.
    pub replica: ReplicaSettings,
    /// Time without a renewal of its lease after which a driver is replaced.
    pub driver_timeout: Duration,
    /// Interval at which an assignment is sent again until its driver confirms it by a renewal.
    pub assignment_resend_interval: Duration,
    /// Age above which an ended batch job is deleted.
    pub retention: Duration,
    /// Interval at which the head checks for batch jobs to delete.
    pub expiry_check_interval: Duration,
    /// Interval at which the head replicates the ages of ended batch jobs.
    pub age_record_interval: Duration,
    /// Maximum bytes of batch jobs in all partitions; new ones beyond it are rejected.
    pub max_state_bytes: u64,
    /// Bytes reserved for each result of a new batch job.
    pub reserved_bytes_per_result: u64,
    /// Bytes of writes that are not yet durable at or above which no new command of a client is proposed.
    pub max_unsynced_bytes: u64,
    /// Duration of a write from which on the disk counts as stalled.
    pub disk_stall_timeout: Duration,
    /// Maximum number of reads that wait at the same time in one partition.
    pub max_pending_reads: usize,
    /// Maximum time for which a read waits for a result.
    pub max_read_wait: Duration,
    /// Maximum bytes of results in one response.
    pub max_read_bytes: u64,
    /// Number of files of the storage ring.
    pub ring_files: usize,
    /// Length of each file of the storage ring, in bytes.
    pub ring_file_bytes: u64,
    /// Length of the extents by which the files of the storage ring grow, in bytes.
    pub ring_extent_bytes: u64,
}

impl JobsSettings {
    /// Derives the settings of a backend from those of the process.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let memory_bytes = settings.limits.memory_mb * MEBIBYTE;
        let ring_bytes = (settings.limits.disk_mb * MEBIBYTE * RING_SHARE_PERCENT / 100).max(MIN_RING_BYTES);
        let max_state_bytes =
            (memory_bytes * MEMORY_SHARE_PERCENT / 100).min(ring_bytes * RING_STATE_PERCENT / 100);
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
            ring_file_bytes: ring_bytes / RING_FILES as u64,
            ring_extent_bytes: RING_EXTENT_BYTES,
        }
    }
}
