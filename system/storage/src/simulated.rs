//! [`SimulatedDisk`]: a [`Disk`] in memory for tests, with simulated power losses and I/O errors.

mod state;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use snafu::ResultExt;

use crate::error::IoSnafu;
use crate::{Disk, DiskFile, StorageError};

use state::{SeededRng, State};

/// A folder in memory. Clones are handles to the same folder: the test keeps one and passes another to the ring.
///
/// Each file records the content covered by its last sync and the writes since. [`SimulatedDisk::power_loss`] keeps the
/// synced content; each later write is kept, lost or torn, and each file name that was created or removed since the last
/// sync of the folder is kept or reverted independently.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    /// Creates an empty folder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a power loss and a restart: synced content stays, and the seed determines which of the other changes are
    /// kept. With every fourth seed, all unsynced changes are lost. Also ends the effect of [`SimulatedDisk::fail_after`].
    pub fn power_loss(&self, seed: u64) {
        let mut state = self.state();
        state.lose_power(&mut SeededRng::new(seed), seed % 4 == 0);
        state.restore_power();
    }

    /// Simulates a kill and a restart of the process: all files keep their content, synced or not. Also ends the effect of
    /// [`SimulatedDisk::fail_after`].
    pub fn restart(&self) {
        self.state().restore_power();
    }

    /// Lets this many more modifying operations succeed. After that, every operation fails until
    /// [`SimulatedDisk::power_loss`] or [`SimulatedDisk::restart`]. If the first operation that fails is a write, it is kept as
    /// an unsynced write, as in the page cache of an operating system.
    pub fn fail_after(&self, operations: u64) {
        self.state().operations_left = Some(operations);
    }

    /// Number of modifying operations so far: create, write, sync and remove.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Number of bytes read so far.
    #[must_use]
    pub fn bytes_read(&self) -> u64 {
        self.state().bytes_read
    }

    /// Makes all writes fail without effect, or succeed again.
    pub fn fail_writes(&self, fail: bool) {
        self.state().fail_writes = fail;
    }

    /// Makes all syncs of files fail, or succeed again. After a failed sync, unsynced data stays readable, but no later sync
    /// covers it, as on an operating system that marks pages as clean after a failed sync.
    pub fn fail_syncs(&self, fail: bool) {
        self.state().fail_syncs = fail;
    }

    /// Makes all writes and creations of files fail for lack of space, or succeed again.
    pub fn set_full(&self, is_full: bool) {
        self.state().is_full = is_full;
    }

    /// Makes every operation fail that sets a greater length of a file, or lets them succeed again. Writes are not affected.
    pub fn fail_growth(&self, fail: bool) {
        self.state().fail_growth = fail;
    }

    /// Flips a bit in the synced and in the readable content of a file.
    pub fn flip_bit(&self, name: &str, offset: u64, bit: u8) {
        self.state().flip_bit(name, offset, bit);
    }

    /// The readable content of a file, synced or not; `None` if there is no such file.
    #[must_use]
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        self.state().file(name).ok().map(|file| file.visible.clone())
    }
}

impl Disk for SimulatedDisk {
    fn list(&mut self) -> Result<Vec<DiskFile>, StorageError> {
        self.state().list().context(IoSnafu { operation: "list", file: "the folder" })
    }

    fn create(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        self.state().create(name, length).context(IoSnafu { operation: "create", file: name })
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        self.state().read_at(name, offset, buffer).context(IoSnafu { operation: "read", file: name })
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        self.state().write_at(name, offset, bytes).context(IoSnafu { operation: "write", file: name })
    }

    fn sync_file(&mut self, name: &str) -> Result<(), StorageError> {
        self.state().sync_file(name).context(IoSnafu { operation: "sync", file: name })
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        self.state().sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.state().remove(name).context(IoSnafu { operation: "remove", file: name })
    }
}

fn power_is_off() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the power is off")
}
