//! Numbered files that last. What was synced survives a crash; of what was only appended, a crash may leave any beginning.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Numbered files.
pub trait Shelf {
    /// Their numbers, in order.
    fn list(&mut self) -> io::Result<Vec<u64>>;
    /// All of one.
    fn read(&mut self, file: u64) -> io::Result<Vec<u8>>;
    /// Some of one.
    fn read_at(&mut self, file: u64, at: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end of one; the first ones make it.
    fn append(&mut self, file: u64, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all of one lasts, its name too.
    fn sync(&mut self, file: u64) -> io::Result<()>;
    /// Cuts off what lies behind.
    fn truncate(&mut self, file: u64, length: u64) -> io::Result<()>;
    /// Takes one away. A crash may bring it back until the next sync of any, together with all taken away later.
    fn remove(&mut self, file: u64) -> io::Result<()>;
}

/// Files in a folder.
#[derive(Debug)]
pub struct DirShelf {
    dir: PathBuf,
    /// The file that is written to.
    open: Option<(u64, File)>,
}

impl DirShelf {
    /// The files in a folder, which is made if need be.
    pub fn open(dir: &Path) -> io::Result<Self> {
        fs::create_dir_all(dir)?;
        Ok(Self { dir: dir.to_owned(), open: None })
    }

    fn path(&self, file: u64) -> PathBuf {
        self.dir.join(format!("spool-{file:012}.seg"))
    }

    fn writing(&mut self, file: u64) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| *open != file) {
            let path = self.path(file);
            let opened = OpenOptions::new().create(true).append(true).read(true).open(path)?;
            self.open = Some((file, opened));
        }
        self.open.as_mut().map(|(_, file)| file).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Shelf for DirShelf {
    fn list(&mut self) -> io::Result<Vec<u64>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix("spool-")?.strip_suffix(".seg"));
            files.extend(number.and_then(|digits| digits.parse::<u64>().ok()));
        }
        files.sort_unstable();
        Ok(files)
    }

    fn read(&mut self, file: u64) -> io::Result<Vec<u8>> {
        fs::read(self.path(file))
    }

    fn read_at(&mut self, file: u64, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut opened = File::open(self.path(file))?;
        opened.seek(SeekFrom::Start(at))?;
        let mut bytes = vec![0; length];
        opened.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, file: u64, bytes: &[u8]) -> io::Result<()> {
        self.writing(file)?.write_all(bytes)
    }

    fn sync(&mut self, file: u64) -> io::Result<()> {
        self.writing(file)?.sync_data()?;
        File::open(&self.dir)?.sync_all()
    }

    fn truncate(&mut self, file: u64, length: u64) -> io::Result<()> {
        self.writing(file)?.set_len(length)
    }

    fn remove(&mut self, file: u64) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| *open == file) {
            self.open = None;
        }
        fs::remove_file(self.path(file))?;
        // In this order: an earlier segment must not come back without the later ones that speak of it.
        File::open(&self.dir)?.sync_all()
    }
}

#[derive(Clone, Debug, Default)]
struct Memory {
    bytes: Vec<u8>,
    synced: usize,
}

/// Files in memory that can crash and fill up.
#[derive(Clone, Debug, Default)]
pub struct ForgetfulShelf {
    files: BTreeMap<u64, Memory>,
    /// Files taken away that a crash brings back.
    removed: BTreeMap<u64, Memory>,
    /// All files together are full at so many bytes.
    pub most: Option<usize>,
}

impl ForgetfulShelf {
    /// Loses what was not synced, but for so many bytes of each file's end.
    pub fn crash(&mut self, kept: usize) {
        let mut files = std::mem::take(&mut self.removed);
        files.extend(std::mem::take(&mut self.files));
        for file in files.values_mut() {
            file.bytes.truncate(file.synced.saturating_add(kept).min(file.bytes.len()));
            file.synced = file.bytes.len();
        }
        files.retain(|_, file| !file.bytes.is_empty());
        self.files = files;
    }

    /// How many bytes there are.
    pub fn size(&self) -> usize {
        self.files.values().map(|file| file.bytes.len()).sum()
    }

    /// A file's bytes, to be spoilt.
    pub fn bytes_mut(&mut self, file: u64) -> Option<&mut Vec<u8>> {
        self.files.get_mut(&file).map(|file| &mut file.bytes)
    }
}

impl Shelf for ForgetfulShelf {
    fn list(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.files.keys().copied().collect())
    }

    fn read(&mut self, file: u64) -> io::Result<Vec<u8>> {
        self.files.get(&file).map(|file| file.bytes.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read_at(&mut self, file: u64, at: u64, length: usize) -> io::Result<Vec<u8>> {
        let bytes = self.files.get(&file).and_then(|file| file.bytes.get(at as usize..at as usize + length));
        bytes.map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn append(&mut self, file: u64, bytes: &[u8]) -> io::Result<()> {
        let room = self.most.map_or(usize::MAX, |most| most.saturating_sub(self.size()));
        let taken = &bytes[..bytes.len().min(room)];
        self.files.entry(file).or_default().bytes.extend_from_slice(taken);
        if taken.len() < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self, file: u64) -> io::Result<()> {
        if let Some(file) = self.files.get_mut(&file) {
            file.synced = file.bytes.len();
        }
        self.removed.clear();
        Ok(())
    }

    fn truncate(&mut self, file: u64, length: u64) -> io::Result<()> {
        if let Some(file) = self.files.get_mut(&file) {
            file.bytes.truncate(length as usize);
            file.synced = file.synced.min(file.bytes.len());
        }
        Ok(())
    }

    fn remove(&mut self, file: u64) -> io::Result<()> {
        if let Some(gone) = self.files.remove(&file) {
            self.removed.insert(file, gone);
        }
        Ok(())
    }
}
