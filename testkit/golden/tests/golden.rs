//! A comparison with golden bytes fails on each kind of difference.

use std::path::{Path, PathBuf};

use gingerledge_golden::{compare, read, Sample};

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/samples.txt")
}

fn samples() -> Vec<Sample> {
    vec![Sample::new("first", [0, 1, 255]), Sample::new("second", [])]
}

#[test]
fn equal_samples_pass() {
    compare(&recorded(), &samples());
    assert_eq!(read(&recorded())["first"], [0, 1, 255]);
}

#[test]
#[should_panic(expected = "first\n  recorded 0001ff\n  now      0001fe")]
fn another_byte_is_found() {
    let mut changed = samples();
    changed[0].bytes[2] = 254;
    compare(&recorded(), &changed);
}

#[test]
#[should_panic(expected = "second is in the file alone")]
fn a_missing_sample_is_found() {
    compare(&recorded(), &samples()[..1]);
}

#[test]
#[should_panic(expected = "third is not in the file")]
fn an_additional_sample_is_found() {
    let mut more = samples();
    more.push(Sample::new("third", [1]));
    compare(&recorded(), &more);
}
