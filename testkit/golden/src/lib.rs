//! Golden bytes: encoded values as an earlier version of the programs wrote them.
//!
//! A golden file is text, one sample a line: its name, a colon, and its bytes in hexadecimal digits. A test encodes the same samples
//! with the code of the day and compares them with the file, so that a reordered variant, a reordered field or a renamed key fails
//! it. Decoding is the caller's: [`read`] gives the bytes of each sample.

#![warn(unreachable_pub)]

pub mod disk_image;
mod encoded_values;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

pub use encoded_values::EncodedValues;

/// The variable of the environment that makes [`compare`] write the file in place of comparing with it. It is set by hand, with the
/// code whose bytes are to be kept; with it set, [`compare`] always panics once it has written, so that no run of it passes.
pub const WRITE_VARIABLE: &str = "GOLDEN_WRITE";

/// One encoded value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// What the value is; unique in its file, without a colon.
    pub name: String,
    /// The value as it is written to disk or to a connection.
    pub bytes: Vec<u8>,
}

impl Sample {
    /// A sample of this name.
    #[must_use]
    pub fn new(name: &str, bytes: impl Into<Vec<u8>>) -> Self {
        Self { name: name.to_owned(), bytes: bytes.into() }
    }
}

/// The samples of a golden file, by name.
///
/// # Panics
///
/// If the file is missing, or a line is no name with hexadecimal digits, or a name occurs twice.
#[must_use]
pub fn read(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let text = fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut samples = BTreeMap::new();
    for line in text.lines() {
        let (name, digits) = line.split_once(": ").unwrap_or_else(|| panic!("{}: {line}", path.display()));
        let bytes = hex::decode(digits).unwrap_or_else(|error| panic!("{}: {name}: {error}", path.display()));
        assert!(samples.insert(name.to_owned(), bytes).is_none(), "{}: {name} stands twice", path.display());
    }
    samples
}

/// Compares samples with those of a golden file, byte by byte: each of the file must be among them, and each of them in the file.
///
/// # Panics
///
/// If any sample differs, is missing or is not in the file; the message names all of them.
pub fn compare(path: &Path, samples: &[Sample]) {
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        write(path, samples);
        panic!("{} is written; unset {WRITE_VARIABLE} to compare", path.display());
    }
    let mut recorded = read(path);
    let mut differences = Vec::new();
    for sample in samples {
        match recorded.remove(&sample.name) {
            None => differences.push(format!("{} is not in the file, or given twice", sample.name)),
            Some(bytes) if bytes != sample.bytes => differences.push(format!(
                "{}\n  recorded {}\n  now      {}",
                sample.name,
                hex::encode(bytes),
                hex::encode(&sample.bytes)
            )),
            Some(_) => {}
        }
    }
    differences.extend(recorded.keys().map(|name| format!("{name} is in the file alone")));
    assert!(differences.is_empty(), "{}:\n{}", path.display(), differences.join("\n"));
}

fn write(path: &Path, samples: &[Sample]) {
    let lines: String =
        samples.iter().map(|sample| format!("{}: {}\n", sample.name, hex::encode(&sample.bytes))).collect();
    let folder = path.parent().unwrap_or(Path::new("."));
    fs::create_dir_all(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    fs::write(path, lines).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
}
