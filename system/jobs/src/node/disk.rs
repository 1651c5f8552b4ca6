//! The disk of a backend: a ring of files, written on a thread of its own.
//!
//! After a failed write the ring accepts nothing but a snapshot. Records that are appended meanwhile are not queued: the snapshot
//! that ends this state contains them all.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use gingerledge_storage::{Disk, FileDisk, Recovered, Ring, RingSettings, StorageError, Writer, WriterEvent};
use snafu::ResultExt;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::backend::{DiskContent, DiskRecord};
use crate::error::{DiskSnafu, JobsError};
use crate::settings::JobsSettings;

/// Time from a failed snapshot to the next attempt.
const SNAPSHOT_RETRY: Duration = Duration::from_millis(500);
/// Bounds the batches and bytes that the writer has at a time; both are below its own bounds.
const MAX_QUEUED: usize = 2048;
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// The content of the disk, and the ring for further writes.
pub(super) struct Opened {
    pub member: u64,
    pub content: DiskContent,
    pub ring: Ring<FileDisk>,
}

/// Opens the ring of a directory. A disk without a ring gets the new identity, which is durable before it is used; so does one
/// whose synced bytes are corrupt: what it has lost is unknown, so that it must not count as the member that it was.
///
/// # Errors
///
/// The disk can't be read or written, or a record on it can't be decoded.
pub(super) fn open(folder: &Path, settings: &JobsSettings, new_member: u64) -> Result<Opened, JobsError> {
    let shape = RingSettings {
        files: settings.ring_files,
        file_bytes: settings.ring_file_bytes,
        extent_bytes: settings.ring_extent_bytes,
    };
    let disk = FileDisk::open(folder).context(DiskSnafu)?;
    let (ring, recovered) = match Ring::open(disk, shape) {
        Err(error @ StorageError::Corrupt { .. }) => {
            log::error!("disk corrupt, erased for a new member: {error}");
            Ring::open(erase(folder)?, shape).context(DiskSnafu)?
        }
        opened => opened.context(DiskSnafu)?,
    };
    identify(ring, recovered, new_member)
}

/// Removes all files of a directory.
fn erase(folder: &Path) -> Result<FileDisk, JobsError> {
    let mut disk = FileDisk::open(folder).context(DiskSnafu)?;
    for file in disk.list().context(DiskSnafu)? {
        disk.remove(&file.name).context(DiskSnafu)?;
    }
    disk.sync_folder().context(DiskSnafu)?;
    Ok(disk)
}

/// Reads the identity of the disk, or gives it the new one.
fn identify(mut ring: Ring<FileDisk>, recovered: Recovered, new_member: u64) -> Result<Opened, JobsError> {
    let content = DiskContent::read(recovered.snapshot.into_iter().chain(recovered.records))?;
    let member = match content.member {
        Some(member) => member,
        None => {
            ring.append(&[DiskRecord::Identity(new_member).encode()?]).context(DiskSnafu)?;
            new_member
        }
    };
    Ok(Opened { member, content, ring })
}

/// A write that is queued at the writer.
#[derive(Debug)]
struct Queued {
    /// The backend's token.
    token: u64,
    bytes: usize,
    is_snapshot: bool,
}

/// Queues writes for the writer's thread, and follows them until they are durable.
pub(super) struct DiskWriter {
    writer: Writer,
    events: UnboundedReceiver<WriterEvent>,
    /// Writes at the writer, in order.
    queued: VecDeque<Queued>,
    /// The writer's number of the first one.
    first: u64,
    queued_bytes: usize,
    /// Batches that wait until the writer has capacity.
    backlog: VecDeque<(u64, Vec<Vec<u8>>)>,
    /// A write has failed; only a snapshot recovers from that.
    has_failed: bool,
    is_snapshot_queued: bool,
    wants_snapshot: bool,
    /// No snapshot before this time.
    retry_at: Duration,
}

