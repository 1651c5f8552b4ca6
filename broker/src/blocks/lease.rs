//! The coordinator's lease and log, in a directory that all brokers that may coordinate can access. The lease is a small
//! file, which is replaced under a lock. Acquiring the lease begins a new term with a higher number, and each term has its
//! own log.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use gingerledge_blocks::{decode, Disk, Log, LogRecord, OpenError, Term};
use rustix::fs::{flock, FlockOperation};
use serde::{Deserialize, Serialize};

/// Number of logs of earlier terms that are kept for inspection by operators.
const LOGS_KEPT: usize = 2;

/// The lease: which broker coordinates, and until when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder's term.
    pub term: u32,
    /// Name of the broker process that holds the lease.
    pub holder: String,
    /// End of the lease, in Unix milliseconds.
    pub until_ms: u64,
}

fn lease_file(dir: &Path) -> PathBuf {
    dir.join("blocks.lease")
}

/// Runs `change` under the lock of the directory, which is created if it does not exist.
fn with_lock<T>(dir: &Path, change: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    fs::create_dir_all(dir)?;
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join("blocks.lock"))?;
    flock(&lock, FlockOperation::LockExclusive)?;
    change()
}

/// Reads the current lease. An invalid lease counts as none; its term follows from the logs.
pub fn read(dir: &Path) -> Option<Lease> {
    serde_json::from_slice(&fs::read(lease_file(dir)).ok()?).ok()
}

fn write(dir: &Path, lease: &Lease) -> io::Result<()> {
    replace_file(&lease_file(dir), &[&serde_json::to_vec(lease)?])
}

/// Replaces a file atomically: a reader finds either the complete old contents or the complete new ones.
fn replace_file(path: &Path, parts: &[&[u8]]) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let mut new = File::create(&new_path)?;
    parts.iter().try_for_each(|part| new.write_all(part))?;
    new.sync_all()?;
    fs::rename(&new_path, path)
}

/// Acquires the lease in a new term; `Ok(Err(lease))` if another broker holds it.
pub fn acquire(dir: &Path, holder: &str, now_ms: u64, lease_ms: u64) -> io::Result<Result<Term, Lease>> {
    with_lock(dir, || {
        let current = read(dir);
        if let Some(lease) =
            current.as_ref().filter(|lease| lease.until_ms > now_ms && lease.holder != holder)
        {
            return Ok(Err(lease.clone()));
        }
        let last_term =
            current.map_or(0, |lease| lease.term).max(list_logs(dir)?.last().map_or(0, |(term, _)| *term));
        let lease = Lease { term: last_term + 1, holder: holder.to_owned(), until_ms: now_ms + lease_ms };
        write(dir, &lease)?;
        Ok(Ok(Term(lease.term)))
    })
}

/// Extends the lease; returns false if another broker has acquired it.
pub fn renew(dir: &Path, term: Term, now_ms: u64, lease_ms: u64) -> io::Result<bool> {
    with_lock(dir, || match read(dir) {
        Some(lease) if lease.term == term.0 => {
            write(dir, &Lease { until_ms: now_ms + lease_ms, ..lease })?;
            Ok(true)
        }
        _ => Ok(false),
    })
}

/// Releases the lease, so that another broker need not wait for its end.
pub fn release(dir: &Path, term: Term) -> io::Result<()> {
    with_lock(dir, || match read(dir) {
        Some(lease) if lease.term == term.0 => write(dir, &Lease { until_ms: 0, ..lease }),
        _ => Ok(()),
    })
}

/// Lists the existing logs, sorted by term.
fn list_logs(dir: &Path) -> io::Result<Vec<(u32, PathBuf)>> {
    let mut logs = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let term = name.strip_prefix("blocks-").and_then(|rest| rest.strip_suffix(".log"));
        if let Some(term) = term.and_then(|digits| digits.parse().ok()) {
            logs.push((term, path));
        }
    }
    logs.sort_unstable();
    Ok(logs)
}

/// Opens the empty log of this term. Also returns the records of the last earlier term that has any.
///
/// # Errors
///
/// If a log can't be read or opened.
pub fn open_log(dir: &Path, term: Term) -> Result<(Log<FileDisk>, Vec<LogRecord>), OpenError> {
    let earlier: Vec<(u32, PathBuf)> =
        list_logs(dir)?.into_iter().filter(|(other, _)| *other < term.0).collect();
    let mut records = Vec::new();
    for (_, path) in earlier.iter().rev() {
        let (found, _) = decode(&fs::read(path)?)?;
        // A term that ended before its first record has an empty log.
        if !found.is_empty() {
            records = found;
            break;
        }
    }
    let (log, _) = Log::open(FileDisk::open(&dir.join(format!("blocks-{:010}.log", term.0)))?)?;
    Ok((log, records))
}

/// Removes logs of earlier terms except the last ones. To be called once this term's log contains the complete state.
pub fn remove_old_logs(dir: &Path, term: Term) -> io::Result<()> {
    let mut earlier: Vec<_> = list_logs(dir)?.into_iter().filter(|(other, _)| *other < term.0).collect();
    earlier.truncate(earlier.len().saturating_sub(LOGS_KEPT));
    earlier.iter().try_for_each(|(_, path)| fs::remove_file(path))
}

/// A file as the storage of a log.
#[derive(Debug)]
pub struct FileDisk(File);

impl FileDisk {
    /// Opens a file, creating it if it does not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        if let Some(dir) = path.parent() {
            // Makes the directory entry of a new file durable.
            File::open(dir)?.sync_all()?;
        }
        Ok(Self(file))
    }
}

impl Disk for FileDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.0.seek(SeekFrom::Start(0))?;
        self.0.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)?;
        self.0.seek(SeekFrom::End(0)).map(drop)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.seek(SeekFrom::End(0))?;
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}

/// Stores bytes in a file atomically, preceded by a checksum.
pub fn write_checked(path: &Path, bytes: &[u8]) -> io::Result<()> {
    replace_file(path, &[&crc32fast::hash(bytes).to_le_bytes(), bytes])
}

/// Reads the bytes that [`write_checked`] stored in a file; `None` if they are missing or corrupt.
pub fn read_checked(path: &Path) -> Option<Vec<u8>> {
    let bytes = fs::read(path).ok()?;
    let (checksum, rest) = bytes.split_first_chunk::<4>()?;
    (crc32fast::hash(rest) == u32::from_le_bytes(*checksum)).then(|| rest.to_vec())
}
