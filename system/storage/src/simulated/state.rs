//! The state of a simulated disk: its visible and its durable content, and the effect of a power loss.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;

use crate::layout::SECTOR_BYTES;
use crate::DiskFile;

use super::power_is_off;

/// The folder, its injected faults and its counters.
#[derive(Debug, Default)]
pub(super) struct State {
    files: BTreeMap<u64, MemoryFile>,
    next_file: u64,
    /// The identifier of each file by its name, as the process sees it.
    names: BTreeMap<String, u64>,
    /// The names at the last sync of the folder.
    durable_names: BTreeMap<String, u64>,
    /// Number of modifying operations until the power fails; `None` if it does not fail.
    pub operations_left: Option<u64>,
    /// Whether the power has failed.
    power_is_off: bool,
    pub operations: u64,
    pub bytes_read: u64,
    pub fail_writes: bool,
    pub fail_syncs: bool,
    pub is_full: bool,
    pub fail_growth: bool,
}

/// A file: the content that the process reads, the durable content, and the changes that are not yet durable.
#[derive(Debug, Default)]
pub(super) struct MemoryFile {
    pub visible: Vec<u8>,
    durable: Vec<u8>,
    pending: Vec<Change>,
}

/// A change to a file that no sync has covered.
#[derive(Debug)]
enum Change {
    /// Sets the length of the file.
    Length(usize),
    /// Writes bytes at an offset.
    Write(usize, Vec<u8>),
}

impl State {
    pub(super) fn list(&self) -> io::Result<Vec<DiskFile>> {
        self.check_power()?;
        let lengths = self.names.iter().filter_map(|(name, id)| Some((name, self.files.get(id)?)));
        Ok(lengths
            .map(|(name, file)| DiskFile { name: name.clone(), length: file.visible.len() as u64 })
            .collect())
    }

    pub(super) fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.count_operation()?;
        if self.is_full || (self.fail_growth && self.is_longer(name, length)) {
            return Err(io::Error::other("no space is left on the disk"));
        }
        if !self.names.contains_key(name) {
            self.names.insert(name.to_owned(), self.next_file);
            self.files.insert(self.next_file, MemoryFile::default());
            self.next_file += 1;
        }
        self.file_mut(name)?.change(Change::Length(length as usize));
        Ok(())
    }

    pub(super) fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.check_power()?;
        let visible = &self.file(name)?.visible;
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let found = visible.get(from..).and_then(|rest| rest.get(..buffer.len()));
        buffer.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
        self.bytes_read += buffer.len() as u64;
        Ok(())
    }

    pub(super) fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.check_power()?;
        let counted = self.count_operation();
        if self.fail_writes {
            return Err(io::Error::other("simulated write error"));
        }
        if self.is_full {
            return Err(io::Error::other("no space is left on the disk"));
        }
        // A write during which the power fails may still reach the disk, so it is recorded before the error is returned.
        self.file_mut(name)?.change(Change::Write(offset as usize, bytes.to_vec()));
        counted
    }

    pub(super) fn sync_file(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let (fail, seed) = (self.fail_syncs, self.operations);
        let file = self.file_mut(name)?;
        if fail {
            file.fail_sync(&mut SeededRng::new(seed));
            return Err(io::Error::other("simulated sync error"));
        }
        file.sync();
        Ok(())
    }

    pub(super) fn sync_folder(&mut self) -> io::Result<()> {
        self.count_operation()?;
        self.durable_names = self.names.clone();
        Ok(())
    }

    pub(super) fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.names.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Whether this length is greater than the current length of a file.
    fn is_longer(&self, name: &str, length: u64) -> bool {
        let current_length = self.file(name).map_or(0, |file| file.visible.len() as u64);
        length > current_length
    }

    pub(super) fn file(&self, name: &str) -> io::Result<&MemoryFile> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files.get(id).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn file_mut(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files.get_mut(id).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub(super) fn restore_power(&mut self) {
        self.operations_left = None;
        self.power_is_off = false;
    }

    fn check_power(&self) -> io::Result<()> {
        if self.power_is_off {
            return Err(power_is_off());
        }
        Ok(())
    }

    /// Counts a modifying operation; an error if the power is off or fails during the operation.
    fn count_operation(&mut self) -> io::Result<()> {
        self.check_power()?;
        self.operations += 1;
        match &mut self.operations_left {
            Some(0) => self.power_is_off = true,
            Some(operations) => *operations -= 1,
            None => {}
        }
        self.check_power()
    }

    pub(super) fn flip_bit(&mut self, name: &str, offset: u64, bit: u8) {
        let Ok(file) = self.file_mut(name) else { return };
        for bytes in [&mut file.visible, &mut file.durable] {
            if let Some(byte) = bytes.get_mut(offset as usize) {
                *byte ^= 1 << (bit % 8);
            }
        }
    }

    /// Applies a power loss; `lose_all` drops all changes that no sync has covered.
    pub(super) fn lose_power(&mut self, rng: &mut SeededRng, lose_all: bool) {
        let mut names = BTreeMap::new();
        let all_names: BTreeSet<&String> = self.names.keys().chain(self.durable_names.keys()).collect();
        for name in all_names {
            let (visible, durable) = (self.names.get(name), self.durable_names.get(name));
            let surviving = if lose_all || rng.below(2) == 0 { durable } else { visible };
            if let Some(id) = surviving {
                names.insert(name.clone(), *id);
            }
        }
        self.files.retain(|id, _| names.values().any(|surviving| surviving == id));
        self.files.values_mut().for_each(|file| file.lose_power(rng, lose_all));
        self.durable_names = names.clone();
        self.names = names;
    }
}

