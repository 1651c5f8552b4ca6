//! The encoded form of every message about the lease: equal to what was recorded once, byte for byte.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gingerledge_golden::{compare, read, Sample};
use gingerledge_lease::{LeaseMessage, VoterId};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The samples of one golden file.
struct Golden {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
    samples: Vec<Sample>,
}

impl Golden {
    fn new(file: &str) -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
        let recorded = if path.exists() { read(&path) } else { BTreeMap::new() };
        Self { path, recorded, samples: Vec::new() }
    }

    /// Adds a value, and compares it with what is recorded under its name.
    fn add_equal<T: Serialize + DeserializeOwned + PartialEq>(&mut self, name: &str, value: &T) {
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

    fn check(&self) {
        compare(&self.path, &self.samples);
    }
}

/// The bytes of a value in a frame and in the records on disks.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("encodes")
}

#[test]
fn messages_are_written_as_before() {
    let mut golden = Golden::new("messages.txt");
    let wait = Duration::new(9, 10);
    golden.add_equal("voter", &VoterId(70_000));
    golden
        .add_equal("request", &LeaseMessage::Request { epoch: 1, generation: 2, renewal: true, attempt: 3 });
    golden.add_equal(
        "request anew",
        &LeaseMessage::Request { epoch: 1, generation: 2, renewal: false, attempt: 3 },
    );
    golden.add_equal("grant", &LeaseMessage::Grant { epoch: 4, generation: 5, attempt: 6 });
    golden.add_equal("refuse", &LeaseMessage::Refuse { attempt: 7, highest_generation: 8, wait });
    golden.add_equal("release", &LeaseMessage::Release { generation: 11 });
    golden.check();
}
