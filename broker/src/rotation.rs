//! Reading stores taken out by hand: one set of ids, which outlives lists, new configurations and upgrades.
//! It lies in a small file that two processes of one broker share.

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

/// No id is longer.
pub const ID_MAX: usize = 128;
/// So many stores may be out, and so many are remembered that were put back.
const IDS_MAX: usize = 512;
/// No file is longer.
const FILE_MAX: u64 = 192 * 1024;

/// What the file says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// Those that are out, and since when, in whole milliseconds of Unix time.
    pub out: BTreeMap<String, u64>,
    /// Those put back: since when they had been out, and when they came back.
    pub back: BTreeMap<String, (u64, u64)>,
}

/// Whether this can be a store's id: up to 128 visible characters.
pub fn is_id(text: &str) -> bool {
    (1..=ID_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

impl Marks {
    /// Reads a file's text; what can't be read is passed over and counted.
    pub fn parse(bytes: &[u8]) -> (Self, usize) {
        let (mut marks, mut unread) = (Self::default(), 0);
        for line in bytes.split_inclusive(|b| *b == b'\n') {
            // A line without its end may be cut short, and an id with it.
            let line = line.strip_suffix(b"\n").unwrap_or_default();
            let words: Vec<&str> = std::str::from_utf8(line).unwrap_or_default().split(' ').collect();
            match words[..] {
                ["out", id, since] if is_id(id) && marks.out.len() < IDS_MAX => match since.parse() {
                    Ok(since) => drop(marks.out.insert(id.to_owned(), since)),
                    Err(_) => unread += 1,
                },
                ["back", id, since, at] if is_id(id) && marks.back.len() < IDS_MAX => {
                    match (since.parse(), at.parse()) {
                        (Ok(since), Ok(at)) => drop(marks.back.insert(id.to_owned(), (since, at))),
                        _ => unread += 1,
                    }
                }
                _ => unread += 1,
            }
        }
        marks.back.retain(|id, _| !marks.out.contains_key(id));
        (marks, unread)
    }

    /// The same as text.
    pub fn text(&self) -> String {
        let out = self.out.iter().map(|(id, since)| format!("out {id} {since}\n"));
        let back = self.back.iter().map(|(id, (since, at))| format!("back {id} {since} {at}\n"));
        out.chain(back).collect()
    }

    /// Takes a store out; false if there is no room for one more. One that is out stays so from the first call on.
    fn take_out(&mut self, id: &str, now: Millis) -> bool {
        if self.out.len() >= IDS_MAX && !self.out.contains_key(id) {
            return false;
        }
        self.back.remove(id);
        self.out.entry(id.to_owned()).or_insert(now.max(0.0) as u64);
        true
    }

    /// Puts a store back, and forgets those that have been back for so long that they are warm.
    fn put_back(&mut self, id: &str, now: Millis, cold_ms: Millis) {
        let Some(since) = self.out.remove(id) else { return };
        self.back.retain(|_, (_, at)| *at as Millis + cold_ms > now);
        while self.back.len() >= IDS_MAX {
            self.back.pop_first();
        }
        self.back.insert(id.to_owned(), (since, now.max(0.0) as u64));
    }

    /// The ids of which this and another say different things.
    fn differ(&self, other: &Self) -> Vec<String> {
        let sides = [self, other].map(|marks| marks.out.keys().chain(marks.back.keys()));
        let differs = |id: &&String| {
            self.out.contains_key(*id) != other.out.contains_key(*id)
                || self.back.get(*id) != other.back.get(*id)
        };
        let mut ids: Vec<String> = sides.into_iter().flatten().filter(differs).cloned().collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}

/// What shows that the file has been replaced.
type Stamp = Option<(SystemTime, u64)>;

/// The set, and its file.
#[derive(Debug)]
pub struct Rotation {
    file: Option<PathBuf>,
    cold_ms: Millis,
    marks: RefCell<Marks>,
    seen: Cell<Stamp>,
}

impl Rotation {
    /// The set as an earlier process left it. Without a folder it lasts as long as this process.
    pub fn open(dir: Option<&Path>, listen: SocketAddr, cold_ms: Millis) -> Self {
        let file = dir.map(|dir| dir.join(format!("gingerledge-{listen}.out")));
        let rotation = Self { file, cold_ms, marks: RefCell::default(), seen: Cell::new(None) };
        rotation.read(true);
        rotation
    }

    /// Whether this store is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.marks.borrow().out.contains_key(id)
    }

    /// When this store started. One that was put back was restarted while it was out: as listed, if the list
    /// tells a start since then, and otherwise it counts as started when it came back.
    pub fn started(&self, id: &str, listed: Millis) -> Millis {
        match self.marks.borrow().back.get(id) {
            Some((since, at)) if listed < *since as Millis => *at as Millis,
            _ => listed,
        }
    }

    /// How many stores are out.
    pub fn count(&self) -> usize {
        self.marks.borrow().out.len()
    }

    /// Takes a store out, at this time. An error has changed nothing.
    pub fn take_out(&self, id: &str, now: Millis) -> io::Result<Vec<String>> {
        self.change(|marks| marks.take_out(id, now))
    }

    /// Puts a store back, at this time. An error has changed nothing.
    pub fn put_back(&self, id: &str, now: Millis) -> io::Result<Vec<String>> {
        self.change(|marks| {
            marks.put_back(id, now, self.cold_ms);
            true
        })
    }

    /// Changes the file's marks under its lock, so that no call at another process is undone; returns all
    /// stores of which something else is true now. While another process has the lock it would block.
    fn change(&self, change: impl FnOnce(&mut Marks) -> bool) -> io::Result<Vec<String>> {
        let lock = self.file.as_ref().map(|file| {
            let path = file.with_extension("lock");
            let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
            flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
            io::Result::Ok(lock)
        });
        let _lock = lock.transpose()?;
        let mut changed = self.follow();
        let mut marks = self.marks.borrow().clone();
        if !change(&mut marks) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "too many stores are out"));
        }
        if let Some(file) = &self.file {
            if faults::point("disk.write") {
                return Err(io::ErrorKind::StorageFull.into());
            }
            // Beside it and then over it: whoever reads finds the old one or the new one, whole.
            let beside = file.with_extension("new");
            File::create(&beside)?.write_all(marks.text().as_bytes())?;
            std::fs::rename(&beside, file)?;
            self.seen.set(stamp(file));
        }
        changed.extend(self.marks.replace(marks.clone()).differ(&marks));
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
        let (marks, unread) = Marks::parse(&bytes);
        if unread > 0 {
            log::warn!("stores out: {}: {unread} lines can't be read", file.display());
            if !start {
                return Vec::new();
            }
        }
        log::info!("stores out: {:?}", marks.out.keys());
        self.marks.replace(marks.clone()).differ(&marks)
    }
}

/// A file that is replaced has another inode; its time alone may be the same.
fn stamp(file: &Path) -> Stamp {
    use std::os::unix::fs::MetadataExt;
    let meta = std::fs::metadata(file).ok()?;
    Some((meta.modified().ok()?, meta.ino()))
}
