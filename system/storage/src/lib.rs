//! A write-ahead log in a ring of files. Its space is reserved ahead of the log, and its records survive process crashes
//! and power losses.
//!
//! [`Ring`] is the log: [`Ring::append`] returns once its records are durable, [`Ring::snapshot`] replaces all earlier
//! records and frees their space for reuse, and [`Ring::open`] recovers the last snapshot and the records after it.
//! [`Writer`] runs a ring on its own thread and commits queued batches together (group commit).
//!
//! The ring accesses storage through the trait [`Disk`], which has two implementations: [`FileDisk`], a folder of the
//! file system, and [`SimulatedDisk`], a folder in memory that can lose unsynced data as a power loss may.
//!
//! Guarantees, and their assumptions:
//!
//! - Records acknowledged by [`Ring::append`] are recovered in order after any crash or power loss, provided that a
//!   synced range of a file keeps its bytes, and that a write interrupted by a power loss leaves each sector
//!   of 512 bytes either unchanged or as written.
//! - A batch is recovered completely or not at all; nothing that was never appended is recovered.
//! - Damage to synced bytes is reported as [`StorageError::Corrupt`]; an unfinished write at the end of the log
//!   is dropped silently. Each batch is written only after the previous batch was synced, so a later batch after
//!   damaged bytes proves that those bytes had been durable.

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
pub use simulated::SimulatedDisk;
pub use writer::{Writer, WriterEvent};
