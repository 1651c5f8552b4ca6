//! The stores that operators have disabled: a set of ids that outlives endpoint lists, configurations and upgrades. It is
//! kept in a small file, which is shared by the two processes that a broker may have.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use rustix::fs::{flock, FlockOperation};

use crate::clock::Millis;
use crate::faults;

/// Maximum length of a store id, in bytes.
pub const ID_MAX: usize = 128;
/// Maximum number of disabled stores, and of remembered stores that were enabled again.
const IDS_MAX: usize = 512;
/// Maximum length of the file, in bytes.
const FILE_MAX: u64 = 192 * 1024;

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledStores {
    /// Disabled stores, each with the time at which it was disabled, in Unix milliseconds.
    pub disabled: BTreeMap<String, u64>,
    /// Stores that were enabled again, each with the times at which it was disabled and enabled, in Unix milliseconds.
    pub enabled: BTreeMap<String, (u64, u64)>,
}

/// Whether a text is a valid store id: 1 to [`ID_MAX`] visible ASCII characters.
pub fn is_valid_id(text: &str) -> bool {
    (1..=ID_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

impl DisabledStores {
    /// Parses the contents of a file; also returns the number of invalid lines.
    pub fn parse(bytes: &[u8]) -> (Self, usize) {
        let (mut stores, mut invalid_lines) = (Self::default(), 0);
        for line in bytes.split_inclusive(|b| *b == b'\n') {
            // A line without a newline may be truncated, and so may its id, so it counts as invalid.
            let line = line.strip_suffix(b"\n").unwrap_or_default();
            let words: Vec<&str> = std::str::from_utf8(line).unwrap_or_default().split(' ').collect();
            match words[..] {
                ["out", id, since] if is_valid_id(id) && stores.disabled.len() < IDS_MAX => {
                    match since.parse() {
                        Ok(since) => drop(stores.disabled.insert(id.to_owned(), since)),
                        Err(_) => invalid_lines += 1,
                    }
                }
                ["back", id, since, at] if is_valid_id(id) && stores.enabled.len() < IDS_MAX => {
                    match (since.parse(), at.parse()) {
                        (Ok(since), Ok(at)) => drop(stores.enabled.insert(id.to_owned(), (since, at))),
                        _ => invalid_lines += 1,
                    }
                }
                _ => invalid_lines += 1,
            }
        }
        stores.enabled.retain(|id, _| !stores.disabled.contains_key(id));
        (stores, invalid_lines)
    }

    /// The contents of the file.
    pub fn to_text(&self) -> String {
        let disabled = self.disabled.iter().map(|(id, since)| format!("out {id} {since}\n"));
        let enabled = self.enabled.iter().map(|(id, (since, at))| format!("back {id} {since} {at}\n"));
        disabled.chain(enabled).collect()
    }

    /// Disables a store; returns false if too many are disabled. A store that is already disabled keeps its time.
    fn disable(&mut self, id: &str, now: Millis) -> bool {
        if self.disabled.len() >= IDS_MAX && !self.disabled.contains_key(id) {
            return false;
        }
        self.enabled.remove(id);
        self.disabled.entry(id.to_owned()).or_insert(now.max(0.0) as u64);
        true
    }

    /// Enables a store, and forgets stores that were enabled longer ago than the warm-up time.
    fn enable(&mut self, id: &str, now: Millis, warm_up_ms: Millis) {
        let Some(since) = self.disabled.remove(id) else { return };
        self.enabled.retain(|_, (_, enabled_at)| *enabled_at as Millis + warm_up_ms > now);
        while self.enabled.len() >= IDS_MAX {
            self.enabled.pop_first();
        }
        self.enabled.insert(id.to_owned(), (since, now.max(0.0) as u64));
    }

    /// The ids of the stores whose state differs between this set and another.
    fn differences(&self, other: &Self) -> Vec<String> {
        let sides = [self, other].map(|stores| stores.disabled.keys().chain(stores.enabled.keys()));
        let differs = |id: &&String| {
            self.disabled.contains_key(*id) != other.disabled.contains_key(*id)
                || self.enabled.get(*id) != other.enabled.get(*id)
        };
        let mut ids: Vec<String> = sides.into_iter().flatten().filter(differs).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}

/// Modification time and inode of a file, by which a replacement of the file is detected.
type FileVersion = Option<(SystemTime, u64)>;

/// The disabled stores and their file.
#[derive(Debug)]
pub struct Rotation {
    file: Option<PathBuf>,
    /// Time that a restarted store takes to warm up.
    warm_up_ms: Millis,
    stores: RefCell<DisabledStores>,
    /// The version of the file that was last read or written.
    file_version: Cell<FileVersion>,
}

impl Rotation {
    /// Reads the set that an earlier process stored. Without a directory, the set is kept for the lifetime of this process
    /// only.
    pub fn open(dir: Option<&Path>, listen: SocketAddr, warm_up_ms: Millis) -> Self {
        let file = dir.map(|dir| dir.join(format!("gingerledge-{listen}.out")));
        let rotation = Self { file, warm_up_ms, stores: RefCell::default(), file_version: Cell::new(None) };
        rotation.read(true);
        rotation
    }

    /// Whether a store is disabled.
    pub fn is_disabled(&self, id: &str) -> bool {
        self.stores.borrow().disabled.contains_key(id)
    }

    /// Time at which a store counts as started, in Unix milliseconds. A store that was enabled again has been restarted
    /// while it was disabled: if the listed start is later than its disabling, that is its start; otherwise it counts as
    /// started when it was enabled.
    pub fn start_time(&self, id: &str, listed: Millis) -> Millis {
        match self.stores.borrow().enabled.get(id) {
            Some((disabled_at, enabled_at)) if listed < *disabled_at as Millis => *enabled_at as Millis,
            _ => listed,
        }
    }

    /// Number of disabled stores.
    pub fn count(&self) -> usize {
        self.stores.borrow().disabled.len()
    }

    /// Disables a store, at `now`; returns the stores whose state changed.
    ///
    /// # Errors
    ///
    /// If the file could not be locked or written, or too many stores are disabled; nothing has changed then.
    pub fn disable(&self, id: &str, now: Millis) -> io::Result<Vec<String>> {
        self.change(|stores| stores.disable(id, now))
    }

    /// Enables a store, at `now`; returns the stores whose state changed.
    ///
    /// # Errors
    ///
    /// If the file could not be locked or written; nothing has changed then.
    pub fn enable(&self, id: &str, now: Millis) -> io::Result<Vec<String>> {
        self.change(|stores| {
            stores.enable(id, now, self.warm_up_ms);
            true
        })
    }

    /// Changes the file under a lock, so that no change by another process is lost; returns all stores whose state changed.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if another process holds the lock, [`io::ErrorKind::StorageFull`] if too many stores are
    /// disabled, or the error of writing the file.
    fn change(&self, change: impl FnOnce(&mut DisabledStores) -> bool) -> io::Result<Vec<String>> {
        let lock = self.file.as_ref().map(|file| {
            let path = file.with_extension("lock");
            let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
            flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
            io::Result::Ok(lock)
        });
        let _lock = lock.transpose()?;
        let mut changed = self.reload();
        let mut stores = self.stores.borrow().clone();
        if !change(&mut stores) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "too many stores are out"));
        }
        if let Some(file) = &self.file {
            if faults::point("disk.write") {
                return Err(io::ErrorKind::StorageFull.into());
            }
            // Written to a new file, which then replaces the old one: a reader finds either the old or the new contents.
            let new_file = file.with_extension("new");
            File::create(&new_file)?.write_all(stores.to_text().as_bytes())?;
            std::fs::rename(&new_file, file)?;
            self.file_version.set(file_version(file));
        }
        changed.extend(self.stores.replace(stores.clone()).differences(&stores));
        Ok(changed)
    }

    /// Reads the file again if another process has replaced it; returns the stores whose state changed. An invalid file
    /// changes nothing.
    pub fn reload(&self) -> Vec<String> {
        self.read(false)
    }

    /// Reads the file if it has changed. From a partly invalid file, the valid lines are used at the start of the process,
    /// and nothing later.
    fn read(&self, is_start: bool) -> Vec<String> {
        let Some(file) = &self.file else { return Vec::new() };
        let version = file_version(file);
        if version.is_none() || self.file_version.replace(version) == version {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        if let Err(e) = File::open(file).and_then(|f| f.take(FILE_MAX).read_to_end(&mut bytes)) {
            log::warn!("reading the disabled stores failed: {}: {e}", file.display());
            return Vec::new();
        }
        let (stores, invalid_lines) = DisabledStores::parse(&bytes);
        if invalid_lines > 0 {
            log::warn!("file of disabled stores: {}: {invalid_lines} lines are invalid", file.display());
            if !is_start {
                return Vec::new();
            }
        }
        log::info!("disabled stores: {:?}", stores.disabled.keys());
        self.stores.replace(stores.clone()).differences(&stores)
    }
}

/// Modification time and inode of a file. A file that replaces another has a different inode, while its time may be the
/// same.
fn file_version(file: &Path) -> FileVersion {
    use std::os::unix::fs::MetadataExt;
    let meta = std::fs::metadata(file).ok()?;
    Some((meta.modified().ok()?, meta.ino()))
}
