//! Bounds and time spans of the backend plane, worked out from the settings of the process.

use std::time::Duration;

use gingerledge_chain::ReplicaSettings;
use gingerledge_protocol::Settings;

const MEBIBYTE: u64 = 1024 * 1024;
/// Batch jobs are kept that much longer than they must be, for steady clocks that run fast.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Of the memory of the process, how much batch jobs may take: a snapshot for the disk holds them a second time.
const MEMORY_SHARE_PERCENT: u64 = 28;
/// Of the disk, how much the ring takes.
const RING_SHARE_PERCENT: u64 = 60;
/// Smallest ring.
const RING_LEAST_BYTES: u64 = 64 * MEBIBYTE;
/// Files of the ring.
const RING_FILES: usize = 8;
/// Of the ring, how much the state may take; the ring takes snapshots of up to 7/16 of itself.
const RING_STATE_PERCENT: u64 = 35;

/// Bounds and time spans.
#[derive(Clone, Debug)]
pub struct JobsSettings {
    /// Those of the chains.
    pub replica: ReplicaSettings,
    /// A driver that hasn't renewed for this long is replaced.
    pub driver_timeout: Duration,
    /// A new driver that hasn't shown itself for this long is told again.
    pub drive_again: Duration,
    /// An ended batch job is dropped once it is surely this old.
    pub retention: Duration,
    /// How often the head looks for batch jobs to drop.
    pub forget_every: Duration,
    /// How often the head keeps the ages of ended batch jobs on the disks.
    pub keep_ages_every: Duration,
    /// Bytes of batch jobs in all partitions; beyond them no batch job is taken.
    pub state_bytes: u64,
    /// Bytes set aside for each result of a new batch job.
    pub result_room_bytes: u64,
    /// Bytes on their way to the disk beyond which nothing new is proposed.
    pub unsynced_bytes: u64,
    /// The disk counts as stalled when it hasn't answered for this long.
    pub disk_stall: Duration,
    /// Reads that wait at once in one partition.
    pub waiting_reads: usize,
    /// The longest wait of a read.
    pub longest_wait: Duration,
    /// The most bytes of results in one page.
    pub page_bytes: u64,
    /// Files of the ring.
    pub ring_files: usize,
    /// Length of each file of the ring.
    pub ring_file_bytes: u64,
}

impl JobsSettings {
    /// Works them out from the settings of the process.
    pub fn new(settings: &Settings) -> Self {
        let memory = settings.limits.memory_mb * MEBIBYTE;
        let ring = (settings.limits.disk_mb * MEBIBYTE * RING_SHARE_PERCENT / 100).max(RING_LEAST_BYTES);
        let state_bytes = (memory * MEMORY_SHARE_PERCENT / 100).min(ring * RING_STATE_PERCENT / 100);
        let retention = Duration::try_from_secs_f64(settings.bounds.status_s).unwrap_or(Duration::MAX);
        let replica = ReplicaSettings {
            min_chain_length: settings.fault_tolerance.machines + 1,
            max_uncommitted_bytes: 16 * MEBIBYTE as usize,
            retain_entries: 128,
            retain_bytes: 256 * 1024,
            max_snapshot_bytes: usize::try_from(state_bytes).unwrap_or(usize::MAX),
            ..ReplicaSettings::default()
        };
        Self {
            replica,
            driver_timeout: Duration::from_millis(settings.bounds.cancel_ms / 2),
            drive_again: Duration::from_millis(600),
            retention: retention.saturating_add(RETENTION_MARGIN),
            forget_every: Duration::from_secs(5),
            keep_ages_every: Duration::from_secs(30),
            state_bytes,
            result_room_bytes: 8 * 1024,
            unsynced_bytes: 24 * MEBIBYTE,
            disk_stall: Duration::from_secs(1),
            waiting_reads: 256,
            longest_wait: Duration::from_secs(2),
            page_bytes: MEBIBYTE,
            ring_files: RING_FILES,
            ring_file_bytes: ring / RING_FILES as u64,
        }
    }
}
