//! A ring of files, reserved ahead of the log, that keeps records through ends of the process and losses of power.
//!
//! [`Ring`] is the log: [`Ring::append`] returns once its records are durable, [`Ring::snapshot`] replaces all that
//! stood before and frees the files for reuse, and [`Ring::open`] gives back the last snapshot and the records
//! after it. [`Writer`] runs a ring on a thread of its own and commits queued batches together (group commit).
//!
//! The ring rests on the small trait [`Disk`], with two implementations: [`FileDisk`], a folder of
//! the file system, and [`ForgetfulDisk`], a folder in memory that loses what a loss of power may lose.
//!
//! Promises, and their assumptions:
//!
//! - Records acknowledged by [`Ring::append`] come back in order after any kill or loss of power, provided that a
//!   synced range of a file keeps its bytes, and that a write interrupted by a loss of power leaves each sector
//!   of 512 bytes either as it was or as written.
//! - A batch is recovered completely or not at all; nothing that was never appended is recovered.
//! - Damage to synced bytes is reported as [`StorageError::Corrupt`]; an unfinished write at the end of the log
//!   is dropped silently. Each batch is written only after the batch before it was synced, so a later batch behind
//!   damaged bytes proves that they had been durable.

#![warn(unreachable_pub)]

mod batch;
mod disk;
mod error;
mod file;
mod frame;
mod layout;
mod recovery;
mod reservation;
mod ring;
mod simulated;
mod superblock;
mod volume;
mod writer;

pub use disk::{Disk, DiskFile};
pub use error::StorageError;
pub use file::FileDisk;
pub use layout::RingSettings;
pub use ring::{Recovered, Ring};
pub use simulated::ForgetfulDisk;
pub use writer::{Writer, WriterEvent};
