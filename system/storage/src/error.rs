//! [`StorageError`]: the errors of the ring and its writer.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

/// An error of the ring or its writer.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StorageError {
    /// An operation on the disk failed.
    #[snafu(display("cannot {operation} {file}: {source}"))]
    Io {
        /// The operation, as a verb phrase that precedes the name of the file.
        operation: &'static str,
        /// The file or folder.
        file: String,
        /// The error of the operating system.
        #[snafu(source(from(io::Error, Arc::new)))]
        source: Arc<io::Error>,
    },
    /// Bytes that had been durable are damaged or missing.
    #[snafu(display("{file} is corrupt at byte {offset}: {reason}"))]
    Corrupt {
        /// The damaged file.
        file: String,
        /// Offset of the damaged structure in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// The ring has too little free space for the records. Nothing was written.
    #[snafu(display("the ring is full: {needed} bytes are needed, {free} are free"))]
    OutOfSpace {
        /// Space that the records need, in bytes.
        needed: u64,
        /// Space that is free for them, in bytes.
        free: u64,
    },
    /// An earlier write failed, so the end of the log is unknown. The ring accepts records again after a successful snapshot.
    #[snafu(display("an earlier write failed: a snapshot has to succeed before records are appended"))]
    SnapshotRequired,
    /// The queue of the writer has reached its maximum length or size.
    #[snafu(display("the queue of the writer is full"))]
    QueueFull,
    /// The thread of the writer has ended.
    #[snafu(display("the writer has stopped"))]
    WriterStopped,
    /// The thread of the writer could not be started.
    #[snafu(display("cannot start the thread of the writer: {source}"))]
    SpawnThread {
        /// The error of the operating system.
        #[snafu(source(from(io::Error, Arc::new)))]
        source: Arc<io::Error>,
    },
    /// No ring can be created with these settings.
    #[snafu(display("unusable settings of the ring: {reason}"))]
    InvalidSettings {
        /// The requirement that the settings violate.
        reason: &'static str,
    },
}
