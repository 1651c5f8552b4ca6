//! The ring on the file system.

mod common;

use std::fs;
use std::path::PathBuf;

use common::{open, record, reported_damage, Model, SMALL};
use gingerledge_storage::{Disk, FileDisk, Ring, StorageError};

/// The temporary folder of a test, removed when dropped.
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gingerledge-storage-{}-{test}", std::process::id()));
        Self { path }
    }

    fn disk(&self) -> FileDisk {
        FileDisk::open(&self.path).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

#[test]
fn records_are_recovered_in_order() {
    let folder = Folder::new("order");
    let mut model = Model::default();
    for round in 0..4 {
        let (mut ring, found) = open(folder.disk(), SMALL);
        assert_eq!(found, model);
        for number in 0..20 {
            let records = [record(round * 100 + number, number as usize * 57), record(number, 9)];
            let snapshot = ring.needs_snapshot();
            let result = if snapshot { ring.snapshot(&records) } else { ring.append(&records) };
            result.unwrap();
            model = if snapshot { Model::with_snapshot(&records) } else { model.with_appended(&records) };
        }
    }
}

#[test]
fn a_new_folder_is_created_with_files_of_full_length() {
    let folder = Folder::new("made");
    let nested = folder.path.join("data").join("ring");
    let (_, recovered) = Ring::open(FileDisk::open(&nested).unwrap(), SMALL).unwrap();
    assert!(recovered.is_new);
    let mut files = FileDisk::open(&nested).unwrap().list().unwrap();
    files.sort_by(|left, right| left.name.cmp(&right.name));
    let names: Vec<_> = files.iter().map(|file| file.name.as_str()).collect();
    assert_eq!(names, ["ring-000", "ring-001", "ring-002", "ring-003"]);
    assert!(files.iter().all(|file| file.length == SMALL.file_bytes));
}

#[test]
fn a_damaged_file_is_reported() {
    let folder = Folder::new("damaged");
    let (mut ring, _) = open(folder.disk(), SMALL);
    ring.append(&[record(1, 100)]).unwrap();
    ring.append(&[record(2, 100)]).unwrap();
    folder.disk().write_at("ring-000", 4096 + 70, &[0xff; 4]).unwrap();
    assert_eq!(reported_damage(folder.disk(), SMALL), Some(("ring-000".to_owned(), 4096)));
}

#[test]
fn a_folder_that_cannot_be_created_is_reported() {
    let folder = Folder::new("not-a-folder");
    fs::write(&folder.path, b"a file").unwrap();
    let error = FileDisk::open(&folder.path.join("ring")).unwrap_err();
    assert!(matches!(error, StorageError::Io { .. }), "{error}");
    fs::remove_file(&folder.path).unwrap();
}

#[test]
fn an_error_names_the_file_and_the_operation() {
    let folder = Folder::new("error");
    let error = folder.disk().read_at("ring-007", 0, &mut [0; 4]).unwrap_err();
    assert!(error.to_string().starts_with("cannot open ring-007: "), "{error}");
}
