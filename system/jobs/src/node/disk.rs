//! The disk of a backend: a ring of files, written on a thread of its own.
//!
//! After a failed write the ring takes nothing but a snapshot. Records that come meanwhile are not queued: the snapshot that
//! ends this state holds them all.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use gingerledge_storage::{Disk, FileDisk, Recovered, Ring, RingSettings, StorageError, Writer, WriterEvent};
use snafu::ResultExt;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::backend::{DiskContent, DiskRecord};
use crate::error::{DiskSnafu, JobsError};
use crate::settings::JobsSettings;

/// The pause before a refused snapshot is tried again.
const SNAPSHOT_RETRY: Duration = Duration::from_millis(500);
/// Batches and bytes given to the writer at once; both below its own bounds.
const MOST_QUEUED: usize = 2048;
const MOST_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// What was on the disk, and the ring to go on with.
pub(super) struct Opened {
    pub member: u64,
    pub content: DiskContent,
    pub ring: Ring<FileDisk>,
}

/// Opens the ring of a folder. A disk without a ring gets the new identity, durably, before anybody hears of it; so does
/// one whose synced bytes are damaged, since it can't be told what it has lost.
pub(super) fn open(folder: &Path, settings: &JobsSettings, new_member: u64) -> Result<Opened, JobsError> {
    let shape = RingSettings { files: settings.ring_files, file_bytes: settings.ring_file_bytes };
    let disk = FileDisk::open(folder).context(DiskSnafu)?;
    let (ring, recovered) = match Ring::open(disk, shape) {
        Err(error @ StorageError::Corrupt { .. }) => {
            log::error!("the disk starts anew as another member: {error}");
            Ring::open(emptied(folder)?, shape).context(DiskSnafu)?
        }
        opened => opened.context(DiskSnafu)?,
    };
    identify(ring, recovered, new_member)
}

fn emptied(folder: &Path) -> Result<FileDisk, JobsError> {
    let mut disk = FileDisk::open(folder).context(DiskSnafu)?;
    for file in disk.list().context(DiskSnafu)? {
        disk.remove(&file.name).context(DiskSnafu)?;
    }
    disk.sync_folder().context(DiskSnafu)?;
    Ok(disk)
}

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

/// Something that the writer works on.
#[derive(Debug)]
struct Queued {
    /// The backend's token.
    token: u64,
    bytes: usize,
    is_snapshot: bool,
}

/// The writing side.
pub(super) struct DiskWriter {
    writer: Writer,
    events: UnboundedReceiver<WriterEvent>,
    /// What the writer works on, in order, and the number of the first.
    queued: VecDeque<Queued>,
    first: u64,
    queued_bytes: usize,
    /// What waits until the writer has room.
    backlog: VecDeque<(u64, Vec<Vec<u8>>)>,
    /// A write failed; only a snapshot mends that.
    broken: bool,
    snapshot_queued: bool,
    wants_snapshot: bool,
    /// No snapshot before this time.
    retry_at: Duration,
}

impl DiskWriter {
    /// Starts the thread.
    pub fn start(ring: Ring<FileDisk>) -> Result<Self, JobsError> {
        let (sender, events) = unbounded_channel();
        let on_event = Box::new(move |event| {
            // Nobody listens any more once the process ends.
            let _ = sender.send(event);
        });
        Ok(Self {
            writer: Writer::start(ring, on_event).context(DiskSnafu)?,
            events,
            queued: VecDeque::new(),
            first: 0,
            queued_bytes: 0,
            backlog: VecDeque::new(),
            broken: false,
            snapshot_queued: false,
            wants_snapshot: false,
            retry_at: Duration::ZERO,
        })
    }

    /// Waits for what the thread has to say.
    pub async fn next(&mut self) -> Option<WriterEvent> {
        self.events.recv().await
    }

    /// Takes what the thread said; gives the token up to which all is durable.
    pub fn heard(&mut self, now: Duration, event: WriterEvent) -> Option<u64> {
        let done = self.queued.pop_front()?;
        self.first += 1;
        self.queued_bytes -= done.bytes;
        match event {
            WriterEvent::Durable { wants_snapshot, .. } => {
                self.wants_snapshot = wants_snapshot;
                if done.is_snapshot {
                    self.snapshot_queued = false;
                    self.broken = false;
                }
                self.drain();
                Some(done.token)
            }
            WriterEvent::Failed { error, .. } => {
                self.failed(now, &done, &error);
                None
            }
        }
    }

    fn failed(&mut self, now: Duration, done: &Queued, error: &StorageError) {
        if done.is_snapshot {
            log::error!("the disk refused a snapshot: {error}");
            self.snapshot_queued = false;
            self.retry_at = now + SNAPSHOT_RETRY;
        } else if !self.broken {
            log::error!("the disk refused records: {error}");
            self.broken = true;
            self.backlog.clear();
        }
    }

    /// Writes records as one batch.
    pub fn append(&mut self, token: u64, records: Vec<Vec<u8>>) {
        if self.broken && !self.snapshot_queued {
            return;
        }
        self.backlog.push_back((token, records));
        self.drain();
    }

    fn drain(&mut self) {
        while self.queued.len() < MOST_QUEUED && self.queued_bytes < MOST_QUEUED_BYTES {
            let Some((token, records)) = self.backlog.pop_front() else { return };
            let bytes = records.iter().map(Vec::len).sum();
            match self.writer.append(self.next_number(), records) {
                Ok(()) => self.push(Queued { token, bytes, is_snapshot: false }),
                Err(error) => {
                    log::error!("records are not written: {error}");
                    self.broken = true;
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

    /// Whether a snapshot is due.
    pub fn is_snapshot_due(&self, now: Duration) -> bool {
        let wanted = self.broken || (self.wants_snapshot && self.backlog.is_empty());
        wanted && !self.snapshot_queued && now >= self.retry_at
    }

    /// When a snapshot will be due without any other event.
    pub fn next_timer(&self) -> Option<Duration> {
        (self.broken && !self.snapshot_queued).then_some(self.retry_at)
    }

    /// Puts these records in the place of all before, up to this token.
    pub fn snapshot(&mut self, now: Duration, token: u64, records: Vec<Vec<u8>>) {
        let bytes = records.iter().map(Vec::len).sum();
        match self.writer.snapshot(self.next_number(), records) {
            Ok(()) => {
                self.snapshot_queued = true;
                self.push(Queued { token, bytes, is_snapshot: true });
            }
            Err(error) => {
                log::warn!("the snapshot is put off: {error}");
                self.put_off(now);
            }
        }
    }

    /// A snapshot can't be taken right now.
    pub fn put_off(&mut self, now: Duration) {
        self.retry_at = now + SNAPSHOT_RETRY;
    }
}
