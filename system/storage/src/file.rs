//! [`FileDisk`]: a [`Disk`] in a folder of the file system. No other module accesses the file system.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::IoSnafu;
use crate::{Disk, DiskFile, StorageError};

/// A folder of the file system. Files are opened on first use and stay open.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    files: BTreeMap<String, File>,
}

impl FileDisk {
    /// Opens the folder; creates it, and its missing parents, if it does not exist.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if the folder cannot be created.
    pub fn open(dir: &Path) -> Result<FileDisk, StorageError> {
        let disk = FileDisk { folder: dir.to_owned(), files: BTreeMap::new() };
        if !dir.is_dir() {
            fs::create_dir_all(dir).context(IoSnafu { operation: "create", file: disk.folder_name() })?;
            let parent = dir.parent().filter(|parent| !parent.as_os_str().is_empty());
            sync_directory(parent.unwrap_or(Path::new(".")))?;
        }
        Ok(disk)
    }

    fn folder_name(&self) -> String {
        self.folder.display().to_string()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn file(&mut self, name: &str) -> Result<&File, StorageError> {
        if !self.files.contains_key(name) {
            let opened = OpenOptions::new().read(true).write(true).open(self.path(name));
            let file = opened.context(IoSnafu { operation: "open", file: name })?;
            self.files.insert(name.to_owned(), file);
        }
        Ok(&self.files[name])
    }
}

fn sync_directory(path: &Path) -> Result<(), StorageError> {
    let synced = File::open(path).and_then(|folder| folder.sync_all());
    synced.context(IoSnafu { operation: "sync folder", file: path.display().to_string() })
}

impl Disk for FileDisk {
    fn list(&mut self) -> Result<Vec<DiskFile>, StorageError> {
        let context = IoSnafu { operation: "list", file: self.folder_name() };
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.folder).context(context.clone())? {
            let entry = entry.context(context.clone())?;
            let metadata = entry.metadata().context(context.clone())?;
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                files.push(DiskFile { name, length: metadata.len() });
            }
        }
        Ok(files)
    }

    fn create(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        let path = self.path(name);
        let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let file = opened.context(IoSnafu { operation: "create", file: name })?;
        file.set_len(length).context(IoSnafu { operation: "set the length of", file: name })?;
        self.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError> {
        let read = self.file(name)?.read_exact_at(buffer, offset);
        read.context(IoSnafu { operation: "read", file: name })
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        let written = self.file(name)?.write_all_at(bytes, offset);
        written.context(IoSnafu { operation: "write", file: name })
    }

    fn sync_file(&mut self, name: &str) -> Result<(), StorageError> {
        // fdatasync also covers the length of the file, since the data could not be read back without it.
        self.file(name)?.sync_data().context(IoSnafu { operation: "sync", file: name })
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        sync_directory(&self.folder)
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.files.remove(name);
        fs::remove_file(self.path(name)).context(IoSnafu { operation: "remove", file: name })
    }
}
