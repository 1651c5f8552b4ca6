//! [`ForgetfulDisk`]: a [`Disk`] in memory that loses what a loss of power may lose. For tests.

mod state;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use snafu::ResultExt;

use crate::error::IoSnafu;
use crate::{Disk, DiskFile, StorageError};

use state::{SeededRng, State};

/// A folder in memory. Clones are handles on the same folder: the test keeps one, the ring gets another.
///
/// Each file knows what its last sync covered and what was written since. [`ForgetfulDisk::power_loss`] keeps the
/// former and of the latter some: each write is there, missing or torn; each name that was made or removed since the
/// last sync of the folder is kept or lost on its own.
#[derive(Clone, Debug, Default)]
pub struct ForgetfulDisk {
    state: Arc<Mutex<State>>,
}

impl ForgetfulDisk {
    /// An empty folder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The power fails and returns: only what was synced is certain to stay. The seed decides about the rest;
    /// with every fourth seed, all of it is lost. Also ends the effect of [`ForgetfulDisk::stop_after`].
    pub fn power_loss(&self, seed: u64) {
        let mut state = self.state();
        state.lose_power(&mut SeededRng::new(seed), seed % 4 == 0);
        state.switch_on();
    }

    /// The process is killed and restarted: the files stay as they were.
    pub fn restart(&self) {
        self.state().switch_on();
    }

    /// After so many more operations that change something, every operation fails until
    /// [`ForgetfulDisk::power_loss`] or [`ForgetfulDisk::restart`]. If the first one that fails is a write, it stays
    /// in the memory of the operating system as an unsynced one.
    pub fn stop_after(&self, operations: u64) {
        self.state().operations_left = Some(operations);
    }

    /// Number of operations so far that change something: create, write, sync, remove.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Number of bytes read so far.
    #[must_use]
    pub fn bytes_read(&self) -> u64 {
        self.state().bytes_read
    }

    /// From now on, writes fail and change nothing, or succeed again.
    pub fn fail_writes(&self, fail: bool) {
        self.state().fail_writes = fail;
    }

    /// From now on, syncs of files fail, or succeed again. What was written and not synced then stays readable, but
    /// no later sync covers it, as with an operating system that marks pages as clean after a failed sync.
    pub fn fail_syncs(&self, fail: bool) {
        self.state().fail_syncs = fail;
    }

    /// From now on, the disk has no space left for writes, or has some again.
    pub fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// From now on, no file becomes longer, or files may again. Writes within their length succeed.
    pub fn refuse_growth(&self, refuse: bool) {
        self.state().refuse_growth = refuse;
    }

    /// Damages a byte that had been synced.
    pub fn flip_bit(&self, name: &str, offset: u64, bit: u8) {
        self.state().flip_bit(name, offset, bit);
    }

    /// All that a file reads as; nothing if there is none.
    #[must_use]
    pub fn contents(&self, name: &str) -> Option<Vec<u8>> {
        self.state().file(name).ok().map(|file| file.visible.clone())
    }
}

impl Disk for ForgetfulDisk {
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
