//! The disk of a backend: a ring of files, written on a separate thread.
//!
//! After a failed write the ring accepts only a snapshot. Records that are appended until then are not queued, since the snapshot
//! contains them all.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use gingerledge_storage::{Disk, FileDisk, Recovered, Ring, RingSettings, StorageError, Writer, WriterEvent};
use snafu::ResultExt;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::backend::{DiskContent, DiskRecord};
use crate::error::{DiskSnafu, JobsError};
use crate::settings::JobsSettings;

/// Time between a failed snapshot and the next attempt.
const SNAPSHOT_RETRY: Duration = Duration::from_millis(500);
/// Maximum number of writes queued at the writer. Lower than the writer's own limit.
const MAX_QUEUED_WRITES: usize = 2048;
/// Maximum total size in bytes of the writes queued at the writer. Lower than the writer's own limit.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// An opened disk: its identity, its content, and the ring for further writes.
pub(super) struct OpenedDisk {
    pub member: u64,
    pub content: DiskContent,
    pub ring: Ring<FileDisk>,
}

/// Opens the ring in a directory. A disk without a ring gets the new identity, which is durable before it is used. So does a disk
/// whose synced bytes are corrupt: it is unknown which records it has lost, so it must not count as the same member any more.
///
/// # Errors
///
/// The disk can't be read or written, or a record on it can't be decoded.
pub(super) fn open(
    directory: &Path,
    settings: &JobsSettings,
    new_member: u64,
) -> Result<OpenedDisk, JobsError> {
    let ring_settings = RingSettings {
        files: settings.ring_files,
        file_bytes: settings.ring_file_bytes,
        extent_bytes: settings.ring_extent_bytes,
    };
    let disk = FileDisk::open(directory).context(DiskSnafu)?;
    let (ring, recovered) = match Ring::open(disk, ring_settings) {
        Err(error @ StorageError::Corrupt { .. }) => {
            log::error!("disk corrupt, erased for a new member: {error}");
            Ring::open(erase(directory)?, ring_settings).context(DiskSnafu)?
        }
        result => result.context(DiskSnafu)?,
    };
    read_or_assign_identity(ring, recovered, new_member)
}

/// Removes all files of a disk.
fn erase(directory: &Path) -> Result<FileDisk, JobsError> {
    let mut disk = FileDisk::open(directory).context(DiskSnafu)?;
    for file in disk.list().context(DiskSnafu)? {
        disk.remove(&file.name).context(DiskSnafu)?;
    }
    disk.sync_folder().context(DiskSnafu)?;
    Ok(disk)
}

/// Reads the identity and the content of a recovered disk; writes the new identity if the disk has none.
fn read_or_assign_identity(
    mut ring: Ring<FileDisk>,
    recovered: Recovered,
    new_member: u64,
) -> Result<OpenedDisk, JobsError> {
    let content = DiskContent::read(recovered.snapshot.into_iter().chain(recovered.records))?;
    let member = match content.member {
        Some(member) => member,
        None => {
            ring.append(&[DiskRecord::Identity(new_member).encode()?]).context(DiskSnafu)?;
            new_member
        }
    };
    Ok(OpenedDisk { member, content, ring })
}

/// A write that is queued at the writer and not yet completed.
#[derive(Debug)]
struct QueuedWrite {
    /// Token by which the backend identifies the write.
    token: u64,
    bytes: usize,
    is_snapshot: bool,
}

/// Queues writes for the writer's thread, and tracks them until they are durable.
pub(super) struct DiskWriter {
    writer: Writer,
    events: UnboundedReceiver<WriterEvent>,
    /// Writes queued at the writer, oldest first.
    queued: VecDeque<QueuedWrite>,
    /// Number by which the writer identifies the first of the queued writes.
    first_number: u64,
    queued_bytes: usize,
    /// Tokens and records of batches that wait until the writer has capacity.
    backlog: VecDeque<(u64, Vec<Vec<u8>>)>,
    /// Whether a write has failed; only a snapshot recovers from that.
    has_failed: bool,
    is_snapshot_queued: bool,
    is_snapshot_requested: bool,
    /// Earliest time of the next snapshot.
    next_snapshot_at: Duration,
}