impl MemoryFile {
    fn change(&mut self, change: Change) {
        change.apply(&mut self.visible);
        self.pending.push(change);
    }

    fn sync(&mut self) {
        for change in self.pending.drain(..) {
            change.apply(&mut self.durable);
        }
    }

    /// Applies a failed sync: some of the changes become durable, and no later sync covers the others.
    fn fail_sync(&mut self, rng: &mut SeededRng) {
        for change in self.pending.drain(..) {
            change.apply_some(&mut self.durable, rng);
        }
    }

    fn lose_power(&mut self, rng: &mut SeededRng, lose_all: bool) {
        if lose_all {
            self.pending.clear();
        }
        self.fail_sync(rng);
        self.visible.clone_from(&self.durable);
    }
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Length(length) => bytes.resize(*length, 0),
            Self::Write(offset, written) => overwrite(bytes, *offset, written, 0..written.len()),
        }
    }

    /// Applies the change, drops it, or applies a part of a write: the bytes before an offset, the sectors after one, or random
    /// sectors.
    fn apply_some(&self, bytes: &mut Vec<u8>, rng: &mut SeededRng) {
        match (self, rng.below(5)) {
            (_, 0) => {}
            (Self::Length(_), _) | (_, 1) => self.apply(bytes),
            (Self::Write(offset, written), 2) => {
                overwrite(bytes, *offset, written, 0..rng.below(written.len() + 1));
            }
            (Self::Write(offset, written), 3) => {
                let sectors = written.len() / SECTOR_BYTES as usize;
                let start = rng.below(sectors + 1) * SECTOR_BYTES as usize;
                overwrite(bytes, *offset, written, start..written.len());
            }
            (Self::Write(offset, written), _) => {
                for start in (0..written.len()).step_by(SECTOR_BYTES as usize) {
                    let end = written.len().min(start + SECTOR_BYTES as usize);
                    if rng.below(2) == 0 {
                        overwrite(bytes, *offset, written, start..end);
                    }
                }
            }
        }
    }
}

/// Applies a part of a write to the content of a file; extends the content if necessary.
fn overwrite(bytes: &mut Vec<u8>, offset: usize, written: &[u8], part: Range<usize>) {
    let (start, end) = (offset + part.start, offset + part.end);
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    if let (Some(target), Some(source)) = (bytes.get_mut(start..end), written.get(part)) {
        target.copy_from_slice(source);
    }
}

/// A `SplitMix64` random number generator. The same seed always gives the same faults.
pub(super) struct SeededRng {
    state: u64,
}

impl SeededRng {
    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound as u64) as usize
    }
}
