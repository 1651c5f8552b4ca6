//! The stores that operators disabled: one set of ids that outlives endpoint lists, configurations and upgrades, in a small
//! file shared by the two processes that a broker may have.

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

/// Maximum length of a store id.
pub const ID_MAX: usize = 128;
/// Maximum of disabled stores, and of remembered enabled ones.
const IDS_MAX: usize = 512;
/// Maximum length of the file, in bytes.
const FILE_MAX: u64 = 192 * 1024;

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisabledStores {
    /// Disabled stores, and since when, in Unix milliseconds.
    pub disabled: BTreeMap<String, u64>,
    /// Stores enabled again: when they had been disabled and when enabled, in Unix milliseconds.
    pub enabled: BTreeMap<String, (u64, u64)>,
}

/// Whether this can be a store's id: up to 128 visible characters.
pub fn is_id(text: &str) -> bool {
    (1..=ID_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

impl DisabledStores {
    /// Parses a file; also returns the number of lines that are invalid.
    pub fn parse(bytes: &[u8]) -> (Self, usize) {
        let (mut stores, mut unreadable) = (Self::default(), 0);
        for line in bytes.split_inclusive(|b| *b == b'\n') {
            // A line without its end may be cut short, and an id with it.
            let line = line.strip_suffix(b"\n").unwrap_or_default();
            let words: Vec<&str> = std::str::from_utf8(line).unwrap_or_default().split(' ').collect();
            match words[..] {
                ["out", id, since] if is_id(id) && stores.disabled.len() < IDS_MAX => match since.parse() {
                    Ok(since) => drop(stores.disabled.insert(id.to_owned(), since)),
                    Err(_) => unreadable += 1,
                },
                ["back", id, since, at] if is_id(id) && stores.enabled.len() < IDS_MAX => {
                    match (since.parse(), at.parse()) {
                        (Ok(since), Ok(at)) => drop(stores.enabled.insert(id.to_owned(), (since, at))),
                        _ => unreadable += 1,
                    }
                }
                _ => unreadable += 1,
            }
        }
        stores.enabled.retain(|id, _| !stores.disabled.contains_key(id));
        (stores, unreadable)
    }

    /// The text of the file.
    pub fn text(&self) -> String {
        let out = self.disabled.iter().map(|(id, since)| format!("out {id} {since}\n"));
        let back = self.enabled.iter().map(|(id, (since, at))| format!("back {id} {since} {at}\n"));
        out.chain(back).collect()
    }

    /// Disables a store; false if too many are. A disabled store keeps its first time.
    fn disable(&mut self, id: &str, now: Millis) -> bool {
        if self.disabled.len() >= IDS_MAX && !self.disabled.contains_key(id) {
            return false;
        }
        self.enabled.remove(id);
        self.disabled.entry(id.to_owned()).or_insert(now.max(0.0) as u64);
        true
    }

    /// Enables a store, and removes those that were enabled longer than a warm-up ago.
    fn enable(&mut self, id: &str, now: Millis, cold_ms: Millis) {
        let Some(since) = self.disabled.remove(id) else { return };
        self.enabled.retain(|_, (_, at)| *at as Millis + cold_ms > now);
        while self.enabled.len() >= IDS_MAX {
            self.enabled.pop_first();
        }
        self.enabled.insert(id.to_owned(), (since, now.max(0.0) as u64));
    }

    /// The ids whose state differs between this and another.
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

/// What shows that the file has been replaced.
type Stamp = Option<(SystemTime, u64)>;

/// The disabled stores and their file.
#[derive(Debug)]
pub struct Rotation {
    file: Option<PathBuf>,
    cold_ms: Millis,
    stores: RefCell<DisabledStores>,
    seen: Cell<Stamp>,
}

impl Rotation {
    /// The set as an earlier process left it. Without a folder it lasts as long as this process.
    pub fn open(dir: Option<&Path>, listen: SocketAddr, cold_ms: Millis) -> Self {
        let file = dir.map(|dir| dir.join(format!("gingerledge-{listen}.out")));
        let rotation = Self { file, cold_ms, stores: RefCell::default(), seen: Cell::new(None) };
        rotation.read(true);
        rotation
    }

    /// Whether a store is disabled.
    pub fn is_disabled(&self, id: &str) -> bool {
        self.stores.borrow().disabled.contains_key(id)
    }

    /// When this store started. One that was put back was restarted while it was out: as listed, if the list
    /// tells a start since then, and otherwise it counts as started when it came back.
    pub fn started(&self, id: &str, listed: Millis) -> Millis {
        match self.stores.borrow().enabled.get(id) {
            Some((since, at)) if listed < *since as Millis => *at as Millis,
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
            stores.enable(id, now, self.cold_ms);
            true
        })
    }

    /// Changes the file's marks under its lock, so that no call at another process is undone; returns all
    /// stores of which something else is true now. While another process has the lock it would block.
    fn change(&self, change: impl FnOnce(&mut DisabledStores) -> bool) -> io::Result<Vec<String>> {
        let lock = self.file.as_ref().map(|file| {
            let path = file.with_extension("lock");
            let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
            flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
            io::Result::Ok(lock)
        });
        let _lock = lock.transpose()?;
        let mut changed = self.follow();
        let mut stores = self.stores.borrow().clone();
        if !change(&mut stores) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "too many stores are out"));
        }
        if let Some(file) = &self.file {
            if faults::point("disk.write") {
                return Err(io::ErrorKind::StorageFull.into());
            }
            // Beside it and then over it: whoever reads finds the old one or the new one, whole.
            let beside = file.with_extension("new");
            File::create(&beside)?.write_all(stores.text().as_bytes())?;
            std::fs::rename(&beside, file)?;
            self.seen.set(stamp(file));
        }
        changed.extend(self.stores.replace(stores.clone()).differences(&stores));
        Ok(changed)
    }

    /// Follows the file where another process has replaced it; returns the stores of which something else is
    /// true now. One that can't be read changes nothing.
    pub fn follow(&self) -> Vec<String> {
        self.read(false)
    }

    /// Reads the file. Of a spoilt one as much as can be read is taken at the start, and nothing later.
    fn read(&self, start: bool) -> Vec<String> {
        let Some(file) = &self.file else { return Vec::new() };
        let now = stamp(file);
        if now.is_none() || self.seen.replace(now) == now {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        if let Err(e) = File::open(file).and_then(|f| f.take(FILE_MAX).read_to_end(&mut bytes)) {
            log::warn!("stores out: {}: {e}", file.display());
            return Vec::new();
        }
        let (stores, unreadable) = DisabledStores::parse(&bytes);
        if unreadable > 0 {
            log::warn!("stores out: {}: {unreadable} lines can't be read", file.display());
            if !start {
                return Vec::new();
            }
        }
        log::info!("stores out: {:?}", stores.disabled.keys());
        self.stores.replace(stores.clone()).differences(&stores)
    }
}

/// A file that is replaced has another inode; its time alone may be the same.
fn stamp(file: &Path) -> Stamp {
    use std::os::unix::fs::MetadataExt;
    let meta = std::fs::metadata(file).ok()?;
    Some((meta.modified().ok()?, meta.ino()))
}