impl DiskWriter {
    /// Starts the thread of the writer.
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
            first: 0,
            queued_bytes: 0,
            backlog: VecDeque::new(),
            has_failed: false,
            is_snapshot_queued: false,
            wants_snapshot: false,
            retry_at: Duration::ZERO,
        })
    }

    /// Waits for the next event of the writer.
    pub(super) async fn next(&mut self) -> Option<WriterEvent> {
        self.events.recv().await
    }

    /// Handles an event of the writer; returns the token up to which all is durable now.
    pub(super) fn handle_event(&mut self, now: Duration, event: WriterEvent) -> Option<u64> {
        let done = self.queued.pop_front()?;
        self.first += 1;
        self.queued_bytes -= done.bytes;
        match event {
            WriterEvent::Durable { needs_snapshot, .. } => {
                self.wants_snapshot = needs_snapshot;
                if done.is_snapshot {
                    self.is_snapshot_queued = false;
                    self.has_failed = false;
                }
                self.fill_writer();
                Some(done.token)
            }
            WriterEvent::Failed { error, .. } => {
                self.on_failure(now, &done, &error);
                None
            }
        }
    }

    fn on_failure(&mut self, now: Duration, done: &Queued, error: &StorageError) {
        if done.is_snapshot {
            log::error!("snapshot failed: {error}");
            self.is_snapshot_queued = false;
            self.retry_at = now + SNAPSHOT_RETRY;
        } else if !self.has_failed {
            log::error!("disk write failed: {error}");
            self.has_failed = true;
            self.backlog.clear();
        }
    }

    /// Writes records as one batch, durable as a whole or not at all.
    pub(super) fn append(&mut self, token: u64, records: Vec<Vec<u8>>) {
        if self.has_failed && !self.is_snapshot_queued {
            return;
        }
        self.backlog.push_back((token, records));
        self.fill_writer();
    }

    /// Gives the writer batches of the backlog, as many as it has capacity for.
    fn fill_writer(&mut self) {
        while self.queued.len() < MAX_QUEUED && self.queued_bytes < MAX_QUEUED_BYTES {
            let Some((token, records)) = self.backlog.pop_front() else { return };
            let bytes = records.iter().map(Vec::len).sum();
            match self.writer.append(self.next_number(), records) {
                Ok(()) => self.push(Queued { token, bytes, is_snapshot: false }),
                Err(error) => {
                    log::error!("records not written: {error}");
                    self.has_failed = true;
                    self.backlog.clear();
                }
            }
        }
    }

    fn next_number(&self) -> u64 {
        self.first + self.queued.len() as u64
    }

    fn push(&mut self, queued: Queued) {
        self.queued_bytes += queued.bytes;
        self.queued.push_back(queued);
    }

    /// Whether a snapshot is to be written now.
    pub(super) fn is_snapshot_due(&self, now: Duration) -> bool {
        let wanted = self.has_failed || (self.wants_snapshot && self.backlog.is_empty());
        wanted && !self.is_snapshot_queued && now >= self.retry_at
    }

    /// When [`DiskWriter::is_snapshot_due`] becomes true without any other event.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        (self.has_failed && !self.is_snapshot_queued).then_some(self.retry_at)
    }

    /// Replaces all records up to this token by these.
    pub(super) fn snapshot(&mut self, now: Duration, token: u64, records: Vec<Vec<u8>>) {
        let bytes = records.iter().map(Vec::len).sum();
        match self.writer.snapshot(self.next_number(), records) {
            Ok(()) => {
                self.is_snapshot_queued = true;
                self.push(Queued { token, bytes, is_snapshot: true });
            }
            Err(error) => {
                log::warn!("snapshot postponed: {error}");
                self.postpone_snapshot(now);
            }
        }
    }

    /// No snapshot is available now; the next attempt follows after a pause.
    pub(super) fn postpone_snapshot(&mut self, now: Duration) {
        self.retry_at = now + SNAPSHOT_RETRY;
    }
}
