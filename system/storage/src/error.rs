//! The errors of the storage, with the file and the offset.

use std::io;
use std::sync::Arc;

use snafu::Snafu;

/// Why an operation of the storage failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StorageError {
    /// An operation on the disk failed.
    #[snafu(display("cannot {operation} {file}: {source}"))]
    Io {
        /// The operation, as a verb.
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
        /// Offset at which the damaged structure starts.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The ring has no free space for these records. Nothing was written.
    #[snafu(display("the ring is full: {needed} bytes are needed, {free} are free"))]
    Full {
        /// Bytes that the records would take.
        needed: u64,
        /// Bytes that they may take.
        free: u64,
    },
    /// An earlier write failed, so the end of the log is unknown; the ring accepts appends again after a snapshot.
    #[snafu(display("an earlier write failed: a snapshot has to succeed before records are appended"))]
    Broken,
    /// The queue of the writer is at its bound.
    #[snafu(display("the queue of the writer is full"))]
    Busy,
    /// The thread of the writer has ended.
    #[snafu(display("the writer has stopped"))]
    Stopped,
    /// The thread of the writer could not be started.
    #[snafu(display("cannot start the thread of the writer: {source}"))]
    Thread {
        /// The error of the operating system.
        #[snafu(source(from(io::Error, Arc::new)))]
        source: Arc<io::Error>,
    },
    /// No ring can be made with these settings.
    #[snafu(display("unusable settings of the ring: {reason}"))]
    Settings {
        /// What is wrong with them.
        reason: &'static str,
    },
}
