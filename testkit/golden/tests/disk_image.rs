//! An image of a disk keeps every byte, and a comparison of images fails on each kind of difference.

use std::path::{Path, PathBuf};

use gingerledge_golden::disk_image::DiskImage;

const LENGTH: usize = 4096;

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/disk_image.txt")
}

fn image() -> DiskImage {
    let mut first = vec![0; LENGTH];
    first[0] = 1;
    first[700..1900].fill(7);
    first[LENGTH - 1] = 255;
    let mut image = DiskImage::default();
    image.files.insert("first".to_owned(), first);
    image.files.insert("second".to_owned(), vec![0; LENGTH]);
    image
}

#[test]
fn an_equal_image_passes_and_is_laid_out_as_it_was() {
    image().compare(&recorded());
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("disk-image");
    DiskImage::read(&recorded()).lay_out(&folder);
    assert_eq!(DiskImage::of_folder(&folder), image());
}

#[test]
#[should_panic(expected = "the first differing offset of second")]
fn another_byte_is_found() {
    let mut changed = image();
    changed.files.get_mut("second").unwrap()[9] = 1;
    changed.compare(&recorded());
}

#[test]
#[should_panic(expected = "the length of first")]
fn another_length_is_found() {
    let mut changed = image();
    changed.files.get_mut("first").unwrap().push(0);
    changed.compare(&recorded());
}

#[test]
#[should_panic(expected = "the files")]
fn a_missing_file_is_found() {
    let mut changed = image();
    changed.files.remove("second");
    changed.compare(&recorded());
}

#[test]
fn a_torn_write_has_its_first_sectors_only() {
    let before = image();
    let mut after = image();
    after.files.get_mut("second").unwrap()[512..1536].fill(3);
    let torn = before.torn(&after);
    assert_eq!(torn.files["first"], before.files["first"]);
    assert!(torn.files["second"][512..1024].iter().all(|byte| *byte == 3));
    assert!(torn.files["second"][1024..].iter().all(|byte| *byte == 0));
}
