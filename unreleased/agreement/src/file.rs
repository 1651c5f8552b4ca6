//! A [`Disk`] in a folder: one file, locked by its one user, replaced by renaming. The only module that knows files.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};

use crate::disk::Disk;

/// A file, and another beside it while it is being replaced.
#[derive(Debug)]
pub struct FileDisk {
    path: PathBuf,
    file: File,
    /// Held as long as this is: a second program on the same file is turned away.
    _lock: File,
}

impl FileDisk {
    /// Opens or makes the file; its folder must be there.
    pub fn open(path: &Path) -> io::Result<Self> {
        let lock =
            OpenOptions::new().write(true).create(true).truncate(false).open(path.with_extension("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|error| {
            let text = format!("{} is in use by another process: {error}", path.display());
            io::Error::new(io::ErrorKind::WouldBlock, text)
        })?;
        let file = Self::reopen(path)?;
        let disk = Self { path: path.to_owned(), file, _lock: lock };
        disk.sync_folder()?;
        Ok(disk)
    }

    fn reopen(path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).create(true).open(path)
    }

    /// A new name lasts only once its folder does.
    fn sync_folder(&self) -> io::Result<()> {
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(0))?;
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.path.with_extension("new");
        let mut file = File::create(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&beside, &self.path)?;
        self.sync_folder()?;
        self.file = Self::reopen(&self.path)?;
        Ok(())
    }
}
