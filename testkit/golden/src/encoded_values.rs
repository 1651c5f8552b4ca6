//! Values that are encoded by bincode, as frames and the records on disks are.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::{compare, read, Sample};

/// The encoded values of one golden file: each is compared with the recorded bytes, and those are decoded and encoded again.
#[derive(Debug)]
pub struct EncodedValues {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
    samples: Vec<Sample>,
}

impl EncodedValues {
    /// The golden file of this name below `tests/golden` of a package; `package` is the folder of its manifest.
    #[must_use]
    pub fn new(package: &str, file: &str) -> Self {
        let path = Path::new(package).join("tests/golden").join(file);
        let recorded = if path.exists() { read(&path) } else { BTreeMap::new() };
        Self { path, recorded, samples: Vec::new() }
    }

    /// Adds a value that can't be compared, and decodes what is recorded under its name.
    ///
    /// # Panics
    ///
    /// If the recorded bytes can't be decoded, or encode to others.
    pub fn add<T: Serialize + DeserializeOwned>(&mut self, name: &str, value: &T) {
        self.samples.push(Sample::new(name, encode(value)));
        self.decode_recorded::<T>(name);
    }

    /// Adds a value, and compares it with what is recorded under its name.
    ///
    /// # Panics
    ///
    /// If the recorded bytes can't be decoded, encode to others, or decode to another value.
    pub fn add_equal<T: Serialize + DeserializeOwned + PartialEq>(&mut self, name: &str, value: &T) {
        self.samples.push(Sample::new(name, encode(value)));
        if let Some(decoded) = self.decode_recorded::<T>(name) {
            assert!(decoded == *value, "{name}: the recorded bytes decode to another value");
        }
    }

    fn decode_recorded<T: Serialize + DeserializeOwned>(&self, name: &str) -> Option<T> {
        let bytes = self.recorded.get(name)?;
        let (decoded, read): (T, usize) =
            bincode::serde::decode_from_slice(bytes, bincode::config::standard())
                .unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, bytes.len(), "{name}: bytes are left over");
        assert_eq!(&encode(&decoded), bytes, "{name}: decoded and encoded again");
        Some(decoded)
    }

    /// Compares all values with the file, as [`compare`] does.
    ///
    /// # Panics
    ///
    /// If any differs, is missing or is not in the file.
    pub fn check(&self) {
        compare(&self.path, &self.samples);
    }
}

/// The bytes of a value in a frame and in the records on disks.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .unwrap_or_else(|error| panic!("the value can't be encoded: {error}"))
}