impl DiskWriter {
    /// Starts the writer's thread.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub(super) fn start(ring: Ring<FileDisk>) -> Result<Self, JobsError> {
        let (sender, events) = unbounded_channel();
        let on_event = Box::new(move |event| {
            // The receiver is dropped when the process shuts down.
            let _ = sender.send(event);
        });
        Ok(Self {
            writer: Writer::start(ring, on_event).context(DiskSnafu)?,
            events,
            queued: VecDeque::new(),
            first_number: 0,
            queued_bytes: 0,
            backlog: VecDeque::new(),
            has_failed: false,
            is_snapshot_queued: false,
            is_snapshot_requested: false,
            next_snapshot_at: Duration::ZERO,
        })
    }

    /// Waits for the next event from the writer.
    pub(super) async fn next(&mut self) -> Option<WriterEvent> {
        self.events.recv().await
    }

    /// Handles an event from the writer. Returns the token up to which all writes are durable now, unless the write failed.
    pub(super) fn handle_event(&mut self, now: Duration, event: WriterEvent) -> Option<u64> {
        let completed = self.queued.pop_front()?;
        self.first_number += 1;
        self.queued_bytes -= completed.bytes;
        match event {
            WriterEvent::Durable { needs_snapshot, .. } => {
                self.is_snapshot_requested = needs_snapshot;
                if completed.is_snapshot {
                    self.is_snapshot_queued = false;
                    self.has_failed = false;
                }
                self.fill_writer();
                Some(completed.token)
            }
            WriterEvent::Failed { error, .. } => {
                self.on_failure(now, &completed, &error);
                None
            }
        }
    }

    fn on_failure(&mut self, now: Duration, completed: &QueuedWrite, error: &StorageError) {
        if completed.is_snapshot {
            log::error!("snapshot failed: {error}");
            self.is_snapshot_queued = false;
            self.next_snapshot_at = now + SNAPSHOT_RETRY;
        } else if !self.has_failed {
            log::error!("disk write failed: {error}");
            self.has_failed = true;
            self.backlog.clear();
        }
    }

    /// Queues records as one batch, which becomes durable as a whole or not at all.
    pub(super) fn append(&mut self, token: u64, records: Vec<Vec<u8>>) {
        if self.has_failed && !self.is_snapshot_queued {
            return;
        }
        self.backlog.push_back((token, records));
        self.fill_writer();
    }

    /// Passes batches from the backlog to the writer, as many as it has capacity for.
    fn fill_writer(&mut self) {
        while self.queued.len() < MAX_QUEUED_WRITES && self.queued_bytes < MAX_QUEUED_BYTES {
            let Some((token, records)) = self.backlog.pop_front() else { return };
            let bytes = records.iter().map(Vec::len).sum();
            match self.writer.append(self.next_number(), records) {
                Ok(()) => self.push_queued(QueuedWrite { token, bytes, is_snapshot: false }),
                Err(error) => {
                    log::error!("records not written: {error}");
                    self.has_failed = true;
                    self.backlog.clear();
                }
            }
        }
    }

    fn next_number(&self) -> u64 {
        self.first_number + self.queued.len() as u64
    }

    fn push_queued(&mut self, queued: QueuedWrite) {
        self.queued_bytes += queued.bytes;
        self.queued.push_back(queued);
    }

    /// Whether a snapshot should be written now.
    pub(super) fn is_snapshot_due(&self, now: Duration) -> bool {
        let is_needed = self.has_failed || (self.is_snapshot_requested && self.backlog.is_empty());
        is_needed && !self.is_snapshot_queued && now >= self.next_snapshot_at
    }

    /// Time at which [`DiskWriter::is_snapshot_due`] becomes true if no other event occurs before; `None` if it needs an event.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        (self.has_failed && !self.is_snapshot_queued).then_some(self.next_snapshot_at)
    }

    /// Queues a snapshot: `records` replace all records up to and including those of `token`.
    pub(super) fn snapshot(&mut self, now: Duration, token: u64, records: Vec<Vec<u8>>) {
        let bytes = records.iter().map(Vec::len).sum();
        match self.writer.snapshot(self.next_number(), records) {
            Ok(()) => {
                self.is_snapshot_queued = true;
                self.push_queued(QueuedWrite { token, bytes, is_snapshot: true });
            }
            Err(error) => {
                log::warn!("snapshot postponed: {error}");
                self.postpone_snapshot(now);
            }
        }
    }

    /// Delays the next snapshot by the retry interval, because no snapshot is available now.
    pub(super) fn postpone_snapshot(&mut self, now: Duration) {
        self.next_snapshot_at = now + SNAPSHOT_RETRY;
    }
}
