//! Golden disks: the files of a folder as an earlier version of the programs wrote them.
//!
//! An image is text. A line `file NAME LENGTH` starts a file; each line `OFFSET: HEX` after it gives a stretch of its bytes. All bytes
//! in no stretch are zero, so that a large preallocated file takes no more room than what was written to it.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::os::unix::fs::FileExt;
use std::path::Path;

use crate::WRITE_VARIABLE;

/// A line of an image gives at most so many bytes.
const LINE_BYTES: usize = 64;
/// Writes to the disk are torn at multiples of this.
const SECTOR_BYTES: usize = 512;
const FILE_KEYWORD: &str = "file ";

/// The files of one folder, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiskImage {
    /// The contents by file name.
    pub files: BTreeMap<String, Vec<u8>>,
}

impl DiskImage {
    /// The files that a folder holds now.
    ///
    /// # Panics
    ///
    /// If the folder or a file in it can't be read.
    #[must_use]
    pub fn of_folder(folder: &Path) -> Self {
        let mut files = BTreeMap::new();
        let entries = fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
        for entry in entries {
            let path = entry.unwrap_or_else(|error| panic!("{}: {error}", folder.display())).path();
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            let bytes = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
            files.insert(name, bytes);
        }
        Self { files }
    }

    /// Reads an image from its text.
    ///
    /// # Panics
    ///
    /// If the file is missing, or is no image.
    #[must_use]
    pub fn read(path: &Path) -> Self {
        let text = fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        Self::parse(&text).unwrap_or_else(|line| panic!("{}: {line}", path.display()))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let mut image = Self::default();
        let mut current: Option<&mut Vec<u8>> = None;
        for line in text.lines() {
            if let Some(heading) = line.strip_prefix(FILE_KEYWORD) {
                let (name, length) = heading.split_once(' ').ok_or(line)?;
                let length = length.parse().map_err(|_| line)?;
                let contents = image.files.entry(name.to_owned()).or_default();
                *contents = vec![0; length];
                current = Some(contents);
                continue;
            }
            let (offset, digits) = line.split_once(": ").ok_or(line)?;
            let offset: usize = offset.parse().map_err(|_| line)?;
            let bytes = hex::decode(digits).map_err(|_| line)?;
            let end = offset.checked_add(bytes.len()).ok_or(line)?;
            let target = current.as_mut().and_then(|contents| contents.get_mut(offset..end)).ok_or(line)?;
            target.copy_from_slice(&bytes);
        }
        Ok(image)
    }

    /// The text of the image.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, contents) in &self.files {
            text.push_str(&format!("{FILE_KEYWORD}{name} {}\n", contents.len()));
            for (index, piece) in contents.chunks(LINE_BYTES).enumerate() {
                let Some(first) = piece.iter().position(|byte| *byte != 0) else { continue };
                let last = piece.iter().rposition(|byte| *byte != 0).unwrap_or(first);
                let digits = hex::encode(&piece[first..=last]);
                text.push_str(&format!("{}: {digits}\n", index * LINE_BYTES + first));
            }
        }
        text
    }

    /// Makes a folder that holds these files and nothing else. Stretches of zeros take no room in it.
    ///
    /// # Panics
    ///
    /// If the folder can't be written.
    pub fn lay_out(&self, folder: &Path) {
        if folder.exists() {
            fs::remove_dir_all(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
        }
        fs::create_dir_all(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
        for (name, contents) in &self.files {
            let path = folder.join(name);
            write_sparse(&path, contents).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        }
    }

    /// This image as a loss of power leaves it in the middle of the last write: `self` was there before the write and `after` is there
    /// when it is done. The sectors of the first half are as written, the others as they were.
    ///
    /// # Panics
    ///
    /// If the write changed more than one file, or lies in a single sector, which can't be torn.
    #[must_use]
    pub fn torn(&self, after: &Self) -> Self {
        let changed: Vec<&String> = after
            .files
            .iter()
            .filter(|(name, new)| self.files.get(*name) != Some(new))
            .map(|(name, _)| name)
            .collect();
        let [name] = changed[..] else { panic!("the write changed {} files", changed.len()) };
        let (old, new) = (&self.files[name], &after.files[name]);
        let differs = |index: &usize| old[*index] != new[*index];
        let first = (0..new.len()).find(differs).unwrap_or_default() / SECTOR_BYTES;
        let last = (0..new.len()).rev().find(differs).unwrap_or_default() / SECTOR_BYTES;
        assert!(first < last, "the write lies in one sector");
        let cut = (first + last).div_ceil(2) * SECTOR_BYTES;
        let mut image = after.clone();
        image.files.insert(name.clone(), [&new[..cut], &old[cut..]].concat());
        image
    }

    /// Compares the image with a recorded one, byte by byte.
    ///
    /// # Panics
    ///
    /// If they differ; and always if [`WRITE_VARIABLE`] is set, once it has written the image.
    pub fn compare(&self, path: &Path) {
        if std::env::var_os(WRITE_VARIABLE).is_some() {
            self.write(path);
            panic!("{} is written; unset {WRITE_VARIABLE} to compare", path.display());
        }
        let recorded = Self::read(path);
        let names: Vec<_> = self.files.keys().collect();
        assert_eq!(names, recorded.files.keys().collect::<Vec<_>>(), "{}: the files", path.display());
        for (name, contents) in &self.files {
            let recorded = &recorded.files[name];
            assert_eq!(contents.len(), recorded.len(), "{}: the length of {name}", path.display());
            let difference = contents.iter().zip(recorded).position(|(now, then)| now != then);
            assert_eq!(difference, None, "{}: the first differing offset of {name}", path.display());
        }
    }

    fn write(&self, path: &Path) {
        let folder = path.parent().unwrap_or(Path::new("."));
        fs::create_dir_all(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
        let written = File::create(path).and_then(|mut file| file.write_all(self.to_text().as_bytes()));
        written.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
}

fn write_sparse(path: &Path, contents: &[u8]) -> std::io::Result<()> {
    let file = File::create(path)?;
    file.set_len(contents.len() as u64)?;
    for (index, sector) in contents.chunks(SECTOR_BYTES).enumerate() {
        if sector.iter().any(|byte| *byte != 0) {
            file.write_all_at(sector, (index * SECTOR_BYTES) as u64)?;
        }
    }
    Ok(())
}
